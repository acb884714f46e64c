"""A short queue: by importance, then a fair share for each organisation."""

import collections
from typing import Final

from apricothinge import lists

__all__ = ["FairQueue", "Ticket"]

_CLASS_COUNT: Final = 2 * len(lists.Importance)


class Ticket:
    """One call that waits for, or holds, a place at an upstream.

    Attributes:
        organisation_id: Whose call it is.
        importance: How late it is shed.
        weight: Share of the organisation inside its importance.
        nested: Whether work for its request has been done already.
        arrived_at: Time in seconds of its arrival.
        queue_deadline: Time in seconds at which it is given up unrun.
        deadline_passed: Whether `queue_deadline` is the call's own deadline.
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
        """Position of its class: important first, then begun work first."""
        return 2 * self.importance + (0 if self.nested else 1)


class _Flow:
    """Waiting calls of one organisation in one class.

    Attributes:
        tickets: First in, first out.
        virtual_finish: Virtual time at which its last served call ends.
    """

    __slots__ = ("tickets", "virtual_finish")

    def __init__(self) -> None:
        self.tickets: collections.deque[Ticket] = collections.deque()
        self.virtual_finish = 0.0


class _PriorityClass:
    """Start-time fair queueing over the organisations of one class.

    Attributes:
        flow_by_organisation: Flows with waiting calls, or with a debt.
        size: Waiting calls.
    """

    __slots__ = ("flow_by_organisation", "size", "_virtual_time")

    def __init__(self) -> None:
        self.flow_by_organisation: dict[str, _Flow] = {}
        self.size = 0
        self._virtual_time = 0.0

    def push(self, ticket: Ticket) -> None:
        """Adds a call at the end of its flow."""
        flow = self.flow_by_organisation.get(ticket.organisation_id)
        if flow is None:
            flow = self.flow_by_organisation[ticket.organisation_id] = _Flow()
        if not flow.tickets:
            flow.virtual_finish = max(flow.virtual_finish, self._virtual_time)
        flow.tickets.append(ticket)
        self.size += 1

    def pop(self) -> Ticket:
        """Takes the first call of the flow that is owed most."""
        flow = min((f for f in self.flow_by_organisation.values() if f.tickets),
                   key=lambda f: f.virtual_finish + 1.0 / f.tickets[0].weight)
        ticket = flow.tickets.popleft()
        self._virtual_time = max(self._virtual_time, flow.virtual_finish)
        flow.virtual_finish += 1.0 / ticket.weight
        self.size -= 1
        if not self.size:
            # Nobody waits, so nobody is owed anything.
            self.flow_by_organisation.clear()
            self._virtual_time = 0.0
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Takes out a call."""
        self.flow_by_organisation[ticket.organisation_id].tickets.remove(ticket)
        self.size -= 1

    def find_eviction_candidate(self) -> Ticket:
        """Finds the latest call of the longest flow for its weight."""
        flow = max((f for f in self.flow_by_organisation.values() if f.tickets),
                   key=lambda f: len(f.tickets) / f.tickets[0].weight)
        return flow.tickets[-1]


class FairQueue:
    """Waiting calls of one upstream instance."""

    __slots__ = ("_classes",)

    def __init__(self) -> None:
        self._classes = [_PriorityClass() for _ in range(_CLASS_COUNT)]

    def __len__(self) -> int:
        return sum(queue_class.size for queue_class in self._classes)

    def count_ahead(self, ticket: Ticket) -> int:
        """Counts the waiting calls of classes that are served before."""
        return sum(queue_class.size
                   for queue_class in self._classes[:ticket.priority_class])

    def push(self, ticket: Ticket) -> None:
        """Adds a call at the end of its organisation's flow."""
        ticket.waiting = True
        self._classes[ticket.priority_class].push(ticket)

    def pop(self) -> Ticket | None:
        """Takes the call that is served next, or None."""
        for queue_class in self._classes:
            if queue_class.size:
                ticket = queue_class.pop()
                ticket.waiting = False
                return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Takes out a call that no longer waits."""
        ticket.waiting = False
        self._classes[ticket.priority_class].remove(ticket)

    def evict(self) -> Ticket | None:
        """Takes out the call that is shed first.

        It is the latest of the organisation with the longest queue for its
        weight, in the least important class that has any.
        """
        for queue_class in reversed(self._classes):
            if queue_class.size:
                ticket = queue_class.find_eviction_candidate()
                self.remove(ticket)
                return ticket
        return None

    def remove_overdue(self, now: float) -> list[Ticket]:
        """Takes out and returns the calls whose time to leave has come."""
        overdue = [
            ticket for queue_class in self._classes if queue_class.size
            for flow in queue_class.flow_by_organisation.values()
            for ticket in flow.tickets if ticket.queue_deadline <= now
        ]
        for ticket in overdue:
            self.remove(ticket)
        return overdue
