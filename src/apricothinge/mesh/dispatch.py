"""Dispatches a request to an upstream, and retries it at others."""

import asyncio
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge import metrics
from apricothinge.link import frames
from apricothinge.mesh import costs
from apricothinge.mesh import late_content
from apricothinge.mesh import names
from apricothinge.mesh import peers
from apricothinge.mesh import streams
from apricothinge.mesh import upstream
from apricothinge.overload import retry_budget
from apricothinge.overload import routing
from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["Dispatcher"]

# Each refusal costs a round trip, and after this many of them the remaining
# nodes are most likely overloaded as well.
_MAX_REFUSALS: Final = 3
_MIN_REMAINING_S: Final = 0.02
# An upstream that enforces the deadline itself responds shortly after it, and
# its response goes before one of this node.
_RESPONSE_SLACK_S: Final = 0.1
_MAX_LATE_CONTENT_S: Final = 0.3
_RETRY_AFTER_S: Final = 0.5
_FAILURE_STATUSES: Final = (500, 502)


class _AttemptResult:
    """Result of one attempt.

    Attributes:
        error: Error to raise if there is no further attempt, or None.
        response: Response of the upstream, or None.
        reached: Whether the request may have reached an upstream.
        late_response: The response of a node that has fallen silent, which may
            still come, or None.
    """

    __slots__ = ("error", "response", "reached", "late_response")

    def __init__(self,
                 error: errors.CallError | None,
                 response: messages.Response | None,
                 reached: bool,
                 late_response: streams.LateResponse | None = None) -> None:
        self.error = error
        self.response = response
        self.reached = reached
        self.late_response = late_response

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.reached and (self.error is None or not self.error.not_run)


