"""Idempotency keys: claims for at-most-once execution, stored responses."""

import abc
from collections.abc import Callable
import enum
from typing import Final

import msgspec

__all__ = [
    "ClaimResult", "ClaimRow", "ClaimState", "ClaimStore", "ClaimTable",
    "LocalClaimStore", "StoredResponse"
]

MAX_STORED_RESPONSE_BYTES: Final = 4096


class ClaimState(enum.Enum):
    """State of an idempotency key as seen by a claimant."""

    TAKEN = "taken"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


class StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    """A response stored for replay; `kept` is false if it was too large."""

    status: int
    headers: list[tuple[bytes, bytes]]
    data: bytes
    kept: bool = True


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of claiming a key.

    Attributes:
        state: TAKEN means that only this claimant may run the request.
        response: The stored response if the state is DONE.
    """

    state: ClaimState
    response: StoredResponse | None = None


class ClaimStore(abc.ABC):
    """Grants each idempotency key to at most one execution at a time."""

    __slots__ = ()

    @abc.abstractmethod
    async def take(self, name: str, request_hash: str, owner: str,
                   timeout_s: float) -> ClaimResult:
        """Claims a key.

        Args:
            name: Organisation, service and key joined into one string.
            request_hash: Detects a different request that reuses the key.
            owner: Unguessable identifier of this execution.
            timeout_s: Seconds until the deadline of the execution.
        """

    @abc.abstractmethod
    async def record(self, name: str, owner: str,
                     response: StoredResponse) -> None:
        """Stores the response for replay to later requests with the key."""

    @abc.abstractmethod
    async def release(self, name: str, owner: str) -> None:
        """Releases a key after a request that certainly did not run."""

    @abc.abstractmethod
    async def give_up(self, name: str, owner: str) -> None:
        """Marks the outcome of the execution as permanently unknown."""


class ClaimRow(msgspec.Struct, array_like=True):
    """Stored state of one claimed key.

    Attributes:
        request_hash: Hash of the request that claimed the key.
        owner: Identifier of the execution that holds the key.
        state: IN_PROGRESS, DONE or UNKNOWN.
        expires_at: Time in seconds after which the outcome of an execution
            still in progress is reported as unknown.
        delete_at: Time in seconds at which the row is deleted.
        response: The stored response, if any.
    """

    request_hash: str
    owner: str
    state: ClaimState
    expires_at: float
    delete_at: float
    response: StoredResponse | None = None


class ClaimTable:
    """Deterministic state machine of claims.

    The time is part of each input, so that all replicas reach the same state.
    """

    __slots__ = ("by_name", "_retention_s")

    def __init__(self, retention_s: float) -> None:
        self.by_name: dict[str, ClaimRow] = {}
        self._retention_s = retention_s

    def take(self, now: float, name: str, request_hash: str, owner: str,
             timeout_s: float) -> ClaimResult:
        """Grants a key or returns the state of the earlier execution."""
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
        """Stores the response of the execution that holds the key."""
        row = self.by_name.get(name)
        if row is None or row.owner != owner:
            return
        row.state = ClaimState.DONE
        row.response = response
        row.delete_at = now + self._retention_s

    def release(self, name: str, owner: str) -> None:
        """Releases the key of an execution that did not run."""
        row = self.by_name.get(name)
        if (row is not None and row.owner == owner and
                row.state is ClaimState.IN_PROGRESS):
            del self.by_name[name]

    def give_up(self, name: str, owner: str) -> None:
        """Marks the outcome of an execution in progress as unknown."""
        row = self.by_name.get(name)
        if (row is not None and row.owner == owner and
                row.state is ClaimState.IN_PROGRESS):
            row.state = ClaimState.UNKNOWN

    def expire(self, now: float) -> None:
        """Deletes rows whose retention period has ended."""
        for name, row in list(self.by_name.items()):
            if row.delete_at <= now:
                del self.by_name[name]


class LocalClaimStore(ClaimStore):
    """In-process claim store for single-node deployments and tests."""

    __slots__ = ("_claims", "_clock")

    def __init__(self,
                 clock: Callable[[], float],
                 retention_s: float = 600.0) -> None:
        self._claims = ClaimTable(retention_s)
        self._clock = clock

    async def take(self, name: str, request_hash: str, owner: str,
                   timeout_s: float) -> ClaimResult:
        now = self._clock()
        self._claims.expire(now)
        return self._claims.take(now, name, request_hash, owner, timeout_s)

    async def record(self, name: str, owner: str,
                     response: StoredResponse) -> None:
        self._claims.record(self._clock(), name, owner, response)

    async def release(self, name: str, owner: str) -> None:
        self._claims.release(name, owner)

    async def give_up(self, name: str, owner: str) -> None:
        self._claims.give_up(name, owner)
