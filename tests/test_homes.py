"""Tests of requests that have to stay in some regions."""

import json
import random
import unittest

from apricothinge import settings
from apricothinge.overload import homes
from apricothinge.overload import routing
from apricothinge.platform import wire
from tests import mesh_builders
from tests import test_mesh_nodes

_REGION_BY_DOMAIN = {"a": "north", "b": "south"}


class CommonHomesTest(unittest.TestCase):
    """Regions that route and organisation permit together."""

    def test_common_homes(self):
        """Both bind where both are given."""
        self.assertIsNone(homes.common_homes(None, None))
        self.assertEqual({"n"}, homes.common_homes(["n"], None))
        self.assertEqual({"s"}, homes.common_homes(["n", "s"], ["s", "w"]))
        self.assertEqual(frozenset(), homes.common_homes(["n"], ["s"]))


class RoutingTest(unittest.TestCase):
    """Choice of an instance for a request that has homes."""

    def setUp(self):
        self.router = routing.Router("a", "north", random.Random(1))
        for index, domain in enumerate("aabb"):
            self.router.upsert(
                routing.Upstream(f"n{index}", "s", domain,
                                 _REGION_BY_DOMAIN[domain],
                                 settings.Address("127.0.0.1",
                                                  1), False, 1, 0.0))

    def test_homes_elsewhere(self):
        """A request goes to its home although nearer instances are idle."""
        for _ in range(50):
            target = self.router.pick(9.0, "s", set(), frozenset(("south",)))
            self.assertEqual("south", target.region)

    def test_home_without_instance(self):
        """A request whose home has no instance left goes nowhere."""
        self.assertIsNone(
            self.router.pick(9.0, "s", {"n2", "n3"}, frozenset(("south",))))
        self.assertIsNone(self.router.pick(9.0, "s", set(), frozenset()))


class DesiredStateTest(unittest.TestCase):
    """Homes in the desired state of operators."""

    def test_homes(self):
        """Homes of routes and organisations are decoded."""
        text = json.loads(mesh_builders.state_text())
        for table, value in (("routes", ["north"]), ("tenants", ["south"])):
            text[table]["columns"].append("allowedRegions")
            text[table]["rows"][0].append(value)
        document = wire.decode_change(None, json.dumps(text).encode()).document
        self.assertEqual(["north"], document.routes[0].homes)
        self.assertEqual(["south"], document.organisations[0].homes)

    def test_cold_start(self):
        """What cold upstreams take is decoded."""
        text = json.loads(mesh_builders.state_text())
        text["services"] = {
            "columns": ["name", "coldStartS", "coldPerS"],
            "rows": [["s", 3.0, 2.7], ["t", None, None]]
        }
        document = wire.decode_change(None, json.dumps(text).encode()).document
        self.assertEqual([(3.0, 2.7), (0.0, 0.0)],
                         [(service.warm_up_s, service.cold_rate_per_s)
                          for service in document.services])


class TwoRegionsTest(test_mesh_nodes.MeshTest):
    """A fleet in two regions."""

    async def _start(self, route_homes=None, organisation_homes=None):
        await self.mesh.start(
            ("s", "s", "s", "s"),
            mesh_builders.document(
                routes=[mesh_builders.route(homes=route_homes)],
                organisations=[
                    mesh_builders.organisation(rate_per_s=0.0,
                                               homes=organisation_homes)
                ]),
            region_by_domain=_REGION_BY_DOMAIN)

    async def _send_to_all(self):
        statuses = set()
        for number in range(5):
            for index in range(4):
                status, _, _ = await self.mesh.send_request(
                    index,
                    request_id=b"q%d-%d" % (number, index),
                    headers=[(b"x-api-key", b"k1")])
                statuses.add(status)
        return statuses

    def _received(self):
        return [
            len(upstream.request_heads) > 0 for upstream in self.mesh.upstreams
        ]

    async def test_request_left_home_of_route(self):
        """Requests of all nodes reach only upstreams in the home."""
        await self._start(route_homes=["south"])
        self.assertEqual({200}, await self._send_to_all())
        self.assertEqual([False, True, False, True], self._received())

    async def test_request_left_home_of_organisation(self):
        """The homes of the organisation bind as those of the route do."""
        await self._start(["north", "south"], ["north"])
        self.assertEqual({200}, await self._send_to_all())
        self.assertEqual([True, False, True, False], self._received())

    async def test_home_without_room(self):
        """A request whose home takes nothing is refused and not run."""
        await self._start(route_homes=["south"])
        for index in (1, 3):
            self.mesh.nodes[index].upstream.deregister(f"u{index}", None)
        await self.mesh.wait_until(lambda: all(self.mesh.nodes[0]._router.pick(
            0.0, "s", set(), frozenset(("south",))) is None for _ in range(1)))
        self.assertEqual({503}, await self._send_to_all())
        self.assertEqual([False] * 4, self._received())


if __name__ == "__main__":
    unittest.main()
