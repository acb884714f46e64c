"""HTTP/1.1 messages on one connection: parsing with httptools, and writing."""

import collections
import enum
import http
from typing import Any, Final

import httptools

__all__ = [
    "CLOSED", "Data", "End", "LocalProtocolError", "Message", "NEED_DATA",
    "ProtocolError", "Stage", "Wire"
]

_Headers = list[tuple[bytes, bytes]]

_REASON_BY_STATUS: Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_INFORMATIONAL: Final = 200
_NO_CONTENT: Final = (204, 304)
_HTTP_1_1: Final = b"1.1"


class ProtocolError(Exception):
    """The other side broke the protocol.

    Attributes:
        too_large: Whether by a head that is too large.
    """

    def __init__(self, detail: str, too_large: bool = False) -> None:
        super().__init__(detail)
        self.too_large = too_large


class LocalProtocolError(Exception):
    """This side was about to send something that is no message."""


class Stage(enum.Enum):
    """How far one direction of an exchange has come."""

    IDLE = "idle"
    CONTENT = "content"
    DONE = "done"


class Message:
    """The head of a request or of an answer.

    Attributes:
        method: Of a request.
        target: Of a request, as sent.
        status: Of an answer, 0 for a request.
        headers: Lower-case names with values, in order.
        version: b"1.0" or b"1.1".
        keeps: Whether its sender keeps the connection after it.
        unframed: Whether its content ends with the connection.
    """

    __slots__ = ("method", "target", "status", "headers", "version", "keeps",
                 "unframed")

    def __init__(self,
                 method: bytes,
                 target: bytes,
                 status: int,
                 headers: _Headers,
                 version: bytes,
                 keeps: bool,
                 unframed: bool = False) -> None:
        self.method = method
        self.target = target
        self.status = status
        self.headers = headers
        self.version = version
        self.keeps = keeps
        self.unframed = unframed


class Data:
    """A piece of content."""

    __slots__ = ("data",)

    def __init__(self, data: bytes) -> None:
        self.data = data


class End:
    """The end of a message."""

    __slots__ = ()


class _Sentinel:
    """What is no event."""

    __slots__ = ()


NEED_DATA: Final = _Sentinel()
CLOSED: Final = _Sentinel()
_END: Final = End()


