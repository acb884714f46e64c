"""The story of one request, out of the logs of several processes."""

from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

__all__ = ["Line", "timeline"]

# What a process believes matters for a request from this long before it, and
# each such line is told once.
_CONTEXT_WINDOW_S: Final = 10.0
_REQUEST_FIELD: Final = "request"
_OMITTED_FIELDS: Final = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type"))
_CONTEXT_KIND_PREFIXES: Final = ("upstream:", "control:", "state:", "node:",
                                 "link:", "settings:")


class Line(msgspec.Struct):
    """One line of a log.

    Attributes:
        process: Name of the file or process that wrote it.
        at: Time of day in seconds on that machine's clock.
        kind: What was decided or learned.
        fields: What decided it, and the outcome.
    """

    process: str
    at: float
    kind: str
    fields: dict[str, Any]


def _parse(process: str, text: str) -> Line | None:
    """Reads a line; None for what is no line of a log."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        record = msgspec.json.decode(text[start:])
        at = float(record["timestamp"])
        kind = str(record["message_type"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None
    # Collected logs may carry the writer's name in front of each line.
    prefix_words = text[:start].split()
    return Line(
        prefix_words[-1] if prefix_words else process, at, kind, {
            name: value
            for name, value in record.items()
            if name not in _OMITTED_FIELDS
        })


def _belongs_to(line: Line, request_id: str) -> bool:
    """Tells whether a line is about a request or a call nested in it."""
    line_request_id = str(line.fields.get(_REQUEST_FIELD, ""))
    return line_request_id == request_id or line_request_id.startswith(
        request_id + ".")


def timeline(request_id: str,
             lines_by_process: Mapping[str, Iterable[str]]) -> list[Line]:
    """Gathers what happened to a request.

    Args:
        request_id: Its identity, or the first part of it.
        lines_by_process: Raw lines of logs by process.

    Returns:
        In order of time, the lines on the request and on calls nested in it,
        and what the processes that it met had learned shortly before. Empty
        where no line names the request.
    """
    parsed = []
    for process, texts in lines_by_process.items():
        for text in texts:
            line = _parse(process, text)
            if line is not None:
                parsed.append(line)
    request_lines = [line for line in parsed if _belongs_to(line, request_id)]
    if not request_lines:
        return []
    processes = {line.process for line in request_lines}
    first_at = min(line.at for line in request_lines)
    last_at = max(line.at for line in request_lines)
    context_lines = [
        line for line in parsed
        if line.process in processes and _REQUEST_FIELD not in line.fields and
        line.kind.startswith(_CONTEXT_KIND_PREFIXES) and first_at -
        _CONTEXT_WINDOW_S <= line.at <= last_at
    ]
    return sorted(request_lines + context_lines, key=lambda line: line.at)
