"""How requests wait for the upstream beside a node.

Answers the load at which more requests arrive than an upstream has slots:
what is sent beyond them would wait where it can neither be refused nor moved,
and would be lost without an answer once the upstream's own queue is full.
"""

import heapq
import math
from typing import Final

__all__ = ["AdmissionQueue", "Ticket", "Verdict", "Refused"]

# Some upstreams slow down in the last twentieth of their slots.
_MAX_SLOT_FRACTION: Final = 0.94
# A request that waits for longer than this part of its latency objective
# would mostly miss it by the time that it runs.
_OBJECTIVE_WAIT_FRACTION: Final = 0.3
_NESTED_WAIT_FRACTION: Final = 0.7
_ENTRY_WAIT_FRACTION: Final = 0.3
_HOLD_TIME_GAIN: Final = 0.05
_INITIAL_HOLD_S: Final = 0.1


class Refused(Exception):
    """A request does not fit.

    Attributes:
        wait_s: Seconds after which room is expected.
    """

    def __init__(self, wait_s: float) -> None:
        super().__init__(f"no room for {wait_s:.3f} s")
        self.wait_s = wait_s


class Verdict:
    """What becomes of an offered request."""

    RUN: Final = 0
    WAIT: Final = 1


class Ticket:
    """A place in the queue.

    Attributes:
        rank: Importance, the smallest first.
        wait_until: Time in seconds until which it waits.
        arrived_at: Time in seconds.
        waiting: Whether it is still queued.
        waiter: Whatever the caller wakes when its turn has come.
    """

    __slots__ = ("rank", "wait_until", "arrived_at", "waiting", "waiter")

    def __init__(self, rank: int, wait_until: float, arrived_at: float) -> None:
        self.rank = rank
        self.wait_until = wait_until
        self.arrived_at = arrived_at
        self.waiting = False
        self.waiter: object = None


class AdmissionQueue:
    """Decides what runs now, what waits, and what is refused.

    Attributes:
        slots: Requests that the upstream runs at once.
        running: Requests that it runs now.
    """

    __slots__ = ("slots", "running", "_heap", "_sequence", "_hold_s",
                 "_waiting_by_rank")

    def __init__(self) -> None:
        self.slots = 0
        self.running = 0
        self._heap: list[tuple[int, int, Ticket]] = []
        self._sequence = 0
        self._hold_s = _INITIAL_HOLD_S
        self._waiting_by_rank: dict[int, int] = {}

    @property
    def hold_s(self) -> float:
        """Smoothed time in seconds for which a slot is held."""
        return self._hold_s

    @property
    def limit(self) -> int:
        """Requests that are sent to the upstream at once."""
        return max(1, math.floor(self.slots * _MAX_SLOT_FRACTION))

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return sum(self._waiting_by_rank.values())

    def expected_wait_s(self, rank: int) -> float:
        """Time in seconds until a request of a rank would run."""
        ahead = sum(count for found, count in self._waiting_by_rank.items()
                    if found <= rank)
        if self.running < self.limit and not ahead:
            return 0.0
        return (ahead + 1) * self._hold_s / self.limit

    @staticmethod
    def max_wait_s(nested: bool, left_s: float, objective_s: float) -> float:
        """The longest useful wait in seconds.

        Args:
            nested: Whether an upstream waits for the answer.
            left_s: Time to the deadline.
            objective_s: Latency objective of the route.
        """
        if nested:
            # Its parent's work is lost with it.
            return left_s * _NESTED_WAIT_FRACTION
        return min(left_s * _ENTRY_WAIT_FRACTION,
                   objective_s * _OBJECTIVE_WAIT_FRACTION)

    def offer(self, now: float, ticket: Ticket) -> int:
        """Takes in a request.

        Returns:
            RUN, or WAIT where its owner is woken later.

        Raises:
            Refused: It would wait for longer than is useful.
        """
        if self.running < self.limit and not self._waiting_by_rank:
            self.running += 1
            return Verdict.RUN
        wait_s = self.expected_wait_s(ticket.rank)
        if now + wait_s > ticket.wait_until:
            raise Refused(wait_s)
        ticket.waiting = True
        self._sequence += 1
        heapq.heappush(self._heap, (ticket.rank, self._sequence, ticket))
        count = self._waiting_by_rank.get(ticket.rank, 0)
        self._waiting_by_rank[ticket.rank] = count + 1
        return Verdict.WAIT

    def _dequeue(self, ticket: Ticket) -> None:
        ticket.waiting = False
        count = self._waiting_by_rank[ticket.rank] - 1
        if count:
            self._waiting_by_rank[ticket.rank] = count
        else:
            del self._waiting_by_rank[ticket.rank]

    def cancel(self, ticket: Ticket) -> None:
        """Takes out a request whose caller is gone."""
        if ticket.waiting:
            self._dequeue(ticket)

    def release(self, held_s: float) -> None:
        """Frees a slot that was held for some seconds."""
        self.running -= 1
        self._hold_s += _HOLD_TIME_GAIN * (held_s - self._hold_s)

    def admit_waiting(self) -> list[Ticket]:
        """Starts as many waiting requests as there are free slots."""
        started = []
        while self._heap and self.running < self.limit:
            _, _, ticket = heapq.heappop(self._heap)
            if not ticket.waiting:
                continue
            self._dequeue(ticket)
            self.running += 1
            started.append(ticket)
        return started

    def pop_expired(self, now: float) -> list[Ticket]:
        """Takes out the requests that have waited for too long."""
        late = [
            ticket for _, _, ticket in self._heap
            if ticket.waiting and ticket.wait_until < now
        ]
        for ticket in late:
            self._dequeue(ticket)
        if late:
            self._heap = [row for row in self._heap if row[2].waiting]
            heapq.heapify(self._heap)
        return late

    def pop_all(self) -> list[Ticket]:
        """Takes out all waiting requests."""
        waiting = [ticket for _, _, ticket in self._heap if ticket.waiting]
        self._heap = []
        self._waiting_by_rank = {}
        for ticket in waiting:
            ticket.waiting = False
        return waiting
