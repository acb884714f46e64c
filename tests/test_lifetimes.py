"""Tests of the lifetimes of an upstream and the order of what they say."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from apricothinge.mesh import lifetimes
from tests import mesh_builders
from tests import test_mesh_nodes

_READY, _DRAINING, _LEFT = range(3)


class _Words:
    """Sends words of lifetimes to a table, one second apart."""

    def __init__(self):
        self.table = lifetimes.Lifetimes()
        self.now = 0.0

    def check_in(self, born, sequence, *, upstream_id="u", draining=False):
        self.now += 1.0
        return self.table.apply(
            self.now,
            mesh_builders.check_in(upstream_id,
                                   born,
                                   sequence,
                                   draining=draining))

    @property
    def usable(self):
        """The lifetime that may get requests, or None."""
        current = self.table.current
        if current is None or current.draining:
            return None
        return current.lifetime


class LifetimesTest(unittest.TestCase):
    """Decisions on single words."""

    def setUp(self):
        self.words = _Words()

    def test_draining_of_next_lifetime_under_the_id(self):
        """Guards against an ignored `draining` after a start under the id."""
        self.words.check_in(1, 1)
        self.words.table.depart(("u", 1))
        self.assertEqual(lifetimes.Verdict.STARTED, self.words.check_in(2, 1))
        self.assertEqual(("u", 2), self.words.usable)
        self.assertEqual(lifetimes.Verdict.CURRENT,
                         self.words.check_in(2, 2, draining=True))
        self.assertIsNone(self.words.usable)

    def test_check_ins_of_next_lifetime_after_late_deregistration(self):
        """Guards against a deregistration that silences the next lifetime."""
        self.words.check_in(1, 1)
        self.words.check_in(2, 1)
        self.assertFalse(self.words.table.depart(("u", 1)))
        self.assertEqual(lifetimes.Verdict.CURRENT, self.words.check_in(2, 2))
        self.assertEqual(("u", 2), self.words.usable)

    def test_deregistration_before_first_check_in(self):
        """Guards against use of a lifetime whose first word is its last."""
        self.words.check_in(1, 1)
        self.assertTrue(self.words.table.depart(("u", 2)))
        self.words.check_in(2, 1)
        self.words.check_in(1, 2)
        self.assertIsNone(self.words.usable)

    def test_earlier_lifetime_under_the_id_of_a_departed_one(self):
        """Guards against use by a late check-in from before a restart."""
        self.words.table.depart(("u", 5))
        for sequence in range(1, 6):
            self.words.check_in(4, sequence)
            self.assertIsNone(self.words.usable)
        self.words.check_in(6, 1)
        self.assertEqual(("u", 6), self.words.usable)

    def test_deregistration_of_unheard_upstream(self):
        """Guards against use of an upstream that left a restarted node."""
        self.words.table.depart_unheard("u", 10)
        self.words.check_in(10, 1)
        self.assertIsNone(self.words.usable)
        self.words.check_in(11, 1)
        self.assertEqual(("u", 11), self.words.usable)

    def test_ready_after_draining(self):
        """Guards against a return by a late check-in, whatever its sequence."""
        self.words.check_in(1, 5, draining=True)
        for sequence in (4, 5, 6):
            self.words.check_in(1, sequence)
            self.assertIsNone(self.words.usable)

    def test_late_draining(self):
        """Guards against the ack of a `draining` that is not in force."""
        self.words.check_in(1, 7)
        self.assertEqual(lifetimes.Verdict.UNCERTAIN,
                         self.words.check_in(1, 6, draining=True))
        self.assertEqual(("u", 1), self.words.usable)
        self.words.check_in(1, 8, draining=True)
        self.assertEqual(lifetimes.Verdict.OVERTAKEN,
                         self.words.check_in(1, 6, draining=True))
        self.assertIsNone(self.words.usable)

    def test_late_check_in_of_lifetime_before(self):
        """Guards against return to a lifetime that has been replaced."""
        self.words.check_in(2, 1)
        self.assertEqual(lifetimes.Verdict.UNCERTAIN, self.words.check_in(1, 9))
        self.words.check_in(2, 2)
        self.words.check_in(1, 10)
        self.words.check_in(2, 3)
        self.words.check_in(1, 11)
        self.assertEqual(("u", 2), self.words.usable)

    def test_clock_set_back_between_lifetimes(self):
        """Guards against an upstream that is ignored as its clock went back."""
        self.words.check_in(9, 1, upstream_id="before")
        verdicts = [self.words.check_in(5, sequence) for sequence in (1, 2, 3)]
        self.assertEqual([
            lifetimes.Verdict.UNCERTAIN, lifetimes.Verdict.UNCERTAIN,
            lifetimes.Verdict.STARTED
        ], verdicts)
        self.assertEqual(("u", 5), self.words.usable)


class AnyOrderTest(unittest.TestCase):
    """Words of successive lifetimes that arrive in any order."""

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(data=strategies.data())
    def test_departed_lifetime_in_use(self, data):
        """Guards against use of a lifetime that said it leaves, in any order.

        Lifetimes share an identifier or have their own; words are repeated,
        overtaken or lost.
        """
        ids = data.draw(
            strategies.lists(strategies.sampled_from("uv"),
                             min_size=2,
                             max_size=4))
        said = [(upstream_id, born, sequence, word)
                for born, upstream_id in enumerate(ids, 1)
                for sequence, word in enumerate((_READY, _READY, _DRAINING,
                                                 _LEFT), 1)]
        order = data.draw(
            strategies.lists(strategies.sampled_from(said), max_size=24))
        words = _Words()
        departed = set()
        for upstream_id, born, sequence, word in order:
            if word == _LEFT:
                words.table.depart((upstream_id, born))
                departed.add((upstream_id, born))
            elif (words.check_in(born,
                                 sequence,
                                 upstream_id=upstream_id,
                                 draining=word == _DRAINING)
                  is not lifetimes.Verdict.UNCERTAIN and word == _DRAINING):
                departed.add((upstream_id, born))
            for departed_id, last_born in departed:
                if words.usable is not None and words.usable[0] == departed_id:
                    self.assertGreater(words.usable[1], last_born)

    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(
        order=strategies.permutations(list(itertools.product((1, 2), (1, 2,
                                                                      3)))))
    def test_last_lifetime_unused(self, order):
        """Guards against a last lifetime that is ignored and yet acknowledged.
        """
        words = _Words()
        verdicts = {}
        for born, sequence in order:
            verdicts[born, sequence] = words.check_in(born, sequence)
            words.table.depart(("u", 1))
        self.assertEqual(("u", 2), words.usable)
        self.assertNotIn(
            lifetimes.Verdict.UNCERTAIN,
            [verdict for (born, _), verdict in verdicts.items() if born == 2])


class RestartUnderIdTest(test_mesh_nodes.MeshTest):
    """An upstream that starts again under its identifier, in a mesh."""

    async def _serves(self):
        """Tells whether the only upstream gets a request that is sent."""
        received = len(self.mesh.upstreams[0].request_heads)
        status, _, _ = await self.mesh.send_request()
        arrived = len(self.mesh.upstreams[0].request_heads) - received
        self.assertEqual(200 if arrived else 503, status)
        return bool(arrived)

    async def _restart(self, born):
        """Ends the lifetime that started last and begins the next one."""
        upstream = self.mesh.nodes[0].upstream
        upstream.check_in(
            mesh_builders.check_in("u0", born - 1, sequence=7, draining=True))
        upstream.deregister("u0", None)
        self.assertFalse(await self._serves())
        upstream.check_in(mesh_builders.check_in("u0", born))
        self.assertTrue(await self._serves())

    async def test_requests_after_second_draining(self):
        """Guards against requests after the ack of a second `draining`."""
        await self.mesh.start(("s",))
        for born in (1001, 1002):
            await self._restart(born)
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", 1002, sequence=2, draining=True))
        self.assertFalse(await self._serves())

    async def test_requests_after_second_deregistration(self):
        """Guards against requests after a late check-in of a second lifetime."""
        await self.mesh.start(("s",))
        await self._restart(1001)
        self.mesh.nodes[0].upstream.deregister("u0", None)
        self.assertFalse(await self._serves())
        self.mesh.nodes[0].upstream.check_in(
            mesh_builders.check_in("u0", 1001, sequence=9))
        self.assertFalse(await self._serves())

    async def test_next_lifetime_after_late_deregistration(self):
        """Guards against a deregistration that silences the next lifetime."""
        await self.mesh.start(("s",))
        await self._restart(1001)
        upstream = self.mesh.nodes[0].upstream
        upstream.deregister("u0", 1000)
        upstream.check_in(
            mesh_builders.check_in("u0", 1001, sequence=2, draining=True))
        self.assertFalse(await self._serves())
