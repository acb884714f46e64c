"""Decides which requests a process that is being stopped still takes on.

Load: callers send to a process for some seconds after it was told to stop, as
they notice late or have no other one. It ends at a fixed time, and what runs
then is cut.
"""

import math
from typing import Final

__all__ = ["Drain", "ResponseTimes"]

# Callers need up to two probes of one second to notice that the process is not
# ready, and the platform expects it to take requests for that long.
_MAX_ACCEPT_S: Final = 3.0
_ACCEPT_FRACTION: Final = 0.5
# Left for the last responses and the exit of the process, which a busy machine
# delays; less of a short grace period, relative to it.
_MAX_EXIT_S: Final = 0.5
_EXIT_FRACTION: Final = 0.125
# A refusal may have to come from another node first.
_MIN_EXPECTED_S: Final = 0.25
# An upstream that enforces the deadline itself responds shortly after it.
_RESPONSE_SLACK_S: Final = 0.1
_GAIN: Final = 0.1
# A process of a node is ready again this long after it has ended.
_RESTART_S: Final = 0.75
_MAX_JITTER_S: Final = 0.5
_MAX_ROUTES: Final = 1024


class Drain:
    """The time left to a process that is being stopped.

    The signal may have waited before it was noticed, and the process is killed
    a fixed time after it. So what it takes on is measured from the earliest
    time of the signal; what runs already goes on until the latest.

    Attributes:
        signalled_at: Earliest time in seconds of the signal.
        cuts_at: Latest time in seconds at which it cuts what still runs.
        exit_s: Seconds left to the process from then on.
    """

    __slots__ = ("signalled_at", "cuts_at", "exit_s", "_ends_at",
                 "_accepts_until")

    def __init__(self, signalled_at: float, noticed_at: float,
                 grace_s: float) -> None:
        """Creates the plan of a stop.

        Args:
            signalled_at: Earliest time in seconds of the signal.
            noticed_at: Time in seconds at which the process has noticed it.
            grace_s: Seconds after the signal at which the process is killed.
        """
        self.signalled_at = signalled_at
        self.exit_s = min(_MAX_EXIT_S, grace_s * _EXIT_FRACTION)
        self.cuts_at = noticed_at + grace_s - self.exit_s
        self._ends_at = signalled_at + grace_s - self.exit_s
        self._accepts_until = signalled_at + min(_MAX_ACCEPT_S,
                                                 grace_s * _ACCEPT_FRACTION)

    def accepts(self, now: float, deadline: float, expected_s: float) -> bool:
        """Returns whether to take on a request of a caller.

        Args:
            now: Time in seconds.
            deadline: Time in seconds at which the request ends in any case.
            expected_s: Its expected response time in seconds. A refused caller
                can only come back to the next process on this machine, so a
                request that is more likely than not to be answered is taken.
        """
        start_by = self.start_by(deadline, expected_s)
        return now <= start_by and (now < self._accepts_until or
                                    start_by == math.inf)

    def start_by(self, deadline: float, expected_s: float) -> float:
        """Returns the latest time in seconds to send a request to an upstream.

        Infinite for a request that ends by its own deadline before the process
        does, as that can't be cut. Nested calls of requests that end in time
        are mostly of this kind.

        Args:
            deadline: Time in seconds at which the request ends in any case.
            expected_s: Its expected response time in seconds.
        """
        if deadline + _RESPONSE_SLACK_S <= self._ends_at:
            return math.inf
        return self._ends_at - max(expected_s, _MIN_EXPECTED_S)

    def retry_after_s(self, now: float, jitter: float) -> float:
        """Returns seconds until the next process on this machine is ready.

        A caller that returned earlier would only find this process again.

        Args:
            now: Time in seconds.
            jitter: Random number from 0 to 1; keeps the callers apart.
        """
        return self.cuts_at - now + _RESTART_S + _MAX_JITTER_S * jitter

    def end(self, now: float) -> None:
        """Ends the drain early; no further request is taken on."""
        self.cuts_at = min(self.cuts_at, now)
        self._ends_at = min(self._ends_at, now)
        self._accepts_until = min(self._accepts_until, now)


class ResponseTimes:
    """Moving averages of the response times by route."""

    __slots__ = ("_mean_s_by_route",)

    def __init__(self) -> None:
        self._mean_s_by_route: dict[str, float] = {}

    def record(self, route: str, took_s: float) -> None:
        """Records how long a request took that an upstream has answered."""
        mean_s = self._mean_s_by_route.get(route)
        if mean_s is not None:
            self._mean_s_by_route[route] = mean_s + _GAIN * (took_s - mean_s)
        elif len(self._mean_s_by_route) < _MAX_ROUTES:
            self._mean_s_by_route[route] = took_s

    def mean_s(self, route: str, default_s: float) -> float:
        """Returns the average of a route, or a default if it is unknown."""
        return self._mean_s_by_route.get(route, default_s)
