"""Hands out tokens of the shares that this process owns."""

import collections
from typing import Final

import msgspec

from apricothinge.rates import limiter

__all__ = [
    "GRANT_TTL_S", "GrantReply", "GrantRequest", "ShareOwner", "TokenGrant",
    "TokenRequest"
]

GRANT_TTL_S: Final = 2.0
"""Longest time in seconds for which a node may spend granted tokens."""

_MAX_PREFETCH_FRACTION: Final = 0.5
_MIN_RETRY_S: Final = 0.02
_MAX_RETRY_S: Final = 1.0


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
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
    wanted: int
    waiting: int = 0
    returned: int = 0
    spent: list[tuple[float, int]] = []

    def worth_sending(self) -> bool:
        """Tells whether it tells or asks anything."""
        return bool(self.wanted or self.holding or self.returned or self.spent)


class GrantRequest(msgspec.Struct, frozen=True, array_like=True):
    """All wishes of one node to one owner.

    Attributes:
        process: The node's instance and incarnation.
        sequence: Grows with each request of the process to this owner.
        asks: One for each organisation.
    """

    process: str
    sequence: int
    token_requests: list[TokenRequest]


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
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
    grants: list[TokenGrant]


class _Outstanding:
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


class _OwnedShare:
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

    __slots__ = ("bucket", "outstanding_by_process", "ttl_s", "withheld")

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        # It starts empty: the owner before may have handed out everything.
        self.bucket = limiter.TokenBucket(rate_per_s, burst, 0.0, now)
        self.outstanding_by_process: dict[str, _Outstanding] = {}
        self.ttl_s = GRANT_TTL_S
        self.withheld = _new_spans()

    def _outstanding_tokens(self) -> int:
        return sum(outstanding.tokens
                   for outstanding in self.outstanding_by_process.values())

    def refill(self, now: float) -> None:
        """Adds what has accrued, below what nodes may still have."""
        expiries = sorted(
            outstanding.expires_at
            for outstanding in self.outstanding_by_process.values()
            if outstanding.expires_at <= now)
        for moment in expiries:
            self._accrue(moment)
            for process, outstanding in list(
                    self.outstanding_by_process.items()):
                if outstanding.expires_at <= moment:
                    del self.outstanding_by_process[process]
        self._accrue(now)

    def _accrue(self, moment: float) -> None:
        rate = self.bucket.rate_per_s
        gained = max(0.0, moment - self.bucket.refilled_at) * rate
        uncapped_level = self.bucket.level + gained
        self.bucket.refill(moment)
        room = max(0.0, self.bucket.burst - self._outstanding_tokens())
        self.bucket.level = min(self.bucket.level, room)
        if uncapped_level - self.bucket.level > 0 and gained:
            self.withheld.append(
                (moment, min(gained, uncapped_level - self.bucket.level)))
        while self.withheld and self.withheld[0][0] < moment - 2 * GRANT_TTL_S:
            self.withheld.popleft()

    def _credit_spent(self, now: float, outstanding: _Outstanding,
                      request: TokenRequest) -> None:
        """Gives back what accrued since tokens were spent.

        Between the spending and the news of it the bucket kept room for
        tokens that were gone. The ages count from the sending, so by this
        clock nothing is taken to be spent earlier than it was.
        """
        self._accrue(now)
        for age_s, count in request.spent:
            spent = min(max(0, count),
                        outstanding.tokens - max(0, request.holding))
            if spent <= 0:
                continue
            outstanding.tokens -= spent
            self.bucket.level += self._reclaim_withheld(now - max(0.0, age_s),
                                                        spent)

    def _reclaim_withheld(self, since: float, limit: float) -> float:
        """Takes out tokens that were blocked after a time."""
        total = 0.0
        kept = []
        while self.withheld and self.withheld[-1][0] > since and total < limit:
            end, tokens = self.withheld.pop()
            # A span's tokens are the last that accrued before its end.
            reclaimed = min(tokens, (end - since) * self.bucket.rate_per_s,
                            limit - total)
            total += reclaimed
            if tokens > reclaimed:
                kept.append((end, tokens - reclaimed))
        self.withheld.extend(reversed(kept))
        return total

    def grant(self, now: float, process: str,
              request: TokenRequest) -> TokenGrant:
        """Answers one wish."""
        earlier = self.outstanding_by_process.get(process)
        if earlier is not None and earlier.expires_at > now:
            self._credit_spent(now, earlier, request)
        self.refill(now)
        outstanding = self.outstanding_by_process.setdefault(
            process, _Outstanding())
        before = outstanding.tokens
        outstanding.tokens = min(before, max(0, request.holding))
        self.bucket.level += min(before - outstanding.tokens,
                                 max(0, request.returned))
        level = self.bucket.level + 1e-9
        tokens = max(0, min(request.wanted, request.waiting, int(level)))
        # Of what is only to be kept at hand, others may need some, too.
        tokens += max(
            0,
            min(request.wanted - tokens,
                int((level - tokens) * _MAX_PREFETCH_FRACTION)))
        self.bucket.level -= tokens
        outstanding.tokens += tokens
        outstanding.expires_at = now + self.ttl_s
        return TokenGrant(request.name, tokens, self.ttl_s,
                          self._retry_s(request, tokens))

    def _retry_s(self, request: TokenRequest, tokens: int) -> float:
        if tokens >= request.wanted or self.bucket.level >= 1.0:
            return 0.0
        if self.bucket.rate_per_s <= 0:
            return _MAX_RETRY_S
        missing = max(0.0, 1.0 - self.bucket.level)
        return min(_MAX_RETRY_S,
                   max(_MIN_RETRY_S, missing / self.bucket.rate_per_s))


class ShareOwner:
    """The shares that this process hands out tokens of."""

    __slots__ = ("_share_by_name", "_sequence_by_process")

    def __init__(self) -> None:
        self._share_by_name: dict[str, _OwnedShare] = {}
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
        share = self._share_by_name.get(name)
        if share is None:
            if rate_per_s > 0:
                share = self._share_by_name[name] = _OwnedShare(
                    rate_per_s, burst, now)
                share.ttl_s = ttl_s
            return
        share.refill(now)
        if (rate_per_s, burst) != (share.bucket.rate_per_s, share.bucket.burst):
            share.bucket.resize(now, rate_per_s, burst)
            share.withheld.clear()
            share.refill(now)
        share.ttl_s = ttl_s
        if rate_per_s <= 0 and not share.outstanding_by_process:
            del self._share_by_name[name]

    def names(self) -> list[str]:
        """Returns the organisations whose shares are owned."""
        return list(self._share_by_name)

    def answer(self, now: float, request: GrantRequest) -> GrantReply:
        """Answers a node; a request that was overtaken gets nothing."""
        last = self._sequence_by_process.get(request.process, -1)
        if request.sequence <= last:
            return GrantReply(request.sequence, [])
        self._sequence_by_process[request.process] = request.sequence
        grants = []
        for token_request in request.token_requests:
            share = self._share_by_name.get(token_request.name)
            if share is None:
                grants.append(
                    TokenGrant(token_request.name, 0, 0.0, _MAX_RETRY_S))
                continue
            grants.append(share.grant(now, request.process, token_request))
        return GrantReply(request.sequence, grants)

    def levels(self) -> dict[str, float]:
        """Tokens at hand by organisation."""
        return {
            name: share.bucket.level
            for name, share in self._share_by_name.items()
        }
