"""Tests of invariants under each fault at each step of a call."""

import asyncio
import unittest

from apricothinge.node import process
from tests import fleet

_FAULTS = ("answer", "reset_before_request", "reset_in_request",
           "reset_after_request", "reset_in_head", "reset_in_content",
           "close_without_length", "not_http", "stall", "error", "twice",
           "refused")
_RETRIES = 3


class UpstreamFaultTest(unittest.IsolatedAsyncioTestCase):
    """Tests of faults between a node and its local upstream."""

    async def _call_with_fault(self,
                               fault,
                               method,
                               node_index,
                               with_healthy,
                               version="1.1"):
        """Calls a faulty upstream, with or without a healthy one as well."""
        running = fleet.Fleet()
        self.addAsyncCleanup(running.stop)
        await running.start(3,
                            default_timeout_s=0.4,
                            retries_per_request=_RETRIES)
        faulty = await running.attach(node_index, fault)
        if fault == "refused":
            faulty.stop()
        if with_healthy:
            await running.attach(2)
        reply = await fleet.send(
            running.nodes[0].caller,
            fleet.request(method, content=b"x" * 10, version=version))
        runs = sum(upstream.runs for upstream in running.upstreams)
        self._check_reply(fault, method, reply, runs)
        for upstream in running.upstreams:
            self.assertNotIn(fleet.KEY.encode(), upstream.received)
        state = running.nodes[node_index].state
        for _ in range(400):
            # The node of the upstream detects the end when the connection
            # from the first node closes.
            if not state.local.admission_controller.in_flight:
                break
            await asyncio.sleep(0.005)
        self.assertEqual(0, state.local.admission_controller.in_flight)
        self.assertEqual({}, state.calls_by_token)
        for node in running.nodes:
            for row in node.state.router.by_instance.values():
                self.assertEqual(0, row.outstanding)
        return reply, runs

    def _check_reply(self, fault, method, reply, runs):
        """Checks for a complete answer or an error, and the number of runs.

        An answer may say that the request was not run only if no upstream
        has read it.
        """
        self.assertTrue(reply.complete, reply.raw)
        if reply.status == 200:
            self.assertEqual(b"0123456789", reply.content)
        elif fault != "error":
            self.assertIsNotNone(reply.error)
        if reply.not_run:
            self.assertEqual(0, runs)
        if method == "POST":
            self.assertLessEqual(runs, 1)
        self.assertLessEqual(runs, 1 + _RETRIES)

    async def test_matrix(self):
        """Each fault, by method, node and presence of a healthy upstream."""
        for fault in _FAULTS:
            for method in ("GET", "POST"):
                for node_index in (0, 1):
                    for with_healthy in (False, True):
                        with self.subTest(fault=fault,
                                          method=method,
                                          node_index=node_index,
                                          with_healthy=with_healthy):
                            await self._call_with_fault(fault, method,
                                                        node_index,
                                                        with_healthy)

    async def test_old_callers(self):
        """Callers that use HTTP/1.0 get complete answers or errors as well."""
        for fault in _FAULTS:
            with self.subTest(fault=fault):
                await self._call_with_fault(fault,
                                            "GET",
                                            1,
                                            False,
                                            version="1.0")

    async def test_idempotent_call_is_retried(self):
        """A GET is retried on a healthy instance if its answer is lost."""
        for fault in ("refused", "reset_after_request", "reset_in_content"):
            for _ in range(4):
                with self.subTest(fault=fault):
                    reply, _ = await self._call_with_fault(
                        fault, "GET", 1, True)
                    self.assertEqual(200, reply.status)

    async def test_lost_post_is_unknown(self):
        """A POST with a lost answer is not retried nor reported as not run."""
        reply, runs = await self._call_with_fault("reset_after_request", "POST",
                                                  1, False)
        self.assertEqual("outcome_unknown", reply.error)
        self.assertFalse(reply.not_run)
        self.assertEqual(1, runs)


