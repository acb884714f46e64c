"""One framed connection, with probes and one write a turn of the loop."""

import abc
import asyncio
import math
import socket
from typing import Final

import eliot
import msgspec

from apricothinge.link import frames

__all__ = ["KeepaliveMonitor", "Link", "LinkHandler", "dial"]

# A peer answers a probe within milliseconds; three round trips of a link
# that loses packets, with TCP's smallest retransmission time of 0.2 s, fit
# in a second.
_PROBE_AFTER_S: Final = 0.5
# In a large fleet most links carry no calls at a time. Probing all of them as
# often would be 600 messages a second at a node with 91 others.
_IDLE_PROBE_AFTER_S: Final = 2.0
_ACTIVE_FOR_S: Final = 3.0
# What both ends send whether or not there are calls.
_BACKGROUND_MESSAGES: Final = (frames.Ping, frames.Pong, frames.Status,
                               frames.Costs)
_PROBE_TIMEOUT_S: Final = 2.5
_SUSPECT_AFTER_S: Final = 1.2
_CHECK_INTERVAL_S: Final = 0.25
_CONNECT_TIMEOUT_S: Final = 0.8
_WRITE_BUFFER_BYTES: Final = 1 << 20


class LinkHandler(abc.ABC):
    """Takes what a link brings; called by the loop."""

    __slots__ = ()

    @abc.abstractmethod
    def link_opened(self, link: "Link") -> None:
        """The connection stands."""

    @abc.abstractmethod
    def message_received(self, link: "Link", message: frames.Frame) -> None:
        """A message has arrived."""

    @abc.abstractmethod
    def link_lost(self, link: "Link") -> None:
        """The connection has ended, whoever ended it."""


class Link(asyncio.Protocol):
    """Messages in, messages out.

    Attributes:
        peer: Name of the other end, after its Hello.
        closed: Whether it has ended.
        last_received_at: Loop time in seconds of the last bytes.
    """

    __slots__ = ("peer", "closed", "last_received_at", "_handler", "_transport",
                 "_loop", "_receive_buffer", "_send_queue", "_flush_scheduled",
                 "_probe_sent_at", "_monitor", "_paused", "_writable",
                 "_last_active_at")

    def __init__(self, handler: LinkHandler,
                 monitor: "KeepaliveMonitor") -> None:
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.closed = False
        self.last_received_at = self._loop.time()
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._receive_buffer = bytearray()
        self._send_queue: list[bytes] = []
        self._flush_scheduled = False
        self._probe_sent_at = math.inf
        self._monitor = monitor
        self._paused = False
        self._writable: asyncio.Event | None = None
        self._last_active_at = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_received_at = self._loop.time()
        self._monitor.links.add(self)
        self._handler.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Cuts input into messages; called by the loop."""
        self.last_received_at = self._loop.time()
        self._probe_sent_at = math.inf
        buffer = self._receive_buffer
        buffer += data
        offset = 0
        size = len(buffer)
        while size - offset >= frames.LENGTH_BYTES:
            length = frames.frame_length(buffer, offset)
            if length > frames.MAX_FRAME_BYTES:
                self._protocol_error("a frame is too large")
                return
            end = offset + frames.LENGTH_BYTES + length
            if end > size:
                break
            body = bytes(buffer[offset + frames.LENGTH_BYTES:end])
            offset = end
            try:
                message = frames.decode(body)
            except msgspec.MsgspecError as error:
                self._protocol_error(str(error))
                return
            self._dispatch(message)
            if self.closed:
                return
        del buffer[:offset]

    def _dispatch(self, message: frames.Frame) -> None:
        if isinstance(message, frames.Ping):
            self.send(frames.Pong())
            return
        if isinstance(message, frames.Pong):
            return
        if not isinstance(message, _BACKGROUND_MESSAGES):
            self._last_active_at = self.last_received_at
        if isinstance(message, frames.Hello):
            self.peer = message.instance
        self._handler.message_received(self, message)

    def _protocol_error(self, detail: str) -> None:
        eliot.log_message("link:spoiled", peer=self.peer, error=detail)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the handler; called by the loop."""
        del exc
        self._handle_loss()

    def _handle_loss(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._monitor.links.discard(self)
        if self._writable is not None:
            self._writable.set()
        self._handler.link_lost(self)

    def pause_writing(self) -> None:
        """Starts back pressure; called by the loop."""
        self._paused = True

    def resume_writing(self) -> None:
        """Ends back pressure; called by the loop."""
        self._paused = False
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    async def drain(self) -> None:
        """Waits until the write buffer has room or the link has ended."""
        while self._paused and not self.closed:
            if self._writable is None:
                self._writable = asyncio.Event()
            await self._writable.wait()

    def send(self, message: frames.Frame) -> None:
        """Sends a message with all others of this turn of the loop."""
        if self.closed:
            return
        if not isinstance(message, _BACKGROUND_MESSAGES):
            self._last_active_at = self._loop.time()
        self._send_queue.append(frames.encode(message))
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        encoded, self._send_queue = self._send_queue, []
        if self._transport is not None and not self.closed and encoded:
            self._transport.write(b"".join(encoded) if len(encoded) >
                                  1 else encoded[0])

    def is_suspect(self, now: float) -> bool:
        """Tells whether a probe has been unanswered for some time."""
        return now - self._probe_sent_at > _SUSPECT_AFTER_S

    def check(self, now: float) -> None:
        """Probes a silent link, and ends one that stays silent."""
        if self._probe_sent_at == math.inf:
            active = now - self._last_active_at < _ACTIVE_FOR_S
            if now - self.last_received_at >= (_PROBE_AFTER_S if active else
                                               _IDLE_PROBE_AFTER_S):
                self._probe_sent_at = now
                self.send(frames.Ping())
        elif now - self._probe_sent_at > _PROBE_TIMEOUT_S:
            eliot.log_message("link:silent",
                              peer=self.peer,
                              silent_s=round(now - self.last_received_at, 3))
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
        self._handle_loss()


class KeepaliveMonitor:
    """Probes all links of a process by one timer.

    Attributes:
        links: Those that stand.
    """

    __slots__ = ("links", "_loop", "_checked_at", "_handle")

    def __init__(self) -> None:
        self.links: set[Link] = set()
        self._loop = asyncio.get_running_loop()
        self._checked_at = self._loop.time()
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins to sweep."""
        self._checked_at = self._loop.time()
        self._handle = self._loop.call_later(_CHECK_INTERVAL_S,
                                             self._check_links)

    def stop(self) -> None:
        """Ends sweeping and all links."""
        if self._handle is not None:
            self._handle.cancel()
        for link in list(self.links):
            link.abort()

    def _check_links(self) -> None:
        now = self._loop.time()
        # After a pause of this process, silence says nothing about peers.
        paused = now - self._checked_at > 4 * _CHECK_INTERVAL_S
        self._checked_at = now
        for link in list(self.links):
            if not paused:
                link.check(now)
        self._handle = self._loop.call_later(_CHECK_INTERVAL_S,
                                             self._check_links)


async def dial(host: str, port: int, handler: LinkHandler,
               monitor: KeepaliveMonitor) -> Link:
    """Opens a link.

    Raises:
        OSError: It could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, link = await loop.create_connection(
                lambda: Link(handler, monitor), host, port)
    except TimeoutError:
        raise OSError(f"{host}:{port}: no connection within"
                      f" {_CONNECT_TIMEOUT_S} s") from None
    return link
