"""Estimates the cost of a request to downstream services from their calls."""

import collections
import heapq
import math
from typing import Final, TypeVar

__all__ = ["CallCountEstimator", "Costs", "is_close", "total_costs"]

# Slot seconds by service.
Costs = dict[str, float]

# A call is made between the start and the end of its caller's run; shorter
# windows would mostly contain one without the other.
_WINDOW_S: Final = 1.0
_DECAY_WINDOWS: Final = 40.0
_MIN_WINDOWS: Final = 1.9
# The most frequent routes and callees that enter the regression. Fitting takes
# about a millisecond per callee.
_MAX_ROUTES: Final = 6
_MAX_CALLEES: Final = 16
# After this many windows, routes that explain no calls are pruned: those whose
# F ratio in the regression is no larger than chance often produces.
_MIN_PRUNE_WINDOWS: Final = 12.0
_MIN_F_RATIO: Final = 4.0
# A route with at least this fraction of all runs is assumed to be a caller
# before there is any evidence.
_FREQUENT_ROUTE_FRACTION: Final = 0.15
# Weight in windows of the prior that a rarer route makes no calls; the prior of
# a frequent route has weight 1.
_RARE_ROUTE_PRIOR_WEIGHT: Final = 10.0
# Coordinate descent needs many passes where the runs of routes are correlated.
_DESCENT_PASSES: Final = 20
_MIN_CALLS_PER_RUN: Final = 0.2
_MAX_COST_S: Final = 1000.0
_MAX_SERVICES: Final = 64

_NEGLIGIBLE_SUM: Final = 1e-3

_Callee = tuple[str, str]
_Key = TypeVar("_Key")


