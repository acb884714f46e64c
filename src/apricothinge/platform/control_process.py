"""The process of a control instance on the platform."""

import asyncio
import contextlib
import time
from typing import Final

from apricothinge import runtime
from apricothinge import settings
from apricothinge.mesh import control
from apricothinge.platform import host
from apricothinge.platform import operator_handler

__all__ = ["run"]

# For operators that receive a response or have just sent a request; the group
# has no other leader until the process ends.
_FINAL_DRAIN_S: Final = 0.2


async def run(settings_file: host.SettingsFile,
              control_settings: settings.MeshControl) -> None:
    """Runs a control instance until it is told to stop or its disk fails."""
    signals = host.Signals()
    mesh_control = control.MeshControl(control_settings, time.time_ns() // 1000)
    await mesh_control.start()
    port = settings.parse_address(control_settings.operator).port
    http_server = await host.start_server(
        operator_handler.OperatorHandler(mesh_control, port),
        control_settings.operator)
    runtime.tune_gc()

    def add_changed_seeds(changed: settings.Settings) -> None:
        if changed.mesh_control is not None:
            mesh_control.add_seeds(changed.mesh_control.control_links())

    await host.reload_until_stopped(signals, settings_file, add_changed_seeds,
                                    mesh_control.failed)
    http_server.close_after_responses()
    await mesh_control.drain()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_FINAL_DRAIN_S):
            await http_server.drain()
    http_server.abort()
    await mesh_control.stop()
    signals.ignore()
