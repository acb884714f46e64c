"""The entry point for callers and the local upstream: routes, keys, rates."""

import asyncio
import random
import re
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge.link import frames
from apricothinge.mesh import attachment
from apricothinge.mesh import costs
from apricothinge.mesh import dispatch
from apricothinge.mesh import documents
from apricothinge.mesh import downstream
from apricothinge.mesh import parents
from apricothinge.mesh import pending
from apricothinge.mesh import state
from apricothinge.mesh import token_loans
from apricothinge.mesh import upstream
from apricothinge.overload import crashes
from apricothinge.overload import homes
from apricothinge.web import messages
from apricothinge.web import server

__all__ = ["EntryHandler"]

# Content up to this size is kept for retries.
_MAX_REPLAY_BYTES: Final = 65536
# The priority of the organisation takes precedence over that of the route.
_RANKS_PER_ORGANISATION_PRIORITY: Final = 100
# Maximum jitter that is added to a retry time, relative to it. Without jitter,
# callers that were refused together would also retry together.
_RETRY_JITTER: Final = 1.0
_MIN_RETRY_S: Final = 0.1
# After a start of the whole mesh, a leader of control is elected and the nodes
# attach within this time.
_NO_DOCUMENT_RETRY_S: Final = 1.0
# Other requests that wait for the same reply may use up its tokens.
_MAX_TOKEN_REQUESTS: Final = 3
# Tokens become available again as their spends leave the window, which happens
# evenly over its length.
_RATE_LIMIT_RETRY_S: Final = 0.5
_MIN_SERVER_ERROR_STATUS: Final = 500
_TIMEOUT_STATUS: Final = 504
_DEADLINE: Final = re.compile(rb"[0-9]{1,18}")


