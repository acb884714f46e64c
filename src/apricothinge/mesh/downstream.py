"""Early refusal of requests by the capacity of downstream services."""

import asyncio
import random
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge.link import frames
from apricothinge.mesh import costs
from apricothinge.overload import completion
from apricothinge.overload import entry_shedder
from apricothinge.overload import routing

__all__ = ["DownstreamCapacity"]

# Other nodes report their load five times a second.
_REFRESH_S: Final = 0.05
# If one request in ten is admitted, callers retry after ten times this, which
# is short enough for callers that wait a few seconds.
_BASE_RETRY_S: Final = 0.3
_MIN_FRACTION: Final = 0.1
# A service is logged as full below the first fraction and as having room above
# the second. The gap keeps a load near the limit from flooding the log.
_FULL_THRESHOLD: Final = 0.9
_RECOVERED_THRESHOLD: Final = 0.99
# The same for the fraction of its calls that a service rejects.
_MANY_REJECTIONS: Final = 0.2
_RECOVERED_REJECTIONS: Final = 0.1


class DownstreamCapacity:
    """Checks downstream capacity for a request and the calls it leads to."""

    __slots__ = ("_loop", "_router", "_cost_table", "_shedder",
                 "_fraction_by_service", "_rejected_by_service",
                 "_refreshed_at", "_full_services", "_rejecting_services")

    def __init__(self, router: routing.Router, cost_table: costs.CostTable,
                 rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._router = router
        self._cost_table = cost_table
        self._shedder = entry_shedder.EntryShedder(self._loop.time(), rng)
        self._fraction_by_service: dict[str, float] = {}
        self._rejected_by_service: dict[str, float] = {}
        self._refreshed_at = 0.0
        self._full_services: set[str] = set()
        self._rejecting_services: set[str] = set()

    def _refresh(self, now: float) -> None:
        """Updates the admitted fractions and logs which services are full."""
        self._fraction_by_service = self._router.capacity_ratios()
        self._rejected_by_service = self._router.rejected_fractions()
        self._refreshed_at = now
        for service, rejected in self._rejected_by_service.items():
            if service in self._rejecting_services:
                if rejected < _RECOVERED_REJECTIONS:
                    self._rejecting_services.remove(service)
                    log.event("service:accepts", service=service)
            elif rejected > _MANY_REJECTIONS:
                self._rejecting_services.add(service)
                log.event("service:rejects",
                          service=service,
                          fraction=round(rejected, 3))
        for service, fraction in self._fraction_by_service.items():
            if service in self._full_services:
                if fraction > _RECOVERED_THRESHOLD:
                    self._full_services.remove(service)
                    log.event("service:has_room",
                              service=service,
                              part=fraction)
            elif fraction < _FULL_THRESHOLD:
                self._full_services.add(service)
                log.event("service:full",
                          service=service,
                          part=round(fraction, 3))

    def check(self, call: frames.Call) -> None:
        """Admits a request, or refuses it for lack of downstream capacity.

        Raises:
            errors.CallError: OVERLOADED, with the time after which to retry.
        """
        now = self._loop.time()
        if now - self._refreshed_at >= _REFRESH_S:
            self._refresh(now)
        fraction = min(
            self._shedder.admission_probability(
                now, call.rank, self._cost_table.get(call.service, call.route),
                self._fraction_by_service),
            completion.admission_probability(
                self._cost_table.calls(call.service, call.route),
                self._rejected_by_service))
        if self._shedder.admit(fraction):
            return
        raise errors.CallError(
            errors.Kind.OVERLOADED,
            f"downstream capacity for {fraction:.2f} of such requests",
            retry_after_s=_BASE_RETRY_S / max(_MIN_FRACTION, fraction))
