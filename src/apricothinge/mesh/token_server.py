"""Hands out the tokens of the organisations' rates, at the leader."""

import math
from typing import Final

from apricothinge.mesh import tokens

__all__ = ["TokenServer"]

# Of what is free, this part is divided evenly: demand moves faster than
# reports of it.
_EVEN_PART: Final = 0.4
# No node holds more than this many even shares of a window, which bounds what
# an unknown one may hold.
_LARGEST_SHARES: Final = 2.0
_SMALLEST_CAP: Final = 2
# Known nodes attach to a new leader within this time.
_GATHER_S: Final = 0.6
# A node that has just started knows nothing of what its process before has
# spent; it is taken for this part of its even share, a busy day's use.
_FORGOTTEN_PART: Final = 0.6


class _Holder:
    """What the server knows of one node and one organisation.

    Attributes:
        outstanding: Tokens handed out and neither spent nor returned.
        spent: As last reported.
        returned: As last reported.
        demand: Requests per second.
    """

    __slots__ = ("outstanding", "spent", "returned", "demand")

    def __init__(self, outstanding: int) -> None:
        self.outstanding = outstanding
        self.spent = 0
        self.returned = 0
        self.demand = 0.0


class _Node:
    """One node.

    Attributes:
        incarnation: Of its process.
        heard_at: Time in seconds of its last report.
        attached: Whether it can be given anything.
        holder_by_name: By organisation.
    """

    __slots__ = ("incarnation", "heard_at", "attached", "holder_by_name")

    def __init__(self, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.heard_at = now
        self.attached = True
        self.holder_by_name: dict[str, _Holder] = {}

    def holder(self, name: str) -> _Holder:
        """Returns what is known of an organisation."""
        found = self.holder_by_name.get(name)
        if found is None:
            found = self.holder_by_name[name] = _Holder(0)
        return found


class TokenServer:
    """Keeps the tokens spent within any window, and those handed out, bounded.

    A token is counted from the moment at which it is handed out until a window
    after its spending was reported. Reports come later than what they report,
    so the count is never too low.
    """

    __slots__ = ("_window_by_name", "_spent_by_name", "_node_by_instance",
                 "_expected", "_started_at", "_forgotten")

    def __init__(self, now: float) -> None:
        """Starts with the leadership; `now` counts during suspension."""
        self._window_by_name: dict[str, float] = {}
        self._spent_by_name: dict[str, dict[int, int]] = {}
        self._node_by_instance: dict[str, _Node] = {}
        self._expected: set[str] = set()
        self._forgotten: set[str] = set()
        self._started_at = now

    def set_windows(self, window_by_name: dict[str, float]) -> None:
        """Takes in the tokens of each organisation in a window."""
        self._window_by_name = window_by_name

    def attach(self, now: float, instance: str, incarnation: int,
               stock: dict[str, int], recent: dict[str, list[int]],
               peers: list[str]) -> None:
        """Takes in a node.

        Args:
            now: Time in seconds.
            instance: Its name.
            incarnation: Of its process; one before has ended.
            stock: Tokens that it holds, by organisation.
            recent: Tokens that it has spent in the last window, by age in
                slots of `tokens.SLOT_S`.
            peers: Nodes that it knows; they may hold tokens as well.
        """
        known = self._node_by_instance.get(instance)
        node = _Node(incarnation, now)
        self._node_by_instance[instance] = node
        for name, count in stock.items():
            node.holder_by_name[name] = _Holder(count)
        if known is None:
            for name, counts in recent.items():
                for age, count in enumerate(counts):
                    self._spend(now - age * tokens.SLOT_S, name, count)
        elif known.incarnation == incarnation:
            # Spent while it was not attached: what it held and holds no more.
            for name, holder in known.holder_by_name.items():
                gone = holder.outstanding - stock.get(name, 0)
                if gone > 0:
                    self._spend(now, name, gone)
        else:
            for name, holder in known.holder_by_name.items():
                self._spend(now, name, holder.outstanding)
        if now - self._started_at < tokens.LEASE_S:
            self._expected.update(peers)
            if known is None and not peers:
                self._forgotten.add(instance)

    def detached(self, instance: str) -> None:
        """Takes in that a node can not be given anything now."""
        node = self._node_by_instance.get(instance)
        if node is not None:
            node.attached = False

    def _spend(self, now: float, name: str, count: int) -> None:
        if count <= 0:
            return
        slots = self._spent_by_name.setdefault(name, {})
        slot = math.ceil(now / tokens.SLOT_S)
        slots[slot] = slots.get(slot, 0) + count

    def report(self, now: float, instance: str,
               counts: dict[str, tuple[int, int, float]]) -> None:
        """Takes in what a node has spent and returned since it attached."""
        node = self._node_by_instance.get(instance)
        if node is None:
            return
        node.heard_at = now
        for name, (spent, returned, demand) in counts.items():
            holder = node.holder(name)
            more = spent - holder.spent
            holder.outstanding -= more + (returned - holder.returned)
            holder.spent = spent
            holder.returned = returned
            holder.demand = demand
            if more > 0:
                self._spend(now, name, more)

    def expire(self, now: float) -> None:
        """Forgets nodes whose leases are over, and old spending."""
        for instance, node in list(self._node_by_instance.items()):
            if not node.attached and now - node.heard_at > tokens.LEASE_S:
                del self._node_by_instance[instance]
        oldest = math.floor((now - tokens.WINDOW_S) / tokens.SLOT_S)
        for slots in self._spent_by_name.values():
            for slot in [slot for slot in slots if slot < oldest]:
                del slots[slot]

    def _unknown(self, now: float) -> int:
        """Nodes that may hold tokens of the leader before."""
        if now - self._started_at > tokens.LEASE_S:
            return 0
        return len(self._expected - set(self._node_by_instance))

    def _unreported(self, now: float, window: float) -> float:
        """Tokens that processes before may have spent within the window."""
        age_s = now - self._started_at
        if age_s >= tokens.WINDOW_S:
            return 0.0
        part = len(self._forgotten) / max(1, len(self._node_by_instance))
        return (window * _FORGOTTEN_PART * part *
                (1.0 - age_s / tokens.WINDOW_S))

    def _cap(self, window: float) -> float:
        count = max(1, len(self._node_by_instance))
        return max(_SMALLEST_CAP, _LARGEST_SHARES * window / count)

    def _free(self, now: float, name: str, window: float) -> float:
        held = sum(
            max(0, node.holder_by_name[name].outstanding)
            for node in self._node_by_instance.values()
            if name in node.holder_by_name)
        reserved = (self._unknown(now) * self._cap(window) +
                    self._unreported(now, window))
        spent = sum(self._spent_by_name.get(name, {}).values())
        return window - spent - held - reserved

    def grant(self, now: float) -> dict[str, dict[str, int]]:
        """Decides who gets tokens now.

        Returns:
            Tokens by organisation, by node.
        """
        granted: dict[str, dict[str, int]] = {}
        if now - self._started_at < _GATHER_S:
            return granted
        nodes = {
            instance: node
            for instance, node in self._node_by_instance.items()
            if node.attached
        }
        if not nodes:
            return granted
        for name, window in self._window_by_name.items():
            free = self._free(now, name, window)
            if free >= 1:
                self._divide(name, free, window, nodes, granted)
        return granted

    def _divide(self, name: str, free: float, window: float,
                nodes: dict[str, _Node], granted: dict[str, dict[str,
                                                                 int]]) -> None:
        held = sum(
            max(0,
                node.holder(name).outstanding) for node in nodes.values())
        total = sum(node.holder(name).demand for node in nodes.values())
        cap = self._cap(window)
        wants = []
        for instance, node in nodes.items():
            holder = node.holder(name)
            share = 1.0 / len(nodes)
            if total > 0:
                share = (_EVEN_PART * share +
                         (1.0 - _EVEN_PART) * holder.demand / total)
            wanted = min(cap, max(1.0, (free + held) * share))
            lacks = wanted - max(0, holder.outstanding)
            # Small top-ups are not worth a message while some are at hand.
            if lacks >= 1 and (holder.outstanding < 1 or lacks >= 0.3 * wanted):
                wants.append(
                    (holder.outstanding, -holder.demand, instance, int(lacks)))
        left = int(free)
        for _, _, instance, count in sorted(wants):
            given = min(count, left)
            if given < 1:
                break
            left -= given
            nodes[instance].holder(name).outstanding += given
            granted.setdefault(instance, {})[name] = given

    def ask(self, now: float, instance: str, name: str) -> int:
        """Decides on a node that has run out; returns the tokens it gets."""
        node = self._node_by_instance.get(instance)
        window = self._window_by_name.get(name)
        if node is None or window is None:
            return 0
        if now - self._started_at < _GATHER_S:
            return 0
        free = self._free(now, name, window)
        if free < 1:
            return 0
        count = max(1, min(int(free / 4), int(self._cap(window) / 2)))
        node.holder(name).outstanding += count
        return count
