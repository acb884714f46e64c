"""A mesh node as a running process."""

import asyncio
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
from apricothinge.mesh import costs
from apricothinge.mesh import dispatch
from apricothinge.mesh import documents
from apricothinge.mesh import entry
from apricothinge.mesh import names
from apricothinge.mesh import peers
from apricothinge.mesh import downstream
from apricothinge.mesh import state
from apricothinge.mesh import streams
from apricothinge.mesh import upstream
from apricothinge.overload import routing
from apricothinge.web import admin
from apricothinge.web import client
from apricothinge.web import server

__all__ = ["MeshNode"]

_TICK_S: Final = 0.02
_SLOW_TICKS: Final = 5
_EXPIRE_TICKS: Final = 50
_BUFFERED_ANSWER_BYTES: Final = 256 << 10
# Links of other nodes hear of a changed load at most this often.
_STATUS_TICKS: Final = 10
# And only of changes larger than this, of the slots or of the part to let in;
# nodes that call learn the load with each answer.
_TOLD_PART: Final = 0.1
# Callers notice that the node is not ready in the third second. What comes
# later could not be answered before the end, and is refused as not run.
_LEAVE_AFTER_S: Final = 3.2
_DRAIN_STEP_S: Final = 0.05
# The rest is for the end of the process itself.
_GRACE_PART: Final = 0.95


class MeshNodeDump(msgspec.Struct):
    """Everything that a node decides by.

    Attributes:
        instance: Name of its machine.
        revision: The desired state in force, -1 for none.
        ready: Whether callers may send requests.
        attached_to: The leader of control, empty for none.
        row: What it tells of itself.
        load: How full its upstream is.
        peers: The other nodes.
        stock: Tokens at hand by organisation.
        crashes: Crashes by fingerprint.
        parts: Part of the demand on each service that entries let in.
        costs: What requests that run here cost each service, by route.
    """

    instance: str
    revision: int
    ready: bool
    attached_to: str
    row: frames.Row
    load: frames.Load
    peers: list[frames.Row]
    stock: dict[str, int]
    crashes: dict[str, int]
    parts: dict[str, float]
    costs: dict[str, dict[str, float]]


class _LinkServer(connection.Receiver):
    """Takes the links of other nodes."""

    __slots__ = ("_node",)

    def __init__(self, node: "MeshNode") -> None:
        self._node = node

    def opened(self, link: connection.Link) -> None:
        """Says who is here and how the upstream is."""
        link.send(self._node.hello)
        self._node.callers.opened(link)
        link.send(self._node.status())
        link.send(self._node.costs())

    def received(self, link: connection.Link, message: frames.Frame) -> None:
        """Takes in a message of a call."""
        self._node.callers.take(link, message)

    def lost(self, link: connection.Link) -> None:
        """Ends the calls of the link."""
        self._node.callers.lost(link)


