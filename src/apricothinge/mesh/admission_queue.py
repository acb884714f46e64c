"""The queue of requests for the local upstream of a node.

A request that is sent to an upstream without a free slot waits in the
upstream's own queue, where the node can neither refuse it nor send it
elsewhere, and gets no response once that queue is full. The node therefore
queues the requests that exceed the slots itself, and those that exceed the rate
that the upstream names or takes while it is cold.
"""

import heapq
import math
from typing import Final

from apricothinge.overload import cold_start
from apricothinge.overload import upstream_rate

__all__ = ["AdmissionQueue", "Refused", "Ticket", "Verdict"]

# Some upstreams slow down when more than 95% of their slots are in use.
_MAX_SLOT_FRACTION: Final = 0.94
# A request that waits longer than this fraction of its latency objective
# usually misses the objective even if it runs.
_OBJECTIVE_WAIT_FRACTION: Final = 0.3
_NESTED_WAIT_FRACTION: Final = 0.7
_ENTRY_WAIT_FRACTION: Final = 0.3
_HOLD_TIME_GAIN: Final = 0.05
_INITIAL_HOLD_S: Final = 0.1


class Refused(Exception):
    """The expected wait of a request is longer than is useful.

    Attributes:
        wait_s: Expected seconds until a slot is free.
    """

    def __init__(self, wait_s: float) -> None:
        super().__init__(f"no free slot for {wait_s:.3f} s")
        self.wait_s = wait_s


class Verdict:
    """Result of offering a request to the queue."""

    RUN: Final = 0
    WAIT: Final = 1


class Ticket:
    """A request's entry in the queue.

    Attributes:
        rank: Importance; lower ranks run first.
        wait_until: Time in seconds after which it expires.
        arrived_at: Arrival time in seconds.
        deadline: Time in seconds at which the request ends in any case.
        hold_s: Seconds for which it is expected to hold a slot.
        waiting: Whether it is still queued.
        waiter: Set and used by the caller, which wakes it when the ticket is
            admitted or removed; opaque to the queue.
    """

    __slots__ = ("rank", "wait_until", "arrived_at", "deadline", "hold_s",
                 "waiting", "waiter")

    def __init__(self,
                 rank: int,
                 wait_until: float,
                 arrived_at: float,
                 deadline: float = math.inf,
                 hold_s: float = 0.0) -> None:
        self.deadline = deadline
        self.hold_s = hold_s
        self.rank = rank
        self.wait_until = wait_until
        self.arrived_at = arrived_at
        self.waiting = False
        self.waiter: object = None


