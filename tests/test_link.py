"""Tests of apricothinge.link."""

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from apricothinge.link import connection
from apricothinge.link import frames
from tests import mesh_builders


class _Recorder(connection.LinkHandler):
    """Keeps what a link brings."""

    def __init__(self):
        self.links = []
        self.messages = []
        self.ended = 0

    def link_opened(self, link):
        self.links.append(link)

    def message_received(self, link, message):
        self.messages.append(message)

    def link_lost(self, link):
        self.ended += 1


class FrameTest(unittest.TestCase):
    """Messages arrive as they were sent."""

    def test_every_message(self):
        """A call, with all its fields, survives the way."""
        call = mesh_builders.call(data=b"\x00\xff" * 9)
        body = frames.encode(call)[frames.LENGTH_BYTES:]
        self.assertEqual(frames.decode(body), call)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """One connection between two processes."""

    async def asyncSetUp(self):
        self.monitor = connection.KeepaliveMonitor()
        self.here = _Recorder()
        self.there = _Recorder()
        server = await asyncio.get_running_loop().create_server(
            lambda: connection.Link(self.there, self.monitor), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.addCleanup(server.close)
        self.addCleanup(self.monitor.stop)

    async def _link(self):
        return await connection.dial("127.0.0.1", self.port, self.here,
                                     self.monitor)

    async def _until(self, holds):
        for _ in range(500):
            if holds():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("it did not come to hold")

    async def test_one_write_a_turn(self):
        """All messages of a turn of the loop leave in one write."""
        link = await self._link()
        with mock.patch.object(link, "_transport",
                               wraps=link._transport) as transport:
            for stream in range(20):
                link.send(frames.Cancel(stream))
            await self._until(lambda: len(self.there.messages) == 20)
            self.assertEqual(transport.write.call_count, 1)
        self.assertEqual([row.stream for row in self.there.messages],
                         list(range(20)))

    async def test_silence(self):
        """A peer that does not answer probes is given up."""
        link = await self._link()
        await self._until(lambda: self.there.links)
        now = link.last_received_at
        with mock.patch.object(link, "_transport", mock.Mock()):
            link.check(now + 0.6)
            self.assertFalse(link.is_suspect(now + 1.0))
            self.assertTrue(link.is_suspect(now + 2.0))
            link.check(now + 3.0)
            self.assertFalse(link.closed)
            link.check(now + 3.2)
        self.assertTrue(link.closed)
        self.assertEqual(self.here.ended, 1)

    async def test_idle(self):
        """A link without calls is probed less often, one in use is not."""
        link = await self._link()
        now = asyncio.get_running_loop().time()
        link.check(now + 0.6)
        self.assertTrue(link.is_suspect(now + 2.0))
        link._probe_sent_at = float("inf")
        link._last_active_at = now - 10.0
        link.last_received_at = now
        link.check(now + 1.9)
        self.assertFalse(link.is_suspect(now + 10.0))
        link.send(frames.Status(None, False, frames.Load(0, 0, 4, 2.0)))
        link.check(now + 1.9)
        self.assertFalse(link.is_suspect(now + 10.0))
        link.send(frames.Cancel(1))
        link.check(now + 1.9)
        self.assertTrue(link.is_suspect(now + 10.0))

    async def test_probe_is_answered(self):
        """Bytes of the peer end a suspicion."""
        link = await self._link()
        link.check(link.last_received_at + 0.6)
        probe_sent_at = link.last_received_at
        await self._until(lambda: link.last_received_at > probe_sent_at)
        self.assertFalse(link.is_suspect(link.last_received_at + 2.0))

    async def test_garbage(self):
        """Bytes that are no message end the link, and nothing else."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"\x00\x00\x00\x03abc")
        self.assertEqual(await reader.read(), b"")
        writer.close()
        self.assertEqual(self.there.messages, [])
        link = await self._link()
        link.send(frames.Ping())
        await self._until(lambda: len(self.there.links) == 2)

    async def test_too_large(self):
        """A length beyond the bound is not waited for."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"\xff\xff\xff\xff")
        self.assertEqual(await reader.read(), b"")
        writer.close()


class CutTest(unittest.IsolatedAsyncioTestCase):
    """Input in any pieces makes the same messages."""

    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=40), max_size=8),
        strategies.integers(1, 17))
    def test_pieces(self, contents, size):
        """Where the network cuts the stream does not matter."""
        asyncio.run(self._pieces(contents, size))

    async def _pieces(self, contents, size):
        recorder = _Recorder()
        link = connection.Link(recorder, connection.KeepaliveMonitor())
        stream = b"".join(
            frames.encode(frames.Data(1, content, False))
            for content in contents)
        for start in range(0, len(stream), size):
            link.data_received(stream[start:start + size])
        self.assertEqual([row.data for row in recorder.messages], contents)
