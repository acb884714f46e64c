"""Logs of a process: one JSON object a line, bounded and never blocking."""

import os
import sys
import time
from typing import Any, Final, TextIO

import eliot

__all__ = ["Writer", "event", "omitted", "start", "start_bounded"]

_BUFFER_BYTES: Final = 1 << 20
# At 50 lines of 300 bytes a second for each kind, a process with twenty busy
# kinds writes 300 KB a second at most.
_LINES_PER_S: Final = 50.0
_BURST_LINES: Final = 100.0


class _Budget:
    """Lines of one kind that may still be written.

    Attributes:
        left: Lines at hand.
        filled_at: Time in seconds of the last refill.
        omitted: Lines left out since the last one that was written.
    """

    __slots__ = ("left", "filled_at", "omitted")

    def __init__(self, now: float) -> None:
        self.left = _BURST_LINES
        self.filled_at = now
        self.omitted = 0

    def take(self, now: float) -> bool:
        """Takes room for a line; False where there is none."""
        self.left = min(_BURST_LINES,
                        self.left + (now - self.filled_at) * _LINES_PER_S)
        self.filled_at = now
        if self.left < 1.0:
            self.omitted += 1
            return False
        self.left -= 1.0
        return True


class Writer:
    """Writes lines to a descriptor without waiting for its reader.

    Attributes:
        omitted: Lines dropped because nobody read.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._held = bytearray()
        self.omitted = 0
        os.set_blocking(descriptor, False)

    def write(self, data: bytes) -> None:
        """Writes a line, or keeps it while there is room in the buffer."""
        if len(self._held) + len(data) > _BUFFER_BYTES:
            self.omitted += 1
            return
        self._held += data
        try:
            written = os.write(self._descriptor, self._held)
        except (BlockingIOError, BrokenPipeError):
            return
        del self._held[:written]

    def flush(self) -> None:
        """Does nothing: each line is offered as it comes."""


class _Budgets:
    """The budgets of all kinds of lines.

    Attributes:
        omitted: Lines left out since the process started.
    """

    __slots__ = ("omitted", "_budget_by_kind")

    def __init__(self) -> None:
        self.omitted = 0
        self._budget_by_kind: dict[str, _Budget] = {}

    def take(self, kind: str) -> _Budget | None:
        """Takes room for a line; None where there is none."""
        now = time.monotonic()
        budget = self._budget_by_kind.get(kind)
        if budget is None:
            budget = self._budget_by_kind[kind] = _Budget(now)
        if budget.take(now):
            return budget
        self.omitted += 1
        return None


_BUDGETS: Final = _Budgets()


def omitted() -> int:
    """Lines of this process that were left out."""
    return _BUDGETS.omitted


def event(kind: str, **fields: Any) -> None:
    """Logs a decision, within the budget of its kind.

    Args:
        kind: What was decided or learned.
        **fields: What decided it, and the outcome.
    """
    budget = _BUDGETS.take(kind)
    if budget is None:
        return
    if budget.omitted:
        fields["omitted"] = budget.omitted
        budget.omitted = 0
    eliot.log_message(kind, **fields)


def start(stream: TextIO = sys.stderr) -> None:
    """Sends log lines to a stream."""
    eliot.to_file(stream)


def start_bounded(descriptor: int = 1) -> Writer:
    """Sends log lines to a descriptor that may stop being read."""
    made = Writer(descriptor)
    eliot.to_file(made)
    return made
