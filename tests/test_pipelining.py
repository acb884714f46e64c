"""Tests of requests that a caller sends before it has the responses."""

import asyncio

from apricothinge.mesh import documents
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_NON_IDEMPOTENT = documents.RouteKind.NON_IDEMPOTENT


def _document():
    return mesh_builders.document(routes=[
        mesh_builders.route(timeout_s=3.0),
        mesh_builders.route(name="w", path_prefix="/w/", kind=_NON_IDEMPOTENT)
    ])


def _request(number, path="/a/1", **fields):
    return mesh_fleet.make_request(path, request_id=b"q%d" % number, **fields)


class PipeliningTest(test_mesh_nodes.MeshTest):
    """A caller that pipelines its requests on one connection.

    Upstreams of this class answer a request after the number of hundredths of
    a second at the end of its path.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.mesh.start(services=("s", "t"), document=_document())
        self.running = 0
        self.most_running = 0
        self.finished = []

        async def handle(head, content, writer):
            del content
            path = head.split(b" ")[1]
            self.running += 1
            self.most_running = max(self.most_running, self.running)
            try:
                await asyncio.sleep(int(path.rpartition(b"/")[2]) / 100)
            finally:
                self.running -= 1
            self.finished.append(self._id(head))
            writer.write(mesh_fleet.make_answer(head, self._id(head)))
            return True

        self._set_handler(handle)
        self.reader, self.writer = await self.mesh.connect(1)
        self.addCleanup(self.writer.close)

    @staticmethod
    def _id(head):
        return mesh_fleet.header_value(head, mesh_fleet.NAMES.request_id)

    def _ids_at_upstreams(self):
        return [self._id(head) for head in self._request_heads()]

    async def _read_until_close(self, reader=None):
        """Returns the status and content of each response on a connection."""
        responses = []
        reader = reader or self.reader
        while True:
            try:
                status, _, content = await asyncio.wait_for(
                    mesh_fleet.read_answer(reader), 8.0)
            except asyncio.IncompleteReadError as error:
                self.assertEqual(error.partial, b"")
                return responses
            responses.append((status, content))

    async def test_order_and_concurrency(self):
        """Responses come in order, while the requests run concurrently."""
        self.writer.write(
            _request(1, "/a/30") + _request(2, "/a/1") + _request(3, "/a/10"))
        for number in (1, 2, 3):
            status, head, content = await mesh_fleet.read_answer(self.reader)
            self.assertEqual((status, self._id(head), content),
                             (200, b"q%d" % number, b"q%d" % number))
        self.assertEqual(self.finished, [b"q2", b"q3", b"q1"])

    async def test_later_input(self):
        """Requests that arrive while another one runs start at once."""
        self.writer.write(_request(1, "/a/30"))
        await self.mesh.wait_until(lambda: self.running == 1)
        self.writer.write(_request(2, "/a/30"))
        await self.mesh.wait_until(lambda: self.running == 2)
        for number in (1, 2):
            _, head, _ = await mesh_fleet.read_answer(self.reader)
            self.assertEqual(self._id(head), b"q%d" % number)
        self.writer.write(_request(3))
        _, head, _ = await mesh_fleet.read_answer(self.reader)
        self.assertEqual(self._id(head), b"q3")

    async def test_one_byte_at_a_time(self):
        """The division of the input into reads makes no difference."""
        for byte in _request(1, "/a/5") + _request(2) + _request(3):
            self.writer.write(bytes([byte]))
            await self.writer.drain()
            await asyncio.sleep(0)
        for number in (1, 2, 3):
            _, head, _ = await mesh_fleet.read_answer(self.reader)
            self.assertEqual(self._id(head), b"q%d" % number)

    async def test_non_idempotent_request_waits(self):
        """A non-idempotent request runs alone, between the others."""
        self.writer.write(
            _request(1, "/a/10") + _request(2, "/w/10", method="POST") +
            _request(3, "/a/1"))
        for number in (1, 2, 3):
            _, head, _ = await mesh_fleet.read_answer(self.reader)
            self.assertEqual(self._id(head), b"q%d" % number)
        self.assertEqual(self.finished, [b"q1", b"q2", b"q3"])
        self.assertEqual(self.most_running, 1)

    async def test_close_in_the_middle(self):
        """What follows a request that closes the connection is not run."""
        self.writer.write(
            _request(1, "/a/10") +
            _request(2, headers=[(b"Connection", b"close")]) + _request(3) +
            _request(4, "/w/1", method="POST"))
        self.assertEqual(await self._read_until_close(), [(200, b"q1"),
                                                          (200, b"q2")])
        await asyncio.sleep(0.1)
        self.assertEqual(sorted(self._ids_at_upstreams()), [b"q1", b"q2"])

    async def test_malformed_request_behind(self):
        """Requests ahead of a malformed one get their responses."""
        self.writer.write(
            _request(1, "/a/10") + _request(2) + b"nonsense\r\n\r\n" +
            _request(3))
        responses = await self._read_until_close()
        self.assertEqual([status for status, _ in responses], [200, 200, 400])
        self.assertEqual(sorted(self._ids_at_upstreams()), [b"q1", b"q2"])

    async def test_smuggled_request(self):
        """Content that looks like a request is passed on as content."""
        hidden = _request(9)
        self.writer.write(
            _request(1, "/w/10", method="POST", content=hidden) + _request(2) +
            _request(3))
        for number in (1, 2, 3):
            _, head, _ = await mesh_fleet.read_answer(self.reader)
            self.assertEqual(self._id(head), b"q%d" % number)
        self.assertEqual(self._ids_at_upstreams(), [b"q1", b"q2", b"q3"])
        self.assertIn(hidden, self.mesh.upstreams[0].request_contents)

    async def test_stop_with_requests_in_the_pipe(self):
        """A planned stop answers what was started and refuses the rest."""
        self.writer.write(
            _request(1, "/a/30") + _request(2, "/a/1") + _request(3, "/a/40"))
        await self.mesh.wait_until(lambda: len(self._request_heads()) == 3)
        stopping = asyncio.ensure_future(self.mesh.nodes[1].stop())
        await asyncio.sleep(0.01)
        self.writer.write(_request(4))
        responses = await self._read_until_close()
        await stopping
        self.assertEqual(responses[:3], [(200, b"q1"), (200, b"q2"),
                                         (200, b"q3")])
        ((status, content),) = responses[3:]
        self.assertEqual(status, 503)
        self.assertIn(b'"not_run":true', content)
        self.assertEqual(sorted(self._ids_at_upstreams()),
                         [b"q1", b"q2", b"q3"])

    async def test_caller_disconnects(self):
        """All requests of a caller that has gone away are aborted."""
        self.writer.write(b"".join(
            _request(number, "/a/999") for number in (1, 2, 3)))
        await self.mesh.wait_until(lambda: self.running == 3)
        self.writer.close()
        await self.mesh.wait_until(lambda: self.running == 0)
        self.assertEqual(self.finished, [])

    async def test_bounded_concurrency(self):
        """The requests that one connection has running are bounded."""
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", sequence=2, slots=100))
        self.writer.write(b"".join(
            _request(number, "/a/3") for number in range(200)))
        for number in range(200):
            status, head, _ = await mesh_fleet.read_answer(self.reader)
            self.assertEqual((status, self._id(head)), (200, b"q%d" % number))
        self.assertLess(self.most_running, 12)

    async def test_deadline_counts_from_arrival(self):
        """Waiting behind other requests counts against the deadline."""
        self.writer.write(
            _request(1, "/w/50", method="POST") + _request(2, deadline_ms=3000))
        for _ in range(2):
            await mesh_fleet.read_answer(self.reader)
        remaining_ms = int(
            mesh_fleet.header_value(self._request_heads()[1],
                                    mesh_fleet.NAMES.deadline_ms))
        self.assertLessEqual(remaining_ms, 2500)

    async def test_undelivered_content_is_stopped(self):
        """A streamed response whose turn never comes is ended at its source."""
        content = bytes(64 << 20)
        closed = []

        async def handle(head, request_content, writer):
            del request_content
            if self._id(head) == b"q1":
                await asyncio.sleep(60)
            try:
                writer.write(mesh_fleet.make_answer(head, content))
                await writer.drain()
            except (ConnectionError, asyncio.CancelledError):
                closed.append(self._id(head))
                raise
            return True

        self._set_handler(handle)
        self.writer.write(_request(1) + _request(2))
        await self.mesh.wait_until(lambda: len(self._request_heads()) == 2)
        await asyncio.sleep(0.2)
        self.writer.close()
        node = self.mesh.nodes[0]
        await self.mesh.wait_until(lambda: not node.incoming_calls.running)
        await self.mesh.wait_until(lambda: closed == [b"q2"])
        peer = self.mesh.nodes[1]._peer_table.by_instance["n0"]
        self.assertEqual(peer.outgoing_calls.running, 0)
        self.assertEqual(node.upstream.load().running, 0)
