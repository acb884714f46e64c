"""Whether the services that a request leads to have room for it."""

import asyncio
import random
from typing import Final

from apricothinge import errors
from apricothinge import log
from apricothinge.link import frames
from apricothinge.mesh import costs
from apricothinge.overload import gate
from apricothinge.overload import routing

__all__ = ["Room"]

# Loads of other nodes are told five times a second.
_PARTS_AGE_S: Final = 0.05
# Of ten requests of which one is let in, the last has its turn after ten times
# this, which callers of a few seconds' patience can still wait for.
_REFUSED_RETRY_S: Final = 0.3
_SMALLEST_PART: Final = 0.1
# A service below the first is said to be full, above the second to have room;
# the space between keeps a load near the limit from filling the log.
_FULL_BELOW: Final = 0.9
_ROOM_ABOVE: Final = 0.99


class Room:
    """Whether the services below have room for a request's tree of calls."""

    __slots__ = ("_loop", "_router", "_costs", "_gate", "_parts", "_parts_at",
                 "_full")

    def __init__(self, router: routing.Router, table: costs.CostTable,
                 source: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._router = router
        self._costs = table
        self._gate = gate.EntryGate(self._loop.time(), source)
        self._parts: dict[str, float] = {}
        self._parts_at = 0.0
        self._full: set[str] = set()

    def _refresh(self, now: float) -> None:
        """Takes in what the services tell, and logs which are full."""
        self._parts = self._router.part_by_service()
        self._parts_at = now
        for service, part in self._parts.items():
            if service in self._full:
                if part > _ROOM_ABOVE:
                    self._full.remove(service)
                    log.event("service:has_room", service=service, part=part)
            elif part < _FULL_BELOW:
                self._full.add(service)
                log.event("service:full", service=service, part=round(part, 3))

    def check(self, call: frames.Call) -> None:
        """Refuses a request for which a service below has no room.

        Raises:
            errors.CallError: It should come back later.
        """
        now = self._loop.time()
        if now - self._parts_at >= _PARTS_AGE_S:
            self._refresh(now)
        part = self._gate.part(now, call.rank,
                               self._costs.get(call.service, call.route),
                               self._parts)
        if self._gate.admits(part):
            return
        raise errors.CallError(errors.Kind.OVERLOADED,
                               f"room for {part:.2f} of such requests",
                               retry_after_s=_REFUSED_RETRY_S /
                               max(_SMALLEST_PART, part))
