"""A control instance as a running process."""

import asyncio
import pathlib
import time
from collections.abc import AsyncIterator
from typing import Any, Final

import eliot
import grpc
import msgspec

from apricothinge import errors
from apricothinge import lists
from apricothinge import metrics
from apricothinge import settings
from apricothinge.control import attached
from apricothinge.control import balancer
from apricothinge.control import control_pb2
from apricothinge.control import control_pb2_grpc
from apricothinge.control import group
from apricothinge.control import history
from apricothinge.control import machine
from apricothinge.control import raft
from apricothinge.control import raft_messages
from apricothinge.control import rpc_messages as messages
from apricothinge.control import storage
from apricothinge.control import view
from apricothinge.control import wire
from apricothinge.rates import shares
from apricothinge.web import admin
from apricothinge.web import server

__all__ = ["ControlInstance"]

_EXCHANGE_S: Final = 0.25
_FULL_EXCHANGE_TICKS: Final = 4
_BALANCE_TICKS: Final = 2
_RPC_TIMEOUT_S: Final = 2.0
_WAIT_STEP_S: Final = 0.05
_REFUSING_AFTER_S: Final = 3.5
_DEMOTION_WAIT_S: Final = 0.3
_FORWARDED: Final = "apricothinge-forwarded"


class ControlDump(msgspec.Struct):
    """Everything that a control instance decides by."""

    instance: str
    role: str
    term: int
    leader: str | None
    commit: int
    applied: int
    snapshot_index: int
    quorum_age_s: float
    wrong_disk: bool
    members: dict[str, raft_messages.Member]
    revision: int
    organisations_version: int
    plans_version: int
    claims: int
    shares: list[shares.Share]
    nodes: list[messages.NodeStatus]


