"""A simulated Raft group with fake storage, network and clock."""

import random

from apricothinge import settings
from apricothinge.control import raft
from apricothinge.control import raft_messages
from apricothinge.control import storage


class SimulatedCrash(Exception):
    """Raised where the simulated process crashes during a write."""


class FakeStorage(storage.Storage):
    """Storage in memory that can crash before or after any write.

    Attributes:
        writes_until_crash: Writes that succeed before one crashes, or None.
        lose_write: Whether the crash comes before the write takes effect.
    """

    def __init__(self):
        self.vote = raft_messages.Vote(0, "")
        self.snapshot = None
        self.entries = []
        self.writes_until_crash = None
        self.lose_write = False

    def _run_write(self, apply_write):
        if self.writes_until_crash is not None:
            self.writes_until_crash -= 1
            if self.writes_until_crash < 0:
                self.writes_until_crash = None
                if not self.lose_write:
                    apply_write()
                raise SimulatedCrash
        apply_write()

    def probe(self):
        pass

    def load(self):
        return storage.PersistentState(self.vote, self.snapshot,
                                       list(self.entries))

    def save_vote(self, vote):

        def apply_write():
            self.vote = vote

        self._run_write(apply_write)

    def append(self, entries, replace_from):

        def apply_write():
            kept = [
                e for e in self.entries
                if replace_from is None or e.index < replace_from
            ]
            self.entries = kept + list(entries)

        self._run_write(apply_write)

    def save_snapshot(self, snapshot, entries):

        def apply_write():
            self.snapshot = snapshot
            self.entries = list(entries)

        self._run_write(apply_write)


class ListStateMachine(raft.StateMachine):
    """Records the applied commands in order."""

    def __init__(self):
        self.applied = []

    def apply(self, data):
        self.applied.append(data)
        return len(self.applied)

    def snapshot(self):
        return b"\n".join(self.applied)

    def restore(self, data):
        self.applied = data.split(b"\n") if data else []


def member(voter=True):
    """Returns a member of the configuration."""
    return raft_messages.Member(settings.Address("127.0.0.1", 1), "a", voter)


