"""Error kinds, the response to each of them, and the exception classes."""

import enum
from typing import Final

__all__ = [
    "ApricothingeError", "CallError", "ErrorResponse", "Executed", "Kind",
    "RESPONSE_BY_KIND"
]


class Kind(enum.Enum):
    """Kind of a failure; its value is the stable error code."""

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
    NOT_IN_FORCE = "not_in_force"
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


class Executed(enum.Enum):
    """Whether an upstream may have executed the request."""

    NO = "no"
    UNKNOWN = "unknown"


class ErrorResponse:
    """Response to the caller for one error kind.

    Attributes:
        status: HTTP status code.
        executed: Whether an upstream may have executed the request.
        retryable: Whether the same request can succeed later.
        retry_after_s: Seconds to wait before a retry; 0 if none is suggested.
    """

    __slots__ = ("status", "executed", "retryable", "retry_after_s")

    def __init__(self, status: int, executed: Executed, retryable: bool,
                 retry_after_s: int) -> None:
        self.status = status
        self.executed = executed
        self.retryable = retryable
        self.retry_after_s = retry_after_s


_NO: Final = Executed.NO
_UNKNOWN: Final = Executed.UNKNOWN

RESPONSE_BY_KIND: Final[dict[Kind, ErrorResponse]] = {
    Kind.MALFORMED_REQUEST: ErrorResponse(400, _NO, False, 0),
    Kind.HEADERS_TOO_LARGE: ErrorResponse(431, _NO, False, 0),
    Kind.CONTENT_TOO_LARGE: ErrorResponse(413, _NO, False, 0),
    Kind.REQUEST_TIMEOUT: ErrorResponse(408, _NO, True, 1),
    Kind.KEY_MISSING: ErrorResponse(401, _NO, False, 0),
    Kind.KEY_UNKNOWN: ErrorResponse(401, _NO, False, 0),
    Kind.ROUTE_FORBIDDEN: ErrorResponse(403, _NO, False, 0),
    Kind.UNKNOWN_SERVICE: ErrorResponse(404, _NO, False, 0),
    Kind.UNKNOWN_CALL: ErrorResponse(403, _NO, False, 0),
    Kind.CONTEXT_INVALID: ErrorResponse(403, _NO, False, 0),
    Kind.DEPTH_EXCEEDED: ErrorResponse(508, _NO, False, 0),
    Kind.RATE_EXCEEDED: ErrorResponse(429, _NO, True, 1),
    Kind.OVERLOADED: ErrorResponse(503, _NO, True, 2),
    Kind.NO_UPSTREAM: ErrorResponse(503, _NO, True, 2),
    Kind.NOT_IN_FORCE: ErrorResponse(503, _NO, True, 1),
    Kind.DRAINING: ErrorResponse(503, _NO, True, 1),
    Kind.ISOLATED: ErrorResponse(503, _NO, True, 5),
    Kind.EXPIRED: ErrorResponse(503, _NO, True, 1),
    Kind.DEADLINE_EXCEEDED: ErrorResponse(504, _UNKNOWN, True, 2),
    Kind.UPSTREAM_FAILED: ErrorResponse(502, _UNKNOWN, True, 1),
    Kind.ANSWER_TOO_LARGE: ErrorResponse(502, _UNKNOWN, False, 0),
    Kind.OUTCOME_UNKNOWN: ErrorResponse(502, _UNKNOWN, False, 0),
    Kind.CLAIM_UNAVAILABLE: ErrorResponse(503, _NO, True, 2),
    Kind.IN_PROGRESS: ErrorResponse(409, _UNKNOWN, True, 1),
    Kind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(422, _NO, False, 0),
    Kind.CRASH_SUSPECTED: ErrorResponse(503, _NO, True, 60),
    Kind.INTERNAL: ErrorResponse(500, _UNKNOWN, False, 0),
    Kind.SETTINGS_INVALID: ErrorResponse(400, _NO, False, 0),
    Kind.CONFIGURATION_INVALID: ErrorResponse(422, _NO, False, 0),
    Kind.VERSION_CONFLICT: ErrorResponse(409, _NO, False, 0),
    Kind.NOT_LEADER: ErrorResponse(503, _NO, True, 1),
    Kind.MEMBERSHIP_REFUSED: ErrorResponse(409, _NO, False, 0),
    Kind.STORAGE_DAMAGED: ErrorResponse(500, _NO, False, 0),
    Kind.UNREACHABLE: ErrorResponse(503, _UNKNOWN, True, 1),
}


class ApricothingeError(Exception):
    """Base class of the errors that this package raises.

    Attributes:
        kind: Kind of the error.
        detail: Description for logs and responses, or empty.
    """

    def __init__(self, kind: Kind, detail: str = "") -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail

    @property
    def code(self) -> str:
        """The stable error code, which is the value of the kind."""
        return self.kind.value


class CallError(ApricothingeError):
    """A call that failed without a response from an upstream.

    Attributes:
        not_run: Whether it is certain that no upstream ran the request.
        retry_after_s: Seconds after which the caller may retry; 0 if no delay
            is suggested.
        internal: Headers for the node that sent the call, by name without the
            internal prefix.
    """

    def __init__(self,
                 kind: Kind,
                 detail: str = "",
                 *,
                 retry_after_s: float | None = None) -> None:
        super().__init__(kind, detail)
        response = RESPONSE_BY_KIND[kind]
        self.not_run = response.executed is Executed.NO
        self.retry_after_s: float = (response.retry_after_s if retry_after_s
                                     is None else retry_after_s)
        self.internal: dict[str, str] = {}
