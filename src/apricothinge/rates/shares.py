"""Shares of each organisation's rate by failure domain, and their planner."""

from typing import Final

import msgspec

__all__ = [
    "DomainStatus", "LEASE_S", "Planner", "SETTLE_S", "Share", "ShareTable"
]

LEASE_S: Final = 2.0
"""Seconds after the last confirmation during which a full share is used."""

SETTLE_S: Final = LEASE_S + 0.5
"""Seconds after which a lowered share is in force at its owner for certain."""

_TOLERANCE: Final = 1e-6
_MIN_MOVE: Final = 0.03
_MAX_MOVE: Final = 0.06
_DEMAND_FRACTION: Final = 0.25


class Share(msgspec.Struct, frozen=True, array_like=True):
    """One failure domain's fraction of one organisation's rate and burst.

    Attributes:
        name: The organisation, or a route that is open to all.
        failure_domain: Domain in which the share is used.
        owner: Process that grants the fraction above the floor, or empty.
        floor_owner: Process that grants the floor, or empty.
        floor: Fraction, 0 to 1, that stays usable without a lease.
        part: Fraction, 0 to 1, including the floor, usable under a lease.
        held: Fraction that may still be in use; at least `part`.
    """

    name: str
    failure_domain: str
    owner: str
    floor_owner: str
    floor: float
    part: float
    held: float

    def usable_fraction(self, process: str, leased: bool) -> float:
        """Returns the fraction that a process may grant.

        Args:
            process: Instance and incarnation, as in `owner`.
            leased: Whether the process still has a valid lease.
        """
        floor = self.floor if process == self.floor_owner else 0.0
        above_floor = self.part - self.floor
        return floor + (above_floor
                        if leased and process == self.owner else 0.0)


class ShareTable:
    """All shares; rejects changes that allocate more than the whole rate.

    Attributes:
        by_name: Shares by organisation, then by failure domain.
        revision: Increases with each change.
        revision_by_name: Revision of the last change of an organisation.
    """

    __slots__ = ("by_name", "revision", "revision_by_name")

    def __init__(self) -> None:
        self.by_name: dict[str, dict[str, Share]] = {}
        self.revision = 0
        self.revision_by_name: dict[str, int] = {}

    def rows(self) -> list[Share]:
        """Returns all shares."""
        return [row for rows in self.by_name.values() for row in rows.values()]

    def changed_since(self, revision: int) -> list[Share]:
        """Returns all shares of organisations changed after a revision."""
        return [
            row for name, rows in self.by_name.items()
            if self.revision_by_name[name] > revision for row in rows.values()
        ]

    def apply(self, changed: list[Share]) -> bool:
        """Replaces shares of one organisation; False if over-allocated."""
        if not changed:
            return True
        name = changed[0].name
        rows = dict(self.by_name.get(name, {}))
        for share in changed:
            rows[share.failure_domain] = share
        total = sum(max(row.held, row.part) for row in rows.values())
        if total > 1.0 + _TOLERANCE or any(
                row.floor > row.part + _TOLERANCE for row in rows.values()):
            return False
        self.by_name[name] = rows
        self.revision_by_name[name] = self.revision
        return True

    def keep_only(self, names: set[str]) -> None:
        """Drops the shares of names that are no longer configured."""
        for name in set(self.by_name) - names:
            del self.by_name[name]
            del self.revision_by_name[name]


class DomainStatus:
    """One failure domain as the leader observes it, for one organisation.

    Attributes:
        owner: Process that should grant tokens there, or empty.
        live: Processes heard from recently.
        ended: Processes known to have ended, as their instance restarted.
        demand: Demand in calls per second.
    """

    __slots__ = ("owner", "live", "ended", "demand")

    def __init__(self, owner: str, live: set[str], ended: set[str],
                 demand: float) -> None:
        self.owner = owner
        self.live = live
        self.ended = ended
        self.demand = demand


def _target_fractions(status_by_domain: dict[str, DomainStatus],
                      floor_by_domain: dict[str, float],
                      spare: float) -> dict[str, float]:
    """Divides the rate above the floors mostly evenly, the rest by demand.

    Nodes can request tokens from other domains, so an even division only costs
    messages, while losing the owner of a large share costs capacity.
    """
    served = {d: s for d, s in status_by_domain.items() if s.owner}
    if not served:
        return dict(floor_by_domain)
    even_fraction = (1.0 - _DEMAND_FRACTION) / len(served)
    total = sum(s.demand for s in served.values())
    targets = dict(floor_by_domain)
    for domain, status in served.items():
        demand_fraction = status.demand / total if total else 1.0 / len(served)
        targets[domain] += spare * (even_fraction +
                                    _DEMAND_FRACTION * demand_fraction)
    return targets


