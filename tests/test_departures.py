"""Tests of departures of upstreams that outlast the processes."""

import asyncio
import unittest
from unittest import mock

import msgspec

from apricothinge import errors
from apricothinge.mesh import departures
from apricothinge.mesh import machine
from tests import test_check_ins


class StateMachineTest(unittest.TestCase):
    """Departures in the replicated state."""

    def setUp(self):
        self.state_machine = machine.MeshStateMachine()

    def _depart(self, instance, upstream_id, born):
        return self.state_machine.apply(
            msgspec.msgpack.encode(machine.Depart(instance, upstream_id, born)))

    def test_repeated_departure(self):
        """A departure that is reported again changes nothing."""
        for _ in range(2):
            self.assertEqual(machine.Verdict.ACCEPTED,
                             self._depart("n0", "u", 1).verdict)
        self.assertEqual({"n0": (("u", 1),)},
                         self.state_machine.departed_by_instance)

    def test_bounds(self):
        """The oldest lifetimes and instances are forgotten."""
        for born in range(10):
            self._depart("n0", "u", born)
        self.assertEqual(tuple(("u", born) for born in range(2, 10)),
                         self.state_machine.departed_by_instance["n0"])
        for number in range(4096):
            self._depart(f"m{number}", "u", 1)
        self.assertNotIn("n0", self.state_machine.departed_by_instance)
        self.assertEqual(4096, len(self.state_machine.departed_by_instance))

    def test_snapshot(self):
        """Guards against departures that are lost with the log."""
        self._depart("n0", "u", 1)
        self._depart("n1", "v", 2)
        restored = machine.MeshStateMachine()
        restored.restore(self.state_machine.snapshot())
        self.assertEqual({
            "n0": (("u", 1),),
            "n1": (("v", 2),)
        }, restored.departed_by_instance)
        self.assertEqual(self.state_machine.snapshot(), restored.snapshot())

    def test_snapshot_of_version_before(self):
        """A snapshot without departures is read as having none."""
        self.state_machine.restore(
            msgspec.msgpack.encode(
                [3, 7, b"text", b"document", [b"id"], ["a"], 1]))
        self.assertEqual(7, self.state_machine.version)
        self.assertEqual({}, self.state_machine.departed_by_instance)


class DepartureLogTest(unittest.IsolatedAsyncioTestCase):
    """What a node has control record."""

    async def asyncSetUp(self):
        self.log = departures.DepartureLog()
        self.log.on_pending = mock.Mock()

    async def test_recorded(self):
        """A departure is pending until control confirms it."""
        waiting = asyncio.ensure_future(self.log.wait_until_recorded(("u", 1)))
        await asyncio.sleep(0)
        self.assertEqual([("u", 1)], self.log.pending)
        self.log.on_pending.assert_called_once_with()
        self.log.set_recorded([("u", 1)])
        await waiting
        self.assertEqual([], self.log.pending)
        await self.log.wait_until_recorded(("u", 1))

    async def test_unconfirmed(self):
        """Guards against an ack that only this process would remember."""
        with mock.patch.object(departures, "_RECORD_TIMEOUT_S", 0.02):
            with self.assertRaises(errors.CallError) as raised:
                await self.log.wait_until_recorded(("u", 1))
        self.assertIs(errors.Kind.UNREACHABLE, raised.exception.kind)
        self.assertEqual([("u", 1)], self.log.pending)

    async def test_bound(self):
        """The oldest departures are given up, and their waits end."""
        waiting = asyncio.ensure_future(self.log.wait_until_recorded(("u", 0)))
        await asyncio.sleep(0)
        for born in range(1, 17):
            self.log.add(("u", born))
        self.assertEqual(16, len(self.log.pending))
        with self.assertRaises(errors.CallError):
            await waiting


