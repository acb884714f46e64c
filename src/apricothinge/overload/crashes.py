"""Requests that crash the upstreams that run them."""

import hashlib
from typing import Final

__all__ = ["CrashTable", "fingerprint"]

_LIMIT: Final = 2
_SUSPICION_LIFE_S: Final = 600.0
_CONDEMNED_LIFE_S: Final = 120.0
_DIGEST_BYTES: Final = 16


def fingerprint(organisation_id: str, method: str, target: str,
                content: bytes) -> str:
    """Names a request by what it asks, whoever resends it."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (organisation_id.encode(), method.encode(), target.encode(),
                 content):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class _Row:
    """What is held against one fingerprint.

    Attributes:
        crash_ids: The crashes that it was in flight in.
        condemned_until: Time in seconds; 0 while it is only suspected.
        seen_at: Time in seconds of the last crash.
    """

    __slots__ = ("crash_ids", "condemned_until", "seen_at")

    def __init__(self) -> None:
        self.crash_ids: set[str] = set()
        self.condemned_until = 0.0
        self.seen_at = 0.0


class CrashTable:
    """Counts the crashes that each request was in flight in.

    A request that an upstream answers is cleared: what crashes whoever runs
    it never gets that far, while its innocent neighbours do.
    """

    __slots__ = ("_by_fingerprint", "_limit", "outbox")

    def __init__(self, limit: int = _LIMIT) -> None:
        """Starts with no suspicion.

        Args:
            limit: Crashes after which a request is refused.
        """
        self._limit = limit
        self._by_fingerprint: dict[str, _Row] = {}
        self.outbox: list[tuple[str, str]] = []

    def refuses(self, now: float, name: str) -> bool:
        """Tells whether a request must not run now."""
        row = self._by_fingerprint.get(name)
        return row is not None and row.condemned_until > now

    def suspects(self, name: str) -> bool:
        """Tells whether a request was in flight in a crash."""
        return name in self._by_fingerprint

    def crashed(self,
                now: float,
                name: str,
                crash_id: str,
                *,
                told: bool = False) -> None:
        """Takes in that a request was in flight in a crash.

        Args:
            now: Time in seconds.
            name: The request's fingerprint.
            crash_id: Names the crash: the instance and its incarnation.
            told: Whether another node reported it.
        """
        row = self._by_fingerprint.setdefault(name, _Row())
        if crash_id in row.crash_ids:
            return
        row.crash_ids.add(crash_id)
        row.seen_at = now
        if len(row.crash_ids) >= self._limit:
            row.condemned_until = now + _CONDEMNED_LIFE_S
        if not told:
            self.outbox.append((name, crash_id))

    def answered(self, now: float, name: str) -> None:
        """Clears a request that an upstream has answered."""
        row = self._by_fingerprint.get(name)
        if row is not None and row.condemned_until <= now:
            del self._by_fingerprint[name]

    def tick(self, now: float) -> None:
        """Forgets what is old."""
        for name, row in list(self._by_fingerprint.items()):
            if row.condemned_until > now:
                continue
            if row.condemned_until or now - row.seen_at > _SUSPICION_LIFE_S:
                del self._by_fingerprint[name]

    def rows(self) -> dict[str, int]:
        """Crashes by fingerprint, for the dump."""
        return {
            name: len(row.crash_ids)
            for name, row in self._by_fingerprint.items()
        }
