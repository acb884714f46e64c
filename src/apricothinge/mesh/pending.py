"""Requests of this machine that have been accepted and not answered yet."""

from typing import Final

from apricothinge import log
from apricothinge.mesh import upstream

__all__ = ["PendingRequest", "PendingRequests", "Stage"]


class Stage:
    """What an accepted request waits for."""

    RATE: Final = "rate"
    CONTENT: Final = "content"
    RESPONSE: Final = "response"


class PendingRequest:
    """A request between its acceptance and its response.

    Attributes:
        request_id: Identifier of the request.
        accepted_at: Loop time in seconds.
        stage: What it waits for.
        upstream_request: The request as it is sent to upstreams, or None before
            the stage RESPONSE.
    """

    __slots__ = ("request_id", "accepted_at", "stage", "upstream_request")

    def __init__(self, request_id: str, accepted_at: float) -> None:
        self.request_id = request_id
        self.accepted_at = accepted_at
        self.stage = Stage.RATE
        self.upstream_request: upstream.UpstreamRequest | None = None

    def log_unanswered(self, now: float, stopped_at: float | None) -> None:
        """Logs that the request ends without a response.

        Args:
            now: Loop time in seconds.
            stopped_at: When the process was told to stop, or None if the caller
                has gone away.
        """
        sent = self.upstream_request
        log.event("request:cancelled" if stopped_at is None else "request:cut",
                  request=self.request_id,
                  stage=self.stage,
                  took_s=round(now - self.accepted_at, 4),
                  accepted_after_stop_s=None if stopped_at is None else round(
                      self.accepted_at - stopped_at, 4),
                  route="" if sent is None else sent.call.route,
                  service="" if sent is None else sent.call.service,
                  attempts=0 if sent is None else sent.attempts,
                  instance="" if sent is None else sent.instance,
                  sent_s=round(now - sent.sent_at, 4)
                  if sent is not None and sent.attempts else 0.0)


class PendingRequests:
    """The pending requests of a node.

    Attributes:
        stopped_at: Loop time in seconds at which the process was told to stop,
            or None.
    """

    __slots__ = ("stopped_at", "_requests")

    def __init__(self) -> None:
        self.stopped_at: float | None = None
        self._requests: set[PendingRequest] = set()

    def __len__(self) -> int:
        """Returns the number of pending requests."""
        return len(self._requests)

    def add(self, now: float, request_id: str) -> PendingRequest:
        """Adds a request that has just been accepted."""
        pending = PendingRequest(request_id, now)
        self._requests.add(pending)
        return pending

    def remove(self, pending: PendingRequest) -> None:
        """Removes a request that has ended."""
        self._requests.discard(pending)
