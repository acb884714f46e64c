"""Tokens that a node has been granted, and its demand for more."""

import math
from typing import Final

from apricothinge.rates import owner

__all__ = ["Purse"]

_HOLD_S: Final = 0.5
_HOLD_PART: Final = 0.125
_SPAN_S: Final = 0.02
_REPORT_AFTER_S: Final = 0.5
_SHORTEST_REFUSAL_S: Final = 0.03
_LONGEST_REFUSAL_S: Final = 0.2
_IDLE_RATE_PER_S: Final = 0.01
_RENEW_PART: Final = 0.5
_STEADY_RATE_PER_S: Final = 2.0
_WINDOW_S: Final = 0.25
_GAIN: Final = 0.4
_KEEP_FACTOR: Final = 2


class _Holding:
    """Tokens of one owner.

    Attributes:
        tokens: Calls that may still be admitted.
        expires_at: Time in seconds after which none may.
        retry_at: Time in seconds before which the owner has no more.
        spent: Ends of short spans of time, and tokens spent in each, since
            the owner was last told.
    """

    __slots__ = ("tokens", "expires_at", "retry_at", "spent")

    def __init__(self) -> None:
        self.tokens = 0
        self.expires_at = 0.0
        self.retry_at = 0.0
        self.spent: list[tuple[float, int]] = []

    def spend(self, now: float) -> None:
        """Takes one token, and notes when."""
        self.tokens -= 1
        if self.spent and self.spent[-1][0] > now:
            end, count = self.spent[-1]
            self.spent[-1] = (end, count + 1)
            return
        self.spent.append((now + _SPAN_S, 1))

    def take_spent(self, now: float) -> list[tuple[float, int]]:
        """Returns ages and counts of what was spent, and forgets them."""
        spent, self.spent = self.spent, []
        return [(max(0.0, now - end), count) for end, count in spent]


class Purse:
    """One organisation at one node.

    Attributes:
        rate_per_s: The organisation's rate over the whole fleet.
        demand_per_s: Calls a second that are asked for at this node.
        waiting: Calls that wait for tokens.
        refused_until: Time in seconds until which no owner has tokens.
    """

    __slots__ = ("rate_per_s", "burst", "demand_per_s", "waiting",
                 "refused_until", "_by_owner", "_asked", "_window_at")

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.demand_per_s = 0.0
        self.waiting = 0
        self.refused_until = 0.0
        self._by_owner: dict[str, _Holding] = {}
        self._asked = 0
        self._window_at = now

    def holding(self, now: float, process: str) -> int:
        """Tokens of one owner that may be spent now."""
        found = self._by_owner.get(process)
        if found is None or found.expires_at <= now:
            return 0
        return found.tokens

    def tokens(self, now: float) -> int:
        """Tokens of all owners that may be spent now."""
        return sum(found.tokens
                   for found in self._by_owner.values()
                   if found.expires_at > now)

    def count(self) -> None:
        """Counts one call that is asked for."""
        self._asked += 1

    def spend(self, now: float) -> bool:
        """Takes one token, of the grant that ends first."""
        best: _Holding | None = None
        for found in self._by_owner.values():
            if found.tokens < 1 or found.expires_at <= now:
                continue
            if best is None or found.expires_at < best.expires_at:
                best = found
        if best is None:
            return False
        best.spend(now)
        return True

    def target(self) -> int:
        """Tokens that should be at hand."""
        if self.demand_per_s < _STEADY_RATE_PER_S:
            return 0
        steady = min(self.demand_per_s, self.rate_per_s) * _HOLD_S
        # What nodes hold can not accrue at the owners.
        return math.ceil(min(steady, self.burst * _HOLD_PART))

    def is_low(self, now: float) -> bool:
        """Tells whether it is time to ask for more."""
        target = self.target()
        soon = now + owner.GRANT_TTL_S * _RENEW_PART / 2
        lasting = sum(found.tokens
                      for found in self._by_owner.values()
                      if found.expires_at > soon)
        return bool(target) and lasting < target * _RENEW_PART

    def ask(self, now: float, name: str, process: str) -> owner.TokenRequest:
        """Puts a wish to one owner; the reply must be given to `receive`.

        Until then the tokens of that owner stay spendable, so the wish says
        no more than what is held at this moment.
        """
        want = max(0, self.target() + self.waiting - self.tokens(now))
        returned = min(self.holding(now, process), self.excess(now))
        if returned:
            self._by_owner[process].tokens -= returned
        found = self._by_owner.get(process)
        spent = [] if found is None else found.take_spent(now)
        return owner.TokenRequest(name, self.holding(now, process), want,
                                  self.waiting, returned, spent)

    def excess(self, now: float) -> int:
        """Tokens that others may need more."""
        return max(0, self.tokens(now) - _KEEP_FACTOR * (self.target() + 1))

    def owner_with_tokens(self, now: float) -> str | None:
        """Returns an owner whose tokens are at hand, to give some back."""
        for process, found in self._by_owner.items():
            if found.tokens and found.expires_at > now:
                return process
        return None

    def receive(self, sent_at: float, now: float, process: str,
                give: owner.TokenGrant) -> None:
        """Takes in an owner's answer.

        Args:
            sent_at: Time in seconds at which the wish was sent.
            now: Time in seconds.
            process: The owner.
            give: What it gave.
        """
        found = self._by_owner.setdefault(process, _Holding())
        if found.expires_at <= now:
            found.tokens = 0
            found.spent.clear()
        found.tokens += give.tokens
        found.expires_at = sent_at + give.ttl_s
        found.retry_at = now + give.retry_s
        if found.expires_at <= now:
            found.tokens = 0

    def failed(self, now: float, process: str, wait_s: float) -> None:
        """Takes in that an owner did not answer."""
        self._by_owner.setdefault(process, _Holding()).retry_at = now + wait_s

    def may_ask(self, now: float, process: str) -> bool:
        """Tells whether asking an owner is worth it now."""
        found = self._by_owner.get(process)
        return found is None or found.retry_at <= now

    def unreported(self, now: float) -> str | None:
        """Returns an owner that should hear what was spent of its tokens."""
        for process, found in self._by_owner.items():
            if (found.spent and found.expires_at > now and
                    found.spent[0][0] < now - _REPORT_AFTER_S):
                return process
        return None

    def next_chance(self, now: float) -> float:
        """When asking is worth it again, after every owner had nothing."""
        soonest = min((found.retry_at for found in self._by_owner.values()),
                      default=now)
        return min(now + _LONGEST_REFUSAL_S,
                   max(now + _SHORTEST_REFUSAL_S, soonest))

    def idle(self, now: float) -> bool:
        """Tells whether nothing is asked for and nothing is held."""
        return (self.demand_per_s < _IDLE_RATE_PER_S and not self.waiting and
                not self.tokens(now))

    def tick(self, now: float) -> None:
        """Closes the window of demand, and forgets owners of old."""
        age = now - self._window_at
        if age < _WINDOW_S:
            return
        rate = self._asked / age
        # Demand is followed up at once, and down with care.
        gain = 1.0 if rate > self.demand_per_s else _GAIN
        self.demand_per_s += gain * (rate - self.demand_per_s)
        self._asked = 0
        self._window_at = now
        for process, found in list(self._by_owner.items()):
            if found.expires_at <= now and found.retry_at <= now:
                del self._by_owner[process]
