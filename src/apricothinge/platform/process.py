"""Entry point of a node or control instance of a mesh."""

import asyncio
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import time
from typing import Any, Final

from apricothinge import errors
from apricothinge import log
from apricothinge import runtime
from apricothinge import settings
from apricothinge.mesh import control
from apricothinge.mesh import node
from apricothinge.platform import handlers
from apricothinge.platform import wire
from apricothinge.web import server

__all__ = ["main"]

# The platform may change the settings file without sending SIGHUP, so its
# modification time is polled.
_POLL_INTERVAL_S: Final = 1.0
_SERVER_LIMITS: Final = settings.Limits(header_timeout_s=5.0,
                                        idle_timeout_s=30.0)


class _SettingsFile:
    """Reads the settings file, and again whenever its mtime changes."""

    __slots__ = ("_path", "_mtime_ns")

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._mtime_ns = -1

    def read(self) -> settings.Settings:
        """Reads the file and remembers its modification time."""
        self._mtime_ns = self._path.stat().st_mtime_ns
        return settings.read(self._path)

    def read_if_changed(self) -> settings.Settings | None:
        """Reads the file if it has changed since it was last read.

        Returns:
            The new settings; None if the file is unchanged, unreadable or
            invalid. Errors are logged, so the old settings stay in use.
        """
        try:
            if self._path.stat().st_mtime_ns == self._mtime_ns:
                return None
            return self.read()
        except (OSError, errors.ApricothingeError) as error:
            log.event("settings:not_reloaded", error=str(error))
            return None


async def _start_server(handler: server.Handler, address: str) -> server.Server:
    http_server = server.Server(handler, _SERVER_LIMITS)
    await http_server.start(settings.parse_address(address))
    return http_server


async def _reload_until_stopped(settings_file: _SettingsFile,
                                apply_settings: Callable[[settings.Settings],
                                                         None],
                                failed: "asyncio.Future[Any]") -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    reload_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    stopped = asyncio.ensure_future(stop.wait())
    while not stopped.done() and not failed.done():
        await asyncio.wait((stopped, failed),
                           timeout=_POLL_INTERVAL_S,
                           return_when=asyncio.FIRST_COMPLETED)
        changed = settings_file.read_if_changed()
        if changed is not None or reload_requested.is_set():
            log.event("settings:reloaded",
                      signal=reload_requested.is_set(),
                      changed=changed is not None)
            reload_requested.clear()
        if changed is not None:
            apply_settings(changed)


async def _run_node(settings_file: _SettingsFile,
                    node_settings: settings.MeshNode) -> None:
    mesh_node = node.MeshNode(node_settings, wire.HEADER_NAMES)
    await mesh_node.start()
    servers = [
        await _start_server(handlers.CheckInHandler(mesh_node),
                            node_settings.check_in), await
        _start_server(handlers.ReadinessHandler(mesh_node),
                      node_settings.readiness)
    ]
    runtime.tune_gc()

    def add_changed_seeds(changed: settings.Settings) -> None:
        if changed.mesh_node is not None:
            mesh_node.add_seeds(changed.mesh_node.control_links())

    never_fails: asyncio.Future[None] = asyncio.get_running_loop(
    ).create_future()
    await _reload_until_stopped(settings_file, add_changed_seeds, never_fails)
    await mesh_node.stop()
    for http_server in servers:
        http_server.abort()


async def _run_control(settings_file: _SettingsFile,
                       control_settings: settings.MeshControl) -> None:
    mesh_control = control.MeshControl(control_settings, time.time_ns() // 1000)
    await mesh_control.start()
    port = settings.parse_address(control_settings.operator).port
    http_server = await _start_server(
        handlers.OperatorHandler(mesh_control, port), control_settings.operator)
    runtime.tune_gc()

    def add_changed_seeds(changed: settings.Settings) -> None:
        if changed.mesh_control is not None:
            mesh_control.add_seeds(changed.mesh_control.control_links())

    await _reload_until_stopped(settings_file, add_changed_seeds,
                                mesh_control.failed)
    http_server.abort()
    await mesh_control.stop()


def main() -> None:
    """Runs the role given in the settings file until SIGTERM or SIGINT.

    Exit codes: 0 stopped, 2 settings invalid, 3 storage failed.
    """
    log.start_nonblocking()
    settings_file = _SettingsFile(
        pathlib.Path(os.environ.get(wire.SETTINGS_PATH_VARIABLE, "")))
    try:
        loaded = settings_file.read()
    except (errors.ApricothingeError, OSError) as error:
        print(str(error), file=sys.stderr)
        sys.exit(runtime.EXIT_SETTINGS_INVALID)
    try:
        if loaded.mesh_control is not None:
            runtime.run(_run_control(settings_file, loaded.mesh_control))
        elif loaded.mesh_node is not None:
            runtime.run(_run_node(settings_file, loaded.mesh_node))
    except errors.ApricothingeError as error:
        print(str(error), file=sys.stderr)
        sys.exit(runtime.EXIT_STORAGE_FAILED)


if __name__ == "__main__":
    main()
