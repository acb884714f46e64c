"""The leader's part in rates: who hands out tokens where, and how many."""

import hashlib
from typing import Final

from apricothinge import lists
from apricothinge.control import machine
from apricothinge.control import view
from apricothinge.rates import shares

__all__ = ["Balancer"]

_LIVE_S: Final = 1.2
_QUIET_START_S: Final = 2.0


def _rank(name: str, instance: str) -> bytes:
    return hashlib.blake2b(f"{name}/{instance}".encode(),
                           digest_size=8).digest()


class Balancer:
    """Plans moves of shares while this control instance leads."""

    __slots__ = ("_machine", "_view", "_floor_part", "_planner", "_led_at")

    def __init__(self, state: machine.ControlMachine, fleet: view.View,
                 floor_part: float) -> None:
        self._machine = state
        self._view = fleet
        self._floor_part = floor_part
        self._planner: shares.Planner | None = None
        self._led_at = 0.0

    def rest(self) -> None:
        """Forgets what only a leader may remember."""
        self._planner = None

    def step(self, now: float) -> list[shares.Share]:
        """Plans the next moves of all organisations.

        Args:
            now: Time in seconds.
        """
        if self._planner is None:
            self._planner = shares.Planner(now, self._floor_part)
            self._led_at = now
        if now - self._led_at < _QUIET_START_S:
            # The other instances have yet to tell which nodes are alive.
            return []
        changed: list[shares.Share] = []
        for name in self._names():
            current = self._machine.shares.by_name.get(name, {})
            changed += self._planner.step(now, name, current,
                                          self._places(now, name, current))
        return changed

    def _names(self) -> list[str]:
        document = self._machine.document
        names = list(document.organisations.organisations)
        return names + [
            lists.open_name(route) for route in document.plans.open_routes
        ]

    def _places(self, now: float, name: str,
                current: dict[str, shares.Share]) -> dict[str, shares.Place]:
        places: dict[str, shares.Place] = {}
        best: dict[str, bytes] = {}
        for instance, known in self._view.by_instance.items():
            row = known.row
            domain = row.failure_domain
            if now - known.last_heard_at > _LIVE_S or row.stopping:
                continue
            place = places.setdefault(domain,
                                      shares.Place("", set(), set(), 0.0))
            place.live.add(row.process_id)
            place.demand += known.demand.get(name, 0.0)
            rank = _rank(name, instance)
            if rank > best.get(domain, b""):
                best[domain] = rank
                place.owner = row.process_id
        for domain, share in current.items():
            if domain not in places:
                continue
            place = places[domain]
            if share.owner in place.live:
                place.owner = share.owner
            for process in (share.owner, share.floor_owner):
                if process and self._is_gone(process):
                    place.gone.add(process)
        return places

    def _is_gone(self, process: str) -> bool:
        """Tells whether a process has ended: its instance runs anew."""
        instance, _, incarnation = process.rpartition(":")
        known = self._view.by_instance.get(instance)
        return known is not None and known.row.incarnation > int(incarnation)
