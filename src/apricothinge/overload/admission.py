"""Admission to one upstream instance: limit, queue, and shedding."""

import enum
from typing import Final

from apricothinge import lists
from apricothinge.overload import fair_queue
from apricothinge.overload import limit

__all__ = ["Admission", "Verdict"]

_LONGEST_WAIT_S: Final = {
    lists.Importance.CRITICAL: 0.5,
    lists.Importance.NORMAL: 0.1,
    lists.Importance.BACKGROUND: 0.05,
}
_LONGEST_NESTED_WAIT_S: Final = 0.5
_DEADLINE_PART: Final = 0.25
_NESTED_DEADLINE_PART: Final = 0.5
_SMALLEST_QUEUE: Final = 4
_LEVEL_WINDOW_S: Final = 0.1
_RATE_GAIN: Final = 0.3
_LEVEL_GAIN: Final = 0.4
_LEVEL_LIFE_S: Final = 2.0


class Verdict(enum.Enum):
    """What became of a call that asked for admission."""

    RUN = "run"
    WAIT = "wait"
    SHED = "shed"
    EXPIRED = "expired"


class _Level:
    """How much of one organisation's load at one importance is admitted.

    Attributes:
        offered: Calls that asked in this window.
        shed: Calls that were shed in this window.
        admitted_part: Smoothed part that was admitted, 0 to 1.
        seen_at: Time in seconds of the last call.
    """

    __slots__ = ("offered", "shed", "admitted_part", "seen_at")

    def __init__(self, now: float) -> None:
        self.offered = 0
        self.shed = 0
        self.admitted_part = 1.0
        self.seen_at = now


class Admission:
    """Decides which calls an upstream instance runs, and when.

    Attributes:
        in_flight: Calls that hold a place.
        queue_delay_s: Time in seconds that the last admitted call waited.
    """

    __slots__ = ("limit", "in_flight", "queue_delay_s", "_queue", "_levels",
                 "_window_at", "_finished", "_rate_per_s")

    def __init__(self, concurrency: limit.ConcurrencyLimit, now: float) -> None:
        self.limit = concurrency
        self.in_flight = 0
        self.queue_delay_s = 0.0
        self._queue = fair_queue.FairQueue()
        self._levels: dict[tuple[str, lists.Importance], _Level] = {}
        self._window_at = now
        self._finished = 0
        self._rate_per_s = 0.0

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    def has_room(self) -> bool:
        """Tells whether at most half of the places are taken."""
        return not self.queued and 2 * self.in_flight < self.limit.value

    def admitted_part(self, organisation_id: str,
                      importance: lists.Importance) -> float:
        """The part of such calls that has lately been admitted, 0 to 1."""
        level = self._levels.get((organisation_id, importance))
        return 1.0 if level is None else level.admitted_part

    def ticket(self, now: float, organisation_id: str,
               importance: lists.Importance, weight: float, nested: bool,
               deadline: float) -> fair_queue.Ticket:
        """Makes the ticket of a call; times in seconds."""
        left_s = deadline - now
        patience = min(_LONGEST_WAIT_S[importance], left_s * _DEADLINE_PART)
        if nested:
            # Work was done for it above, which shedding it would waste.
            patience = min(_LONGEST_NESTED_WAIT_S,
                           left_s * _NESTED_DEADLINE_PART)
        return fair_queue.Ticket(organisation_id, importance, weight, nested,
                                 now, now + max(0.0, patience), deadline <= now)

    def offer(
            self, now: float, ticket: fair_queue.Ticket
    ) -> tuple[Verdict, fair_queue.Ticket | None]:
        """Takes in a call.

        Returns:
            The verdict on this call, and another call that has to leave the
            queue to make room for it, which counts as shed.
        """
        self._roll(now)
        if ticket.deadline_passed:
            return Verdict.EXPIRED, None
        level = self._level(now, ticket)
        level.offered += 1
        if self.in_flight < self.limit.value and not self.queued:
            self._start(now, ticket)
            return Verdict.RUN, None
        if self._predicted_wait_s(ticket) > ticket.queue_deadline - now:
            level.shed += 1
            return Verdict.SHED, None
        self._queue.push(ticket)
        if len(self._queue) <= self._longest_queue(ticket):
            return Verdict.WAIT, None
        victim = self._queue.evict()
        assert victim is not None
        self._level(now, victim).shed += 1
        if victim is ticket:
            return Verdict.SHED, None
        return Verdict.WAIT, victim

    def _level(self, now: float, ticket: fair_queue.Ticket) -> _Level:
        key = (ticket.organisation_id, ticket.importance)
        level = self._levels.get(key)
        if level is None:
            level = self._levels[key] = _Level(now)
        level.seen_at = now
        return level

    def _predicted_wait_s(self, ticket: fair_queue.Ticket) -> float:
        # Inside its class a light organisation overtakes a heavy one, so only
        # the more important classes are sure to be served before it.
        if not self._rate_per_s:
            return 0.0
        return self._queue.count_ahead(ticket) / self._rate_per_s

    def _longest_queue(self, ticket: fair_queue.Ticket) -> int:
        wait_s = (_LONGEST_NESTED_WAIT_S if ticket.nested else
                  _LONGEST_WAIT_S[lists.Importance.NORMAL])
        return max(_SMALLEST_QUEUE, int(self._rate_per_s * wait_s),
                   self.limit.value // 4)

    def _start(self, now: float, ticket: fair_queue.Ticket) -> None:
        self.in_flight += 1
        self.queue_delay_s = now - ticket.arrived_at

    def withdraw(self, ticket: fair_queue.Ticket) -> None:
        """Takes out a waiting call whose caller is gone."""
        if ticket.waiting:
            self._queue.remove(ticket)

    def finish(self, now: float) -> None:
        """Frees the place of a call that has ended."""
        del now
        self.in_flight -= 1
        self._finished += 1

    def ready(self, now: float) -> list[fair_queue.Ticket]:
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
        self._roll(now)
        expired = self._queue.remove_overdue(now)
        for ticket in expired:
            self._level(now, ticket).shed += 1
        return expired

    def _roll(self, now: float) -> None:
        """Closes the window of counters when it is over."""
        age = now - self._window_at
        if age < _LEVEL_WINDOW_S:
            return
        rate = self._finished / age
        # After a quiet time the old rate says nothing.
        gain = 1.0 if age > 10 * _LEVEL_WINDOW_S else _RATE_GAIN
        self._rate_per_s += gain * (rate - self._rate_per_s)
        self._finished = 0
        self._window_at = now
        for key, level in list(self._levels.items()):
            if level.offered or level.shed:
                part = 1.0 - min(1.0, level.shed / max(1, level.offered))
                level.admitted_part += _LEVEL_GAIN * (part -
                                                      level.admitted_part)
                level.offered = 0
                level.shed = 0
            elif now - level.seen_at > _LEVEL_LIFE_S:
                del self._levels[key]
