"""Tests of service retry budgets, including a simulation of lost responses."""

import unittest

from apricothinge.overload import retries
from apricothinge.overload import retry_budget
from tests import mesh_model

_FLEET_RATIO = 0.2


class _FlatBudget:
    """The previous budget: one percent of the requests at every height."""

    def __init__(self):
        self._cap = retries.RetryRatioCap(0.01, 1.0)

    def record_first_attempt(self, height):
        """Counts a first attempt."""
        del height
        self._cap.record_first_attempt()

    def try_retry(self, height, may_have_run):
        """Spends budget for a retry."""
        del height, may_have_run
        return self._cap.try_retry()


def _granted(height, may_have_run, requests=10000):
    budget = retry_budget.ServiceRetryBudget()
    granted = 0
    for _ in range(requests):
        budget.record_first_attempt(height)
        granted += budget.try_retry(height, may_have_run)
    return granted / requests


class ServiceRetryBudgetTest(unittest.TestCase):
    """Tests of the fleet-wide retry ratio."""

    def test_deep_chain(self):
        """Retries and reruns sum to less than the ratio at any chain depth."""
        for depth in (1, 4, 24, 100):
            total = sum(_granted(height, True) for height in range(depth))
            self.assertLess(total, _FLEET_RATIO, depth)

    def test_refused_calls(self):
        """Calls that did not run may be retried at any height."""
        self.assertGreater(_granted(3, False), 0.1)
        self.assertLess(_granted(3, False), _FLEET_RATIO)

    def test_shared_ratio(self):
        """Retries of calls that did and did not run share one ratio."""
        budget = retry_budget.ServiceRetryBudget()
        granted = 0
        for _ in range(10000):
            budget.record_first_attempt(0)
            granted += budget.try_retry(0, True) + budget.try_retry(0, False)
        self.assertLess(granted / 10000, _FLEET_RATIO)


class LostResponsesTest(unittest.TestCase):
    """Simulates lost responses at all services."""

    def _simulate(self, budgets, lost_part=0.05, seconds=20.0):
        world, rates = mesh_model.repair_graph(3, True)
        world.answer_loss_rate = lost_part
        world.make_budget = budgets
        world.simulate(mesh_model.steady(rates, 1.0), seconds)
        return world

    def test_higher_value_served(self):
        """More call trees succeed than with a flat budget."""
        flat = self._simulate(_FlatBudget)
        by_height = self._simulate(retry_budget.ServiceRetryBudget)
        self.assertGreater(by_height.value_ratio, flat.value_ratio + 0.1)

    def test_bound(self):
        """Retries, including reruns of nested calls, stay within the ratio."""
        for lost_part in (0.05, 0.3, 0.6):
            world = self._simulate(retry_budget.ServiceRetryBudget, lost_part)
            for service, count in world.repeats.items():
                firsts = world.runs[service] - count
                self.assertLess(count, _FLEET_RATIO * firsts,
                                (lost_part, service))
