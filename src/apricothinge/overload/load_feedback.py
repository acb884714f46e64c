"""Feedback to entries about how much of its demand an upstream can take."""

import collections
import math
from typing import Final

__all__ = ["LoadFeedback"]

# Target ratio of arriving work to slots. At 1, slots are rarely idle, and
# excess calls are queued for as long as running them is still useful.
_TARGET_UTILISATION: Final = 1.0
# Above this ratio of queued calls to slots, the target is lowered below
# capacity so that the queue drains.
_LONG_QUEUE_RATIO: Final = 0.25
_BACKLOG_UTILISATION: Final = 0.85
_RATE_TIME_CONSTANT_S: Final = 0.5
_MIN_UTILISATION: Final = 0.05
# Calls that arrive now were admitted at an entry this long ago: the propagation
# delay of a change plus the time a call tree takes to reach its last service.
_MIN_DELAY_S: Final = 0.3
_MAX_DELAY_S: Final = 1.2
_GAIN: Final = 0.3
# A refused call is offered to two more instances, so each counts a third of it.
_REFUSED_CALL_WEIGHT: Final = 1.0 / 3.0
# Some requests must be admitted to detect that capacity is available again.
_MIN_CAPACITY_RATIO: Final = 0.1
# Slots that change by more than this factor are those of an upstream that turns
# cold or warm, or that names a rate.
_SUDDEN_CHANGE: Final = 2.0
# An instance with spare capacity compensates for full ones, up to this multiple
# of its share; load balancing directs the calls to it.
_MAX_CAPACITY_RATIO: Final = 2.0


class LoadFeedback:
    """Estimates the fraction of the demand that fills one upstream.

    Handles sustained overload, in which the queue alone would refuse calls deep
    in a call tree, after their callers have already done work. The total demand
    follows from the arriving work and the fraction that entries had admitted;
    the ratio of capacity to that demand is what entries should admit.

    Attributes:
        capacity_ratio: Fraction of the demand on its service that fills this
            instance; above 1 if it has spare capacity.
    """

    __slots__ = ("capacity_ratio", "_work_rate", "_arrived_work_s",
                 "_ticked_at", "_history", "_slots", "_available_ratio")

    def __init__(self, now: float) -> None:
        self.capacity_ratio = _MAX_CAPACITY_RATIO
        self._work_rate = 0.0
        self._arrived_work_s = 0.0
        self._ticked_at = now
        self._history: collections.deque[tuple[float,
                                               float]] = collections.deque()
        # While it was last available: its slots and the ratio.
        self._slots = 0.0
        self._available_ratio = _MAX_CAPACITY_RATIO

    def record_arrival(self, hold_s: float) -> None:
        """Counts a call that is expected to hold a slot for `hold_s`."""
        self._arrived_work_s += hold_s

    def record_refusal(self, hold_s: float) -> None:
        """Discounts a counted call that was refused for lack of capacity."""
        self._arrived_work_s -= hold_s * (1.0 - _REFUSED_CALL_WEIGHT)

    def tick(self, now: float, queued: int, slots: float,
             admitted_fraction: float) -> None:
        """Adjusts the capacity ratio to the load.

        Args:
            now: Current time in seconds.
            queued: Number of queued calls.
            slots: Number of calls that run concurrently at full load; 0 if
                the upstream is not available.
            admitted_fraction: Fraction of the demand on the service that
                entries currently admit.
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
        if self._slots and not (1.0 / _SUDDEN_CHANGE < slots / self._slots <
                                _SUDDEN_CHANGE):
            # The demand is the same, so the ratio changes with the slots. The
            # average would follow too late to keep a cold upstream from being
            # overrun.
            self.capacity_ratio = min(
                _MAX_CAPACITY_RATIO,
                max(_MIN_CAPACITY_RATIO,
                    self._available_ratio * slots / self._slots))
        self._slots = slots
        target_utilisation = (_BACKLOG_UTILISATION
                              if queued > _LONG_QUEUE_RATIO *
                              slots else _TARGET_UTILISATION)
        utilisation = max(_MIN_UTILISATION, self._work_rate / slots)
        target_ratio = (target_utilisation * self._past_admitted_fraction(now) /
                        utilisation)
        target_ratio = min(_MAX_CAPACITY_RATIO,
                           max(_MIN_CAPACITY_RATIO, target_ratio))
        self.capacity_ratio += _GAIN * (target_ratio - self.capacity_ratio)
        self._available_ratio = self.capacity_ratio
        self._history.append((now, admitted_fraction))

    def _past_admitted_fraction(self, now: float) -> float:
        """Returns the admitted fraction that applied to calls arriving now."""
        while self._history and now - self._history[0][0] > _MAX_DELAY_S:
            self._history.popleft()
        fractions = [
            fraction for admitted_at, fraction in self._history
            if now - admitted_at >= _MIN_DELAY_S
        ]
        return sum(fractions) / len(fractions) if fractions else 1.0
