"""A rate limiter that obtains its tokens in batches from share owners."""

import abc
import asyncio
from collections.abc import Callable
from typing import Final

from apricothinge.rates import limiter
from apricothinge.rates import owner
from apricothinge.rates import shares
from apricothinge.rates import token_cache

__all__ = ["DistributedRateLimiter", "GrantTransport"]

_ACQUIRE_TIMEOUT_S: Final = 0.25
_FAILURE_BACKOFF_S: Final = 0.5
_MIN_LEASE_S: Final = 0.2


class GrantTransport(abc.ABC):
    """Sends token requests to owners on other nodes."""

    __slots__ = ()

    @abc.abstractmethod
    async def send(self, process: str,
                   request: owner.GrantRequest) -> owner.GrantReply | None:
        """Sends a request to an owner; returns None if it does not reply."""


class DistributedRateLimiter(limiter.RateLimiter):
    """Admits calls against tokens granted by the owners of shares.

    Owners in the node's own failure domain are asked first, then those in
    other domains for the tokens still missing.

    Attributes:
        requests_sent: Number of token requests sent to other nodes.
    """

    __slots__ = ("requests_sent", "_process", "_failure_domain",
                 "_grant_transport", "_clock", "_confirmed_at", "_share_owner",
                 "_cache_by_name", "_owners_by_name", "_owned_shares",
                 "_active_names", "_sequence_by_owner", "_exchange_by_owner")

    def __init__(self, process: str, failure_domain: str,
                 grant_transport: GrantTransport, clock: Callable[[], float],
                 confirmed_at: Callable[[], float | None]) -> None:
        self.requests_sent = 0
        self._process = process
        self._failure_domain = failure_domain
        self._grant_transport = grant_transport
        self._clock = clock
        self._confirmed_at = confirmed_at
        self._share_owner = owner.ShareOwner()
        self._cache_by_name: dict[str, token_cache.TokenCache] = {}
        self._owners_by_name: dict[str, list[str]] = {}
        self._owned_shares: list[shares.Share] = []
        self._active_names: set[str] = set()
        self._sequence_by_owner: dict[str, int] = {}
        self._exchange_by_owner: dict[str, asyncio.Task[None]] = {}

    # Configuration.

    def configure(self, now: float, rates: dict[str,
                                                limiter.RateLimit]) -> None:
        for name, rate in rates.items():
            cache = self._cache_by_name.get(name)
            if cache is None:
                self._cache_by_name[name] = token_cache.TokenCache(
                    rate.rate_per_s, rate.burst, now)
                continue
            cache.rate_per_s = rate.rate_per_s
            cache.burst = rate.burst
        for name in set(self._cache_by_name) - set(rates):
            del self._cache_by_name[name]
            self._active_names.discard(name)
        self._update_owned_shares(now)

    def levels(self) -> dict[str, float]:
        now = self._clock()
        return {
            name: float(cache.tokens(now))
            for name, cache in self._cache_by_name.items()
        }

    def owned_levels(self) -> dict[str, float]:
        """Returns the ungranted tokens of owned shares, by organisation."""
        return self._share_owner.levels()

    def has_owners(self, name: str) -> bool:
        """Returns whether an organisation has any owner to grant tokens."""
        return bool(self._owners_by_name.get(name))

    def owners(self) -> dict[str, list[str]]:
        """Returns the owners of each organisation in the order of asking."""
        return self._owners_by_name

    def demand(self) -> dict[str, float]:
        """Returns the nonzero demand here in calls per second, by name."""
        demand = {
            name: round(self._cache_by_name[name].demand_per_s, 1)
            for name in self._active_names
        }
        return {name: rate for name, rate in demand.items() if rate}

    def set_shares(self, now: float, rows: list[shares.Share]) -> None:
        """Replaces all shares of every organisation that occurs in `rows`."""
        moved = {row.name for row in rows}
        for name in moved:
            self._owners_by_name[name] = []
        self._owned_shares = [
            row for row in self._owned_shares if row.name not in moved
        ]
        for row in sorted(rows, key=self._proximity_key):
            owners = self._owners_by_name[row.name]
            for process in (row.owner, row.floor_owner):
                if process and process not in owners:
                    owners.append(process)
            if self._process in (row.owner, row.floor_owner):
                self._owned_shares.append(row)
        self._update_owned_shares(now)

    def _proximity_key(self, row: shares.Share) -> tuple[bool, float, str]:
        return (row.failure_domain
                != self._failure_domain, -row.part, row.failure_domain)

    def _lease_remaining_s(self, now: float) -> float:
        confirmed_at = self._confirmed_at()
        if confirmed_at is None:
            return 0.0
        return confirmed_at + shares.LEASE_S - now

    def _update_owned_shares(self, now: float) -> None:
        """Sizes the owned buckets by the shares, the limits and the lease."""
        remaining_s = self._lease_remaining_s(now)
        leased = remaining_s > _MIN_LEASE_S
        ttl_s = min(owner.GRANT_TTL_S,
                    remaining_s) if leased else owner.GRANT_TTL_S
        fraction_by_name: dict[str, float] = {}
        for row in self._owned_shares:
            fraction = row.usable_fraction(self._process, leased)
            fraction_by_name[row.name] = fraction_by_name.get(row.name,
                                                              0.0) + fraction
        for name in set(fraction_by_name) | set(self._share_owner.names()):
            cache = self._cache_by_name.get(name)
            fraction = fraction_by_name.get(name,
                                            0.0) if cache is not None else 0.0
            rate = 0.0 if cache is None else cache.rate_per_s * fraction
            burst = 0.0 if cache is None else cache.burst * fraction
            self._share_owner.set_share(now, name, rate, burst, ttl_s)

    # Admission.

    def try_acquire(self, now: float, name: str) -> bool:
        cache = self._cache_by_name.get(name)
        if cache is None:
            return False
        cache.record_call()
        self._active_names.add(name)
        return cache.spend(now)

    async def acquire(self, name: str) -> bool:
        cache = self._cache_by_name.get(name)
        if cache is None or cache.exhausted_until > self._clock():
            return False
        cache.waiting += 1
        try:
            async with asyncio.timeout(_ACQUIRE_TIMEOUT_S):
                return await self._acquire_from_owners(name, cache)
        except TimeoutError:
            return False
        finally:
            cache.waiting -= 1

    async def _acquire_from_owners(self, name: str,
                                   cache: token_cache.TokenCache) -> bool:
        for process in list(self._owners_by_name.get(name, ())):
            if not cache.can_request(self._clock(), process):
                continue
            # An exchange already in flight may not include this call in its
            # request, so a second one is run if the first gives no token.
            for _ in range(2):
                started_here = process not in self._exchange_by_owner
                await self._join_exchange(process)
                if cache.spend(self._clock()):
                    return True
                if started_here or not cache.can_request(
                        self._clock(), process):
                    break
        cache.exhausted_until = cache.next_retry_at(self._clock())
        return False

    async def _join_exchange(self, process: str) -> None:
        """Waits for the exchange in flight with an owner, or starts one."""
        task = self._exchange_by_owner.get(process)
        if task is None:
            task = asyncio.ensure_future(self._run_exchange(process))
            self._exchange_by_owner[process] = task
        # A waiter may time out; the shared exchange must not be cancelled.
        await asyncio.shield(task)

    async def _run_exchange(self, process: str) -> None:
        try:
            sequence = self._sequence_by_owner.get(process, 0) + 1
            self._sequence_by_owner[process] = sequence
            sent_at = self._clock()
            requests = [
                self._cache_by_name[name].build_request(sent_at, name, process)
                for name in self._active_names
                if process in self._owners_by_name.get(name, ())
            ]
            requests = [
                request for request in requests if request.worth_sending()
            ]
            reply = await self._send(
                process, owner.GrantRequest(self._process, sequence, requests))
            now = self._clock()
            for request in requests:
                cache = self._cache_by_name.get(request.name)
                if reply is None and cache is not None:
                    cache.record_failure(now, process, _FAILURE_BACKOFF_S)
            if reply is None or reply.sequence != sequence:
                return
            for grant in reply.grants:
                cache = self._cache_by_name.get(grant.name)
                if cache is not None:
                    cache.add_grant(sent_at, now, process, grant)
        finally:
            del self._exchange_by_owner[process]

    async def _send(self, process: str,
                    request: owner.GrantRequest) -> owner.GrantReply | None:
        if process == self._process:
            return self.serve(request)
        self.requests_sent += 1
        return await self._grant_transport.send(process, request)

    def serve(self, request: owner.GrantRequest) -> owner.GrantReply:
        """Grants a node tokens of the shares that this process owns."""
        now = self._clock()
        self._update_owned_shares(now)
        return self._share_owner.answer(now, request)

    def tick(self, now: float) -> None:
        """Renews grants that run low before calls have to wait for them.

        Also returns excess tokens and reports spent ones to their owners.
        """
        self._update_owned_shares(now)
        for name in list(self._active_names):
            cache = self._cache_by_name[name]
            cache.tick(now)
            if cache.is_idle(now):
                self._active_names.discard(name)
            elif cache.excess(now):
                self._start_exchange(cache.owner_with_tokens(now))
            elif cache.is_low(now) and cache.exhausted_until <= now:
                self._start_exchange(
                    self._first_available_owner(now, name, cache))
            else:
                self._start_exchange(cache.owner_with_unreported(now))

    def _first_available_owner(self, now: float, name: str,
                               cache: token_cache.TokenCache) -> str | None:
        for process in self._owners_by_name.get(name, ()):
            if cache.can_request(now, process):
                return process
        return None

    def _start_exchange(self, process: str | None) -> None:
        if process is None or process in self._exchange_by_owner:
            return
        self._exchange_by_owner[process] = asyncio.ensure_future(
            self._run_exchange(process))