class Cluster:
    """Raft members on fake storage, network and clock.

    Attributes:
        now: Time in seconds.
        storages: Storage by member; kept while the member is down.
        machines: State machine by member.
        rafts: Raft state by running member.
        in_flight: Sender, receiver and message of each undelivered message.
        blocked_links: Pairs of sender and receiver that lose all messages.
        committed: Applied command by position, as first seen anywhere.
        leader_by_term: First leader seen in each term.
        external_promotion: Whether learners wait for `propose_members`.
    """

    def __init__(self, names, seed=1, external_promotion=False):
        self.external_promotion = external_promotion
        self.now = 0.0
        self.random = random.Random(seed)
        self.initial_members = {name: member() for name in names}
        self.storages = {}
        self.machines = {}
        self.rafts = {}
        self.in_flight = []
        self.blocked_links = set()
        self.committed = {}
        self.leader_by_term = {}
        for name in names:
            self.start(name)

    def start(self, name, initial_members=None):
        """Starts or restarts a member from its storage."""
        store = self.storages.setdefault(name, FakeStorage())
        store.writes_until_crash = None
        machine = ListStateMachine()
        self.machines[name] = machine
        self.rafts[name] = raft.Raft(self.now,
                                     name,
                                     store,
                                     machine,
                                     self.initial_members if initial_members
                                     is None else initial_members,
                                     random.Random(self.random.random()),
                                     raft.Timing(),
                                     external_promotion=self.external_promotion)

    def crash(self, name):
        """Stops a member; its messages in flight are still delivered."""
        self.rafts.pop(name, None)

    def run_step(self, name, step):
        """Runs a function on a member, flushes and collects its messages.

        Returns:
            Result of the function, or None if the member is down or crashes.
        """
        core = self.rafts.get(name)
        if core is None:
            return None
        try:
            result = step(core)
            core.flush(self.now)
        except SimulatedCrash:
            self.crash(name)
            return None
        self.collect_outbox(name)
        return result

    def collect_outbox(self, name):
        """Moves a member's outbox to the network and checks safety."""
        core = self.rafts[name]
        for receiver, message in core.outbox:
            self.in_flight.append((name, receiver, message))
        core.outbox = []
        core.results = []
        self.check_safety(name, core)

    def check_safety(self, name, core):
        """Asserts one leader per term and that applied entries agree."""
        if core.role is raft.Role.LEADER:
            leader = self.leader_by_term.setdefault(core.term, name)
            assert leader == name, f"two leaders in term {core.term}"
        applied = self.machines[name].applied
        for index, data in enumerate(applied):
            first = self.committed.setdefault(index, data)
            assert first == data, f"{name} applied other data at {index}"

    def tick(self, seconds=0.05):
        """Advances the clock and ticks every member."""
        self.now += seconds
        for name in list(self.rafts):
            self.run_step(name, lambda core: core.tick(self.now))

    def deliver(self, index=0, duplicate=False):
        """Delivers one message, or drops it if its link is blocked.

        Args:
            index: Position among the messages in flight, modulo their number.
            duplicate: Whether the message also stays in flight.
        """
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        sent = self.in_flight[index] if duplicate else self.in_flight.pop(index)
        sender, receiver, message = sent
        if (sender, receiver) in self.blocked_links:
            return
        self.run_step(receiver,
                      lambda core: core.receive(self.now, sender, message))

    def run(self, seconds):
        """Advances the clock while all messages are delivered in order."""
        until = self.now + seconds
        while self.now < until:
            for _ in range(200):
                if not self.in_flight:
                    break
                self.deliver()
            self.tick()

    def leader(self):
        """Returns the leader of the highest term, or None."""
        leaders = [c for c in self.rafts.values() if c.role is raft.Role.LEADER]
        return max(leaders, key=lambda core: core.term, default=None)

    def propose(self, data):
        """Proposes to the leader; returns whether a leader queued it."""
        core = self.leader()
        if core is None:
            return False
        position = self.run_step(core.instance,
                                 lambda target: target.propose(data))
        return position is not None

    def inject_faults(self, rng, steps):
        """Runs random steps: ticks, proposals, crashes and network faults.

        Args:
            rng: Seeded random source.
            steps: Number of steps.
        """
        count = 0
        for _ in range(steps):
            draw = rng.random()
            names = sorted(self.storages)
            if draw < 0.45:
                self.tick(rng.choice((0.02, 0.05, 0.2)))
                for _ in range(rng.randrange(0, 12)):
                    self.deliver(rng.randrange(0, 1000),
                                 duplicate=rng.random() < 0.05)
            elif draw < 0.75:
                count += 1
                core = rng.choice([
                    c for c in self.rafts.values() if c.role is raft.Role.LEADER
                ] or [None])
                if core is not None:
                    # Includes a replaced leader that has not stepped down yet.
                    data = f"{core.instance} {count} {rng.random()}"
                    self.run_step(core.instance,
                                  lambda c, d=data.encode(): c.propose(d))
            elif draw < 0.82:
                self.blocked_links = {
                    (a, b) for a in names for b in names if rng.random() < 0.4
                }
            elif draw < 0.87:
                self.blocked_links.clear()
            elif draw < 0.92:
                store = self.storages[rng.choice(names)]
                store.writes_until_crash = rng.randrange(0, 4)
                store.lose_write = rng.random() < 0.5
            elif draw < 0.95:
                self.crash(rng.choice(names))
            elif draw < 0.965 and self.rafts:
                # Makes elections collide more often than random timeouts do.
                for core in list(self.rafts.values()):
                    if rng.random() < 0.6:
                        core._election_deadline = self.now  # pylint: disable=protected-access
            elif draw < 0.975 and self.rafts:
                self.run_step(rng.choice(sorted(self.rafts)),
                              lambda core: core.compact())
            else:
                for name in names:
                    if name not in self.rafts:
                        self.start(name)
