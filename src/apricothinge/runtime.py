"""What every process does around its event loop."""

import gc
from typing import Final

__all__ = ["EXIT_SETTINGS", "EXIT_STORAGE", "tune_gc"]

EXIT_SETTINGS: Final = 2
EXIT_STORAGE: Final = 3

_GC_THRESHOLD: Final = (20000, 20, 20)


def tune_gc() -> None:
    """Keeps collections short once a process has started."""
    # What exists after the start stays; collections need not walk it.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLD)
