"""Failure domains that operators have emptied, as a node knows them."""

import hashlib
from typing import Final

__all__ = ["Evacuations"]

# Nodes of an evacuated failure domain stop at different times in this fraction
# of the time they have, so that the load moves at a pace that others can take.
_SPREAD_FRACTION: Final = 0.5
# After this fraction, calls are not sent there either, in case a node there has
# not heard of the order.
_AVOID_FRACTION: Final = 0.6
_HASH_RANGE: Final = 1 << 64


def _spread(instance: str) -> float:
    """Returns a fixed number from 0 to 1 for an instance."""
    digest = hashlib.blake2b(instance.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / _HASH_RANGE


class Evacuations:
    """Evacuated failure domains and the times at which they take effect.

    Handles the planned loss of a failure domain under full load.

    Attributes:
        revision: Number of changes that control has accepted, -1 before the
            first is known.
    """

    __slots__ = ("revision", "_ordered_at_by_domain", "_own_domain",
                 "_own_delay_s", "_avoid_delay_s")

    def __init__(self, own_instance: str, own_domain: str,
                 limit_s: float) -> None:
        """Starts without evacuated failure domains.

        Args:
            own_instance: Name of the instance of this node.
            own_domain: Its failure domain.
            limit_s: Seconds in which an evacuation has to take effect.
        """
        self.revision = -1
        self._ordered_at_by_domain: dict[str, float] = {}
        self._own_domain = own_domain
        self._own_delay_s = limit_s * _SPREAD_FRACTION * _spread(own_instance)
        self._avoid_delay_s = limit_s * _AVOID_FRACTION

    def update(self, now: float, revision: int,
               age_by_domain: dict[str, float]) -> bool:
        """Takes over the orders that are in force.

        Args:
            now: Time in seconds.
            revision: Number of changes that lead to them.
            age_by_domain: Evacuated failure domains, each with the seconds
                since the order was accepted.

        Returns:
            Whether the revision is new; an older one is ignored.
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        known = self._ordered_at_by_domain
        self._ordered_at_by_domain = {
            domain: min(known.get(domain, now), now - age_s)
            for domain, age_s in age_by_domain.items()
        }
        return True

    def domains(self) -> list[str]:
        """Returns the evacuated failure domains."""
        return sorted(self._ordered_at_by_domain)

    def domains_to_avoid(self, now: float) -> frozenset[str]:
        """Returns the failure domains to which no call may be sent."""
        return frozenset(
            domain for domain, ordered_at in self._ordered_at_by_domain.items()
            if now - ordered_at >= self._avoid_delay_s)

    def is_own_due(self, now: float) -> bool:
        """Returns whether the upstream of this node gets no new requests."""
        ordered_at = self._ordered_at_by_domain.get(self._own_domain)
        return ordered_at is not None and now - ordered_at >= self._own_delay_s
