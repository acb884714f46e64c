"""How often requests for one service may be sent again."""

from typing import Final

from apricothinge.overload import retries

__all__ = ["DEFAULT_HEIGHT", "ServiceRetryBudget"]

# The fleet may repeat a fifth of the requests for a service. The rest is for
# calls below runs that are repeated themselves, and for uneven nodes.
_RETRY_RATIO: Final = 0.13
_RETRY_RESERVE: Final = 2.0
# Repeated runs repeat all calls below. Over the services on the way down to a
# last one these parts add up to this at most, however deep it is.
_RERUN_RATIO: Final = 0.045
_RERUN_RESERVE: Final = 1.0
# For routes of which it is not known yet what they call.
DEFAULT_HEIGHT: Final = 3


class ServiceRetryBudget:
    """Room for repeats to one service, at one node.

    Answers lost answers and upstreams that turn calls away: a tree of ten
    calls, each lost one time in twenty, succeeds three times in five. Repeats
    are spent where they cost one arrival each, at the services that call
    nobody; further up a repeat costs a whole tree below.
    """

    __slots__ = ("_cap", "_rerun_cap_by_height")

    def __init__(self) -> None:
        self._cap = retries.RetryRatioCap(_RETRY_RATIO, _RETRY_RESERVE)
        self._rerun_cap_by_height: dict[int, retries.RetryRatioCap] = {}

    def _rerun_cap(self, height: int) -> retries.RetryRatioCap:
        cap = self._rerun_cap_by_height.get(height)
        if cap is None:
            ratio = _RERUN_RATIO / (height * (height + 1))
            cap = retries.RetryRatioCap(ratio, _RERUN_RESERVE)
            self._rerun_cap_by_height[height] = cap
        return cap

    def record_first_attempt(self, height: int) -> None:
        """Counts a request.

        Args:
            height: Services below that it leads to.
        """
        self._cap.record_first_attempt()
        if height:
            self._rerun_cap(height).record_first_attempt()

    def try_retry(self, height: int, may_have_run: bool) -> bool:
        """Takes room for a repeat; False where there is none.

        Args:
            height: Services below that the request leads to.
            may_have_run: Whether it may run a second time.
        """
        if not self._cap.can_retry:
            return False
        if may_have_run and height and not self._rerun_cap(height).try_retry():
            return False
        return self._cap.try_retry()
