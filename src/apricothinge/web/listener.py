"""A listening socket that loses no accepted connection when it is closed."""

import asyncio
from collections.abc import Callable
import socket
from typing import Final

from apricothinge import log
from apricothinge import settings

__all__ = ["Listener"]

_BACKLOG: Final = 1024
_MAX_ACCEPTS_PER_EVENT: Final = 64
# The process is out of file descriptors or memory until other connections end.
_ACCEPT_RETRY_S: Final = 0.5


class Listener:
    """Accepts connections until it is closed.

    A server of asyncio drops the connections that it has accepted but not yet
    set up when it is closed; their clients would wait for an answer.

    Attributes:
        address: The bound address.
    """

    __slots__ = ("address", "_socket", "_make_protocol", "_loop", "_setups",
                 "_closed")

    def __init__(self, address: settings.Address,
                 make_protocol: Callable[[], asyncio.Protocol]) -> None:
        """Binds an address and starts listening.

        Args:
            address: The address; port 0 binds any free port.
            make_protocol: Makes the protocol of each connection.

        Raises:
            OSError: The address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._make_protocol = make_protocol
        self._setups: set[asyncio.Task[object]] = set()
        self._closed = False
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.create_server((address.host, address.port),
                                            family=family,
                                            backlog=_BACKLOG)
        self._socket.setblocking(False)
        self.address = settings.Address(address.host,
                                        self._socket.getsockname()[1])
        self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> bool:
        """Accepts a batch; returns whether further connections may wait."""
        for _ in range(_MAX_ACCEPTS_PER_EVENT):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as error:
                log.event("listener:accept_failed", error=str(error))
                self._loop.remove_reader(self._socket)
                self._loop.call_later(_ACCEPT_RETRY_S, self._resume)
                return False
            accepted.setblocking(False)
            task: asyncio.Task[object] = asyncio.ensure_future(
                self._set_up(accepted))
            self._setups.add(task)
            task.add_done_callback(self._setups.discard)
        return True

    async def _set_up(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_protocol,
                                                     accepted)
        except OSError:
            # The client has gone already.
            accepted.close()

    def _resume(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Stops accepting; connections made so far are still set up."""
        if self._closed:
            return
        self._closed = True
        # The kernel resets connections that wait to be accepted.
        for _ in range(_BACKLOG // _MAX_ACCEPTS_PER_EVENT + 1):
            if not self._accept():
                break
        self._loop.remove_reader(self._socket)
        self._socket.close()

    async def wait_closed(self) -> None:
        """Waits until all accepted connections have been set up."""
        while self._setups:
            await asyncio.wait(list(self._setups))
