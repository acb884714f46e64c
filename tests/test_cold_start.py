"""Tests of upstreams that are cold after a start."""

import asyncio
import random
import time
import unittest

import hypothesis
from hypothesis import strategies

from apricothinge.mesh import admission_queue
from apricothinge.overload import cold_start
from apricothinge.overload import load_feedback
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_RATE = 5.0
_BURST = 4.0
_WARM_UP_S = 3.0
# What an upstream may get in any second, by the platform's rules.
_BOUND = 1.5 * _RATE + 8


def _make_limiter(now=0.0, rate=_RATE, burst=_BURST):
    limiter = cold_start.ColdStartLimiter(now)
    limiter.configure(now, cold_start.ColdStartLimit(_WARM_UP_S, rate, burst))
    return limiter


def _take(limiter, now):
    if not limiter.has_token(now):
        return False
    limiter.take(now)
    return True


class ColdStartLimiterTest(unittest.TestCase):
    """Rate of the requests to a cold upstream."""

    def test_no_limit_while_warm(self):
        """A warm upstream gets everything, and nothing waits."""
        limiter = _make_limiter()
        self.assertTrue(all(_take(limiter, 1.0) for _ in range(1000)))
        self.assertEqual(0.0, limiter.wait_s(1.0, 100))

    @hypothesis.given(
        strategies.floats(0.5, 200.0),
        strategies.lists(strategies.floats(0.0, 0.5), min_size=1, max_size=60))
    def test_bound_of_each_second(self, rate, pauses):
        """However requests come, no second exceeds rate and burst."""
        now = 100.0
        limiter = _make_limiter(now, rate)
        limiter.set_cold(now, 1000.0)
        taken_at = []
        for pause in pauses:
            now += pause
            while _take(limiter, now):
                taken_at.append(now)
        for index, start in enumerate(taken_at):
            count = sum(at < start + 1.0 for at in taken_at[index:])
            self.assertLessEqual(count, rate + _BURST + 1e-6)

    def test_bound_where_it_turns_cold_under_load(self):
        """An upstream that turns cold under load has no burst left."""
        limiter = _make_limiter()
        for tick in range(100):
            limiter.take(1.0 + tick * 0.01)
        limiter.set_cold(2.0, _WARM_UP_S)
        self.assertFalse(limiter.has_token(2.0))
        self.assertTrue(limiter.has_token(2.0 + 1.0 / _RATE))

    def test_bound_across_restart_of_node(self):
        """A new process starts without the burst of the one before."""
        limiter = _make_limiter(50.0)
        limiter.set_cold(50.0, _WARM_UP_S)
        self.assertFalse(limiter.has_token(50.0))

    def test_late_report_after_crash(self):
        """A late report of the lifetime before a crash does not end pacing."""
        limiter = _make_limiter()
        limiter.assume_cold(10.0)
        limiter.set_cold(10.5, 0.0)
        self.assertEqual(_RATE, limiter.rate(12.9))
        self.assertEqual(0.0, limiter.rate(10.0 + _WARM_UP_S))

    def test_report_of_next_lifetime(self):
        """A new lifetime says itself for how long it is cold."""
        limiter = _make_limiter()
        limiter.assume_cold(10.0)
        limiter.start_lifetime()
        limiter.set_cold(10.5, 1.0)
        self.assertAlmostEqual(1.0, limiter.remaining_s(10.5))

    def test_wait_ends_with_warm_up(self):
        """No request waits longer than the upstream is cold."""
        limiter = _make_limiter()
        limiter.set_cold(0.0, 2.0)
        self.assertAlmostEqual(0.2, limiter.wait_s(0.0, 0))
        self.assertAlmostEqual(2.0, limiter.wait_s(0.0, 100))

    def test_token_given_back(self):
        """The token of a request that was not sent is used by the next."""
        queue = admission_queue.AdmissionQueue(0.0)
        queue.slots = 10
        queue.cold_limiter.configure(
            0.0, cold_start.ColdStartLimit(_WARM_UP_S, 1.0, 0.0))
        queue.cold_limiter.set_cold(0.0, 100.0)
        self.assertEqual(admission_queue.Verdict.RUN,
                         queue.offer(1.0, admission_queue.Ticket(0, 9.0, 1.0)))
        queue.return_slot()
        self.assertTrue(queue.cold_limiter.has_token(1.0))

    def test_capacity_of_cold_upstream(self):
        """The capacity follows the cold rate and the time of a request."""
        queue = admission_queue.AdmissionQueue(0.0)
        queue.slots = 100
        queue.cold_limiter.configure(
            0.0, cold_start.ColdStartLimit(_WARM_UP_S, _RATE, _BURST))
        self.assertEqual(94, queue.capacity(0.0))
        queue.cold_limiter.set_cold(0.0, 1.0)
        self.assertAlmostEqual(_RATE * queue.hold_s, queue.capacity(0.5))
        self.assertEqual(94, queue.capacity(1.0))


