"""Tests of apricothinge.overload."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from apricothinge import lists
from apricothinge import settings
from apricothinge.overload import admission
from apricothinge.overload import claims
from apricothinge.overload import crashes
from apricothinge.overload import entry_throttle
from apricothinge.overload import fair_queue
from apricothinge.overload import limit
from apricothinge.overload import retries
from apricothinge.overload import routing

_CRITICAL = lists.Importance.CRITICAL
_NORMAL = lists.Importance.NORMAL
_BACKGROUND = lists.Importance.BACKGROUND


def _ticket(name="o",
            importance=_NORMAL,
            weight=1.0,
            nested=False,
            queue_deadline=1e9):
    return fair_queue.Ticket(name, importance, weight, nested, 0.0,
                             queue_deadline, False)


class FairQueueTest(unittest.TestCase):
    """Tests of the order in which calls are run and shed."""

    def test_importance_first(self):
        """The most important calls run first and are shed last."""
        queue = fair_queue.FairQueue()
        for importance in (_BACKGROUND, _CRITICAL, _NORMAL):
            queue.push(_ticket(importance=importance))
        self.assertIs(_BACKGROUND, queue.evict().importance)
        self.assertIs(_CRITICAL, queue.pop().importance)

    def test_nested_calls_first(self):
        """Within an importance, nested calls run before other calls."""
        queue = fair_queue.FairQueue()
        queue.push(_ticket())
        queue.push(_ticket(nested=True))
        self.assertTrue(queue.pop().nested)

    @hypothesis.given(
        strategies.lists(strategies.tuples(
            strategies.integers(0, 3), strategies.sampled_from(
                (1.0, 2.0, 4.0))),
                         min_size=1,
                         max_size=4,
                         unique_by=lambda pair: pair[0]),
        strategies.integers(1, 60))
    def test_weighted_shares(self, flows, served):
        """Backlogged organisations get weighted shares within two calls."""
        queue = fair_queue.FairQueue()
        for name, weight in flows:
            for _ in range(served):
                queue.push(_ticket(str(name), weight=weight))
        counts = {str(name): 0 for name, _ in flows}
        for _ in range(served):
            counts[queue.pop().organisation_id] += 1
        total_weight = sum(weight for _, weight in flows)
        for name, weight in flows:
            expected = served * weight / total_weight
            self.assertLessEqual(abs(counts[str(name)] - expected), 2.0)

    @hypothesis.given(
        strategies.lists(strategies.tuples(strategies.sampled_from("pxer"),
                                           strategies.integers(0, 2),
                                           strategies.sampled_from("ab")),
                         max_size=60))
    def test_nothing_is_lost(self, steps):
        """Every queued call leaves the queue exactly once."""
        queue = fair_queue.FairQueue()
        queued = set()
        for action, importance, name in steps:
            if action == "p":
                ticket = _ticket(name, lists.Importance(importance))
                queue.push(ticket)
                queued.add(ticket)
            elif action == "x" and queue:
                queued.remove(queue.pop())
            elif action == "e" and queue:
                queued.remove(queue.evict())
            elif action == "r" and queued:
                ticket = next(iter(queued))
                queue.remove(ticket)
                queued.remove(ticket)
            self.assertEqual(len(queued), len(queue))


class AdmissionTest(unittest.TestCase):
    """Tests of admission control for one upstream."""

    def _controller(self, slots=2):
        return admission.AdmissionController(limit.FixedLimit(slots), 0.0)

    def test_limit(self):
        """Calls beyond the limit wait until a running call ends."""
        controller = self._controller(1)
        first = controller.create_ticket(0.0, "o", _NORMAL, 1.0, False, 10.0)
        second = controller.create_ticket(0.0, "o", _NORMAL, 1.0, False, 10.0)
        self.assertIs(admission.Verdict.RUN, controller.offer(0.0, first)[0])
        self.assertIs(admission.Verdict.WAIT, controller.offer(0.0, second)[0])
        self.assertEqual([], controller.start_waiting(0.0))
        controller.finish(0.01)
        self.assertEqual([second], controller.start_waiting(0.01))

    def test_deadline_passed(self):
        """A call whose deadline has passed is not run."""
        controller = self._controller()
        late = controller.create_ticket(5.0, "o", _NORMAL, 1.0, False, 4.0)
        self.assertIs(admission.Verdict.EXPIRED, controller.offer(5.0, late)[0])

    def test_queue_deadline(self):
        """Calls are shed after the maximum wait of their importance."""
        controller = self._controller(1)
        controller.offer(
            0.0, controller.create_ticket(0.0, "o", _NORMAL, 1.0, False, 10.0))
        waiting = [
            controller.create_ticket(0.0, "o", c, 1.0, False, 10.0)
            for c in (_CRITICAL, _BACKGROUND)
        ]
        for ticket in waiting:
            controller.offer(0.0, ticket)
        self.assertEqual([waiting[1]], controller.tick(0.2))
        self.assertEqual([waiting[0]], controller.tick(0.6))

    def test_light_organisation_is_not_shed(self):
        """A full queue evicts calls of the organisation that filled it."""
        controller = self._controller(1)
        victims = []
        for index in range(40):
            name = "light" if index == 30 else "heavy"
            verdict, victim = controller.offer(
                0.0,
                controller.create_ticket(0.0, name, _NORMAL, 1.0, False, 10.0))
            if verdict is admission.Verdict.SHED:
                victims.append(name)
            if victim is not None:
                victims.append(victim.organisation_id)
        self.assertEqual({"heavy"}, set(victims))

    @hypothesis.given(strategies.integers(0, 2**32))
    def test_counts_are_consistent(self, seed):
        """Running and queued calls stay consistent in random sequences."""
        rng = random.Random(seed)
        controller = self._controller(3)
        now, running, waiting = 0.0, 0, set()
        for _ in range(80):
            now += rng.random() * 0.05
            if rng.random() < 0.6:
                ticket = controller.create_ticket(
                    now, rng.choice("abc"), rng.choice(list(lists.Importance)),
                    1.0, False, now + rng.random())
                verdict, victim = controller.offer(now, ticket)
                running += verdict is admission.Verdict.RUN
                if verdict is admission.Verdict.WAIT:
                    waiting.add(ticket)
                waiting.discard(victim)
            elif running:
                running -= 1
                controller.finish(now)
            for ticket in controller.tick(now):
                waiting.remove(ticket)
            for ticket in controller.start_waiting(now):
                waiting.remove(ticket)
                running += 1
            self.assertEqual(running, controller.in_flight)
            self.assertEqual(len(waiting), controller.queued)
            self.assertLessEqual(running, 3)


class LimitTest(unittest.TestCase):
    """Tests of the adaptive limit on a simulated upstream with slots."""

    def _saturate(self,
                  slots,
                  work_s,
                  seconds,
                  limiter,
                  start,
                  utilisation=1.0):
        """Runs calls at a fixed fraction of the current limit."""
        now = start
        while now < start + seconds:
            in_flight = max(1, int(limiter.value * utilisation))
            overload = max(0, in_flight - slots) / slots
            latency_s = work_s * (1.0 + 1.5 * overload)
            step_s = latency_s / in_flight
            now += step_s
            limiter.record_response(now, now - latency_s, "GET /a", latency_s,
                                    in_flight)
        return now

    def test_finds_slots(self):
        """The limit converges to roughly the number of slots."""
        for slots in (6, 30, 110):
            with self.subTest(slots=slots):
                limiter = limit.AdaptiveLimit(0.0)
                self._saturate(slots, 0.05, 20.0, limiter, 0.0)
                self.assertGreaterEqual(limiter.value, 0.9 * slots)
                self.assertLessEqual(limiter.value, 1.5 * slots + 1)

    def test_follows_slowdown(self):
        """The limit drops within seconds when an upstream loses slots."""
        limiter = limit.AdaptiveLimit(0.0)
        now = self._saturate(30, 0.05, 20.0, limiter, 0.0)
        self._saturate(8, 0.05, 10.0, limiter, now)
        self.assertLessEqual(limiter.value, 13)

    def test_refusals(self):
        """Refusals lower the limit."""
        limiter = limit.AdaptiveLimit(0.0)
        now = self._saturate(30, 0.05, 10.0, limiter, 0.0)
        before = limiter.value
        for _ in range(100):
            now += 0.02
            limiter.record_refusal(now)
        self.assertLess(limiter.value, before / 2)

    def test_idle_keeps_limit(self):
        """The limit does not change at low load."""
        limiter = limit.AdaptiveLimit(0.0)
        now = self._saturate(30, 0.05, 10.0, limiter, 0.0)
        before = limiter.value
        self._saturate(30, 0.05, 10.0, limiter, now, utilisation=0.2)
        self.assertEqual(before, limiter.value)


class EntryThrottleTest(unittest.TestCase):
    """Tests of adaptive throttling at the entry."""

    def _simulate(self, throttle, rate, capacity, seconds, start):
        """Offers a request rate to nodes that serve up to a capacity.

        Returns the time and the numbers of admitted and served requests.
        """
        now, tokens, admitted, served = start, 0.0, 0, 0
        while now < start + seconds:
            now += 1.0 / rate
            tokens = min(5.0, tokens + capacity / rate)
            if not throttle.admit(now, "o", "r"):
                continue
            admitted += 1
            has_capacity = tokens >= 1.0
            tokens -= has_capacity
            served += has_capacity
            throttle.record_outcome(now, "o", "r", has_capacity)
        return now, admitted, served

    def test_overload_and_recovery(self):
        """Admissions stay near capacity and recover when the load falls."""
        throttle = entry_throttle.EntryThrottle(random.Random(1))
        now, _, _ = self._simulate(throttle, 300, 100, 3.0, 0.0)
        now, admitted, served = self._simulate(throttle, 300, 100, 10.0, now)
        self.assertGreaterEqual(served, 0.9 * 1000)
        self.assertLessEqual(admitted, 1.15 * served)
        now, _, _ = self._simulate(throttle, 70, 100, 1.0, now)
        _, admitted, _ = self._simulate(throttle, 70, 100, 5.0, now)
        self.assertGreaterEqual(admitted, 0.99 * 350)

    def test_burst_is_admitted(self):
        """Requests still in progress are not counted as shed."""
        throttle = entry_throttle.EntryThrottle(random.Random(1))
        self.assertTrue(all(throttle.admit(0.0, "o", "r") for _ in range(100)))

    def test_capacity_returns(self):
        """The admitted fraction recovers when a slow service does."""
        throttle = entry_throttle.EntryThrottle(random.Random(1))
        now, _, _ = self._simulate(throttle, 100, 10, 5.0, 0.0)
        now, _, _ = self._simulate(throttle, 100, 200, 3.0, now)
        _, admitted, _ = self._simulate(throttle, 100, 200, 2.0, now)
        self.assertGreaterEqual(admitted, 0.95 * 200)


class RetryTest(unittest.TestCase):
    """Tests of the call tree budget and the retry ratio cap."""

    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(0, 6))
    def test_tree_never_exceeds_budget(self, seed, tokens):
        """Retries stay within the tokens under failures, fan-out and loss."""
        rng = random.Random(seed)
        spent = 0

        def call(budget, depth):
            nonlocal spent
            for _ in range(10):
                allocated = budget.allocate_to_attempt()
                child = retries.CallTreeBudget(allocated)
                if depth:
                    for _ in range(rng.randrange(0, 3)):
                        nested_tokens = child.allocate_to_nested_call()
                        nested = retries.CallTreeBudget(nested_tokens)
                        call(nested, depth - 1)
                        if rng.random() < 0.8:
                            child.reclaim(nested.remaining, nested_tokens)
                outcome = rng.random()
                if outcome < 0.6:
                    budget.reclaim(child.remaining, allocated)
                if outcome < 0.4:
                    return
                if not budget.try_spend():
                    return
                spent += 1

        root = retries.CallTreeBudget(tokens)
        call(root, 4)
        self.assertLessEqual(spent, tokens)
        self.assertGreaterEqual(root.remaining, 0)

    def test_excess_tokens_reported(self):
        """A response cannot return more tokens than were allocated."""
        budget = retries.CallTreeBudget(3)
        allocated = budget.allocate_to_attempt()
        budget.reclaim(99, allocated)
        self.assertEqual(3, budget.remaining)

    def test_ratio(self):
        """Retries are limited to a tenth of first attempts plus the reserve."""
        cap = retries.RetryRatioCap()
        for _ in range(1000):
            cap.record_first_attempt()
            cap.try_retry()
        self.assertLessEqual(cap.retries, 110)


class RouterTest(unittest.TestCase):
    """Tests of instance selection."""

    def setUp(self):
        self.router = routing.Router("a", "r", random.Random(1))
        for index, domain in enumerate("aabb"):
            self.router.upsert(
                routing.Upstream(f"i{index}", "s", domain, "r",
                                 settings.Address("127.0.0.1", 1), False, 1,
                                 -100.0))

    def _picks(self, now=0.0, count=200):
        picked = [self.router.pick(now, "s", set()) for _ in range(count)]
        return {
            upstream.instance for upstream in picked if upstream is not None
        }

    def test_own_domain_first(self):
        """The own failure domain is used while it admits calls."""
        self.assertEqual({"i0", "i1"}, self._picks())
        for name in ("i0", "i1"):
            self.router.by_instance[name].admitted_fraction = 0.5
        self.assertEqual({"i0", "i1", "i2", "i3"}, self._picks())

    def test_drain(self):
        """A draining instance is not picked."""
        self.router.by_instance["i0"].draining = True
        self.assertEqual({"i1"}, self._picks())

    def test_only_instance(self):
        """The only instance of a service is never ejected."""
        router = routing.Router("a", "r", random.Random(1))
        only = routing.Upstream("i", "s", "a", "r",
                                settings.Address("127.0.0.1", 1), False, 1, 0.0)
        router.upsert(only)
        for _ in range(10):
            router.record_sent(only)
            router.record_failure(0.0, only, eject_now=True)
        self.assertTrue(only.is_available(0.1))

    def test_new_incarnation(self):
        """A new process inherits neither latency nor back-off."""
        known = self.router.by_instance["i0"]
        known.latency_s = 9.0
        known.ejections = 5
        self.router.upsert(
            routing.Upstream("i0", "s", "a", "r",
                             settings.Address("127.0.0.1", 1), False, 2, 0.0))
        self.assertLess(known.latency_s, 1.0)
        self.assertEqual(known.ejections, 0)

    def test_suspect_instance(self):
        """A suspect instance is picked only if there is no other one."""
        for name in ("i0", "i1", "i2"):
            self.router.by_instance[name].suspect = True
        self.assertEqual({"i3"}, self._picks())
        self.router.by_instance["i3"].suspect = True
        self.assertLessEqual({"i0", "i1"}, self._picks())

    def test_ejection_and_its_bound(self):
        """Failing instances are ejected, at most half of them."""
        for upstream in list(self.router.by_instance.values()):
            for _ in range(5):
                self.router.record_sent(upstream)
                self.router.record_failure(0.0, upstream, eject_now=True)
        ejected = [
            upstream for upstream in self.router.by_instance.values()
            if upstream.ejected_until > 0.0
        ]
        self.assertEqual(2, len(ejected))
        self.assertTrue(self._picks())

    def test_slow_one_gets_less(self):
        """The slower of two instances gets fewer calls."""
        self.router.by_instance["i0"].latency_s = 0.5
        picked = [
            self.router.pick(0.0, "s", set()).instance for _ in range(100)
        ]
        self.assertLess(picked.count("i0"), 10)

    def test_all_tried(self):
        """No instance is picked when all were tried."""
        tried = set(self.router.by_instance)
        self.assertIsNone(self.router.pick(0.0, "s", tried))


class CrashTest(unittest.TestCase):
    """Tests of the detection of requests that crash upstreams."""

    def test_two_crashes_block(self):
        """Two distinct crashes block a request for a time, one does not."""
        table = crashes.CrashTable()
        table.record_crash(0.0, "x", "c1")
        table.record_crash(0.0, "x", "c1")
        self.assertFalse(table.is_blocked(0.0, "x"))
        self.assertTrue(table.is_suspect("x"))
        table.record_crash(1.0, "x", "c2")
        self.assertTrue(table.is_blocked(1.0, "x"))
        table.tick(200.0)
        self.assertFalse(table.is_blocked(200.0, "x"))

    def test_blocked_request_crashes_more_upstreams_later(self):
        """After each block, a request crashed as many upstreams as before."""
        table = crashes.CrashTable(3)
        now, runs = 0.0, 0
        while now < 3600.0:
            table.tick(now)
            if not table.is_blocked(now, "x"):
                runs += 1
                table.record_crash(now, "x", f"c{runs}")
            now += 4.0
        self.assertLessEqual(runs, 3 + 3)

    def test_harmless_request_is_cleared_after_block(self):
        """A response after a block clears the request for good."""
        table = crashes.CrashTable()
        table.record_crash(0.0, "x", "c1")
        table.record_crash(0.0, "x", "c2")
        table.tick(200.0)
        table.record_response(200.0, "x")
        table.record_crash(201.0, "x", "c3")
        self.assertFalse(table.is_blocked(201.0, "x"))

    def test_response_clears_suspicion(self):
        """A request answered between two crashes is not blocked."""
        table = crashes.CrashTable()
        table.record_crash(0.0, "x", "c1")
        table.record_response(0.5, "x")
        table.record_crash(1.0, "x", "c2")
        self.assertFalse(table.is_blocked(1.0, "x"))

    def test_fingerprint(self):
        """Organisation, method, target and content change the fingerprint."""
        base = ("o", "GET", "/a", b"x")
        fingerprints = {crashes.request_fingerprint(*base)}
        for index, other in enumerate(("p", "PUT", "/b", b"y")):
            changed = list(base)
            changed[index] = other
            fingerprints.add(crashes.request_fingerprint(*changed))
        self.assertEqual(5, len(fingerprints))


class ClaimTableTest(unittest.TestCase):
    """Tests of claims under random sequences of operations."""

    @hypothesis.given(
        strategies.lists(strategies.tuples(
            strategies.sampled_from(("take", "record", "release", "give_up")),
            strategies.integers(0, 3), strategies.floats(0.0, 3.0)),
                         max_size=40))
    def test_one_execution_per_key(self, steps):
        """At most one claimant of a key holds it at any time."""
        table = claims.ClaimTable(100.0)
        response = claims.StoredResponse(200, [], b"")
        now = 0.0
        running = []
        for action, claimant, wait_s in steps:
            now += wait_s
            owner = str(claimant)
            if action == "take":
                result = table.take(now, "k", "h", owner, 5.0)
                if result.state is claims.ClaimState.TAKEN:
                    self.assertIn(running, ([], [owner]))
                    running = [owner]
            elif action == "record":
                table.record(now, "k", owner, response)
            elif action == "release":
                table.release("k", owner)
                row = table.by_name.get("k")
                if row is None:
                    running = []
            else:
                table.give_up("k", owner)


if __name__ == "__main__":
    unittest.main()
