"""The process of a control instance of a mesh."""

import asyncio
from collections.abc import Iterator
import contextlib
import pathlib
from typing import Final
import zlib

import msgspec

from apricothinge import errors
from apricothinge import log
from apricothinge import metrics
from apricothinge import runtime
from apricothinge import settings
from apricothinge.control import group
from apricothinge.control import raft
from apricothinge.control import raft_messages
from apricothinge.control import rpc_messages
from apricothinge.control import storage
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import documents
from apricothinge.mesh import hub
from apricothinge.mesh import machine
from apricothinge.mesh import membership
from apricothinge.web import admin
from apricothinge.web import server

__all__ = ["MeshControl"]

_TICK_INTERVAL_S: Final = 0.05
_MEMBERSHIP_INTERVAL_TICKS: Final = 4
_JOIN_INTERVAL_TICKS: Final = 6
_IDENTITY_RECORD: Final = "identity"
# An instance that knows no leader for this long asks to join the group.
_LEADERLESS_TIMEOUT_S: Final = 2.0
# A leader that no quorum has confirmed for this long stops serving nodes.
_MAX_QUORUM_AGE_S: Final = 1.0
_READ_TIMEOUT_S: Final = 1.0
_READ_POLL_INTERVAL_S: Final = 0.01
_DRAIN_POLL_INTERVAL_S: Final = 0.01
# Enough for two elections, or to find that a learner that was to take over the
# vote is silent.
_HANDOVER_TIMEOUT_S: Final = 3.0
# Part of the grace period after which the exit begins in any case.
_HANDOVER_FRACTION: Final = 0.6


class _Identity(msgspec.Struct):
    """Identity of a data folder, written once.

    Attributes:
        name: Name of the member.
        members: Addresses by name of the members of a bootstrapped group; empty
            for an instance that joins a group.
    """

    name: str
    members: dict[str, str]


class MeshControlDump(msgspec.Struct):
    """State of a control instance, as shown on its admin port."""

    instance: str
    name: str
    role: str
    term: int
    leader: str | None
    commit: int
    applied: int
    quorum_age_s: float
    members: dict[str, raft_messages.Member]
    revision: int
    version: int
    evacuated: list[str]
    nodes: list[frames.NodeRow]


class LinkTransport(group.Transport):
    """Sends Raft messages over one link to each member.

    Attributes:
        wrong_disk: Whether another member knows this member by another disk.
        stopping: Whether the process of this member is being stopped.
    """

    __slots__ = ("_link_by_address", "_hello", "_monitor", "_handler",
                 "wrong_disk", "stopping")

    def __init__(self, hello: frames.Hello,
                 monitor: connection.KeepaliveMonitor,
                 handler: connection.LinkHandler) -> None:
        self._link_by_address: dict[settings.Address, connection.Link] = {}
        self._hello = hello
        self._monitor = monitor
        self._handler = handler
        self.wrong_disk = False
        self.stopping = False

    async def step(self, address: settings.Address,
                   batch: rpc_messages.Batch) -> rpc_messages.Ack:
        link = self._link_by_address.get(address)
        if link is None or link.closed:
            link = await connection.dial(address.host, address.port,
                                         self._handler, self._monitor)
            link.send(self._hello)
            self._link_by_address[address] = link
        link.send(
            frames.Step(batch.sender, batch.disk, batch.messages,
                        batch.receiver,
                        "" if batch.address is None else str(batch.address),
                        self.stopping))
        return rpc_messages.Ack(self.wrong_disk)


