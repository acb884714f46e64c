"""Loopback port: nested calls and announcements of the local upstream."""

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
from apricothinge.overload import crashes
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["ANNOUNCE_PATH", "DRAIN_PATH", "LEAVE_PATH", "LocalHandler"]

ANNOUNCE_PATH: Final = "/apricothinge/announce"
DRAIN_PATH: Final = "/apricothinge/drain"
LEAVE_PATH: Final = "/apricothinge/leave"

_MAX_ANNOUNCEMENT_BYTES: Final = 4096


class _Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """Announcement of the local upstream.

    Attributes:
        service: Name of its service.
        port: Loopback port on which it listens.
        incarnation: Any number that changes with each start of the upstream.
    """

    service: str
    port: int
    incarnation: int = 0


class LocalHandler(server.Handler):
    """Serves requests of the upstream beside this node only."""

    __slots__ = ("_state", "_dispatcher", "_loop")

    def __init__(self, node_state: state.NodeState,
                 dispatcher: dispatch.Dispatcher) -> None:
        self._state = node_state
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: messages.Request) -> messages.Response:
        if request.path == ANNOUNCE_PATH:
            return await self._handle_announce(request)
        if request.path in (DRAIN_PATH, LEAVE_PATH):
            return self._handle_leave(request.path)
        return await self._handle_nested_call(request)

    async def _handle_announce(self,
                               request: messages.Request) -> messages.Response:
        await request.body.buffer(_MAX_ANNOUNCEMENT_BYTES)
        announcement = codec.decode(request.body.prefix, _Announcement,
                                    errors.Kind.MALFORMED_REQUEST,
                                    "announcement")
        local = self._state.local
        address = settings.Address("127.0.0.1", announcement.port)
        restarted = (not local.up or local.address != address or
                     local.incarnation != announcement.incarnation or
                     local.service != announcement.service)
        if restarted:
            local.admission_controller.limit.reset(self._loop.time())
        local.service = announcement.service
        local.address = address
        local.incarnation = announcement.incarnation
        local.up = True
        local.draining = False
        self._state.report_due.set()
        return messages.Response(204, [], b"")

    def _handle_leave(self, path: str) -> messages.Response:
        local = self._state.local
        local.drain(self._loop.time())
        if path == LEAVE_PATH:
            local.up = False
        self._state.report_due.set()
        return messages.Response(204, [], b"")

    def _find_parent(self, request: messages.Request) -> state.Call:
        call_token = messages.header(request.headers,
                                     b"apricothinge-call") or b""
        parent = self._state.calls_by_token.get(call_token.decode("latin-1"))
        if parent is None:
            raise errors.CallError(errors.Kind.UNKNOWN_CALL,
                                   "the call token is unknown or has ended")
        if parent.context.remaining_depth <= 0:
            raise errors.CallError(errors.Kind.DEPTH_EXCEEDED)
        return parent

    async def _handle_nested_call(
            self, request: messages.Request) -> messages.Response:
        parent = self._find_parent(request)
        name = messages.header(request.headers, b"apricothinge-service") or b""
        service = name.decode("latin-1")
        if not self._state.router.has_service(service):
            raise errors.CallError(errors.Kind.UNKNOWN_SERVICE,
                                   f"no instance of {service!r} is known")
        task = asyncio.current_task()
        assert task is not None
        allocated = parent.budget.allocate_to_nested_call()
        parent.record_nested_start(self._loop.time(), task)
        call: dispatch.OutgoingCall | None = None
        try:
            await request.body.buffer(self._state.settings.limits.replay_bytes,
                                      crashes.FINGERPRINT_BYTES)
            call = self._create_call(request, parent, service, allocated)
            return self._strip_internal_headers(await
                                                self._dispatcher.send(call))
        except errors.CallError as error:
            error.internal = {}
            raise
        finally:
            parent.record_nested_end(self._loop.time(), task)
            if call is not None:
                parent.budget.reclaim(call.budget.remaining, allocated)
                parent.admitted_fraction = min(parent.admitted_fraction,
                                               call.admitted_fraction)
                parent.nested_shed = parent.nested_shed or call.shed

    @staticmethod
    def _strip_internal_headers(
            response: messages.Response) -> messages.Response:
        response.internal = {
            name: value
            for name, value in response.internal.items()
            if name == "replayed"
        }
        return response

    @staticmethod
    def _create_call(request: messages.Request, parent: state.Call,
                     service: str, allocated: int) -> dispatch.OutgoingCall:
        declared_idempotent = messages.header(request.headers,
                                              b"apricothinge-idempotent")
        idempotent = (lists.is_idempotent_method(request.method)
                      if declared_idempotent is None else declared_idempotent
                      == b"true")
        idempotency_key = messages.header(request.headers, b"idempotency-key")
        child_context = msgspec.structs.replace(
            parent.context,
            service=service,
            retry_budget=allocated,
            remaining_depth=parent.context.remaining_depth - 1,
            nesting_level=parent.context.nesting_level + 1,
            idempotent=idempotent,
            idempotency_key=(idempotency_key or b"").decode("latin-1"))
        headers = messages.end_to_end([
            (field, value)
            for field, value in request.headers
            if not field.startswith(keys.INTERNAL_PREFIX) and field != b"host"
        ])
        deadline = parent.deadline
        requested_ms = messages.header(request.headers,
                                       b"apricothinge-deadline-ms")
        if requested_ms is not None:
            with contextlib.suppress(ValueError):
                deadline = min(deadline,
                               request.received_at + int(requested_ms) / 1000)
        return dispatch.OutgoingCall(child_context, request.method,
                                     request.target, headers, request.body,
                                     deadline)
