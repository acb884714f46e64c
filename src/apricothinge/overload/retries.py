"""Retry limits: a strict budget per call tree and a ratio per node."""

from typing import Final

__all__ = ["CallTreeBudget", "RetryRatioCap"]

_RETRY_RATIO: Final = 0.1
_MAX_RESERVE: Final = 10.0


class CallTreeBudget:
    """Retry tokens left for one call and its nested calls.

    The tokens of a call tree are created once, at the entry. Tokens allocated
    to an attempt are unavailable until its response returns the unused ones; if
    the response is lost, they count as spent.

    Attributes:
        remaining: Available tokens.
    """

    __slots__ = ("remaining",)

    def __init__(self, tokens: int) -> None:
        self.remaining = tokens

    def allocate_to_attempt(self) -> int:
        """Allocates tokens to an attempt, keeping one for a retry."""
        allocated = max(0, self.remaining - 1)
        self.remaining -= allocated
        return allocated

    def allocate_to_nested_call(self) -> int:
        """Allocates half of the tokens, since more nested calls may follow."""
        allocated = (self.remaining + 1) // 2
        self.remaining -= allocated
        return allocated

    def reclaim(self, unused: int, allocated: int) -> None:
        """Reclaims the tokens that a response reports as unused.

        Args:
            unused: Tokens reported as unused; capped at `allocated`.
            allocated: Tokens allocated to the call.
        """
        self.remaining += max(0, min(unused, allocated))

    def try_spend(self) -> bool:
        """Spends one token on a retry; returns False if none is left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True


class RetryRatioCap:
    """Limits the retries of a node to a ratio of its first attempts.

    Attributes:
        first_attempts: Number of first attempts.
        retries: Number of retries.
    """

    __slots__ = ("_reserve", "_ratio", "_max_reserve", "first_attempts",
                 "retries")

    def __init__(self,
                 ratio: float = _RETRY_RATIO,
                 max_reserve: float = _MAX_RESERVE) -> None:
        """Creates a cap with a full reserve.

        Args:
            ratio: Retries allowed per first attempt.
            max_reserve: Largest burst of retries.
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
        """Whether the reserve allows a retry."""
        return self._reserve >= 1.0

    def try_retry(self) -> bool:
        """Counts a retry; returns False if the reserve does not allow it."""
        if not self.can_retry:
            return False
        self._reserve -= 1.0
        self.retries += 1
        return True