class RestartTest(test_check_ins.CheckInPortTest):
    """Late check-ins after processes have ended.

    A node that is started again gets a check-in at once, which was sent before
    its upstream departed.
    """

    async def _depart(self, by):
        """Has the first upstream depart and checks the ack."""
        if by == "draining":
            status = await self.check_in(seq=20, state="draining")
        else:
            status = await self.deregister()
        self.assertEqual(200, status)
        await self._assert_unused()

    async def _assert_unused(self):
        """Checks that the only upstream of its service gets nothing."""
        for index in (0, 1):
            self.assertEqual(503, (await self.mesh.send_request(index))[0])
        self.assertEqual([], self.mesh.upstreams[0].request_heads)

    async def _assert_next_lifetime_used(self):
        self.assertEqual(200, await self.check_in(born=2000, seq=1))
        await self._wait_until_used()
        await self.assert_serves()

    async def _wait_until_used(self):
        """Waits until each of the two nodes can call the other one."""
        await self.mesh.wait_until(
            lambda: self._is_used(0, 1) and self._is_used(1, 0))

    def _is_used(self, index, by):
        """Tells whether node `by` sends requests to another node."""
        target = self.mesh.nodes[by]._router.by_instance.get(f"n{index}")
        return target is not None and not target.draining

    async def _assert_unused_after_kill_of_all(self, by):
        await self.start()
        await self._depart(by)
        await self.mesh.restart_all()
        await self.serve_check_ins()
        await self._assert_unused()
        for sequence in (10, 30):
            await self.check_in(seq=sequence)
            await self._assert_unused()
        await self._assert_next_lifetime_used()

    async def test_use_after_draining_and_kill_of_all(self):
        """Guards against use after an acked `draining` and a kill of all."""
        await self._assert_unused_after_kill_of_all("draining")

    async def test_use_after_deregistration_and_kill_of_all(self):
        """Guards against use after an acked deregistration and such a kill."""
        await self._assert_unused_after_kill_of_all("deregistration")

    async def test_use_after_second_kill_of_all(self):
        """Guards against a record that only the first restart reads."""
        await self.start()
        await self._depart("draining")
        for _ in range(2):
            await self.mesh.restart_all()
        await self.serve_check_ins()
        await self._assert_unused()
        await self._assert_next_lifetime_used()

    async def test_use_before_control_is_reached(self):
        """Guards against use while a restarted node knows of no departures."""
        await self.start()
        await self._depart("deregistration")
        await self.mesh.control.stop()
        await asyncio.gather(*(node.stop() for node in self.mesh.nodes))
        for index in (0, 1):
            await self.mesh._start_successor(index)
        await asyncio.sleep(2.0)
        self.assertFalse(self.mesh.nodes[0].upstream.row().usable)
        await self.mesh.start_control()
        await self.mesh.wait_until(
            lambda: all(node.ready for node in self.mesh.nodes))
        await self._assert_unused()

    async def test_upstream_unused_while_control_is_out_of_reach(self):
        """Guards against loss of an upstream whose node restarts in a cut."""
        await self.start()
        await self.mesh.control.stop()
        await self.mesh.restart_node(0)
        await self._wait_until_used()
        await self.assert_serves()
        await self.mesh.start_control()

    async def test_use_after_restart_while_control_is_out_of_reach(self):
        """Guards against use of a departed upstream in a failure domain cut."""
        await self.start()
        await self._depart("draining")
        await self.mesh.wait_until(lambda: not self._is_used(0, 1))
        await self.mesh.control.stop()
        await self.mesh.restart_node(0)
        await self.mesh.wait_until(lambda: self.mesh.nodes[0].ready)
        await asyncio.sleep(0.5)
        await self._assert_unused()
        await self.mesh.start_control()

    async def test_ack_without_control(self):
        """Guards against an ack that no other process could keep."""
        await self.start()
        await self.mesh.control.stop()
        for sequence in (20, 21):
            self.assertEqual(
                503, await self.check_in(seq=sequence, state="draining"))
            await self._assert_unused()
        self.assertEqual(503, await self.deregister())
        await self.mesh.start_control()
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0]._attachment.attached_to)
        self.assertEqual(200, await self.check_in(seq=22, state="draining"))
        self.assertEqual(200, await self.deregister())


if __name__ == "__main__":
    unittest.main()
