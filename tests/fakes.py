"""Small fakes at the interfaces: disk, network and clock of a group."""

import random

from apricothinge import settings
from apricothinge.control import raft
from apricothinge.control import raft_messages
from apricothinge.control import storage


class Crash(Exception):
    """The process ends in the middle of a write."""


class FakeDisk(storage.Storage):
    """Keeps what was synced; can crash before or after any write."""

    def __init__(self):
        self.vote = raft_messages.Vote(0, "")
        self.snapshot = None
        self.entries = []
        self.crash_in = None
        self.lose_write = False

    def _write(self, effect):
        if self.crash_in is not None:
            self.crash_in -= 1
            if self.crash_in < 0:
                self.crash_in = None
                if not self.lose_write:
                    effect()
                raise Crash
        effect()

    def load(self):
        return storage.PersistentState(self.vote, self.snapshot,
                                       list(self.entries))

    def save_vote(self, vote):

        def effect():
            self.vote = vote

        self._write(effect)

    def append(self, entries, replace_from):

        def effect():
            kept = [
                e for e in self.entries
                if replace_from is None or e.index < replace_from
            ]
            self.entries = kept + list(entries)

        self._write(effect)

    def save_snapshot(self, snapshot, entries):

        def effect():
            self.snapshot = snapshot
            self.entries = list(entries)

        self._write(effect)


class ListMachine(raft.StateMachine):
    """Keeps the commands that were applied, in order."""

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
    """A row of the membership."""
    return raft_messages.Member(settings.Address("127.0.0.1", 1), "a", voter)


class Cluster:
    """Members with fake disks on a fake network and clock."""

    def __init__(self, names, seed=1):
        self.now = 0.0
        self.random = random.Random(seed)
        self.bootstrap = {name: member() for name in names}
        self.disks = {}
        self.machines = {}
        self.rafts = {}
        self.wires = []
        self.cut = set()
        self.committed = {}
        self.leader_by_term = {}
        for name in names:
            self.start(name)

    def start(self, name, bootstrap=None):
        """Starts or restarts a member from its disk."""
        disk = self.disks.setdefault(name, FakeDisk())
        disk.crash_in = None
        machine = ListMachine()
        self.machines[name] = machine
        self.rafts[name] = raft.Raft(
            self.now, name, disk, machine,
            self.bootstrap if bootstrap is None else bootstrap,
            random.Random(self.random.random()), raft.Timing())

    def crash(self, name):
        """Ends a member; its messages on the way stay on the way."""
        self.rafts.pop(name, None)

    def guard(self, name, step):
        """Runs a step of a member, which may crash in it."""
        core = self.rafts.get(name)
        if core is None:
            return None
        try:
            result = step(core)
            core.flush(self.now)
        except Crash:
            self.crash(name)
            return None
        self.collect(name)
        return result

    def collect(self, name):
        """Puts what a member sends on the wires; checks what it says."""
        core = self.rafts[name]
        for receiver, message in core.outbox:
            self.wires.append((name, receiver, message))
        core.outbox = []
        core.results = []
        self.check(name, core)

    def check(self, name, core):
        """Election safety, and that committed entries never change."""
        if core.role is raft.Role.LEADER:
            known = self.leader_by_term.setdefault(core.term, name)
            assert known == name, f"two leaders in term {core.term}"
        applied = self.machines[name].applied
        for place, data in enumerate(applied):
            first = self.committed.setdefault(place, data)
            assert first == data, f"{name} applied other data at {place}"

    def tick(self, seconds=0.05):
        """Moves the clock and ticks every member."""
        self.now += seconds
        for name in list(self.rafts):
            self.guard(name, lambda core: core.tick(self.now))

    def deliver(self, place=0, repeat=False):
        """Delivers one message, unless its way is cut."""
        if not self.wires:
            return
        place %= len(self.wires)
        wire = self.wires[place] if repeat else self.wires.pop(place)
        sender, receiver, message = wire
        if (sender, receiver) in self.cut:
            return
        self.guard(receiver,
                   lambda core: core.receive(self.now, sender, message))

    def run(self, seconds):
        """Lets time pass with a network that loses nothing."""
        until = self.now + seconds
        while self.now < until:
            for _ in range(200):
                if not self.wires:
                    break
                self.deliver()
            self.tick()

    def leader(self):
        """Returns the leader of the highest term, or None."""
        found = [c for c in self.rafts.values() if c.role is raft.Role.LEADER]
        return max(found, key=lambda core: core.term, default=None)

    def propose(self, data):
        """Proposes at the leader; returns whether there was one."""
        core = self.leader()
        if core is None:
            return False
        placed = self.guard(core.instance, lambda found: found.propose(data))
        return placed is not None

    def storm(self, source, steps):
        """Makes random things happen, faults among them.

        Args:
            source: Seeded random source.
            steps: How many things happen.
        """
        count = 0
        for _ in range(steps):
            kind = source.random()
            names = sorted(self.disks)
            if kind < 0.45:
                self.tick(source.choice((0.02, 0.05, 0.2)))
                for _ in range(source.randrange(0, 12)):
                    self.deliver(source.randrange(0, 1000),
                                 repeat=source.random() < 0.05)
            elif kind < 0.75:
                count += 1
                core = source.choice([
                    c for c in self.rafts.values() if c.role is raft.Role.LEADER
                ] or [None])
                if core is not None:
                    # A leader that was replaced goes on believing.
                    data = f"{core.instance} {count} {source.random()}"
                    self.guard(core.instance,
                               lambda c, d=data.encode(): c.propose(d))
            elif kind < 0.82:
                self.cut = {(a, b)
                            for a in names
                            for b in names
                            if source.random() < 0.4}
            elif kind < 0.87:
                self.cut.clear()
            elif kind < 0.92:
                disk = self.disks[source.choice(names)]
                disk.crash_in = source.randrange(0, 4)
                disk.lose_write = source.random() < 0.5
            elif kind < 0.95:
                self.crash(source.choice(names))
            elif kind < 0.965 and self.rafts:
                # Elections collide more often than chance would have it.
                for core in list(self.rafts.values()):
                    if source.random() < 0.6:
                        core._election_deadline = self.now  # pylint: disable=protected-access
            elif kind < 0.975 and self.rafts:
                self.guard(source.choice(sorted(self.rafts)),
                           lambda core: core.compact())
            else:
                for name in names:
                    if name not in self.rafts:
                        self.start(name)
