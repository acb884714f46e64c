"""An HTTP connection: an asyncio protocol around an HTTP/1.1 codec."""

import asyncio
from collections.abc import Callable
import math
from typing import Any

from apricothinge.web import wire

__all__ = ["Connection", "ConnectionLost"]

_READ_AHEAD_BYTES = 131072
_WRITE_BUFFER_BYTES = 262144


class ConnectionLost(Exception):
    """The connection was lost before the exchange was complete."""


class Connection(asyncio.Protocol):
    """Reads events and writes bytes, with back pressure in both directions.

    Attributes:
        codec: Parses and serialises the messages.
        closed: Whether the transport is closed.
        input_ended: Whether the peer has sent EOF or the transport is closed.
        on_disconnect: Called when the peer sends EOF and when the transport
            closes.
        on_input: Called after input has been parsed.
        idle_since: Loop time in seconds at which the last exchange ended.
        transport: The transport, None before the connection is made.
        sent_bytes: Whether the current exchange has written any bytes.
        wait_deadline: Loop time in seconds at which a wait times out.
        reset: Whether the transport closed without EOF.
        idle_limit_s: Maximum idle time in seconds before the connection is no
            longer reused.
        out_of_sync: Whether a response that belongs to no exchange was
            received. Such a connection is not reused.
        reused: Whether an earlier exchange has ended on the connection.
    """

    __slots__ = ("codec", "closed", "input_ended", "on_disconnect",
                 "idle_since", "transport", "sent_bytes", "wait_deadline",
                 "_loop", "_waiter", "_drain_waiter", "_paused", "_read_ahead",
                 "_on_connect", "_timed_out", "_needs_input", "reset",
                 "idle_limit_s", "out_of_sync", "reused", "on_input",
                 "_input_age_s")

    def __init__(self,
                 server: bool,
                 max_head_bytes: int,
                 on_connect: Callable[["Connection"], None] | None = None,
                 input_age_s: Callable[[], float] | None = None) -> None:
        self.codec = wire.Http1Codec(server, max_head_bytes)
        self.closed = False
        self.input_ended = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_input: Callable[[], None] | None = None
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
        self._input_age_s = input_age_s
        self._timed_out = False
        self._needs_input = True
        self.reset = False
        self.idle_limit_s = math.inf
        self.out_of_sync = False
        self.reused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """Passes input to the codec; called by the event loop.

        Pauses reading if too much input has not been read.
        """
        self.codec.received_at = self._loop.time()
        if self._input_age_s is not None:
            self.codec.received_at -= self._input_age_s()
        self.codec.receive_data(data)
        self._needs_input = False
        self._read_ahead += len(data)
        if self._read_ahead > _READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake()
        if self.on_input is not None:
            self.on_input()

    def eof_received(self) -> bool:
        """Records the end of input; called by the event loop."""
        self.input_ended = True
        self._needs_input = False
        self.codec.receive_data(b"")
        self._wake()
        self._notify_disconnect()
        # Keeps the transport of a server open, since a client that half-closed
        # may still wait for its response.
        return self.codec.server

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes all waiting tasks; called by the event loop."""
        del exc
        self.closed = True
        if not self.input_ended:
            self.input_ended = True
            self.reset = True
            self._needs_input = False
            self.codec.receive_data(b"")
        self._wake()
        self._resume_writers()
        self._notify_disconnect()

    def pause_writing(self) -> None:
        """Makes `drain` wait; called by the event loop."""
        self._paused = True

    def resume_writing(self) -> None:
        """Wakes the task that waits in `drain`; called by the event loop."""
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
        """Times out the current wait if its deadline has passed.

        One periodic sweep over all connections costs less than a timer for
        each wait.

        Args:
            now: Current loop time in seconds.
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

    @property
    def read_ahead_bytes(self) -> int:
        """Number of bytes received since the last wait for input."""
        return self._read_ahead

    async def wait_for_input(self) -> None:
        """Waits until input arrives or the connection ends.

        Raises:
            TimeoutError: `wait_deadline` passed first.
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
        """Returns the next event of the codec.

        Raises:
            TimeoutError: `wait_deadline` passed first.
            wire.ProtocolError: The peer violated the protocol, for example by
                closing the connection in the middle of a message.
        """
        while True:
            if not self._needs_input:
                event = self.codec.next_event()
                if event is not wire.NEED_DATA:
                    return event
                self._needs_input = True
            await self.wait_for_input()

    def skip_response(self) -> None:
        """Continues with the next response to the same request.

        The previous response belonged to no request of this connection.
        """
        self.codec.skip_response()
        self.out_of_sync = True

    def has_unread_input(self) -> bool:
        """Returns whether input has been received but not read."""
        return self.codec.has_unread_input

    def send(self, data: bytes) -> None:
        """Writes bytes to the transport.

        Raises:
            ConnectionLost: The transport is closed.
        """
        if self.transport is None or self.closed or self.transport.is_closing():
            raise ConnectionLost
        if data:
            self.sent_bytes = True
            self.transport.write(data)

    @property
    def sent_whole(self) -> bool:
        """Whether the system has taken the whole message that was sent."""
        return (self.codec.sending is wire.Stage.DONE and
                (self.transport is None or
                 not self.transport.get_write_buffer_size()))

    async def drain(self) -> None:
        """Waits until the write buffer has room.

        Raises:
            ConnectionLost: The transport is closed.
            TimeoutError: `wait_deadline` passed first.
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
        """Returns whether a new exchange may start."""
        return not (self.closed or self.input_ended or self.out_of_sync or
                    (self.transport is not None and
                     self.transport.is_closing()))

    def close(self) -> None:
        """Closes the transport after flushing its write buffer."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes at once with a reset, so that the peer sees no clean end."""
        if self.transport is not None:
            self.transport.abort()
