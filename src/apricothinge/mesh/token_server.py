"""Hands out the tokens of the organisations' rates, at the leader."""

from typing import Final

from apricothinge.mesh import tokens

__all__ = ["TokenServer"]

# Of what is free, this part is divided evenly: demand moves faster than
# reports of it.
_EVEN_FRACTION: Final = 0.4
# No node has more than this many even shares of a window in stock.
_MAX_NODE_SHARES: Final = 2.0
_MIN_NODE_LIMIT: Final = 2
# What a node that a new leader has not heard of goes on to spend, in even
# shares of a window: demand is divided nearly evenly.
_MISSING_NODE_SHARES: Final = 1.25
# Tokens of a window for each node from which on they are handed out ahead.
_MIN_PREFETCH_SHARE: Final = 6.0
# Known nodes attach to a new leader within this time.
_ATTACH_GRACE_S: Final = 0.6
# A node that has just started knows nothing of what its process before has
# spent; it is taken for this part of its even share, a busy day's use.
_RESTARTED_FRACTION: Final = 0.6


class _Allocation:
    """What the server knows of one node and one organisation.

    Attributes:
        outstanding: Tokens handed out and neither spent nor returned.
        recent_spends: Tokens spent and not given up yet.
        spent: As last reported.
        expired: As last reported.
        returned: As last reported.
        demand: Requests per second.
    """

    __slots__ = ("outstanding", "recent_spends", "spent", "expired", "returned",
                 "demand")

    def __init__(self, outstanding: int, recent: int) -> None:
        self.outstanding = outstanding
        self.recent_spends = recent
        self.spent = 0
        self.expired = 0
        self.returned = 0
        self.demand = 0.0

    @property
    def held(self) -> int:
        """Tokens that the node may have in the window, now or later."""
        return max(0, self.outstanding + self.recent_spends)


