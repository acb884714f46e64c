"""Allocation of rate limit tokens to nodes, run by the leader of control."""

from typing import Final

from apricothinge.mesh import tokens
from apricothinge.rates import loans

__all__ = ["TokenServer"]

# Fraction of the free tokens that is divided evenly, because demand changes
# faster than it is reported.
_EVEN_FRACTION: Final = 0.4
# Maximum number of unspent tokens of a node, in even shares of a window.
_MAX_NODE_SHARES: Final = 2.0
_MIN_NODE_LIMIT: Final = 2
# Tokens reserved for a node that is not yet attached to a new leader and keeps
# spending, in even shares of a window: demand is spread nearly evenly.
_MISSING_NODE_SHARES: Final = 1.25
# Tokens are granted ahead of demand if a window has at least this many a node.
_MIN_PREFETCH_SHARE: Final = 6.0
# Tokens of a small rate that one node in each failure domain keeps for the
# others, as a fraction of a window in all.
_HOLDER_FRACTION: Final = 0.15
# Known nodes attach to a new leader within this time.
_ATTACH_GRACE_S: Final = 0.6
# A restarted node does not know what its previous process has spent. The server
# assumes this fraction of an even share, as under high load.
_RESTARTED_FRACTION: Final = 0.6


class _Allocation:
    """Tokens of one organisation that are allocated to one node.

    Attributes:
        outstanding: Tokens granted and neither spent nor returned.
        recent_spends: Tokens spent and not yet released.
        spent: Latest reported count of spent tokens.
        expired: Latest reported count of tokens released after the window.
        returned: Latest reported count of tokens released unspent.
        demand: Latest reported requests per second.
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
        """Tokens that the node has spent in the window or may still spend."""
        return max(0, self.outstanding + self.recent_spends)


class _Node:
    """A node and its allocations.

    Attributes:
        incarnation: Incarnation of its process.
        last_heard_at: Time in seconds of its latest report.
        failure_domain: Where it is.
        attached: Whether it is connected and can receive tokens.
        allocation_by_name: Allocations by organisation.
    """

    __slots__ = ("incarnation", "last_heard_at", "failure_domain", "attached",
                 "allocation_by_name")

    def __init__(self, incarnation: int, now: float,
                 failure_domain: str) -> None:
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.last_heard_at = now
        self.attached = True
        self.allocation_by_name: dict[str, _Allocation] = {}

    def allocation(self, name: str) -> _Allocation:
        """Returns the allocation of an organisation; creates it if missing."""
        found = self.allocation_by_name.get(name)
        if found is None:
            found = self.allocation_by_name[name] = _Allocation(0, 0)
        return found


class TokenServer:
    """Bounds the tokens that are spent or allocated within any window.

    A token counts as allocated to a node from its grant until the node releases
    it, one window after it was spent. Only the node's clock decides on that, so
    the count is never too low, however late reports arrive. Tokens that an
    ended process may have spent count for one more window.
    """

    __slots__ = ("_window_by_name", "_orphaned_by_name", "_node_by_instance",
                 "_expected_instances", "_started_at", "_restarted_instances",
                 "_changed_names", "_holders_by_name")

    def __init__(self, now: float) -> None:
        """Starts for a new term; `now` is from `runtime.boottime_s`."""
        self._window_by_name: dict[str, float] = {}
        self._orphaned_by_name: dict[str, list[tuple[float, int]]] = {}
        self._node_by_instance: dict[str, _Node] = {}
        self._expected_instances: set[str] = set()
        self._restarted_instances: set[str] = set()
        self._started_at = now
        # Organisations whose tokens may have to be distributed again.
        self._changed_names: set[str] = set()
        self._holders_by_name: dict[str, list[str]] = {}

    def set_windows(self, window_by_name: dict[str, float]) -> None:
        """Sets the tokens of each organisation in a window."""
        self._window_by_name = window_by_name
        self._mark_all_changed()

    def _mark_all_changed(self) -> None:
        self._changed_names.update(self._window_by_name)

    def attach(self,
               now: float,
               instance: str,
               incarnation: int,
               available: dict[str, int],
               recent_spends: dict[str, int],
               peers: list[str],
               failure_domain: str = "") -> None:
        """Registers a node that has attached.

        Args:
            now: Time in seconds.
            instance: Name of the node.
            incarnation: Incarnation of its process; earlier ones have ended.
            available: Unspent tokens of the node, by organisation.
            recent_spends: Spent tokens not yet released, by organisation.
            peers: Other nodes known to it, which may also hold tokens.
            failure_domain: Where it is.
        """
        self._holders_by_name.clear()
        known = self._node_by_instance.get(instance)
        if known is not None and known.incarnation != incarnation:
            self._orphan_tokens(now, known)
        node = _Node(incarnation, now, failure_domain)
        self._node_by_instance[instance] = node
        for name in available.keys() | recent_spends.keys():
            node.allocation_by_name[name] = _Allocation(
                available.get(name, 0), recent_spends.get(name, 0))
        self._mark_all_changed()
        if now - self._started_at < tokens.LEASE_S:
            self._expected_instances.update(peers)
            if known is None and not peers:
                self._restarted_instances.add(instance)

    def detach(self, now: float, instance: str, ended: bool) -> None:
        """Records that a node has disconnected.

        Args:
            now: Time in seconds.
            instance: Name of the node.
            ended: Whether its process was shutting down.
        """
        node = self._node_by_instance.get(instance)
        if node is None:
            return
        node.attached = False
        self._holders_by_name.clear()
        self._mark_all_changed()
        if ended:
            self._orphan_tokens(now, node)
            del self._node_by_instance[instance]

    def _orphan_tokens(self, now: float, node: _Node) -> None:
        """Counts the tokens of an ended process for one more window."""
        for name, allocation in node.allocation_by_name.items():
            if allocation.held:
                self._orphaned_by_name.setdefault(name, []).append(
                    (now + tokens.WINDOW_S, allocation.held))

    def report(self, now: float, instance: str,
               counts: dict[str, tuple[int, int, int, float]]) -> None:
        """Updates the allocations of a node from its report.

        Args:
            now: Time in seconds.
            instance: Name of the node.
            counts: Counts from `tokens.TokenPool.counts`.
        """
        node = self._node_by_instance.get(instance)
        if node is None:
            return
        node.last_heard_at = now
        self._changed_names.update(counts)
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
        """Drops nodes and orphaned tokens that no longer affect the window."""
        for instance, node in list(self._node_by_instance.items()):
            if not node.attached and (now - node.last_heard_at
                                      > tokens.LEASE_S + tokens.WINDOW_S):
                del self._node_by_instance[instance]
                self._mark_all_changed()
        for name, orphaned in list(self._orphaned_by_name.items()):
            remaining = [row for row in orphaned if row[0] > now]
            if len(remaining) < len(orphaned):
                self._changed_names.add(name)
            if remaining:
                self._orphaned_by_name[name] = remaining
            else:
                del self._orphaned_by_name[name]

    def _missing_nodes(self, now: float) -> int:
        """Returns how many nodes may hold tokens from the previous leader."""
        if now - self._started_at > tokens.LEASE_S + tokens.WINDOW_S:
            return 0
        return len(self._expected_instances - set(self._node_by_instance))

    def _restart_reserve(self, now: float, window: float) -> float:
        """Estimates recent spends of processes that have restarted since."""
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
        """Tells whether nodes have had time to attach and report."""
        return now - self._started_at >= _ATTACH_GRACE_S

    def _prefetches(self, window: float) -> bool:
        # A few tokens at each of many nodes would mostly stay unused, while
        # other nodes run out.
        return window >= _MIN_PREFETCH_SHARE * len(self._node_by_instance)

    def grant(self, now: float) -> dict[str, dict[str, int]]:
        """Allocates free tokens to nodes ahead of demand.

        Returns:
            Granted tokens by organisation, by node.
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
        if now - self._started_at <= tokens.LEASE_S + tokens.WINDOW_S:
            # What is reserved for missing nodes changes with time.
            self._mark_all_changed()
        changed_names, self._changed_names = self._changed_names, set()
        for name in changed_names:
            window = self._window_by_name.get(name)
            if window is None:
                continue
            free = self._free(now, name, window)
            if free < 1:
                continue
            if self._prefetches(window):
                self._distribute(name, free, window, nodes, granted)
            else:
                self._fill_holders(name, free, window, nodes, granted)
        return granted

    def _holders(self, name: str, nodes: dict[str, _Node]) -> list[str]:
        """Returns the holder of an organisation in each failure domain."""
        found = self._holders_by_name.get(name)
        if found is None:
            instances_by_domain: dict[str, list[str]] = {}
            for instance, node in nodes.items():
                instances_by_domain.setdefault(node.failure_domain,
                                               []).append(instance)
            found = self._holders_by_name[name] = [
                loans.holder(name, instances)
                for instances in instances_by_domain.values()
            ]
        return found

    def _fill_holders(self, name: str, free: float, window: float,
                      nodes: dict[str, _Node],
                      granted: dict[str, dict[str, int]]) -> None:
        """Grants tokens of a small rate to the nodes that keep them."""
        holders = self._holders(name, nodes)
        target = int(window * _HOLDER_FRACTION / len(holders))
        for instance in holders:
            allocation = nodes[instance].allocation(name)
            count = min(int(free), target - max(0, allocation.outstanding))
            if count < max(1, target // 4):
                continue
            free -= count
            allocation.outstanding += count
            granted.setdefault(instance, {})[name] = count

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
            # A node with tokens left gets no message for a small refill.
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
            self._changed_names.add(name)

    def request(self, now: float, instance: str, name: str, count: int) -> int:
        """Allocates tokens to a node that has run out, and returns how many.

        Args:
            now: Time in seconds.
            instance: Name of the node.
            name: Name of the organisation.
            count: Tokens that it needs immediately.
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
        self._changed_names.add(name)
        return given
