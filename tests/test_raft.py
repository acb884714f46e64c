"""Tests of apricothinge.control.raft."""

import math
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from apricothinge import errors
from apricothinge.control import raft
from apricothinge.control import raft_messages
from tests import fakes

_NAMES = ("c0", "c1", "c2")


class ClusterStateMachine(stateful.RuleBasedStateMachine):
    """Committed entries survive any network faults, crashes and changes."""

    def __init__(self):
        super().__init__()
        self.cluster = fakes.Cluster(_NAMES, seed=7)
        self.count = 0
        self.spare_names = iter(f"c{i}" for i in range(3, 9))

    @stateful.rule(ticks=strategies.integers(1, 20))
    def advance_time(self, ticks):
        """Advances the clock without delivering messages."""
        for _ in range(ticks):
            self.cluster.tick()

    @stateful.rule(seconds=strategies.sampled_from((0.3, 2.0)))
    def run_network(self, seconds):
        """Advances the clock while messages are delivered."""
        self.cluster.run(seconds)

    @stateful.rule(index=strategies.integers(0, 50),
                   duplicate=strategies.booleans())
    def deliver(self, index, duplicate):
        """Delivers a message, out of order or twice."""
        self.cluster.deliver(index, duplicate)

    @stateful.rule(index=strategies.integers(0, 50))
    def drop(self, index):
        """Drops a message."""
        if self.cluster.in_flight:
            self.cluster.in_flight.pop(index % len(self.cluster.in_flight))

    @stateful.rule()
    def propose(self):
        """Proposes a command to the leader."""
        self.count += 1
        self.cluster.propose(b"command %d" % self.count)

    @stateful.rule(pick=strategies.integers(0, 20),
                   writes=strategies.integers(0, 3),
                   lose=strategies.booleans())
    def crash_in_write(self, pick, writes, lose):
        """Makes a member crash before or after one of its next writes."""
        names = sorted(self.cluster.rafts)
        if names:
            store = self.cluster.storages[names[pick % len(names)]]
            store.writes_until_crash = writes
            store.lose_write = lose

    @stateful.rule(pick=strategies.integers(0, 20))
    def crash(self, pick):
        """Crashes a member."""
        names = sorted(self.cluster.rafts)
        if names:
            self.cluster.crash(names[pick % len(names)])

    @stateful.rule()
    def restart_all(self):
        """Restarts every stopped member from its storage."""
        for name in sorted(
                set(self.cluster.storages) - set(self.cluster.rafts)):
            self.cluster.start(name, None if name in _NAMES else {})

    @stateful.rule(pick=strategies.integers(0, 20), both=strategies.booleans())
    def block_link(self, pick, both):
        """Blocks messages between two members, in one direction or both."""
        names = sorted(self.cluster.storages)
        one, two = names[pick % len(names)], names[(pick // 3) % len(names)]
        self.cluster.blocked_links.add((one, two))
        if both:
            self.cluster.blocked_links.add((two, one))

    @stateful.rule()
    def unblock_links(self):
        """Unblocks all links."""
        self.cluster.blocked_links.clear()

    @stateful.rule(pick=strategies.integers(0, 20))
    def compact(self, pick):
        """Compacts the log of a member."""
        names = sorted(self.cluster.rafts)
        if names:
            self.cluster.run_step(names[pick % len(names)],
                                  lambda core: core.compact())

    @stateful.rule(pick=strategies.integers(0, 20), add=strategies.booleans())
    def change_members(self, pick, add):
        """Proposes to add a learner or to remove a member."""
        core = self.cluster.leader()
        if core is None:
            return
        members = dict(core.members)
        if add:
            name = next(self.spare_names, None)
            if name is None:
                return
            members[name] = fakes.member(voter=False)
            self.cluster.start(name, {})
        else:
            names = sorted(members)
            if len(names) <= 3:
                return
            del members[names[pick % len(names)]]

        def step(leader):
            try:
                leader.propose_members(members)
            except errors.ApricothingeError:
                pass

        self.cluster.run_step(core.instance, step)

    def teardown(self):
        """Checks that the group recovers once all faults have ended."""
        self.cluster.blocked_links.clear()
        for store in self.cluster.storages.values():
            store.writes_until_crash = None
        self.restart_all()
        self.cluster.run(8.0)
        assert self.cluster.propose(b"last"), "no leader after all faults ended"
        self.cluster.run(2.0)
        core = self.cluster.leader()
        voters = [n for n, row in core.members.items() if row.voter]
        for name in voters:
            applied = self.cluster.machines[name].applied
            assert applied[-1] == b"last", f"{name} did not catch up"


ClusterTest = ClusterStateMachine.TestCase
ClusterTest.settings = hypothesis.settings(max_examples=60,
                                           stateful_step_count=60,
                                           deadline=None)


class RandomFaultTest(unittest.TestCase):
    """Safety and recovery over long runs of random faults."""

    def test_random_faults(self):
        """No committed entry is lost or changed over hundreds of faults."""
        for seed in range(300):
            with self.subTest(seed=seed):
                names = _NAMES if seed % 2 else _NAMES + ("c3", "c4")
                cluster = fakes.Cluster(names, seed=seed)
                cluster.inject_faults(random.Random(seed), 250)
                committed = len(cluster.committed)
                cluster.blocked_links.clear()
                for name in names:
                    cluster.storages[name].writes_until_crash = None
                    if name not in cluster.rafts:
                        cluster.start(name)
                cluster.run(6.0)
                self.assertTrue(cluster.propose(b"last"))
                cluster.run(2.0)
                for name in names:
                    applied = cluster.machines[name].applied
                    self.assertEqual(b"last", applied[-1])
                    self.assertGreater(len(applied), committed)


class SafetyRuleTest(unittest.TestCase):
    """Each of the rules that the safety of Raft depends on."""

    def setUp(self):
        self.cluster = fakes.Cluster(_NAMES)

    def _restarted_core(self, entries=(), term=0):
        """Restarts a member with the given entry terms and current term."""
        store = self.cluster.storages["c0"]
        store.entries = [
            raft_messages.Entry(index + 1, entry_term,
                                raft_messages.EntryKind.COMMAND, b"x")
            for index, entry_term in enumerate(entries)
        ]
        store.vote = raft_messages.Vote(term, "")
        self.cluster.start("c0")
        return self.cluster.rafts["c0"]

    def _last_reply(self, core):
        return core.outbox[-1][1]

    def test_vote_survives_restart(self):
        """A member votes for no second candidate of a term after a restart."""
        core = self._restarted_core()
        core.receive(0.0, "c1", raft_messages.VoteRequest(5, False, 0, 0))
        self.assertTrue(self._last_reply(core).granted)
        self.cluster.start("c0")
        core = self.cluster.rafts["c0"]
        core.receive(0.0, "c2", raft_messages.VoteRequest(5, False, 0, 0))
        self.assertFalse(self._last_reply(core).granted)
        core.receive(0.0, "c1", raft_messages.VoteRequest(5, False, 0, 0))
        self.assertTrue(self._last_reply(core).granted)

    def test_stale_log_gets_no_vote(self):
        """A candidate with a stale log gets neither a vote nor a pre-vote."""
        for pre_vote in (True, False):
            for last_index, last_term in ((1, 2), (5, 1)):
                with self.subTest(pre_vote=pre_vote, last_term=last_term):
                    core = self._restarted_core(entries=(1, 2), term=2)
                    core.receive(
                        0.0, "c1",
                        raft_messages.VoteRequest(3, pre_vote, last_index,
                                                  last_term))
                    self.assertFalse(self._last_reply(core).granted)

    def test_commit_is_limited_to_matching_entries(self):
        """A heartbeat commits no entry beyond the checked `prev_index`.

        Later entries at the follower may conflict with the leader's log.
        """
        core = self._restarted_core(entries=(1, 1, 1), term=1)
        core.receive(
            0.0, "c1",
            raft_messages.AppendRequest(2, 1, 1, [], 3, 0.0, -1.0, -1.0))
        self.assertEqual(1, core.commit_index)

    def test_older_term_is_not_committed_by_counting(self):
        """Entries of older terms commit only with one of the current term.

        An older entry on a majority can still be overwritten by a later
        leader, so counting its replicas is not enough.
        """
        core = self._restarted_core(entries=(1, 1), term=3)
        core._campaign(0.0, pre_vote=False)  # pylint: disable=protected-access
        core.receive(0.0, "c1", raft_messages.VoteReply(4, False, True))
        self.assertIs(raft.Role.LEADER, core.role)
        core.receive(0.0, "c1", raft_messages.AppendReply(4, True, 2, 0.0, 0.0))
        self.assertEqual(0, core.commit_index)
        core.receive(0.0, "c1", raft_messages.AppendReply(4, True, 3, 0.0, 0.0))
        self.assertEqual(3, core.commit_index)

    def test_conflicting_suffix_is_truncated(self):
        """A suffix that conflicts with the leader is truncated on disk too."""
        core = self._restarted_core(entries=(1, 1, 1), term=1)
        entry = raft_messages.Entry(2, 2, raft_messages.EntryKind.COMMAND, b"y")
        core.receive(
            0.0, "c1",
            raft_messages.AppendRequest(2, 1, 1, [entry], 0, 0.0, -1.0, -1.0))
        self.assertEqual(2, core.last_index)
        self.assertEqual([1, 2],
                         [e.term for e in self.cluster.storages["c0"].entries])


class ElectionTest(unittest.TestCase):
    """Elections, step-down and the confirmation by a quorum."""

    def test_isolated_member_does_not_disturb(self):
        """A member back from a partition does not start a new term."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        leader = cluster.leader()
        other = next(n for n in _NAMES if n != leader.instance)
        for name in _NAMES:
            cluster.blocked_links |= {(other, name), (name, other)}
        cluster.run(10.0)
        cluster.blocked_links.clear()
        term = leader.term
        cluster.run(3.0)
        self.assertEqual(term, cluster.leader().term)

    def test_isolated_leader_steps_down(self):
        """A leader without a quorum steps down and confirms no state."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        leader = cluster.leader()
        confirmed = leader.quorum_confirmed_at(cluster.now)
        self.assertGreater(confirmed, cluster.now - 0.5)
        cut_at = cluster.now
        for name in _NAMES:
            cluster.blocked_links |= {(leader.instance, name),
                                      (name, leader.instance)}
        cluster.run(3.0)
        self.assertIsNot(raft.Role.LEADER, leader.role)
        self.assertLessEqual(leader.quorum_confirmed_at(cluster.now), cut_at)

    def test_one_way_partition(self):
        """A leader that can receive but not send is replaced."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        leader = cluster.leader()
        for name in _NAMES:
            cluster.blocked_links.add((leader.instance, name))
        cluster.run(5.0)
        self.assertNotEqual(leader.instance, cluster.leader().instance)

    def test_isolated_follower_knows_its_staleness(self):
        """A partitioned follower does not report its state as newer."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        name = next(n for n in _NAMES if n != cluster.leader().instance)
        core = cluster.rafts[name]
        self.assertGreater(core.quorum_confirmed_at(cluster.now),
                           cluster.now - 0.5)
        cut_at = cluster.now
        cluster.blocked_links |= {(other, name) for other in _NAMES}
        cluster.run(5.0)
        self.assertLessEqual(core.quorum_confirmed_at(cluster.now), cut_at)

    def test_delayed_heartbeat_confirms_its_send_time(self):
        """A delayed heartbeat confirms the state no later than it was sent."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        name = next(n for n in _NAMES if n != cluster.leader().instance)
        before = cluster.rafts[name].quorum_confirmed_at(cluster.now)
        held = [w for w in cluster.in_flight if w[1] == name]
        cluster.in_flight = [w for w in cluster.in_flight if w[1] != name]
        sent_at = cluster.now
        for _ in range(20):
            cluster.now += 0.1
        cluster.in_flight = held
        while cluster.in_flight:
            cluster.deliver()
        after = cluster.rafts[name].quorum_confirmed_at(cluster.now)
        self.assertGreaterEqual(after, before)
        self.assertLessEqual(after, sent_at)

    def test_no_quorum_confirmation_at_start(self):
        """A member that has just started reports no confirmation."""
        cluster = fakes.Cluster(_NAMES)
        core = cluster.rafts["c0"]
        self.assertEqual(-math.inf, core.quorum_confirmed_at(cluster.now))


class MembershipTest(unittest.TestCase):
    """Membership changes, snapshots and restarts of the group."""

    def test_second_failure_after_replacement(self):
        """The group survives a second failure once the first is replaced."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        cluster.propose(b"one")
        cluster.run(1.0)
        lost = next(n for n in _NAMES if n != cluster.leader().instance)
        cluster.crash(lost)
        core = cluster.leader()
        members = dict(core.members) | {"c3": fakes.member(voter=False)}
        cluster.start("c3", {})
        cluster.run_step(core.instance, lambda c: c.propose_members(members))
        cluster.run(3.0)
        core = cluster.leader()
        self.assertTrue(core.members["c3"].voter)
        members = {n: r for n, r in core.members.items() if n != lost}
        cluster.run_step(core.instance, lambda c: c.propose_members(members))
        cluster.run(1.0)
        cluster.crash(cluster.leader().instance)
        cluster.run(5.0)
        self.assertTrue(cluster.propose(b"two"))
        cluster.run(1.0)
        core = cluster.leader()
        self.assertEqual([b"one", b"two"],
                         cluster.machines[core.instance].applied)

    def test_one_voter_at_a_time(self):
        """A change that removes two voters at once is refused."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        core = cluster.leader()
        with self.assertRaises(errors.ApricothingeError) as caught:
            core.propose_members({core.instance: fakes.member()})
        self.assertIs(errors.Kind.MEMBERSHIP_REFUSED, caught.exception.kind)

    def test_change_waits_for_own_term(self):
        """A leader commits an entry of its term before membership changes."""
        cluster = fakes.Cluster(("c0",))
        cluster.run(3.0)
        core = cluster.leader()
        core._current_term_committed = False  # pylint: disable=protected-access
        with self.assertRaises(errors.ApricothingeError):
            core.propose_members({
                "c0": fakes.member(),
                "c1": fakes.member(voter=False)
            })

    def test_restart_of_all_members_after_many_commands(self):
        """No command is lost when all members restart after 400 commands."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        sent = [b"command %d" % i for i in range(400)]
        for index, data in enumerate(sent):
            cluster.propose(data)
            if index % 50 == 0:
                cluster.run(0.2)
        cluster.run(2.0)
        for name in _NAMES:
            cluster.run_step(name, lambda core: core.compact())
            cluster.crash(name)
        for name in _NAMES:
            cluster.start(name)
        cluster.run(3.0)
        self.assertEqual(sent,
                         cluster.machines[cluster.leader().instance].applied)

    def test_snapshot_to_learner(self):
        """A learner that needs compacted entries catches up by a snapshot."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        for i in range(20):
            cluster.propose(b"%d" % i)
        cluster.run(1.0)
        core = cluster.leader()
        core.compact()
        self.assertEqual(core.last_applied, core.snapshot_index)
        members = dict(core.members) | {"c3": fakes.member(voter=False)}
        cluster.start("c3", {})
        cluster.run_step(core.instance, lambda c: c.propose_members(members))
        cluster.run(3.0)
        self.assertEqual(cluster.machines[core.instance].applied,
                         cluster.machines["c3"].applied)


if __name__ == "__main__":
    unittest.main()
