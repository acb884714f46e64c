"""Tests of the choice of instances to keep links to."""

import collections
import unittest

import msgspec

from apricothinge import errors
from apricothinge.link import frames
from apricothinge.overload import subset
from tests import mesh_builders
from tests import test_mesh_nodes

_MAX_LINKS = 14


def _candidates(own, count=60, domains=6, unreachable=()):
    """Builds candidates for node `own`; instance N is in domain N % domains."""
    return [
        subset.Candidate(f"i{number}", number % domains == own % domains,
                         f"i{number}" not in unreachable,
                         subset.weight(f"n{own}", f"i{number}"))
        for number in range(count)
    ]


class ChooseTest(unittest.TestCase):
    """Number, spread and stability of the chosen instances."""

    def test_number_is_bounded(self):
        """The number of links stays the same as the fleet grows."""
        for count in (60, 600, 6000):
            chosen = subset.choose(_candidates(0, count))
            self.assertEqual(len(chosen), _MAX_LINKS)

    def test_small_service(self):
        """All instances of a small service are chosen."""
        self.assertEqual(len(subset.choose(_candidates(0, 6))), 6)

    def test_own_failure_domain_and_others(self):
        """Most are in the own domain; the others are in several domains."""
        chosen = subset.choose(_candidates(2))
        domains = collections.Counter(int(name[1:]) % 6 for name in chosen)
        self.assertEqual(domains[2], 8)
        self.assertGreaterEqual(len(domains), 3)

    def test_even_spread(self):
        """No instance is chosen by much more or fewer nodes than others."""
        counts = collections.Counter()
        for own in range(180):
            counts.update(subset.choose(_candidates(own)))
        mean = 180 * _MAX_LINKS / 60
        self.assertEqual(len(counts), 60)
        self.assertLess(max(counts.values()), 1.6 * mean)
        self.assertGreater(min(counts.values()), 0.5 * mean)

    def test_joined_instance(self):
        """An instance that joins changes at most one choice of a node."""
        chosen_by = 0
        for own in range(180):
            before = subset.choose(_candidates(own, 60))
            after = subset.choose(_candidates(own, 61))
            self.assertLessEqual(len(before - after), 1)
            chosen_by += "i60" in after
        self.assertGreater(chosen_by, 20)

    def test_unreachable_instances(self):
        """Unreachable instances are kept and substituted."""
        before = subset.choose(_candidates(1, 120))
        unreachable = sorted(before)[:5]
        after = subset.choose(_candidates(1, 120, unreachable=unreachable))
        self.assertLessEqual(before, after)
        self.assertEqual(len(after - set(unreachable)), _MAX_LINKS)

    def test_unreachable_domains(self):
        """A domain that is cut off keeps a bounded number of attempts."""
        unreachable = [f"i{number}" for number in range(60) if number % 6]
        chosen = subset.choose(_candidates(0, unreachable=unreachable))
        self.assertEqual(len(chosen - set(unreachable)), 8)
        self.assertLessEqual(len(chosen), 26)


class PeerTableTest(test_mesh_nodes.MeshTest):
    """Links of running nodes."""

    async def test_links_of_a_larger_fleet(self):
        """Nodes keep few links, replace lost nodes, and serve all the time."""
        await self.mesh.start(services=["s"] * 30)
        tables = [node._peer_table for node in self.mesh.nodes]
        for table in tables:
            self.assertLessEqual(table.link_count, _MAX_LINKS)
        self.assertGreater(
            min(len(node.incoming_calls.links) for node in self.mesh.nodes), 3)
        chosen = [
            name for name, peer in tables[0].by_instance.items() if peer.chosen
        ]
        lost = [int(name[1:]) for name in sorted(chosen)[:6]]
        for index in lost:
            self.mesh.nodes[index].upstream.deregister(f"u{index}", None)
        router = self.mesh.nodes[0]._router

        def usable():
            return sum(not upstream.draining
                       for upstream in router.by_instance.values())

        await self.mesh.wait_until(lambda: usable() >= _MAX_LINKS)
        for number in range(40):
            status, _, _ = await self.mesh.send_request(index=0,
                                                        request_id=b"q%d" %
                                                        number)
            self.assertEqual(status, 200)
        for index in lost:
            self.assertEqual(self.mesh.upstreams[index].request_heads, [])

    async def test_stale_row_with_another_address(self):
        """A row of an earlier process does not drop the link to a live one."""
        await self.mesh.start(services=("s", "t"))
        table = self.mesh.nodes[1]._peer_table
        peer = table.by_instance["n0"]
        row = peer.row
        table.update_row(
            frames.NodeRow(row.instance, row.incarnation - 1, "127.0.0.1:9",
                           row.failure_domain, row.service, False,
                           row.upstream))
        self.assertIs(table.by_instance["n0"], peer)
        self.assertEqual((await self.mesh.send_request(index=1))[0], 200)

    async def test_upstream_of_another_service(self):
        """A node whose settings change its service is chosen for the new one.

        Without the change, no check-in can bring another service about.
        """
        await self.mesh.start(services=("s", "t"))
        changed_node = self.mesh.nodes[0]
        check_in = mesh_builders.check_in(
            "u9",
            born=2000,
            service="t",
            address=changed_node._settings.upstream)
        with self.assertRaises(errors.CallError):
            await changed_node.check_ins.check_in(check_in)
        self.assertEqual((await self.mesh.send_request(index=1))[0], 200)
        changed_node.apply_settings(
            msgspec.structs.replace(changed_node._settings, service="t"))
        changed_node.upstream.deregister("u0", None)
        await changed_node.check_ins.check_in(check_in)
        router = self.mesh.nodes[1]._router
        await self.mesh.wait_until(lambda: router.by_instance[
            "n0"].service == "t" and not router.by_instance["n0"].draining)
        self.assertEqual((await self.mesh.send_request(index=1))[0], 503)
