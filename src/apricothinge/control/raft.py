"""The Raft consensus algorithm, without IO.

Follows Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm" (2014), with pre-vote, check-quorum, learners and single-step
changes of membership. A change of membership waits for a committed entry of
the leader's own term, which closes the known flaw of single-step changes.
"""

import abc
import enum
import math
import random
from typing import Final

import msgspec

from apricothinge import errors
from apricothinge.control import raft_messages as messages
from apricothinge.control import storage

__all__ = ["Raft", "Role", "StateMachine", "Timing"]

_MAX_ENTRIES_PER_APPEND: Final = 256
_MAX_CAUGHT_UP_LAG: Final = 16
_SNAPSHOT_RESEND_INTERVAL_S: Final = 1.0
# Of the time between elections, for the first one after a start.
_FIRST_ELECTION_TIMEOUT_FACTOR: Final = 0.35

Members = dict[str, messages.Member]


class Role(enum.Enum):
    """What a member is at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing:
    """Durations in seconds.

    Attributes:
        heartbeat_interval_s: Longest time between the leader's messages to
            a member.
        min_election_timeout_s: Shortest election timeout; each timeout is
            drawn between this and twice this.
    """

    __slots__ = ("heartbeat_interval_s", "min_election_timeout_s")

    def __init__(self,
                 heartbeat_interval_s: float = 0.1,
                 min_election_timeout_s: float = 0.6) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.min_election_timeout_s = min_election_timeout_s


class StateMachine(abc.ABC):
    """The state that the log is applied to."""

    @abc.abstractmethod
    def apply(self, data: bytes) -> object:
        """Applies a command; returns its result for the proposer."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Encodes the whole state."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replaces the whole state."""


class _Progress:
    """What the leader knows of another member.

    Attributes:
        next_index: First entry to send.
        match: Last entry known to agree.
        acked_at: The leader's clock when it sent what was last answered.
        sent_at: The leader's clock when it last sent anything.
        echo: The member's clock as last heard.
        snapshot_at: The leader's clock when it last sent a snapshot.
        known_at: The leader's clock when it first knew the member.
    """

    __slots__ = ("next_index", "match_index", "acked_at", "sent_at",
                 "peer_sent_at", "snapshot_sent_at", "added_at")

    def __init__(self, next_index: int, now: float) -> None:
        self.added_at = now
        self.next_index = next_index
        self.match_index = 0
        self.acked_at = -math.inf
        self.sent_at = -math.inf
        self.peer_sent_at = -1.0
        self.snapshot_sent_at = -math.inf


class Raft:
    """One member of the group.

    Feed it `tick`, `receive` and `propose`, call `flush` after each, and send
    what is in `outbox`. Nothing is put there before it is durable.

    Attributes:
        instance: This member's name.
        role: What it is at present.
        term: Current term.
        leader: The leader of the term, where known.
        commit_index: Index of the last committed entry.
        last_applied: Index of the last applied entry.
        members: Members by the latest configuration in the log.
        outbox: Messages to send, with their receivers.
        results: Results of applied commands by index, with the term.
        snapshot_index: Last entry of the latest snapshot.
    """

    def __init__(self,
                 now: float,
                 instance: str,
                 store: storage.Storage,
                 machine: StateMachine,
                 initial_members: Members,
                 rng: random.Random,
                 timing: Timing,
                 *,
                 external_promotion: bool = False) -> None:
        """Reads the state back.

        Args:
            now: Time in seconds.
            instance: This member's name.
            store: Its storage.
            machine: What the log is applied to.
            initial_members: Members of a group that starts for the first time.
            rng: Random source for its timeouts.
            timing: Durations.
            external_promotion: Whether somebody else decides who gets a vote; if not, a
                member gets one as soon as it has caught up.
        """
        persisted = store.load()
        self.instance = instance
        self.role = Role.FOLLOWER
        self.term = persisted.vote.term
        self.leader: str | None = None
        self.commit_index = 0
        self.last_applied = 0
        self.outbox: list[tuple[str, messages.Message]] = []
        self.results: list[tuple[int, int, object]] = []
        self.snapshot_index = 0
        self._snapshot_term = 0
        self._voted_for = persisted.vote.voted_for
        self._log = persisted.entries
        self._pending: list[messages.Entry] = []
        self._storage = store
        self._machine = machine
        self._rng = rng
        self._timing = timing
        self._external_promotion = external_promotion
        self._votes: set[str] = set()
        self._progress_by_member: dict[str, _Progress] = {}
        self._leader_contact_at = now
        self._quorum_confirmed_at = -math.inf
        self._election_deadline = 0.0
        self._current_term_committed = False
        self._base_members = dict(initial_members)
        self._members_decoder = msgspec.msgpack.Decoder(Members)
        if persisted.snapshot is not None:
            self._install_snapshot(persisted.snapshot)
        self.members: Members = {}
        self._members_index = 0
        self._update_members()
        # Nobody may lead yet; a leader that does is not disturbed by the
        # question before an election.
        self._election_deadline = now + self._timing.min_election_timeout_s * _FIRST_ELECTION_TIMEOUT_FACTOR * (
            1.0 + self._rng.random())

    # The log.

    @property
    def last_index(self) -> int:
        """Index of the last durable entry."""
        return self._log[-1].index if self._log else self.snapshot_index

    @property
    def log_length(self) -> int:
        """Entries that are not covered by the snapshot."""
        return len(self._log)

    @property
    def log_bytes(self) -> int:
        """Size of their commands."""
        return sum(len(entry.data) for entry in self._log)

    def _entry_at(self, index: int) -> messages.Entry:
        return self._log[index - self.snapshot_index - 1]

    def _term_at(self, index: int) -> int:
        if index == self.snapshot_index:
            return self._snapshot_term
        if index < self.snapshot_index or index > self.last_index:
            return -1
        return self._entry_at(index).term

    def _update_members(self) -> None:
        """Takes the latest configuration, committed or not."""
        for entry in reversed(self._log):
            if entry.kind is messages.EntryKind.MEMBERS:
                self.members = self._members_decoder.decode(entry.data)
                self._members_index = entry.index
                return
        self.members = dict(self._base_members)
        self._members_index = self.snapshot_index

    def _members_at(self, index: int) -> Members:
        for entry in reversed(self._log):
            if (entry.index <= index and
                    entry.kind is messages.EntryKind.MEMBERS):
                return self._members_decoder.decode(entry.data)
        return dict(self._base_members)

    def _install_snapshot(self, snapshot: messages.Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self.snapshot_index = snapshot.index
        self._snapshot_term = snapshot.term
        self._base_members = dict(snapshot.members)
        self.commit_index = max(self.commit_index, snapshot.index)
        self.last_applied = snapshot.index

    def compact(self) -> None:
        """Replaces the applied part of the log by a snapshot."""
        if self.last_applied <= self.snapshot_index:
            return
        snapshot = messages.Snapshot(self.last_applied,
                                     self._term_at(self.last_applied),
                                     self._members_at(self.last_applied),
                                     self._machine.snapshot())
        remaining = self._log[self.last_applied - self.snapshot_index:]
        self._storage.save_snapshot(snapshot, remaining)
        self._log = remaining
        self.snapshot_index = snapshot.index
        self._snapshot_term = snapshot.term
        self._base_members = dict(snapshot.members)

    # Time.

    def _reset_election_timer(self, now: float) -> None:
        self._election_deadline = now + self._timing.min_election_timeout_s * (
            1.0 + self._rng.random())

    def _is_voter(self) -> bool:
        member = self.members.get(self.instance)
        return member is not None and member.voter

    def _voters(self) -> list[str]:
        return [name for name, member in self.members.items() if member.voter]

    def _quorum(self) -> int:
        return len(self._voters()) // 2 + 1

    def tick(self, now: float) -> None:
        """Starts elections, sends heartbeats, checks the quorum."""
        if self.role is Role.LEADER:
            if now - self._quorum_acked_at(
                    now) > 2 * self._timing.min_election_timeout_s:
                self._step_down(now, self.term, None)
                return
            self._send_heartbeats(now)
            if not self._external_promotion:
                self._promote_learner(now)
            return
        if now >= self._election_deadline and self._is_voter():
            self._campaign(now, pre_vote=True)

    def _quorum_acked_at(self, now: float) -> float:
        """When the leader sent what a quorum has answered, its own clock."""
        ack_times = [
            now if name == self.instance else
            self._progress_by_member[name].acked_at for name in self._voters()
        ]
        if not ack_times:
            return -math.inf
        ack_times.sort(reverse=True)
        return ack_times[self._quorum() - 1]

    def quorum_confirmed_at(self, now: float) -> float:
        """When a quorum last confirmed that the applied state is current.

        Returns:
            Seconds on this member's clock; minus infinity for never.
        """
        if self.role is not Role.LEADER:
            return self._quorum_confirmed_at
        if not self._current_term_committed or self.last_applied < self.commit_index:
            return -math.inf
        return self._quorum_acked_at(now)

    # Elections.

    def _campaign(self, now: float, pre_vote: bool) -> None:
        self._reset_election_timer(now)
        self.leader = None
        if not pre_vote:
            self.term += 1
            self._voted_for = self.instance
            self._storage.save_vote(messages.Vote(self.term, self.instance))
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self._votes = {self.instance}
        request = messages.VoteRequest(self.term + (1 if pre_vote else 0),
                                       pre_vote, self.last_index,
                                       self._term_at(self.last_index))
        for name in self._voters():
            if name != self.instance:
                self.outbox.append((name, request))
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        voters = set(self._voters())
        if len(self._votes & voters) < self._quorum():
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre_vote=False)
            return
        self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.instance
        self._current_term_committed = False
        self._progress_by_member = {}
        self._sync_progress(now)
        for progress in self._progress_by_member.values():
            # The clock of check-quorum starts with the term.
            progress.acked_at = now
        self._pending = []
        self._enqueue(messages.EntryKind.NOOP, b"")
        self.flush(now)

    def _sync_progress(self, now: float) -> None:
        for name in self.members:
            if name != self.instance and name not in self._progress_by_member:
                self._progress_by_member[name] = _Progress(
                    self.last_index + 1, now)
        for name in list(self._progress_by_member):
            if name not in self.members:
                del self._progress_by_member[name]

    def _step_down(self, now: float, term: int, leader: str | None) -> None:
        if term > self.term:
            self.term = term
            self._voted_for = ""
            self._storage.save_vote(messages.Vote(term, ""))
        if self.role is Role.LEADER:
            self._quorum_confirmed_at = -math.inf
            self._reset_election_timer(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self._pending = []

    def _on_vote_request(self, now: float, sender: str,
                         request: messages.VoteRequest) -> None:
        leader_is_alive = (self.role is Role.LEADER or
                           (self.leader is not None and
                            now - self._leader_contact_at
                            < self._timing.min_election_timeout_s))
        if leader_is_alive and request.term > self.term:
            # A live leader is not disturbed by who merely does not hear it.
            self.outbox.append(
                (sender, messages.VoteReply(self.term, request.pre_vote,
                                            False)))
            return
        if request.term > self.term and not request.pre_vote:
            self._step_down(now, request.term, None)
        log_is_up_to_date = (request.last_term,
                             request.last_index) >= (self._term_at(
                                 self.last_index), self.last_index)
        if request.pre_vote:
            granted = log_is_up_to_date and request.term > self.term
            term = request.term if granted else self.term
            self.outbox.append((sender, messages.VoteReply(term, True,
                                                           granted)))
            return
        granted = (log_is_up_to_date and request.term == self.term and
                   self._voted_for in ("", sender) and
                   self.role is not Role.LEADER)
        if granted:
            self.role = Role.FOLLOWER
            self._voted_for = sender
            self._storage.save_vote(messages.Vote(self.term, sender))
            self._reset_election_timer(now)
        self.outbox.append((sender, messages.VoteReply(self.term, False,
                                                       granted)))

    def _on_vote_reply(self, now: float, sender: str,
                       reply: messages.VoteReply) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._step_down(now, reply.term, None)
            return
        if reply.pre_vote:
            if (self.role is not Role.PRE_CANDIDATE or
                    reply.term != self.term + 1):
                return
        elif self.role is not Role.CANDIDATE or reply.term != self.term:
            return
        self._votes.add(sender)
        self._count_votes(now)

    # Replication.

    def _enqueue(self, kind: messages.EntryKind, data: bytes) -> int:
        index = self.last_index + len(self._pending) + 1
        self._pending.append(messages.Entry(index, self.term, kind, data))
        return index

    def propose(self, data: bytes) -> tuple[int, int] | None:
        """Queues a command for the next `flush`.

        Returns:
            Its index and term, or None where this member does not lead.
        """
        if self.role is not Role.LEADER:
            return None
        return self._enqueue(messages.EntryKind.COMMAND, data), self.term

    def propose_members(self, members: Members) -> tuple[int, int]:
        """Queues a change of membership.

        Raises:
            errors.ApricothingeError: It is not the leader's to make now.
        """
        if self.role is not Role.LEADER:
            raise errors.ApricothingeError(errors.Kind.NOT_LEADER,
                                           self.leader or "")
        pending = any(
            entry.kind is messages.EntryKind.MEMBERS for entry in self._pending)
        if (pending or self._members_index > self.commit_index or
                not self._current_term_committed):
            raise errors.ApricothingeError(
                errors.Kind.MEMBERSHIP_REFUSED,
                "another change of membership is in progress")
        old_voters = set(self._voters())
        new_voters = {name for name, member in members.items() if member.voter}
        if len(old_voters ^ new_voters) > 1 or not new_voters:
            raise errors.ApricothingeError(
                errors.Kind.MEMBERSHIP_REFUSED,
                "one voter at a time, and never the last one")
        index = self._enqueue(messages.EntryKind.MEMBERS,
                              msgspec.msgpack.encode(members))
        return index, self.term

    def may_change_members(self) -> bool:
        """Tells whether this member leads and no change is in progress."""
        return (self.role is Role.LEADER and self._current_term_committed and
                self._members_index <= self.commit_index and not self._pending)

    def _promote_learner(self, now: float) -> None:
        """Gives a vote to a member that has caught up."""
        if not self.may_change_members():
            return
        for name, member in self.members.items():
            if not member.voter and self.is_caught_up(now, name):
                new_members = dict(self.members)
                new_members[name] = msgspec.structs.replace(member, voter=True)
                self.propose_members(new_members)
                self.flush(now)
                return

    def last_contact_age_s(self, now: float) -> dict[str, float]:
        """Seconds since each member, by name, answered or was added."""
        ages = {
            name: now - max(progress.acked_at, progress.added_at)
            for name, progress in self._progress_by_member.items()
        }
        ages[self.instance] = 0.0
        return ages

    def is_caught_up(self, now: float, name: str) -> bool:
        """Tells whether a member answers and has nearly the whole log."""
        progress = self._progress_by_member.get(name)
        if progress is None:
            return False
        recently_acked = now - progress.acked_at < self._timing.min_election_timeout_s
        return recently_acked and progress.match_index + _MAX_CAUGHT_UP_LAG >= self.last_index

    def record_disk_id(self, name: str, disk_id: str) -> None:
        """Binds a member to the data folder that it was first heard with."""
        member = self.members.get(name)
        if member is None or member.disk_id or not self.may_change_members():
            return
        new_members = dict(self.members)
        new_members[name] = msgspec.structs.replace(member, disk_id=disk_id)
        self.propose_members(new_members)

    def flush(self, now: float) -> None:
        """Makes queued entries durable and sends them."""
        if not self._pending or self.role is not Role.LEADER:
            return
        entries, self._pending = self._pending, []
        self._storage.append(entries, None)
        self._log += entries
        if any(entry.kind is messages.EntryKind.MEMBERS for entry in entries):
            self._update_members()
            self._sync_progress(now)
        self._advance_commit(now)
        for name in self._progress_by_member:
            self._send_append(now, name)

    def _send_heartbeats(self, now: float) -> None:
        for name, progress in self._progress_by_member.items():
            if now - progress.sent_at >= self._timing.heartbeat_interval_s:
                self._send_append(now, name)

    def _send_append(self, now: float, name: str) -> None:
        progress = self._progress_by_member[name]
        progress.sent_at = now
        if progress.next_index <= self.snapshot_index:
            if now - progress.snapshot_sent_at < _SNAPSHOT_RESEND_INTERVAL_S:
                return
            progress.snapshot_sent_at = now
            snapshot = messages.Snapshot(self.last_applied,
                                         self._term_at(self.last_applied),
                                         self._members_at(self.last_applied),
                                         self._machine.snapshot())
            self.outbox.append(
                (name, messages.SnapshotRequest(self.term, snapshot, now)))
            return
        first = progress.next_index - self.snapshot_index - 1
        entries = self._log[first:first + _MAX_ENTRIES_PER_APPEND]
        prev_index = progress.next_index - 1
        confirmed_at = self.quorum_confirmed_at(now)
        quorum_age_s = now - confirmed_at if confirmed_at > -math.inf else -1.0
        self.outbox.append(
            (name,
             messages.AppendRequest(self.term, prev_index,
                                    self._term_at(prev_index), entries,
                                    self.commit_index, now,
                                    progress.peer_sent_at, quorum_age_s)))
        # Sent on in the hope that it arrives; a refusal sets it back.
        progress.next_index += len(entries)

    def _on_append(self, now: float, sender: str,
                   request: messages.AppendRequest) -> None:
        if request.term < self.term:
            self.outbox.append((sender,
                                messages.AppendReply(self.term, False, 0,
                                                     request.sent_at, now)))
            return
        self._accept_leader(now, sender, request.term)
        prev_index = request.prev_index
        entries = request.entries
        if prev_index < self.snapshot_index:
            entries = [
                entry for entry in entries if entry.index > self.snapshot_index
            ]
            prev_index = min(self.snapshot_index,
                             request.prev_index + len(request.entries))
        elif self._term_at(prev_index) != request.prev_term:
            hint = min(self.last_index, prev_index - 1)
            self.outbox.append((sender,
                                messages.AppendReply(self.term, False, hint,
                                                     request.sent_at, now)))
            return
        self._append_missing_entries(entries)
        match_index = request.prev_index + len(request.entries)
        self._commit_and_apply(now, min(request.commit_index, match_index))
        if (request.echoed_sent_at >= 0 and request.quorum_age_s >= 0 and
                self.last_applied >= request.commit_index):
            self._quorum_confirmed_at = max(
                self._quorum_confirmed_at,
                request.echoed_sent_at - request.quorum_age_s)
        self.outbox.append((sender,
                            messages.AppendReply(self.term, True, match_index,
                                                 request.sent_at, now)))

    def _accept_leader(self, now: float, leader: str, term: int) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(now, term, leader)
        self.leader = leader
        self._leader_contact_at = now
        self._reset_election_timer(now)

    def _append_missing_entries(self, entries: list[messages.Entry]) -> None:
        """Adds what is new, dropping a tail that disagrees."""
        missing = [
            entry for entry in entries
            if self._term_at(entry.index) != entry.term
        ]
        if not missing:
            return
        first = missing[0].index
        missing = [entry for entry in entries if entry.index >= first]
        overlap = first <= self.last_index
        self._storage.append(missing, first if overlap else None)
        if overlap:
            del self._log[first - self.snapshot_index - 1:]
        self._log += missing
        self._update_members()

    def _on_append_reply(self, now: float, sender: str,
                         reply: messages.AppendReply) -> None:
        if reply.term > self.term:
            self._step_down(now, reply.term, None)
            return
        progress = self._progress_by_member.get(sender)
        if (self.role is not Role.LEADER or progress is None or
                reply.term < self.term):
            return
        progress.acked_at = max(progress.acked_at, reply.echoed_sent_at)
        progress.peer_sent_at = max(progress.peer_sent_at, reply.sent_at)
        if not reply.success:
            progress.next_index = max(progress.match_index,
                                      reply.match_index) + 1
            self._send_append(now, sender)
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        before = self.commit_index
        self._advance_commit(now)
        if progress.next_index <= self.last_index or self.commit_index > before:
            for name in self._progress_by_member:
                if name == sender or self.commit_index > before:
                    self._send_append(now, name)

    def _advance_commit(self, now: float) -> None:
        matches = [
            self.last_index if name == self.instance else
            self._progress_by_member[name].match_index
            for name in self._voters()
        ]
        if not matches:
            return
        matches.sort(reverse=True)
        index = matches[self._quorum() - 1]
        if index > self.commit_index and self._term_at(index) == self.term:
            self._current_term_committed = True
            self._commit_and_apply(now, index)

    def _commit_and_apply(self, now: float, index: int) -> None:
        """Commits and applies up to an index."""
        self.commit_index = max(self.commit_index, index)
        while self.last_applied < self.commit_index:
            entry = self._entry_at(self.last_applied + 1)
            result: object = None
            if entry.kind is messages.EntryKind.COMMAND:
                result = self._machine.apply(entry.data)
            self.last_applied = entry.index
            self.results.append((entry.index, entry.term, result))
        if (self.role is Role.LEADER and not self._is_voter() and
                self._members_index <= self.commit_index):
            self._step_down(now, self.term, None)

    # Snapshots.

    def _on_snapshot(self, now: float, sender: str,
                     request: messages.SnapshotRequest) -> None:
        if request.term < self.term:
            self.outbox.append(
                (sender, messages.SnapshotReply(self.term, 0, request.sent_at)))
            return
        self._accept_leader(now, sender, request.term)
        snapshot = request.snapshot
        if snapshot.index > self.commit_index:
            remaining: list[messages.Entry] = []
            if self._term_at(snapshot.index) == snapshot.term:
                remaining = [
                    entry for entry in self._log if entry.index > snapshot.index
                ]
            self._storage.save_snapshot(snapshot, remaining)
            self._log = remaining
            self._install_snapshot(snapshot)
            self._update_members()
        self.outbox.append(
            (sender,
             messages.SnapshotReply(self.term,
                                    max(snapshot.index, self.commit_index),
                                    request.sent_at)))

    def _on_snapshot_reply(self, now: float, sender: str,
                           reply: messages.SnapshotReply) -> None:
        if reply.term > self.term:
            self._step_down(now, reply.term, None)
            return
        progress = self._progress_by_member.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.acked_at = max(progress.acked_at, reply.echoed_sent_at)
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = progress.match_index + 1
        self._advance_commit(now)

    # Input.

    def receive(self, now: float, sender: str,
                message: messages.Message) -> None:
        """Takes in a message of another member."""
        if isinstance(message, messages.VoteRequest):
            self._on_vote_request(now, sender, message)
        elif isinstance(message, messages.VoteReply):
            self._on_vote_reply(now, sender, message)
        elif isinstance(message, messages.AppendRequest):
            self._on_append(now, sender, message)
        elif isinstance(message, messages.AppendReply):
            self._on_append_reply(now, sender, message)
        elif isinstance(message, messages.SnapshotRequest):
            self._on_snapshot(now, sender, message)
        else:
            self._on_snapshot_reply(now, sender, message)
