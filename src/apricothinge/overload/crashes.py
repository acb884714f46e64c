"""Detects requests that crash the upstreams that run them."""

import hashlib
from typing import Final

__all__ = ["CrashTable", "FINGERPRINT_BYTES", "request_fingerprint"]

# Of content that is streamed, this much enters the fingerprint.
FINGERPRINT_BYTES: Final = 16384
_CRASH_LIMIT: Final = 2
_SUSPECT_TTL_S: Final = 600.0
_BLOCK_S: Final = 120.0
# After a block, one further crash brings another one, this much longer.
_BLOCK_GROWTH: Final = 4.0
_MAX_BLOCK_S: Final = 86400.0
_DIGEST_BYTES: Final = 16


def request_fingerprint(organisation_id: str, method: str, target: str,
                        content: bytes) -> str:
    """Returns a digest of a request that is the same for every resend."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (organisation_id.encode(), method.encode(), target.encode(),
                 content):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class _CrashRecord:
    """Crash history of one fingerprint.

    Attributes:
        crash_ids: Crashes during which the request was in flight.
        blocked_until: End of the latest block in seconds; 0 if only suspected.
        next_block_s: Duration of the next block in seconds.
        crashed_at: Time of the last crash, in seconds.
    """

    __slots__ = ("crash_ids", "blocked_until", "next_block_s", "crashed_at")

    def __init__(self) -> None:
        self.crash_ids: set[str] = set()
        self.blocked_until = 0.0
        self.next_block_s = _BLOCK_S
        self.crashed_at = 0.0

    @property
    def forgotten_at(self) -> float:
        """When the request counts as harmless, in seconds."""
        if not self.blocked_until:
            return self.crashed_at + _SUSPECT_TTL_S
        return self.blocked_until + max(_SUSPECT_TTL_S, self.next_block_s)


class CrashTable:
    """Counts the crashes during which each request was in flight.

    A request is cleared once an upstream responds to it: a request that causes
    crashes never completes, but others in flight at the same time do.

    Attributes:
        outbox: Fingerprints and crash IDs not yet sent to other nodes.
    """

    __slots__ = ("_records", "_crash_limit", "outbox")

    def __init__(self, crash_limit: int = _CRASH_LIMIT) -> None:
        """Creates an empty table.

        Args:
            crash_limit: Number of crashes after which a request is blocked.
        """
        self._crash_limit = crash_limit
        self._records: dict[str, _CrashRecord] = {}
        self.outbox: list[tuple[str, str]] = []

    def is_blocked(self, now: float, fingerprint: str) -> bool:
        """Returns whether a request must be refused."""
        record = self._records.get(fingerprint)
        return record is not None and record.blocked_until > now

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request was in flight during a crash."""
        return fingerprint in self._records

    def record_crash(self,
                     now: float,
                     fingerprint: str,
                     crash_id: str,
                     *,
                     reported: bool = False) -> None:
        """Records that a request was in flight during a crash.

        Args:
            now: Current time in seconds.
            fingerprint: Fingerprint of the request.
            crash_id: Instance and incarnation that identify the crash.
            reported: Whether another node reported the crash, in which case it
                is not added to the outbox.
        """
        record = self._records.setdefault(fingerprint, _CrashRecord())
        if crash_id in record.crash_ids:
            return
        record.crash_ids.add(crash_id)
        record.crashed_at = now
        if (len(record.crash_ids) >= self._crash_limit and
                record.blocked_until <= now):
            record.blocked_until = now + record.next_block_s
            record.next_block_s = min(record.next_block_s * _BLOCK_GROWTH,
                                      _MAX_BLOCK_S)
        if not reported:
            self.outbox.append((fingerprint, crash_id))

    def record_response(self, now: float, fingerprint: str) -> None:
        """Clears a request that an upstream responded to, unless blocked."""
        record = self._records.get(fingerprint)
        if record is not None and record.blocked_until <= now:
            del self._records[fingerprint]

    def tick(self, now: float) -> None:
        """Drops expired suspicions, also of requests that were blocked."""
        for fingerprint, record in list(self._records.items()):
            if record.forgotten_at <= now:
                del self._records[fingerprint]

    def report_again(self, now: float) -> None:
        """Puts all suspicions and current blocks into the outbox again.

        Whoever received the earlier reports may be gone.

        Args:
            now: Current time in seconds.
        """
        self.outbox = [(fingerprint, crash_id)
                       for fingerprint, record in self._records.items()
                       if not 0 < record.blocked_until <= now
                       for crash_id in sorted(record.crash_ids)]

    def crash_counts(self) -> dict[str, int]:
        """Returns the number of crashes by fingerprint, for the dump."""
        return {
            fingerprint: len(record.crash_ids)
            for fingerprint, record in self._records.items()
        }
