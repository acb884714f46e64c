"""Queue ordered by importance, with fair queueing between organisations."""

import collections
from typing import Final

from apricothinge import lists

__all__ = ["FairQueue", "Ticket"]

_CLASS_COUNT: Final = 2 * len(lists.Importance)


class Ticket:
    """A call that is queued for, or running on, an upstream.

    Attributes:
        organisation_id: Organisation that made the call.
        importance: Importance of the call; the least important is shed first.
        weight: Fair-queueing weight of the organisation.
        nested: Whether the call is part of a request already in progress.
        arrived_at: Arrival time in seconds.
        queue_deadline: Time in seconds at which it is shed if still queued.
        deadline_passed: Whether the deadline of the call had passed on arrival.
        waiting: Whether the call is in a queue.
    """

    __slots__ = ("organisation_id", "importance", "weight", "nested",
                 "arrived_at", "queue_deadline", "deadline_passed", "waiting")

    def __init__(self, organisation_id: str, importance: lists.Importance,
                 weight: float, nested: bool, arrived_at: float,
                 queue_deadline: float, deadline_passed: bool) -> None:
        self.organisation_id = organisation_id
        self.importance = importance
        self.weight = weight
        self.nested = nested
        self.arrived_at = arrived_at
        self.queue_deadline = queue_deadline
        self.deadline_passed = deadline_passed
        self.waiting = False

    @property
    def priority_class(self) -> int:
        """Class index: by importance, then nested calls before others."""
        return 2 * self.importance + (0 if self.nested else 1)


class _Flow:
    """Queued calls of one organisation in one priority class.

    Attributes:
        tickets: Queued calls in order of arrival.
        virtual_finish: Virtual finish time of the last call served.
    """

    __slots__ = ("tickets", "virtual_finish")

    def __init__(self) -> None:
        self.tickets: collections.deque[Ticket] = collections.deque()
        self.virtual_finish = 0.0


class _PriorityClass:
    """Start-time fair queueing between the organisations of one class.

    Attributes:
        flow_by_organisation: Flows that have queued calls or were served since
            the class was last empty.
        size: Number of queued calls.
    """

    __slots__ = ("flow_by_organisation", "size", "_virtual_time")

    def __init__(self) -> None:
        self.flow_by_organisation: dict[str, _Flow] = {}
        self.size = 0
        self._virtual_time = 0.0

    def push(self, ticket: Ticket) -> None:
        """Appends a call to its flow."""
        flow = self.flow_by_organisation.get(ticket.organisation_id)
        if flow is None:
            flow = self.flow_by_organisation[ticket.organisation_id] = _Flow()
        if not flow.tickets:
            flow.virtual_finish = max(flow.virtual_finish, self._virtual_time)
        flow.tickets.append(ticket)
        self.size += 1

    def pop(self) -> Ticket:
        """Removes the first call in order of virtual finish time."""
        flow = min((f for f in self.flow_by_organisation.values() if f.tickets),
                   key=lambda f: f.virtual_finish + 1.0 / f.tickets[0].weight)
        ticket = flow.tickets.popleft()
        self._virtual_time = max(self._virtual_time, flow.virtual_finish)
        flow.virtual_finish += 1.0 / ticket.weight
        self.size -= 1
        if not self.size:
            # Service history does not carry over to the next busy period.
            self.flow_by_organisation.clear()
            self._virtual_time = 0.0
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Removes a call from its flow."""
        self.flow_by_organisation[ticket.organisation_id].tickets.remove(ticket)
        self.size -= 1

    def find_eviction_candidate(self) -> Ticket:
        """Returns the newest call of the longest flow relative to weight."""
        flow = max((f for f in self.flow_by_organisation.values() if f.tickets),
                   key=lambda f: len(f.tickets) / f.tickets[0].weight)
        return flow.tickets[-1]


class FairQueue:
    """Queued calls of one upstream instance."""

    __slots__ = ("_classes",)

    def __init__(self) -> None:
        self._classes = [_PriorityClass() for _ in range(_CLASS_COUNT)]

    def __len__(self) -> int:
        return sum(queue_class.size for queue_class in self._classes)

    def count_ahead(self, ticket: Ticket) -> int:
        """Counts the queued calls in higher priority classes."""
        return sum(queue_class.size
                   for queue_class in self._classes[:ticket.priority_class])

    def push(self, ticket: Ticket) -> None:
        """Queues a call."""
        ticket.waiting = True
        self._classes[ticket.priority_class].push(ticket)

    def pop(self) -> Ticket | None:
        """Removes and returns the next call to run, or None."""
        for queue_class in self._classes:
            if queue_class.size:
                ticket = queue_class.pop()
                ticket.waiting = False
                return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Removes a queued call."""
        ticket.waiting = False
        self._classes[ticket.priority_class].remove(ticket)

    def evict(self) -> Ticket | None:
        """Removes and returns the call to shed first, or None.

        It is the newest call of the organisation with the longest flow relative
        to its weight, in the lowest non-empty priority class.
        """
        for queue_class in reversed(self._classes):
            if queue_class.size:
                ticket = queue_class.find_eviction_candidate()
                self.remove(ticket)
                return ticket
        return None

    def remove_overdue(self, now: float) -> list[Ticket]:
        """Removes and returns the calls past their queue deadline."""
        overdue = [
            ticket for queue_class in self._classes if queue_class.size
            for flow in queue_class.flow_by_organisation.values()
            for ticket in flow.tickets if ticket.queue_deadline <= now
        ]
        for ticket in overdue:
            self.remove(ticket)
        return overdue
