"""The process of a mesh node: servers, ticks, graceful shutdown and dump."""

import asyncio
import contextlib
import math
import random
import time
from typing import Final

import msgspec

from apricothinge import log
from apricothinge import runtime
from apricothinge import settings
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import attachment
from apricothinge.mesh import check_ins
from apricothinge.mesh import costs
from apricothinge.mesh import departures
from apricothinge.mesh import dispatch
from apricothinge.mesh import downstream
from apricothinge.mesh import entry
from apricothinge.mesh import evacuations
from apricothinge.mesh import names
from apricothinge.mesh import peers
from apricothinge.mesh import state
from apricothinge.mesh import state_applier
from apricothinge.mesh import state_exchange
from apricothinge.mesh import streams
from apricothinge.mesh import token_loans
from apricothinge.mesh import upstream
from apricothinge.overload import drain
from apricothinge.overload import routing
from apricothinge.web import admin
from apricothinge.web import client
from apricothinge.web import server

__all__ = ["MeshNode"]

_TICK_INTERVAL_S: Final = 0.1
_EXPIRY_INTERVAL_TICKS: Final = 10
_MAX_BUFFERED_RESPONSE_BYTES: Final = 256 << 10
# A changed load is sent to the other nodes at most this often.
_STATUS_INTERVAL_TICKS: Final = 2
_STATE_REQUEST_INTERVAL_TICKS: Final = 5
# Smaller changes of the requests relative to the slots are not sent: nodes that
# make calls receive the load with each response.
_LOAD_CHANGE_THRESHOLD: Final = 0.25
# Changes of the capacity ratio that are sent, where it is limited and where the
# upstream has spare capacity.
_RATIO_CHANGE_THRESHOLD: Final = 0.1
_SPARE_RATIO_CHANGE_THRESHOLD: Final = 0.5
# Callers notice in the third second that the node is not ready. Until then they
# get a response, even if it is a refusal.
_MIN_DRAIN_S: Final = 3.2
_DRAIN_POLL_INTERVAL_S: Final = 0.05
_FINAL_DRAIN_S: Final = 0.2


class MeshNodeDump(msgspec.Struct):
    """State of a node, as shown on its admin port.

    Attributes:
        instance: Name of the machine.
        revision: Revision of the desired state in force, -1 for none.
        ready: Whether callers may send requests.
        attached_to: Instance name of the leader of control, empty if detached.
        row: Row of the node in the table of nodes.
        load: Load of the local upstream.
        peers: Rows of the other nodes.
        stock: Available rate limit tokens by organisation.
        crashes: Number of crashes by request fingerprint.
        parts: Fraction of its demand that each service can take.
        costs: Slot seconds by service of one request, by local route.
    """

    instance: str
    revision: int
    ready: bool
    attached_to: str
    row: frames.NodeRow
    load: frames.Load
    peers: list[frames.NodeRow]
    stock: dict[str, int]
    crashes: dict[str, int]
    parts: dict[str, float]
    costs: dict[str, dict[str, float]]


class _LinkReceiver(connection.LinkHandler):
    """Receives calls on the links that other nodes open."""

    __slots__ = ("_node",)

    def __init__(self, node: "MeshNode") -> None:
        self._node = node

    def link_opened(self, link: connection.Link) -> None:
        """Sends the identity."""
        link.send(self._node.hello)
        self._node.incoming_calls.link_opened(link)

    def message_received(self, link: connection.Link,
                         message: frames.Frame) -> None:
        """Handles a message that belongs to a call, or a desired state."""
        if isinstance(message, frames.Hello):
            self._handle_hello(link, message)
            return
        if isinstance(message, frames.StateOffer):
            self._node.state_exchange.accept(message)
            return
        if isinstance(message, frames.TokenLoanRequest):
            link.send(
                frames.TokenLoan(message.name, self._node.lend_tokens(message)))
            return
        self._node.incoming_calls.message_received(link, message)

    def _handle_hello(self, link: connection.Link,
                      message: frames.Hello) -> None:
        """Sends the upstream status and the costs."""
        if message.known_upstream is not None:
            self._node.upstream.recall(message.known_upstream)
        link.send(self._node.status_message())
        link.send(self._node.costs_message())

    def link_lost(self, link: connection.Link) -> None:
        """Cancels the calls of the link."""
        self._node.incoming_calls.link_lost(link)

    def is_busy(self, link: connection.Link) -> bool:
        return self._node.incoming_calls.running_on(link)


