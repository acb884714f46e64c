"""A control instance of a mesh as a running process."""

import asyncio
import pathlib
import shutil
import zlib
from typing import Final

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

_TICK_S: Final = 0.05
_MEMBERSHIP_TICKS: Final = 4
_JOIN_TICKS: Final = 6
# Without a word of a leader for this long, an instance asks to join.
_LEADERLESS_S: Final = 2.0
# A leader that a quorum has not confirmed for this long serves no nodes.
_CONFIRMED_S: Final = 1.0
_READ_S: Final = 1.0
_READ_STEP_S: Final = 0.01


class _Identity(msgspec.Struct):
    """Who this data folder is, written once.

    Attributes:
        name: Of the member.
        members: Of the group that it began with; empty for one that joins.
    """

    name: str
    members: dict[str, str]


class MeshControlDump(msgspec.Struct):
    """Everything that a control instance decides by."""

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
    nodes: list[frames.Row]


class LinkTransport(group.Transport):
    """Carries Raft messages over one link to each member."""

    __slots__ = ("_link_by_address", "_hello", "_sweeper", "_receiver",
                 "wrong_disk")

    def __init__(self, hello: frames.Hello, sweeper: connection.Sweeper,
                 receiver: connection.Receiver) -> None:
        self._link_by_address: dict[settings.Address, connection.Link] = {}
        self._hello = hello
        self._sweeper = sweeper
        self._receiver = receiver
        self.wrong_disk = False

    async def step(self, address: settings.Address,
                   batch: rpc_messages.Batch) -> rpc_messages.Ack:
        link = self._link_by_address.get(address)
        if link is None or link.closed:
            link = await connection.dial(address.host, address.port,
                                         self._receiver, self._sweeper)
            link.send(self._hello)
            self._link_by_address[address] = link
        link.send(frames.Step(batch.sender, batch.disk, batch.messages))
        return rpc_messages.Ack(self.wrong_disk)


