"""Calls multiplexed as streams over the link between two nodes."""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge import runtime
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import upstream
from apricothinge.web import client
from apricothinge.web import messages

__all__ = [
    "CallHandler", "IncomingCalls", "LateResponse", "OutgoingCalls",
    "PeerSilent", "WINDOW_BYTES"
]

# Flow control window of one direction of a call. With a round trip of 1 ms it
# permits 250 MB/s per call; 1000 stalled calls buffer at most 256 MB.
WINDOW_BYTES: Final = 256 << 10
_CHUNK_BYTES: Final = 64 << 10
# The node of the caller ends its wait for content sooner.
_UNDELIVERABLE_AFTER_S: Final = 0.5

CallHandler = Callable[[upstream.UpstreamRequest], Awaitable[messages.Response]]


class _Signal:
    """Wakes a single waiter; a wake-up without a waiter has no effect."""

    __slots__ = ("_waiter", "_loop")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None

    def wake(self) -> None:
        """Wakes the waiter, if any."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        """Waits for the next `wake`."""
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


class _ContentReader:
    """Buffers received content for a single reader.

    Attributes:
        failure: Why the content stays incomplete, or None.
    """

    __slots__ = ("failure", "_chunks", "_complete", "_signal", "_on_read")

    def __init__(self, on_read: Callable[[int], None]) -> None:
        self._chunks: collections.deque[bytes] = collections.deque()
        self._complete = False
        self._signal = _Signal()
        self._on_read = on_read
        self.failure: str | None = None

    def put(self, data: bytes, last: bool) -> None:
        """Appends received data."""
        if data:
            self._chunks.append(data)
        self._complete = self._complete or last
        self._signal.wake()

    def fail(self, reason: str) -> None:
        """Makes `read` fail once the buffered data has been read."""
        self.failure = reason
        self._signal.wake()

    async def read(self) -> bytes:
        """Returns the next chunk, or empty bytes at the end of the content.

        Raises:
            client.ExchangeFailed: The content ended early.
        """
        while not self._chunks:
            if self._complete:
                return b""
            if self.failure is not None:
                raise client.ExchangeFailed(self.failure, response_started=True)
            await self._signal.wait()
        data = self._chunks.popleft()
        self._on_read(len(data))
        return data


class _SendWindow:
    """Number of content bytes that the peer permits to send."""

    __slots__ = ("_available", "_signal", "_closed")

    def __init__(self) -> None:
        self._available = WINDOW_BYTES
        self._signal = _Signal()
        self._closed = False

    def add(self, size: int) -> None:
        """Extends the window."""
        self._available += size
        self._signal.wake()

    def close(self) -> None:
        """Makes `acquire` fail, as the peer reads no more content."""
        self._closed = True
        self._signal.wake()

    async def acquire(self, size: int) -> None:
        """Waits until the window permits `size` bytes, and uses them.

        Raises:
            client.ExchangeFailed: The peer reads no more content.
        """
        while self._available < size and not self._closed:
            await self._signal.wait()
        if self._closed:
            raise client.ExchangeFailed("the peer stopped reading the content")
        self._available -= size


async def _send_content(link: connection.Link, stream: int, window: _SendWindow,
                        chunks: AsyncIterator[bytes]) -> None:
    async for chunk in chunks:
        for start in range(0, len(chunk), _CHUNK_BYTES):
            piece = chunk[start:start + _CHUNK_BYTES]
            await window.acquire(len(piece))
            link.send(frames.Data(stream, piece, False))
            await link.drain()
    link.send(frames.Data(stream, b"", True))


class _OutgoingCall:
    """State of a call at the calling node.

    Attributes:
        link: Link on which it was sent.
        head: The head of its response.
        reader: The content of its response.
        window: Content that may be sent.
        hedged: Whether PeerSilent is raised when the other node falls silent.
    """

    __slots__ = ("link", "head", "reader", "window", "hedged")

    def __init__(self, link: connection.Link, loop: asyncio.AbstractEventLoop,
                 on_read: Callable[[int], None], hedged: bool) -> None:
        self.link = link
        self.head: asyncio.Future[frames.ResponseHead | frames.Refusal]
        self.head = loop.create_future()
        self.reader = _ContentReader(on_read)
        self.window = _SendWindow()
        self.hedged = hedged


class LateResponse:
    """The response of a node that has fallen silent, should it still come."""

    __slots__ = ("_calls", "_stream", "_outgoing")

    def __init__(self, calls: "OutgoingCalls", stream: int,
                 outgoing: _OutgoingCall) -> None:
        self._calls = calls
        self._stream = stream
        self._outgoing = outgoing

    async def wait(self) -> messages.Response:
        """Waits for the response; cancelling the wait cancels the call.

        Raises:
            client.ExchangeFailed: The link was lost; the call may have run.
            errors.CallError: The other node refused the call.
        """
        return await self._calls.receive(self._stream, self._outgoing)


class PeerSilent(Exception):
    """The node that a call was sent to has fallen silent.

    Attributes:
        late_response: Its response, which may still come.
    """

    def __init__(self, late_response: LateResponse) -> None:
        super().__init__("the node has fallen silent")
        self.late_response = late_response


class _SilenceNoticed(Exception):
    """Ends the wait for a response, but not the call."""


class OutgoingCalls:
    """Calls to the local upstream of another node.

    Attributes:
        link: Link to the node, or None.
        on_load: Called with each load that the node reports.
    """

    __slots__ = ("link", "on_load", "_call_by_stream", "_last_stream", "_loop")

    def __init__(self, on_load: Callable[[frames.Load], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self.link: connection.Link | None = None
        self.on_load = on_load
        self._call_by_stream: dict[int, _OutgoingCall] = {}
        self._last_stream = 0

    @property
    def running(self) -> int:
        """Number of calls whose response has not been received in full."""
        return len(self._call_by_stream)

    def running_on(self, link: connection.Link) -> bool:
        """Returns whether calls run on a link."""
        return any(
            outgoing.link is link for outgoing in self._call_by_stream.values())

    def notice_silence(self) -> None:
        """Raises PeerSilent in the hedged calls, which continue to run."""
        for outgoing in list(self._call_by_stream.values()):
            if outgoing.hedged and not outgoing.head.done():
                outgoing.hedged = False
                waiting = outgoing.head
                outgoing.head = self._loop.create_future()
                waiting.set_exception(_SilenceNoticed())

    def link_lost(self, link: connection.Link) -> None:
        """Fails the calls of a link that has ended."""
        if self.link is link:
            self.link = None
        for stream, outgoing in list(self._call_by_stream.items()):
            if outgoing.link is not link:
                continue
            del self._call_by_stream[stream]
            if not outgoing.head.done():
                outgoing.head.set_exception(
                    client.ExchangeFailed("the link was lost"))
            outgoing.reader.fail("the link was lost")
            outgoing.window.close()

    def message_received(self, message: frames.Frame) -> None:
        """Handles a message of a call."""
        if isinstance(message, frames.ResponseHead):
            self.on_load(message.load)
            outgoing = self._call_by_stream.get(message.stream)
            if outgoing is not None and not outgoing.head.done():
                outgoing.head.set_result(message)
        elif isinstance(message, frames.Refusal):
            self.on_load(message.load)
            outgoing = self._call_by_stream.get(message.stream)
            if outgoing is not None and not outgoing.head.done():
                outgoing.head.set_result(message)
        elif isinstance(message, frames.Data):
            outgoing = self._call_by_stream.get(message.stream)
            if outgoing is not None:
                outgoing.reader.put(message.data, message.last)
        elif isinstance(message, frames.Credit):
            outgoing = self._call_by_stream.get(message.stream)
            if outgoing is not None:
                outgoing.window.add(message.size)
        elif isinstance(message, frames.Abort):
            outgoing = self._call_by_stream.get(message.stream)
            if outgoing is not None:
                outgoing.reader.fail("the response content ended early")

    async def call(self,
                   upstream_request: upstream.UpstreamRequest,
                   hedged: bool = False) -> messages.Response:
        """Sends a call and returns its response.

        Cancelling this coroutine also cancels the call at the other node.

        Args:
            upstream_request: The request.
            hedged: Whether to raise PeerSilent if the node falls silent; the
                content of the request must be complete.

        Raises:
            client.RequestNotSent: Nothing was sent.
            client.ExchangeFailed: The link was lost; the call may have run.
            errors.CallError: The other node refused the call.
            PeerSilent: The node has fallen silent; the call goes on.
        """
        link = self.link
        if link is None or link.closed:
            raise client.RequestNotSent("no link to the node")
        self._last_stream += 1
        stream = self._last_stream
        outgoing = _OutgoingCall(
            link, self._loop,
            lambda size: link.send(frames.Credit(stream, size)), hedged)
        self._call_by_stream[stream] = outgoing
        link.send(_call_message(upstream_request, stream, self._loop.time()))
        upstream_request.on_withdraw = lambda: self._withdraw(link, stream)
        if upstream_request.body.complete:
            return await self.receive(stream, outgoing)
        send_task = asyncio.ensure_future(
            self._send_body(link, stream, outgoing, upstream_request.body))
        try:
            return await self.receive(stream, outgoing)
        finally:
            await _cancel(send_task)

    @staticmethod
    def _withdraw(link: connection.Link, stream: int) -> None:
        if link.peer_handles_withdrawals and not link.closed:
            link.send(frames.Withdraw(stream))

    async def receive(self, stream: int,
                      outgoing: _OutgoingCall) -> messages.Response:
        """Waits for the response to a call; see `call`."""
        link = outgoing.link
        link.await_reply()
        try:
            head = await outgoing.head
        except _SilenceNoticed:
            raise PeerSilent(LateResponse(self, stream, outgoing)) from None
        except BaseException:
            link.send(frames.Cancel(stream))
            self._call_by_stream.pop(stream, None)
            raise
        finally:
            link.reply_received()
        if isinstance(head, frames.Refusal):
            self._call_by_stream.pop(stream, None)
            raise _error_from_refusal(head)
        return self._make_response(link, stream, outgoing, head)

    @staticmethod
    async def _send_body(link: connection.Link, stream: int,
                         outgoing: _OutgoingCall, body: messages.Body) -> None:
        try:
            await _send_content(link, stream, outgoing.window,
                                _without_prefix(body))
        except client.ExchangeFailed:
            # Either the response arrived before the content was sent, or the
            # future of the head holds the error.
            return
        except Exception as error:  # pylint: disable=broad-exception-caught
            # Reading the caller's content failed.
            link.send(frames.Abort(stream))
            if not outgoing.head.done():
                outgoing.head.set_exception(error)

    def _make_response(self, link: connection.Link, stream: int,
                       outgoing: _OutgoingCall,
                       head: frames.ResponseHead) -> messages.Response:
        if head.complete:
            self._call_by_stream.pop(stream, None)
            response = messages.Response(head.status, head.headers, head.data)
            if head.length is not None:
                response.length = head.length
            return response

        def close(complete: bool) -> None:
            self._call_by_stream.pop(stream, None)
            if not complete:
                link.send(frames.Cancel(stream))

        return messages.Response(head.status, head.headers, head.data,
                                 messages.Content(outgoing.reader.read, close),
                                 head.length)


async def _cancel(task: "asyncio.Task[None]") -> None:
    """Cancels a task and waits for its end.

    A retry reads the same content, which permits only one reader.
    """
    if not task.done():
        task.cancel()
        await asyncio.wait((task,))


async def _without_prefix(body: messages.Body) -> AsyncIterator[bytes]:
    """Yields the content that the Call message does not include."""
    skip = len(body.prefix)
    async for chunk in body.chunks():
        if skip:
            # The first chunk is always the whole prefix.
            skip = 0
            continue
        yield chunk


def _call_message(upstream_request: upstream.UpstreamRequest, stream: int,
                  now: float) -> frames.Call:
    call = upstream_request.call
    return frames.Call(stream, call.method, call.target, call.headers,
                       call.request_id, call.service,
                       call.rank, call.idempotent,
                       round(upstream_request.deadline - now,
                             4), call.objective_s, call.route, call.fingerprint,
                       upstream_request.body.prefix,
                       upstream_request.body.length,
                       upstream_request.body.complete)


def _error_from_refusal(refusal: frames.Refusal) -> errors.CallError:
    try:
        kind = errors.Kind(refusal.kind)
    except ValueError:
        kind = errors.Kind.INTERNAL
    error = errors.CallError(kind,
                             refusal.detail,
                             retry_after_s=refusal.retry_after_s)
    error.not_run = refusal.not_run
    return error


class _IncomingCall:
    """State of a call at the node of the called upstream."""

    __slots__ = ("task", "reader", "window", "upstream_request")

    def __init__(self, on_read: Callable[[int], None]) -> None:
        self.upstream_request: upstream.UpstreamRequest | None = None
        self.task: asyncio.Task[None] | None = None
        self.reader = _ContentReader(on_read)
        self.window = _SendWindow()


class IncomingCalls:
    """Calls from other nodes to the local upstream."""

    __slots__ = ("_handler", "_get_load", "_loop", "_calls_by_link",
                 "_pause_clock")

    def __init__(self, handler: CallHandler, get_load: Callable[[],
                                                                frames.Load],
                 pause_clock: runtime.PauseClock) -> None:
        self._handler = handler
        self._pause_clock = pause_clock
        self._get_load = get_load
        self._loop = asyncio.get_running_loop()
        self._calls_by_link: dict[connection.Link, dict[int,
                                                        _IncomingCall]] = {}

    @property
    def running(self) -> int:
        """Number of calls in progress."""
        return sum(map(len, self._calls_by_link.values()))

    @property
    def links(self) -> list[connection.Link]:
        """Links from other nodes."""
        return list(self._calls_by_link)

    def running_on(self, link: connection.Link) -> bool:
        """Returns whether calls run that came on a link."""
        return bool(self._calls_by_link.get(link))

    def link_opened(self, link: connection.Link) -> None:
        """Registers a new link."""
        self._calls_by_link[link] = {}

    def link_lost(self, link: connection.Link) -> None:
        """Cancels the calls of a link, whose responses cannot be delivered."""
        for incoming in self._calls_by_link.pop(link, {}).values():
            if incoming.task is not None:
                incoming.task.cancel()

    def cancel_undeliverable(self, now: float) -> None:
        """Cancels the calls of silent nodes that have passed their deadline.

        A lost node neither reads a response nor cancels its call, which would
        keep its slot.

        Args:
            now: Loop time in seconds.
        """
        for link, by_stream in self._calls_by_link.items():
            if not by_stream or not link.is_unusable(now):
                continue
            for incoming in by_stream.values():
                request = incoming.upstream_request
                if (request is not None and incoming.task is not None and
                        now > request.deadline + _UNDELIVERABLE_AFTER_S):
                    incoming.task.cancel()

    def message_received(self, link: connection.Link,
                         message: frames.Frame) -> None:
        """Handles a message of a call."""
        by_stream = self._calls_by_link.get(link)
        if by_stream is None:
            return
        if isinstance(message, frames.Call):
            self._start_call(link, by_stream, message)
            return
        if not isinstance(message, (frames.Data, frames.Credit, frames.Cancel,
                                    frames.Abort, frames.Withdraw)):
            return
        incoming = by_stream.get(message.stream)
        if incoming is None:
            return
        if isinstance(message, frames.Data):
            incoming.reader.put(message.data, message.last)
        elif isinstance(message, frames.Credit):
            incoming.window.add(message.size)
        elif isinstance(message, frames.Abort):
            incoming.reader.fail("the request content ended early")
        elif isinstance(message, frames.Withdraw):
            if incoming.upstream_request is not None:
                incoming.upstream_request.withdraw()
        elif incoming.task is not None:
            incoming.window.close()
            incoming.task.cancel()

    def _start_call(self, link: connection.Link, by_stream: dict[int,
                                                                 _IncomingCall],
                    call: frames.Call) -> None:
        stream = call.stream
        incoming = _IncomingCall(
            lambda size: link.send(frames.Credit(stream, size)))
        by_stream[stream] = incoming
        body = messages.Body(call.length,
                             None if call.complete else incoming.reader.read,
                             call.data)
        upstream_request = upstream.UpstreamRequest(
            call, body,
            self._loop.time() + call.remaining_s -
            self._pause_clock.input_age_s())
        incoming.upstream_request = upstream_request
        incoming.task = asyncio.ensure_future(
            self._run(link, incoming, upstream_request))

    async def _run(self, link: connection.Link, incoming: _IncomingCall,
                   upstream_request: upstream.UpstreamRequest) -> None:
        stream = upstream_request.call.stream
        response: messages.Response | None = None
        complete = False
        try:
            response = await self._handler(upstream_request)
            link.send(
                frames.ResponseHead(stream, response.status, response.headers,
                                    response.data, response.length,
                                    response.rest is None, self._get_load()))
            if response.rest is not None:
                await _send_content(link, stream, incoming.window,
                                    response.rest)
            complete = True
        except errors.CallError as error:
            link.send(
                frames.Refusal(stream, error.code, error.detail, error.not_run,
                               error.retry_after_s, self._get_load()))
        except client.ExchangeFailed as error:
            log.event("call:answer_cut",
                      request=upstream_request.call.request_id,
                      error=str(error))
            link.send(frames.Abort(stream))
        except asyncio.CancelledError:
            log.event("call:cancelled",
                      request=upstream_request.call.request_id)
        except Exception as error:  # pylint: disable=broad-exception-caught
            log.event("call:failed",
                      request=upstream_request.call.request_id,
                      error=repr(error))
            link.send(
                frames.Refusal(stream, errors.Kind.INTERNAL.value, "", False,
                               0.0, self._get_load()))
        finally:
            if response is not None:
                if complete:
                    response.notify_done(True)
                else:
                    response.discard()
            by_stream = self._calls_by_link.get(link)
            if by_stream is not None:
                by_stream.pop(stream, None)
