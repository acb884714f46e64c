"""Messages between the processes of a mesh and their encoding.

A frame is a 4-byte big-endian length and a message in msgpack.
"""

import struct
from typing import Any, Final, Union

import msgspec

from apricothinge.control import raft_messages

__all__ = [
    "Abort", "Attach", "Call", "Cancel", "Costs", "Credit", "Data", "Frame",
    "Hello", "Join", "Joined", "Load", "NodeRow", "Ping", "Pong", "Redirect",
    "Refusal", "Report", "ResponseHead", "Status", "Step", "StepReply",
    "TokenGrant", "TokenLoan", "TokenLoanRequest", "TokenRequest", "Update",
    "UpstreamRow", "Withdraw", "decode", "encode"
]

_LENGTH: Final = struct.Struct(">I")
LENGTH_BYTES: Final = _LENGTH.size
# Far above the few megabytes of a desired state of 20,000 routes.
MAX_FRAME_BYTES: Final = 64 << 20


class _Message(msgspec.Struct, array_like=True, gc=False):
    """Base of all messages, which are encoded as arrays."""


class Hello(_Message, tag=1):
    """The first message in each direction.

    Attributes:
        instance: Name of the sending instance.
        incarnation: Increases with each start of its process.
        known_upstream: The receiver's upstream as it last reported it to the
            sender, if that said something which a restarted receiver needs.
        handles_withdrawals: Whether the sender understands Withdraw; earlier
            versions do not.
    """

    instance: str
    incarnation: int
    known_upstream: "UpstreamRow | None" = None
    handles_withdrawals: bool = False


class Ping(_Message, tag=2):
    """Keepalive probe, answered by a Pong."""


class Pong(_Message, tag=3):
    """Answer to a Ping."""


# Calls between nodes.


class Load(_Message):
    """Utilisation of a node's local upstream.

    Attributes:
        running: Number of running requests.
        queued: Number of requests queued in the node.
        slots: Number of requests that may run concurrently.
        part: Fraction of the demand on its service that fills the upstream.
        rejected: Fraction of the requests that the upstream rejects unrun.
    """

    running: int
    queued: int
    slots: int
    part: float
    rejected: float = 0.0


class Call(_Message, tag=4):
    """Starts a call to the receiving node's local upstream.

    Attributes:
        stream: Identifier of the call on its link, chosen by the caller.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers without the API key.
        request_id: Identifier of the request.
        service: Name of the called service.
        rank: Importance; lower ranks run first. Negative for nested calls.
        idempotent: Whether the request may run more than once.
        remaining_s: Seconds until the deadline.
        objective_s: Latency objective of the route in seconds.
        route: Name of the route.
        fingerprint: Hash that identifies equal requests.
        data: First part of the content.
        length: Length of the content in bytes, or None if unknown.
        complete: Whether `data` is the whole content.
    """

    stream: int
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    request_id: str
    service: str
    rank: int
    idempotent: bool
    remaining_s: float
    objective_s: float
    route: str
    fingerprint: str
    data: bytes
    length: int | None
    complete: bool


class Data(_Message, tag=5):
    """Further content of a request or a response."""

    stream: int
    data: bytes
    last: bool


class Credit(_Message, tag=6):
    """Flow control: permits the receiver to send more content bytes."""

    stream: int
    size: int


class Cancel(_Message, tag=7):
    """Cancels a call whose caller no longer waits for the response."""

    stream: int


class Withdraw(_Message, tag=27):
    """Asks to refuse a call if it still waits for a slot.

    A call that is at the upstream already continues.
    """

    stream: int


class ResponseHead(_Message, tag=8):
    """Start of an upstream's response; the content fields are as in Call."""

    stream: int
    status: int
    headers: list[tuple[bytes, bytes]]
    data: bytes
    length: int | None
    complete: bool
    load: Load


class Refusal(_Message, tag=9):
    """Ends a call with an error instead of a response.

    Attributes:
        stream: Identifier of the call.
        kind: Error code.
        detail: Error detail in one sentence.
        not_run: Whether the request is known not to have run.
        retry_after_s: Seconds after which capacity is expected.
        load: Load after the decision.
    """

    stream: int
    kind: str
    detail: str
    not_run: bool
    retry_after_s: float
    load: Load


