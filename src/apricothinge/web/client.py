"""HTTP client connections to upstreams and other nodes, pooled."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from apricothinge import settings
from apricothinge.web import connection
from apricothinge.web import messages
from apricothinge.web import wire

__all__ = ["IDLE_LIMIT_S", "Lost", "NotConnected", "Pool"]

_HEADER_BYTES: Final = 65536
IDLE_LIMIT_S: Final = 4.0
_CONNECT_TIMEOUT_S: Final = 1.0
# The other side counts its idle time from an earlier moment than this one.
_KEEP_ALIVE_PART: Final = 0.6
_FIRST_FAILURE: Final = 300


class NotConnected(Exception):
    """No byte of the request has left this process."""


class Lost(Exception):
    """The exchange broke after the request may have been received.

    Attributes:
        answer_begun: Whether the head of an answer had arrived.
    """

    def __init__(self, detail: str, answer_begun: bool = False) -> None:
        super().__init__(detail)
        self.answer_begun = answer_begun


class Pool:
    """Keeps idle connections by address and opens new ones at need."""

    __slots__ = ("_idle_by_address", "_loop", "_buffered_bytes", "_open",
                 "_unframed")

    def __init__(self, buffered_bytes: int, *, unframed: bool = False) -> None:
        """Starts without connections.

        Args:
            buffered_bytes: Answers up to this size are read whole.
            unframed: Whether an answer may end with its connection. One that
                was reset on the way is then told from a whole one.
        """
        self._idle_by_address: dict[settings.Address,
                                    list[connection.Connection]] = {}
        self._loop = asyncio.get_running_loop()
        self._buffered_bytes = buffered_bytes
        self._open: set[connection.Connection] = set()
        self._unframed = unframed

    @property
    def open_connections(self) -> int:
        """Connections that are open, idle or in use."""
        return len(self._open)

    def _take_idle(self, address: settings.Address,
                   idle_limit_s: float) -> connection.Connection | None:
        idle = self._idle_by_address.get(address)
        now = self._loop.time()
        while idle:
            found = idle.pop()
            limit_s = min(idle_limit_s, found.idle_limit_s)
            if (found.usable() and not found.has_input() and
                    now - found.idle_since < limit_s):
                return found
            self._drop(found)
        return None

    def drop(self, address: settings.Address) -> None:
        """Closes the idle connections to an address."""
        for found in self._idle_by_address.pop(address, []):
            self._drop(found)

    def _drop(self, found: connection.Connection) -> None:
        self._open.discard(found)
        found.abort()

    async def _connect(self,
                       address: settings.Address) -> connection.Connection:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, made = await self._loop.create_connection(
                    lambda: connection.Connection(False, _HEADER_BYTES),
                    address.host, address.port)
        except (OSError, TimeoutError) as error:
            raise NotConnected(f"{address}: {error}") from None
        self._open.add(made)
        return made

    def expire(self, now: float) -> None:
        """Closes connections that have been idle for too long.

        Args:
            now: Loop time in seconds.
        """
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for found in idle:
                if found.usable() and now - found.idle_since < IDLE_LIMIT_S:
                    kept.append(found)
                    continue
                self._drop(found)
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Closes every connection."""
        for found in list(self._open):
            self._drop(found)
        self._idle_by_address.clear()

    async def probe(self, address: settings.Address) -> bool:
        """Tells whether something accepts connections at an address."""
        try:
            made = await self._connect(address)
        except NotConnected:
            return False
        self._release(address, made)
        return True

    async def exchange(
            self,
            address: settings.Address,
            method: str,
            target: str,
            headers: messages.Headers,
            body: messages.Body,
            *,
            idle_limit_s: float = IDLE_LIMIT_S,
            expects: tuple[bytes, bytes] | None = None) -> messages.Response:
        """Sends one request and returns its answer.

        Cancelling the call closes the connection, which tells the other side.

        Args:
            address: Whom to ask.
            method: HTTP method.
            target: Path and query.
            headers: Without those that concern one connection only.
            body: The content; streamed unless complete.
            idle_limit_s: Use no connection that was idle for longer, seconds.
            expects: Name and value of a header that tells this request's
                answer from a late one of another request.

        Raises:
            NotConnected: Nothing was sent.
            Lost: The connection broke or the answer was malformed.
        """
        used = self._take_idle(address, idle_limit_s)
        if used is None:
            used = await self._connect(address)
        used.sent_bytes = False
        finished = False
        try:
            response = await self._converse(used, address, method, target,
                                            headers, body, expects)
            finished = True
            return response
        except connection.ConnectionLost:
            if not used.sent_bytes:
                raise NotConnected(f"{address}: connection closed") from None
            raise Lost(f"{address}: connection lost") from None
        except wire.ProtocolError as error:
            raise Lost(f"{address}: {error}") from None
        finally:
            if not finished:
                self._drop(used)

    async def _converse(
            self, used: connection.Connection, address: settings.Address,
            method: str, target: str, headers: messages.Headers,
            body: messages.Body,
            expects: tuple[bytes, bytes] | None) -> messages.Response:
        framing = ((b"content-length",
                    b"%d" % body.length) if body.length is not None else
                   (b"transfer-encoding", b"chunked"))
        fields = list(headers)
        if messages.header(fields, b"host") is None:
            fields.append((b"host", str(address).encode()))
        if body.length != 0 or method not in ("GET", "HEAD"):
            fields.append(framing)
        head = used.wire.request_head(method, target, fields)
        if body.complete:
            used.send(head + used.wire.content(body.prefix) + used.wire.end())
            return await self._receive(used, address, method, expects)
        used.send(head)
        sender = asyncio.ensure_future(self._stream(used, body))
        try:
            receiver = asyncio.ensure_future(
                self._receive(used, address, method, expects))
            try:
                await asyncio.wait((sender, receiver),
                                   return_when=asyncio.FIRST_COMPLETED)
                if sender.done() and not receiver.done():
                    self._check_sender(sender)
                return await receiver
            finally:
                receiver.cancel()
        finally:
            sender.cancel()

    @staticmethod
    def _check_sender(sender: "asyncio.Future[None]") -> None:
        error = sender.exception()
        # A lost connection may still hold an answer that was sent early.
        if error is not None and not isinstance(error,
                                                connection.ConnectionLost):
            raise error

    @staticmethod
    async def _stream(used: connection.Connection, body: messages.Body) -> None:
        async for chunk in body.chunks():
            used.send(used.wire.content(chunk))
            await used.drain()
        used.send(used.wire.end())

    async def _head(self, used: connection.Connection,
                    expects: tuple[bytes, bytes] | None) -> wire.Message:
        """Reads the head of this request's answer, skipping stray ones."""
        while True:
            event = await used.next_event()
            if not isinstance(event, wire.Message):
                raise connection.ConnectionLost
            if expects is None:
                return event
            found = messages.header(event.headers, expects[0])
            if found == expects[1] or (found is None and
                                       event.status >= _FIRST_FAILURE):
                return event
            if used.wire.sending is not wire.Stage.DONE:
                raise Lost("an answer to another request came first")
            self._check_framed(event)
            while not isinstance(await self._next_of_answer(used), wire.End):
                pass
            used.skip_answer()

    async def _receive(
            self, used: connection.Connection, address: settings.Address,
            method: str,
            expects: tuple[bytes, bytes] | None) -> messages.Response:
        head = await self._head(used, expects)
        self._check_framed(head)
        found = messages.header(head.headers, b"content-length")
        length = None if found is None else int(found)
        kept_s = _keep_alive_s(head)
        if kept_s is not None:
            used.idle_limit_s = kept_s * _KEEP_ALIVE_PART
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_of_answer(used)
            if isinstance(event, wire.End):
                self._release(address, used)
                response = messages.Response(head.status,
                                             messages.end_to_end(head.headers),
                                             b"".join(parts))
                if method == "HEAD":
                    response.length = length
                return response
            parts.append(event.data)
            size += len(event.data)
            if size > self._buffered_bytes:
                return messages.Response(head.status,
                                         messages.end_to_end(head.headers),
                                         b"".join(parts),
                                         self._rest(used, address), length)

    def _check_framed(self, head: wire.Message) -> None:
        # An answer that ends with the connection may look whole when it was
        # cut, unless the cut was a reset.
        if head.unframed and not self._unframed:
            raise Lost("an answer without a length can not be known whole",
                       answer_begun=True)

    @staticmethod
    async def _next_of_answer(used: connection.Connection) -> Any:
        try:
            event = await used.next_event()
        except wire.ProtocolError as error:
            raise Lost(str(error), answer_begun=True) from None
        if not isinstance(event, (wire.Data, wire.End)):
            raise Lost("connection lost in an answer", answer_begun=True)
        if used.wire.unframed and used.reset:
            raise Lost("reset at the end of an answer", answer_begun=True)
        return event

    async def _rest(self, used: connection.Connection,
                    address: settings.Address) -> AsyncIterator[bytes]:
        whole = False
        try:
            while True:
                event = await self._next_of_answer(used)
                if isinstance(event, wire.End):
                    whole = True
                    return
                yield event.data
        finally:
            if whole:
                self._release(address, used)
            else:
                self._drop(used)

    def _release(self, address: settings.Address,
                 used: connection.Connection) -> None:
        """Keeps a connection whose exchange has ended on both sides."""
        if used.wire.reusable:
            used.wire.next_exchange()
        elif used.wire.sending is not wire.Stage.IDLE:
            self._drop(used)
            return
        if not used.usable():
            self._drop(used)
            return
        used.idle_since = self._loop.time()
        self._idle_by_address.setdefault(address, []).append(used)


def _keep_alive_s(head: wire.Message) -> float | None:
    """Reads how long the other side keeps an idle connection, in seconds."""
    value = messages.header(head.headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
