"""Choice of the upstream instance that a call is sent to."""

import random
from typing import Final

from apricothinge import settings

__all__ = ["Router", "Upstream"]

_FIRST_LATENCY_S: Final = 0.005
_LATENCY_GAIN: Final = 0.1
_SLOW_START_S: Final = 3.0
_SLOW_START_SMALLEST: Final = 0.1
_FAILURES_TO_EJECT: Final = 3
_EJECTION_S: Final = 1.0
_LONGEST_EJECTION_S: Final = 30.0
_EJECTED_PART: Final = 0.5
_ROOM: Final = 0.9
# A place whose upstreams are fuller than this gets no preference.
_NEAR_FULL: Final = 0.7
# A cold upstream needs about twice the time for each call.
_COLD_PART: Final = 0.5
_LEVEL_GAIN: Final = 0.2
_LEVEL_RECOVERY: Final = 0.1


class Upstream:
    """One upstream instance as this node sees it.

    Attributes:
        instance: Name of its instance.
        service: Which service it is.
        failure_domain: Where it is.
        region: Where its failure domain is.
        peer: Peer address of the node beside it.
        draining: Whether it takes no new work.
        incarnation: Grows with each start of its node.
        outstanding: Calls sent to it from here and not yet answered.
        latency_s: Smoothed latency in seconds.
        admitted_part: Smoothed part of calls that it admits, 0 to 1.
        failures: Failures in a row.
        ejections: Ejections in a row, for the back-off.
        ejected_until: Time in seconds until which it gets no calls.
        started_at: Time in seconds at which its slow start began.
        cold_until: Time in seconds until which it says that it is slow.
        fullness: Its slots in use as last told, 1 for all of them.
        sent_since: Calls sent to it from here since that was told.
        slots: Calls that it runs at once, 0 where that is not known.
        part: Part of the demand on its service at which it would be full.
    """

    __slots__ = ("instance", "service", "failure_domain", "region", "peer",
                 "draining", "incarnation", "outstanding", "latency_s",
                 "admitted_part", "failures", "ejections", "ejected_until",
                 "started_at", "cold_until", "fullness", "sent_since", "slots",
                 "part")

    def __init__(self, instance: str, service: str, failure_domain: str,
                 region: str, peer: settings.Address, draining: bool,
                 incarnation: int, now: float) -> None:
        self.instance = instance
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.peer = peer
        self.draining = draining
        self.incarnation = incarnation
        self.outstanding = 0
        self.latency_s = _FIRST_LATENCY_S
        self.admitted_part = 1.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.started_at = now
        self.cold_until = 0.0
        self.fullness = 0.0
        self.sent_since = 0
        self.slots = 0
        self.part = 1.0

    def take_load(self, running: int, queued: int, slots: int,
                  part: float) -> None:
        """Takes in how full it says that it is."""
        self.part = part
        self.slots = slots
        self.fullness = (running + queued) / max(1, slots)
        self.sent_since = 0

    def filled(self) -> float:
        """Its slots in use, with what was sent since it told."""
        return self.fullness + self.sent_since / max(1, self.slots)

    def usable(self, now: float) -> bool:
        """Tells whether it takes new work and is not ejected."""
        return not self.draining and self.ejected_until <= now

    def cost(self, now: float) -> float:
        """The expected wait, larger while it starts slowly."""
        age = (now - self.started_at) / _SLOW_START_S
        ramp = min(1.0, max(_SLOW_START_SMALLEST, age))
        if now < self.cold_until:
            ramp *= _COLD_PART
        if self.slots:
            # Waiting begins when the slots are used up, not in proportion.
            return (self.filled() + 1.0 / self.slots) * self.latency_s / ramp
        return (self.outstanding + 1) * self.latency_s / ramp


