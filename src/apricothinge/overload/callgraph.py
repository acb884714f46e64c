"""What a request costs the services below, learned from their calls."""

import collections
import heapq
import math
from typing import Final, TypeVar

__all__ = ["CallCounts", "Costs", "alike", "combine"]

# Slot seconds by service.
Costs = dict[str, float]

# Calls fall between the start and the end of what makes them; shorter windows
# would mostly see one without the other.
_WINDOW_S: Final = 1.0
_MEMORY_WINDOWS: Final = 40.0
_SMALLEST_WINDOWS: Final = 1.9
# Routes whose runs are compared with the calls, and kinds of calls, the most
# frequent first. Comparing them takes a millisecond for each kind of call.
_LARGEST_ROUTES: Final = 6
_LARGEST_NAMES: Final = 16
# From this many windows on, routes that explain no calls are left out: those
# for which the F ratio of the regression is smaller than chance often makes it.
_PRUNE_WINDOWS: Final = 12.0
_SIGNIFICANT: Final = 4.0
# Part of all runs above which a route is a likely caller from the first.
_FREQUENT: Final = 0.15
# How much more evidence it takes for a rare one, in windows.
_RARE_FIRMNESS: Final = 10.0
# Passes of the coordinate descent; some routes vary together.
_DESCENTS: Final = 20
_SMALLEST_COUNT: Final = 0.2
_LARGEST_COST_S: Final = 1000.0
_LARGEST_SERVICES: Final = 64

_FADED: Final = 1e-3

_Name = tuple[str, str]
_Key = TypeVar("_Key")


