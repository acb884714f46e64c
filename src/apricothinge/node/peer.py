"""Peer port: calls from other nodes for the local upstream."""

import asyncio
from collections.abc import Callable
from typing import Final

from apricothinge import context
from apricothinge import errors
from apricothinge import keys
from apricothinge.node import dispatch
from apricothinge.node import serving
from apricothinge.node import state
from apricothinge.overload import crashes
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["GRANTS_PATH", "PeerHandler"]

GRANTS_PATH: Final = "/apricothinge/grants"

_MAX_GRANT_REQUEST_BYTES: Final = 1 << 20


class PeerHandler(server.Handler):
    """Serves calls whose context was sealed by a node of the fleet."""

    __slots__ = ("_state", "_executor", "_serve_grants", "_loop")

    def __init__(self, node_state: state.NodeState,
                 executor: serving.LocalExecutor,
                 serve_grants: Callable[[bytes], bytes]) -> None:
        self._state = node_state
        self._executor = executor
        self._serve_grants = serve_grants
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: messages.Request) -> messages.Response:
        if request.path == GRANTS_PATH:
            await request.body.buffer(_MAX_GRANT_REQUEST_BYTES)
            return messages.Response(200, [],
                                     self._serve_grants(request.body.prefix))
        sealed = messages.header(request.headers, context.HEADER)
        if sealed is None:
            raise errors.CallError(
                errors.Kind.CONTEXT_INVALID,
                "the context is missing; callers use the caller port")
        call_context = self._state.sealer.decode(sealed)
        suspect = messages.header(request.headers,
                                  dispatch.SUSPECT_HEADER) is not None
        headers = messages.end_to_end([
            (name, value)
            for name, value in request.headers
            if not name.startswith(keys.INTERNAL_PREFIX) and name != b"host"
        ])
        deadline = request.received_at + call_context.timeout_ms / 1000
        await request.body.buffer(self._state.settings.limits.replay_bytes,
                                  crashes.FINGERPRINT_BYTES)
        labels = (call_context.service,
                  call_context.importance_level.name.lower())
        try:
            response = await self._executor.execute(call_context, deadline,
                                                    request.method,
                                                    request.target, headers,
                                                    request.body, suspect)
        except errors.CallError as error:
            self._state.metrics.refusals.labels("peer", *labels,
                                                error.code).inc()
            raise
        self._state.metrics.calls.labels("peer", *labels,
                                         f"{response.status // 100}xx").inc()
        return response
