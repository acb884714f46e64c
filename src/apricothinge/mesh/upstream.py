"""The local upstream of a node: its lifetime, queue and requests."""

import asyncio
import collections
from collections.abc import Callable
import math
import time
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge import metrics
from apricothinge import settings
from apricothinge.link import frames
from apricothinge.mesh import admission_queue
from apricothinge.mesh import announcements
from apricothinge.mesh import costs
from apricothinge.mesh import departures
from apricothinge.mesh import late_content
from apricothinge.mesh import lifetimes
from apricothinge.mesh import names
from apricothinge.mesh import parents
from apricothinge.overload import cold_start
from apricothinge.overload import completion
from apricothinge.overload import crashes
from apricothinge.overload import drain
from apricothinge.overload import load_feedback
from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["LocalUpstream", "UpstreamRequest"]

_PROBE_INTERVAL_S: Final = 0.25
_MIN_REMAINING_S: Final = 0.01
_QUEUE_CHECK_INTERVAL_S: Final = 0.02
# An upstream that enforces the deadline itself responds shortly after it.
_RESPONSE_SLACK_S: Final = 0.05
# The entry waits longer, so that it hears of the end.
_MAX_LATE_CONTENT_S: Final = 0.2


class UpstreamRequest:
    """A request to run on an upstream.

    Attributes:
        call: Head of the request, as built by the entry node.
        body: Content of the request.
        deadline: Loop time in seconds.
        homes: Regions that the request has to stay in, or None for any.
        attempts: Number of instances that it has been sent to.
        instance: The instance that it was last sent to, empty for none.
        sent_at: Loop time in seconds at which it was last sent.
        start_by: Loop time in seconds after which no attempt begins.
        on_withdraw: Refuses the current attempt if it still waits for a slot,
            or None if there is none that can be refused.
        withdrawn: Whether it is refused instead of waiting for a slot.
    """

    __slots__ = ("call", "body", "deadline", "homes", "attempts", "instance",
                 "sent_at", "start_by", "on_withdraw", "withdrawn")

    def __init__(self,
                 call: frames.Call,
                 body: messages.Body,
                 deadline: float,
                 homes: frozenset[str] | None = None) -> None:
        self.call = call
        self.body = body
        self.deadline = deadline
        self.homes = homes
        self.attempts = 0
        self.instance = ""
        self.sent_at = 0.0
        self.start_by = math.inf
        self.on_withdraw: Callable[[], None] | None = None
        self.withdrawn = False

    def withdraw(self) -> None:
        """Refuses the request as not run unless it is at an upstream."""
        self.withdrawn = True
        if self.on_withdraw is not None:
            self.on_withdraw()

    def record_attempt(self, now: float, instance: str) -> None:
        """Records that the request is sent to an instance."""
        self.attempts += 1
        self.instance = instance
        self.sent_at = now


