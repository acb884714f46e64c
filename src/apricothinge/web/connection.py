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
        codec: The state of the messages.
        closed: Whether the transport is closed.
        input_ended: Whether the other side has sent its end of file.
        on_disconnect: Called when the other side ends or the transport closes.
        idle_since: Loop time in seconds when the last exchange ended.
        sent_bytes: Whether the current exchange has put bytes on the wire.
        wait_deadline: Loop time in seconds at which a wait is given up.
        reset: Whether the other side broke off without an orderly end.
        idle_limit_s: Seconds for which the other side keeps it idle.
        out_of_sync: Whether it carried bytes that belong to no exchange.
    """

    __slots__ = ("codec", "closed", "input_ended", "on_disconnect",
                 "idle_since", "transport", "sent_bytes", "wait_deadline",
                 "_loop", "_waiter", "_drain_waiter", "_paused", "_read_ahead",
                 "_on_connect", "_timed_out", "_needs_input", "reset",
                 "idle_limit_s", "out_of_sync")

    def __init__(
            self,
            server: bool,
            max_head_bytes: int,
            on_connect: Callable[["Connection"], None] | None = None) -> None:
        self.codec = wire.Http1Codec(server, max_head_bytes)
        self.closed = False
        self.input_ended = False
        self.on_disconnect: Callable[[], None] | None = None
        self.idle_since = 0.0
        self.sent_bytes = False
        self.wait_deadline = math.inf
        self.transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._paused = False
        self._read_ahead = 0
        self._on_connect = on_connect
        self._timed_out = False
        self._needs_input = True
        self.reset = False
        self.idle_limit_s = math.inf
        self.out_of_sync = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """Buffers input; called by the loop."""
        self.codec.receive_data(data)
        self._needs_input = False
        self._read_ahead += len(data)
        if self._read_ahead > _READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Notes the end of input; called by the loop."""
        self.input_ended = True
        self._needs_input = False
        self.codec.receive_data(b"")
        self._wake()
        self._notify_disconnect()
        # A server may still owe an answer to a caller that half-closed.
        return self.codec.server

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes whoever waits; called by the loop."""
        self.closed = True
        if not self.input_ended:
            self.input_ended = True
            self.reset = exc is not None
            self._needs_input = False
            self.codec.receive_data(b"")
        self._wake()
        self._resume_writers()
        self._notify_disconnect()

    def pause_writing(self) -> None:
        """Starts back pressure; called by the loop."""
        self._paused = True

    def resume_writing(self) -> None:
        """Ends back pressure; called by the loop."""
        self._paused = False
        self._resume_writers()

    def _notify_disconnect(self) -> None:
        if self.on_disconnect is not None:
            self.on_disconnect()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _resume_writers(self) -> None:
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    def check_timeout(self, now: float) -> None:
        """Gives up a wait that has lasted too long.

        One sweep over all connections costs less than a timer for each wait.
        """
        if now < self.wait_deadline:
            return
        self.wait_deadline = math.inf
        self._timed_out = True
        self._wake()
        self._resume_writers()

    def _raise_if_timed_out(self) -> None:
        if self._timed_out:
            self._timed_out = False
            raise TimeoutError

    async def wait_for_input(self) -> None:
        """Waits until something arrives or the connection ends.

        Raises:
            TimeoutError: The time in `wait_deadline` came first.
        """
        self._read_ahead = 0
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        self._raise_if_timed_out()

    async def next_event(self) -> Any:
        """Returns the next event of the wire.

        Raises:
            wire.ProtocolError: The other side broke the protocol, also
                by ending in the middle of a message.
        """
        while True:
            if not self._needs_input:
                event = self.codec.next_event()
                if event is not wire.NEED_DATA:
                    return event
                self._needs_input = True
            await self.wait_for_input()

    def skip_response(self) -> None:
        """Goes on to the next answer on the wire for the same request.

        The one before belongs to no request of this connection.
        """
        self.codec.skip_response()
        self.out_of_sync = True

    def has_unread_input(self) -> bool:
        """Tells whether bytes wait that belong to a later message."""
        return self.codec.has_unread_input

    def send(self, data: bytes) -> None:
        """Writes bytes.

        Raises:
            ConnectionLost: The transport is closed.
        """
        if self.transport is None or self.closed or self.transport.is_closing():
            raise ConnectionLost
        if data:
            self.sent_bytes = True
            self.transport.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer has room.

        Raises:
            ConnectionLost: The transport closed meanwhile.
            TimeoutError: The time in `wait_deadline` came first.
        """
        if self._paused and not self.closed:
            self._drain_waiter = self._loop.create_future()
            try:
                await self._drain_waiter
            finally:
                self._drain_waiter = None
            self._raise_if_timed_out()
        if self.closed:
            raise ConnectionLost

    def usable(self) -> bool:
        """Tells whether a new exchange may start."""
        return not (self.closed or self.input_ended or self.out_of_sync or
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
