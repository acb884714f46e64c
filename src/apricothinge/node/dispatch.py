"""Sends a call to an instance of its service, with claims and retries."""

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

__all__ = ["Dispatcher", "Outgoing", "SUSPECT_HEADER"]

SUSPECT_HEADER: Final = b"apricothinge-suspect"

_ELSEWHERE: Final = frozenset(
    (errors.Kind.NO_UPSTREAM, errors.Kind.DRAINING, errors.Kind.OVERLOADED))
_LOST: Final = frozenset(
    (errors.Kind.UPSTREAM_FAILED, errors.Kind.OUTCOME_UNKNOWN))
_SHED: Final = frozenset((errors.Kind.OVERLOADED, errors.Kind.EXPIRED,
                          errors.Kind.DEADLINE_EXCEEDED))
_SERVICE_FULL: Final = 0.9
_UNAVAILABLE: Final = 503
_OWNER_BYTES: Final = 12


class Outgoing:
    """One call on its way to a service.

    Attributes:
        context: The call's context; retries and time left are set anew for
            each attempt.
        method: HTTP method.
        target: Path and query, without a key.
        headers: End-to-end headers, without a key.
        body: The content.
        deadline: Loop time in seconds.
        budget: Retries of this call and what is below it.
        admitted_part: Smallest part that any node below admitted.
        fingerprint: Names the request among those that crash upstreams.
        crashed: Whether an attempt was lost in flight.
        shed: Whether the last attempt, or a call below it, was shed.
    """

    __slots__ = ("context", "method", "target", "headers", "body", "deadline",
                 "budget", "admitted_part", "fingerprint", "crashed", "shed")

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
        self.admitted_part = 1.0
        self.fingerprint = crashes.request_fingerprint(
            call_context.organisation_id, method, target, body.prefix)
        self.crashed = False
        self.shed = False


