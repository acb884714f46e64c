"""Requests and answers as the rest of the package handles them."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

from apricothinge import errors
from apricothinge import keys

__all__ = ["Response", "Body", "Headers", "Request", "end_to_end", "header"]

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding",
     b"te", b"trailer", b"upgrade", b"content-length", b"expect",
     b"proxy-authenticate", b"proxy-authorization", b"host"))


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the first value of a header, by its lower-case name."""
    for field_name, value in headers:
        if field_name == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Drops the headers that concern one connection or its address only."""
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            connection_options |= {
                part.strip().lower() for part in value.split(b",")
            }
    return [(name, value)
            for name, value in headers
            if name not in _HOP_BY_HOP and name not in connection_options]


class Body:
    """The content of a request, read as far as it is needed.

    Attributes:
        length: Bytes in all, or None where the sender did not say.
        prefix: What has been read so far, while it is kept for a replay.
        complete: Whether `prefix` is the whole content.
    """

    __slots__ = ("length", "prefix", "complete", "_read", "_consumed")

    def __init__(self,
                 length: int | None,
                 read: Callable[[], Awaitable[bytes]] | None,
                 prefix: bytes = b"") -> None:
        self.length = length
        self.prefix = prefix
        self.complete = read is None
        self._read = read
        self._consumed = False

    async def buffer(self, max_bytes: int) -> None:
        """Reads up to the end or just past a bound, into `prefix`.

        Args:
            max_bytes: Bytes after which the content is left to be streamed.
        """
        if self.complete or (self.length is not None and
                             self.length > max_bytes):
            return
        parts = [self.prefix]
        size = len(self.prefix)
        assert self._read is not None
        while size <= max_bytes:
            chunk = await self._read()
            if not chunk:
                self.complete = True
                break
            parts.append(chunk)
            size += len(chunk)
        self.prefix = b"".join(parts)
        if self.complete:
            self.length = len(self.prefix)

    @property
    def replayable(self) -> bool:
        """Whether the content can be sent a second time."""
        return self.complete or not self._consumed

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the content; only a complete one can be read twice."""
        if self.prefix:
            yield self.prefix
        if self.complete:
            return
        self._consumed = True
        assert self._read is not None
        while True:
            chunk = await self._read()
            if not chunk:
                return
            yield chunk


class Request:
    """One request as a server received it.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: Lower-case names with values.
        body: The content.
        version: b"1.0" or b"1.1".
        received_at: Loop time in seconds at which the head was complete.
    """

    __slots__ = ("method", "target", "headers", "body", "version",
                 "received_at")

    def __init__(self, method: str, target: str, headers: Headers, body: Body,
                 version: bytes, received_at: float) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.version = version
        self.received_at = received_at

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class Response:
    """One answer, whole in memory or still arriving.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers, lower-case names.
        internal: Headers between nodes, by name without the prefix.
        data: The content, or its first part where `rest` is set.
        rest: Yields the remaining content; raises where it is cut.
        length: Bytes in all, or None where the sender did not say.
        on_done: Called once when the content was relayed or given up.
    """

    __slots__ = ("status", "headers", "internal", "data", "rest", "length",
                 "on_done")

    def __init__(self,
                 status: int,
                 headers: Headers,
                 data: bytes,
                 rest: AsyncIterator[bytes] | None = None,
                 length: int | None = None) -> None:
        self.status = status
        self.headers: Headers = []
        self.internal: dict[str, str] = {}
        for name, value in headers:
            if name.startswith(keys.INTERNAL_PREFIX):
                internal_name = name[len(keys.INTERNAL_PREFIX):].decode(
                    "latin-1")
                self.internal[internal_name] = value.decode("latin-1")
                continue
            self.headers.append((name, value))
        self.data = data
        self.rest = rest
        self.length = len(data) if rest is None else length
        self.on_done: Callable[[bool], None] | None = None

    def notify_done(self, complete: bool) -> None:
        """Tells the maker of the answer that its relay has ended."""
        callback, self.on_done = self.on_done, None
        if callback is not None:
            callback(complete)


def error_kind(response: Response) -> errors.Kind | None:
    """Returns the error kind that a node put on its answer, if any."""
    code = response.internal.get("error")
    if code is None:
        return None
    try:
        return errors.Kind(code)
    except ValueError:
        return errors.Kind.INTERNAL