class CallCounts:
    """Learns how many calls of each kind a run of each route makes.

    A call names no parent, so runs and calls are counted in windows and
    compared.
    """

    __slots__ = ("_ran_by_route", "_made_by_name", "_window_at", "_windows",
                 "_ran", "_made", "_runs", "_mixed", "_squares")

    def __init__(self, now: float) -> None:
        self._ran_by_route: collections.Counter[str] = collections.Counter()
        self._made_by_name: collections.Counter[_Name] = collections.Counter()
        self._window_at = now
        self._windows = 0.0
        self._ran: dict[str, float] = {}
        self._made: dict[_Name, float] = {}
        self._runs: dict[tuple[str, str], float] = {}
        self._mixed: dict[tuple[str, _Name], float] = {}
        self._squares: dict[_Name, float] = {}

    def started_or_ended(self, route: str) -> None:
        """Counts half a run of a route."""
        self._ran_by_route[route] += 1

    def called(self, service: str, route: str) -> None:
        """Counts a call that the upstream has made."""
        self._made_by_name[service, route] += 1

    def tick(self, now: float) -> bool:
        """Closes the window when it is over; tells whether it did."""
        if now - self._window_at < _WINDOW_S:
            return False
        self._window_at = now
        if not self._ran_by_route and not self._made_by_name:
            return False
        fade = 1.0 - 1.0 / _MEMORY_WINDOWS
        self._windows = self._windows * fade + 1.0
        runs = {
            route: count / 2
            for route, count in self._ran_by_route.most_common(_LARGEST_ROUTES)
        }
        calls = dict(self._made_by_name.most_common(_LARGEST_NAMES))
        _fade(self._ran, fade)
        _fade(self._made, fade)
        _fade(self._runs, fade)
        _fade(self._mixed, fade)
        _fade(self._squares, fade)
        for first, count in runs.items():
            _add(self._ran, first, count)
            for second, other in runs.items():
                _add(self._runs, (first, second), count * other)
            for name, made in calls.items():
                _add(self._mixed, (first, name), count * made)
        for name, made in calls.items():
            _add(self._made, name, float(made))
            _add(self._squares, name, float(made * made))
        self._ran_by_route.clear()
        self._made_by_name.clear()
        return True

    @property
    def settled(self) -> bool:
        """Whether enough was counted to tell who calls whom."""
        return self._windows >= _SMALLEST_WINDOWS

    def by_route(self) -> dict[str, dict[_Name, float]]:
        """Calls per run: {route: {(service, route called): count}}."""
        found: dict[str, dict[_Name, float]] = {}
        if not self.settled:
            return found
        names = heapq.nlargest(_LARGEST_NAMES, self._made,
                               lambda name: self._made[name])
        for name in names:
            for route, count in self._explain(name).items():
                if count >= _SMALLEST_COUNT:
                    found.setdefault(route, {})[name] = count
        return found

    def _explain(self, name: _Name) -> dict[str, float]:
        """Divides the calls on a route among the routes that may make them."""
        routes = heapq.nlargest(
            _LARGEST_ROUTES, (route for route in self._ran if route != name[1]),
            lambda route: self._ran[route])
        if not routes:
            return {}
        counts = self._fit(routes, name)
        if self._windows < _PRUNE_WINDOWS:
            return counts
        for route in sorted(routes, key=lambda each: counts[each]):
            if len(routes) == 1:
                break
            fewer = [other for other in routes if other != route]
            trial = self._fit(fewer, name)
            left = self._unexplained(counts, name)
            more = self._unexplained(trial, name) - left
            if more * (self._windows - len(routes)) < _SIGNIFICANT * left:
                routes, counts = fewer, trial
        return counts

    def _unexplained(self, counts: dict[str, float], name: _Name) -> float:
        """Sum of squares of what the counts leave unexplained."""
        left = self._squares.get(name, 0.0)
        for route, count in counts.items():
            left -= 2.0 * count * self._mixed.get((route, name), 0.0)
            for other, more in counts.items():
                left += count * more * self._runs.get((route, other), 0.0)
        return max(0.0, left)

    def _fit(self, routes: list[str], name: _Name) -> dict[str, float]:
        """Ridge regression without negative counts, by coordinate descent.

        Until the windows tell the routes apart, all frequent ones are taken to
        make the calls alike: to refuse too much of what matters less is better
        than to let it in at the cost of what matters more.
        """
        ran = max(1.0, sum(self._ran[route] for route in routes))
        alike_count = self._made[name] / ran
        counts = {
            route: alike_count if self._ran[route] >= _FREQUENT * ran else 0.0
            for route in routes
        }
        prior = dict(counts)
        firmness = {
            route: 1.0 if count else _RARE_FIRMNESS
            for route, count in counts.items()
        }
        noise = max(self._made[name], self._unexplained(counts, name))
        for _ in range(_DESCENTS):
            spread = noise / self._windows / max(1e-6, alike_count**2)
            for route in routes:
                weight = spread * firmness[route]
                others = sum(
                    self._runs.get((route, other), 0.0) * count
                    for other, count in counts.items()
                    if other != route)
                top = (self._mixed.get(
                    (route, name), 0.0) - others + weight * prior[route])
                counts[route] = max(
                    0.0, top / (self._runs.get((route, route), 0.0) + weight))
            noise = max(self._made[name], self._unexplained(counts, name))
        return counts


def _fade(sums: dict[_Key, float], fade: float) -> None:
    """Lets the past fade and drops what has faded."""
    for key, value in list(sums.items()):
        value *= fade
        if value < _FADED:
            del sums[key]
        else:
            sums[key] = value


def _add(sums: dict[_Key, float], key: _Key, value: float) -> None:
    sums[key] = sums.get(key, 0.0) + value


def combine(own: Costs, calls: list[tuple[float, Costs]]) -> Costs:
    """Adds up what a run costs with all the calls below it.

    Args:
        own: What the run itself holds.
        calls: For each kind of call its count and what one of it costs.
    """
    total = dict(own)
    for count, below in calls:
        for service, cost_s in below.items():
            if service not in total and len(total) >= _LARGEST_SERVICES:
                continue
            cost_s = total.get(service, 0.0) + count * cost_s
            # Services that call each other in a circle would add up for ever.
            total[service] = min(_LARGEST_COST_S, cost_s)
    return total


def alike(first: Costs, second: Costs, tolerance: float) -> bool:
    """Tells whether two costs differ by no more than a part of either."""
    return first.keys() == second.keys() and all(
        math.isclose(cost_s, second[service], rel_tol=tolerance)
        for service, cost_s in first.items())
