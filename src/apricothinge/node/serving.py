"""Executes calls on the local upstream, with admission and crash detection."""

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

__all__ = ["LocalExecutor"]

_NON_IDEMPOTENT_IDLE_LIMIT_S: Final = 0.5
_OVERLOADED_STATUSES: Final = frozenset((429, 503))
_CRASH_WINDOW_S: Final = 0.05
_MIN_SERVER_ERROR_STATUS: Final = 500


class _SuspectLock:
    """FIFO lock under which crash suspects run one at a time.

    A second crash then implicates only the request that causes it.
    """

    __slots__ = ("_locked", "_waiters")

    def __init__(self) -> None:
        self._locked = False
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque())

    async def acquire(self) -> None:
        """Waits for the lock."""
        if not self._locked:
            self._locked = True
            return
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Passes the lock to the next waiter, if any."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._locked = False


class LocalExecutor:
    """Executes calls on the upstream beside this node."""

    __slots__ = ("_state", "_pool", "_loop", "_waiter_by_ticket",
                 "_suspect_lock")

    def __init__(self, node_state: state.NodeState,
                 pool: client.ConnectionPool) -> None:
        self._state = node_state
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._waiter_by_ticket: dict[fair_queue.Ticket,
                                     asyncio.Future[bool]] = {}
        self._suspect_lock = _SuspectLock()

    async def execute(self, call_context: context.Context, deadline: float,
                      method: str, target: str, headers: messages.Headers,
                      body: messages.Body, suspect: bool) -> messages.Response:
        """Admits and runs a call, or refuses it.

        Args:
            call_context: Context of the call.
            deadline: Loop time in seconds.
            method: HTTP method.
            target: Path and query without the API key.
            headers: End-to-end headers without the API key.
            body: The content.
            suspect: Whether the request was in flight during a crash.

        Returns:
            The response of the upstream; `internal` holds the unused retries
            and the fraction of such calls admitted here and by nested calls.

        Raises:
            errors.CallError: It was refused or failed; `internal` holds the
                same values.
        """
        try:
            if not suspect:
                return await self._admit_and_run(call_context, deadline, method,
                                                 target, headers, body)
            await self._acquire_suspect_lock(deadline)
            try:
                return await self._admit_and_run(call_context, deadline, method,
                                                 target, headers, body)
            finally:
                self._suspect_lock.release()
        except errors.CallError as error:
            error.internal.setdefault("tokens", str(call_context.retry_budget))
            error.internal.setdefault(
                "admitted", f"{self._admitted_fraction(call_context):.3f}")
            raise

    async def _acquire_suspect_lock(self, deadline: float) -> None:
        try:
            async with self._state.wait_unsent(), asyncio.timeout_at(deadline):
                await self._suspect_lock.acquire()
        except TimeoutError:
            raise errors.CallError(errors.Kind.EXPIRED) from None

    def _admitted_fraction(self, call_context: context.Context) -> float:
        return self._state.local.admission_controller.admitted_fraction(
            call_context.organisation_id, call_context.importance_level)

    def _check_upstream(self, call_context: context.Context) -> None:
        local = self._state.local
        if local.service != call_context.service:
            raise errors.CallError(
                errors.Kind.NO_UPSTREAM,
                f"this node has no instance of {call_context.service}")
        if local.draining and self._loop.time() >= local.refuses_from:
            raise errors.CallError(errors.Kind.DRAINING)
        if not local.up:
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   "the upstream does not accept connections")

    async def _admit_and_run(self, call_context: context.Context,
                             deadline: float, method: str, target: str,
                             headers: messages.Headers,
                             body: messages.Body) -> messages.Response:
        self._check_upstream(call_context)
        if not call_context.nesting_level:
            # Refusing a nested call would waste the work of its callers.
            self._state.check_end(deadline)
        ticket = self._state.local.admission_controller.create_ticket(
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
        admission_controller = self._state.local.admission_controller
        verdict, victim = admission_controller.offer(self._loop.time(), ticket)
        if victim is not None:
            self._resolve(victim, False)
        if verdict is admission.Verdict.RUN:
            return
        if verdict is admission.Verdict.EXPIRED:
            raise errors.CallError(errors.Kind.EXPIRED)
        if verdict is admission.Verdict.SHED:
            raise errors.CallError(errors.Kind.OVERLOADED)
        waiter: asyncio.Future[bool] = self._loop.create_future()
        self._waiter_by_ticket[ticket] = waiter
        try:
            async with self._state.wait_unsent():
                admitted = await waiter
        except (asyncio.CancelledError, errors.CallError):
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self._release_slot()
            admission_controller.cancel(ticket)
            raise
        finally:
            self._waiter_by_ticket.pop(ticket, None)
        if not admitted:
            raise errors.CallError(errors.Kind.OVERLOADED)

    def _resolve(self, ticket: fair_queue.Ticket, admitted: bool) -> None:
        waiter = self._waiter_by_ticket.pop(ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(admitted)
        elif admitted:
            self._release_slot()

    def _release_slot(self) -> None:
        admission_controller = self._state.local.admission_controller
        now = self._loop.time()
        admission_controller.finish(now)
        self.start_waiting(now)

    def start_waiting(self, now: float) -> None:
        """Starts queued calls while the concurrency limit allows."""
        for ticket in self._state.local.admission_controller.start_waiting(now):
            self._resolve(ticket, True)

    def tick(self, now: float) -> None:
        """Sheds calls past their queue deadline and starts others."""
        for ticket in self._state.local.admission_controller.tick(now):
            self._resolve(ticket, False)
        self.start_waiting(now)

    async def _run(self, call_context: context.Context, deadline: float,
                   method: str, target: str, headers: messages.Headers,
                   body: messages.Body) -> messages.Response:
        now = self._loop.time()
        call = state.Call(call_context, deadline, now)
        self._state.calls_by_token[call.token] = call
        in_flight = self._state.local.admission_controller.in_flight
        request_headers = self._request_headers(call, now, headers)
        response: messages.Response | None = None
        try:
            async with asyncio.timeout_at(deadline):
                response = await self._pool.exchange(
                    self._state.local.address,
                    method,
                    target,
                    request_headers,
                    body,
                    idle_limit_s=(client.IDLE_LIMIT_S if call_context.idempotent
                                  else _NON_IDEMPOTENT_IDLE_LIMIT_S))
        except TimeoutError:
            self._state.local.admission_controller.limit.record_refusal(
                self._loop.time())
            raise self._create_error(call,
                                     errors.Kind.DEADLINE_EXCEEDED) from None
        except client.RequestNotSent as error:
            self._mark_down()
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   str(error)) from None
        except client.ExchangeFailed as error:
            raise self._record_exchange_failure(call, error) from None
        except asyncio.CancelledError:
            now = self._loop.time()
            self._state.local.admission_controller.limit.record_abandoned(
                now, call.started_at, call_context.route, call.own_time_s(now),
                in_flight)
            raise
        finally:
            if response is None or response.rest is None:
                self._end_call(call)
        self._record_response(call, response, body, in_flight)
        response.internal.clear()
        response.internal["tokens"] = str(call.budget.remaining)
        response.internal[
            "admitted"] = f"{self._call_admitted_fraction(call):.3f}"
        if call.nested_shed:
            response.internal["shed"] = "true"
        if response.rest is not None:
            response.on_done = lambda complete: self._end_call(call)
        return response

    def _request_headers(self, call: state.Call, now: float,
                         headers: messages.Headers) -> messages.Headers:
        remaining_ms = max(0, int((call.deadline - now) * 1000))
        request_headers = headers + [
            (b"apricothinge-organisation",
             call.context.organisation_id.encode()),
            (b"apricothinge-request-id", call.context.request_id.encode()),
            (b"apricothinge-deadline-ms", b"%d" % remaining_ms),
            (b"apricothinge-call", call.token.encode())
        ]
        if call.context.idempotency_key:
            request_headers = [(name, value)
                               for name, value in request_headers
                               if name != b"idempotency-key"]
            request_headers.append(
                (b"idempotency-key",
                 call.context.idempotency_key.encode("latin-1")))
        return request_headers

    def _call_admitted_fraction(self, call: state.Call) -> float:
        return min(call.admitted_fraction,
                   self._admitted_fraction(call.context))

    def _end_call(self, call: state.Call) -> None:
        """Ends a call, cancels its nested calls and releases its slot."""
        if self._state.calls_by_token.pop(call.token, None) is None:
            return
        for task in list(call.nested_tasks):
            task.cancel()
        self._release_slot()

    def _record_response(self, call: state.Call, response: messages.Response,
                         body: messages.Body, in_flight: int) -> None:
        now = self._loop.time()
        limit = self._state.local.admission_controller.limit
        elapsed_s = now - call.started_at
        labels = (call.context.service,
                  call.context.importance_level.name.lower())
        self._state.metrics.call_seconds.labels(*labels).observe(elapsed_s)
        if response.status in _OVERLOADED_STATUSES and not call.nested_s:
            limit.record_refusal(now)
            return
        if response.rest is not None or not body.complete:
            # The caller's connection determines how long streaming takes.
            return
        if response.status < _MIN_SERVER_ERROR_STATUS:
            limit.record_response(now, call.started_at, call.context.route,
                                  call.own_time_s(now), in_flight)

    def _create_error(self,
                      call: state.Call,
                      kind: errors.Kind,
                      detail: str = "") -> errors.CallError:
        error = errors.CallError(kind, detail)
        error.internal["tokens"] = str(call.budget.remaining)
        error.internal["admitted"] = f"{self._call_admitted_fraction(call):.3f}"
        if call.nested_shed:
            error.internal["shed"] = "true"
        return error

    def _mark_down(self) -> None:
        local = self._state.local
        if local.up:
            local.up = False
            self._state.report_due.set()

    def _record_exchange_failure(
            self, call: state.Call,
            error: client.ExchangeFailed) -> errors.CallError:
        local = self._state.local
        now = self._loop.time()
        if now - local.last_failure_at > _CRASH_WINDOW_S:
            local.crash_count += 1
        local.last_failure_at = now
        kind = (errors.Kind.UPSTREAM_FAILED
                if call.context.idempotent else errors.Kind.OUTCOME_UNKNOWN)
        failure = self._create_error(call, kind, str(error))
        failure.internal["crash"] = (f"{self._state.settings.instance}"
                                     f":{self._state.incarnation}"
                                     f":{local.crash_count}")
        # Retries allocated to nested calls of a crashed run are lost.
        failure.internal["tokens"] = "0"
        return failure
