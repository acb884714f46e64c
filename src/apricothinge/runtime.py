"""Helpers for the event loop and the garbage collector of a process."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
import gc
import selectors
import time
from typing import Any, Final

from apricothinge import log

__all__ = [
    "EXIT_SETTINGS_INVALID", "EXIT_STORAGE_FAILED", "PauseClock",
    "SparingSelector", "boottime_s", "new_event_loop", "run",
    "run_periodically", "seconds_to_next", "tune_gc"
]

EXIT_SETTINGS_INVALID: Final = 2
EXIT_STORAGE_FAILED: Final = 3

_GC_THRESHOLD: Final = (20000, 20, 20)
# Shorter gaps are ordinary delays of a loaded event loop.
_MIN_PAUSE_S: Final = 0.25

# Turns of the event loop without a look at the sockets, while callbacks wait.
# Handling one message takes two or three turns.
_MAX_TURNS_WITHOUT_POLL: Final = 4


class SparingSelector(selectors.BaseSelector):
    """Selector that skips polls while the event loop has callbacks to run.

    The event loop polls its sockets before each turn, also when it only goes on
    with what the last turn started. Most of these polls find nothing and cost
    as much as reading a message.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._skipped = 0

    def register(self,
                 fileobj: Any,
                 events: int,
                 data: Any = None) -> selectors.SelectorKey:
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._selector.unregister(fileobj)

    def modify(self,
               fileobj: Any,
               events: int,
               data: Any = None) -> selectors.SelectorKey:
        return self._selector.modify(fileobj, events, data)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._selector.get_map()

    def close(self) -> None:
        self._selector.close()

    def select(
        self,
        timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready sockets; none if the poll is skipped.

        Args:
            timeout: Seconds to wait; 0 if callbacks wait; None for no limit.
        """
        if timeout == 0 and self._skipped < _MAX_TURNS_WITHOUT_POLL:
            self._skipped += 1
            return []
        self._skipped = 0
        return self._selector.select(timeout)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop that polls its sockets no more than needed."""
    return asyncio.SelectorEventLoop(SparingSelector())


def run(main: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine in a new event loop, as `asyncio.run` does."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main)


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


def seconds_to_next(now: float, period_s: float) -> float:
    """Returns seconds until the next multiple of a period.

    A process wakes up once for all timers that are set to the same moment.
    """
    wait_s = period_s - now % period_s
    # A timer may fire a little early.
    return wait_s if wait_s > 0.1 * period_s else wait_s + period_s


async def run_periodically(period_s: float, callback: Callable[[], None],
                           failure_event: str) -> None:
    """Calls a function periodically until cancelled.

    Args:
        period_s: Seconds between the calls, which come at the same moments as
            those of other functions with this period.
        callback: Function to call; its exceptions are logged.
        failure_event: Type of the event that is logged if it raises.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(seconds_to_next(loop.time(), period_s))
        try:
            callback()
        except Exception as error:  # pylint: disable=broad-exception-caught
            # One failed call must not end the periodic calls.
            log.event(failure_event, error=repr(error))
