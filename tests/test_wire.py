"""Tests of the HTTP/1.1 codec, without IO."""

import unittest

import hypothesis
from hypothesis import strategies

from apricothinge.web import wire

_POST = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"
_GET = b"GET /b HTTP/1.1\r\nhost: h\r\n\r\n"
_CHUNKED = (b"POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nde\r\n1\r\nf\r\n0\r\nignored: trailer\r\n\r\n")


def _read_events(codec):
    """Returns the events of all received input, with adjacent data joined."""
    events = []
    while True:
        event = codec.next_event()
        if event is wire.NEED_DATA or event is wire.CLOSED:
            return events
        if isinstance(event, wire.MessageHead):
            events.append((event.method, event.target, event.status))
        elif isinstance(event, wire.EndOfMessage):
            events.append("end")
        elif events and isinstance(events[-1], bytes):
            events[-1] += event.data
        else:
            events.append(event.data)


def _read_all(*parts):
    """Returns the events of a request that arrives in parts."""
    codec = wire.Http1Codec(True, 65536)
    for part in parts:
        codec.receive_data(part)
    return _read_events(codec)


def _client_codec(method="GET"):
    codec = wire.Http1Codec(False, 65536)
    codec.request_head(method, "/a", [(b"host", b"h")])
    codec.end()
    return codec


class RequestTest(unittest.TestCase):
    """Parsing of requests by a server."""

    @hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(_POST + _GET + _CHUNKED)),
                         max_size=8))
    def test_arbitrary_segmentation(self, cuts):
        """Events do not depend on how the input is split into reads."""
        data = _POST + _GET + _CHUNKED
        codec = wire.Http1Codec(True, 65536)
        offsets = [0] + sorted(cuts) + [len(data)]
        for first, last in zip(offsets, offsets[1:]):
            if first < last:
                codec.receive_data(data[first:last])
        self.assertEqual(_read_events(codec),
                         [(b"POST", b"/a", 0), b"abc", "end",
                          (b"GET", b"/b", 0), "end",
                          (b"POST", b"/c", 0), b"def", "end"])

    def test_truncated_message(self):
        """EOF within a message is an error, EOF between messages is not."""
        codec = wire.Http1Codec(True, 65536)
        codec.receive_data(_POST[:-1])
        codec.receive_data(b"")
        with self.assertRaises(wire.ProtocolError):
            _read_events(codec)
        codec = wire.Http1Codec(True, 65536)
        codec.receive_data(_GET)
        codec.receive_data(b"")
        self.assertEqual(_read_events(codec), [(b"GET", b"/b", 0), "end"])

    def test_error_after_a_request(self):
        """Events before an error are returned before it is raised."""
        codec = wire.Http1Codec(True, 65536)
        codec.receive_data(_GET + b"nonsense\r\n\r\n")
        self.assertIsInstance(codec.next_event(), wire.MessageHead)
        self.assertIsInstance(codec.next_event(), wire.EndOfMessage)
        with self.assertRaises(wire.ProtocolError):
            codec.next_event()

    def test_ambiguous_request_is_rejected(self):
        """Input that two parsers could read differently is rejected."""
        for request in (
                b"GET /a HTTP/1.1\r\n\r\n",
                b"GET /a HTTP/1.1\r\nhost: h\r\nhost: i\r\n\r\n",
                b"GET /a HTTP/1.1\nhost: h\n\n",
                b"GET /a HTTP/1.1\r\nhost : h\r\n\r\n",
                b"GET /a HTTP/1.1\r\nhost: h\r\nx: a\r\n b\r\n\r\n",
                b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: +1\r\n\r\n1",
                b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1, 1\r\n\r\n1",
                b"POST /a HTTP/1.1\r\nhost: h\r\n"
                b"transfer-encoding: identity\r\n\r\n",
                b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                b"POST /a HTTP/1.1\r\nhost: h\r\n"
                b"transfer-encoding: chunked\r\n\r\n1\nx\n0\n\n",
                b"POST /a HTTP/1.1\r\nhost: h\r\n"
                b"transfer-encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n"):
            with self.subTest(request):
                codec = wire.Http1Codec(True, 65536)
                codec.receive_data(request)
                with self.assertRaises(wire.ProtocolError):
                    _read_events(codec)

    def test_oversized_head(self):
        """An incomplete head beyond the size limit is rejected."""
        codec = wire.Http1Codec(True, 100)
        codec.receive_data(b"GET /a HTTP/1.1\r\n")
        codec.receive_data(b"x: " + b"y" * 200)
        with self.assertRaises(wire.ProtocolError) as caught:
            codec.next_event()
        self.assertTrue(caught.exception.too_large)

    def test_head_size_excludes_preceding_content(self):
        """Content in the same read does not count towards the head size."""
        codec = wire.Http1Codec(True, 100)
        codec.receive_data(b"POST /a HTTP/1.1\r\nhost: h\r\n"
                           b"content-length: 500\r\n\r\n" + b"x" * 500 +
                           _GET[:9])
        codec.receive_data(_GET[9:])
        self.assertEqual(_read_events(codec)[-2:], [(b"GET", b"/b", 0), "end"])

    def test_upgrade_is_ignored(self):
        """An upgrade is ignored, as is all input after the request."""
        codec = wire.Http1Codec(True, 65536)
        codec.receive_data(
            b"GET /a HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n"
            b"upgrade: other\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n")
        self.assertEqual(_read_events(codec), [(b"GET", b"/a", 0), "end"])
        self.assertIn(b"connection: close", codec.response_head("GET", 200, []))
        codec.end()
        self.assertFalse(codec.reusable)

    def test_content_beside_offer_of_upgrade(self):
        """Guards against the loss of content that follows such an offer."""
        for offer in (b"connection: Upgrade, HTTP2-Settings\r\n"
                      b"upgrade: h2c\r\nhttp2-settings: AAMAAABkAAQ\r\n",
                      b"upgrade: websocket\r\nconnection: keep-alive, upgrade"
                      b"\r\n"):
            for request in (_POST, _CHUNKED):
                expected = _read_all(request)
                start, _, rest = request.partition(b"host: h\r\n")
                offered = start + b"host: h\r\n" + offer + rest
                for behind in (b"", _GET, b"\x00garbage", offered):
                    for end in range(len(offered) + 1):
                        parts = (offered[:end], offered[end:] + behind)
                        self.assertEqual(expected, _read_all(*parts))

    def test_cut_content_beside_offer_of_upgrade(self):
        """Guards against cut content that looks complete."""
        start, _, rest = _POST.partition(b"host: h\r\n")
        request = (start + b"host: h\r\nconnection: upgrade\r\n"
                   b"upgrade: h2c\r\n" + rest)
        for end in range(1, len(request)):
            codec = wire.Http1Codec(True, 65536)
            codec.receive_data(request[:end])
            codec.receive_data(b"")
            with self.assertRaises(wire.ProtocolError):
                _read_events(codec)

    def test_keep_alive(self):
        """A connection is reusable except after close or with HTTP/1.0."""
        for head, expected in ((b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n",
                                True), (b"GET /a HTTP/1.1\r\nhost: h\r\n"
                                        b"connection: close\r\n\r\n", False),
                               (b"GET /a HTTP/1.0\r\n\r\n", False)):
            codec = wire.Http1Codec(True, 65536)
            codec.receive_data(head)
            _read_events(codec)
            codec.response_head("GET", 200, [(b"content-length", b"0")])
            codec.end()
            self.assertEqual(codec.reusable, expected)


