"""Requests of this machine that have been accepted and not answered yet."""

import asyncio
from collections.abc import Iterator
from typing import Final

from apricothinge import log
from apricothinge.mesh import documents
from apricothinge.mesh import upstream
from apricothinge.overload import drain

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
        charged: Organisation whose token it has spent, or None.
        upstream_request: The request as it is sent to upstreams, or None before
            the stage RESPONSE.
        withdrawn: Whether `withdraw` has been called.
    """

    __slots__ = ("request_id", "accepted_at", "stage", "charged",
                 "upstream_request", "withdrawn", "_task")

    def __init__(self, request_id: str, accepted_at: float) -> None:
        self.charged: documents.Organisation | None = None
        self.withdrawn = False
        self._task = asyncio.current_task()
        self.request_id = request_id
        self.accepted_at = accepted_at
        self.stage = Stage.RATE
        self.upstream_request: upstream.UpstreamRequest | None = None

    def withdraw(self) -> None:
        """Has the request refused as not run unless an upstream has it.

        Before the request is sent, this cancels its handler, which then calls
        `end_withdrawal`. Further calls have no effect.
        """
        if self.withdrawn:
            return
        self.withdrawn = True
        if self.upstream_request is not None:
            self.upstream_request.withdraw()
        elif self._task is not None:
            self._task.cancel()

    def end_withdrawal(self) -> bool:
        """Takes back a cancellation of the handler by `withdraw`.

        Returns:
            False if somebody else has cancelled the handler.
        """
        if not self.withdrawn or self.upstream_request is not None:
            return False
        if self._task is not None:
            self._task.uncancel()
        return True

    def log_unanswered(self, now: float, stop: drain.Drain | None) -> None:
        """Logs that the request ends without a response.

        Args:
            now: Loop time in seconds.
            stop: Given if the process is being stopped.
        """
        sent = self.upstream_request
        log.event("request:cancelled"
                  if stop is None or now < stop.cuts_at else "request:cut",
                  request=self.request_id,
                  stage=self.stage,
                  took_s=round(now - self.accepted_at, 4),
                  accepted_after_stop_s=None if stop is None else round(
                      self.accepted_at - stop.signalled_at, 4),
                  route="" if sent is None else sent.call.route,
                  service="" if sent is None else sent.call.service,
                  attempts=0 if sent is None else sent.attempts,
                  instance="" if sent is None else sent.instance,
                  sent_s=round(now - sent.sent_at, 4)
                  if sent is not None and sent.attempts else 0.0)


class PendingRequests:
    """The pending requests of a node."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: set[PendingRequest] = set()

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterates over a copy, as requests end when they are withdrawn."""
        return iter(list(self._requests))

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
