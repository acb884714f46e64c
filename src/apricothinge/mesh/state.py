"""The tables of a mesh node, shared by the systems that run over them."""

import asyncio

from apricothinge import log
from apricothinge import metrics
from apricothinge.mesh import documents
from apricothinge.mesh import names
from apricothinge.mesh import tokens
from apricothinge.overload import crashes

__all__ = ["NodeState"]

_CRASH_LIMIT: int = 3


class NodeState:
    """What a node knows and decides by.

    Attributes:
        names: Names of headers.
        compiled: The desired state in force, or None.
        token_pool: Tokens of the organisations' rates.
        crashes: Requests that crash upstreams.
        running: Requests from this machine in progress.
        draining: Whether it is being stopped.
        closed: Whether it takes no new requests from this machine.
        report_due: Set where control should be told something.
        metrics: What it counts.
    """

    __slots__ = ("names", "compiled", "token_pool", "crashes", "running",
                 "draining", "closed", "report_due", "metrics",
                 "_configured_service", "_announced_service")

    def __init__(self, header_names: names.HeaderNames, service: str) -> None:
        self.names = header_names
        self.compiled: documents.CompiledDocument | None = None
        self.token_pool = tokens.TokenPool(asyncio.get_running_loop().time())
        self.crashes = crashes.CrashTable(_CRASH_LIMIT)
        self.running = 0
        self.draining = False
        self.closed = False
        self.report_due = asyncio.Event()
        self.metrics = metrics.NodeMetrics()
        self._configured_service = service
        self._announced_service = ""

    @property
    def service(self) -> str:
        """The service that runs on this machine."""
        return self._announced_service or self._configured_service

    def set_announced_service(self, service: str) -> None:
        """Takes in which service the upstream says it is."""
        self._announced_service = service

    @property
    def revision(self) -> int:
        """The desired state in force, -1 for none."""
        return -1 if self.compiled is None else self.compiled.revision

    def install(self, compiled: documents.CompiledDocument) -> bool:
        """Puts a newer desired state in force; never an older one."""
        if compiled.revision <= self.revision:
            return False
        self.compiled = compiled
        log.event("state:in_force",
                  revision=compiled.revision,
                  version=compiled.document.version,
                  routes=len(compiled.document.routes))
        return True
