"""A simulated control group whose members join, vote and leave as in `mesh`."""

import math
import random

from apricothinge import errors
from apricothinge import settings
from apricothinge.control import raft
from apricothinge.control import raft_messages
from apricothinge.mesh import membership
from tests import fakes

TICK_S = 0.05
# The deployments count a machine as lost until this long after its return.
CATCH_UP_S = 4.0
_RETRANSMISSION_S = 0.2
_ADJUST_INTERVAL_TICKS = 4
_JOIN_INTERVAL_TICKS = 6
_LEADERLESS_TIMEOUT_S = 2.0
_MAX_QUORUM_AGE_S = 1.0
_HANDOVER_TIMEOUT_S = 3.0


class JoiningCluster(fakes.Cluster):
    """A group whose members join, are promoted and removed as in `mesh`.

    Machines are named by their host. The member of a machine that lost its
    disk has a new name with the same host.

    Attributes:
        member_by_host: Name of the latest member on each machine that was not
            removed.
        loss: Fraction of the messages whose first packet is lost. They and all
            later ones between the same members are delivered after the
            retransmission timeout.
    """

    def __init__(self, hosts, voters, seed):
        self.member_by_host = {host: host for host in hosts}
        self._founders = set(hosts)
        self.loss = 0.0
        self._rng = random.Random(seed)
        self._ticks = 0
        self._leader_known_at = {}
        self._held_until_by_link = {}
        self._stopped_at = {}
        super().__init__(hosts[:voters], seed, external_promotion=True)
        self.initial_members = {
            host: _member(host, True) for host in hosts[:voters]
        }
        for host in hosts:
            self.start(
                host,
                self.initial_members if host in self.initial_members else {})

    def start(self, name, initial_members=None):
        super().start(name, initial_members)
        self._leader_known_at[name] = self.now

    def lose_disk(self, host):
        """Stops a machine and forgets what its member has stored."""
        name = self.member_by_host[host]
        self.crash(name)
        self.storages.pop(name, None)
        generation = int(name.partition("/")[2] or 0) + 1
        self.member_by_host[host] = f"{host}/{generation}"

    def add(self, host):
        """Starts a machine with an empty disk after the group has started."""
        self.member_by_host[host] = host
        self.start(host, {})

    def stop(self, host):
        """Sends SIGTERM to a machine and waits until its process has ended."""
        self.begin_stop(host)
        self.await_end(host)

    def begin_stop(self, host):
        """Sends SIGTERM to a machine."""
        self._stopped_at[self.member_by_host[host]] = self.now

    def await_end(self, host):
        """Waits until the process of a machine has ended."""
        while self.member_by_host[host] in self.rafts:
            self.advance(TICK_S)

    def kill(self, host):
        """Kills the process of a machine, which keeps its disk."""
        self.crash(self.member_by_host[host])

    def remove(self, host):
        """Forgets a machine whose process has ended, and its disk."""
        self.storages.pop(self.member_by_host.pop(host), None)

    def crash(self, name):
        super().crash(name)
        self._stopped_at.pop(name, None)

    def _may_hand_over(self, core):
        if core.is_committed_learner:
            return False
        if self.now > self._stopped_at[core.instance] + _HANDOVER_TIMEOUT_S:
            return False
        if core.role is raft.Role.LEADER:
            return (not core.may_change_members() or
                    self._next_members(core) is not None or
                    membership.has_usable_learner(
                        core.members, core.last_contact_age_s(self.now),
                        set(self._stopped_at)))
        return len(core.members) > 3

    def restart(self, host):
        """Starts the member of a machine."""
        name = self.member_by_host[host]
        self.start(name,
                   self.initial_members if name in self.initial_members else {})

    def advance(self, seconds):
        """Advances the clock; messages are delivered, some of them late."""
        until = self.now + seconds
        while self.now < until:
            for _ in range(400):
                if not self._deliver_next():
                    break
            self.tick(TICK_S)
            self._ticks += 1
            for core in self.rafts.values():
                if core.role is raft.Role.LEADER or core.leader is not None:
                    self._leader_known_at[core.instance] = self.now
            for name in list(self._stopped_at):
                if not self._may_hand_over(self.rafts[name]):
                    self.crash(name)
            if self._ticks % _ADJUST_INTERVAL_TICKS == 0:
                self._adjust_members()
            if self._ticks % _JOIN_INTERVAL_TICKS == 0:
                self._request_to_join()

    def _deliver_next(self):
        """Delivers the next message; returns whether there was one."""
        for index, (sender, receiver, _) in enumerate(self.in_flight):
            link = sender, receiver
            if self._held_until_by_link.get(link, 0.0) > self.now:
                continue
            if self._rng.random() < self.loss:
                self._held_until_by_link[link] = self.now + _RETRANSMISSION_S
                continue
            self.deliver(index)
            return True
        return False

    def run_step(self, name, step):
        host = name.partition("/")[0]
        present = self.member_by_host.get(host)
        if present != name and present in self.rafts:
            # The instance at the address of a lost member answers for it.
            for core in self.rafts.values():
                core.gone_members.add(name)
        return super().run_step(name, step)

    def confirmed_leader(self):
        """Returns the leader that a quorum has recently confirmed, or None."""
        core = self.leader()
        if core is None:
            return None
        confirmed_at = core.quorum_confirmed_at(self.now)
        if (confirmed_at == -math.inf or
                self.now - confirmed_at > _MAX_QUORUM_AGE_S):
            return None
        return core

    def _propose_members(self, core, members):

        def step(leader):
            try:
                leader.propose_members(members)
            except errors.ApricothingeError:
                pass

        self.run_step(core.instance, step)

    def _adjust_members(self):
        core = self.confirmed_leader()
        if core is None or not core.may_change_members():
            return
        changed = self._next_members(core)
        if changed is not None:
            self._propose_members(core, changed)

    def _next_members(self, core):
        return membership.next_members(core.members,
                                       core.last_contact_age_s(self.now), {
                                           name for name in core.members
                                           if core.is_caught_up(self.now, name)
                                       },
                                       stopping=set(self._stopped_at),
                                       tracked_s=core.tracked_s(self.now))

    def _request_to_join(self):
        for name, core in list(self.rafts.items()):
            if (name in core.members and self.now - self._leader_known_at[name]
                    <= _LEADERLESS_TIMEOUT_S):
                continue
            leader = self.confirmed_leader()
            if (leader is None or name in leader.members or
                    not leader.may_change_members()):
                continue
            members = dict(leader.members)
            host = name.partition("/")[0]
            returns = any(
                member.address.host == host for member in members.values())
            members[name] = _member(host, False, not returns and
                                    host not in self._founders)
            self._propose_members(leader, members)


def _member(host, voter, successor=False):
    return raft_messages.Member(settings.Address(host, 1), host, voter, "",
                                successor)
