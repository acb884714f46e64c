"""What requests cost the services below, as all nodes tell one another."""

from typing import Final

from apricothinge.link import frames
from apricothinge.overload import callgraph

__all__ = ["CostTable", "LocalCosts"]

# Within this part a cost differs from second to second without a reason.
_TOLERANCE: Final = 0.25
_HOLD_GAIN: Final = 0.05
_LARGEST_ROUTES: Final = 64
_FORGET_AFTER_S: Final = 30.0


class CostTable:
    """Costs by the service that runs a route.

    Nodes of one service learn much the same; the latest that told counts.
    """

    __slots__ = ("_by_name",)

    def __init__(self) -> None:
        self._by_name: dict[tuple[str, str], callgraph.Costs] = {}

    def put(self, message: frames.Costs) -> None:
        """Takes in what a node has told."""
        for route, costs in message.by_route.items():
            self._by_name[message.service, route] = costs

    def of(self, service: str, route: str) -> callgraph.Costs:
        """Slot seconds of each service for a request; empty if unknown."""
        return self._by_name.get((service, route), {})


class _Held:
    """For how long a route holds a slot.

    Attributes:
        hold_s: Smoothed seconds, with the time of nested calls.
        seen_at: Time in seconds of the last run.
    """

    __slots__ = ("hold_s", "seen_at")

    def __init__(self, hold_s: float, seen_at: float) -> None:
        self.hold_s = hold_s
        self.seen_at = seen_at


class LocalCosts:
    """Learns what the routes cost that run on the upstream of this node."""

    __slots__ = ("_table", "_counts", "_held_by_route", "_told", "service")

    def __init__(self, table: CostTable, now: float) -> None:
        self._table = table
        self._counts = callgraph.CallCountEstimator(now)
        self._held_by_route: dict[str, _Held] = {}
        self._told: dict[str, callgraph.Costs] = {}
        self.service = ""

    def started(self, route: str) -> None:
        """Takes in that the upstream begins a run."""
        self._counts.record_start_or_end(route)

    def ended(self, now: float, route: str, held_s: float) -> None:
        """Takes in that a run has held a slot for some seconds."""
        self._counts.record_start_or_end(route)
        found = self._held_by_route.get(route)
        if found is not None:
            found.hold_s += _HOLD_GAIN * (held_s - found.hold_s)
            found.seen_at = now
        elif len(self._held_by_route) < _LARGEST_ROUTES:
            self._held_by_route[route] = _Held(held_s, now)

    def hold_s(self, route: str, otherwise_s: float) -> float:
        """How long a run on a route holds a slot, where that is known."""
        found = self._held_by_route.get(route)
        return otherwise_s if found is None else found.hold_s

    def called(self, service: str, route: str) -> None:
        """Takes in that the upstream makes a call."""
        self._counts.record_call(service, route)

    def message(self) -> frames.Costs:
        """What the other nodes are told."""
        return frames.Costs(self.service, self._told)

    def tick(self, now: float) -> bool:
        """Adds up costs once a second; tells whether any has changed."""
        if not self._counts.tick(now) or not self._counts.has_enough_data:
            # A route whose calls are not known yet must not look like one
            # that makes none: its runs would be repeated too often.
            return False
        for route, found in list(self._held_by_route.items()):
            if now - found.seen_at > _FORGET_AFTER_S:
                del self._held_by_route[route]
        calls_by_route = self._counts.calls_per_run()
        costs_by_route = {
            route:
                callgraph.total_costs(
                    {self.service: found.hold_s},
                    [(count, self._table.of(*name))
                     for name, count in calls_by_route.get(route, {}).items()])
            for route, found in self._held_by_route.items()
        }
        same = costs_by_route.keys() == self._told.keys() and all(
            callgraph.is_close(costs, self._told[route], _TOLERANCE)
            for route, costs in costs_by_route.items())
        if same:
            return False
        self._told = {
            route: {
                service: round(cost_s, 4) for service, cost_s in costs.items()
            } for route, costs in costs_by_route.items()
        }
        self._table.put(self.message())
        return True