class _Node:
    """One node.

    Attributes:
        incarnation: Of its process.
        heard_at: Time in seconds of its last report.
        attached: Whether it can be given anything.
        allocation_by_name: By organisation.
    """

    __slots__ = ("incarnation", "heard_at", "attached", "allocation_by_name")

    def __init__(self, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.heard_at = now
        self.attached = True
        self.allocation_by_name: dict[str, _Allocation] = {}

    def allocation(self, name: str) -> _Allocation:
        """Returns what is known of an organisation."""
        found = self.allocation_by_name.get(name)
        if found is None:
            found = self.allocation_by_name[name] = _Allocation(0, 0)
        return found


class TokenServer:
    """Keeps the tokens spent within any window, and those handed out, bounded.

    A token is counted as its node's from the moment at which it is handed out
    until the node gives it up, a window after it was spent. No clock but the
    node's decides that, so the count is never too low, however late reports
    are. What a node that is gone may have spent counts for a window more.
    """

    __slots__ = ("_window_by_name", "_orphaned_by_name", "_node_by_instance",
                 "_expected_instances", "_started_at", "_restarted_instances")

    def __init__(self, now: float) -> None:
        """Starts with the leadership; `now` counts during suspension."""
        self._window_by_name: dict[str, float] = {}
        self._orphaned_by_name: dict[str, list[tuple[float, int]]] = {}
        self._node_by_instance: dict[str, _Node] = {}
        self._expected_instances: set[str] = set()
        self._restarted_instances: set[str] = set()
        self._started_at = now

    def set_windows(self, window_by_name: dict[str, float]) -> None:
        """Takes in the tokens of each organisation in a window."""
        self._window_by_name = window_by_name

    def attach(self, now: float, instance: str, incarnation: int,
               stock: dict[str, int], recent: dict[str, int],
               peers: list[str]) -> None:
        """Takes in a node.

        Args:
            now: Time in seconds.
            instance: Its name.
            incarnation: Of its process; one before has ended.
            stock: Tokens that it holds, by organisation.
            recent: Tokens that it has spent and not given up yet.
            peers: Nodes that it knows; they may hold tokens as well.
        """
        known = self._node_by_instance.get(instance)
        if known is not None and known.incarnation != incarnation:
            self._orphan_tokens(now, known)
        node = _Node(incarnation, now)
        self._node_by_instance[instance] = node
        for name in stock.keys() | recent.keys():
            node.allocation_by_name[name] = _Allocation(stock.get(name, 0),
                                                        recent.get(name, 0))
        if now - self._started_at < tokens.LEASE_S:
            self._expected_instances.update(peers)
            if known is None and not peers:
                self._restarted_instances.add(instance)

    def detach(self, now: float, instance: str, ended: bool) -> None:
        """Takes in that a node can not be given anything now.

        Args:
            now: Time in seconds.
            instance: Its name.
            ended: Whether its process was about to end.
        """
        node = self._node_by_instance.get(instance)
        if node is None:
            return
        node.attached = False
        if ended:
            self._orphan_tokens(now, node)
            del self._node_by_instance[instance]

    def _orphan_tokens(self, now: float, node: _Node) -> None:
        """Keeps what a process may have spent until it has left the window."""
        for name, allocation in node.allocation_by_name.items():
            if allocation.held:
                self._orphaned_by_name.setdefault(name, []).append(
                    (now + tokens.WINDOW_S, allocation.held))

    def report(self, now: float, instance: str,
               counts: dict[str, tuple[int, int, int, float]]) -> None:
        """Takes in what a node has done with tokens since it attached.

        Args:
            now: Time in seconds.
            instance: Its name.
            counts: As of `tokens.Stock.counts`.
        """
        node = self._node_by_instance.get(instance)
        if node is None:
            return
        node.heard_at = now
        for name, (spent, expired, returned, demand) in counts.items():
            allocation = node.allocation(name)
            newly_spent = spent - allocation.spent
            allocation.outstanding -= newly_spent + (returned -
                                                     allocation.returned)
            allocation.recent_spends += newly_spent - (expired -
                                                       allocation.expired)
            allocation.spent = spent
            allocation.expired = expired
            allocation.returned = returned
            allocation.demand = demand

    def expire(self, now: float) -> None:
        """Forgets nodes and processes that can not have spent lately."""
        for instance, node in list(self._node_by_instance.items()):
            if not node.attached and (now - node.heard_at
                                      > tokens.LEASE_S + tokens.WINDOW_S):
                del self._node_by_instance[instance]
        for name, orphaned in list(self._orphaned_by_name.items()):
            remaining = [row for row in orphaned if row[0] > now]
            if remaining:
                self._orphaned_by_name[name] = remaining
            else:
                del self._orphaned_by_name[name]

    def _missing_nodes(self, now: float) -> int:
        """Nodes that may hold tokens of the leader before."""
        if now - self._started_at > tokens.LEASE_S + tokens.WINDOW_S:
            return 0
        return len(self._expected_instances - set(self._node_by_instance))

    def _restart_reserve(self, now: float, window: float) -> float:
        """Tokens that processes before may have spent within the window."""
        age_s = now - self._started_at
        if age_s >= tokens.WINDOW_S:
            return 0.0
        part = len(self._restarted_instances) / max(1,
                                                    len(self._node_by_instance))
        return (window * _RESTARTED_FRACTION * part *
                (1.0 - age_s / tokens.WINDOW_S))

    def _node_limit(self, window: float) -> float:
        count = max(1, len(self._node_by_instance))
        return max(_MIN_NODE_LIMIT, _MAX_NODE_SHARES * window / count)

    def _missing_node_reserve(self, window: float) -> float:
        count = max(1,
                    len(self._expected_instances | set(self._node_by_instance)))
        return max(_MIN_NODE_LIMIT, _MISSING_NODE_SHARES * window / count)

    def _free(self, now: float, name: str, window: float) -> float:
        held = sum(node.allocation_by_name[name].held
                   for node in self._node_by_instance.values()
                   if name in node.allocation_by_name)
        orphaned = sum(
            count for _, count in self._orphaned_by_name.get(name, ()))
        reserved = (
            self._missing_nodes(now) * self._missing_node_reserve(window) +
            self._restart_reserve(now, window))
        return window - held - orphaned - reserved

    def is_ready(self, now: float) -> bool:
        """Whether nodes have had time to tell what they hold."""
        return now - self._started_at >= _ATTACH_GRACE_S

    def _prefetches(self, window: float) -> bool:
        # A few tokens for each of many nodes would mostly wait where nobody
        # asks for them, while others run out.
        return window >= _MIN_PREFETCH_SHARE * len(self._node_by_instance)

    def grant(self, now: float) -> dict[str, dict[str, int]]:
        """Decides who gets tokens now.

        Returns:
            Tokens by organisation, by node.
        """
        granted: dict[str, dict[str, int]] = {}
        if not self.is_ready(now):
            return granted
        nodes = {
            instance: node
            for instance, node in self._node_by_instance.items()
            if node.attached
        }
        if not nodes:
            return granted
        for name, window in self._window_by_name.items():
            if not self._prefetches(window):
                continue
            free = self._free(now, name, window)
            if free >= 1:
                self._distribute(name, free, window, nodes, granted)
        return granted

    def _distribute(self, name: str, free: float, window: float,
                    nodes: dict[str, _Node],
                    granted: dict[str, dict[str, int]]) -> None:
        held = sum(
            max(0,
                node.allocation(name).outstanding) for node in nodes.values())
        total = sum(node.allocation(name).demand for node in nodes.values())
        node_limit = self._node_limit(window)
        requests = []
        for instance, node in nodes.items():
            allocation = node.allocation(name)
            share = 1.0 / len(nodes)
            if total > 0:
                share = (_EVEN_FRACTION * share +
                         (1.0 - _EVEN_FRACTION) * allocation.demand / total)
            target = min(node_limit, max(1.0, (free + held) * share))
            shortfall = target - max(0, allocation.outstanding)
            # Small top-ups are not worth a message while some are at hand.
            if shortfall >= 1 and (allocation.outstanding < 1 or
                                   shortfall >= 0.3 * target):
                requests.append(
                    (allocation.outstanding, -allocation.demand, instance,
                     int(shortfall)))
        remaining = int(free)
        for _, _, instance, count in sorted(requests):
            given = min(count, remaining)
            if given < 1:
                break
            remaining -= given
            nodes[instance].allocation(name).outstanding += given
            granted.setdefault(instance, {})[name] = given

    def request(self, now: float, instance: str, name: str, count: int) -> int:
        """Decides on a node that has run out; returns the tokens it gets.

        Args:
            now: Time in seconds.
            instance: The node.
            name: The organisation.
            count: Tokens that it needs at once.
        """
        node = self._node_by_instance.get(instance)
        window = self._window_by_name.get(name)
        if node is None or window is None:
            return 0
        if not self.is_ready(now):
            return 0
        free = self._free(now, name, window)
        if free < 1:
            return 0
        prefetch = 0
        if self._prefetches(window):
            prefetch = min(int(free / 4), int(self._node_limit(window) / 2))
        given = min(int(free), max(1, count, prefetch))
        node.allocation(name).outstanding += given
        return given
