"""Applies the desired state and the evacuations in force to a node."""

import asyncio
from typing import Final

from apricothinge import settings
from apricothinge.mesh import documents
from apricothinge.mesh import state
from apricothinge.mesh import upstream
from apricothinge.overload import cold_start
from apricothinge.overload import routing
from apricothinge.web import server

__all__ = ["StateApplier"]

# An upstream counts by its own clock, so a part of the excess that it tolerates
# in a second is left unused.
_COLD_BURST_FRACTION: Final = 0.5
_MIN_HEADER_BYTES: Final = 1024


class StateApplier:
    """Passes what operators have ordered on to the components of a node."""

    __slots__ = ("_loop", "_settings", "_state", "_router", "_upstream",
                 "_caller_server", "_applied_document", "_applied_service")

    def __init__(self, node_settings: settings.MeshNode,
                 node_state: state.NodeState, router: routing.Router,
                 local_upstream: upstream.LocalUpstream,
                 caller_server: server.Server) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = node_settings
        self._state = node_state
        self._router = router
        self._upstream = local_upstream
        self._caller_server = caller_server
        self._applied_document: documents.CompiledDocument | None = None
        self._applied_service = ""
        node_state.on_evacuations = self._apply_evacuations

    def tick(self) -> None:
        """Applies what is new, and evacuations that have become due."""
        self._apply_evacuations()
        compiled = self._state.compiled
        service = self._upstream.service
        if compiled is None or (compiled is self._applied_document and
                                service == self._applied_service):
            return
        self._applied_document = compiled
        self._applied_service = service
        self._apply_limits(compiled.document.limits)
        self._apply_cold_start(compiled.service_by_name.get(service))

    def _apply_evacuations(self) -> None:
        now = self._loop.time()
        evacuations = self._state.evacuations
        self._router.evacuated_domains = evacuations.domains_to_avoid(now)
        self._upstream.set_evacuated(evacuations.is_own_due(now))

    def _apply_limits(self, client_limits: documents.ClientLimits) -> None:
        """Applies the limits on callers to their server."""
        limits = self._settings.limits
        self._caller_server.set_limits(
            settings.Limits(header_bytes=max(_MIN_HEADER_BYTES,
                                             client_limits.header_bytes),
                            header_timeout_s=client_limits.header_timeout_s,
                            idle_timeout_s=client_limits.idle_timeout_s,
                            body_timeout_s=limits.body_timeout_s,
                            connections=limits.connections))

    def _apply_cold_start(self, service: documents.Service | None) -> None:
        """Applies what a cold upstream of the local service takes."""
        if service is None:
            return
        extra = (service.cold_rate_per_s *
                 (self._settings.cold_rate_factor - 1.0) +
                 self._settings.cold_extra_requests)
        self._upstream.limit_cold_start(
            cold_start.ColdStartLimit(service.warm_up_s,
                                      service.cold_rate_per_s,
                                      extra * _COLD_BURST_FRACTION))
