"""Retries: a strict budget for a tree of calls and a cap for each node."""

from typing import Final

__all__ = ["Budget", "RatioCap"]

_RATIO: Final = 0.1
_LARGEST_RESERVE: Final = 10.0


class Budget:
    """Retries that one call and the calls below it may still spend.

    The tokens of a tree are made once, at the entry. A part that went down
    with an attempt is out of reach until its answer brings back the unused
    rest; with a lost answer it is spent.

    Attributes:
        left: Tokens at hand.
    """

    __slots__ = ("left",)

    def __init__(self, tokens: int) -> None:
        self.left = tokens

    def lend_to_attempt(self) -> int:
        """Takes what goes down with an attempt; one stays for a retry."""
        lent = max(0, self.left - 1)
        self.left -= lent
        return lent

    def lend_to_child(self) -> int:
        """Takes a nested call's part: half, since others may follow."""
        lent = (self.left + 1) // 2
        self.left -= lent
        return lent

    def give_back(self, returned: int, lent: int) -> None:
        """Takes back what an answer reports as unused.

        Args:
            returned: Tokens as reported; bounded by what was lent.
            lent: Tokens that went down.
        """
        self.left += max(0, min(returned, lent))

    def spend(self) -> bool:
        """Takes one token for a retry; False where none is left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True


class RatioCap:
    """Keeps a node's retries under a part of its first attempts."""

    __slots__ = ("_reserve", "_ratio", "_largest", "first_attempts", "retries")

    def __init__(self,
                 ratio: float = _RATIO,
                 largest_reserve: float = _LARGEST_RESERVE) -> None:
        """Starts with a full reserve.

        Args:
            ratio: Retries for each first attempt.
            largest_reserve: Retries that may come at once.
        """
        self._reserve = largest_reserve
        self._ratio = ratio
        self._largest = largest_reserve
        self.first_attempts = 0
        self.retries = 0

    def first_attempt(self) -> None:
        """Counts a first attempt."""
        self.first_attempts += 1
        self._reserve = min(self._largest, self._reserve + self._ratio)

    @property
    def has_room(self) -> bool:
        """Whether there is room for one retry."""
        return self._reserve >= 1.0

    def retry(self) -> bool:
        """Takes room for one retry; False where there is none."""
        if not self.has_room:
            return False
        self._reserve -= 1.0
        self.retries += 1
        return True
