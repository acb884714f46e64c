"""Finds the running request that a nested call belongs to."""

import collections
from typing import Final

__all__ = ["NESTED_RANK", "RunningRequests", "nested_rank", "queue_rank"]

# Rank of a nested call whose parent is not known.
NESTED_RANK: Final = -1
# Above the rank of any request of a caller.
_NESTED_RANK_OFFSET: Final = 1_000_000


def nested_rank(parent_rank: int) -> int:
    """Returns the rank of a call that a request with a given rank makes.

    All nested calls rank before requests of callers, as refusing them wastes
    what their tree has done. Among them, the importance of the root decides.
    """
    if parent_rank < 0:
        return parent_rank
    return parent_rank - _NESTED_RANK_OFFSET


def queue_rank(rank: int) -> int:
    """Returns the rank by which a call waits beside an upstream.

    Nested calls wait as equals: a tree that was admitted has taken slots of
    services above, and starving it at the end wastes them.
    """
    return NESTED_RANK if rank < 0 else rank


class RunningRequests:
    """Ranks of the requests that run on the local upstream, by identifier.

    A nested call carries no key. Many upstreams name it by the identifier of
    the request that makes it, followed by something of their own; calls of
    others are treated as calls of an unknown parent.

    Attributes:
        matched: Number of nested calls whose parent was found.
        unmatched: Number of those whose parent was not found.
    """

    __slots__ = ("matched", "unmatched", "_rank_by_id", "_count_by_length")

    def __init__(self) -> None:
        self.matched = 0
        self.unmatched = 0
        self._rank_by_id: dict[str, int] = {}
        self._count_by_length: collections.Counter[int] = collections.Counter()

    def add(self, request_id: str, rank: int) -> None:
        """Adds a request that the upstream starts to run."""
        if request_id and request_id not in self._rank_by_id:
            self._rank_by_id[request_id] = rank
            self._count_by_length[len(request_id)] += 1

    def remove(self, request_id: str) -> None:
        """Removes a request that has ended."""
        if self._rank_by_id.pop(request_id, None) is None:
            return
        length = len(request_id)
        self._count_by_length[length] -= 1
        if not self._count_by_length[length]:
            del self._count_by_length[length]

    def rank_of_call(self, request_id: str) -> int:
        """Returns the rank of a nested call with a given identifier."""
        for length in sorted(self._count_by_length, reverse=True):
            if length >= len(request_id):
                continue
            rank = self._rank_by_id.get(request_id[:length])
            if rank is not None:
                self.matched += 1
                return nested_rank(rank)
        self.unmatched += 1
        return NESTED_RANK
