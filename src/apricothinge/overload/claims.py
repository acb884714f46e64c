"""At most once: claims on idempotency keys and the answers to resends."""

import abc
import enum
from collections.abc import Callable
from typing import Final

import msgspec

__all__ = [
    "ClaimResult", "ClaimRow", "ClaimState", "ClaimStore", "ClaimTable",
    "LocalClaimStore", "StoredResponse"
]

MAX_STORED_RESPONSE_BYTES: Final = 4096


class ClaimState(enum.Enum):
    """What a claim on a key says about the operation."""

    TAKEN = "taken"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


class StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    """An answer kept for resends; `kept` is false where it was too large."""

    status: int
    headers: list[tuple[bytes, bytes]]
    data: bytes
    kept: bool = True


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of asking for a key.

    Attributes:
        state: TAKEN means that the asker, and nobody else, may run it.
        response: The recorded answer, with DONE.
    """

    state: ClaimState
    response: StoredResponse | None = None


class ClaimStore(abc.ABC):
    """Gives each idempotency key to one run at most."""

    __slots__ = ()

    @abc.abstractmethod
    async def take(self, name: str, request_hash: str, owner: str,
                   timeout_s: float) -> ClaimResult:
        """Asks for a key.

        Args:
            name: Organisation, service and key in one string.
            request_hash: Tells one request from another under one key.
            owner: Unguessable name of this run.
            timeout_s: Seconds after which the run's deadline has passed.
        """

    @abc.abstractmethod
    async def record(self, name: str, owner: str,
                     response: StoredResponse) -> None:
        """Keeps the answer for resends."""

    @abc.abstractmethod
    async def release(self, name: str, owner: str) -> None:
        """Gives a key back because it is proved that nothing ran."""

    @abc.abstractmethod
    async def give_up(self, name: str, owner: str) -> None:
        """Notes that the outcome will stay unknown."""


class ClaimRow(msgspec.Struct, array_like=True):
    """One claimed key.

    Attributes:
        request_hash: The request that it was claimed for.
        owner: The run that holds it.
        state: IN_PROGRESS, DONE or UNKNOWN.
        expires_at: Time in seconds at which a run in progress is given up.
        delete_at: Time in seconds at which the row goes.
        response: The recorded answer.
    """

    request_hash: str
    owner: str
    state: ClaimState
    expires_at: float
    delete_at: float
    response: StoredResponse | None = None


class ClaimTable:
    """The state machine of claims: a pure function of its inputs.

    Times come with each input, so that replicas agree.
    """

    __slots__ = ("by_name", "_retention_s")

    def __init__(self, retention_s: float) -> None:
        self.by_name: dict[str, ClaimRow] = {}
        self._retention_s = retention_s

    def take(self, now: float, name: str, request_hash: str, owner: str,
             timeout_s: float) -> ClaimResult:
        """Gives a key to a run, or tells what became of the run before."""
        row = self.by_name.get(name)
        if row is None or row.delete_at <= now:
            self.by_name[name] = ClaimRow(request_hash, owner,
                                          ClaimState.IN_PROGRESS,
                                          now + timeout_s,
                                          now + timeout_s + self._retention_s)
            return ClaimResult(ClaimState.TAKEN)
        if row.request_hash != request_hash:
            return ClaimResult(ClaimState.MISMATCH)
        if row.state is ClaimState.IN_PROGRESS and row.owner == owner:
            return ClaimResult(ClaimState.TAKEN)
        if row.state is ClaimState.IN_PROGRESS and row.expires_at <= now:
            return ClaimResult(ClaimState.UNKNOWN)
        return ClaimResult(row.state, row.response)

    def record(self, now: float, name: str, owner: str,
               response: StoredResponse) -> None:
        """Keeps the answer of the run that holds the key."""
        row = self.by_name.get(name)
        if row is None or row.owner != owner:
            return
        row.state = ClaimState.DONE
        row.response = response
        row.delete_at = now + self._retention_s

    def release(self, name: str, owner: str) -> None:
        """Gives back the key of a run that did not happen."""
        row = self.by_name.get(name)
        if (row is not None and row.owner == owner and
                row.state is ClaimState.IN_PROGRESS):
            del self.by_name[name]

    def give_up(self, name: str, owner: str) -> None:
        """Notes that the run's outcome will stay unknown."""
        row = self.by_name.get(name)
        if (row is not None and row.owner == owner and
                row.state is ClaimState.IN_PROGRESS):
            row.state = ClaimState.UNKNOWN

    def expire(self, now: float) -> None:
        """Forgets rows whose retention is over."""
        for name, row in list(self.by_name.items()):
            if row.delete_at <= now:
                del self.by_name[name]


class LocalClaimStore(ClaimStore):
    """Claims inside one process, for a fleet of one node and for tests."""

    __slots__ = ("_table", "_clock")

    def __init__(self,
                 clock: Callable[[], float],
                 retention_s: float = 600.0) -> None:
        self._table = ClaimTable(retention_s)
        self._clock = clock

    async def take(self, name: str, request_hash: str, owner: str,
                   timeout_s: float) -> ClaimResult:
        now = self._clock()
        self._table.expire(now)
        return self._table.take(now, name, request_hash, owner, timeout_s)

    async def record(self, name: str, owner: str,
                     response: StoredResponse) -> None:
        self._table.record(self._clock(), name, owner, response)

    async def release(self, name: str, owner: str) -> None:
        self._table.release(name, owner)

    async def give_up(self, name: str, owner: str) -> None:
        self._table.give_up(name, owner)
