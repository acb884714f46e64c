"""RPC messages between control instances, nodes and the command line."""

from typing import Union

import msgspec

from apricothinge import lists
from apricothinge import settings
from apricothinge.control import machine
from apricothinge.control import raft_messages
from apricothinge.overload import claims
from apricothinge.rates import shares

__all__ = [
    "Ack", "Applied", "Apply", "AskStatus", "Batch", "ChangeMembers",
    "ClaimAnswer", "ClaimRequest", "CrashSuspect", "Delta", "Failure",
    "GetLists", "Lists", "MemberStatus", "MembersAnswer", "NodeHeartbeat",
    "NodeRow", "Reply", "Report", "Request", "Status", "Update", "ViewUpdate"
]


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Raft messages from one member to another.

    Attributes:
        sender: Instance of the sending member.
        disk: Identifier of the data folder of the sender.
        messages: Messages in the order of sending.
        receiver: Instance of the receiving member; empty if the sender is of
            a version that does not name it.
        address: Address of the sender, or None if the sender does not know it.
    """

    sender: str
    disk: str
    messages: list[raft_messages.Message]
    receiver: str = ""
    address: settings.Address | None = None


class Ack(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledges a Batch or a ViewUpdate.

    Attributes:
        wrong_disk: Whether the batch was rejected, because the sender has
            another data folder than the one it joined the group with.
    """

    wrong_disk: bool = False


class NodeRow(msgspec.Struct, frozen=True, array_like=True):
    """State that a node reports of itself and of its local upstream.

    Attributes:
        instance: Instance of the node.
        incarnation: Increases with each start of the node.
        sequence: Increases with each change of the row.
        failure_domain: Failure domain of the node.
        region: Region of the failure domain.
        peer: Address at which other nodes reach the node.
        service: Service of the upstream; empty if there is none.
        up: Whether the upstream accepts calls.
        draining: Whether the upstream accepts no new calls.
        stopping: Whether the node is shutting down.
    """

    instance: str
    incarnation: int
    sequence: int
    failure_domain: str
    region: str
    peer: settings.Address
    service: str
    up: bool
    draining: bool
    stopping: bool

    @property
    def process_id(self) -> str:
        """Identifies one incarnation of the node."""
        return f"{self.instance}:{self.incarnation}"


class NodeHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Frequently changing state of a node, relayed between members only.

    Attributes:
        age_s: Seconds since the latest report of the node.
        revision: Revision of the lists that the node uses.
        demand: Requests per second offered to the node, by organisation.
    """

    age_s: float
    revision: int
    demand: dict[str, float]


class CrashSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in flight when an upstream crashed.

    Attributes:
        fingerprint: Identifies the request.
        crash_id: Identifies the crash.
    """

    fingerprint: str
    crash_id: str


class ViewUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Update on the nodes attached to one member, for another member.

    Attributes:
        sender: Instance of the sending member.
        rows: Rows that have changed.
        heartbeats: Heartbeats of all attached nodes, by instance.
        crash_suspects: New crash suspects.
    """

    sender: str
    rows: list[NodeRow]
    heartbeats: dict[str, NodeHeartbeat]
    crash_suspects: list[CrashSuspect]


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Report of a node on its stream.

    Attributes:
        sequence: Increases with each report; echoed by updates.
        revision: Revision of the lists that the node uses.
        share_revision: Revision of the shares that the node uses.
        row: Row of the node if it has changed; always in the first report.
        demand: Requests per second by organisation, if they have changed.
        crash_suspects: New crash suspects.
    """

    sequence: int
    revision: int
    share_revision: int
    row: NodeRow | None
    demand: dict[str, float] | None
    crash_suspects: list[CrashSuspect]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Difference between two revisions of the lists.

    Attributes:
        since: Revision that the difference applies to.
        revision: Revision that it results in.
        organisations_version: Version of the organisations after it.
        organisations: New and changed organisations.
        removed: Removed organisations.
        plans: All plans if they have changed.
    """

    since: int
    revision: int
    organisations_version: int
    organisations: dict[str, lists.Organisation]
    removed: list[str]
    plans: lists.Plans | None


class Update(msgspec.Struct, frozen=True, array_like=True):
    """Update of a control instance on the stream of a node.

    Attributes:
        echo: Sequence of the latest report received.
        age_s: Seconds since a quorum confirmed the state of the control
            instance; negative if none has.
        revision: Revision of the lists after this update.
        full: Complete lists, if no difference is available.
        delta: Difference from the previous revision of the lists.
        share_revision: Revision of the shares after this update.
        shares: All shares of each organisation whose shares have changed.
        rows: Rows that have changed.
        removed: Instances that have timed out.
        complete: Whether `rows` holds all nodes, as in the first update.
        crash_suspects: New crash suspects.
    """

    echo: int
    age_s: float
    revision: int
    full: lists.Document | None
    delta: Delta | None
    share_revision: int
    shares: list[shares.Share] | None
    rows: list[NodeRow]
    removed: list[str]
    complete: bool
    crash_suspects: list[CrashSuspect]


class Apply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Request to replace the lists.

    Attributes:
        document: The new lists.
        wait_s: Seconds to wait until all nodes use the new lists.
    """

    document: lists.Document
    wait_s: float


class GetLists(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Request for the current lists."""


class AskStatus(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Request for the status of the group and of all nodes."""


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Request to apply operations on claims."""

    steps: list[machine.ClaimStep]


class ChangeMembers(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Request to add or remove a member.

    An added member becomes a voter once it has caught up.

    Attributes:
        action: "add" or "remove".
        instance: The member.
        address: RPC address; required by "add".
        failure_domain: Failure domain; used by "add".
    """

    action: str
    instance: str
    address: settings.Address | None = None
    failure_domain: str = ""


Request = Union[Apply, GetLists, AskStatus, ClaimRequest, ChangeMembers]


class Failure(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to a request that failed.

    Attributes:
        kind: Code of the error.
        detail: Description of the error.
        leader: RPC address of the leader, if known.
    """

    kind: str
    detail: str
    leader: settings.Address | None = None


class Applied(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to an accepted change of the lists.

    Attributes:
        outcome: Outcome of the first attempt at the change.
        waiting: Live nodes that still use an older revision.
    """

    outcome: machine.Outcome
    waiting: list[str]


class Lists(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply with the current lists and their revision."""

    revision: int
    document: lists.Document


class MemberStatus(msgspec.Struct, frozen=True):
    """Status of one member of the control group."""

    instance: str
    address: str
    failure_domain: str
    voter: bool
    leader: bool


class NodeStatus(msgspec.Struct, frozen=True):
    """Status of one node as known to a control instance."""

    instance: str
    failure_domain: str
    service: str
    up: bool
    draining: bool
    revision: int
    heard_ago_s: float


class Status(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply with the status of the group and of all nodes."""

    instance: str
    role: str
    term: int
    commit: int
    revision: int
    quorum_age_s: float
    members: list[MemberStatus]
    nodes: list[NodeStatus]


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply with the results of the claim operations, in their order."""

    results: list[claims.ClaimResult | None]


class MembersAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply with the members after a change."""

    members: dict[str, raft_messages.Member]


Reply = Union[Failure, Applied, Lists, Status, ClaimAnswer, MembersAnswer]
