"""Admission to one upstream instance: limit, queue, and shedding."""

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
    """What became of a call that asked for admission."""

    RUN = "run"
    WAIT = "wait"
    SHED = "shed"
    EXPIRED = "expired"


class _AdmissionStats:
    """How much of one organisation's load at one importance is admitted.

    Attributes:
        offered: Calls that asked in this window.
        shed: Calls that were shed in this window.
        admitted_fraction: Smoothed part that was admitted, 0 to 1.
        last_seen_at: Time in seconds of the last call.
    """

    __slots__ = ("offered", "shed", "admitted_fraction", "last_seen_at")

    def __init__(self, now: float) -> None:
        self.offered = 0
        self.shed = 0
        self.admitted_fraction = 1.0
        self.last_seen_at = now


class AdmissionController:
    """Decides which calls an upstream instance runs, and when.

    Attributes:
        in_flight: Calls that hold a place.
        queue_delay_s: Time in seconds that the last admitted call waited.
    """

    __slots__ = ("limit", "in_flight", "queue_delay_s", "_queue",
                 "_stats_by_class", "_window_started_at", "_completed",
                 "_completions_per_s")

    def __init__(self, concurrency: limit.ConcurrencyLimit, now: float) -> None:
        self.limit = concurrency
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
        """Calls that wait."""
        return len(self._queue)

    def has_spare_capacity(self) -> bool:
        """Tells whether at most half of the places are taken."""
        return not self.queued and 2 * self.in_flight < self.limit.value

    def admitted_fraction(self, organisation_id: str,
                          importance: lists.Importance) -> float:
        """The part of such calls that has lately been admitted, 0 to 1."""
        stats = self._stats_by_class.get((organisation_id, importance))
        return 1.0 if stats is None else stats.admitted_fraction

    def create_ticket(self, now: float, organisation_id: str,
                      importance: lists.Importance, weight: float, nested: bool,
                      deadline: float) -> fair_queue.Ticket:
        """Makes the ticket of a call; times in seconds."""
        remaining_s = deadline - now
        max_wait_s = min(_MAX_WAIT_S[importance],
                         remaining_s * _DEADLINE_FRACTION)
        if nested:
            # Work was done for it above, which shedding it would waste.
            max_wait_s = min(_MAX_NESTED_WAIT_S,
                             remaining_s * _NESTED_DEADLINE_FRACTION)
        return fair_queue.Ticket(organisation_id, importance, weight, nested,
                                 now, now + max(0.0, max_wait_s), deadline
                                 <= now)

    def offer(
            self, now: float, ticket: fair_queue.Ticket
    ) -> tuple[Verdict, fair_queue.Ticket | None]:
        """Takes in a call.

        Returns:
            The verdict on this call, and another call that has to leave the
            queue to make room for it, which counts as shed.
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
        # Inside its class a light organisation overtakes a heavy one, so only
        # the more important classes are sure to be served before it.
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
        """Takes out a waiting call whose caller is gone."""
        if ticket.waiting:
            self._queue.remove(ticket)

    def finish(self, now: float) -> None:
        """Frees the place of a call that has ended."""
        del now
        self.in_flight -= 1
        self._completed += 1

    def start_waiting(self, now: float) -> list[fair_queue.Ticket]:
        """Starts as many waiting calls as there are free places."""
        started = []
        while self.in_flight < self.limit.value:
            ticket = self._queue.pop()
            if ticket is None:
                break
            self._start(now, ticket)
            started.append(ticket)
        return started

    def tick(self, now: float) -> list[fair_queue.Ticket]:
        """Returns the calls that have waited too long and are shed."""
        self._roll_window(now)
        overdue = self._queue.remove_overdue(now)
        for ticket in overdue:
            self._get_stats(now, ticket).shed += 1
        return overdue

    def _roll_window(self, now: float) -> None:
        """Closes the window of counters when it is over."""
        age = now - self._window_started_at
        if age < _WINDOW_S:
            return
        rate = self._completed / age
        # After a quiet time the old rate says nothing.
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
