"""Tests of mesh nodes, control and upstreams that run together."""

import asyncio
import unittest
from unittest import mock

from apricothinge.overload import routing
from tests import mesh_builders
from tests import mesh_fleet

_KEY = b"k1-a-key-that-no-upstream-may-see"


def _keyed(version=1, keys=(_KEY.decode(),), **more):
    return mesh_builders.document(
        version=version,
        organisations=[mesh_builders.organisation(keys=keys, **more)])


class MeshTest(unittest.IsolatedAsyncioTestCase):
    """Requests through running nodes."""

    async def asyncSetUp(self):
        self.mesh = mesh_fleet.Mesh()
        self.addAsyncCleanup(self.mesh.stop)

    def _behave(self, behave):
        for row in self.mesh.upstreams:
            row.behave = behave

    def _heads(self):
        return [head for row in self.mesh.upstreams for head in row.heads]


class CallTest(MeshTest):
    """What callers and upstreams see of one request."""

    async def test_identity(self):
        """The upstream sees whose request it is, and never the key."""
        await self.mesh.start(document=_keyed(rate_per_s=100.0, burst=100.0))
        await self.mesh.until(
            lambda: self.mesh.nodes[0].state.token_pool.available())
        names = mesh_fleet.NAMES
        status, head, content = await self.mesh.ask(
            headers=[(names.key,
                      _KEY), (names.organisation, b"somebody else"
                             ), (names.calling_service,
                                 b"forged"), (names.expected_upstream,
                                              b"forged")])
        self.assertEqual((status, content), (200, b"done"))
        self.assertEqual(mesh_fleet.field(head, names.request_id), b"q1")
        seen = self._heads()[0]
        self.assertNotIn(_KEY, seen)
        self.assertNotIn(b"forged", seen)
        self.assertEqual(mesh_fleet.field(seen, names.organisation), b"o")
        self.assertEqual(mesh_fleet.field(seen, names.calling_service), b"s")
        self.assertIn(mesh_fleet.field(seen, names.expected_upstream),
                      (b"u0", b"u1"))
        self.assertLessEqual(int(mesh_fleet.field(seen, names.deadline_ms)),
                             3000)
        self.assertEqual(mesh_fleet.field(seen, b"host"), b"h")

    async def test_refused(self):
        """No key, an unknown key, no route, a path out of its prefix."""
        await self.mesh.start(document=_keyed())
        key = mesh_fleet.NAMES.key
        self.assertEqual((await self.mesh.ask())[0], 401)
        self.assertEqual(
            (await self.mesh.ask(headers=[(key, b"no such key")]))[0], 401)
        self.assertEqual((await self.mesh.ask(path="/b/1"))[0], 404)
        for path in ("/a/../b/1", "/a/%2e%2e/b", "/a/x%2Fy", "/a/./x"):
            with self.subTest(path):
                self.assertEqual((await self.mesh.ask(path=path))[0], 400)
        self.assertEqual(self._heads(), [])

    async def test_over_the_rate(self):
        """What is beyond the rate is refused as not run."""
        await self.mesh.start(document=_keyed(rate_per_s=1.0, burst=1.0))
        await self.mesh.until(
            lambda: self.mesh.nodes[0].state.token_pool.available())
        statuses = [(await
                     self.mesh.ask(headers=[(mesh_fleet.NAMES.key, _KEY)]))[0]
                    for _ in range(40)]
        self.assertIn(429, statuses)
        bound = (1.0 * 5 + 1.0) * 1.1 + 20
        self.assertLessEqual(statuses.count(200), bound)
        self.assertEqual(len(self._heads()), statuses.count(200))

    async def test_late_answer_of_another_request(self):
        """An answer that belongs to no request is skipped."""
        await self.mesh.start(services=("s",))

        async def behave(head, content, writer):
            del content
            if not len(self._heads()) % 2:
                writer.write(
                    mesh_fleet.answer(head, b"stale", request_id=b"old"))
            writer.write(mesh_fleet.answer(head, b"mine"))
            return True

        self._behave(behave)
        for number in range(4):
            status, head, content = await self.mesh.ask(request_id=b"q%d" %
                                                        number)
            self.assertEqual((status, content), (200, b"mine"))
            self.assertEqual(
                mesh_fleet.field(head, mesh_fleet.NAMES.request_id),
                b"q%d" % number)

    async def test_silence(self):
        """An upstream that never answers costs the caller its deadline."""
        await self.mesh.start(services=("s", "t"))

        async def behave(head, content, writer):
            del head, content, writer
            await asyncio.sleep(60)

        self._behave(behave)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, _, _ = await self.mesh.ask(place=1, left_ms=400)
        self.assertEqual(status, 504)
        self.assertLess(loop.time() - started_at, 1.5)
        await self.mesh.until(lambda: self.mesh.upstreams[0].cut == 1)

    async def test_caller_leaves(self):
        """The upstream's work ends with the caller's connection."""
        await self.mesh.start(services=("s", "t"))

        async def behave(head, content, writer):
            del head, content, writer
            await asyncio.sleep(60)

        self._behave(behave)
        _, writer = await self.mesh.connect(1)
        writer.write(mesh_fleet.request())
        await self.mesh.until(self._heads)
        writer.close()
        await self.mesh.until(lambda: self.mesh.upstreams[0].cut == 1)

    async def test_large_contents(self):
        """Long contents pass both ways over a link, whole."""
        await self.mesh.start(services=("s", "t"))
        content = bytes(range(256)) * 8192

        async def behave(head, content, writer):
            writer.write(mesh_fleet.answer(head, content))
            await writer.drain()
            return True

        self._behave(behave)
        status, _, found = await self.mesh.ask(place=1,
                                               method="POST",
                                               content=content)
        self.assertEqual(status, 200)
        self.assertEqual(found, content)

    async def test_cut_answer(self):
        """An answer that ends early never looks whole."""
        await self.mesh.start(services=("s", "t"))

        for size in (4, 2 << 20):

            async def behave(head, content, writer, size=size):
                del content
                whole = mesh_fleet.answer(head, b"x" * size)
                writer.write(whole[:-2])
                await writer.drain()
                return False

            self._behave(behave)
            with self.subTest(size):
                try:
                    status, _, _ = await self.mesh.ask(place=1, method="POST")
                    self.assertEqual(status, 502)
                except (asyncio.IncompleteReadError, ConnectionError):
                    pass

    async def test_answer_without_length(self):
        """An answer may end with its connection, but not by a reset."""
        await self.mesh.start(services=("s",))

        async def behave(head, content, writer):
            del content
            writer.write(b"HTTP/1.1 200 OK\r\n" + mesh_fleet.NAMES.request_id +
                         b": " +
                         mesh_fleet.field(head, mesh_fleet.NAMES.request_id) +
                         b"\r\n\r\nhalf")
            await writer.drain()
            if b"/reset" in head:
                await asyncio.sleep(0.1)
                writer.transport.abort()
            return False

        self._behave(behave)
        self.assertEqual((await self.mesh.ask())[0], 200)

    async def test_second_upstream_after_a_failure(self):
        """Only what may be repeated runs again after a lost answer."""
        await self.mesh.start(document=mesh_builders.document(routes=[
            mesh_builders.route(),
            mesh_builders.route(
                "w",
                path_prefix="/w/",
                kind=mesh_builders.documents.RouteKind.NON_IDEMPOTENT)
        ]))
        failures = []

        async def behave(head, content, writer):
            del content
            if len(failures) < 1:
                failures.append(head)
                return False
            writer.write(mesh_fleet.answer(head))
            return True

        self._behave(behave)
        self.assertEqual((await self.mesh.ask())[0], 200)
        failures.clear()
        before = len(self._heads())
        status, _, _ = await self.mesh.ask(path="/w/1", method="POST")
        self.assertEqual(status, 502)
        self.assertEqual(len(self._heads()) - before, 1)

    async def test_refused_after_a_failure(self):
        """A refusal does not hide that a former attempt may have run."""
        await self.mesh.start()

        async def behave(head, content, writer):
            del head, content, writer
            for row in self.mesh.nodes:
                row.upstream._usable = False
            return False

        self._behave(behave)
        self.assertEqual((await self.mesh.ask())[0], 502)
        self.assertEqual(len(self._heads()), 1)

    async def test_turned_away_by_the_upstream(self):
        """A request that an upstream did not run goes to the next one."""
        await self.mesh.start(document=mesh_builders.document(routes=[
            mesh_builders.route(
                kind=mesh_builders.documents.RouteKind.NON_IDEMPOTENT)
        ]))

        async def behave(head, content, writer):
            del content
            if len(self._heads()) == 1:
                writer.write(
                    mesh_fleet.answer(head, status=b"503 No").replace(
                        b"\r\n\r\n",
                        b"\r\n" + mesh_fleet.NAMES.not_run + b": 1\r\n\r\n", 1))
            else:
                writer.write(mesh_fleet.answer(head))
            return True

        self._behave(behave)
        self.assertEqual((await self.mesh.ask(method="POST"))[0], 200)
        self.assertEqual(len(self._heads()), 2)


