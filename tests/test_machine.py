"""Tests of apricothinge.control.machine, history and view."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from apricothinge import lists
from apricothinge import settings
from apricothinge.control import history
from apricothinge.control import machine
from apricothinge.control import rpc_messages
from apricothinge.control import view
from apricothinge.overload import claims
from apricothinge.rates import shares
from tests import builders


def _apply(state, command):
    return state.apply(msgspec.msgpack.encode(command))


def _configure(state, document):
    return _apply(state, machine.Configure(lists.change_id(document), document))


def _restarted(state):
    """The same state, by way of its snapshot."""
    found = machine.ControlMachine(100.0)
    found.restore(state.snapshot())
    return found


def _organisations(version, *names):
    return builders.document(version, {n: ("p", [f"k-{n}"]) for n in names})


class ConfigureTest(unittest.TestCase):
    """Changes of the lists."""

    def setUp(self):
        self.state = machine.ControlMachine(100.0)
        self.first = _organisations(1, "a")
        self.assertTrue(_configure(self.state, self.first).accepted)

    def test_equal_versions(self):
        """Of two changes with equal versions the first wins."""
        two = _organisations(2, "a", "b")
        other = _organisations(2, "a", "c")
        self.assertTrue(_configure(self.state, two).accepted)
        outcome = _configure(self.state, other)
        self.assertFalse(outcome.accepted)
        self.assertEqual(2, outcome.organisations_version)
        self.assertEqual(two, self.state.document)

    def test_resend_gets_first_outcome(self):
        """A resend gets its outcome, also after others and a snapshot."""
        two = _organisations(2, "a", "b")
        first = _configure(self.state, two)
        _configure(self.state, _organisations(3, "a"))
        for state in (self.state, _restarted(self.state)):
            self.assertEqual(first, _configure(state, two))
            self.assertEqual(3, state.revision)
            self.assertEqual(3, state.document.organisations.version)

    def test_version_gap(self):
        """A change made from other lists than those in force is refused."""
        for version in (0, 1, 3, 9):
            outcome = _configure(self.state, _organisations(version, "z"))
            self.assertFalse(outcome.accepted)
        self.assertEqual(1, self.state.revision)

    def test_one_list_changed(self):
        """A list that is not changed keeps its version."""
        plans = lists.Plans(version=2, plans={"p": builders.plan(burst=7.0)})
        changed = lists.Document(organisations=self.first.organisations,
                                 plans=plans)
        self.assertTrue(_configure(self.state, changed).accepted)
        self.assertEqual(1, self.state.document.organisations.version)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(1, 6),
                              strategies.sampled_from("abc"))))
    def test_against_naive(self, changes):
        """Accepted changes are those that a naive compare-and-set takes."""
        state = machine.ControlMachine(100.0)
        version, accepted = 0, {}
        for number, name in changes:
            document = _organisations(number, name)
            plans = state.document.plans
            if version:
                document = lists.Document(organisations=document.organisations,
                                          plans=plans)
            known = lists.change_id(document) in accepted
            expected = known or number == version + 1
            outcome = _configure(state, document)
            if (not known and state.document == document and
                    not outcome.accepted):
                expected = False
            self.assertEqual(expected, outcome.accepted)
            if expected and not known:
                version = number
                accepted[lists.change_id(document)] = outcome
            self.assertEqual(len(accepted), state.revision)


class ClaimTest(unittest.TestCase):
    """Claims in the replicated state."""

    def _step(self, state, now, action, owner, **more):
        step = machine.ClaimStep(action, "o/s/k", owner, "h", 5.0, **more)
        return _apply(state, machine.ClaimCommand(now, [step]))[0]

    def test_survives_restart(self):
        """A claim holds over a snapshot, and its answer comes back."""
        state = machine.ControlMachine(100.0)
        found = self._step(state, 1.0, "take", "x")
        self.assertIs(claims.ClaimState.TAKEN, found.state)
        state = _restarted(state)
        found = self._step(state, 2.0, "take", "y")
        self.assertIs(claims.ClaimState.IN_PROGRESS, found.state)
        answer = claims.StoredAnswer(200, [(b"a", b"b")], b"whole")
        self._step(state, 2.5, "record", "x", answer=answer)
        found = self._step(_restarted(state), 3.0, "take", "y")
        self.assertEqual((claims.ClaimState.DONE, answer),
                         (found.state, found.answer))

    def test_owner_lost(self):
        """A run whose node was lost stays unknown, and is not repeated."""
        state = machine.ControlMachine(100.0)
        self._step(state, 1.0, "take", "x")
        found = self._step(state, 9.0, "take", "y")
        self.assertIs(claims.ClaimState.UNKNOWN, found.state)

    def test_clock_goes_back(self):
        """A new leader's slow clock does not bring time back."""
        state = machine.ControlMachine(1.0)
        self._step(state, 50.0, "take", "x")
        self._step(state,
                   50.0,
                   "record",
                   "x",
                   answer=claims.StoredAnswer(200, [], b""))
        found = self._step(state, 10.0, "take", "y")
        self.assertIs(claims.ClaimState.DONE, found.state)


