"""Replicated state machine of the lists, idempotency claims and shares."""

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
    """Replaces the lists, unless their versions conflict.

    Attributes:
        change_id: Identifies the change, so that a retry gets the first
            outcome.
        document: The new lists.
    """

    change_id: str
    document: lists.Document


class ClaimStep(msgspec.Struct, frozen=True, array_like=True):
    """One operation on a claim.

    Attributes:
        action: "take", "record", "release" or "give_up".
        name: Organisation, service and idempotency key in one string.
        owner: Identifies the execution that takes or holds the claim.
        request_hash: Hash of the request; used by "take".
        timeout_s: Seconds until the deadline of the execution has passed;
            used by "take".
        response: Response to store; used by "record".
    """

    action: str
    name: str
    owner: str
    request_hash: str = ""
    timeout_s: float = 0.0
    response: claims.StoredResponse | None = None


class ClaimCommand(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Operations on claims, applied in order.

    Attributes:
        now: Wall clock of the leader in seconds, so that all replicas expire
            claims alike.
        steps: The operations.
    """

    now: float
    steps: list[ClaimStep]


class MoveShares(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Replaces shares; for each organisation, all of them or none."""

    rows: list[shares.Share]


Command = Union[Configure, ClaimCommand, MoveShares]


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Result of a configuration change.

    Attributes:
        accepted: Whether the change was applied.
        revision: Revision that the change created, or the current revision
            if it was rejected.
        organisations_version: Current version of the organisations.
        plans_version: Current version of the plans.
    """

    accepted: bool
    revision: int
    organisations_version: int
    plans_version: int


class _Snapshot(msgspec.Struct, array_like=True):
    """Serialized form of the state machine."""

    revision: int
    document: lists.Document
    outcomes: dict[str, Outcome]
    clock: float
    claims: dict[str, claims.ClaimRow]
    share_revision: int
    share_revision_by_name: dict[str, int]
    shares: list[shares.Share]


class ControlMachine(raft.StateMachine):
    """Applies committed commands, deterministically on every member.

    Attributes:
        revision: Number of accepted changes of the lists.
        document: The current lists.
        claims: Claims on idempotency keys.
        shares: Shares of rate limits by failure domain.
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
            lists.open_route_name(route)
            for route in command.document.plans.open_routes
        }
        self.shares.keep_only(names)
        return outcome

    def _is_successor(self, document: lists.Document) -> bool:
        """Returns whether a document is a valid successor of the current one.

        Each changed list must carry the next version, each unchanged list its
        current version, and at least one list must have changed.
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

    def _apply_claims(self,
                      command: ClaimCommand) -> list[claims.ClaimResult | None]:
        # The clock of a new leader may be behind that of its predecessor.
        self._clock = max(self._clock, command.now)
        self._commands_since_expiry += 1
        if self._commands_since_expiry >= _EXPIRY_INTERVAL_COMMANDS:
            self._commands_since_expiry = 0
            self.claims.expire(self._clock)
        return [self._apply_claim_step(step) for step in command.steps]

    def _apply_claim_step(self, step: ClaimStep) -> claims.ClaimResult | None:
        if step.action == "take":
            return self.claims.take(self._clock, step.name, step.request_hash,
                                    step.owner, step.timeout_s)
        if step.action == "record" and step.response is not None:
            self.claims.record(self._clock, step.name, step.owner,
                               step.response)
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
