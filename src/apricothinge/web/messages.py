"""HTTP requests and responses, independent of their connection."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
import math
import re

from apricothinge import errors
from apricothinge import keys

__all__ = [
    "Body", "Content", "Headers", "Request", "Response", "abandon",
    "check_path", "end_to_end", "header"
]

Headers = list[tuple[bytes, bytes]]

_UNSAFE_PATH = re.compile(r"(^|/)\.{1,2}(/|$)|%2f|%5c|%2e", re.I)
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding",
     b"te", b"trailer", b"upgrade", b"content-length", b"expect",
     b"proxy-authenticate", b"proxy-authorization", b"host"))


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the first value of a header, or None.

    Args:
        headers: Headers with lower-case names.
        name: Lower-case name.
    """
    for field_name, value in headers:
        if field_name == name:
            return value
    return None


def check_path(path: str) -> None:
    """Rejects a path that could leave the prefix by which its route is chosen.

    Raises:
        errors.CallError: MALFORMED_REQUEST.
    """
    if _UNSAFE_PATH.search(path):
        raise errors.CallError(
            errors.Kind.MALFORMED_REQUEST,
            "the path contains a dot segment or an encoded dot or slash")


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that do not depend on one connection or address."""
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
    """The content of a request, read on demand.

    Attributes:
        length: Total size in bytes, or None if the sender did not declare it.
        prefix: Bytes buffered so far, which can be sent more than once.
        complete: Whether `prefix` is the whole content.
        max_bytes: Size beyond which reading fails.
    """

    __slots__ = ("length", "prefix", "complete", "max_bytes", "_read",
                 "_consumed", "_size")

    def __init__(self,
                 length: int | None,
                 read: Callable[[], Awaitable[bytes]] | None,
                 prefix: bytes = b"") -> None:
        self.length = length
        self.prefix = prefix
        self.complete = read is None
        self.max_bytes = math.inf
        self._read = read
        self._consumed = False
        self._size = len(prefix)

    async def _read_chunk(self) -> bytes:
        assert self._read is not None
        chunk = await self._read()
        self._size += len(chunk)
        if self._size > self.max_bytes:
            raise errors.CallError(errors.Kind.CONTENT_TOO_LARGE)
        return chunk

    def _check_length(self) -> None:
        """Checks that the content is as long as was declared."""
        if self.length is not None and self._size != self.length:
            raise errors.CallError(
                errors.Kind.MALFORMED_REQUEST,
                f"found {self._size} bytes of content, expected {self.length}")

    async def buffer(self, max_bytes: int, min_prefix_bytes: int = 0) -> None:
        """Reads into `prefix` until the content ends or exceeds a size.

        Args:
            max_bytes: Size beyond which the rest is left to be streamed.
            min_prefix_bytes: Size to read of content whose declared length is
                larger than that.
        """
        if self.complete:
            return
        if self.length is not None and self.length > max_bytes:
            if not min_prefix_bytes:
                return
            max_bytes = min_prefix_bytes - 1
        parts = [self.prefix]
        size = len(self.prefix)
        while size <= max_bytes:
            chunk = await self._read_chunk()
            if not chunk:
                self.complete = True
                break
            parts.append(chunk)
            size += len(chunk)
        self.prefix = b"".join(parts)
        if self.complete:
            self._check_length()
            self.length = len(self.prefix)

    def sample(self, max_bytes: int) -> bytes:
        """Returns bytes that are the same each time this content is sent.

        Args:
            max_bytes: Size of what has been buffered at least, unless the
                content is shorter.

        Returns:
            The content if it is complete, else its beginning and its length if
            that was declared. How much more is buffered varies.
        """
        if self.complete:
            return self.prefix
        length = b"" if self.length is None else b"%d" % self.length
        return self.prefix[:max_bytes] + length

    @property
    def replayable(self) -> bool:
        """Whether the content can still be sent from its beginning."""
        return self.complete or not self._consumed

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the content; it can be read twice only if it is complete."""
        if self.prefix:
            yield self.prefix
        if self.complete:
            return
        self._consumed = True
        while True:
            try:
                chunk = await self._read_chunk()
                if not chunk:
                    self._check_length()
            except errors.CallError as error:
                # The reader may have passed on what it got so far.
                error.not_run = False
                raise
            if not chunk:
                return
            yield chunk


class Content(AsyncIterator[bytes]):
    """The content of a response that is still being received.

    Unlike an async generator, it also cleans up if nothing was read from it.
    """

    __slots__ = ("_read", "_on_close")

    def __init__(self, read: Callable[[], Awaitable[bytes]],
                 on_close: Callable[[bool], None]) -> None:
        """Creates the content.

        Args:
            read: Returns the next chunk, or empty bytes at the end.
            on_close: Called once at the end, with whether the content is
                complete.
        """
        self._read = read
        self._on_close: Callable[[bool], None] | None = on_close

    def _close(self, complete: bool) -> None:
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close(complete)

    async def __anext__(self) -> bytes:
        if self._on_close is None:
            raise StopAsyncIteration
        try:
            chunk = await self._read()
        except BaseException:
            self._close(False)
            raise
        if chunk:
            return chunk
        self._close(True)
        raise StopAsyncIteration

    def close(self) -> None:
        """Ends the content early; has no effect after its end."""
        self._close(False)


class Request:
    """A request as the server received it.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: Pairs of lower-case name and value.
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
        """The target without its query string."""
        return self.target.partition("?")[0]


class Response:
    """A response, buffered in memory or still being received.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers with lower-case names.
        internal: Headers between nodes, by name without the prefix.
        data: The content, or its first part if `rest` is set.
        rest: Yields the remaining content; raises if it is truncated.
        length: Total size in bytes, or None if the sender did not declare it.
        on_done: Called once when the content has been relayed or relaying
            failed, with whether it was relayed in full.
    """

    __slots__ = ("status", "headers", "internal", "data", "rest", "length",
                 "on_done")

    def __init__(self,
                 status: int,
                 headers: Headers,
                 data: bytes,
                 rest: Content | None = None,
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
        """Calls `on_done` the first time it is called.

        Args:
            complete: Whether the response was relayed in full.
        """
        callback, self.on_done = self.on_done, None
        if callback is not None:
            callback(complete)

    def discard(self) -> None:
        """Ends a response that is not relayed, and stops its sender."""
        rest, self.rest = self.rest, None
        if rest is not None:
            rest.close()
        self.notify_done(False)


def error_kind(response: Response) -> errors.Kind | None:
    """Returns the error kind that a node set on its response, or None.

    A code that this version does not know counts as an internal error.
    """
    code = response.internal.get("error")
    if code is None:
        return None
    try:
        return errors.Kind(code)
    except ValueError:
        return errors.Kind.INTERNAL


async def abandon(task: "asyncio.Task[Response]") -> None:
    """Cancels a task and discards its response, if there is one already."""
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled() and task.exception() is None:
        task.result().discard()