class _Group:
    """Upstreams of one service that restart together under steady load.

    An upstream crashes when it gets more than `_BOUND` requests in a second
    while it is cold, and is back cold after a second.

    Attributes:
        falls: Number of crashes.
        served: Number of requests served in each second.
    """

    _COUNT = 8
    _DEMAND = 400
    _DOWN_S = 1.0
    _TICKS_PER_S = 50

    def __init__(self, paced):
        self.falls = 0
        self.served = [0] * 20
        self._random = random.Random(3)
        self._paced = paced
        self._limiters = [_make_limiter() for _ in range(self._COUNT)]
        self._up_at = [0.0] * self._COUNT
        self._arrivals = [[] for _ in range(self._COUNT)]
        for limiter in self._limiters:
            limiter.assume_cold(0.0)

    def simulate(self):
        """Plays 20 seconds of steady demand."""
        for tick in range(20 * self._TICKS_PER_S):
            for _ in range(self._DEMAND // self._TICKS_PER_S):
                self._send(tick / self._TICKS_PER_S)

    def _send(self, now):
        up = [
            index for index in range(self._COUNT) if self._up_at[index] <= now
        ]
        if not up:
            return
        index = self._random.choice(up)
        if self._paced and not _take(self._limiters[index], now):
            return
        if now - self._up_at[index] < _WARM_UP_S:
            recent = [at for at in self._arrivals[index] if at > now - 1.0]
            self._arrivals[index] = recent + [now]
            if len(recent) + 1 > _BOUND:
                self.falls += 1
                self._up_at[index] = now + self._DOWN_S
                self._arrivals[index] = []
                self._limiters[index].assume_cold(now + self._DOWN_S)
                return
        self.served[int(now)] += 1


class ColdGroupTest(unittest.TestCase):
    """All upstreams of a service restart at once under the usual load."""

    def test_group_crashes_again_and_again(self):
        """A service whose upstreams are all cold warms up and stays up."""
        paced = _Group(paced=True)
        paced.simulate()
        self.assertEqual(0, paced.falls)
        self.assertEqual([400] * 16, paced.served[4:])

    def test_group_without_pacing(self):
        """Without pacing the group does not come back."""
        unpaced = _Group(paced=False)
        unpaced.simulate()
        self.assertGreater(unpaced.falls, 50)
        self.assertLess(sum(unpaced.served[10:]), 0.5 * 400 * 10)


class CapacityRatioTest(unittest.TestCase):
    """Feedback to entries about an upstream that comes back cold."""

    def _admitted_after(self, slots_while_cold, seconds):
        """Returns the ratio some time after all slots have come back cold."""
        feedback = load_feedback.LoadFeedback(0.0)
        now = 0.0

        def play(span_s, slots, admitted):
            nonlocal now
            for _ in range(int(span_s / 0.1)):
                now += 0.1
                feedback.record_arrival(2.0 * admitted)
                feedback.tick(now, 0, slots, admitted)

        play(3.0, 25.0, 1.0)
        play(1.0, 0.0, 1.0)
        play(seconds, slots_while_cold, 1.0)
        return feedback.capacity_ratio

    def test_flood_on_return(self):
        """The ratio falls with the slots at once, before load is measured."""
        self.assertLess(self._admitted_after(1.0, 0.11), 0.2)

    def test_return_of_warm_upstream(self):
        """An upstream that comes back warm is offered what it took before."""
        self.assertGreater(self._admitted_after(25.0, 0.11), 1.0)


class ColdUpstreamTest(test_mesh_nodes.MeshTest):
    """Nodes with a cold upstream."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.arrivals = []

    async def _start(self):
        """Starts one upstream of service "s", and two nodes that call it."""
        await self.mesh.start(("s", "t", "t"),
                              mesh_builders.document(warm_up_s=_WARM_UP_S,
                                                     cold_rate_per_s=_RATE))
        self.mesh.upstreams[0].handler = self._handle

    async def _handle(self, head, content, writer):
        del content
        self.arrivals.append(time.monotonic())
        writer.write(mesh_fleet.make_answer(head))
        return True

    async def _send_for(self, seconds, rate):
        """Sends requests at a steady rate; returns the statuses."""
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(
                asyncio.ensure_future(
                    self.mesh.send_request(1 + len(tasks) % 2,
                                           request_id=b"q%d" % len(tasks))))
            await asyncio.sleep(1.0 / rate)
        return [status for status, _, _ in await asyncio.gather(*tasks)]

    def _most_in_a_second(self):
        return max((sum(start <= at < start + 1.0
                        for at in self.arrivals)
                    for start in self.arrivals),
                   default=0)

    def _check_in(self, sequence, **fields):
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", sequence=sequence, slots=50, **fields))

    async def test_cold_upstream_overrun(self):
        """A cold upstream gets its rate, and everything once it is warm."""
        await self._start()
        self._check_in(100, cold_s=2.0)
        statuses = await self._send_for(1.8, 60)
        self.assertLessEqual(self._most_in_a_second(), _BOUND)
        self.assertGreaterEqual(len(self.arrivals), _RATE)
        self.assertGreater(statuses.count(503), 50)
        await asyncio.sleep(0.7)
        self.assertEqual({200}, set(await self._send_for(0.5, 40)))

    async def test_cold_upstream_overrun_after_crash(self):
        """A crash is noticed by its requests before any check-in comes."""
        await self._start()
        self._check_in(100)
        self.mesh.nodes[0].upstream._mark_down()
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].upstream.row().usable)
        self._check_in(101)
        await self._send_for(1.5, 60)
        self.assertLessEqual(self._most_in_a_second(), _BOUND)

    async def test_cold_upstream_overrun_after_restart_of_node(self):
        """A restarted node keeps the bound of each second."""
        await self._start()
        self._check_in(100, cold_s=20.0)
        sending = asyncio.ensure_future(self._send_for(3.5, 60))
        await asyncio.sleep(1.5)
        await self.mesh.restart_node(0)
        self._check_in(101, cold_s=18.0)
        await sending
        self.assertLessEqual(self._most_in_a_second(), _BOUND)


if __name__ == "__main__":
    unittest.main()