class Dispatcher:
    """Sends requests to upstreams, and retries those that permit it."""

    __slots__ = ("_own_instance", "_router", "_peer_table", "_upstream",
                 "_names", "_metrics", "_loop", "_cost_table",
                 "_budget_by_service")

    def __init__(self, own_instance: str, router: routing.Router,
                 peer_table: peers.PeerTable,
                 local_upstream: upstream.LocalUpstream,
                 header_names: names.HeaderNames, cost_table: costs.CostTable,
                 node_metrics: metrics.NodeMetrics) -> None:
        self._loop = asyncio.get_running_loop()
        self._own_instance = own_instance
        self._router = router
        self._peer_table = peer_table
        self._upstream = local_upstream
        self._names = header_names
        self._metrics = node_metrics
        self._cost_table = cost_table
        self._budget_by_service: dict[str, retry_budget.ServiceRetryBudget] = {}

    def _budget(self, service: str) -> retry_budget.ServiceRetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[
                service] = retry_budget.ServiceRetryBudget()
        return budget

    def _height(self, call: frames.Call) -> int:
        """Returns the number of downstream services that a call leads to."""
        by_service = self._cost_table.get(call.service, call.route)
        return len(
            by_service) - 1 if by_service else retry_budget.DEFAULT_HEIGHT

    async def run(self, upstream_request: upstream.UpstreamRequest,
                  attempts: int) -> messages.Response:
        """Sends a request and returns its response.

        Args:
            upstream_request: The request.
            attempts: Maximum number of upstreams that the request may reach.

        Raises:
            errors.CallError: All permitted attempts failed or were refused.
        """
        height = self._height(upstream_request.call)
        self._budget(upstream_request.call.service).record_first_attempt(height)
        return await self._run_attempts(upstream_request, attempts, height,
                                        set(), None)

    async def _run_attempts(
            self, upstream_request: upstream.UpstreamRequest, attempts: int,
            height: int, tried: set[str],
            last_run: _AttemptResult | None) -> messages.Response:
        """Sends a request until it succeeds or may not be sent again.

        Args:
            upstream_request: The request.
            attempts: Maximum number of upstreams that it may still reach.
            height: Number of downstream services that it leads to.
            tried: Instances that it was already sent to; extended here.
            last_run: Result of an earlier attempt that may have run, or None.
        """
        service = upstream_request.call.service
        budget = self._budget(service)
        refusals = 0
        last: _AttemptResult | None = None
        while True:
            now = self._loop.time()
            if (upstream_request.deadline - now < _MIN_REMAINING_S and
                    last is None and last_run is None):
                raise errors.CallError(errors.Kind.EXPIRED)
            target = self._router.pick(now, service, tried,
                                       upstream_request.homes)
            if target is None:
                return self._conclude(last_run or last, service)
            tried.add(target.instance)
            last = await self._send(target, upstream_request)
            if last.response is not None and last.error is None:
                return last.response
            earlier_run = last_run
            if last.may_have_run:
                last_run = last
            if last.reached:
                attempts -= 1
                may_retry = (attempts > 0 and
                             upstream_request.body.replayable and
                             self._may_run_again(upstream_request, last) and
                             self._has_time(upstream_request) and
                             budget.try_retry(height, last.may_have_run,
                                              upstream_request.call.rank))
            else:
                refusals += 1
                may_retry = (refusals < _MAX_REFUSALS and
                             upstream_request.body.replayable and
                             self._loop.time() <= upstream_request.start_by)
            if not may_retry and last.late_response is None:
                # The result of an attempt that may have run takes precedence
                # over a later refusal, which would falsely report that nothing
                # has run.
                return self._conclude(last_run or last, service)
            if last.response is not None and last.response.rest is not None:
                last.response.discard()
            if may_retry:
                self._metrics.retries.labels(service).inc()
                log.event("request:sent_again",
                          request=upstream_request.call.request_id,
                          service=service,
                          after=target.instance,
                          reached=last.reached,
                          error=None if last.error is None else last.error.code)
            if last.late_response is not None:
                try:
                    return await self._run_beside(last, upstream_request,
                                                  attempts if may_retry else 0,
                                                  height, tried)
                except errors.CallError as error:
                    if error.not_run and earlier_run is not None:
                        return self._conclude(earlier_run, service)
                    raise

    async def _run_beside(self, silent: _AttemptResult,
                          upstream_request: upstream.UpstreamRequest,
                          attempts: int, height: int,
                          tried: set[str]) -> messages.Response:
        """Waits for a node that has fallen silent, and tries others meanwhile.

        The node may be cut off or only slow, so what it runs is not given up.
        The first successful response ends the other attempts.

        Args:
            silent: Result of the attempt at the silent node.
            upstream_request: The request.
            attempts: Maximum number of upstreams that it may still reach.
            height: Number of downstream services that it leads to.
            tried: Instances that it was already sent to.
        """
        assert silent.late_response is not None
        tasks = [
            asyncio.ensure_future(
                self._wait_for_late_response(silent.late_response,
                                             upstream_request))
        ]
        if attempts:
            tasks.append(
                asyncio.ensure_future(
                    self._run_attempts(upstream_request, attempts, height,
                                       tried, silent)))
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    if (task.exception() is None and
                            task.result().status not in _FAILURE_STATUSES):
                        tasks.remove(task)
                        return task.result()
            # The result of the later attempts takes the silent one into
            # account.
            return await tasks.pop()
        finally:
            for task in tasks:
                await messages.abandon(task)

    async def _wait_for_late_response(
            self, late_response: streams.LateResponse,
            upstream_request: upstream.UpstreamRequest) -> messages.Response:
        try:
            async with asyncio.timeout_at(upstream_request.deadline +
                                          _RESPONSE_SLACK_S):
                response = await late_response.wait()
        except TimeoutError:
            raise errors.CallError(
                errors.Kind.DEADLINE_EXCEEDED,
                "the node has fallen silent and did not respond in time"
            ) from None
        except client.ExchangeFailed as error:
            raise errors.CallError(errors.Kind.UPSTREAM_FAILED,
                                   str(error)) from None
        late_content.limit(response, upstream_request.deadline,
                           _MAX_LATE_CONTENT_S)
        return response

    def _has_time(self, upstream_request: upstream.UpstreamRequest) -> bool:
        """Returns whether another attempt could still be answered."""
        now = self._loop.time()
        return (now <= upstream_request.start_by and
                upstream_request.deadline - now > _MIN_REMAINING_S)

    @staticmethod
    def _may_run_again(upstream_request: upstream.UpstreamRequest,
                       last: _AttemptResult) -> bool:
        if upstream_request.call.idempotent:
            return True
        return last.error is not None and last.error.not_run

    @staticmethod
    def _conclude(result: _AttemptResult | None,
                  service: str) -> messages.Response:
        if result is None:
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   f"no usable upstream of {service}",
                                   retry_after_s=_RETRY_AFTER_S)
        if result.response is not None:
            return result.response
        assert result.error is not None
        raise result.error

    async def _send(
            self, target: routing.Upstream,
            upstream_request: upstream.UpstreamRequest) -> _AttemptResult:
        started_at = self._loop.time()
        upstream_request.record_attempt(started_at, target.instance)
        self._router.record_sent(target)
        ended = False
        try:
            response = await self._exchange(target, upstream_request)
            ended = True
        except errors.CallError as error:
            ended = True
            self._record_error(target, error)
            return _AttemptResult(error, None, not error.not_run)
        except streams.PeerSilent as silent:
            return _AttemptResult(
                errors.CallError(errors.Kind.UPSTREAM_FAILED,
                                 f"{target.instance} has fallen silent"), None,
                True, silent.late_response)
        except client.RequestNotSent as error:
            ended = True
            self._router.record_failure(self._loop.time(),
                                        target,
                                        eject_now=True)
            return _AttemptResult(
                errors.CallError(errors.Kind.NO_UPSTREAM, str(error)), None,
                False)
        except client.ExchangeFailed as error:
            ended = True
            self._router.record_failure(self._loop.time(),
                                        target,
                                        eject_now=False)
            kind = (errors.Kind.UPSTREAM_FAILED
                    if upstream_request.call.idempotent else
                    errors.Kind.OUTCOME_UNKNOWN)
            return _AttemptResult(errors.CallError(kind, str(error)), None,
                                  True)
        finally:
            if not ended:
                self._router.record_inconclusive(target)
        return self._evaluate_response(target, upstream_request, response,
                                       started_at)

    async def _exchange(
            self, target: routing.Upstream,
            upstream_request: upstream.UpstreamRequest) -> messages.Response:
        if target.instance == self._own_instance:
            return await self._upstream.run(upstream_request)
        peer = self._peer_table.by_instance.get(target.instance)
        if peer is None:
            raise client.RequestNotSent(
                f"{target.instance} is no longer in the fleet")
        try:
            async with asyncio.timeout_at(upstream_request.deadline +
                                          _RESPONSE_SLACK_S):
                response = await peer.outgoing_calls.call(
                    upstream_request,
                    hedged=(upstream_request.call.idempotent and
                            upstream_request.body.complete))
        except TimeoutError:
            raise errors.CallError(
                errors.Kind.DEADLINE_EXCEEDED,
                f"no response from {target.instance}") from None
        late_content.limit(response, upstream_request.deadline,
                           _MAX_LATE_CONTENT_S)
        return response

    def _record_error(self, target: routing.Upstream,
                      error: errors.CallError) -> None:
        if error.kind in (errors.Kind.OVERLOADED, errors.Kind.EXPIRED):
            self._router.record_refusal(target, 0.0)
        elif error.kind in (errors.Kind.CRASH_SUSPECTED,
                            errors.Kind.CONTENT_TOO_LARGE,
                            errors.Kind.DRAINING):
            self._router.record_inconclusive(target)
        elif error.kind is errors.Kind.NO_UPSTREAM:
            self._router.record_refusal(target, 0.0)
        else:
            self._router.record_failure(self._loop.time(),
                                        target,
                                        eject_now=False)

    def _evaluate_response(self, target: routing.Upstream,
                           upstream_request: upstream.UpstreamRequest,
                           response: messages.Response,
                           started_at: float) -> _AttemptResult:
        """Distinguishes a final response from one that permits a retry."""
        if messages.header(response.headers, self._names.not_run) is not None:
            self._router.record_refusal(target, 0.0)
            error = errors.CallError(errors.Kind.OVERLOADED,
                                     "the upstream did not run the request")
            return _AttemptResult(error, response, True)
        if response.status in _FAILURE_STATUSES:
            self._router.record_failure(self._loop.time(),
                                        target,
                                        eject_now=False)
            if upstream_request.call.idempotent and response.rest is None:
                return _AttemptResult(
                    errors.CallError(errors.Kind.UPSTREAM_FAILED,
                                     f"status {response.status}"), response,
                    True)
            return _AttemptResult(None, response, True)
        self._router.record_response(target,
                                     self._loop.time() - started_at, 1.0)
        return _AttemptResult(None, response, True)
