"""HTTP/1.1 codec for one connection, with httptools as the parser."""

import collections
import enum
import http
from typing import Any, Final

import httptools

__all__ = [
    "CLOSED", "Data", "EndOfMessage", "Http1Codec", "LocalProtocolError",
    "MessageHead", "NEED_DATA", "ProtocolError", "Stage"
]

_Headers = list[tuple[bytes, bytes]]

_REASON_BY_STATUS: Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_STATUSES: Final = range(100, 600)
_SWITCHING_PROTOCOLS: Final = 101
_MIN_FINAL_STATUS: Final = 200
_NO_CONTENT_STATUSES: Final = (204, 304)
_HTTP_1_1: Final = b"1.1"


class ProtocolError(Exception):
    """The peer violated the protocol.

    Attributes:
        too_large: Whether the head of the message was too large.
    """

    def __init__(self, detail: str, too_large: bool = False) -> None:
        super().__init__(detail)
        self.too_large = too_large


class LocalProtocolError(Exception):
    """This side tried to send an invalid message."""


class Stage(enum.Enum):
    """The state of one direction of an exchange."""

    IDLE = "idle"
    CONTENT = "content"
    DONE = "done"


class MessageHead:
    """The head of a request or of a response.

    Attributes:
        method: Method of a request, empty for a response.
        target: Target of a request as sent, empty for a response.
        status: Status code of a response, 0 for a request.
        headers: Pairs of lower-case name and value, in order.
        version: b"1.0" or b"1.1".
        keep_alive: Whether the connection can be reused after the message.
        close_delimited: Whether the content ends with the connection.
        received_at: `Http1Codec.received_at` when the head was complete.
    """

    __slots__ = ("method", "target", "status", "headers", "version",
                 "keep_alive", "close_delimited", "received_at")

    def __init__(self,
                 method: bytes,
                 target: bytes,
                 status: int,
                 headers: _Headers,
                 version: bytes,
                 keep_alive: bool,
                 close_delimited: bool = False,
                 received_at: float = 0.0) -> None:
        self.received_at = received_at
        self.method = method
        self.target = target
        self.status = status
        self.headers = headers
        self.version = version
        self.keep_alive = keep_alive
        self.close_delimited = close_delimited


class Data:
    """A part of the content of a message."""

    __slots__ = ("data",)

    def __init__(self, data: bytes) -> None:
        self.data = data


class EndOfMessage:
    """The end of a message."""

    __slots__ = ()


class _Sentinel:
    """A result of `next_event` that is not an event."""

    __slots__ = ()


NEED_DATA: Final = _Sentinel()
CLOSED: Final = _Sentinel()
_END: Final = EndOfMessage()


