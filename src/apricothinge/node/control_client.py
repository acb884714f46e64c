"""Client of the control group: the stream of updates, and claims."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
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

__all__ = ["ControlClaimStore", "ControlClient"]

_REPORT_INTERVAL_S: Final = 0.5
_MIN_REPORT_INTERVAL_S: Final = 0.05
_FIRST_UPDATE_TIMEOUT_S: Final = 0.8
_MAX_STALENESS_S: Final = 1.5
_RECONNECT_DELAY_S: Final = 0.1
_DEMAND_CHANGE_THRESHOLD: Final = 0.2
_REQUEST_TIMEOUT_S: Final = 1.0
_MAX_STEP_ATTEMPTS: Final = 20


class ControlClient:
    """Keeps the node attached to a control instance with recent state.

    Reports the state of the node, and applies the lists, shares, crash suspects
    and rows of other nodes that it receives.

    Attributes:
        attached_to: Address of the control instance while attached, or None.
    """

    def __init__(self, node_state: state.NodeState,
                 peer_address: settings.Address,
                 distributed_limiter: distributed.DistributedRateLimiter | None,
                 codec: wire.Codec) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = node_state
        self._peer_address = peer_address
        self._distributed_limiter = distributed_limiter
        self._codec = codec
        self.attached_to: settings.Address | None = None
        self._report_sequence = 0
        self._row_sequence = 0
        self._reported_row: messages.NodeRow | None = None
        self._reported_demand: dict[str, float] = {}
        self._sent_at_by_sequence: dict[int, float] = {}
        self._share_revision = -1
        self._reported_revision = -1
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts attaching in the background."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Detaches and waits for the background task to end."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        addresses = self._state.settings.control
        index = 0
        while True:
            address = addresses[index % len(addresses)]
            try:
                await self._attach(address)
            except (grpc.aio.AioRpcError, errors.ApricothingeError) as error:
                eliot.log_message("node:control_lost",
                                  control=str(address),
                                  error=str(getattr(error, "code", error)))
            except Exception:  # pylint: disable=broad-exception-caught
                # The node works without control, but must keep trying.
                eliot.write_traceback()
            self.attached_to = None
            index += 1
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _attach(self, address: settings.Address) -> None:
        channel = wire.channel(address)
        self._reported_row = None
        self._reported_demand = {}
        try:
            call = wire.stub(channel).Attach(self._generate_reports())
            attached_at = self._loop.time()
            async for sealed in self._updates_until_stale(call, attached_at):
                update = self._codec.open(sealed, messages.Update)
                self.attached_to = address
                self.apply_update(update)
        finally:
            await channel.close()

    async def _updates_until_stale(self, call: Any,
                                   attached_at: float) -> AsyncIterator[Any]:
        """Yields updates until the stream ends or its state is too old."""
        while True:
            attached = self.attached_to is not None
            timeout_s = (_MAX_STALENESS_S
                         if attached else _FIRST_UPDATE_TIMEOUT_S)
            try:
                async with asyncio.timeout(timeout_s):
                    sealed = await call.read()
            except TimeoutError:
                return
            if sealed is grpc.aio.EOF:
                return
            yield sealed
            confirmed_at = self._state.confirmed_at or 0.0
            now = self._loop.time()
            if now - max(confirmed_at, attached_at) > _MAX_STALENESS_S:
                eliot.log_message("node:control_stale")
                return

    # Reports.

    async def _generate_reports(self) -> AsyncIterator[control_pb2.Sealed]:
        while True:
            yield self._codec.seal(self._build_report())
            self._state.report_due.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REPORT_INTERVAL_S):
                    await self._state.report_due.wait()
            await asyncio.sleep(_MIN_REPORT_INTERVAL_S)

    def _build_report(self) -> messages.Report:
        self._report_sequence += 1
        self._sent_at_by_sequence[self._report_sequence] = self._loop.time()
        row = self._current_row()
        changed_row = row if row is not self._reported_row else None
        self._reported_row = row
        compiled = self._state.compiled
        suspects, self._state.crashes.outbox = self._state.crashes.outbox, []
        self._reported_revision = -1 if compiled is None else compiled.revision
        return messages.Report(self._report_sequence, self._reported_revision,
                               self._share_revision, changed_row,
                               self._changed_demand(), [
                                   messages.CrashSuspect(fingerprint, crash_id)
                                   for fingerprint, crash_id in suspects
                               ])

    def _current_row(self) -> messages.NodeRow:
        node_settings = self._state.settings
        local = self._state.local
        previous = self._reported_row
        row = messages.NodeRow(node_settings.instance, self._state.incarnation,
                               self._row_sequence, node_settings.failure_domain,
                               node_settings.region, self._peer_address,
                               local.service, local.up, local.draining,
                               self._state.draining)
        if previous == row:
            return previous
        self._row_sequence += 1
        return msgspec.structs.replace(row, sequence=self._row_sequence)

    def _changed_demand(self) -> dict[str, float] | None:
        if self._distributed_limiter is None:
            return None
        demand = self._distributed_limiter.demand()
        reported = self._reported_demand
        if demand.keys() == reported.keys() and all(
                abs(value - reported[name]) <= _DEMAND_CHANGE_THRESHOLD *
                reported[name] for name, value in demand.items()):
            return None
        self._reported_demand = demand
        return demand

    # Updates.

    def apply_update(self, update: messages.Update) -> None:
        """Applies an update; an older revision never replaces a newer one."""
        now = self._loop.time()
        self._apply_lists(now, update)
        if (self._distributed_limiter is not None and
                update.shares is not None and
                update.share_revision > self._share_revision):
            self._share_revision = update.share_revision
            self._distributed_limiter.set_shares(now, update.shares)
        for suspect in update.crash_suspects:
            self._state.crashes.record_crash(now,
                                             suspect.fingerprint,
                                             suspect.crash_id,
                                             reported=True)
        current = self._update_confirmed_at(update)
        self._apply_rows(now, update, current)
        compiled = self._state.compiled
        if (compiled is not None and
                compiled.revision != self._reported_revision):
            self._state.report_due.set()

    def _apply_lists(self, now: float, update: messages.Update) -> None:
        installed = self._state.compiled
        if update.full is not None:
            self._state.install(
                now, lists.CompiledLists(update.revision, update.full))
            return
        delta = update.delta
        if delta is None:
            return
        if installed is None or installed.revision != delta.since:
            if installed is None or installed.revision < delta.revision:
                raise errors.ApricothingeError(
                    errors.Kind.VERSION_CONFLICT,
                    "the delta is based on a revision that is not installed")
            return
        self._state.install(
            now,
            lists.CompiledLists(delta.revision,
                                history.apply_delta(installed.document, delta)))

    def _update_confirmed_at(self, update: messages.Update) -> bool:
        """Advances `confirmed_at`; returns whether the update is current."""
        sent_at = self._sent_at_by_sequence.get(update.echo)
        for sequence in [
                sequence for sequence in self._sent_at_by_sequence
                if sequence < update.echo
        ]:
            del self._sent_at_by_sequence[sequence]
        compiled = self._state.compiled
        if sent_at is None or update.age_s < 0 or compiled is None:
            return False
        if (compiled.revision != update.revision or
                update.share_revision < self._share_revision):
            return False
        # The age was measured after this report was sent, so the confirmation
        # is at least as recent as this time on the clock of this node.
        confirmed_at = sent_at - update.age_s
        if (self._state.confirmed_at is None or
                confirmed_at > self._state.confirmed_at):
            self._state.confirmed_at = confirmed_at
        return update.age_s < _MAX_STALENESS_S

    def _apply_rows(self, now: float, update: messages.Update,
                    current: bool) -> None:
        router = self._state.router
        own_instance = self._state.settings.instance
        for row in update.rows:
            if row.instance == own_instance:
                continue
            router.upsert(
                routing.Upstream(row.instance, row.service, row.failure_domain,
                                 row.region, row.peer, row.draining or
                                 not row.up, row.incarnation, now))
        if not current:
            # An isolated control instance times out nodes that are still alive.
            return
        removed = set(update.removed)
        if update.complete:
            present = {row.instance for row in update.rows}
            removed |= set(router.nodes_by_instance) - present
        for instance in removed - {own_instance}:
            router.remove(instance)


class ControlClaimStore(claims.ClaimStore):
    """Claim store that the control group keeps."""

    __slots__ = ("_control_client", "_addresses", "_codec",
                 "_channel_by_address", "_background_tasks")

    def __init__(self, addresses: list[settings.Address],
                 codec: wire.Codec) -> None:
        self._control_client: ControlClient | None = None
        self._addresses = addresses
        self._codec = codec
        self._channel_by_address: dict[settings.Address, Any] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()

    def bind(self, control_client: ControlClient) -> None:
        """Sets the control client, whose control instance is asked first."""
        self._control_client = control_client

    async def close(self) -> None:
        """Waits a limited time for pending steps, then closes the channels."""
        if self._background_tasks:
            await asyncio.wait(list(self._background_tasks),
                               timeout=_REQUEST_TIMEOUT_S)
        for channel in self._channel_by_address.values():
            await channel.close()

    async def _request(self,
                       step: machine.ClaimStep) -> claims.ClaimResult | None:
        """Sends a step to the control instances in turn until one succeeds.

        Raises:
            errors.ApricothingeError: None of them succeeded.
        """
        preferred = (self._control_client.attached_to
                     if self._control_client is not None else None)
        addresses = sorted(self._addresses,
                           key=lambda address: address != preferred)
        detail = ""
        for address in addresses:
            try:
                return await self._request_from(address, step)
            except grpc.aio.AioRpcError as error:
                detail = str(error.code())
            except errors.ApricothingeError as error:
                detail = str(error)
        raise errors.ApricothingeError(errors.Kind.UNREACHABLE, detail)

    async def _request_from(
            self, address: settings.Address,
            step: machine.ClaimStep) -> claims.ClaimResult | None:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = wire.channel(address)
            self._channel_by_address[address] = channel
        sealed = await wire.stub(channel).Ask(self._codec.seal(
            messages.ClaimRequest([step])),
                                              timeout=_REQUEST_TIMEOUT_S)
        reply = self._codec.open(sealed, messages.Reply)
        if not isinstance(reply, messages.ClaimAnswer):
            raise errors.ApricothingeError(
                errors.Kind.UNREACHABLE,
                getattr(reply, "detail", "unexpected type of reply"))
        return reply.results[0]

    async def take(self, name: str, request_hash: str, owner: str,
                   timeout_s: float) -> claims.ClaimResult:
        step = machine.ClaimStep("take", name, owner, request_hash, timeout_s)
        try:
            result = await self._request(step)
        except errors.ApricothingeError:
            # The claim may have been committed without a reply, and would then
            # block the key.
            self._run_in_background(machine.ClaimStep("release", name, owner))
            return claims.ClaimResult(claims.ClaimState.UNAVAILABLE)
        return result or claims.ClaimResult(claims.ClaimState.UNAVAILABLE)

    async def record(self, name: str, owner: str,
                     response: claims.StoredResponse) -> None:
        self._run_in_background(
            machine.ClaimStep("record", name, owner, response=response))

    async def release(self, name: str, owner: str) -> None:
        self._run_in_background(machine.ClaimStep("release", name, owner))

    async def give_up(self, name: str, owner: str) -> None:
        self._run_in_background(machine.ClaimStep("give_up", name, owner))

    def _run_in_background(self, step: machine.ClaimStep) -> None:
        """Retries a step whose result is not needed, without waiting."""
        task = asyncio.ensure_future(self._retry(step))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _retry(self, step: machine.ClaimStep) -> None:
        for _ in range(_MAX_STEP_ATTEMPTS):
            try:
                await self._request(step)
                return
            except errors.ApricothingeError:
                await asyncio.sleep(_REPORT_INTERVAL_S)
