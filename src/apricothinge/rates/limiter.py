"""Token buckets and the rate limiter interface used at the entry."""

import abc

__all__ = ["LocalRateLimiter", "RateLimit", "RateLimiter", "TokenBucket"]


class TokenBucket:
    """A token bucket that is refilled whenever it is used.

    Attributes:
        rate_per_s: Tokens added per second.
        burst: Maximum number of tokens.
        level: Tokens available as of the last refill.
        refilled_at: Time in seconds of the last refill.
    """

    __slots__ = ("rate_per_s", "burst", "level", "refilled_at")

    def __init__(self, rate_per_s: float, burst: float, level: float,
                 now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(level, burst)
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Adds the tokens accrued since the last refill."""
        gained = max(0.0, now - self.refilled_at) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self.refilled_at = max(self.refilled_at, now)

    def resize(self, now: float, rate_per_s: float, burst: float) -> None:
        """Changes rate and burst without raising the level."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Takes the tokens if all of them are available."""
        self.refill(now)
        # Rounding leaves a sum of small refills just below a whole token.
        if self.level + 1e-9 < tokens:
            return False
        self.level -= tokens
        return True


class RateLimit:
    """The rate and burst allowed across the whole fleet.

    Attributes:
        rate_per_s: Calls per second.
        burst: Maximum number of calls admitted at one moment.
    """

    __slots__ = ("rate_per_s", "burst")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst


class RateLimiter(abc.ABC):
    """Limits the rate of calls per organisation or open route."""

    __slots__ = ()

    @abc.abstractmethod
    def try_acquire(self, now: float, name: str) -> bool:
        """Takes one token without waiting; returns False if none is left."""

    @abc.abstractmethod
    async def acquire(self, name: str) -> bool:
        """Waits for a token after `try_acquire` failed; False if none comes."""

    @abc.abstractmethod
    def configure(self, now: float, rates: dict[str, RateLimit]) -> None:
        """Replaces the limits of all names; drops names not in `rates`."""

    @abc.abstractmethod
    def levels(self) -> dict[str, float]:
        """Returns the available tokens by name."""


class LocalRateLimiter(RateLimiter):
    """One exact bucket per name, for a fleet with a single entry node."""

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
