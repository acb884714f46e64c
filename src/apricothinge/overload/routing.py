"""Selection of the upstream instance for a call."""

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
# Upstreams in the own failure domain are preferred only below this utilisation.
_MAX_LOCAL_UTILISATION: Final = 0.7
# A cold upstream takes about twice as long for each call.
_COLD_SPEED_FACTOR: Final = 0.5
_ADMITTED_FRACTION_GAIN: Final = 0.2
_ADMITTED_FRACTION_RECOVERY: Final = 0.1


class Upstream:
    """Local view of one upstream instance.

    Attributes:
        instance: Name of the instance.
        service: Name of its service.
        failure_domain: Failure domain it runs in.
        region: Region of the failure domain.
        peer: Peer address of its node.
        draining: Whether it accepts no new calls.
        incarnation: Increases with each start of its node.
        outstanding: Calls sent from this node that are still in flight.
        latency_s: Smoothed latency in seconds.
        admitted_fraction: Smoothed fraction of calls that it admits, 0 to 1.
        failures: Consecutive failures.
        ejections: Consecutive ejections, for exponential back-off.
        ejected_until: Time in seconds until which it is ejected.
        started_at: Start of its slow start, in seconds.
        cold_until: Time in seconds until which it reports to be cold.
        utilisation: Last reported ratio of running and queued calls to slots.
        sent_since_report: Calls sent from this node since that report.
        slots: Calls that it can run concurrently; 0 if unknown.
        capacity_ratio: Fraction of the demand on its service that fills it.
        suspect: Whether its node has not answered for a while.
        rejected_fraction: Fraction of the calls that it rejects unrun.
    """

    __slots__ = ("instance", "service", "failure_domain", "region", "peer",
                 "draining", "incarnation", "outstanding", "latency_s",
                 "admitted_fraction", "failures", "ejections", "ejected_until",
                 "started_at", "cold_until", "utilisation", "sent_since_report",
                 "slots", "capacity_ratio", "suspect", "rejected_fraction")

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
        self.suspect = False
        self.rejected_fraction = 0.0

    def update_load(self,
                    running: int,
                    queued: int,
                    slots: int,
                    capacity_ratio: float,
                    rejected_fraction: float = 0.0) -> None:
        """Applies a load report of the instance."""
        self.rejected_fraction = rejected_fraction
        self.capacity_ratio = capacity_ratio
        self.slots = slots
        self.utilisation = (running + queued) / max(1, slots)
        self.sent_since_report = 0

    def estimated_utilisation(self) -> float:
        """Returns the utilisation including calls sent since the report."""
        return self.utilisation + self.sent_since_report / max(1, self.slots)

    def is_available(self, now: float) -> bool:
        """Returns whether it is neither draining nor ejected."""
        return not self.draining and self.ejected_until <= now

    def load_score(self, now: float) -> float:
        """Returns the expected latency, increased while slow or starting."""
        age = (now - self.started_at) / _SLOW_START_S
        ramp = min(1.0, max(_MIN_SLOW_START_FACTOR, age))
        if now < self.cold_until:
            ramp *= _COLD_SPEED_FACTOR
        if self.slots:
            # Calls only queue once the slots are used up, so the load is taken
            # relative to the slots.
            return (self.estimated_utilisation() +
                    1.0 / self.slots) * self.latency_s / ramp
        return (self.outstanding + 1) * self.latency_s / ramp


