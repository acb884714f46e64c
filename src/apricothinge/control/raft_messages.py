"""What the members of the control group say to each other and keep."""

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
    """What an entry of the log is for."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the group.

    Attributes:
        address: Where it takes calls of the group.
        failure_domain: Where it is.
        voter: False while it only catches up.
        disk_id: Names its data folder; empty until it was first heard.
    """

    address: settings.Address
    failure_domain: str
    voter: bool
    disk_id: str = ""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; `data` depends on `kind`."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """What a member must remember before it answers."""

    term: int
    voted_for: str


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state up to an entry, in place of the log before it."""

    index: int
    term: int
    members: dict[str, Member]
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks for a vote, or with `pre_vote` whether one would be given."""

    term: int
    pre_vote: bool
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers a VoteRequest; `term` repeats the asked one if granted."""

    term: int
    pre_vote: bool
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Entries or a heartbeat from the leader.

    Attributes:
        term: The leader's term.
        prev_index: Index of the entry before `entries`.
        prev_term: Its term.
        entries: What follows it.
        commit_index: The leader's commit index.
        sent_at: The leader's clock in seconds, to be echoed.
        echoed_sent_at: The receiver's clock in seconds as last heard; negative: none.
        quorum_age_s: Seconds since a quorum confirmed the leader; negative: never.
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
        success: Whether the entry before was there.
        match_index: Last index known to agree; with `success` false, where to try next.
        echoed_sent_at: The leader's `sent_at`.
        sent_at: The follower's clock in seconds, to be echoed.
    """

    term: int
    success: bool
    match_index: int
    echoed_sent_at: float
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The leader's snapshot for a member whose entries are compacted."""

    term: int
    snapshot: Snapshot
    sent_at: float


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answers a SnapshotRequest."""

    term: int
    match_index: int
    echoed_sent_at: float


Message = Union[VoteRequest, VoteReply, AppendRequest, AppendReply,
                SnapshotRequest, SnapshotReply]
