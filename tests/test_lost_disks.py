"""Disks of a control group that are lost in series, simulated."""

import random
import unittest

from tests import joining_cluster


class LostDisksInSeriesTest(unittest.TestCase):
    """Whatever was lost before, the group bears the loss of one more disk."""

    def _acknowledge(self, cluster, acknowledged):
        """Commits a command at the leader."""
        data = b"%d" % len(acknowledged)
        for _ in range(100):
            core = cluster.confirmed_leader()
            if core is None:
                cluster.advance(joining_cluster.TICK_S)
                continue
            cluster.run_step(core.instance, lambda leader: leader.propose(data))
            for _ in range(40):
                cluster.advance(joining_cluster.TICK_S)
                if data in cluster.machines[core.instance].applied:
                    acknowledged.append(data)
                    return
                if cluster.leader() is not core:
                    break
        self.fail(f"nothing is acknowledged at {cluster.now:.1f} s")

    def _lose_a_disk(self, cluster, rng, all_dark):
        """Loses the disk of one machine while others may be down too."""
        hosts = sorted(cluster.member_by_host)
        leader = cluster.leader()
        host = rng.choice(hosts)
        if leader is not None and rng.random() < 0.5:
            host = leader.instance.partition("/")[0]
        cluster.lose_disk(host)
        down = [host]
        if all_dark:
            for other in hosts:
                if other != host:
                    cluster.crash(cluster.member_by_host[other])
                    down.append(other)
            cluster.in_flight.clear()
        cluster.advance(rng.uniform(0.2, 3.5))
        rng.shuffle(down)
        for other in down:
            cluster.restart(other)
            cluster.advance(rng.choice((0.0, 0.1, 0.3)))

    def test_series(self):
        """Each acknowledged command survives, and the group goes on."""
        for seed in range(120):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                hosts = ["a", "b", "c", "d"][:rng.choice((3, 4))]
                cluster = joining_cluster.JoiningCluster(hosts, 3, seed)
                cluster.loss = rng.choice((0.0, 0.0, 0.03, 0.1))
                cluster.advance(4.0)
                acknowledged = []
                for _ in range(6):
                    for _ in range(rng.randrange(1, 4)):
                        self._acknowledge(cluster, acknowledged)
                    self._lose_a_disk(cluster, rng, rng.random() < 0.4)
                    cluster.advance(joining_cluster.CATCH_UP_S)
                self._acknowledge(cluster, acknowledged)
                applied = cluster.machines[
                    cluster.confirmed_leader().instance].applied
                self.assertEqual(
                    acknowledged,
                    [data for data in applied if data in acknowledged])


if __name__ == "__main__":
    unittest.main()
