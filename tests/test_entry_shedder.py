"""Tests of load shedding at the entry, including a simulation of the load."""

import random
import unittest

from apricothinge import settings
from apricothinge.overload import callgraph
from apricothinge.overload import entry_shedder
from apricothinge.overload import load_feedback
from apricothinge.overload import routing
from tests import mesh_model


class LoadFeedbackTest(unittest.TestCase):
    """Tests of the fraction of its demand that an upstream asks for."""

    def _simulate(self, demand, slots, seconds, ratio=1.0, delay_s=0.6):
        """Simulates a demand in slots that follows the ratio with a delay."""
        feedback = load_feedback.LoadFeedback(0.0)
        feedback.capacity_ratio = ratio
        admitted_history = [min(1.0, ratio)] * int(delay_s * 10)
        ratios = []
        for step in range(1, int(seconds * 10) + 1):
            admitted = min(1.0, feedback.capacity_ratio)
            admitted_history.append(admitted)
            feedback.record_arrival(demand * admitted_history.pop(0) / 10)
            feedback.tick(step / 10, 0, slots, admitted)
            ratios.append(feedback.capacity_ratio)
        return ratios

    def test_overload(self):
        """The ratio converges to admit as much as the slots can run."""
        ratios = self._simulate(300, 50, 10.0)
        self.assertTrue(all(45 <= ratio * 300 <= 55 for ratio in ratios[-30:]))

    def test_recovery(self):
        """All requests are admitted within three seconds after an overload."""
        self.assertGreaterEqual(self._simulate(20, 50, 3.0, ratio=0.2)[-1], 1.0)

    def test_refused(self):
        """A call refused by three instances counts as one call."""
        feedback = load_feedback.LoadFeedback(0.0)
        for step in range(1, 31):
            for _ in range(300):
                feedback.record_arrival(0.1)
                feedback.record_refusal(0.1)
            feedback.tick(step / 10, 0, 50, 1.0)
        self.assertLess(feedback.capacity_ratio, 0.6)

    def test_no_slots(self):
        """An upstream without slots does not ask for refusals."""
        feedback = load_feedback.LoadFeedback(0.0)
        feedback.record_arrival(10.0)
        feedback.tick(0.1, 10, 0, 1.0)
        self.assertGreaterEqual(feedback.capacity_ratio, 1.0)


class CallCountEstimatorTest(unittest.TestCase):
    """Tests of the attribution of calls to routes."""

    def _learn(self, calls_by_route, seconds=20):
        rng = random.Random(1)
        estimator = callgraph.CallCountEstimator(0.0)
        for second in range(1, seconds + 1):
            for route, calls in calls_by_route.items():
                for _ in range(rng.randrange(5, 25)):
                    estimator.record_start_or_end(route)
                    estimator.record_start_or_end(route)
                    for name, count in calls.items():
                        for _ in range(count):
                            estimator.record_call(*name)
            estimator.tick(float(second))
        return estimator.calls_per_run()

    def test_two_callers(self):
        """Calls are attributed to the routes that make them."""
        calls_per_run = self._learn({
            "a": {
                ("s", "c"): 2
            },
            "b": {
                ("s", "c"): 1
            },
            "idle": {}
        })
        self.assertEqual(set(calls_per_run), {"a", "b"})
        self.assertAlmostEqual(calls_per_run["a"]["s", "c"], 2.0, 1)
        self.assertAlmostEqual(calls_per_run["b"]["s", "c"], 1.0, 1)

    def test_route_is_not_its_own_caller(self):
        """Calls to a route are not attributed to that route."""
        self.assertEqual(self._learn({"a": {("s", "a"): 1}}), {})

    def test_many_routes(self):
        """The number of estimates is bounded with many routes and callees."""
        estimator = callgraph.CallCountEstimator(0.0)
        for second in range(1, 4):
            for index in range(5000):
                estimator.record_start_or_end(f"r{index}")
                estimator.record_call("s", f"c{index}")
            for _ in range(50):
                estimator.record_start_or_end("r0")
                estimator.record_start_or_end("r0")
                estimator.record_call("s", "c0")
            estimator.tick(float(second))
        learned = estimator.calls_per_run()
        self.assertLessEqual(sum(map(len, learned.values())), 6 * 16)
        self.assertIn(("s", "c0"), learned["r0"])

    def test_total_costs(self):
        """Costs are summed over the call graph and bounded in cycles."""
        costs = {"s": 0.1}
        for _ in range(100):
            costs = callgraph.total_costs({"s": 0.1}, [(2.0, costs)])
        self.assertLessEqual(costs["s"], 1000.0)
        self.assertEqual(
            callgraph.total_costs({"s": 0.5}, [(2.0, {
                "t": 0.25
            })]), {
                "s": 0.5,
                "t": 0.5
            })


