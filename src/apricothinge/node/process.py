"""The node process: servers, periodic tasks and graceful stop."""

import asyncio
import contextlib
import random
import time
from typing import TypeVar

import eliot

from apricothinge import errors
from apricothinge import log
from apricothinge import settings
from apricothinge.control import wire
from apricothinge.node import control_client
from apricothinge.node import dispatch
from apricothinge.node import dump
from apricothinge.node import entry
from apricothinge.node import grants
from apricothinge.node import local
from apricothinge.node import peer
from apricothinge.node import serving
from apricothinge.node import state
from apricothinge.overload import claims
from apricothinge.overload import routing
from apricothinge.rates import distributed
from apricothinge.rates import limiter
from apricothinge.web import admin
from apricothinge.web import client
from apricothinge.web import server

__all__ = ["Node"]

_T = TypeVar("_T")

_TICK_INTERVAL_S = 0.02
# The rest of the grace period is left for refusals and the exit.
_GRACE_FRACTION = 0.9
_REFUSAL_S = 0.1
_TICKS_PER_PROBE = 10
_TICKS_PER_EXPIRY = 50
_TICKS_PER_THROTTLE_UPDATE = 5


class Node:
    """A node, which proxies the calls to and from one upstream instance.

    Attributes:
        state: State that its components share.
        executor: Runs calls on the local upstream.
        dispatcher: Sends calls to services.
        caller: Bound address of the caller port.
        peer: Bound address of the peer port.
        local: Bound address of the loopback port.
        admin: Bound address of the admin port.
    """

    def __init__(self,
                 node_settings: settings.Node,
                 *,
                 rate_limiter: limiter.RateLimiter | None = None,
                 claim_store: claims.ClaimStore | None = None,
                 rng: random.Random | None = None) -> None:
        """Creates a node that is not yet listening.

        Args:
            node_settings: Settings of the node.
            rate_limiter: Replaces the tokens granted by share owners.
            claim_store: Replaces the claims kept by the control group; the node
                then does not attach to control.
            rng: Random number generator for routing and throttling.
        """
        self._loop = asyncio.get_running_loop()
        incarnation = time.time_ns() // 1000
        limits = node_settings.limits
        self._pool = client.ConnectionPool(limits.buffered_answer_bytes)
        self._codec = wire.Codec(node_settings.fleet_secret)
        self._grant_transport = grants.PeerGrantTransport(
            node_settings.fleet_secret, self._pool)
        self._distributed_limiter: distributed.DistributedRateLimiter | None = (
            None)
        if rate_limiter is None:
            self._distributed_limiter = distributed.DistributedRateLimiter(
                f"{node_settings.instance}:{incarnation}",
                node_settings.failure_domain, self._grant_transport,
                self._loop.time, lambda: self.state.confirmed_at)
        self._control_claim_store: control_client.ControlClaimStore | None = (
            None)
        if claim_store is None:
            self._control_claim_store = control_client.ControlClaimStore(
                node_settings.control, self._codec)
        self.state = state.NodeState(
            node_settings, self._loop.time(), incarnation, rate_limiter or
            self._require(self._distributed_limiter), claim_store or
            self._require(self._control_claim_store), rng or random.Random())
        self._grant_transport.bind(self.state)
        self.executor = serving.LocalExecutor(self.state, self._pool)
        self.dispatcher = dispatch.Dispatcher(self.state, self.executor,
                                              self._pool)
        self._control_client: control_client.ControlClient | None = None
        self._caller_server = server.Server(
            entry.EntryHandler(self.state, self.dispatcher),
            limits,
            cancel_on_half_close=limits.half_close_is_hang_up)
        self._peer_server = server.Server(
            peer.PeerHandler(self.state, self.executor, self._serve_grants),
            limits)
        self._local_server = server.Server(
            local.LocalHandler(self.state, self.dispatcher), limits)
        self._admin_server = server.Server(
            admin.AdminHandler(self._render_metrics, self.dump), limits)
        self.caller = node_settings.caller
        self.peer = node_settings.peer
        self.local = node_settings.local
        self.admin = node_settings.admin
        self._tick_task: asyncio.Task[None] | None = None
        self._tick_count = 0

    @staticmethod
    def _require(value: _T | None) -> _T:
        assert value is not None
        return value

    def _serve_grants(self, sealed: bytes) -> bytes:
        if self._distributed_limiter is None:
            raise errors.CallError(errors.Kind.UNKNOWN_SERVICE)
        return self._grant_transport.serve(self._distributed_limiter, sealed)

    async def start(self) -> None:
        """Listens on all four ports and attaches to control."""
        node_settings = self.state.settings
        self.caller = await self._caller_server.start(node_settings.caller)
        self.peer = await self._peer_server.start(node_settings.peer)
        self.local = await self._local_server.start(node_settings.local)
        self.admin = await self._admin_server.start(node_settings.admin)
        self._tick_task = asyncio.ensure_future(self._tick_forever())
        if self._control_claim_store is not None:
            self._control_client = control_client.ControlClient(
                self.state, self.peer, self._distributed_limiter, self._codec)
            self._control_claim_store.bind(self._control_client)
            self._control_client.start()
        eliot.log_message("node:started",
                          instance=node_settings.instance,
                          caller=str(self.caller),
                          peer=str(self.peer))

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            try:
                await self._tick()
            except Exception:  # pylint: disable=broad-exception-caught
                # A failed tick must not prevent the following ones.
                eliot.write_traceback()

    async def _tick(self) -> None:
        now = self._loop.time()
        self._tick_count += 1
        self.executor.tick(now)
        self._update_own_row(now)
        if self._distributed_limiter is not None:
            self._distributed_limiter.tick(now)
        if self._tick_count % _TICKS_PER_THROTTLE_UPDATE == 0:
            self.state.entry_throttle.tick(now)
            self.state.router.tick(now)
        if self._tick_count % _TICKS_PER_EXPIRY == 0:
            self._pool.expire(now)
            self.state.crashes.tick(now)
        if self._tick_count % _TICKS_PER_PROBE == 0:
            await self._probe_upstream(now)

    async def _probe_upstream(self, now: float) -> None:
        """Checks whether an upstream that went down accepts connections."""
        upstream = self.state.local
        if upstream.up or upstream.draining or not upstream.service:
            return
        if await self._pool.probe(upstream.address):
            upstream.admission_controller.limit.reset(now)
            upstream.up = True
            self.state.report_due.set()

    def _update_own_row(self, now: float) -> None:
        """Updates the own row, which the control client does not apply."""
        node_settings = self.state.settings
        upstream = self.state.local
        unavailable = (upstream.draining or not upstream.up or
                       self.state.draining)
        row = self.state.router.nodes_by_instance.get(node_settings.instance)
        if (row is not None and row.service == upstream.service and
                row.draining == unavailable):
            return
        self.state.router.upsert(
            routing.Upstream(node_settings.instance, upstream.service,
                             node_settings.failure_domain, node_settings.region,
                             self.peer, unavailable, self.state.incarnation,
                             now))

    def _render_metrics(self) -> bytes:
        metrics = self.state.metrics
        admission_controller = self.state.local.admission_controller
        metrics.limit.set(admission_controller.limit.value)
        metrics.in_flight.set(admission_controller.in_flight)
        metrics.queued.set(admission_controller.queued)
        compiled = self.state.compiled
        metrics.revision.set(-1 if compiled is None else compiled.revision)
        if self.state.confirmed_at is not None:
            metrics.revision_age.set(self._loop.time() -
                                     self.state.confirmed_at)
        metrics.connections.set(self._caller_server.open_connections)
        for name, level in self.state.rate_limiter.levels().items():
            metrics.tokens.labels(name).set(level)
        return metrics.render()

    def dump(self) -> dump.NodeDump:
        """Returns a dump of the state of the node."""
        distributed_limiter = self._distributed_limiter
        control_address = (None if self._control_client is None else
                           self._control_client.attached_to)
        levels = self.state.rate_limiter.levels()
        rates = (dump.RatesDump(levels, {}, {}, 0)
                 if distributed_limiter is None else dump.RatesDump(
                     levels, distributed_limiter.owned_levels(),
                     distributed_limiter.owners(),
                     distributed_limiter.requests_sent))
        return dump.dump(
            self.state, self._loop.time(), rates,
            None if control_address is None else str(control_address))

    def has_owners(self, name: str) -> bool:
        """Returns whether an organisation has any owner to grant tokens."""
        return (self._distributed_limiter is None or
                self._distributed_limiter.has_owners(name))

    async def stop(self) -> None:
        """Stops gracefully without interrupting an exchange in progress.

        Peers first learn that this node takes no new calls; idle connections
        between nodes stay open until the pools of the peers have closed them.
        With a grace period, calls whose deadline is later than its end are
        refused from the start. At its end, calls that have not been sent are
        refused, and those that still run are cut.
        """
        now = self._loop.time()
        node_settings = self.state.settings
        log.event("node:draining",
                  instance=node_settings.instance,
                  running=self.state.unfinished)
        self.state.local.drain(now)
        self.state.draining = True
        self.state.report_due.set()
        if node_settings.grace_s is not None:
            self.state.ends_at = now + node_settings.grace_s * _GRACE_FRACTION
        try:
            async with asyncio.timeout_at(self.state.ends_at):
                await self._drain()
        except TimeoutError:
            await self._give_up()
        if self._control_client is not None:
            await self._control_client.stop()
        if self._control_claim_store is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self.state.ends_at):
                    await self._control_claim_store.close()
        if self._tick_task is not None:
            self._tick_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._tick_task
        self._admin_server.abort()
        self._pool.close()
        log.event("node:stopped",
                  instance=node_settings.instance,
                  running=self.state.unfinished,
                  waited_s=round(self._loop.time() - now, 4))

    async def _drain(self) -> None:
        """Waits until everything in progress has ended."""
        drain_s = self.state.settings.limits.drain_s
        await asyncio.gather(self._caller_server.drain(idle_grace_s=drain_s),
                             self._peer_server.drain(idle_grace_s=drain_s))
        while self.dispatcher.background_calls or self.state.calls_by_token:
            await asyncio.sleep(_TICK_INTERVAL_S)
        await self._local_server.drain()

    async def _give_up(self) -> None:
        """Refuses what was not sent, and cuts what still runs."""
        self.state.refuse_waiting(self._loop.time())
        self._caller_server.give_up()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REFUSAL_S):
                await asyncio.gather(self._peer_server.drain(),
                                     self._caller_server.drain())
        self.abort()
        # The handlers that were cut end in the next turn.
        await asyncio.sleep(0)

    def log_cut(self) -> None:
        """Logs the requests that an immediate end of the process cuts."""
        self.state.log_cut(self._loop.time())

    def abort(self) -> None:
        """Stops immediately, interrupting exchanges in progress."""
        self.log_cut()
        for node_server in (self._caller_server, self._peer_server,
                            self._local_server, self._admin_server):
            node_server.abort()
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._pool.close()
