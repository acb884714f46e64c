"""Tests of check-ins as they arrive at the port of a node."""

import asyncio

import msgspec

from apricothinge import settings
from apricothinge.platform import handlers
from apricothinge.platform import wire
from apricothinge.web import server
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes


class CheckInPortTest(test_mesh_nodes.MeshTest):
    """A mesh of two upstreams, whose first node serves its check-in port.

    Attributes:
        address: Where the first upstream listens.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self._server = self._port = None
        self.address = ""

    async def asyncTearDown(self):
        if self._server is not None:
            self._server.abort()
        await super().asyncTearDown()

    async def start(self, services=("s", "t")):
        """Starts the mesh and the port."""
        await self.mesh.start(
            services,
            mesh_builders.document(routes=[
                mesh_builders.route(),
                mesh_builders.route("r2", path_prefix="/b/", service="t")
            ]))
        self.address = f"127.0.0.1:{self.mesh.upstreams[0].port}"
        await self.serve_check_ins()

    async def serve_check_ins(self):
        """Serves check-ins of the current process of the first node."""
        if self._server is not None:
            self._server.abort()
        self._server = server.Server(
            handlers.CheckInHandler(self.mesh.nodes[0]), settings.Limits())
        self._port = await self._server.start(settings.Address("127.0.0.1", 0))

    async def post(self, path, content):
        """Sends a body to the port and returns the status of the answer."""
        reader, writer = await asyncio.open_connection(self._port.host,
                                                       self._port.port)
        try:
            writer.write(
                mesh_fleet.make_request(path, method="POST", content=content))
            return (await mesh_fleet.read_answer(reader))[0]
        finally:
            writer.close()

    async def check_in(self, upstream_id="u0", **fields):
        """Sends a check-in and returns the status of the answer."""
        return await self.post(
            wire.CHECK_IN_PATH_PREFIX + upstream_id,
            mesh_builders.check_in_content(**({
                "address": self.address,
                "born": 1000
            } | fields)))

    async def deregister(self, upstream_id="u0", content=b""):
        """Sends a deregistration and returns the status of the answer."""
        return await self.post(wire.DEREGISTER_PATH_PREFIX + upstream_id,
                               content)

    async def assert_serves(self):
        """Checks that the first upstream is used and its service named."""
        self.assertEqual(200, (await self.mesh.send_request(1))[0])
        self.assertEqual(200, (await self.mesh.send_request(0, "/b/1"))[0])
        self.assertEqual(
            b"s",
            mesh_fleet.header_value(self.mesh.upstreams[1].request_heads[-1],
                                    mesh_fleet.NAMES.calling_service))


class OtherWriterTest(CheckInPortTest):
    """Check-ins of programs that are not the upstream of the machine."""

    async def _assert_ignored(self, upstream_id="spooler", **fields):
        """Checks that check-ins, ready and draining, change nothing."""
        for sequence, state in ((900, "ready"), (901, "draining")):
            status = await self.check_in(
                upstream_id,
                **({
                    "born": 2000,
                    "seq": sequence,
                    "state": state
                } | fields))
            self.assertEqual(400, status, fields)
            await self.assert_serves()
        self.assertEqual(200, await self.check_in(seq=50))
        await self.assert_serves()

    async def test_service_of_another_writer(self):
        """Guards against a foreign Caller-Service and loss of the upstream."""
        await self.start()
        for service in ("print-spooler", "t", "", "S", "s "):
            await self._assert_ignored(service=service)
            await self._assert_ignored("u0", service=service)

    async def test_address_of_another_writer(self):
        """Guards against a check-in for what listens elsewhere."""
        await self.start()
        host_name, _, port = self.address.rpartition(":")
        for address in (f"{host_name}:9100", f"127.0.0.2:{port}", "", host_name,
                        f"{self.address} ", "127.0.0.1:99999"):
            await self._assert_ignored(address=address)

    async def test_changed_address(self):
        """Guards against an upstream that is shut out by changed settings."""
        await self.start()
        moved = mesh_fleet.HandlerUpstream()
        await moved.start()
        self.addCleanup(moved.stop)
        changed = self.mesh.nodes[0]
        fields = {"address": f"127.0.0.1:{moved.port}", "born": 2000}
        self.assertEqual(400, await self.check_in(**fields))
        changed.apply_settings(
            msgspec.structs.replace(changed._settings,
                                    upstream=fields["address"]))
        self.assertEqual(200, await self.check_in(**fields))
        received = len(self.mesh.upstreams[0].request_heads)
        await self.assert_serves()
        self.assertEqual(1, len(moved.request_heads))
        self.assertEqual(received, len(self.mesh.upstreams[0].request_heads))

    async def test_fields_of_another_writer(self):
        """Guards against a check-in with fields missing or of another type."""
        await self.start()
        for name in ("service", "address", "zone", "version", "slots", "state",
                     "coldLeftS", "seq", "born"):
            await self._assert_ignored(without=(name,))
            for value in (None, [], {}, True):
                await self._assert_ignored(**{name: value})
        await self._assert_ignored(state="asleep")

    async def test_deregistration_of_another_writer(self):
        """Guards against the loss of the upstream by a foreign program."""
        await self.start()
        self.assertEqual(503, await self.deregister("spooler"))
        for content in (b"\xff\xfe", b"{", b'{"born": "now"}', b"[" * 100):
            self.assertEqual(400, await self.deregister("u0", content))
        await self.assert_serves()
        self.assertEqual(200, await self.deregister("u0"))
        self.assertEqual(503, (await self.mesh.send_request(1))[0])
