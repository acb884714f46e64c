"""How often requests for one service may be sent again."""

from typing import Final

from apricothinge.overload import retries

__all__ = ["RepeatBudget", "UNKNOWN_HEIGHT"]

# The fleet may repeat a fifth of the requests for a service. The rest is for
# calls below runs that are repeated themselves, and for uneven nodes.
_RATIO: Final = 0.13
_RESERVE: Final = 2.0
# Repeated runs repeat all calls below. Over the services on the way down to a
# last one these parts add up to this at most, however deep it is.
_NESTED_RATIO: Final = 0.045
_NESTED_RESERVE: Final = 1.0
# For routes of which it is not known yet what they call.
UNKNOWN_HEIGHT: Final = 3


class RepeatBudget:
    """Room for repeats to one service, at one node.

    Answers lost answers and upstreams that turn calls away: a tree of ten
    calls, each lost one time in twenty, succeeds three times in five. Repeats
    are spent where they cost one arrival each, at the services that call
    nobody; further up a repeat costs a whole tree below.
    """

    __slots__ = ("_all", "_reruns_by_height")

    def __init__(self) -> None:
        self._all = retries.RetryRatioCap(_RATIO, _RESERVE)
        self._reruns_by_height: dict[int, retries.RetryRatioCap] = {}

    def _reruns(self, height: int) -> retries.RetryRatioCap:
        found = self._reruns_by_height.get(height)
        if found is None:
            ratio = _NESTED_RATIO / (height * (height + 1))
            found = retries.RetryRatioCap(ratio, _NESTED_RESERVE)
            self._reruns_by_height[height] = found
        return found

    def first_attempt(self, height: int) -> None:
        """Counts a request.

        Args:
            height: Services below that it leads to.
        """
        self._all.record_first_attempt()
        if height:
            self._reruns(height).record_first_attempt()

    def repeat(self, height: int, may_have_run: bool) -> bool:
        """Takes room for a repeat; False where there is none.

        Args:
            height: Services below that the request leads to.
            may_have_run: Whether it may run a second time.
        """
        if not self._all.can_retry:
            return False
        if may_have_run and height and not self._reruns(height).try_retry():
            return False
        return self._all.try_retry()
