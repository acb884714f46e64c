"""Rate limit tokens of the organisations, as cached by each node.

A fixed fraction of a small rate at each of many nodes would refuse requests
that happen to arrive in twos and threes at one node, while the fleet as a whole
is far below the limit. A single token server therefore grants tokens to the
nodes ahead of demand. A spent token stays allocated to its node until the spend
has left the sliding window. A node without a server then reuses the token, so
that it keeps its previous rate; a node with a server releases it.
"""

import collections
import math
from typing import Final

from apricothinge import runtime
from apricothinge.mesh import documents
from apricothinge.rates import limiter
from apricothinge.rates import loans

__all__ = ["LEASE_S", "TokenPool", "WINDOW_S", "window_tokens"]

# Length of the sliding window in which a rate and its burst are enforced.
WINDOW_S: Final = 5.0
# Longer than most times without a leader, in which a node goes on with its
# tokens, and short enough for others to use the tokens of a lost node soon.
LEASE_S: Final = 25.0
# A window may exceed rate and burst by 10% and 20 requests. The server grants
# this much of the excess; the rest is for nodes without a server.
_SERVER_WINDOW_FACTOR: Final = 1.07
_SERVER_WINDOW_EXTRA: Final = 12.0
_DETACHED_FRACTION: Final = 0.01
# Requests per second below which a demand is no longer followed.
_NEGLIGIBLE_DEMAND: Final = 0.01
_DEMAND_GAIN: Final = 0.3


def _nominal_window_tokens(organisation: documents.Organisation) -> float:
    return organisation.rate_per_s * WINDOW_S + organisation.burst


def window_tokens(organisation: documents.Organisation) -> float:
    """Returns the tokens that the server may allocate in any window."""
    return _nominal_window_tokens(
        organisation) * _SERVER_WINDOW_FACTOR + _SERVER_WINDOW_EXTRA


class _Account:
    """Token counts of one organisation at a node.

    Attributes:
        available: Unspent tokens.
        spent: Tokens spent since the node attached.
        expired: Released tokens whose spend left the window, since the node
            attached.
        returned: Tokens released unspent since the node attached.
        requests: Requests since the last tick.
        demand: Moving average of requests per second.
        window_size: Tokens in a window by the latest known rate and burst.
        detached_bucket: Limits requests beyond the held tokens while there is
            no server.
        recent_spends: Times in seconds of spends in the window, oldest first.
        recent_excess: Number of recent spends above a lowered limit, which are
            released rather than reused.
    """

    __slots__ = ("available", "spent", "expired", "returned", "requests",
                 "demand", "window_size", "detached_bucket", "recent_spends",
                 "recent_excess")

    def __init__(self, now: float) -> None:
        self.available = 0
        self.spent = 0
        self.expired = 0
        self.returned = 0
        self.requests = 0
        self.demand = 0.0
        self.window_size = 0.0
        self.detached_bucket = limiter.TokenBucket(0.0, 1.0, 0.0, now)
        self.recent_spends: collections.deque[float] = collections.deque()
        self.recent_excess = 0

    @property
    def idle(self) -> bool:
        """Whether nothing about it changes with time."""
        return not (self.requests or self.recent_spends or
                    self.demand > _NEGLIGIBLE_DEMAND)


