"""Helpers for the event loop and the garbage collector of a process."""

import asyncio
from collections.abc import Callable
import gc
from typing import Final

from apricothinge import log

__all__ = [
    "EXIT_SETTINGS_INVALID", "EXIT_STORAGE_FAILED", "run_periodically",
    "tune_gc"
]

EXIT_SETTINGS_INVALID: Final = 2
EXIT_STORAGE_FAILED: Final = 3

_GC_THRESHOLD: Final = (20000, 20, 20)


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
