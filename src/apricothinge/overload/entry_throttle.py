"""Early refusal at the entry, from what the nodes below have shed."""

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
    """The entry level of one organisation on one route.

    Attributes:
        requests: Requests of the last moments whose fate is known; decays.
        served: Those of them that nobody below shed; decays.
        window_completed: Requests let in whose fate became known in this window.
        window_served: Those of them that nobody below shed.
        headroom: How much more is let in than was served.
        window_started_at: Time in seconds at which the window began.
        last_request_at: Time in seconds of the last request.
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
        """The part that is let in, 0 to 1.

        Both counts are of what was asked for, so that refusing here does not
        make the level fall further, and it is open again as soon as less is
        asked for than was served.
        """
        return min(1.0, (self.headroom * self.served + _EXTRA_REQUESTS) /
                   max(1.0, self.requests))

    def roll_window(self, now: float) -> None:
        """Lets the past fade; grows bolder while all that got in is served."""
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
    """Refuses at the entry what a deeper service would refuse later.

    An answer says whether any node of its tree of calls shed a part of it.
    A flow, one organisation on one route, is let in at the rate at which its
    requests are served whole, and a little above, to find out when there is
    room for more. Adaptive throttling as in "Handling Overload", chapter 21
    of "Site Reliability Engineering" (Beyer et al., 2016), for whole trees.
    """

    __slots__ = ("_flows", "_random")

    def __init__(self, rng: random.Random) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._random = rng

    def admitted_fraction(self, organisation_id: str, route: str) -> float:
        """The part of a flow that is let in, 0 to 1."""
        flow = self._flows.get((organisation_id, route))
        return 1.0 if flow is None else flow.admitted_fraction()

    def admit(self, now: float, organisation_id: str, route: str) -> bool:
        """Decides on one request; report the outcome of each that is let in."""
        key = (organisation_id, route)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = _Flow(now)
        flow.roll_window(now)
        probability = flow.admitted_fraction()
        flow.last_request_at = now
        if probability < 1.0 and self._random.random() >= probability:
            flow.requests += 1.0
            return False
        return True

    def record_outcome(self, now: float, organisation_id: str, route: str,
                       served: bool) -> None:
        """Takes in the fate of a request that was let in.

        One whose caller hung up early tells nothing, and is not told of.

        Args:
            now: Time in seconds.
            organisation_id: The flow's organisation.
            route: The flow's route.
            served: Whether nobody below has shed a part of it.
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
        """Forgets flows of which nothing is heard any more."""
        for key, flow in list(self._flows.items()):
            if now - flow.last_request_at > _FLOW_TTL_S:
                del self._flows[key]

    def throttled_flows(self) -> dict[str, float]:
        """Levels below 1, by organisation and route, for the dump."""
        return {
            f"{key[0]} {key[1]}": round(flow.admitted_fraction(), 3)
            for key, flow in self._flows.items()
            if flow.admitted_fraction() < 1.0
        }
