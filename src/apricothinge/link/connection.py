"""A framed TCP connection with keepalive probes and batched writes.

All messages sent in one iteration of the event loop leave in one write.
"""

import abc
import asyncio
import math
import socket
from typing import Final

import eliot
import msgspec

from apricothinge import runtime
from apricothinge.link import frames

__all__ = ["KeepaliveMonitor", "Link", "LinkHandler", "dial"]

# A peer answers a probe within milliseconds. A lost packet is sent again after
# the minimum TCP retransmission timeout of 0.2 s; three round trips over a lossy
# network take less than a second.
_PROBE_AFTER_S: Final = 0.5
# Where a reply is awaited, silence costs a caller its time.
_AWAITING_PROBE_AFTER_S: Final = 0.2
_SUSPECT_AFTER_S: Final = 0.35
# In a large fleet most links are idle at any time. Probing them at the rate of
# active links would cost a node with 91 peers 600 messages per second.
_IDLE_PROBE_AFTER_S: Final = 2.0
_ACTIVE_FOR_S: Final = 2.0
# Sent by both ends regardless of calls, so they do not make a link active.
_BACKGROUND_MESSAGES: Final = (frames.Ping, frames.Pong, frames.Status,
                               frames.Costs)
_PROBE_TIMEOUT_S: Final = 2.5
_UNUSABLE_AFTER_S: Final = 1.2
_CHECK_INTERVAL_S: Final = 0.1
# All links are checked this much less often than those that await a reply.
_CHECKS_PER_SWEEP: Final = 3
# A check that is later than this was held up by this process itself.
_PAUSE_S: Final = 0.5
_CONNECT_TIMEOUT_S: Final = 0.8
_WRITE_BUFFER_BYTES: Final = 1 << 20


class LinkHandler(abc.ABC):
    """Handles the events of links; called from the event loop."""

    __slots__ = ()

    @abc.abstractmethod
    def link_opened(self, link: "Link") -> None:
        """Called when the connection is established."""

    @abc.abstractmethod
    def message_received(self, link: "Link", message: frames.Frame) -> None:
        """Called for each message except probes and their answers."""

    @abc.abstractmethod
    def link_lost(self, link: "Link") -> None:
        """Called once when the connection has ended, whichever end closed it."""

    def is_busy(self, link: "Link") -> bool:
        """Returns whether calls run on a link.

        A silent link with calls is kept: its peer may only be slow or cut off
        for a while, and its work is not to be given up.
        """
        del link
        return False

    def link_silent(self, link: "Link") -> None:
        """Called when a link with calls has been silent for too long.

        The calls may still end. New calls need another link.
        """