class Planner:
    """Plans moves of shares towards demand during one leader's term.

    A share is lowered at once, but what it gave up stays reserved until the
    owner's lease is certain to have expired; only unreserved fractions are
    given to other domains. Likewise, an owner is replaced only after its lease
    has expired.
    """

    __slots__ = ("_floor_fraction", "_started_at", "_last_state", "_lowered_at")

    def __init__(self, now: float, floor_fraction: float) -> None:
        self._floor_fraction = floor_fraction
        self._started_at = now
        self._last_state: dict[tuple[str, str], tuple[str, float]] = {}
        self._lowered_at: dict[tuple[str, str], float] = {}

    def step(self, now: float, name: str, current: dict[str, Share],
             observed: dict[str, DomainStatus]) -> list[Share]:
        """Computes the next step towards the shares that demand calls for.

        Args:
            now: Time in seconds.
            name: The organisation.
            current: Its committed shares by failure domain.
            observed: State of each failure domain with live processes.

        Returns:
            The shares to replace; empty if none change.
        """
        for row in current.values():
            self._observe(now, row)
        rows = self._with_new_domains(name, current, observed)
        absent = DomainStatus("", set(), set(), 0.0)
        status_by_domain = {
            domain: observed.get(domain, absent) for domain in rows
        }
        next_shares = {
            domain: self._assign_owner(now, row, status_by_domain[domain])
            for domain, row in rows.items()
        }
        floor_by_domain = {
            domain: row.floor for domain, row in next_shares.items()
        }
        targets = _target_fractions(status_by_domain, floor_by_domain,
                                    1.0 - sum(floor_by_domain.values()))
        _rebalance(next_shares, targets)
        return [
            row for domain, row in next_shares.items()
            if row != current.get(domain)
        ]

    def _observe(self, now: float, row: Share) -> None:
        """Records when a committed share was first seen lowered."""
        key = (row.name, row.failure_domain)
        state = (row.owner, row.part)
        previous = self._last_state.get(key)
        self._last_state[key] = state
        if row.owner and row.held <= row.part + _TOLERANCE:
            self._lowered_at.pop(key, None)
            return
        if previous is None:
            self._lowered_at[key] = max(
                self._lowered_at.get(key, self._started_at), self._started_at)
        elif previous != state:
            self._lowered_at[key] = now

    def _with_new_domains(
            self, name: str, current: dict[str, Share],
            observed: dict[str, DomainStatus]) -> dict[str, Share]:
        rows = dict(current)
        for domain in sorted(set(observed) - set(rows)):
            free = max(0.0, 1.0 - sum(row.held for row in rows.values()))
            total_floor = sum(row.floor for row in rows.values())
            floor = (min(self._floor_fraction, free) if total_floor +
                     self._floor_fraction < 1.0 else 0.0)
            rows[domain] = Share(name, domain, "", "", floor, floor, floor)
        return rows

    def _assign_owner(self, now: float, row: Share,
                      status: DomainStatus) -> Share:
        """Releases settled reservations and changes owners where safe."""
        lowered_at = self._lowered_at.get((row.name, row.failure_domain))
        settled = lowered_at is not None and now - lowered_at > SETTLE_S
        owner, floor_owner = row.owner, row.floor_owner
        if owner and owner not in status.live:
            owner = ""
            settled = False
        elif not owner and (settled or not floor_owner):
            owner = status.owner
        if owner and (not floor_owner or
                      (settled and floor_owner in status.ended)):
            floor_owner = owner
        fraction = row.part if owner else row.floor
        reserved = fraction if settled else max(row.held, row.part)
        return msgspec.structs.replace(row,
                                       owner=owner,
                                       floor_owner=floor_owner,
                                       part=fraction,
                                       held=reserved)


def _rebalance(rows: dict[str, Share], targets: dict[str, float]) -> None:
    """Lowers shares above their target, then raises those below it."""
    needs_move = any(
        abs(targets[d] - row.part) > _MIN_MOVE for d, row in rows.items())
    if not needs_move:
        return
    # A fraction being moved cannot be used until it has settled, while nodes
    # can request tokens from other domains at any time; so moves are limited.
    moving = sum(row.held - row.part for row in rows.values())
    budget = max(0.0, _MAX_MOVE - moving)
    for domain, row in sorted(rows.items()):
        decrease = min(budget, row.part - targets[domain])
        if decrease > _TOLERANCE:
            budget -= decrease
            rows[domain] = msgspec.structs.replace(row,
                                                   part=row.part - decrease)
    free = 1.0 - sum(row.held for row in rows.values())
    wanted = {
        d: targets[d] - row.part
        for d, row in rows.items()
        if row.owner and targets[d] > row.part
    }
    total_wanted = sum(wanted.values())
    if total_wanted <= 0 or free <= _TOLERANCE:
        return
    scale = min(1.0, free / total_wanted)
    for domain, increase in wanted.items():
        row = rows[domain]
        fraction = row.part + increase * scale
        rows[domain] = msgspec.structs.replace(row,
                                               part=fraction,
                                               held=max(row.held, fraction))
