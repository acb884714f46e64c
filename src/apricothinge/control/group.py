"""Runs a Raft member: timers, storage, transport and pending proposals."""

import abc
import asyncio
import errno
import math
import random
from typing import Any, Final

import eliot
import grpc
import msgspec

from apricothinge import errors
from apricothinge import settings
from apricothinge.control import control_pb2
from apricothinge.control import raft
from apricothinge.control import raft_messages
from apricothinge.control import rpc_messages
from apricothinge.control import storage
from apricothinge.control import wire

__all__ = [
    "GroupMember", "GrpcTransport", "PeerChannels", "Transport",
    "initial_members"
]

_TICK_INTERVAL_S: Final = 0.05
_STEP_TIMEOUT_S: Final = 1.0
_PROPOSAL_TIMEOUT_S: Final = 3.0
_MAX_QUEUED_MESSAGES: Final = 256
# A snapshot is taken beyond this, so that a restart reads the log quickly.
_MAX_LOG_BYTES: Final = 8 << 20
_DISK_FULL_ERRORS: Final = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
# Each attempt writes and syncs a probe file.
_STORAGE_RETRY_S: Final = 0.5


class PeerChannels:
    """Caches gRPC channels and stubs by address."""

    __slots__ = ("_channel_by_address", "_stub_by_address")

    def __init__(self) -> None:
        self._channel_by_address: dict[settings.Address, Any] = {}
        self._stub_by_address: dict[settings.Address, Any] = {}

    def stub(self, address: settings.Address) -> Any:
        """Returns the stub for an address, opening a channel if needed."""
        stub = self._stub_by_address.get(address)
        if stub is None:
            channel = wire.channel(address)
            stub = wire.stub(channel)
            self._channel_by_address[address] = channel
            self._stub_by_address[address] = stub
        return stub

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channel_by_address.values():
            await channel.close()
        self._channel_by_address.clear()
        self._stub_by_address.clear()


class Transport(abc.ABC):
    """Sends Raft messages to other members."""

    __slots__ = ()

    @abc.abstractmethod
    async def step(self, address: settings.Address,
                   batch: rpc_messages.Batch) -> rpc_messages.Ack:
        """Sends messages and returns the receiver's answer.

        Raises:
            OSError: The messages may not have arrived.
        """