class Dispatcher:
    """Sends calls to services, from the entry and from upstreams."""

    __slots__ = ("_state", "_serving", "_pool", "_loop", "_background")

    def __init__(self, node_state: state.NodeState,
                 node_serving: serving.Serving,
                 pool: client.ConnectionPool) -> None:
        self._state = node_state
        self._serving = node_serving
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._background: set[asyncio.Task[messages.Response]] = set()

    @property
    def running(self) -> int:
        """Claimed calls that go on without their caller."""
        return len(self._background)

    async def send(self, call: Outgoing) -> messages.Response:
        """Sends a call and returns its answer.

        Raises:
            errors.CallError: No upstream's answer came.
        """
        if self._state.crashes.is_blocked(self._loop.time(), call.fingerprint):
            raise errors.CallError(
                errors.Kind.CRASH_SUSPECTED,
                "this request was in flight when upstreams crashed")
        if call.context.idempotent or not call.context.idempotency_key:
            return await self._attempts(call)
        # A claimed run is worth its answer even when the caller hangs up:
        # the resend gets it.
        task = asyncio.ensure_future(self._claimed(call))
        self._background.add(task)
        task.add_done_callback(self._ended)
        return await asyncio.shield(task)

    def _ended(self, task: "asyncio.Task[messages.Response]") -> None:
        self._background.discard(task)
        if not task.cancelled():
            task.exception()

    async def _claimed(self, call: Outgoing) -> messages.Response:
        name = (f"{call.context.organisation_id}/{call.context.service}/"
                f"{call.context.idempotency_key}")
        owner = secrets.token_hex(_OWNER_BYTES)
        if not call.body.complete:
            raise errors.CallError(
                errors.Kind.CLAIM_UNAVAILABLE,
                "a streamed upload can not have an idempotency key",
                retry_after_s=0)
        request_hash = hashlib.sha256(
            f"{call.method} {call.target}\n".encode() +
            call.body.prefix).hexdigest()
        claim = await self._state.claims.take(name, request_hash, owner,
                                              call.deadline - self._loop.time())
        if claim.state is not claims.ClaimState.TAKEN:
            return self._from_claim(claim)
        try:
            answer = await self._attempts(call)
        except errors.CallError as error:
            if error.not_run:
                await self._state.claims.release(name, owner)
            else:
                await self._state.claims.give_up(name, owner)
            raise
        await self._record(name, owner, answer)
        return answer

    @staticmethod
    def _from_claim(claim: claims.ClaimResult) -> messages.Response:
        if claim.state is claims.ClaimState.DONE and claim.response is not None:
            if claim.response.kept:
                answer = messages.Response(claim.response.status,
                                           claim.response.headers,
                                           claim.response.data)
                answer.internal["replayed"] = "true"
                return answer
            raise errors.CallError(
                errors.Kind.ANSWER_TOO_LARGE,
                "it ran once; its answer was too large to be kept")
        kind = {
            claims.ClaimState.IN_PROGRESS: errors.Kind.IN_PROGRESS,
            claims.ClaimState.MISMATCH: errors.Kind.IDEMPOTENCY_KEY_REUSED,
            claims.ClaimState.UNAVAILABLE: errors.Kind.CLAIM_UNAVAILABLE,
        }.get(claim.state, errors.Kind.OUTCOME_UNKNOWN)
        raise errors.CallError(kind)

    async def _record(self, name: str, owner: str,
                      answer: messages.Response) -> None:
        kept = (answer.rest is None and
                len(answer.data) <= claims.MAX_STORED_RESPONSE_BYTES)
        stored = claims.StoredResponse(answer.status, answer.headers,
                                       answer.data if kept else b"", kept)
        await self._state.claims.record(name, owner, stored)

    async def _attempts(self, call: Outgoing) -> messages.Response:
        """Makes attempts until one ends the call.

        A refusal of a later attempt says nothing of the ones before, so an
        attempt that may have run decides what the caller is told.
        """
        tried: set[str] = set()
        may_have_run: errors.CallError | None = None
        shed: messages.Response | None = None
        self._state.ratio_cap.record_first_attempt()
        while True:
            row = self._pick(call, tried)
            if row is None:
                if shed is not None:
                    return shed
                raise may_have_run or self._no_instance(call, tried)
            tried.add(row.instance)
            try:
                answer = await self._attempt(call, row)
            except errors.CallError as error:
                if not error.not_run:
                    may_have_run = may_have_run or error
                if self._may_retry(call, error):
                    continue
                if shed is not None:
                    return shed
                raise may_have_run or error from None
            if not self._worth_another(call, tried, answer):
                return answer
            shed = answer

    def _pick(self, call: Outgoing, tried: set[str]) -> routing.Upstream | None:
        """Picks an instance; the own one while it is at most half busy."""
        now = self._loop.time()
        router = self._state.router
        own = router.by_instance.get(self._state.settings.instance)
        if (own is not None and own.service == call.context.service and
                own.instance not in tried and own.is_available(now) and
                self._state.local.admission.has_spare_capacity()):
            return own
        return router.pick(now, call.context.service, tried)

    def _no_instance(self, call: Outgoing, tried: set[str]) -> errors.CallError:
        if tried:
            return errors.CallError(errors.Kind.OVERLOADED,
                                    "no other instance to try")
        return errors.CallError(errors.Kind.NO_UPSTREAM,
                                f"no instance of {call.context.service}")

    def _worth_another(self, call: Outgoing, tried: set[str],
                       answer: messages.Response) -> bool:
        """Tells whether an upstream that sheds is answered by a retry."""
        if answer.status != _UNAVAILABLE or answer.rest is not None:
            return False
        if not (call.context.idempotent and call.body.replayable):
            return False
        if len(tried) > 1 or call.admitted_part < _SERVICE_FULL:
            return False
        other = self._state.router.pick(self._loop.time(), call.context.service,
                                        tried)
        return other is not None and self._spend(call)

    def _spend(self, call: Outgoing, *, adds_load: bool = True) -> bool:
        """Takes a token of the tree, and room under the node's cap."""
        if not call.budget.remaining:
            return False
        if adds_load and not self._state.ratio_cap.try_retry():
            return False
        call.budget.try_spend()
        self._state.metrics.retries.labels(call.context.service).inc()
        return True

    def _may_retry(self, call: Outgoing, error: errors.CallError) -> bool:
        """Tells whether an attempt that failed is made once more."""
        if self._loop.time() >= call.deadline or not call.body.replayable:
            return False
        if error.kind in _LOST:
            if not call.context.idempotent or call.crashed:
                return False
            call.crashed = True
            return self._spend(call)
        if not error.not_run or error.kind not in _ELSEWHERE:
            return False
        # Where the whole service sheds, another instance would shed too.
        if (error.kind is errors.Kind.OVERLOADED and
                call.admitted_part < _SERVICE_FULL):
            return False
        # Where nothing was there to refuse, nothing was asked to work.
        return self._spend(call, adds_load=error.kind is errors.Kind.OVERLOADED)

    async def _attempt(self, call: Outgoing,
                       row: routing.Upstream) -> messages.Response:
        now = self._loop.time()
        lent = call.budget.allocate_to_attempt()
        left_ms = int((call.deadline - now) * 1000)
        if left_ms <= 0:
            raise errors.CallError(errors.Kind.EXPIRED)
        sent = msgspec.structs.replace(call.context,
                                       timeout_ms=left_ms,
                                       retry_budget=lent)
        router = self._state.router
        router.record_sent(row)
        settled = False
        try:
            async with asyncio.timeout_at(call.deadline):
                answer = await self._transfer(call, row, sent)
            part = self._account(call, lent, answer.internal)
            router.record_response(row, self._loop.time() - now, part)
            settled = True
            self._state.crashes.record_response(now, call.fingerprint)
            return answer
        except TimeoutError:
            router.record_failure(self._loop.time(), row, eject_now=False)
            settled = True
            call.shed = True
            raise errors.CallError(errors.Kind.DEADLINE_EXCEEDED) from None
        except errors.CallError as error:
            self._failed(call, row, lent, error)
            settled = True
            raise
        finally:
            if not settled:
                router.record_inconclusive(row)

    def _account(self, call: Outgoing, lent: int, internal: dict[str,
                                                                 str]) -> float:
        """Takes back unused retries; returns the admitted part."""
        call.budget.reclaim(int(internal.get("tokens", "0")), lent)
        part = float(internal.get("admitted", "1"))
        call.admitted_part = min(call.admitted_part, part)
        call.shed = "shed" in internal
        return part

    def _failed(self, call: Outgoing, row: routing.Upstream, lent: int,
                error: errors.CallError) -> None:
        now = self._loop.time()
        router = self._state.router
        part = self._account(call, lent, error.internal)
        crash = error.internal.get("crash")
        if crash is not None:
            self._state.crashes.record_crash(now, call.fingerprint, crash)
            self._state.changed.set()
        if error.kind in _SHED:
            call.shed = True
        if error.kind is errors.Kind.OVERLOADED:
            router.record_refusal(row, part)
        elif error.kind in (errors.Kind.NO_UPSTREAM, errors.Kind.DRAINING):
            router.record_failure(now, row, eject_now=True)
        elif error.kind in _LOST or (error.kind
                                     is errors.Kind.DEADLINE_EXCEEDED):
            router.record_failure(now, row, eject_now=False)
        else:
            router.record_inconclusive(row)

    async def _transfer(self, call: Outgoing, row: routing.Upstream,
                        sent: context.Context) -> messages.Response:
        suspect = self._state.crashes.is_suspect(call.fingerprint)
        if row.instance == self._state.settings.instance:
            return await self._serving.serve(sent, call.deadline, call.method,
                                             call.target, call.headers,
                                             call.body, suspect)
        fields = list(call.headers)
        fields.append((context.HEADER, self._state.sealer.encode(sent)))
        if suspect:
            fields.append((SUSPECT_HEADER, b"true"))
        try:
            answer = await self._pool.exchange(row.peer, call.method,
                                               call.target, fields, call.body)
        except client.RequestNotSent as error:
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   str(error)) from None
        except client.ExchangeFailed as error:
            raise errors.CallError(
                errors.Kind.UPSTREAM_FAILED
                if call.context.idempotent else errors.Kind.OUTCOME_UNKNOWN,
                str(error)) from None
        kind = messages.error_kind(answer)
        if kind is None:
            return answer
        failure = errors.CallError(kind, "refused by the node at the upstream")
        # The table says what a kind may mean, the peer what it did mean.
        failure.not_run = answer.internal.get("not-run") == "true"
        failure.internal = answer.internal
        raise failure
