"""Tests of running mesh nodes with control and upstreams."""

import asyncio
import os
import unittest
from unittest import mock

from apricothinge.mesh import admission_queue
from apricothinge.overload import drain
from apricothinge.overload import routing
from tests import mesh_builders
from tests import mesh_fleet

_KEY = b"k1-a-key-that-no-upstream-may-see"


def _keyed_document(version=1, keys=(_KEY.decode(),), **fields):
    return mesh_builders.document(
        version=version,
        organisations=[mesh_builders.organisation(keys=keys, **fields)])


class MeshTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests that send requests through running nodes."""

    async def asyncSetUp(self):
        self.mesh = mesh_fleet.Mesh()
        self.addAsyncCleanup(self.mesh.stop)

    def _set_handler(self, handler):
        for upstream in self.mesh.upstreams:
            upstream.handler = handler

    def _request_heads(self):
        return [
            head for upstream in self.mesh.upstreams
            for head in upstream.request_heads
        ]


class CallTest(MeshTest):
    """Handling of single requests."""

    async def test_upstream_gets_organisation_without_key(self):
        """The upstream gets the organisation of the request, never the key.

        Internal headers that a caller sets itself are replaced.
        """
        await self.mesh.start(
            document=_keyed_document(rate_per_s=100.0, burst=100.0))
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].state.token_pool.available())
        names = mesh_fleet.NAMES
        status, head, content = await self.mesh.send_request(
            headers=[(names.key,
                      _KEY), (names.organisation, b"somebody else"
                             ), (names.calling_service,
                                 b"forged"), (names.expected_upstream,
                                              b"forged")])
        self.assertEqual((status, content), (200, b"done"))
        self.assertEqual(mesh_fleet.header_value(head, names.request_id), b"q1")
        received = self._request_heads()[0]
        self.assertNotIn(_KEY, received)
        self.assertNotIn(b"forged", received)
        self.assertEqual(mesh_fleet.header_value(received, names.organisation),
                         b"o")
        self.assertEqual(
            mesh_fleet.header_value(received, names.calling_service), b"s")
        self.assertIn(
            mesh_fleet.header_value(received, names.expected_upstream),
            (b"u0", b"u1"))
        self.assertLessEqual(
            int(mesh_fleet.header_value(received, names.deadline_ms)), 3000)
        self.assertEqual(mesh_fleet.header_value(received, b"host"), b"h")

    async def test_refusal_without_retry_time(self):
        """A request that waited in vain is told when to come back.

        At that moment nothing may be ahead of it any more.
        """
        await self.mesh.start(services=("s",))
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", sequence=100, slots=1))

        async def handle(head, content, writer):
            del content
            await asyncio.sleep(1.0)
            writer.write(mesh_fleet.make_answer(head))
            return True

        self._set_handler(handle)
        running = asyncio.ensure_future(self.mesh.send_request())
        await self.mesh.wait_until(self._request_heads)
        expired = asyncio.ensure_future(self.mesh.send_request())
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].upstream.load().queued)
        with mock.patch.object(admission_queue.AdmissionQueue,
                               "expected_wait_s", lambda queue, now, rank: 0.0):
            status, head, _ = await expired
        self.assertEqual(503, status)
        self.assertGreater(
            float(mesh_fleet.header_value(head, b"retry-after") or 0), 0.0)
        self.assertEqual(200, (await running)[0])

    async def test_invalid_requests_are_refused(self):
        """A missing or unknown key, no route, or dot segments in the path."""
        await self.mesh.start(document=_keyed_document())
        key = mesh_fleet.NAMES.key
        self.assertEqual((await self.mesh.send_request())[0], 401)
        self.assertEqual(
            (await
             self.mesh.send_request(headers=[(key, b"no such key")]))[0], 401)
        self.assertEqual((await self.mesh.send_request(path="/b/1"))[0], 404)
        for path in ("/a/../b/1", "/a/%2e%2e/b", "/a/x%2Fy", "/a/./x"):
            with self.subTest(path):
                self.assertEqual((await self.mesh.send_request(path=path))[0],
                                 400)
        self.assertEqual(self._request_heads(), [])

    async def test_rate_limit(self):
        """Requests above the rate are refused and do not reach the upstream."""
        await self.mesh.start(
            document=_keyed_document(rate_per_s=1.0, burst=1.0))
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].state.token_pool.available())
        statuses = [(await
                     self.mesh.send_request(headers=[(mesh_fleet.NAMES.key,
                                                      _KEY)]))[0]
                    for _ in range(40)]
        self.assertIn(429, statuses)
        max_accepted = (1.0 * 5 + 1.0) * 1.1 + 20
        self.assertLessEqual(statuses.count(200), max_accepted)
        self.assertEqual(len(self._request_heads()), statuses.count(200))

    async def test_answer_to_another_request_is_skipped(self):
        """An answer that carries the ID of another request is skipped."""
        await self.mesh.start(services=("s",))

        async def handle(head, content, writer):
            del content
            if not len(self._request_heads()) % 2:
                writer.write(
                    mesh_fleet.make_answer(head, b"stale", request_id=b"old"))
            writer.write(mesh_fleet.make_answer(head, b"mine"))
            return True

        self._set_handler(handle)
        for number in range(4):
            status, head, content = await self.mesh.send_request(
                request_id=b"q%d" % number)
            self.assertEqual((status, content), (200, b"mine"))
            self.assertEqual(
                mesh_fleet.header_value(head, mesh_fleet.NAMES.request_id),
                b"q%d" % number)

    async def test_unresponsive_upstream(self):
        """A request to an upstream that never answers ends at its deadline."""
        await self.mesh.start(services=("s", "t"))

        async def handle(head, content, writer):
            del head, content, writer
            await asyncio.sleep(60)

        self._set_handler(handle)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, _, _ = await self.mesh.send_request(index=1, deadline_ms=400)
        self.assertEqual(status, 504)
        self.assertLess(loop.time() - started_at, 1.5)
        await self.mesh.wait_until(lambda: self.mesh.upstreams[0].aborted == 1)

    async def test_caller_disconnects(self):
        """The request at the upstream is aborted if its caller disconnects."""
        await self.mesh.start(services=("s", "t"))

        async def handle(head, content, writer):
            del head, content, writer
            await asyncio.sleep(60)

        self._set_handler(handle)
        _, writer = await self.mesh.connect(1)
        writer.write(mesh_fleet.make_request())
        await self.mesh.wait_until(self._request_heads)
        writer.close()
        await self.mesh.wait_until(lambda: self.mesh.upstreams[0].aborted == 1)

    async def test_large_contents_over_link(self):
        """Large contents pass unchanged over a link in both directions."""
        await self.mesh.start(services=("s", "t"))
        content = bytes(range(256)) * 8192

        async def handle(head, content, writer):
            writer.write(mesh_fleet.make_answer(head, content))
            await writer.drain()
            return True

        self._set_handler(handle)
        status, _, answer_content = await self.mesh.send_request(
            index=1, method="POST", content=content)
        self.assertEqual(status, 200)
        self.assertEqual(answer_content, content)

    async def test_truncated_answer(self):
        """A truncated answer never reaches the caller as a complete one."""
        await self.mesh.start(services=("s", "t"))

        for size in (4, 2 << 20):

            async def handle(head, content, writer, size=size):
                del content
                answer = mesh_fleet.make_answer(head, b"x" * size)
                writer.write(answer[:-2])
                await writer.drain()
                return False

            self._set_handler(handle)
            with self.subTest(size):
                try:
                    status, _, _ = await self.mesh.send_request(index=1,
                                                                method="POST")
                    self.assertEqual(status, 502)
                except (asyncio.IncompleteReadError, ConnectionError):
                    pass

    async def test_answer_without_length(self):
        """An answer without a length ends when its connection is closed."""
        await self.mesh.start(services=("s",))

        async def handle(head, content, writer):
            del content
            writer.write(
                b"HTTP/1.1 200 OK\r\n" + mesh_fleet.NAMES.request_id + b": " +
                mesh_fleet.header_value(head, mesh_fleet.NAMES.request_id) +
                b"\r\n\r\nhalf")
            await writer.drain()
            if b"/reset" in head:
                await asyncio.sleep(0.1)
                writer.transport.abort()
            return False

        self._set_handler(handle)
        self.assertEqual((await self.mesh.send_request())[0], 200)

    async def test_retry_after_lost_answer(self):
        """Only idempotent requests are retried after a lost answer."""
        await self.mesh.start(document=mesh_builders.document(routes=[
            mesh_builders.route(),
            mesh_builders.route(
                "w",
                path_prefix="/w/",
                kind=mesh_builders.documents.RouteKind.NON_IDEMPOTENT)
        ]))
        lost_requests = []

        async def handle(head, content, writer):
            del content
            if len(lost_requests) < 1:
                lost_requests.append(head)
                return False
            writer.write(mesh_fleet.make_answer(head))
            return True

        self._set_handler(handle)
        self.assertEqual((await self.mesh.send_request())[0], 200)
        lost_requests.clear()
        attempts_before = len(self._request_heads())
        status, _, _ = await self.mesh.send_request(path="/w/1", method="POST")
        self.assertEqual(status, 502)
        self.assertEqual(len(self._request_heads()) - attempts_before, 1)

    async def test_refusal_does_not_hide_lost_answer(self):
        """A refused retry does not hide that the first attempt may have run."""
        await self.mesh.start()

        async def handle(head, content, writer):
            del head, content, writer
            for mesh_node in self.mesh.nodes:
                mesh_node.upstream._usable = False
            return False

        self._set_handler(handle)
        self.assertEqual((await self.mesh.send_request())[0], 502)
        self.assertEqual(len(self._request_heads()), 1)

    async def test_retry_after_upstream_refusal(self):
        """A request that an upstream refused unrun goes to another one."""
        await self.mesh.start(document=mesh_builders.document(routes=[
            mesh_builders.route(
                kind=mesh_builders.documents.RouteKind.NON_IDEMPOTENT)
        ]))

        async def handle(head, content, writer):
            del content
            if len(self._request_heads()) == 1:
                writer.write(
                    mesh_fleet.make_answer(head, status=b"503 No").replace(
                        b"\r\n\r\n",
                        b"\r\n" + mesh_fleet.NAMES.not_run + b": 1\r\n\r\n", 1))
            else:
                writer.write(mesh_fleet.make_answer(head))
            return True

        self._set_handler(handle)
        self.assertEqual((await self.mesh.send_request(method="POST"))[0], 200)
        self.assertEqual(len(self._request_heads()), 2)


class UpstreamLifetimeTest(MeshTest):
    """Upstreams that drain, deregister, crash and restart."""

    async def test_draining_upstream(self):
        """An upstream whose check-in says draining gets no new requests."""
        await self.mesh.start()
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", sequence=2, draining=True))
        statuses = [(await self.mesh.send_request())[0] for _ in range(10)]
        self.assertEqual(statuses, [200] * 10)
        self.assertEqual(self.mesh.upstreams[0].request_heads, [])

    async def test_deregistered_upstream(self):
        """An upstream that deregisters undrained gets no new requests."""
        await self.mesh.start()
        self.mesh.nodes[0].upstream.deregister("u0", 1000)
        self.assertEqual((await self.mesh.send_request())[0], 200)
        self.assertEqual(self.mesh.upstreams[0].request_heads, [])

    async def test_stale_check_in(self):
        """Check-ins of an earlier lifetime or sequence number are ignored."""
        await self.mesh.start(services=("s",))
        upstream = self.mesh.nodes[0].upstream
        upstream.check_in(mesh_builders.check_in("u9", born=2000))
        upstream.check_in(
            mesh_builders.check_in("u0", born=1000, sequence=9, draining=True))
        upstream.check_in(
            mesh_builders.check_in("u9", born=2000, sequence=0, draining=True))
        upstream.deregister("u0", 1000)
        self.assertEqual((await self.mesh.send_request())[0], 200)
        self.assertEqual(
            mesh_fleet.header_value(self._request_heads()[0],
                                    mesh_fleet.NAMES.expected_upstream), b"u9")

    async def test_restart_under_same_name(self):
        """After a restart under the same name, sequence numbers start anew."""
        await self.mesh.start(services=("s",))
        upstream = self.mesh.nodes[0].upstream
        upstream.check_in(
            mesh_builders.check_in("u0", sequence=7, draining=True))
        upstream.check_in(mesh_builders.check_in("u0", born=3000, sequence=1))
        self.assertEqual((await self.mesh.send_request())[0], 200)

    async def test_upstream_crash_and_recovery(self):
        """A crashed upstream is avoided until it listens again."""
        await self.mesh.start()
        port = self.mesh.upstreams[0].port
        self.mesh.upstreams[0].stop()
        statuses = [(await self.mesh.send_request())[0] for _ in range(5)]
        self.assertEqual(statuses, [200] * 5)
        await self.mesh.upstreams[0].start(port)
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].upstream.row().usable)


class DesiredStateTest(MeshTest):
    """Changes of the desired state, control restarts and readiness."""

    async def test_revoked_key(self):
        """A revoked key is refused on a connection that is already open."""
        await self.mesh.start(
            document=_keyed_document(rate_per_s=100.0, burst=100.0))
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].state.token_pool.available())
        headers = [(mesh_fleet.NAMES.key, _KEY)]
        reader, writer = await self.mesh.connect()
        writer.write(mesh_fleet.make_request(headers=headers))
        self.assertEqual((await mesh_fleet.read_answer(reader))[0], 200)
        await self.mesh.apply(_keyed_document(2, keys=("another",)))
        writer.write(mesh_fleet.make_request(headers=headers))
        self.assertEqual((await mesh_fleet.read_answer(reader))[0], 401)
        writer.close()

    async def test_state_change_during_upload(self):
        """A request whose state changes during the upload uses the new state.

        It must not put the old route back into force for later requests.
        """
        await self.mesh.start(services=("s", "t"))
        reader, writer = await self.mesh.connect()
        request = mesh_fleet.make_request(method="POST", content=b"x" * 100)
        writer.write(request[:-50])
        await asyncio.sleep(0.1)
        await self.mesh.apply(
            mesh_builders.document(2,
                                   routes=[mesh_builders.route(service="t")]))
        writer.write(request[-50:])
        self.assertEqual((await mesh_fleet.read_answer(reader))[0], 200)
        writer.close()
        self.assertEqual((await self.mesh.send_request())[0], 200)
        self.assertEqual(self.mesh.upstreams[0].request_heads, [])
        self.assertEqual(len(self.mesh.upstreams[1].request_heads), 2)

    async def test_control_restart(self):
        """Accepted states survive a restart of control; nodes keep serving."""
        await self.mesh.start()
        await self.mesh.apply(mesh_builders.document(version=7))
        await self.mesh.control.stop()
        self.assertEqual((await self.mesh.send_request())[0], 200)
        await self.mesh.start_control()
        self.assertEqual(await self.mesh.control.read(), b"version 7")
        await self.mesh.apply(mesh_builders.document(version=8))

    async def test_attach_before_first_state(self):
        """A node stays attached to control before the first desired state."""
        unhandled = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda loop, context: unhandled.append(context))
        await self.mesh.start(document=mesh_builders.document())
        self.assertEqual(unhandled, [])

    async def test_not_ready_without_state(self):
        """A node without a desired state is not ready and answers 503."""
        await self.mesh.start(services=("s",))
        self.mesh.nodes[0].state.compiled = None
        self.assertFalse(self.mesh.nodes[0].ready)
        self.assertEqual((await self.mesh.send_request())[0], 503)

    async def test_restart_without_control(self):
        """A node that restarts while control is away goes by its peers."""
        await self.mesh.start(services=("s", "s", "t"),
                              document=_keyed_document(rate_per_s=1000.0,
                                                       burst=1000.0))
        await self.mesh.control.stop()
        await self.mesh.restart_node(2)
        node = self.mesh.nodes[2]
        self.assertFalse(node.ready)
        await self.mesh.wait_until(lambda: node.ready)
        self.assertEqual(node.state.revision, self.mesh.nodes[0].state.revision)
        # Without it, the node would take the rates of the fleet for its own.
        self.assertEqual(node.state.token_pool.nodes, 3)
        await self.mesh.wait_until(
            lambda: len(node._router.by_instance) == 3 and not any(
                row.draining for row in node._router.by_instance.values()))
        status, _, _ = await self.mesh.send_request(index=2,
                                                    headers=[
                                                        (mesh_fleet.NAMES.key,
                                                         _KEY)
                                                    ])
        self.assertEqual(status, 200)
        await self.mesh.start_control()

    async def test_restart_prefers_control(self):
        """Where control is reached, a node does not ask its peers.

        They may not yet know that a key was revoked.
        """
        await self.mesh.start(services=("s", "t"), document=_keyed_document())
        with mock.patch.object(self.mesh.nodes[0]._peer_table,
                               "make_offer") as make_offer:
            await self.mesh.restart_node(1)
            await self.mesh.wait_until(lambda: self.mesh.nodes[1].ready)
            await asyncio.sleep(1.5)
            make_offer.assert_not_called()

    async def test_graceful_stop(self):
        """A stopping node is not ready, but still serves new requests."""
        await self.mesh.start()
        stop_task = asyncio.ensure_future(self.mesh.nodes[0].stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.mesh.nodes[0].ready)
        status, head, _ = await self.mesh.send_request()
        self.assertEqual(status, 200)
        self.assertEqual(mesh_fleet.header_value(head, b"connection"), b"close")
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[1]._router.by_instance["n0"].draining)
        await stop_task
        self.mesh.nodes.pop(0)

    async def test_refusal_late_in_grace_period(self):
        """Late in the grace period, requests are refused instead of aborted."""
        await self.mesh.start()
        now = asyncio.get_running_loop().time()
        self.mesh.nodes[0].state.drain = drain.Drain(now - 3.0, now, 6.0)
        self.assertEqual((await self.mesh.send_request())[0], 503)
        self.assertEqual(self._request_heads(), [])


class CrashingRequestTest(MeshTest):
    """Requests that crash every upstream that runs them."""

    async def test_refused_after_third_crash(self):
        """A request is refused after three crashes, other requests are not."""
        await self.mesh.start(services=("s",))
        upstream = self.mesh.upstreams[0]

        async def handle(head, content, writer):
            del content
            if b"/a/bad" in head:
                upstream.stop()
                await asyncio.sleep(60)
            writer.write(mesh_fleet.make_answer(head))
            return True

        self._set_handler(handle)
        for _ in range(3):
            status, _, _ = await self.mesh.send_request(path="/a/bad")
            self.assertIn(status, (502, 503))
            await self.mesh.wait_until(
                lambda: not self.mesh.nodes[0].upstream.row().usable)
            await upstream.start(upstream.port)
            await self.mesh.wait_until(
                lambda: self.mesh.nodes[0].upstream.row().usable)
        request_count = len(self._request_heads())
        self.assertEqual((await self.mesh.send_request(path="/a/bad"))[0], 503)
        self.assertEqual(len(self._request_heads()), request_count)
        self.assertEqual((await self.mesh.send_request(path="/a/good"))[0], 200)


class CrashReportTest(MeshTest):
    """Crashes that a node reports to control."""

    async def test_reports_are_lost_with_leader(self):
        """Crashes reported while no leader listened were never passed on."""
        await self.mesh.start()
        await self.mesh.control.stop()
        await self.mesh.wait_until(
            lambda: not self.mesh.nodes[0]._attachment.attached_to)
        table = self.mesh.nodes[0].state.crash_table
        for number in range(3):
            table.record_crash(asyncio.get_running_loop().time(), "x",
                               f"c{number}")
        self.mesh.nodes[0]._attachment._make_report()
        await self.mesh.start_control()
        other = self.mesh.nodes[1].state.crash_table
        await self.mesh.wait_until(
            lambda: other.is_blocked(asyncio.get_running_loop().time(), "x"))


class CrashingUploadTest(MeshTest):
    """Large uploads, one of which crashes every upstream that runs it."""

    _SIZE = 100_000
    _MARK = b"MARK"

    async def _upload(self, index, content, chunk_bytes=0):
        """Uploads in one piece, or in chunks; returns the status."""
        reader, writer = await self.mesh.connect(index)
        try:
            if chunk_bytes:
                writer.write(
                    mesh_fleet.make_request("/a/up",
                                            "POST",
                                            headers=[(b"Transfer-Encoding",
                                                      b"chunked")]))
                for start in range(0, len(content), chunk_bytes):
                    chunk = content[start:start + chunk_bytes]
                    writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
            else:
                writer.write(mesh_fleet.make_request("/a/up", "POST", content))
            return (await mesh_fleet.read_answer(reader))[0]
        finally:
            writer.close()

    async def _serve_marked(self, upstream, content):
        """Crashes the upstream for a while if the content is the marked one."""
        if not content.startswith(self._MARK):
            return False
        self.runs += 1
        upstream.stop()
        await asyncio.sleep(60)
        return True

    async def test_marked_upload_is_refused_and_others_are_not(self):
        """Large uploads shared a fingerprint: none was held back for good at
        the machines of their service, and all were at the others."""
        upload = mesh_builders.documents.RouteKind.NON_IDEMPOTENT
        await self.mesh.start(
            ("s", "t"),
            mesh_builders.document(routes=[mesh_builders.route(kind=upload)]))
        upstream = self.mesh.upstreams[0]

        async def handle(head, content, writer):
            if not await self._serve_marked(upstream, content):
                writer.write(mesh_fleet.make_answer(head))
            return True

        self._set_handler(handle)
        for chunk_sizes in ((0, 0), (7_000, 60_001)):
            with self.subTest(chunk_sizes):
                self.runs = 0
                marked = self._MARK + os.urandom(8) + bytes(self._SIZE)
                for turn in range(6):
                    status = await self._upload(turn % 2, marked,
                                                chunk_sizes[turn % 2])
                    self.assertIn(status, (502, 503))
                    if not upstream._server.is_serving():
                        await self.mesh.wait_until(lambda: not self.mesh.nodes[
                            0].upstream.row().usable)
                        await upstream.start(upstream.port)
                    await self.mesh.wait_until(
                        lambda: self.mesh.nodes[0].upstream.row().usable)
                    await asyncio.sleep(0.3)
                    for index in (0, 1):
                        for chunk_bytes in chunk_sizes:
                            other = os.urandom(self._SIZE)
                            self.assertEqual(
                                200, await self._upload(index, other,
                                                        chunk_bytes))
                self.assertEqual(3, self.runs)


class AnonymousRouteTest(MeshTest):
    """Routes that need no API key."""

    async def test_refusal_refunds_no_token(self):
        """A refused request that spent no token gets none refunded."""
        await self.mesh.start(document=mesh_builders.document(
            routes=[
                mesh_builders.route("own"),
                mesh_builders.route(
                    "open", path_prefix="/b/", service="nobody", anonymous=True)
            ],
            organisations=[
                mesh_builders.organisation(
                    keys=[_KEY.decode()], rate_per_s=100.0, burst=100.0)
            ]))
        token_pool = self.mesh.nodes[0].state.token_pool
        await self.mesh.wait_until(token_pool.available)
        headers = [(mesh_fleet.NAMES.key, _KEY)]
        self.assertEqual((await self.mesh.send_request(headers=headers))[0],
                         200)
        recent_spends = token_pool.recent_spends()
        self.assertEqual(recent_spends, {"o": 1})
        status, _, _ = await self.mesh.send_request(path="/b/1",
                                                    headers=headers)
        self.assertEqual(status, 503)
        self.assertEqual(token_pool.recent_spends(), recent_spends)


class EarlyRefusalTest(MeshTest):
    """Refusal at the entry of requests that lead to a full service."""

    async def _start(self):
        organisations = [
            mesh_builders.organisation(keys=[_KEY.decode()],
                                       rate_per_s=1000.0,
                                       burst=1000.0)
        ]
        await self.mesh.start(services=("s", "t"),
                              document=mesh_builders.document(
                                  routes=[
                                      mesh_builders.route("own"),
                                      mesh_builders.route("nested",
                                                          path_prefix="/b/",
                                                          service="t",
                                                          anonymous=True)
                                  ],
                                  organisations=organisations))
        await self.mesh.wait_until(
            lambda: self.mesh.nodes[0].state.token_pool.available())

    async def test_costs_are_published(self):
        """Other nodes get the costs of a route, including its nested calls."""
        await self._start()

        async def handle(head, content, writer):
            del content
            await self.mesh.send_request(path="/b/1", request_id=b"q1b")
            writer.write(mesh_fleet.make_answer(head))
            return True

        self.mesh.upstreams[0].handler = handle
        names = mesh_fleet.NAMES

        async def generate_load():
            while True:
                await self.mesh.send_request(headers=[(names.key, _KEY)])

        load_task = asyncio.ensure_future(generate_load())
        cost_table = self.mesh.nodes[1]._cost_table
        try:
            await self.mesh.wait_until(
                lambda: set(cost_table.get("s", "own")) == {"s", "t"})
        finally:
            load_task.cancel()

    async def test_downstream_service_full(self):
        """Requests are refused with a retry time, nested calls are not."""
        await self._start()
        entry_node = self.mesh.nodes[0]
        for mesh_node in self.mesh.nodes:
            mesh_node._cost_table._costs_by_route["s", "own"] = {
                "s": 0.1,
                "t": 0.1
            }
        patcher = mock.patch.object(routing.Router,
                                    "capacity_ratios",
                                    return_value={"t": 0.0})
        patcher.start()
        self.addCleanup(patcher.stop)
        names = mesh_fleet.NAMES
        answers = [
            await self.mesh.send_request(headers=[(names.key, _KEY)])
            for _ in range(60)
        ]
        refused = [head for status, head, _ in answers if status == 503]
        # Some are admitted, to detect when there is capacity again.
        self.assertGreater(len(refused), 40)
        self.assertLess(len(refused), 60)
        for head in refused:
            retry_after_s = float(mesh_fleet.header_value(head, b"retry-after"))
            self.assertLessEqual(retry_after_s, 6.0)
            self.assertGreater(retry_after_s, 0.0)
        self.assertEqual(len(self._request_heads()), 60 - len(refused))
        for _ in range(5):
            self.assertEqual((await self.mesh.send_request(path="/b/1"))[0],
                             200)
        self.assertEqual(entry_node.dump().parts, {"t": 0.0})
