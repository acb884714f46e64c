"""Hands out tokens of the shares that this process owns."""

import collections
from typing import Final

import msgspec

from apricothinge.rates import limiter

__all__ = ["Ask", "Give", "GrantReply", "GrantRequest", "Owner", "TTL_S"]

TTL_S: Final = 2.0
"""Longest time in seconds for which a node may spend granted tokens."""

_LARGEST_PART: Final = 0.5
_SHORTEST_RETRY_S: Final = 0.02
_LONGEST_RETRY_S: Final = 1.0


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """A node's wish for tokens of one organisation.

    Attributes:
        name: The organisation.
        holding: Tokens of this owner that the node still has.
        want: Tokens that it would like besides.
        waiting: Calls among them that wait at this moment.
        returned: Tokens that it had, and gives back unspent.
        spent: Seconds before the sending, and tokens spent by then, in order.
    """

    name: str
    holding: int
    want: int
    waiting: int = 0
    returned: int = 0
    spent: list[tuple[float, int]] = []

    def worth_sending(self) -> bool:
        """Tells whether it tells or asks anything."""
        return bool(self.want or self.holding or self.returned or self.spent)


class GrantRequest(msgspec.Struct, frozen=True, array_like=True):
    """All wishes of one node to one owner.

    Attributes:
        process: The node's instance and incarnation.
        sequence: Grows with each request of the process to this owner.
        asks: One for each organisation.
    """

    process: str
    sequence: int
    asks: list[Ask]


class Give(msgspec.Struct, frozen=True, array_like=True):
    """What one organisation gets.

    Attributes:
        name: The organisation.
        tokens: Tokens besides those the node has.
        ttl_s: Seconds from the sending of the request for which these and
            those that it has may be spent.
        retry_s: Seconds after which asking again is worth it.
    """

    name: str
    tokens: int
    ttl_s: float
    retry_s: float


class GrantReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers a GrantRequest."""

    sequence: int
    gives: list[Give]


class _Held:
    """Tokens that a node may still have.

    Attributes:
        tokens: Upper bound.
        expires_at: Time in seconds after which it surely has none.
    """

    __slots__ = ("tokens", "expires_at")

    def __init__(self) -> None:
        self.tokens = 0
        self.expires_at = 0.0


def _new_spans() -> collections.deque[tuple[float, float]]:
    return collections.deque()


class _Pool:
    """One owned share.

    What the bucket holds and what nodes may still have never add up to more
    than the burst, so no window of time admits more than burst and rate.

    Attributes:
        bucket: Rate and burst of the share, and what is left of it.
        held_by_process: What nodes may still have.
        ttl_s: Seconds that a grant may last now.
        blocked: Ends of spans and tokens that would have accrued in them but
            for what nodes seemed to have.
    """

    __slots__ = ("bucket", "held_by_process", "ttl_s", "blocked")

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        # It starts empty: the owner before may have handed out everything.
        self.bucket = limiter.TokenBucket(rate_per_s, burst, 0.0, now)
        self.held_by_process: dict[str, _Held] = {}
        self.ttl_s = TTL_S
        self.blocked = _new_spans()

    def _outstanding(self) -> int:
        return sum(held.tokens for held in self.held_by_process.values())

    def refill(self, now: float) -> None:
        """Adds what has accrued, below what nodes may still have."""
        due = sorted(held.expires_at
                     for held in self.held_by_process.values()
                     if held.expires_at <= now)
        for moment in due:
            self._accrue(moment)
            for process, held in list(self.held_by_process.items()):
                if held.expires_at <= moment:
                    del self.held_by_process[process]
        self._accrue(now)

    def _accrue(self, moment: float) -> None:
        rate = self.bucket.rate_per_s
        gained = max(0.0, moment - self.bucket.refilled_at) * rate
        wanted = self.bucket.level + gained
        self.bucket.refill(moment)
        room = max(0.0, self.bucket.burst - self._outstanding())
        self.bucket.level = min(self.bucket.level, room)
        if wanted - self.bucket.level > 0 and gained:
            self.blocked.append((moment, min(gained,
                                             wanted - self.bucket.level)))
        while self.blocked and self.blocked[0][0] < moment - 2 * TTL_S:
            self.blocked.popleft()

    def _take_spent(self, now: float, held: _Held, ask: Ask) -> None:
        """Gives back what accrued since tokens were spent.

        Between the spending and the news of it the bucket kept room for
        tokens that were gone. The ages count from the sending, so by this
        clock nothing is taken to be spent earlier than it was.
        """
        self._accrue(now)
        for age_s, count in ask.spent:
            spent = min(max(0, count), held.tokens - max(0, ask.holding))
            if spent <= 0:
                continue
            held.tokens -= spent
            self.bucket.level += self._unblock(now - max(0.0, age_s), spent)

    def _unblock(self, since: float, most: float) -> float:
        """Takes out tokens that were blocked after a time."""
        taken = 0.0
        kept = []
        while self.blocked and self.blocked[-1][0] > since and taken < most:
            end, tokens = self.blocked.pop()
            # A span's tokens are the last that accrued before its end.
            late = min(tokens, (end - since) * self.bucket.rate_per_s,
                       most - taken)
            taken += late
            if tokens > late:
                kept.append((end, tokens - late))
        self.blocked.extend(reversed(kept))
        return taken

    def give(self, now: float, process: str, ask: Ask) -> Give:
        """Answers one wish."""
        known = self.held_by_process.get(process)
        if known is not None and known.expires_at > now:
            self._take_spent(now, known, ask)
        self.refill(now)
        held = self.held_by_process.setdefault(process, _Held())
        before = held.tokens
        held.tokens = min(before, max(0, ask.holding))
        self.bucket.level += min(before - held.tokens, max(0, ask.returned))
        level = self.bucket.level + 1e-9
        tokens = max(0, min(ask.want, ask.waiting, int(level)))
        # Of what is only to be kept at hand, others may need some, too.
        tokens += max(
            0, min(ask.want - tokens, int((level - tokens) * _LARGEST_PART)))
        self.bucket.level -= tokens
        held.tokens += tokens
        held.expires_at = now + self.ttl_s
        return Give(ask.name, tokens, self.ttl_s, self._retry_s(ask, tokens))

    def _retry_s(self, ask: Ask, tokens: int) -> float:
        if tokens >= ask.want or self.bucket.level >= 1.0:
            return 0.0
        if self.bucket.rate_per_s <= 0:
            return _LONGEST_RETRY_S
        missing = max(0.0, 1.0 - self.bucket.level)
        return min(_LONGEST_RETRY_S,
                   max(_SHORTEST_RETRY_S, missing / self.bucket.rate_per_s))


class Owner:
    """The shares that this process hands out tokens of."""

    __slots__ = ("_pool_by_name", "_sequence_by_process")

    def __init__(self) -> None:
        self._pool_by_name: dict[str, _Pool] = {}
        self._sequence_by_process: dict[str, int] = {}

    def set_share(self, now: float, name: str, rate_per_s: float, burst: float,
                  ttl_s: float) -> None:
        """Takes over, changes or gives up a share.

        Args:
            now: Time in seconds.
            name: The organisation.
            rate_per_s: Tokens a second; 0 to give the share up.
            burst: Tokens at most.
            ttl_s: Seconds that a grant may last from now.
        """
        pool = self._pool_by_name.get(name)
        if pool is None:
            if rate_per_s > 0:
                pool = self._pool_by_name[name] = _Pool(rate_per_s, burst, now)
                pool.ttl_s = ttl_s
            return
        pool.refill(now)
        if (rate_per_s, burst) != (pool.bucket.rate_per_s, pool.bucket.burst):
            pool.bucket.resize(now, rate_per_s, burst)
            pool.blocked.clear()
            pool.refill(now)
        pool.ttl_s = ttl_s
        if rate_per_s <= 0 and not pool.held_by_process:
            del self._pool_by_name[name]

    def names(self) -> list[str]:
        """Returns the organisations whose shares are owned."""
        return list(self._pool_by_name)

    def answer(self, now: float, request: GrantRequest) -> GrantReply:
        """Answers a node; a request that was overtaken gets nothing."""
        last = self._sequence_by_process.get(request.process, -1)
        if request.sequence <= last:
            return GrantReply(request.sequence, [])
        self._sequence_by_process[request.process] = request.sequence
        gives = []
        for ask in request.asks:
            pool = self._pool_by_name.get(ask.name)
            if pool is None:
                gives.append(Give(ask.name, 0, 0.0, _LONGEST_RETRY_S))
                continue
            gives.append(pool.give(now, request.process, ask))
        return GrantReply(request.sequence, gives)

    def levels(self) -> dict[str, float]:
        """Tokens at hand by organisation."""
        return {
            name: pool.bucket.level
            for name, pool in self._pool_by_name.items()
        }
