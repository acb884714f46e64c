"""Sends calls to upstream instances, with claims and retries."""

import asyncio
import hashlib
import secrets
from typing import Final

import msgspec

from apricothinge import context
from apricothinge import errors
from apricothinge.node import serving
from apricothinge.node import state
from apricothinge.overload import claims
from apricothinge.overload import crashes
from apricothinge.overload import retries
from apricothinge.overload import routing
from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["Dispatcher", "OutgoingCall", "SUSPECT_HEADER"]

SUSPECT_HEADER: Final = b"apricothinge-suspect"

_RETRYABLE_IF_NOT_RUN: Final = frozenset(
    (errors.Kind.NO_UPSTREAM, errors.Kind.DRAINING, errors.Kind.OVERLOADED))
_IN_FLIGHT_FAILURES: Final = frozenset(
    (errors.Kind.UPSTREAM_FAILED, errors.Kind.OUTCOME_UNKNOWN))
_SHED_KINDS: Final = frozenset((errors.Kind.OVERLOADED, errors.Kind.EXPIRED,
                                errors.Kind.DEADLINE_EXCEEDED))
_MIN_ADMITTED_FRACTION: Final = 0.9
_SERVICE_UNAVAILABLE: Final = 503
_CLAIM_OWNER_BYTES: Final = 12


class OutgoingCall:
    """A call to a service.

    Attributes:
        context: Context of the call; each attempt is sent with its own
            remaining time and retries.
        method: HTTP method.
        target: Path and query without the API key.
        headers: End-to-end headers without the API key.
        body: The content.
        deadline: Loop time in seconds.
        budget: Retries left for this call and its nested calls.
        admitted_fraction: Smallest admitted fraction that any node in the call
            tree has reported, 0 to 1.
        fingerprint: Identifies the request in the crash table.
        failed_in_flight: Whether an attempt failed after it was sent.
        shed: Whether the last attempt or one of its nested calls was shed.
    """

    __slots__ = ("context", "method", "target", "headers", "body", "deadline",
                 "budget", "admitted_fraction", "fingerprint",
                 "failed_in_flight", "shed")

    def __init__(self, call_context: context.Context, method: str, target: str,
                 headers: messages.Headers, body: messages.Body,
                 deadline: float) -> None:
        self.context = call_context
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.deadline = deadline
        self.budget = retries.CallTreeBudget(call_context.retry_budget)
        self.admitted_fraction = 1.0
        self.fingerprint = crashes.request_fingerprint(
            call_context.organisation_id, method, target,
            body.sample(crashes.FINGERPRINT_BYTES))
        self.failed_in_flight = False
        self.shed = False