class PeerFaultTest(unittest.IsolatedAsyncioTestCase):
    """Tests of faults of the node that is local to the upstream."""

    async def asyncSetUp(self):
        self.running = fleet.Fleet()
        self.addAsyncCleanup(self.running.stop)
        await self.running.start(3, default_timeout_s=0.5)

    async def test_node_killed_in_call(self):
        """A GET is retried elsewhere if its node is killed during the call."""
        stalled = await self.running.attach(1, "stall")
        task = asyncio.ensure_future(
            fleet.send(self.running.nodes[0].caller, fleet.request()))
        while not stalled.runs:
            await asyncio.sleep(0.005)
        await self.running.attach(2)
        self.running.nodes[1].abort()
        reply = await task
        self.assertEqual(200, reply.status)
        self.assertTrue(reply.complete)

    async def test_post_on_killed_node(self):
        """A POST on a killed node is not retried; its outcome is unknown."""
        stalled = await self.running.attach(1, "stall")
        task = asyncio.ensure_future(
            fleet.send(self.running.nodes[0].caller, fleet.request("POST")))
        while not stalled.runs:
            await asyncio.sleep(0.005)
        other = await self.running.attach(2)
        self.running.nodes[1].abort()
        reply = await task
        self.assertEqual("outcome_unknown", reply.error)
        self.assertEqual(0, other.runs)

    async def test_caller_disconnect_cancels(self):
        """If the caller disconnects, the call is cancelled on both nodes."""
        stalled = await self.running.attach(1, "stall")
        _, writer = await asyncio.open_connection(
            self.running.nodes[0].caller.host,
            self.running.nodes[0].caller.port)
        writer.write(fleet.request())
        while not stalled.runs:
            await asyncio.sleep(0.005)
        writer.close()
        local = self.running.nodes[1].state.local
        for _ in range(400):
            if not local.admission_controller.in_flight:
                break
            await asyncio.sleep(0.005)
        self.assertEqual(0, local.admission_controller.in_flight)

    async def test_deadline_in_queue(self):
        """A call whose deadline expires before admission is not run."""
        stalled = await self.running.attach(1, "stall")
        admission = self.running.nodes[1].state.local.admission_controller
        admission.in_flight = admission.limit.value
        reply = await fleet.send(self.running.nodes[0].caller, fleet.request())
        admission.in_flight = 0
        self.assertEqual(0, stalled.runs)
        self.assertIn(reply.error,
                      ("overloaded", "expired", "deadline_exceeded"))

    async def test_graceful_stop_interrupts_nothing(self):
        """A node that is stopped finishes its calls in flight first."""
        upstream = await self.running.attach(1, "answer")
        node = self.running.nodes[1]
        resume = asyncio.Event()
        play = upstream._respond  # pylint: disable=protected-access

        async def play_when_resumed(writer):
            await resume.wait()
            return await play(writer)

        upstream._respond = play_when_resumed  # pylint: disable=protected-access
        task = asyncio.ensure_future(
            fleet.send(self.running.nodes[0].caller, fleet.request()))
        while not upstream.runs:
            await asyncio.sleep(0.005)
        stopping = asyncio.ensure_future(node.stop())
        await asyncio.sleep(0.1)
        self.assertFalse(stopping.done())
        resume.set()
        self.assertEqual(200, (await task).status)
        await stopping
        self.running.nodes.remove(node)


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    """Tests of repeated requests with an idempotency key."""

    async def asyncSetUp(self):
        self.running = fleet.Fleet()
        self.addAsyncCleanup(self.running.stop)
        await self.running.start(3, default_timeout_s=0.4)

    async def _post(self, node: process.Node, content=b"x"):
        return await fleet.send(
            node.caller,
            fleet.request("POST",
                          content=content,
                          headers=("Idempotency-Key: a",)))

    async def test_resend_to_other_node_gets_answer(self):
        """A request repeated at another node gets the stored answer."""
        upstream = await self.running.attach(2)
        first = await self._post(self.running.nodes[0])
        second = await self._post(self.running.nodes[1])
        self.assertEqual(first.content, second.content)
        self.assertEqual("true", second.headers["apricothinge-replayed"])
        self.assertEqual(1, upstream.runs)

    async def test_other_request_under_one_key(self):
        """Another request with a used key is rejected and not run."""
        upstream = await self.running.attach(2)
        await self._post(self.running.nodes[0])
        reply = await self._post(self.running.nodes[0], b"other")
        self.assertEqual("idempotency_key_reused", reply.error)
        self.assertEqual(1, upstream.runs)

    async def test_resend_after_lost_answer(self):
        """A request is not run again if the answer to the first was lost."""
        upstream = await self.running.attach(2, "reset_after_request")
        await self._post(self.running.nodes[0])
        upstream.script = "answer"
        reply = await self._post(self.running.nodes[1])
        self.assertEqual("outcome_unknown", reply.error)
        self.assertEqual(1, upstream.runs)

    async def test_resend_while_running(self):
        """A request repeated during the first is rejected as in progress."""
        upstream = await self.running.attach(2, "stall")
        first = asyncio.ensure_future(self._post(self.running.nodes[0]))
        while not upstream.runs:
            await asyncio.sleep(0.005)
        reply = await self._post(self.running.nodes[1])
        self.assertEqual("in_progress", reply.error)
        await first
        self.assertEqual(1, upstream.runs)

    async def test_caller_disconnect(self):
        """A caller that disconnects gets the stored answer on a repeat."""
        upstream = await self.running.attach(2)
        resume = asyncio.Event()
        play = upstream._respond  # pylint: disable=protected-access

        async def play_when_resumed(writer):
            await resume.wait()
            return await play(writer)

        upstream._respond = play_when_resumed  # pylint: disable=protected-access
        _, writer = await asyncio.open_connection(
            self.running.nodes[0].caller.host,
            self.running.nodes[0].caller.port)
        writer.write(
            fleet.request("POST", content=b"x",
                          headers=("Idempotency-Key: a",)))
        while not upstream.runs:
            await asyncio.sleep(0.005)
        writer.close()
        await asyncio.sleep(0.02)
        resume.set()
        for _ in range(100):
            reply = await self._post(self.running.nodes[1])
            if reply.status == 200:
                break
            await asyncio.sleep(0.005)
        self.assertEqual(200, reply.status)
        self.assertEqual(1, upstream.runs)

    async def test_refused_request_releases_key(self):
        """A key can be used again if its request was rejected without a run."""
        reply = await self._post(self.running.nodes[0])
        self.assertTrue(reply.not_run)
        upstream = await self.running.attach(2)
        reply = await self._post(self.running.nodes[0])
        self.assertEqual(200, reply.status)
        self.assertEqual(1, upstream.runs)


if __name__ == "__main__":
    unittest.main()
