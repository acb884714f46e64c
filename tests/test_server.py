"""Tests of the HTTP server with a handler of its own."""

import asyncio
import unittest

from apricothinge import errors
from apricothinge import settings
from apricothinge.web import messages
from apricothinge.web import server


class _Handler(server.Handler):
    """Answers each request with its target, after a while."""

    async def handle(self, request):
        await asyncio.sleep(0.1)
        return messages.Response(200, [], request.target.encode())


class BodyTest(unittest.IsolatedAsyncioTestCase):
    """The content of a request."""

    @staticmethod
    def _body(declared, *chunks):
        remaining = [*chunks, b""]

        async def read():
            return remaining.pop(0)

        return messages.Body(declared, read)

    async def test_end_before_declared_length(self):
        """Guards against content that is lost and yet counts as whole."""
        for declared, chunks in ((5, ()), (5, (b"ab",)), (1, (b"ab",))):
            with self.assertRaises(errors.CallError):
                await self._body(declared, *chunks).buffer(100)
            with self.assertRaises(errors.CallError):
                async for _ in self._body(declared, *chunks).chunks():
                    pass

    async def test_declared_length(self):
        """Content of the declared length, or of none, is read to its end."""
        for declared in (4, None):
            body = self._body(declared, b"ab", b"cd")
            await body.buffer(100)
            self.assertEqual((b"abcd", True, 4),
                             (body.prefix, body.complete, body.length))


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Connections that end in unusual ways."""

    async def asyncSetUp(self):
        self.server = server.Server(_Handler(),
                                    settings.Limits(idle_timeout_s=30.0),
                                    cancel_on_half_close=False)
        address = await self.server.start(settings.Address("127.0.0.1", 0))
        self.reader, self.writer = await asyncio.open_connection(
            address.host, address.port)
        self.addAsyncCleanup(self.server.drain)
        self.addCleanup(self.writer.close)

    async def test_half_closed_connection(self):
        """A connection whose client sends no more ends after its response."""
        self.writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        self.writer.write_eof()
        data = await asyncio.wait_for(self.reader.read(), 2.0)
        self.assertTrue(data.endswith(b"\r\n\r\n/x"))

    async def test_malformed_request_with_content(self):
        """The response to malformed input is not lost to a reset."""
        self.writer.write(b"nonsense\r\n\r\n")
        self.assertIn(b"HTTP/1.1 400", await self.reader.readuntil(b"\r\n\r\n"))
        for _ in range(20):
            self.writer.write(bytes(65536))
            await self.writer.drain()
            await asyncio.sleep(0.01)
        self.assertIn(b"malformed_request", await self.reader.read())
