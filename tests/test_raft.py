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


class GroupMachine(stateful.RuleBasedStateMachine):
    """Whatever the network and the disks do, nothing committed changes."""

    def __init__(self):
        super().__init__()
        self.cluster = fakes.Cluster(_NAMES, seed=7)
        self.count = 0
        self.spares = iter(f"c{i}" for i in range(3, 9))

    @stateful.rule(ticks=strategies.integers(1, 20))
    def pass_time(self, ticks):
        """Time passes while messages stay on their way."""
        for _ in range(ticks):
            self.cluster.tick()

    @stateful.rule(seconds=strategies.sampled_from((0.3, 2.0)))
    def work(self, seconds):
        """Time passes while messages arrive."""
        self.cluster.run(seconds)

    @stateful.rule(place=strategies.integers(0, 50),
                   repeat=strategies.booleans())
    def deliver(self, place, repeat):
        """A message arrives, out of order or twice."""
        self.cluster.deliver(place, repeat)

    @stateful.rule(place=strategies.integers(0, 50))
    def lose(self, place):
        """A message is lost."""
        if self.cluster.wires:
            self.cluster.wires.pop(place % len(self.cluster.wires))

    @stateful.rule()
    def propose(self):
        """Somebody proposes a command."""
        self.count += 1
        self.cluster.propose(b"command %d" % self.count)

    @stateful.rule(pick=strategies.integers(0, 20),
                   writes=strategies.integers(0, 3),
                   lose=strategies.booleans())
    def crash_in_write(self, pick, writes, lose):
        """A member will crash before or after one of its next writes."""
        names = sorted(self.cluster.rafts)
        if names:
            disk = self.cluster.disks[names[pick % len(names)]]
            disk.crash_in = writes
            disk.lose_write = lose

    @stateful.rule(pick=strategies.integers(0, 20))
    def crash(self, pick):
        """A member ends."""
        names = sorted(self.cluster.rafts)
        if names:
            self.cluster.crash(names[pick % len(names)])

    @stateful.rule()
    def restart_all(self):
        """Every member that is down starts from its disk."""
        for name in sorted(set(self.cluster.disks) - set(self.cluster.rafts)):
            self.cluster.start(name, None if name in _NAMES else {})

    @stateful.rule(pick=strategies.integers(0, 20), both=strategies.booleans())
    def cut(self, pick, both):
        """The way between two members is cut, one way or both."""
        names = sorted(self.cluster.disks)
        one, two = names[pick % len(names)], names[(pick // 3) % len(names)]
        self.cluster.cut.add((one, two))
        if both:
            self.cluster.cut.add((two, one))

    @stateful.rule()
    def heal(self):
        """All ways are open again."""
        self.cluster.cut.clear()

    @stateful.rule(pick=strategies.integers(0, 20))
    def compact(self, pick):
        """A member replaces its log by a snapshot."""
        names = sorted(self.cluster.rafts)
        if names:
            self.cluster.guard(names[pick % len(names)],
                               lambda core: core.compact())

    @stateful.rule(pick=strategies.integers(0, 20), add=strategies.booleans())
    def change_members(self, pick, add):
        """A member is added to catch up, or one is removed."""
        core = self.cluster.leader()
        if core is None:
            return
        members = dict(core.members)
        if add:
            name = next(self.spares, None)
            if name is None:
                return
            members[name] = fakes.member(voter=False)
            self.cluster.start(name, {})
        else:
            names = sorted(members)
            if len(names) <= 3:
                return
            del members[names[pick % len(names)]]

        def step(found):
            try:
                found.propose_members(members)
            except errors.ApricothingeError:
                pass

        self.cluster.guard(core.instance, step)

    def teardown(self):
        """Once everything works again, the group does too."""
        self.cluster.cut.clear()
        for disk in self.cluster.disks.values():
            disk.crash_in = None
        self.restart_all()
        self.cluster.run(8.0)
        assert self.cluster.propose(b"last"), "no leader after all healed"
        self.cluster.run(2.0)
        core = self.cluster.leader()
        voters = [n for n, row in core.members.items() if row.voter]
        for name in voters:
            applied = self.cluster.machines[name].applied
            assert applied[-1] == b"last", f"{name} did not catch up"


GroupTest = GroupMachine.TestCase
GroupTest.settings = hypothesis.settings(max_examples=60,
                                         stateful_step_count=60,
                                         deadline=None)


class StormTest(unittest.TestCase):
    """Long runs of random faults."""

    def test_storms(self):
        """Through hundreds of faults, nothing committed is lost or changed."""
        for seed in range(300):
            with self.subTest(seed=seed):
                names = _NAMES if seed % 2 else _NAMES + ("c3", "c4")
                cluster = fakes.Cluster(names, seed=seed)
                cluster.storm(random.Random(seed), 250)
                committed = len(cluster.committed)
                cluster.cut.clear()
                for name in names:
                    cluster.disks[name].crash_in = None
                    if name not in cluster.rafts:
                        cluster.start(name)
                cluster.run(6.0)
                self.assertTrue(cluster.propose(b"last"))
                cluster.run(2.0)
                for name in names:
                    applied = cluster.machines[name].applied
                    self.assertEqual(b"last", applied[-1])
                    self.assertGreater(len(applied), committed)


class RuleTest(unittest.TestCase):
    """The rules that safety rests on, one by one."""

    def setUp(self):
        self.cluster = fakes.Cluster(_NAMES)

    def _core(self, entries=(), term=0):
        """A restarted member with entries on its disk."""
        disk = self.cluster.disks["c0"]
        disk.entries = [
            raft_messages.Entry(place + 1, found,
                                raft_messages.EntryKind.COMMAND, b"x")
            for place, found in enumerate(entries)
        ]
        disk.vote = raft_messages.Vote(term, "")
        self.cluster.start("c0")
        return self.cluster.rafts["c0"]

    def _last_reply(self, core):
        return core.outbox[-1][1]

    def test_vote_survives_restart(self):
        """Who has voted in a term votes for nobody else after a restart."""
        core = self._core()
        core.receive(0.0, "c1", raft_messages.VoteRequest(5, False, 0, 0))
        self.assertTrue(self._last_reply(core).granted)
        self.cluster.start("c0")
        core = self.cluster.rafts["c0"]
        core.receive(0.0, "c2", raft_messages.VoteRequest(5, False, 0, 0))
        self.assertFalse(self._last_reply(core).granted)
        core.receive(0.0, "c1", raft_messages.VoteRequest(5, False, 0, 0))
        self.assertTrue(self._last_reply(core).granted)

    def test_stale_log_gets_no_vote(self):
        """A candidate whose log is behind gets no vote of either kind."""
        for pre_vote in (True, False):
            for last_index, last_term in ((1, 2), (5, 1)):
                with self.subTest(pre_vote=pre_vote, last_term=last_term):
                    core = self._core(entries=(1, 2), term=2)
                    core.receive(
                        0.0, "c1",
                        raft_messages.VoteRequest(3, pre_vote, last_index,
                                                  last_term))
                    self.assertFalse(self._last_reply(core).granted)

    def test_commit_stays_within_what_agrees(self):
        """A heartbeat commits no entry that it did not check."""
        core = self._core(entries=(1, 1, 1), term=1)
        core.receive(
            0.0, "c1",
            raft_messages.AppendRequest(2, 1, 1, [], 3, 0.0, -1.0, -1.0))
        self.assertEqual(1, core.commit_index)

    def test_old_term_is_not_committed_by_counting(self):
        """Entries of older terms commit only with one of the own term."""
        core = self._core(entries=(1, 1), term=3)
        core._campaign(0.0, pre_vote=False)  # pylint: disable=protected-access
        core.receive(0.0, "c1", raft_messages.VoteReply(4, False, True))
        self.assertIs(raft.Role.LEADER, core.role)
        core.receive(0.0, "c1", raft_messages.AppendReply(4, True, 2, 0.0, 0.0))
        self.assertEqual(0, core.commit_index)
        core.receive(0.0, "c1", raft_messages.AppendReply(4, True, 3, 0.0, 0.0))
        self.assertEqual(3, core.commit_index)

    def test_disagreeing_tail_is_dropped(self):
        """What disagrees with the leader goes, on the disk as well."""
        core = self._core(entries=(1, 1, 1), term=1)
        entry = raft_messages.Entry(2, 2, raft_messages.EntryKind.COMMAND, b"y")
        core.receive(
            0.0, "c1",
            raft_messages.AppendRequest(2, 1, 1, [entry], 0, 0.0, -1.0, -1.0))
        self.assertEqual(2, core.last_index)
        self.assertEqual([1, 2],
                         [e.term for e in self.cluster.disks["c0"].entries])


class ElectionTest(unittest.TestCase):
    """Leaders."""

    def test_isolated_member_does_not_disturb(self):
        """A member that was cut off comes back without a new term."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        leader = cluster.leader()
        other = next(n for n in _NAMES if n != leader.instance)
        for name in _NAMES:
            cluster.cut |= {(other, name), (name, other)}
        cluster.run(10.0)
        cluster.cut.clear()
        term = leader.term
        cluster.run(3.0)
        self.assertEqual(term, cluster.leader().term)

    def test_isolated_leader_steps_down(self):
        """A leader without a quorum stops to lead and to confirm."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        leader = cluster.leader()
        confirmed = leader.quorum_confirmed_at(cluster.now)
        self.assertGreater(confirmed, cluster.now - 0.5)
        cut_at = cluster.now
        for name in _NAMES:
            cluster.cut |= {(leader.instance, name), (name, leader.instance)}
        cluster.run(3.0)
        self.assertIsNot(raft.Role.LEADER, leader.role)
        self.assertLessEqual(leader.quorum_confirmed_at(cluster.now), cut_at)

    def test_one_way_cut(self):
        """A leader that nobody hears is replaced."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        leader = cluster.leader()
        for name in _NAMES:
            cluster.cut.add((leader.instance, name))
        cluster.run(5.0)
        self.assertNotEqual(leader.instance, cluster.leader().instance)

    def test_follower_age(self):
        """A follower that is cut off knows how old its state is."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        name = next(n for n in _NAMES if n != cluster.leader().instance)
        core = cluster.rafts[name]
        self.assertGreater(core.quorum_confirmed_at(cluster.now),
                           cluster.now - 0.5)
        cut_at = cluster.now
        cluster.cut |= {(other, name) for other in _NAMES}
        cluster.run(5.0)
        self.assertLessEqual(core.quorum_confirmed_at(cluster.now), cut_at)

    def test_delayed_heartbeat_is_not_fresh(self):
        """A heartbeat that was long on its way confirms the time it left."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        name = next(n for n in _NAMES if n != cluster.leader().instance)
        before = cluster.rafts[name].quorum_confirmed_at(cluster.now)
        held = [w for w in cluster.wires if w[1] == name]
        cluster.wires = [w for w in cluster.wires if w[1] != name]
        sent_at = cluster.now
        for _ in range(20):
            cluster.now += 0.1
        cluster.wires = held
        while cluster.wires:
            cluster.deliver()
        after = cluster.rafts[name].quorum_confirmed_at(cluster.now)
        self.assertGreaterEqual(after, before)
        self.assertLessEqual(after, sent_at)

    def test_unconfirmed_at_start(self):
        """Nothing is confirmed before the own term has committed."""
        cluster = fakes.Cluster(_NAMES)
        core = cluster.rafts["c0"]
        self.assertEqual(-math.inf, core.quorum_confirmed_at(cluster.now))


class MembershipTest(unittest.TestCase):
    """Changes of membership."""

    def test_second_loss_after_repair(self):
        """After a lost member is replaced, another may be lost."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        cluster.propose(b"one")
        cluster.run(1.0)
        lost = next(n for n in _NAMES if n != cluster.leader().instance)
        cluster.crash(lost)
        core = cluster.leader()
        members = dict(core.members) | {"c3": fakes.member(voter=False)}
        cluster.start("c3", {})
        cluster.guard(core.instance, lambda c: c.propose_members(members))
        cluster.run(3.0)
        core = cluster.leader()
        self.assertTrue(core.members["c3"].voter)
        members = {n: r for n, r in core.members.items() if n != lost}
        cluster.guard(core.instance, lambda c: c.propose_members(members))
        cluster.run(1.0)
        cluster.crash(cluster.leader().instance)
        cluster.run(5.0)
        self.assertTrue(cluster.propose(b"two"))
        cluster.run(1.0)
        core = cluster.leader()
        self.assertEqual([b"one", b"two"],
                         cluster.machines[core.instance].applied)

    def test_one_voter_at_a_time(self):
        """Two voters can not be changed in one step."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        core = cluster.leader()
        with self.assertRaises(errors.ApricothingeError) as caught:
            core.propose_members({core.instance: fakes.member()})
        self.assertIs(errors.Kind.MEMBERSHIP_REFUSED, caught.exception.kind)

    def test_change_waits_for_own_term(self):
        """A new leader commits in its term before it changes members."""
        cluster = fakes.Cluster(("c0",))
        cluster.run(3.0)
        core = cluster.leader()
        core._current_term_committed = False  # pylint: disable=protected-access
        with self.assertRaises(errors.ApricothingeError):
            core.propose_members({
                "c0": fakes.member(),
                "c1": fakes.member(voter=False)
            })

    def test_hundreds_of_changes_then_restart_of_all(self):
        """After hundreds of commands and a restart of all, none is lost."""
        cluster = fakes.Cluster(_NAMES)
        cluster.run(3.0)
        sent = [b"command %d" % i for i in range(400)]
        for place, data in enumerate(sent):
            cluster.propose(data)
            if place % 50 == 0:
                cluster.run(0.2)
        cluster.run(2.0)
        for name in _NAMES:
            cluster.guard(name, lambda core: core.compact())
            cluster.crash(name)
        for name in _NAMES:
            cluster.start(name)
        cluster.run(3.0)
        self.assertEqual(sent,
                         cluster.machines[cluster.leader().instance].applied)

    def test_snapshot_to_learner(self):
        """A learner behind the log gets the snapshot and then the rest."""
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
        cluster.guard(core.instance, lambda c: c.propose_members(members))
        cluster.run(3.0)
        self.assertEqual(cluster.machines[core.instance].applied,
                         cluster.machines["c3"].applied)


if __name__ == "__main__":
    unittest.main()
