"""Tests of what upstreams say of themselves in their responses."""

import asyncio
import time

from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_RATE = 10
# What an upstream may get in any four seconds, by the platform's rules.
_WINDOW_S = 4.0
_WINDOW_BOUND = 1.5 * _RATE * _WINDOW_S + 5


class NamedRateTest(test_mesh_nodes.MeshTest):
    """Upstreams that name the rate of requests that they take."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.arrivals = []
        self.statuses = []
        self.rate = b"%d" % _RATE
        self.hold_s = 0.02

    async def _start(self):
        """Starts one upstream of service "s", and two nodes that call it."""
        await self.mesh.start(("s", "t", "t"))
        self.mesh.upstreams[0].handler = self._handle
        self._check_in()

    def _check_in(self, **fields):
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", sequence=100, slots=200, **fields))

    async def _handle(self, head, content, writer):
        del content
        self.arrivals.append(time.monotonic())
        await asyncio.sleep(self.hold_s)
        answer = mesh_fleet.make_answer(head)
        if self.rate is not None:
            answer = answer.replace(
                b"\r\n\r\n", b"\r\n" + mesh_fleet.NAMES.rate_limit + b": " +
                self.rate + b"\r\n\r\n", 1)
        writer.write(answer)
        return True

    async def _send(self, number):
        try:
            status, head, _ = await self.mesh.send_request(1 + number % 2,
                                                           request_id=b"q%d" %
                                                           number,
                                                           deadline_ms=1500)
        except (OSError, asyncio.IncompleteReadError):
            return
        self.statuses.append(status)
        if status == 503:
            self.assertIsNotNone(mesh_fleet.header_value(head, b"retry-after"))

    async def _send_for(self, seconds, rate):
        """Sends requests at a steady rate and waits for their answers."""
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.ensure_future(self._send(len(tasks))))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*tasks)

    def _most_in_window(self, since):
        """Returns the most arrivals in any window from a time on."""
        times = [at for at in self.arrivals if at >= since]
        return max((sum(start <= at <= start + _WINDOW_S
                        for at in times)
                    for start in times),
                   default=0)

    async def test_rate_exceeded(self):
        """An upstream gets no more than the rate that it names."""
        await self._start()
        started_at = time.monotonic()
        await self._send_for(6.0, 60)
        self.assertLessEqual(self._most_in_window(started_at + 0.5),
                             _WINDOW_BOUND)
        self.assertGreaterEqual(self._most_in_window(started_at + 0.5),
                                0.8 * _RATE * _WINDOW_S)
        self.assertGreater(self.statuses.count(503), 100)
        self.assertEqual({200, 503}, set(self.statuses))

    async def test_rate_kept_after_upstream_names_none(self):
        """An upstream that names no rate any more gets all requests again."""
        await self._start()
        await self._send_for(1.0, 60)
        self.rate = None
        await self._send_for(2.0, 30)
        self.statuses.clear()
        await self._send_for(1.0, 60)
        self.assertEqual({200}, set(self.statuses))

    async def test_rate_exceeded_after_restart_of_node(self):
        """The other nodes tell a restarted one which rate holds."""
        await self._start()
        self.hold_s = 1.0
        started_at = time.monotonic()
        sending = asyncio.ensure_future(self._send_for(7.0, 100))
        await asyncio.sleep(4.0)
        await self.mesh.restart_node(0)
        self._check_in()
        await sending
        self.assertLessEqual(self._most_in_window(started_at + 2.0),
                             _WINDOW_BOUND)
        self.assertGreater(self.arrivals[-1], started_at + 5.0)


class LeavingTest(test_mesh_nodes.MeshTest):
    """Upstreams that say in their responses that they leave."""

    async def _start(self):
        """Starts two upstreams of "s", one of which leaves."""
        await self.mesh.start(("s", "s", "t"))
        self.leaving = True

        async def handle(head, content, writer):
            del content
            answer = mesh_fleet.make_answer(head)
            if self.leaving:
                answer = answer.replace(
                    b"\r\n\r\n",
                    b"\r\n" + mesh_fleet.NAMES.leaving + b": 1\r\n\r\n", 1)
            writer.write(answer)
            return True

        self.mesh.upstreams[0].handler = handle

    async def _send_until_leaving(self):
        while not self.mesh.upstreams[0].request_heads:
            for index in (0, 2):
                status, _, _ = await self.mesh.send_request(index)
                self.assertEqual(200, status)

    async def _assert_gets_nothing(self, indices=(0, 1, 2)):
        received = len(self.mesh.upstreams[0].request_heads)
        for _ in range(10):
            for index in indices:
                status, _, _ = await self.mesh.send_request(index)
                self.assertEqual(200, status)
        self.assertEqual(received, len(self.mesh.upstreams[0].request_heads))

    async def test_request_to_leaving_upstream(self):
        """An upstream that leaves gets no new requests, whatever it reports."""
        await self._start()
        await self._send_until_leaving()
        await self._assert_gets_nothing()
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", sequence=100))
        await self._assert_gets_nothing()

    async def test_request_to_leaving_upstream_after_restart_of_node(self):
        """The other nodes tell a restarted one that its upstream leaves."""
        await self._start()
        await self._send_until_leaving()
        await self._wait_until_known()
        await self.mesh.restart_node(0)
        await self._assert_gets_nothing((1, 2))
        await asyncio.sleep(1.0)
        await self._assert_gets_nothing()

    async def _assert_kept_across_restart(self, leave):
        """Checks that a late check-in does not bring an upstream back.

        Args:
            leave: Function that makes the upstream leave.
        """
        await self._start()
        self.leaving = False
        await self._send_until_leaving()
        leave(self.mesh.nodes[0].upstream)
        await self._wait_until_known()
        await self.mesh.restart_node(0)
        await asyncio.sleep(1.0)
        await self._assert_gets_nothing()

    async def test_late_check_in_after_deregistration_and_restart(self):
        """An upstream that deregistered at an earlier process stays away."""
        await self._assert_kept_across_restart(
            lambda upstream: upstream.deregister("u0", 1000))

    async def test_late_check_in_after_draining_and_restart(self):
        """An upstream that drained at an earlier process stays away."""
        await self._assert_kept_across_restart(
            lambda upstream: upstream.check_in(
                mesh_builders.check_in("u0", sequence=50, draining=True)))

    async def _wait_until_known(self):
        """Waits until another node knows that the upstream leaves."""
        await self.mesh.wait_until(lambda: any(
            peer.row.instance == "n0" and not peer.row.upstream.usable
            for peer in self.mesh.nodes[2]._peer_table.by_instance.values()))

    async def test_next_upstream_at_the_address(self):
        """The next lifetime at the address gets requests again."""
        await self._start()
        await self._send_until_leaving()
        self.leaving = False
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", born=5000))
        received = len(self.mesh.upstreams[0].request_heads)
        for _ in range(20):
            self.assertEqual(200, (await self.mesh.send_request(0))[0])
        self.assertGreater(len(self.mesh.upstreams[0].request_heads), received)
