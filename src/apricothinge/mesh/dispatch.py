"""Sends a request to upstreams until one has answered or none may."""

import asyncio
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge import metrics
from apricothinge.link import frames
from apricothinge.mesh import costs
from apricothinge.mesh import names
from apricothinge.mesh import peers
from apricothinge.mesh import upstream
from apricothinge.overload import retry_budget
from apricothinge.overload import routing
from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["Dispatcher"]

# Nodes that refused are asked at most this often in place of others; each
# costs a round trip, and by then the rest is most likely full as well.
_PLACEMENTS: Final = 3
_SMALLEST_LEFT_S: Final = 0.02
_RETRY_AFTER_S: Final = 0.5
_FAILED_STATUSES: Final = (500, 502)


class _Outcome:
    """What the last send has come to, where it gave no final answer."""

    __slots__ = ("error", "answer", "reached")

    def __init__(self, error: errors.CallError | None,
                 answer: messages.Answer | None, reached: bool) -> None:
        self.error = error
        self.answer = answer
        self.reached = reached

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.reached and (self.error is None or not self.error.not_run)


class Dispatcher:
    """Places requests and repeats those that may be repeated."""

    __slots__ = ("_own", "_router", "_peers", "_upstream", "_names", "_metrics",
                 "_loop", "_costs", "_budget_by_service")

    def __init__(self, own: str, router: routing.Router, table: peers.PeerTable,
                 local: upstream.LocalUpstream, header_names: names.HeaderNames,
                 cost_table: costs.CostTable,
                 counts: metrics.NodeMetrics) -> None:
        self._loop = asyncio.get_running_loop()
        self._own = own
        self._router = router
        self._peers = table
        self._upstream = local
        self._names = header_names
        self._metrics = counts
        self._costs = cost_table
        self._budget_by_service: dict[str, retry_budget.ServiceRetryBudget] = {}

    def _budget(self, service: str) -> retry_budget.ServiceRetryBudget:
        found = self._budget_by_service.get(service)
        if found is None:
            found = self._budget_by_service[
                service] = retry_budget.ServiceRetryBudget()
        return found

    def _height(self, call: frames.Call) -> int:
        """Services below that a call leads to."""
        found = self._costs.get(call.service, call.route)
        return len(found) - 1 if found else retry_budget.DEFAULT_HEIGHT

    async def run(self, work: upstream.UpstreamRequest,
                  attempts: int) -> messages.Answer:
        """Gets an answer.

        Args:
            work: The request.
            attempts: Upstreams that it may reach.

        Raises:
            errors.CallError: There is none.
        """
        service = work.call.service
        budget = self._budget(service)
        height = self._height(work.call)
        budget.record_first_attempt(height)
        tried: set[str] = set()
        placements = 0
        last: _Outcome | None = None
        ran: _Outcome | None = None
        while True:
            now = self._loop.time()
            if work.deadline - now < _SMALLEST_LEFT_S and last is None:
                raise errors.CallError(errors.Kind.EXPIRED)
            row = self._router.pick(now, service, tried)
            if row is None:
                return self._final(ran or last, service)
            tried.add(row.instance)
            last = await self._send(row, work)
            if last.answer is not None and last.error is None:
                return last.answer
            if last.may_have_run:
                ran = last
            if last.reached:
                attempts -= 1
                may = (attempts > 0 and work.body.replayable and
                       self._repeatable(work, last) and
                       work.deadline - self._loop.time() > _SMALLEST_LEFT_S and
                       budget.try_retry(height, last.may_have_run))
            else:
                placements += 1
                may = placements < _PLACEMENTS and work.body.replayable
            if not may:
                # What a former attempt has come to goes before a refusal:
                # it would not be true that nothing has run.
                return self._final(ran or last, service)
            self._metrics.retries.labels(service).inc()
            log.event("request:sent_again",
                      request=work.call.request_id,
                      service=service,
                      after=row.instance,
                      reached=last.reached,
                      error=None if last.error is None else last.error.code)

    @staticmethod
    def _repeatable(work: upstream.UpstreamRequest, last: _Outcome) -> bool:
        if work.call.idempotent:
            return True
        return last.error is not None and last.error.not_run

    @staticmethod
    def _final(last: _Outcome | None, service: str) -> messages.Answer:
        if last is None:
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   f"no {service} takes work",
                                   retry_after_s=_RETRY_AFTER_S)
        if last.answer is not None:
            return last.answer
        assert last.error is not None
        raise last.error

    async def _send(self, row: routing.Upstream,
                    work: upstream.UpstreamRequest) -> _Outcome:
        started_at = self._loop.time()
        self._router.record_sent(row)
        ended = False
        try:
            answer = await self._exchange(row, work)
            ended = True
        except errors.CallError as error:
            ended = True
            self._learn(row, error)
            return _Outcome(error, None, not error.not_run)
        except client.NotConnected as error:
            ended = True
            self._router.record_failure(self._loop.time(), row, eject_now=True)
            return _Outcome(
                errors.CallError(errors.Kind.NO_UPSTREAM, str(error)), None,
                False)
        except client.Lost as error:
            ended = True
            self._router.record_failure(self._loop.time(), row, eject_now=False)
            kind = (errors.Kind.UPSTREAM_FAILED
                    if work.call.idempotent else errors.Kind.OUTCOME_UNKNOWN)
            return _Outcome(errors.CallError(kind, str(error)), None, True)
        finally:
            if not ended:
                self._router.record_inconclusive(row)
        return self._judge(row, work, answer, started_at)

    async def _exchange(self, row: routing.Upstream,
                        work: upstream.UpstreamRequest) -> messages.Answer:
        if row.instance == self._own:
            return await self._upstream.run(work)
        peer = self._peers.by_instance.get(row.instance)
        if peer is None:
            raise client.NotConnected(f"{row.instance} has left")
        try:
            async with asyncio.timeout_at(work.deadline):
                return await peer.calls.call(work)
        except TimeoutError:
            raise errors.CallError(errors.Kind.DEADLINE_EXCEEDED,
                                   f"no answer from {row.instance}") from None

    def _learn(self, row: routing.Upstream, error: errors.CallError) -> None:
        if error.kind in (errors.Kind.OVERLOADED, errors.Kind.EXPIRED):
            self._router.record_refusal(row, 0.0)
        elif error.kind is errors.Kind.CRASH_SUSPECTED:
            self._router.record_inconclusive(row)
        elif error.kind is errors.Kind.NO_UPSTREAM:
            self._router.record_refusal(row, 0.0)
        else:
            self._router.record_failure(self._loop.time(), row, eject_now=False)

    def _judge(self, row: routing.Upstream, work: upstream.UpstreamRequest,
               answer: messages.Answer, started_at: float) -> _Outcome:
        """Tells a final answer from one that another upstream may better."""
        if messages.header(answer.headers, self._names.not_run) is not None:
            self._router.record_refusal(row, 0.0)
            error = errors.CallError(errors.Kind.OVERLOADED,
                                     "the upstream did not run it")
            return _Outcome(error, answer, True)
        if answer.status in _FAILED_STATUSES:
            self._router.record_failure(self._loop.time(), row, eject_now=False)
            if work.call.idempotent and answer.rest is None:
                return _Outcome(
                    errors.CallError(errors.Kind.UPSTREAM_FAILED,
                                     f"status {answer.status}"), answer, True)
            return _Outcome(None, answer, True)
        self._router.record_response(row, self._loop.time() - started_at, 1.0)
        return _Outcome(None, answer, True)
