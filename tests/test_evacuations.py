"""Tests of failure domains that operators empty."""

import asyncio
import unittest
from unittest import mock

import msgspec

from apricothinge import errors
from apricothinge.mesh import evacuations
from apricothinge.mesh import machine
from apricothinge.platform import operator_handler
from apricothinge.web import messages
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_LIMIT_S = 5.0


def _apply(state_machine, domain, active):
    return state_machine.apply(
        msgspec.msgpack.encode(machine.Evacuate(domain, active)))


class EvacuationsTest(unittest.TestCase):
    """When an evacuation takes effect at a node."""

    def setUp(self):
        self.evacuations = evacuations.Evacuations("n0", "a", _LIMIT_S)

    def test_pace(self):
        """The nodes of a domain stop one after the other, all in time."""
        stopped = []
        for number in range(100):
            node = evacuations.Evacuations(f"n{number}", "a", _LIMIT_S)
            node.update(0.0, 1, {"a": 0.0})
            stopped.append(
                next(tick for tick in range(60) if node.is_own_due(tick / 10)))
        self.assertLess(max(stopped), 0.6 * _LIMIT_S * 10)
        for tick in range(0, 25, 5):
            self.assertLess(sum(tick <= at < tick + 5 for at in stopped), 40)

    def test_late_news(self):
        """A node that hears late of an order has only the rest of the time."""
        self.evacuations.update(0.0, 1, {"a": _LIMIT_S})
        self.assertTrue(self.evacuations.is_own_due(0.0))
        self.assertEqual({"a"}, self.evacuations.domains_to_avoid(0.0))

    def test_repeated_news(self):
        """A later change does not restart the time of earlier orders."""
        self.evacuations.update(0.0, 1, {"b": 0.0})
        self.evacuations.update(4.0, 2, {"b": 0.0, "c": 0.0})
        self.assertEqual({"b"}, self.evacuations.domains_to_avoid(4.0))

    def test_older_revision(self):
        """An update that was overtaken does not bring an order back."""
        self.evacuations.update(0.0, 2, {})
        self.assertFalse(self.evacuations.update(0.0, 1, {"a": 9.0}))
        self.assertFalse(self.evacuations.is_own_due(9.0))


class StateMachineTest(unittest.TestCase):
    """Orders in the replicated state."""

    def setUp(self):
        self.state_machine = machine.MeshStateMachine()

    def test_resent_order(self):
        """An order that is resent is accepted and changes nothing."""
        for _ in range(2):
            self.assertEqual(machine.Verdict.ACCEPTED,
                             _apply(self.state_machine, "a", True).verdict)
        self.assertEqual(1, self.state_machine.evacuation_revision)
        for _ in range(2):
            _apply(self.state_machine, "a", False)
        self.assertEqual(2, self.state_machine.evacuation_revision)
        self.assertEqual(frozenset(), self.state_machine.evacuated)

    def test_snapshot(self):
        """Orders survive a snapshot."""
        _apply(self.state_machine, "a", True)
        _apply(self.state_machine, "b", True)
        restored = machine.MeshStateMachine()
        restored.restore(self.state_machine.snapshot())
        self.assertEqual({"a", "b"}, restored.evacuated)
        self.assertEqual(2, restored.evacuation_revision)

    def test_snapshot_of_version_before(self):
        """A snapshot without orders is read as having none."""
        self.state_machine.restore(
            msgspec.msgpack.encode([3, 7, b"text", b"document", [b"id"]]))
        self.assertEqual(7, self.state_machine.version)
        self.assertEqual(frozenset(), self.state_machine.evacuated)


