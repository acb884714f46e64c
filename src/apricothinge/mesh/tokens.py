"""Tokens of the organisations' rates, held in stock by each node.

Answers small rates over many nodes: a part of a rate that is fixed for a node
is refused to requests that come by chance in twos and threes, while the fleet
as a whole is far from its limit. Tokens are therefore handed out by one server,
ahead of demand. A token that was spent stays with its node until it has left
the sliding window. A node that has lost its server then spends it once more,
so it goes on at the rate that it had; one with a server gives it up.
"""

import collections
import math
import time
from typing import Final

from apricothinge.mesh import documents
from apricothinge.rates import limiter

__all__ = ["LEASE_S", "Stock", "WINDOW_S", "boot_s", "window_tokens"]

# The span over which a rate and its burst are counted.
WINDOW_S: Final = 5.0
# Longer than the cuts that occur often, and short enough that what a lost
# node held is soon used by others.
LEASE_S: Final = 10.0
# The bound on a window is a tenth and 20 requests above rate and burst; the
# server hands out this much of it, and the rest is for nodes that are cut off.
_SERVED_PART: Final = 1.07
_SERVED_SLACK: Final = 12.0
_CUT_OFF_PART: Final = 0.03
_RATE_GAIN: Final = 0.3


def boot_s() -> float:
    """Seconds on a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _whole_window(organisation: documents.Organisation) -> float:
    return organisation.rate_per_s * WINDOW_S + organisation.burst


def window_tokens(organisation: documents.Organisation) -> float:
    """Tokens of an organisation that may be spent within any window."""
    return _whole_window(organisation) * _SERVED_PART + _SERVED_SLACK


class _Row:
    """One organisation at a node.

    Attributes:
        stock: Tokens at hand.
        spent: Tokens spent since the node attached.
        aged: Spent tokens that left the window since the node attached.
        returned: Tokens given up unspent since the node attached.
        arrived: Requests since the last look.
        demand: Smoothed requests per second.
        window: Whole tokens of the organisation in a window, as last known.
        cut_off: Tokens for the time without a server.
        recent: Times in seconds at which tokens were spent, oldest first.
        surplus: How many of those a lowered limit leaves out.
    """

    __slots__ = ("stock", "spent", "aged", "returned", "arrived", "demand",
                 "window", "cut_off", "recent", "surplus")

    def __init__(self, now: float) -> None:
        self.stock = 0
        self.spent = 0
        self.aged = 0
        self.returned = 0
        self.arrived = 0
        self.demand = 0.0
        self.window = 0.0
        self.cut_off = limiter.TokenBucket(0.0, 1.0, 1.0, now)
        self.recent: collections.deque[float] = collections.deque()
        self.surplus = 0


class Stock:
    """Decides whether a request is inside its organisation's rate.

    Attributes:
        nodes: Nodes in the fleet as last told, which share what is spent
            without a server.
    """

    __slots__ = ("nodes", "_row_by_name", "_lease_until", "_looked_at")

    def __init__(self, now: float) -> None:
        self.nodes = 0
        self._row_by_name: dict[str, _Row] = {}
        self._lease_until = 0.0
        self._looked_at = now

    def _row(self, now: float, name: str) -> _Row:
        row = self._row_by_name.get(name)
        if row is None:
            row = self._row_by_name[name] = _Row(now)
        return row

    # The server.

    def attach(self) -> None:
        """Begins to count anew for another server."""
        # What the lease has ended for is not in the stock that it is told.
        self._expire()
        for row in self._row_by_name.values():
            row.spent = 0
            row.aged = 0
            row.returned = 0

    def renew(self, reported_at: float) -> None:
        """Takes in that the server knows of the stock.

        Args:
            reported_at: `boot_s` when the report was sent that it has.
        """
        self._lease_until = max(self._lease_until, reported_at + LEASE_S)

    def add(self, tokens_by_name: dict[str, int], now: float) -> None:
        """Takes in tokens from the server."""
        for name, count in tokens_by_name.items():
            self._row(now, name).stock += count

    def stock(self) -> dict[str, int]:
        """Tokens at hand by organisation."""
        self._expire()
        return {
            name: row.stock
            for name, row in self._row_by_name.items()
            if row.stock
        }

    def recent(self) -> dict[str, int]:
        """Tokens spent lately that were not given up yet, by organisation."""
        return {
            name: len(row.recent)
            for name, row in self._row_by_name.items()
            if row.recent
        }

    def counts(self) -> dict[str, tuple[int, int, int, float]]:
        """What the node has done with tokens since it attached.

        Returns:
            By organisation: tokens spent, given up a window later, returned
            unspent, and the demand a second.
        """
        return {
            name: (row.spent, row.aged, row.returned, round(row.demand, 1))
            for name, row in self._row_by_name.items()
        }

    def _expire(self) -> None:
        """Gives up all tokens once the server may have forgotten them."""
        if boot_s() < self._lease_until:
            return
        for row in self._row_by_name.values():
            row.returned += row.stock
            row.stock = 0

    # Requests.

    @staticmethod
    def _leave_window(row: _Row, now: float, granted: bool) -> None:
        """Gives up what has left the window, or takes it into stock again."""
        while row.recent and now - row.recent[0] > WINDOW_S:
            row.recent.popleft()
            if granted or row.surplus:
                row.aged += 1
                row.surplus = max(0, row.surplus - 1)
            else:
                # Nobody else was given it: the server counts it as held here
                # until it is told otherwise, or the lease is long over.
                row.spent -= 1
                row.stock += 1

    def tick(self, now: float, compiled: documents.Compiled | None,
             granted: bool) -> None:
        """Follows demand and the desired state.

        Args:
            now: Time in seconds.
            compiled: The desired state in force.
            granted: Whether a server answers and hands out tokens.
        """
        if compiled is None:
            return
        self._expire()
        span_s = now - self._looked_at
        if span_s <= 0:
            return
        self._looked_at = now
        gain = 1.0 - math.exp(-span_s * _RATE_GAIN * 2)
        for name, organisation in compiled.organisation_by_name.items():
            row = self._row(now, name)
            row.demand += gain * (row.arrived / span_s - row.demand)
            row.arrived = 0
            self._leave_window(row, now, granted)
            self._resize(row, _whole_window(organisation))
            part = _CUT_OFF_PART * row.window / WINDOW_S / max(1, self.nodes)
            row.cut_off.resize(now, 0.0 if granted else part, 1.0)

    @staticmethod
    def _resize(row: _Row, window: float) -> None:
        """Gives up the part of the stock that a lowered limit leaves out."""
        if window < row.window:
            kept = int(row.stock * window / row.window)
            row.returned += row.stock - kept
            row.stock = kept
            spent = len(row.recent)
            row.surplus = spent - int(spent * window / row.window)
        row.window = window

    def arrived(self, now: float, organisation: documents.Organisation) -> None:
        """Counts a request for the demand."""
        self._row(now, organisation.name).arrived += 1

    def take(self, now: float, organisation: documents.Organisation,
             granted: bool) -> bool:
        """Spends a token; False where there is none."""
        if organisation.rate_per_s <= 0:
            return True
        row = self._row(now, organisation.name)
        if not row.stock:
            self._leave_window(row, now, granted)
        if row.stock and boot_s() < self._lease_until:
            row.stock -= 1
            row.spent += 1
            row.recent.append(now)
            return True
        return not granted and row.cut_off.take(now)

    def give_back(self, organisation: documents.Organisation) -> None:
        """Returns the token of a request that did not run."""
        row = self._row_by_name.get(organisation.name)
        if row is not None and row.recent:
            row.recent.pop()
            row.spent -= 1
            row.stock += 1
