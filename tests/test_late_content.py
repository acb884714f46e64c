"""Tests of responses whose content does not end, or whose node is lost."""

import asyncio
import unittest

from apricothinge.mesh import late_content
from apricothinge.web import client
from apricothinge.web import messages
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_TIMEOUT_S = 1.0
# The platform expects a final answer this long after the timeout of the route.
_FINAL_S = 0.5
_BLOCK = b"x" * 65536
_CHUNK = b"10000\r\n" + _BLOCK + b"\r\n"


class LimitTest(unittest.IsolatedAsyncioTestCase):
    """The limit alone."""

    def _limited(self, read, length=None, after_s=0.0, late_s=0.1):
        response = messages.Response(200, [], b"",
                                     messages.Content(read, self._close),
                                     length)
        self.closed = []
        late_content.limit(response,
                           asyncio.get_running_loop().time() + after_s, late_s)
        return response.rest

    def _close(self, complete):
        self.closed.append(complete)

    async def _read_all(self, content):
        return b"".join([chunk async for chunk in content])

    async def test_silence(self):
        """Content that stops arriving fails once its time is over."""

        async def read():
            await asyncio.sleep(60)

        with self.assertRaises(client.ExchangeFailed):
            await asyncio.wait_for(self._read_all(self._limited(read)), 0.5)
        self.assertEqual([False], self.closed)

    async def test_pieces_without_end(self):
        """Guards against pieces that each come in time, without end."""

        async def read():
            await asyncio.sleep(0.02)
            return b"x"

        with self.assertRaises(client.ExchangeFailed):
            await asyncio.wait_for(
                self._read_all(self._limited(read, after_s=0.1)), 1.0)

    async def test_bytes_without_end(self):
        """Guards against content without end that is never waited for."""

        async def read():
            await asyncio.sleep(0)
            return _BLOCK

        with self.assertRaises(client.ExchangeFailed):
            await asyncio.wait_for(
                self._read_all(self._limited(read, late_s=5.0)), 2.0)

    async def test_slow_reader(self):
        """A reader that takes its time gets content that is there."""
        chunks = [b"x"] * 10 + [b""]

        async def read():
            return chunks.pop(0)

        received = b""
        async for chunk in self._limited(read, length=10, after_s=-5.0):
            await asyncio.sleep(0.03)
            received += chunk
        self.assertEqual(b"x" * 10, received)
        self.assertEqual([True], self.closed)


class EndlessContentTest(test_mesh_nodes.MeshTest):
    """Responses of more than a link carries at once, in a mesh."""

    async def _start(self, gap_s, total=None):
        """Starts an upstream that sends chunks.

        Args:
            gap_s: Seconds between them.
            total: Number of chunks, or None for content without end.
        """
        await self.mesh.start(
            ("s", "t"),
            mesh_builders.document(
                routes=[mesh_builders.route(timeout_s=_TIMEOUT_S)]))
        self.ended = 0

        async def handle(head, content, writer):
            del content
            request_id = mesh_fleet.header_value(head,
                                                 mesh_fleet.NAMES.request_id)
            writer.write(b"HTTP/1.1 200 OK\r\n" + mesh_fleet.NAMES.request_id +
                         b": " + request_id +
                         b"\r\ntransfer-encoding: chunked\r\n\r\n" + _CHUNK * 5)
            sent = 5
            try:
                while total is None or sent < total:
                    writer.write(_CHUNK)
                    await writer.drain()
                    sent += 1
                    await asyncio.sleep(gap_s)
                writer.write(b"0\r\n\r\n")
            finally:
                self.ended += 1
            return True

        self.mesh.upstreams[0].handler = handle

    async def _assert_ends(self, index):
        """Checks that a request at a node ends, and not as if it were whole."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            async with asyncio.timeout(5.0):
                await self.mesh.send_request(index, deadline_ms=8000)
        self.assertLess(loop.time() - started_at, _TIMEOUT_S + _FINAL_S)
        self.assertGreater(loop.time() - started_at, _TIMEOUT_S - 0.05)

    async def test_pieces_without_end(self):
        """Guards against a body without end that is passed on for good."""
        await self._start(0.05)
        for index in (0, 1):
            await self._assert_ends(index)
        await self._assert_slots_free()

    async def test_flood_without_end(self):
        """Guards against a body that comes as fast as it is read."""
        await self._start(0.0)
        for index in (0, 1):
            await self._assert_ends(index)
        await self._assert_slots_free()

    async def test_content_across_the_timeout_of_a_slow_reader(self):
        """A caller that reads slowly gets its whole content."""
        await self._start(0.0, total=30)
        reader, writer = await self.mesh.connect(1)
        writer.write(mesh_fleet.make_request(deadline_ms=8000))
        await asyncio.sleep(_TIMEOUT_S + _FINAL_S)
        _, _, content = await mesh_fleet.read_answer(reader)
        writer.close()
        self.assertEqual(30 * len(_BLOCK), len(content))

    async def _assert_slots_free(self):
        await self.mesh.wait_until(
            lambda: not self.mesh.nodes[0].upstream.load().running)

    def _silence(self):
        """Stops what the two nodes say to each other."""
        links = [
            self.mesh.nodes[1]._peer_table.by_instance["n0"].outgoing_calls.link
        ] + self.mesh.nodes[0].incoming_calls.links
        for link in links:
            link._transport.pause_reading()

    async def test_content_of_lost_node(self):
        """Guards against a response of a lost node that never ends."""
        await self._start(0.1, total=100)
        sent = asyncio.ensure_future(self._assert_ends(1))
        await asyncio.sleep(0.3)
        self._silence()
        await sent

    async def test_work_for_client_that_left(self):
        """Guards against work that goes on after its client has left."""
        await self._start(0.0, total=None)

        async def handle(head, content, writer):
            del content
            answer = mesh_fleet.make_answer(head, bytes(1 << 20))
            writer.write(answer[:-10])
            try:
                await asyncio.sleep(60)
            finally:
                self.ended += 1

        self.mesh.upstreams[0].handler = handle
        for index in (0, 1):
            reader, writer = await self.mesh.connect(index)
            writer.write(mesh_fleet.make_request(deadline_ms=800))
            await reader.readexactly(600_000)
            writer.close()
            await self.mesh.wait_until(
                lambda ended=index + 1: self.ended == ended, 0.3)

    async def test_slot_of_lost_caller(self):
        """Guards against a slot that is kept for a node that is lost."""
        await self._start(0.0, total=100)
        reader, writer = await self.mesh.connect(1)
        writer.write(mesh_fleet.make_request(deadline_ms=8000))
        await reader.readexactly(100)
        self.assertEqual(1, self.mesh.nodes[0].upstream.load().running)
        self._silence()
        await asyncio.sleep(_TIMEOUT_S + _FINAL_S)
        await self.mesh.wait_until(
            lambda: not self.mesh.nodes[0].upstream.load().running, 3.0)
        writer.close()


if __name__ == "__main__":
    unittest.main()
