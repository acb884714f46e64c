"""The upstream beside a node: its lifetime, its queue, its requests."""

import asyncio
import collections
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge import metrics
from apricothinge import settings
from apricothinge.link import frames
from apricothinge.mesh import costs
from apricothinge.mesh import names
from apricothinge.mesh import admission_queue
from apricothinge.overload import crashes
from apricothinge.overload import load_feedback
from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["CheckIn", "LocalUpstream", "Work"]

_PROBE_S: Final = 0.25
_SMALLEST_LEFT_S: Final = 0.01
# An upstream's own clean-up answers shortly after the deadline that it got.
_ANSWER_SLACK_S: Final = 0.05


class CheckIn:
    """What an upstream says of itself.

    Attributes:
        upstream_id: Its name.
        born: Its start in milliseconds of its own time of day.
        sequence: Grows with each check-in of a lifetime.
        service: Which service it is.
        slots: Requests that it runs at once.
        draining: Whether it takes no new work.
        cold_s: Seconds for which it is still slow.
    """

    __slots__ = ("upstream_id", "born", "sequence", "service", "slots",
                 "draining", "cold_s")

    def __init__(self, upstream_id: str, born: int, sequence: int, service: str,
                 slots: int, draining: bool, cold_s: float) -> None:
        self.upstream_id = upstream_id
        self.born = born
        self.sequence = sequence
        self.service = service
        self.slots = slots
        self.draining = draining
        self.cold_s = cold_s


class Work:
    """One request for the upstream.

    Attributes:
        call: What is asked, as it comes from the node at the entry.
        body: Its content.
        deadline: Loop time in seconds.
    """

    __slots__ = ("call", "body", "deadline")

    def __init__(self, call: frames.Call, body: messages.Body,
                 deadline: float) -> None:
        self.call = call
        self.body = body
        self.deadline = deadline


