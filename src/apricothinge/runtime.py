"""Helpers for the event loop and the garbage collector of a process."""

import asyncio
from collections.abc import Callable
import gc
import time
from typing import Final

from apricothinge import log

__all__ = [
    "EXIT_SETTINGS_INVALID", "EXIT_STORAGE_FAILED", "PauseClock", "boottime_s",
    "run_periodically", "tune_gc"
]

EXIT_SETTINGS_INVALID: Final = 2
EXIT_STORAGE_FAILED: Final = 3

_GC_THRESHOLD: Final = (20000, 20, 20)
# Shorter gaps are ordinary delays of a loaded event loop.
_MIN_PAUSE_S: Final = 0.25


def boottime_s() -> float:
    """Returns the time of a clock that also runs during system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseClock:
    """Bounds how long input that is read now may have waited unread.

    A process that was stopped, or whose machine was suspended, finds input from
    before the pause. Times that it names count from its arrival.
    """

    __slots__ = ("_ticked_at",)

    def __init__(self) -> None:
        self._ticked_at = boottime_s()

    def tick(self) -> None:
        """Records that the process runs; called several times a second."""
        self._ticked_at = boottime_s()

    def input_age_s(self) -> float:
        """Returns the longest time in seconds that input may have waited."""
        age_s = boottime_s() - self._ticked_at
        return age_s if age_s > _MIN_PAUSE_S else 0.0


def tune_gc() -> None:
    """Shortens garbage collections; called once a process has started."""
    # Objects created at startup live as long as the process, so they are
    # excluded from collections.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLD)


async def run_periodically(period_s: float, callback: Callable[[], None],
                           failure_event: str) -> None:
    """Calls a function periodically until cancelled.

    Args:
        period_s: Seconds from the end of a call to the next one.
        callback: Function to call; its exceptions are logged.
        failure_event: Type of the event that is logged if it raises.
    """
    while True:
        await asyncio.sleep(period_s)
        try:
            callback()
        except Exception as error:  # pylint: disable=broad-exception-caught
            # One failed call must not end the periodic calls.
            log.event(failure_event, error=repr(error))
