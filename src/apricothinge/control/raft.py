"""Raft consensus, without network IO or timers of its own.

Implements Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm" (2014), with pre-vote, check-quorum, learners and single-server
membership changes. The leader refuses a membership change until it has
committed an entry of its own term; without this, single-server changes started
under different leaders can produce two disjoint majorities.
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
# Entries that a learner may lack and still count as caught up.
_MAX_CAUGHT_UP_LAG: Final = 16
_SNAPSHOT_RESEND_INTERVAL_S: Final = 1.0
# Scales the first election timeout after a start.
_FIRST_TIMEOUT_FACTOR: Final = 0.35

Members = dict[str, messages.Member]


class Role(enum.Enum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing:
    """Timing parameters, in seconds.

    Attributes:
        heartbeat_interval_s: Time without a message to a member after which
            the leader sends it a heartbeat.
        min_election_timeout_s: Shortest election timeout; each timeout is
            drawn between this and twice this value.
    """

    __slots__ = ("heartbeat_interval_s", "min_election_timeout_s")

    def __init__(self,
                 heartbeat_interval_s: float = 0.1,
                 min_election_timeout_s: float = 0.6) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.min_election_timeout_s = min_election_timeout_s


class StateMachine(abc.ABC):
    """Replicated state, changed only by applying committed commands."""

    @abc.abstractmethod
    def apply(self, data: bytes) -> object:
        """Applies a committed command and returns its result."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Serializes the whole state."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replaces the whole state by a serialized one."""


class _Progress:
    """Replication progress of another member, as seen by the leader.

    All times but `peer_sent_at` are on the leader's clock.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index known to be replicated.
        acked_at: Send time of the latest request that was acknowledged.
        sent_at: Send time of the latest request.
        peer_sent_at: Latest send time received from the member, on its clock;
            negative for none.
        snapshot_sent_at: Send time of the latest snapshot.
        added_at: When the leader started to track the member.
        elected_at: When the leader was elected by a group with the member;
            minus infinity if it was added later.
    """

    __slots__ = ("next_index", "match_index", "acked_at", "sent_at",
                 "peer_sent_at", "snapshot_sent_at", "added_at", "elected_at")

    def __init__(self, next_index: int, now: float) -> None:
        self.added_at = now
        self.elected_at = -math.inf
        self.next_index = next_index
        self.match_index = 0
        self.acked_at = -math.inf
        self.sent_at = -math.inf
        self.peer_sent_at = -1.0
        self.snapshot_sent_at = -math.inf

    @property
    def confirmed_at(self) -> float:
        """When the member last confirmed the leader, by its election at first."""
        return max(self.elected_at, self.acked_at)


class _LeaderContact:
    """What a member knows from its latest leader.

    All times are on the member's clock.

    Attributes:
        at: When the leader was last heard, or the member was started.
        leader: Its name; None before the first message, and once this member
            was elected after it.
        quorum_confirmed_at: When a quorum is known to have last confirmed the
            applied state as current; minus infinity for never.
    """

    __slots__ = ("at", "leader", "quorum_confirmed_at")

    def __init__(self, now: float) -> None:
        self.at = now
        self.leader: str | None = None
        self.quorum_confirmed_at = -math.inf


class Raft:
    """State machine of the consensus protocol for one member.

    The caller passes in time, messages and commands with `tick`, `receive` and
    `propose`, calls `flush` after each, and sends the messages in `outbox`. A
    message is added there only once the state that it reports is durable.

    Attributes:
        instance: This member's name.
        role: Role in the current term.
        term: Current term.
        leader: Leader of the term, or None if unknown.
        commit_index: Index of the last committed entry.
        last_applied: Index of the last applied entry.
        members: Members by the latest configuration in the log, committed or
            not.
        outbox: Receiver and message of each message to send.
        results: Index, term and result of each newly applied entry.
        snapshot_index: Index of the last entry covered by the snapshot.
        gone_members: Names of members that are known to have lost their disk;
            maintained by the caller.
    """

    def __init__(self,
                 now: float,
                 instance: str,
                 store: storage.Storage,
                 state_machine: StateMachine,
                 initial_members: Members,
                 rng: random.Random,
                 timing: Timing,
                 *,
                 external_promotion: bool = False) -> None:
        """Restores the persisted state.

        Args:
            now: Time in seconds.
            instance: This member's name.
            store: Storage of this member.
            state_machine: State that the log is applied to.
            initial_members: Members used until the log or a snapshot has a
                configuration.
            rng: Random source for election timeouts.
            timing: Timing parameters.
            external_promotion: Whether the caller promotes learners to
                voters; otherwise the leader does once they have caught up.
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
        self.gone_members: set[str] = set()
        self._snapshot_term = 0
        self._voted_for = persisted.vote.voted_for
        self._log = persisted.entries
        self._pending: list[messages.Entry] = []
        self._storage = store
        self._state_machine = state_machine
        self._rng = rng
        self._timing = timing
        self._external_promotion = external_promotion
        self._votes: set[str] = set()
        self._progress_by_member: dict[str, _Progress] = {}
        self._contact = _LeaderContact(now)
        self._election_deadline = 0.0
        self._current_term_committed = False
        self._base_members = dict(initial_members)
        self._members_decoder = msgspec.msgpack.Decoder(Members)
        if persisted.snapshot is not None:
            self._install_snapshot(persisted.snapshot)
        self.members: Members = {}
        self._members_index = 0
        self._update_members()
        # The group may have no leader yet, so the first timeout is short. If
        # there is one, pre-vote keeps this member from disrupting it.
        self._election_deadline = now + (self._timing.min_election_timeout_s *
                                         _FIRST_TIMEOUT_FACTOR *
                                         (1.0 + self._rng.random()))

    # Log.

    @property
    def last_index(self) -> int:
        """Index of the last durable entry."""
        return self._log[-1].index if self._log else self.snapshot_index

    @property
    def log_length(self) -> int:
        """Number of entries after the snapshot."""
        return len(self._log)

    @property
    def log_bytes(self) -> int:
        """Total size of the data of the entries after the snapshot."""
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
        """Sets `members` to the latest configuration, committed or not."""
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
        self._state_machine.restore(snapshot.data)
        self.snapshot_index = snapshot.index
        self._snapshot_term = snapshot.term
        self._base_members = dict(snapshot.members)
        self.commit_index = max(self.commit_index, snapshot.index)
        self.last_applied = snapshot.index

    def compact(self) -> None:
        """Takes a snapshot and drops the applied entries from the log."""
        if self.last_applied <= self.snapshot_index:
            return
        snapshot = messages.Snapshot(self.last_applied,
                                     self._term_at(self.last_applied),
                                     self._members_at(self.last_applied),
                                     self._state_machine.snapshot())
        remaining = self._log[self.last_applied - self.snapshot_index:]
        self._storage.save_snapshot(snapshot, remaining)
        self._log = remaining
        self.snapshot_index = snapshot.index
        self._snapshot_term = snapshot.term
        self._base_members = dict(snapshot.members)

    # Timers.

    def _reset_election_timer(self, now: float) -> None:
        self._election_deadline = now + self._timing.min_election_timeout_s * (
            1.0 + self._rng.random())

    def _is_voter(self) -> bool:
        member = self.members.get(self.instance)
        return member is not None and member.voter

    def _voters(self) -> list[str]:
        return [name for name, member in self.members.items() if member.voter]

    def _counted_voters(self) -> list[str]:
        """Returns the voters that decide by majority.

        Of an even number, 2m, one that is gone for good is left out. Each
        majority of the 2m voters contains m of the other 2m - 1, and so one of
        any majority of these.
        """
        voters = self._voters()
        if len(voters) % 2:
            return voters
        gone = min(self.gone_members.intersection(voters), default=None)
        return [name for name in voters if name != gone]

    def _quorum(self) -> int:
        return len(self._counted_voters()) // 2 + 1

    def tick(self, now: float) -> None:
        """Handles timeouts.

        A leader sends heartbeats, and steps down if no quorum has acknowledged
        it for twice the shortest election timeout. Any other voter starts an
        election once its election timeout expires.
        """
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
        """Returns the latest send time that a quorum has acknowledged.

        It is a time on the leader's clock; the leader counts as having
        acknowledged `now`, and the others their votes.
        """
        ack_times = [
            now if name == self.instance else
            self._progress_by_member[name].confirmed_at
            for name in self._counted_voters()
        ]
        if not ack_times:
            return -math.inf
        ack_times.sort(reverse=True)
        return ack_times[self._quorum() - 1]

    def quorum_confirmed_at(self, now: float) -> float:
        """Returns when a quorum last confirmed the applied state as current.

        Returns:
            Seconds on this member's clock; minus infinity for never.
        """
        if self.role is not Role.LEADER:
            return self._contact.quorum_confirmed_at
        if (not self._current_term_committed or
                self.last_applied < self.commit_index):
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
        voters = set(self._counted_voters())
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
            progress.elected_at = now
        predecessor = self._progress_by_member.get(self._contact.leader or "")
        if predecessor is not None:
            # It was silent before the election already.
            predecessor.added_at = self._contact.at
        self._contact.leader = None
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
            self._contact.quorum_confirmed_at = -math.inf
            self._reset_election_timer(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self._pending = []

    def _on_vote_request(self, now: float, sender: str,
                         request: messages.VoteRequest) -> None:
        leader_is_alive = (self.role is Role.LEADER or
                           (self.leader is not None and now - self._contact.at
                            < self._timing.min_election_timeout_s))
        if leader_is_alive and request.term > self.term:
            # A member that lost only its own connection to the leader must
            # not depose a leader that the others still hear.
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
            Index and term of its entry, or None if this member is not the
            leader.
        """
        if self.role is not Role.LEADER:
            return None
        return self._enqueue(messages.EntryKind.COMMAND, data), self.term

    def propose_members(self, members: Members) -> tuple[int, int]:
        """Queues a membership change for the next `flush`.

        Returns:
            Index and term of its entry.

        Raises:
            errors.ApricothingeError: NOT_LEADER, or MEMBERSHIP_REFUSED if
                another change is in progress, no entry of this term is
                committed yet, more than one voter would change or none would
                be left.
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
                "a membership change is in progress, or the leader has not"
                " committed an entry of its term yet")
        old_voters = set(self._voters())
        new_voters = {name for name, member in members.items() if member.voter}
        if len(old_voters ^ new_voters) > 1 or not new_voters:
            raise errors.ApricothingeError(
                errors.Kind.MEMBERSHIP_REFUSED,
                "a change may add or remove only one voter and must leave at"
                " least one")
        index = self._enqueue(messages.EntryKind.MEMBERS,
                              msgspec.msgpack.encode(members))
        return index, self.term

    def may_change_members(self) -> bool:
        """Returns whether a membership change may be proposed here now."""
        return (self.role is Role.LEADER and self._current_term_committed and
                self._members_index <= self.commit_index and not self._pending)

    def _promote_learner(self, now: float) -> None:
        """Makes a learner that has caught up a voter."""
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
        """Returns the time since each member's last acknowledgement.

        It counts from the send time of the acknowledged request, or from when
        the member was added or this member was elected if that is later; for
        the previous leader from its last message.

        Returns:
            Seconds by name of the member; 0 for this member.
        """
        ages = {
            name: now - max(progress.acked_at, progress.added_at)
            for name, progress in self._progress_by_member.items()
        }
        ages[self.instance] = 0.0
        return ages

    @property
    def is_committed_learner(self) -> bool:
        """Whether a committed configuration has this member without a vote."""
        return (not self._is_voter() and
                self._members_index <= self.commit_index)

    def tracked_s(self, now: float) -> dict[str, float]:
        """Returns for how many seconds this leader has known each member."""
        seconds = {
            name: now - progress.added_at
            for name, progress in self._progress_by_member.items()
        }
        seconds[self.instance] = max(seconds.values(), default=0.0)
        return seconds

    def is_caught_up(self, now: float, name: str) -> bool:
        """Returns whether a member is responsive and has nearly all entries."""
        progress = self._progress_by_member.get(name)
        if progress is None:
            return False
        recently_acked = (now - progress.acked_at
                          < self._timing.min_election_timeout_s)
        return (recently_acked and
                progress.match_index + _MAX_CAUGHT_UP_LAG >= self.last_index)

    def record_disk_id(self, name: str, disk_id: str) -> None:
        """Binds a member to the data folder it was first seen with.

        Only a leader that may change the membership does so, and never for a
        member that is bound already.
        """
        member = self.members.get(name)
        if member is None or member.disk or not self.may_change_members():
            return
        new_members = dict(self.members)
        new_members[name] = msgspec.structs.replace(member, disk=disk_id)
        self.propose_members(new_members)

    def flush(self, now: float) -> None:
        """Persists the queued entries and sends them to the other members."""
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
                                         self._state_machine.snapshot())
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
        # Pipelining assumes delivery; a rejection resets the index.
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
            self._contact.quorum_confirmed_at = max(
                self._contact.quorum_confirmed_at,
                request.echoed_sent_at - request.quorum_age_s)
        self.outbox.append((sender,
                            messages.AppendReply(self.term, True, match_index,
                                                 request.sent_at, now)))

    def _accept_leader(self, now: float, leader: str, term: int) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(now, term, leader)
        self.leader = leader
        self._contact.leader = leader
        self._contact.at = now
        self._reset_election_timer(now)

    def _append_missing_entries(self, entries: list[messages.Entry]) -> None:
        """Appends missing entries, truncating a conflicting suffix first."""
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
            for name in self._counted_voters()
        ]
        if not matches:
            return
        matches.sort(reverse=True)
        index = matches[self._quorum() - 1]
        if index > self.commit_index and self._term_at(index) == self.term:
            self._current_term_committed = True
            self._commit_and_apply(now, index)

    def _commit_and_apply(self, now: float, index: int) -> None:
        """Advances the commit index and applies the committed entries.

        A leader steps down once a configuration in which it is no voter is
        committed.
        """
        self.commit_index = max(self.commit_index, index)
        while self.last_applied < self.commit_index:
            entry = self._entry_at(self.last_applied + 1)
            result: object = None
            if entry.kind is messages.EntryKind.COMMAND:
                result = self._state_machine.apply(entry.data)
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

    # Dispatch.

    def receive(self, now: float, sender: str,
                message: messages.Message) -> None:
        """Handles a message from another member."""
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
