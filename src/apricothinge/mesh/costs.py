"""Costs of requests to the services they lead to, exchanged by the nodes."""

from typing import Final

from apricothinge.link import frames
from apricothinge.overload import callgraph

__all__ = ["CostTable", "LocalCosts"]

# Relative differences up to this are noise between one second and the next.
_TOLERANCE: Final = 0.25
# Each publication goes to all nodes with a link. First estimates change soon.
_MIN_PUBLISH_INTERVAL_S: Final = 4.0
_EARLY_PUBLICATIONS: Final = 8
_HOLD_TIME_GAIN: Final = 0.05
_MAX_ROUTES: Final = 64
_ROUTE_EXPIRY_S: Final = 30.0


class CostTable:
    """Costs of each route of each service.

    The nodes of one service measure nearly the same costs, so the latest
    message replaces earlier ones.
    """

    __slots__ = ("_costs_by_route", "_calls_by_route")

    def __init__(self) -> None:
        self._costs_by_route: dict[tuple[str, str], callgraph.Costs] = {}
        self._calls_by_route: dict[tuple[str, str], dict[str, float]] = {}

    def put(self, message: frames.Costs) -> None:
        """Stores the costs that a node has published."""
        for route, costs in message.by_route.items():
            self._costs_by_route[message.service, route] = costs
        for route, calls in message.calls_by_route.items():
            self._calls_by_route[message.service, route] = calls

    def get(self, service: str, route: str) -> callgraph.Costs:
        """Returns slot seconds by service for one request; empty if unknown."""
        return self._costs_by_route.get((service, route), {})

    def calls(self, service: str, route: str) -> dict[str, float]:
        """Returns the calls of one request by service, including itself."""
        return self._calls_by_route.get((service, route), {service: 1.0})


class _HoldTime:
    """How long a request on a route holds a slot.

    Attributes:
        hold_s: Moving average in seconds, including nested calls.
        last_run_at: Time in seconds of the latest run.
    """

    __slots__ = ("hold_s", "last_run_at")

    def __init__(self, hold_s: float, last_run_at: float) -> None:
        self.hold_s = hold_s
        self.last_run_at = last_run_at


class LocalCosts:
    """Measures the costs of the routes that run on the local upstream.

    Attributes:
        service: Service of the local upstream.
    """

    __slots__ = ("_cost_table", "_counts", "_hold_time_by_route", "_published",
                 "_published_at", "_publications", "_calls", "service")

    def __init__(self, cost_table: CostTable, now: float) -> None:
        self._cost_table = cost_table
        self._counts = callgraph.CallCountEstimator(now)
        self._hold_time_by_route: dict[str, _HoldTime] = {}
        self._published: dict[str, callgraph.Costs] = {}
        self._calls: dict[str, dict[str, float]] = {}
        self._published_at = now
        self._publications = 0
        self.service = ""

    def record_start(self, route: str) -> None:
        """Records that the upstream has started a request."""
        self._counts.record_start_or_end(route)

    def record_end(self, now: float, route: str, held_s: float) -> None:
        """Records that a request has ended, which held a slot for `held_s`."""
        self._counts.record_start_or_end(route)
        found = self._hold_time_by_route.get(route)
        if found is not None:
            found.hold_s += _HOLD_TIME_GAIN * (held_s - found.hold_s)
            found.last_run_at = now
        elif len(self._hold_time_by_route) < _MAX_ROUTES:
            self._hold_time_by_route[route] = _HoldTime(held_s, now)

    def hold_s(self, route: str, default_s: float) -> float:
        """Returns the average hold time of a route, or the default."""
        found = self._hold_time_by_route.get(route)
        return default_s if found is None else found.hold_s

    def record_call(self, service: str, route: str) -> None:
        """Records that the upstream has made a call."""
        self._counts.record_call(service, route)

    def message(self) -> frames.Costs:
        """Returns the message with the latest published costs."""
        return frames.Costs(self.service, self._published, self._calls)

    def tick(self, now: float) -> bool:
        """Recomputes costs once a second; returns whether any has changed."""
        if not self._counts.tick(now) or not self._counts.has_enough_data:
            # A route whose calls are not known yet must not appear to make
            # none, as its requests would then be retried too often.
            return False
        for route, found in list(self._hold_time_by_route.items()):
            if now - found.last_run_at > _ROUTE_EXPIRY_S:
                del self._hold_time_by_route[route]
        if (self._publications >= _EARLY_PUBLICATIONS and
                now - self._published_at < _MIN_PUBLISH_INTERVAL_S and
                self._hold_time_by_route.keys() == self._published.keys()):
            return False
        calls_by_route = self._counts.calls_per_run()
        costs_by_route = {
            route:
                callgraph.total_costs(
                    {self.service: found.hold_s},
                    [(count, self._cost_table.get(*name))
                     for name, count in calls_by_route.get(route, {}).items()])
            for route, found in self._hold_time_by_route.items()
        }
        tree_calls_by_route = {
            route:
                callgraph.total_costs(
                    {self.service: 1.0},
                    [(count, self._cost_table.calls(*name))
                     for name, count in calls_by_route.get(route, {}).items()])
            for route in self._hold_time_by_route
        }
        unchanged = costs_by_route.keys() == self._published.keys() and all(
            callgraph.is_close(costs, self._published[route], _TOLERANCE)
            for route, costs in costs_by_route.items()) and all(
                callgraph.is_close(calls, self._calls.get(route, {}),
                                   _TOLERANCE)
                for route, calls in tree_calls_by_route.items())
        if unchanged:
            return False
        self._published = {
            route: {
                service: round(cost_s, 4) for service, cost_s in costs.items()
            } for route, costs in costs_by_route.items()
        }
        self._calls = {
            route: {
                service: round(count, 2) for service, count in calls.items()
            } for route, calls in tree_calls_by_route.items()
        }
        self._published_at = now
        self._publications += 1
        self._cost_table.put(self.message())
        return True