class SharesTest(unittest.TestCase):
    """Shares in the replicated state."""

    def test_excess_is_refused_everywhere(self):
        """A move that would give away too much changes nothing."""
        state = machine.ControlMachine(1.0)
        one = shares.Share("o", "a", "p", "p", 0.1, 0.9, 0.9)
        two = shares.Share("o", "b", "q", "q", 0.1, 0.2, 0.2)
        self.assertTrue(_apply(state, machine.MoveShares([one])))
        self.assertFalse(_apply(state, machine.MoveShares([two])))
        self.assertEqual({"a": one}, _restarted(state).shares.by_name["o"])

    def test_only_moved_shares_are_sent(self):
        """A node that has a revision gets what moved after it."""
        state = machine.ControlMachine(1.0)
        for name in ("o", "q"):
            row = shares.Share(name, "a", "p", "p", 0.1, 0.9, 0.9)
            _apply(state, machine.MoveShares([row]))
        for found in (state, _restarted(state)):
            self.assertEqual(["q"], [r.name for r in found.shares.since(1)])
            self.assertEqual(2, len(found.shares.since(-1)))


class HistoryTest(unittest.TestCase):
    """Differences between revisions."""

    @hypothesis.given(
        strategies.lists(strategies.frozensets(strategies.sampled_from("abcd"),
                                               min_size=1),
                         min_size=2,
                         max_size=6), strategies.integers(0, 5))
    def test_patch_gives_the_lists(self, sets, start):
        """A difference applied to its start gives the later lists."""
        found = history.History()
        documents = [
            _organisations(place, *sorted(names))
            for place, names in enumerate(sets)
        ]
        for place, document in enumerate(documents):
            found.add(place, document)
        start %= len(documents)
        last = len(documents) - 1
        delta = found.delta(start, last)
        self.assertEqual(documents[last], history.patch(documents[start],
                                                        delta))

    def test_unknown_start(self):
        """From a revision that is not remembered there is no difference."""
        self.assertIsNone(history.History().delta(1, 2))


class ViewTest(unittest.TestCase):
    """The view of the fleet."""

    def _row(self, incarnation=1, sequence=1, draining=False):
        return rpc_messages.NodeRow("n", incarnation, sequence, "a", "r",
                                    settings.Address("127.0.0.1", 1), "s", True,
                                    draining, False)

    def test_newer_wins(self):
        """Rows that arrive out of order do not go back."""
        fleet = view.View()
        fleet.merge_row(0.0, self._row(2, 5, True), attached=False, age_s=0.0)
        fleet.merge_row(0.0, self._row(2, 4), attached=False, age_s=0.0)
        fleet.merge_row(0.0, self._row(1, 9), attached=False, age_s=0.0)
        self.assertTrue(fleet.by_instance["n"].row.draining)

    def test_expiry_and_return(self):
        """A node that is silent goes, and is told of as gone; it may return."""
        fleet = view.View()
        fleet.merge_row(0.0, self._row(), attached=True, age_s=0.0)
        before = fleet.version
        fleet.expire(10.0)
        self.assertEqual(["n"], fleet.changes_since(before).removed)
        fleet.merge_row(11.0, self._row(), attached=True, age_s=0.0)
        change = fleet.changes_since(before)
        self.assertEqual(([], 1), (change.removed, len(change.rows)))

    def test_crashes_are_told_once(self):
        """A crash that comes from two sides is told once."""
        fleet = view.View()
        suspect = rpc_messages.CrashSuspect("f", "c")
        fleet.add_crash_suspects([suspect])
        fleet.add_crash_suspects([suspect])
        self.assertEqual([suspect], fleet.changes_since(0).crash_suspects)


if __name__ == "__main__":
    unittest.main()
