"""The caller port: authentication, charging, and the call's context."""

import asyncio
import secrets
from typing import Final

from apricothinge import context
from apricothinge import errors
from apricothinge import keys
from apricothinge import lists
from apricothinge.node import dispatch
from apricothinge.node import state
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["EntryHandler"]

_REQUEST_ID_BYTES: Final = 8
_TO_CALLER: Final = ("error", "not-run", "replayed")


class _Admitted:
    """Whose request it is and what the plan says about it."""

    __slots__ = ("organisation_id", "bucket", "route", "weight",
                 "idempotency_header")

    def __init__(self, organisation_id: str, bucket: str, route: lists.Route,
                 weight: float, idempotency_header: bytes) -> None:
        self.organisation_id = organisation_id
        self.bucket = bucket
        self.route = route
        self.weight = weight
        self.idempotency_header = idempotency_header


class EntryHandler(server.Handler):
    """Turns requests from outside into calls."""

    __slots__ = ("_state", "_dispatcher", "_loop")

    def __init__(self, node_state: state.NodeState,
                 dispatcher: dispatch.Dispatcher) -> None:
        self._state = node_state
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: messages.Request) -> messages.Response:
        service = ""
        importance = lists.Importance.NORMAL
        try:
            key, target, headers = keys.extract(request.target, request.headers)
            request.target = target
            admitted = self._authorise(key, request)
            service = admitted.route.service
            importance = lists.Importance[admitted.route.importance.upper()]
            await self._charge(admitted, request)
            revision = self._revision()
            await request.body.buffer(self._state.settings.limits.replay_bytes)
            if revision != self._revision():
                # The key may have been withdrawn while the content came.
                self._authorise(key, request)
            answer = await self._call(admitted, importance, request, headers)
        except errors.CallError as error:
            self._state.metrics.refusals.labels("entry", service,
                                                importance.name.lower(),
                                                error.code).inc()
            error.internal = {}
            raise
        self._state.metrics.calls.labels("entry", service,
                                         importance.name.lower(),
                                         f"{answer.status // 100}xx").inc()
        answer.internal = {
            name: value
            for name, value in answer.internal.items()
            if name in _TO_CALLER
        }
        return answer

    def _revision(self) -> int:
        compiled = self._state.compiled
        return -1 if compiled is None else compiled.revision

    def _authorise(self, key: str | None,
                   request: messages.Request) -> _Admitted:
        """Finds whose request it is, by the lists now in force."""
        compiled = self._state.compiled
        if compiled is None:
            raise errors.CallError(errors.Kind.ISOLATED,
                                   "no configuration has arrived yet")
        organisation_id = (None if key is None else
                           compiled.organisation_by_key(key))
        if organisation_id is not None:
            route = compiled.find_route(organisation_id, request.method,
                                        request.path)
            plan = compiled.plan_of(organisation_id)
            assert plan is not None
            if route is not None:
                if (self._state.stale(self._loop.time()) and
                        plan.when_isolated == "refuse"):
                    raise errors.CallError(
                        errors.Kind.ISOLATED,
                        "the configuration is not confirmed")
                return _Admitted(organisation_id, organisation_id, route,
                                 plan.weight,
                                 plan.idempotency_header.lower().encode())
        open_route = compiled.find_open_route(request.method, request.path)
        if open_route is not None:
            return _Admitted("", lists.open_route_name(open_route), open_route,
                             1.0, b"idempotency-key")
        raise self._unauthorised(compiled, key, organisation_id, request)

    @staticmethod
    def _unauthorised(compiled: lists.CompiledLists, key: str | None,
                      organisation_id: str | None,
                      request: messages.Request) -> errors.CallError:
        if key is None:
            return errors.CallError(errors.Kind.KEY_MISSING)
        if organisation_id is None:
            return errors.CallError(errors.Kind.KEY_UNKNOWN)
        if not compiled.has_route_for_path(request.path):
            return errors.CallError(errors.Kind.UNKNOWN_SERVICE,
                                    "no route leads there")
        return errors.CallError(errors.Kind.ROUTE_FORBIDDEN,
                                "the plan does not allow this request")

    async def _charge(self, admitted: _Admitted,
                      request: messages.Request) -> None:
        flow = f"{request.method} {admitted.route.path_prefix}"
        if not self._state.levels.admit(self._loop.time(), admitted.bucket,
                                        flow):
            raise errors.CallError(errors.Kind.OVERLOADED,
                                   "refused early, at the entry")
        gate = self._state.gate
        if gate.try_acquire(self._loop.time(), admitted.bucket):
            return
        if not await gate.acquire(admitted.bucket):
            raise errors.CallError(errors.Kind.RATE_EXCEEDED)

    async def _call(self, admitted: _Admitted, importance: lists.Importance,
                    request: messages.Request,
                    headers: messages.Headers) -> messages.Response:
        limits = self._state.settings.limits
        route = admitted.route
        timeout_s = route.timeout_s or limits.default_timeout_s
        operation = messages.header(headers, admitted.idempotency_header)
        call_context = context.Context(
            request_id=secrets.token_hex(_REQUEST_ID_BYTES),
            organisation_id=admitted.organisation_id,
            service=route.service,
            route=f"{request.method} {route.path_prefix}",
            importance=importance,
            weight=admitted.weight,
            timeout_ms=int(timeout_s * 1000),
            retry_budget=limits.retries_per_request,
            remaining_depth=limits.depth - 1,
            nesting_level=0,
            idempotent=route.is_idempotent(request.method),
            idempotency_key=(operation or b"").decode("latin-1"))
        call = dispatch.Outgoing(call_context, request.method, request.target,
                                 messages.end_to_end(headers), request.body,
                                 request.received_at + timeout_s)
        try:
            answer = await self._dispatcher.send(call)
        except errors.CallError:
            self._ended(admitted, call)
            raise
        except asyncio.CancelledError:
            # A weak signal ends calls at any time, overload ends late ones.
            if self._loop.time() > call.deadline - timeout_s / 2:
                call.shed = True
                self._ended(admitted, call)
            raise
        self._ended(admitted, call)
        return answer

    def _ended(self, admitted: _Admitted, call: dispatch.Outgoing) -> None:
        # Only what a lower load could have saved counts against the flow.
        self._state.levels.record_outcome(self._loop.time(), admitted.bucket,
                                          call.context.route, not call.shed)
