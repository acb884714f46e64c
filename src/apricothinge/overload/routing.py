"""Choice of the upstream instance that a call is sent to."""

import random
from typing import Final

from apricothinge import settings

__all__ = ["Router", "Upstream"]

_INITIAL_LATENCY_S: Final = 0.005
_LATENCY_GAIN: Final = 0.1
_SLOW_START_S: Final = 3.0
_MIN_SLOW_START_FACTOR: Final = 0.1
_FAILURES_TO_EJECT: Final = 3
_EJECTION_S: Final = 1.0
_MAX_EJECTION_S: Final = 30.0
_MAX_EJECTED_FRACTION: Final = 0.5
_MIN_ADMITTED_FRACTION: Final = 0.9
# A place whose upstreams are fuller than this gets no preference.
_MAX_LOCAL_UTILISATION: Final = 0.7
# A cold upstream needs about twice the time for each call.
_COLD_SPEED_FACTOR: Final = 0.5
_ADMITTED_FRACTION_GAIN: Final = 0.2
_ADMITTED_FRACTION_RECOVERY: Final = 0.1


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
        admitted_fraction: Smoothed part of calls that it admits, 0 to 1.
        failures: Failures in a row.
        ejections: Ejections in a row, for the back-off.
        ejected_until: Time in seconds until which it gets no calls.
        started_at: Time in seconds at which its slow start began.
        cold_until: Time in seconds until which it says that it is slow.
        utilisation: Its slots in use as last told, 1 for all of them.
        sent_since_report: Calls sent to it from here since that was told.
        slots: Calls that it runs at once, 0 where that is not known.
        capacity_ratio: Fraction of the demand on its service that fills it.
    """

    __slots__ = ("instance", "service", "failure_domain", "region", "peer",
                 "draining", "incarnation", "outstanding", "latency_s",
                 "admitted_fraction", "failures", "ejections", "ejected_until",
                 "started_at", "cold_until", "utilisation", "sent_since_report",
                 "slots", "capacity_ratio")

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
        self.latency_s = _INITIAL_LATENCY_S
        self.admitted_fraction = 1.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.started_at = now
        self.cold_until = 0.0
        self.utilisation = 0.0
        self.sent_since_report = 0
        self.slots = 0
        self.capacity_ratio = 1.0

    def update_load(self, running: int, queued: int, slots: int,
                    capacity_ratio: float) -> None:
        """Takes in how full it says that it is."""
        self.capacity_ratio = capacity_ratio
        self.slots = slots
        self.utilisation = (running + queued) / max(1, slots)
        self.sent_since_report = 0

    def estimated_utilisation(self) -> float:
        """Its slots in use, with what was sent since it told."""
        return self.utilisation + self.sent_since_report / max(1, self.slots)

    def is_available(self, now: float) -> bool:
        """Tells whether it takes new work and is not ejected."""
        return not self.draining and self.ejected_until <= now

    def load_score(self, now: float) -> float:
        """The expected wait, larger while it starts slowly."""
        age = (now - self.started_at) / _SLOW_START_S
        ramp = min(1.0, max(_MIN_SLOW_START_FACTOR, age))
        if now < self.cold_until:
            ramp *= _COLD_SPEED_FACTOR
        if self.slots:
            # Waiting begins when the slots are used up, not in proportion.
            return (self.estimated_utilisation() +
                    1.0 / self.slots) * self.latency_s / ramp
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
                 rng: random.Random) -> None:
        self.by_instance: dict[str, Upstream] = {}
        self.nodes_by_instance: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._failure_domain = failure_domain
        self._region = region
        self._random = rng

    def upsert(self, upstream: Upstream) -> None:
        """Adds an instance, or takes in what was announced about it anew."""
        known = self.by_instance.get(upstream.instance)
        if known is not None and known.service != upstream.service:
            self.remove(upstream.instance)
            known = None
        if known is None:
            self.nodes_by_instance[upstream.instance] = upstream
            if upstream.service:
                self.by_instance[upstream.instance] = upstream
                self._by_service.setdefault(upstream.service,
                                            []).append(upstream)
            return
        if upstream.incarnation != known.incarnation:
            known.started_at = upstream.started_at
            known.failures = 0
            known.ejected_until = 0.0
            known.admitted_fraction = 1.0
        known.failure_domain = upstream.failure_domain
        known.region = upstream.region
        known.peer = upstream.peer
        known.draining = upstream.draining
        known.incarnation = upstream.incarnation

    def set_cold(self, instance: str, now: float, cold_s: float) -> None:
        """Takes in for how many seconds an instance says it is slow."""
        upstream = self.by_instance.get(instance)
        if upstream is not None:
            upstream.cold_until = now + cold_s

    def remove(self, instance: str) -> None:
        """Forgets an instance that has left."""
        self.nodes_by_instance.pop(instance, None)
        upstream = self.by_instance.pop(instance, None)
        if upstream is not None:
            self._by_service[upstream.service].remove(upstream)

    def service_capacity_ratio(self, service: str) -> float:
        """Part of its demand that a service can take, 0 to 1."""
        accepting = [
            upstream for upstream in self._by_service.get(service, ())
            if not upstream.draining and upstream.slots
        ]
        slots = sum(upstream.slots for upstream in accepting)
        if not slots:
            return 1.0
        return min(
            1.0,
            sum(upstream.capacity_ratio * upstream.slots
                for upstream in accepting) / slots)

    def capacity_ratios(self) -> dict[str, float]:
        """Part of its demand that each service can take, 0 to 1."""
        return {
            service: self.service_capacity_ratio(service)
            for service in self._by_service
        }

    def has_service(self, service: str) -> bool:
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
        candidates = [
            upstream for upstream in self._by_service.get(service, ())
            if not upstream.draining and upstream.instance not in tried
        ]
        if not candidates:
            return None
        healthy = [
            upstream for upstream in candidates if upstream.is_available(now)
        ]
        nearest = self._prefer_nearest(healthy or candidates)
        if len(nearest) == 1:
            return nearest[0]
        first, second = self._random.sample(nearest, 2)
        return first if first.load_score(now) <= second.load_score(
            now) else second

    def _prefer_nearest(self, candidates: list[Upstream]) -> list[Upstream]:
        """Leaves out farther places while nearer ones have room."""
        chosen = [
            upstream for upstream in candidates
            if upstream.failure_domain == self._failure_domain and
            upstream.estimated_utilisation() < _MAX_LOCAL_UTILISATION
        ]
        if any(upstream.admitted_fraction >= _MIN_ADMITTED_FRACTION
               for upstream in chosen):
            return chosen
        chosen = [
            upstream for upstream in candidates
            if upstream.region == self._region
        ]
        if any(upstream.admitted_fraction >= _MIN_ADMITTED_FRACTION
               for upstream in chosen):
            return chosen
        return candidates

    def record_sent(self, upstream: Upstream) -> None:
        """Takes in that a call is on its way."""
        upstream.outstanding += 1
        upstream.sent_since_report += 1

    def record_response(self, upstream: Upstream, latency_s: float,
                        admitted_fraction: float) -> None:
        """Takes in an answer and the level that it carried."""
        upstream.outstanding -= 1
        upstream.failures = 0
        upstream.ejections = 0
        upstream.latency_s += _LATENCY_GAIN * (latency_s - upstream.latency_s)
        upstream.admitted_fraction += _ADMITTED_FRACTION_GAIN * (
            admitted_fraction - upstream.admitted_fraction)

    def record_refusal(self, upstream: Upstream,
                       admitted_fraction: float) -> None:
        """Takes in that the node beside it refused without running."""
        upstream.outstanding -= 1
        upstream.admitted_fraction += _ADMITTED_FRACTION_GAIN * (
            admitted_fraction - upstream.admitted_fraction)

    def record_inconclusive(self, upstream: Upstream) -> None:
        """Takes in a call that says nothing about the instance."""
        upstream.outstanding -= 1

    def record_failure(self, now: float, upstream: Upstream, *,
                       eject_now: bool) -> None:
        """Takes in a failure; ejects after some in a row.

        Args:
            now: Time in seconds.
            upstream: The instance.
            eject_now: Whether one such failure is enough, as when nothing
                listens there.
        """
        upstream.outstanding -= 1
        upstream.failures += 1
        if not eject_now and upstream.failures < _FAILURES_TO_EJECT:
            return
        if upstream.ejected_until > now or not self._may_eject(
                now, upstream.service):
            return
        wait_s = min(_MAX_EJECTION_S, _EJECTION_S * 2**upstream.ejections)
        upstream.ejections += 1
        upstream.failures = 0
        upstream.ejected_until = now + wait_s
        upstream.started_at = upstream.ejected_until

    def _may_eject(self, now: float, service: str) -> bool:
        # When all are slow, ejection would only move the load.
        instances = self._by_service[service]
        ejected = sum(upstream.ejected_until > now for upstream in instances)
        return ejected + 1 <= max(1, len(instances) * _MAX_EJECTED_FRACTION)

    def tick(self, now: float) -> None:
        """Lets instances that get no calls be tried again."""
        del now
        for upstream in self.by_instance.values():
            if not upstream.outstanding and upstream.admitted_fraction < 1.0:
                upstream.admitted_fraction = min(
                    1.0,
                    upstream.admitted_fraction + _ADMITTED_FRACTION_RECOVERY)
