"""The tables of a node, shared by the systems that run over them."""

import asyncio
import random
import secrets
from typing import Final

from apricothinge import context
from apricothinge import lists
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

__all__ = ["Call", "LocalUpstream", "NodeState"]

_CALL_TOKEN_BYTES: Final = 16
_DRAIN_GRACE_S: Final = 1.5


class Call:
    """One call that the local upstream runs, the parent of nested calls.

    Attributes:
        token: Unguessable name that the upstream echoes on nested calls.
        context: The call's context.
        deadline: Loop time in seconds.
        budget: Retries left for nested calls.
        admitted_fraction: Smallest part that any node below admitted.
        nested_shed: Whether a nested call was shed for overload.
        nested_tasks: Tasks of nested calls in progress.
        nested_s: Time in seconds during which nested calls were running.
        nested_started_at: Loop time at which the first running one began.
        started_at: Loop time at which the upstream got the call.
    """

    __slots__ = ("token", "context", "deadline", "budget", "admitted_fraction",
                 "nested_shed", "nested_tasks", "nested_s", "nested_started_at",
                 "started_at")

    def __init__(self, call_context: context.Context, deadline: float,
                 now: float) -> None:
        self.token = secrets.token_urlsafe(_CALL_TOKEN_BYTES)
        self.context = call_context
        self.deadline = deadline
        self.budget = retries.CallTreeBudget(call_context.retries)
        self.admitted_fraction = 1.0
        self.nested_shed = False
        self.nested_tasks: set[asyncio.Task[None]] = set()
        self.nested_s = 0.0
        self.nested_started_at = 0.0
        self.started_at = now

    def record_nested_start(self, now: float,
                            task: "asyncio.Task[None]") -> None:
        """Adds a nested call."""
        if not self.nested_tasks:
            self.nested_started_at = now
        self.nested_tasks.add(task)

    def record_nested_end(self, now: float, task: "asyncio.Task[None]") -> None:
        """Takes out a nested call and counts the time it took."""
        self.nested_tasks.discard(task)
        if not self.nested_tasks:
            self.nested_s += now - self.nested_started_at

    def own_time_s(self, now: float) -> float:
        """Seconds that it took so far, without its nested calls."""
        nested_s = self.nested_s
        if self.nested_tasks:
            nested_s += now - self.nested_started_at
        return max(0.0, now - self.started_at - nested_s)


class LocalUpstream:
    """The upstream instance beside this node.

    Attributes:
        service: Its service; empty before it has announced itself.
        address: Where it listens, on loopback.
        up: Whether it accepts connections.
        draining: Whether it takes no new work.
        refuses_from: Loop time in seconds from which it refuses new work;
            until then those who do not know of the drain are still served.
        incarnation: Grows whenever it is seen to have started anew.
        crash_count: Crashes seen, to name them.
        last_failure_at: Loop time in seconds of the last lost exchange.
        admission: Its limit and queue.
    """

    __slots__ = ("service", "address", "up", "draining", "refuses_from",
                 "incarnation", "crash_count", "last_failure_at", "admission")

    def __init__(self, now: float) -> None:
        self.service = ""
        self.address = settings.Address("127.0.0.1", 0)
        self.up = False
        self.draining = False
        self.refuses_from = 0.0
        self.incarnation = 0
        self.crash_count = 0
        self.last_failure_at = 0.0
        self.admission = admission.AdmissionController(limit.AdaptiveLimit(now),
                                                       now)

    def drain(self, now: float) -> None:
        """Begins to leave; the news takes a moment to reach all nodes."""
        if not self.draining:
            self.draining = True
            self.refuses_from = now + _DRAIN_GRACE_S


class NodeState:
    """Everything that a node knows.

    Attributes:
        settings: The node's part of the settings.
        compiled: Lists in force, or None before the first arrived.
        confirmed_at: Loop time in seconds at which, at the latest, a quorum
            confirmed `compiled`; None before that.
        router: Table of upstream instances.
        local: The upstream beside this node.
        calls_by_token: Calls that the local upstream runs.
        entry_throttle: Early refusal at the entry.
        crashes: Requests that crash upstreams.
        retry_cap: Bound on this node's retries.
        rate_limiter: Charges calls to organisations.
        claim_store: At most once by idempotency key.
        metrics: Counters and gauges.
        sealer: Seals contexts between nodes.
        draining: Whether the node is stopping.
        incarnation: Number of this start of the process.
        report_due: Set when something has to be reported to control at once.
    """

    __slots__ = ("settings", "compiled", "confirmed_at", "router", "local",
                 "calls_by_token", "entry_throttle", "crashes", "retry_cap",
                 "rate_limiter", "claim_store", "metrics", "sealer", "draining",
                 "incarnation", "report_due", "random")

    def __init__(self, node_settings: settings.Node, now: float,
                 incarnation: int, rate_limiter: limiter.RateLimiter,
                 claim_store: claims.ClaimStore, rng: random.Random) -> None:
        self.settings = node_settings
        self.compiled: lists.Compiled | None = None
        self.confirmed_at: float | None = None
        self.router = routing.Router(node_settings.failure_domain,
                                     node_settings.region, rng)
        self.local = LocalUpstream(now)
        self.calls_by_token: dict[str, Call] = {}
        self.entry_throttle = entry_throttle.EntryThrottle(rng)
        self.crashes = crashes.CrashTable()
        self.retry_cap = retries.RetryRatioCap()
        self.rate_limiter = rate_limiter
        self.claim_store = claim_store
        self.metrics = metrics.NodeMetrics()
        self.sealer = context.Sealer(node_settings.fleet_secret)
        self.draining = False
        self.incarnation = incarnation
        self.report_due = asyncio.Event()
        self.random = rng

    def is_stale(self, now: float) -> bool:
        """Tells whether the lists are too old to trust a key by them."""
        if self.confirmed_at is None:
            return True
        return now - self.confirmed_at > self.settings.limits.stale_after_s

    def install(self, now: float, compiled: lists.Compiled) -> None:
        """Puts lists in force, unless they are older than those in force."""
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
            rates[lists.open_name(route)] = limiter.RateLimit(
                route.rate_per_s, route.burst)
        self.rate_limiter.configure(now, rates)
