"""The replicated state of a mesh: its desired state and what was accepted."""

from typing import Final

import msgspec

from apricothinge.control import raft

__all__ = ["MeshMachine", "Outcome", "Replace", "Verdict"]

# Operators send hundreds of changes a day and resend what got no answer.
_REMEMBERED: Final = 20000


class Replace(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Replaces the desired state.

    Attributes:
        change_id: Names the change by its whole content.
        base: Version that it was made from.
        version: Version that it becomes.
        text: As the operator sent it, compressed.
        document: As nodes use it, packed.
    """

    change_id: bytes
    base: int
    version: int
    text: bytes
    document: bytes


class Verdict:
    """What became of a change."""

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


class _State(msgspec.Struct, array_like=True):
    """The form that a snapshot has."""

    revision: int
    version: int
    text: bytes
    document: bytes
    accepted: list[bytes]


class MeshMachine(raft.StateMachine):
    """Applies committed commands; equal on every member.

    Attributes:
        revision: Grows by one with each accepted change, 0 before the first.
        version: Version of the desired state.
        text: It as the operator sent it, compressed.
        document: It as nodes use it, packed.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.version = 0
        self.text = b""
        self.document = b""
        self._accepted: dict[bytes, None] = {}
        self._decoder = msgspec.msgpack.Decoder(Replace)

    def accepted(self, change_id: bytes) -> bool:
        """Tells whether a change has been accepted at any time."""
        return change_id in self._accepted

    def apply(self, data: bytes) -> object:
        command = self._decoder.decode(data)
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
        if len(self._accepted) > _REMEMBERED:
            del self._accepted[next(iter(self._accepted))]
        return Outcome(Verdict.ACCEPTED, self.version)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            _State(self.revision, self.version, self.text, self.document,
                   list(self._accepted)))

    def restore(self, data: bytes) -> None:
        state = msgspec.msgpack.decode(data, type=_State)
        self.revision = state.revision
        self.version = state.version
        self.text = state.text
        self.document = state.document
        self._accepted = dict.fromkeys(state.accepted)
