"""Hands out the tokens of the organisations' rates, at the leader."""

from typing import Final

from apricothinge.mesh import tokens

__all__ = ["TokenServer"]

# Of what is free, this part is divided evenly: demand moves faster than
# reports of it.
_EVEN_PART: Final = 0.4
# No node has more than this many even shares of a window in stock.
_LARGEST_SHARES: Final = 2.0
_SMALLEST_CAP: Final = 2
# What a node that a new leader has not heard of goes on to spend, in even
# shares of a window: demand is divided nearly evenly.
_UNKNOWN_SHARES: Final = 1.25
# Tokens of a window for each node from which on they are handed out ahead.
_SMALLEST_SHARE: Final = 6.0
# Known nodes attach to a new leader within this time.
_GATHER_S: Final = 0.6
# A node that has just started knows nothing of what its process before has
# spent; it is taken for this part of its even share, a busy day's use.
_FORGOTTEN_PART: Final = 0.6


class _Holder:
    """What the server knows of one node and one organisation.

    Attributes:
        outstanding: Tokens handed out and neither spent nor returned.
        recent: Tokens spent and not given up yet.
        spent: As last reported.
        aged: As last reported.
        returned: As last reported.
        demand: Requests per second.
    """

    __slots__ = ("outstanding", "recent", "spent", "aged", "returned", "demand")

    def __init__(self, outstanding: int, recent: int) -> None:
        self.outstanding = outstanding
        self.recent = recent
        self.spent = 0
        self.aged = 0
        self.returned = 0
        self.demand = 0.0

    @property
    def held(self) -> int:
        """Tokens that the node may have in the window, now or later."""
        return max(0, self.outstanding + self.recent)


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
            found = self.holder_by_name[name] = _Holder(0, 0)
        return found


class TokenServer:
    """Keeps the tokens spent within any window, and those handed out, bounded.

    A token is counted as its node's from the moment at which it is handed out
    until the node gives it up, a window after it was spent. No clock but the
    node's decides that, so the count is never too low, however late reports
    are. What a node that is gone may have spent counts for a window more.
    """

    __slots__ = ("_window_by_name", "_ghosts_by_name", "_node_by_instance",
                 "_expected", "_started_at", "_forgotten")

    def __init__(self, now: float) -> None:
        """Starts with the leadership; `now` counts during suspension."""
        self._window_by_name: dict[str, float] = {}
        self._ghosts_by_name: dict[str, list[tuple[float, int]]] = {}
        self._node_by_instance: dict[str, _Node] = {}
        self._expected: set[str] = set()
        self._forgotten: set[str] = set()
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
            self._end(now, known)
        node = _Node(incarnation, now)
        self._node_by_instance[instance] = node
        for name in stock.keys() | recent.keys():
            node.holder_by_name[name] = _Holder(stock.get(name, 0),
                                                recent.get(name, 0))
        if now - self._started_at < tokens.LEASE_S:
            self._expected.update(peers)
            if known is None and not peers:
                self._forgotten.add(instance)

    def detached(self, now: float, instance: str, ended: bool) -> None:
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
            self._end(now, node)
            del self._node_by_instance[instance]

    def _end(self, now: float, node: _Node) -> None:
        """Keeps what a process may have spent until it has left the window."""
        for name, holder in node.holder_by_name.items():
            if holder.held:
                self._ghosts_by_name.setdefault(name, []).append(
                    (now + tokens.WINDOW_S, holder.held))

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
        for name, (spent, aged, returned, demand) in counts.items():
            holder = node.holder(name)
            more = spent - holder.spent
            holder.outstanding -= more + (returned - holder.returned)
            holder.recent += more - (aged - holder.aged)
            holder.spent = spent
            holder.aged = aged
            holder.returned = returned
            holder.demand = demand

    def expire(self, now: float) -> None:
        """Forgets nodes and processes that can not have spent lately."""
        for instance, node in list(self._node_by_instance.items()):
            if not node.attached and (now - node.heard_at
                                      > tokens.LEASE_S + tokens.WINDOW_S):
                del self._node_by_instance[instance]
        for name, ghosts in list(self._ghosts_by_name.items()):
            left = [row for row in ghosts if row[0] > now]
            if left:
                self._ghosts_by_name[name] = left
            else:
                del self._ghosts_by_name[name]

    def _unknown(self, now: float) -> int:
        """Nodes that may hold tokens of the leader before."""
        if now - self._started_at > tokens.LEASE_S + tokens.WINDOW_S:
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

    def _unknown_part(self, window: float) -> float:
        count = max(1, len(self._expected | set(self._node_by_instance)))
        return max(_SMALLEST_CAP, _UNKNOWN_SHARES * window / count)

    def _free(self, now: float, name: str, window: float) -> float:
        held = sum(node.holder_by_name[name].held
                   for node in self._node_by_instance.values()
                   if name in node.holder_by_name)
        ghosts = sum(count for _, count in self._ghosts_by_name.get(name, ()))
        reserved = (self._unknown(now) * self._unknown_part(window) +
                    self._unreported(now, window))
        return window - held - ghosts - reserved

    def gathered(self, now: float) -> bool:
        """Whether nodes have had time to tell what they hold."""
        return now - self._started_at >= _GATHER_S

    def _hands_out_ahead(self, window: float) -> bool:
        # A few tokens for each of many nodes would mostly wait where nobody
        # asks for them, while others run out.
        return window >= _SMALLEST_SHARE * len(self._node_by_instance)

    def grant(self, now: float) -> dict[str, dict[str, int]]:
        """Decides who gets tokens now.

        Returns:
            Tokens by organisation, by node.
        """
        granted: dict[str, dict[str, int]] = {}
        if not self.gathered(now):
            return granted
        nodes = {
            instance: node
            for instance, node in self._node_by_instance.items()
            if node.attached
        }
        if not nodes:
            return granted
        for name, window in self._window_by_name.items():
            if not self._hands_out_ahead(window):
                continue
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

    def ask(self, now: float, instance: str, name: str, count: int) -> int:
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
        if not self.gathered(now):
            return 0
        free = self._free(now, name, window)
        if free < 1:
            return 0
        ahead = 0
        if self._hands_out_ahead(window):
            ahead = min(int(free / 4), int(self._cap(window) / 2))
        given = min(int(free), max(1, count, ahead))
        node.holder(name).outstanding += given
        return given
