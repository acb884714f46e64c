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

__all__ = ["Peer", "Peers"]

_FIRST_RETRY_S: Final = 0.1
_LONGEST_RETRY_S: Final = 1.0
# A node that control no longer lists may still be there for a node that
# control has lost; its link decides, after this time.
_FORGET_AFTER_S: Final = 3.0


class Peer(connection.LinkHandler):
    """One other node.

    Attributes:
        row: What control and the node itself have told of it.
        calls: Calls to the upstream beside it.
        load: Its latest load, or None.
        listed: Whether control lists it.
        unlisted_at: Loop time in seconds at which that ended.
    """

    __slots__ = ("row", "calls", "load", "listed", "unlisted_at", "_peers",
                 "_task", "_loop")

    def __init__(self, row: frames.NodeRow, peers: "Peers") -> None:
        self._loop = asyncio.get_running_loop()
        self.row = row
        self.load: frames.Load | None = None
        self.listed = True
        self.unlisted_at = 0.0
        self._peers = peers
        self.calls = streams.OutgoingCalls(self._on_load)
        self._task = asyncio.ensure_future(self._keep_link())

    def _on_load(self, load: frames.Load) -> None:
        self.load = load
        self._peers.loaded(self)

    async def _keep_link(self) -> None:
        """Opens the link whenever there is none."""
        wait_s = _FIRST_RETRY_S
        while True:
            address = settings.parse_address(self.row.address)
            try:
                link = await connection.dial(address.host, address.port, self,
                                             self._peers.monitor)
            except OSError as error:
                log.event("node:unreachable",
                          node=self.row.instance,
                          address=self.row.address,
                          error=str(error))
                await asyncio.sleep(wait_s)
                wait_s = min(_LONGEST_RETRY_S, 2 * wait_s)
                continue
            wait_s = _FIRST_RETRY_S
            while not link.closed:
                await asyncio.sleep(_FIRST_RETRY_S)

    def link_opened(self, link: connection.Link) -> None:
        """Starts calling on a link."""
        link.send(self._peers.hello)
        self.calls.link = link

    def message_received(self, link: connection.Link,
                         message: frames.Frame) -> None:
        """Takes in what the node says."""
        if isinstance(message, frames.Status):
            self.load = message.load
            self._peers.told(self, message)
            return
        if isinstance(message, frames.Costs):
            self._peers.costs.put(message)
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
        self._peers.refresh(self)

    def stop(self) -> None:
        """Ends the link for good."""
        self._task.cancel()
        if self.calls.link is not None:
            self.calls.link.abort()


class Peers:
    """The table of the other nodes.

    Attributes:
        by_instance: Them.
        hello: What each link begins with.
        monitor: Probes the links.
        costs: What requests cost the services below.
    """

    __slots__ = ("by_instance", "hello", "monitor", "costs", "_router", "_own",
                 "_loop")

    def __init__(self, own: str, hello: frames.Hello,
                 monitor: connection.KeepaliveMonitor, router: routing.Router,
                 table: costs.CostTable) -> None:
        self._loop = asyncio.get_running_loop()
        self._own = own
        self.hello = hello
        self.monitor = monitor
        self.costs = table
        self._router = router
        self.by_instance: dict[str, Peer] = {}

    @property
    def linked(self) -> int:
        """Nodes to which there is a link."""
        return sum(
            peer.calls.link is not None for peer in self.by_instance.values())

    def listed(self, row: frames.NodeRow) -> None:
        """Takes in a row from control."""
        if row.instance == self._own:
            return
        known = self.by_instance.get(row.instance)
        if known is not None and known.row.address != row.address:
            self._forget(known)
            known = None
        if known is None:
            known = self.by_instance[row.instance] = Peer(row, self)
            log.event("node:listed", node=row.instance, address=row.address)
        known.listed = True
        older = row.incarnation < known.row.incarnation
        # What a node has said on its link is newer than what control heard.
        if not older and (known.calls.link is None or
                          row.incarnation > known.row.incarnation or
                          known.row.upstream is None):
            known.row = row
        self.refresh(known)

    def unlisted(self, instance: str) -> None:
        """Takes in that control does not list a node any more."""
        known = self.by_instance.get(instance)
        if known is not None and known.listed:
            known.listed = False
            known.unlisted_at = self._loop.time()

    def told(self, peer: Peer, status: frames.Status) -> None:
        """Takes in what a node says of itself."""
        row = peer.row
        peer.row = frames.NodeRow(row.instance, row.incarnation, row.address,
                                  row.failure_domain, row.service,
                                  status.leaving, status.upstream)
        self.refresh(peer)

    def loaded(self, peer: Peer) -> None:
        """Takes in how full the upstream of a node is."""
        known = self._router.by_instance.get(peer.row.instance)
        if known is not None and peer.load is not None:
            load = peer.load
            known.update_load(load.running, load.queued, load.slots, load.part)

    def refresh(self, peer: Peer) -> None:
        """Puts into the router whether a node's upstream takes work."""
        row = peer.row
        upstream = row.upstream
        now = self._loop.time()
        self._router.upsert(
            routing.Upstream(row.instance,
                             "" if upstream is None else upstream.service,
                             row.failure_domain, "",
                             settings.parse_address(row.address),
                             not self._usable(peer, now),
                             0 if upstream is None else upstream.born, now))
        if upstream is not None:
            self._router.set_cold(row.instance, now, upstream.cold_s)
        self.loaded(peer)

    def tick(self, now: float) -> None:
        """Looks at the links, and forgets nodes that have left."""
        for peer in list(self.by_instance.values()):
            if (not peer.listed and peer.calls.link is None and
                    now - peer.unlisted_at > _FORGET_AFTER_S):
                self._forget(peer)
                continue
            known = self._router.by_instance.get(peer.row.instance)
            link = peer.calls.link
            if known is not None and link is not None and (known.draining != (
                    not self._usable(peer, now))):
                self.refresh(peer)

    @staticmethod
    def _usable(peer: Peer, now: float) -> bool:
        upstream = peer.row.upstream
        link = peer.calls.link
        return (upstream is not None and upstream.usable and
                not peer.row.leaving and link is not None and
                not link.closed and not link.is_suspect(now))

    def _forget(self, peer: Peer) -> None:
        log.event("node:forgotten", node=peer.row.instance)
        peer.stop()
        self.by_instance.pop(peer.row.instance, None)
        self._router.remove(peer.row.instance)

    def stop(self) -> None:
        """Ends all links."""
        for peer in self.by_instance.values():
            peer.stop()
