"""State of a node that its components share."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import math
import random
import secrets
from typing import Final

from apricothinge import context
from apricothinge import errors
from apricothinge import lists
from apricothinge import log
from apricothinge import metrics
from apricothinge import settings
from apricothinge.overload import admission
from apricothinge.overload import claims
from apricothinge.overload import crashes
from apricothinge.overload import entry_throttle
from apricothinge.overload import limit
from apricothinge.overload import retries
from apricothinge.overload import routing
from apricothinge.rates import limiter

__all__ = ["Call", "LocalUpstream", "NodeState", "PendingRequest"]

_CALL_TOKEN_BYTES: Final = 16
_DRAIN_GRACE_S: Final = 1.5


class PendingRequest:
    """A request of a caller between its arrival and its response.

    Attributes:
        request_id: Identifier of the request.
        path: Path of the request.
        received_at: Loop time in seconds.
        service: Service to which it is sent, empty before that.
    """

    __slots__ = ("request_id", "path", "received_at", "service")

    def __init__(self, request_id: str, path: str, received_at: float) -> None:
        self.request_id = request_id
        self.path = path
        self.received_at = received_at
        self.service = ""


class Call:
    """A call that the local upstream runs; the parent of its nested calls.

    Attributes:
        token: Unguessable token that the upstream echoes on nested calls.
        context: Context of the call.
        deadline: Loop time in seconds.
        budget: Retries left for nested calls.
        admitted_fraction: Smallest admitted fraction that nested calls have
            reported, 0 to 1.
        nested_shed: Whether a nested call was shed because of overload.
        nested_tasks: Tasks of nested calls in progress.
        nested_s: Seconds during which at least one nested call was running,
            without the current period.
        nested_started_at: Loop time in seconds at which that period began.
        started_at: Loop time in seconds at which the call was sent to the
            upstream.
    """

    __slots__ = ("token", "context", "deadline", "budget", "admitted_fraction",
                 "nested_shed", "nested_tasks", "nested_s", "nested_started_at",
                 "started_at")

    def __init__(self, call_context: context.Context, deadline: float,
                 now: float) -> None:
        self.token = secrets.token_urlsafe(_CALL_TOKEN_BYTES)
        self.context = call_context
        self.deadline = deadline
        self.budget = retries.CallTreeBudget(call_context.retry_budget)
        self.admitted_fraction = 1.0
        self.nested_shed = False
        self.nested_tasks: set[asyncio.Task[None]] = set()
        self.nested_s = 0.0
        self.nested_started_at = 0.0
        self.started_at = now

    def record_nested_start(self, now: float,
                            task: "asyncio.Task[None]") -> None:
        """Records the start of a nested call."""
        if not self.nested_tasks:
            self.nested_started_at = now
        self.nested_tasks.add(task)

    def record_nested_end(self, now: float, task: "asyncio.Task[None]") -> None:
        """Records the end of a nested call."""
        self.nested_tasks.discard(task)
        if not self.nested_tasks:
            self.nested_s += now - self.nested_started_at

    def own_time_s(self, now: float) -> float:
        """Returns the seconds spent so far outside of nested calls."""
        nested_s = self.nested_s
        if self.nested_tasks:
            nested_s += now - self.nested_started_at
        return max(0.0, now - self.started_at - nested_s)


class LocalUpstream:
    """The upstream instance beside this node.

    Attributes:
        service: Name of its service; empty before its first announcement.
        address: Loopback address on which it listens.
        up: Whether it accepts connections.
        draining: Whether it takes no new calls.
        refuses_from: Loop time in seconds from which it refuses new calls;
            before that, it serves nodes that do not know of the drain yet.
        incarnation: Incarnation that it last announced.
        crash_count: Number of crashes detected; part of the crash ID.
        last_failure_at: Loop time in seconds of the last failed exchange.
        admission_controller: Decides which calls it runs and when.
    """

    __slots__ = ("service", "address", "up", "draining", "refuses_from",
                 "incarnation", "crash_count", "last_failure_at",
                 "admission_controller")

    def __init__(self, now: float) -> None:
        self.service = ""
        self.address = settings.Address("127.0.0.1", 0)
        self.up = False
        self.draining = False
        self.refuses_from = 0.0
        self.incarnation = 0
        self.crash_count = 0
        self.last_failure_at = 0.0
        self.admission_controller = admission.AdmissionController(
            limit.AdaptiveLimit(now), now)

    def drain(self, now: float) -> None:
        """Starts to drain; refuses calls once other nodes can know of it."""
        if not self.draining:
            self.draining = True
            self.refuses_from = now + _DRAIN_GRACE_S


class NodeState:
    """Shared state of a node.

    Attributes:
        settings: Settings of the node.
        compiled: Lists in force, or None before the first update.
        confirmed_at: Lower bound of the loop time in seconds at which a quorum
            last confirmed `compiled`, or None.
        router: Known upstream instances.
        local: The upstream beside this node.
        calls_by_token: Calls that the local upstream runs.
        pending_requests: Requests of callers without a response yet.
        entry_throttle: Refuses requests at the entry that would be shed.
        crashes: Requests suspected of crashing upstreams.
        retry_cap: Limits the retries of this node.
        rate_limiter: Rate limiter of organisations and open routes.
        claim_store: Claims of idempotency keys.
        metrics: Metrics of the node.
        sealer: Authenticates contexts between nodes.
        draining: Whether the node is shutting down.
        ends_at: Loop time in seconds at which it gives up what still runs.
        incarnation: Increases with each start of the node.
        report_due: Set when there is something to report to control.
        rng: Random number generator of the node.
    """

    __slots__ = ("settings", "compiled", "confirmed_at", "router", "local",
                 "calls_by_token", "pending_requests", "entry_throttle",
                 "crashes", "retry_cap", "rate_limiter", "claim_store",
                 "metrics", "sealer", "draining", "ends_at", "_waits",
                 "incarnation", "report_due", "rng")

    def __init__(self, node_settings: settings.Node, now: float,
                 incarnation: int, rate_limiter: limiter.RateLimiter,
                 claim_store: claims.ClaimStore, rng: random.Random) -> None:
        self.settings = node_settings
        self.compiled: lists.CompiledLists | None = None
        self.confirmed_at: float | None = None
        self.router = routing.Router(node_settings.failure_domain,
                                     node_settings.region, rng)
        self.local = LocalUpstream(now)
        self.calls_by_token: dict[str, Call] = {}
        self.pending_requests: set[PendingRequest] = set()
        self.entry_throttle = entry_throttle.EntryThrottle(rng)
        self.crashes = crashes.CrashTable()
        self.retry_cap = retries.RetryRatioCap()
        self.rate_limiter = rate_limiter
        self.claim_store = claim_store
        self.metrics = metrics.NodeMetrics()
        self.sealer = context.ContextCodec(node_settings.fleet_secret)
        self.draining = False
        self.ends_at = math.inf
        self._waits: set[asyncio.Timeout] = set()
        self.incarnation = incarnation
        self.report_due = asyncio.Event()
        self.rng = rng

    @property
    def unfinished(self) -> int:
        """Number of requests of callers and calls that have not ended."""
        return len(self.pending_requests) + len(self.calls_by_token)

    def check_end(self, deadline: float) -> None:
        """Refuses a call that may run longer than this process.

        Args:
            deadline: Deadline of the call, as loop time in seconds.

        Raises:
            errors.CallError: DRAINING.
        """
        if deadline > self.ends_at:
            raise errors.CallError(errors.Kind.DRAINING,
                                   "the node ends before the deadline")

    @contextlib.asynccontextmanager
    async def wait_unsent(self) -> AsyncIterator[None]:
        """A wait of a call that has not been sent; ends with the process.

        Raises:
            errors.CallError: DRAINING at the end of the process.
        """
        wait = asyncio.timeout(None)
        try:
            async with wait:
                self._waits.add(wait)
                yield
        except TimeoutError:
            if not wait.expired():
                raise
            raise errors.CallError(errors.Kind.DRAINING) from None
        finally:
            self._waits.discard(wait)

    def refuse_waiting(self, now: float) -> None:
        """Refuses the calls that have not been sent yet."""
        for wait in self._waits:
            wait.reschedule(now)

    def log_cut(self, now: float) -> None:
        """Logs what the end of the process leaves without a response."""
        for pending in self.pending_requests:
            log.event("request:cut",
                      request=pending.request_id,
                      path=pending.path,
                      service=pending.service,
                      took_s=round(now - pending.received_at, 4))
        for call in self.calls_by_token.values():
            log.event("call:cut",
                      request=call.context.request_id,
                      service=call.context.service,
                      level=call.context.nesting_level,
                      took_s=round(now - call.started_at, 4))

    def is_stale(self, now: float) -> bool:
        """Returns whether the last confirmation of the lists is too old."""
        if self.confirmed_at is None:
            return True
        return now - self.confirmed_at > self.settings.limits.stale_after_s

    def install(self, now: float, compiled: lists.CompiledLists) -> None:
        """Puts lists in force unless newer ones already are."""
        if (self.compiled is not None and
                compiled.revision < self.compiled.revision):
            return
        self.compiled = compiled
        rates: dict[str, limiter.RateLimit] = {}
        document = compiled.document
        for name in document.organisations.organisations:
            plan = compiled.plan_of(name)
            assert plan is not None
            rates[name] = limiter.RateLimit(plan.rate_per_s, plan.burst)
        for route in document.plans.open_routes:
            rates[lists.open_route_name(route)] = limiter.RateLimit(
                route.rate_per_s, route.burst)
        self.rate_limiter.configure(now, rates)
