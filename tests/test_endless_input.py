"""Tests of input that never ends, from upstreams and from callers."""

import asyncio
import resource
import time
import unittest

from apricothinge.mesh import documents
from apricothinge.web import wire
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_HEAD_BYTES = 65536
_BLOCK = b"x" * 8192
_MAX_INPUT_BYTES = 4 << 20
_NAMES = mesh_fleet.NAMES

_CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
# What a faulty peer sends first, and what it then repeats until the end of the
# connection. An upstream adds the ID of the request after the first line.
_ENDLESS_RESPONSES = {
    "status line": (b"HTTP/1.1 200 ", _BLOCK),
    "header name": (b"HTTP/1.1 200 OK\r\n", _BLOCK),
    "header value": (b"HTTP/1.1 200 OK\r\nx: ", _BLOCK),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
    "chunk size": (_CHUNKED_HEAD + b"\r\n", b"0" * 8192),
    "chunk extension": (_CHUNKED_HEAD + b"\r\n5;", _BLOCK),
    "trailer": (_CHUNKED_HEAD + b"\r\n0\r\nx: ", _BLOCK),
    "trailers": (_CHUNKED_HEAD + b"\r\n0\r\n", b"x: y\r\n" * 1000),
    "nothing of HTTP": (b"", b"\0" * 8192),
}
_POST_HEAD = b"POST /a/1 HTTP/1.1\r\nhost: h\r\n"
_ENDLESS_REQUESTS = {
    "target": (b"GET /", _BLOCK),
    "header": (b"GET / HTTP/1.1\r\nx: ", _BLOCK),
    "empty lines": (b"", b"\r\n" * 4096),
    "chunk extension":
        (_POST_HEAD + b"transfer-encoding: chunked\r\n\r\n5;", _BLOCK),
    "trailer":
        (_POST_HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\nx: ", _BLOCK),
}


class CodecTest(unittest.TestCase):
    """The codec rejects input that contains no content for too long."""

    def _assert_bounded(self, codec, start, repeated):
        size = 0
        started_at = time.process_time()
        if start:
            codec.receive_data(start)
        with self.assertRaises(wire.ProtocolError):
            while size < _MAX_INPUT_BYTES:
                codec.receive_data(repeated)
                size += len(repeated)
                while codec.next_event() is not wire.NEED_DATA:
                    pass
        self.assertLess(size, 2 * _HEAD_BYTES)
        self.assertLess(time.process_time() - started_at, 1.0)

    def test_responses(self):
        """Endless heads, interim responses, extensions and trailers."""
        for name, (start, repeated) in _ENDLESS_RESPONSES.items():
            with self.subTest(name):
                codec = wire.Http1Codec(False, _HEAD_BYTES)
                codec.request_head("GET", "/a", [(b"host", b"h")])
                codec.end()
                self._assert_bounded(codec, start, repeated)

    def test_requests(self):
        """The same from a client."""
        for name, (start, repeated) in _ENDLESS_REQUESTS.items():
            with self.subTest(name):
                self._assert_bounded(wire.Http1Codec(True, _HEAD_BYTES), start,
                                     repeated)

    def test_long_content_with_short_chunks(self):
        """Content of any length passes, also in chunks of one byte."""
        codec = wire.Http1Codec(False, _HEAD_BYTES)
        codec.receive_data(_CHUNKED_HEAD + b"\r\n")
        for _ in range(30000):
            codec.receive_data(b"1\r\nx\r\n")
            while codec.next_event() is not wire.NEED_DATA:
                pass
        codec.receive_data(b"0\r\n\r\n")
        self.assertIsInstance(codec.next_event(), wire.EndOfMessage)


class EndlessUpstreamTest(test_mesh_nodes.MeshTest):
    """An upstream that sends bytes until its connection is closed."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.running = 0

    async def _start(self, start, repeated, timeout_s=2.0):
        await self.mesh.start(
            services=("s", "t"),
            document=mesh_builders.document(routes=[
                mesh_builders.route(kind=documents.RouteKind.NON_IDEMPOTENT,
                                    timeout_s=timeout_s)
            ]))
        self._set_endless(start, repeated)

    def _set_endless(self, start, repeated):
        self.sent_bytes = 0

        async def handle(head, content, writer):
            del content
            self.running += 1
            try:
                await respond(head, writer)
            finally:
                self.running -= 1

        async def respond(head, writer):
            line, separator, rest = start.partition(b"\r\n")
            writer.write(line + separator +
                         (_NAMES.request_id + b": " +
                          mesh_fleet.header_value(head, _NAMES.request_id) +
                          b"\r\n" + rest if separator else b""))
            while not writer.transport.is_closing():
                writer.write(repeated)
                self.sent_bytes += len(repeated)
                await writer.drain()
                await asyncio.sleep(0)

        self._set_handler(handle)

    async def _assert_closed_by_node(self):
        await self.mesh.wait_until(lambda: not self.running)
        await self.mesh.wait_until(
            lambda: not self.mesh.nodes[0].upstream.load().running)

    async def _assert_next_is_served(self):
        self._set_handler(None)
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].upstream.row().usable)
        self.assertEqual((await self.mesh.send_request(index=1,
                                                       method="POST"))[0], 200)

    async def test_no_response_in_it(self):
        """The request fails with an unknown outcome; the next one is served."""
        await self._start(b"", b"")
        for name, (start, repeated) in _ENDLESS_RESPONSES.items():
            with self.subTest(name):
                self._set_endless(start, repeated)
                try:
                    status, head, _ = await self.mesh.send_request(
                        index=1, method="POST", deadline_ms=2000)
                    self.assertIn(status, (502, 504))
                    self.assertNotIn(b"not-run", head)
                except (asyncio.IncompleteReadError, ConnectionError):
                    # The response had begun.
                    pass
                await self._assert_closed_by_node()
                self.assertLess(self.sent_bytes, 16 << 20)
                await self._assert_next_is_served()

    async def test_content(self):
        """Endless content is passed on in bounded memory until its caller
        closes the connection, if that is before its deadline."""
        for framing, repeated in ((b"transfer-encoding: chunked",
                                   b"2000\r\n" + _BLOCK + b"\r\n"),
                                  (b"content-length: 999999999999",
                                   _BLOCK), (b"x: close-delimited", _BLOCK)):
            with self.subTest(framing):
                if not self.mesh.nodes:
                    await self._start(b"", b"", timeout_s=120.0)
                self._set_endless(
                    b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n", repeated)
                before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                reader, writer = await self.mesh.connect(1)
                writer.write(
                    mesh_fleet.make_request(method="POST", deadline_ms=120_000))
                size = 0
                while size < 32 << 20:
                    data = await reader.read(65536)
                    self.assertTrue(data, "the content ended")
                    size += len(data)
                writer.close()
                await self._assert_closed_by_node()
                grown_kb = resource.getrusage(
                    resource.RUSAGE_SELF).ru_maxrss - before_kb
                self.assertLess(grown_kb, 16 << 10)

    async def test_unread_content(self):
        """A caller that reads nothing holds a bounded part of the content."""
        await self._start(b"HTTP/1.1 200 OK\r\nx: close-delimited\r\n\r\n",
                          _BLOCK)
        _, writer = await self.mesh.connect(1)
        writer.write(mesh_fleet.make_request(method="POST"))
        await asyncio.sleep(1.0)
        sent_bytes = self.sent_bytes
        await asyncio.sleep(0.5)
        self.assertEqual(self.sent_bytes, sent_bytes)
        self.assertGreater(sent_bytes, 0)
        writer.close()
        await self._assert_closed_by_node()

    async def test_silence_within_content(self):
        """Content that stops arriving ends after the deadline, and its
        response does not look complete."""
        await self._start(b"", b"")

        async def handle(head, content, writer):
            del content
            self.running += 1
            try:
                writer.write(mesh_fleet.make_answer(head, bytes(1 << 20))[:-9])
                await asyncio.sleep(60)
            finally:
                self.running -= 1

        self._set_handler(handle)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self.mesh.send_request(index=1,
                                         method="POST",
                                         deadline_ms=500)
        self.assertLess(loop.time() - started_at, 2.5)
        await self._assert_closed_by_node()

    async def test_input_on_idle_connection(self):
        """Bytes behind a response are not kept while no request is running."""
        await self._start(b"", b"")
        for repeated in (_BLOCK, b"HTTP/1.1 200 OK\r\n" + _BLOCK,
                         mesh_fleet.make_answer(b"", _BLOCK, request_id=b"old"),
                         b"HTTP/1.1 000 No\r\n\r\n" + _BLOCK):
            with self.subTest(repeated[:16]):
                before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                sent_bytes = 0

                async def handle(head, content, writer, repeated=repeated):
                    nonlocal sent_bytes
                    del content
                    writer.write(mesh_fleet.make_answer(head))
                    while not writer.transport.is_closing():
                        await writer.drain()
                        await asyncio.sleep(0)
                        writer.write(repeated)
                        sent_bytes += len(repeated)
                    return False

                self._set_handler(handle)
                self.assertIn((await self.mesh.send_request(index=1,
                                                            method="POST"))[0],
                              (200, 502))
                await asyncio.sleep(1.0)
                self.assertLess(sent_bytes, 16 << 20)
                grown_kb = resource.getrusage(
                    resource.RUSAGE_SELF).ru_maxrss - before_kb
                self.assertLess(grown_kb, 24 << 10)
                await self._assert_next_is_served()

    async def test_responses_to_other_requests(self):
        """Only a few responses are skipped on the way to the expected one."""
        await self._start(b"", b"")
        other = mesh_fleet.make_answer(b"", b"other", request_id=b"old")

        async def handle(head, content, writer):
            del head, content
            # Ends with the connection.
            while not writer.transport.is_closing():
                writer.write(other)
                self.sent_bytes += len(other)
                await writer.drain()
                await asyncio.sleep(0)

        self._set_handler(handle)
        status, _, _ = await self.mesh.send_request(index=1,
                                                    method="POST",
                                                    deadline_ms=2000)
        self.assertEqual(status, 502)
        await self._assert_closed_by_node()


class EndlessCallerTest(test_mesh_nodes.MeshTest):
    """A caller whose content exceeds the limit of the desired state."""

    async def test_chunked_content(self):
        """Content of undeclared size is bounded as well."""
        document = mesh_builders.document(body_bytes=1 << 20)
        await self.mesh.start(services=("s", "t"), document=document)
        reader, writer = await self.mesh.connect(1)
        self.addCleanup(writer.close)
        writer.write(
            mesh_fleet.make_request(method="POST",
                                    headers=[(b"Transfer-Encoding", b"chunked")
                                            ]))
        sent_bytes = 0
        while sent_bytes < 8 << 20 and not reader._buffer:
            writer.write(b"2000\r\n" + _BLOCK + b"\r\n")
            await writer.drain()
            sent_bytes += len(_BLOCK)
            await asyncio.sleep(0)
        status, head, _ = await mesh_fleet.read_answer(reader)
        self.assertEqual(status, 413)
        self.assertNotIn(b"not-run", head)
        await self.mesh.wait_until(
            lambda: not self.mesh.nodes[0].upstream.load().running)
        self.assertEqual((await self.mesh.send_request(index=1))[0], 200)

    async def test_deadline_is_a_plain_number(self):
        """Other forms of numbers are rejected."""
        await self.mesh.start(services=("s",))
        for text in (b"1_000", b"-5", b"+5", b"1e3", b" ", b"9" * 40):
            with self.subTest(text):
                request = mesh_fleet.make_request().replace(
                    b": 3000", b": " + text)
                reader, writer = await self.mesh.connect()
                writer.write(request)
                self.assertEqual((await mesh_fleet.read_answer(reader))[0], 400)
                writer.close()
