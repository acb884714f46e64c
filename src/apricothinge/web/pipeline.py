"""Pipelined requests, which arrive before the responses ahead of them are sent.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
from typing import Final

from apricothinge import errors
from apricothinge.web import connection
from apricothinge.web import messages
from apricothinge.web import wire

__all__ = ["Pipeline", "RefusedRequests", "StartedRequest", "ignore_give_up"]

# Each started request may hold a response in memory until its turn.
_MAX_STARTED: Final = 8


def ignore_give_up() -> None:
    """Default of `Pipeline.on_give_up`, while no handler runs."""


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
        on_give_up: Ends the handler whose turn it is, if one runs.
    """

    __slots__ = ("first", "on_give_up", "_conn", "_build", "_may_start",
                 "_start", "_started", "_closing")

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
        self.on_give_up: Callable[[], None] = ignore_give_up
        self._conn = conn
        self._build = build
        self._may_start = may_start
        self._start = start
        self._started: collections.deque[StartedRequest] = collections.deque()
        self._closing = False

    @property
    def started(self) -> bool:
        """Whether requests have started whose turn has not come."""
        return bool(self._started)

    def give_up(self) -> None:
        """Ends the handler whose turn it is if other requests wait behind it.

        They could not be answered before it.
        """
        codec = self._conn.codec
        waiting = self._started or (codec.receiving is not wire.Stage.CONTENT
                                    and self._conn.has_unread_input())
        if waiting:
            self.on_give_up()

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


class RefusedRequests:
    """Requests that were received whole and are refused without being run.

    Attributes:
        methods: Their methods, in order.
    """

    __slots__ = ("methods", "_codec", "_current_head", "_next_head", "_closing")

    def __init__(self, codec: wire.Http1Codec,
                 current_head: wire.MessageHead) -> None:
        """Creates an empty list.

        Args:
            codec: Codec of the connection.
            current_head: Head of the request ahead of them.
        """
        self.methods: list[str] = []
        self._codec = codec
        self._current_head = current_head
        self._next_head: wire.MessageHead | None = None
        self._closing = not current_head.keep_alive

    def take(self) -> None:
        """Takes what has been received behind the current request.

        What follows a request that closes the connection, or malformed input,
        is no request. Does nothing while the content of the current request is
        still arriving.
        """
        if (self._next_head is None and
                self._codec.receiving is wire.Stage.CONTENT):
            return
        with contextlib.suppress(wire.ProtocolError):
            while not self._closing:
                event = self._codec.next_event()
                if event in (wire.NEED_DATA, wire.CLOSED):
                    break
                if isinstance(event, wire.MessageHead):
                    self._next_head = event
                elif isinstance(event, wire.EndOfMessage) and self._next_head:
                    self.methods.append(self._next_head.method.decode())
                    self._closing = not self._next_head.keep_alive
                    self._next_head = None
        if self.methods:
            # The response to the current request must not close.
            self._codec.resume_request(self._current_head)
