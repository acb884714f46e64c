"""Early refusal at the entry, by importance, for whole trees of calls."""

import math
import random
from typing import Final

from apricothinge.overload import callgraph

__all__ = ["EntryGate"]

_MEMORY_S: Final = 2.0
_FADE_S: Final = 0.1
# Nobody may be served less than a quarter as often as all are; those who come
# back after a refusal add to it.
_SMALLEST_SHARE: Final = 0.25
# Parts above it are noise of the measurement.
_OPEN: Final = 0.995
# Slot seconds below which a demand is over.
_FORGOTTEN_S: Final = 1e-6

# Importance, and within it the power of two of the cost: of requests that
# matter alike, as many as possible are served.
_Order = tuple[int, int]


def _order(rank: int, cost_s: float) -> _Order:
    return rank, math.frexp(cost_s)[1]


class _Demand:
    """What callers ask of one service through this node.

    Attributes:
        by_order: Slot seconds asked for lately, what goes first first; decays.
        total: Their sum.
    """

    __slots__ = ("by_order", "total")

    def __init__(self) -> None:
        self.by_order: dict[_Order, float] = {}
        self.total = 0.0

    def add(self, order: _Order, cost_s: float) -> None:
        """Takes in a request."""
        self.by_order[order] = self.by_order.get(order, 0.0) + cost_s
        self.total += cost_s

    def fade(self, factor: float) -> None:
        """Lets the past fade."""
        for order in self.by_order:
            self.by_order[order] *= factor
        self.total *= factor

    def room(self, order: _Order, part: float) -> float:
        """The part of requests of one place in the order that has room.

        Args:
            order: The place.
            part: Of the whole demand, 0 to 1.
        """
        own = self.by_order.get(order, 0.0)
        if own <= 0.0:
            return 1.0
        before = sum(
            cost_s for found, cost_s in self.by_order.items() if found < order)
        return max(0.0, (part * self.total - before) / own)


class EntryGate:
    """Lets in what the fullest service below can take.

    Answers a load above what a service deep in the graph can run. Each service
    tells which part of its demand it can take; the least important requests
    that would lead to it are refused at their entry, before any work is done.
    """

    __slots__ = ("_demand_by_service", "_faded_at", "_random", "_asked",
                 "_admitted")

    def __init__(self, now: float, source: random.Random) -> None:
        self._demand_by_service: dict[str, _Demand] = {}
        self._faded_at = now
        self._random = source
        self._asked = 0.0
        self._admitted = 0.0

    def part(self, now: float, rank: int, costs: callgraph.Costs,
             part_by_service: dict[str, float]) -> float:
        """Counts a request and returns the part of its like to let in.

        Args:
            now: Time in seconds.
            rank: Its importance, the smallest first.
            costs: Slot seconds that it needs of each service.
            part_by_service: Part of its demand that each service can take.
        """
        self._fade(now)
        part = 1.0
        for service, cost_s in costs.items():
            demand = self._demand_by_service.get(service)
            if demand is None:
                demand = self._demand_by_service[service] = _Demand()
            order = _order(rank, cost_s)
            demand.add(order, cost_s)
            told = part_by_service.get(service, 1.0)
            if told < _OPEN:
                part = min(part, demand.room(order, told))
        if part >= 1.0:
            return 1.0
        return max(part, _SMALLEST_SHARE * self._admitted_part())

    def admits(self, part: float) -> bool:
        """Decides on one request of which a part is let in."""
        self._asked += 1.0
        if part < 1.0 and self._random.random() >= part:
            return False
        self._admitted += 1.0
        return True

    def _admitted_part(self) -> float:
        """Part of all requests that was let in lately."""
        return (self._admitted + 1.0) / (self._asked + 1.0)

    def _fade(self, now: float) -> None:
        age_s = now - self._faded_at
        if age_s < _FADE_S:
            return
        self._faded_at = now
        factor = math.exp(-age_s / _MEMORY_S)
        self._asked *= factor
        self._admitted *= factor
        for service, demand in list(self._demand_by_service.items()):
            demand.fade(factor)
            if demand.total < _FORGOTTEN_S:
                del self._demand_by_service[service]
