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
    """Records the events of links."""

    def __init__(self):
        self.links = []
        self.messages = []
        self.lost_count = 0

    def link_opened(self, link):
        self.links.append(link)

    def message_received(self, link, message):
        self.messages.append(message)

    def link_lost(self, link):
        self.lost_count += 1


class FrameTest(unittest.TestCase):
    """Encoding and decoding of messages."""

    def test_call_round_trip(self):
        """A Call with all its fields is decoded to an equal message."""
        call = mesh_builders.call(data=b"\x00\xff" * 9)
        body = frames.encode(call)[frames.LENGTH_BYTES:]
        self.assertEqual(frames.decode(body), call)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Links between two endpoints over TCP."""

    async def asyncSetUp(self):
        self.monitor = connection.KeepaliveMonitor()
        self.client = _Recorder()
        self.server = _Recorder()
        server = await asyncio.get_running_loop().create_server(
            lambda: connection.Link(self.server, self.monitor), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.addCleanup(server.close)
        self.addCleanup(self.monitor.stop)

    async def _link(self):
        return await connection.dial("127.0.0.1", self.port, self.client,
                                     self.monitor)

    async def _wait_until(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not become true in time")

    async def test_one_write_per_loop_iteration(self):
        """Messages sent in one iteration of the event loop share one write."""
        link = await self._link()
        with mock.patch.object(link, "_transport",
                               wraps=link._transport) as transport:
            for stream in range(20):
                link.send(frames.Cancel(stream))
            await self._wait_until(lambda: len(self.server.messages) == 20)
            self.assertEqual(transport.write.call_count, 1)
        self.assertEqual([message.stream for message in self.server.messages],
                         list(range(20)))

    async def test_silent_peer(self):
        """A link whose peer does not answer a probe is aborted."""
        link = await self._link()
        await self._wait_until(lambda: self.server.links)
        now = link.last_received_at
        with mock.patch.object(link, "_transport", mock.Mock()):
            link.check_liveness(now + 0.6)
            self.assertFalse(link.is_unusable(now + 1.0))
            self.assertTrue(link.is_unusable(now + 2.0))
            # A lost packet may delay the answer by 0.2 s.
            self.assertFalse(link.is_suspect(now + 0.85))
            self.assertTrue(link.is_suspect(now + 1.0))
            link.check_liveness(now + 3.0)
            self.assertFalse(link.closed)
            link.check_liveness(now + 3.2)
        self.assertTrue(link.closed)
        self.assertEqual(self.client.lost_count, 1)

    async def test_awaited_reply(self):
        """A link on which a reply is awaited is probed sooner."""
        link = await self._link()
        now = link.last_received_at
        link.check_liveness(now + 0.3)
        self.assertFalse(link.is_suspect(now + 5.0))
        link.await_reply()
        link.check_liveness(now + 0.3)
        self.assertTrue(link.is_suspect(now + 0.7))
        link.reply_received()
        self.assertEqual(link._monitor.awaiting_links, set())

    async def test_silent_peer_with_calls(self):
        """A silent link with calls is kept until they end, for them alone."""
        link = await self._link()
        await self._wait_until(lambda: self.server.links)
        now = link.last_received_at
        busy = [True]
        silent = []
        with mock.patch.object(self.client, "is_busy", lambda _: busy[0]), \
                mock.patch.object(self.client, "link_silent", silent.append), \
                mock.patch.object(link, "_transport", mock.Mock()):
            link.check_liveness(now + 0.6)
            link.check_liveness(now + 3.2)
            link.check_liveness(now + 9.0)
            self.assertFalse(link.closed)
            self.assertTrue(link.retired)
            self.assertEqual(silent, [link])
            busy[0] = False
            link.check_liveness(now + 9.1)
        self.assertTrue(link.closed)

    async def test_own_pause(self):
        """A pause of this process does not count as silence of its peers."""
        link = await self._link()
        now = link.last_received_at
        link.check_liveness(now + 0.6)
        link.excuse_silence(now + 10.0)
        link.check_liveness(now + 12.0)
        self.assertFalse(link.closed)
        self.assertFalse(link.is_suspect(now + 10.3))

    async def test_idle_link(self):
        """An idle link is probed less often than one that carries calls."""
        link = await self._link()
        now = asyncio.get_running_loop().time()
        link.check_liveness(now + 0.6)
        self.assertTrue(link.is_suspect(now + 2.0))
        link._probe_sent_at = float("inf")
        link._last_active_at = now - 10.0
        link.last_received_at = now
        link.check_liveness(now + 1.9)
        self.assertFalse(link.is_suspect(now + 10.0))
        link.send(frames.Status(None, False, frames.Load(0, 0, 4, 2.0)))
        link.check_liveness(now + 1.9)
        self.assertFalse(link.is_suspect(now + 10.0))
        link.send(frames.Cancel(1))
        link.check_liveness(now + 1.9)
        self.assertTrue(link.is_suspect(now + 10.0))

    async def test_answered_probe(self):
        """Received bytes clear the suspicion of a peer."""
        link = await self._link()
        link.check_liveness(link.last_received_at + 0.6)
        received_before = link.last_received_at
        await self._wait_until(lambda: link.last_received_at > received_before)
        self.assertFalse(link.is_suspect(link.last_received_at + 2.0))

    async def test_undecodable_bytes(self):
        """Undecodable bytes end their link, and the server keeps accepting."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"\x00\x00\x00\x03abc")
        self.assertEqual(await reader.read(), b"")
        writer.close()
        self.assertEqual(self.server.messages, [])
        link = await self._link()
        link.send(frames.Ping())
        await self._wait_until(lambda: len(self.server.links) == 2)

    async def test_oversized_frame(self):
        """A frame length above the limit ends the link at once."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"\xff\xff\xff\xff")
        self.assertEqual(await reader.read(), b"")
        writer.close()


class ChunkingTest(unittest.IsolatedAsyncioTestCase):
    """Decoding does not depend on how the network splits the stream."""

    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=40), max_size=8),
        strategies.integers(1, 17))
    def test_any_chunk_size(self, contents, chunk_size):
        """Input in chunks of any size yields the sent messages."""
        asyncio.run(self._check_chunks(contents, chunk_size))

    async def _check_chunks(self, contents, chunk_size):
        recorder = _Recorder()
        link = connection.Link(recorder, connection.KeepaliveMonitor())
        stream = b"".join(
            frames.encode(frames.Data(1, content, False))
            for content in contents)
        for start in range(0, len(stream), chunk_size):
            link.data_received(stream[start:start + chunk_size])
        self.assertEqual([message.data for message in recorder.messages],
                         contents)
