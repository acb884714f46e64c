"""The tables of a mesh node, shared by the systems that run over them."""

import asyncio

from apricothinge import log
from apricothinge import metrics
from apricothinge.mesh import documents
from apricothinge.mesh import names
from apricothinge.mesh import tokens
from apricothinge.overload import crashes

__all__ = ["NodeState"]

_CRASHES: int = 3


class NodeState:
    """What a node knows and decides by.

    Attributes:
        names: Names of headers.
        compiled: The desired state in force, or None.
        token_pool: Tokens of the organisations' rates.
        crashes: Requests that crash upstreams.
        running: Requests from this machine in progress.
        leaving: Whether it is being stopped.
        closed: Whether it takes no new requests from this machine.
        changed: Set where control should be told something.
        metrics: What it counts.
    """

    __slots__ = ("names", "compiled", "token_pool", "crashes", "running",
                 "leaving", "closed", "changed", "metrics", "_service",
                 "_announced")

    def __init__(self, header_names: names.HeaderNames, service: str) -> None:
        self.names = header_names
        self.compiled: documents.Compiled | None = None
        self.token_pool = tokens.TokenPool(asyncio.get_running_loop().time())
        self.crashes = crashes.CrashTable(_CRASHES)
        self.running = 0
        self.leaving = False
        self.closed = False
        self.changed = asyncio.Event()
        self.metrics = metrics.NodeMetrics()
        self._service = service
        self._announced = ""

    @property
    def service(self) -> str:
        """The service that runs on this machine."""
        return self._announced or self._service

    def announced(self, service: str) -> None:
        """Takes in which service the upstream says it is."""
        self._announced = service

    @property
    def revision(self) -> int:
        """The desired state in force, -1 for none."""
        return -1 if self.compiled is None else self.compiled.revision

    def install(self, compiled: documents.Compiled) -> bool:
        """Puts a newer desired state in force; never an older one."""
        if compiled.revision <= self.revision:
            return False
        self.compiled = compiled
        log.event("state:in_force",
                  revision=compiled.revision,
                  version=compiled.document.version,
                  routes=len(compiled.document.routes))
        return True