class Abort(_Message, tag=10):
    """Ends the content of a request or a response that stays incomplete."""

    stream: int


class Status(_Message, tag=11):
    """State of a node and its upstream, pushed to its peers."""

    upstream: "UpstreamRow | None"
    leaving: bool
    load: Load


class Costs(_Message, tag=22):
    """Cost of the requests that run at a node, including nested calls.

    Attributes:
        service: Service of the node's upstream.
        by_route: Slot seconds per request by service, by route name.
        calls_by_route: Calls per request by service, by route name.
    """

    service: str
    by_route: dict[str, dict[str, float]]
    calls_by_route: dict[str, dict[str, float]] = {}


# Node table and token distribution.


class UpstreamRow(_Message):
    """An upstream as known to its local node.

    Attributes:
        upstream_id: Identifier of the upstream.
        born: Start time in milliseconds by the upstream's wall clock.
        service: Name of its service.
        slots: Number of requests that it runs concurrently.
        usable: Whether it accepts new requests.
        cold_s: Remaining warm-up time in seconds.
        leaving: Whether it is about to end.
        rate_limit: Requests per second that it takes; 0 for no limit.
    """

    upstream_id: str
    born: int
    service: str
    slots: int
    usable: bool
    cold_s: float
    leaving: bool = False
    rate_limit: float = 0.0


class NodeRow(_Message):
    """A node as known to control.

    Attributes:
        instance: Instance name.
        incarnation: Increases with each start of its process.
        address: "IP:port" on which it accepts links.
        failure_domain: Failure domain of the instance.
        service: Configured service of the instance.
        leaving: Whether it is shutting down.
        upstream: Its local upstream, or None before the first check-in.
    """

    instance: str
    incarnation: int
    address: str
    failure_domain: str
    service: str
    leaving: bool
    upstream: UpstreamRow | None


class Attach(_Message, tag=12):
    """Registers a node with a control instance.

    Attributes:
        row: The node.
        revision: Revision of its desired state, -1 for none.
        tokens_held: Unspent tokens by organisation.
        recent_spends: Spent tokens not yet released, by organisation.
        peers: Names of the nodes that it knows.
    """

    row: NodeRow
    revision: int
    tokens_held: dict[str, int]
    recent_spends: dict[str, int]
    peers: list[str]


class Redirect(_Message, tag=13):
    """Refuses to serve a node and names the control instances to ask instead.

    Attributes:
        leader: "IP:port" of the leader, empty if unknown.
        members: "IP:port" of every member.
    """

    leader: str
    members: list[str]


class Report(_Message, tag=14):
    """Reports the changes at a node to control.

    Attributes:
        sequence: Sequence number of the report.
        row: The node, or None if unchanged.
        revision: Revision of the desired state in force.
        tokens: By organisation, the tokens spent, expired from the window and
            returned unspent since the node attached, and the demand in
            requests per second. Omits unchanged organisations.
        crashes: Pairs of the fingerprint of a request and the identifier of
            the crash during which it was in flight.
        departures: Identifier and start of lifetimes of its upstream which have
            departed, as far as control has not confirmed that it has recorded
            them.
    """

    sequence: int
    row: NodeRow | None
    revision: int
    tokens: dict[str, tuple[int, int, int, float]]
    crashes: list[tuple[str, str]]
    departures: list[tuple[str, int]] = []


class Update(_Message, tag=15):
    """Sends a node the changes that it has not received yet.

    Attributes:
        acknowledged: Sequence number of the latest processed report.
        revision: Revision of the newest desired state.
        document: Compressed desired state, or None if the node has it.
        rows: Nodes that have changed.
        removed: Names of nodes that have left.
        complete: Whether `rows` lists all nodes.
        node_count: Number of nodes in the fleet.
        grants_tokens: Whether the token server is ready to grant tokens.
        members: "IP:port" of every control member.
        crashes: Crash reports from all nodes, as in Report.
        evacuation_revision: Number of changes of `evacuated` so far.
        evacuated: Failure domains whose upstreams get no new requests, each
            with the seconds since the order was accepted.
        departures: Recorded departures of the upstream of the receiving node,
            as in Report; None if unchanged since the last update.
    """

    acknowledged: int
    revision: int
    document: bytes | None
    rows: list[NodeRow]
    removed: list[str]
    complete: bool
    node_count: int
    grants_tokens: bool
    members: list[str]
    crashes: list[tuple[str, str]]
    evacuation_revision: int = 0
    evacuated: dict[str, float] = {}
    departures: list[tuple[str, int]] | None = None