class LocalUpstream:
    """Runs requests on the upstream of this machine.

    Attributes:
        changed: Called when what others should know has changed.
        in_flight: Fingerprints that run now, with how often.
    """

    __slots__ = ("changed", "in_flight", "_address", "_names", "_pool", "_loop",
                 "_queue", "_known", "_usable", "_gone_ids", "_probing",
                 "_crashes", "_metrics", "_cold_until", "_incarnation",
                 "_losses", "_costs", "_pressure")

    def __init__(self, address: settings.Address,
                 header_names: names.HeaderNames, pool: client.ConnectionPool,
                 table: crashes.CrashTable, counts: metrics.NodeMetrics,
                 local_costs: costs.LocalCosts, incarnation: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._names = header_names
        self._pool = pool
        self._crashes = table
        self._metrics = counts
        self._costs = local_costs
        self._queue = admission_queue.AdmissionQueue()
        self._pressure = load_feedback.LoadFeedback(self._loop.time())
        self._known: CheckIn | None = None
        self._usable = False
        self._gone_ids: collections.deque[str] = collections.deque(maxlen=64)
        self._probing: asyncio.Task[None] | None = None
        self._cold_until = 0.0
        self._incarnation = incarnation
        self._losses = 0
        self.changed = _nothing
        self.in_flight: collections.Counter[str] = collections.Counter()

    @property
    def service(self) -> str:
        """The service that it has announced, empty before."""
        return "" if self._known is None else self._known.service

    def row(self) -> frames.UpstreamRow | None:
        """What other nodes are told of it."""
        known = self._known
        if known is None:
            return None
        cold_s = max(0.0, self._cold_until - self._loop.time())
        return frames.UpstreamRow(known.upstream_id, known.born, known.service,
                                  known.slots, self._usable, round(cold_s, 1))

    def load(self) -> frames.Load:
        """How full it is."""
        queue = self._queue
        return frames.Load(queue.running, queue.queued, queue.limit,
                           round(self._pressure.capacity_ratio, 3))

    # Check-ins.

    def check_in(self, told: CheckIn) -> None:
        """Takes in a check-in; a late one of a former lifetime is ignored."""
        known = self._known
        if told.upstream_id in self._gone_ids and (known is None or
                                                   told.born <= known.born):
            return
        if known is not None:
            if told.born < known.born:
                return
            same = (told.born == known.born and
                    told.upstream_id == known.upstream_id)
            if same and told.sequence <= known.sequence:
                return
            if not same:
                self._new_lifetime(told)
        else:
            self._new_lifetime(told)
        self._known = told
        self._costs.service = told.service
        self._queue.slots = told.slots
        self._cold_until = self._loop.time() + told.cold_s
        usable = not told.draining
        if usable and not self._usable and self._probing is not None:
            # A probe decides when it listens again.
            return
        self._set_usable(usable, "check_in")

    def _new_lifetime(self, told: CheckIn) -> None:
        log.event("upstream:seen",
                  upstream=told.upstream_id,
                  born=told.born,
                  service=told.service,
                  slots=told.slots)
        if self._probing is not None:
            self._probing.cancel()
            self._probing = None
        self._pool.close_idle(self._address)

    def leave(self, upstream_id: str, born: int | None) -> None:
        """Takes in that a lifetime ends: it gets no new work."""
        known = self._known
        self._gone_ids.append(upstream_id)
        if known is None or known.upstream_id != upstream_id:
            return
        if born is not None and born < known.born:
            return
        known.draining = True
        self._set_usable(False, "left")

    def _set_usable(self, usable: bool, why: str) -> None:
        if self._usable == usable:
            return
        self._usable = usable
        known = self._known
        log.event("upstream:usable" if usable else "upstream:unusable",
                  upstream="" if known is None else known.upstream_id,
                  why=why,
                  running=self._queue.running,
                  queued=self._queue.queued)
        if not usable:
            for ticket in self._queue.pop_all():
                _wake(ticket, False)
        self.changed()

    def _down(self) -> None:
        """Nothing listens: finds out when something does again."""
        self._set_usable(False, "down")
        if self._probing is None or self._probing.done():
            self._probing = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        while True:
            await asyncio.sleep(_PROBE_S)
            if await self._pool.probe(self._address):
                break
        self._probing = None
        if self._known is not None and not self._known.draining:
            self._set_usable(True, "listens")

    # Requests.

    async def run(self, work: Work) -> messages.Response:
        """Runs a request once there is room.

        Raises:
            errors.CallError: It did not fit, or the answer was lost.
        """
        call = work.call
        known = self._known
        if known is None or not self._usable or known.service != call.service:
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   f"no {call.service} here takes work")
        if self._crashes.is_blocked(self._loop.time(), call.fingerprint):
            raise errors.CallError(errors.Kind.CRASH_SUSPECTED)
        arrived_at = self._loop.time()
        await self._admit(work)
        started_at = self._loop.time()
        self._costs.started(call.route)
        answer: messages.Response | None = None
        try:
            answer = await self._exchange(work)
        finally:
            if answer is None or answer.rest is None:
                self._release(started_at)
            self._note(work, known, answer, arrived_at, started_at)
        if answer.rest is not None:
            answer.on_done = lambda whole: self._release(started_at)
        return answer

    def _note(self, work: Work, known: CheckIn,
              answer: messages.Response | None, arrived_at: float,
              started_at: float) -> None:
        """Counts and logs what became of a request that was sent."""
        call = work.call
        now = self._loop.time()
        held_s = now - started_at
        self._costs.ended(now, call.route, held_s)
        labels = (call.service, str(call.rank))
        self._metrics.queue_delay.labels(*labels).observe(started_at -
                                                          arrived_at)
        self._metrics.call_seconds.labels(*labels).observe(held_s)
        log.event("upstream:ran",
                  request=call.request_id,
                  upstream=known.upstream_id,
                  born=known.born,
                  waited_s=round(started_at - arrived_at, 4),
                  held_s=round(held_s, 4),
                  status=0 if answer is None else answer.status,
                  running=self._queue.running,
                  queued=self._queue.queued)

    async def _admit(self, work: Work) -> None:
        now = self._loop.time()
        left_s = work.deadline - now
        if left_s < _SMALLEST_LEFT_S:
            raise errors.CallError(errors.Kind.EXPIRED)
        rank = work.call.rank
        hold_s = self._costs.hold_s(work.call.route, self._queue.hold_s)
        self._pressure.record_arrival(hold_s)
        ticket = admission_queue.Ticket(
            rank, now + admission_queue.AdmissionQueue.max_wait_s(
                rank < 0, left_s, work.call.objective_s), now)
        try:
            verdict = self._queue.offer(now, ticket)
        except admission_queue.Refused as refused:
            self._pressure.record_refusal(hold_s)
            raise errors.CallError(errors.Kind.OVERLOADED,
                                   retry_after_s=refused.wait_s) from None
        if verdict == admission_queue.Verdict.RUN:
            return
        turn: asyncio.Future[bool] = self._loop.create_future()
        ticket.waiter = turn
        try:
            admitted = await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled() and turn.result():
                self._release(self._loop.time())
            self._queue.cancel(ticket)
            raise
        if not admitted:
            raise errors.CallError(
                errors.Kind.OVERLOADED
                if self._usable else errors.Kind.NO_UPSTREAM,
                retry_after_s=self._queue.expected_wait_s(rank))

    def _release(self, started_at: float) -> None:
        self._queue.release(self._loop.time() - started_at)
        self.advance()

    def advance(self) -> None:
        """Refuses what waited for too long and starts what has room."""
        for ticket in self._queue.pop_expired(self._loop.time()):
            self._pressure.record_refusal(self._queue.hold_s)
            _wake(ticket, False)
        if not self._usable:
            return
        for ticket in self._queue.admit_waiting():
            if not _wake(ticket, True):
                self._queue.running -= 1

    def measure(self, let_in: float) -> None:
        """Adapts to the load what entries are asked to let in.

        Args:
            let_in: Part of the demand on its service that they let in now.
        """
        queue = self._queue
        self._pressure.tick(self._loop.time(), queue.queued,
                            queue.limit if self._usable else 0, let_in)

    def _headers(self, work: Work, known: CheckIn) -> messages.Headers:
        left_ms = max(1, int((work.deadline - self._loop.time()) * 1000))
        return work.call.headers + [
            (self._names.deadline_ms, b"%d" % left_ms),
            (self._names.expected_upstream, known.upstream_id.encode())
        ]

    async def _exchange(self, work: Work) -> messages.Response:
        call = work.call
        known = self._known
        assert known is not None
        self.in_flight[call.fingerprint] += 1
        try:
            async with asyncio.timeout_at(work.deadline + _ANSWER_SLACK_S):
                answer = await self._pool.exchange(
                    self._address,
                    call.method,
                    call.target,
                    self._headers(work, known),
                    work.body,
                    expected_header=(self._names.request_id,
                                     call.request_id.encode()))
        except TimeoutError:
            raise errors.CallError(errors.Kind.DEADLINE_EXCEEDED,
                                   "the upstream was silent") from None
        except client.RequestNotSent as error:
            self._down()
            raise errors.CallError(errors.Kind.NO_UPSTREAM,
                                   str(error)) from None
        except client.ExchangeFailed as error:
            await self._note_loss(str(error))
            raise errors.CallError(
                errors.Kind.UPSTREAM_FAILED if call.idempotent else
                errors.Kind.OUTCOME_UNKNOWN, str(error)) from None
        finally:
            self.in_flight[call.fingerprint] -= 1
            if self.in_flight[call.fingerprint] <= 0:
                del self.in_flight[call.fingerprint]
        self._crashes.record_response(self._loop.time(), call.fingerprint)
        return answer

    async def _note_loss(self, detail: str) -> None:
        """Tells a crash of the upstream from the loss of one answer."""
        suspects = list(self.in_flight)
        if not self._usable or await self._pool.probe(self._address):
            return
        if not self._usable:
            # Another request of the same crash was here first.
            return
        self._down()
        self._losses += 1
        crash_id = f"{self._address}:{self._incarnation}:{self._losses}"
        log.event("upstream:crashed", error=detail, in_flight=len(suspects))
        for name in suspects:
            self._crashes.record_crash(self._loop.time(), name, crash_id)


def _nothing() -> None:
    """Stands in until somebody wants to know."""


def _wake(ticket: admission_queue.Ticket, admitted: bool) -> bool:
    turn = ticket.waiter
    assert isinstance(turn, asyncio.Future)
    if turn.done():
        return False
    turn.set_result(admitted)
    return True