class Router:
    """Keeps the table of upstreams and picks from it.

    Attributes:
        by_instance: All known upstream instances.
        nodes_by_instance: All known nodes, also those without an upstream.
    """

    __slots__ = ("by_instance", "nodes_by_instance", "_by_service",
                 "_failure_domain", "_region", "_random")

    def __init__(self, failure_domain: str, region: str,
                 source: random.Random) -> None:
        self.by_instance: dict[str, Upstream] = {}
        self.nodes_by_instance: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._failure_domain = failure_domain
        self._region = region
        self._random = source

    def put(self, row: Upstream) -> None:
        """Adds an instance, or takes in what was announced about it anew."""
        known = self.by_instance.get(row.instance)
        if known is not None and known.service != row.service:
            self.remove(row.instance)
            known = None
        if known is None:
            self.nodes_by_instance[row.instance] = row
            if row.service:
                self.by_instance[row.instance] = row
                self._by_service.setdefault(row.service, []).append(row)
            return
        if row.incarnation != known.incarnation:
            known.started_at = row.started_at
            known.failures = 0
            known.ejected_until = 0.0
            known.admitted_part = 1.0
        known.failure_domain = row.failure_domain
        known.region = row.region
        known.peer = row.peer
        known.draining = row.draining
        known.incarnation = row.incarnation

    def set_cold(self, instance: str, now: float, cold_s: float) -> None:
        """Takes in for how many seconds an instance says it is slow."""
        row = self.by_instance.get(instance)
        if row is not None:
            row.cold_until = now + cold_s

    def remove(self, instance: str) -> None:
        """Forgets an instance that has left."""
        self.nodes_by_instance.pop(instance, None)
        row = self.by_instance.pop(instance, None)
        if row is not None:
            self._by_service[row.service].remove(row)

    def part(self, service: str) -> float:
        """Part of its demand that a service can take, 0 to 1."""
        taking = [
            row for row in self._by_service.get(service, ())
            if not row.draining and row.slots
        ]
        slots = sum(row.slots for row in taking)
        if not slots:
            return 1.0
        return min(1.0, sum(row.part * row.slots for row in taking) / slots)

    def part_by_service(self) -> dict[str, float]:
        """Part of its demand that each service can take, 0 to 1."""
        return {service: self.part(service) for service in self._by_service}

    def knows(self, service: str) -> bool:
        """Tells whether a service ever had an instance."""
        return service in self._by_service

    def pick(self, now: float, service: str,
             tried: set[str]) -> Upstream | None:
        """Picks the better of two instances, the nearest places first.

        Args:
            now: Time in seconds.
            service: The service to call.
            tried: Instances that this call has been sent to already.

        Returns:
            An instance, or None where none may take the call.
        """
        rows = [
            row for row in self._by_service.get(service, ())
            if not row.draining and row.instance not in tried
        ]
        if not rows:
            return None
        healthy = [row for row in rows if row.usable(now)]
        near = self._nearest(healthy or rows)
        if len(near) == 1:
            return near[0]
        first, second = self._random.sample(near, 2)
        return first if first.cost(now) <= second.cost(now) else second

    def _nearest(self, rows: list[Upstream]) -> list[Upstream]:
        """Leaves out farther places while nearer ones have room."""
        chosen = [
            row for row in rows
            if row.failure_domain == self._failure_domain and
            row.filled() < _NEAR_FULL
        ]
        if any(row.admitted_part >= _ROOM for row in chosen):
            return chosen
        chosen = [row for row in rows if row.region == self._region]
        if any(row.admitted_part >= _ROOM for row in chosen):
            return chosen
        return rows

    def started(self, row: Upstream) -> None:
        """Takes in that a call is on its way."""
        row.outstanding += 1
        row.sent_since += 1

    def answered(self, row: Upstream, latency_s: float,
                 admitted_part: float) -> None:
        """Takes in an answer and the level that it carried."""
        row.outstanding -= 1
        row.failures = 0
        row.ejections = 0
        row.latency_s += _LATENCY_GAIN * (latency_s - row.latency_s)
        row.admitted_part += _LEVEL_GAIN * (admitted_part - row.admitted_part)

    def refused(self, row: Upstream, admitted_part: float) -> None:
        """Takes in that the node beside it refused without running."""
        row.outstanding -= 1
        row.admitted_part += _LEVEL_GAIN * (admitted_part - row.admitted_part)

    def ended(self, row: Upstream) -> None:
        """Takes in a call that says nothing about the instance."""
        row.outstanding -= 1

    def failed(self, now: float, row: Upstream, *, at_once: bool) -> None:
        """Takes in a failure; ejects after some in a row.

        Args:
            now: Time in seconds.
            row: The instance.
            at_once: Whether one such failure is enough, as when nothing
                listens there.
        """
        row.outstanding -= 1
        row.failures += 1
        if not at_once and row.failures < _FAILURES_TO_EJECT:
            return
        if row.ejected_until > now or not self._may_eject(now, row.service):
            return
        wait_s = min(_LONGEST_EJECTION_S, _EJECTION_S * 2**row.ejections)
        row.ejections += 1
        row.failures = 0
        row.ejected_until = now + wait_s
        row.started_at = row.ejected_until

    def _may_eject(self, now: float, service: str) -> bool:
        # When all are slow, ejection would only move the load.
        rows = self._by_service[service]
        ejected = sum(row.ejected_until > now for row in rows)
        return ejected + 1 <= max(1, len(rows) * _EJECTED_PART)

    def tick(self, now: float) -> None:
        """Lets instances that get no calls be tried again."""
        del now
        for row in self.by_instance.values():
            if not row.outstanding and row.admitted_part < 1.0:
                row.admitted_part = min(1.0,
                                        row.admitted_part + _LEVEL_RECOVERY)
