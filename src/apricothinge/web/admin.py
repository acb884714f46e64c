"""Request handler of the admin port: metrics, state dump and health."""

from collections.abc import Callable

from apricothinge import codec
from apricothinge import errors
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["AdminHandler"]


class AdminHandler(server.Handler):
    """Serves GET and HEAD of /metrics, /dump and /health."""

    __slots__ = ("_metrics", "_dump")

    def __init__(self, metrics: Callable[[], bytes],
                 dump: Callable[[], object]) -> None:
        self._metrics = metrics
        self._dump = dump

    async def handle(self, request: messages.Request) -> messages.Response:
        if request.method not in ("GET", "HEAD"):
            raise errors.CallError(errors.Kind.ROUTE_FORBIDDEN,
                                   "the admin port accepts only GET and HEAD")
        if request.path == "/metrics":
            return messages.Response(
                200, [(b"content-type", b"text/plain; version=0.0.4")],
                self._metrics())
        if request.path == "/dump":
            return messages.Response(
                200, [(b"content-type", b"application/json")],
                codec.encode_with_field_names(self._dump()))
        if request.path == "/health":
            return messages.Response(200, [(b"content-type", b"text/plain")],
                                     b"ok\n")
        raise errors.CallError(errors.Kind.UNKNOWN_SERVICE,
                               "unknown path; use /metrics, /dump or /health")
