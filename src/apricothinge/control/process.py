"""The process of a control instance: RPC server, background tasks, dump."""

import asyncio
from collections.abc import AsyncIterator
import pathlib
import time
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

_TICK_INTERVAL_S: Final = 0.25
_HEARTBEAT_INTERVAL_TICKS: Final = 4
_BALANCE_INTERVAL_TICKS: Final = 2
_EXCHANGE_TIMEOUT_S: Final = 2.0
_ROLLOUT_POLL_INTERVAL_S: Final = 0.05
_STALE_NODE_TIMEOUT_S: Final = 3.5
_STREAM_CLOSE_WAIT_S: Final = 0.3
_FORWARDED_KEY: Final = "apricothinge-forwarded"


class ControlDump(msgspec.Struct):
    """State of a control instance, as shown on its admin port."""

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
    """Member of the control group that serves nodes and operators.

    Attributes:
        rpc: Bound address for calls from other members, nodes and operators.
        admin: Bound address of the admin port.
        group_member: Member of the Raft group that this instance runs.
        view: Nodes known to this instance.
    """

    def __init__(self, control: settings.Control) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = control
        self._codec = wire.Codec(control.fleet_secret)
        self._peer_channels = group.PeerChannels()
        self._storage = storage.FileStorage(pathlib.Path(control.data))
        self._state_machine = machine.ControlMachine(control.claim_retention_s)
        self._rpc_server: Any = grpc.aio.server(options=wire.GRPC_OPTIONS)
        control_pb2_grpc.add_ControlServicer_to_server(  # type: ignore
            self, self._rpc_server)
        self.rpc = self._bind_rpc()
        self.group_member = group.GroupMember(
            control.instance,
            self._storage,
            self._state_machine,
            group.initial_members(control, self.rpc),
            group.GrpcTransport(self._peer_channels, self._codec),
            snapshot_entries=control.snapshot_entries)
        self.admin = control.admin
        self.view = view.View()
        self._revision_history = history.RevisionHistory()
        self._balancer = balancer.ShareBalancer(self._state_machine, self.view,
                                                control.floor_part)
        self.metrics = metrics.ControlMetrics()
        self._attached_nodes: set[attached.AttachedNode] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._ticks = 0
        self._sent_version_by_member: dict[str, int] = {}
        self._notified_versions = (-1, -1, -1)
        self._admin_server = server.Server(
            admin.AdminHandler(self._render_metrics, self.dump),
            settings.Limits())

    def _bind_rpc(self) -> settings.Address:
        address = self._settings.rpc
        try:
            port = self._rpc_server.add_insecure_port(str(address))
        except RuntimeError:
            raise errors.ApricothingeError(
                errors.Kind.SETTINGS_INVALID,
                f"cannot listen on {address} - at `$.control.rpc`") from None
        return settings.Address(address.host, port)

    async def start(self) -> None:
        """Starts the servers, the Raft group and the background tasks."""
        self._revision_history.add(self._state_machine.revision,
                                   self._state_machine.document)
        await self._rpc_server.start()
        self.admin = await self._admin_server.start(self._settings.admin)
        self.group_member.start()
        self._tasks = [
            asyncio.ensure_future(self._watch_applied()),
            asyncio.ensure_future(self._tick_forever())
        ]
        eliot.log_message("control:started",
                          instance=self._settings.instance,
                          rpc=str(self.rpc))

    async def stop(self) -> None:
        """Closes the streams, so that nodes reconnect elsewhere, then stops."""
        for node in list(self._attached_nodes):
            node.close()
        await asyncio.sleep(_STREAM_CLOSE_WAIT_S)
        await self._rpc_server.stop(1.0)
        for task in self._tasks:
            task.cancel()
        await self.group_member.stop()
        await self._peer_channels.close()
        self._admin_server.abort()
        eliot.log_message("control:stopped", instance=self._settings.instance)

    # Background tasks.

    async def _watch_applied(self) -> None:
        """Notifies attached nodes whenever commands have been applied."""
        while True:
            await self.group_member.applied_event.wait()
            self._notify_nodes()

    def _notify_nodes(self) -> None:
        self._revision_history.add(self._state_machine.revision,
                                   self._state_machine.document)
        versions = (self._state_machine.revision,
                    self._state_machine.shares.revision, self.view.version)
        if versions == self._notified_versions:
            return
        self._notified_versions = versions
        for node in self._attached_nodes:
            node.notify()

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            try:
                await self._tick()
            except Exception:  # pylint: disable=broad-exception-caught
                # An error in one tick must not end the periodic task.
                eliot.write_traceback()

    async def _tick(self) -> None:
        self._ticks += 1
        self.view.expire(self._loop.time())
        self._exchange_views()
        self._notify_nodes()
        if not self.group_member.is_leader:
            self._balancer.reset()
            return
        if self._ticks % _BALANCE_INTERVAL_TICKS == 0:
            moved_shares = self._balancer.plan_moves(self._loop.time())
            if moved_shares:
                try:
                    await self.group_member.propose(
                        machine.MoveShares(moved_shares))
                except errors.ApricothingeError as error:
                    eliot.log_message("control:shares_not_moved",
                                      error=str(error))

    def _exchange_views(self) -> None:
        """Sends updates on the attached nodes to the other members."""
        for instance, member in self.group_member.raft.members.items():
            if instance == self._settings.instance:
                continue
            sent_version = self._sent_version_by_member.get(instance, 0)
            change = self.view.changes_since(sent_version)
            if not change and self._ticks % _HEARTBEAT_INTERVAL_TICKS:
                continue
            update = self.view.make_update(self._loop.time(),
                                           self._settings.instance, change)
            asyncio.ensure_future(
                self._send_view_update(instance, member.address, update,
                                       change.version))

    async def _send_view_update(self, instance: str, address: settings.Address,
                                update: messages.ViewUpdate,
                                version: int) -> None:
        try:
            await self._peer_channels.stub(address).Exchange(
                self._codec.seal(update), timeout=_EXCHANGE_TIMEOUT_S)
            self._sent_version_by_member[instance] = version
        except grpc.aio.AioRpcError:
            # The member may have restarted with an empty view: resend it all.
            self._sent_version_by_member[instance] = 0

    # RPC methods; their names are defined in control.proto.

    async def _open_sealed(self, sealed: control_pb2.Sealed, message_type: Any,
                           context: Any) -> Any:
        try:
            return self._codec.open(sealed, message_type)
        except errors.ApricothingeError as error:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, str(error))

    async def Step(  # pylint: disable=invalid-name,invalid-overridden-method
            self, request: control_pb2.Sealed,
            context: Any) -> control_pb2.Sealed:
        """Receives Raft messages."""
        batch = await self._open_sealed(request, messages.Batch, context)
        return self._codec.seal(self.group_member.receive(batch))

    async def Exchange(  # pylint: disable=invalid-name,invalid-overridden-method
            self, request: control_pb2.Sealed,
            context: Any) -> control_pb2.Sealed:
        """Merges a view update of another member."""
        update = await self._open_sealed(request, messages.ViewUpdate, context)
        self.view.merge_update(self._loop.time(), update)
        return self._codec.seal(messages.Ack())

    async def Attach(  # pylint: disable=invalid-name,invalid-overridden-method
            self, request_iterator: AsyncIterator[control_pb2.Sealed],
            context: Any) -> AsyncIterator[control_pb2.Sealed]:
        """Serves the stream of a node."""
        del context
        node = attached.AttachedNode(self.group_member, self._state_machine,
                                     self.view, self._revision_history,
                                     self._codec)
        self._attached_nodes.add(node)
        try:
            async for update in node.run(request_iterator):
                yield update
        finally:
            self._attached_nodes.discard(node)

    async def Ask(  # pylint: disable=invalid-name,invalid-overridden-method
            self, request: control_pb2.Sealed,
            context: Any) -> control_pb2.Sealed:
        """Answers a request, or forwards it to the leader."""
        message = await self._open_sealed(request, messages.Request, context)
        metadata = dict(context.invocation_metadata() or ())
        if not self.group_member.is_leader and _FORWARDED_KEY not in metadata:
            forwarded = await self._forward(request)
            if forwarded is not None:
                return forwarded
        try:
            return self._codec.seal(await self._handle_request(message))
        except errors.ApricothingeError as error:
            return self._codec.seal(
                messages.Failure(error.code, error.detail,
                                 self.group_member.leader_address()))

    async def _forward(
            self, request: control_pb2.Sealed) -> control_pb2.Sealed | None:
        address = self.group_member.leader_address()
        if address is None:
            return None
        try:
            reply: control_pb2.Sealed = await self._peer_channels.stub(
                address).Ask(request,
                             metadata=((_FORWARDED_KEY, "1"),),
                             timeout=60.0)
            return reply
        except grpc.aio.AioRpcError as error:
            return self._codec.seal(
                messages.Failure(errors.Kind.UNREACHABLE.value,
                                 f"the leader did not answer: {error.code()}"))

    async def _handle_request(self,
                              request: messages.Request) -> messages.Reply:
        if isinstance(request, messages.AskStatus):
            return self._status()
        if isinstance(request, messages.GetLists):
            return messages.Lists(self._state_machine.revision,
                                  self._state_machine.document)
        if isinstance(request, messages.Apply):
            return await self._apply_lists(request)
        if isinstance(request, messages.ClaimRequest):
            results = await self.group_member.propose(
                machine.ClaimCommand(self._wall_clock_s(), request.steps))
            return messages.ClaimAnswer(results)
        return await self._change_members(request)

    @staticmethod
    def _wall_clock_s() -> float:
        # Claim retention outlives restarts, which reset the loop clock.
        return time.time()

    async def _apply_lists(self, request: messages.Apply) -> messages.Reply:
        document = lists.validate(request.document)
        change_id = lists.change_id(document)
        outcome: machine.Outcome = await self.group_member.propose(
            machine.Configure(change_id, document))
        if not outcome.accepted:
            self.metrics.changes.labels("conflict").inc()
            raise errors.ApricothingeError(
                errors.Kind.VERSION_CONFLICT,
                "not based on the current lists: organisations is at version"
                f" {outcome.organisations_version}, plans at version"
                f" {outcome.plans_version}; a changed list must have the next"
                " version, an unchanged list its current one")
        self.metrics.changes.labels("accepted").inc()
        waiting = await self._wait_for_rollout(outcome.revision, request.wait_s)
        return messages.Applied(outcome, waiting)

    async def _wait_for_rollout(self, revision: int,
                                wait_s: float) -> list[str]:
        """Waits until no live node uses an older revision.

        A node that has not reported for _STALE_NODE_TIMEOUT_S is skipped: it
        is isolated by then and refuses keyed requests, if their plan says so.

        Returns:
            Nodes that still use an older revision after `wait_s`.
        """
        deadline = self._loop.time() + wait_s
        while True:
            now = self._loop.time()
            waiting = sorted(
                instance for instance, node in self.view.by_instance.items()
                if node.revision < revision and now -
                node.last_heard_at < _STALE_NODE_TIMEOUT_S)
            if not waiting or now >= deadline:
                return waiting
            await asyncio.sleep(_ROLLOUT_POLL_INTERVAL_S)

    async def _change_members(
            self, request: messages.ChangeMembers) -> messages.Reply:
        members = dict(self.group_member.raft.members)
        if not self.group_member.is_leader:
            raise errors.ApricothingeError(errors.Kind.NOT_LEADER)
        if request.action == "add":
            if request.instance in members or request.address is None:
                raise errors.ApricothingeError(
                    errors.Kind.MEMBERSHIP_REFUSED,
                    f"{request.instance} is already a member")
            members[request.instance] = raft_messages.Member(
                request.address, request.failure_domain, False)
        else:
            if request.instance not in members:
                raise errors.ApricothingeError(
                    errors.Kind.MEMBERSHIP_REFUSED,
                    f"{request.instance} is not a member")
            del members[request.instance]
        await self.group_member.change_members(members)
        return messages.MembersAnswer(self.group_member.raft.members)

    # Reading.

    def _node_statuses(self) -> list[messages.NodeStatus]:
        now = self._loop.time()
        return [
            messages.NodeStatus(instance, node.row.failure_domain,
                                node.row.service, node.row.up,
                                node.row.draining, node.revision,
                                now - node.last_heard_at)
            for instance, node in sorted(self.view.by_instance.items())
        ]

    def _status(self) -> messages.Status:
        core = self.group_member.raft
        return messages.Status(
            self._settings.instance, core.role.value, core.term,
            core.commit_index, self._state_machine.revision,
            self.group_member.quorum_age_s(), [
                messages.MemberStatus(instance, str(
                    member.address), member.failure_domain, member.voter,
                                      instance == core.leader)
                for instance, member in sorted(core.members.items())
            ], self._node_statuses())

    def dump(self) -> ControlDump:
        """Returns the state shown on the admin port."""
        core = self.group_member.raft
        document = self._state_machine.document
        return ControlDump(instance=self._settings.instance,
                           role=core.role.value,
                           term=core.term,
                           leader=core.leader,
                           commit=core.commit_index,
                           applied=core.last_applied,
                           snapshot_index=core.snapshot_index,
                           quorum_age_s=self.group_member.quorum_age_s(),
                           wrong_disk=self.group_member.wrong_disk,
                           members=core.members,
                           revision=self._state_machine.revision,
                           organisations_version=document.organisations.version,
                           plans_version=document.plans.version,
                           claims=len(self._state_machine.claims.by_name),
                           shares=self._state_machine.shares.rows(),
                           nodes=self._node_statuses())

    def _render_metrics(self) -> bytes:
        core = self.group_member.raft
        gauges = self.metrics
        gauges.term.set(core.term)
        gauges.is_leader.set(core.role is raft.Role.LEADER)
        gauges.commit.set(core.commit_index)
        gauges.apply_lag.set(core.commit_index - core.last_applied)
        gauges.snapshot.set(core.snapshot_index)
        gauges.quorum_age.set(self.group_member.quorum_age_s())
        gauges.members.set(sum(
            member.voter for member in core.members.values()))
        gauges.nodes.set(len(self._attached_nodes))
        gauges.claims.set(len(self._state_machine.claims.by_name))
        return gauges.render()
