"""Length-prefixed msgpack frames and the messages that they carry."""

import struct
from typing import Any, Final, Union

import msgspec

from apricothinge.control import raft_messages

__all__ = [
    "Abort", "AnswerHead", "Attach", "Call", "Cancel", "Costs", "Credit",
    "Data", "Frame", "Hello", "Join", "Joined", "Load", "NodeRow", "Ping",
    "Pong", "Redirect", "Refusal", "Report", "Status", "Step", "StepReply",
    "TokenGrant", "TokenRequest", "Update", "UpstreamRow", "decode", "encode"
]

_LENGTH: Final = struct.Struct(">I")
LENGTH_BYTES: Final = _LENGTH.size
# A desired state of 20,000 routes takes a few megabytes.
MAX_FRAME_BYTES: Final = 64 << 20


class _Message(msgspec.Struct, array_like=True, gc=False):
    """The base of all messages."""


class Hello(_Message, tag=1):
    """The first message in each direction.

    Attributes:
        instance: Who speaks.
        incarnation: Grows with each start of its process.
    """

    instance: str
    incarnation: int


class Ping(_Message, tag=2):
    """Asks for a Pong."""


class Pong(_Message, tag=3):
    """Shows that the other end is alive."""


# Calls between nodes.


class Load(_Message):
    """How full the upstream beside a node is.

    Attributes:
        running: Requests that it runs.
        queued: Requests that wait for it in the node.
        slots: Requests that it may run at once.
        part: Part of the demand on its service at which it would be full.
    """

    running: int
    queued: int
    slots: int
    part: float


class Call(_Message, tag=4):
    """Begins a call to the upstream beside the receiver.

    Attributes:
        stream: Number of the exchange, chosen by the sender.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers without a key.
        request_id: Identity of the request.
        service: Which service is meant.
        rank: Importance, 0 first; nested calls are below 0.
        idempotent: Whether it may run more than once.
        timeout_s: Seconds until its deadline.
        objective_s: Latency objective of its route in seconds.
        route: Name of its route.
        fingerprint: Names the request by what it asks.
        data: The first part of the content.
        length: Bytes of the content, or None where they are not known.
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
    timeout_s: float
    objective_s: float
    route: str
    fingerprint: str
    data: bytes
    length: int | None
    complete: bool


class Data(_Message, tag=5):
    """More content of a request or an answer."""

    stream: int
    data: bytes
    last: bool


class Credit(_Message, tag=6):
    """Lets the other end send more content."""

    stream: int
    size: int


class Cancel(_Message, tag=7):
    """Ends a call whose caller is gone."""

    stream: int


class AnswerHead(_Message, tag=8):
    """The upstream's answer; `data` as in Call."""

    stream: int
    status: int
    headers: list[tuple[bytes, bytes]]
    data: bytes
    length: int | None
    complete: bool
    load: Load


class Refusal(_Message, tag=9):
    """Ends a call without an upstream's answer.

    Attributes:
        stream: Of the call.
        kind: Code of the error.
        detail: One sentence on it.
        not_run: Whether it is proved that nothing ran.
        retry_after_s: Seconds after which room is expected.
        load: As after the decision.
    """

    stream: int
    kind: str
    detail: str
    not_run: bool
    retry_after_s: float
    load: Load


class Abort(_Message, tag=10):
    """Breaks off the content of an answer or a request."""

    stream: int


class Status(_Message, tag=11):
    """What a node tells its peers about its upstream, unasked."""

    upstream: "UpstreamRow | None"
    leaving: bool
    load: Load


class Costs(_Message, tag=22):
    """What requests on the routes that run at a node cost, with their calls.

    Attributes:
        service: Which service runs there.
        by_route: Slot seconds by service, by name of the route.
    """

    service: str
    by_route: dict[str, dict[str, float]]


# The fleet.


class UpstreamRow(_Message):
    """An upstream as the node beside it knows it.

    Attributes:
        upstream_id: Its name.
        born: Its start, in milliseconds of its own time of day.
        service: Which service it is.
        slots: Requests that it runs at once.
        usable: Whether it takes new work.
        cold_s: Seconds for which it is still slow.
    """

    upstream_id: str
    born: int
    service: str
    slots: int
    usable: bool
    cold_s: float


