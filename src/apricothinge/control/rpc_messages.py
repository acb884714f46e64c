"""Messages between control instances, nodes and the operators' tool."""

from typing import Union

import msgspec

from apricothinge import lists
from apricothinge import settings
from apricothinge.control import machine
from apricothinge.control import raft_messages
from apricothinge.overload import claims
from apricothinge.rates import shares

__all__ = [
    "Ack", "Apply", "Applied", "AskStatus", "Batch", "ChangeMembers",
    "ClaimAnswer", "ClaimRequest", "CrashSuspect", "Delta", "Failure",
    "GetLists", "Lists", "MemberStatus", "MembersAnswer", "NodeHeartbeat",
    "NodeRow", "Reply", "Report", "Request", "Status", "Update", "ViewUpdate"
]


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Raft messages from one member.

    Attributes:
        sender: Its name.
        disk: Names its data folder.
        messages: In order of sending.
    """

    sender: str
    disk: str
    messages: list[raft_messages.Message]


class Ack(msgspec.Struct, frozen=True, array_like=True):
    """Answers a Batch; `wrong_disk` where the sender lost its disk."""

    wrong_disk: bool = False


class NodeRow(msgspec.Struct, frozen=True, array_like=True):
    """What a node reports of itself and the upstream beside it.

    Attributes:
        instance: The node's instance.
        incarnation: Number of this start of the node; grows.
        sequence: Grows with each change of the row.
        failure_domain: Where it is.
        region: Where its failure domain is.
        peer: Its peer address.
        service: Service of the upstream; empty for none.
        up: Whether the upstream takes calls.
        draining: Whether it takes no new work.
        stopping: Whether the node itself is about to stop.
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
        """Names this start of the node."""
        return f"{self.instance}:{self.incarnation}"


class NodeHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What changes often about a node, and concerns control only.

    Attributes:
        age_s: Seconds since the node was heard.
        revision: Configuration in force there.
        demand: Requests a second that were asked of it, by organisation.
    """

    age_s: float
    revision: int
    demand: dict[str, float]


class CrashSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in flight when an upstream crashed.

    Attributes:
        fingerprint: Names the request.
        crash_id: Names the crash.
    """

    fingerprint: str
    crash_id: str


class ViewUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one control instance tells another of its attached nodes.

    Attributes:
        sender: The control instance.
        rows: Rows that changed.
        heartbeats: All attached nodes, by instance.
        crash_suspects: New crash suspects.
    """

    sender: str
    rows: list[NodeRow]
    heartbeats: dict[str, NodeHeartbeat]
    crash_suspects: list[CrashSuspect]


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a node says on its stream.

    Attributes:
        sequence: Echoed by the update that answers.
        revision: Configuration in force at the node.
        share_revision: Shares in force at the node.
        row: The node's row, when it changed; always in the first report.
        demand: Requests a second by organisation, when it changed.
        crash_suspects: New crash suspects.
    """

    sequence: int
    revision: int
    share_revision: int
    row: NodeRow | None
    demand: dict[str, float] | None
    crash_suspects: list[CrashSuspect]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """How to get from one revision of the lists to a later one.

    Attributes:
        since: Revision that it changes.
        revision: Revision that it leads to.
        organisations_version: Version of the list.
        organisations: New and changed organisations.
        removed: Organisations that are gone.
        plans: The other list, where it changed.
    """

    since: int
    revision: int
    organisations_version: int
    organisations: dict[str, lists.Organisation]
    removed: list[str]
    plans: lists.Plans | None


class Update(msgspec.Struct, frozen=True, array_like=True):
    """What a control instance says on a node's stream.

    Attributes:
        echo: Sequence of the last report.
        age_s: Seconds since a quorum confirmed this instance's state;
            negative for never.
        revision: Revision after this update.
        full: The lists, where no delta will do.
        delta: The change of the lists.
        share_revision: Revision of the shares after this update.
        shares: All shares of the organisations whose shares moved.
        rows: Rows of nodes that changed.
        removed: Instances that have left or were not heard for long.
        complete: Whether `rows` is the whole view, in the first update.
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
    """Asks for a change; `wait_s` over 0 waits until it is in force."""

    document: lists.Document
    wait_s: float


class GetLists(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks for the lists in force."""


class AskStatus(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Asks for the state of the group and of every node."""


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Steps of claims."""

    steps: list[machine.ClaimStep]


class ChangeMembers(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Adds a member to catch up and then vote, or removes one."""

    action: str
    instance: str
    address: settings.Address | None = None
    failure_domain: str = ""


Request = Union[Apply, GetLists, AskStatus, ClaimRequest, ChangeMembers]


class Failure(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A request that was refused; `leader` where another must be asked."""

    kind: str
    detail: str
    leader: settings.Address | None = None


class Applied(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A change that is accepted.

    Attributes:
        outcome: Its first outcome.
        waiting: Nodes that do not have it yet, nor refuse keyed requests.
    """

    outcome: machine.Outcome
    waiting: list[str]


class Lists(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The lists in force and their revision."""

    revision: int
    document: lists.Document


class MemberStatus(msgspec.Struct, frozen=True):
    """One member of the control group."""

    instance: str
    address: str
    failure_domain: str
    voter: bool
    leader: bool


class NodeStatus(msgspec.Struct, frozen=True):
    """One node as the control group sees it."""

    instance: str
    failure_domain: str
    service: str
    up: bool
    draining: bool
    revision: int
    heard_ago_s: float


class Status(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The group and the fleet."""

    instance: str
    role: str
    term: int
    commit: int
    revision: int
    quorum_age_s: float
    members: list[MemberStatus]
    nodes: list[NodeStatus]


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Results of the steps, in their order."""

    results: list[claims.Claim | None]


class MembersAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The members after a change."""

    members: dict[str, raft_messages.Member]


Reply = Union[Failure, Applied, Lists, Status, ClaimAnswer, MembersAnswer]
