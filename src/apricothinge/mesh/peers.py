"""The other nodes: their rows, the links to them, and who takes work."""

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
# A node that control no longer lists may still be there for a node that
# control has lost; its link decides, after this time.
_REMOVE_AFTER_S: Final = 3.0


class Peer(connection.LinkHandler):
    """One other node.

    Attributes:
        row: What control and the node itself have told of it.
        calls: Calls to the upstream beside it.
        load: Its latest load, or None.
        listed: Whether control lists it.
        unlisted_at: Loop time in seconds at which that ended.
    """

    __slots__ = ("row", "calls", "load", "listed", "unlisted_at", "_table",
                 "_task", "_loop")

    def __init__(self, row: frames.NodeRow, table: "PeerTable") -> None:
        self._loop = asyncio.get_running_loop()
        self.row = row
        self.load: frames.Load | None = None
        self.listed = True
        self.unlisted_at = 0.0
        self._table = table
        self.calls = streams.OutgoingCalls(self._on_load)
        self._task = asyncio.ensure_future(self._maintain_link())

    def _on_load(self, load: frames.Load) -> None:
        self.load = load
        self._table.update_load(self)

    async def _maintain_link(self) -> None:
        """Opens the link whenever there is none."""
        delay_s = _MIN_RETRY_DELAY_S
        while True:
            address = settings.parse_address(self.row.address)
            try:
                link = await connection.dial(address.host, address.port, self,
                                             self._table.monitor)
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
        """Starts calling on a link."""
        link.send(self._table.hello)
        self.calls.link = link

    def message_received(self, link: connection.Link,
                         message: frames.Frame) -> None:
        """Takes in what the node says."""
        if isinstance(message, frames.Status):
            self.load = message.load
            self._table.update_status(self, message)
            return
        if isinstance(message, frames.Costs):
            self._table.costs.put(message)
            return
        if isinstance(message, frames.Hello):
            if message.instance != self.row.instance:
                # The address now belongs to another machine.
                link.abort()
            return
        self.calls.message_received(message)

    def link_lost(self, link: connection.Link) -> None:
        """Takes in that the link has ended."""
        if self.calls.link is not link and self.calls.link is not None:
            return
        self.calls.link_lost()
        self._table.update_router(self)

    def stop(self) -> None:
        """Ends the link for good."""
        self._task.cancel()
        if self.calls.link is not None:
            self.calls.link.abort()


class PeerTable:
    """The table of the other nodes.

    Attributes:
        by_instance: Them.
        hello: What each link begins with.
        monitor: Probes the links.
        costs: What requests cost the services below.
    """

    __slots__ = ("by_instance", "hello", "monitor", "costs", "_router",
                 "_own_instance", "_loop")

    def __init__(self, own_instance: str, hello: frames.Hello,
                 monitor: connection.KeepaliveMonitor, router: routing.Router,
                 cost_table: costs.CostTable) -> None:
        self._loop = asyncio.get_running_loop()
        self._own_instance = own_instance
        self.hello = hello
        self.monitor = monitor
        self.costs = cost_table
        self._router = router
        self.by_instance: dict[str, Peer] = {}

    @property
    def link_count(self) -> int:
        """Nodes to which there is a link."""
        return sum(
            peer.calls.link is not None for peer in self.by_instance.values())

    def update_row(self, row: frames.NodeRow) -> None:
        """Takes in a row from control."""
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
        # What a node has said on its link is newer than what control heard.
        if not stale and (peer.calls.link is None or row.incarnation
                          > peer.row.incarnation or peer.row.upstream is None):
            peer.row = row
        self.update_router(peer)

    def mark_unlisted(self, instance: str) -> None:
        """Takes in that control does not list a node any more."""
        peer = self.by_instance.get(instance)
        if peer is not None and peer.listed:
            peer.listed = False
            peer.unlisted_at = self._loop.time()

    def update_status(self, peer: Peer, status: frames.Status) -> None:
        """Takes in what a node says of itself."""
        row = peer.row
        peer.row = frames.NodeRow(row.instance, row.incarnation, row.address,
                                  row.failure_domain, row.service,
                                  status.leaving, status.upstream)
        self.update_router(peer)

    def update_load(self, peer: Peer) -> None:
        """Takes in how full the upstream of a node is."""
        target = self._router.by_instance.get(peer.row.instance)
        if target is not None and peer.load is not None:
            load = peer.load
            target.update_load(load.running, load.queued, load.slots, load.part)

    def update_router(self, peer: Peer) -> None:
        """Puts into the router whether a node's upstream takes work."""
        row = peer.row
        upstream = row.upstream
        now = self._loop.time()
        self._router.upsert(
            routing.Upstream(row.instance,
                             "" if upstream is None else upstream.service,
                             row.failure_domain, "",
                             settings.parse_address(row.address),
                             not self._is_usable(peer, now),
                             0 if upstream is None else upstream.born, now))
        if upstream is not None:
            self._router.set_cold(row.instance, now, upstream.cold_s)
        self.update_load(peer)

    def tick(self, now: float) -> None:
        """Looks at the links, and forgets nodes that have left."""
        for peer in list(self.by_instance.values()):
            if (not peer.listed and peer.calls.link is None and
                    now - peer.unlisted_at > _REMOVE_AFTER_S):
                self._remove(peer)
                continue
            target = self._router.by_instance.get(peer.row.instance)
            link = peer.calls.link
            if target is not None and link is not None and (target.draining != (
                    not self._is_usable(peer, now))):
                self.update_router(peer)

    @staticmethod
    def _is_usable(peer: Peer, now: float) -> bool:
        upstream = peer.row.upstream
        link = peer.calls.link
        return (upstream is not None and upstream.usable and
                not peer.row.leaving and link is not None and
                not link.closed and not link.is_suspect(now))

    def _remove(self, peer: Peer) -> None:
        log.event("node:forgotten", node=peer.row.instance)
        peer.stop()
        self.by_instance.pop(peer.row.instance, None)
        self._router.remove(peer.row.instance)

    def stop(self) -> None:
        """Ends all links."""
        for peer in self.by_instance.values():
            peer.stop()
