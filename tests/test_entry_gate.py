"""Tests of early refusal at the entry, with a model that plays the load."""

import random
import unittest

from apricothinge import settings
from apricothinge.overload import callgraph
from apricothinge.overload import gate
from apricothinge.overload import pressure
from apricothinge.overload import routing
from tests import mesh_model


class PressureTest(unittest.TestCase):
    """The part of its demand that an upstream asks for."""

    def _play(self, demand, slots, seconds, part=1.0, delay_s=0.6):
        """Plays a demand of slots that feels the part some time later."""
        found = pressure.Pressure(0.0)
        found.part = part
        told = [min(1.0, part)] * int(delay_s * 10)
        parts = []
        for step in range(1, int(seconds * 10) + 1):
            let_in = min(1.0, found.part)
            told.append(let_in)
            found.offered(demand * told.pop(0) / 10)
            found.tick(step / 10, 0, slots, let_in)
            parts.append(found.part)
        return parts

    def test_overload(self):
        """The part settles where the demand that is let in fits."""
        parts = self._play(300, 50, 10.0)
        self.assertTrue(all(45 <= part * 300 <= 55 for part in parts[-30:]))

    def test_recovery(self):
        """All is let in again within three seconds after the overload."""
        self.assertGreaterEqual(self._play(20, 50, 3.0, part=0.2)[-1], 1.0)

    def test_refused(self):
        """Calls that were refused everywhere count as one each."""
        found = pressure.Pressure(0.0)
        for step in range(1, 31):
            for _ in range(300):
                found.offered(0.1)
                found.refused(0.1)
            found.tick(step / 10, 0, 50, 1.0)
        self.assertLess(found.part, 0.6)

    def test_no_slots(self):
        """An upstream that is not there asks for nothing to be refused."""
        found = pressure.Pressure(0.0)
        found.offered(10.0)
        found.tick(0.1, 10, 0, 1.0)
        self.assertGreaterEqual(found.part, 1.0)


class CallCountsTest(unittest.TestCase):
    """Which route's runs make which calls."""

    def _learn(self, calls_by_route, seconds=20):
        source = random.Random(1)
        found = callgraph.CallCounts(0.0)
        for second in range(1, seconds + 1):
            for route, calls in calls_by_route.items():
                for _ in range(source.randrange(5, 25)):
                    found.started_or_ended(route)
                    found.started_or_ended(route)
                    for name, count in calls.items():
                        for _ in range(count):
                            found.called(*name)
            found.tick(float(second))
        return found.by_route()

    def test_two_callers(self):
        """Calls are divided among the routes that make them."""
        found = self._learn({
            "a": {
                ("s", "c"): 2
            },
            "b": {
                ("s", "c"): 1
            },
            "idle": {}
        })
        self.assertEqual(set(found), {"a", "b"})
        self.assertAlmostEqual(found["a"]["s", "c"], 2.0, 1)
        self.assertAlmostEqual(found["b"]["s", "c"], 1.0, 1)

    def test_not_itself(self):
        """A route does not explain the calls that are made on it."""
        self.assertEqual(self._learn({"a": {("s", "a"): 1}}), {})

    def test_many_routes(self):
        """Learning stays short when there are very many routes and calls."""
        found = callgraph.CallCounts(0.0)
        for second in range(1, 4):
            for place in range(5000):
                found.started_or_ended(f"r{place}")
                found.called("s", f"c{place}")
            for _ in range(50):
                found.started_or_ended("r0")
                found.started_or_ended("r0")
                found.called("s", "c0")
            found.tick(float(second))
        learned = found.by_route()
        self.assertLessEqual(sum(map(len, learned.values())), 6 * 16)
        self.assertIn(("s", "c0"), learned["r0"])

    def test_combine(self):
        """Costs add up over the graph, and do not grow without end."""
        costs = {"s": 0.1}
        for _ in range(100):
            costs = callgraph.combine({"s": 0.1}, [(2.0, costs)])
        self.assertLessEqual(costs["s"], 1000.0)
        self.assertEqual(callgraph.combine({"s": 0.5}, [(2.0, {
            "t": 0.25
        })]), {
            "s": 0.5,
            "t": 0.5
        })


