"""HTTP handlers of a node for check-ins and readiness probes."""

from typing import Final

from apricothinge import errors
from apricothinge.mesh import node
from apricothinge.platform import wire
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["CheckInHandler", "ReadinessHandler"]

_JSON_HEADERS: Final = [(b"content-type", b"application/json")]
_MAX_CHECK_IN_BYTES: Final = 1 << 16


def _json_response(content: bytes = b"{}") -> messages.Response:
    return messages.Response(200, list(_JSON_HEADERS), content)


class ReadinessHandler(server.Handler):
    """Answers readiness probes: 200 if the node takes requests, else 503."""

    __slots__ = ("_node",)

    def __init__(self, mesh_node: node.MeshNode) -> None:
        self._node = mesh_node

    async def handle(self, request: messages.Request) -> messages.Response:
        if request.path != wire.READINESS_PATH:
            raise errors.CallError(errors.Kind.UNKNOWN_SERVICE)
        return messages.Response(200 if self._node.ready else 503,
                                 list(_JSON_HEADERS), b"{}")


class CheckInHandler(server.Handler):
    """Handles check-ins and deregistrations of the upstream on this machine."""

    __slots__ = ("_node",)

    def __init__(self, mesh_node: node.MeshNode) -> None:
        self._node = mesh_node

    async def handle(self, request: messages.Request) -> messages.Response:
        await request.body.buffer(_MAX_CHECK_IN_BYTES)
        path = request.path
        content = request.body.prefix
        if path.startswith(wire.CHECK_IN_PATH_PREFIX):
            await self._node.check_ins.check_in(
                wire.decode_check_in(path[len(wire.CHECK_IN_PATH_PREFIX):],
                                     content))
        elif path.startswith(wire.DEREGISTER_PATH_PREFIX):
            await self._node.check_ins.deregister(
                path[len(wire.DEREGISTER_PATH_PREFIX):],
                wire.decode_deregistration(content))
        else:
            raise errors.CallError(errors.Kind.UNKNOWN_SERVICE)
        return _json_response()