class LifetimeTest(MeshTest):
    """Upstreams come, drain, crash and return."""

    async def test_drained(self):
        """After its check-in says so, an upstream gets nothing new."""
        await self.mesh.start()
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", sequence=2, draining=True))
        statuses = [(await self.mesh.ask())[0] for _ in range(10)]
        self.assertEqual(statuses, [200] * 10)
        self.assertEqual(self.mesh.upstreams[0].heads, [])

    async def test_left_without_draining(self):
        """One that only deregisters gets nothing new either."""
        await self.mesh.start()
        self.mesh.nodes[0].upstream.leave("u0", 1000)
        self.assertEqual((await self.mesh.ask())[0], 200)
        self.assertEqual(self.mesh.upstreams[0].heads, [])

    async def test_late_check_in(self):
        """A check-in of a former lifetime, or an older one, changes nothing."""
        await self.mesh.start(services=("s",))
        local = self.mesh.nodes[0].upstream
        local.check_in(mesh_builders.check_in("u9", born=2000))
        local.check_in(
            mesh_builders.check_in("u0", born=1000, sequence=9, draining=True))
        local.check_in(
            mesh_builders.check_in("u9", born=2000, sequence=0, draining=True))
        local.leave("u0", 1000)
        self.assertEqual((await self.mesh.ask())[0], 200)
        self.assertEqual(
            mesh_fleet.field(self._heads()[0],
                             mesh_fleet.NAMES.expected_upstream), b"u9")

    async def test_same_name_again(self):
        """A new start under the old name counts its check-ins anew."""
        await self.mesh.start(services=("s",))
        local = self.mesh.nodes[0].upstream
        local.check_in(mesh_builders.check_in("u0", sequence=7, draining=True))
        local.check_in(mesh_builders.check_in("u0", born=3000, sequence=1))
        self.assertEqual((await self.mesh.ask())[0], 200)

    async def test_crashed(self):
        """Work goes elsewhere after a crash, and comes back afterwards."""
        await self.mesh.start()
        port = self.mesh.upstreams[0].port
        self.mesh.upstreams[0].stop()
        statuses = [(await self.mesh.ask())[0] for _ in range(5)]
        self.assertEqual(statuses, [200] * 5)
        await self.mesh.upstreams[0].start(port)
        await self.mesh.until(lambda: self.mesh.nodes[0].upstream.row().usable)


