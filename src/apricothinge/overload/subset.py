"""Choice of the instances of a service to which a node keeps links."""

import hashlib
from typing import Final

__all__ = ["Candidate", "choose", "weight"]

# The less loaded of two random instances is picked for each call, which needs
# only a few instances to balance well. Probes and load reports of links to all
# instances would grow with the square of the fleet.
_MAX_LOCAL: Final = 8
# These take over when the own failure domain is full or has no instance.
_MAX_REMOTE: Final = 6
# An instance that cannot be reached keeps its place, so that it is noticed when
# it returns, and is substituted up to this number of times.
_MAX_SUBSTITUTES: Final = 12


class Candidate:
    """An instance of a service.

    Attributes:
        instance: Name of the instance.
        local: Whether it is in the failure domain of the choosing node.
        reachable: Whether links to it work, as far as is known.
        weight: Result of `weight`.
    """

    __slots__ = ("instance", "local", "reachable", "weight")

    def __init__(self, instance: str, local: bool, reachable: bool,
                 instance_weight: int) -> None:
        self.instance = instance
        self.local = local
        self.reachable = reachable
        self.weight = instance_weight


def weight(own_instance: str, instance: str) -> int:
    """Returns the rank of an instance for a node; the lowest are chosen.

    Each node ranks the instances in another random order that never changes
    (rendezvous hashing), so every instance is chosen about equally often, and
    an instance that joins or leaves changes only the choices that involve it.
    """
    digest = hashlib.blake2b(f"{own_instance}\0{instance}".encode(),
                             digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose(candidates: list[Candidate]) -> set[str]:
    """Returns the instances of one service to keep links to.

    Handles fleets in which links from each node to each other node would cost
    more than the calls: the number of links stays the same as the fleet grows.

    Args:
        candidates: Instances of the service that accept requests.
    """
    ranked = sorted(candidates, key=lambda candidate: candidate.weight)
    chosen = _take([found for found in ranked if found.local], _MAX_LOCAL)
    chosen |= _take([found for found in ranked if not found.local], _MAX_REMOTE)
    return chosen


def _take(ranked: list[Candidate], limit: int) -> set[str]:
    chosen: set[str] = set()
    reachable = 0
    for candidate in ranked:
        if reachable == limit or len(chosen) == limit + _MAX_SUBSTITUTES:
            break
        chosen.add(candidate.instance)
        reachable += candidate.reachable
    return chosen