class ResponseTest(unittest.TestCase):
    """Parsing of responses by a client."""

    def test_surplus_bytes(self):
        """Input after the end of a response is detected."""
        for surplus in (b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b"H",
                        b"XX"):
            with self.subTest(surplus):
                codec = _client_codec()
                codec.receive_data(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab" + surplus)
                self.assertEqual(codec.next_event().status, 200)
                self.assertEqual(codec.next_event().data, b"ab")
                self.assertIsInstance(codec.next_event(), wire.EndOfMessage)
                self.assertTrue(codec.has_unread_input)

    def test_close_delimited_response(self):
        """A response without a length ends with the connection."""
        codec = _client_codec()
        codec.receive_data(b"HTTP/1.1 200 OK\r\n\r\nab")
        self.assertEqual(_read_events(codec), [(b"", b"", 200), b"ab"])
        codec.receive_data(b"")
        self.assertIsInstance(codec.next_event(), wire.EndOfMessage)
        self.assertFalse(codec.reusable)

    def test_truncated_message(self):
        """EOF before the end of a response with framing is an error."""
        for head in (b"content-length: 3\r\n\r\nab",
                     b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n"):
            codec = _client_codec()
            codec.receive_data(b"HTTP/1.1 200 OK\r\n" + head)
            codec.receive_data(b"")
            with self.assertRaises(wire.ProtocolError):
                _read_events(codec)

    def test_response_to_head(self):
        """A response to HEAD has no content, despite a content-length."""
        codec = _client_codec("HEAD")
        codec.receive_data(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
        self.assertEqual(_read_events(codec), [(b"", b"", 200), "end"])

    def test_informational_response(self):
        """An informational response is skipped."""
        codec = _client_codec()
        codec.receive_data(b"HTTP/1.1 100 Continue\r\n\r\n"
                           b"HTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual(_read_events(codec), [(b"", b"", 204), "end"])

    def test_skipped_response(self):
        """After a skipped response, the next one can be read."""
        codec = _client_codec()
        codec.receive_data(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                           b"HTTP/1.1 201 Created\r\n\r\nab")
        self.assertEqual(codec.next_event().status, 200)
        self.assertIsInstance(codec.next_event(), wire.EndOfMessage)
        codec.skip_response()
        self.assertEqual(_read_events(codec), [(b"", b"", 201), b"ab"])
        codec.receive_data(b"")
        self.assertIsInstance(codec.next_event(), wire.EndOfMessage)


class WritingTest(unittest.TestCase):
    """Serialisation of messages."""

    def test_chunked_content(self):
        """Content without a length is sent with chunked encoding."""
        codec = wire.Http1Codec(True, 65536)
        codec.receive_data(_GET)
        _read_events(codec)
        data = codec.response_head("GET", 200,
                                   [(b"transfer-encoding", b"chunked")])
        data += codec.content(b"abc") + codec.content(b"") + codec.end()
        self.assertTrue(data.endswith(b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
        self.assertTrue(codec.reusable)

    def test_response_without_content(self):
        """Content of a response to HEAD or with status 204 is not sent."""
        for method, status in (("HEAD", 200), ("GET", 204)):
            codec = wire.Http1Codec(True, 65536)
            codec.receive_data(_GET)
            _read_events(codec)
            data = codec.response_head(method, status,
                                       [(b"transfer-encoding", b"chunked")])
            self.assertEqual(codec.content(b"abc") + codec.end(), b"", data)

    def test_header_injection(self):
        """A header with CR, LF or NUL raises an error."""
        for value in (b"a\r\nb: c", b"a\nb", b"a\rb", b"a\0b"):
            codec = wire.Http1Codec(True, 65536)
            codec.receive_data(_GET)
            _read_events(codec)
            with self.assertRaises(wire.LocalProtocolError):
                codec.response_head("GET", 200, [(b"x", value)])