class Link(asyncio.Protocol):
    """A connection that carries framed messages in both directions.

    Attributes:
        peer: Instance name of the peer; empty until its Hello arrives.
        closed: Whether the connection has ended.
        last_received_at: Loop time in seconds of the last received bytes.
        retired: Whether the link only waits for its calls to end.
        peer_handles_withdrawals: Whether the peer understands Withdraw.
    """

    __slots__ = ("peer", "peer_handles_withdrawals", "closed",
                 "last_received_at", "_handler", "_transport", "_loop",
                 "_receive_buffer", "_send_queue", "_flush_scheduled",
                 "_probe_sent_at", "_monitor", "_paused", "_writable",
                 "_last_active_at", "retired", "_awaited_replies")

    def __init__(self, handler: LinkHandler,
                 monitor: "KeepaliveMonitor") -> None:
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.peer_handles_withdrawals = False
        self.closed = False
        self.retired = False
        self._awaited_replies = 0
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
        """Configures the transport; called by the event loop."""
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
        """Decodes the received bytes; called by the event loop."""
        self.last_received_at = self._loop.time()
        self._probe_sent_at = math.inf
        buffer = self._receive_buffer
        buffer += data
        offset = 0
        size = len(buffer)
        while size - offset >= frames.LENGTH_BYTES:
            length = frames.frame_length(buffer, offset)
            if length > frames.MAX_FRAME_BYTES:
                self._protocol_error(
                    f"frame of {length} bytes exceeds the limit of"
                    f" {frames.MAX_FRAME_BYTES}")
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
            self.peer_handles_withdrawals = message.handles_withdrawals
        self._handler.message_received(self, message)

    def _protocol_error(self, detail: str) -> None:
        eliot.log_message("link:spoiled", peer=self.peer, error=detail)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the handler; called by the event loop."""
        del exc
        self._handle_loss()

    def _handle_loss(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._monitor.links.discard(self)
        self._monitor.awaiting_links.discard(self)
        if self._writable is not None:
            self._writable.set()
        self._handler.link_lost(self)

    def pause_writing(self) -> None:
        """Applies back pressure; called by the event loop."""
        self._paused = True

    def resume_writing(self) -> None:
        """Releases back pressure; called by the event loop."""
        self._paused = False
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    async def drain(self) -> None:
        """Waits until the write buffer has space or the link has ended."""
        while self._paused and not self.closed:
            if self._writable is None:
                self._writable = asyncio.Event()
            await self._writable.wait()

    def send(self, message: frames.Frame) -> None:
        """Queues a message for the write at the end of this loop iteration."""
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

    def await_reply(self) -> None:
        """Probes the link more eagerly until `reply_received`."""
        self._awaited_replies += 1
        if not self.closed:
            self._monitor.awaiting_links.add(self)

    def reply_received(self) -> None:
        """Ends one `await_reply`."""
        self._awaited_replies -= 1
        if not self._awaited_replies:
            self._monitor.awaiting_links.discard(self)

    def is_suspect(self, now: float) -> bool:
        """Returns whether the peer is late in answering a probe."""
        return now - self._probe_sent_at > _SUSPECT_AFTER_S

    def is_unusable(self, now: float) -> bool:
        """Returns whether the peer is very late in answering a probe."""
        return now - self._probe_sent_at > _UNUSABLE_AFTER_S

    def excuse_silence(self, now: float) -> None:
        """Gives the peer the whole time again to answer a probe."""
        if self._probe_sent_at != math.inf:
            self._probe_sent_at = now

    def check_liveness(self, now: float) -> None:
        """Probes a silent peer, and ends the link if it does not answer."""
        if self._probe_sent_at == math.inf:
            limit_s = _IDLE_PROBE_AFTER_S
            if self._awaited_replies:
                limit_s = _AWAITING_PROBE_AFTER_S
            elif now - self._last_active_at < _ACTIVE_FOR_S:
                limit_s = _PROBE_AFTER_S
            if now - self.last_received_at >= limit_s:
                self._probe_sent_at = now
                self.send(frames.Ping())
        elif now - self._probe_sent_at > _PROBE_TIMEOUT_S:
            self._end_silent_link(now)
        if self.retired and not self._handler.is_busy(self):
            self.abort()

    def _end_silent_link(self, now: float) -> None:
        if self.retired:
            return
        busy = self._handler.is_busy(self)
        eliot.log_message("link:silent",
                          peer=self.peer,
                          silent_s=round(now - self.last_received_at, 3),
                          busy=busy)
        if not busy:
            self.abort()
            return
        self.retired = True
        self._handler.link_silent(self)

    def close(self) -> None:
        """Closes the link after the queued messages are written."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the link at once; unsent data is lost."""
        if self._transport is not None:
            self._transport.abort()
        self._handle_loss()


class KeepaliveMonitor:
    """Checks all links of a process from one timer.

    Attributes:
        links: Established links.
        awaiting_links: Those on which a reply is awaited.
    """

    __slots__ = ("links", "awaiting_links", "_loop", "_checked_at", "_handle",
                 "_checks")

    def __init__(self) -> None:
        self.links: set[Link] = set()
        self.awaiting_links: set[Link] = set()
        self._loop = asyncio.get_running_loop()
        self._checked_at = self._loop.time()
        self._handle: asyncio.TimerHandle | None = None
        self._checks = 0

    def start(self) -> None:
        """Starts the timer."""
        self._checked_at = self._loop.time()
        self._schedule_check()

    def _schedule_check(self) -> None:
        self._handle = self._loop.call_later(
            runtime.seconds_to_next(self._loop.time(), _CHECK_INTERVAL_S),
            self._check_links)

    def stop(self) -> None:
        """Stops the timer and aborts all links."""
        if self._handle is not None:
            self._handle.cancel()
        for link in list(self.links):
            link.abort()

    def _check_links(self) -> None:
        now = self._loop.time()
        # After a pause of this process, the measured silence says nothing about
        # the peers.
        paused = now - self._checked_at > _PAUSE_S
        self._checked_at = now
        self._checks += 1
        if paused:
            for link in self.links:
                link.excuse_silence(now)
        elif self._checks % _CHECKS_PER_SWEEP:
            for link in list(self.awaiting_links):
                link.check_liveness(now)
        else:
            for link in list(self.links):
                link.check_liveness(now)
        self._schedule_check()


async def dial(host: str, port: int, handler: LinkHandler,
               monitor: KeepaliveMonitor) -> Link:
    """Opens a link to an address.

    Raises:
        OSError: The connection failed or timed out.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, link = await loop.create_connection(
                lambda: Link(handler, monitor), host, port)
    except TimeoutError:
        raise OSError(f"connecting to {host}:{port} timed out after"
                      f" {_CONNECT_TIMEOUT_S} s") from None
    return link