class MeshControl(connection.Receiver):
    """Keeps the desired state together with the other members.

    Attributes:
        group: This member of the group.
        machine: The replicated state.
        link: Bound address of the links.
    """

    def __init__(self, control: settings.MeshControl, incarnation: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = control
        self._sweeper = connection.Sweeper()
        self._hello = frames.Hello(control.instance, incarnation)
        folder = pathlib.Path(control.data)
        disk = self._open(folder)
        identity = self._identity(folder, disk)
        self._name = identity.name
        self._disk = disk
        self.machine = machine.MeshStateMachine()
        self._transport = LinkTransport(self._hello, self._sweeper, self)
        self.group = group.GroupMember(
            identity.name,
            disk,
            self.machine,
            self._members(identity),
            self._transport,
            snapshot_entries=control.snapshot_entries,
            external_promotion=True)
        self.link = settings.parse_address(control.link)
        self._known = control.control_links()
        self._hub: hub.Hub | None = None
        self._hub_term = -1
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._ticks = 0
        self._led_at = self._loop.time()
        self._change: asyncio.Task[None] | None = None
        self._joining: asyncio.Task[None] | None = None
        self._document_revision = -1
        self.metrics = metrics.ControlMetrics()
        self._admin_server = server.Server(
            admin.AdminHandler(self._render_metrics, self.dump),
            settings.Limits())

    # Start.

    @staticmethod
    def _open(folder: pathlib.Path) -> storage.FileStorage:
        try:
            disk = storage.FileStorage(folder)
            disk.load()
            return disk
        except errors.ApricothingeError as error:
            # As a new member it gets everything from the others.
            log.event("control:storage_damaged", error=str(error))
            shutil.rmtree(folder, ignore_errors=True)
            return storage.FileStorage(folder)

    def _identity(self, folder: pathlib.Path,
                  disk: storage.FileStorage) -> _Identity:
        found = disk.read_record("identity")
        if found is not None:
            return msgspec.json.decode(found, type=_Identity)
        own = self._settings.link
        first = self._settings.control_links()
        if self._settings.bootstrap and own in first:
            identity = _Identity(own, {address: address for address in first})
        else:
            identity = _Identity(f"{own}/{disk.disk_id}", {})
        disk.write_record("identity", msgspec.json.encode(identity))
        log.event("control:identity",
                  name=identity.name,
                  joins=not identity.members,
                  folder=str(folder))
        return identity

    @staticmethod
    def _members(identity: _Identity) -> raft.Members:
        return {
            name:
                raft_messages.Member(settings.parse_address(address), "", True)
            for name, address in identity.members.items()
        }

    async def start(self) -> None:
        """Listens and takes part."""
        self._sweeper.start()
        self._server = await self._loop.create_server(
            lambda: connection.Link(self, self._sweeper),
            self.link.host,
            self.link.port,
            backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.link = settings.Address(self.link.host, port)
        await self._admin_server.start(
            settings.parse_address(self._settings.admin))
        self.group.start()
        self._tasks = [
            asyncio.ensure_future(
                runtime.run_periodically(_TICK_S, self._tick,
                                         "control:tick_failed")),
            asyncio.ensure_future(self._watch())
        ]
        log.event("control:started",
                  instance=self._settings.instance,
                  name=self._name,
                  link=str(self.link),
                  revision=self.machine.revision)

    async def stop(self) -> None:
        """Stops taking part."""
        for task in self._tasks:
            task.cancel()
        self._admin_server.abort()
        await self.group.stop()
        if self._server is not None:
            self._server.close()
        self._sweeper.stop()
        log.event("control:stopped", instance=self._settings.instance)

    def add_seeds(self, seeds: list[str]) -> None:
        """Takes in more addresses at which control may be found."""
        self._known = list(dict.fromkeys(seeds + self._known))

    # Links.

    def opened(self, link: connection.Link) -> None:
        """Says who is here."""
        link.send(self._hello)

    def lost(self, link: connection.Link) -> None:
        """Takes in that a link has ended."""
        if self._hub is not None:
            self._hub.lost(link)

    def received(self, link: connection.Link, message: frames.Frame) -> None:
        """Takes in what nodes and other members say."""
        if isinstance(message, frames.Step):
            ack = self.group.receive(
                rpc_messages.Batch(message.sender, message.disk,
                                   message.messages))
            if ack.wrong_disk:
                link.send(frames.StepReply(True))
        elif isinstance(message, frames.StepReply):
            self._transport.wrong_disk = message.wrong_disk
        elif isinstance(message, frames.Report):
            if self._hub is not None:
                self._hub.report(link, message)
        elif isinstance(message, frames.Ask):
            if self._hub is not None and self._confirmed():
                self._hub.ask(link, message)
        elif isinstance(message, frames.Attach):
            if self._hub is None or not self._confirmed():
                link.send(self._busy())
            else:
                self._hub.attach(link, message)
        elif isinstance(message, frames.Join):
            link.send(self._join(message))
        elif isinstance(message, frames.Joined):
            self.add_seeds(message.members)
            if message.leader:
                self.add_seeds([message.leader])

    def _addresses(self) -> list[str]:
        found = [str(row.address) for row in self.group.raft.members.values()]
        return list(dict.fromkeys(found)) or list(self._known)

    def _busy(self) -> frames.Busy:
        leader = "" if self.group.is_leader else self.leader()
        return frames.Busy(leader, self._addresses())

    @property
    def failed(self) -> "asyncio.Future[errors.ApricothingeError]":
        """Done once the disk has failed."""
        return self.group.failed

    def leader(self) -> str:
        """Returns "IP:port" of the leader's links, empty where unknown."""
        found = self.group.leader_address()
        return "" if found is None else str(found)

    def _confirmed(self) -> bool:
        return (self.group.is_leader and
                0 <= self.group.quorum_age_s() < _CONFIRMED_S)

    # Membership.

    def _join(self, asked: frames.Join) -> frames.Joined:
        members = self.group.raft.members
        if self.group.is_leader and asked.name not in members:
            if self._confirmed() and self.group.raft.may_change_members():
                changed = dict(members)
                changed[asked.name] = raft_messages.Member(
                    settings.parse_address(asked.address), asked.failure_domain,
                    False, asked.disk)
                self._change_members(changed)
        return frames.Joined(asked.name in members, self.leader(),
                             self._addresses())

    def _change_members(self, members: raft.Members) -> None:
        if self._change is not None and not self._change.done():
            return
        self._change = asyncio.ensure_future(self._commit_members(members))

    async def _commit_members(self, members: raft.Members) -> None:
        try:
            await self.group.change_members(members)
        except errors.ApricothingeError as error:
            log.event("control:members_not_changed", error=str(error))
            return
        log.event("control:members",
                  members={
                      name: row.voter for name, row in members.items()
                  })

    def _manage_members(self, now: float) -> None:
        core = self.group.raft
        if not core.may_change_members():
            return
        changed = membership.next_members(
            core.members, core.last_contact_age_s(now),
            {name for name in core.members if core.is_caught_up(now, name)})
        if changed is not None:
            self._change_members(changed)

    async def _ask_to_join(self) -> None:
        """Asks every known address whether this instance may be a member."""
        asked = frames.Join(self._name, str(self.link),
                            self._settings.failure_domain, self._disk.disk_id)
        for address in list(self._known):
            if address == str(self.link):
                continue
            found = settings.parse_address(address)
            try:
                link = await connection.dial(found.host, found.port, self,
                                             self._sweeper)
            except OSError:
                continue
            link.send(self._hello)
            link.send(asked)
            await asyncio.sleep(_TICK_S)
            link.close()

    # Systems.

    async def _watch(self) -> None:
        """Spreads each new desired state at once."""
        while True:
            await self.group.applied_event.wait()
            if self._hub is not None and self._confirmed():
                self._sync_document()
                self._hub.changed()

    def _tick(self) -> None:
        now = self._loop.time()
        self._ticks += 1
        self._follow_leadership()
        if self.group.is_leader or self.group.raft.leader is not None:
            self._led_at = now
        if self._hub is not None and self._confirmed():
            self._sync_document()
            self._hub.tick()
        if self._ticks % _MEMBERSHIP_TICKS == 0:
            self._manage_members(now)
        alone = (self._name not in self.group.raft.members or
                 now - self._led_at > _LEADERLESS_S)
        if (alone and self._ticks % _JOIN_TICKS == 0 and
            (self._joining is None or self._joining.done())):
            self._joining = asyncio.ensure_future(self._ask_to_join())

    def _follow_leadership(self) -> None:
        core = self.group.raft
        if self.group.is_leader and self._hub_term != core.term:
            self._end_hub()
            self._hub = hub.Hub(self.machine, self._addresses)
            self._hub_term = core.term
            self._document_revision = -1
            log.event("control:leads", term=core.term)
        elif not self.group.is_leader and self._hub is not None:
            log.event("control:follows", term=core.term, leader=self.leader())
            self._end_hub()

    def _end_hub(self) -> None:
        if self._hub is not None:
            self._hub.stop(self._busy())
        self._hub = None
        self._hub_term = -1

    def _sync_document(self) -> None:
        if (self._hub is None or
                self._document_revision == self.machine.revision):
            return
        self._document_revision = self.machine.revision
        if not self.machine.document:
            return
        self._hub.set_document(documents.unpack(self.machine.document))

    def _render_metrics(self) -> bytes:
        found = self.metrics
        core = self.group.raft
        found.term.set(core.term)
        found.is_leader.set(int(self.group.is_leader))
        found.commit.set(core.commit_index)
        found.apply_lag.set(core.commit_index - core.last_applied)
        found.snapshot.set(core.snapshot_index)
        found.quorum_age.set(self.group.quorum_age_s())
        found.members.set(sum(row.voter for row in core.members.values()))
        found.nodes.set(0 if self._hub is None else len(self._hub.rows()))
        return found.render()

    def dump(self) -> MeshControlDump:
        """Takes a dump of what the instance decides by."""
        core = self.group.raft
        return MeshControlDump(self._settings.instance, self._name,
                               core.role.value, core.term, core.leader,
                               core.commit_index, core.last_applied,
                               self.group.quorum_age_s(), dict(core.members),
                               self.machine.revision, self.machine.version,
                               [] if self._hub is None else self._hub.rows())

    # Operators.

    async def replace(self, change_id: bytes, base: int,
                      document: documents.Document, text: bytes) -> None:
        """Replaces the desired state.

        Args:
            change_id: Names the change by its whole content.
            base: Version that it was made from.
            document: The new desired state.
            text: It as the operator sent it.

        Raises:
            errors.ApricothingeError: NOT_LEADER; VERSION_CONFLICT;
                CONFIGURATION_INVALID where its version is not above the
                current one; UNREACHABLE where the outcome is not known.
        """
        if not self.group.is_leader:
            raise errors.ApricothingeError(errors.Kind.NOT_LEADER)
        outcome: machine.Outcome = await self.group.propose(
            machine.Replace(change_id, base, document.version,
                            zlib.compress(text, 1), documents.pack(document)))
        log.event("state:change",
                  base=base,
                  version=document.version,
                  verdict=outcome.verdict,
                  current=outcome.version)
        self.metrics.changes.labels(outcome.verdict).inc()
        if outcome.verdict == machine.Verdict.CONFLICT:
            raise errors.ApricothingeError(
                errors.Kind.VERSION_CONFLICT,
                f"made from version {base}; {outcome.version} is current")
        if outcome.verdict == machine.Verdict.STALE:
            raise errors.ApricothingeError(
                errors.Kind.CONFIGURATION_INVALID,
                f"version {document.version}; expected more than"
                f" {outcome.version}")

    async def read(self) -> bytes:
        """Returns the newest desired state as its operator sent it.

        Raises:
            errors.ApricothingeError: NOT_LEADER; UNREACHABLE where no quorum
                confirms that it is the newest.
        """
        asked_at = self._loop.time()
        while self.group.is_leader:
            now = self._loop.time()
            if self.group.raft.quorum_confirmed_at(now) >= asked_at:
                if not self.machine.text:
                    raise errors.ApricothingeError(errors.Kind.UNREACHABLE,
                                                   "there is none yet")
                return zlib.decompress(self.machine.text)
            if now - asked_at > _READ_S:
                raise errors.ApricothingeError(errors.Kind.UNREACHABLE,
                                               "no quorum confirms it")
            await asyncio.sleep(_READ_STEP_S)
        raise errors.ApricothingeError(errors.Kind.NOT_LEADER)
