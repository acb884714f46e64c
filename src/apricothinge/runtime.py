"""What every process does around its event loop."""

import asyncio
import gc
from collections.abc import Callable
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
    """Keeps collections short once a process has started."""
    # What exists after the start stays; collections need not walk it.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLD)


async def run_periodically(period_s: float, callback: Callable[[], None],
                           failure_event: str) -> None:
    """Calls a function over and over.

    Args:
        period_s: Seconds between two calls.
        callback: What is called.
        failure_event: Kind of the log line where it fails.
    """
    while True:
        await asyncio.sleep(period_s)
        try:
            callback()
        except Exception as error:  # pylint: disable=broad-exception-caught
            # The next tick has to come whatever this one met.
            log.event(failure_event, error=repr(error))
