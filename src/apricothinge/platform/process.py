"""Runs a node or a control instance on the platform."""

import asyncio
import os
import pathlib
import signal
import sys
import time
from collections.abc import Callable
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

# The settings file may change without a signal.
_LOOK_S: Final = 1.0
_LIMITS: Final = settings.Limits(header_timeout_s=5.0, idle_timeout_s=30.0)


class _SettingsFile:
    """Reads the settings anew when the file has changed."""

    __slots__ = ("_path", "_changed_ns")

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._changed_ns = -1

    def read(self) -> settings.Settings:
        """Reads the file."""
        self._changed_ns = self._path.stat().st_mtime_ns
        return settings.read(self._path)

    def changed(self) -> settings.Settings | None:
        """Returns the settings if the file has changed since it was read."""
        try:
            if self._path.stat().st_mtime_ns == self._changed_ns:
                return None
            return self.read()
        except (OSError, errors.ApricothingeError) as error:
            log.event("settings:not_reloaded", error=str(error))
            return None


async def _serve(handler: server.Handler, address: str) -> server.Server:
    made = server.Server(handler, _LIMITS)
    await made.start(settings.parse_address(address))
    return made


async def _until_stopped(file: _SettingsFile,
                         reload: Callable[[settings.Settings], None],
                         ended: "asyncio.Future[Any]") -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    look = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, look.set)
    waiting = asyncio.ensure_future(stop.wait())
    while not waiting.done() and not ended.done():
        await asyncio.wait((waiting, ended),
                           timeout=_LOOK_S,
                           return_when=asyncio.FIRST_COMPLETED)
        found = file.changed()
        if found is not None or look.is_set():
            log.event("settings:reloaded", signal=look.is_set())
            look.clear()
        if found is not None:
            reload(found)


async def _run_node(file: _SettingsFile, found: settings.MeshNode) -> None:
    running = node.MeshNode(found, wire.HEADERS)
    await running.start()
    servers = [
        await _serve(handlers.CheckInHandler(running), found.check_in), await
        _serve(handlers.ReadinessHandler(running), found.readiness)
    ]
    runtime.tune_gc()

    def reload(changed: settings.Settings) -> None:
        if changed.mesh_node is not None:
            running.add_seeds(changed.mesh_node.control_links())

    never: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    await _until_stopped(file, reload, never)
    await running.stop()
    for made in servers:
        made.abort()


async def _run_control(file: _SettingsFile,
                       found: settings.MeshControl) -> None:
    running = control.MeshControl(found, time.time_ns() // 1000)
    await running.start()
    port = settings.parse_address(found.operator).port
    made = await _serve(handlers.OperatorHandler(running, port), found.operator)
    runtime.tune_gc()

    def reload(changed: settings.Settings) -> None:
        if changed.mesh_control is not None:
            running.add_seeds(changed.mesh_control.control_links())

    await _until_stopped(file, reload, running.failed)
    made.abort()
    await running.stop()


def main() -> None:
    """Runs the role of the settings file until SIGTERM.

    Exit codes: 0 stopped, 2 settings invalid, 3 storage failed.
    """
    log.start_bounded()
    file = _SettingsFile(pathlib.Path(os.environ[wire.SETTINGS_VARIABLE]))
    try:
        found = file.read()
    except errors.ApricothingeError as error:
        print(str(error), file=sys.stderr)
        sys.exit(runtime.EXIT_SETTINGS)
    try:
        if found.mesh_control is not None:
            asyncio.run(_run_control(file, found.mesh_control))
        elif found.mesh_node is not None:
            asyncio.run(_run_node(file, found.mesh_node))
    except errors.ApricothingeError as error:
        print(str(error), file=sys.stderr)
        sys.exit(runtime.EXIT_STORAGE)


if __name__ == "__main__":
    main()
