"""Settings file, servers and signals of a process on the platform."""

import asyncio
from collections.abc import Callable
import pathlib
import signal
import types
from typing import Any, Final

from apricothinge import errors
from apricothinge import log
from apricothinge import settings
from apricothinge.web import server

__all__ = ["SettingsFile", "Signals", "reload_until_stopped", "start_server"]

# The platform may change the settings file without sending SIGHUP, so its
# modification time is polled.
_POLL_INTERVAL_S: Final = 1.0
_SERVER_LIMITS: Final = settings.Limits(header_timeout_s=5.0,
                                        idle_timeout_s=30.0)


class SettingsFile:
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


async def start_server(handler: server.Handler, address: str) -> server.Server:
    """Starts an HTTP server at "IP:port"."""
    http_server = server.Server(handler, _SERVER_LIMITS)
    await http_server.start(settings.parse_address(address))
    return http_server


class Signals:
    """Signals of the process; created before the process starts to listen.

    Until then, the default action of SIGTERM, SIGINT and SIGHUP ends the
    process without answers to the requests that it has accepted.

    Attributes:
        stopped: Done once SIGTERM or SIGINT has been received. Further ones
            have no effect.
        stopped_at: Loop time in seconds at which the first of these came, or
            None.
        reload_requested: Whether SIGHUP has been received since it was reset.
    """

    __slots__ = ("stopped", "stopped_at", "reload_requested", "_loop")

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._loop = loop
        self.stopped_at: float | None = None
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.reload_requested = False
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop)
            # The event loop calls its handlers by a file descriptor. Python
            # calls this one at once, however busy the event loop is.
            signal.signal(signal_number, self._record_stop)
        loop.add_signal_handler(signal.SIGHUP, self._request_reload)

    def ignore(self) -> None:
        """Ignores further signals until the process has ended.

        The event loop would restore their default action when it is closed.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self._loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)

    def _record_stop(self, signal_number: int,
                     frame: types.FrameType | None) -> None:
        del signal_number, frame
        if self.stopped_at is None:
            self.stopped_at = self._loop.time()

    def _stop(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def _request_reload(self) -> None:
        self.reload_requested = True


async def reload_until_stopped(signals: Signals, settings_file: SettingsFile,
                               apply_settings: Callable[[settings.Settings],
                                                        None],
                               failed: "asyncio.Future[Any]") -> None:
    """Reads changed settings until SIGTERM or SIGINT, or `failed` is done."""
    while True:
        await asyncio.wait((signals.stopped, failed),
                           timeout=_POLL_INTERVAL_S,
                           return_when=asyncio.FIRST_COMPLETED)
        if signals.stopped.done() or failed.done():
            return
        changed = settings_file.read_if_changed()
        if changed is not None or signals.reload_requested:
            log.event("settings:reloaded",
                      signal=signals.reload_requested,
                      changed=changed is not None)
            signals.reload_requested = False
        if changed is None:
            continue
        try:
            apply_settings(changed)
        except ValueError as error:
            # Addresses of a mesh are parsed only where they are used.
            log.event("settings:not_applied", error=str(error))