class NodeRow(_Message):
    """A node as control knows it.

    Attributes:
        instance: Name of its machine.
        incarnation: Grows with each start of its process.
        address: "IP:port" where it takes links.
        failure_domain: Where it is.
        service: The service of its machine.
        leaving: Whether it is being stopped.
        upstream: Its upstream, once it has been heard of.
    """

    instance: str
    incarnation: int
    address: str
    failure_domain: str
    service: str
    leaving: bool
    upstream: UpstreamRow | None


class Attach(_Message, tag=12):
    """A node asks a control instance for its state.

    Attributes:
        row: The node.
        revision: The desired state that it has, -1 for none.
        tokens_held: Tokens that it holds, by organisation.
        recent_spends: Tokens that it has spent and not given up yet.
        peers: Names of the nodes that it knows.
    """

    row: NodeRow
    revision: int
    tokens_held: dict[str, int]
    recent_spends: dict[str, int]
    peers: list[str]


class Redirect(_Message, tag=13):
    """A control instance can not serve; where to ask instead.

    Attributes:
        leader: "IP:port" of the leader, empty where unknown.
        members: "IP:port" of every member.
    """

    leader: str
    members: list[str]


class Report(_Message, tag=14):
    """A node tells control what has changed.

    Attributes:
        sequence: Number of the report.
        row: The node, or None where nothing has changed.
        revision: The desired state in force.
        tokens: By organisation the tokens spent, given up a window later and
            returned unspent since it attached, and its demand a second; what
            has not changed is left out.
        crashes: Fingerprints with the crash that they were in flight in.
    """

    sequence: int
    row: NodeRow | None
    revision: int
    tokens: dict[str, tuple[int, int, int, float]]
    crashes: list[tuple[str, str]]


class Update(_Message, tag=15):
    """Control tells a node what it lacks.

    Attributes:
        acknowledged: Latest report taken in.
        revision: The newest desired state.
        document: It, compressed, or None where the node has it.
        rows: Nodes that have changed.
        removed: Names of nodes that have left.
        complete: Whether `rows` are all nodes.
        node_count: How many nodes there are.
        grants_tokens: Whether it hands out tokens yet.
        members: "IP:port" of every member of control.
        crashes: As in Report, from all nodes.
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


class TokenRequest(_Message, tag=20):
    """A node has run out of an organisation's tokens.

    Attributes:
        name: The organisation.
        count: Requests that wait for one.
    """

    name: str
    count: int


class TokenGrant(_Message, tag=21):
    """Tokens for a node by organisation; 0 where an TokenRequest is refused."""

    by_name: dict[str, int]


# Control.


class Step(_Message, tag=16):
    """Raft messages of another member."""

    sender: str
    disk: str
    messages: list[raft_messages.Message]


class StepReply(_Message, tag=17):
    """Tells the sender of a Step whether its disk is the one known."""

    wrong_disk: bool


class Join(_Message, tag=18):
    """A control instance asks to become a member.

    Attributes:
        name: Of the instance and its data folder.
        address: "IP:port" of its links.
        failure_domain: Where it is.
        disk: Names its data folder.
    """

    name: str
    address: str
    failure_domain: str
    disk: str


class Joined(_Message, tag=19):
    """Answers a Join: whether it is a member, and where to ask."""

    member: bool
    leader: str
    members: list[str]


Frame = Union[Hello, Ping, Pong, Call, Data, Credit, Cancel, AnswerHead,
              Refusal, Abort, Status, Attach, Redirect, Report, Update, Step,
              StepReply, Join, Joined, TokenRequest, TokenGrant, Costs]

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final[Any] = msgspec.msgpack.Decoder(Frame)


def encode(message: Frame) -> bytes:
    """Encodes a message with its length in front."""
    body = _ENCODER.encode(message)
    return _LENGTH.pack(len(body)) + body


def frame_length(data: bytes | bytearray, offset: int) -> int:
    """Reads the length of the frame that begins at an offset."""
    length: int = _LENGTH.unpack_from(data, offset)[0]
    return length


def decode(body: bytes | memoryview) -> Frame:
    """Decodes a message.

    Raises:
        msgspec.MsgspecError: It is none of the known messages.
    """
    message: Frame = _DECODER.decode(body)
    return message
