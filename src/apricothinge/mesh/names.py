"""Names of the headers between callers, nodes and upstreams."""

__all__ = ["HeaderNames"]


class HeaderNames:
    """Lower-case header names that a deployment has chosen.

    Attributes:
        request_id: Identity of one request, echoed by upstreams.
        deadline_ms: Milliseconds that the sender still waits.
        key: The caller's key.
        organisation: Whose key it was, for the upstream.
        calling_service: Service beside which the request began.
        expected_upstream: Name of the one upstream that may run it.
        not_run: In an answer: the upstream did not run the request.
    """

    __slots__ = ("request_id", "deadline_ms", "key", "organisation",
                 "calling_service", "expected_upstream", "not_run")

    def __init__(self,
                 *,
                 request_id: bytes = b"x-request-id",
                 deadline_ms: bytes = b"x-deadline-ms",
                 key: bytes = b"x-api-key",
                 organisation: bytes = b"x-organisation",
                 calling_service: bytes = b"x-calling-service",
                 expected_upstream: bytes = b"x-expected-upstream",
                 not_run: bytes = b"x-not-run") -> None:
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.key = key
        self.organisation = organisation
        self.calling_service = calling_service
        self.expected_upstream = expected_upstream
        self.not_run = not_run

    def reserved(self) -> frozenset[bytes]:
        """Headers that callers can not set for an upstream."""
        return frozenset((self.deadline_ms, self.key, self.organisation,
                          self.calling_service, self.expected_upstream))