class TokenRequest(_Message, tag=20):
    """Requests tokens for an organisation that a node has exhausted.

    Attributes:
        name: Name of the organisation.
        count: Number of requests that wait for a token.
    """

    name: str
    count: int


class TokenGrant(_Message, tag=21):
    """Grants tokens by organisation; 0 refuses a TokenRequest."""

    by_name: dict[str, int]


# Consensus and membership of control.


class Step(_Message, tag=16):
    """A batch of Raft messages from another member.

    Attributes:
        sender: Name of the sending member.
        disk: Identifier of its data folder.
        messages: Messages in the order of sending.
        receiver: Name of the receiving member, empty if the sender does not
            name it.
        address: "IP:port" of the sender's links, empty if unknown.
        stopping: Whether the sender's process is being stopped.
    """

    sender: str
    disk: str
    messages: list[raft_messages.Message]
    receiver: str = ""
    address: str = ""
    stopping: bool = False


class StepReply(_Message, tag=17):
    """Answers a Step that does not fit.

    Attributes:
        wrong_disk: Whether the sender's disk is not the expected one.
        gone: Name of the intended receiver, if its address belongs to a member
            with another disk now; empty otherwise.
    """

    wrong_disk: bool
    gone: str = ""


class Join(_Message, tag=18):
    """Requests membership for a control instance.

    Attributes:
        name: Name of the instance as stored in its data folder.
        address: "IP:port" on which it accepts links.
        failure_domain: Failure domain of the instance.
        disk: Identifier of its data folder.
        is_added: Whether the instance was started after the group.
    """

    name: str
    address: str
    failure_domain: str
    disk: str
    is_added: bool = False


class Joined(_Message, tag=19):
    """Answers a Join with the membership and the addresses to ask next."""

    member: bool
    leader: str
    members: list[str]


class TokenLoanRequest(_Message, tag=25):
    """Asks a node for tokens, as there are none to get from control.

    Attributes:
        name: Name of the organisation.
        count: Number of tokens.
    """

    name: str
    count: int


class TokenLoan(_Message, tag=26):
    """Answers a TokenLoanRequest; the fields are as there, 0 refuses it.

    The tokens are valid for `rates.loans.LOAN_VALID_S` after the request.
    """

    name: str
    count: int


class StateRequest(_Message, tag=23):
    """Asks a node for the desired state, as control cannot be reached."""


class StateOffer(_Message, tag=24):
    """Answers a StateRequest with what the node itself goes by.

    Attributes:
        revision: Revision of the desired state in force.
        document: Compressed desired state.
        rows: Nodes known to the sender, including itself.
        node_count: Number of nodes in the fleet.
        evacuation_revision: As in Update.
        evacuated: Failure domains whose upstreams get no new requests.
    """

    revision: int
    document: bytes
    rows: list[NodeRow]
    node_count: int
    evacuation_revision: int = 0
    evacuated: list[str] = []


Frame = Union[Hello, Ping, Pong, Call, Data, Credit, Cancel, ResponseHead,
              Refusal, Abort, Status, Attach, Redirect, Report, Update, Step,
              StepReply, Join, Joined, TokenRequest, TokenGrant, Costs,
              StateRequest, StateOffer, TokenLoanRequest, TokenLoan, Withdraw]

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final[Any] = msgspec.msgpack.Decoder(Frame)


def encode(message: Frame) -> bytes:
    """Encodes a message as a frame."""
    body = _ENCODER.encode(message)
    return _LENGTH.pack(len(body)) + body


def frame_length(data: bytes | bytearray, offset: int) -> int:
    """Returns the length of the message whose frame starts at an offset."""
    length: int = _LENGTH.unpack_from(data, offset)[0]
    return length


def decode(body: bytes | memoryview) -> Frame:
    """Decodes a message without its length prefix.

    Raises:
        msgspec.MsgspecError: The bytes are not a known message.
    """
    message: Frame = _DECODER.decode(body)
    return message
