"""Requests for tokens between nodes, over the peer port."""

import asyncio
from typing import Final

import msgspec

from apricothinge import seal
from apricothinge.node import peer
from apricothinge.node import state
from apricothinge.overload import routing
from apricothinge.rates import distributed
from apricothinge.rates import owner
from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["PeerLink"]

_TIMEOUT_S: Final = 0.2
_OK: Final = 200


class PeerLink(distributed.GrantTransport):
    """Asks owners on other nodes, and answers those who ask here."""

    __slots__ = ("_state", "_pool", "_seal", "_encoder", "_request_decoder",
                 "_reply_decoder")

    def __init__(self, secret: str, pool: client.ConnectionPool) -> None:
        self._state: state.NodeState | None = None
        self._pool = pool
        self._seal = seal.MessageAuthenticator(secret)
        self._encoder = msgspec.msgpack.Encoder()
        self._request_decoder = msgspec.msgpack.Decoder(owner.GrantRequest)
        self._reply_decoder = msgspec.msgpack.Decoder(owner.GrantReply)

    def bind(self, node_state: state.NodeState) -> None:
        """Gives it the table of nodes; the table needs the gate first."""
        self._state = node_state

    def _row(self, process: str) -> routing.Upstream | None:
        assert self._state is not None
        instance, _, incarnation = process.rpartition(":")
        row = self._state.router.nodes_by_instance.get(instance)
        if row is None or str(row.incarnation) != incarnation:
            return None
        return row

    async def send(self, process: str,
                   request: owner.GrantRequest) -> owner.GrantReply | None:
        row = self._row(process)
        if row is None:
            return None
        sealed = self._seal.sign(self._encoder.encode(request))
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                answer = await self._pool.exchange(
                    row.peer, "POST", peer.GRANTS, [],
                    messages.Body(len(sealed), None, sealed))
        except (client.RequestNotSent, client.ExchangeFailed, TimeoutError):
            return None
        if answer.status != _OK:
            return None
        return self._reply_decoder.decode(self._seal.verify(answer.data))

    def serve(self, gate: distributed.DistributedRateLimiter,
              sealed: bytes) -> bytes:
        """Answers a sealed request of another node.

        Raises:
            errors.CallError: It is not from a node of this fleet.
        """
        request = self._request_decoder.decode(self._seal.verify(sealed))
        return self._seal.sign(self._encoder.encode(gate.serve(request)))
