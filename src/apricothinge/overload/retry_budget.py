"""Limits retries of requests to one service."""

from typing import Final

from apricothinge.overload import retries

__all__ = ["DEFAULT_HEIGHT", "ServiceRetryBudget"]

# The fleet may retry a fifth of the requests to a service. The remainder covers
# nested calls of retried requests and uneven load between nodes.
_RETRY_RATIO: Final = 0.13
_RETRY_RESERVE: Final = 2.0
# A request that runs twice also repeats its nested calls. Summed over all
# services on a call path, these ratios never exceed this one, at any depth.
_RERUN_RATIO: Final = 0.045
_RERUN_RESERVE: Final = 1.0
# First attempts after which older ones count half.
_MAX_RECENT_ATTEMPTS: Final = 400.0
# Assumed for routes whose nested calls are not known yet.
DEFAULT_HEIGHT: Final = 3


class _DemandByRank:
    """Recent demand for retries by importance.

    Attributes:
        first_attempts: Recent first attempts.
    """

    __slots__ = ("first_attempts", "_demand_by_rank", "_credit_by_rank")

    def __init__(self) -> None:
        self.first_attempts = 0.0
        self._demand_by_rank: dict[int, float] = {}
        self._credit_by_rank: dict[int, float] = {}

    def record_first_attempt(self) -> None:
        """Counts a first attempt; old counts lose weight."""
        self.first_attempts += 1.0
        if self.first_attempts >= _MAX_RECENT_ATTEMPTS:
            self.first_attempts /= 2.0
            self._demand_by_rank = {
                rank: demand / 2.0
                for rank, demand in self._demand_by_rank.items()
                if demand >= 1.0
            }

    def may_retry(self, rank: int) -> bool:
        """Counts a wish to retry, and leaves room for more important ones."""
        demand = self._demand_by_rank.get(rank, 0.0) + 1.0
        self._demand_by_rank[rank] = demand
        more_important = sum(
            other_demand
            for other, other_demand in self._demand_by_rank.items()
            if other < rank)
        if not more_important:
            return True
        room = _RETRY_RATIO * self.first_attempts - more_important
        credit = self._credit_by_rank.get(rank, 0.0) + min(
            1.0, max(0.0, room / demand))
        if credit < 1.0:
            self._credit_by_rank[rank] = credit
            return False
        self._credit_by_rank[rank] = credit - 1.0
        return True


class ServiceRetryBudget:
    """Retry budget of one node for one service.

    Handles lost responses and upstreams that refuse calls: a tree of ten calls,
    each lost with probability 1/20, succeeds only three times in five. Most of
    the budget goes to leaf services, where a retry costs a single call; higher
    up, a retry may run a whole call tree again.
    """

    __slots__ = ("_retry_cap", "_rerun_cap_by_height", "_demand")

    def __init__(self) -> None:
        self._demand = _DemandByRank()
        self._retry_cap = retries.RetryRatioCap(_RETRY_RATIO, _RETRY_RESERVE)
        self._rerun_cap_by_height: dict[int, retries.RetryRatioCap] = {}

    def _rerun_cap(self, height: int) -> retries.RetryRatioCap:
        cap = self._rerun_cap_by_height.get(height)
        if cap is None:
            ratio = _RERUN_RATIO / (height * (height + 1))
            cap = retries.RetryRatioCap(ratio, _RERUN_RESERVE)
            self._rerun_cap_by_height[height] = cap
        return cap

    def record_first_attempt(self, height: int) -> None:
        """Counts the first attempt of a request.

        Args:
            height: Number of downstream services that the request leads to.
        """
        self._retry_cap.record_first_attempt()
        self._demand.record_first_attempt()
        if height:
            self._rerun_cap(height).record_first_attempt()

    def try_retry(self, height: int, may_have_run: bool, rank: int = 0) -> bool:
        """Spends budget for a retry; returns False if there is none.

        Args:
            height: Number of downstream services that the request leads to.
            may_have_run: Whether an earlier attempt may have run.
            rank: Importance; the budget goes to lower ranks first.
        """
        if not self._demand.may_retry(rank):
            return False
        if not self._retry_cap.can_retry:
            return False
        if may_have_run and height and not self._rerun_cap(height).try_retry():
            return False
        return self._retry_cap.try_retry()
