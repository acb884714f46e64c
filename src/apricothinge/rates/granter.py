"""The gate of a node in a fleet: tokens from owners, a few at a time."""

import abc
import asyncio
from collections.abc import Callable
from typing import Final

from apricothinge.rates import limiter
from apricothinge.rates import owner
from apricothinge.rates import purse
from apricothinge.rates import shares

__all__ = ["GrantGate", "Link"]

_WAIT_S: Final = 0.25
_FAILED_WAIT_S: Final = 0.5
_SMALLEST_LEASE_S: Final = 0.2


class Link(abc.ABC):
    """Carries requests for tokens to owners on other nodes."""

    __slots__ = ()

    @abc.abstractmethod
    async def ask(self, process: str,
                  request: owner.GrantRequest) -> owner.GrantReply | None:
        """Asks an owner; None where it did not answer in time."""


class GrantGate(limiter.RateLimiter):
    """Charges calls against tokens that owners of shares have granted.

    A node asks the owners in its own failure domain first, and those of
    other domains for what is missing.

    Attributes:
        messages: Requests for tokens that were sent to other nodes.
    """

    __slots__ = ("messages", "_process", "_failure_domain", "_link", "_clock",
                 "_confirmed_at", "_owner", "_purse_by_name", "_owners_by_name",
                 "_own_rows", "_active", "_sequence_by_owner",
                 "_exchange_by_owner")

    def __init__(self, process: str, failure_domain: str, link: Link,
                 clock: Callable[[], float],
                 confirmed_at: Callable[[], float | None]) -> None:
        self.messages = 0
        self._process = process
        self._failure_domain = failure_domain
        self._link = link
        self._clock = clock
        self._confirmed_at = confirmed_at
        self._owner = owner.Owner()
        self._purse_by_name: dict[str, purse.Purse] = {}
        self._owners_by_name: dict[str, list[str]] = {}
        self._own_rows: list[shares.Share] = []
        self._active: set[str] = set()
        self._sequence_by_owner: dict[str, int] = {}
        self._exchange_by_owner: dict[str, asyncio.Task[None]] = {}

    # Configuration.

    def configure(self, now: float, rates: dict[str,
                                                limiter.RateLimit]) -> None:
        for name, rate in rates.items():
            found = self._purse_by_name.get(name)
            if found is None:
                self._purse_by_name[name] = purse.Purse(rate.rate_per_s,
                                                        rate.burst, now)
                continue
            found.rate_per_s = rate.rate_per_s
            found.burst = rate.burst
        for name in set(self._purse_by_name) - set(rates):
            del self._purse_by_name[name]
            self._active.discard(name)
        self._set_buckets(now)

    def levels(self) -> dict[str, float]:
        now = self._clock()
        return {
            name: float(found.tokens(now))
            for name, found in self._purse_by_name.items()
        }

    def owned(self) -> dict[str, float]:
        """Tokens at hand of the shares that this process owns."""
        return self._owner.levels()

    def has_owners(self, name: str) -> bool:
        """Tells whether anyone hands out tokens of an organisation."""
        return bool(self._owners_by_name.get(name))

    def owners(self) -> dict[str, list[str]]:
        """Processes that are asked for tokens, in order."""
        return self._owners_by_name

    def demand(self) -> dict[str, float]:
        """Calls a second that are asked for here, by organisation."""
        demand = {
            name: round(self._purse_by_name[name].demand_per_s, 1)
            for name in self._active
        }
        return {name: rate for name, rate in demand.items() if rate}

    def set_shares(self, now: float, rows: list[shares.Share]) -> None:
        """Takes in all shares of the organisations whose shares moved."""
        moved = {row.name for row in rows}
        for name in moved:
            self._owners_by_name[name] = []
        self._own_rows = [
            row for row in self._own_rows if row.name not in moved
        ]
        for row in sorted(rows, key=self._nearness):
            known = self._owners_by_name[row.name]
            for process in (row.owner, row.floor_owner):
                if process and process not in known:
                    known.append(process)
            if self._process in (row.owner, row.floor_owner):
                self._own_rows.append(row)
        self._set_buckets(now)

    def _nearness(self, row: shares.Share) -> tuple[bool, float, str]:
        return (row.failure_domain
                != self._failure_domain, -row.part, row.failure_domain)

    def _lease_left_s(self, now: float) -> float:
        confirmed_at = self._confirmed_at()
        if confirmed_at is None:
            return 0.0
        return confirmed_at + shares.LEASE_S - now

    def _set_buckets(self, now: float) -> None:
        """Sets this process's buckets by table, lists and lease."""
        left_s = self._lease_left_s(now)
        leased = left_s > _SMALLEST_LEASE_S
        ttl_s = min(owner.TTL_S, left_s) if leased else owner.TTL_S
        part_by_name: dict[str, float] = {}
        for row in self._own_rows:
            part = row.usable(self._process, leased)
            part_by_name[row.name] = part_by_name.get(row.name, 0.0) + part
        for name in set(part_by_name) | set(self._owner.names()):
            found = self._purse_by_name.get(name)
            part = part_by_name.get(name, 0.0) if found is not None else 0.0
            rate = 0.0 if found is None else found.rate_per_s * part
            burst = 0.0 if found is None else found.burst * part
            self._owner.set_share(now, name, rate, burst, ttl_s)

    # Charging.

    def try_acquire(self, now: float, name: str) -> bool:
        found = self._purse_by_name.get(name)
        if found is None:
            return False
        found.count()
        self._active.add(name)
        return found.spend(now)

    async def acquire(self, name: str) -> bool:
        found = self._purse_by_name.get(name)
        if found is None or found.refused_until > self._clock():
            return False
        found.waiting += 1
        try:
            async with asyncio.timeout(_WAIT_S):
                return await self._obtain(name, found)
        except TimeoutError:
            return False
        finally:
            found.waiting -= 1

    async def _obtain(self, name: str, found: purse.Purse) -> bool:
        for process in list(self._owners_by_name.get(name, ())):
            if not found.may_ask(self._clock(), process):
                continue
            # The exchange under way may have been put together before this
            # call came; only one that began later has asked for it.
            for _ in range(2):
                fresh = process not in self._exchange_by_owner
                await self._exchange(process)
                if found.spend(self._clock()):
                    return True
                if fresh or not found.may_ask(self._clock(), process):
                    break
        found.refused_until = found.next_chance(self._clock())
        return False

    async def _exchange(self, process: str) -> None:
        """Joins the exchange with an owner that is under way, or begins."""
        task = self._exchange_by_owner.get(process)
        if task is None:
            task = asyncio.ensure_future(self._converse(process))
            self._exchange_by_owner[process] = task
        # Whoever waits may give up; the exchange itself goes on.
        await asyncio.shield(task)

    async def _converse(self, process: str) -> None:
        try:
            sequence = self._sequence_by_owner.get(process, 0) + 1
            self._sequence_by_owner[process] = sequence
            sent_at = self._clock()
            asks = [
                self._purse_by_name[name].ask(sent_at, name, process)
                for name in self._active
                if process in self._owners_by_name.get(name, ())
            ]
            asks = [ask for ask in asks if ask.worth_sending()]
            reply = await self._carry(
                process, owner.GrantRequest(self._process, sequence, asks))
            now = self._clock()
            for ask in asks:
                found = self._purse_by_name.get(ask.name)
                if reply is None and found is not None:
                    found.failed(now, process, _FAILED_WAIT_S)
            if reply is None or reply.sequence != sequence:
                return
            for give in reply.gives:
                found = self._purse_by_name.get(give.name)
                if found is not None:
                    found.receive(sent_at, now, process, give)
        finally:
            del self._exchange_by_owner[process]

    async def _carry(self, process: str,
                     request: owner.GrantRequest) -> owner.GrantReply | None:
        if process == self._process:
            return self.serve(request)
        self.messages += 1
        return await self._link.ask(process, request)

    def serve(self, request: owner.GrantRequest) -> owner.GrantReply:
        """Answers a node that asks for tokens of owned shares."""
        now = self._clock()
        self._set_buckets(now)
        return self._owner.answer(now, request)

    def tick(self, now: float) -> None:
        """Renews grants that run low, ahead of the calls that need them."""
        self._set_buckets(now)
        for name in list(self._active):
            found = self._purse_by_name[name]
            found.tick(now)
            if found.idle(now):
                self._active.discard(name)
            elif found.excess(now):
                self._begin(found.owner_with_tokens(now))
            elif found.is_low(now) and found.refused_until <= now:
                self._begin(self._first_owner(now, name, found))
            else:
                self._begin(found.unreported(now))

    def _first_owner(self, now: float, name: str,
                     found: purse.Purse) -> str | None:
        for process in self._owners_by_name.get(name, ()):
            if found.may_ask(now, process):
                return process
        return None

    def _begin(self, process: str | None) -> None:
        if process is None or process in self._exchange_by_owner:
            return
        self._exchange_by_owner[process] = asyncio.ensure_future(
            self._converse(process))