class StateTest(MeshTest):
    """The desired state and those who keep it."""

    async def test_withdrawn_key(self):
        """A withdrawn key stops on a connection that is already open."""
        await self.mesh.start(document=_keyed(rate_per_s=100.0, burst=100.0))
        await self.mesh.until(
            lambda: self.mesh.nodes[0].state.token_pool.available())
        headers = [(mesh_fleet.NAMES.key, _KEY)]
        reader, writer = await self.mesh.connect()
        writer.write(mesh_fleet.request(headers=headers))
        self.assertEqual((await mesh_fleet.read_answer(reader))[0], 200)
        await self.mesh.apply(_keyed(2, keys=("another",)))
        writer.write(mesh_fleet.request(headers=headers))
        self.assertEqual((await mesh_fleet.read_answer(reader))[0], 401)
        writer.close()

    async def test_change_during_an_upload(self):
        """Content that was long on its way goes where the new state says.

        The old route must not come back into force through it either.
        """
        await self.mesh.start(services=("s", "t"))
        reader, writer = await self.mesh.connect()
        asked = mesh_fleet.request(method="POST", content=b"x" * 100)
        writer.write(asked[:-50])
        await asyncio.sleep(0.1)
        await self.mesh.apply(
            mesh_builders.document(2,
                                   routes=[mesh_builders.route(service="t")]))
        writer.write(asked[-50:])
        self.assertEqual((await mesh_fleet.read_answer(reader))[0], 200)
        writer.close()
        self.assertEqual((await self.mesh.ask())[0], 200)
        self.assertEqual(self.mesh.upstreams[0].heads, [])
        self.assertEqual(len(self.mesh.upstreams[1].heads), 2)

    async def test_control_restarts(self):
        """What was accepted is there after a restart; nodes go on."""
        await self.mesh.start()
        await self.mesh.apply(mesh_builders.document(version=7))
        await self.mesh.control.stop()
        self.assertEqual((await self.mesh.ask())[0], 200)
        await self.mesh.start_control()
        self.assertEqual(await self.mesh.control.read(), b"version 7")
        await self.mesh.apply(mesh_builders.document(version=8))

    async def test_attached_before_the_first_state(self):
        """A node keeps its link to control while there is no state yet."""
        problems = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda loop, context: problems.append(context))
        await self.mesh.start(document=mesh_builders.document())
        self.assertEqual(problems, [])

    async def test_not_ready_without_state(self):
        """A node without a desired state answers 503 and is not ready."""
        await self.mesh.start(services=("s",))
        self.mesh.nodes[0].state.compiled = None
        self.assertFalse(self.mesh.nodes[0].ready)
        self.assertEqual((await self.mesh.ask())[0], 503)

    async def test_stopping(self):
        """A node that stops is not ready and serves what still comes."""
        await self.mesh.start()
        stopping = asyncio.ensure_future(self.mesh.nodes[0].stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.mesh.nodes[0].ready)
        status, head, _ = await self.mesh.ask()
        self.assertEqual(status, 200)
        self.assertEqual(mesh_fleet.field(head, b"connection"), b"close")
        await self.mesh.until(
            lambda: self.mesh.nodes[1]._router.by_instance["n0"].draining)
        await stopping
        self.mesh.nodes.pop(0)

    async def test_late_in_the_grace_time(self):
        """What could not be answered before the end is refused, not cut."""
        await self.mesh.start()
        self.mesh.nodes[0].state.draining = True
        self.mesh.nodes[0].state.closed = True
        self.assertEqual((await self.mesh.ask())[0], 503)
        self.assertEqual(self._heads(), [])


