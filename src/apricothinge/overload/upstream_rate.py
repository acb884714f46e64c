"""Spacing of the requests to an upstream that names the rate it takes."""

from typing import Final

__all__ = ["UpstreamRateLimiter"]

# Tokens for this many seconds may be saved up, as requests come unevenly.
_BURST_S: Final = 0.25
# Responses may overtake one another, so one that names no rate ends the limit
# only after no other has named one for this long.
_LIFT_AFTER_S: Final = 1.0
# Responses are what shows that an upstream takes requests again, so some are
# sent even to one that takes none.
_MIN_RATE: Final = 0.5


class UpstreamRateLimiter:
    """Token bucket at the rate that an upstream names in its responses.

    Handles an upstream that takes fewer requests per second than its slots
    allow, from all senders together, for as long as it says so.

    Attributes:
        rate: Requests per second that the upstream takes; 0 for no limit.
    """

    __slots__ = ("rate", "_tokens", "_refilled_at", "_named_at")

    def __init__(self) -> None:
        self.rate = 0.0
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._named_at = 0.0

    def set_rate(self, now: float, rate: float) -> None:
        """Applies the rate that a response names, 0 or more."""
        if not self.rate:
            # The requests of the last seconds count against the rate too.
            self._tokens = 0.0
            self._refilled_at = now
        self._named_at = now
        self._refill(now)
        self.rate = max(_MIN_RATE, rate)

    def handle_no_rate(self, now: float) -> None:
        """Ends the limit if a response names none and others do not either."""
        if self.rate and now - self._named_at >= _LIFT_AFTER_S:
            self.rate = 0.0

    def reset(self) -> None:
        """Ends the limit."""
        self.rate = 0.0

    def try_take(self, now: float) -> bool:
        """Takes a token for one request; returns False if there is none."""
        if not self.rate:
            return True
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Returns the token of a request that was not sent."""
        self._tokens += 1.0

    def wait_s(self, ahead: int) -> float:
        """Returns seconds until there is a token for a request.

        Args:
            ahead: Number of requests that are sent before it.
        """
        if not self.rate:
            return 0.0
        return max(0.0, (ahead + 1 - self._tokens) / self.rate)

    def _refill(self, now: float) -> None:
        burst = max(1.0, self.rate * _BURST_S)
        self._tokens = min(burst,
                           self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
