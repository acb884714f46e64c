"""Tests of the budget for repeats, with a model that loses answers."""

import unittest

from apricothinge.overload import repeats
from apricothinge.overload import retries
from tests import mesh_model

_FLEET_RATIO = 0.2


class _FlatBudget:
    """The version before: a hundredth of the requests, at every height."""

    def __init__(self):
        self._cap = retries.RatioCap(0.01, 1.0)

    def first_attempt(self, height):
        """Counts a request."""
        del height
        self._cap.first_attempt()

    def repeat(self, height, may_have_run):
        """Takes room for a repeat."""
        del height, may_have_run
        return self._cap.retry()


def _granted(height, may_have_run, requests=10000):
    budget = repeats.RepeatBudget()
    granted = 0
    for _ in range(requests):
        budget.first_attempt(height)
        granted += budget.repeat(height, may_have_run)
    return granted / requests


class RepeatBudgetTest(unittest.TestCase):
    """The fleet's bound holds at the end of a chain of any depth."""

    def test_deep_chain(self):
        """Repeats at the last service and of all runs above it fit."""
        for depth in (1, 4, 24, 100):
            total = sum(_granted(height, True) for height in range(depth))
            self.assertLess(total, _FLEET_RATIO, depth)

    def test_turned_away(self):
        """What did not run may be sent again at any height."""
        self.assertGreater(_granted(3, False), 0.1)
        self.assertLess(_granted(3, False), _FLEET_RATIO)

    def test_joint(self):
        """Both kinds of repeats come out of one part."""
        budget = repeats.RepeatBudget()
        granted = 0
        for _ in range(10000):
            budget.first_attempt(0)
            granted += budget.repeat(0, True) + budget.repeat(0, False)
        self.assertLess(granted / 10000, _FLEET_RATIO)


class LostAnswersTest(unittest.TestCase):
    """Answers are lost on all services."""

    def _play(self, budgets, lost_part=0.05, seconds=20.0):
        world, rates = mesh_model.repair_graph(3, True)
        world.answer_loss_rate = lost_part
        world.make_budget = budgets
        world.simulate(mesh_model.steady(rates, 1.0), seconds)
        return world

    def test_more_is_served(self):
        """Trees of calls survive it more often than with a flat budget."""
        before = self._play(_FlatBudget)
        after = self._play(repeats.RepeatBudget)
        self.assertGreater(after.value_ratio, before.value_ratio + 0.1)

    def test_bound(self):
        """Repeats stay in the fleet's bound, calls of repeated runs too."""
        for lost_part in (0.05, 0.3, 0.6):
            world = self._play(repeats.RepeatBudget, lost_part)
            for service, count in world.repeats.items():
                firsts = world.runs[service] - count
                self.assertLess(count, _FLEET_RATIO * firsts,
                                (lost_part, service))
