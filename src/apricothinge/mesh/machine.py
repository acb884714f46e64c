"""Replicated state machine of a mesh: desired state and accepted changes."""

from typing import Final

import msgspec

from apricothinge.control import raft

__all__ = [
    "Depart", "Evacuate", "MeshStateMachine", "Outcome", "Replace", "Verdict"
]

# Operators send hundreds of changes a day and resend a change that was not
# answered; a remembered change is not applied twice.
_MAX_REMEMBERED_CHANGES: Final = 20000
# Late words are of one of the last lifetimes. Instances that are replaced do
# not return.
_MAX_DEPARTED_PER_INSTANCE: Final = 8
_MAX_INSTANCES: Final = 4096


class Replace(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Replaces the desired state.

    Attributes:
        change_id: Identifier of the change, derived from its whole content.
        base: Version that the change was made from.
        version: Version of the new desired state.
        text: Desired state as sent by the operator, compressed.
        document: Desired state as used by nodes, packed.
    """

    change_id: bytes
    base: int
    version: int
    text: bytes
    document: bytes


class Evacuate(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Starts or ends the evacuation of a failure domain.

    Attributes:
        failure_domain: The failure domain.
        active: Whether its upstreams get no new requests from now on.
    """

    failure_domain: str
    active: bool


class Depart(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Records that a lifetime of an upstream drains or has ended.

    Attributes:
        instance: Instance name of its node.
        upstream_id: Identifier of the upstream.
        born: Its start time in milliseconds.
    """

    instance: str
    upstream_id: str
    born: int


class Verdict:
    """Result codes of a change."""

    ACCEPTED: Final = "accepted"
    CONFLICT: Final = "conflict"
    STALE: Final = "stale"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Result of a change.

    Attributes:
        verdict: One of the constants of Verdict.
        version: Version now in force.
    """

    verdict: str
    version: int


class _Snapshot(msgspec.Struct, array_like=True):
    """Format of a snapshot."""

    revision: int
    version: int
    text: bytes
    document: bytes
    accepted: list[bytes]
    evacuated: list[str] = []
    evacuation_revision: int = 0
    departed: dict[str, list[tuple[str, int]]] = {}


class MeshStateMachine(raft.StateMachine):
    """Applies committed commands deterministically on every member.

    Attributes:
        revision: Number of accepted changes.
        version: Version of the desired state.
        text: Desired state as sent by the operator, compressed.
        document: Desired state as used by nodes, packed.
        evacuated: Failure domains whose upstreams get no new requests.
        evacuation_revision: Number of changes of `evacuated`.
        departed_by_instance: Identifier and start of the lifetimes that have
            departed, the latest last.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.version = 0
        self.text = b""
        self.document = b""
        self.evacuated: frozenset[str] = frozenset()
        self.evacuation_revision = 0
        self.departed_by_instance: dict[str, tuple[tuple[str, int], ...]] = {}
        self._accepted: dict[bytes, None] = {}
        self._decoder = msgspec.msgpack.Decoder(Replace | Evacuate | Depart)

    def accepted(self, change_id: bytes) -> bool:
        """Tells whether a change is among the remembered accepted changes."""
        return change_id in self._accepted

    def apply(self, data: bytes) -> object:
        command = self._decoder.decode(data)
        if isinstance(command, Evacuate):
            return self._evacuate(command)
        if isinstance(command, Depart):
            return self._depart(command)
        if command.change_id in self._accepted:
            return Outcome(Verdict.ACCEPTED, self.version)
        if command.base != self.version:
            return Outcome(Verdict.CONFLICT, self.version)
        if command.version <= self.version:
            return Outcome(Verdict.STALE, self.version)
        self.revision += 1
        self.version = command.version
        self.text = command.text
        self.document = command.document
        self._accepted[command.change_id] = None
        if len(self._accepted) > _MAX_REMEMBERED_CHANGES:
            del self._accepted[next(iter(self._accepted))]
        return Outcome(Verdict.ACCEPTED, self.version)

    def _evacuate(self, command: Evacuate) -> Outcome:
        """Applies an order; one that is resent changes nothing."""
        domain = frozenset((command.failure_domain,))
        evacuated = (self.evacuated |
                     domain if command.active else self.evacuated - domain)
        if evacuated != self.evacuated:
            self.evacuated = evacuated
            self.evacuation_revision += 1
        return Outcome(Verdict.ACCEPTED, self.version)

    def _depart(self, command: Depart) -> Outcome:
        """Records a departure; one that is repeated changes nothing."""
        by_instance = self.departed_by_instance
        departed = by_instance.get(command.instance, ())
        lifetime = (command.upstream_id, command.born)
        if lifetime not in departed:
            by_instance.pop(command.instance, None)
            by_instance[command.instance] = (
                *departed, lifetime)[-_MAX_DEPARTED_PER_INSTANCE:]
            if len(by_instance) > _MAX_INSTANCES:
                del by_instance[next(iter(by_instance))]
        return Outcome(Verdict.ACCEPTED, self.version)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            _Snapshot(
                self.revision, self.version, self.text, self.document,
                list(self._accepted), sorted(self.evacuated),
                self.evacuation_revision, {
                    instance: list(departed)
                    for instance, departed in self.departed_by_instance.items()
                }))

    def restore(self, data: bytes) -> None:
        state = msgspec.msgpack.decode(data, type=_Snapshot)
        self.revision = state.revision
        self.version = state.version
        self.text = state.text
        self.document = state.document
        self._accepted = dict.fromkeys(state.accepted)
        self.evacuated = frozenset(state.evacuated)
        self.evacuation_revision = state.evacuation_revision
        self.departed_by_instance = {
            instance: tuple(departed)
            for instance, departed in state.departed.items()
        }
