"""The replicated state: lists, claims on idempotency keys, and shares."""

import collections
from typing import Final, Union

import msgspec

from apricothinge import lists
from apricothinge.control import raft
from apricothinge.overload import claims
from apricothinge.rates import shares

__all__ = [
    "ClaimCommand", "ClaimStep", "Command", "Configure", "ControlMachine",
    "MoveShares", "Outcome"
]

_MAX_STORED_OUTCOMES: Final = 20000
_EXPIRY_INTERVAL_COMMANDS: Final = 256


class Configure(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Puts both lists in force, if they were made from those in force."""

    change_id: str
    document: lists.Document


class ClaimStep(msgspec.Struct, frozen=True, array_like=True):
    """One step in the life of a claim.

    Attributes:
        action: "take", "record", "release" or "give_up".
        name: Organisation, service and idempotency key.
        owner: The run.
        request_hash: With "take".
        timeout_s: With "take"; seconds.
        answer: With "record".
    """

    action: str
    name: str
    owner: str
    request_hash: str = ""
    timeout_s: float = 0.0
    answer: claims.StoredAnswer | None = None


class ClaimCommand(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Steps of several claims, in order, at the leader's time in seconds."""

    now: float
    steps: list[ClaimStep]


class MoveShares(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Replaces shares of organisations."""

    rows: list[shares.Share]


Command = Union[Configure, ClaimCommand, MoveShares]


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """What became of a change of configuration.

    Attributes:
        accepted: Whether it is in force.
        revision: Revision that it became, or the current one.
        organisations_version: Version of the list in force.
        plans_version: Version of the list in force.
    """

    accepted: bool
    revision: int
    organisations_version: int
    plans_version: int


class _Snapshot(msgspec.Struct, array_like=True):
    """The form that a snapshot has."""

    revision: int
    document: lists.Document
    outcomes: dict[str, Outcome]
    clock: float
    claims: dict[str, claims.ClaimRow]
    share_revision: int
    share_revision_by_name: dict[str, int]
    shares: list[shares.Share]


class ControlMachine(raft.Machine):
    """Applies committed commands; equal on every member.

    Attributes:
        revision: Grows by one with each accepted change of the lists.
        document: The lists in force.
        claims: Claims on idempotency keys.
        shares: Shares of rates by failure domain.
    """

    def __init__(self, claim_retention_s: float) -> None:
        self.revision = 0
        self.document = lists.EMPTY
        self.claims = claims.ClaimTable(claim_retention_s)
        self.shares = shares.ShareTable()
        self._outcome_by_change_id: collections.OrderedDict[str, Outcome] = (
            collections.OrderedDict())
        self._clock = 0.0
        self._commands_since_expiry = 0
        self._decoder = msgspec.msgpack.Decoder(Command)

    def apply(self, data: bytes) -> object:
        command = self._decoder.decode(data)
        if isinstance(command, Configure):
            return self._configure(command)
        if isinstance(command, ClaimCommand):
            return self._apply_claims(command)
        return self._move_shares(command)

    # Configuration.

    def _make_outcome(self, accepted: bool) -> Outcome:
        return Outcome(accepted, self.revision,
                       self.document.organisations.version,
                       self.document.plans.version)

    def _configure(self, command: Configure) -> Outcome:
        stored = self._outcome_by_change_id.get(command.change_id)
        if stored is not None:
            return stored
        if not self._is_successor(command.document):
            return self._make_outcome(False)
        self.document = command.document
        self.revision += 1
        outcome = self._make_outcome(True)
        self._outcome_by_change_id[command.change_id] = outcome
        if len(self._outcome_by_change_id) > _MAX_STORED_OUTCOMES:
            self._outcome_by_change_id.popitem(last=False)
        names = set(command.document.organisations.organisations)
        names |= {
            lists.open_name(route)
            for route in command.document.plans.open_routes
        }
        self.shares.keep_only(names)
        return outcome

    def _is_successor(self, document: lists.Document) -> bool:
        """Tells whether a change was made from the lists in force.

        A changed list carries the next version, an unchanged one its own.
        """
        changed = False
        for new, old in ((document.organisations, self.document.organisations),
                         (document.plans, self.document.plans)):
            if new == old:
                continue
            if new.version != old.version + 1:
                return False
            changed = True
        return changed

    # Claims.

    def _apply_claims(self, command: ClaimCommand) -> list[claims.Claim | None]:
        # A new leader's clock may be behind the one before.
        self._clock = max(self._clock, command.now)
        self._commands_since_expiry += 1
        if self._commands_since_expiry >= _EXPIRY_INTERVAL_COMMANDS:
            self._commands_since_expiry = 0
            self.claims.expire(self._clock)
        return [self._apply_claim_step(step) for step in command.steps]

    def _apply_claim_step(self, step: ClaimStep) -> claims.Claim | None:
        if step.action == "take":
            return self.claims.take(self._clock, step.name, step.request_hash,
                                    step.owner, step.timeout_s)
        if step.action == "record" and step.answer is not None:
            self.claims.record(self._clock, step.name, step.owner, step.answer)
        elif step.action == "release":
            self.claims.release(step.name, step.owner)
        elif step.action == "give_up":
            self.claims.give_up(step.name, step.owner)
        return None

    # Shares.

    def _move_shares(self, command: MoveShares) -> bool:
        by_name: dict[str, list[shares.Share]] = {}
        for row in command.rows:
            by_name.setdefault(row.name, []).append(row)
        rejected = 0
        self.shares.revision += 1
        for rows in by_name.values():
            rejected += not self.shares.apply(rows)
        return not rejected

    # Snapshots.

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            _Snapshot(self.revision, self.document,
                      dict(self._outcome_by_change_id), self._clock,
                      self.claims.by_name, self.shares.revision,
                      self.shares.revision_by_name, self.shares.rows()))

    def restore(self, data: bytes) -> None:
        state = msgspec.msgpack.decode(data, type=_Snapshot)
        self.revision = state.revision
        self.document = state.document
        self._outcome_by_change_id = collections.OrderedDict(state.outcomes)
        self._clock = state.clock
        self.claims.by_name = state.claims
        self.shares = shares.ShareTable()
        self.shares.revision = state.share_revision
        self.shares.revision_by_name = state.share_revision_by_name
        for row in state.shares:
            self.shares.by_name.setdefault(row.name,
                                           {})[row.failure_domain] = row
