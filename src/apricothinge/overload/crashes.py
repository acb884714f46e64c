"""Requests that crash the upstreams that run them."""

import hashlib
from typing import Final

__all__ = ["CrashTable", "request_fingerprint"]

_CRASH_LIMIT: Final = 2
_SUSPECT_TTL_S: Final = 600.0
_BLOCK_S: Final = 120.0
_DIGEST_BYTES: Final = 16


def request_fingerprint(organisation_id: str, method: str, target: str,
                        content: bytes) -> str:
    """Names a request by what it asks, whoever resends it."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (organisation_id.encode(), method.encode(), target.encode(),
                 content):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class _CrashRecord:
    """What is held against one fingerprint.

    Attributes:
        crash_ids: The crashes that it was in flight in.
        blocked_until: Time in seconds; 0 while it is only suspected.
        crashed_at: Time in seconds of the last crash.
    """

    __slots__ = ("crash_ids", "blocked_until", "crashed_at")

    def __init__(self) -> None:
        self.crash_ids: set[str] = set()
        self.blocked_until = 0.0
        self.crashed_at = 0.0


class CrashTable:
    """Counts the crashes that each request was in flight in.

    A request that an upstream answers is cleared: what crashes whoever runs
    it never gets that far, while its innocent neighbours do.
    """

    __slots__ = ("_records", "_crash_limit", "outbox")

    def __init__(self, crash_limit: int = _CRASH_LIMIT) -> None:
        """Starts with no suspicion.

        Args:
            crash_limit: Crashes after which a request is refused.
        """
        self._crash_limit = crash_limit
        self._records: dict[str, _CrashRecord] = {}
        self.outbox: list[tuple[str, str]] = []

    def is_blocked(self, now: float, fingerprint: str) -> bool:
        """Tells whether a request must not run now."""
        record = self._records.get(fingerprint)
        return record is not None and record.blocked_until > now

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a request was in flight in a crash."""
        return fingerprint in self._records

    def record_crash(self,
                     now: float,
                     fingerprint: str,
                     crash_id: str,
                     *,
                     reported: bool = False) -> None:
        """Takes in that a request was in flight in a crash.

        Args:
            now: Time in seconds.
            fingerprint: The request's fingerprint.
            crash_id: Names the crash: the instance and its incarnation.
            reported: Whether another node reported it.
        """
        record = self._records.setdefault(fingerprint, _CrashRecord())
        if crash_id in record.crash_ids:
            return
        record.crash_ids.add(crash_id)
        record.crashed_at = now
        if len(record.crash_ids) >= self._crash_limit:
            record.blocked_until = now + _BLOCK_S
        if not reported:
            self.outbox.append((fingerprint, crash_id))

    def record_response(self, now: float, fingerprint: str) -> None:
        """Clears a request that an upstream has answered."""
        record = self._records.get(fingerprint)
        if record is not None and record.blocked_until <= now:
            del self._records[fingerprint]

    def tick(self, now: float) -> None:
        """Forgets what is old."""
        for fingerprint, record in list(self._records.items()):
            if record.blocked_until > now:
                continue
            if record.blocked_until or now - record.crashed_at > _SUSPECT_TTL_S:
                del self._records[fingerprint]

    def crash_counts(self) -> dict[str, int]:
        """Crashes by fingerprint, for the dump."""
        return {
            fingerprint: len(record.crash_ids)
            for fingerprint, record in self._records.items()
        }
