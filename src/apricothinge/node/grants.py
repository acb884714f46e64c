"""Token requests between nodes over the peer port."""

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

__all__ = ["PeerGrantTransport"]

_TIMEOUT_S: Final = 0.2
_OK: Final = 200


class PeerGrantTransport(distributed.GrantTransport):
    """Sends token requests to owners on other nodes and serves theirs."""

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
        """Sets the node state, which is created after the rate limiter."""
        self._state = node_state

    def _find_node(self, process: str) -> routing.Upstream | None:
        assert self._state is not None
        instance, _, incarnation = process.rpartition(":")
        node = self._state.router.nodes_by_instance.get(instance)
        if node is None or str(node.incarnation) != incarnation:
            return None
        return node

    async def send(self, process: str,
                   request: owner.GrantRequest) -> owner.GrantReply | None:
        node = self._find_node(process)
        if node is None:
            return None
        sealed = self._seal.sign(self._encoder.encode(request))
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                response = await self._pool.exchange(
                    node.peer, "POST", peer.GRANTS_PATH, [],
                    messages.Body(len(sealed), None, sealed))
        except (client.RequestNotSent, client.ExchangeFailed, TimeoutError):
            return None
        if response.status != _OK:
            return None
        return self._reply_decoder.decode(self._seal.verify(response.data))

    def serve(self, distributed_limiter: distributed.DistributedRateLimiter,
              sealed: bytes) -> bytes:
        """Serves a sealed token request of another node.

        Raises:
            errors.CallError: It was not sealed with the fleet secret.
        """
        request = self._request_decoder.decode(self._seal.verify(sealed))
        return self._seal.sign(
            self._encoder.encode(distributed_limiter.serve(request)))
