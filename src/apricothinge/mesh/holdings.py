"""A node's part of each organisation's rate."""

import time
from typing import Final

from apricothinge.mesh import documents
from apricothinge.rates import gate

__all__ = ["FLOOR_PART", "Holdings", "LEASE_S", "boot_s"]

# Shared evenly and never moved, so that a node that is cut off goes on.
FLOOR_PART: Final = 0.3
# Longer than the cuts that occur often, and short enough that what a lost
# node held is soon used by others.
LEASE_S: Final = 10.0
# The bound on a window exceeds rate and burst by a tenth and by 20 requests.
# What these add is used for the most part; the rest covers counts of nodes
# that differ for a moment, and requests that are slow to arrive.
_OVERAGE: Final = 1.06
_SLACK: Final = 10.0
_RATE_GAIN: Final = 0.3
_RATE_WINDOW_S: Final = 0.5


def boot_s() -> float:
    """Seconds on a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Row:
    """One organisation.

    Attributes:
        bucket: Tokens at hand.
        granted: Part of the rate under the lease.
        arrived: Requests since the last look.
        demand: Smoothed requests per second.
    """

    __slots__ = ("bucket", "granted", "arrived", "demand")

    def __init__(self, now: float) -> None:
        self.bucket = gate.Bucket(0.0, 0.0, 0.0, now)
        self.granted = 0.0
        self.arrived = 0
        self.demand = 0.0


class Holdings:
    """Decides whether a request is inside its organisation's rate.

    Of each rate a floor is divided evenly among the nodes without any
    agreement. The rest follows demand in leases that control hands out; what
    a node gives up is spent before another one gets it, so that the parts
    never add up to more than the whole.
    """

    __slots__ = ("_row_by_name", "_nodes", "_lease_until", "_looked_at",
                 "_started_at")

    def __init__(self, now: float) -> None:
        self._row_by_name: dict[str, _Row] = {}
        self._nodes = 0
        self._lease_until = 0.0
        self._looked_at = now
        self._started_at = now

    def set_nodes(self, count: int) -> None:
        """Takes in among how many nodes the floor is divided."""
        self._nodes = count

    def renew(self, reported_at: float) -> None:
        """Takes in that control has heard of what is held here.

        Args:
            reported_at: `boot_s` when the report was sent that control has.
        """
        self._lease_until = max(self._lease_until, reported_at + LEASE_S)

    def grant(self, parts_by_name: dict[str, float]) -> None:
        """Takes in new parts of the rates."""
        for name, row in self._row_by_name.items():
            row.granted = parts_by_name.get(name, 0.0)

    def held(self) -> dict[str, float]:
        """The leased parts by organisation."""
        if boot_s() >= self._lease_until:
            return {}
        return {
            name: row.granted
            for name, row in self._row_by_name.items()
            if row.granted
        }

    def demand(self) -> dict[str, float]:
        """Requests per second by organisation."""
        return {
            name: round(row.demand, 2)
            for name, row in self._row_by_name.items()
            if row.demand >= 0.01
        }

    def _part(self, row: _Row, leased: bool) -> float:
        floor = FLOOR_PART / self._nodes if self._nodes else 0.0
        return floor + (row.granted if leased else 0.0)

    def tick(self, now: float, compiled: documents.Compiled | None) -> None:
        """Sizes the buckets by the desired state and the parts."""
        if compiled is None:
            return
        leased = boot_s() < self._lease_until
        rolls = now - self._looked_at >= _RATE_WINDOW_S
        for name, organisation in compiled.organisation_by_name.items():
            row = self._row_by_name.get(name)
            if row is None:
                row = self._row_by_name[name] = _Row(now)
            if not leased:
                row.granted = 0.0
            part = self._part(row, leased)
            # A bucket that holds less than one token never lets any through.
            burst = max(1.0, (organisation.burst * _OVERAGE + _SLACK) * part)
            row.bucket.resize(now, organisation.rate_per_s * _OVERAGE * part,
                              burst)
            if rolls:
                rate = row.arrived / (now - self._looked_at)
                row.demand += _RATE_GAIN * (rate - row.demand)
                row.arrived = 0
        if rolls:
            self._looked_at = now

    def take(self, now: float, organisation: documents.Organisation) -> float:
        """Takes a token.

        Returns:
            0 where there was one, else the seconds until there is one.
        """
        if organisation.rate_per_s <= 0:
            return 0.0
        row = self._row_by_name.get(organisation.name)
        if row is None:
            row = self._row_by_name[organisation.name] = _Row(now)
        row.arrived += 1
        if row.bucket.take(now):
            return 0.0
        missing = 1.0 - row.bucket.level
        rate = row.bucket.rate_per_s
        return missing / rate if rate > 0 else 1.0

    def give_back(self, organisation: documents.Organisation) -> None:
        """Returns the token of a request that did not run."""
        row = self._row_by_name.get(organisation.name)
        if row is not None:
            row.bucket.level = min(row.bucket.burst, row.bucket.level + 1.0)