class Dispatcher:
    """Sends the calls of callers and of the local upstream to services."""

    __slots__ = ("_state", "_executor", "_pool", "_loop", "_background_tasks")

    def __init__(self, node_state: state.NodeState,
                 executor: serving.LocalExecutor,
                 pool: client.ConnectionPool) -> None:
        self._state = node_state
        self._executor = executor
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._background_tasks: set[asyncio.Task[messages.Response]] = set()

    @property
    def background_calls(self) -> int:
        """Number of calls with a claim in progress."""
        return len(self._background_tasks)

    async def send(self, call: OutgoingCall) -> messages.Response:
        """Sends a call and returns the response of an upstream.

        Raises:
            errors.CallError: The call was refused, or no upstream responded.
        """
        if self._state.crashes.is_blocked(self._loop.time(), call.fingerprint):
            raise errors.CallError(
                errors.Kind.CRASH_SUSPECTED,
                "this request was in flight when upstreams crashed")
        if call.context.idempotent or not call.context.idempotency_key:
            return await self._send_with_retries(call)
        # A call with a claim completes even if the caller disconnects, so that
        # a resend gets the stored response.
        task = asyncio.ensure_future(self._send_with_claim(call))
        self._background_tasks.add(task)
        task.add_done_callback(self._on_background_done)
        return await asyncio.shield(task)

    def _on_background_done(self,
                            task: "asyncio.Task[messages.Response]") -> None:
        self._background_tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _send_with_claim(self, call: OutgoingCall) -> messages.Response:
        name = (f"{call.context.organisation_id}/{call.context.service}/"
                f"{call.context.idempotency_key}")
        owner = secrets.token_hex(_CLAIM_OWNER_BYTES)
        if not call.body.complete:
            raise errors.CallError(
                errors.Kind.CLAIM_UNAVAILABLE,
                "a request with an idempotency key is too large to be buffered",
                retry_after_s=0)
        request_hash = hashlib.sha256(
            f"{call.method} {call.target}\n".encode() +
            call.body.prefix).hexdigest()
        claim = await self._state.claim_store.take(
            name, request_hash, owner, call.deadline - self._loop.time())
        if claim.state is not claims.ClaimState.TAKEN:
            return self._response_from_claim(claim)
        try:
            response = await self._send_with_retries(call)
        except errors.CallError as error:
            if error.not_run:
                await self._state.claim_store.release(name, owner)
            else:
                await self._state.claim_store.give_up(name, owner)
            raise
        await self._store_response(name, owner, response)
        return response

    @staticmethod
    def _response_from_claim(claim: claims.ClaimResult) -> messages.Response:
        if claim.state is claims.ClaimState.DONE and claim.response is not None:
            if claim.response.kept:
                response = messages.Response(claim.response.status,
                                             claim.response.headers,
                                             claim.response.data)
                response.internal["replayed"] = "true"
                return response
            raise errors.CallError(
                errors.Kind.ANSWER_TOO_LARGE,
                "the request ran once; its response was too large to store")
        kind = {
            claims.ClaimState.IN_PROGRESS: errors.Kind.IN_PROGRESS,
            claims.ClaimState.MISMATCH: errors.Kind.IDEMPOTENCY_KEY_REUSED,
            claims.ClaimState.UNAVAILABLE: errors.Kind.CLAIM_UNAVAILABLE,
        }.get(claim.state, errors.Kind.OUTCOME_UNKNOWN)
        raise errors.CallError(kind)

    async def _store_response(self, name: str, owner: str,
                              response: messages.Response) -> None:
        kept = (response.rest is None and
                len(response.data) <= claims.MAX_STORED_RESPONSE_BYTES)
        stored = claims.StoredResponse(response.status, response.headers,
                                       response.data if kept else b"", kept)
        await self._state.claim_store.record(name, owner, stored)

    async def _send_with_retries(self, call: OutgoingCall) -> messages.Response:
        """Makes attempts until one succeeds or no retry is allowed.

        The refusal of a later attempt does not show that the earlier ones did
        not run, so the error of an attempt that may have run takes precedence.
        """
        tried: set[str] = set()
        may_have_run: errors.CallError | None = None
        shed_response: messages.Response | None = None
        self._state.retry_cap.record_first_attempt()
        while True:
            upstream = self._pick_upstream(call, tried)
            if upstream is None:
                if shed_response is not None:
                    return shed_response
                raise may_have_run or self._no_upstream_error(call, tried)
            tried.add(upstream.instance)
            try:
                response = await self._attempt(call, upstream)
            except errors.CallError as error:
                if not error.not_run:
                    may_have_run = may_have_run or error
                if self._may_retry_error(call, error):
                    continue
                if shed_response is not None:
                    return shed_response
                raise may_have_run or error from None
            if not self._may_retry_response(call, tried, response):
                return response
            shed_response = response

    def _pick_upstream(self, call: OutgoingCall,
                       tried: set[str]) -> routing.Upstream | None:
        """Picks an instance; the local one while below half of its limit."""
        now = self._loop.time()
        router = self._state.router
        local = router.by_instance.get(self._state.settings.instance)
        if (local is not None and local.service == call.context.service and
                local.instance not in tried and local.is_available(now) and
                self._state.local.admission_controller.has_spare_capacity()):
            return local
        return router.pick(now, call.context.service, tried)

    def _no_upstream_error(self, call: OutgoingCall,
                           tried: set[str]) -> errors.CallError:
        if tried:
            return errors.CallError(errors.Kind.OVERLOADED,
                                    "no other instance is available")
        return errors.CallError(
            errors.Kind.NO_UPSTREAM,
            f"no instance of {call.context.service} is available")

    def _may_retry_response(self, call: OutgoingCall, tried: set[str],
                            response: messages.Response) -> bool:
        """Returns whether to retry a 503 response; spends a retry if so."""
        if response.status != _SERVICE_UNAVAILABLE or response.rest is not None:
            return False
        if not (call.context.idempotent and call.body.replayable):
            return False
        if len(tried) > 1 or call.admitted_fraction < _MIN_ADMITTED_FRACTION:
            return False
        other = self._state.router.pick(self._loop.time(), call.context.service,
                                        tried)
        return other is not None and self._try_spend_retry(call)

    def _try_spend_retry(self,
                         call: OutgoingCall,
                         *,
                         adds_load: bool = True) -> bool:
        """Spends a retry; returns False if none is left.

        Args:
            call: The call to retry.
            adds_load: Whether the retry counts against the cap of the node.
        """
        if not call.budget.remaining:
            return False
        if adds_load and not self._state.retry_cap.try_retry():
            return False
        call.budget.try_spend()
        self._state.metrics.retries.labels(call.context.service).inc()
        return True

    def _may_retry_error(self, call: OutgoingCall,
                         error: errors.CallError) -> bool:
        """Returns whether to retry a failed attempt; spends a retry if so."""
        if self._loop.time() >= call.deadline or not call.body.replayable:
            return False
        if error.kind in _IN_FLIGHT_FAILURES:
            if not call.context.idempotent or call.failed_in_flight:
                return False
            call.failed_in_flight = True
            return self._try_spend_retry(call)
        if not error.not_run or error.kind not in _RETRYABLE_IF_NOT_RUN:
            return False
        # If the whole service sheds load, another instance would shed too.
        if (error.kind is errors.Kind.OVERLOADED and
                call.admitted_fraction < _MIN_ADMITTED_FRACTION):
            return False
        # An instance that is missing or draining did no work for the attempt.
        return self._try_spend_retry(call,
                                     adds_load=error.kind
                                     is errors.Kind.OVERLOADED)

    async def _attempt(self, call: OutgoingCall,
                       upstream: routing.Upstream) -> messages.Response:
        now = self._loop.time()
        allocated = call.budget.allocate_to_attempt()
        remaining_ms = int((call.deadline - now) * 1000)
        if remaining_ms <= 0:
            raise errors.CallError(errors.Kind.EXPIRED)
        attempt_context = msgspec.structs.replace(call.context,
                                                  timeout_ms=remaining_ms,
                                                  retry_budget=allocated)
        router = self._state.router
        router.record_sent(upstream)
        recorded = False
        try:
            async with asyncio.timeout_at(call.deadline):
                response = await self._exchange(call, upstream, attempt_context)
            admitted_fraction = self._apply_feedback(call, allocated,
                                                     response.internal)
            router.record_response(upstream,
                                   self._loop.time() - now, admitted_fraction)
            recorded = True
            self._state.crashes.record_response(now, call.fingerprint)
            return response
        except TimeoutError:
            router.record_failure(self._loop.time(), upstream, eject_now=False)
            recorded = True
            call.shed = True
            raise errors.CallError(errors.Kind.DEADLINE_EXCEEDED) from None
        except errors.CallError as error:
            self._record_failure(call, upstream, allocated, error)
            recorded = True
            raise
        finally:
            if not recorded:
                router.record_inconclusive(upstream)

    def _apply_feedback(self, call: OutgoingCall, allocated: int,
                        internal: dict[str, str]) -> float:
        """Reclaims unused retries; returns the admitted fraction."""
        call.budget.reclaim(int(internal.get("tokens", "0")), allocated)
        admitted_fraction = float(internal.get("admitted", "1"))
        call.admitted_fraction = min(call.admitted_fraction, admitted_fraction)
        call.shed = "shed" in internal
        return admitted_fraction

    def _record_failure(self, call: OutgoingCall, upstream: routing.Upstream,
                        allocated: int, error: errors.CallError) -> None:
        now = self._loop.time()
        router = self._state.router
        admitted_fraction = self._apply_feedback(call, allocated,
                                                 error.internal)
        crash_id = error.internal.get("crash")
        if crash_id is not None:
            self._state.crashes.record_crash(now, call.fingerprint, crash_id)
            self._state.report_due.set()
        if error.kind in _SHED_KINDS:
            call.shed = True
        if error.kind is errors.Kind.OVERLOADED:
            router.record_refusal(upstream, admitted_fraction)
        elif error.kind in (errors.Kind.NO_UPSTREAM, errors.Kind.DRAINING):
            router.record_failure(now, upstream, eject_now=True)
        elif error.kind in _IN_FLIGHT_FAILURES or (
                error.kind is errors.Kind.DEADLINE_EXCEEDED):
            router.record_failure(now, upstream, eject_now=False)
        else:
            router.record_inconclusive(upstream)

    async def _exchange(self, call: OutgoingCall, upstream: routing.Upstream,
                        attempt_context: context.Context) -> messages.Response:
        suspect = self._state.crashes.is_suspect(call.fingerprint)
        if upstream.instance == self._state.settings.instance:
            return await self._executor.execute(attempt_context, call.deadline,
                                                call.method, call.target,
                                                call.headers, call.body,
                                                suspect)
        headers = list(call.headers)
        headers.append(
            (context.HEADER, self._state.sealer.encode(attempt_context)))
        if suspect:
            headers.append((SUSPECT_HEADER, b"true"))
        try:
            response = await self._pool.exchange(upstream.peer, call.method,
                                                 call.target, headers,
                                                 call.body)
        except client.RequestNotSent as error:
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   str(error)) from None
        except client.ExchangeFailed as error:
            raise errors.CallError(
                errors.Kind.UPSTREAM_FAILED
                if call.context.idempotent else errors.Kind.OUTCOME_UNKNOWN,
                str(error)) from None
        kind = messages.error_kind(response)
        if kind is None:
            return response
        failure = errors.CallError(kind, "refused by the node of the upstream")
        # The kind alone does not tell whether the request ran; the peer does.
        failure.not_run = response.internal.get("not-run") == "true"
        failure.internal = response.internal
        raise failure
