"""Table of the other nodes, the links to them and their availability."""

import asyncio
from collections.abc import Callable
from typing import Final

from apricothinge import log
from apricothinge import settings
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import costs
from apricothinge.mesh import streams
from apricothinge.overload import routing
from apricothinge.overload import subset

__all__ = ["Peer", "PeerTable"]

_MIN_RETRY_DELAY_S: Final = 0.1
_MAX_RETRY_DELAY_S: Final = 1.0
# A node that control no longer lists may still serve if only its link to
# control is lost. It stays in the table while its own link is up, and at least
# this long after control stopped listing it.
_REMOVE_AFTER_S: Final = 3.0
_CHOICE_INTERVAL_S: Final = 0.5
# Few upstreams leave or name a rate at a time; the oldest rows are dropped.
_MAX_KNOWN_UPSTREAMS: Final = 256


class Peer(connection.LinkHandler):
    """Another node, and the link to it if this node keeps one.

    Attributes:
        row: Latest state of the node, from control or the node itself.
        outgoing_calls: Calls to the node's local upstream.
        load: Latest load of that upstream, or None.
        listed: Whether control lists the node.
        unlisted_at: Loop time in seconds at which control stopped listing it.
        weight: Rank among the nodes of its service; see `subset.weight`.
        chosen: Whether this node keeps a link to it.
        reachable: Whether the latest attempt to connect succeeded.
    """

    __slots__ = ("row", "outgoing_calls", "load", "listed", "unlisted_at",
                 "weight", "chosen", "reachable", "_peer_table", "_task",
                 "_loop", "_link_ended")

    def __init__(self, row: frames.NodeRow, peer_table: "PeerTable",
                 instance_weight: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.row = row
        self.load: frames.Load | None = None
        self.listed = True
        self.unlisted_at = 0.0
        self.weight = instance_weight
        self.chosen = False
        self.reachable = True
        self._peer_table = peer_table
        self.outgoing_calls = streams.OutgoingCalls(self._on_load)
        self._task: asyncio.Task[None] | None = None
        self._link_ended = asyncio.Event()

    def _on_load(self, load: frames.Load) -> None:
        self.load = load
        self._peer_table.update_load(self)

    def connect(self) -> None:
        """Opens a link, and reopens it when it is lost, until `disconnect`."""
        self.chosen = True
        if self._task is None:
            self._task = asyncio.ensure_future(self._maintain_link())

    def disconnect(self) -> None:
        """Closes the link once its calls have ended."""
        self.chosen = False
        if not self.outgoing_calls.running:
            self.stop()

    async def _maintain_link(self) -> None:
        """Opens the link, and reopens it with backoff when it is lost."""
        delay_s = _MIN_RETRY_DELAY_S
        while True:
            address = settings.parse_address(self.row.address)
            self._link_ended.clear()
            try:
                link = await connection.dial(address.host, address.port, self,
                                             self._peer_table.monitor)
            except OSError as error:
                self.reachable = False
                log.event("node:unreachable",
                          node=self.row.instance,
                          address=self.row.address,
                          error=str(error))
                await asyncio.sleep(delay_s)
                delay_s = min(_MAX_RETRY_DELAY_S, 2 * delay_s)
                continue
            self.reachable = True
            delay_s = _MIN_RETRY_DELAY_S
            while not link.closed and not link.retired:
                await self._link_ended.wait()
                self._link_ended.clear()
            await asyncio.sleep(delay_s)

    def link_opened(self, link: connection.Link) -> None:
        """Makes a new link available for calls."""
        link.send(self._peer_table.make_hello(self.row.instance))
        self.outgoing_calls.link = link

    def message_received(self, link: connection.Link,
                         message: frames.Frame) -> None:
        """Handles a message from the node."""
        if isinstance(message, frames.Status):
            self.load = message.load
            self._peer_table.update_status(self, message)
            return
        if isinstance(message, frames.Costs):
            self._peer_table.cost_table.put(message)
            return
        if isinstance(message, frames.StateRequest):
            offer = self._peer_table.make_offer()
            if offer is not None:
                link.send(offer)
            return
        if isinstance(message, frames.TokenLoan):
            self._peer_table.on_token_loan(self.row.instance, message)
            return
        if isinstance(message, frames.Hello):
            if message.instance != self.row.instance:
                # The address now belongs to another instance.
                link.abort()
            return
        self.outgoing_calls.message_received(message)

    def link_lost(self, link: connection.Link) -> None:
        """Fails the calls of the link and marks the node unusable."""
        self.outgoing_calls.link_lost(link)
        self._peer_table.update_router(self)
        self._link_ended.set()

    def is_busy(self, link: connection.Link) -> bool:
        return self.outgoing_calls.running_on(link)

    def link_silent(self, link: connection.Link) -> None:
        """Opens another link for new calls."""
        if self.outgoing_calls.link is link:
            self.outgoing_calls.link = None
        self._peer_table.update_router(self)
        self._link_ended.set()

    def stop(self) -> None:
        """Aborts the link and stops reopening it."""
        self.chosen = False
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self.outgoing_calls.link is not None:
            self.outgoing_calls.link.abort()


class PeerTable:
    """The other nodes of the fleet, as peers of this node.

    The node keeps links to some nodes of each service, and only those take part
    in routing.

    Attributes:
        by_instance: Peers by instance name.
        hello: Identity of this node.
        monitor: Checks the links for silent peers.
        cost_table: Costs of requests, as published by the peers.
        make_offer: Returns what to send to a node that knows no desired state,
            or None if this one knows none either.
        on_token_loan: Called with the name of a node and its answer to a
            request for tokens.
    """

    __slots__ = ("by_instance", "hello", "monitor", "cost_table", "make_offer",
                 "on_token_loan", "_router", "_own_instance", "_own_domain",
                 "_loop", "_chosen_at", "_choice_due",
                 "_known_upstream_by_instance", "_region_by_domain")

    def __init__(self, own_instance: str, own_domain: str, hello: frames.Hello,
                 monitor: connection.KeepaliveMonitor, router: routing.Router,
                 cost_table: costs.CostTable,
                 region_by_domain: dict[str, str]) -> None:
        self._loop = asyncio.get_running_loop()
        self._own_instance = own_instance
        self._own_domain = own_domain
        self._region_by_domain = region_by_domain
        self._chosen_at = 0.0
        self._choice_due = False
        self.hello = hello
        self.monitor = monitor
        self.cost_table = cost_table
        self._router = router
        self.by_instance: dict[str, Peer] = {}
        self._known_upstream_by_instance: dict[str, frames.UpstreamRow] = {}
        self.make_offer: Callable[[], frames.StateOffer | None] = _no_offer
        self.on_token_loan: Callable[[str, frames.TokenLoan],
                                     None] = _ignore_loan

    @property
    def link_count(self) -> int:
        """Number of nodes with an open link."""
        return sum(peer.outgoing_calls.link is not None
                   for peer in self.by_instance.values())

    def update_row(self, row: frames.NodeRow) -> None:
        """Adds or updates a node by its row from control.

        A row whose address is not valid is ignored, so that others can be used.
        """
        if row.instance == self._own_instance:
            return
        try:
            settings.parse_address(row.address)
        except ValueError as error:
            log.event("node:row_invalid", node=row.instance, error=str(error))
            return
        peer = self.by_instance.get(row.instance)
        stale = (peer is not None and row.incarnation < peer.row.incarnation)
        if (peer is not None and not stale and peer.row.address != row.address):
            self._remove(peer)
            peer = None
        if peer is None:
            peer = self.by_instance[row.instance] = Peer(
                row, self, subset.weight(self._own_instance, row.instance))
            log.event("node:listed", node=row.instance, address=row.address)
        peer.listed = True
        # Status received on the link is newer than the row from control.
        if not stale and (peer.outgoing_calls.link is None or row.incarnation
                          > peer.row.incarnation or peer.row.upstream is None):
            peer.row = row
        self._choice_due = True
        self.update_router(peer)

    def mark_unlisted(self, instance: str) -> None:
        """Records that control no longer lists a node."""
        peer = self.by_instance.get(instance)
        if peer is not None and peer.listed:
            peer.listed = False
            peer.unlisted_at = self._loop.time()

    def update_status(self, peer: Peer, status: frames.Status) -> None:
        """Applies a status received from a node."""
        row = peer.row
        if status.upstream is not None:
            self._remember_upstream(row.instance, status.upstream)
        peer.row = frames.NodeRow(row.instance, row.incarnation, row.address,
                                  row.failure_domain, row.service,
                                  status.leaving, status.upstream)
        self.update_router(peer)

    def _remember_upstream(self, instance: str,
                           upstream_row: frames.UpstreamRow) -> None:
        """Remembers what an upstream said that its node needs if it restarts.

        The row of the node itself is replaced when the node returns.
        """
        known = self._known_upstream_by_instance
        known.pop(instance, None)
        if not upstream_row.leaving and not upstream_row.rate_limit:
            return
        known[instance] = upstream_row
        if len(known) > _MAX_KNOWN_UPSTREAMS:
            del known[next(iter(known))]

    def make_hello(self, instance: str) -> frames.Hello:
        """Returns the first message to a node."""
        return frames.Hello(self.hello.instance, self.hello.incarnation,
                            self._known_upstream_by_instance.get(instance),
                            self.hello.handles_withdrawals)

    def update_load(self, peer: Peer) -> None:
        """Publishes the latest load of a node's upstream to the router."""
        target = self._router.by_instance.get(peer.row.instance)
        if target is not None and peer.load is not None:
            load = peer.load
            target.update_load(load.running, load.queued, load.slots, load.part,
                               load.rejected)

    def update_router(self, peer: Peer) -> None:
        """Publishes a node's upstream and its availability to the router."""
        if not peer.chosen:
            self._router.remove(peer.row.instance)
            return
        row = peer.row
        upstream_row = row.upstream
        now = self._loop.time()
        self._router.upsert(
            routing.Upstream(
                row.instance,
                "" if upstream_row is None else upstream_row.service,
                row.failure_domain,
                self._region_by_domain.get(row.failure_domain, ""),
                settings.parse_address(row.address),
                not self._is_usable(peer, now),
                0 if upstream_row is None else upstream_row.born, now))
        if upstream_row is not None:
            self._router.set_cold(row.instance, now, upstream_row.cold_s)
        self.update_load(peer)

    def _choose(self) -> None:
        """Connects to the chosen nodes of each service, and to no others.

        They are chosen by region, as requests may have to stay in one.
        """
        candidates_by_group: dict[tuple[str, str], list[subset.Candidate]] = {}
        for peer in self.by_instance.values():
            upstream_row = peer.row.upstream
            if (upstream_row is None or not upstream_row.usable or
                    peer.row.leaving):
                continue
            region = self._region_by_domain.get(peer.row.failure_domain, "")
            candidates_by_group.setdefault(
                (upstream_row.service, region), []).append(
                    subset.Candidate(
                        peer.row.instance,
                        peer.row.failure_domain == self._own_domain,
                        peer.reachable, peer.weight))
        chosen: set[str] = set()
        for candidates in candidates_by_group.values():
            chosen |= subset.choose(candidates)
        for peer in self.by_instance.values():
            if peer.row.instance in chosen:
                if not peer.chosen:
                    peer.connect()
                    self.update_router(peer)
            elif peer.chosen and self._is_replaceable(peer):
                peer.disconnect()
                self.update_router(peer)
            elif not peer.chosen:
                peer.disconnect()

    @staticmethod
    def _is_replaceable(peer: Peer) -> bool:
        """Returns whether a node need not be watched through its own link.

        A node that is draining or whose upstream restarts says on its link when
        it accepts requests again.
        """
        upstream_row = peer.row.upstream
        return (upstream_row is not None and upstream_row.usable and
                not peer.row.leaving) or not peer.listed

    def tick(self, now: float) -> None:
        """Updates availability by the links, and removes unlisted nodes."""
        if self._choice_due or now - self._chosen_at >= _CHOICE_INTERVAL_S:
            self._choice_due = False
            self._chosen_at = now
            self._choose()
        for peer in list(self.by_instance.values()):
            if (not peer.listed and peer.outgoing_calls.link is None and
                    now - peer.unlisted_at > _REMOVE_AFTER_S):
                self._remove(peer)
                continue
            target = self._router.by_instance.get(peer.row.instance)
            link = peer.outgoing_calls.link
            if target is None or link is None:
                continue
            if target.draining == self._is_usable(peer, now):
                self.update_router(peer)
            suspect = link.is_suspect(now)
            if suspect and not target.suspect:
                peer.outgoing_calls.notice_silence()
            target.suspect = suspect

    @staticmethod
    def _is_usable(peer: Peer, now: float) -> bool:
        upstream_row = peer.row.upstream
        link = peer.outgoing_calls.link
        return (upstream_row is not None and upstream_row.usable and
                not peer.row.leaving and link is not None and
                not link.closed and not link.is_unusable(now))

    def _remove(self, peer: Peer) -> None:
        log.event("node:forgotten", node=peer.row.instance)
        peer.stop()
        self.by_instance.pop(peer.row.instance, None)
        self._router.remove(peer.row.instance)

    def stop(self) -> None:
        """Stops all peers."""
        for peer in self.by_instance.values():
            peer.stop()


def _ignore_loan(instance: str, loan: frames.TokenLoan) -> None:
    """Default of `PeerTable.on_token_loan`."""
    del instance, loan


def _no_offer() -> frames.StateOffer | None:
    """Default of `PeerTable.make_offer`."""
    return None
