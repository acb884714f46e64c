"""The loopback port: nested calls and announcements of the upstream."""

import asyncio
import contextlib
from typing import Final

import msgspec

from apricothinge import codec
from apricothinge import errors
from apricothinge import keys
from apricothinge import lists
from apricothinge import settings
from apricothinge.node import dispatch
from apricothinge.node import state
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["ANNOUNCE", "DRAIN", "LEAVE", "LocalHandler"]

ANNOUNCE: Final = "/apricothinge/announce"
DRAIN: Final = "/apricothinge/drain"
LEAVE: Final = "/apricothinge/leave"

_LARGEST_ANNOUNCEMENT_BYTES: Final = 4096


class _Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """What an upstream says of itself.

    Attributes:
        service: Its service.
        port: Where it listens on loopback.
        incarnation: Anything that changes when it starts anew.
    """

    service: str
    port: int
    incarnation: int = 0


class LocalHandler(server.Handler):
    """Serves the upstream beside this node, and nobody else."""

    __slots__ = ("_state", "_dispatcher", "_loop")

    def __init__(self, node_state: state.NodeState,
                 dispatcher: dispatch.Dispatcher) -> None:
        self._state = node_state
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: messages.Request) -> messages.Response:
        if request.path == ANNOUNCE:
            return await self._announce(request)
        if request.path in (DRAIN, LEAVE):
            return self._leave(request.path)
        return await self._nested(request)

    async def _announce(self, request: messages.Request) -> messages.Response:
        await request.body.buffer(_LARGEST_ANNOUNCEMENT_BYTES)
        found = codec.decode(request.body.prefix, _Announcement,
                             errors.Kind.MALFORMED_REQUEST, "announcement")
        local = self._state.local
        address = settings.Address("127.0.0.1", found.port)
        anew = (not local.up or local.address != address or
                local.incarnation != found.incarnation or
                local.service != found.service)
        if anew:
            local.admission.limit.reset(self._loop.time())
        local.service = found.service
        local.address = address
        local.incarnation = found.incarnation
        local.up = True
        local.draining = False
        self._state.changed.set()
        return messages.Response(204, [], b"")

    def _leave(self, path: str) -> messages.Response:
        local = self._state.local
        local.drain(self._loop.time())
        if path == LEAVE:
            local.up = False
        self._state.changed.set()
        return messages.Response(204, [], b"")

    def _parent(self, request: messages.Request) -> state.Call:
        token = messages.header(request.headers, b"apricothinge-call") or b""
        parent = self._state.calls_by_token.get(token.decode("latin-1"))
        if parent is None:
            raise errors.CallError(errors.Kind.UNKNOWN_CALL,
                                   "the call token is unknown or has ended")
        if parent.context.remaining_depth <= 0:
            raise errors.CallError(errors.Kind.DEPTH_EXCEEDED)
        return parent

    async def _nested(self, request: messages.Request) -> messages.Response:
        parent = self._parent(request)
        name = messages.header(request.headers, b"apricothinge-service") or b""
        service = name.decode("latin-1")
        if not self._state.router.has_service(service):
            raise errors.CallError(errors.Kind.UNKNOWN_SERVICE,
                                   f"no instance of {service!r} is known")
        task = asyncio.current_task()
        assert task is not None
        lent = parent.budget.allocate_to_nested_call()
        parent.child_started(self._loop.time(), task)
        call: dispatch.Outgoing | None = None
        try:
            await request.body.buffer(self._state.settings.limits.replay_bytes)
            call = self._outgoing(request, parent, service, lent)
            return self._strip(await self._dispatcher.send(call))
        except errors.CallError as error:
            error.internal = {}
            raise
        finally:
            parent.child_ended(self._loop.time(), task)
            if call is not None:
                parent.budget.reclaim(call.budget.remaining, lent)
                parent.admitted_part = min(parent.admitted_part,
                                           call.admitted_part)
                parent.shed_below = parent.shed_below or call.shed

    @staticmethod
    def _strip(answer: messages.Response) -> messages.Response:
        answer.internal = {
            name: value
            for name, value in answer.internal.items()
            if name == "replayed"
        }
        return answer

    @staticmethod
    def _outgoing(request: messages.Request, parent: state.Call, service: str,
                  lent: int) -> dispatch.Outgoing:
        declared = messages.header(request.headers, b"apricothinge-idempotent")
        idempotent = (lists.is_idempotent_method(request.method)
                      if declared is None else declared == b"true")
        operation = messages.header(request.headers, b"idempotency-key")
        child = msgspec.structs.replace(
            parent.context,
            service=service,
            retry_budget=lent,
            remaining_depth=parent.context.remaining_depth - 1,
            nesting_level=parent.context.nesting_level + 1,
            idempotent=idempotent,
            idempotency_key=(operation or b"").decode("latin-1"))
        headers = messages.end_to_end([
            (field, value)
            for field, value in request.headers
            if not field.startswith(keys.INTERNAL_PREFIX) and field != b"host"
        ])
        deadline = parent.deadline
        asked = messages.header(request.headers, b"apricothinge-deadline-ms")
        if asked is not None:
            with contextlib.suppress(ValueError):
                deadline = min(deadline,
                               request.received_at + int(asked) / 1000)
        return dispatch.Outgoing(child, request.method, request.target, headers,
                                 request.body, deadline)
