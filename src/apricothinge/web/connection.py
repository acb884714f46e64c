"""One HTTP connection: an asyncio protocol around the state of its wire."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from apricothinge.web import wire

__all__ = ["ConnectionLost", "Connection"]

_READ_AHEAD_BYTES = 131072
_WRITE_BUFFER_BYTES = 262144


class ConnectionLost(Exception):
    """The other side is gone before the exchange was complete."""


class Connection(asyncio.Protocol):
    """Events in, bytes out, with back pressure both ways.

    Attributes:
        wire: The state of the messages.
        lost: Whether the transport is closed.
        ended: Whether the other side has sent its end of file.
        on_end: Called once, when the other side ends or the transport closes.
        idle_since: Loop time in seconds when the last exchange ended.
        sent_bytes: Whether the current exchange has put bytes on the wire.
        expires_at: Loop time in seconds at which a wait is given up.
        reset: Whether the other side broke off without an orderly end.
        idle_limit_s: Seconds for which the other side keeps it idle.
        spoiled: Whether it carried bytes that belong to no exchange.
    """

    __slots__ = ("wire", "lost", "ended", "on_end", "idle_since", "transport",
                 "sent_bytes", "expires_at", "_loop", "_waiter",
                 "_drain_waiter", "_paused", "_unread", "_on_made",
                 "_timed_out", "_starved", "reset", "idle_limit_s", "spoiled")

    def __init__(self,
                 server: bool,
                 header_bytes: int,
                 on_made: Callable[["Connection"], None] | None = None) -> None:
        self.wire = wire.Http1Codec(server, header_bytes)
        self.lost = False
        self.ended = False
        self.on_end: Callable[[], None] | None = None
        self.idle_since = 0.0
        self.sent_bytes = False
        self.expires_at = math.inf
        self.transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._paused = False
        self._unread = 0
        self._on_made = on_made
        self._timed_out = False
        self._starved = True
        self.reset = False
        self.idle_limit_s = math.inf
        self.spoiled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Buffers input; called by the loop."""
        self.wire.receive_data(data)
        self._starved = False
        self._unread += len(data)
        if self._unread > _READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Notes the end of input; called by the loop."""
        self.ended = True
        self._starved = False
        self.wire.receive_data(b"")
        self._wake()
        self._notify_end()
        # A server may still owe an answer to a caller that half-closed.
        return self.wire.server

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes whoever waits; called by the loop."""
        self.lost = True
        if not self.ended:
            self.ended = True
            self.reset = exc is not None
            self._starved = False
            self.wire.receive_data(b"")
        self._wake()
        self._resume_writers()
        self._notify_end()

    def pause_writing(self) -> None:
        """Starts back pressure; called by the loop."""
        self._paused = True

    def resume_writing(self) -> None:
        """Ends back pressure; called by the loop."""
        self._paused = False
        self._resume_writers()

    def _notify_end(self) -> None:
        if self.on_end is not None:
            self.on_end()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _resume_writers(self) -> None:
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    def expire(self, now: float) -> None:
        """Gives up a wait that has lasted too long.

        One sweep over all connections costs less than a timer for each wait.
        """
        if now < self.expires_at:
            return
        self.expires_at = math.inf
        self._timed_out = True
        self._wake()
        self._resume_writers()

    def _check_time(self) -> None:
        if self._timed_out:
            self._timed_out = False
            raise TimeoutError

    async def wait_input(self) -> None:
        """Waits until something arrives or the connection ends.

        Raises:
            TimeoutError: The time in `expires_at` came first.
        """
        self._unread = 0
        if self.transport is not None and not self.lost:
            self.transport.resume_reading()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        self._check_time()

    async def next_event(self) -> Any:
        """Returns the next event of the wire.

        Raises:
            wire.ProtocolError: The other side broke the protocol, also
                by ending in the middle of a message.
        """
        while True:
            if not self._starved:
                event = self.wire.next_event()
                if event is not wire.NEED_DATA:
                    return event
                self._starved = True
            await self.wait_input()

    def skip_response(self) -> None:
        """Goes on to the next answer on the wire for the same request.

        The one before belongs to no request of this connection.
        """
        self.wire.skip_response()
        self.spoiled = True

    def has_unread_input(self) -> bool:
        """Tells whether bytes wait that belong to a later message."""
        return self.wire.has_unread_input

    def send(self, data: bytes) -> None:
        """Writes bytes.

        Raises:
            ConnectionLost: The transport is closed.
        """
        if self.transport is None or self.lost or self.transport.is_closing():
            raise ConnectionLost
        if data:
            self.sent_bytes = True
            self.transport.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer has room.

        Raises:
            ConnectionLost: The transport closed meanwhile.
            TimeoutError: The time in `expires_at` came first.
        """
        if self._paused and not self.lost:
            self._drain_waiter = self._loop.create_future()
            try:
                await self._drain_waiter
            finally:
                self._drain_waiter = None
            self._check_time()
        if self.lost:
            raise ConnectionLost

    def usable(self) -> bool:
        """Tells whether a new exchange may start."""
        return not (self.lost or self.ended or self.spoiled or
                    (self.transport is not None and
                     self.transport.is_closing()))

    def close(self) -> None:
        """Closes after what is written has been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes at once with a reset, so that no clean end is seen."""
        if self.transport is not None:
            self.transport.abort()
