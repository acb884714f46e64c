"""The platform's HTTP calls: check-ins, readiness, the operator's API."""

from typing import Final

from apricothinge import errors
from apricothinge import settings
from apricothinge.mesh import control
from apricothinge.mesh import node
from apricothinge.platform import wire
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["CheckInHandler", "OperatorHandler", "ReadinessHandler"]

_JSON: Final = [(b"content-type", b"application/json")]
_LARGEST_CHECK_IN_BYTES: Final = 1 << 16
_LARGEST_STATE_BYTES: Final = 64 << 20

_STATUS_BY_KIND: Final = {
    errors.Kind.VERSION_CONFLICT: 412,
    errors.Kind.CONFIGURATION_INVALID: 400,
}


def _ok(data: bytes = b"{}") -> messages.Response:
    return messages.Response(200, list(_JSON), data)


class ReadinessHandler(server.Handler):
    """Tells whether a node takes requests."""

    __slots__ = ("_node",)

    def __init__(self, running: node.MeshNode) -> None:
        self._node = running

    async def handle(self, request: messages.Request) -> messages.Response:
        if request.path != wire.READINESS:
            raise errors.CallError(errors.Kind.UNKNOWN_SERVICE)
        return messages.Response(200 if self._node.ready else 503, list(_JSON),
                                 b"{}")


class CheckInHandler(server.Handler):
    """Takes the check-ins of the upstream on this machine."""

    __slots__ = ("_node",)

    def __init__(self, running: node.MeshNode) -> None:
        self._node = running

    async def handle(self, request: messages.Request) -> messages.Response:
        await request.body.buffer(_LARGEST_CHECK_IN_BYTES)
        path = request.path
        text = request.body.prefix
        if path.startswith(wire.CHECK_IN):
            self._node.upstream.check_in(
                wire.check_in(path[len(wire.CHECK_IN):], text))
            return _ok()
        if path.startswith(wire.DEREGISTER):
            self._node.upstream.deregister(path[len(wire.DEREGISTER):],
                                           wire.born(text))
            return _ok()
        raise errors.CallError(errors.Kind.UNKNOWN_SERVICE)


class OperatorHandler(server.Handler):
    """Replaces and reads the desired state."""

    __slots__ = ("_control", "_port")

    def __init__(self, running: control.MeshControl, port: int) -> None:
        """Prepares it.

        Args:
            running: The control instance.
            port: Port of this API on every control instance.
        """
        self._control = running
        self._port = port

    async def handle(self, request: messages.Request) -> messages.Response:
        try:
            if request.path == wire.REPLACE and request.method == "POST":
                return await self._replace(request)
            if request.path == wire.READ and request.method == "GET":
                return _ok(await self._control.read())
        except errors.ApricothingeError as error:
            if error.kind is errors.Kind.NOT_LEADER:
                return self._elsewhere(request)
            status = _STATUS_BY_KIND.get(error.kind, 503)
            answer = server.error_response(
                errors.CallError(error.kind, error.detail))
            answer.status = status
            return answer
        raise errors.CallError(errors.Kind.UNKNOWN_SERVICE)

    async def _replace(self, request: messages.Request) -> messages.Response:
        await request.body.buffer(_LARGEST_STATE_BYTES)
        if not request.body.complete:
            raise errors.CallError(errors.Kind.CONTENT_TOO_LARGE)
        text = request.body.prefix
        base = messages.header(request.headers, wire.BASE_VERSION)
        found = wire.change(base, text)
        await self._control.replace(found.change_id, found.base, found.document,
                                    text)
        return _ok()

    def _elsewhere(self, request: messages.Request) -> messages.Response:
        """Sends the caller to the leader."""
        leader = self._control.leader()
        if not leader:
            return server.error_response(
                errors.CallError(errors.Kind.NOT_LEADER, "no leader is known"))
        host = settings.parse_address(leader).host
        location = f"http://{host}:{self._port}{request.target}"
        return messages.Response(307, [(b"location", location.encode())], b"")
