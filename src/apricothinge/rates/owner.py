"""Grants tokens from the shares that this process owns."""

import collections
from typing import Final

import msgspec

from apricothinge.rates import limiter

__all__ = [
    "GRANT_TTL_S", "GrantReply", "GrantRequest", "ShareOwner", "TokenGrant",
    "TokenRequest"
]

GRANT_TTL_S: Final = 2.0
"""Maximum time in seconds for which a node may spend granted tokens."""

_MAX_PREFETCH_FRACTION: Final = 0.5
_MIN_RETRY_S: Final = 0.02
_MAX_RETRY_S: Final = 1.0


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """A node's request for tokens of one organisation.

    Attributes:
        name: The organisation.
        holding: Unspent tokens of this owner that the node keeps.
        wanted: Additional tokens requested.
        waiting: How many of `wanted` are for calls that wait now.
        returned: Unspent tokens that the node gives back.
        spent: Pairs of seconds before sending and the number of tokens spent
            by then, oldest first.
    """

    name: str
    holding: int
    wanted: int
    waiting: int = 0
    returned: int = 0
    spent: list[tuple[float, int]] = []

    def worth_sending(self) -> bool:
        """Returns whether the request carries any information."""
        return bool(self.wanted or self.holding or self.returned or self.spent)


class GrantRequest(msgspec.Struct, frozen=True, array_like=True):
    """All token requests of one node to one owner.

    Attributes:
        process: The node's instance and incarnation.
        sequence: Increases with each request of the process to this owner.
        token_requests: One for each organisation.
    """

    process: str
    sequence: int
    token_requests: list[TokenRequest]


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """The tokens granted to a node for one organisation.

    Attributes:
        name: The organisation.
        tokens: Tokens granted in addition to those the node holds.
        ttl_s: Seconds after sending the request during which the new and the
            held tokens may be spent.
        retry_s: Seconds to wait before the next request.
    """

    name: str
    tokens: int
    ttl_s: float
    retry_s: float


class GrantReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a GrantRequest."""

    sequence: int
    grants: list[TokenGrant]


class _Outstanding:
    """Tokens that a node may still hold.

    Attributes:
        tokens: Upper bound on the tokens held.
        expires_at: Time in seconds after which the node can hold none.
    """

    __slots__ = ("tokens", "expires_at")

    def __init__(self) -> None:
        self.tokens = 0
        self.expires_at = 0.0


def _new_spans() -> collections.deque[tuple[float, float]]:
    return collections.deque()


class _OwnedShare:
    """The bucket of one owned share and the tokens granted from it.

    The tokens in the bucket and those that nodes may still hold never add up
    to more than the burst, so no time window admits more than the burst plus
    what the rate allows.

    Attributes:
        bucket: Tokens of the share that are not granted.
        outstanding_by_process: Tokens that nodes may still hold.
        ttl_s: Lifetime in seconds of a grant made now.
        withheld: Pairs of the end of a time span and the number of tokens that
            did not accrue in it because nodes were assumed to hold tokens.
    """

    __slots__ = ("bucket", "outstanding_by_process", "ttl_s", "withheld")

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        # Starts empty, as the previous owner may have granted every token.
        self.bucket = limiter.TokenBucket(rate_per_s, burst, 0.0, now)
        self.outstanding_by_process: dict[str, _Outstanding] = {}
        self.ttl_s = GRANT_TTL_S
        self.withheld = _new_spans()

    def _outstanding_tokens(self) -> int:
        return sum(outstanding.tokens
                   for outstanding in self.outstanding_by_process.values())

    def refill(self, now: float) -> None:
        """Adds accrued tokens, keeping room for those that nodes may hold."""
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
        """Restores tokens that were withheld for tokens already spent.

        The bucket keeps room for granted tokens until it learns that they were
        spent. Ages are measured when the request is sent, so network delay can
        only make a token seem spent later than it was, never earlier.
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
        """Removes up to `limit` tokens withheld after `since`; returns them."""
        total = 0.0
        kept = []
        while self.withheld and self.withheld[-1][0] > since and total < limit:
            end, tokens = self.withheld.pop()
            # A span's tokens are the last that would accrue before its end.
            reclaimed = min(tokens, (end - since) * self.bucket.rate_per_s,
                            limit - total)
            total += reclaimed
            if tokens > reclaimed:
                kept.append((end, tokens - reclaimed))
        self.withheld.extend(reversed(kept))
        return total

    def grant(self, now: float, process: str,
              request: TokenRequest) -> TokenGrant:
        """Grants tokens for one organisation."""
        earlier = self.outstanding_by_process.get(process)
        if earlier is not None and earlier.expires_at > now:
            self._credit_spent(now, earlier, request)
        self.refill(now)
        outstanding = self.outstanding_by_process.setdefault(
            process, _Outstanding())
        previous_tokens = outstanding.tokens
        outstanding.tokens = min(previous_tokens, max(0, request.holding))
        self.bucket.level += min(previous_tokens - outstanding.tokens,
                                 max(0, request.returned))
        level = self.bucket.level + 1e-9
        tokens = max(0, min(request.wanted, request.waiting, int(level)))
        # Prefetching gets only a part, as other nodes may need tokens too.
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
    """Grants tokens from all shares that this process owns."""

    __slots__ = ("_share_by_name", "_sequence_by_process")

    def __init__(self) -> None:
        self._share_by_name: dict[str, _OwnedShare] = {}
        self._sequence_by_process: dict[str, int] = {}

    def set_share(self, now: float, name: str, rate_per_s: float, burst: float,
                  ttl_s: float) -> None:
        """Adds, resizes or gives up a share.

        Args:
            now: Time in seconds.
            name: The organisation.
            rate_per_s: Tokens per second; 0 to give up the share.
            burst: Maximum number of tokens.
            ttl_s: Lifetime in seconds of grants made from now on.
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
        """Returns the organisations with a share here, even if given up."""
        return list(self._share_by_name)

    def answer(self, now: float, request: GrantRequest) -> GrantReply:
        """Answers a request; one overtaken by a later one gets no tokens."""
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
        """Returns the ungranted tokens by organisation."""
        return {
            name: share.bucket.level
            for name, share in self._share_by_name.items()
        }
