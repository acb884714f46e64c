"""How much of its demand an upstream can take, told to the entries."""

import collections
import math
from typing import Final

__all__ = ["LoadFeedback"]

# Arriving work over slots, so that no slot idles for long; what is too much
# waits for as long as it is useful.
_TARGET_UTILISATION: Final = 1.0
# While this many times the slots wait, less has to arrive than can be run.
_LONG_QUEUE_RATIO: Final = 0.25
_BACKLOG_UTILISATION: Final = 0.85
_RATE_TIME_CONSTANT_S: Final = 0.5
_MIN_UTILISATION: Final = 0.05
# What arrives now was let in at an entry this long ago: the time of a change
# on its way and of a tree of calls until it reaches its last service.
_MIN_DELAY_S: Final = 0.3
_MAX_DELAY_S: Final = 1.2
_GAIN: Final = 0.3
# A call without room here is offered to two more instances.
_REFUSED_CALL_WEIGHT: Final = 1.0 / 3.0
# Some requests have to come through to show that there is room again.
_MIN_CAPACITY_RATIO: Final = 0.1
# An instance with room makes up for others without, up to this many times its
# share; placement finds it.
_MAX_CAPACITY_RATIO: Final = 2.0


class LoadFeedback:
    """Finds the part of the demand that fills one upstream.

    Answers a load that stays above what an upstream can run: its queue alone
    would refuse calls deep in a tree, after work was done for them above.
    The whole demand follows from what arrives and from the part that entries
    had let in; that part is then set to what the slots can take.

    Attributes:
        capacity_ratio: Part of the demand on its service at which this instance would
            be full; over 1 where it has room to spare.
    """

    __slots__ = ("capacity_ratio", "_work_rate", "_arrived_work_s",
                 "_ticked_at", "_history")

    def __init__(self, now: float) -> None:
        self.capacity_ratio = _MAX_CAPACITY_RATIO
        self._work_rate = 0.0
        self._arrived_work_s = 0.0
        self._ticked_at = now
        self._history: collections.deque[tuple[float,
                                               float]] = collections.deque()

    def record_arrival(self, hold_s: float) -> None:
        """Counts a call that will hold a slot for some seconds."""
        self._arrived_work_s += hold_s

    def record_refusal(self, hold_s: float) -> None:
        """Takes in that there was no room for a call that was offered."""
        self._arrived_work_s -= hold_s * (1.0 - _REFUSED_CALL_WEIGHT)

    def tick(self, now: float, queued: int, slots: int,
             admitted_fraction: float) -> None:
        """Adapts the part to the load.

        Args:
            now: Time in seconds.
            queued: Calls that wait.
            slots: Calls that may run at once.
            admitted_fraction: Part of the demand on its service that entries let in now.
        """
        age_s = now - self._ticked_at
        if age_s <= 0.0:
            return
        self._ticked_at = now
        gain = 1.0 - math.exp(-age_s / _RATE_TIME_CONSTANT_S)
        self._work_rate += gain * (max(0.0, self._arrived_work_s) / age_s -
                                   self._work_rate)
        self._arrived_work_s = 0.0
        if not slots:
            self.capacity_ratio = _MAX_CAPACITY_RATIO
            self._history.clear()
            return
        target_utilisation = (_BACKLOG_UTILISATION
                              if queued > _LONG_QUEUE_RATIO *
                              slots else _TARGET_UTILISATION)
        utilisation = max(_MIN_UTILISATION, self._work_rate / slots)
        target_ratio = (target_utilisation * self._past_admitted_fraction(now) /
                        utilisation)
        target_ratio = min(_MAX_CAPACITY_RATIO,
                           max(_MIN_CAPACITY_RATIO, target_ratio))
        self.capacity_ratio += _GAIN * (target_ratio - self.capacity_ratio)
        self._history.append((now, admitted_fraction))

    def _past_admitted_fraction(self, now: float) -> float:
        """The part by which what arrives now was let in."""
        while self._history and now - self._history[0][0] > _MAX_DELAY_S:
            self._history.popleft()
        fractions = [
            fraction for admitted_at, fraction in self._history
            if now - admitted_at >= _MIN_DELAY_S
        ]
        return sum(fractions) / len(fractions) if fractions else 1.0