class Http1Codec:
    """Parses and serialises the messages of one connection; does no IO.

    Attributes:
        server: Whether this is the server side.
        sending: State of the message that is being sent.
        receiving: State of the message that is being read.
        expects_continue: Whether the client waits for a 100 response.
        close_delimited: Whether the message that is being read ends with the
            connection.
        received_at: Time in seconds of the input that is parsed next, set by
            the connection.
    """

    __slots__ = ("server", "sending", "receiving", "expects_continue",
                 "_parser", "_events", "_error", "_input_ended", "_in_message",
                 "_in_head", "_overhead_bytes", "_max_head_bytes", "_target",
                 "_headers", "_keep_alive", "close_delimited", "_chunked",
                 "_omits_content", "_method", "_ignores_input", "received_at",
                 "_repeats_head")

    def __init__(self, server: bool, max_head_bytes: int) -> None:
        """Creates a codec that expects the start of a message.

        Args:
            server: Whether this is the server side.
            max_head_bytes: Number of consecutive bytes of input without a
                whole head or any content beyond which a message is rejected.
        """
        self.server = server
        self.sending = Stage.IDLE
        self.receiving = Stage.IDLE
        self.expects_continue = False
        self._parser: Any = (httptools.HttpRequestParser(self)
                             if server else httptools.HttpResponseParser(self))
        self._events: collections.deque[MessageHead | Data |
                                        EndOfMessage] = collections.deque()
        self._error: ProtocolError | None = None
        self._input_ended = False
        self._in_message = False
        self._in_head = False
        self._overhead_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._target = b""
        self._headers: _Headers = []
        self._keep_alive = True
        self.close_delimited = False
        self._chunked = False
        self._omits_content = False
        self._method = b""
        self._ignores_input = False
        self._repeats_head = False
        self.received_at = 0.0

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Starts a message; called by the parser."""
        if self._ignores_input:
            return
        self._in_message = True
        self._in_head = True
        if not self._repeats_head:
            self._target = b""
            self._headers = []

    def on_url(self, url: bytes) -> None:
        """Appends to the target of a request; called by the parser."""
        if not self._repeats_head:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header, ignoring trailers; called by the parser."""
        if self._in_head and not self._repeats_head:
            self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Finishes the head of a message; called by the parser."""
        self._in_head = False
        if self._repeats_head:
            return
        version = self._parser.get_http_version().encode()
        keep_alive = version == _HTTP_1_1 and self._parser.should_keep_alive()
        if any(name == b"transfer-encoding" and value.lower() != b"chunked"
               for name, value in self._headers):
            self._fail("unsupported transfer-encoding")
            return
        if self.server:
            self._finish_request_head(version, keep_alive)
        else:
            self._finish_response_head(version, keep_alive)

    def _finish_request_head(self, version: bytes, keep_alive: bool) -> None:
        hosts = 0
        for name, value in self._headers:
            if name == b"host":
                hosts += 1
            elif name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = version == _HTTP_1_1
        if hosts > 1 or (not hosts and version == _HTTP_1_1):
            self._fail("exactly one host header is required")
            return
        self._events.append(
            MessageHead(self._parser.get_method(),
                        self._target,
                        0,
                        self._headers,
                        version,
                        keep_alive,
                        received_at=self.received_at))

    def _finish_response_head(self, version: bytes, keep_alive: bool) -> None:
        status = self._parser.get_status_code()
        if status not in _STATUSES or status == _SWITCHING_PROTOCOLS:
            self._fail(f"unexpected status {status}")
            return
        if status < _MIN_FINAL_STATUS:
            return
        has_framing = status in _NO_CONTENT_STATUSES or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers)
        for_head_request = self._method == b"HEAD"
        self._events.append(
            MessageHead(b"", b"", status, self._headers, version, keep_alive and
                        not for_head_request, not has_framing and
                        not for_head_request))
        if for_head_request:
            # The parser would wait for the content that a response to GET has.
            self._events.append(_END)
            self._ignores_input = True

    def on_body(self, body: bytes) -> None:
        """Adds content; called by the parser."""
        if not self._ignores_input and self._error is None:
            self._events.append(Data(body))

    def on_message_complete(self) -> None:
        """Finishes a message; called by the parser."""
        self._in_message = False
        if self._ignores_input or self._error is not None or (
                not self.server and
                self._parser.get_status_code() < _MIN_FINAL_STATUS):
            return
        self._events.append(_END)
        # What follows a request that offers an upgrade may be in the protocol
        # that was offered.
        self._ignores_input = self._repeats_head

    # Reading.

    def _fail(self, detail: str, too_large: bool = False) -> None:
        if self._error is None:
            self._error = ProtocolError(detail, too_large)

    def _fail_parsing(self, error: Exception) -> None:
        if not self._ignores_input:
            self._fail(str(error))

    def receive_data(self, data: bytes) -> None:
        """Parses input; empty input means that the peer has sent EOF."""
        if not data:
            self._input_ended = True
            return
        if self._error is not None or self._ignores_input:
            return
        event_count = len(self._events)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._decline_upgrade(data[upgrade.args[0]:])
        except httptools.HttpParserError as error:
            self._fail_parsing(error)
        if len(self._events) > event_count:
            self._overhead_bytes = 0
            return
        # A head, interim responses, chunk extensions and trailers without an
        # end would otherwise be parsed for as long as the peer sends them.
        self._overhead_bytes += len(data)
        if self._overhead_bytes > self._max_head_bytes:
            self._fail("the message head is too large"
                       if self._in_head else "too much input without content",
                       too_large=self._in_head)

    def _decline_upgrade(self, data: bytes) -> None:
        """Goes on with a request that offers an upgrade, as HTTP/1.1.

        The parser ends such a request with its head, although its content
        follows. Another parser reads it; input behind the request is ignored.

        Args:
            data: Input behind the head.
        """
        if self._error is not None or self._ignores_input:
            return
        for event in self._events:
            if isinstance(event, MessageHead):
                event.keep_alive = False
        framing = [
            name + b": " + value
            for name, value in self._headers
            if name in (b"content-length", b"transfer-encoding")
        ]
        if not framing or self._parser.get_method() == b"CONNECT":
            self._ignores_input = True
            return
        self._events.pop()
        self._repeats_head = True
        self._parser = httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(b"POST / HTTP/1.1\r\n" +
                                   b"\r\n".join(framing) + b"\r\n\r\n")
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade,
                httptools.HttpParserError) as error:
            self._fail_parsing(error)

    def ignore_input(self) -> None:
        """Discards all input from now on, whether it is valid or not."""
        self._ignores_input = True
        self._events.clear()

    def next_event(self) -> Any:
        """Returns a MessageHead, Data, EndOfMessage, NEED_DATA or CLOSED.

        Raises:
            ProtocolError: The peer violated the protocol, for example by
                closing the connection in the middle of a message.
        """
        if self._events:
            event = self._events.popleft()
            if isinstance(event, MessageHead):
                self.receiving = Stage.CONTENT
                self._keep_alive = event.keep_alive
                self.close_delimited = event.close_delimited
            elif isinstance(event, EndOfMessage):
                self.receiving = Stage.DONE
            else:
                self.expects_continue = False
            return event
        if self._error is not None:
            raise self._error
        if not self._input_ended:
            return NEED_DATA
        if self.receiving is Stage.CONTENT and self.close_delimited:
            self.receiving = Stage.DONE
            return _END
        if self._in_message:
            raise ProtocolError("connection closed in the middle of a message")
        return CLOSED

    def peek_request(self) -> MessageHead | None:
        """Returns the head of the next request if it is whole, else None.

        Only requests without content count as whole, and only those behind a
        request that has been read to its end.
        """
        events = self._events
        if (len(events) < 2 or self.receiving is Stage.CONTENT or
                not isinstance(events[1], EndOfMessage)):
            return None
        head = events[0]
        return head if isinstance(head, MessageHead) else None

    def take_request(self) -> None:
        """Removes the request that `peek_request` has returned."""
        self._events.popleft()
        self._events.popleft()

    def resume_request(self, head: MessageHead) -> None:
        """Continues with a request that was taken, after the previous one."""
        self.receiving = Stage.DONE
        self._keep_alive = head.keep_alive

    @property
    def has_unread_input(self) -> bool:
        """Whether there is input, or an error, that has not been read."""
        return bool(self._events) or self._in_message or self._error is not None

    # Writing.

    def request_head(self, method: str, target: str,
                     headers: _Headers) -> bytes:
        """Starts a request and returns its head.

        Raises:
            LocalProtocolError: A message was already started, or the head
                contains a line break or NUL.
        """
        self._method = method.encode()
        self._omits_content = False
        return self._encode_head(
            b"%s %s HTTP/1.1" % (self._method, target.encode("latin-1")),
            headers)

    def response_head(self, method: str, status: int,
                      headers: _Headers) -> bytes:
        """Starts a response and returns its head.

        Raises:
            LocalProtocolError: A message was already started, or the head
                contains a line break or NUL.
        """
        self.expects_continue = False
        self._omits_content = method == "HEAD" or status in _NO_CONTENT_STATUSES
        closes = any(name == b"connection" and value == b"close"
                     for name, value in headers)
        if closes:
            self._keep_alive = False
        elif not self._keep_alive:
            headers = headers + [(b"connection", b"close")]
        reason = _REASON_BY_STATUS.get(status, b"")
        return self._encode_head(b"HTTP/1.1 %d %s" % (status, reason), headers)

    def _encode_head(self, start_line: bytes, headers: _Headers) -> bytes:
        if self.sending is not Stage.IDLE:
            raise LocalProtocolError("a message was already started")
        self.sending = Stage.CONTENT
        self._chunked = any(name == b"transfer-encoding" for name, _ in headers)
        lines = [start_line] + [name + b": " + value for name, value in headers]
        head = b"\r\n".join(lines)
        if (head.count(b"\n") != len(headers) or
                head.count(b"\r") != len(headers) or b"\0" in head):
            raise LocalProtocolError(
                "the message head contains a line break or NUL")
        return head + b"\r\n\r\n"

    def content(self, data: bytes) -> bytes:
        """Returns content in the framing of the current message."""
        if self._omits_content or not data:
            return b""
        if self._chunked:
            return b"%x\r\n%s\r\n" % (len(data), data)
        return data

    def end(self) -> bytes:
        """Ends the current message and returns its last bytes."""
        self.sending = Stage.DONE
        if self._chunked and not self._omits_content:
            return b"0\r\n\r\n"
        return b""

    def continue_response(self) -> bytes:
        """Returns a 100 response, which asks the client for the content."""
        self.expects_continue = False
        return b"HTTP/1.1 100 Continue\r\n\r\n"

    # Exchanges.

    @property
    def reusable(self) -> bool:
        """Whether both messages have ended and another exchange may follow."""
        return (self._keep_alive and self.sending is Stage.DONE and
                self.receiving is Stage.DONE)

    def start_next_exchange(self) -> None:
        """Prepares for the next request and its response."""
        self.sending = Stage.IDLE
        self.receiving = Stage.IDLE
        self.close_delimited = False

    def skip_response(self) -> None:
        """Prepares for another response to the request that was sent."""
        self.receiving = Stage.IDLE
        self.close_delimited = False
