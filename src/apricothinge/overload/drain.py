"""Decides which requests a process that is being stopped still takes on.

Load: callers send to a process for some seconds after it was told to stop, as
they notice late or have no other one. It ends at a fixed time, and what runs
then is cut.
"""

from typing import Final

__all__ = ["Drain", "ResponseTimes"]

# Callers need up to two probes of one second to notice that the process is not
# ready, and the platform expects it to take requests for that long.
_MAX_ACCEPT_S: Final = 3.0
_ACCEPT_FRACTION: Final = 0.5
# The rest of the grace period is left for the process to exit.
_GRACE_FRACTION: Final = 0.95
# A refusal may have to come from another node first.
_MIN_EXPECTED_S: Final = 0.25
# An upstream that enforces the deadline itself responds shortly after it.
_RESPONSE_SLACK_S: Final = 0.1
_GAIN: Final = 0.1
_DEVIATIONS: Final = 2.0
_MAX_ROUTES: Final = 1024


class Drain:
    """The time left to a process that is being stopped.

    Attributes:
        signalled_at: Earliest time in seconds at which it can have been told to
            stop. What it takes on has to end within the grace period from then.
        cuts_at: Time in seconds at which it cuts what still runs.
    """

    __slots__ = ("signalled_at", "cuts_at", "_ends_at", "_accepts_until")

    def __init__(self, signalled_at: float, noticed_at: float,
                 grace_s: float) -> None:
        """Creates the plan of a stop.

        Args:
            signalled_at: Earliest time in seconds of the signal.
            noticed_at: Time in seconds at which the process has noticed it.
            grace_s: Seconds after the signal at which the process is killed.
        """
        self.signalled_at = signalled_at
        self.cuts_at = noticed_at + grace_s * _GRACE_FRACTION
        self._ends_at = signalled_at + grace_s * _GRACE_FRACTION
        self._accepts_until = signalled_at + min(_MAX_ACCEPT_S,
                                                 grace_s * _ACCEPT_FRACTION)

    def accepts(self, now: float, deadline: float, expected_s: float) -> bool:
        """Returns whether to take on a request of a caller.

        Args:
            now: Time in seconds.
            deadline: Time in seconds at which the request ends in any case.
            expected_s: Upper estimate of its response time in seconds.
        """
        if deadline + _RESPONSE_SLACK_S <= self._ends_at:
            # It can't be cut. Nested calls of requests that end in time are
            # mostly of this kind.
            return True
        return now < self._accepts_until and now <= self.start_by(expected_s)

    def start_by(self, expected_s: float) -> float:
        """Returns the latest time to send a request to an upstream."""
        return self._ends_at - max(expected_s, _MIN_EXPECTED_S)

    def end(self, now: float) -> None:
        """Ends the drain early; no further request is taken on."""
        self.cuts_at = min(self.cuts_at, now)
        self._ends_at = min(self._ends_at, now)
        self._accepts_until = min(self._accepts_until, now)


class _ResponseTime:
    """Response time of one route.

    Attributes:
        mean_s: Moving average in seconds.
        deviation_s: Moving average of the distance from it in seconds.
    """

    __slots__ = ("mean_s", "deviation_s")

    def __init__(self, mean_s: float) -> None:
        self.mean_s = mean_s
        self.deviation_s = mean_s / 2


class ResponseTimes:
    """Upper estimates of the response times by route.

    The mean and its deviation are averaged as TCP does for its retransmission
    timeout (RFC 6298).
    """

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: dict[str, _ResponseTime] = {}

    def record(self, route: str, took_s: float) -> None:
        """Records how long a request took that an upstream has answered."""
        found = self._by_route.get(route)
        if found is not None:
            error_s = took_s - found.mean_s
            found.mean_s += _GAIN * error_s
            found.deviation_s += _GAIN * (abs(error_s) - found.deviation_s)
        elif len(self._by_route) < _MAX_ROUTES:
            self._by_route[route] = _ResponseTime(took_s)

    def upper_s(self, route: str, default_s: float) -> float:
        """Returns what most requests stay below, or a default if unknown."""
        found = self._by_route.get(route)
        if found is None:
            return default_s
        return found.mean_s + _DEVIATIONS * found.deviation_s
