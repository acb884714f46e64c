"""Tests of connections that meet the stop of the HTTP server."""

import asyncio
import socket
import unittest

from apricothinge import settings
from apricothinge.web import messages
from apricothinge.web import server
from tests import fleet

_LARGE = bytes(250_000)
_SMALL_BUFFER_BYTES = 8192
_ANY_PORT = settings.Address("127.0.0.1", 0)


class _Handler(server.Handler):
    """Answers each request with its target, after a while.

    Attributes:
        targets: Targets of the requests that were run.
        started: Set once a request runs.
    """

    def __init__(self):
        self.targets = []
        self.started = asyncio.Event()

    async def handle(self, request):
        self.targets.append(request.target)
        self.started.set()
        if request.target == "/now":
            return messages.Response(200, [], b"")
        await request.body.buffer(1 << 20)
        if request.target == "/large":
            return messages.Response(200, [], _LARGE)
        await asyncio.sleep(30.0 if "hang" in request.target else 0.1)
        return messages.Response(200, [], request.target.encode())

    def may_run_ahead(self, request):
        return request.target.startswith("/ahead")


def _get(target):
    return b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % target.encode()


def _post(target):
    return (b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" %
            target.encode())


class ServerStopTest(unittest.IsolatedAsyncioTestCase):
    """No request that was read whole is left without a response."""

    async def asyncSetUp(self):
        self.handler = _Handler()
        self.server = server.Server(self.handler, settings.Limits())
        address = await self.server.start(_ANY_PORT)
        self.reader, self.writer = await asyncio.open_connection(
            address.host, address.port)
        self.addCleanup(self.server.abort)
        self.addCleanup(self.writer.close)

    async def _read_replies(self):
        """Returns the responses up to the end of the connection."""
        raw = await asyncio.wait_for(self.reader.read(), 5.0)
        return [
            fleet.Reply(b"HTTP/1.1 " + part)
            for part in raw.split(b"HTTP/1.1 ")[1:]
        ]

    def _check_refused_behind(self, replies, served, refused):
        """Checks the order, and that only the last one closes."""
        self.assertEqual([reply.status for reply in replies],
                         [200] * served + [503] * refused)
        self.assertEqual(
            [reply.headers.get("connection") == "close" for reply in replies],
            [False] * (served + refused - 1) + [True])
        for reply in replies[served:]:
            self.assertEqual((reply.error, reply.not_run), ("draining", True))
        self.assertEqual(len(self.handler.targets), served)

    async def test_pipelined_requests_closed_without_response(self):
        """What was read behind a response is refused before the close."""
        self.writer.write(_get("/1") + _post("/2") + _get("/3"))
        await self.handler.started.wait()
        self.server.close_after_responses()
        self._check_refused_behind(await self._read_replies(), 1, 2)

    async def test_closing_request_behind(self):
        """Responses ahead of a refused request that closes do not close."""
        closing = _get("/2").replace(b"Host", b"Connection: close\r\nHost")
        self.writer.write(_get("/1") + closing + _get("/3"))
        await self.handler.started.wait()
        self.server.close_after_responses()
        self._check_refused_behind(await self._read_replies(), 1, 1)

    async def test_requests_behind_started_ones_closed_without_response(self):
        """Requests that run ahead are served, those behind them refused."""
        self.writer.write(_get("/ahead1") + _get("/ahead2") + _post("/3"))
        await self.handler.started.wait()
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0.02)
        self.writer.write(_get("/ahead4"))
        self._check_refused_behind(await self._read_replies(), 2, 2)
        await drained

    async def test_requests_lost_behind_one_that_is_cut(self):
        """At the end, what waits behind a request that runs is answered."""
        self.writer.write(
            _get("/ahead/hang1") + _get("/ahead2") + _get("/ahead/hang3") +
            _post("/4"))
        await self.handler.started.wait()
        await asyncio.sleep(0.2)
        self.server.give_up()
        replies = await self._read_replies()
        self.assertEqual([reply.status for reply in replies],
                         [504, 200, 504, 503])
        self.assertEqual([reply.not_run for reply in replies],
                         [False, False, False, True])
        self.assertEqual(len(self.handler.targets), 3)

    async def test_single_request_goes_on_when_others_are_given_up(self):
        """A request with none behind it is not ended early."""
        self.writer.write(_get("/1"))
        await self.handler.started.wait()
        self.server.give_up()
        self.assertEqual([reply.status for reply in await self._read_replies()],
                         [200])

    async def test_endless_pipelining(self):
        """A client that keeps sending does not keep its connection open."""
        self.writer.write(_get("/1"))
        await self.handler.started.wait()
        drained = asyncio.ensure_future(self.server.drain())

        async def keep_sending():
            while not self.writer.is_closing():
                self.writer.write(_get("/n") * 100)
                await asyncio.sleep(0.001)

        sending = asyncio.ensure_future(keep_sending())
        reading = asyncio.ensure_future(self._read_replies())
        await asyncio.wait_for(drained, 4.0)
        sending.cancel()
        await asyncio.wait((sending, reading))
        self.assertEqual(self.handler.targets, ["/1"])

    async def test_pipelined_requests_delay_signal(self):
        """Requests that are answered at once let other callbacks run."""
        self.writer.write(_get("/now") * 1000)
        await self.handler.started.wait()
        self.assertLess(len(self.handler.targets), 10)

    async def test_request_of_unaccepted_connection_reset(self):
        """A connection that the kernel has accepted is served."""
        with socket.create_connection(self.writer.get_extra_info("peername"),
                                      timeout=5.0) as client:
            client.sendall(_get("/1"))
            await self.server.drain()
            self.assertIn(b"200 OK", client.recv(1 << 16))

    async def test_request_read_in_the_turn_of_the_drain(self):
        """A connection that has just been given input is not idle."""
        while not self.server._idle_connections:
            await asyncio.sleep(0)
        (conn,) = self.server._idle_connections
        conn.data_received(_get("/1"))
        async with asyncio.timeout(5.0):
            await self.server.drain()
        self._check_refused_behind(await self._read_replies(), 1, 0)

    async def test_request_received_but_not_read_at_the_drain(self):
        """A request that waits in the socket is read before the close."""
        while not self.server._idle_connections:
            await asyncio.sleep(0)
        self.writer.write(_get("/1"))
        async with asyncio.timeout(5.0):
            await self.server.drain()
        self._check_refused_behind(await self._read_replies(), 1, 0)

    async def test_content_still_arriving(self):
        """A request whose content arrives during the drain is served."""
        data = _post("/1")
        self.writer.write(data[:-2])
        await self.handler.started.wait()
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0.05)
        self.writer.write(data[-2:])
        self._check_refused_behind(await self._read_replies(), 1, 0)
        await drained

    async def test_drain_ends_before_slow_client_has_its_response(self):
        """After a drain the process may end: it holds no response any more."""
        while not self.server._idle_connections:
            await asyncio.sleep(0)
        (conn,) = self.server._idle_connections
        conn.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SMALL_BUFFER_BYTES)
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET,
                                                        socket.SO_RCVBUF,
                                                        _SMALL_BUFFER_BYTES)
        self.reader._transport.pause_reading()
        self.server.close_after_responses()
        self.writer.write(_get("/large"))
        await self.handler.started.wait()
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0.2)
        self.reader._transport.resume_reading()
        reading = asyncio.ensure_future(self._read_replies())
        await asyncio.wait_for(drained, 5.0)
        self.assertEqual(conn.transport.get_write_buffer_size(), 0)
        (reply,) = await reading
        self.assertTrue(reply.complete)
