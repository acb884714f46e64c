"""Adaptive throttling at the entry, driven by downstream load shedding."""

import math
import random
from typing import Final

__all__ = ["EntryThrottle"]

_DECAY_TIME_S: Final = 0.5
_WINDOW_S: Final = 0.1
_MIN_HEADROOM: Final = 1.04
_HEADROOM_GROWTH: Final = 1.5
_MAX_HEADROOM: Final = 3.0
_EXTRA_REQUESTS: Final = 1.0
_FULLY_SERVED_FRACTION: Final = 0.97
_FLOW_TTL_S: Final = 10.0


class _Flow:
    """Throttling state of one organisation on one route.

    Attributes:
        requests: Decayed count of requests with a known outcome, including
            those refused here.
        served: Decayed count of those that no downstream node shed.
        window_completed: Admitted requests completed in the current window.
        window_served: Those of them that no downstream node shed.
        headroom: Ratio of the admitted rate to the served rate.
        window_started_at: Start of the current window, in seconds.
        last_request_at: Time of the last request, in seconds.
    """

    __slots__ = ("requests", "served", "window_completed", "window_served",
                 "headroom", "window_started_at", "last_request_at")

    def __init__(self, now: float) -> None:
        self.requests = 0.0
        self.served = 0.0
        self.window_completed = 0
        self.window_served = 0
        self.headroom = _MIN_HEADROOM
        self.window_started_at = now
        self.last_request_at = now

    def admitted_fraction(self) -> float:
        """Returns the fraction of requests to admit, 0 to 1.

        Requests refused here count as demand and not as failures to serve, so
        refusals do not lower the fraction further. It returns to 1 as soon as
        fewer requests arrive than were served.
        """
        return min(1.0, (self.headroom * self.served + _EXTRA_REQUESTS) /
                   max(1.0, self.requests))

    def roll_window(self, now: float) -> None:
        """Decays the counts; raises the headroom while requests are served."""
        age = now - self.window_started_at
        if age < _WINDOW_S:
            return
        decay = math.exp(-age / _DECAY_TIME_S)
        self.requests *= decay
        self.served *= decay
        if self.window_completed:
            fully_served = (self.window_served
                            >= _FULLY_SERVED_FRACTION * self.window_completed)
            self.headroom = (min(_MAX_HEADROOM, 1.0 +
                                 (self.headroom - 1.0) * _HEADROOM_GROWTH)
                             if fully_served else _MIN_HEADROOM)
        self.window_completed = 0
        self.window_served = 0
        self.window_started_at = now


class EntryThrottle:
    """Refuses requests at the entry that a downstream service would shed.

    Each response reports whether any node in its call tree shed a nested call.
    A flow, one organisation on one route, is admitted slightly above the rate
    at which its requests are served completely, so that freed capacity is
    detected. This applies the adaptive throttling of "Handling Overload",
    chapter 21 of "Site Reliability Engineering" (Beyer et al., 2016), to whole
    call trees.
    """

    __slots__ = ("_flows", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._rng = rng

    def admitted_fraction(self, organisation_id: str, route: str) -> float:
        """Returns the fraction of a flow that is admitted, 0 to 1."""
        flow = self._flows.get((organisation_id, route))
        return 1.0 if flow is None else flow.admitted_fraction()

    def admit(self, now: float, organisation_id: str, route: str) -> bool:
        """Admits or refuses a request.

        The caller reports each admitted request to `record_outcome`.
        """
        key = (organisation_id, route)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = _Flow(now)
        flow.roll_window(now)
        probability = flow.admitted_fraction()
        flow.last_request_at = now
        if probability < 1.0 and self._rng.random() >= probability:
            flow.requests += 1.0
            return False
        return True

    def record_outcome(self, now: float, organisation_id: str, route: str,
                       served: bool) -> None:
        """Records the outcome of an admitted request.

        Requests whose caller disconnected early carry no information and are
        not reported.

        Args:
            now: Current time in seconds.
            organisation_id: Organisation of the flow.
            route: Route of the flow.
            served: Whether no downstream node shed a nested call of it.
        """
        flow = self._flows.get((organisation_id, route))
        if flow is None:
            return
        flow.roll_window(now)
        flow.requests += 1.0
        flow.window_completed += 1
        if served:
            flow.served += 1.0
            flow.window_served += 1

    def tick(self, now: float) -> None:
        """Drops flows without recent requests."""
        for key, flow in list(self._flows.items()):
            if now - flow.last_request_at > _FLOW_TTL_S:
                del self._flows[key]

    def throttled_flows(self) -> dict[str, float]:
        """Returns admitted fractions below 1 by flow, for the dump."""
        return {
            f"{key[0]} {key[1]}": round(flow.admitted_fraction(), 3)
            for key, flow in self._flows.items()
            if flow.admitted_fraction() < 1.0
        }
