"""Names of the HTTP headers used between callers, nodes and upstreams."""

__all__ = ["HeaderNames"]


class HeaderNames:
    """Header names of a deployment, in lower case.

    Attributes:
        request_id: Identifier of a request, echoed by upstreams.
        deadline_ms: Milliseconds until the sender's deadline.
        key: Key of the caller.
        organisation: Organisation of the key, sent to the upstream.
        calling_service: Service on the machine where the request was made.
        expected_upstream: Name of the only upstream that may run the request.
        not_run: Set in a response if the upstream did not run the request.
        rate_limit: Requests per second that the upstream takes for now.
        leaving: `1` in each response of an upstream that is about to end.
    """

    __slots__ = ("request_id", "deadline_ms", "key", "organisation",
                 "calling_service", "expected_upstream", "not_run",
                 "rate_limit", "leaving")

    def __init__(self,
                 *,
                 request_id: bytes = b"x-request-id",
                 deadline_ms: bytes = b"x-deadline-ms",
                 key: bytes = b"x-api-key",
                 organisation: bytes = b"x-organisation",
                 calling_service: bytes = b"x-calling-service",
                 expected_upstream: bytes = b"x-expected-upstream",
                 not_run: bytes = b"x-not-run",
                 rate_limit: bytes = b"x-rate-limit",
                 leaving: bytes = b"x-leaving") -> None:
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.key = key
        self.organisation = organisation
        self.calling_service = calling_service
        self.expected_upstream = expected_upstream
        self.not_run = not_run
        self.rate_limit = rate_limit
        self.leaving = leaving

    def reserved(self) -> frozenset[bytes]:
        """Returns the headers that are removed from requests of callers."""
        return frozenset((self.deadline_ms, self.key, self.organisation,
                          self.calling_service, self.expected_upstream))
