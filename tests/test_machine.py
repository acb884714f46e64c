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


def _apply(state_machine, command):
    return state_machine.apply(msgspec.msgpack.encode(command))


def _configure(state_machine, document):
    return _apply(state_machine,
                  machine.Configure(lists.change_id(document), document))


def _restored(state_machine):
    """The same state, by way of its snapshot."""
    restored = machine.ControlMachine(100.0)
    restored.restore(state_machine.snapshot())
    return restored


def _organisations(version, *names):
    return builders.document(version, {n: ("p", [f"k-{n}"]) for n in names})


class ConfigureTest(unittest.TestCase):
    """Changes of the lists."""

    def setUp(self):
        self.state_machine = machine.ControlMachine(100.0)
        self.first = _organisations(1, "a")
        self.assertTrue(_configure(self.state_machine, self.first).accepted)

    def test_equal_versions(self):
        """Of two changes with equal versions the first wins."""
        second = _organisations(2, "a", "b")
        other = _organisations(2, "a", "c")
        self.assertTrue(_configure(self.state_machine, second).accepted)
        outcome = _configure(self.state_machine, other)
        self.assertFalse(outcome.accepted)
        self.assertEqual(2, outcome.organisations_version)
        self.assertEqual(second, self.state_machine.document)

    def test_resend_gets_first_outcome(self):
        """A resend gets its outcome, also after others and a snapshot."""
        second = _organisations(2, "a", "b")
        first = _configure(self.state_machine, second)
        _configure(self.state_machine, _organisations(3, "a"))
        for state_machine in (self.state_machine,
                              _restored(self.state_machine)):
            self.assertEqual(first, _configure(state_machine, second))
            self.assertEqual(3, state_machine.revision)
            self.assertEqual(3, state_machine.document.organisations.version)

    def test_version_gap(self):
        """A change made from other lists than those in force is refused."""
        for version in (0, 1, 3, 9):
            outcome = _configure(self.state_machine,
                                 _organisations(version, "z"))
            self.assertFalse(outcome.accepted)
        self.assertEqual(1, self.state_machine.revision)

    def test_one_list_changed(self):
        """A list that is not changed keeps its version."""
        plans = lists.Plans(version=2, plans={"p": builders.plan(burst=7.0)})
        changed = lists.Document(organisations=self.first.organisations,
                                 plans=plans)
        self.assertTrue(_configure(self.state_machine, changed).accepted)
        self.assertEqual(1, self.state_machine.document.organisations.version)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(1, 6),
                              strategies.sampled_from("abc"))))
    def test_against_compare_and_set_model(self, changes):
        """Accepted changes are those that a naive compare-and-set takes."""
        state_machine = machine.ControlMachine(100.0)
        version, accepted = 0, {}
        for number, name in changes:
            document = _organisations(number, name)
            plans = state_machine.document.plans
            if version:
                document = lists.Document(organisations=document.organisations,
                                          plans=plans)
            repeated = lists.change_id(document) in accepted
            expected = repeated or number == version + 1
            outcome = _configure(state_machine, document)
            if (not repeated and state_machine.document == document and
                    not outcome.accepted):
                expected = False
            self.assertEqual(expected, outcome.accepted)
            if expected and not repeated:
                version = number
                accepted[lists.change_id(document)] = outcome
            self.assertEqual(len(accepted), state_machine.revision)


class ClaimTest(unittest.TestCase):
    """Claims in the replicated state."""

    def _apply_step(self, state_machine, now, action, owner, **more):
        step = machine.ClaimStep(action, "o/s/k", owner, "h", 5.0, **more)
        return _apply(state_machine, machine.ClaimCommand(now, [step]))[0]

    def test_survives_snapshot(self):
        """A claim holds over a snapshot, and its answer comes back."""
        state_machine = machine.ControlMachine(100.0)
        claim = self._apply_step(state_machine, 1.0, "take", "x")
        self.assertIs(claims.ClaimState.TAKEN, claim.state)
        state_machine = _restored(state_machine)
        claim = self._apply_step(state_machine, 2.0, "take", "y")
        self.assertIs(claims.ClaimState.IN_PROGRESS, claim.state)
        answer = claims.StoredAnswer(200, [(b"a", b"b")], b"whole")
        self._apply_step(state_machine, 2.5, "record", "x", answer=answer)
        claim = self._apply_step(_restored(state_machine), 3.0, "take", "y")
        self.assertEqual((claims.ClaimState.DONE, answer),
                         (claim.state, claim.answer))

    def test_owner_lost(self):
        """A run whose node was lost stays unknown, and is not repeated."""
        state_machine = machine.ControlMachine(100.0)
        self._apply_step(state_machine, 1.0, "take", "x")
        claim = self._apply_step(state_machine, 9.0, "take", "y")
        self.assertIs(claims.ClaimState.UNKNOWN, claim.state)

    def test_clock_never_goes_back(self):
        """A new leader's slow clock does not bring time back."""
        state_machine = machine.ControlMachine(1.0)
        self._apply_step(state_machine, 50.0, "take", "x")
        self._apply_step(state_machine,
                         50.0,
                         "record",
                         "x",
                         answer=claims.StoredAnswer(200, [], b""))
        claim = self._apply_step(state_machine, 10.0, "take", "y")
        self.assertIs(claims.ClaimState.DONE, claim.state)


class SharesTest(unittest.TestCase):
    """Shares in the replicated state."""

    def test_excess_is_rejected(self):
        """A move that would give away too much changes nothing."""
        state_machine = machine.ControlMachine(1.0)
        first = shares.Share("o", "a", "p", "p", 0.1, 0.9, 0.9)
        second = shares.Share("o", "b", "q", "q", 0.1, 0.2, 0.2)
        self.assertTrue(_apply(state_machine, machine.MoveShares([first])))
        self.assertFalse(_apply(state_machine, machine.MoveShares([second])))
        self.assertEqual({"a": first},
                         _restored(state_machine).shares.by_name["o"])

    def test_only_changed_shares_are_sent(self):
        """A node that has a revision gets what moved after it."""
        state_machine = machine.ControlMachine(1.0)
        for name in ("o", "q"):
            row = shares.Share(name, "a", "p", "p", 0.1, 0.9, 0.9)
            _apply(state_machine, machine.MoveShares([row]))
        for replica in (state_machine, _restored(state_machine)):
            self.assertEqual(["q"], [r.name for r in replica.shares.since(1)])
            self.assertEqual(2, len(replica.shares.since(-1)))


class HistoryTest(unittest.TestCase):
    """Differences between revisions."""

    @hypothesis.given(
        strategies.lists(strategies.frozensets(strategies.sampled_from("abcd"),
                                               min_size=1),
                         min_size=2,
                         max_size=6), strategies.integers(0, 5))
    def test_patch_gives_the_lists(self, name_sets, start):
        """A difference applied to its start gives the later lists."""
        revisions = history.History()
        documents = [
            _organisations(revision, *sorted(names))
            for revision, names in enumerate(name_sets)
        ]
        for revision, document in enumerate(documents):
            revisions.add(revision, document)
        start %= len(documents)
        last = len(documents) - 1
        delta = revisions.delta(start, last)
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

    def test_crash_suspects_are_reported_once(self):
        """A crash that comes from two sides is told once."""
        fleet = view.View()
        suspect = rpc_messages.CrashSuspect("f", "c")
        fleet.add_crash_suspects([suspect])
        fleet.add_crash_suspects([suspect])
        self.assertEqual([suspect], fleet.changes_since(0).crash_suspects)


if __name__ == "__main__":
    unittest.main()
