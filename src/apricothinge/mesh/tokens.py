"""Tokens of the organisations' rates, held in stock by each node.

Answers small rates over many nodes: a part of a rate that is fixed for a node
is refused to requests that come by chance in twos and threes, while the fleet
as a whole is far from its limit. Tokens are therefore handed out by one server,
ahead of demand. A token that was spent stays with its node until it has left
the sliding window. A node that has lost its server then spends it once more,
so it goes on at the rate that it had; one with a server gives it up.
"""

import collections
import math
import time
from typing import Final

from apricothinge.mesh import documents
from apricothinge.rates import gate

__all__ = ["LEASE_S", "TokenPool", "WINDOW_S", "boottime_s", "window_tokens"]

# The span over which a rate and its burst are counted.
WINDOW_S: Final = 5.0
# Longer than the cuts that occur often, and short enough that what a lost
# node held is soon used by others.
LEASE_S: Final = 10.0
# The bound on a window is a tenth and 20 requests above rate and burst; the
# server hands out this much of it, and the rest is for nodes that are cut off.
_SERVER_WINDOW_FACTOR: Final = 1.07
_SERVER_WINDOW_EXTRA: Final = 12.0
_DETACHED_FRACTION: Final = 0.03
_DEMAND_GAIN: Final = 0.3


def boottime_s() -> float:
    """Seconds on a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _nominal_window_tokens(organisation: documents.Organisation) -> float:
    return organisation.rate_per_s * WINDOW_S + organisation.burst


def window_tokens(organisation: documents.Organisation) -> float:
    """Tokens of an organisation that may be spent within any window."""
    return _nominal_window_tokens(
        organisation) * _SERVER_WINDOW_FACTOR + _SERVER_WINDOW_EXTRA


class _Account:
    """One organisation at a node.

    Attributes:
        available: Tokens at hand.
        spent: Tokens spent since the node attached.
        expired: Spent tokens that left the window since the node attached.
        returned: Tokens given up unspent since the node attached.
        requests: Requests since the last look.
        demand: Smoothed requests per second.
        window_size: Whole tokens of the organisation in a window, as last known.
        detached_bucket: Tokens for the time without a server.
        recent_spends: Times in seconds at which tokens were spent, oldest first.
        recent_excess: How many of those a lowered limit leaves out.
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
        self.detached_bucket = gate.Bucket(0.0, 1.0, 1.0, now)
        self.recent_spends: collections.deque[float] = collections.deque()
        self.recent_excess = 0


class TokenPool:
    """Decides whether a request is inside its organisation's rate.

    Attributes:
        nodes: Nodes in the fleet as last told, which share what is spent
            without a server.
    """

    __slots__ = ("nodes", "_account_by_name", "_lease_until", "_ticked_at")

    def __init__(self, now: float) -> None:
        self.nodes = 0
        self._account_by_name: dict[str, _Account] = {}
        self._lease_until = 0.0
        self._ticked_at = now

    def _account(self, now: float, name: str) -> _Account:
        account = self._account_by_name.get(name)
        if account is None:
            account = self._account_by_name[name] = _Account(now)
        return account

    # The server.

    def reset_counts(self) -> None:
        """Begins to count anew for another server."""
        # What the lease has ended for is not in the stock that it is told.
        self._expire_lease()
        for account in self._account_by_name.values():
            account.spent = 0
            account.expired = 0
            account.returned = 0

    def renew_lease(self, reported_at: float) -> None:
        """Takes in that the server knows of the stock.

        Args:
            reported_at: `boot_s` when the report was sent that it has.
        """
        self._lease_until = max(self._lease_until, reported_at + LEASE_S)

    def add(self, tokens_by_name: dict[str, int], now: float) -> None:
        """Takes in tokens from the server."""
        for name, count in tokens_by_name.items():
            self._account(now, name).available += count

    def available(self) -> dict[str, int]:
        """Tokens at hand by organisation."""
        self._expire_lease()
        return {
            name: account.available
            for name, account in self._account_by_name.items()
            if account.available
        }

    def recent_spends(self) -> dict[str, int]:
        """Tokens spent lately that were not given up yet, by organisation."""
        return {
            name: len(account.recent_spends)
            for name, account in self._account_by_name.items()
            if account.recent_spends
        }

    def counts(self) -> dict[str, tuple[int, int, int, float]]:
        """What the node has done with tokens since it attached.

        Returns:
            By organisation: tokens spent, given up a window later, returned
            unspent, and the demand a second.
        """
        return {
            name: (account.spent, account.expired, account.returned,
                   round(account.demand,
                         1)) for name, account in self._account_by_name.items()
        }

    def _expire_lease(self) -> None:
        """Gives up all tokens once the server may have forgotten them."""
        if boottime_s() < self._lease_until:
            return
        for account in self._account_by_name.values():
            account.returned += account.available
            account.available = 0

    # Requests.

    @staticmethod
    def _expire_spends(account: _Account, now: float, has_grants: bool) -> None:
        """Gives up what has left the window, or takes it into stock again."""
        while account.recent_spends and now - account.recent_spends[
                0] > WINDOW_S:
            account.recent_spends.popleft()
            if has_grants or account.recent_excess:
                account.expired += 1
                account.recent_excess = max(0, account.recent_excess - 1)
            else:
                # Nobody else was given it: the server counts it as held here
                # until it is told otherwise, or the lease is long over.
                account.spent -= 1
                account.available += 1

    def tick(self, now: float, compiled: documents.CompiledDocument | None,
             has_grants: bool) -> None:
        """Follows demand and the desired state.

        Args:
            now: Time in seconds.
            compiled: The desired state in force.
            has_grants: Whether a server answers and hands out tokens.
        """
        if compiled is None:
            return
        self._expire_lease()
        span_s = now - self._ticked_at
        if span_s <= 0:
            return
        self._ticked_at = now
        gain = 1.0 - math.exp(-span_s * _DEMAND_GAIN * 2)
        for name, organisation in compiled.organisation_by_name.items():
            account = self._account(now, name)
            account.demand += gain * (account.requests / span_s -
                                      account.demand)
            account.requests = 0
            self._expire_spends(account, now, has_grants)
            self._set_window_size(account, _nominal_window_tokens(organisation))
            detached_rate = _DETACHED_FRACTION * account.window_size / WINDOW_S / max(
                1, self.nodes)
            account.detached_bucket.resize(now,
                                           0.0 if has_grants else detached_rate,
                                           1.0)

    @staticmethod
    def _set_window_size(account: _Account, window_size: float) -> None:
        """Gives up the part of the stock that a lowered limit leaves out."""
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
        """Counts a request for the demand."""
        self._account(now, organisation.name).requests += 1

    def take(self, now: float, organisation: documents.Organisation,
             has_grants: bool) -> bool:
        """Spends a token; False where there is none."""
        if organisation.rate_per_s <= 0:
            return True
        account = self._account(now, organisation.name)
        if not account.available:
            self._expire_spends(account, now, has_grants)
        if account.available and boottime_s() < self._lease_until:
            account.available -= 1
            account.spent += 1
            account.recent_spends.append(now)
            return True
        return not has_grants and account.detached_bucket.take(now)

    def refund(self, organisation: documents.Organisation) -> None:
        """Returns the token of a request that did not run."""
        account = self._account_by_name.get(organisation.name)
        if account is not None and account.recent_spends:
            account.recent_spends.pop()
            account.spent -= 1
            account.available += 1
