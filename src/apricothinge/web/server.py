"""HTTP server: reads requests, runs a handler and sends its responses."""

import abc
import asyncio
from collections.abc import Callable, Coroutine
import contextlib
import math
import select
from typing import Any, Final

import eliot
import msgspec

from apricothinge import errors
from apricothinge import log
from apricothinge import settings
from apricothinge.web import connection
from apricothinge.web import listener
from apricothinge.web import messages
from apricothinge.web import pipeline
from apricothinge.web import wire

__all__ = ["Handler", "Server", "error_response"]

_TIMEOUT_SWEEP_INTERVAL_S: Final = 0.25
_IDLE_CHECK_INTERVAL_S: Final = 0.05
_LINGER_TIMEOUT_S: Final = 2.0
_MAX_LINGER_BYTES: Final = 4 << 20

# A handler of the current request, or one that was started ahead of its turn.
_Running = (Coroutine[Any, Any, messages.Response] |
            asyncio.Task[messages.Response])


class Handler(abc.ABC):
    """Handles the requests of one port."""

    @abc.abstractmethod
    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response to one request.

        Cancelled when the client disconnects.

        Raises:
            errors.CallError: The call failed without a response of an
                upstream.
        """

    def may_run_ahead(self, request: messages.Request) -> bool:
        """Returns whether a pipelined request may run before its turn.

        Only requests without content are asked about, and only once every
        earlier request on the connection that was not answered yet may too.
        """
        del request
        return False


class _ErrorBody(msgspec.Struct):
    error: str
    detail: str
    not_run: bool
    retry_after_s: float


def error_response(error: errors.CallError) -> messages.Response:
    """Builds the response to an error from the table of error kinds."""
    body = msgspec.json.encode(
        _ErrorBody(error.code, error.detail, error.not_run,
                   error.retry_after_s))
    headers: messages.Headers = [(b"content-type", b"application/json")]
    if error.retry_after_s:
        headers.append((b"retry-after", b"%g" % round(error.retry_after_s, 3)))
    response = messages.Response(errors.RESPONSE_BY_KIND[error.kind].status,
                                 headers, body)
    response.internal.update(error.internal)
    response.internal["error"] = error.code
    if error.not_run:
        response.internal["not-run"] = "true"
    return response


class Server:
    """Listens on one port and runs a session for each connection.

    Attributes:
        draining: Whether each response closes its connection.
    """

    __slots__ = ("_handler", "_limits", "_listener", "_sessions", "draining",
                 "_idle_connections", "_cancel_on_half_close", "_loop",
                 "_connections", "_input_age_s", "_aborted", "_giving_up",
                 "_pipeline_by_connection")

    def __init__(self,
                 handler: Handler,
                 limits: settings.Limits,
                 *,
                 cancel_on_half_close: bool = True,
                 input_age_s: Callable[[], float] | None = None) -> None:
        """Creates a server; `start` makes it listen.

        Args:
            handler: Handles the requests.
            limits: Limits on what clients send.
            cancel_on_half_close: Whether a client that has closed its sending
                side counts as disconnected.
            input_age_s: Returns how long input that is read now may have
                waited, in seconds; 0 by default.
        """
        self._handler = handler
        self._limits = limits
        self._listener: listener.Listener | None = None
        self._sessions: set[asyncio.Task[None]] = set()
        self._idle_connections: set[connection.Connection] = set()
        self._cancel_on_half_close = cancel_on_half_close
        self._input_age_s = input_age_s
        self._loop = asyncio.get_running_loop()
        self._connections: set[connection.Connection] = set()
        self.draining = False
        self._aborted = False
        self._giving_up = False
        self._pipeline_by_connection: dict[connection.Connection,
                                           pipeline.Pipeline] = {}

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return len(self._sessions) - len(self._idle_connections)

    def close_after_responses(self) -> None:
        """Keeps listening, but closes each connection after its response."""
        self.draining = True

    def set_limits(self, limits: settings.Limits) -> None:
        """Replaces the limits on what clients send."""
        self._limits = limits

    @property
    def open_connections(self) -> int:
        """Number of connections with a running session."""
        return len(self._sessions)

    async def start(self, address: settings.Address) -> settings.Address:
        """Starts listening and returns the address with the bound port."""
        self._listener = listener.Listener(
            address,
            lambda: connection.Connection(True, self._limits.header_bytes, self.
                                          _start_session, self._input_age_s))
        self._loop.call_later(_TIMEOUT_SWEEP_INTERVAL_S, self._check_timeouts)
        return self._listener.address

    def _check_timeouts(self) -> None:
        """Times out waits; runs until the last connection has been drained."""
        now = self._loop.time()
        for conn in self._connections:
            conn.check_timeout(now)
        if self._connections or not self.draining:
            self._loop.call_later(_TIMEOUT_SWEEP_INTERVAL_S,
                                  self._check_timeouts)

    def _start_session(self, conn: connection.Connection) -> None:
        if self._aborted or len(self._sessions) >= self._limits.connections:
            conn.abort()
            return
        self._connections.add(conn)
        task = asyncio.ensure_future(self._run_session(conn))
        self._sessions.add(task)
        task.add_done_callback(self._sessions.discard)

    async def drain(self, *, idle_grace_s: float = 0.0) -> None:
        """Stops listening and waits until every session has ended.

        Args:
            idle_grace_s: Seconds for which idle connections still accept
                requests.
        """
        self.draining = True
        if self._listener is not None:
            self._listener.close()
            await self._listener.wait_closed()
        if idle_grace_s and self._sessions:
            await asyncio.wait(list(self._sessions), timeout=idle_grace_s)
        while self._sessions:
            self._close_idle_connections()
            await asyncio.wait(list(self._sessions),
                               timeout=_IDLE_CHECK_INTERVAL_S)

    def _close_idle_connections(self) -> None:
        """Closes the idle connections on which no request has arrived."""
        poller = select.poll()
        conn_by_descriptor: dict[int, connection.Connection] = {}
        for conn in self._idle_connections:
            # A session does not run at once when input arrives.
            if conn.transport is None or conn.has_unread_input():
                continue
            descriptor = conn.transport.get_extra_info("socket").fileno()
            if descriptor >= 0:
                conn_by_descriptor[descriptor] = conn
                poller.register(descriptor, select.POLLIN)
        for descriptor, _ in poller.poll(0):
            # The event loop has input to read, or the end of the connection.
            del conn_by_descriptor[descriptor]
        for conn in conn_by_descriptor.values():
            conn.close()

    def give_up(self) -> None:
        """Answers requests that wait behind one that still runs.

        That one gets a response that says nothing of its outcome. Called right
        before `drain` and `abort`; requests with none behind them still run.
        """
        self.draining = True
        self._giving_up = True
        for requests in list(self._pipeline_by_connection.values()):
            requests.give_up()

    def abort(self) -> None:
        """Stops at once and aborts the exchanges in progress."""
        self.draining = True
        if self._listener is not None:
            self._listener.close()
        self._aborted = True
        for task in list(self._sessions):
            task.cancel()
        # A session that has not run yet is cancelled without any clean-up.
        for conn in list(self._connections):
            conn.abort()

    async def _run_session(self, conn: connection.Connection) -> None:
        requests = pipeline.Pipeline(
            conn, self._build_request,
            lambda request: not self.draining and self._handler.may_run_ahead(
                request), lambda request: asyncio.ensure_future(
                    self._handler.handle(request)))
        conn.on_input = requests.advance
        self._pipeline_by_connection[conn] = requests
        try:
            while await self._exchange(conn, requests):
                conn.codec.start_next_exchange()
                if conn.has_unread_input():
                    # Requests that are answered without a wait would keep the
                    # event loop from everything else, signals among it.
                    await asyncio.sleep(0)
            await self._flush(conn)
        except (connection.ConnectionLost, wire.LocalProtocolError):
            conn.abort()
        except asyncio.CancelledError:
            conn.abort()
        except Exception:  # pylint: disable=broad-exception-caught
            # An error in one session must not stop the process.
            eliot.write_traceback()
            conn.abort()
        finally:
            conn.on_input = None
            conn.close()
            self._idle_connections.discard(conn)
            self._connections.discard(conn)
            del self._pipeline_by_connection[conn]
            await requests.close()

    async def _read_head(self, conn: connection.Connection) -> Any:
        """Returns the first event of a request, None after the idle timeout."""
        if not conn.has_unread_input():
            if conn.input_ended:
                return None
            self._idle_connections.add(conn)
            conn.wait_deadline = self._loop.time() + self._limits.idle_timeout_s
            try:
                await conn.wait_for_input()
            except TimeoutError:
                return None
            finally:
                self._idle_connections.discard(conn)
        conn.wait_deadline = self._loop.time() + self._limits.header_timeout_s
        try:
            return await conn.next_event()
        except TimeoutError:
            raise errors.CallError(
                errors.Kind.REQUEST_TIMEOUT,
                "the request head was not received in time") from None
        except wire.ProtocolError as error:
            kind = (errors.Kind.HEADERS_TOO_LARGE
                    if error.too_large else errors.Kind.MALFORMED_REQUEST)
            raise errors.CallError(kind, str(error)) from None
        finally:
            conn.wait_deadline = math.inf

    async def _exchange(self, conn: connection.Connection,
                        requests: pipeline.Pipeline) -> bool:
        """Serves one request and returns whether another may follow."""
        started = requests.pop()
        if started is not None:
            request = started.request
            head = started.head
            running: _Running = started.task
        else:
            requests.first = None
            try:
                event = await self._read_head(conn)
                if not isinstance(event, wire.MessageHead):
                    return False
                request = self._build_request(event)
            except errors.CallError as error:
                await self._reject(conn, error)
                return False
            self._attach_content(conn, request)
            head = event
            if head.keep_alive and request.body.length == 0:
                requests.first = request
            running = self._handler.handle(request)
        requests.advance()
        response = await self._run_handler(conn, requests, running)
        if response is None:
            conn.abort()
            return False
        refused: pipeline.RefusedRequests | None = None
        try:
            self._discard_received_content(conn)
            if self.draining and not requests.started:
                refused = pipeline.RefusedRequests(conn.codec, head)
                refused.take()
            await self._send_response(
                conn, request, response, requests.started or
                (refused is not None and bool(refused.methods)))
        except BaseException:
            response.discard()
            raise
        response.notify_done(True)
        if refused is not None and refused.methods:
            return await self._refuse_requests(conn, refused)
        return await self._finish_exchange(conn)

    async def _run_handler(self, conn: connection.Connection,
                           requests: pipeline.Pipeline,
                           running: _Running) -> messages.Response | None:
        """Awaits a handler; returns None if the client disconnected."""
        if (self._giving_up and isinstance(running, asyncio.Task) and
                not running.done()):
            await _abandon(running)
            return _given_up_response()
        task = asyncio.current_task()
        assert task is not None
        client_gone = False
        # The handler is awaited directly, since a task for each request costs
        # more. The flag keeps a late disconnect from cancelling the session.
        handling = True

        def cancel_handler() -> None:
            nonlocal client_gone
            if handling and not client_gone and (conn.closed or
                                                 self._cancel_on_half_close):
                client_gone = True
                task.cancel()

        given_up = False

        def give_up() -> None:
            nonlocal given_up
            if handling and not given_up and not client_gone:
                given_up = True
                task.cancel()

        requests.on_give_up = give_up
        conn.on_disconnect = cancel_handler
        if conn.closed or (conn.input_ended and self._cancel_on_half_close and
                           not conn.has_unread_input()):
            await _abandon(running)
            return None
        try:
            return await running
        except errors.CallError as call_error:
            return error_response(call_error)
        except errors.ApricothingeError as failure:
            return error_response(errors.CallError(failure.kind,
                                                   failure.detail))
        except (connection.ConnectionLost, wire.ProtocolError):
            error = errors.CallError(errors.Kind.MALFORMED_REQUEST,
                                     "the content is malformed or incomplete")
            # Content may have been passed on before the error was found.
            error.not_run = False
            return error_response(error)
        except asyncio.CancelledError:
            if client_gone or given_up:
                task.uncancel()
            await _abandon(running)
            if client_gone:
                return None
            if given_up:
                return _given_up_response()
            raise
        except Exception:  # pylint: disable=broad-exception-caught
            eliot.write_traceback()
            return error_response(errors.CallError(errors.Kind.INTERNAL))
        finally:
            handling = False
            requests.on_give_up = pipeline.ignore_give_up
            conn.on_disconnect = None

    def _build_request(self, event: wire.MessageHead) -> messages.Request:
        """Returns the request of a head, still without its content.

        Raises:
            errors.CallError: The head is not acceptable.
        """
        headers = event.headers
        length: int | None = None
        chunked = False
        size = len(event.target)
        for name, value in headers:
            size += len(name) + len(value)
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
        if chunked and (length is not None or event.version != b"1.1"):
            raise errors.CallError(
                errors.Kind.MALFORMED_REQUEST,
                "transfer-encoding used with content-length or HTTP/1.0")
        if size > self._limits.header_bytes:
            # The codec limits only a head that arrives in several reads.
            raise errors.CallError(errors.Kind.HEADERS_TOO_LARGE)
        target = event.target.decode("latin-1")
        if not target.startswith("/"):
            raise errors.CallError(
                errors.Kind.MALFORMED_REQUEST,
                "the request target does not start with a slash")
        if length is None and not chunked:
            length = 0
        return messages.Request(event.method.decode().upper(), target, headers,
                                messages.Body(length, None), event.version,
                                event.received_at)

    def _attach_content(self, conn: connection.Connection,
                        request: messages.Request) -> None:
        """Makes the content of the current request readable."""
        if request.body.length == 0:
            # Reads the end of the message, which has been received already, so
            # that the connection can be reused.
            conn.codec.next_event()
            return
        request.body = messages.Body(request.body.length,
                                     self._content_reader(conn))

    def _content_reader(self, conn: connection.Connection) -> Any:

        async def read() -> bytes:
            if conn.codec.expects_continue:
                conn.send(conn.codec.continue_response())
            conn.wait_deadline = self._loop.time() + self._limits.body_timeout_s
            try:
                event = await conn.next_event()
            except TimeoutError:
                raise connection.ConnectionLost from None
            finally:
                conn.wait_deadline = math.inf
            if isinstance(event, wire.Data):
                return event.data
            if isinstance(event, wire.EndOfMessage):
                return b""
            raise connection.ConnectionLost

        return read

    async def _reject(self, conn: connection.Connection,
                      error: errors.CallError) -> None:
        """Responds to input that is not a valid request."""
        if conn.closed or conn.codec.sending is not wire.Stage.IDLE:
            return
        self._send_error(conn, "", error, True)
        await self._linger(conn)

    def _send_error(self, conn: connection.Connection, method: str,
                    error: errors.CallError, close: bool) -> None:
        """Sends the response to a request that no handler has seen."""
        response = error_response(error)
        fields = self._response_fields(response)
        fields.append((b"content-length", b"%d" % len(response.data)))
        if close:
            fields.append((b"connection", b"close"))
        head = conn.codec.response_head(method, response.status, fields)
        conn.send(head + conn.codec.content(response.data) + conn.codec.end())

    @staticmethod
    def _response_fields(response: messages.Response) -> messages.Headers:
        return response.headers + [
            (b"apricothinge-" + name.encode(), value.encode("latin-1"))
            for name, value in response.internal.items()
        ]

    async def _send_response(self, conn: connection.Connection,
                             request: messages.Request,
                             response: messages.Response,
                             more_follow: bool) -> None:
        """Sends a response.

        Args:
            conn: The connection.
            request: The request.
            response: Its response.
            more_follow: Whether later requests were started or taken already,
                so that the connection stays open for their responses.
        """
        fields = self._response_fields(response)
        if not more_follow and (self.draining or
                                conn.codec.receiving is wire.Stage.CONTENT):
            fields.append((b"connection", b"close"))
        if response.rest is not None and response.length is None and (
                request.version == b"1.0"):
            await self._buffer_response(response)
        if response.length is not None:
            if response.status not in (204, 304):
                fields.append((b"content-length", b"%d" % response.length))
        else:
            fields.append((b"transfer-encoding", b"chunked"))
        head = conn.codec.response_head(request.method, response.status,
                                        fields) + conn.codec.content(
                                            response.data)
        if response.rest is None:
            conn.send(head + conn.codec.end())
            await self._drain_writes(conn)
            return
        conn.send(head)
        await self._relay_content(conn, response.rest)
        conn.send(conn.codec.end())

    async def _relay_content(self, conn: connection.Connection,
                             content: messages.Content) -> None:
        """Sends content as it arrives, until the client disconnects.

        Raises:
            connection.ConnectionLost: The client has disconnected, or the
                content ended early.
        """
        task = asyncio.current_task()
        assert task is not None
        client_gone = False

        def stop() -> None:
            nonlocal client_gone
            if not client_gone and (conn.closed or self._cancel_on_half_close):
                client_gone = True
                task.cancel()

        conn.on_disconnect = stop
        try:
            async for chunk in content:
                conn.send(conn.codec.content(chunk))
                await self._drain_writes(conn)
        except asyncio.CancelledError:
            conn.abort()
            if not client_gone:
                raise
            task.uncancel()
            raise connection.ConnectionLost from None
        except Exception:
            # A truncated response must not look complete.
            conn.abort()
            raise connection.ConnectionLost from None
        finally:
            conn.on_disconnect = None

    @staticmethod
    def _discard_received_content(conn: connection.Connection) -> None:
        """Discards received content that the handler has not read."""
        with contextlib.suppress(wire.ProtocolError):
            while conn.codec.receiving is wire.Stage.CONTENT:
                if conn.codec.next_event() is wire.NEED_DATA:
                    return

    async def _drain_writes(self, conn: connection.Connection) -> None:
        conn.wait_deadline = self._loop.time() + self._limits.body_timeout_s
        try:
            await conn.drain()
        except TimeoutError:
            raise connection.ConnectionLost from None
        finally:
            conn.wait_deadline = math.inf

    async def _flush(self, conn: connection.Connection) -> None:
        """Waits until the operating system has taken what was written.

        The end of the process would cut the rest, and a drain waits only for
        sessions.
        """
        if conn.transport is None or conn.closed:
            return
        conn.transport.set_write_buffer_limits(high=0)
        await self._drain_writes(conn)

    async def _buffer_response(self, response: messages.Response) -> None:
        """Buffers a response whose end HTTP/1.0 could not mark otherwise."""
        assert response.rest is not None
        parts = [response.data]
        size = len(response.data)
        failure: errors.CallError | None = None
        try:
            async for chunk in response.rest:
                parts.append(chunk)
                size += len(chunk)
                if size > self._limits.largest_buffered_answer_bytes:
                    failure = errors.CallError(
                        errors.Kind.ANSWER_TOO_LARGE,
                        "too large to buffer for an HTTP/1.0 client")
                    break
        except Exception as error:  # pylint: disable=broad-exception-caught
            failure = errors.CallError(errors.Kind.UPSTREAM_FAILED, str(error))
        if failure is not None:
            replacement = error_response(failure)
            response.status = replacement.status
            response.headers = replacement.headers
            response.internal = replacement.internal
            parts = [replacement.data]
        response.data = b"".join(parts)
        response.length = len(response.data)
        response.rest = None

    async def _refuse_requests(self, conn: connection.Connection,
                               refused: pipeline.RefusedRequests) -> bool:
        """Refuses requests as not run and closes the connection."""
        # More may have been received while the response ahead was sent.
        refused.take()
        for index, method in enumerate(refused.methods, start=1):
            conn.codec.start_next_exchange()
            self._send_error(conn, method,
                             errors.CallError(errors.Kind.DRAINING),
                             index == len(refused.methods))
        log.event("server:refused_pipelined", count=len(refused.methods))
        await self._drain_writes(conn)
        await self._linger(conn)
        return False

    async def _finish_exchange(self, conn: connection.Connection) -> bool:
        """Returns whether the connection can be used for another request."""
        if conn.closed:
            return False
        if conn.codec.receiving is wire.Stage.CONTENT:
            await self._linger(conn)
            return False
        if conn.codec.reusable:
            return True
        if conn.has_unread_input():
            # Further requests are on their way.
            await self._linger(conn)
        return False

    async def _linger(self, conn: connection.Connection) -> None:
        """Discards input for a while before the connection is closed.

        Closing it with unread input would cause a reset, which can destroy a
        response that the client has not read yet.
        """
        if conn.transport is not None and conn.transport.can_write_eof():
            with contextlib.suppress(OSError):
                conn.transport.write_eof()
        conn.codec.ignore_input()
        received_bytes = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LINGER_TIMEOUT_S):
                while (received_bytes < _MAX_LINGER_BYTES and
                       not conn.input_ended):
                    await conn.wait_for_input()
                    received_bytes += conn.read_ahead_bytes


def _given_up_response() -> messages.Response:
    return error_response(
        errors.CallError(errors.Kind.DEADLINE_EXCEEDED,
                         "the process ended before the response"))


async def _abandon(running: _Running) -> None:
    """Ends a handler whose response cannot be sent any more."""
    if isinstance(running, asyncio.Task):
        await messages.abandon(running)
    else:
        running.close()
