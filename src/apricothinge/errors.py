"""The closed list of error kinds and the answer that each one gets."""

import enum
from typing import Final

__all__ = ["Answer", "ApricothingeError", "CallError", "Kind", "Ran", "TABLE"]


class Kind(enum.Enum):
    """Every way in which a call or a command can fail."""

    MALFORMED_REQUEST = "malformed_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    CONTENT_TOO_LARGE = "content_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    ROUTE_FORBIDDEN = "route_forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CALL = "unknown_call"
    CONTEXT_INVALID = "context_invalid"
    DEPTH_EXCEEDED = "depth_exceeded"
    RATE_EXCEEDED = "rate_exceeded"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    DRAINING = "draining"
    ISOLATED = "isolated"
    EXPIRED = "expired"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UPSTREAM_FAILED = "upstream_failed"
    ANSWER_TOO_LARGE = "answer_too_large"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    IN_PROGRESS = "in_progress"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    CRASH_SUSPECTED = "crash_suspected"
    INTERNAL = "internal"
    SETTINGS_INVALID = "settings_invalid"
    CONFIGURATION_INVALID = "configuration_invalid"
    VERSION_CONFLICT = "version_conflict"
    NOT_LEADER = "not_leader"
    MEMBERSHIP_REFUSED = "membership_refused"
    STORAGE_DAMAGED = "storage_damaged"
    UNREACHABLE = "unreachable"


class Ran(enum.Enum):
    """What is known about the execution of the request by an upstream."""

    NO = "no"
    UNKNOWN = "unknown"


class Answer:
    """What a caller is told about one error kind.

    Attributes:
        status: HTTP status code.
        ran: Whether the request may have run on an upstream.
        retry: Whether asking again later can succeed.
        retry_after_s: Seconds to wait before asking again; 0 for no advice.
    """

    __slots__ = ("status", "ran", "retry", "retry_after_s")

    def __init__(self, status: int, ran: Ran, retry: bool,
                 retry_after_s: int) -> None:
        self.status = status
        self.ran = ran
        self.retry = retry
        self.retry_after_s = retry_after_s


_NO: Final = Ran.NO
_UNKNOWN: Final = Ran.UNKNOWN

TABLE: Final[dict[Kind, Answer]] = {
    Kind.MALFORMED_REQUEST: Answer(400, _NO, False, 0),
    Kind.HEADERS_TOO_LARGE: Answer(431, _NO, False, 0),
    Kind.CONTENT_TOO_LARGE: Answer(413, _NO, False, 0),
    Kind.REQUEST_TIMEOUT: Answer(408, _NO, True, 1),
    Kind.KEY_MISSING: Answer(401, _NO, False, 0),
    Kind.KEY_UNKNOWN: Answer(401, _NO, False, 0),
    Kind.ROUTE_FORBIDDEN: Answer(403, _NO, False, 0),
    Kind.UNKNOWN_SERVICE: Answer(404, _NO, False, 0),
    Kind.UNKNOWN_CALL: Answer(403, _NO, False, 0),
    Kind.CONTEXT_INVALID: Answer(403, _NO, False, 0),
    Kind.DEPTH_EXCEEDED: Answer(508, _NO, False, 0),
    Kind.RATE_EXCEEDED: Answer(429, _NO, True, 1),
    Kind.OVERLOADED: Answer(503, _NO, True, 2),
    Kind.NO_UPSTREAM: Answer(503, _NO, True, 2),
    Kind.DRAINING: Answer(503, _NO, True, 1),
    Kind.ISOLATED: Answer(503, _NO, True, 5),
    Kind.EXPIRED: Answer(504, _NO, True, 2),
    Kind.DEADLINE_EXCEEDED: Answer(504, _UNKNOWN, True, 2),
    Kind.UPSTREAM_FAILED: Answer(502, _UNKNOWN, True, 1),
    Kind.ANSWER_TOO_LARGE: Answer(502, _UNKNOWN, False, 0),
    Kind.OUTCOME_UNKNOWN: Answer(502, _UNKNOWN, False, 0),
    Kind.CLAIM_UNAVAILABLE: Answer(503, _NO, True, 2),
    Kind.IN_PROGRESS: Answer(409, _UNKNOWN, True, 1),
    Kind.IDEMPOTENCY_KEY_REUSED: Answer(422, _NO, False, 0),
    Kind.CRASH_SUSPECTED: Answer(503, _NO, True, 60),
    Kind.INTERNAL: Answer(500, _UNKNOWN, False, 0),
    Kind.SETTINGS_INVALID: Answer(400, _NO, False, 0),
    Kind.CONFIGURATION_INVALID: Answer(422, _NO, False, 0),
    Kind.VERSION_CONFLICT: Answer(409, _NO, False, 0),
    Kind.NOT_LEADER: Answer(503, _NO, True, 1),
    Kind.MEMBERSHIP_REFUSED: Answer(409, _NO, False, 0),
    Kind.STORAGE_DAMAGED: Answer(500, _NO, False, 0),
    Kind.UNREACHABLE: Answer(503, _UNKNOWN, True, 1),
}


class ApricothingeError(Exception):
    """The base of every error that this package raises on purpose.

    Attributes:
        kind: Which of the closed list of errors it is.
        detail: One sentence for the reader of a log or an answer.
    """

    def __init__(self, kind: Kind, detail: str = "") -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail

    @property
    def code(self) -> str:
        """The stable code of the error."""
        return self.kind.value


class CallError(ApricothingeError):
    """A call that ends without an answer from an upstream.

    Attributes:
        not_run: Whether it is proved that no upstream ran the request.
        retry_after_s: Seconds after which the caller may ask again.
        internal: Facts for the node that asked, by header name.
    """

    def __init__(self,
                 kind: Kind,
                 detail: str = "",
                 *,
                 retry_after_s: float | None = None) -> None:
        super().__init__(kind, detail)
        answer = TABLE[kind]
        self.not_run = answer.ran is Ran.NO
        self.retry_after_s: float = (answer.retry_after_s if retry_after_s
                                     is None else retry_after_s)
        self.internal: dict[str, str] = {}
