"""Runs calls on the local upstream: admission, deadline, crash detection."""

import asyncio
import collections
from typing import Final

from apricothinge import context
from apricothinge import errors
from apricothinge.node import state
from apricothinge.overload import admission
from apricothinge.overload import fair_queue
from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["Serving"]

_FRESH_S: Final = 0.5
_OVERLOADED_STATUSES: Final = frozenset((429, 503))
_CRASH_WINDOW_S: Final = 0.05
_SERVER_ERROR: Final = 500


class _SuspectLane:
    """Lets requests that were in flight in a crash run one at a time.

    A second crash then tells the guilty one from its neighbours.
    """

    __slots__ = ("_busy", "_waiting")

    def __init__(self) -> None:
        self._busy = False
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque())

    async def enter(self) -> None:
        """Waits for the turn."""
        if not self._busy:
            self._busy = True
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Gives the turn to the next."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._busy = False


class Serving:
    """The last step of a call, at the node beside the upstream."""

    __slots__ = ("_state", "_pool", "_loop", "_turn_by_ticket", "_lane")

    def __init__(self, node_state: state.NodeState,
                 pool: client.ConnectionPool) -> None:
        self._state = node_state
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._turn_by_ticket: dict[fair_queue.Ticket, asyncio.Future[bool]] = {}
        self._lane = _SuspectLane()

    async def serve(self, call_context: context.Context, deadline: float,
                    method: str, target: str, headers: messages.Headers,
                    body: messages.Body, suspect: bool) -> messages.Response:
        """Runs one call, or refuses it.

        Args:
            call_context: The call's context.
            deadline: Loop time in seconds.
            method: HTTP method.
            target: Path and query, without a key.
            headers: End-to-end headers, without a key.
            body: The content.
            suspect: Whether the request was in flight in a crash.

        Returns:
            The upstream's answer; its `internal` holds the unused retries
            and the part of such calls that is admitted here and below.

        Raises:
            errors.CallError: With the same facts in `internal`.
        """
        try:
            if not suspect:
                return await self._admit_and_run(call_context, deadline, method,
                                                 target, headers, body)
            await self._enter_lane(deadline)
            try:
                return await self._admit_and_run(call_context, deadline, method,
                                                 target, headers, body)
            finally:
                self._lane.leave()
        except errors.CallError as error:
            error.internal.setdefault("tokens", str(call_context.retry_budget))
            error.internal.setdefault(
                "admitted", f"{self._admitted_part(call_context):.3f}")
            raise

    async def _enter_lane(self, deadline: float) -> None:
        try:
            async with asyncio.timeout_at(deadline):
                await self._lane.enter()
        except TimeoutError:
            raise errors.CallError(errors.Kind.EXPIRED) from None

    def _admitted_part(self, call_context: context.Context) -> float:
        return self._state.local.admission.admitted_fraction(
            call_context.organisation_id, call_context.importance_level)

    def _check_local(self, call_context: context.Context) -> None:
        local = self._state.local
        if local.service != call_context.service:
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   f"no {call_context.service} here")
        if local.draining and self._loop.time() >= local.refuses_from:
            raise errors.CallError(errors.Kind.DRAINING)
        if not local.up:
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   "the upstream does not listen")

    async def _admit_and_run(self, call_context: context.Context,
                             deadline: float, method: str, target: str,
                             headers: messages.Headers,
                             body: messages.Body) -> messages.Response:
        self._check_local(call_context)
        ticket = self._state.local.admission.create_ticket(
            self._loop.time(), call_context.organisation_id,
            call_context.importance_level, call_context.weight,
            call_context.nesting_level > 0, deadline)
        await self._admit(ticket)
        labels = (call_context.service,
                  call_context.importance_level.name.lower())
        self._state.metrics.queue_delay.labels(
            *labels).observe(self._loop.time() - ticket.arrived_at)
        return await self._run(call_context, deadline, method, target, headers,
                               body)

    async def _admit(self, ticket: fair_queue.Ticket) -> None:
        queue = self._state.local.admission
        verdict, victim = queue.offer(self._loop.time(), ticket)
        if victim is not None:
            self._resolve(victim, False)
        if verdict is admission.Verdict.RUN:
            return
        if verdict is admission.Verdict.EXPIRED:
            raise errors.CallError(errors.Kind.EXPIRED)
        if verdict is admission.Verdict.SHED:
            raise errors.CallError(errors.Kind.OVERLOADED)
        turn: asyncio.Future[bool] = self._loop.create_future()
        self._turn_by_ticket[ticket] = turn
        try:
            admitted = await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled() and turn.result():
                self._release()
            queue.cancel(ticket)
            raise
        finally:
            self._turn_by_ticket.pop(ticket, None)
        if not admitted:
            raise errors.CallError(errors.Kind.OVERLOADED)

    def _resolve(self, ticket: fair_queue.Ticket, admitted: bool) -> None:
        turn = self._turn_by_ticket.pop(ticket, None)
        if turn is not None and not turn.done():
            turn.set_result(admitted)
        elif admitted:
            self._release()

    def _release(self) -> None:
        queue = self._state.local.admission
        now = self._loop.time()
        queue.finish(now)
        self.advance(now)

    def advance(self, now: float) -> None:
        """Starts waiting calls for which there is room."""
        for ticket in self._state.local.admission.start_waiting(now):
            self._resolve(ticket, True)

    def tick(self, now: float) -> None:
        """Sheds calls that have waited for too long."""
        for ticket in self._state.local.admission.tick(now):
            self._resolve(ticket, False)
        self.advance(now)

    async def _run(self, call_context: context.Context, deadline: float,
                   method: str, target: str, headers: messages.Headers,
                   body: messages.Body) -> messages.Response:
        now = self._loop.time()
        call = state.Call(call_context, deadline, now)
        self._state.calls_by_token[call.token] = call
        in_flight = self._state.local.admission.in_flight
        fields = self._fields(call, now, headers)
        answer: messages.Response | None = None
        try:
            async with asyncio.timeout_at(deadline):
                answer = await self._pool.exchange(
                    self._state.local.address,
                    method,
                    target,
                    fields,
                    body,
                    idle_limit_s=(client.IDLE_LIMIT_S
                                  if call_context.idempotent else _FRESH_S))
        except TimeoutError:
            self._state.local.admission.limit.record_refusal(self._loop.time())
            raise self._error(call, errors.Kind.DEADLINE_EXCEEDED) from None
        except client.RequestNotSent as error:
            self._down()
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   str(error)) from None
        except client.ExchangeFailed as error:
            raise self._lost(call, error) from None
        except asyncio.CancelledError:
            now = self._loop.time()
            self._state.local.admission.limit.record_abandoned(
                now, call.started_at, call_context.route, call.own_s(now),
                in_flight)
            raise
        finally:
            if answer is None or answer.rest is None:
                self._end(call)
        self._learn(call, answer, body, in_flight)
        answer.internal.clear()
        answer.internal["tokens"] = str(call.budget.remaining)
        answer.internal["admitted"] = f"{self._call_part(call):.3f}"
        if call.shed_below:
            answer.internal["shed"] = "true"
        if answer.rest is not None:
            answer.on_done = lambda whole: self._end(call)
        return answer

    def _fields(self, call: state.Call, now: float,
                headers: messages.Headers) -> messages.Headers:
        left_ms = max(0, int((call.deadline - now) * 1000))
        fields = headers + [
            (b"apricothinge-organisation",
             call.context.organisation_id.encode()),
            (b"apricothinge-request-id", call.context.request_id.encode()),
            (b"apricothinge-deadline-ms", b"%d" % left_ms),
            (b"apricothinge-call", call.token.encode())
        ]
        if call.context.idempotency_key:
            fields = [(name, value)
                      for name, value in fields
                      if name != b"idempotency-key"]
            fields.append((b"idempotency-key",
                           call.context.idempotency_key.encode("latin-1")))
        return fields

    def _call_part(self, call: state.Call) -> float:
        return min(call.admitted_part, self._admitted_part(call.context))

    def _end(self, call: state.Call) -> None:
        """Ends a call, its nested calls, and its hold on a place."""
        if self._state.calls_by_token.pop(call.token, None) is None:
            return
        for task in list(call.children):
            task.cancel()
        self._release()

    def _learn(self, call: state.Call, answer: messages.Response,
               body: messages.Body, in_flight: int) -> None:
        now = self._loop.time()
        learner = self._state.local.admission.limit
        elapsed_s = now - call.started_at
        labels = (call.context.service,
                  call.context.importance_level.name.lower())
        self._state.metrics.call_seconds.labels(*labels).observe(elapsed_s)
        if answer.status in _OVERLOADED_STATUSES and not call.nested_s:
            learner.record_refusal(now)
            return
        if answer.rest is not None or not body.complete:
            # A streamed exchange takes as long as the caller's line needs.
            return
        if answer.status < _SERVER_ERROR:
            learner.record_response(now, call.started_at, call.context.route,
                                    call.own_s(now), in_flight)

    def _error(self,
               call: state.Call,
               kind: errors.Kind,
               detail: str = "") -> errors.CallError:
        error = errors.CallError(kind, detail)
        error.internal["tokens"] = str(call.budget.remaining)
        error.internal["admitted"] = f"{self._call_part(call):.3f}"
        if call.shed_below:
            error.internal["shed"] = "true"
        return error

    def _down(self) -> None:
        local = self._state.local
        if local.up:
            local.up = False
            self._state.changed.set()

    def _lost(self, call: state.Call,
              error: client.ExchangeFailed) -> errors.CallError:
        local = self._state.local
        now = self._loop.time()
        if now - local.lost_at > _CRASH_WINDOW_S:
            local.losses += 1
        local.lost_at = now
        kind = (errors.Kind.UPSTREAM_FAILED
                if call.context.idempotent else errors.Kind.OUTCOME_UNKNOWN)
        failure = self._error(call, kind, str(error))
        failure.internal["crash"] = (f"{self._state.settings.instance}"
                                     f":{self._state.incarnation}"
                                     f":{local.losses}")
        # Tokens that a dead run has lent out are out of reach.
        failure.internal["tokens"] = "0"
        return failure
