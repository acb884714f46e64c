"""Tests of planned stops and restarts under load."""

import asyncio
import itertools

import msgspec

from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_GRACE_S = 5.0
_CALLERS = 12


class _Load:
    """Callers that send requests to one node until told to stop.

    Attributes:
        statuses: Status of each answer.
        cut: Requests that were sent and got no whole answer, as seconds from
            sending to the end of the connection.
        stopping: Whether callers send no further requests.
    """

    _numbers = itertools.count()

    def __init__(self, address, keep_open):
        self.statuses = []
        self.cut = []
        self.stopping = False
        self._address = address
        self._keep_open = keep_open

    async def run(self):
        """Sends requests until `stopping`, on new or kept connections."""
        await asyncio.gather(*(self._run_caller() for _ in range(_CALLERS)))

    async def _run_caller(self):
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection(
                    self._address.host, self._address.port)
            except OSError:
                # The process is gone; another one may take its port.
                return
            try:
                while await self._exchange(reader, writer):
                    if not self._keep_open or self.stopping:
                        break
            finally:
                writer.close()

    async def _exchange(self, reader, writer):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            writer.write(
                mesh_fleet.make_request(request_id=b"q%d" %
                                        next(self._numbers)))
            async with asyncio.timeout(_GRACE_S):
                status, head, _ = await mesh_fleet.read_answer(reader)
        except TimeoutError:
            self.cut.append(_GRACE_S)
            return False
        except (asyncio.IncompleteReadError, ConnectionError):
            self.cut.append(loop.time() - started_at)
            return False
        self.statuses.append(status)
        return b"connection: close" not in head


class PlannedStopTest(test_mesh_nodes.MeshTest):
    """A node that is stopped while callers use it."""

    async def _stop_under_load(self, keep_open):
        await self.mesh.start(services=("s", "t"))
        node = self.mesh.nodes[1]
        node._settings = msgspec.structs.replace(node._settings,
                                                 grace_s=_GRACE_S)
        for index in range(2):
            self.mesh.nodes[index].upstream.check_in(
                mesh_builders.check_in(f"u{index}",
                                       sequence=2,
                                       slots=100,
                                       service="st"[index]))

        async def handle(head, content, writer):
            del content
            await asyncio.sleep(0.05)
            writer.write(mesh_fleet.make_answer(head))
            return True

        self._set_handler(handle)
        load = _Load(node.caller, keep_open)
        running = asyncio.ensure_future(load.run())
        await asyncio.sleep(0.5)
        await node.stop()
        await asyncio.sleep(0.1)
        load.stopping = True
        await running
        return load

    async def test_kept_connections(self):
        """Requests on open connections are answered until the end."""
        load = await self._stop_under_load(keep_open=True)
        self._check(load)

    async def test_new_connections(self):
        """Requests on connections that were just accepted are answered."""
        load = await self._stop_under_load(keep_open=False)
        self._check(load)

    def _check(self, load):
        self.assertEqual(set(load.statuses) - {200, 503}, set())
        self.assertGreater(load.statuses.count(200), 200)
        # A request may cross the end of the listening socket; it was not read.
        self.assertEqual([age_s for age_s in load.cut if age_s > 0.05], [])
        self.assertLessEqual(len(load.cut), _CALLERS)


class RestartTest(test_mesh_nodes.MeshTest):
    """What had left, or was withdrawn, stays so over a restart."""

    async def test_restart_of_control(self):
        """A withdrawn key and a server that left stay out of use."""
        key = mesh_fleet.NAMES.key
        await self.mesh.start(
            services=("s", "s", "t"),
            document=mesh_builders.document(organisations=[
                mesh_builders.organisation(
                    keys=("old", "new"), rate_per_s=1000.0, burst=1000.0)
            ]))
        await self.mesh.apply(
            mesh_builders.document(version=2,
                                   organisations=[
                                       mesh_builders.organisation(
                                           keys=("new",),
                                           rate_per_s=1000.0,
                                           burst=1000.0)
                                   ]))
        self.mesh.nodes[0].upstream.deregister("u0", None)
        for restart in ("control", "nodes", "both"):
            with self.subTest(restart):
                if restart != "nodes":
                    await self.mesh.control.stop()
                    await self.mesh.start_control()
                if restart != "control":
                    await self.mesh.restart_node(2)
                node = self.mesh.nodes[2]
                statuses = set()
                for number in range(60):
                    status, _, _ = await self.mesh.send_request(
                        index=2,
                        request_id=b"%s%d" % (restart.encode(), number),
                        headers=[(key, b"old" if number % 2 else b"new")])
                    statuses.add((number % 2, status))
                    await asyncio.sleep(0.02)
                self.assertLessEqual(statuses, {(0, 200), (0, 503), (0, 429),
                                                (1, 401), (1, 503)})
                await self.mesh.wait_until(lambda node=node: node.ready)
                self.assertEqual(self.mesh.upstreams[0].request_heads, [])
