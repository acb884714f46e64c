"""Ways in which a control group changes, followed by the loss of a disk.

The table in docs/design/control-membership.md has a row for each of them.
"""

import random
import unittest

from tests import fakes
from tests import joining_cluster

_DETECTION_S = 2.5
_RECOVERY_S = 15.0


class ControlChangeTest(unittest.TestCase):
    """Base of tests that change a group and lose a disk right after."""

    def _start(self, seed, size=3):
        cluster = joining_cluster.JoiningCluster(["a", "b", "c", "d"][:size], 3,
                                                 seed)
        cluster.advance(3.0)
        self.acknowledged = []
        self._acknowledge(cluster)
        return cluster

    def _start_with_successor(self, seed):
        """Starts a group of three and a successor that has caught up."""
        cluster = self._start(seed)
        cluster.add("s")
        cluster.advance(joining_cluster.CATCH_UP_S)
        return cluster

    def _acknowledge(self, cluster):
        """Commits a command within the time for recovery."""
        data = b"%d" % len(self.acknowledged)
        until = cluster.now + _RECOVERY_S
        while cluster.now < until:
            core = cluster.confirmed_leader()
            if core is not None:
                cluster.run_step(core.instance,
                                 lambda leader: leader.propose(data))
                sent_at = cluster.now
                while (cluster.now < sent_at + 2.0 and
                       cluster.leader() is core):
                    cluster.advance(joining_cluster.TICK_S)
                    applied = cluster.machines[core.instance].applied
                    if data in applied:
                        self.acknowledged.append(data)
                        self.assertEqual(
                            self.acknowledged,
                            list(
                                dict.fromkeys(entry for entry in applied
                                              if entry in self.acknowledged)))
                        return
            cluster.advance(joining_cluster.TICK_S)
        self.fail(f"control has no leader at {cluster.now:.1f} s")

    @staticmethod
    def _host(cluster, rng, is_leader):
        """Returns the machine of the leader, or another one drawn by lot."""
        leader = cluster.leader().instance.partition("/")[0]
        if is_leader:
            return leader
        return rng.choice(sorted(set(cluster.member_by_host) - {leader}))

    def _lose_a_disk(self, cluster, rng, host=None):
        host = host or rng.choice(sorted(cluster.member_by_host))
        cluster.lose_disk(host)
        cluster.advance(rng.uniform(0.2, 3.5))
        cluster.restart(host)
        cluster.advance(joining_cluster.CATCH_UP_S)
        self._acknowledge(cluster)

    def _assert_complete(self, cluster):
        """Asserts that at least three live members vote."""
        cluster.advance(joining_cluster.CATCH_UP_S)
        members = cluster.confirmed_leader().members
        voters = {name for name, member in members.items() if member.voter}
        self.assertGreaterEqual(len(voters & set(cluster.rafts)), 3, members)


class ReplacementTest(ControlChangeTest):
    """A successor starts, and a machine goes for good once it has caught up."""

    def _replace(self, seed, end, gap_s, size=3):
        rng = random.Random(seed)
        cluster = self._start(seed, size)
        for number in range(3):
            cluster.add(f"s{number}")
            cluster.advance(joining_cluster.CATCH_UP_S)
            host = self._host(cluster, rng, rng.random() < 0.6)
            end(cluster, host)
            cluster.remove(host)
            cluster.advance(gap_s)
            self._lose_a_disk(cluster, rng)
        self._assert_complete(cluster)

    def test_disk_lost_after_planned_stop(self):
        """The vote of a machine that had SIGTERM was lost with the next disk."""
        for seed in range(12):
            for gap_s in (0.0, 0.3, 1.0, 2.0, 4.0):
                for size in (3, 4):
                    with self.subTest(seed=seed, gap_s=gap_s, size=size):
                        self._replace(seed, joining_cluster.JoiningCluster.stop,
                                      gap_s, size)

    def test_disk_lost_after_kill(self):
        """The vote of a machine that was killed was lost with the next disk."""
        for seed in range(12):
            for gap_s in (_DETECTION_S, 3.0, 4.0):
                for size in (3, 4):
                    with self.subTest(seed=seed, gap_s=gap_s, size=size):
                        self._replace(seed, joining_cluster.JoiningCluster.kill,
                                      gap_s, size)

    def test_disk_lost_at_moment_of_kill(self):
        """Two of four voters were gone, and the two others could not elect."""
        for seed in range(12):
            for gap_s in (0.0, 0.1, 0.7, 1.5):
                for size in (3, 4):
                    with self.subTest(seed=seed, gap_s=gap_s, size=size):
                        self._replace(seed, joining_cluster.JoiningCluster.kill,
                                      gap_s, size)

    def test_disk_lost_once_late_successor_counts(self):
        """A successor that starts after a kill was no voter in time."""
        for seed in range(30):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                cluster = self._start(seed)
                host = self._host(cluster, rng, seed % 2)
                cluster.kill(host)
                cluster.remove(host)
                cluster.advance(rng.choice((0.0, 0.5, 1.0, 6.0)))
                cluster.add("s")
                cluster.advance(joining_cluster.CATCH_UP_S)
                self._lose_a_disk(cluster, rng)
                self._assert_complete(cluster)

    def test_successor_lost_at_stop(self):
        """A successor that ends while it takes over a vote leaves three."""
        for seed in range(30):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                cluster = self._start_with_successor(seed)
                host = self._host(cluster, rng, seed % 2)
                if host == "s":
                    continue
                cluster.begin_stop(host)
                cluster.advance(rng.choice((0.0, 0.05, 0.1, 0.2)))
                cluster.kill("s")
                cluster.await_end(host)
                cluster.restart(host)
                cluster.advance(joining_cluster.CATCH_UP_S)
                self._lose_a_disk(cluster, rng)


