"""Exchange of the desired state between nodes that cannot reach control."""

import asyncio
import math
import random
from typing import Final

from apricothinge import log
from apricothinge.link import frames
from apricothinge.mesh import attachment
from apricothinge.mesh import documents
from apricothinge.mesh import peers
from apricothinge.mesh import state
from apricothinge.mesh import streams
from apricothinge.mesh import upstream

__all__ = ["StateExchange"]

# A node attaches to control within this time of its start if control can be
# reached. Other nodes may have an older state than control.
_CONTROL_PRECEDENCE_S: Final = 1.0
_STATE_SOURCES: Final = 3


class StateExchange:
    """Gives a node without a desired state the one that other nodes go by.

    A node that restarts in a failure domain that is cut off from control would
    otherwise serve nothing until the end of the cut.
    """

    __slots__ = ("_loop", "_state", "_peer_table", "_attachment",
                 "_incoming_calls", "_row_builder", "_rng", "_started_at",
                 "_upstream", "_instance")

    def __init__(self, node_state: state.NodeState, peer_table: peers.PeerTable,
                 control_attachment: attachment.Attachment,
                 incoming_calls: streams.IncomingCalls,
                 row_builder: attachment.RowBuilder,
                 local_upstream: upstream.LocalUpstream, instance: str,
                 rng: random.Random) -> None:
        self._upstream = local_upstream
        self._instance = instance
        self._loop = asyncio.get_running_loop()
        self._state = node_state
        self._peer_table = peer_table
        self._attachment = control_attachment
        self._incoming_calls = incoming_calls
        self._row_builder = row_builder
        self._rng = rng
        self._started_at = self._loop.time()
        peer_table.make_offer = self.make_offer

    def request(self) -> None:
        """Asks other nodes for the desired state if control is out of reach."""
        now = self._loop.time()
        if (self._state.compiled is not None or self._attachment.attached_to or
                now - self._started_at < _CONTROL_PRECEDENCE_S):
            return
        links = [
            link for link in self._incoming_calls.links
            if not link.is_suspect(now)
        ]
        for link in self._rng.sample(links, min(_STATE_SOURCES, len(links))):
            link.send(frames.StateRequest())

    def make_offer(self) -> frames.StateOffer | None:
        """Returns the desired state and the nodes that this node goes by."""
        compiled = self._state.compiled
        if compiled is None:
            return None
        rows = [peer.row for peer in self._peer_table.by_instance.values()]
        return frames.StateOffer(compiled.revision,
                                 documents.pack(compiled.document),
                                 rows + [self._row_builder.build()],
                                 self._state.token_pool.nodes,
                                 self._state.evacuations.revision,
                                 self._state.evacuations.domains())

    def accept(self, offer: frames.StateOffer) -> None:
        """Goes by the state of another node until control is reached."""
        if self._attachment.attached_to or not self._state.install(
                documents.CompiledDocument(offer.revision,
                                           documents.unpack(offer.document))):
            return
        log.event("state:from_node", revision=offer.revision)
        self._state.evacuate(offer.evacuation_revision,
                             dict.fromkeys(offer.evacuated, math.inf))
        self._state.token_pool.nodes = offer.node_count
        for row in offer.rows:
            if row.instance == self._instance and row.upstream is not None:
                self._upstream.recall(row.upstream)
            self._peer_table.update_row(row)
        # What control has recorded is not known here, but the nodes that have
        # run meanwhile know what this upstream has said.
        self._upstream.learn_departures([])