class CallCountEstimator:
    """Estimates how many calls a run of each route makes to each callee.

    A call does not name its caller, so the calls per window are regressed on
    the runs per window.
    """

    __slots__ = ("_window_starts_and_ends", "_window_calls",
                 "_window_started_at", "_decayed_windows", "_run_sums",
                 "_call_sums", "_run_products", "_run_call_products",
                 "_call_squares")

    def __init__(self, now: float) -> None:
        self._window_starts_and_ends: collections.Counter[
            str] = collections.Counter()
        self._window_calls: collections.Counter[_Callee] = collections.Counter()
        self._window_started_at = now
        self._decayed_windows = 0.0
        self._run_sums: dict[str, float] = {}
        self._call_sums: dict[_Callee, float] = {}
        self._run_products: dict[tuple[str, str], float] = {}
        self._run_call_products: dict[tuple[str, _Callee], float] = {}
        self._call_squares: dict[_Callee, float] = {}

    def record_start_or_end(self, route: str) -> None:
        """Counts half a run of a route, at its start and at its end."""
        self._window_starts_and_ends[route] += 1

    def record_call(self, service: str, route: str) -> None:
        """Counts a call made by the upstream."""
        self._window_calls[service, route] += 1

    def tick(self, now: float) -> bool:
        """Closes an elapsed window; returns whether it contained any data."""
        if now - self._window_started_at < _WINDOW_S:
            return False
        self._window_started_at = now
        if not self._window_starts_and_ends and not self._window_calls:
            return False
        decay = 1.0 - 1.0 / _DECAY_WINDOWS
        self._decayed_windows = self._decayed_windows * decay + 1.0
        runs = {
            route: count / 2 for route, count in
            self._window_starts_and_ends.most_common(_MAX_ROUTES)
        }
        calls = dict(self._window_calls.most_common(_MAX_CALLEES))
        _decay(self._run_sums, decay)
        _decay(self._call_sums, decay)
        _decay(self._run_products, decay)
        _decay(self._run_call_products, decay)
        _decay(self._call_squares, decay)
        for first, count in runs.items():
            _add(self._run_sums, first, count)
            for second, other in runs.items():
                _add(self._run_products, (first, second), count * other)
            for callee, call_count in calls.items():
                _add(self._run_call_products, (first, callee),
                     count * call_count)
        for callee, call_count in calls.items():
            _add(self._call_sums, callee, float(call_count))
            _add(self._call_squares, callee, float(call_count * call_count))
        self._window_starts_and_ends.clear()
        self._window_calls.clear()
        return True

    @property
    def has_enough_data(self) -> bool:
        """Whether enough windows were counted to attribute calls to routes."""
        return self._decayed_windows >= _MIN_WINDOWS

    def calls_per_run(self) -> dict[str, dict[_Callee, float]]:
        """Returns calls per run: {route: {(service, called route): count}}."""
        calls_by_route: dict[str, dict[_Callee, float]] = {}
        if not self.has_enough_data:
            return calls_by_route
        callees = heapq.nlargest(_MAX_CALLEES, self._call_sums,
                                 lambda callee: self._call_sums[callee])
        for callee in callees:
            for route, count in self._attribute_calls(callee).items():
                if count >= _MIN_CALLS_PER_RUN:
                    calls_by_route.setdefault(route, {})[callee] = count
        return calls_by_route

    def _attribute_calls(self, callee: _Callee) -> dict[str, float]:
        """Attributes the calls to a callee to the routes that may make them."""
        routes = heapq.nlargest(
            _MAX_ROUTES,
            (route for route in self._run_sums if route != callee[1]),
            lambda route: self._run_sums[route])
        if not routes:
            return {}
        counts = self._fit(routes, callee)
        if self._decayed_windows < _MIN_PRUNE_WINDOWS:
            return counts
        for route in sorted(routes, key=lambda each: counts[each]):
            if len(routes) == 1:
                break
            reduced_routes = [other for other in routes if other != route]
            reduced_counts = self._fit(reduced_routes, callee)
            residual = self._residual_squares(counts, callee)
            increase = self._residual_squares(reduced_counts, callee) - residual
            if increase * (self._decayed_windows -
                           len(routes)) < _MIN_F_RATIO * residual:
                routes, counts = reduced_routes, reduced_counts
        return counts

    def _residual_squares(self, counts: dict[str, float],
                          callee: _Callee) -> float:
        """Returns the residual sum of squares for the given counts."""
        residual = self._call_squares.get(callee, 0.0)
        for route, count in counts.items():
            residual -= 2.0 * count * self._run_call_products.get(
                (route, callee), 0.0)
            for other, other_count in counts.items():
                residual += count * other_count * self._run_products.get(
                    (route, other), 0.0)
        return max(0.0, residual)

    def _fit(self, routes: list[str], callee: _Callee) -> dict[str, float]:
        """Non-negative ridge regression by coordinate descent.

        The prior assumes that all frequent routes make the calls equally often
        until the data separates them: refusing too many less important
        requests is better than admitting them at the expense of more important
        ones.
        """
        run_sum = max(1.0, sum(self._run_sums[route] for route in routes))
        uniform_count = self._call_sums[callee] / run_sum
        counts = {
            route:
                uniform_count if self._run_sums[route]
                >= _FREQUENT_ROUTE_FRACTION * run_sum else 0.0
            for route in routes
        }
        prior = dict(counts)
        prior_weights = {
            route: 1.0 if count else _RARE_ROUTE_PRIOR_WEIGHT
            for route, count in counts.items()
        }
        residual = max(self._call_sums[callee],
                       self._residual_squares(counts, callee))
        for _ in range(_DESCENT_PASSES):
            ridge_scale = residual / self._decayed_windows / max(
                1e-6, uniform_count**2)
            for route in routes:
                ridge = ridge_scale * prior_weights[route]
                others = sum(
                    self._run_products.get((route, other), 0.0) * count
                    for other, count in counts.items()
                    if other != route)
                numerator = (self._run_call_products.get(
                    (route, callee), 0.0) - others + ridge * prior[route])
                counts[route] = max(
                    0.0, numerator / (self._run_products.get(
                        (route, route), 0.0) + ridge))
            residual = max(self._call_sums[callee],
                           self._residual_squares(counts, callee))
        return counts


def _decay(sums: dict[_Key, float], decay: float) -> None:
    """Multiplies all sums by a factor and drops negligible ones."""
    for key, value in list(sums.items()):
        value *= decay
        if value < _NEGLIGIBLE_SUM:
            del sums[key]
        else:
            sums[key] = value


def _add(sums: dict[_Key, float], key: _Key, value: float) -> None:
    sums[key] = sums.get(key, 0.0) + value


def total_costs(own: Costs, calls: list[tuple[float, Costs]]) -> Costs:
    """Returns the cost of a run including all its nested calls.

    Args:
        own: Cost of the run itself.
        calls: For each callee, the number of calls and the cost of one.
    """
    total = dict(own)
    for count, callee_costs in calls:
        for service, cost_s in callee_costs.items():
            if service not in total and len(total) >= _MAX_SERVICES:
                continue
            cost_s = total.get(service, 0.0) + count * cost_s
            # Cyclic call graphs would otherwise grow without bound.
            total[service] = min(_MAX_COST_S, cost_s)
    return total


def is_close(first: Costs, second: Costs, tolerance: float) -> bool:
    """Returns whether two costs agree within a relative tolerance."""
    return first.keys() == second.keys() and all(
        math.isclose(cost_s, second[service], rel_tol=tolerance)
        for service, cost_s in first.items())