class LocalUpstream:
    """Runs requests on the upstream of this machine.

    Attributes:
        on_change: Called when the state that is published to other nodes has
            changed.
        on_departure: Called with a lifetime that says that it departs.
        in_flight: Number of running requests by fingerprint.
        running_requests: Ranks of the running requests.
    """

    __slots__ = ("on_change", "on_departure", "in_flight", "running_requests",
                 "_address", "_names", "_pool", "_loop", "_queue", "_lifetimes",
                 "_usable", "_probe_task", "_crash_table", "_metrics",
                 "_incarnation", "_crash_count", "_local_costs",
                 "_load_feedback", "_announcements", "_evacuated",
                 "_queue_timer", "_rejection_meter", "_drain",
                 "_departures_known")

    def __init__(self, address: settings.Address,
                 header_names: names.HeaderNames, pool: client.ConnectionPool,
                 crash_table: crashes.CrashTable,
                 node_metrics: metrics.NodeMetrics,
                 local_costs: costs.LocalCosts, incarnation: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._names = header_names
        self._pool = pool
        self._crash_table = crash_table
        self._metrics = node_metrics
        self._local_costs = local_costs
        self._queue = admission_queue.AdmissionQueue(self._loop.time())
        self._rejection_meter = completion.RejectionMeter(self._loop.time())
        self._load_feedback = load_feedback.LoadFeedback(self._loop.time())
        self._lifetimes = lifetimes.Lifetimes()
        self._usable = False
        self._departures_known = False
        self._drain: drain.Drain | None = None
        self._probe_task: asyncio.Task[None] | None = None
        self._evacuated = False
        self._queue_timer: asyncio.TimerHandle | None = None
        self._incarnation = incarnation
        self._crash_count = 0
        self._announcements = announcements.Announcements(
            header_names, self._queue.rate_limiter)
        self.on_change = _ignore_change
        self.on_departure: Callable[[departures.Lifetime],
                                    None] = _ignore_departure
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.running_requests = parents.RunningRequests()

    @property
    def service(self) -> str:
        """Service named in the latest check-in; empty before the first."""
        return "" if self._lifetimes.current is None else self._lifetimes.current.service

    def begin_drain(self, stop: drain.Drain) -> None:
        """Bounds the wait for a slot by the end of the process.

        Calls that could not end in time are refused as not run, so that their
        entries can send them elsewhere.
        """
        self._drain = stop
        for ticket in self._queue.waiting():
            ticket.wait_until = min(
                ticket.wait_until, stop.start_by(ticket.deadline,
                                                 ticket.hold_s))

    def row(self) -> frames.UpstreamRow | None:
        """Returns the upstream as published to other nodes."""
        latest = self._lifetimes.current
        if latest is None:
            return None
        cold_s = self._queue.cold_limiter.remaining_s(self._loop.time())
        return frames.UpstreamRow(
            latest.upstream_id,
            latest.born, latest.service, latest.slots, self._usable,
            round(cold_s, 1), self._announcements.leaving or latest.draining,
            self._announcements.rate_limit)

    def load(self) -> frames.Load:
        """Returns the current load."""
        queue = self._queue
        return frames.Load(
            queue.running, queue.queued,
            max(1, round(queue.capacity(self._loop.time()))),
            round(self._load_feedback.capacity_ratio, 3),
            round(self._rejection_meter.fraction(self._loop.time()), 3))

    def set_address(self, address: settings.Address) -> None:
        """Sets where the upstream listens."""
        self._pool.close_idle(self._address)
        self._address = address

    # Check-ins.

    def check_in(self, check_in: lifetimes.CheckIn) -> bool:
        """Applies a check-in.

        Returns:
            Whether what it says is in force, or was overtaken by what its
            lifetime has said before.
        """
        verdict = self._lifetimes.apply(self._loop.time(), check_in)
        if verdict is lifetimes.Verdict.OVERTAKEN:
            return True
        if verdict is lifetimes.Verdict.UNCERTAIN:
            log.event("upstream:check_in_uncertain",
                      upstream=check_in.upstream_id,
                      born=check_in.born,
                      sequence=check_in.sequence)
            return False
        if verdict is lifetimes.Verdict.STARTED:
            self._start_lifetime(check_in)
        self._local_costs.service = check_in.service
        self._queue.slots = check_in.slots
        self._apply_warm_up(check_in)
        if check_in.draining:
            self.on_departure(check_in.lifetime)
        self._update_usable("check_in")
        return True

    def _update_usable(self, reason: str) -> None:
        usable = self._accepts_requests()
        if usable and not self._usable and self._probe_task is not None:
            # The probe decides when the upstream accepts connections again.
            return
        self._set_usable(usable, reason)

    def learn_departures(self, departed: list[departures.Lifetime]) -> None:
        """Takes over departures that earlier processes of this node heard of.

        Until this has been called, the upstream gets no requests, as its
        check-ins may have been sent before it departed.

        Args:
            departed: The departures that have been recorded.
        """
        self._departures_known = True
        for lifetime in departed:
            self._lifetimes.depart(lifetime)
        self._update_usable("departures_known")

    def _start_lifetime(self, check_in: lifetimes.CheckIn) -> None:
        log.event("upstream:seen",
                  upstream=check_in.upstream_id,
                  born=check_in.born,
                  service=check_in.service,
                  slots=check_in.slots)
        if self._probe_task is not None:
            self._probe_task.cancel()
            self._probe_task = None
        self._queue.cold_limiter.start_lifetime()
        self._announcements.start_lifetime(self._loop.time(),
                                           check_in.upstream_id, check_in.born)
        self._pool.close_idle(self._address)

    def _apply_warm_up(self, check_in: lifetimes.CheckIn) -> None:
        """Applies the warm-up time that a check-in reports."""
        now = self._loop.time()
        before_s = self._queue.cold_limiter.remaining_s(now)
        self._queue.cold_limiter.set_cold(now, check_in.cold_s)
        if check_in.cold_s > 0.0 and not before_s:
            self._log_warm_up("check_in")

    def _assume_cold(self, reason: str) -> None:
        """Paces an upstream that has said nothing since it came back."""
        self._queue.cold_limiter.assume_cold(self._loop.time())
        self._log_warm_up(reason)

    def _log_warm_up(self, reason: str) -> None:
        now = self._loop.time()
        cold_s = self._queue.cold_limiter.remaining_s(now)
        if not cold_s:
            return
        latest = self._lifetimes.current
        log.event("upstream:warm_up",
                  upstream="" if latest is None else latest.upstream_id,
                  why=reason,
                  cold_s=round(cold_s, 2),
                  rate=self._queue.cold_limiter.rate(now))

    def limit_cold_start(self, limit: cold_start.ColdStartLimit) -> None:
        """Sets what the upstream takes while it is cold."""
        self._queue.cold_limiter.configure(self._loop.time(), limit)

    def set_evacuated(self, evacuated: bool) -> None:
        """Stops new requests to the upstream, or permits them again."""
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        if not evacuated:
            # Caches of the upstream may have been lost meanwhile.
            self._assume_cold("evacuation_ended")
        if self._lifetimes.current is None:
            return
        if evacuated:
            self._set_usable(False, "evacuated")
        else:
            self._update_usable("evacuation_ended")

    def _accepts_requests(self) -> bool:
        """Returns whether the upstream takes requests if it listens."""
        latest = self._lifetimes.current
        return (self._departures_known and latest is not None and
                not latest.draining and not self._announcements.leaving and
                not self._evacuated)

    def recall(self, row: frames.UpstreamRow) -> None:
        """Takes over what an earlier process of this node has published."""
        is_current = self._lifetimes.is_current((row.upstream_id, row.born))
        if self._announcements.recall(self._loop.time(), row, is_current):
            self._publish_announcements()
        if row.leaving and self._lifetimes.depart((row.upstream_id, row.born)):
            self._update_usable("recalled")

    def _publish_announcements(self) -> None:
        latest = self._lifetimes.current
        if self._announcements.leaving and latest is not None:
            self.on_departure(latest.lifetime)
        if self._announcements.leaving and self._usable:
            self._set_usable(False, "leaving")
            return
        self.on_change()

    def deregister(self, upstream_id: str,
                   born: int | None) -> departures.Lifetime | None:
        """Ends a lifetime, which receives no new requests from then on.

        Args:
            upstream_id: Identifier of the upstream.
            born: Its start time as in its check-ins; None for the lifetime that
                has checked in last.

        Returns:
            The lifetime that has ended, or None if the upstream has not checked
            in under this identifier.
        """
        log.event("upstream:deregistered", upstream=upstream_id, born=born)
        current = self._lifetimes.current
        if current is None or current.upstream_id != upstream_id:
            if born is None:
                self._lifetimes.depart_unheard(upstream_id,
                                               time.time_ns() // 1_000_000)
            else:
                self._lifetimes.depart((upstream_id, born))
            return None
        lifetime = (upstream_id, current.born if born is None else born)
        if self._lifetimes.depart(lifetime):
            self._set_usable(False, "left")
        self.on_departure(lifetime)
        return lifetime

    def _set_usable(self, usable: bool, reason: str) -> None:
        if self._usable == usable:
            return
        self._usable = usable
        latest = self._lifetimes.current
        log.event("upstream:usable" if usable else "upstream:unusable",
                  upstream="" if latest is None else latest.upstream_id,
                  why=reason,
                  running=self._queue.running,
                  queued=self._queue.queued)
        if not usable:
            for ticket in self._queue.pop_all():
                _resolve(ticket, False)
        self.on_change()

    def _mark_down(self) -> None:
        """Marks the upstream unusable until a probe connects to it."""
        self._set_usable(False, "down")
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.ensure_future(self._probe_until_up())

    async def _probe_until_up(self) -> None:
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_S)
            if await self._pool.probe(self._address):
                break
        self._probe_task = None
        self._assume_cold("listens")
        if self._accepts_requests():
            self._set_usable(True, "listens")

    # Requests.

    async def run(self, upstream_request: UpstreamRequest) -> messages.Response:
        """Runs a request as soon as a slot is free.

        Raises:
            errors.CallError: The request was refused, or its response was lost.
        """
        call = upstream_request.call
        latest = self._lifetimes.current
        if (latest is None or not self._usable or
                latest.service != call.service):
            raise errors.CallError(
                errors.Kind.NO_UPSTREAM,
                f"no usable upstream of {call.service} on this node")
        if self._crash_table.is_blocked(self._loop.time(), call.fingerprint):
            raise errors.CallError(errors.Kind.CRASH_SUSPECTED)
        arrived_at = self._loop.time()
        await self._admit(upstream_request)
        started_at = self._loop.time()
        self._local_costs.record_start(call.route)
        response: messages.Response | None = None
        try:
            response = await self._exchange(upstream_request)
        finally:
            if response is None or response.rest is None:
                self._release(started_at)
            self._record_completion(upstream_request, latest, response,
                                    arrived_at, started_at)
        if response.rest is not None:
            late_content.limit(response, upstream_request.deadline,
                               _MAX_LATE_CONTENT_S)
            response.on_done = lambda complete: self._release(started_at)
        return response

    def _record_completion(self, upstream_request: UpstreamRequest,
                           check_in: lifetimes.CheckIn,
                           response: messages.Response | None,
                           arrived_at: float, started_at: float) -> None:
        """Records metrics, cost and log of a request that was sent."""
        call = upstream_request.call
        now = self._loop.time()
        held_s = now - started_at
        self._local_costs.record_end(now, call.route, held_s)
        labels = (call.service, str(call.rank))
        self._metrics.queue_delay.labels(*labels).observe(started_at -
                                                          arrived_at)
        self._metrics.call_seconds.labels(*labels).observe(held_s)
        log.event("upstream:ran",
                  request=call.request_id,
                  upstream=check_in.upstream_id,
                  born=check_in.born,
                  waited_s=round(started_at - arrived_at, 4),
                  held_s=round(held_s, 4),
                  status=0 if response is None else response.status,
                  running=self._queue.running,
                  queued=self._queue.queued)

    async def _admit(self, upstream_request: UpstreamRequest) -> None:
        now = self._loop.time()
        remaining_s = upstream_request.deadline - now
        if remaining_s < _MIN_REMAINING_S:
            raise errors.CallError(errors.Kind.EXPIRED)
        rank = parents.queue_rank(upstream_request.call.rank)
        hold_s = self._local_costs.hold_s(upstream_request.call.route,
                                          self._queue.hold_s)
        self._load_feedback.record_arrival(hold_s)
        wait_until = now + admission_queue.AdmissionQueue.max_wait_s(
            rank < 0, remaining_s, upstream_request.call.objective_s)
        if self._drain is not None:
            start_by = self._drain.start_by(upstream_request.deadline, hold_s)
            if now > start_by:
                raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                       "this node is being stopped")
            wait_until = min(wait_until, start_by)
        ticket = admission_queue.Ticket(rank, wait_until, now,
                                        upstream_request.deadline, hold_s)
        try:
            verdict = self._queue.offer(now, ticket)
        except admission_queue.Refused as refused:
            self._load_feedback.record_refusal(hold_s)
            raise errors.CallError(errors.Kind.OVERLOADED,
                                   retry_after_s=refused.wait_s) from None
        if verdict == admission_queue.Verdict.RUN:
            return
        if upstream_request.withdrawn:
            self._queue.cancel(ticket)
            raise _withdrawal()
        waiter: asyncio.Future[bool] = self._loop.create_future()
        ticket.waiter = waiter
        upstream_request.on_withdraw = lambda: self._withdraw(ticket)
        if self._queue_timer is None:
            self._queue_timer = self._loop.call_later(_QUEUE_CHECK_INTERVAL_S,
                                                      self._check_queue)
        try:
            admitted = await waiter
        except asyncio.CancelledError:
            if (waiter.done() and not waiter.cancelled() and
                    waiter.exception() is None and waiter.result()):
                self._queue.return_slot()
                self.process_queue()
            self._queue.cancel(ticket)
            raise
        finally:
            upstream_request.on_withdraw = None
        if not admitted:
            raise errors.CallError(
                errors.Kind.OVERLOADED if self._usable and self._drain is None
                else errors.Kind.NO_UPSTREAM,
                # An empty queue does not mean that there is room.
                retry_after_s=max(
                    self._queue.hold_s,
                    self._queue.expected_wait_s(self._loop.time(), rank)))

    def _withdraw(self, ticket: admission_queue.Ticket) -> None:
        """Refuses a request unless a slot has been taken for it."""
        if not ticket.waiting:
            return
        self._queue.cancel(ticket)
        waiter = ticket.waiter
        assert isinstance(waiter, asyncio.Future)
        if not waiter.done():
            waiter.set_exception(_withdrawal())

    def _release(self, started_at: float) -> None:
        self._queue.release(self._loop.time() - started_at)
        self.process_queue()

    def _check_queue(self) -> None:
        """Processes the queue for as long as requests wait in it.

        Time alone lets some of them expire, and others run at a limited rate.
        """
        self._queue_timer = None
        self.process_queue()
        if self._queue.queued:
            self._queue_timer = self._loop.call_later(_QUEUE_CHECK_INTERVAL_S,
                                                      self._check_queue)

    def process_queue(self) -> None:
        """Refuses expired requests and admits others to free slots."""
        for ticket in self._queue.pop_expired(self._loop.time()):
            self._load_feedback.record_refusal(self._queue.hold_s)
            _resolve(ticket, False)
        if not self._usable:
            return
        for ticket in self._queue.admit_waiting(self._loop.time()):
            if not _resolve(ticket, True):
                self._queue.return_slot()

    def update_load_feedback(self, admitted_fraction: float) -> None:
        """Adjusts the load feedback to entries.

        Args:
            admitted_fraction: Fraction of the demand on the service that
                entries currently admit.
        """
        queue = self._queue
        now = self._loop.time()
        self._load_feedback.tick(now, queue.queued,
                                 queue.capacity(now) if self._usable else 0.0,
                                 admitted_fraction)

    def _headers(self, upstream_request: UpstreamRequest,
                 check_in: lifetimes.CheckIn) -> messages.Headers:
        remaining_ms = max(
            1, int((upstream_request.deadline - self._loop.time()) * 1000))
        return upstream_request.call.headers + [
            (self._names.deadline_ms, b"%d" % remaining_ms),
            (self._names.expected_upstream, check_in.upstream_id.encode())
        ]

    async def _exchange(self,
                        upstream_request: UpstreamRequest) -> messages.Response:
        call = upstream_request.call
        latest = self._lifetimes.current
        assert latest is not None
        self.in_flight[call.fingerprint] += 1
        self.running_requests.add(call.request_id, call.rank)
        try:
            async with asyncio.timeout_at(upstream_request.deadline +
                                          _RESPONSE_SLACK_S):
                response = await self._pool.exchange(
                    self._address,
                    call.method,
                    call.target,
                    self._headers(upstream_request, latest),
                    upstream_request.body,
                    expected_header=(self._names.request_id,
                                     call.request_id.encode()))
        except TimeoutError:
            raise errors.CallError(
                errors.Kind.DEADLINE_EXCEEDED,
                "the upstream did not answer in time") from None
        except client.RequestNotSent as error:
            self._mark_down()
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   str(error)) from None
        except client.ExchangeFailed as error:
            await self._handle_lost_response(str(error))
            raise errors.CallError(
                errors.Kind.UPSTREAM_FAILED if call.idempotent else
                errors.Kind.OUTCOME_UNKNOWN, str(error)) from None
        finally:
            self.running_requests.remove(call.request_id)
            self.in_flight[call.fingerprint] -= 1
            if self.in_flight[call.fingerprint] <= 0:
                del self.in_flight[call.fingerprint]
        self._crash_table.record_response(self._loop.time(), call.fingerprint)
        self._rejection_meter.record(
            self._loop.time(),
            messages.header(response.headers, self._names.not_run) is not None)
        if (self._lifetimes.is_current(latest.lifetime) and
                self._announcements.read(self._loop.time(), response.headers)):
            self._publish_announcements()
        return response

    async def _handle_lost_response(self, detail: str) -> None:
        """Distinguishes a crash of the upstream from a single lost response.

        After a crash the upstream accepts no connection, and all requests in
        flight are suspected of having caused it.
        """
        suspects = list(self.in_flight)
        if not self._usable or await self._pool.probe(self._address):
            return
        if not self._usable:
            # Another request has already recorded this crash.
            return
        self._mark_down()
        self._crash_count += 1
        crash_id = f"{self._address}:{self._incarnation}:{self._crash_count}"
        log.event("upstream:crashed", error=detail, in_flight=len(suspects))
        for fingerprint in suspects:
            self._crash_table.record_crash(self._loop.time(), fingerprint,
                                           crash_id)


def _ignore_change() -> None:
    """Default callback."""


def _ignore_departure(lifetime: departures.Lifetime) -> None:
    """Default of `LocalUpstream.on_departure`."""
    del lifetime


def _withdrawal() -> errors.CallError:
    return errors.CallError(errors.Kind.DRAINING,
                            "withdrawn by a node that is being stopped")


def _resolve(ticket: admission_queue.Ticket, admitted: bool) -> bool:
    waiter = ticket.waiter
    assert isinstance(waiter, asyncio.Future)
    if waiter.done():
        return False
    waiter.set_result(admitted)
    return True