class GrpcTransport(Transport):
    """Sends Raft messages as sealed unary gRPC calls."""

    __slots__ = ("_peer_channels", "_codec")

    def __init__(self, peer_channels: PeerChannels, codec: wire.Codec) -> None:
        self._peer_channels = peer_channels
        self._codec = codec

    async def step(self, address: settings.Address,
                   batch: rpc_messages.Batch) -> rpc_messages.Ack:
        try:
            sealed: control_pb2.Sealed = await self._peer_channels.stub(
                address).Step(self._codec.seal(batch), timeout=_STEP_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            raise OSError(str(error.code())) from None
        ack: rpc_messages.Ack = self._codec.open(sealed, rpc_messages.Ack)
        return ack


class GroupMember:
    """Runs this process's member of the Raft group.

    Attributes:
        raft: Raft state of the member.
        state_machine: The replicated state.
        wrong_disk: Whether another member rejected this member's data folder.
        applied_event: Set, and cleared at once, each time entries are applied.
        failed: Set to the error once storage has failed for good.
        suspended: Whether the member takes no part in the group, because its
            disk is full.
    """

    def __init__(self,
                 instance: str,
                 store: storage.FileStorage,
                 state_machine: raft.StateMachine,
                 members: raft.Members,
                 transport: Transport,
                 *,
                 snapshot_entries: int,
                 external_promotion: bool = False) -> None:
        """Restores the persisted state.

        Args:
            instance: Name of this member.
            store: Storage of this member.
            state_machine: State that the log is applied to.
            members: Members used until the log or a snapshot has a
                configuration.
            transport: Sends messages to other members.
            snapshot_entries: Log length beyond which the log is compacted.
            external_promotion: Whether the caller promotes learners to
                voters.
        """
        self._loop = asyncio.get_running_loop()
        self._instance = instance
        self._initial_members = members
        self._external_promotion = external_promotion
        self._storage = store
        self._transport = transport
        self._snapshot_entries = snapshot_entries
        self.state_machine = state_machine
        self.wrong_disk = False
        self.applied_event = asyncio.Event()
        self._empty_state = state_machine.snapshot()
        self.suspended = False
        self._retry_storage_at = 0.0
        self.raft = self._make_raft()
        self._queue_by_member: dict[str, list[raft_messages.Message]] = {}
        self._sender_by_member: dict[str, asyncio.Task[None]] = {}
        self._address_by_unknown_sender: dict[str, settings.Address] = {}
        self._waiter_by_index: dict[int, tuple[int,
                                               "asyncio.Future[object]"]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._dispatch_scheduled = False
        self._ticker: asyncio.Task[None] | None = None
        self.failed: asyncio.Future[errors.ApricothingeError] = (
            self._loop.create_future())

    def _make_raft(self) -> raft.Raft:
        """Returns the Raft state as persisted."""
        return raft.Raft(self._loop.time(),
                         self._instance,
                         self._storage,
                         self.state_machine,
                         self._initial_members,
                         random.Random(),
                         raft.Timing(),
                         external_promotion=self._external_promotion)

    def start(self) -> None:
        """Starts the timer of the member."""
        self._ticker = asyncio.ensure_future(self._run_ticker())

    async def stop(self) -> None:
        """Stops the member, fails pending proposals and closes its storage."""
        if self._ticker is not None:
            self._ticker.cancel()
        for task in self._sender_by_member.values():
            task.cancel()
        self._fail_waiters()
        self._storage.close()

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self.raft.role is raft.Role.LEADER and not self.suspended

    def leader_address(self) -> settings.Address | None:
        """Returns the leader's address, or None if unknown."""
        member = self.raft.members.get(self.raft.leader or "")
        return None if member is None else member.address

    def quorum_age_s(self) -> float:
        """Returns seconds since a quorum confirmed the state; -1 for never."""
        now = self._loop.time()
        confirmed_at = self.raft.quorum_confirmed_at(now)
        return -1.0 if confirmed_at == -math.inf else max(
            0.0, now - confirmed_at)

    async def _run_ticker(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            if self.suspended:
                self._try_to_resume()
                continue
            try:
                self.raft.tick(self._loop.time())
                self.raft.record_disk_id(self._instance, self._storage.disk_id)
            except OSError as error:
                self._handle_storage_error(error)
                continue
            except Exception as error:  # pylint: disable=broad-exception-caught
                # A member without a timer would neither elect nor step down.
                self._fail(error)
                return
            self._dispatch()

    def receive(self, batch: rpc_messages.Batch) -> rpc_messages.Ack:
        """Handles messages from another member.

        If storage fails, the messages are not answered.
        """
        if self.failed.done():
            return rpc_messages.Ack()
        if self.suspended:
            self._note_leader(batch)
            return rpc_messages.Ack()
        if batch.receiver and batch.receiver != self._instance:
            # Meant for a member that had this address before.
            return rpc_messages.Ack()
        member = self.raft.members.get(batch.sender)
        if (member is not None and member.disk and member.disk != batch.disk):
            return rpc_messages.Ack(wrong_disk=True)
        if member is None and batch.address is not None:
            self._address_by_unknown_sender = {batch.sender: batch.address}
        try:
            for message in batch.messages:
                self.raft.receive(self._loop.time(), batch.sender, message)
            self.raft.record_disk_id(batch.sender, batch.disk)
        except OSError as error:
            self._handle_storage_error(error)
            return rpc_messages.Ack()
        self._dispatch()
        return rpc_messages.Ack()

    def _schedule_dispatch(self) -> None:
        # All proposals of one loop iteration share one flush and one fsync.
        if not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            self._loop.call_soon(self._dispatch)

    def _dispatch(self) -> None:
        """Flushes proposals, sends messages and completes applied proposals."""
        self._dispatch_scheduled = False
        if self.suspended or self.failed.done():
            return
        try:
            self.raft.flush(self._loop.time())
            if (self.raft.log_length > self._snapshot_entries or
                    self.raft.log_bytes > _MAX_LOG_BYTES):
                self.raft.compact()
        except OSError as error:
            self._handle_storage_error(error)
            return
        outbox, self.raft.outbox = self.raft.outbox, []
        for receiver, message in outbox:
            self._enqueue(receiver, message)
        results, self.raft.results = self.raft.results, []
        for index, term, result in results:
            self._resolve_waiter(index, term, result)
        if results:
            self.applied_event.set()
            self.applied_event.clear()
        if not self.is_leader and self._waiter_by_index:
            self._fail_waiters()

    def _handle_storage_error(self, error: OSError) -> None:
        """Suspends the member if its disk is full, and else fails it.

        The state in memory may be ahead of the disk, so nothing of it may be
        sent, and the member continues from the disk as after a restart.
        """
        if error.errno not in _DISK_FULL_ERRORS:
            self._fail(error)
            return
        eliot.log_message("control:disk_full", error=str(error))
        self.suspended = True
        self._retry_storage_at = self._loop.time() + _STORAGE_RETRY_S
        self.raft.leader = None
        self.raft.outbox = []
        self.raft.results = []
        self._fail_waiters()

    def _note_leader(self, batch: rpc_messages.Batch) -> None:
        """Remembers the leader, to which callers are redirected."""
        if any(
                isinstance(message, raft_messages.AppendRequest) and
                message.term >= self.raft.term for message in batch.messages):
            self.raft.leader = batch.sender

    def _try_to_resume(self) -> None:
        """Rejoins the group with the persisted state once the disk has room."""
        now = self._loop.time()
        if now < self._retry_storage_at:
            return
        self._retry_storage_at = now + _STORAGE_RETRY_S
        try:
            self._storage.probe()
        except OSError:
            return
        try:
            self.state_machine.restore(self._empty_state)
            self.raft = self._make_raft()
        except (OSError, errors.ApricothingeError) as error:
            self._fail(error)
            return
        self.suspended = False
        eliot.log_message("control:disk_has_room",
                          term=self.raft.term,
                          last_index=self.raft.last_index)

    def _fail(self, error: Exception) -> None:
        """Stops the timer and reports the error through `failed`.

        A member whose storage failed could break a vote or an acknowledgement
        that it has given.
        """
        eliot.log_message("control:storage_failed", error=str(error))
        if self._ticker is not None:
            self._ticker.cancel()
        if not self.failed.done():
            self.failed.set_result(
                errors.ApricothingeError(errors.Kind.STORAGE_DAMAGED,
                                         str(error)))

    def _resolve_waiter(self, index: int, term: int, result: object) -> None:
        waiter = self._waiter_by_index.pop(index, None)
        if waiter is None:
            return
        expected, future = waiter
        if future.done():
            return
        if expected == term:
            future.set_result(result)
        else:
            future.set_exception(self._leadership_lost_error())

    @staticmethod
    def _leadership_lost_error() -> errors.ApricothingeError:
        return errors.ApricothingeError(
            errors.Kind.UNREACHABLE,
            "leadership was lost; the proposal may or may not have been"
            " committed")

    def _fail_waiters(self) -> None:
        waiters, self._waiter_by_index = self._waiter_by_index, {}
        for _, future in waiters.values():
            if not future.done():
                future.set_exception(self._leadership_lost_error())

    async def propose(self, command: object) -> Any:
        """Commits a command and returns its result.

        Raises:
            errors.ApricothingeError: NOT_LEADER, or UNREACHABLE if the
                outcome is unknown.
        """
        position = None
        if self.is_leader and not self.failed.done():
            position = self.raft.propose(self._encoder.encode(command))
        if position is None:
            raise errors.ApricothingeError(errors.Kind.NOT_LEADER)
        return await self._wait_for_result(position)

    async def change_members(self, members: raft.Members) -> None:
        """Commits a membership change.

        Raises:
            errors.ApricothingeError: As in `propose`, or MEMBERSHIP_REFUSED.
        """
        if not self.is_leader:
            raise errors.ApricothingeError(errors.Kind.NOT_LEADER)
        await self._wait_for_result(self.raft.propose_members(members))

    async def _wait_for_result(self, position: tuple[int, int]) -> object:
        index, term = position
        future: asyncio.Future[object] = self._loop.create_future()
        self._waiter_by_index[index] = (term, future)
        self._schedule_dispatch()
        try:
            async with asyncio.timeout(_PROPOSAL_TIMEOUT_S):
                return await future
        except TimeoutError:
            raise errors.ApricothingeError(
                errors.Kind.UNREACHABLE,
                "no quorum answered in time; the proposal may or may not have"
                " been committed") from None

    # Sending.

    def _address(self, name: str) -> settings.Address | None:
        """Returns the address of a member, or None if unknown.

        The log of a new member is empty, so it knows the leader only from the
        leader's messages.
        """
        member = self.raft.members.get(name)
        if member is not None:
            return member.address
        return self._address_by_unknown_sender.get(name)

    def _enqueue(self, receiver: str, message: raft_messages.Message) -> None:
        queue = self._queue_by_member.setdefault(receiver, [])
        queue.append(message)
        # Raft resends lost messages, so the oldest ones can be dropped.
        del queue[:-_MAX_QUEUED_MESSAGES]
        task = self._sender_by_member.get(receiver)
        if task is None or task.done():
            self._sender_by_member[receiver] = asyncio.ensure_future(
                self._send(receiver))

    async def _send(self, receiver: str) -> None:
        queue = self._queue_by_member[receiver]
        while queue:
            address = self._address(receiver)
            if address is None:
                queue.clear()
                return
            batch = rpc_messages.Batch(self._instance, self._storage.disk_id,
                                       list(queue), receiver,
                                       self._address(self._instance))
            queue.clear()
            try:
                ack = await self._transport.step(address, batch)
            except OSError:
                queue.clear()
                return
            if ack.wrong_disk and not self.wrong_disk:
                self.wrong_disk = True
                eliot.log_message("control:wrong_disk", refused_by=receiver)


def initial_members(control: settings.Control,
                    address: settings.Address) -> raft.Members:
    """Returns the members of a group that starts for the first time."""
    if control.join:
        return {}
    if not control.members:
        return {
            control.instance:
                raft_messages.Member(address, control.failure_domain, True)
        }
    return {
        name: raft_messages.Member(member_address, "", True)
        for name, member_address in control.members.items()
    }