class Wire:
    """The state of both directions of a connection; does no IO.

    Attributes:
        server: Whether this side answers.
        sending: How far this side's message has been written.
        receiving: How far the other side's message has been taken.
        continue_wanted: Whether the other side waits for a 100.
        unframed: Whether the message being taken ends with the connection.
    """

    __slots__ = ("server", "sending", "receiving", "continue_wanted", "_parser",
                 "_events", "_error", "_ended", "_begun", "_in_head",
                 "_head_bytes", "_largest_head", "_target", "_headers",
                 "_keeps", "unframed", "_chunked", "_without_content",
                 "_method", "_deaf")

    def __init__(self, server: bool, largest_head: int) -> None:
        """Starts between messages.

        Args:
            server: Whether this side answers.
            largest_head: Bytes after which an unfinished head is refused.
        """
        self.server = server
        self.sending = Stage.IDLE
        self.receiving = Stage.IDLE
        self.continue_wanted = False
        self._parser: Any = (httptools.HttpRequestParser(self)
                             if server else httptools.HttpResponseParser(self))
        self._events: collections.deque[Message | Data |
                                        End] = collections.deque()
        self._error: ProtocolError | None = None
        self._ended = False
        self._begun = False
        self._in_head = False
        self._head_bytes = 0
        self._largest_head = largest_head
        self._target = b""
        self._headers: _Headers = []
        self._keeps = True
        self.unframed = False
        self._chunked = False
        self._without_content = False
        self._method = b""
        self._deaf = False

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a head."""
        self._begun = True
        self._in_head = True
        self._target = b""
        self._headers = []

    def on_url(self, url: bytes) -> None:
        """Takes in a piece of a request's target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes in a header; trailers are dropped."""
        if self._in_head:
            self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Finishes a head."""
        self._in_head = False
        self._head_bytes = 0
        version = self._parser.get_http_version().encode()
        keeps = version == _HTTP_1_1 and self._parser.should_keep_alive()
        if any(name == b"transfer-encoding" and value.lower() != b"chunked"
               for name, value in self._headers):
            self._fail("an encoding of the transfer that is not known")
            return
        if self.server:
            self._request_begins(version, keeps)
        else:
            self._answer_begins(version, keeps)

    def _request_begins(self, version: bytes, keeps: bool) -> None:
        hosts = 0
        for name, value in self._headers:
            if name == b"host":
                hosts += 1
            elif name == b"expect" and value.lower() == b"100-continue":
                self.continue_wanted = version == _HTTP_1_1
        if hosts > 1 or (not hosts and version == _HTTP_1_1):
            self._fail("one host is needed")
            return
        self._events.append(
            Message(self._parser.get_method(), self._target, 0, self._headers,
                    version, keeps))

    def _answer_begins(self, version: bytes, keeps: bool) -> None:
        status = self._parser.get_status_code()
        if status < _INFORMATIONAL:
            return
        framed = status in _NO_CONTENT or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers)
        head_only = self._method == b"HEAD"
        self._events.append(
            Message(b"", b"", status, self._headers, version, keeps and
                    not head_only, not framed and not head_only))
        if head_only:
            # The parser would wait for the content that a GET has.
            self._events.append(_END)
            self._deaf = True

    def on_body(self, body: bytes) -> None:
        """Takes in content."""
        if not self._deaf and self._error is None:
            self._events.append(Data(body))

    def on_message_complete(self) -> None:
        """Finishes a message."""
        self._begun = False
        if self._deaf or self._error is not None or (
                not self.server and
                self._parser.get_status_code() < _INFORMATIONAL):
            return
        self._events.append(_END)

    # Reading.

    def _fail(self, detail: str, too_large: bool = False) -> None:
        if self._error is None:
            self._error = ProtocolError(detail, too_large)

    def receive(self, data: bytes) -> None:
        """Takes in bytes; none mean that the other side has ended."""
        if not data:
            self._ended = True
            return
        if self._error is not None or self._deaf:
            return
        # What comes before a head in the same read does not belong to it.
        within_head = self._in_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No protocol is offered here: the request is answered as it is.
            self._deaf = True
            for event in self._events:
                if isinstance(event, Message):
                    event.keeps = False
        except httptools.HttpParserError as error:
            self._fail(str(error))
        if within_head and self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > self._largest_head:
                self._fail("the head is too large", too_large=True)

    def next_event(self) -> Any:
        """Returns a Message, Data, End, NEED_DATA or CLOSED.

        Raises:
            ProtocolError: The other side broke the protocol, also by ending
                in the middle of a message.
        """
        if self._events:
            event = self._events.popleft()
            if isinstance(event, Message):
                self.receiving = Stage.CONTENT
                self._keeps = event.keeps
                self.unframed = event.unframed
            elif isinstance(event, End):
                self.receiving = Stage.DONE
            else:
                self.continue_wanted = False
            return event
        if self._error is not None:
            raise self._error
        if not self._ended:
            return NEED_DATA
        if self.receiving is Stage.CONTENT and self.unframed:
            self.receiving = Stage.DONE
            return _END
        if self._begun:
            raise ProtocolError("the connection ended within a message")
        return CLOSED

    @property
    def has_input(self) -> bool:
        """Whether there is something that was not taken yet."""
        return bool(self._events) or self._begun or self._error is not None

    # Writing.

    def request_head(self, method: str, target: str,
                     headers: _Headers) -> bytes:
        """Begins a request.

        Raises:
            LocalProtocolError: It would not be one request.
        """
        self._method = method.encode()
        self._without_content = False
        return self._head(
            b"%s %s HTTP/1.1" % (self._method, target.encode("latin-1")),
            headers)

    def answer_head(self, method: str, status: int, headers: _Headers) -> bytes:
        """Begins an answer.

        Raises:
            LocalProtocolError: It would not be one answer.
        """
        self.continue_wanted = False
        self._without_content = method == "HEAD" or status in _NO_CONTENT
        closes = any(name == b"connection" and value == b"close"
                     for name, value in headers)
        if closes:
            self._keeps = False
        elif not self._keeps:
            headers = headers + [(b"connection", b"close")]
        reason = _REASON_BY_STATUS.get(status, b"")
        return self._head(b"HTTP/1.1 %d %s" % (status, reason), headers)

    def _head(self, first: bytes, headers: _Headers) -> bytes:
        if self.sending is not Stage.IDLE:
            raise LocalProtocolError("a message is being sent")
        self.sending = Stage.CONTENT
        self._chunked = any(name == b"transfer-encoding" for name, _ in headers)
        lines = [first] + [name + b": " + value for name, value in headers]
        head = b"\r\n".join(lines)
        if (head.count(b"\n") != len(headers) or
                head.count(b"\r") != len(headers) or b"\0" in head):
            raise LocalProtocolError("a header with a line break")
        return head + b"\r\n\r\n"

    def content(self, data: bytes) -> bytes:
        """Goes on with a message."""
        if self._without_content or not data:
            return b""
        if self._chunked:
            return b"%x\r\n%s\r\n" % (len(data), data)
        return data

    def end(self) -> bytes:
        """Ends a message."""
        self.sending = Stage.DONE
        if self._chunked and not self._without_content:
            return b"0\r\n\r\n"
        return b""

    def go_on(self) -> bytes:
        """Tells a caller to send its content."""
        self.continue_wanted = False
        return b"HTTP/1.1 100 Continue\r\n\r\n"

    # Exchanges.

    @property
    def reusable(self) -> bool:
        """Whether both messages are over and another exchange may follow."""
        return (self._keeps and self.sending is Stage.DONE and
                self.receiving is Stage.DONE)

    def next_exchange(self) -> None:
        """Starts again between messages."""
        self.sending = Stage.IDLE
        self.receiving = Stage.IDLE
        self.unframed = False

    def skip_message(self) -> None:
        """Goes on to the next answer for the request that was sent."""
        self.receiving = Stage.IDLE
        self.unframed = False