class MeshNode:
    """The process beside one upstream instance.

    Attributes:
        state: Its tables.
        upstream: The upstream of this machine.
        hello: What its links begin with.
        callers: Calls of other nodes.
        caller: Bound address of the port of callers.
        link: Bound address of the port of links.
    """

    def __init__(self,
                 node: settings.MeshNode,
                 header_names: names.HeaderNames,
                 source: random.Random | None = None) -> None:
        """Prepares a node.

        Args:
            node: Its settings.
            header_names: Names of headers in this deployment.
            source: Random source for its choices.
        """
        self._loop = asyncio.get_running_loop()
        self._settings = node
        source = source or random.Random()
        incarnation = time.time_ns() // 1000
        self.state = state.NodeState(header_names, node.service)
        self._cost_table = costs.CostTable()
        self._costs = costs.LocalCosts(self._cost_table, self._loop.time())
        self._pool = client.ConnectionPool(_BUFFERED_ANSWER_BYTES,
                                           allow_close_delimited=True)
        self.upstream = upstream.LocalUpstream(
            settings.parse_address(node.upstream), header_names, self._pool,
            self.state.crashes, self.state.metrics, self._costs, incarnation)
        self.upstream.changed = self._upstream_changed
        self._router = routing.Router(node.failure_domain, "", source)
        self._sweeper = connection.Sweeper()
        self.hello = frames.Hello(node.instance, incarnation)
        self._peers = peers.Peers(node.instance, self.hello, self._sweeper,
                                  self._router, self._cost_table)
        self._dispatcher = dispatch.Dispatcher(node.instance, self._router,
                                               self._peers, self.upstream,
                                               header_names, self._cost_table,
                                               self.state.metrics)
        self.callers = streams.Callers(self.upstream.run, self.upstream.load)
        self._limits = node.limits
        self._link_server: asyncio.Server | None = None
        self.caller = settings.parse_address(node.caller)
        self.link = settings.parse_address(node.link)
        self._row = attachment.RowSource(node.instance, incarnation,
                                         node.failure_domain, self.state,
                                         self.upstream)
        self._attachment = attachment.Attachment(self.state,
                                                 self._peers, self._row,
                                                 node.control_links(),
                                                 self._sweeper)
        self._caller_server = server.Server(
            entry.EntryHandler(
                self.state, self._dispatcher, self._attachment,
                downstream.DownstreamCapacity(self._router, self._cost_table,
                                              source), self._costs, source),
            node.limits)
        self._admin_server = server.Server(
            admin.AdminHandler(self._render_metrics, self.dump), node.limits)
        self._ticked_at = self._loop.time()
        self._ticker: asyncio.Task[None] | None = None
        self._ticks = 0
        self._told_load: frames.Load | None = None
        self._installed: documents.CompiledDocument | None = None

    @property
    def ready(self) -> bool:
        """Whether callers may send requests here."""
        return self.state.compiled is not None and not self.state.draining

    def add_seeds(self, seeds: list[str]) -> None:
        """Takes in more addresses at which control may be found."""
        self._attachment.add_seeds(seeds)

    async def start(self) -> None:
        """Listens, and attaches to control."""
        self._sweeper.start()
        self.caller = await self._caller_server.start(self.caller)
        self._link_server = await self._loop.create_server(
            lambda: connection.Link(_LinkServer(self), self._sweeper),
            self.link.host,
            self.link.port,
            backlog=256)
        port = self._link_server.sockets[0].getsockname()[1]
        self.link = settings.Address(self.link.host, port)
        self._row.address = str(self.link)
        await self._admin_server.start(
            settings.parse_address(self._settings.admin))
        self._attachment.start()
        self._ticker = asyncio.ensure_future(
            runtime.run_periodically(_TICK_S, self._tick, "node:tick_failed"))
        log.event("node:started",
                  instance=self._settings.instance,
                  incarnation=self.hello.incarnation,
                  caller=str(self.caller),
                  link=str(self.link))

    def status(self) -> frames.Status:
        """What other nodes are told without asking."""
        return frames.Status(self.upstream.row(), self.state.draining,
                             self.upstream.load())

    def costs(self) -> frames.Costs:
        """What other nodes are told of the routes that run here."""
        return self._costs.message()

    def _upstream_changed(self) -> None:
        self.state.set_announced_service(self.upstream.service)
        self._sync_own()
        self._tell()
        self.state.report_due.set()

    def _tell(self) -> None:
        status = self.status()
        self._told_load = status.load
        for link in self.callers.links:
            link.send(status)

    def _sync_own(self) -> None:
        """Keeps the row of the own upstream in the router."""
        row = self.upstream.row()
        if row is None:
            return
        node = self._settings
        now = self._loop.time()
        self._router.upsert(
            routing.Upstream(node.instance, row.service, node.failure_domain,
                             "", self.link, not row.usable, row.born, now))
        self._router.set_cold(node.instance, now, row.cold_s)

    def _tick(self) -> None:
        now = self._loop.time()
        self.state.metrics.loop_lag.set(
            max(0.0, now - self._ticked_at - _TICK_S))
        self._ticked_at = now
        self._ticks += 1
        self.upstream.advance()
        if self._ticks % _SLOW_TICKS == 0:
            self.state.token_pool.tick(now, self.state.compiled,
                                       self._attachment.has_grants)
            self._peers.tick(now)
            self._router.tick(now)
            self._take_limits()
            self.upstream.measure(
                self._router.service_capacity_ratio(self.upstream.service))
            self._note_own_load()
            if self._costs.tick(now):
                message = self._costs.message()
                for link in self.callers.links:
                    link.send(message)
        if self._ticks % _STATUS_TICKS == 0:
            if self._load_moved(self.upstream.load()):
                self._tell()
        if self._ticks % _EXPIRE_TICKS == 0:
            self._pool.expire(now)
            self.state.crashes.tick(now)

    def _load_moved(self, load: frames.Load) -> bool:
        """Tells whether other nodes would decide otherwise by a new load."""
        told = self._told_load
        if told is None or load.slots != told.slots:
            return True
        moved = abs(load.running + load.queued - told.running - told.queued)
        return (moved > _TOLD_PART * load.slots or
                abs(load.part - told.part) > _TOLD_PART)

    def _note_own_load(self) -> None:
        own = self._router.by_instance.get(self._settings.instance)
        if own is not None:
            load = self.upstream.load()
            own.update_load(load.running, load.queued, load.slots, load.part)

    def _take_limits(self) -> None:
        """Puts the desired state's bounds on callers in force."""
        compiled = self.state.compiled
        if compiled is None or compiled is self._installed:
            return
        self._installed = compiled
        found = compiled.document.limits
        self._caller_server.set_limits(
            settings.Limits(header_bytes=max(1024, found.header_bytes),
                            header_timeout_s=found.header_timeout_s,
                            idle_timeout_s=found.idle_timeout_s,
                            body_timeout_s=self._limits.body_timeout_s,
                            connections=self._limits.connections))

    def _render_metrics(self) -> bytes:
        found = self.state.metrics
        load = self.upstream.load()
        found.limit.set(load.slots)
        found.in_flight.set(load.running)
        found.queued.set(load.queued)
        found.revision.set(self.state.revision)
        found.connections.set(self._caller_server.open_connections)
        found.peers.set(self._peers.linked)
        found.lines_omitted.set(log.omitted_lines())
        for name, count in self.state.token_pool.available().items():
            found.tokens.labels(name).set(count)
        return found.render()

    def dump(self) -> MeshNodeDump:
        """Takes a dump of the node's state."""
        return MeshNodeDump(
            self._settings.instance, self.state.revision, self.ready,
            self._attachment.attached_to, self._row.row(), self.upstream.load(),
            [peer.row for peer in self._peers.by_instance.values()],
            self.state.token_pool.available(),
            self.state.crashes.crash_counts(), self._router.capacity_ratios(),
            self._costs.message().by_route)

    async def stop(self) -> None:
        """Stops gracefully: requests that are there or still come are served.

        Raises nothing; at the end of the grace time what is left is cut.
        """
        log.event("node:draining", running=self.state.running)
        self.state.draining = True
        self.state.report_due.set()
        self._caller_server.close_after_responses()
        self._tell()
        started_at = self._loop.time()
        until = started_at + self._settings.grace_s * _GRACE_PART
        while self._loop.time() < until:
            await asyncio.sleep(_DRAIN_STEP_S)
            waited_s = self._loop.time() - started_at
            self.state.closed = waited_s >= _LEAVE_AFTER_S
            idle = (not self.state.running and not self.callers.running and
                    not self._caller_server.busy_connections)
            if waited_s >= _LEAVE_AFTER_S and idle:
                break
        log.event("node:stopped", running=self.state.running)
        await self._attachment.stop()
        if self._ticker is not None:
            self._ticker.cancel()
        self._caller_server.abort()
        self._admin_server.abort()
        self._peers.stop()
        if self._link_server is not None:
            self._link_server.close()
        self._sweeper.stop()
        self._pool.close()
