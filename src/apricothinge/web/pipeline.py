"""Pipelined requests, which run before the responses ahead of them are sent."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final

from apricothinge import errors
from apricothinge.web import connection
from apricothinge.web import messages
from apricothinge.web import wire

__all__ = ["Pipeline", "StartedRequest"]

# Each started request may hold a response in memory until its turn.
_MAX_STARTED: Final = 8


class StartedRequest:
    """A request that was started before its turn.

    Attributes:
        head: Head of the request.
        request: The request.
        task: Runs its handler.
    """

    __slots__ = ("head", "request", "task")

    def __init__(self, head: wire.MessageHead, request: messages.Request,
                 task: "asyncio.Task[messages.Response]") -> None:
        self.head = head
        self.request = request
        self.task = task


class Pipeline:
    """Starts requests of one connection whose predecessors still run.

    Only requests without content start early, and only those that the handler
    permits: their responses can be lost behind a failed one, after which the
    client sends them again.

    Attributes:
        first: The request behind which others may start if the handler permits
            it as well, or None. The handler is asked only once others arrive.
    """

    __slots__ = ("first", "_conn", "_build", "_may_start", "_start", "_started",
                 "_closing")

    def __init__(
        self, conn: connection.Connection, build: Callable[[wire.MessageHead],
                                                           messages.Request],
        may_start: Callable[[messages.Request], bool],
        start: Callable[[messages.Request], "asyncio.Task[messages.Response]"]
    ) -> None:
        """Creates the pipeline of a connection.

        Args:
            conn: The connection.
            build: Builds a request from its head; raises errors.CallError if
                the head is not acceptable.
            may_start: Whether a request may start before its turn.
            start: Starts the handler of a request.
        """
        self.first: messages.Request | None = None
        self._conn = conn
        self._build = build
        self._may_start = may_start
        self._start = start
        self._started: collections.deque[StartedRequest] = collections.deque()
        self._closing = False

    def __len__(self) -> int:
        """Returns the number of started requests."""
        return len(self._started)

    def advance(self) -> None:
        """Starts the received requests that need not wait for their turn."""
        if self.first is None:
            return
        codec = self._conn.codec
        while len(self._started) < _MAX_STARTED and not self._closing:
            head = codec.peek_request()
            if head is None:
                return
            try:
                request = self._build(head)
            except errors.CallError:
                # The session rejects it in its turn.
                return
            if not (self._may_start(self.first) and self._may_start(request)):
                return
            codec.take_request()
            self._closing = not head.keep_alive
            self._started.append(
                StartedRequest(head, request, self._start(request)))

    def pop(self) -> StartedRequest | None:
        """Returns the next started request, whose turn it now is."""
        if not self._started:
            return None
        started = self._started.popleft()
        self._conn.codec.resume_request(started.head)
        return started

    async def close(self) -> None:
        """Cancels the started requests and discards their responses."""
        self.first = None
        while self._started:
            await messages.abandon(self._started.popleft().task)
