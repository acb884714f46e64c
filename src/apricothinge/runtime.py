"""What every process does around its event loop."""

import asyncio
import gc
from collections.abc import Callable
from typing import Final

from apricothinge import log

__all__ = ["EXIT_SETTINGS", "EXIT_STORAGE", "tick_forever", "tune_gc"]

EXIT_SETTINGS: Final = 2
EXIT_STORAGE: Final = 3

_GC_THRESHOLD: Final = (20000, 20, 20)


def tune_gc() -> None:
    """Keeps collections short once a process has started."""
    # What exists after the start stays; collections need not walk it.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLD)


async def tick_forever(period_s: float, tick: Callable[[], None],
                       failed_kind: str) -> None:
    """Calls a function over and over.

    Args:
        period_s: Seconds between two calls.
        tick: What is called.
        failed_kind: Kind of the log line where it fails.
    """
    while True:
        await asyncio.sleep(period_s)
        try:
            tick()
        except Exception as error:  # pylint: disable=broad-exception-caught
            # The next tick has to come whatever this one met.
            log.event(failed_kind, error=repr(error))