class MeshControl(connection.LinkHandler):
    """Member of the control group that serves nodes and the operator.

    Attributes:
        group_member: Membership of this instance in the Raft group.
        state_machine: The replicated state machine.
        link: Bound address for links from nodes and other members.
        metrics: Metrics of the instance.
    """

    def __init__(self, control_settings: settings.MeshControl,
                 incarnation: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = control_settings
        self._monitor = connection.KeepaliveMonitor()
        self._hello = frames.Hello(control_settings.instance, incarnation)
        folder = pathlib.Path(control_settings.data)
        file_storage = self._open_storage(folder)
        identity = self._load_identity(folder, file_storage)
        self._name = identity.name
        self._storage = file_storage
        self.state_machine = machine.MeshStateMachine()
        self._transport = LinkTransport(self._hello, self._monitor, self)
        self.group_member = group.GroupMember(
            identity.name,
            file_storage,
            self.state_machine,
            self._initial_members(identity),
            self._transport,
            snapshot_entries=control_settings.snapshot_entries,
            external_promotion=True)
        self.link = settings.parse_address(control_settings.link)
        self._known_addresses = control_settings.control_links()
        self._hub: hub.Hub | None = None
        self._hub_term = -1
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._ticks = 0
        self._leader_last_known_at = self._loop.time()
        self._stopping_members: set[str] = set()
        self._member_change_task: asyncio.Task[None] | None = None
        self._join_task: asyncio.Task[None] | None = None
        self._task_by_departure: dict[machine.Depart, asyncio.Task[None]] = {}
        self._document_revision = -1
        self._draining = False
        self._operations = 0
        self.metrics = metrics.ControlMetrics()
        self._admin_server = server.Server(
            admin.AdminHandler(self._render_metrics, self.dump),
            settings.Limits())

    # Startup and shutdown.

    @staticmethod
    def _open_storage(folder: pathlib.Path) -> storage.FileStorage:
        """Opens the data folder, or an empty one if its files are damaged."""
        if (storage.were_files_set_aside(folder) and
                not (folder / _IDENTITY_RECORD).exists()):
            # A crash may have left some of the files behind.
            storage.set_files_aside(folder, _IDENTITY_RECORD)
        file_storage: storage.FileStorage | None = None
        try:
            file_storage = storage.FileStorage(folder)
            file_storage.read_record(_IDENTITY_RECORD)
            file_storage.load()
            return file_storage
        except errors.ApricothingeError as error:
            # The instance rejoins as a new member and gets a copy of the state.
            log.event("control:storage_damaged", error=str(error))
        if file_storage is not None:
            file_storage.close()
        storage.set_files_aside(folder, _IDENTITY_RECORD)
        return storage.FileStorage(folder)

    def _load_identity(self, folder: pathlib.Path,
                       file_storage: storage.FileStorage) -> _Identity:
        """Returns the member name of this instance, a new one at first.

        A damaged folder held votes and acknowledged changes. The instance must
        not return under its old name without them.
        """
        record = file_storage.read_record(_IDENTITY_RECORD)
        if record is not None:
            return msgspec.json.decode(record, type=_Identity)
        own_address = self._settings.link
        bootstrap_addresses = self._settings.control_links()
        if (self._settings.bootstrap and
                not storage.were_files_set_aside(folder) and
                own_address in bootstrap_addresses):
            identity = _Identity(
                own_address,
                {address: address for address in bootstrap_addresses})
        else:
            identity = _Identity(f"{own_address}/{file_storage.disk_id}", {})
        file_storage.write_record(_IDENTITY_RECORD,
                                  msgspec.json.encode(identity))
        log.event("control:identity",
                  name=identity.name,
                  joins=not identity.members,
                  folder=str(folder))
        return identity

    @staticmethod
    def _initial_members(identity: _Identity) -> raft.Members:
        return {
            name:
                raft_messages.Member(settings.parse_address(address), "", True)
            for name, address in identity.members.items()
        }

    async def start(self) -> None:
        """Starts the servers, the Raft group and the background tasks."""
        self._monitor.start()
        self._server = await self._loop.create_server(
            lambda: connection.Link(self, self._monitor),
            self.link.host,
            self.link.port,
            backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.link = settings.Address(self.link.host, port)
        await self._admin_server.start(
            settings.parse_address(self._settings.admin))
        self.group_member.start()
        self._tasks = [
            asyncio.ensure_future(
                runtime.run_periodically(_TICK_INTERVAL_S, self._tick,
                                         "control:tick_failed")),
            asyncio.ensure_future(self._watch_applied())
        ]
        log.event("control:started",
                  instance=self._settings.instance,
                  name=self._name,
                  link=str(self.link),
                  revision=self.state_machine.revision)

    async def drain(self) -> None:
        """Refuses new calls of operators, and leaves the group in good order.

        Calls in progress end within the timeout of a proposal. The instance
        goes on leading, as they need it to. Then a member that only follows
        takes over its vote, if there is one.
        """
        self._draining = True
        started_at = self._loop.time()
        log.event("control:draining",
                  instance=self._settings.instance,
                  operations=self._operations)
        while self._operations and not self.failed.done():
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        await self._hand_over_vote(started_at +
                                   self._settings.grace_s * _HANDOVER_FRACTION)

    async def _hand_over_vote(self, latest_end: float) -> None:
        """Waits until the leader has taken the vote from this member.

        The process may not return, and until others have noticed that, the
        group would not tolerate a further loss.

        Args:
            latest_end: Loop time in seconds at which to go on in any case.
        """
        self._transport.stopping = True
        self._stopping_members.add(self._name)
        started_at = self._loop.time()
        ends_at = min(started_at + _HANDOVER_TIMEOUT_S, latest_end)
        while (self._may_hand_over() and not self.failed.done() and
               self._loop.time() < ends_at):
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        log.event("control:handed_over",
                  votes=not self.group_member.raft.is_committed_learner,
                  waited_s=round(self._loop.time() - started_at, 3))

    def _may_hand_over(self) -> bool:
        """Tells whether another member may be about to replace this voter."""
        core = self.group_member.raft
        if core.is_committed_learner or self.group_member.suspended:
            return False
        if self.group_member.is_leader:
            now = self._loop.time()
            return (not core.may_change_members() or
                    self._next_members(now) is not None or
                    membership.has_usable_learner(core.members,
                                                  core.last_contact_age_s(now),
                                                  self._stopping_members))
        # A leader may still have to be elected, with the vote of this member.
        return len(core.members) > membership.min_voters(
            self._settings.max_lost)

    async def stop(self) -> None:
        """Stops the background tasks, the Raft group and the servers."""
        for task in [*self._tasks, *self._task_by_departure.values()]:
            task.cancel()
        self._admin_server.abort()
        await self.group_member.stop()
        if self._server is not None:
            self._server.close()
        self._monitor.stop()
        log.event("control:stopped", instance=self._settings.instance)

    def add_seeds(self, seeds: list[str]) -> None:
        """Adds addresses at which control instances may be found."""
        self._known_addresses = list(
            dict.fromkeys(seeds + self._known_addresses))

    # Callbacks of the links.

    def link_opened(self, link: connection.Link) -> None:
        """Sends the identity of this instance."""
        link.send(self._hello)

    def link_lost(self, link: connection.Link) -> None:
        """Detaches the node at the other end, if any."""
        if self._hub is not None:
            self._hub.detach(link)

    def message_received(self, link: connection.Link,
                         message: frames.Frame) -> None:
        """Handles a message from a node or another control instance."""
        if isinstance(message, frames.Step):
            self._handle_step(link, message)
        elif isinstance(message, frames.StepReply):
            if message.gone:
                self.group_member.raft.gone_members.add(message.gone)
            else:
                self._transport.wrong_disk = message.wrong_disk
        elif isinstance(message, frames.Report):
            if self._hub is not None:
                self._hub.handle_report(link, message)
        elif isinstance(message, frames.TokenRequest):
            if self._hub is not None and self._is_confirmed_leader():
                self._hub.handle_token_request(link, message)
        elif isinstance(message, frames.Attach):
            if self._hub is None or not self._is_confirmed_leader():
                link.send(self._make_redirect())
            else:
                self._hub.attach(link, message)
        elif isinstance(message, frames.Join):
            link.send(self._handle_join(message))
        elif isinstance(message, frames.Joined):
            self.add_seeds(message.members)
            if message.leader:
                self.add_seeds([message.leader])

    def _handle_step(self, link: connection.Link, step: frames.Step) -> None:
        if step.stopping:
            self._stopping_members.add(step.sender)
        else:
            self._stopping_members.discard(step.sender)
        if step.address and step.address not in self._known_addresses:
            # Possibly meant for the member that had this address before. All
            # seeds of this instance may have been replaced.
            self.add_seeds([step.address])
        if step.receiver and step.receiver != self._name:
            link.send(frames.StepReply(False, step.receiver))
            return
        self.group_member.raft.gone_members.discard(step.sender)
        ack = self.group_member.receive(
            rpc_messages.Batch(
                step.sender, step.disk, step.messages, step.receiver,
                settings.parse_address(step.address) if step.address else None))
        if ack.wrong_disk:
            link.send(frames.StepReply(True))

    def _member_addresses(self) -> list[str]:
        addresses = [
            str(member.address)
            for member in self.group_member.raft.members.values()
        ]
        return list(dict.fromkeys(addresses)) or list(self._known_addresses)

    def _make_redirect(self) -> frames.Redirect:
        leader = "" if self.group_member.is_leader else self.leader()
        return frames.Redirect(leader, self._member_addresses())

    @property
    def failed(self) -> "asyncio.Future[errors.ApricothingeError]":
        """Future that is done once the storage has failed."""
        return self.group_member.failed

    def leader(self) -> str:
        """Returns the "IP:port" of the leader's links, empty if unknown."""
        leader_address = self.group_member.leader_address()
        return "" if leader_address is None else str(leader_address)

    def _is_confirmed_leader(self) -> bool:
        return (self.group_member.is_leader and
                0 <= self.group_member.quorum_age_s() < _MAX_QUORUM_AGE_S)

    # Membership.

    def _handle_join(self, request: frames.Join) -> frames.Joined:
        members = self.group_member.raft.members
        if self.group_member.is_leader and request.name not in members:
            if self._is_confirmed_leader(
            ) and self.group_member.raft.may_change_members():
                new_members = dict(members)
                address = settings.parse_address(request.address)
                returns = any(
                    member.address == address for member in members.values())
                new_members[request.name] = raft_messages.Member(
                    address, request.failure_domain, False, request.disk,
                    request.is_added and not returns)
                self._change_members(new_members)
        return frames.Joined(request.name in members, self.leader(),
                             self._member_addresses())

    def _change_members(self, members: raft.Members) -> None:
        if self._member_change_task is not None and not self._member_change_task.done(
        ):
            return
        self._member_change_task = asyncio.ensure_future(
            self._commit_members(members))

    async def _commit_members(self, members: raft.Members) -> None:
        try:
            await self.group_member.change_members(members)
        except errors.ApricothingeError as error:
            log.event("control:members_not_changed", error=str(error))
            return
        log.event("control:members",
                  members={
                      name: member.voter for name, member in members.items()
                  })

    def _adjust_members(self, now: float) -> None:
        # A leader that was paused has heard nothing from anybody meanwhile.
        if (not self._is_confirmed_leader() or
                not self.group_member.raft.may_change_members()):
            return
        new_members = self._next_members(now)
        if new_members is not None:
            self._change_members(new_members)

    def _next_members(self, now: float) -> raft.Members | None:
        core = self.group_member.raft
        return membership.next_members(
            core.members,
            core.last_contact_age_s(now),
            {name for name in core.members if core.is_caught_up(now, name)},
            stopping=self._stopping_members,
            tracked_s=core.tracked_s(now),
            max_lost=self._settings.max_lost)

    async def _request_to_join(self) -> None:
        """Sends a request to join the group to every known address."""
        request = frames.Join(self._name, str(self.link),
                              self._settings.failure_domain,
                              self._storage.disk_id,
                              not self._settings.bootstrap)
        for address in list(self._known_addresses):
            if address == str(self.link):
                continue
            try:
                parsed_address = settings.parse_address(address)
                link = await connection.dial(parsed_address.host,
                                             parsed_address.port, self,
                                             self._monitor)
            except (OSError, ValueError) as error:
                log.event("control:unreachable",
                          address=address,
                          error=str(error))
                continue
            link.send(self._hello)
            link.send(request)
            await asyncio.sleep(_TICK_INTERVAL_S)
            link.close()

    # Background tasks.

    async def _watch_applied(self) -> None:
        """Publishes what operators have changed as soon as it is applied."""
        while True:
            await self.group_member.applied_event.wait()
            if self._hub is not None and self._is_confirmed_leader():
                self._update_hub_document()
                self._hub.publish_state()

    def _tick(self) -> None:
        now = self._loop.time()
        self._ticks += 1
        self._update_leadership()
        if (self.group_member.is_leader or
                self.group_member.raft.leader is not None):
            self._leader_last_known_at = now
        if self._hub is not None and self._is_confirmed_leader():
            self._update_hub_document()
            self._hub.tick()
        if self._ticks % _MEMBERSHIP_INTERVAL_TICKS == 0:
            self._adjust_members(now)
        should_join = (self._name not in self.group_member.raft.members or
                       now - self._leader_last_known_at > _LEADERLESS_TIMEOUT_S)
        if (should_join and self._ticks % _JOIN_INTERVAL_TICKS == 0 and
            (self._join_task is None or self._join_task.done())):
            self._join_task = asyncio.ensure_future(self._request_to_join())

    def _update_leadership(self) -> None:
        core = self.group_member.raft
        if self.group_member.is_leader and self._hub_term != core.term:
            self._stop_hub()
            self._hub = hub.Hub(self.state_machine, self._member_addresses,
                                self._record_departure)
            self._hub_term = core.term
            self._document_revision = -1
            log.event("control:leads", term=core.term)
        elif not self.group_member.is_leader and self._hub is not None:
            log.event("control:follows", term=core.term, leader=self.leader())
            self._stop_hub()

    def _record_departure(self, departure: machine.Depart) -> None:
        """Begins to record a departure, which nodes repeat until it is."""
        if departure not in self._task_by_departure:
            self._task_by_departure[departure] = asyncio.ensure_future(
                self._propose_departure(departure))

    async def _propose_departure(self, departure: machine.Depart) -> None:
        try:
            await self.group_member.propose(departure)
        except errors.ApricothingeError as error:
            log.event("departure:not_recorded",
                      node=departure.instance,
                      upstream=departure.upstream_id,
                      error=str(error))
        finally:
            del self._task_by_departure[departure]

    def _stop_hub(self) -> None:
        if self._hub is not None:
            self._hub.stop(self._make_redirect())
        self._hub = None
        self._hub_term = -1

    def _update_hub_document(self) -> None:
        if (self._hub is None or
                self._document_revision == self.state_machine.revision):
            return
        self._document_revision = self.state_machine.revision
        if not self.state_machine.document:
            return
        self._hub.set_document(documents.unpack(self.state_machine.document))

    def _render_metrics(self) -> bytes:
        control_metrics = self.metrics
        core = self.group_member.raft
        control_metrics.term.set(core.term)
        control_metrics.is_leader.set(int(self.group_member.is_leader))
        control_metrics.commit.set(core.commit_index)
        control_metrics.apply_lag.set(core.commit_index - core.last_applied)
        control_metrics.snapshot.set(core.snapshot_index)
        control_metrics.quorum_age.set(self.group_member.quorum_age_s())
        control_metrics.members.set(
            sum(member.voter for member in core.members.values()))
        live_voters = 0
        if self.group_member.is_leader:
            live_voters = membership.live_voters(
                core.members, core.last_contact_age_s(self._loop.time()))
        control_metrics.live_voters.set(live_voters)
        control_metrics.evacuated_domains.set(len(self.state_machine.evacuated))
        control_metrics.nodes.set(0 if self._hub is
                                  None else len(self._hub.rows()))
        return control_metrics.render()

    def dump(self) -> MeshControlDump:
        """Returns the state of the instance for the admin port."""
        core = self.group_member.raft
        return MeshControlDump(self._settings.instance, self._name,
                               core.role.value, core.term, core.leader,
                               core.commit_index, core.last_applied,
                               self.group_member.quorum_age_s(),
                               dict(core.members), self.state_machine.revision,
                               self.state_machine.version,
                               sorted(self.state_machine.evacuated),
                               [] if self._hub is None else self._hub.rows())

    # Operator API.

    @contextlib.contextmanager
    def _operation(self) -> Iterator[None]:
        """Counts a call of an operator, so that `drain` waits for its end."""
        if not self.group_member.is_leader:
            raise errors.ApricothingeError(errors.Kind.NOT_LEADER)
        if self._draining:
            raise errors.ApricothingeError(errors.Kind.DRAINING)
        self._operations += 1
        try:
            yield
        finally:
            self._operations -= 1

    async def replace(self, change_id: bytes, base: int,
                      document: documents.Document, text: bytes) -> None:
        """Replaces the desired state.

        Args:
            change_id: Identifier of the change, derived from its whole content.
            base: Version that the change was made from.
            document: The new desired state.
            text: The new desired state as sent by the operator.

        Raises:
            errors.ApricothingeError: NOT_LEADER; DRAINING; VERSION_CONFLICT;
                CONFIGURATION_INVALID if the version is not above the current
                one; UNREACHABLE if the outcome is unknown.
        """
        with self._operation():
            outcome: machine.Outcome = await self.group_member.propose(
                machine.Replace(change_id, base, document.version,
                                zlib.compress(text, 1),
                                documents.pack(document)))
        log.event("state:change",
                  base=base,
                  version=document.version,
                  verdict=outcome.verdict,
                  current=outcome.version)
        self.metrics.changes.labels(outcome.verdict).inc()
        if outcome.verdict == machine.Verdict.CONFLICT:
            raise errors.ApricothingeError(
                errors.Kind.VERSION_CONFLICT,
                f"based on version {base}, current is {outcome.version}")
        if outcome.verdict == machine.Verdict.STALE:
            raise errors.ApricothingeError(
                errors.Kind.CONFIGURATION_INVALID,
                f"version: found {document.version}, expected more than"
                f" {outcome.version}")

    async def evacuate(self, failure_domain: str, active: bool) -> None:
        """Starts or ends the evacuation of a failure domain.

        Raises:
            errors.ApricothingeError: NOT_LEADER; DRAINING;
                CONFIGURATION_INVALID if the failure domain is unknown;
                UNREACHABLE if the outcome is unknown.
        """
        known = self._settings.failure_domains
        if known and failure_domain not in known:
            raise errors.ApricothingeError(
                errors.Kind.CONFIGURATION_INVALID,
                f"failure domain: found {failure_domain!r}, expected one of"
                f" {known}")
        with self._operation():
            await self.group_member.propose(
                machine.Evacuate(failure_domain, active))
        log.event("evacuation:change",
                  domain=failure_domain,
                  active=active,
                  revision=self.state_machine.evacuation_revision,
                  evacuated=sorted(self.state_machine.evacuated))

    async def read(self) -> bytes:
        """Returns the current desired state as sent by the operator.

        Raises:
            errors.ApricothingeError: NOT_LEADER; DRAINING; UNREACHABLE if there
                is no desired state yet, or no quorum confirms in time that this
                instance still leads.
        """
        with self._operation():
            return await self._read()

    async def _read(self) -> bytes:
        asked_at = self._loop.time()
        while self.group_member.is_leader:
            now = self._loop.time()
            if self.group_member.raft.quorum_confirmed_at(now) >= asked_at:
                if not self.state_machine.text:
                    raise errors.ApricothingeError(
                        errors.Kind.UNREACHABLE,
                        "no desired state has been set yet")
                return zlib.decompress(self.state_machine.text)
            if now - asked_at > _READ_TIMEOUT_S:
                raise errors.ApricothingeError(
                    errors.Kind.UNREACHABLE,
                    "no quorum confirmed that it is current")
            await asyncio.sleep(_READ_POLL_INTERVAL_S)
        raise errors.ApricothingeError(errors.Kind.NOT_LEADER)
