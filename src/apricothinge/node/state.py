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

_TOKEN_BYTES: Final = 16
_DRAIN_NOTICE_S: Final = 1.5


class Call:
    """One call that the local upstream runs, the parent of nested calls.

    Attributes:
        token: Unguessable name that the upstream echoes on nested calls.
        context: The call's context.
        deadline: Loop time in seconds.
        budget: Retries left for nested calls.
        admitted_part: Smallest part that any node below admitted.
        shed_below: Whether a nested call was shed for overload.
        children: Tasks of nested calls in progress.
        nested_s: Time in seconds during which nested calls were running.
        nested_since: Loop time at which the first running one began.
        started_at: Loop time at which the upstream got the call.
    """

    __slots__ = ("token", "context", "deadline", "budget", "admitted_part",
                 "shed_below", "children", "nested_s", "nested_since",
                 "started_at")

    def __init__(self, call_context: context.Context, deadline: float,
                 now: float) -> None:
        self.token = secrets.token_urlsafe(_TOKEN_BYTES)
        self.context = call_context
        self.deadline = deadline
        self.budget = retries.CallTreeBudget(call_context.retry_budget)
        self.admitted_part = 1.0
        self.shed_below = False
        self.children: set[asyncio.Task[None]] = set()
        self.nested_s = 0.0
        self.nested_since = 0.0
        self.started_at = now

    def child_started(self, now: float, task: "asyncio.Task[None]") -> None:
        """Adds a nested call."""
        if not self.children:
            self.nested_since = now
        self.children.add(task)

    def child_ended(self, now: float, task: "asyncio.Task[None]") -> None:
        """Takes out a nested call and counts the time it took."""
        self.children.discard(task)
        if not self.children:
            self.nested_s += now - self.nested_since

    def own_s(self, now: float) -> float:
        """Seconds that it took so far, without its nested calls."""
        nested_s = self.nested_s
        if self.children:
            nested_s += now - self.nested_since
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
        losses: Crashes seen, to name them.
        lost_at: Loop time in seconds of the last lost exchange.
        admission: Its limit and queue.
    """

    __slots__ = ("service", "address", "up", "draining", "refuses_from",
                 "incarnation", "losses", "lost_at", "admission")

    def __init__(self, now: float) -> None:
        self.service = ""
        self.address = settings.Address("127.0.0.1", 0)
        self.up = False
        self.draining = False
        self.refuses_from = 0.0
        self.incarnation = 0
        self.losses = 0
        self.lost_at = 0.0
        self.admission = admission.AdmissionController(limit.AdaptiveLimit(now),
                                                       now)

    def drain(self, now: float) -> None:
        """Begins to leave; the news takes a moment to reach all nodes."""
        if not self.draining:
            self.draining = True
            self.refuses_from = now + _DRAIN_NOTICE_S


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
        levels: Early refusal at the entry.
        crashes: Requests that crash upstreams.
        ratio_cap: Bound on this node's retries.
        gate: Charges calls to organisations.
        claims: At most once by idempotency key.
        metrics: Counters and gauges.
        sealer: Seals contexts between nodes.
        draining: Whether the node is stopping.
        incarnation: Number of this start of the process.
        changed: Set when something has to be reported to control at once.
    """

    __slots__ = ("settings", "compiled", "confirmed_at", "router", "local",
                 "calls_by_token", "levels", "crashes", "ratio_cap", "gate",
                 "claims", "metrics", "sealer", "draining", "incarnation",
                 "changed", "random")

    def __init__(self, node: settings.Node, now: float, incarnation: int,
                 node_gate: limiter.RateLimiter, node_claims: claims.ClaimStore,
                 source: random.Random) -> None:
        self.settings = node
        self.compiled: lists.CompiledLists | None = None
        self.confirmed_at: float | None = None
        self.router = routing.Router(node.failure_domain, node.region, source)
        self.local = LocalUpstream(now)
        self.calls_by_token: dict[str, Call] = {}
        self.levels = entry_throttle.EntryThrottle(source)
        self.crashes = crashes.CrashTable()
        self.ratio_cap = retries.RetryRatioCap()
        self.gate = node_gate
        self.claims = node_claims
        self.metrics = metrics.NodeMetrics()
        self.sealer = context.ContextCodec(node.fleet_secret)
        self.draining = False
        self.incarnation = incarnation
        self.changed = asyncio.Event()
        self.random = source

    def stale(self, now: float) -> bool:
        """Tells whether the lists are too old to trust a key by them."""
        if self.confirmed_at is None:
            return True
        return now - self.confirmed_at > self.settings.limits.stale_after_s

    def install(self, now: float, compiled: lists.CompiledLists) -> None:
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
            rates[lists.open_route_name(route)] = limiter.RateLimit(
                route.rate_per_s, route.burst)
        self.gate.configure(now, rates)
