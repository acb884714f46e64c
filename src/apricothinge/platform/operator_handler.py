"""HTTP handler for the operator API."""

from typing import Final

from apricothinge import errors
from apricothinge import settings
from apricothinge.mesh import control
from apricothinge.platform import wire
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["OperatorHandler"]

_JSON_HEADERS: Final = [(b"content-type", b"application/json")]
_MAX_ORDER_BYTES: Final = 1 << 16
_MAX_STATE_BYTES: Final = 64 << 20

_EVACUATION_PATH_PREFIXES: Final = (wire.EVACUATION_START_PATH_PREFIX,
                                    wire.EVACUATION_END_PATH_PREFIX)

_STATUS_BY_KIND: Final = {
    errors.Kind.VERSION_CONFLICT: 412,
    errors.Kind.CONFIGURATION_INVALID: 400,
    errors.Kind.CONTENT_TOO_LARGE: 413,
}


def _json_response(content: bytes = b"{}") -> messages.Response:
    return messages.Response(200, list(_JSON_HEADERS), content)


class OperatorHandler(server.Handler):
    """Handles the operator API: the desired state, and evacuations.

    Instances that do not lead redirect the caller to the leader.
    """

    __slots__ = ("_control", "_port")

    def __init__(self, mesh_control: control.MeshControl, port: int) -> None:
        """Initializes the handler.

        Args:
            mesh_control: The control instance.
            port: Port of the operator API, the same on every control instance.
        """
        self._control = mesh_control
        self._port = port

    async def handle(self, request: messages.Request) -> messages.Response:
        try:
            if request.path == wire.REPLACE_PATH and request.method == "POST":
                return await self._replace(request)
            if request.method == "POST" and request.path.startswith(
                    _EVACUATION_PATH_PREFIXES):
                return await self._evacuate(request)
            if request.path == wire.READ_PATH and request.method == "GET":
                return _json_response(await self._control.read())
        except errors.ApricothingeError as error:
            if error.kind is errors.Kind.NOT_LEADER:
                return self._redirect_to_leader(request)
            status = _STATUS_BY_KIND.get(error.kind, 503)
            response = server.error_response(
                errors.CallError(error.kind, error.detail))
            response.status = status
            return response
        raise errors.CallError(errors.Kind.UNKNOWN_SERVICE)

    async def _replace(self, request: messages.Request) -> messages.Response:
        await request.body.buffer(_MAX_STATE_BYTES)
        if not request.body.complete:
            raise errors.CallError(errors.Kind.CONTENT_TOO_LARGE)
        content = request.body.prefix
        base_version = messages.header(request.headers,
                                       wire.BASE_VERSION_HEADER)
        change = wire.decode_change(base_version, content)
        await self._control.replace(change.change_id, change.base_version,
                                    change.document, content)
        return _json_response()

    async def _evacuate(self, request: messages.Request) -> messages.Response:
        await request.body.buffer(_MAX_ORDER_BYTES)
        prefix, _, domain = request.path.rpartition("/")
        await self._control.evacuate(
            domain, prefix + "/" == wire.EVACUATION_START_PATH_PREFIX)
        return _json_response()

    def _redirect_to_leader(self,
                            request: messages.Request) -> messages.Response:
        """Redirects to the same target on the leader; 307 keeps the method."""
        leader = self._control.leader()
        if not leader:
            return server.error_response(
                errors.CallError(
                    errors.Kind.NOT_LEADER,
                    "no leader is known, an election may be in progress"))
        host = settings.parse_address(leader).host
        location = f"http://{host}:{self._port}{request.target}"
        return messages.Response(307, [(b"location", location.encode())], b"")
