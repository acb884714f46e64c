"""Caller port: authorisation, rate limiting and creation of calls."""

import asyncio
import secrets
from typing import Final

from apricothinge import context
from apricothinge import errors
from apricothinge import keys
from apricothinge import lists
from apricothinge.node import dispatch
from apricothinge.node import state
from apricothinge.overload import crashes
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["EntryHandler"]

_REQUEST_ID_BYTES: Final = 8
_CALLER_HEADERS: Final = ("error", "not-run", "replayed")


class _Authorisation:
    """Route and plan settings that apply to an authorised request.

    Attributes:
        organisation_id: The organisation; empty on open routes.
        bucket: Name under which the rate limiter charges the request.
        route: The matching route.
        weight: Share of the organisation within its importance.
        idempotency_header: Lower-case name of the idempotency key header.
    """

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
    """Turns requests of external callers into calls."""

    __slots__ = ("_state", "_dispatcher", "_loop")

    def __init__(self, node_state: state.NodeState,
                 dispatcher: dispatch.Dispatcher) -> None:
        self._state = node_state
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: messages.Request) -> messages.Response:
        service = ""
        importance = lists.Importance.NORMAL
        pending = state.PendingRequest(secrets.token_hex(_REQUEST_ID_BYTES),
                                       request.path, request.received_at)
        self._state.pending_requests.add(pending)
        try:
            key, target, headers = keys.extract(request.target, request.headers)
            request.target = target
            authorisation = self._authorise(key, request)
            service = authorisation.route.service
            importance = lists.Importance[
                authorisation.route.importance.upper()]
            self._state.check_end(self._deadline(authorisation.route, request))
            await self._enforce_limits(authorisation, request)
            revision = self._revision()
            await self._buffer(request)
            if revision != self._revision():
                # The key may have been revoked while the content was received.
                self._authorise(key, request)
            pending.service = service
            response = await self._dispatch(authorisation, importance, request,
                                            headers, pending.request_id)
        except errors.CallError as error:
            self._state.metrics.refusals.labels("entry", service,
                                                importance.name.lower(),
                                                error.code).inc()
            error.internal = {}
            raise
        finally:
            self._state.pending_requests.discard(pending)
        self._state.metrics.calls.labels("entry", service,
                                         importance.name.lower(),
                                         f"{response.status // 100}xx").inc()
        response.internal = {
            name: value
            for name, value in response.internal.items()
            if name in _CALLER_HEADERS
        }
        return response

    def _revision(self) -> int:
        compiled = self._state.compiled
        return -1 if compiled is None else compiled.revision

    def _authorise(self, key: str | None,
                   request: messages.Request) -> _Authorisation:
        """Authorises a request against the lists in force."""
        messages.check_path(request.path)
        compiled = self._state.compiled
        if compiled is None:
            raise errors.CallError(errors.Kind.ISOLATED,
                                   "no configuration has been received yet")
        organisation_id = (None if key is None else
                           compiled.organisation_by_key(key))
        if organisation_id is not None:
            route = compiled.find_route(organisation_id, request.method,
                                        request.path)
            plan = compiled.plan_of(organisation_id)
            assert plan is not None
            if route is not None:
                if (self._state.is_stale(self._loop.time()) and
                        plan.when_isolated == "refuse"):
                    raise errors.CallError(
                        errors.Kind.ISOLATED,
                        "the configuration has not been confirmed recently")
                return _Authorisation(organisation_id, organisation_id, route,
                                      plan.weight,
                                      plan.idempotency_header.lower().encode())
        open_route = compiled.find_open_route(request.method, request.path)
        if open_route is not None:
            return _Authorisation("", lists.open_route_name(open_route),
                                  open_route, 1.0, b"idempotency-key")
        raise self._authorisation_error(compiled, key, organisation_id, request)

    @staticmethod
    def _authorisation_error(compiled: lists.CompiledLists, key: str | None,
                             organisation_id: str | None,
                             request: messages.Request) -> errors.CallError:
        if key is None:
            return errors.CallError(errors.Kind.KEY_MISSING)
        if organisation_id is None:
            return errors.CallError(errors.Kind.KEY_UNKNOWN)
        if not compiled.has_route_for_path(request.path):
            return errors.CallError(errors.Kind.UNKNOWN_SERVICE,
                                    "no route matches the path")
        return errors.CallError(errors.Kind.ROUTE_FORBIDDEN,
                                "the plan does not allow this method and path")

    async def _enforce_limits(self, authorisation: _Authorisation,
                              request: messages.Request) -> None:
        route = f"{request.method} {authorisation.route.path_prefix}"
        if not self._state.entry_throttle.admit(self._loop.time(),
                                                authorisation.bucket, route):
            raise errors.CallError(
                errors.Kind.OVERLOADED,
                "refused at the entry because of overload downstream")
        rate_limiter = self._state.rate_limiter
        if rate_limiter.try_acquire(self._loop.time(), authorisation.bucket):
            return
        async with self._state.wait_unsent():
            acquired = await rate_limiter.acquire(authorisation.bucket)
        if not acquired:
            raise errors.CallError(errors.Kind.RATE_EXCEEDED)

    async def _buffer(self, request: messages.Request) -> None:
        if request.body.complete:
            return
        async with self._state.wait_unsent():
            await request.body.buffer(self._state.settings.limits.replay_bytes,
                                      crashes.FINGERPRINT_BYTES)

    def _timeout_s(self, route: lists.Route) -> float:
        return route.timeout_s or self._state.settings.limits.default_timeout_s

    def _deadline(self, route: lists.Route, request: messages.Request) -> float:
        return request.received_at + self._timeout_s(route)

    async def _dispatch(self, authorisation: _Authorisation,
                        importance: lists.Importance, request: messages.Request,
                        headers: messages.Headers,
                        request_id: str) -> messages.Response:
        limits = self._state.settings.limits
        route = authorisation.route
        timeout_s = self._timeout_s(route)
        deadline = self._deadline(route, request)
        self._state.check_end(deadline)
        idempotency_key = messages.header(headers,
                                          authorisation.idempotency_header)
        call_context = context.Context(
            request_id=request_id,
            organisation_id=authorisation.organisation_id,
            service=route.service,
            route=f"{request.method} {route.path_prefix}",
            importance=importance,
            weight=authorisation.weight,
            timeout_ms=int(timeout_s * 1000),
            retry_budget=limits.retries_per_request,
            remaining_depth=limits.depth - 1,
            nesting_level=0,
            idempotent=route.is_idempotent(request.method),
            idempotency_key=(idempotency_key or b"").decode("latin-1"))
        call = dispatch.OutgoingCall(call_context,
                                     request.method, request.target,
                                     messages.end_to_end(headers), request.body,
                                     deadline)
        try:
            response = await self._dispatcher.send(call)
        except errors.CallError:
            self._record_outcome(authorisation, call)
            raise
        except asyncio.CancelledError:
            # A caller with a poor connection may disconnect at any time, but a
            # late disconnect is most likely due to overload.
            if self._loop.time() > call.deadline - timeout_s / 2:
                call.shed = True
                self._record_outcome(authorisation, call)
            raise
        self._record_outcome(authorisation, call)
        return response

    def _record_outcome(self, authorisation: _Authorisation,
                        call: dispatch.OutgoingCall) -> None:
        # Only calls that a lower load would have served count as not served.
        self._state.entry_throttle.record_outcome(self._loop.time(),
                                                  authorisation.bucket,
                                                  call.context.route,
                                                  not call.shed)
