"""Structured logs with one JSON object per line.

Each event type has a rate limit, and writing never blocks the process.
"""

import asyncio
import atexit
import os
import sys
import time
from typing import Any, Final, TextIO

import eliot
import msgspec

__all__ = [
    "NonBlockingWriter", "event", "omitted_lines", "start", "start_nonblocking"
]

# Each write wakes up the reader of the log.
_WRITE_INTERVAL_S: Final = 0.1
_BUFFER_BYTES: Final = 1 << 20
# With lines of 300 bytes and twenty event types at their limit of 50 lines per
# second, a process writes at most 300 KB per second.
_LINES_PER_S: Final = 50.0
_BURST_LINES: Final = 100.0


class _TokenBucket:
    """Token bucket that limits the lines of one event type.

    Attributes:
        tokens: Number of lines that may be written now.
        refilled_at: Monotonic time of the last refill in seconds.
        omitted: Number of lines omitted since the last written line.
    """

    __slots__ = ("tokens", "refilled_at", "omitted")

    def __init__(self, now: float) -> None:
        self.tokens = _BURST_LINES
        self.refilled_at = now
        self.omitted = 0

    def take(self, now: float) -> bool:
        """Takes a token for one line; returns False if there is none."""
        self.tokens = min(_BURST_LINES,
                          self.tokens + (now - self.refilled_at) * _LINES_PER_S)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.omitted += 1
            return False
        self.tokens -= 1.0
        return True


class NonBlockingWriter:
    """Writes lines to a file descriptor without blocking.

    Lines that the reader does not accept yet are buffered up to a limit. Lines
    of an event loop are written together, several times a second.

    Attributes:
        omitted: Number of lines dropped because the buffer was full.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._write_scheduled = False
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self.omitted = 0
        os.set_blocking(descriptor, False)

    def write_message(self, message: dict[str, Any]) -> None:
        """Writes a message as a line of JSON."""
        self.write(self._encoder.encode(message) + b"\n")

    def write(self, data: bytes) -> None:
        """Writes a line or buffers it; drops it if the buffer is full."""
        if len(self._buffer) + len(data) > _BUFFER_BYTES:
            self.omitted += 1
            return
        self._buffer += data
        if self._write_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._write_scheduled = True
        loop.call_later(_WRITE_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Writes what the reader accepts."""
        self._write_scheduled = False
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except (BlockingIOError, BrokenPipeError):
            return
        del self._buffer[:written]


class _TokenBuckets:
    """Token buckets by event type.

    Attributes:
        omitted: Number of lines omitted since the process started.
    """

    __slots__ = ("omitted", "_bucket_by_kind")

    def __init__(self) -> None:
        self.omitted = 0
        self._bucket_by_kind: dict[str, _TokenBucket] = {}

    def take(self, kind: str) -> _TokenBucket | None:
        """Takes a token for one line; returns its bucket, or None if empty."""
        now = time.monotonic()
        bucket = self._bucket_by_kind.get(kind)
        if bucket is None:
            bucket = self._bucket_by_kind[kind] = _TokenBucket(now)
        if bucket.take(now):
            return bucket
        self.omitted += 1
        return None


_BUCKETS: Final = _TokenBuckets()
# The task that the lines of this process belong to, if it writes its own log.
# Without one, each line would be a task with an identifier of its own.
_TASKS: Final[list[Any]] = []


def omitted_lines() -> int:
    """Returns the number of lines that the rate limits have omitted."""
    return _BUCKETS.omitted


def event(kind: str, **fields: Any) -> None:
    """Logs an event, unless its type is over the rate limit.

    The next line of the same type reports the number of omitted lines.

    Args:
        kind: Type of the event.
        **fields: Fields of the event.
    """
    bucket = _BUCKETS.take(kind)
    if bucket is None:
        return
    if bucket.omitted:
        fields["omitted"] = bucket.omitted
        bucket.omitted = 0
    task = _TASKS[-1] if _TASKS else None
    if task is None:
        eliot.log_message(kind, **fields)
    else:
        task.log(kind, **fields)


def start(stream: TextIO = sys.stderr) -> None:
    """Starts writing log lines to a stream."""
    eliot.to_file(stream)


def start_nonblocking(descriptor: int = 1) -> NonBlockingWriter:
    """Starts writing log lines to a descriptor without blocking on it.

    Used where the reader of the log may stop reading.
    """
    writer = NonBlockingWriter(descriptor)
    eliot.add_destinations(writer.write_message)
    atexit.register(writer.flush)
    _TASKS.append(eliot.start_task(action_type="process"))
    return writer
