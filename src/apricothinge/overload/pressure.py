"""How much of its demand an upstream can take, told to the entries."""

import collections
import math
from typing import Final

__all__ = ["Pressure"]

# Arriving work over slots, so that no slot idles for long; what is too much
# waits for as long as it is useful.
_TARGET: Final = 1.0
# While this many times the slots wait, less has to arrive than can be run.
_LONG_QUEUE: Final = 0.25
_DRAINING_TARGET: Final = 0.85
_RATE_MEMORY_S: Final = 0.5
_SMALLEST_LOAD: Final = 0.05
# What arrives now was let in at an entry this long ago: the time of a change
# on its way and of a tree of calls until it reaches its last service.
_DELAY_FROM_S: Final = 0.3
_DELAY_TO_S: Final = 1.2
_GAIN: Final = 0.3
# A call without room here is offered to two more instances.
_REFUSED_PART: Final = 1.0 / 3.0
# Some requests have to come through to show that there is room again.
_SMALLEST_PART: Final = 0.1
# An instance with room makes up for others without, up to this many times its
# share; placement finds it.
_LARGEST_PART: Final = 2.0


class Pressure:
    """Finds the part of the demand that fills one upstream.

    Answers a load that stays above what an upstream can run: its queue alone
    would refuse calls deep in a tree, after work was done for them above.
    The whole demand follows from what arrives and from the part that entries
    had let in; that part is then set to what the slots can take.

    Attributes:
        part: Part of the demand on its service at which this instance would
            be full; over 1 where it has room to spare.
    """

    __slots__ = ("part", "_rate", "_work_s", "_ticked_at", "_let_in")

    def __init__(self, now: float) -> None:
        self.part = _LARGEST_PART
        self._rate = 0.0
        self._work_s = 0.0
        self._ticked_at = now
        self._let_in: collections.deque[tuple[float,
                                              float]] = collections.deque()

    def offered(self, hold_s: float) -> None:
        """Counts a call that will hold a slot for some seconds."""
        self._work_s += hold_s

    def refused(self, hold_s: float) -> None:
        """Takes in that there was no room for a call that was offered."""
        self._work_s -= hold_s * (1.0 - _REFUSED_PART)

    def tick(self, now: float, queued: int, slots: int, let_in: float) -> None:
        """Adapts the part to the load.

        Args:
            now: Time in seconds.
            queued: Calls that wait.
            slots: Calls that may run at once.
            let_in: Part of the demand on its service that entries let in now.
        """
        age_s = now - self._ticked_at
        if age_s <= 0.0:
            return
        self._ticked_at = now
        gain = 1.0 - math.exp(-age_s / _RATE_MEMORY_S)
        self._rate += gain * (max(0.0, self._work_s) / age_s - self._rate)
        self._work_s = 0.0
        if not slots:
            self.part = _LARGEST_PART
            self._let_in.clear()
            return
        target = (_DRAINING_TARGET if queued > _LONG_QUEUE * slots else _TARGET)
        load = max(_SMALLEST_LOAD, self._rate / slots)
        wanted = target * self._past_part(now) / load
        wanted = min(_LARGEST_PART, max(_SMALLEST_PART, wanted))
        self.part += _GAIN * (wanted - self.part)
        self._let_in.append((now, let_in))

    def _past_part(self, now: float) -> float:
        """The part by which what arrives now was let in."""
        while self._let_in and now - self._let_in[0][0] > _DELAY_TO_S:
            self._let_in.popleft()
        parts = [part for at, part in self._let_in if now - at >= _DELAY_FROM_S]
        return sum(parts) / len(parts) if parts else 1.0