class ControlInstance(control_pb2_grpc.ControlServicer):
    """Keeps the durable state together with the other members.

    Attributes:
        rpc: Bound address of the calls of the group and of nodes.
        admin: Bound address of the admin port.
        group: This member of the Raft group.
        view: The view of the fleet.
    """

    def __init__(self, control: settings.Control) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = control
        self._codec = wire.Codec(control.fleet_secret)
        self._peers = group.Peers()
        self._disk = storage.FileStorage(pathlib.Path(control.data))
        self._machine = machine.ControlMachine(control.claim_retention_s)
        self._server: Any = grpc.aio.server(options=wire.OPTIONS)
        control_pb2_grpc.add_ControlServicer_to_server(  # type: ignore
            self, self._server)
        self.rpc = self._bind()
        self.group = group.Group(control.instance,
                                 self._disk,
                                 self._machine,
                                 group.bootstrap(control, self.rpc),
                                 group.GrpcTransport(self._peers, self._codec),
                                 snapshot_entries=control.snapshot_entries)
        self.admin = control.admin
        self.view = view.View()
        self._history = history.History()
        self._balancer = balancer.ShareBalancer(self._machine, self.view,
                                                control.floor_part)
        self.metrics = metrics.ControlMetrics()
        self._nodes: set[attached.AttachedNode] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._ticks = 0
        self._told_version: dict[str, int] = {}
        self._seen = (-1, -1, -1)
        self._admin_server = server.Server(
            admin.AdminHandler(self._render_metrics, self.dump),
            settings.Limits())

    def _bind(self) -> settings.Address:
        address = self._settings.rpc
        try:
            port = self._server.add_insecure_port(str(address))
        except RuntimeError:
            raise errors.ApricothingeError(
                errors.Kind.SETTINGS_INVALID,
                f"can not listen on {address} - at `$.control.rpc`") from None
        return settings.Address(address.host, port)

    async def start(self) -> None:
        """Listens and takes part."""
        self._history.add(self._machine.revision, self._machine.document)
        await self._server.start()
        self.admin = await self._admin_server.start(self._settings.admin)
        self.group.start()
        self._tasks = [
            asyncio.ensure_future(self._watch()),
            asyncio.ensure_future(self._tick_forever())
        ]
        eliot.log_message("control:started",
                          instance=self._settings.instance,
                          rpc=str(self.rpc))

    async def stop(self) -> None:
        """Stops gracefully: nodes are sent to other instances first."""
        for node in list(self._nodes):
            node.close()
        await asyncio.sleep(_DEMOTION_WAIT_S)
        await self._server.stop(1.0)
        for task in self._tasks:
            task.cancel()
        await self.group.stop()
        await self._peers.close()
        self._admin_server.abort()
        eliot.log_message("control:stopped", instance=self._settings.instance)

    # Systems that run while the process does.

    async def _watch(self) -> None:
        """Spreads what was applied to the attached nodes."""
        while True:
            await self.group.applied.wait()
            self._spread()

    def _spread(self) -> None:
        self._history.add(self._machine.revision, self._machine.document)
        seen = (self._machine.revision, self._machine.shares.revision,
                self.view.version)
        if seen == self._seen:
            return
        self._seen = seen
        for node in self._nodes:
            node.notify()

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(_EXCHANGE_S)
            try:
                await self._tick()
            except Exception:  # pylint: disable=broad-exception-caught
                # The next tick has to come whatever this one met.
                eliot.write_traceback()

    async def _tick(self) -> None:
        self._ticks += 1
        self.view.expire(self._loop.time())
        self._exchange()
        self._spread()
        if not self.group.leads:
            self._balancer.reset()
            return
        if self._ticks % _BALANCE_TICKS == 0:
            moves = self._balancer.plan_moves(self._loop.time())
            if moves:
                try:
                    await self.group.propose(machine.MoveShares(moves))
                except errors.ApricothingeError as error:
                    eliot.log_message("control:shares_not_moved",
                                      error=str(error))

    def _exchange(self) -> None:
        """Tells the other members of the nodes attached here."""
        for name, row in self.group.raft.members.items():
            if name == self._settings.instance:
                continue
            told = self._told_version.get(name, 0)
            change = self.view.changes_since(told)
            if not change and self._ticks % _FULL_EXCHANGE_TICKS:
                continue
            part = self.view.make_update(self._loop.time(),
                                         self._settings.instance, change)
            asyncio.ensure_future(
                self._tell(name, row.address, part, change.version))

    async def _tell(self, name: str, address: settings.Address,
                    part: messages.ViewUpdate, version: int) -> None:
        try:
            await self._peers.stub(address).Exchange(self._codec.seal(part),
                                                     timeout=_RPC_TIMEOUT_S)
            self._told_version[name] = version
        except grpc.aio.AioRpcError:
            # It may have lost everything when it is back.
            self._told_version[name] = 0

    # Calls of the service; the names are those of control.proto.

    async def _open(self, sealed: control_pb2.Sealed, schema: Any,
                    context: Any) -> Any:
        try:
            return self._codec.open(sealed, schema)
        except errors.ApricothingeError as error:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, str(error))

    async def Step(  # pylint: disable=invalid-name,invalid-overridden-method
            self, request: control_pb2.Sealed,
            context: Any) -> control_pb2.Sealed:
        """Takes in Raft messages."""
        batch = await self._open(request, messages.Batch, context)
        return self._codec.seal(self.group.take(batch))

    async def Exchange(  # pylint: disable=invalid-name,invalid-overridden-method
            self, request: control_pb2.Sealed,
            context: Any) -> control_pb2.Sealed:
        """Takes in a part of the view."""
        part = await self._open(request, messages.ViewUpdate, context)
        self.view.merge_update(self._loop.time(), part)
        return self._codec.seal(messages.Ack())

    async def Attach(  # pylint: disable=invalid-name,invalid-overridden-method
            self, request_iterator: AsyncIterator[control_pb2.Sealed],
            context: Any) -> AsyncIterator[control_pb2.Sealed]:
        """Serves a node's stream."""
        del context
        node = attached.AttachedNode(self.group, self._machine, self.view,
                                     self._history, self._codec)
        self._nodes.add(node)
        try:
            async for update in node.run(request_iterator):
                yield update
        finally:
            self._nodes.discard(node)

    async def Ask(  # pylint: disable=invalid-name,invalid-overridden-method
            self, request: control_pb2.Sealed,
            context: Any) -> control_pb2.Sealed:
        """Answers a request, at the leader."""
        asked = await self._open(request, messages.Request, context)
        metadata = dict(context.invocation_metadata() or ())
        if not self.group.leads and _FORWARDED not in metadata:
            forwarded = await self._forward(request)
            if forwarded is not None:
                return forwarded
        try:
            return self._codec.seal(await self._answer(asked))
        except errors.ApricothingeError as error:
            return self._codec.seal(
                messages.Failure(error.code, error.detail,
                                 self.group.leader_address()))

    async def _forward(
            self, request: control_pb2.Sealed) -> control_pb2.Sealed | None:
        address = self.group.leader_address()
        if address is None:
            return None
        try:
            found: control_pb2.Sealed = await self._peers.stub(address).Ask(
                request, metadata=((_FORWARDED, "1"),), timeout=60.0)
            return found
        except grpc.aio.AioRpcError as error:
            return self._codec.seal(
                messages.Failure(errors.Kind.UNREACHABLE.value,
                                 f"the leader did not answer: {error.code()}"))

    async def _answer(self, asked: messages.Request) -> messages.Reply:
        if isinstance(asked, messages.AskStatus):
            return self._status()
        if isinstance(asked, messages.GetLists):
            return messages.Lists(self._machine.revision,
                                  self._machine.document)
        if isinstance(asked, messages.Apply):
            return await self._apply(asked)
        if isinstance(asked, messages.ClaimRequest):
            results = await self.group.propose(
                machine.ClaimCommand(self._wall_s(), asked.steps))
            return messages.ClaimAnswer(results)
        return await self._change_members(asked)

    @staticmethod
    def _wall_s() -> float:
        # Retention spans restarts, so it can not go by a loop's clock.
        return time.time()

    async def _apply(self, asked: messages.Apply) -> messages.Reply:
        document = lists.check(asked.document)
        change_id = lists.change_id(document)
        outcome: machine.Outcome = await self.group.propose(
            machine.Configure(change_id, document))
        if not outcome.accepted:
            self.metrics.changes.labels("conflict").inc()
            raise errors.ApricothingeError(
                errors.Kind.VERSION_CONFLICT,
                "made from other lists than those in force: organisations is"
                f" at version {outcome.organisations_version}, plans at"
                f" {outcome.plans_version}; a changed list carries the next"
                " version, an unchanged one its own")
        self.metrics.changes.labels("accepted").inc()
        waiting = await self._wait(outcome.revision, asked.wait_s)
        return messages.Applied(outcome, waiting)

    async def _wait(self, revision: int, wait_s: float) -> list[str]:
        """Waits until each node has a revision or refuses keyed requests."""
        until = self._loop.time() + wait_s
        while True:
            now = self._loop.time()
            waiting = sorted(
                instance for instance, known in self.view.by_instance.items()
                if known.revision < revision and now -
                known.last_heard_at < _REFUSING_AFTER_S)
            if not waiting or now >= until:
                return waiting
            await asyncio.sleep(_WAIT_STEP_S)

    async def _change_members(self,
                              asked: messages.ChangeMembers) -> messages.Reply:
        members = dict(self.group.raft.members)
        if not self.group.leads:
            raise errors.ApricothingeError(errors.Kind.NOT_LEADER)
        if asked.action == "add":
            if asked.instance in members or asked.address is None:
                raise errors.ApricothingeError(
                    errors.Kind.MEMBERSHIP_REFUSED,
                    f"{asked.instance} is a member already")
            members[asked.instance] = raft_messages.Member(
                asked.address, asked.failure_domain, False)
        else:
            if asked.instance not in members:
                raise errors.ApricothingeError(
                    errors.Kind.MEMBERSHIP_REFUSED,
                    f"{asked.instance} is no member")
            del members[asked.instance]
        await self.group.change_members(members)
        return messages.MembersAnswer(self.group.raft.members)

    # Reading.

    def _nodes_status(self) -> list[messages.NodeStatus]:
        now = self._loop.time()
        return [
            messages.NodeStatus(instance, known.row.failure_domain,
                                known.row.service, known.row.up,
                                known.row.draining, known.revision,
                                now - known.last_heard_at)
            for instance, known in sorted(self.view.by_instance.items())
        ]

    def _status(self) -> messages.Status:
        core = self.group.raft
        return messages.Status(
            self._settings.instance, core.role.value, core.term, core.commit,
            self._machine.revision, self.group.age_s(), [
                messages.MemberStatus(name, str(
                    row.address), row.failure_domain, row.voter, name
                                      == core.leader)
                for name, row in sorted(core.members.items())
            ], self._nodes_status())

    def dump(self) -> ControlDump:
        """Takes a dump of the instance's state."""
        core = self.group.raft
        document = self._machine.document
        return ControlDump(instance=self._settings.instance,
                           role=core.role.value,
                           term=core.term,
                           leader=core.leader,
                           commit=core.commit,
                           applied=core.applied,
                           snapshot_index=core.snapshot_index,
                           quorum_age_s=self.group.age_s(),
                           wrong_disk=self.group.wrong_disk,
                           members=core.members,
                           revision=self._machine.revision,
                           organisations_version=document.organisations.version,
                           plans_version=document.plans.version,
                           claims=len(self._machine.claims.by_name),
                           shares=self._machine.shares.rows(),
                           nodes=self._nodes_status())

    def _render_metrics(self) -> bytes:
        core = self.group.raft
        found = self.metrics
        found.term.set(core.term)
        found.is_leader.set(core.role is raft.Role.LEADER)
        found.commit.set(core.commit)
        found.apply_lag.set(core.commit - core.applied)
        found.snapshot.set(core.snapshot_index)
        found.quorum_age.set(self.group.age_s())
        found.members.set(sum(row.voter for row in core.members.values()))
        found.nodes.set(len(self._nodes))
        found.claims.set(len(self._machine.claims.by_name))
        return found.render()
