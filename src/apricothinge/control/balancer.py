"""Assignment of rate-limit shares to failure domains by the leader."""

import hashlib
from typing import Final

from apricothinge import lists
from apricothinge.control import machine
from apricothinge.control import view
from apricothinge.rates import shares

__all__ = ["ShareBalancer"]

_LIVENESS_TIMEOUT_S: Final = 1.2
_LEADER_WARMUP_S: Final = 2.0


def _rendezvous_weight(name: str, instance: str) -> bytes:
    return hashlib.blake2b(f"{name}/{instance}".encode(),
                           digest_size=8).digest()


class ShareBalancer:
    """Plans changes of shares while this control instance is the leader."""

    __slots__ = ("_state_machine", "_view", "_floor_part", "_planner",
                 "_leading_since")

    def __init__(self, state_machine: machine.ControlMachine,
                 fleet_view: view.View, floor_part: float) -> None:
        self._state_machine = state_machine
        self._view = fleet_view
        self._floor_part = floor_part
        self._planner: shares.Planner | None = None
        self._leading_since = 0.0

    def reset(self) -> None:
        """Discards the planner, whose state is valid for one term only."""
        self._planner = None

    def plan_moves(self, now: float) -> list[shares.Share]:
        """Plans the next changes of the shares of every rate limit.

        Args:
            now: Time in seconds.

        Returns:
            Shares to replace.
        """
        if self._planner is None:
            self._planner = shares.Planner(now, self._floor_part)
            self._leading_since = now
        if now - self._leading_since < _LEADER_WARMUP_S:
            # The other control instances have not yet reported live nodes.
            return []
        changed: list[shares.Share] = []
        for name in self._rate_names():
            current = self._state_machine.shares.by_name.get(name, {})
            changed += self._planner.step(
                now, name, current, self._observe_domains(now, name, current))
        return changed

    def _rate_names(self) -> list[str]:
        document = self._state_machine.document
        names = list(document.organisations.organisations)
        return names + [
            lists.open_route_name(route) for route in document.plans.open_routes
        ]

    def _observe_domains(
            self, now: float, name: str,
            current: dict[str, shares.Share]) -> dict[str, shares.DomainStatus]:
        observed_by_domain: dict[str, shares.DomainStatus] = {}
        best_weight_by_domain: dict[str, bytes] = {}
        for instance, node in self._view.by_instance.items():
            row = node.row
            domain = row.failure_domain
            if now - node.last_heard_at > _LIVENESS_TIMEOUT_S or row.stopping:
                continue
            observed = observed_by_domain.setdefault(
                domain, shares.DomainStatus("", set(), set(), 0.0))
            observed.live.add(row.process_id)
            observed.demand += node.demand.get(name, 0.0)
            weight = _rendezvous_weight(name, instance)
            if weight > best_weight_by_domain.get(domain, b""):
                best_weight_by_domain[domain] = weight
                observed.owner = row.process_id
        for domain, share in current.items():
            if domain not in observed_by_domain:
                continue
            observed = observed_by_domain[domain]
            if share.owner in observed.live:
                observed.owner = share.owner
            for process_id in (share.owner, share.floor_owner):
                if process_id and self._has_restarted(process_id):
                    observed.ended.add(process_id)
        return observed_by_domain

    def _has_restarted(self, process_id: str) -> bool:
        """Returns whether a newer incarnation has replaced a process."""
        instance, _, incarnation = process_id.rpartition(":")
        node = self._view.by_instance.get(instance)
        return node is not None and node.row.incarnation > int(incarnation)
