"""Pacing of the requests to an upstream that is warming up."""

import math

from apricothinge.rates import limiter

__all__ = ["ColdStartLimit", "ColdStartLimiter"]


class ColdStartLimit:
    """What the upstreams of a service take while they are cold.

    Attributes:
        warm_up_s: Seconds that an upstream is cold after its start.
        rate_per_s: Requests per second that it takes meanwhile; 0 for no limit.
        burst: Requests that it takes at once beyond the rate.
    """

    __slots__ = ("warm_up_s", "rate_per_s", "burst")

    def __init__(self, warm_up_s: float, rate_per_s: float,
                 burst: float) -> None:
        self.warm_up_s = warm_up_s
        self.rate_per_s = rate_per_s
        self.burst = burst


class ColdStartLimiter:
    """Token bucket that applies while an upstream is cold.

    Handles a service whose instances all restart at once under the usual load:
    without a limit each is overrun and crashes again before it is warm.

    Requests are counted while the upstream is warm, too. An upstream that turns
    cold under load has no burst left, and one that was idle has the whole.
    """

    __slots__ = ("_limit", "_bucket", "_reported_until", "_assumed_until")

    def __init__(self, now: float) -> None:
        """Starts without a limit.

        Args:
            now: Time in seconds. A process before this one may have sent
                requests just now, so the bucket starts empty.
        """
        self._limit = ColdStartLimit(0.0, 0.0, 0.0)
        self._bucket = limiter.TokenBucket(0.0, 0.0, 0.0, now)
        self._reported_until = -math.inf
        self._assumed_until = -math.inf

    def configure(self, now: float, limit: ColdStartLimit) -> None:
        """Applies the limit of the service that the upstream provides."""
        self._limit = limit
        self._bucket.resize(now, limit.rate_per_s, max(1.0, limit.burst))

    def set_cold(self, now: float, cold_s: float) -> None:
        """Sets for how many more seconds the upstream reports to be cold."""
        self._reported_until = now + cold_s

    def assume_cold(self, now: float) -> None:
        """Assumes that the upstream is cold for as long as after a start.

        Reports do not shorten that, as they may be from before.
        """
        self._assumed_until = now + self._limit.warm_up_s

    def start_lifetime(self) -> None:
        """Drops the assumption, as the upstream reports for itself again."""
        self._assumed_until = -math.inf

    def remaining_s(self, now: float) -> float:
        """Returns for how many more seconds the upstream is cold."""
        return max(0.0, self._reported_until - now, self._assumed_until - now)

    def rate(self, now: float) -> float:
        """Returns the requests per second that it takes; 0 for no limit."""
        if now >= self._reported_until and now >= self._assumed_until:
            return 0.0
        return self._limit.rate_per_s

    def has_token(self, now: float) -> bool:
        """Returns whether a request may be sent."""
        if not self.rate(now):
            return True
        self._bucket.refill(now)
        return self._bucket.level >= 1.0

    def take(self, now: float) -> None:
        """Counts a request that is sent."""
        self._bucket.refill(now)
        self._bucket.level = max(0.0, self._bucket.level - 1.0)

    def give_back(self) -> None:
        """Discounts a request that was counted and not sent."""
        self._bucket.level = min(self._bucket.burst, self._bucket.level + 1.0)

    def wait_s(self, now: float, ahead: int) -> float:
        """Returns seconds until there is a token for a request.

        Args:
            now: Time in seconds.
            ahead: Number of requests that are sent before it.
        """
        rate = self.rate(now)
        if not rate:
            return 0.0
        self._bucket.refill(now)
        wait_s = max(0.0, (ahead + 1 - self._bucket.level) / rate)
        return min(wait_s, self.remaining_s(now))
