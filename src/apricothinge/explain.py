"""Timeline of one request, assembled from the logs of several processes."""

from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

__all__ = ["Line", "timeline"]

# Events in this window before the request's first line are included: changes
# that a process logs only once can still affect the request.
_CONTEXT_WINDOW_S: Final = 10.0
_REQUEST_FIELD: Final = "request"
_OMITTED_FIELDS: Final = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type"))
_CONTEXT_KIND_PREFIXES: Final = ("upstream:", "control:", "state:", "node:",
                                 "link:", "settings:")


class Line(msgspec.Struct):
    """One event in a log.

    Attributes:
        process: Name of the process that wrote it, or of its log file.
        at: Unix time in seconds by the clock of that machine.
        kind: Type of the event.
        fields: Other fields of the event.
    """

    process: str
    at: float
    kind: str
    fields: dict[str, Any]


def _parse(process: str, text: str) -> Line | None:
    """Parses a log line; returns None if it is not an event."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        record = msgspec.json.decode(text[start:])
        at = float(record["timestamp"])
        kind = str(record["message_type"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None
    # Log collectors may prefix each line with the name of the process.
    prefix_words = text[:start].split()
    return Line(
        prefix_words[-1] if prefix_words else process, at, kind, {
            name: value
            for name, value in record.items()
            if name not in _OMITTED_FIELDS
        })


def _belongs_to(line: Line, request_id: str) -> bool:
    """Whether a line belongs to a request or one of its nested calls."""
    line_request_id = str(line.fields.get(_REQUEST_FIELD, ""))
    return line_request_id == request_id or line_request_id.startswith(
        request_id + ".")


def timeline(request_id: str,
             lines_by_process: Mapping[str, Iterable[str]]) -> list[Line]:
    """Collects the log lines that explain what happened to a request.

    Args:
        request_id: Request ID; IDs of nested calls extend it after a dot.
        lines_by_process: Raw log lines by process name.

    Returns:
        Lines of the request and its nested calls, with the state changes that
        the same processes logged during the request or shortly before it, in
        order of time. Empty if no line mentions the request.
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
