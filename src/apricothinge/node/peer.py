"""The peer port: calls from other nodes for the local upstream."""

import asyncio
from collections.abc import Callable
from typing import Final

from apricothinge import context
from apricothinge import errors
from apricothinge import keys
from apricothinge.node import dispatch
from apricothinge.node import serving
from apricothinge.node import state
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["GRANTS", "PeerHandler"]

GRANTS: Final = "/apricothinge/grants"

_LARGEST_GRANT_REQUEST_BYTES: Final = 1 << 20


class PeerHandler(server.Handler):
    """Serves calls whose context another node of the fleet has sealed."""

    __slots__ = ("_state", "_serving", "_grants", "_loop")

    def __init__(self, node_state: state.NodeState,
                 node_serving: serving.Serving,
                 grants: Callable[[bytes], bytes]) -> None:
        self._state = node_state
        self._serving = node_serving
        self._grants = grants
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: messages.Request) -> messages.Response:
        if request.path == GRANTS:
            await request.body.buffer(_LARGEST_GRANT_REQUEST_BYTES)
            return messages.Response(200, [], self._grants(request.body.prefix))
        sealed = messages.header(request.headers, context.HEADER)
        if sealed is None:
            raise errors.CallError(errors.Kind.CONTEXT_INVALID,
                                   "no context; callers use another port")
        call_context = self._state.sealer.decode(sealed)
        suspect = messages.header(request.headers,
                                  dispatch.SUSPECT_HEADER) is not None
        headers = messages.end_to_end([
            (name, value)
            for name, value in request.headers
            if not name.startswith(keys.INTERNAL_PREFIX) and name != b"host"
        ])
        deadline = request.received_at + call_context.timeout_ms / 1000
        await request.body.buffer(self._state.settings.limits.replay_bytes)
        labels = (call_context.service,
                  call_context.importance_level.name.lower())
        try:
            answer = await self._serving.serve(call_context, deadline,
                                               request.method, request.target,
                                               headers, request.body, suspect)
        except errors.CallError as error:
            self._state.metrics.refusals.labels("peer", *labels,
                                                error.code).inc()
            raise
        self._state.metrics.calls.labels("peer", *labels,
                                         f"{answer.status // 100}xx").inc()
        return answer