class EvacuatedDomainTest(test_mesh_nodes.MeshTest):
    """A fleet of which one failure domain is emptied."""

    async def _start(self):
        """Starts "s" in the domains "a" and "b", and callers in both."""
        await self.mesh.start(("s", "s", "t", "t"),
                              mesh_builders.document(warm_up_s=1.0,
                                                     cold_rate_per_s=5.0))

    async def _evacuate(self, active):
        await self.mesh.control.evacuate("a", active)
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].upstream.row().usable != active)

    def _received(self, index):
        return len(self.mesh.upstreams[index].request_heads)

    async def _send_to_all(self, count=5):
        for number in range(count):
            for index in range(4):
                status, _, _ = await self.mesh.send_request(
                    index, request_id=b"q%d-%d" % (number, index))
                self.assertEqual(200, status)

    async def test_request_to_evacuated_domain(self):
        """The upstreams of the domain get nothing, from any node."""
        await self._start()
        await self._evacuate(True)
        received = self._received(0)
        await self._send_to_all()
        self.assertEqual(received, self._received(0))

    async def test_flood_after_evacuation(self):
        """At the end the upstreams are taken to be cold, whatever they say."""
        await self._start()
        await self._evacuate(True)
        await self._evacuate(False)
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", sequence=50))
        self.assertGreater(self.mesh.nodes[0].upstream.row().cold_s, 0.0)
        received = self._received(0)
        await self._send_to_all()
        self.assertLessEqual(self._received(0) - received, 1.5 * 5 + 8)
        await asyncio.sleep(1.2)
        self.assertEqual(0.0, self.mesh.nodes[0].upstream.row().cold_s)

    async def test_order_lost_with_restart_of_control(self):
        """An accepted order holds after control and a node have restarted."""
        await self._start()
        await self._evacuate(True)
        await self.mesh.control.stop()
        await self.mesh.start_control()
        await self.mesh.restart_node(0)
        await self.mesh.wait_until(lambda: all(node.ready and node._router.pick(
            0.0, "s", set()) is not None for node in self.mesh.nodes))
        self.assertFalse(self.mesh.nodes[0].upstream.row().usable)
        received = self._received(0)
        await self._send_to_all()
        self.assertEqual(received, self._received(0))

    async def test_node_restarted_without_control(self):
        """A node that restarts without control learns of the order."""
        await self._start()
        await self._evacuate(True)
        await self.mesh.control.stop()
        await self.mesh.restart_node(0)
        await self.mesh.wait_until(lambda: self.mesh.nodes[0].ready)
        await self.mesh.wait_until(
            lambda: not self.mesh.nodes[0].upstream.row().usable)
        await self.mesh.start_control()

    async def test_request_running_at_start(self):
        """A request that runs when the evacuation starts ends normally."""
        await self._start()
        started = asyncio.Event()
        finish = asyncio.Event()

        async def handle(head, content, writer):
            del content
            started.set()
            await finish.wait()
            writer.write(mesh_fleet.make_answer(head))
            return True

        self.mesh.upstreams[0].handler = handle
        sending = asyncio.ensure_future(self.mesh.send_request(0))
        await started.wait()
        await self._evacuate(True)
        finish.set()
        self.assertEqual(200, (await sending)[0])


class OperatorTest(unittest.IsolatedAsyncioTestCase):
    """Orders of the operator."""

    async def _post(self, path, error=None):
        control = mock.Mock()
        control.evacuate = mock.AsyncMock(side_effect=error)
        handler = operator_handler.OperatorHandler(control, 1)
        request = mock.Mock(method="POST", path=path, target=path, headers=[])
        request.body = messages.Body(0, None)
        return control, await handler.handle(request)

    async def test_orders(self):
        """Both orders name the failure domain at the end of the path."""
        for path, active in (("/v1/Evacuations.Start/a-1", True),
                             ("/v1/Evacuations.Finish/a-1", False)):
            control, response = await self._post(path)
            self.assertEqual(200, response.status)
            control.evacuate.assert_awaited_once_with("a-1", active)

    async def test_unknown_domain(self):
        """An unknown failure domain is refused for good."""
        _, response = await self._post(
            "/v1/Evacuations.Start/x",
            errors.ApricothingeError(errors.Kind.CONFIGURATION_INVALID, "x"))
        self.assertEqual(400, response.status)

    async def test_unclear_outcome(self):
        """Without an outcome the operator sends the order again."""
        _, response = await self._post(
            "/v1/Evacuations.Start/a",
            errors.ApricothingeError(errors.Kind.UNREACHABLE, "no quorum"))
        self.assertEqual(503, response.status)


if __name__ == "__main__":
    unittest.main()
