"""Logs of a process: one JSON object a line, bounded and never blocking."""

import os
import sys
import time
from typing import Any, Final, TextIO

import eliot

__all__ = [
    "NonBlockingWriter", "event", "omitted_lines", "start", "start_nonblocking"
]

_BUFFER_BYTES: Final = 1 << 20
# At 50 lines of 300 bytes a second for each kind, a process with twenty busy
# kinds writes 300 KB a second at most.
_LINES_PER_S: Final = 50.0
_BURST_LINES: Final = 100.0


class _TokenBucket:
    """Lines of one kind that may still be written.

    Attributes:
        tokens: Lines at hand.
        refilled_at: Time in seconds of the last refill.
        omitted: Lines left out since the last one that was written.
    """

    __slots__ = ("tokens", "refilled_at", "omitted")

    def __init__(self, now: float) -> None:
        self.tokens = _BURST_LINES
        self.refilled_at = now
        self.omitted = 0

    def take(self, now: float) -> bool:
        """Takes room for a line; False where there is none."""
        self.tokens = min(_BURST_LINES,
                          self.tokens + (now - self.refilled_at) * _LINES_PER_S)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.omitted += 1
            return False
        self.tokens -= 1.0
        return True


class NonBlockingWriter:
    """Writes lines to a descriptor without waiting for its reader.

    Attributes:
        omitted: Lines dropped because nobody read.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.omitted = 0
        os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> None:
        """Writes a line, or keeps it while there is room in the buffer."""
        if len(self._buffer) + len(data) > _BUFFER_BYTES:
            self.omitted += 1
            return
        self._buffer += data
        try:
            written = os.write(self._descriptor, self._buffer)
        except (BlockingIOError, BrokenPipeError):
            return
        del self._buffer[:written]

    def flush(self) -> None:
        """Does nothing: each line is offered as it comes."""


class _TokenBuckets:
    """The budgets of all kinds of lines.

    Attributes:
        omitted: Lines left out since the process started.
    """

    __slots__ = ("omitted", "_bucket_by_kind")

    def __init__(self) -> None:
        self.omitted = 0
        self._bucket_by_kind: dict[str, _TokenBucket] = {}

    def take(self, kind: str) -> _TokenBucket | None:
        """Takes room for a line; None where there is none."""
        now = time.monotonic()
        bucket = self._bucket_by_kind.get(kind)
        if bucket is None:
            bucket = self._bucket_by_kind[kind] = _TokenBucket(now)
        if bucket.take(now):
            return bucket
        self.omitted += 1
        return None


_BUCKETS: Final = _TokenBuckets()


def omitted_lines() -> int:
    """Lines of this process that were left out."""
    return _BUCKETS.omitted


def event(kind: str, **fields: Any) -> None:
    """Logs a decision, within the budget of its kind.

    Args:
        kind: What was decided or learned.
        **fields: What decided it, and the outcome.
    """
    bucket = _BUCKETS.take(kind)
    if bucket is None:
        return
    if bucket.omitted:
        fields["omitted"] = bucket.omitted
        bucket.omitted = 0
    eliot.log_message(kind, **fields)


def start(stream: TextIO = sys.stderr) -> None:
    """Sends log lines to a stream."""
    eliot.to_file(stream)


def start_nonblocking(descriptor: int = 1) -> NonBlockingWriter:
    """Sends log lines to a descriptor that may stop being read."""
    writer = NonBlockingWriter(descriptor)
    eliot.to_file(writer)
    return writer