class EntryHandler(server.Handler):
    """Checks requests of callers and the local upstream; makes their calls."""

    __slots__ = ("_state", "_dispatcher", "_attachment", "_loop", "_random",
                 "_reserved_headers", "_downstream_capacity", "_local_costs",
                 "_token_borrower", "_running_requests")

    def __init__(self, node_state: state.NodeState,
                 dispatcher: dispatch.Dispatcher,
                 control_attachment: attachment.Attachment,
                 downstream_capacity: downstream.DownstreamCapacity,
                 local_costs: costs.LocalCosts,
                 token_borrower: token_loans.TokenBorrower,
                 running_requests: parents.RunningRequests,
                 rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = node_state
        self._dispatcher = dispatcher
        self._attachment = control_attachment
        self._downstream_capacity = downstream_capacity
        self._local_costs = local_costs
        self._token_borrower = token_borrower
        self._running_requests = running_requests
        self._random = rng
        self._reserved_headers = node_state.names.reserved()

    async def handle(self, request: messages.Request) -> messages.Response:
        header_names = self._state.names
        request_id = (messages.header(request.headers, header_names.request_id)
                      or b"").decode("latin-1")
        pending_request = self._state.pending.add(self._loop.time(), request_id)
        try:
            return await self._handle(request, pending_request)
        except errors.CallError as error:
            self._record_error(request, pending_request, error)
            raise
        except asyncio.CancelledError:
            if pending_request.end_withdrawal():
                withdrawal = errors.CallError(errors.Kind.DRAINING)
                self._record_error(request, pending_request, withdrawal)
                raise withdrawal from None
            pending_request.log_unanswered(self._loop.time(), self._state.drain)
            raise
        finally:
            self._state.pending.remove(pending_request)

    def _record_error(self, request: messages.Request,
                      pending_request: pending.PendingRequest,
                      error: errors.CallError) -> None:
        """Returns the token, sets the retry time, logs and counts the error."""
        if error.not_run and pending_request.charged is not None:
            self._state.token_pool.refund(pending_request.charged)
        stop = self._state.drain
        if stop is not None and error.kind is errors.Kind.DRAINING:
            error.retry_after_s = stop.retry_after_s(self._loop.time(),
                                                     self._random.random())
        elif error.retry_after_s:
            error.retry_after_s = self._add_jitter(error.retry_after_s)
        log.event("request:refused" if error.not_run else "request:failed",
                  request=pending_request.request_id,
                  target=request.target,
                  code=error.code,
                  detail=error.detail,
                  retry_after_s=round(error.retry_after_s, 3),
                  revision=self._state.revision)
        self._state.metrics.refusals.labels("entry", "", "", error.code).inc()

    def may_run_ahead(self, request: messages.Request) -> bool:
        """Returns whether a request is idempotent by its route."""
        compiled = self._state.compiled
        if compiled is None or self._state.draining:
            return False
        try:
            route = self._find_route(compiled, request)
        except errors.CallError:
            return False
        return route.kind is documents.RouteKind.IDEMPOTENT

    def _add_jitter(self, wait_s: float) -> float:
        wait_s = max(_MIN_RETRY_S, wait_s)
        return wait_s * (1.0 + _RETRY_JITTER * self._random.random())

    async def _handle(
            self, request: messages.Request,
            pending_request: pending.PendingRequest) -> messages.Response:
        compiled = self._current_document()
        route = self._find_route(compiled, request)
        organisation = self._authenticate(compiled, route, request)
        self._check_drain(route, request)
        body = request.body
        limit = compiled.document.limits.body_bytes
        if body.length is not None and body.length > limit:
            raise errors.CallError(errors.Kind.CONTENT_TOO_LARGE)
        body.max_bytes = limit
        if not route.anonymous and organisation is not None:
            refundable = await self._spend_token(organisation)
            if refundable:
                pending_request.charged = organisation
        pending_request.stage = pending.Stage.CONTENT
        await body.buffer(_MAX_REPLAY_BYTES, crashes.FINGERPRINT_BYTES)
        if self._state.compiled is not compiled:
            # The key may have been revoked or the route changed while the
            # content was read.
            compiled = self._current_document()
            route = self._find_route(compiled, request)
            organisation = self._authenticate(compiled, route, request)
        # The node may have been stopped while the request waited.
        self._check_drain(route, request)
        upstream_request = self._make_upstream_request(
            compiled, route, organisation, request, pending_request.request_id)
        upstream_request.start_by = self._state.start_by(
            upstream_request.call, upstream_request.deadline)
        pending_request.upstream_request = upstream_request
        pending_request.stage = pending.Stage.RESPONSE
        if self._state.crash_table.is_blocked(
                self._loop.time(), upstream_request.call.fingerprint):
            raise errors.CallError(errors.Kind.CRASH_SUSPECTED)
        if upstream_request.call.rank < 0:
            # Refusing a nested call would waste its parent's work.
            self._local_costs.record_call(upstream_request.call.service,
                                          upstream_request.call.route)
        elif compiled.requires_keys:
            # Without keys, nested calls cannot be told from others.
            self._downstream_capacity.check(upstream_request.call)
        return await self._dispatch(route, upstream_request)

    def _check_drain(self, route: documents.Route,
                     request: messages.Request) -> None:
        """Refuses a request that a stop of this node would probably cut.

        Raises:
            errors.CallError: DRAINING.
        """
        stop = self._state.drain
        if stop is None:
            return
        if not stop.accepts(
                self._loop.time(), self._deadline(route, request),
                self._state.expected_s(route.name, route.latency_objective_s)):
            raise errors.CallError(errors.Kind.DRAINING)

    def _current_document(self) -> documents.CompiledDocument:
        compiled = self._state.compiled
        if compiled is None:
            raise errors.CallError(errors.Kind.ISOLATED,
                                   "no desired state has been received yet",
                                   retry_after_s=_NO_DOCUMENT_RETRY_S)
        return compiled

    async def _spend_token(self, organisation: documents.Organisation) -> bool:
        """Spends a token of the organisation.

        Returns:
            Whether the token is to be refunded if the request does not run.

        Raises:
            errors.CallError: RATE_EXCEEDED if no token is available.
        """
        now = self._loop.time()
        token_pool = self._state.token_pool
        token_pool.count_request(now, organisation)
        if token_pool.take_held(now, organisation, self._attachment.has_grants):
            return True
        for _ in range(_MAX_TOKEN_REQUESTS):
            if not await self._attachment.request_tokens(organisation.name):
                break
            if token_pool.take_held(self._loop.time(), organisation, True):
                return True
        if await self._token_borrower.take(organisation.name):
            return False
        if (not self._attachment.has_grants and
                token_pool.take_unrecorded(self._loop.time(), organisation)):
            return False
        raise errors.CallError(errors.Kind.RATE_EXCEEDED,
                               organisation.name,
                               retry_after_s=_RATE_LIMIT_RETRY_S)

    async def _dispatch(
            self, route: documents.Route,
            upstream_request: upstream.UpstreamRequest) -> messages.Response:
        call = upstream_request.call
        started_at = self._loop.time()
        response = await self._dispatcher.run(upstream_request, route.attempts)
        took_s = self._loop.time() - started_at
        if (response.status < _MIN_SERVER_ERROR_STATUS or
                response.status == _TIMEOUT_STATUS):
            # Other errors come early.
            self._state.response_times.record(call.route, took_s)
        self._state.metrics.calls.labels("entry", call.service, str(call.rank),
                                         f"{response.status // 100}xx").inc()
        log.event("request:answered",
                  request=call.request_id,
                  route=call.route,
                  service=call.service,
                  rank=call.rank,
                  status=response.status,
                  took_s=round(took_s, 4),
                  revision=self._state.revision)
        return response

    def _find_route(self, compiled: documents.CompiledDocument,
                    request: messages.Request) -> documents.Route:
        path = request.path
        messages.check_path(path)
        host = messages.header(request.headers, b"host") or b""
        route = compiled.find_route(host.decode("latin-1"), path)
        if route is None:
            raise errors.CallError(errors.Kind.UNKNOWN_SERVICE,
                                   "no route matches this host and path")
        return route

    def _authenticate(
            self, compiled: documents.CompiledDocument, route: documents.Route,
            request: messages.Request) -> documents.Organisation | None:
        if not compiled.requires_keys:
            return None
        key = messages.header(request.headers, self._state.names.key)
        if key is None:
            if route.anonymous:
                return None
            raise errors.CallError(errors.Kind.KEY_MISSING)
        organisation = compiled.organisation_by_key(
            key.decode("latin-1").strip())
        if organisation is None and not route.anonymous:
            raise errors.CallError(errors.Kind.KEY_UNKNOWN)
        return organisation

    def _deadline(self, route: documents.Route,
                  request: messages.Request) -> float:
        remaining_s = route.timeout_s
        text = messages.header(request.headers, self._state.names.deadline_ms)
        if text is not None:
            if not _DEADLINE.fullmatch(text):
                raise errors.CallError(
                    errors.Kind.MALFORMED_REQUEST,
                    "the deadline is not a number of milliseconds")
            remaining_s = min(remaining_s, int(text) / 1000)
        return request.received_at + remaining_s

    def _make_upstream_request(self, compiled: documents.CompiledDocument,
                               route: documents.Route,
                               organisation: documents.Organisation | None,
                               request: messages.Request,
                               request_id: str) -> upstream.UpstreamRequest:
        header_names = self._state.names
        host = messages.header(request.headers, b"host") or b""
        headers = [(name, value)
                   for name, value in messages.end_to_end(request.headers)
                   if name not in self._reserved_headers]
        headers.append((b"host", host))
        headers.append(
            (header_names.calling_service, self._state.service.encode()))
        rank = (self._running_requests.rank_of_call(request_id)
                if route.anonymous else route.priority)
        organisation_name = ""
        if organisation is not None:
            organisation_name = organisation.name
            headers.append(
                (header_names.organisation, organisation_name.encode()))
            if not route.anonymous:
                rank += organisation.priority * _RANKS_PER_ORGANISATION_PRIORITY
        body = request.body
        deadline = self._deadline(route, request)
        call = frames.Call(
            0, request.method, request.target, headers, request_id,
            compiled.choose_service(route), rank, route.kind
            is documents.RouteKind.IDEMPOTENT, 0.0, route.latency_objective_s,
            route.name,
            crashes.request_fingerprint(organisation_name, request.method,
                                        request.target,
                                        body.sample(crashes.FINGERPRINT_BYTES)),
            b"", body.length, body.complete)
        return upstream.UpstreamRequest(
            call, body, deadline,
            homes.common_homes(
                route.homes, None if organisation is None or route.anonymous
                else organisation.homes))