class GoneMemberTest(unittest.TestCase):
    """An even group that leaves one member without a disk out of account."""

    def test_safety_in_storms(self):
        """No two leaders of a term, and nothing committed is lost."""
        for seed in range(200):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                cluster = fakes.Cluster("abcd", seed)
                cluster.inject_faults(rng, 120)
                gone = rng.choice("abcd")
                cluster.crash(gone)
                del cluster.storages[gone]
                for _ in range(12):
                    for name, core in cluster.rafts.items():
                        if rng.random() < 0.5:
                            core.gone_members.add(gone)
                    cluster.inject_faults(rng, 40)
                cluster.blocked_links.clear()
                before = len(cluster.committed)
                down = rng.choice(sorted(cluster.storages))
                cluster.crash(down)
                for name in cluster.storages:
                    if name != down:
                        if name not in cluster.rafts:
                            cluster.start(name)
                        cluster.storages[name].writes_until_crash = None
                        cluster.rafts[name].gone_members.add(gone)
                cluster.run(6.0)
                cluster.propose(b"last")
                cluster.run(1.0)
                self.assertGreater(len(cluster.committed), before)


class RestartTest(ControlChangeTest):
    """Machines are stopped and return at their addresses with their disks."""

    def _assert_restarts(self, cluster, rng):
        self._acknowledge(cluster)
        self._assert_complete(cluster)
        self._lose_a_disk(cluster, rng)
        self._assert_complete(cluster)

    def test_stops_in_series_do_not_shrink_group(self):
        """A stop takes no vote away for good, whatever the group's size."""
        for seed in range(20):
            for size in (3, 4):
                for spare in (False, True):
                    with self.subTest(seed=seed, size=size, spare=spare):
                        rng = random.Random(seed)
                        cluster = self._start(seed, size)
                        if spare:
                            cluster.add("s")
                            cluster.advance(joining_cluster.CATCH_UP_S)
                        hosts = sorted(cluster.member_by_host)
                        rng.shuffle(hosts)
                        for host in hosts:
                            cluster.stop(host)
                            cluster.advance(rng.choice((0.3, 1.0, 3.0)))
                            cluster.restart(host)
                            cluster.advance(joining_cluster.CATCH_UP_S)
                        self._assert_restarts(cluster, rng)

    def test_all_at_once(self):
        """All machines stop or are killed at once and return in any order."""
        for seed in range(20):
            for size in (3, 4):
                for stops in (False, True):
                    with self.subTest(seed=seed, size=size, stops=stops):
                        rng = random.Random(seed)
                        cluster = self._start(seed, size)
                        hosts = sorted(cluster.member_by_host)
                        rng.shuffle(hosts)
                        for host in hosts:
                            if stops:
                                cluster.begin_stop(host)
                                cluster.advance(rng.choice((0.0, 0.05, 0.2)))
                            else:
                                cluster.kill(host)
                        for host in hosts:
                            if stops:
                                cluster.await_end(host)
                        cluster.in_flight.clear()
                        cluster.advance(rng.choice((0.3, 1.0)))
                        for host in hosts:
                            cluster.restart(host)
                            cluster.advance(rng.choice((0.0, 0.1)))
                        self._assert_restarts(cluster, rng)

    def test_leader_lost_while_follower_stops(self):
        """A member that stopped without a leader took its vote along."""
        for seed in range(30):
            for pause_s in (0.0, 0.05, 0.1, 0.3):
                with self.subTest(seed=seed, pause_s=pause_s):
                    rng = random.Random(seed)
                    cluster = self._start_with_successor(seed)
                    # Back from its restart, this machine only follows.
                    restarted = self._host(cluster, rng, False)
                    cluster.stop(restarted)
                    cluster.restart(restarted)
                    cluster.advance(joining_cluster.CATCH_UP_S)
                    leader = self._host(cluster, rng, True)
                    stopped = rng.choice(
                        sorted(
                            set(cluster.member_by_host) - {restarted, leader}))
                    cluster.begin_stop(stopped)
                    cluster.advance(pause_s)
                    cluster.lose_disk(leader)
                    cluster.await_end(stopped)
                    cluster.remove(stopped)
                    cluster.restart(leader)
                    cluster.advance(joining_cluster.CATCH_UP_S)
                    self._acknowledge(cluster)
                    self._assert_complete(cluster)

    def test_disk_lost_while_stopped_machine_is_away(self):
        """With a successor, a disk may be lost while another machine restarts."""
        for seed in range(30):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                cluster = self._start_with_successor(seed)
                host = self._host(cluster, rng, seed % 2)
                cluster.stop(host)
                others = sorted(set(cluster.member_by_host) - {host})
                self._lose_a_disk(cluster, rng, rng.choice(others))
                cluster.restart(host)
                self._assert_complete(cluster)


if __name__ == "__main__":
    unittest.main()