class MeshNode:
    """The process that runs beside one upstream instance.

    Attributes:
        state: State shared with its components.
        upstream: The local upstream.
        check_ins: Receives what the upstream says of itself.
        hello: First message on each link.
        incoming_calls: Calls from other nodes to the local upstream.
        state_exchange: Desired state from and for other nodes.
        caller: Bound address of the port for callers.
        link: Bound address of the port for links of other nodes.
    """

    def __init__(self,
                 node_settings: settings.MeshNode,
                 header_names: names.HeaderNames,
                 rng: random.Random | None = None) -> None:
        """Creates a node; `start` makes it listen.

        Args:
            node_settings: Settings of the node.
            header_names: Names of headers in this deployment.
            rng: Source of random numbers; a new one by default.
        """
        self._loop = asyncio.get_running_loop()
        self._settings = node_settings
        rng = rng or random.Random()
        incarnation = time.time_ns() // 1000
        self.state = state.NodeState(
            header_names, node_settings.service,
            evacuations.Evacuations(node_settings.instance,
                                    node_settings.failure_domain,
                                    node_settings.evacuation_s))
        self._cost_table = costs.CostTable()
        self._local_costs = costs.LocalCosts(self._cost_table,
                                             self._loop.time())
        self._pool = client.ConnectionPool(_MAX_BUFFERED_RESPONSE_BYTES,
                                           allow_close_delimited=True)
        self.upstream = upstream.LocalUpstream(
            settings.parse_address(node_settings.upstream), header_names,
            self._pool, self.state.crash_table, self.state.metrics,
            self._local_costs, incarnation)
        self.upstream.on_change = self._on_upstream_changed
        departure_log = departures.DepartureLog()
        self.upstream.on_departure = departure_log.add
        self.check_ins = check_ins.CheckInReceiver(
            node_settings.service,
            settings.parse_address(node_settings.upstream), self.upstream,
            departure_log)
        self._router = routing.Router(node_settings.failure_domain,
                                      self._region, rng)
        self._monitor = connection.KeepaliveMonitor()
        self.hello = frames.Hello(node_settings.instance,
                                  incarnation,
                                  handles_withdrawals=True)
        self._peer_table = peers.PeerTable(node_settings.instance,
                                           node_settings.failure_domain,
                                           self.hello, self._monitor,
                                           self._router, self._cost_table,
                                           node_settings.region_by_domain)
        self._dispatcher = dispatch.Dispatcher(node_settings.instance,
                                               self._router, self._peer_table,
                                               self.upstream, header_names,
                                               self._cost_table,
                                               self.state.metrics)
        self._pause_clock = runtime.PauseClock()
        self.incoming_calls = streams.IncomingCalls(self.upstream.run,
                                                    self.upstream.load,
                                                    self._pause_clock)
        self._link_server: asyncio.Server | None = None
        self.caller = settings.parse_address(node_settings.caller)
        self.link = settings.parse_address(node_settings.link)
        self._row_builder = attachment.RowBuilder(node_settings.instance,
                                                  incarnation,
                                                  node_settings.failure_domain,
                                                  self.state, self.upstream)
        self._attachment = attachment.Attachment(self.state, self._peer_table,
                                                 self._row_builder,
                                                 node_settings.control_links(),
                                                 self._monitor, self.upstream,
                                                 departure_log)
        self._caller_server = server.Server(
            entry.EntryHandler(
                self.state, self._dispatcher, self._attachment,
                downstream.DownstreamCapacity(self._router, self._cost_table,
                                              rng), self._local_costs,
                token_loans.TokenBorrower(node_settings.instance,
                                          node_settings.failure_domain,
                                          self._peer_table,
                                          self.state.token_pool,
                                          self.state.metrics, rng),
                self.upstream.running_requests, rng),
            node_settings.limits,
            input_age_s=self._pause_clock.input_age_s)
        self._admin_server = server.Server(
            admin.AdminHandler(self._render_metrics, self.dump),
            node_settings.limits)
        self._last_tick_at = self._loop.time()
        self._tick_task: asyncio.Task[None] | None = None
        self._ticks = 0
        self._sent_load: frames.Load | None = None
        self._state_applier = state_applier.StateApplier(
            node_settings, self.state, self._router, self.upstream,
            self._caller_server)
        self.state_exchange = state_exchange.StateExchange(
            self.state, self._peer_table, self._attachment, self.incoming_calls,
            self._row_builder, self.upstream, node_settings.instance, rng)

    @property
    def _region(self) -> str:
        return self._settings.region_by_domain.get(
            self._settings.failure_domain, "")

    @property
    def ready(self) -> bool:
        """Whether callers may send requests here."""
        return self.state.compiled is not None and not self.state.draining

    def apply_settings(self, changed: settings.MeshNode) -> None:
        """Applies the seeds, the service and its address of changed settings.

        Raises:
            ValueError: An address is invalid; nothing has been applied.
        """
        seeds = changed.control_links()
        address = settings.parse_address(changed.upstream)
        self._attachment.add_seeds(seeds)
        self.check_ins.service = changed.service
        self.state.configured_service = changed.service
        if address != self.check_ins.address:
            self.check_ins.address = address
            self.upstream.set_address(address)

    async def start(self) -> None:
        """Starts the servers, the link to control and the periodic tick."""
        self._monitor.start()
        self.caller = await self._caller_server.start(self.caller)
        self._link_server = await self._loop.create_server(
            lambda: connection.Link(_LinkReceiver(self), self._monitor),
            self.link.host,
            self.link.port,
            backlog=256)
        port = self._link_server.sockets[0].getsockname()[1]
        self.link = settings.Address(self.link.host, port)
        self._row_builder.address = str(self.link)
        await self._admin_server.start(
            settings.parse_address(self._settings.admin))
        self._attachment.start()
        self._tick_task = asyncio.ensure_future(
            runtime.run_periodically(_TICK_INTERVAL_S, self._tick,
                                     "node:tick_failed"))
        log.event("node:started",
                  instance=self._settings.instance,
                  incarnation=self.hello.incarnation,
                  caller=str(self.caller),
                  link=str(self.link))

    def lend_tokens(self, request: frames.TokenLoanRequest) -> int:
        """Takes tokens out of the stock of this node for another one."""
        return self.state.token_pool.lend(self._loop.time(), request.name,
                                          request.count)

    def status_message(self) -> frames.Status:
        """Returns the status that is sent to other nodes unsolicited."""
        return frames.Status(self.upstream.row(), self.state.draining,
                             self.upstream.load())

    def costs_message(self) -> frames.Costs:
        """Returns the costs of the routes that run on the local upstream."""
        return self._local_costs.message()

    def _on_upstream_changed(self) -> None:
        self.state.set_announced_service(self.upstream.service)
        self._update_local_upstream()
        self._send_status()
        self.state.report_due.set()

    def _send_status(self) -> None:
        status = self.status_message()
        self._sent_load = status.load
        for link in self.incoming_calls.links:
            link.send(status)

    def _update_local_upstream(self) -> None:
        """Updates the local upstream in the router."""
        upstream_row = self.upstream.row()
        if upstream_row is None:
            return
        node_settings = self._settings
        now = self._loop.time()
        self._router.upsert(
            routing.Upstream(node_settings.instance, upstream_row.service,
                             node_settings.failure_domain, self._region,
                             self.link, not upstream_row.usable,
                             upstream_row.born, now))
        self._router.set_cold(node_settings.instance, now, upstream_row.cold_s)

    def _tick(self) -> None:
        now = self._loop.time()
        self.state.metrics.loop_lag.set(
            max(0.0, now - self._last_tick_at - _TICK_INTERVAL_S))
        self._last_tick_at = now
        self._pause_clock.tick()
        self._ticks += 1
        self.state.token_pool.tick(now, self.state.compiled,
                                   self._attachment.has_grants)
        self._peer_table.tick(now)
        self._router.tick(now)
        self._state_applier.tick()
        self.upstream.update_load_feedback(
            self._router.service_capacity_ratio(self.upstream.service))
        self._update_local_load()
        if self._local_costs.tick(now):
            message = self._local_costs.message()
            for link in self.incoming_calls.links:
                link.send(message)
        if self._ticks % _STATE_REQUEST_INTERVAL_TICKS == 0:
            self.state_exchange.request()
        if self._ticks % _STATUS_INTERVAL_TICKS == 0:
            if self._load_changed(self.upstream.load()):
                self._send_status()
        if self._ticks % _EXPIRY_INTERVAL_TICKS == 0:
            self._pool.expire(now)
            self.incoming_calls.cancel_undeliverable(now)
            self.state.crash_table.tick(now)

    def _load_changed(self, load: frames.Load) -> bool:
        """Tells whether the load differs enough from the one last sent."""
        sent_load = self._sent_load
        if sent_load is None or load.slots != sent_load.slots:
            return True
        change = abs(load.running + load.queued - sent_load.running -
                     sent_load.queued)
        ratio_threshold = (_RATIO_CHANGE_THRESHOLD if min(
            load.part, sent_load.part) < 1.0 else _SPARE_RATIO_CHANGE_THRESHOLD)
        return (change > _LOAD_CHANGE_THRESHOLD * load.slots or
                abs(load.rejected - sent_load.rejected)
                > _RATIO_CHANGE_THRESHOLD or
                abs(load.part - sent_load.part) > ratio_threshold)

    def _update_local_load(self) -> None:
        target = self._router.by_instance.get(self._settings.instance)
        if target is not None:
            load = self.upstream.load()
            target.update_load(load.running, load.queued, load.slots, load.part,
                               load.rejected)

    def _render_metrics(self) -> bytes:
        node_metrics = self.state.metrics
        load = self.upstream.load()
        node_metrics.limit.set(load.slots)
        upstream_row = self.upstream.row()
        node_metrics.upstream_rate_limit.set(0.0 if upstream_row is
                                             None else upstream_row.rate_limit)
        node_metrics.upstream_cold.set(0.0 if upstream_row is
                                       None else upstream_row.cold_s)
        node_metrics.upstream_rejected.set(load.rejected)
        running = self.upstream.running_requests
        node_metrics.nested_calls_matched.set(running.matched)
        node_metrics.nested_calls_unmatched.set(running.unmatched)
        node_metrics.in_flight.set(load.running)
        node_metrics.queued.set(load.queued)
        node_metrics.revision.set(self.state.revision)
        node_metrics.connections.set(self._caller_server.open_connections)
        node_metrics.peers.set(self._peer_table.link_count)
        node_metrics.lines_omitted.set(log.omitted_lines())
        for name, count in self.state.token_pool.available().items():
            node_metrics.tokens.labels(name).set(count)
        return node_metrics.render()

    def dump(self) -> MeshNodeDump:
        """Returns the state of the node for the admin port."""
        return MeshNodeDump(
            self._settings.instance, self.state.revision, self.ready,
            self._attachment.attached_to, self._row_builder.build(),
            self.upstream.load(),
            [peer.row for peer in self._peer_table.by_instance.values()],
            self.state.token_pool.available(),
            self.state.crash_table.crash_counts(),
            self._router.capacity_ratios(),
            self._local_costs.message().by_route)

    def _withdraw_late_requests(self, stop: drain.Drain) -> None:
        """Refuses what is at no upstream and can't be answered any more."""
        now = self._loop.time()
        for request in self.state.pending:
            sent = request.upstream_request
            start_by = (stop.start_by(math.inf, 0.0)
                        if sent is None else sent.start_by)
            if now > start_by:
                request.withdraw()

    async def stop(self, signalled_at: float | None = None) -> None:
        """Stops gracefully: serves current requests and, at first, new ones.

        Requests that could not be answered before the end of the grace period
        are refused. Those that still run then are aborted, which raises no
        error.

        Args:
            signalled_at: Loop time in seconds of the stop signal; now if None.
        """
        now = self._loop.time()
        noticed_at = now if signalled_at is None else signalled_at
        # A process that was paused finds a signal of any time since its last
        # tick.
        stop = drain.Drain(min(noticed_at, self._last_tick_at), noticed_at,
                           self._settings.grace_s)
        log.event("node:draining",
                  running=len(self.state.pending),
                  noticed_s=round(now - stop.signalled_at, 4))
        self.state.drain = stop
        self.state.report_due.set()
        self._caller_server.close_after_responses()
        self._send_status()
        for request in self.state.pending:
            if request.upstream_request is not None:
                request.upstream_request.start_by = self.state.start_by(
                    request.upstream_request.call,
                    request.upstream_request.deadline)
        self.upstream.begin_drain(stop)
        while self._loop.time() < stop.cuts_at:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
            self._withdraw_late_requests(stop)
            idle = (not self.state.pending and
                    not self.incoming_calls.running and
                    not self._caller_server.busy_connections)
            if idle and self._loop.time() >= now + _MIN_DRAIN_S:
                break
        stop.end(self._loop.time())
        log.event("node:stopped",
                  running=len(self.state.pending),
                  waited_s=round(self._loop.time() - now, 4))
        self._caller_server.give_up()
        await self._attachment.stop()
        if self._tick_task is not None:
            self._tick_task.cancel()
        # Callers that have just sent a request still get their response.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(_FINAL_DRAIN_S, stop.exit_s / 2)):
                await self._caller_server.drain()
        self._caller_server.abort()
        self._admin_server.abort()
        self._peer_table.stop()
        if self._link_server is not None:
            self._link_server.close()
        self._monitor.stop()
        self._pool.close()