class AdmissionQueue:
    """Priority queue that admits, queues or refuses requests.

    Attributes:
        slots: Maximum number of requests that the upstream runs concurrently.
        running: Number of requests that the upstream runs now.
        rate_limiter: Limits requests to the rate that the upstream names.
        cold_limiter: Limits requests while the upstream is cold.
    """

    __slots__ = ("slots", "running", "rate_limiter", "cold_limiter", "_heap",
                 "_sequence", "_hold_s", "_waiting_by_rank")

    def __init__(self, now: float = 0.0) -> None:
        """Creates an empty queue; `now` is the time in seconds."""
        self.slots = 0
        self.running = 0
        self.rate_limiter = upstream_rate.UpstreamRateLimiter()
        self.cold_limiter = cold_start.ColdStartLimiter(now)
        self._heap: list[tuple[int, int, Ticket]] = []
        self._sequence = 0
        self._hold_s = _INITIAL_HOLD_S
        self._waiting_by_rank: dict[int, int] = {}

    @property
    def hold_s(self) -> float:
        """Moving average of the time in seconds that a request holds a slot."""
        return self._hold_s

    @property
    def limit(self) -> int:
        """Maximum number of requests sent to the upstream concurrently."""
        return max(1, math.floor(self.slots * _MAX_SLOT_FRACTION))

    def capacity(self, now: float) -> float:
        """Returns the number of requests that run concurrently at full load.

        At a limited rate it follows from Little's law.
        """
        capacity = float(self.limit)
        for rate in (self.rate_limiter.rate, self.cold_limiter.rate(now)):
            if rate:
                capacity = min(capacity, rate * self._hold_s)
        return capacity

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return sum(self._waiting_by_rank.values())

    def expected_wait_s(self, now: float, rank: int) -> float:
        """Estimates the wait in seconds of a new request with a given rank."""
        ahead = sum(count for found, count in self._waiting_by_rank.items()
                    if found <= rank)
        rate_wait_s = max(self.rate_limiter.wait_s(ahead),
                          self.cold_limiter.wait_s(now, ahead))
        if self.running < self.limit and not ahead:
            return rate_wait_s
        return max(rate_wait_s, (ahead + 1) * self._hold_s / self.limit)

    @staticmethod
    def max_wait_s(nested: bool, remaining_s: float,
                   objective_s: float) -> float:
        """Returns the longest useful wait in seconds.

        Args:
            nested: Whether the request was made by an upstream.
            remaining_s: Seconds until the deadline.
            objective_s: Latency objective of the route in seconds.
        """
        if nested:
            # Refusing it would also waste the work of the request that made it.
            return remaining_s * _NESTED_WAIT_FRACTION
        return min(remaining_s * _ENTRY_WAIT_FRACTION,
                   objective_s * _OBJECTIVE_WAIT_FRACTION)

    def offer(self, now: float, ticket: Ticket) -> int:
        """Admits or queues a request.

        Returns:
            Verdict.RUN if a slot was taken for it, Verdict.WAIT if it was
            queued.

        Raises:
            Refused: The expected wait is longer than the ticket's.
        """
        if (self.running < self.limit and not self._waiting_by_rank and
                self._try_start(now)):
            return Verdict.RUN
        wait_s = self.expected_wait_s(now, ticket.rank)
        if now + wait_s > ticket.wait_until:
            raise Refused(wait_s)
        ticket.waiting = True
        self._sequence += 1
        heapq.heappush(self._heap, (ticket.rank, self._sequence, ticket))
        count = self._waiting_by_rank.get(ticket.rank, 0)
        self._waiting_by_rank[ticket.rank] = count + 1
        return Verdict.WAIT

    def _try_start(self, now: float) -> bool:
        """Takes a slot for a request if the limits of the rate permit it."""
        if (not self.cold_limiter.has_token(now) or
                not self.rate_limiter.try_take(now)):
            return False
        self.cold_limiter.take(now)
        self.running += 1
        return True

    def _dequeue(self, ticket: Ticket) -> None:
        ticket.waiting = False
        count = self._waiting_by_rank[ticket.rank] - 1
        if count:
            self._waiting_by_rank[ticket.rank] = count
        else:
            del self._waiting_by_rank[ticket.rank]

    def cancel(self, ticket: Ticket) -> None:
        """Removes a ticket whose caller has gone away, if it still waits."""
        if ticket.waiting:
            self._dequeue(ticket)

    def release(self, held_s: float) -> None:
        """Frees a slot and updates the average hold time."""
        self.running -= 1
        self._hold_s += _HOLD_TIME_GAIN * (held_s - self._hold_s)

    def return_slot(self) -> None:
        """Frees the slot of a ticket that was admitted and did not run."""
        self.running -= 1
        self.rate_limiter.give_back()
        self.cold_limiter.give_back()

    def admit_waiting(self, now: float) -> list[Ticket]:
        """Takes free slots for waiting tickets and returns those tickets."""
        started = []
        while self._heap and self.running < self.limit:
            _, _, ticket = self._heap[0]
            if ticket.waiting and not self._try_start(now):
                break
            heapq.heappop(self._heap)
            if not ticket.waiting:
                continue
            self._dequeue(ticket)
            started.append(ticket)
        return started

    def waiting(self) -> list[Ticket]:
        """Returns the waiting tickets."""
        return [ticket for _, _, ticket in self._heap if ticket.waiting]

    def pop_expired(self, now: float) -> list[Ticket]:
        """Removes and returns the tickets whose wait has expired."""
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
        """Removes and returns all waiting tickets."""
        waiting = self.waiting()
        self._heap = []
        self._waiting_by_rank = {}
        for ticket in waiting:
            ticket.waiting = False
        return waiting