class EntryGateTest(unittest.TestCase):
    """Who is let in when not all can be."""

    def _parts(self, part, asked):
        """Parts let in by (rank, cost) of equally frequent requests."""
        found = gate.EntryGate(0.0, random.Random(1))
        parts = {}
        for step in range(200):
            for rank, cost_s in asked:
                row = found.part(step / 100, rank, {"s": cost_s}, {"s": part})
                found.admits(row)
                parts[rank, cost_s] = row
        return parts

    def test_importance(self):
        """The least important are refused first."""
        parts = self._parts(0.5, [(0, 1.0), (1, 1.0)])
        self.assertAlmostEqual(parts[0, 1.0], 1.0, 1)
        self.assertLess(parts[1, 1.0], 0.3)

    def test_cheap_first(self):
        """Of those that matter alike, the cheaper go first."""
        parts = self._parts(0.5, [(1, 0.2), (1, 0.8)])
        self.assertAlmostEqual(parts[1, 0.2], 1.0, 1)
        self.assertLess(parts[1, 0.8], 0.5)

    def test_no_one_starves(self):
        """The least important keep a quarter of what all get."""
        parts = self._parts(0.1, [(0, 1.0), (1, 1.0), (2, 1.0)])
        mean = sum(parts.values()) / 3
        self.assertGreaterEqual(min(parts.values()), mean / 4)

    def test_unknown_cost(self):
        """What is not known to lead to a full service is let in."""
        found = gate.EntryGate(0.0, random.Random(1))
        self.assertEqual(found.part(0.0, 5, {}, {"s": 0.1}), 1.0)


class GraphTest(unittest.TestCase):
    """A burst that overloads the last service of a graph."""

    def _play(self, factor, gated, seed=3):
        world, rates = mesh_model.repair_graph(seed, gated)
        world.simulate(mesh_model.burst(rates, factor, 3.0, 12.0), 14.0)
        return world

    def test_calm(self):
        """Nobody is refused while there is room."""
        world = self._play(1.2, True)
        self.assertEqual(sum(world.refused.values()), 0)
        self.assertGreaterEqual(world.value_ratio, 0.99)

    def test_burst(self):
        """Refusing at the entry earns more than refusing deep in the tree."""
        naive = self._play(3.0, False)
        gated = self._play(3.0, True)
        self.assertGreater(gated.value_ratio, naive.value_ratio + 0.1)
        booked = gated.served["booking"] / gated.requested["booking"]
        self.assertGreater(booked, 0.85)
        self.assertGreater(booked,
                           naive.served["booking"] / naive.requested["booking"])

    def test_unaffected(self):
        """What does not lead to the full service is not refused.

        At this load only the last service is full.
        """
        world = self._play(2.1, True)
        self.assertGreater(world.served["upload"] / world.requested["upload"],
                           0.95)


class VirtualTimeTest(unittest.TestCase):
    """The model gives one verdict on every run."""

    def test_repeats(self):
        """Equal seeds give equal worth."""
        first, rates = mesh_model.repair_graph(5, True)
        first.simulate(mesh_model.steady(rates, 2.5), 3.0)
        second, rates = mesh_model.repair_graph(5, True)
        second.simulate(mesh_model.steady(rates, 2.5), 3.0)
        self.assertEqual(first.value_ratio, second.value_ratio)


class UnevenTest(unittest.TestCase):
    """One instance of a service is full while the others have room."""

    def test_room_elsewhere(self):
        """Nobody is refused for an instance that others make up for."""
        router = routing.Router("a", "", random.Random(1))
        for place, part in enumerate((0.5, 2.0, 1.4)):
            router.put(
                routing.Upstream(f"n{place}", "s", "a", "",
                                 settings.Address("127.0.0.1", 1), False, 1,
                                 0.0))
            router.by_instance[f"n{place}"].take_load(1, 0, 10, part)
        self.assertEqual(router.part_by_service(), {"s": 1.0})
