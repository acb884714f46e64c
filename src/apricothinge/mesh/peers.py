"""Table of the other nodes, the links to them and their availability."""

import asyncio
from typing import Final

from apricothinge import log
from apricothinge import settings
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import costs
from apricothinge.mesh import streams
from apricothinge.overload import routing

__all__ = ["Peer", "PeerTable"]

_MIN_RETRY_DELAY_S: Final = 0.1
_MAX_RETRY_DELAY_S: Final = 1.0
# A node that control no longer lists may still serve if only its link to
# control is lost. It stays in the table while its own link is up, and at least
# this long after control stopped listing it.
_REMOVE_AFTER_S: Final = 3.0


class Peer(connection.LinkHandler):
    """Another node and the link to it.

    Attributes:
        row: Latest state of the node, from control or the node itself.
        outgoing_calls: Calls to the node's local upstream.
        load: Latest load of that upstream, or None.
        listed: Whether control lists the node.
        unlisted_at: Loop time in seconds at which control stopped listing it.
    """

    __slots__ = ("row", "outgoing_calls", "load", "listed", "unlisted_at",
                 "_peer_table", "_task", "_loop")

    def __init__(self, row: frames.NodeRow, peer_table: "PeerTable") -> None:
        self._loop = asyncio.get_running_loop()
        self.row = row
        self.load: frames.Load | None = None
        self.listed = True
        self.unlisted_at = 0.0
        self._peer_table = peer_table
        self.outgoing_calls = streams.OutgoingCalls(self._on_load)
        self._task = asyncio.ensure_future(self._maintain_link())

    def _on_load(self, load: frames.Load) -> None:
        self.load = load
        self._peer_table.update_load(self)

    async def _maintain_link(self) -> None:
        """Opens the link, and reopens it with backoff when it is lost."""
        delay_s = _MIN_RETRY_DELAY_S
        while True:
            address = settings.parse_address(self.row.address)
            try:
                link = await connection.dial(address.host, address.port, self,
                                             self._peer_table.monitor)
            except OSError as error:
                log.event("node:unreachable",
                          node=self.row.instance,
                          address=self.row.address,
                          error=str(error))
                await asyncio.sleep(delay_s)
                delay_s = min(_MAX_RETRY_DELAY_S, 2 * delay_s)
                continue
            delay_s = _MIN_RETRY_DELAY_S
            while not link.closed:
                await asyncio.sleep(_MIN_RETRY_DELAY_S)

    def link_opened(self, link: connection.Link) -> None:
        """Makes a new link available for calls."""
        link.send(self._peer_table.hello)
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
        if isinstance(message, frames.Hello):
            if message.instance != self.row.instance:
                # The address now belongs to another instance.
                link.abort()
            return
        self.outgoing_calls.message_received(message)

    def link_lost(self, link: connection.Link) -> None:
        """Fails the calls of the link and marks the node unusable."""
        if (self.outgoing_calls.link is not link and
                self.outgoing_calls.link is not None):
            return
        self.outgoing_calls.link_lost()
        self._peer_table.update_router(self)

    def stop(self) -> None:
        """Aborts the link and stops reopening it."""
        self._task.cancel()
        if self.outgoing_calls.link is not None:
            self.outgoing_calls.link.abort()


class PeerTable:
    """The other nodes of the fleet, as peers of this node.

    Attributes:
        by_instance: Peers by instance name.
        hello: First message on each link.
        monitor: Checks the links for silent peers.
        cost_table: Costs of requests, as published by the peers.
    """

    __slots__ = ("by_instance", "hello", "monitor", "cost_table", "_router",
                 "_own_instance", "_loop")

    def __init__(self, own_instance: str, hello: frames.Hello,
                 monitor: connection.KeepaliveMonitor, router: routing.Router,
                 cost_table: costs.CostTable) -> None:
        self._loop = asyncio.get_running_loop()
        self._own_instance = own_instance
        self.hello = hello
        self.monitor = monitor
        self.cost_table = cost_table
        self._router = router
        self.by_instance: dict[str, Peer] = {}

    @property
    def link_count(self) -> int:
        """Number of nodes with an open link."""
        return sum(peer.outgoing_calls.link is not None
                   for peer in self.by_instance.values())

    def update_row(self, row: frames.NodeRow) -> None:
        """Adds or updates a node by its row from control."""
        if row.instance == self._own_instance:
            return
        peer = self.by_instance.get(row.instance)
        if peer is not None and peer.row.address != row.address:
            self._remove(peer)
            peer = None
        if peer is None:
            peer = self.by_instance[row.instance] = Peer(row, self)
            log.event("node:listed", node=row.instance, address=row.address)
        peer.listed = True
        stale = row.incarnation < peer.row.incarnation
        # Status received on the link is newer than the row from control.
        if not stale and (peer.outgoing_calls.link is None or row.incarnation
                          > peer.row.incarnation or peer.row.upstream is None):
            peer.row = row
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
        peer.row = frames.NodeRow(row.instance, row.incarnation, row.address,
                                  row.failure_domain, row.service,
                                  status.leaving, status.upstream)
        self.update_router(peer)

    def update_load(self, peer: Peer) -> None:
        """Publishes the latest load of a node's upstream to the router."""
        target = self._router.by_instance.get(peer.row.instance)
        if target is not None and peer.load is not None:
            load = peer.load
            target.update_load(load.running, load.queued, load.slots, load.part)

    def update_router(self, peer: Peer) -> None:
        """Publishes a node's upstream and its availability to the router."""
        row = peer.row
        upstream_row = row.upstream
        now = self._loop.time()
        self._router.upsert(
            routing.Upstream(
                row.instance,
                "" if upstream_row is None else upstream_row.service,
                row.failure_domain, "", settings.parse_address(row.address),
                not self._is_usable(peer, now),
                0 if upstream_row is None else upstream_row.born, now))
        if upstream_row is not None:
            self._router.set_cold(row.instance, now, upstream_row.cold_s)
        self.update_load(peer)

    def tick(self, now: float) -> None:
        """Updates availability by the links, and removes unlisted nodes."""
        for peer in list(self.by_instance.values()):
            if (not peer.listed and peer.outgoing_calls.link is None and
                    now - peer.unlisted_at > _REMOVE_AFTER_S):
                self._remove(peer)
                continue
            target = self._router.by_instance.get(peer.row.instance)
            link = peer.outgoing_calls.link
            if target is not None and link is not None and (target.draining != (
                    not self._is_usable(peer, now))):
                self.update_router(peer)

    @staticmethod
    def _is_usable(peer: Peer, now: float) -> bool:
        upstream_row = peer.row.upstream
        link = peer.outgoing_calls.link
        return (upstream_row is not None and upstream_row.usable and
                not peer.row.leaving and link is not None and
                not link.closed and not link.is_suspect(now))

    def _remove(self, peer: Peer) -> None:
        log.event("node:forgotten", node=peer.row.instance)
        peer.stop()
        self.by_instance.pop(peer.row.instance, None)
        self._router.remove(peer.row.instance)

    def stop(self) -> None:
        """Stops all peers."""
        for peer in self.by_instance.values():
            peer.stop()
