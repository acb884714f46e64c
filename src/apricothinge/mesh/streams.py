"""Both ends of the calls that share a link between two nodes."""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import upstream
from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["Callers", "Outgoing", "Serve", "WINDOW_BYTES"]

# Content on its way for one call; at 1 ms there and back it lets a call have
# 250 MB/s, and a thousand stalled calls hold 256 MB in the worst case.
WINDOW_BYTES: Final = 256 << 10
_CHUNK_BYTES: Final = 64 << 10

Serve = Callable[[upstream.UpstreamRequest], Awaitable[messages.Answer]]


class _Signal:
    """Wakes one waiter; what happens while nobody waits is not kept."""

    __slots__ = ("_waiter", "_loop")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None

    def wake(self) -> None:
        """Ends the wait, if there is one."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        """Waits for the next `wake`."""
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


class _Inflow:
    """Content that arrives in pieces and is read by one reader.

    Attributes:
        broken: Why no more will come, once that is known.
    """

    __slots__ = ("broken", "_chunks", "_last", "_changed", "_taken")

    def __init__(self, taken: Callable[[int], None]) -> None:
        self._chunks: collections.deque[bytes] = collections.deque()
        self._last = False
        self._changed = _Signal()
        self._taken = taken
        self.broken: str | None = None

    def put(self, data: bytes, last: bool) -> None:
        """Adds a piece."""
        if data:
            self._chunks.append(data)
        self._last = self._last or last
        self._changed.wake()

    def end(self, why: str) -> None:
        """Tells the reader that the rest will not come."""
        self.broken = why
        self._changed.wake()

    async def read(self) -> bytes:
        """Returns the next piece, empty at the end.

        Raises:
            client.Lost: The rest will not come.
        """
        while not self._chunks:
            if self._last:
                return b""
            if self.broken is not None:
                raise client.Lost(self.broken, answer_begun=True)
            await self._changed.wait()
        data = self._chunks.popleft()
        self._taken(len(data))
        return data


class _Outflow:
    """Room that the other end has given for content."""

    __slots__ = ("_room", "_changed", "_broken")

    def __init__(self) -> None:
        self._room = WINDOW_BYTES
        self._changed = _Signal()
        self._broken = False

    def add(self, size: int) -> None:
        """Takes in more room."""
        self._room += size
        self._changed.wake()

    def end(self) -> None:
        """Gives up: the other end reads no more."""
        self._broken = True
        self._changed.wake()

    async def take(self, size: int) -> None:
        """Waits for room.

        Raises:
            client.Lost: The other end reads no more.
        """
        while self._room < size and not self._broken:
            await self._changed.wait()
        if self._broken:
            raise client.Lost("the other end reads no more")
        self._room -= size


async def _send_rest(link: connection.Link, stream: int, flow: _Outflow,
                     chunks: AsyncIterator[bytes]) -> None:
    async for chunk in chunks:
        for start in range(0, len(chunk), _CHUNK_BYTES):
            piece = chunk[start:start + _CHUNK_BYTES]
            await flow.take(len(piece))
            link.send(frames.Data(stream, piece, False))
            await link.drain()
    link.send(frames.Data(stream, b"", True))


class _Exchange:
    """One call as the calling node sees it."""

    __slots__ = ("head", "inflow", "outflow")

    def __init__(self, loop: asyncio.AbstractEventLoop,
                 taken: Callable[[int], None]) -> None:
        self.head: asyncio.Future[frames.AnswerHead | frames.Refusal]
        self.head = loop.create_future()
        self.inflow = _Inflow(taken)
        self.outflow = _Outflow()


class Outgoing:
    """Calls to one other node.

    Attributes:
        link: The link, while there is one.
        on_load: Called with each load that the other node tells.
    """

    __slots__ = ("link", "on_load", "_exchange_by_stream", "_last_stream",
                 "_loop")

    def __init__(self, on_load: Callable[[frames.Load], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self.link: connection.Link | None = None
        self.on_load = on_load
        self._exchange_by_stream: dict[int, _Exchange] = {}
        self._last_stream = 0

    def lost(self) -> None:
        """Takes in that the link has ended."""
        self.link = None
        exchanges, self._exchange_by_stream = self._exchange_by_stream, {}
        for exchange in exchanges.values():
            if not exchange.head.done():
                exchange.head.set_exception(client.Lost("the link was lost"))
            exchange.inflow.end("the link was lost")
            exchange.outflow.end()

    def take(self, message: frames.Frame) -> None:
        """Takes in a message that belongs to a call."""
        if isinstance(message, frames.AnswerHead):
            self.on_load(message.load)
            exchange = self._exchange_by_stream.get(message.stream)
            if exchange is not None and not exchange.head.done():
                exchange.head.set_result(message)
        elif isinstance(message, frames.Refusal):
            self.on_load(message.load)
            exchange = self._exchange_by_stream.get(message.stream)
            if exchange is not None and not exchange.head.done():
                exchange.head.set_result(message)
        elif isinstance(message, frames.Data):
            exchange = self._exchange_by_stream.get(message.stream)
            if exchange is not None:
                exchange.inflow.put(message.data, message.last)
        elif isinstance(message, frames.Credit):
            exchange = self._exchange_by_stream.get(message.stream)
            if exchange is not None:
                exchange.outflow.add(message.size)
        elif isinstance(message, frames.Abort):
            exchange = self._exchange_by_stream.get(message.stream)
            if exchange is not None:
                exchange.inflow.end("the answer was cut")

    async def call(self, work: upstream.UpstreamRequest) -> messages.Answer:
        """Sends a call and returns its answer.

        Cancelling it tells the other node.

        Raises:
            client.NotConnected: Nothing was sent.
            client.Lost: The link broke; what became of it is not known.
            errors.CallError: As the other node refused it.
        """
        link = self.link
        if link is None or link.closed:
            raise client.NotConnected("no link")
        self._last_stream += 1
        stream = self._last_stream
        exchange = _Exchange(
            self._loop, lambda size: link.send(frames.Credit(stream, size)))
        self._exchange_by_stream[stream] = exchange
        sender: asyncio.Task[None] | None = None
        finished = False
        try:
            link.send(_numbered(work, stream, self._loop.time()))
            if not work.body.complete:
                sender = asyncio.ensure_future(
                    self._send_body(link, stream, exchange, work.body))
            head = await exchange.head
            finished = True
        finally:
            if sender is not None:
                await _stop(sender)
            if not finished:
                link.send(frames.Cancel(stream))
                self._exchange_by_stream.pop(stream, None)
        if isinstance(head, frames.Refusal):
            self._exchange_by_stream.pop(stream, None)
            raise _error(head)
        return self._answer(link, stream, exchange, head)

    @staticmethod
    async def _send_body(link: connection.Link, stream: int,
                         exchange: _Exchange, body: messages.Body) -> None:
        try:
            await _send_rest(link, stream, exchange.outflow,
                             _without_prefix(body))
        except client.Lost:
            # An answer may have come early; if not, the head tells.
            return
        except Exception as error:  # pylint: disable=broad-exception-caught
            # The caller's content ended early.
            link.send(frames.Abort(stream))
            if not exchange.head.done():
                exchange.head.set_exception(error)

    def _answer(self, link: connection.Link, stream: int, exchange: _Exchange,
                head: frames.AnswerHead) -> messages.Answer:
        if head.complete:
            self._exchange_by_stream.pop(stream, None)
            answer = messages.Answer(head.status, head.headers, head.data)
            if head.length is not None:
                answer.length = head.length
            return answer

        async def rest() -> AsyncIterator[bytes]:
            whole = False
            try:
                while True:
                    chunk = await exchange.inflow.read()
                    if not chunk:
                        whole = True
                        return
                    yield chunk
            finally:
                self._exchange_by_stream.pop(stream, None)
                if not whole:
                    link.send(frames.Cancel(stream))

        return messages.Answer(head.status, head.headers, head.data, rest(),
                               head.length)


async def _stop(task: "asyncio.Task[None]") -> None:
    """Cancels a task and waits, so that nobody reads beside the next one."""
    if not task.done():
        task.cancel()
        await asyncio.wait((task,))


async def _without_prefix(body: messages.Body) -> AsyncIterator[bytes]:
    """Yields the content that the head did not carry."""
    skip = len(body.prefix)
    async for chunk in body.chunks():
        if skip:
            # The prefix is always the first piece, whole.
            skip = 0
            continue
        yield chunk


def _numbered(work: upstream.UpstreamRequest, stream: int,
              now: float) -> frames.Call:
    call = work.call
    return frames.Call(stream, call.method, call.target, call.headers,
                       call.request_id,
                       call.service, call.rank, call.idempotent,
                       round(work.deadline - now,
                             4), call.objective_s, call.route, call.fingerprint,
                       work.body.prefix, work.body.length, work.body.complete)


def _error(refusal: frames.Refusal) -> errors.CallError:
    try:
        kind = errors.Kind(refusal.kind)
    except ValueError:
        kind = errors.Kind.INTERNAL
    error = errors.CallError(kind,
                             refusal.detail,
                             retry_after_s=refusal.retry_after_s)
    error.not_run = refusal.not_run
    return error


class _Serving:
    """One call as the node beside the upstream sees it."""

    __slots__ = ("task", "inflow", "outflow")

    def __init__(self, taken: Callable[[int], None]) -> None:
        self.task: asyncio.Task[None] | None = None
        self.inflow = _Inflow(taken)
        self.outflow = _Outflow()


class Callers:
    """Calls that other nodes make to the upstream here.

    Attributes:
        running: How many there are.
    """

    __slots__ = ("_serve", "_load", "_loop", "_serving_by_stream_by_link")

    def __init__(self, serve: Serve, load: Callable[[], frames.Load]) -> None:
        self._serve = serve
        self._load = load
        self._loop = asyncio.get_running_loop()
        self._serving_by_stream_by_link: dict[connection.Link,
                                              dict[int, _Serving]] = {}

    @property
    def running(self) -> int:
        """Calls in progress."""
        return sum(map(len, self._serving_by_stream_by_link.values()))

    @property
    def links(self) -> list[connection.Link]:
        """Links on which other nodes call."""
        return list(self._serving_by_stream_by_link)

    def opened(self, link: connection.Link) -> None:
        """Takes in a new link."""
        self._serving_by_stream_by_link[link] = {}

    def lost(self, link: connection.Link) -> None:
        """Ends the calls of a link: nobody can take their answers."""
        for serving in self._serving_by_stream_by_link.pop(link, {}).values():
            if serving.task is not None:
                serving.task.cancel()

    def take(self, link: connection.Link, message: frames.Frame) -> None:
        """Takes in a message that belongs to a call."""
        by_stream = self._serving_by_stream_by_link.get(link)
        if by_stream is None:
            return
        if isinstance(message, frames.Call):
            self._begin(link, by_stream, message)
            return
        if not isinstance(
                message,
            (frames.Data, frames.Credit, frames.Cancel, frames.Abort)):
            return
        serving = by_stream.get(message.stream)
        if serving is None:
            return
        if isinstance(message, frames.Data):
            serving.inflow.put(message.data, message.last)
        elif isinstance(message, frames.Credit):
            serving.outflow.add(message.size)
        elif isinstance(message, frames.Abort):
            serving.inflow.end("the content was cut")
        elif serving.task is not None:
            serving.outflow.end()
            serving.task.cancel()

    def _begin(self, link: connection.Link, by_stream: dict[int, _Serving],
               call: frames.Call) -> None:
        stream = call.stream
        serving = _Serving(lambda size: link.send(frames.Credit(stream, size)))
        by_stream[stream] = serving
        body = messages.Body(call.length,
                             None if call.complete else serving.inflow.read,
                             call.data)
        work = upstream.UpstreamRequest(call, body,
                                        self._loop.time() + call.timeout_s)
        serving.task = asyncio.ensure_future(self._run(link, serving, work))

    async def _run(self, link: connection.Link, serving: _Serving,
                   work: upstream.UpstreamRequest) -> None:
        stream = work.call.stream
        answer: messages.Answer | None = None
        whole = False
        try:
            answer = await self._serve(work)
            link.send(
                frames.AnswerHead(stream, answer.status, answer.headers,
                                  answer.data, answer.length, answer.rest
                                  is None, self._load()))
            if answer.rest is not None:
                await _send_rest(link, stream, serving.outflow, answer.rest)
            whole = True
        except errors.CallError as error:
            link.send(
                frames.Refusal(stream, error.code, error.detail, error.not_run,
                               error.retry_after_s, self._load()))
        except client.Lost as error:
            log.event("call:answer_cut",
                      request=work.call.request_id,
                      error=str(error))
            link.send(frames.Abort(stream))
        except asyncio.CancelledError:
            log.event("call:cancelled", request=work.call.request_id)
        except Exception as error:  # pylint: disable=broad-exception-caught
            log.event("call:failed",
                      request=work.call.request_id,
                      error=repr(error))
            link.send(
                frames.Refusal(stream, errors.Kind.INTERNAL.value, "", False,
                               0.0, self._load()))
        finally:
            if answer is not None:
                if answer.rest is not None and not whole:
                    await _close(answer.rest)
                answer.done(whole)
            by_stream = self._serving_by_stream_by_link.get(link)
            if by_stream is not None:
                by_stream.pop(stream, None)


async def _close(rest: AsyncIterator[bytes]) -> None:
    closing = getattr(rest, "aclose", None)
    if closing is not None:
        await closing()