class EntryShedderTest(unittest.TestCase):
    """Tests of which requests are admitted under overload."""

    def _probabilities(self, capacity_ratio, requests):
        """Returns probabilities by (rank, cost) for equal request rates."""
        shedder = entry_shedder.EntryShedder(0.0, random.Random(1))
        probabilities = {}
        for step in range(200):
            for rank, cost_s in requests:
                probability = shedder.admission_probability(
                    step / 100, rank, {"s": cost_s}, {"s": capacity_ratio})
                shedder.admit(probability)
                probabilities[rank, cost_s] = probability
        return probabilities

    def test_importance(self):
        """The least important requests are refused first."""
        probabilities = self._probabilities(0.5, [(0, 1.0), (1, 1.0)])
        self.assertAlmostEqual(probabilities[0, 1.0], 1.0, 1)
        self.assertLess(probabilities[1, 1.0], 0.3)

    def test_cheap_first(self):
        """Among equally important requests, cheaper ones are admitted first."""
        probabilities = self._probabilities(0.5, [(1, 0.2), (1, 0.8)])
        self.assertAlmostEqual(probabilities[1, 0.2], 1.0, 1)
        self.assertLess(probabilities[1, 0.8], 0.5)

    def test_no_one_starves(self):
        """The least important requests get at least a quarter of the mean."""
        probabilities = self._probabilities(0.1, [(0, 1.0), (1, 1.0), (2, 1.0)])
        mean = sum(probabilities.values()) / 3
        self.assertGreaterEqual(min(probabilities.values()), mean / 4)

    def test_unknown_cost(self):
        """Requests not known to lead to an overloaded service are admitted."""
        shedder = entry_shedder.EntryShedder(0.0, random.Random(1))
        self.assertEqual(shedder.admission_probability(0.0, 5, {}, {"s": 0.1}),
                         1.0)


class CallGraphTest(unittest.TestCase):
    """Simulates a burst that overloads the last service of a call graph."""

    def _simulate(self, factor, shedding_enabled, seed=3):
        world, rates = mesh_model.repair_graph(seed, shedding_enabled)
        world.simulate(mesh_model.burst(rates, factor, 3.0, 12.0), 14.0)
        return world

    def test_no_overload(self):
        """No request is refused while there is capacity."""
        world = self._simulate(1.2, True)
        self.assertEqual(sum(world.refused.values()), 0)
        self.assertGreaterEqual(world.value_ratio, 0.99)

    def test_burst(self):
        """Shedding at the entry serves more value than shedding downstream."""
        baseline = self._simulate(3.0, False)
        with_shedding = self._simulate(3.0, True)
        self.assertGreater(with_shedding.value_ratio,
                           baseline.value_ratio + 0.1)
        booked = with_shedding.served["booking"] / with_shedding.requested[
            "booking"]
        self.assertGreater(booked, 0.85)
        self.assertGreater(
            booked, baseline.served["booking"] / baseline.requested["booking"])

    def test_unaffected(self):
        """Requests that do not need the overloaded service are not refused.

        At this load only the last service is overloaded.
        """
        world = self._simulate(2.1, True)
        self.assertGreater(world.served["upload"] / world.requested["upload"],
                           0.95)


class VirtualTimeTest(unittest.TestCase):
    """Tests that the simulation is deterministic."""

    def test_deterministic(self):
        """Equal seeds give equal results."""
        first, rates = mesh_model.repair_graph(5, True)
        first.simulate(mesh_model.steady(rates, 2.5), 3.0)
        second, rates = mesh_model.repair_graph(5, True)
        second.simulate(mesh_model.steady(rates, 2.5), 3.0)
        self.assertEqual(first.value_ratio, second.value_ratio)


class UnevenLoadTest(unittest.TestCase):
    """One instance of a service is overloaded, the others are not."""

    def test_capacity_elsewhere(self):
        """Spare capacity of other instances compensates for a full one."""
        router = routing.Router("a", "", random.Random(1))
        for index, capacity_ratio in enumerate((0.5, 2.0, 1.4)):
            router.upsert(
                routing.Upstream(f"n{index}", "s", "a", "",
                                 settings.Address("127.0.0.1", 1), False, 1,
                                 0.0))
            router.by_instance[f"n{index}"].update_load(1, 0, 10,
                                                        capacity_ratio)
        self.assertEqual(router.capacity_ratios(), {"s": 1.0})
