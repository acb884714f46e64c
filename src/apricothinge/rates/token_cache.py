"""Tokens granted to a node, cached per owner, and its demand estimate."""

import math
from typing import Final

from apricothinge.rates import owner

__all__ = ["TokenCache"]

_TARGET_DEMAND_S: Final = 0.5
_TARGET_BURST_FRACTION: Final = 0.125
_SPENT_SPAN_S: Final = 0.02
_REPORT_AFTER_S: Final = 0.5
_MIN_EXHAUSTED_S: Final = 0.03
_MAX_EXHAUSTED_S: Final = 0.2
_IDLE_RATE_PER_S: Final = 0.01
_RENEW_FRACTION: Final = 0.5
_MIN_PREFETCH_RATE_PER_S: Final = 2.0
_DEMAND_WINDOW_S: Final = 0.25
_DECREASE_GAIN: Final = 0.4
_EXCESS_FACTOR: Final = 2


class _OwnerTokens:
    """Tokens granted by one owner.

    Attributes:
        tokens: Unspent tokens.
        expires_at: Time in seconds at which the tokens expire.
        retry_at: Time in seconds before which the owner is not asked again.
        spent: Pairs of the end of a short time span and the number of tokens
            spent in it, not yet reported to the owner.
    """

    __slots__ = ("tokens", "expires_at", "retry_at", "spent")

    def __init__(self) -> None:
        self.tokens = 0
        self.expires_at = 0.0
        self.retry_at = 0.0
        self.spent: list[tuple[float, int]] = []

    def spend(self, now: float) -> None:
        """Spends one token and records when."""
        self.tokens -= 1
        if self.spent and self.spent[-1][0] > now:
            end, count = self.spent[-1]
            self.spent[-1] = (end, count + 1)
            return
        self.spent.append((now + _SPENT_SPAN_S, 1))

    def drain_spent(self, now: float) -> list[tuple[float, int]]:
        """Returns and clears the ages and counts of spent tokens."""
        spent, self.spent = self.spent, []
        return [(max(0.0, now - end), count) for end, count in spent]


