"""Pooled HTTP client connections to upstreams and other nodes."""

import asyncio
from typing import Any, Final

from apricothinge import settings
from apricothinge.web import connection
from apricothinge.web import messages
from apricothinge.web import wire

__all__ = ["ConnectionPool", "ExchangeFailed", "IDLE_LIMIT_S", "RequestNotSent"]

_MAX_HEAD_BYTES: Final = 65536
IDLE_LIMIT_S: Final = 4.0
_CONNECT_TIMEOUT_S: Final = 1.0
# The server starts its idle timer earlier than the client does, so only part
# of the announced keep-alive time is used.
_KEEP_ALIVE_FRACTION: Final = 0.6
_MIN_UNSUCCESSFUL_STATUS: Final = 300
# Extra responses are few; a server that sends them without end never answers.
_MAX_SKIPPED_RESPONSES: Final = 8


class RequestNotSent(Exception):
    """No byte of the request was sent."""


class ExchangeFailed(Exception):
    """The exchange failed after the request may have been received.

    Attributes:
        response_started: Whether the head of a response had been received.
    """

    def __init__(self, detail: str, response_started: bool = False) -> None:
        super().__init__(detail)
        self.response_started = response_started


class ConnectionPool:
    """Keeps idle connections by address and opens new ones on demand."""

    __slots__ = ("_idle_by_address", "_loop", "_max_buffered_bytes",
                 "_connections", "_allow_close_delimited")

    def __init__(self,
                 max_buffered_bytes: int,
                 *,
                 allow_close_delimited: bool = False) -> None:
        """Creates an empty pool.

        Args:
            max_buffered_bytes: Responses up to this size are buffered whole.
            allow_close_delimited: Whether a response may end with its
                connection. Truncation is then detected only if the connection
                was reset.
        """
        self._idle_by_address: dict[settings.Address,
                                    list[connection.Connection]] = {}
        self._loop = asyncio.get_running_loop()
        self._max_buffered_bytes = max_buffered_bytes
        self._connections: set[connection.Connection] = set()
        self._allow_close_delimited = allow_close_delimited

    @property
    def open_connections(self) -> int:
        """Number of open connections, idle or in use."""
        return len(self._connections)

    def _take_idle(self, address: settings.Address,
                   idle_limit_s: float) -> connection.Connection | None:
        idle = self._idle_by_address.get(address)
        now = self._loop.time()
        while idle:
            conn = idle.pop()
            limit_s = min(idle_limit_s, conn.idle_limit_s)
            if (conn.usable() and not conn.has_unread_input() and
                    now - conn.idle_since < limit_s):
                return conn
            self._discard(conn)
        return None

    def close_idle(self, address: settings.Address) -> None:
        """Closes the idle connections to an address."""
        for conn in self._idle_by_address.pop(address, []):
            self._discard(conn)

    def _discard(self, conn: connection.Connection) -> None:
        self._connections.discard(conn)
        conn.abort()

    async def _connect(self,
                       address: settings.Address) -> connection.Connection:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, conn = await self._loop.create_connection(
                    lambda: connection.Connection(False, _MAX_HEAD_BYTES),
                    address.host, address.port)
        except (OSError, TimeoutError) as error:
            raise RequestNotSent(f"{address}: {error}") from None
        self._connections.add(conn)
        return conn

    def expire(self, now: float) -> None:
        """Closes idle connections that timed out or cannot be reused.

        Args:
            now: Current loop time in seconds.
        """
        for address, idle in list(self._idle_by_address.items()):
            fresh = []
            for conn in idle:
                if conn.usable() and now - conn.idle_since < IDLE_LIMIT_S:
                    fresh.append(conn)
                    continue
                self._discard(conn)
            if fresh:
                self._idle_by_address[address] = fresh
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Closes every connection."""
        for conn in list(self._connections):
            self._discard(conn)
        self._idle_by_address.clear()

    async def probe(self, address: settings.Address) -> bool:
        """Returns whether a connection to an address can be established."""
        try:
            conn = await self._connect(address)
        except RequestNotSent:
            return False
        self._return_to_pool(address, conn)
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
        expected_header: tuple[bytes, bytes] | None = None
    ) -> messages.Response:
        """Sends one request and returns its response.

        Cancelling the call closes the connection, so that the server notices.

        Args:
            address: Address to connect to.
            method: HTTP method.
            target: Path and query.
            headers: End-to-end headers.
            body: The content; streamed unless it is complete.
            idle_limit_s: Maximum idle time in seconds of a reused connection.
            expected_header: Name and value of a header that distinguishes the
                response to this request from a late response to another one.

        Raises:
            RequestNotSent: No byte of the request was sent.
            ExchangeFailed: The connection was lost or the response was
                malformed.
        """
        conn = self._take_idle(address, idle_limit_s)
        if conn is None:
            conn = await self._connect(address)
        conn.sent_bytes = False
        finished = False
        try:
            response = await self._send_and_receive(conn, address, method,
                                                    target, headers, body,
                                                    expected_header)
            finished = True
            return response
        except connection.ConnectionLost:
            if not conn.sent_bytes:
                raise RequestNotSent(f"{address}: connection closed") from None
            raise ExchangeFailed(f"{address}: connection lost") from None
        except wire.ProtocolError as error:
            raise ExchangeFailed(f"{address}: {error}") from None
        finally:
            if not finished:
                self._discard(conn)

    async def _send_and_receive(
            self, conn: connection.Connection, address: settings.Address,
            method: str, target: str, headers: messages.Headers,
            body: messages.Body,
            expected_header: tuple[bytes, bytes] | None) -> messages.Response:
        framing = ((b"content-length",
                    b"%d" % body.length) if body.length is not None else
                   (b"transfer-encoding", b"chunked"))
        fields = list(headers)
        if messages.header(fields, b"host") is None:
            fields.append((b"host", str(address).encode()))
        if body.length != 0 or method not in ("GET", "HEAD"):
            fields.append(framing)
        head = conn.codec.request_head(method, target, fields)
        if body.complete:
            conn.send(head + conn.codec.content(body.prefix) + conn.codec.end())
            return await self._receive_response(conn, address, method,
                                                expected_header)
        conn.send(head)
        sender = asyncio.ensure_future(self._send_body(conn, body))
        try:
            receiver = asyncio.ensure_future(
                self._receive_response(conn, address, method, expected_header))
            try:
                await asyncio.wait((sender, receiver),
                                   return_when=asyncio.FIRST_COMPLETED)
                if sender.done() and not receiver.done():
                    self._raise_send_error(sender)
                return await receiver
            finally:
                receiver.cancel()
        finally:
            sender.cancel()

    @staticmethod
    def _raise_send_error(sender: "asyncio.Future[None]") -> None:
        error = sender.exception()
        # After a lost connection, a response that the server sent before it had
        # read the whole request may still be readable.
        if error is not None and not isinstance(error,
                                                connection.ConnectionLost):
            raise error

    @staticmethod
    async def _send_body(conn: connection.Connection,
                         body: messages.Body) -> None:
        async for chunk in body.chunks():
            conn.send(conn.codec.content(chunk))
            await conn.drain()
        conn.send(conn.codec.end())

    async def _receive_head(
            self, conn: connection.Connection,
            expected_header: tuple[bytes, bytes] | None) -> wire.MessageHead:
        """Reads the head of the response, skipping those to other requests."""
        for _ in range(_MAX_SKIPPED_RESPONSES):
            event = await conn.next_event()
            if not isinstance(event, wire.MessageHead):
                raise connection.ConnectionLost
            if expected_header is None:
                return event
            value = messages.header(event.headers, expected_header[0])
            if value == expected_header[1]:
                return event
            if value is None and event.status >= _MIN_UNSUCCESSFUL_STATUS:
                if not conn.reused:
                    return event
                # It may be a copy of an earlier one, and say "not run" of a
                # request that runs.
                raise ExchangeFailed(
                    "received a response without an identifier")
            if conn.codec.sending is not wire.Stage.DONE:
                raise ExchangeFailed("received a response to another request")
            self._check_framing(event)
            size = 0
            while True:
                part = await self._next_response_event(conn)
                if isinstance(part, wire.EndOfMessage):
                    break
                size += len(part.data)
                if size > self._max_buffered_bytes:
                    raise ExchangeFailed(
                        "received a large response to another request")
            conn.skip_response()
        raise ExchangeFailed("received too many responses to other requests")

    async def _receive_response(
            self, conn: connection.Connection, address: settings.Address,
            method: str,
            expected_header: tuple[bytes, bytes] | None) -> messages.Response:
        head = await self._receive_head(conn, expected_header)
        self._check_framing(head)
        declared_length = messages.header(head.headers, b"content-length")
        length = None if declared_length is None else int(declared_length)
        keep_alive_s = _keep_alive_s(head)
        if keep_alive_s is not None:
            conn.idle_limit_s = keep_alive_s * _KEEP_ALIVE_FRACTION
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_response_event(conn)
            if isinstance(event, wire.EndOfMessage):
                self._return_to_pool(address, conn)
                response = messages.Response(head.status,
                                             messages.end_to_end(head.headers),
                                             b"".join(parts))
                if method == "HEAD":
                    response.length = length
                return response
            parts.append(event.data)
            size += len(event.data)
            if size > self._max_buffered_bytes:
                return messages.Response(head.status,
                                         messages.end_to_end(head.headers),
                                         b"".join(parts),
                                         self._stream_remaining(conn, address),
                                         length)

    def _check_framing(self, head: wire.MessageHead) -> None:
        # A truncated close-delimited response looks complete unless the
        # connection was reset.
        if head.close_delimited and not self._allow_close_delimited:
            raise ExchangeFailed("a close-delimited response may be truncated",
                                 response_started=True)

    @staticmethod
    async def _next_response_event(conn: connection.Connection) -> Any:
        try:
            event = await conn.next_event()
        except wire.ProtocolError as error:
            raise ExchangeFailed(str(error), response_started=True) from None
        if not isinstance(event, (wire.Data, wire.EndOfMessage)):
            raise ExchangeFailed("connection lost within a response",
                                 response_started=True)
        if conn.codec.close_delimited:
            if conn.reset:
                raise ExchangeFailed(
                    "connection reset at the end of a response",
                    response_started=True)
            # A server that closes before it has read the request resets the
            # connection once more of it arrives.
            if isinstance(event, wire.EndOfMessage) and not conn.sent_whole:
                raise ExchangeFailed(
                    "connection closed before the request was sent whole",
                    response_started=True)
        return event

    def _stream_remaining(self, conn: connection.Connection,
                          address: settings.Address) -> messages.Content:

        async def read() -> bytes:
            event = await self._next_response_event(conn)
            return b"" if isinstance(event, wire.EndOfMessage) else event.data

        def close(complete: bool) -> None:
            if complete:
                self._return_to_pool(address, conn)
            else:
                self._discard(conn)

        return messages.Content(read, close)

    def _return_to_pool(self, address: settings.Address,
                        conn: connection.Connection) -> None:
        """Makes a connection idle, or closes it if it cannot be reused."""
        if conn.codec.reusable:
            conn.codec.start_next_exchange()
            conn.reused = True
        elif conn.codec.sending is not wire.Stage.IDLE:
            self._discard(conn)
            return
        if not conn.usable():
            self._discard(conn)
            return
        conn.idle_since = self._loop.time()
        self._idle_by_address.setdefault(address, []).append(conn)


def _keep_alive_s(head: wire.MessageHead) -> float | None:
    """Returns the timeout in seconds of a keep-alive header, or None."""
    value = messages.header(head.headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
