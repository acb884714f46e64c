"""Departures of the local upstream, as far as control has recorded them."""

import asyncio
from collections.abc import Callable, Iterable
import contextlib
from typing import Final

from apricothinge import errors
from apricothinge import log

__all__ = ["DepartureLog", "Lifetime"]

# The platform takes a check-in for lost after a second.
_RECORD_TIMEOUT_S: Final = 0.8
_MAX_PENDING: Final = 16

# Identifier and start time in milliseconds of an upstream.
Lifetime = tuple[str, int]


class DepartureLog:
    """Has control record which lifetimes of the local upstream have departed.

    A departure is acknowledged once a quorum of control has it on disk, so that
    it outlasts the processes of all nodes.

    Attributes:
        on_pending: Called when there is something to report.
    """

    __slots__ = ("on_pending", "_recorded", "_waiter_by_lifetime", "_loop")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.on_pending: Callable[[], object] = _ignore_pending
        self._recorded: frozenset[Lifetime] = frozenset()
        self._waiter_by_lifetime: dict[Lifetime, asyncio.Future[None]] = {}

    @property
    def pending(self) -> list[Lifetime]:
        """Lifetimes that are still to be recorded, the oldest first."""
        return list(self._waiter_by_lifetime)

    def add(self, lifetime: Lifetime) -> None:
        """Has a departure recorded unless it has been."""
        if lifetime in self._recorded or lifetime in self._waiter_by_lifetime:
            return
        waiters = self._waiter_by_lifetime
        if len(waiters) >= _MAX_PENDING:
            waiters.pop(next(iter(waiters))).cancel()
        waiters[lifetime] = self._loop.create_future()
        self.on_pending()

    def set_recorded(self, departed: Iterable[Lifetime]) -> None:
        """Sets the departures that control has recorded."""
        self._recorded = frozenset(departed)
        for lifetime in self._recorded & self._waiter_by_lifetime.keys():
            log.event("departure:recorded",
                      upstream=lifetime[0],
                      born=lifetime[1])
            waiter = self._waiter_by_lifetime.pop(lifetime)
            if not waiter.done():
                waiter.set_result(None)

    async def wait_until_recorded(self, lifetime: Lifetime) -> None:
        """Waits until control has recorded a departure.

        Raises:
            errors.CallError: UNREACHABLE; it has not been recorded in time, and
                goes on being reported.
        """
        self.add(lifetime)
        waiter = self._waiter_by_lifetime.get(lifetime)
        if waiter is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECORD_TIMEOUT_S):
                await asyncio.wait((waiter,))
        if not waiter.done() or waiter.cancelled():
            raise errors.CallError(errors.Kind.UNREACHABLE,
                                   "control has not recorded the departure")


def _ignore_pending() -> None:
    """Default of `DepartureLog.on_pending`."""
