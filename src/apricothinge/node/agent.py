"""A node's stream from control: lists, view, shares and their age."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any, Final

import eliot
import grpc
import msgspec

from apricothinge import errors
from apricothinge import lists
from apricothinge import settings
from apricothinge.control import control_pb2
from apricothinge.control import history
from apricothinge.control import machine
from apricothinge.control import rpc_messages as messages
from apricothinge.control import wire
from apricothinge.node import state
from apricothinge.overload import claims
from apricothinge.overload import routing
from apricothinge.rates import distributed

__all__ = ["Agent", "ControlClaims"]

_REPORT_S: Final = 0.5
_SMALLEST_REPORT_S: Final = 0.05
_FIRST_UPDATE_S: Final = 0.8
_LEAVE_AFTER_S: Final = 1.5
_RECONNECT_S: Final = 0.1
_DEMAND_CHANGE: Final = 0.2
_ASK_TIMEOUT_S: Final = 1.0
_RELEASE_TRIES: Final = 20


class Agent:
    """Keeps the node attached to a control instance that is current.

    Attributes:
        attached_to: Address of the control instance, while attached.
    """

    def __init__(self, node_state: state.NodeState, peer: settings.Address,
                 gate: distributed.DistributedRateLimiter | None,
                 codec: wire.Codec) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = node_state
        self._peer = peer
        self._gate = gate
        self._codec = codec
        self.attached_to: settings.Address | None = None
        self._sequence = 0
        self._row_sequence = 0
        self._row: messages.NodeRow | None = None
        self._told_demand: dict[str, float] = {}
        self._sent_at_by_sequence: dict[int, float] = {}
        self._share_revision = -1
        self._reported_revision = -1
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to attach."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Detaches."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        addresses = self._state.settings.control
        place = 0
        while True:
            address = addresses[place % len(addresses)]
            try:
                await self._attach(address)
            except (grpc.aio.AioRpcError, errors.ApricothingeError) as error:
                eliot.log_message("node:control_lost",
                                  control=str(address),
                                  error=str(getattr(error, "code", error)))
            except Exception:  # pylint: disable=broad-exception-caught
                # A node without control goes on, but must keep on trying.
                eliot.write_traceback()
            self.attached_to = None
            place += 1
            await asyncio.sleep(_RECONNECT_S)

    async def _attach(self, address: settings.Address) -> None:
        opened = wire.channel(address)
        self._row = None
        self._told_demand = {}
        try:
            call = wire.stub(opened).Attach(self._reports())
            attached_at = self._loop.time()
            async for sealed in self._until_stale(call, attached_at):
                update = self._codec.open(sealed, messages.Update)
                self.attached_to = address
                self.take(update)
        finally:
            await opened.close()

    async def _until_stale(self, call: Any,
                           attached_at: float) -> AsyncIterator[Any]:
        """Yields updates until the control instance falls behind."""
        while True:
            heard = self.attached_to is not None
            limit_s = _LEAVE_AFTER_S if heard else _FIRST_UPDATE_S
            try:
                async with asyncio.timeout(limit_s):
                    sealed = await call.read()
            except TimeoutError:
                return
            if sealed is grpc.aio.EOF:
                return
            yield sealed
            confirmed_at = self._state.confirmed_at or 0.0
            now = self._loop.time()
            if now - max(confirmed_at, attached_at) > _LEAVE_AFTER_S:
                eliot.log_message("node:control_stale")
                return

    # Reporting.

    async def _reports(self) -> AsyncIterator[control_pb2.Sealed]:
        while True:
            yield self._codec.seal(self._report())
            self._state.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REPORT_S):
                    await self._state.changed.wait()
            await asyncio.sleep(_SMALLEST_REPORT_S)

    def _report(self) -> messages.Report:
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = self._loop.time()
        row = self._current_row()
        sent = row if row is not self._row else None
        self._row = row
        compiled = self._state.compiled
        crashes, self._state.crashes.outbox = self._state.crashes.outbox, []
        self._reported_revision = -1 if compiled is None else compiled.revision
        return messages.Report(
            self._sequence, self._reported_revision, self._share_revision, sent,
            self._changed_demand(),
            [messages.CrashSuspect(name, crash) for name, crash in crashes])

    def _current_row(self) -> messages.NodeRow:
        node = self._state.settings
        local = self._state.local
        before = self._row
        made = messages.NodeRow(node.instance, self._state.incarnation,
                                self._row_sequence, node.failure_domain,
                                node.region, self._peer, local.service,
                                local.up, local.draining, self._state.draining)
        if before == made:
            return before
        self._row_sequence += 1
        return msgspec.structs.replace(made, sequence=self._row_sequence)

    def _changed_demand(self) -> dict[str, float] | None:
        if self._gate is None:
            return None
        demand = self._gate.demand()
        told = self._told_demand
        if demand.keys() == told.keys() and all(
                abs(value - told[name]) <= _DEMAND_CHANGE * told[name]
                for name, value in demand.items()):
            return None
        self._told_demand = demand
        return demand

    # Updates.

    def take(self, update: messages.Update) -> None:
        """Takes in an update; never goes back to an older revision."""
        now = self._loop.time()
        self._take_lists(now, update)
        if (self._gate is not None and update.shares is not None and
                update.share_revision > self._share_revision):
            self._share_revision = update.share_revision
            self._gate.set_shares(now, update.shares)
        for suspect in update.crash_suspects:
            self._state.crashes.record_crash(now,
                                             suspect.fingerprint,
                                             suspect.crash_id,
                                             reported=True)
        fresh = self._confirm(update)
        self._take_rows(now, update, fresh)
        compiled = self._state.compiled
        if (compiled is not None and
                compiled.revision != self._reported_revision):
            self._state.changed.set()

    def _take_lists(self, now: float, update: messages.Update) -> None:
        held = self._state.compiled
        if update.full is not None:
            self._state.install(
                now, lists.CompiledLists(update.revision, update.full))
            return
        delta = update.delta
        if delta is None:
            return
        if held is None or held.revision != delta.since:
            if held is None or held.revision < delta.revision:
                raise errors.ApricothingeError(
                    errors.Kind.VERSION_CONFLICT,
                    "a change of lists that are not held here")
            return
        self._state.install(
            now,
            lists.CompiledLists(delta.revision,
                                history.apply_delta(held.document, delta)))

    def _confirm(self, update: messages.Update) -> bool:
        """Notes how recent the state is; returns whether it is current."""
        sent_at = self._sent_at_by_sequence.get(update.echo)
        for old in [n for n in self._sent_at_by_sequence if n < update.echo]:
            del self._sent_at_by_sequence[old]
        compiled = self._state.compiled
        if sent_at is None or update.age_s < 0 or compiled is None:
            return False
        if (compiled.revision != update.revision or
                update.share_revision < self._share_revision):
            return False
        # The age was taken after the report was sent, so by this node's
        # clock the confirmation is at least as recent as this.
        confirmed_at = sent_at - update.age_s
        if (self._state.confirmed_at is None or
                confirmed_at > self._state.confirmed_at):
            self._state.confirmed_at = confirmed_at
        return update.age_s < _LEAVE_AFTER_S

    def _take_rows(self, now: float, update: messages.Update,
                   fresh: bool) -> None:
        router = self._state.router
        own = self._state.settings.instance
        for row in update.rows:
            if row.instance == own:
                continue
            router.upsert(
                routing.Upstream(row.instance, row.service, row.failure_domain,
                                 row.region, row.peer, row.draining or
                                 not row.up, row.incarnation, now))
        if not fresh:
            # A control instance that is cut off misses nodes that are not.
            return
        gone = set(update.removed)
        if update.complete:
            present = {row.instance for row in update.rows}
            gone |= set(router.nodes_by_instance) - present
        for instance in gone - {own}:
            router.remove(instance)


class ControlClaims(claims.ClaimStore):
    """Claims that the control group keeps."""

    __slots__ = ("_agent", "_addresses", "_codec", "_channel_by_address",
                 "_background")

    def __init__(self, addresses: list[settings.Address],
                 codec: wire.Codec) -> None:
        self._agent: Agent | None = None
        self._addresses = addresses
        self._codec = codec
        self._channel_by_address: dict[settings.Address, Any] = {}
        self._background: set[asyncio.Task[None]] = set()

    def bind(self, agent: Agent) -> None:
        """Gives it the agent, whose control instance is asked first."""
        self._agent = agent

    async def close(self) -> None:
        """Waits for what is to be recorded, then closes the channels."""
        if self._background:
            await asyncio.wait(list(self._background), timeout=_ASK_TIMEOUT_S)
        for opened in self._channel_by_address.values():
            await opened.close()

    async def _ask(self, step: machine.ClaimStep) -> claims.ClaimResult | None:
        """Asks one instance after the other.

        Raises:
            errors.ApricothingeError: None of them answered.
        """
        first = self._agent.attached_to if self._agent is not None else None
        order = sorted(self._addresses, key=lambda address: address != first)
        detail = ""
        for address in order:
            try:
                return await self._ask_one(address, step)
            except grpc.aio.AioRpcError as error:
                detail = str(error.code())
            except errors.ApricothingeError as error:
                detail = str(error)
        raise errors.ApricothingeError(errors.Kind.UNREACHABLE, detail)

    async def _ask_one(self, address: settings.Address,
                       step: machine.ClaimStep) -> claims.ClaimResult | None:
        opened = self._channel_by_address.get(address)
        if opened is None:
            opened = wire.channel(address)
            self._channel_by_address[address] = opened
        sealed = await wire.stub(opened).Ask(self._codec.seal(
            messages.ClaimRequest([step])),
                                             timeout=_ASK_TIMEOUT_S)
        reply = self._codec.open(sealed, messages.Reply)
        if not isinstance(reply, messages.ClaimAnswer):
            raise errors.ApricothingeError(
                errors.Kind.UNREACHABLE,
                getattr(reply, "detail", "not an answer"))
        return reply.results[0]

    async def take(self, name: str, request_hash: str, owner: str,
                   timeout_s: float) -> claims.ClaimResult:
        step = machine.ClaimStep("take", name, owner, request_hash, timeout_s)
        try:
            found = await self._ask(step)
        except errors.ApricothingeError:
            # It may have been taken all the same, and must not stay so.
            self._later(machine.ClaimStep("release", name, owner))
            return claims.ClaimResult(claims.ClaimState.UNAVAILABLE)
        return found or claims.ClaimResult(claims.ClaimState.UNAVAILABLE)

    async def record(self, name: str, owner: str,
                     response: claims.StoredResponse) -> None:
        self._later(machine.ClaimStep("record", name, owner, answer=response))

    async def release(self, name: str, owner: str) -> None:
        self._later(machine.ClaimStep("release", name, owner))

    async def give_up(self, name: str, owner: str) -> None:
        self._later(machine.ClaimStep("give_up", name, owner))

    def _later(self, step: machine.ClaimStep) -> None:
        """Repeats a step that needs no answer until it is committed."""
        task = asyncio.ensure_future(self._repeat(step))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _repeat(self, step: machine.ClaimStep) -> None:
        for _ in range(_RELEASE_TRIES):
            try:
                await self._ask(step)
                return
            except errors.ApricothingeError:
                await asyncio.sleep(_REPORT_S)
