"""Raft messages and persisted records of the control group."""

import enum
from typing import Union

import msgspec

from apricothinge import settings

__all__ = [
    "AppendReply", "AppendRequest", "Entry", "EntryKind", "Member", "Message",
    "Snapshot", "SnapshotReply", "SnapshotRequest", "Vote", "VoteReply",
    "VoteRequest"
]


class EntryKind(enum.IntEnum):
    """Type of a log entry, which decides how its data is encoded."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the group.

    Attributes:
        address: Address for messages of the group.
        failure_domain: Failure domain that it runs in.
        voter: Whether it votes and counts towards a quorum; False for a
            learner.
        disk: Id of its data folder; empty until first contact.
        successor: Whether it was started in addition to a complete group, to
            take the place of another member.
    """

    address: settings.Address
    failure_domain: str
    voter: bool
    disk: str = ""
    successor: bool = False


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that created it.
        kind: Type of the entry.
        data: Encoded command or members; empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Current term and vote, persisted before a member answers or campaigns.

    Attributes:
        term: Current term.
        voted_for: Candidate voted for in this term; empty for none.
    """

    term: int
    voted_for: str


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the entry at `index`, in place of the log up to there.

    Attributes:
        index: Index of the last entry covered.
        term: Term of that entry.
        members: Configuration as of that entry.
        data: Serialized state machine.
    """

    index: int
    term: int
    members: dict[str, Member]
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks for a vote, or with `pre_vote` whether one would be granted.

    Attributes:
        term: Term of the election; with `pre_vote` the term after the
            sender's.
        pre_vote: Whether no vote is cast yet.
        last_index: Index of the candidate's last log entry.
        last_term: Term of that entry.
    """

    term: int
    pre_vote: bool
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers a VoteRequest.

    Attributes:
        term: The requested term if granted, otherwise the sender's term.
        pre_vote: Copied from the request.
        granted: Whether the vote is, or would be, granted.
    """

    term: int
    pre_vote: bool
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Log entries from the leader, or a heartbeat if there are none.

    Attributes:
        term: The leader's term.
        prev_index: Index of the entry before `entries`.
        prev_term: Term of that entry.
        entries: Entries after `prev_index`.
        commit_index: The leader's commit index.
        sent_at: Send time on the leader's clock in seconds, to be echoed.
        echoed_sent_at: Latest `sent_at` received from the receiver, on its
            clock; negative for none.
        quorum_age_s: Seconds since a quorum confirmed the leader; negative
            for never.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit_index: int
    sent_at: float
    echoed_sent_at: float
    quorum_age_s: float


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers an AppendRequest.

    Attributes:
        term: The follower's term.
        success: Whether the follower had the entry at `prev_index`.
        match_index: Highest index known to match the leader's log; without
            `success`, the index that the leader should try as `prev_index`.
        echoed_sent_at: The request's `sent_at`.
        sent_at: Send time on the follower's clock in seconds, to be echoed.
    """

    term: int
    success: bool
    match_index: int
    echoed_sent_at: float
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Snapshot for a member that needs entries compacted at the leader.

    Attributes:
        term: The leader's term.
        snapshot: The whole snapshot.
        sent_at: Send time on the leader's clock in seconds, to be echoed.
    """

    term: int
    snapshot: Snapshot
    sent_at: float


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers a SnapshotRequest.

    Attributes:
        term: The follower's term.
        match_index: Highest index known to match the leader's log.
        echoed_sent_at: The request's `sent_at`.
    """

    term: int
    match_index: int
    echoed_sent_at: float


Message = Union[VoteRequest, VoteReply, AppendRequest, AppendReply,
                SnapshotRequest, SnapshotReply]
