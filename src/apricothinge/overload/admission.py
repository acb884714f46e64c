"""Admission control for one upstream instance: limit, queue and shedding."""

import enum
from typing import Final

from apricothinge import lists
from apricothinge.overload import fair_queue
from apricothinge.overload import limit

__all__ = ["AdmissionController", "Verdict"]

_MAX_WAIT_S: Final = {
    lists.Importance.CRITICAL: 0.5,
    lists.Importance.NORMAL: 0.1,
    lists.Importance.BACKGROUND: 0.05,
}
_MAX_NESTED_WAIT_S: Final = 0.5
_DEADLINE_FRACTION: Final = 0.25
_NESTED_DEADLINE_FRACTION: Final = 0.5
_MIN_QUEUE_CAPACITY: Final = 4
_WINDOW_S: Final = 0.1
_RATE_GAIN: Final = 0.3
_ADMITTED_FRACTION_GAIN: Final = 0.4
_STATS_TTL_S: Final = 2.0


class Verdict(enum.Enum):
    """Outcome of offering a call for admission."""

    RUN = "run"
    WAIT = "wait"
    SHED = "shed"
    EXPIRED = "expired"


class _AdmissionStats:
    """Admission statistics of one organisation at one importance.

    Attributes:
        offered: Calls offered in the current window.
        shed: Calls shed in the current window.
        admitted_fraction: Smoothed fraction of calls admitted, 0 to 1.
        last_seen_at: Time of the last call, in seconds.
    """

    __slots__ = ("offered", "shed", "admitted_fraction", "last_seen_at")

    def __init__(self, now: float) -> None:
        self.offered = 0
        self.shed = 0
        self.admitted_fraction = 1.0
        self.last_seen_at = now