class CrashTest(MeshTest):
    """A request that crashes every upstream that runs it."""

    async def test_stopped_after_the_third(self):
        """It is refused after three crashes; its neighbours are served."""
        await self.mesh.start(services=("s",))
        running = self.mesh.upstreams[0]

        async def behave(head, content, writer):
            del content
            if b"/a/bad" in head:
                running.stop()
                await asyncio.sleep(60)
            writer.write(mesh_fleet.answer(head))
            return True

        self._behave(behave)
        for _ in range(3):
            status, _, _ = await self.mesh.ask(path="/a/bad")
            self.assertIn(status, (502, 503))
            await self.mesh.until(
                lambda: not self.mesh.nodes[0].upstream.row().usable)
            await running.start(running.port)
            await self.mesh.until(
                lambda: self.mesh.nodes[0].upstream.row().usable)
        crashed = len(self._heads())
        self.assertEqual((await self.mesh.ask(path="/a/bad"))[0], 503)
        self.assertEqual(len(self._heads()), crashed)
        self.assertEqual((await self.mesh.ask(path="/a/good"))[0], 200)


class OpenRouteTest(MeshTest):
    """Routes that need no key."""

    async def test_refusal_gives_nothing_back(self):
        """A request that cost no token returns none when it is refused."""
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
        stock = self.mesh.nodes[0].state.token_pool
        await self.mesh.until(stock.available)
        headers = [(mesh_fleet.NAMES.key, _KEY)]
        self.assertEqual((await self.mesh.ask(headers=headers))[0], 200)
        spent = stock.recent_spends()
        self.assertEqual(spent, {"o": 1})
        status, _, _ = await self.mesh.ask(path="/b/1", headers=headers)
        self.assertEqual(status, 503)
        self.assertEqual(stock.recent_spends(), spent)


class EarlyRefusalTest(MeshTest):
    """What leads to a full service is refused at the entry."""

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
        await self.mesh.until(
            lambda: self.mesh.nodes[0].state.token_pool.available())

    async def test_costs_are_told(self):
        """The other node learns what a run with its call costs both."""
        await self._start()

        async def call(head, content, writer):
            del content
            await self.mesh.ask(path="/b/1", request_id=b"q1b")
            writer.write(mesh_fleet.answer(head))
            return True

        self.mesh.upstreams[0].behave = call
        names = mesh_fleet.NAMES

        async def load():
            while True:
                await self.mesh.ask(headers=[(names.key, _KEY)])

        loading = asyncio.ensure_future(load())
        table = self.mesh.nodes[1]._cost_table
        try:
            await self.mesh.until(
                lambda: set(table.get("s", "own")) == {"s", "t"})
        finally:
            loading.cancel()

    async def test_full_below(self):
        """A request is refused unrun with a time, a nested call is not."""
        await self._start()
        node = self.mesh.nodes[0]
        for row in self.mesh.nodes:
            row._cost_table._costs_by_route["s", "own"] = {"s": 0.1, "t": 0.1}
        patch = mock.patch.object(routing.Router,
                                  "capacity_ratios",
                                  return_value={"t": 0.0})
        patch.start()
        self.addCleanup(patch.stop)
        names = mesh_fleet.NAMES
        found = [
            await self.mesh.ask(headers=[(names.key, _KEY)]) for _ in range(60)
        ]
        refused = [head for status, head, _ in found if status == 503]
        # Some go through to show when there is room again.
        self.assertGreater(len(refused), 40)
        self.assertLess(len(refused), 60)
        for head in refused:
            after_s = float(mesh_fleet.field(head, b"retry-after"))
            self.assertLessEqual(after_s, 6.0)
            self.assertGreater(after_s, 0.0)
        self.assertEqual(len(self._heads()), 60 - len(refused))
        for _ in range(5):
            self.assertEqual((await self.mesh.ask(path="/b/1"))[0], 200)
        self.assertEqual(node.dump().parts, {"t": 0.0})
