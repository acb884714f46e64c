"""State of a mesh node that its components share."""

import asyncio
from collections.abc import Callable
import math
from typing import Final

from apricothinge import log
from apricothinge import metrics
from apricothinge.link import frames
from apricothinge.mesh import documents
from apricothinge.mesh import evacuations
from apricothinge.mesh import names
from apricothinge.mesh import pending
from apricothinge.mesh import tokens
from apricothinge.overload import crashes
from apricothinge.overload import drain

__all__ = ["NodeState"]

_CRASH_LIMIT: int = 3
# Response time that is assumed of a route that has not been used yet, relative
# to its latency objective.
_OBJECTIVE_FRACTION: Final = 0.5


class NodeState:
    """Shared state of a node.

    Attributes:
        names: Header names.
        compiled: The desired state in force, or None.
        token_pool: Rate limit tokens of the organisations.
        crash_table: Requests suspected of crashing upstreams.
        pending: Requests from this machine that have no response yet.
        response_times: Response times of requests from this machine by route.
        drain: The time left once the node is being stopped, or None before.
        report_due: Set when there is something to report to control.
        evacuations: Failure domains that operators have emptied.
        on_evacuations: Called when these have changed.
        configured_service: Service of this machine by the settings, or empty.
        metrics: Metrics of the node.
    """

    __slots__ = ("names", "compiled", "token_pool", "crash_table", "pending",
                 "response_times", "drain", "report_due", "metrics",
                 "evacuations", "on_evacuations", "configured_service",
                 "_announced_service")

    def __init__(self, header_names: names.HeaderNames, service: str,
                 node_evacuations: evacuations.Evacuations) -> None:
        self.names = header_names
        self.evacuations = node_evacuations
        self.on_evacuations: Callable[[], None] = _ignore_change
        self.compiled: documents.CompiledDocument | None = None
        self.token_pool = tokens.TokenPool(asyncio.get_running_loop().time())
        self.crash_table = crashes.CrashTable(_CRASH_LIMIT)
        self.pending = pending.PendingRequests()
        self.response_times = drain.ResponseTimes()
        self.drain: drain.Drain | None = None
        self.report_due = asyncio.Event()
        self.metrics = metrics.NodeMetrics()
        self.configured_service = service
        self._announced_service = ""

    @property
    def draining(self) -> bool:
        """Whether the node is being stopped."""
        return self.drain is not None

    def expected_s(self, route: str, objective_s: float) -> float:
        """Returns the expected response time of a route in seconds.

        Args:
            route: Name of the route.
            objective_s: Its latency objective in seconds.
        """
        return self.response_times.mean_s(route,
                                          objective_s * _OBJECTIVE_FRACTION)

    def start_by(self, call: frames.Call, deadline: float) -> float:
        """Returns when a request of this machine has to be at an upstream.

        Infinite unless the node is being stopped; loop time in seconds.

        Args:
            call: Head of the request.
            deadline: Loop time in seconds at which it ends in any case.
        """
        if self.drain is None:
            return math.inf
        return self.drain.start_by(
            deadline, self.expected_s(call.route, call.objective_s))

    @property
    def service(self) -> str:
        """The service that runs on this machine."""
        return self.configured_service or self._announced_service

    def set_announced_service(self, service: str) -> None:
        """Sets the service that the upstream has announced.

        It counts only if the settings name none.
        """
        self._announced_service = service

    @property
    def revision(self) -> int:
        """Revision of the desired state in force, -1 for none."""
        return -1 if self.compiled is None else self.compiled.revision

    def evacuate(self, revision: int, age_by_domain: dict[str, float]) -> None:
        """Takes over which failure domains are evacuated, if that is newer."""
        now = asyncio.get_running_loop().time()
        if self.evacuations.update(now, revision, age_by_domain):
            log.event("evacuation:in_force",
                      revision=revision,
                      domains=self.evacuations.domains())
            self.on_evacuations()

    def install(self, compiled: documents.CompiledDocument) -> bool:
        """Puts a desired state in force; returns False if it is not newer."""
        if compiled.revision <= self.revision:
            return False
        self.compiled = compiled
        log.event("state:in_force",
                  revision=compiled.revision,
                  version=compiled.document.version,
                  routes=len(compiled.document.routes))
        return True


def _ignore_change() -> None:
    """Default of `NodeState.on_evacuations`."""
