"""Tests of apricothinge.control.machine, history and view."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

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
    """Returns a state machine restored from a snapshot of another."""
    restored = machine.ControlMachine(100.0)
    restored.restore(state_machine.snapshot())
    return restored


def _organisations(version, *names):
    return builders.document(version, {n: ("p", [f"k-{n}"]) for n in names})


class ConfigureTest(unittest.TestCase):
    """Tests of changes of the lists."""

    def setUp(self):
        self.state_machine = machine.ControlMachine(100.0)
        self.first = _organisations(1, "a")
        self.assertTrue(_configure(self.state_machine, self.first).accepted)

    def test_equal_versions(self):
        """Of two changes with equal versions only the first is accepted."""
        second = _organisations(2, "a", "b")
        other = _organisations(2, "a", "c")
        self.assertTrue(_configure(self.state_machine, second).accepted)
        outcome = _configure(self.state_machine, other)
        self.assertFalse(outcome.accepted)
        self.assertEqual(2, outcome.organisations_version)
        self.assertEqual(second, self.state_machine.document)

    def test_resend_gets_first_outcome(self):
        """A repeated change gets its first outcome, also from a snapshot."""
        second = _organisations(2, "a", "b")
        first = _configure(self.state_machine, second)
        _configure(self.state_machine, _organisations(3, "a"))
        for state_machine in (self.state_machine,
                              _restored(self.state_machine)):
            self.assertEqual(first, _configure(state_machine, second))
            self.assertEqual(3, state_machine.revision)
            self.assertEqual(3, state_machine.document.organisations.version)

    def test_version_gap(self):
        """A change whose version is not the next one is rejected."""
        for version in (0, 1, 3, 9):
            outcome = _configure(self.state_machine,
                                 _organisations(version, "z"))
            self.assertFalse(outcome.accepted)
        self.assertEqual(1, self.state_machine.revision)

    def test_one_list_changed(self):
        """A change of one list leaves the version of the other as it is."""
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
        """Changes are accepted exactly if a compare-and-set model does."""
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
    """Tests of claims in the replicated state."""

    def _apply_step(self, state_machine, now, action, owner, **more):
        step = machine.ClaimStep(action, "o/s/k", owner, "h", 5.0, **more)
        return _apply(state_machine, machine.ClaimCommand(now, [step]))[0]

    def test_survives_snapshot(self):
        """A claim and its stored response survive a snapshot."""
        state_machine = machine.ControlMachine(100.0)
        claim = self._apply_step(state_machine, 1.0, "take", "x")
        self.assertIs(claims.ClaimState.TAKEN, claim.state)
        state_machine = _restored(state_machine)
        claim = self._apply_step(state_machine, 2.0, "take", "y")
        self.assertIs(claims.ClaimState.IN_PROGRESS, claim.state)
        response = claims.StoredResponse(200, [(b"a", b"b")], b"whole")
        self._apply_step(state_machine, 2.5, "record", "x", response=response)
        claim = self._apply_step(_restored(state_machine), 3.0, "take", "y")
        self.assertEqual((claims.ClaimState.DONE, response),
                         (claim.state, claim.response))

    def test_owner_lost(self):
        """A claim is unknown, not rerun, once its owner missed the deadline."""
        state_machine = machine.ControlMachine(100.0)
        self._apply_step(state_machine, 1.0, "take", "x")
        claim = self._apply_step(state_machine, 9.0, "take", "y")
        self.assertIs(claims.ClaimState.UNKNOWN, claim.state)

    def test_clock_never_goes_back(self):
        """A new leader whose clock is behind does not turn time back."""
        state_machine = machine.ControlMachine(1.0)
        self._apply_step(state_machine, 50.0, "take", "x")
        self._apply_step(state_machine,
                         50.0,
                         "record",
                         "x",
                         response=claims.StoredResponse(200, [], b""))
        claim = self._apply_step(state_machine, 10.0, "take", "y")
        self.assertIs(claims.ClaimState.DONE, claim.state)


class SharesTest(unittest.TestCase):
    """Tests of shares in the replicated state."""

    def test_excess_is_rejected(self):
        """Shares that add up to more than the whole are rejected."""
        state_machine = machine.ControlMachine(1.0)
        first = shares.Share("o", "a", "p", "p", 0.1, 0.9, 0.9)
        second = shares.Share("o", "b", "q", "q", 0.1, 0.2, 0.2)
        self.assertTrue(_apply(state_machine, machine.MoveShares([first])))
        self.assertFalse(_apply(state_machine, machine.MoveShares([second])))
        self.assertEqual({"a": first},
                         _restored(state_machine).shares.by_name["o"])

    def test_only_changed_shares_are_sent(self):
        """A node gets only shares that changed after its revision."""
        state_machine = machine.ControlMachine(1.0)
        for name in ("o", "q"):
            row = shares.Share(name, "a", "p", "p", 0.1, 0.9, 0.9)
            _apply(state_machine, machine.MoveShares([row]))
        for replica in (state_machine, _restored(state_machine)):
            self.assertEqual(["q"],
                             [r.name for r in replica.shares.changed_since(1)])
            self.assertEqual(2, len(replica.shares.changed_since(-1)))


class HistoryTest(unittest.TestCase):
    """Tests of differences between revisions."""

    @hypothesis.given(
        strategies.lists(strategies.frozensets(strategies.sampled_from("abcd"),
                                               min_size=1),
                         min_size=2,
                         max_size=6), strategies.integers(0, 5))
    def test_patch_gives_the_lists(self, name_sets, start):
        """A difference applied to the earlier lists gives the later lists."""
        revisions = history.RevisionHistory()
        documents = [
            _organisations(revision, *sorted(names))
            for revision, names in enumerate(name_sets)
        ]
        for revision, document in enumerate(documents):
            revisions.add(revision, document)
        start %= len(documents)
        last = len(documents) - 1
        delta = revisions.delta(start, last)
        self.assertEqual(documents[last],
                         history.apply_delta(documents[start], delta))

    def test_unknown_start(self):
        """There is no difference from a revision that is not stored."""
        self.assertIsNone(history.RevisionHistory().delta(1, 2))


class ViewTest(unittest.TestCase):
    """Tests of the view of the fleet."""

    def _row(self, incarnation=1, sequence=1, draining=False):
        return rpc_messages.NodeRow("n", incarnation, sequence, "a", "r",
                                    settings.Address("127.0.0.1", 1), "s", True,
                                    draining, False)

    def test_newer_wins(self):
        """Rows that arrive late do not replace newer rows."""
        fleet = view.View()
        fleet.merge_row(0.0, self._row(2, 5, True), attached=False, age_s=0.0)
        fleet.merge_row(0.0, self._row(2, 4), attached=False, age_s=0.0)
        fleet.merge_row(0.0, self._row(1, 9), attached=False, age_s=0.0)
        self.assertTrue(fleet.by_instance["n"].row.draining)

    def test_expiry_and_return(self):
        """A node that times out is removed, and added again on a new report."""
        fleet = view.View()
        fleet.merge_row(0.0, self._row(), attached=True, age_s=0.0)
        before = fleet.version
        fleet.expire(10.0)
        self.assertEqual(["n"], fleet.changes_since(before).removed)
        fleet.merge_row(11.0, self._row(), attached=True, age_s=0.0)
        change = fleet.changes_since(before)
        self.assertEqual(([], 1), (change.removed, len(change.rows)))

    def test_crash_suspects_are_reported_once(self):
        """A crash suspect that is received twice is reported once."""
        fleet = view.View()
        suspect = rpc_messages.CrashSuspect("f", "c")
        fleet.add_crash_suspects([suspect])
        fleet.add_crash_suspects([suspect])
        self.assertEqual([suspect], fleet.changes_since(0).crash_suspects)


if __name__ == "__main__":
    unittest.main()