class TokenPool:
    """Enforces the rates of the organisations at one node.

    Attributes:
        nodes: Latest known number of nodes in the fleet, which share the rate
            of requests allowed without a server.
    """

    __slots__ = ("nodes", "_account_by_name", "_lease_until", "_ticked_at",
                 "_tick_inputs")

    def __init__(self, now: float) -> None:
        self.nodes = 0
        self._account_by_name: dict[str, _Account] = {}
        self._lease_until = 0.0
        self._ticked_at = now
        self._tick_inputs: tuple[documents.CompiledDocument | None, bool,
                                 int] = (None, False, 0)

    def _account(self, now: float, name: str) -> _Account:
        account = self._account_by_name.get(name)
        if account is None:
            account = self._account_by_name[name] = _Account(now)
        return account

    # Exchange with the token server.

    def reset_counts(self) -> None:
        """Resets the counts for attaching to a server."""
        # Tokens of an expired lease must not be reported to the new server.
        self._expire_lease()
        for account in self._account_by_name.values():
            account.spent = 0
            account.expired = 0
            account.returned = 0

    def renew_lease(self, reported_at: float) -> None:
        """Extends the lease on the tokens after the server confirmed a report.

        Args:
            reported_at: `runtime.boottime_s` at which the confirmed report was sent.
        """
        self._lease_until = max(self._lease_until, reported_at + LEASE_S)

    def add(self, tokens_by_name: dict[str, int], now: float) -> None:
        """Adds tokens granted by the server."""
        for name, count in tokens_by_name.items():
            self._account(now, name).available += count

    def available(self) -> dict[str, int]:
        """Returns the unspent tokens by organisation."""
        self._expire_lease()
        return {
            name: account.available
            for name, account in self._account_by_name.items()
            if account.available
        }

    def recent_spends(self) -> dict[str, int]:
        """Returns the spent tokens not yet released, by organisation."""
        return {
            name: len(account.recent_spends)
            for name, account in self._account_by_name.items()
            if account.recent_spends
        }

    def counts(self) -> dict[str, tuple[int, int, int, float]]:
        """Returns the use of tokens since the node attached.

        Returns:
            By organisation: tokens spent, tokens released after leaving the
            window, tokens released unspent, and requests per second.
        """
        return {
            name: (account.spent, account.expired, account.returned,
                   round(account.demand,
                         1)) for name, account in self._account_by_name.items()
        }

    def _expire_lease(self) -> None:
        """Releases unspent tokens that the server may have reclaimed."""
        if runtime.boottime_s() < self._lease_until:
            return
        for account in self._account_by_name.values():
            account.returned += account.available
            account.available = 0

    # Requests.

    @staticmethod
    def _expire_spends(account: _Account, now: float, has_grants: bool) -> None:
        """Releases or reuses tokens whose spend has left the window."""
        while account.recent_spends and now - account.recent_spends[
                0] > WINDOW_S:
            account.recent_spends.popleft()
            if has_grants or account.recent_excess:
                account.expired += 1
                account.recent_excess = max(0, account.recent_excess - 1)
            else:
                # No other node holds it: the server counts it as allocated to
                # this node until a report releases it or the lease has long
                # expired.
                account.spent -= 1
                account.available += 1

    def tick(self, now: float, compiled: documents.CompiledDocument | None,
             has_grants: bool) -> None:
        """Updates the demand, expires spends and applies the desired state.

        Args:
            now: Time in seconds.
            compiled: The desired state in force.
            has_grants: Whether a server is attached and grants tokens.
        """
        if compiled is None:
            return
        self._expire_lease()
        span_s = now - self._ticked_at
        if span_s <= 0:
            return
        self._ticked_at = now
        gain = 1.0 - math.exp(-span_s * _DEMAND_GAIN * 2)
        inputs = (compiled, has_grants, self.nodes)
        changed = inputs != self._tick_inputs
        self._tick_inputs = inputs
        for name, organisation in compiled.organisation_by_name.items():
            account = self._account(now, name)
            # In a large fleet most organisations have no callers here.
            if not changed and account.idle:
                continue
            account.demand += gain * (account.requests / span_s -
                                      account.demand)
            account.requests = 0
            self._expire_spends(account, now, has_grants)
            self._set_window_size(account, _nominal_window_tokens(organisation))
            rate = _DETACHED_FRACTION * account.window_size / WINDOW_S / max(
                1, self.nodes)
            self._resize_detached_bucket(now, account.detached_bucket,
                                         0.0 if has_grants else rate)

    @staticmethod
    def _resize_detached_bucket(now: float, bucket: limiter.TokenBucket,
                                rate: float) -> None:
        """Sets the rate of requests allowed without a server, 0 with one."""
        was_attached = not bucket.rate_per_s
        bucket.resize(now, rate, 1.0 if rate else 0.0)
        if was_attached:
            # All nodes start at the same moment, so together they must not have
            # more than the share of one window.
            bucket.level = min(bucket.burst, rate * WINDOW_S)

    @staticmethod
    def _set_window_size(account: _Account, window_size: float) -> None:
        """Sets the window size; releases the tokens above a lowered limit."""
        if window_size < account.window_size:
            kept = int(account.available * window_size / account.window_size)
            account.returned += account.available - kept
            account.available = kept
            spent = len(account.recent_spends)
            account.recent_excess = spent - int(
                spent * window_size / account.window_size)
        account.window_size = window_size

    def count_request(self, now: float,
                      organisation: documents.Organisation) -> None:
        """Counts a request towards the demand."""
        self._account(now, organisation.name).requests += 1

    def take(self, now: float, organisation: documents.Organisation,
             has_grants: bool) -> bool:
        """Spends a token; returns False if none is available."""
        if self.take_held(now, organisation, has_grants):
            return True
        return not has_grants and self.take_unrecorded(now, organisation)

    def take_held(self, now: float, organisation: documents.Organisation,
                  has_grants: bool) -> bool:
        """Spends a token that this node holds; `refund` returns it."""
        if organisation.rate_per_s <= 0:
            return True
        account = self._account(now, organisation.name)
        if not account.available:
            self._expire_spends(account, now, has_grants)
        if account.available and runtime.boottime_s() < self._lease_until:
            account.available -= 1
            account.spent += 1
            account.recent_spends.append(now)
            return True
        return False

    def take_unrecorded(self, now: float,
                        organisation: documents.Organisation) -> bool:
        """Spends from the share that each node has without a server.

        Such a token is in no account, so `refund` must not return it.
        """
        return self._account(now, organisation.name).detached_bucket.take(now)

    def lend(self, now: float, name: str, count: int) -> int:
        """Gives another node tokens and returns how many.

        They count as spent when their validity ends, the latest moment at which
        the other node may spend them.

        Args:
            now: Time in seconds.
            name: Name of the organisation.
            count: Number of tokens that the other node asks for.
        """
        account = self._account_by_name.get(name)
        if account is None or runtime.boottime_s() >= self._lease_until:
            return 0
        given = loans.loan_size(account.available, account.demand, count)
        account.available -= given
        account.spent += given
        account.recent_spends.extend([now + loans.LOAN_VALID_S] * given)
        return given

    def demand(self, name: str) -> float:
        """Returns the requests per second of an organisation at this node."""
        account = self._account_by_name.get(name)
        return 0.0 if account is None else account.demand

    def refund(self, organisation: documents.Organisation) -> None:
        """Returns the token of a request that did not run."""
        account = self._account_by_name.get(organisation.name)
        if account is not None and account.recent_spends:
            account.recent_spends.pop()
            account.spent -= 1
            account.available += 1
