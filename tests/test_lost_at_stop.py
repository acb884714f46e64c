"""Tests that a planned stop of a node leaves no request unanswered."""

import asyncio

import msgspec

from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_GRACE_S = 6.0
_SHORT_GRACE_S = 2.0
_LONG_S = 30.0


class LostAtStopTest(test_mesh_nodes.MeshTest):
    """Requests that meet the stop of the node that accepts them."""

    async def _start(self, grace_s, slots=100, attempts=2):
        """Starts a node of a service "t" beside nodes of a service "s"."""
        await self.mesh.start(
            services=("t", "s", "s"),
            document=mesh_builders.document(routes=[
                mesh_builders.route(timeout_s=_LONG_S,
                                    latency_objective_s=_LONG_S,
                                    attempts=attempts)
            ]))
        node = self.mesh.nodes[0]
        node._settings = msgspec.structs.replace(node._settings,
                                                 grace_s=grace_s)
        for index in (1, 2):
            self.mesh.nodes[index].upstream.check_in(
                mesh_builders.check_in(f"u{index}", sequence=2, slots=slots))
        return node

    def _respond_after(self, delay_s):

        async def handle(head, content, writer):
            del content
            await asyncio.sleep(delay_s)
            writer.write(mesh_fleet.make_answer(head))
            return True

        self._set_handler(handle)

    async def _send(self, **fields):
        """Sends a request; returns its status, None if it is cut."""
        fields.setdefault("deadline_ms", int(_LONG_S * 1000))
        try:
            status, _, _ = await self.mesh.send_request(**fields)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return status

    async def test_request_taken_long_after_stop_and_cut(self):
        """A request that can't be answered any more is refused as not run."""
        node = await self._start(_GRACE_S)
        self._respond_after(4.0)
        stopping = asyncio.ensure_future(node.stop())
        await asyncio.sleep(3.1)
        self.assertEqual(await self._send(), 503)
        self.assertEqual(self._request_heads(), [])
        await stopping

    async def test_request_queued_at_stop_and_cut(self):
        """A request that waits for a slot when its node ends has not run."""
        node = await self._start(_SHORT_GRACE_S, slots=1)
        self._respond_after(_LONG_S)
        running = [
            asyncio.ensure_future(self._send(request_id=b"r%d" % number))
            for number in range(2)
        ]
        await self.mesh.wait_until(lambda: len(self._request_heads()) == 2)
        queued = asyncio.ensure_future(self._send(request_id=b"q9"))
        await asyncio.sleep(0.1)
        await node.stop()
        self.assertEqual(await queued, 503)
        self.assertEqual(await asyncio.gather(*running), [None, None])
        self.assertNotIn(b"q9", b"".join(self._request_heads()))

    async def test_content_incomplete_at_stop_and_cut(self):
        """A request whose content is not complete in time is refused."""
        node = await self._start(_SHORT_GRACE_S)
        reader, writer = await self.mesh.connect()
        request = mesh_fleet.make_request(method="POST", content=b"x" * 100)
        writer.write(request[:-50])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(node.stop())
        status, _, _ = await mesh_fleet.read_answer(reader)
        self.assertEqual(status, 503)
        self.assertEqual(self._request_heads(), [])
        writer.close()
        await stopping

    async def test_request_sent_again_at_stop_and_cut(self):
        """Late in a stop, a failed request is not sent to another upstream."""
        node = await self._start(_SHORT_GRACE_S)
        self._respond_after(0.01)
        await self._send()

        async def fail(head, content, writer):
            del content
            if len(self._request_heads()) > 2:
                await asyncio.sleep(_LONG_S)
            await asyncio.sleep(1.8)
            writer.write(
                mesh_fleet.make_answer(head, status=b"500 Server Error"))
            return True

        self._set_handler(fail)
        sending = asyncio.ensure_future(self._send(request_id=b"q2"))
        await self.mesh.wait_until(lambda: len(self._request_heads()) == 2)
        await node.stop()
        self.assertEqual(await sending, 500)

    async def test_call_queued_at_stopped_node_and_cut(self):
        """A call that waits beside a stopping node's upstream goes elsewhere."""
        await self._start(_SHORT_GRACE_S)
        stopped = self.mesh.nodes[1]
        stopped._settings = msgspec.structs.replace(stopped._settings,
                                                    grace_s=_SHORT_GRACE_S)
        stopped.upstream.check_in(
            mesh_builders.check_in("u1", sequence=3, slots=1))

        async def hang(head, content, writer):
            del head, content, writer
            await asyncio.sleep(_LONG_S)

        self.mesh.upstreams[1].handler = hang
        self.mesh.nodes[2].upstream.deregister("u2", None)
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0]._router.by_instance["n2"].draining)
        running = asyncio.ensure_future(self._send())
        await self.mesh.wait_until(lambda: len(self._request_heads()) == 1)
        queued = asyncio.ensure_future(
            self._send(method="POST", request_id=b"q2"))
        await asyncio.sleep(0.1)
        self.mesh.nodes[2].upstream.check_in(
            mesh_builders.check_in("u3", born=2000, slots=100))
        await self.mesh.wait_until(
            lambda: not self.mesh.nodes[0]._router.by_instance["n2"].draining)
        await stopped.stop()
        self.assertEqual(await queued, 200)
        self.assertIn(b"q2", self.mesh.upstreams[2].request_heads[0])
        running.cancel()
