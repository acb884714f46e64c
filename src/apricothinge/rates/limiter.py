"""The point where a call at the entry is charged to its organisation."""

import abc

__all__ = ["LocalRateLimiter", "RateLimit", "RateLimiter", "TokenBucket"]


class TokenBucket:
    """A token bucket.

    Attributes:
        rate_per_s: Tokens that are added in a second.
        burst: Tokens at most.
        level: Tokens now.
        filled_at: Time in seconds of the last refill.
    """

    __slots__ = ("rate_per_s", "burst", "level", "refilled_at")

    def __init__(self, rate_per_s: float, burst: float, level: float,
                 now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(level, burst)
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Adds what has accrued."""
        gained = max(0.0, now - self.refilled_at) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self.refilled_at = max(self.refilled_at, now)

    def resize(self, now: float, rate_per_s: float, burst: float) -> None:
        """Changes rate and burst; the level never rises by it."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Takes tokens if all of them are there."""
        self.refill(now)
        # Sums of small gains fall short of a whole by rounding.
        if self.level + 1e-9 < tokens:
            return False
        self.level -= tokens
        return True


class RateLimit:
    """A rate and a burst, counted over the whole fleet.

    Attributes:
        rate_per_s: Calls a second.
        burst: Calls at most at one moment.
    """

    __slots__ = ("rate_per_s", "burst")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst


class RateLimiter(abc.ABC):
    """Charges calls to organisations."""

    __slots__ = ()

    @abc.abstractmethod
    def try_acquire(self, now: float, name: str) -> bool:
        """Charges one call; False where the rate is exceeded."""

    @abc.abstractmethod
    async def acquire(self, name: str) -> bool:
        """Charges one call that `take` refused, if tokens can be had."""

    @abc.abstractmethod
    def configure(self, now: float, rates: dict[str, RateLimit]) -> None:
        """Sets the rates of all names; names that are left out are dropped."""

    @abc.abstractmethod
    def levels(self) -> dict[str, float]:
        """Returns the tokens at hand by name."""


class LocalRateLimiter(RateLimiter):
    """One exact bucket a name, for a fleet of one entry."""

    __slots__ = ("_bucket_by_name",)

    def __init__(self) -> None:
        self._bucket_by_name: dict[str, TokenBucket] = {}

    def try_acquire(self, now: float, name: str) -> bool:
        bucket = self._bucket_by_name.get(name)
        return bucket is not None and bucket.take(now)

    async def acquire(self, name: str) -> bool:
        del name
        return False

    def configure(self, now: float, rates: dict[str, RateLimit]) -> None:
        for name, rate in rates.items():
            bucket = self._bucket_by_name.get(name)
            if bucket is None:
                self._bucket_by_name[name] = TokenBucket(
                    rate.rate_per_s, rate.burst, rate.burst, now)
                continue
            bucket.resize(now, rate.rate_per_s, rate.burst)
        for name in set(self._bucket_by_name) - set(rates):
            del self._bucket_by_name[name]

    def levels(self) -> dict[str, float]:
        return {
            name: bucket.level for name, bucket in self._bucket_by_name.items()
        }
