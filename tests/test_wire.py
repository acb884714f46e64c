"""Tests of the state of an HTTP connection, without IO."""

import unittest

import hypothesis
from hypothesis import strategies

from apricothinge.web import wire

_POST = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"
_GET = b"GET /b HTTP/1.1\r\nhost: h\r\n\r\n"
_CHUNKED = (b"POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nde\r\n1\r\nf\r\n0\r\nignored: trailer\r\n\r\n")


def _take(found):
    """All events up to the end of what has arrived, contents joined."""
    events = []
    while True:
        event = found.next_event()
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


def _client(method="GET"):
    found = wire.Http1Codec(False, 65536)
    found.request_head(method, "/a", [(b"host", b"h")])
    found.end()
    return found


class RequestTest(unittest.TestCase):
    """What a server reads."""

    @hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(_POST + _GET + _CHUNKED)),
                         max_size=8))
    def test_any_pieces(self, cuts):
        """Requests are the same however their bytes are cut."""
        data = _POST + _GET + _CHUNKED
        found = wire.Http1Codec(True, 65536)
        places = [0] + sorted(cuts) + [len(data)]
        for first, last in zip(places, places[1:]):
            if first < last:
                found.receive_data(data[first:last])
        self.assertEqual(_take(found), [(b"POST", b"/a", 0), b"abc", "end",
                                        (b"GET", b"/b", 0), "end",
                                        (b"POST", b"/c", 0), b"def", "end"])

    def test_cut(self):
        """An end within a message is an error, between messages it is not."""
        found = wire.Http1Codec(True, 65536)
        found.receive_data(_POST[:-1])
        found.receive_data(b"")
        with self.assertRaises(wire.ProtocolError):
            _take(found)
        found = wire.Http1Codec(True, 65536)
        found.receive_data(_GET)
        found.receive_data(b"")
        self.assertEqual(_take(found), [(b"GET", b"/b", 0), "end"])

    def test_error_after_a_request(self):
        """What came before the error is served."""
        found = wire.Http1Codec(True, 65536)
        found.receive_data(_GET + b"nonsense\r\n\r\n")
        self.assertIsInstance(found.next_event(), wire.MessageHead)
        self.assertIsInstance(found.next_event(), wire.EndOfMessage)
        with self.assertRaises(wire.ProtocolError):
            found.next_event()

    def test_refused(self):
        """Bytes on which two parsers might differ are refused."""
        for text in (
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
            with self.subTest(text):
                found = wire.Http1Codec(True, 65536)
                found.receive_data(text)
                with self.assertRaises(wire.ProtocolError):
                    _take(found)

    def test_large_head(self):
        """A head that never ends is given up."""
        found = wire.Http1Codec(True, 100)
        found.receive_data(b"GET /a HTTP/1.1\r\n")
        found.receive_data(b"x: " + b"y" * 200)
        with self.assertRaises(wire.ProtocolError) as caught:
            found.next_event()
        self.assertTrue(caught.exception.too_large)

    def test_head_after_content(self):
        """Content in the same read does not count as part of a head."""
        found = wire.Http1Codec(True, 100)
        found.receive_data(b"POST /a HTTP/1.1\r\nhost: h\r\n"
                           b"content-length: 500\r\n\r\n" + b"x" * 500 +
                           _GET[:9])
        found.receive_data(_GET[9:])
        self.assertEqual(_take(found)[-2:], [(b"GET", b"/b", 0), "end"])

    def test_upgrade(self):
        """A wish for another protocol is not followed."""
        found = wire.Http1Codec(True, 65536)
        found.receive_data(
            b"GET /a HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n"
            b"upgrade: other\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n")
        self.assertEqual(_take(found), [(b"GET", b"/a", 0), "end"])
        self.assertIn(b"connection: close", found.response_head("GET", 200, []))
        found.end()
        self.assertFalse(found.reusable)

    def test_kept(self):
        """A connection is kept unless one side or HTTP/1.0 ends it."""
        for head, kept in ((b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n",
                            True), (b"GET /a HTTP/1.1\r\nhost: h\r\n"
                                    b"connection: close\r\n\r\n", False),
                           (b"GET /a HTTP/1.0\r\n\r\n", False)):
            found = wire.Http1Codec(True, 65536)
            found.receive_data(head)
            _take(found)
            found.response_head("GET", 200, [(b"content-length", b"0")])
            found.end()
            self.assertEqual(found.reusable, kept)


class AnswerTest(unittest.TestCase):
    """What a client reads."""

    def test_extra_bytes(self):
        """Bytes after an answer belong to nobody, and are noticed."""
        for extra in (b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b"H",
                      b"XX"):
            with self.subTest(extra):
                found = _client()
                found.receive_data(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab" + extra)
                self.assertEqual(found.next_event().status, 200)
                self.assertEqual(found.next_event().data, b"ab")
                self.assertIsInstance(found.next_event(), wire.EndOfMessage)
                self.assertTrue(found.has_unread_input)

    def test_until_closed(self):
        """An answer without a length ends with the connection."""
        found = _client()
        found.receive_data(b"HTTP/1.1 200 OK\r\n\r\nab")
        self.assertEqual(_take(found), [(b"", b"", 200), b"ab"])
        found.receive_data(b"")
        self.assertIsInstance(found.next_event(), wire.EndOfMessage)
        self.assertFalse(found.reusable)

    def test_cut(self):
        """One with a length or in chunks is cut before its end."""
        for head in (b"content-length: 3\r\n\r\nab",
                     b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n"):
            found = _client()
            found.receive_data(b"HTTP/1.1 200 OK\r\n" + head)
            found.receive_data(b"")
            with self.assertRaises(wire.ProtocolError):
                _take(found)

    def test_head(self):
        """An answer to HEAD has no content, whatever its length says."""
        found = _client("HEAD")
        found.receive_data(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
        self.assertEqual(_take(found), [(b"", b"", 200), "end"])

    def test_informational(self):
        """A 100 is passed over."""
        found = _client()
        found.receive_data(b"HTTP/1.1 100 Continue\r\n\r\n"
                           b"HTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual(_take(found), [(b"", b"", 204), "end"])

    def test_skipped(self):
        """After an answer to another request comes the right one."""
        found = _client()
        found.receive_data(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                           b"HTTP/1.1 201 Created\r\n\r\nab")
        self.assertEqual(found.next_event().status, 200)
        self.assertIsInstance(found.next_event(), wire.EndOfMessage)
        found.skip_response()
        self.assertEqual(_take(found), [(b"", b"", 201), b"ab"])
        found.receive_data(b"")
        self.assertIsInstance(found.next_event(), wire.EndOfMessage)


class WritingTest(unittest.TestCase):
    """What is written."""

    def test_chunks(self):
        """Content without a length is sent in chunks."""
        found = wire.Http1Codec(True, 65536)
        found.receive_data(_GET)
        _take(found)
        data = found.response_head("GET", 200,
                                   [(b"transfer-encoding", b"chunked")])
        data += found.content(b"abc") + found.content(b"") + found.end()
        self.assertTrue(data.endswith(b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
        self.assertTrue(found.reusable)

    def test_no_content(self):
        """HEAD and 204 have none, also where content is given."""
        for method, status in (("HEAD", 200), ("GET", 204)):
            found = wire.Http1Codec(True, 65536)
            found.receive_data(_GET)
            _take(found)
            data = found.response_head(method, status,
                                       [(b"transfer-encoding", b"chunked")])
            self.assertEqual(found.content(b"abc") + found.end(), b"", data)

    def test_line_breaks(self):
        """A header with a line break is never sent."""
        for value in (b"a\r\nb: c", b"a\nb", b"a\rb", b"a\0b"):
            found = wire.Http1Codec(True, 65536)
            found.receive_data(_GET)
            _take(found)
            with self.assertRaises(wire.LocalProtocolError):
                found.response_head("GET", 200, [(b"x", value)])
