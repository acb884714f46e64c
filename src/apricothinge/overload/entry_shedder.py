"""Priority-based load shedding at the entry, for whole call trees."""

import math
import random
from typing import Final

from apricothinge.overload import callgraph

__all__ = ["EntryShedder"]

_DECAY_TIME_S: Final = 2.0
_DECAY_INTERVAL_S: Final = 0.1
# Prevents starvation: no class of requests is admitted less than a quarter as
# often as all requests. Callers that retry after a refusal get more than that.
_MIN_RELATIVE_SHARE: Final = 0.25
# Ratios above this are treated as full capacity; the rest is measurement noise.
_FULL_CAPACITY_RATIO: Final = 0.995
# Slot seconds below which the demand on a service is dropped.
_NEGLIGIBLE_DEMAND_S: Final = 1e-6

# Importance rank, then the binary exponent of the cost: among equally important
# requests, cheaper ones go first so that as many as possible are served.
_Priority = tuple[int, int]


def _priority(rank: int, cost_s: float) -> _Priority:
    return rank, math.frexp(cost_s)[1]


class _Demand:
    """Recent demand on one service through this node.

    Attributes:
        cost_by_priority: Exponentially decayed slot seconds by priority.
        total: Sum over all priorities.
    """

    __slots__ = ("cost_by_priority", "total")

    def __init__(self) -> None:
        self.cost_by_priority: dict[_Priority, float] = {}
        self.total = 0.0

    def add(self, priority: _Priority, cost_s: float) -> None:
        """Adds the cost of a request."""
        self.cost_by_priority[priority] = self.cost_by_priority.get(
            priority, 0.0) + cost_s
        self.total += cost_s

    def decay(self, factor: float) -> None:
        """Multiplies the demand by a decay factor."""
        for priority in self.cost_by_priority:
            self.cost_by_priority[priority] *= factor
        self.total *= factor

    def admissible_fraction(self, priority: _Priority,
                            capacity_ratio: float) -> float:
        """Returns the fraction of requests at a priority that can be admitted.

        Args:
            priority: Priority of the requests.
            capacity_ratio: Fraction of the total demand that the service can
                take, 0 to 1.
        """
        own_s = self.cost_by_priority.get(priority, 0.0)
        if own_s <= 0.0:
            return 1.0
        higher_priority_s = sum(
            cost_s for other, cost_s in self.cost_by_priority.items()
            if other < priority)
        return max(0.0,
                   (capacity_ratio * self.total - higher_priority_s) / own_s)


class EntryShedder:
    """Admits requests up to the capacity of the most loaded service they need.

    Handles overload of services deep in the call graph. Each service reports
    which fraction of its demand it can take; the least important requests that
    lead to it are refused at the entry, before any work is done for them.
    """

    __slots__ = ("_demand_by_service", "_decayed_at", "_rng", "_requested",
                 "_admitted")

    def __init__(self, now: float, rng: random.Random) -> None:
        self._demand_by_service: dict[str, _Demand] = {}
        self._decayed_at = now
        self._rng = rng
        self._requested = 0.0
        self._admitted = 0.0

    def admission_probability(self, now: float, rank: int,
                              costs: callgraph.Costs,
                              capacity_ratios: dict[str, float]) -> float:
        """Counts a request and returns the probability of admitting it.

        Args:
            now: Current time in seconds.
            rank: Importance of the request; lower ranks go first.
            costs: Slot seconds that the request needs from each service.
            capacity_ratios: Fraction of its demand that each service can take.
        """
        self._decay(now)
        probability = 1.0
        for service, cost_s in costs.items():
            demand = self._demand_by_service.get(service)
            if demand is None:
                demand = self._demand_by_service[service] = _Demand()
            priority = _priority(rank, cost_s)
            demand.add(priority, cost_s)
            capacity_ratio = capacity_ratios.get(service, 1.0)
            if capacity_ratio < _FULL_CAPACITY_RATIO:
                probability = min(
                    probability,
                    demand.admissible_fraction(priority, capacity_ratio))
        if probability >= 1.0:
            return 1.0
        return max(probability, _MIN_RELATIVE_SHARE * self._admitted_fraction())

    def admit(self, probability: float) -> bool:
        """Admits a request at random with the given probability."""
        self._requested += 1.0
        if probability < 1.0 and self._rng.random() >= probability:
            return False
        self._admitted += 1.0
        return True

    def _admitted_fraction(self) -> float:
        """Returns the recently admitted fraction of all requests."""
        return (self._admitted + 1.0) / (self._requested + 1.0)

    def _decay(self, now: float) -> None:
        age_s = now - self._decayed_at
        if age_s < _DECAY_INTERVAL_S:
            return
        self._decayed_at = now
        factor = math.exp(-age_s / _DECAY_TIME_S)
        self._requested *= factor
        self._admitted *= factor
        for service, demand in list(self._demand_by_service.items()):
            demand.decay(factor)
            if demand.total < _NEGLIGIBLE_DEMAND_S:
                del self._demand_by_service[service]