class Router:
    """Maintains the known upstreams and picks one for each call.

    Attributes:
        by_instance: All known upstream instances.
        nodes_by_instance: All known nodes, including those without an upstream.
        evacuated_domains: Failure domains whose instances get no calls.
    """

    __slots__ = ("by_instance", "nodes_by_instance", "evacuated_domains",
                 "_by_service", "_failure_domain", "_region", "_rng")

    def __init__(self, failure_domain: str, region: str,
                 rng: random.Random) -> None:
        self.by_instance: dict[str, Upstream] = {}
        self.nodes_by_instance: dict[str, Upstream] = {}
        self.evacuated_domains: frozenset[str] = frozenset()
        self._by_service: dict[str, list[Upstream]] = {}
        self._failure_domain = failure_domain
        self._region = region
        self._rng = rng

    def upsert(self, upstream: Upstream) -> None:
        """Adds an instance or updates it from a new announcement."""
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
            known.latency_s = _INITIAL_LATENCY_S
            known.ejections = 0
            known.failures = 0
            known.ejected_until = 0.0
            known.admitted_fraction = 1.0
        known.failure_domain = upstream.failure_domain
        known.region = upstream.region
        known.peer = upstream.peer
        known.draining = upstream.draining
        known.incarnation = upstream.incarnation

    def set_cold(self, instance: str, now: float, cold_s: float) -> None:
        """Sets for how many seconds an instance reports to be cold."""
        upstream = self.by_instance.get(instance)
        if upstream is not None:
            upstream.cold_until = now + cold_s

    def remove(self, instance: str) -> None:
        """Removes an instance."""
        self.nodes_by_instance.pop(instance, None)
        upstream = self.by_instance.pop(instance, None)
        if upstream is not None:
            self._by_service[upstream.service].remove(upstream)

    def service_capacity_ratio(self, service: str) -> float:
        """Returns the fraction of its demand a service can take, 0 to 1."""
        accepting = [
            upstream for upstream in self._by_service.get(service, ())
            if not upstream.draining and upstream.slots and
            upstream.failure_domain not in self.evacuated_domains
        ]
        slots = sum(upstream.slots for upstream in accepting)
        if not slots:
            return 1.0
        return min(
            1.0,
            sum(upstream.capacity_ratio * upstream.slots
                for upstream in accepting) / slots)

    def capacity_ratios(self) -> dict[str, float]:
        """Returns the fraction of its demand each service can take, 0 to 1."""
        return {
            service: self.service_capacity_ratio(service)
            for service in self._by_service
        }

    def rejected_fractions(self) -> dict[str, float]:
        """Returns the fraction of calls that each service rejects unrun."""
        fractions = {}
        for service, upstreams in self._by_service.items():
            accepting = [
                upstream for upstream in upstreams
                if not upstream.draining and upstream.slots
            ]
            slots = sum(upstream.slots for upstream in accepting)
            if slots:
                fractions[service] = sum(
                    upstream.rejected_fraction * upstream.slots
                    for upstream in accepting) / slots
        return fractions

    def has_service(self, service: str) -> bool:
        """Returns whether the service has or had an instance."""
        return service in self._by_service

    def pick(self,
             now: float,
             service: str,
             tried: set[str],
             homes: frozenset[str] | None = None) -> Upstream | None:
        """Picks the less loaded of two random instances, nearest ones first.

        Args:
            now: Current time in seconds.
            service: The service to call.
            tried: Instances that the call was already sent to.
            homes: Regions that the call has to stay in, or None for any.

        Returns:
            An instance, or None if none can take the call.
        """
        candidates = [
            upstream for upstream in self._by_service.get(service, ())
            if not upstream.draining and upstream.instance not in tried
        ]
        if self.evacuated_domains:
            candidates = [
                upstream for upstream in candidates
                if upstream.failure_domain not in self.evacuated_domains
            ]
        if homes is not None:
            candidates = [
                upstream for upstream in candidates if upstream.region in homes
            ]
        if not candidates:
            return None
        healthy = [
            upstream for upstream in candidates if upstream.is_available(now)
        ]
        responsive = [upstream for upstream in healthy if not upstream.suspect]
        nearest = self._prefer_nearest(responsive or healthy or candidates)
        if len(nearest) == 1:
            return nearest[0]
        first, second = self._rng.sample(nearest, 2)
        return first if first.load_score(now) <= second.load_score(
            now) else second

    def _prefer_nearest(self, candidates: list[Upstream]) -> list[Upstream]:
        """Drops more distant candidates while nearer ones have capacity."""
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
        """Records that a call was sent to an instance."""
        upstream.outstanding += 1
        upstream.sent_since_report += 1

    def record_response(self, upstream: Upstream, latency_s: float,
                        admitted_fraction: float) -> None:
        """Records a response and the admitted fraction that it reported."""
        upstream.outstanding -= 1
        upstream.failures = 0
        upstream.ejections = 0
        upstream.latency_s += _LATENCY_GAIN * (latency_s - upstream.latency_s)
        upstream.admitted_fraction += _ADMITTED_FRACTION_GAIN * (
            admitted_fraction - upstream.admitted_fraction)

    def record_refusal(self, upstream: Upstream,
                       admitted_fraction: float) -> None:
        """Records that the node of an instance refused a call unrun."""
        upstream.outstanding -= 1
        upstream.admitted_fraction += _ADMITTED_FRACTION_GAIN * (
            admitted_fraction - upstream.admitted_fraction)

    def record_inconclusive(self, upstream: Upstream) -> None:
        """Records the end of a call that says nothing about the instance."""
        upstream.outstanding -= 1

    def record_failure(self, now: float, upstream: Upstream, *,
                       eject_now: bool) -> None:
        """Records a failure; ejects the instance after several in a row.

        Args:
            now: Current time in seconds.
            upstream: The instance.
            eject_now: Whether a single failure is enough, for example if the
                connection was refused.
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
        # If all instances are slow, ejection would only shift the load.
        instances = self._by_service[service]
        if len(instances) == 1:
            return False
        ejected = sum(upstream.ejected_until > now for upstream in instances)
        return ejected + 1 <= max(1, len(instances) * _MAX_EJECTED_FRACTION)

    def tick(self, now: float) -> None:
        """Raises the admitted fraction of idle instances to retry them."""
        del now
        for upstream in self.by_instance.values():
            if not upstream.outstanding and upstream.admitted_fraction < 1.0:
                upstream.admitted_fraction = min(
                    1.0,
                    upstream.admitted_fraction + _ADMITTED_FRACTION_RECOVERY)