class TokenCache:
    """Cached tokens and estimated demand of one organisation at one node.

    Attributes:
        rate_per_s: The organisation's rate limit across the whole fleet.
        burst: The organisation's burst across the whole fleet.
        demand_per_s: Estimated calls per second arriving at this node.
        waiting: Number of calls waiting for a token.
        exhausted_until: Time in seconds before which no owner is expected to
            have tokens.
    """

    __slots__ = ("rate_per_s", "burst", "demand_per_s", "waiting",
                 "exhausted_until", "_tokens_by_owner", "_calls_in_window",
                 "_window_started_at")

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.demand_per_s = 0.0
        self.waiting = 0
        self.exhausted_until = 0.0
        self._tokens_by_owner: dict[str, _OwnerTokens] = {}
        self._calls_in_window = 0
        self._window_started_at = now

    def tokens_from(self, now: float, process: str) -> int:
        """Returns the unexpired tokens granted by one owner."""
        held = self._tokens_by_owner.get(process)
        if held is None or held.expires_at <= now:
            return 0
        return held.tokens

    def tokens(self, now: float) -> int:
        """Returns the unexpired tokens granted by all owners."""
        return sum(held.tokens
                   for held in self._tokens_by_owner.values()
                   if held.expires_at > now)

    def record_call(self) -> None:
        """Counts one call towards the demand estimate."""
        self._calls_in_window += 1

    def spend(self, now: float) -> bool:
        """Spends one token of the owner whose tokens expire first."""
        best: _OwnerTokens | None = None
        for held in self._tokens_by_owner.values():
            if held.tokens < 1 or held.expires_at <= now:
                continue
            if best is None or held.expires_at < best.expires_at:
                best = held
        if best is None:
            return False
        best.spend(now)
        return True

    def target_tokens(self) -> int:
        """Returns the number of tokens to keep cached."""
        if self.demand_per_s < _MIN_PREFETCH_RATE_PER_S:
            return 0
        steady = min(self.demand_per_s, self.rate_per_s) * _TARGET_DEMAND_S
        # Limits the cache, as held tokens keep owners from accruing new ones.
        return math.ceil(min(steady, self.burst * _TARGET_BURST_FRACTION))

    def is_low(self, now: float) -> bool:
        """Returns whether more tokens should be requested now."""
        target = self.target_tokens()
        soon = now + owner.GRANT_TTL_S * _RENEW_FRACTION / 2
        lasting = sum(held.tokens
                      for held in self._tokens_by_owner.values()
                      if held.expires_at > soon)
        return bool(target) and lasting < target * _RENEW_FRACTION

    def build_request(self, now: float, name: str,
                      process: str) -> owner.TokenRequest:
        """Builds a request to one owner; pass its grant to `add_grant`.

        Tokens of that owner can still be spent before the reply arrives, so
        the request states only what is held at this moment.
        """
        wanted = max(0, self.target_tokens() + self.waiting - self.tokens(now))
        returned = min(self.tokens_from(now, process), self.excess(now))
        if returned:
            self._tokens_by_owner[process].tokens -= returned
        held = self._tokens_by_owner.get(process)
        spent = [] if held is None else held.drain_spent(now)
        return owner.TokenRequest(name, self.tokens_from(now, process), wanted,
                                  self.waiting, returned, spent)

    def excess(self, now: float) -> int:
        """Returns the number of cached tokens to give back to owners."""
        return max(
            0,
            self.tokens(now) - _EXCESS_FACTOR * (self.target_tokens() + 1))

    def owner_with_tokens(self, now: float) -> str | None:
        """Returns an owner to which unspent tokens can be returned."""
        for process, held in self._tokens_by_owner.items():
            if held.tokens and held.expires_at > now:
                return process
        return None

    def add_grant(self, sent_at: float, now: float, process: str,
                  grant: owner.TokenGrant) -> None:
        """Adds the tokens that an owner granted.

        Args:
            sent_at: Time in seconds at which the request was sent.
            now: Time in seconds.
            process: The owner.
            grant: The granted tokens.
        """
        held = self._tokens_by_owner.setdefault(process, _OwnerTokens())
        if held.expires_at <= now:
            held.tokens = 0
            held.spent.clear()
        held.tokens += grant.tokens
        held.expires_at = sent_at + grant.ttl_s
        held.retry_at = now + grant.retry_s
        if held.expires_at <= now:
            held.tokens = 0

    def record_failure(self, now: float, process: str, wait_s: float) -> None:
        """Backs off from an owner that did not reply."""
        self._tokens_by_owner.setdefault(process,
                                         _OwnerTokens()).retry_at = now + wait_s

    def can_request(self, now: float, process: str) -> bool:
        """Returns whether an owner may be asked again now."""
        held = self._tokens_by_owner.get(process)
        return held is None or held.retry_at <= now

    def owner_with_unreported(self, now: float) -> str | None:
        """Returns an owner that is due a report of its spent tokens."""
        for process, held in self._tokens_by_owner.items():
            if (held.spent and held.expires_at > now and
                    held.spent[0][0] < now - _REPORT_AFTER_S):
                return process
        return None

    def next_retry_at(self, now: float) -> float:
        """Returns when to ask again after no owner had tokens."""
        soonest = min(
            (held.retry_at for held in self._tokens_by_owner.values()),
            default=now)
        return min(now + _MAX_EXHAUSTED_S, max(now + _MIN_EXHAUSTED_S, soonest))

    def is_idle(self, now: float) -> bool:
        """Returns whether there is no demand and no unexpired token."""
        return (self.demand_per_s < _IDLE_RATE_PER_S and not self.waiting and
                not self.tokens(now))

    def tick(self, now: float) -> None:
        """Updates the demand estimate and drops owners with expired tokens."""
        age = now - self._window_started_at
        if age < _DEMAND_WINDOW_S:
            return
        rate = self._calls_in_window / age
        # Follows rising demand at once and falling demand gradually.
        gain = 1.0 if rate > self.demand_per_s else _DECREASE_GAIN
        self.demand_per_s += gain * (rate - self.demand_per_s)
        self._calls_in_window = 0
        self._window_started_at = now
        for process, held in list(self._tokens_by_owner.items()):
            if held.expires_at <= now and held.retry_at <= now:
                del self._tokens_by_owner[process]
