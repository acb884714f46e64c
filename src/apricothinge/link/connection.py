"""One framed connection, with probes and one write a turn of the loop."""

import abc
import asyncio
import math
import socket
from typing import Final

import eliot
import msgspec

from apricothinge.link import frames

__all__ = ["Link", "Receiver", "Sweeper", "dial"]

# A peer answers a probe within milliseconds; three round trips of a link
# that loses packets, with TCP's smallest retransmission time of 0.2 s, fit
# in a second.
_PROBE_AFTER_S: Final = 0.5
# In a large fleet most links carry no calls at a time. Probing all of them as
# often would be 600 messages a second at a node with 91 others.
_IDLE_PROBE_AFTER_S: Final = 2.0
_IN_USE_S: Final = 3.0
# What both ends send whether or not there are calls.
_UNASKED: Final = (frames.Ping, frames.Pong, frames.Status, frames.Costs)
_SILENT_S: Final = 2.5
_SUSPECT_S: Final = 1.2
_SWEEP_S: Final = 0.25
_CONNECT_S: Final = 0.8
_WRITE_BUFFER_BYTES: Final = 1 << 20


class Receiver(abc.ABC):
    """Takes what a link brings; called by the loop."""

    __slots__ = ()

    @abc.abstractmethod
    def opened(self, link: "Link") -> None:
        """The connection stands."""

    @abc.abstractmethod
    def received(self, link: "Link", message: frames.Frame) -> None:
        """A message has arrived."""

    @abc.abstractmethod
    def lost(self, link: "Link") -> None:
        """The connection has ended, whoever ended it."""


class Link(asyncio.Protocol):
    """Messages in, messages out.

    Attributes:
        peer: Name of the other end, after its Hello.
        closed: Whether it has ended.
        heard_at: Loop time in seconds of the last bytes.
    """

    __slots__ = ("peer", "closed", "heard_at", "_receiver", "_transport",
                 "_loop", "_input", "_outbox", "_flushing", "_asked_at",
                 "_sweeper", "_paused", "_room", "_used_at")

    def __init__(self, receiver: Receiver, sweeper: "Sweeper") -> None:
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.closed = False
        self.heard_at = self._loop.time()
        self._receiver = receiver
        self._transport: asyncio.Transport | None = None
        self._input = bytearray()
        self._outbox: list[bytes] = []
        self._flushing = False
        self._asked_at = math.inf
        self._sweeper = sweeper
        self._paused = False
        self._room: asyncio.Event | None = None
        self._used_at = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        found = transport.get_extra_info("socket")
        if found is not None:
            found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.heard_at = self._loop.time()
        self._sweeper.links.add(self)
        self._receiver.opened(self)

    def data_received(self, data: bytes) -> None:
        """Cuts input into messages; called by the loop."""
        self.heard_at = self._loop.time()
        self._asked_at = math.inf
        buffered = self._input
        buffered += data
        offset = 0
        size = len(buffered)
        while size - offset >= frames.LENGTH_BYTES:
            length = frames.frame_length(buffered, offset)
            if length > frames.LARGEST_FRAME_BYTES:
                self._spoiled("a frame is too large")
                return
            end = offset + frames.LENGTH_BYTES + length
            if end > size:
                break
            body = bytes(buffered[offset + frames.LENGTH_BYTES:end])
            offset = end
            try:
                message = frames.decode(body)
            except msgspec.MsgspecError as error:
                self._spoiled(str(error))
                return
            self._take(message)
            if self.closed:
                return
        del buffered[:offset]

    def _take(self, message: frames.Frame) -> None:
        if isinstance(message, frames.Ping):
            self.send(frames.Pong())
            return
        if isinstance(message, frames.Pong):
            return
        if not isinstance(message, _UNASKED):
            self._used_at = self.heard_at
        if isinstance(message, frames.Hello):
            self.peer = message.instance
        self._receiver.received(self, message)

    def _spoiled(self, detail: str) -> None:
        eliot.log_message("link:spoiled", peer=self.peer, error=detail)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the receiver; called by the loop."""
        del exc
        self._end()

    def _end(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._sweeper.links.discard(self)
        if self._room is not None:
            self._room.set()
        self._receiver.lost(self)

    def pause_writing(self) -> None:
        """Starts back pressure; called by the loop."""
        self._paused = True

    def resume_writing(self) -> None:
        """Ends back pressure; called by the loop."""
        self._paused = False
        if self._room is not None:
            self._room.set()
            self._room = None

    async def drain(self) -> None:
        """Waits until the write buffer has room or the link has ended."""
        while self._paused and not self.closed:
            if self._room is None:
                self._room = asyncio.Event()
            await self._room.wait()

    def send(self, message: frames.Frame) -> None:
        """Sends a message with all others of this turn of the loop."""
        if self.closed:
            return
        if not isinstance(message, _UNASKED):
            self._used_at = self._loop.time()
        self._outbox.append(frames.encode(message))
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        parts, self._outbox = self._outbox, []
        if self._transport is not None and not self.closed and parts:
            self._transport.write(b"".join(parts) if len(parts) >
                                  1 else parts[0])

    def suspect(self, now: float) -> bool:
        """Tells whether a probe has been unanswered for some time."""
        return now - self._asked_at > _SUSPECT_S

    def sweep(self, now: float) -> None:
        """Probes a silent link, and ends one that stays silent."""
        if self._asked_at == math.inf:
            in_use = now - self._used_at < _IN_USE_S
            if now - self.heard_at >= (_PROBE_AFTER_S
                                       if in_use else _IDLE_PROBE_AFTER_S):
                self._asked_at = now
                self.send(frames.Ping())
        elif now - self._asked_at > _SILENT_S:
            eliot.log_message("link:silent",
                              peer=self.peer,
                              silent_s=round(now - self.heard_at, 3))
            self.abort()

    def close(self) -> None:
        """Ends the link after what is written."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Ends the link at once."""
        if self._transport is not None:
            self._transport.abort()
        self._end()


class Sweeper:
    """Probes all links of a process by one timer.

    Attributes:
        links: Those that stand.
    """

    __slots__ = ("links", "_loop", "_swept_at", "_handle")

    def __init__(self) -> None:
        self.links: set[Link] = set()
        self._loop = asyncio.get_running_loop()
        self._swept_at = self._loop.time()
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins to sweep."""
        self._swept_at = self._loop.time()
        self._handle = self._loop.call_later(_SWEEP_S, self._sweep)

    def stop(self) -> None:
        """Ends sweeping and all links."""
        if self._handle is not None:
            self._handle.cancel()
        for link in list(self.links):
            link.abort()

    def _sweep(self) -> None:
        now = self._loop.time()
        # After a pause of this process, silence says nothing about peers.
        paused = now - self._swept_at > 4 * _SWEEP_S
        self._swept_at = now
        for link in list(self.links):
            if not paused:
                link.sweep(now)
        self._handle = self._loop.call_later(_SWEEP_S, self._sweep)


async def dial(host: str, port: int, receiver: Receiver,
               sweeper: Sweeper) -> Link:
    """Opens a link.

    Raises:
        OSError: It could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_CONNECT_S):
            _, made = await loop.create_connection(
                lambda: Link(receiver, sweeper), host, port)
    except TimeoutError:
        raise OSError(f"{host}:{port}: no connection within"
                      f" {_CONNECT_S} s") from None
    return made