class AdmissionController:
    """Decides which calls an upstream instance runs and when.

    Attributes:
        limit: Concurrency limit of the instance.
        in_flight: Calls that are running.
        queue_delay_s: Queueing delay of the last admitted call, in seconds.
    """

    __slots__ = ("limit", "in_flight", "queue_delay_s", "_queue",
                 "_stats_by_class", "_window_started_at", "_completed",
                 "_completions_per_s")

    def __init__(self, concurrency_limit: limit.ConcurrencyLimit,
                 now: float) -> None:
        self.limit = concurrency_limit
        self.in_flight = 0
        self.queue_delay_s = 0.0
        self._queue = fair_queue.FairQueue()
        self._stats_by_class: dict[tuple[str, lists.Importance],
                                   _AdmissionStats] = {}
        self._window_started_at = now
        self._completed = 0
        self._completions_per_s = 0.0

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    def has_spare_capacity(self) -> bool:
        """Returns whether the queue is empty and usage below half the limit."""
        return not self.queued and 2 * self.in_flight < self.limit.value

    def admitted_fraction(self, organisation_id: str,
                          importance: lists.Importance) -> float:
        """Returns the recently admitted fraction of such calls, 0 to 1."""
        stats = self._stats_by_class.get((organisation_id, importance))
        return 1.0 if stats is None else stats.admitted_fraction

    def create_ticket(self, now: float, organisation_id: str,
                      importance: lists.Importance, weight: float, nested: bool,
                      deadline: float) -> fair_queue.Ticket:
        """Creates the ticket of a call; times are in seconds."""
        remaining_s = deadline - now
        max_wait_s = min(_MAX_WAIT_S[importance],
                         remaining_s * _DEADLINE_FRACTION)
        if nested:
            # Shedding a nested call wastes the work its callers have done.
            max_wait_s = min(_MAX_NESTED_WAIT_S,
                             remaining_s * _NESTED_DEADLINE_FRACTION)
        return fair_queue.Ticket(organisation_id, importance, weight, nested,
                                 now, now + max(0.0, max_wait_s), deadline
                                 <= now)

    def offer(
            self, now: float, ticket: fair_queue.Ticket
    ) -> tuple[Verdict, fair_queue.Ticket | None]:
        """Runs, queues or rejects a call.

        Returns:
            The verdict on this call, and the queued call that was evicted to
            make room for it, which counts as shed, or None.
        """
        self._roll_window(now)
        if ticket.deadline_passed:
            return Verdict.EXPIRED, None
        stats = self._get_stats(now, ticket)
        stats.offered += 1
        if self.in_flight < self.limit.value and not self.queued:
            self._start(now, ticket)
            return Verdict.RUN, None
        if self._predicted_wait_s(ticket) > ticket.queue_deadline - now:
            stats.shed += 1
            return Verdict.SHED, None
        self._queue.push(ticket)
        if len(self._queue) <= self._queue_capacity(ticket):
            return Verdict.WAIT, None
        victim = self._queue.evict()
        assert victim is not None
        self._get_stats(now, victim).shed += 1
        if victim is ticket:
            return Verdict.SHED, None
        return Verdict.WAIT, victim

    def _get_stats(self, now: float,
                   ticket: fair_queue.Ticket) -> _AdmissionStats:
        key = (ticket.organisation_id, ticket.importance)
        stats = self._stats_by_class.get(key)
        if stats is None:
            stats = self._stats_by_class[key] = _AdmissionStats(now)
        stats.last_seen_at = now
        return stats

    def _predicted_wait_s(self, ticket: fair_queue.Ticket) -> float:
        # Within a class, fair queueing lets a light organisation overtake a
        # heavy one, so only calls of higher classes are certain to run first.
        if not self._completions_per_s:
            return 0.0
        return self._queue.count_ahead(ticket) / self._completions_per_s

    def _queue_capacity(self, ticket: fair_queue.Ticket) -> int:
        wait_s = (_MAX_NESTED_WAIT_S
                  if ticket.nested else _MAX_WAIT_S[lists.Importance.NORMAL])
        return max(_MIN_QUEUE_CAPACITY, int(self._completions_per_s * wait_s),
                   self.limit.value // 4)

    def _start(self, now: float, ticket: fair_queue.Ticket) -> None:
        self.in_flight += 1
        self.queue_delay_s = now - ticket.arrived_at

    def cancel(self, ticket: fair_queue.Ticket) -> None:
        """Removes a queued call whose caller has disconnected."""
        if ticket.waiting:
            self._queue.remove(ticket)

    def finish(self, now: float) -> None:
        """Releases the slot of a call that has ended."""
        del now
        self.in_flight -= 1
        self._completed += 1

    def start_waiting(self, now: float) -> list[fair_queue.Ticket]:
        """Starts queued calls while the limit allows and returns them."""
        started = []
        while self.in_flight < self.limit.value:
            ticket = self._queue.pop()
            if ticket is None:
                break
            self._start(now, ticket)
            started.append(ticket)
        return started

    def tick(self, now: float) -> list[fair_queue.Ticket]:
        """Sheds and returns the calls past their queue deadline."""
        self._roll_window(now)
        overdue = self._queue.remove_overdue(now)
        for ticket in overdue:
            self._get_stats(now, ticket).shed += 1
        return overdue

    def _roll_window(self, now: float) -> None:
        """Updates the smoothed rates if the current window has ended."""
        age = now - self._window_started_at
        if age < _WINDOW_S:
            return
        rate = self._completed / age
        # After an idle period the old rate is no longer representative.
        gain = 1.0 if age > 10 * _WINDOW_S else _RATE_GAIN
        self._completions_per_s += gain * (rate - self._completions_per_s)
        self._completed = 0
        self._window_started_at = now
        for key, stats in list(self._stats_by_class.items()):
            if stats.offered or stats.shed:
                admitted = 1.0 - min(1.0, stats.shed / max(1, stats.offered))
                stats.admitted_fraction += _ADMITTED_FRACTION_GAIN * (
                    admitted - stats.admitted_fraction)
                stats.offered = 0
                stats.shed = 0
            elif now - stats.last_seen_at > _STATS_TTL_S:
                del self._stats_by_class[key]
