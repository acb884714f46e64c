"""Retries: a strict budget for a tree of calls and a cap for each node."""

from typing import Final

__all__ = ["CallTreeBudget", "RetryRatioCap"]

_RETRY_RATIO: Final = 0.1
_MAX_RESERVE: Final = 10.0


class CallTreeBudget:
    """Retries that one call and the calls below it may still spend.

    The tokens of a tree are made once, at the entry. A part that went down
    with an attempt is out of reach until its answer brings back the unused
    rest; with a lost answer it is spent.

    Attributes:
        remaining: Tokens at hand.
    """

    __slots__ = ("remaining",)

    def __init__(self, tokens: int) -> None:
        self.remaining = tokens

    def allocate_to_attempt(self) -> int:
        """Takes what goes down with an attempt; one stays for a retry."""
        allocated = max(0, self.remaining - 1)
        self.remaining -= allocated
        return allocated

    def allocate_to_nested_call(self) -> int:
        """Takes a nested call's part: half, since others may follow."""
        allocated = (self.remaining + 1) // 2
        self.remaining -= allocated
        return allocated

    def reclaim(self, unused: int, allocated: int) -> None:
        """Takes back what an answer reports as unused.

        Args:
            unused: Tokens as reported; bounded by what was lent.
            allocated: Tokens that went down.
        """
        self.remaining += max(0, min(unused, allocated))

    def try_spend(self) -> bool:
        """Takes one token for a retry; False where none is left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True


class RetryRatioCap:
    """Keeps a node's retries under a part of its first attempts."""

    __slots__ = ("_reserve", "_ratio", "_max_reserve", "first_attempts",
                 "retries")

    def __init__(self,
                 ratio: float = _RETRY_RATIO,
                 max_reserve: float = _MAX_RESERVE) -> None:
        """Starts with a full reserve.

        Args:
            ratio: Retries for each first attempt.
            max_reserve: Retries that may come at once.
        """
        self._reserve = max_reserve
        self._ratio = ratio
        self._max_reserve = max_reserve
        self.first_attempts = 0
        self.retries = 0

    def record_first_attempt(self) -> None:
        """Counts a first attempt."""
        self.first_attempts += 1
        self._reserve = min(self._max_reserve, self._reserve + self._ratio)

    @property
    def can_retry(self) -> bool:
        """Whether there is room for one retry."""
        return self._reserve >= 1.0

    def try_retry(self) -> bool:
        """Takes room for one retry; False where there is none."""
        if not self.can_retry:
            return False
        self._reserve -= 1.0
        self.retries += 1
        return True
