"""Tests that a planned stop of a node leaves no request unanswered."""

import asyncio
from unittest import mock

import msgspec

from apricothinge import errors
from apricothinge.link import frames
from apricothinge.mesh import upstream
from apricothinge.web import messages
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_GRACE_S = 6.0
_SHORT_GRACE_S = 2.0
_LONG_S = 30.0


class LostAtStopTest(test_mesh_nodes.MeshTest):
    """Requests that meet the stop of the node that accepts them."""

    async def _start(self, grace_s, slots=100, upstreams=2):
        """Starts a node of a service "t" beside nodes of a service "s"."""
        await self.mesh.start(
            services=("t",) + ("s",) * upstreams,
            document=mesh_builders.document(routes=[
                mesh_builders.route(timeout_s=_LONG_S,
                                    latency_objective_s=_LONG_S)
            ]))
        node = self.mesh.nodes[0]
        node._settings = msgspec.structs.replace(node._settings,
                                                 grace_s=grace_s)
        for index in range(1, upstreams + 1):
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

    async def test_short_request_withdrawn_at_stop(self):
        """A request that ends before its node does may wait for a slot."""
        node = await self._start(4.0, slots=1, upstreams=1)
        self._respond_after(0.4)
        running = asyncio.ensure_future(
            self._send(request_id=b"r1", deadline_ms=1500))
        await self.mesh.wait_until(self._request_heads)
        stopping = asyncio.ensure_future(node.stop())
        self.assertEqual(await self._send(request_id=b"q9", deadline_ms=1500),
                         200)
        self.assertEqual(await running, 200)
        await stopping

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

    async def test_token_lost_with_withdrawn_request(self):
        """A request that is refused as not run gets its token back."""
        key = b"k1"
        await self.mesh.start(
            services=("s", "s"),
            document=mesh_builders.document(organisations=[
                mesh_builders.organisation(rate_per_s=100.0, burst=100.0)
            ]))
        node = self.mesh.nodes[0]
        node._settings = msgspec.structs.replace(node._settings,
                                                 grace_s=_SHORT_GRACE_S)
        await self.mesh.wait_until(node.state.token_pool.available)
        reader, writer = await self.mesh.connect()
        request = mesh_fleet.make_request(method="POST",
                                          content=b"x" * 100,
                                          deadline_ms=5000,
                                          headers=[(mesh_fleet.NAMES.key, key)])
        writer.write(request[:-50])
        accounts = node.state.token_pool._account_by_name
        await self.mesh.wait_until(lambda: accounts["o"].spent == 1)
        stopping = asyncio.ensure_future(node.stop())
        status, _, _ = await mesh_fleet.read_answer(reader)
        self.assertEqual((status, accounts["o"].spent), (503, 0))
        writer.close()
        await stopping


class WithdrawalTest(test_mesh_nodes.MeshTest):
    """Withdrawals that cross other events of their call."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.mesh.start(services=("s",))
        self.node = self.mesh.nodes[0]
        self.node.upstream.check_in(
            mesh_builders.check_in("u0", sequence=2, slots=1))

    async def test_withdrawal_read_together_with_call_lost(self):
        """A withdrawal counts that arrives before its call waits."""

        async def hang(head, content, writer):
            del head, content, writer
            await asyncio.sleep(_LONG_S)

        self._set_handler(hang)
        link = mock.Mock()
        calls = self.node.incoming_calls
        calls.link_opened(link)
        calls.message_received(link, mesh_builders.call(1))
        await self.mesh.wait_until(self._request_heads)
        calls.message_received(link, mesh_builders.call(2, request_id="q2"))
        calls.message_received(link, frames.Withdraw(2))
        await asyncio.sleep(0.1)
        refused = [
            args[0][0].stream
            for args in link.send.call_args_list
            if isinstance(args[0][0], frames.Refusal)
        ]
        calls.link_lost(link)
        self.assertEqual(refused, [2])

    async def test_cancellation_swallowed_by_withdrawal(self):
        """A call that is withdrawn and cancelled in one turn is cancelled."""
        local = self.node.upstream
        local._queue.running = local._queue.limit
        call = mesh_builders.call(1)
        request = upstream.UpstreamRequest(
            call, messages.Body(call.length, None, call.data),
            asyncio.get_running_loop().time() + 5.0)
        task = asyncio.ensure_future(local.run(request))
        await asyncio.sleep(0.01)
        request.withdraw()
        task.cancel()
        await asyncio.wait((task,))
        local._queue.running = 0
        self.assertTrue(task.cancelled(), task)

    async def test_slow_call_taken_late_beside_stopping_node(self):
        """Whether a call ends in time is decided by its own route."""
        self.node._settings = msgspec.structs.replace(self.node._settings,
                                                      grace_s=_SHORT_GRACE_S)
        now = asyncio.get_running_loop().time()
        for _ in range(20):
            self.node._local_costs.record_start("r")
            self.node._local_costs.record_end(now, "r", 5.0)
        stopping = asyncio.ensure_future(self.node.stop())
        await asyncio.sleep(0.1)
        call = mesh_builders.call(1)
        request = upstream.UpstreamRequest(
            call, messages.Body(call.length, None, call.data), now + _LONG_S)
        with self.assertRaises(errors.CallError) as caught:
            await self.node.upstream.run(request)
        self.assertTrue(caught.exception.not_run)
        self.assertEqual(self._request_heads(), [])
        await stopping
