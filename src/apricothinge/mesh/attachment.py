"""A node's link to the leader of control."""

import asyncio
import collections
import contextlib
from typing import Final

from apricothinge import log
from apricothinge import settings
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import documents
from apricothinge.mesh import peers
from apricothinge.mesh import state
from apricothinge.mesh import tokens
from apricothinge.mesh import upstream

__all__ = ["Attachment"]

_REPORT_S: Final = 0.5
_SMALLEST_REPORT_S: Final = 0.03
_RETRY_S: Final = 0.1
_FIRST_UPDATE_S: Final = 1.0
_SILENCE_S: Final = 2.0
# A round trip between failure domains takes some milliseconds. A caller is
# served better a little late than refused while its organisation has room.
_ASK_S: Final = 0.15
# An organisation over its rate would otherwise cost the leader a message for
# each request that is refused.
_NO_TOKENS_S: Final = 0.03


class Attachment(connection.LinkHandler):
    """Keeps the node attached to whoever leads control.

    Attributes:
        attached_to: "IP:port" of the leader, empty while there is none.
        has_grants: Whether it hands out tokens; a new leader first hears what
            its nodes hold.
    """

    __slots__ = ("attached_to", "has_grants", "_state", "_peers", "_row",
                 "_known", "_sweeper", "_loop", "_task", "_link", "_updated_at",
                 "_sequence", "_told_row", "_told_tokens", "_leader_hint",
                 "_sent_at_by_sequence", "_ask_by_name", "_asking_by_name",
                 "_no_tokens_until_by_name")

    def __init__(self, node_state: state.NodeState, table: peers.PeerTable,
                 row: "RowSource", seeds: list[str],
                 sweeper: connection.KeepaliveMonitor) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = node_state
        self._peers = table
        self._row = row
        self._known = list(seeds)
        self._sweeper = sweeper
        self._task: asyncio.Task[None] | None = None
        self._link: connection.Link | None = None
        self._updated_at = 0.0
        self._sequence = 0
        self._told_row: frames.NodeRow | None = None
        self._told_tokens: dict[str, tuple[int, int, int, float]] = {}
        self._ask_by_name: dict[str, asyncio.Future[bool]] = {}
        self._asking_by_name: collections.Counter[str] = collections.Counter()
        self._no_tokens_until_by_name: dict[str, float] = {}
        self._leader_hint = ""
        self._sent_at_by_sequence: dict[int, float] = {}
        self.attached_to = ""
        self.has_grants = False

    def start(self) -> None:
        """Begins to attach."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Detaches."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._link is not None:
            self._link.close()

    def add_seeds(self, seeds: list[str]) -> None:
        """Takes in more addresses at which control may be found."""
        for address in seeds:
            if address not in self._known:
                self._known.append(address)

    async def _run(self) -> None:
        place = 0
        while True:
            address = self._leader_hint
            self._leader_hint = ""
            if not address:
                address = self._known[place % len(self._known)]
                place += 1
            try:
                await self._attach(address)
            except OSError as error:
                log.event("control:unreachable",
                          address=address,
                          error=str(error))
            except Exception as error:  # pylint: disable=broad-exception-caught
                # Without this task the node would keep its state for ever.
                log.event("control:attach_failed",
                          address=address,
                          error=repr(error))
            if self.attached_to:
                log.event("control:lost", address=self.attached_to)
                self.attached_to = ""
                self.has_grants = False
            if not self._leader_hint:
                await asyncio.sleep(_RETRY_S)

    async def _attach(self, address: str) -> None:
        found = settings.parse_address(address)
        link = await connection.dial(found.host, found.port, self,
                                     self._sweeper)
        self._link = link
        self._updated_at = 0.0
        self._told_row = None
        self._told_tokens = {}
        self._sent_at_by_sequence.clear()
        opened_at = self._loop.time()
        try:
            link.send(self._peers.hello)
            self._told_row = self._row.row()
            stock = self._state.token_pool
            stock.reset_counts()
            link.send(
                frames.Attach(self._told_row, self._state.revision,
                              stock.available(), stock.recent_spends(),
                              list(self._peers.by_instance)))
            while not link.closed:
                self._state.report_due.clear()
                link.send(self._report())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_REPORT_S):
                        await self._state.report_due.wait()
                await asyncio.sleep(_SMALLEST_REPORT_S)
                now = self._loop.time()
                limit = (self._updated_at +
                         _SILENCE_S if self._updated_at else opened_at +
                         _FIRST_UPDATE_S)
                if now > limit:
                    break
        finally:
            link.abort()
            self._link = None

    def _report(self) -> frames.Report:
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = tokens.boottime_s()
        row = self._row.row()
        told_row = None if row == self._told_row else row
        self._told_row = row
        counts = self._state.token_pool.counts()
        changed = {
            name: found
            for name, found in counts.items()
            if found != self._told_tokens.get(name, (0, 0, 0, 0.0))
        }
        self._told_tokens = counts
        crashes = self._state.crashes
        told, crashes.outbox = crashes.outbox, []
        return frames.Report(self._sequence, told_row, self._state.revision,
                             changed, told)

    async def ask(self, name: str) -> bool:
        """Asks for an organisation's tokens; returns after the answer.

        Requests that come while an answer is awaited share it, and ask
        together once more if it was too little for them.

        Returns:
            Whether there were any. There may be none left for the caller.
        """
        link = self._link
        if link is None or link.closed or not self.attached_to:
            return False
        if self._loop.time() < self._no_tokens_until_by_name.get(name, 0.0):
            return False
        self._asking_by_name[name] += 1
        try:
            asked = self._ask_by_name.get(name)
            if asked is None:
                asked = self._loop.create_future()
                self._ask_by_name[name] = asked
                link.send(frames.TokenRequest(name, self._asking_by_name[name]))
            await asyncio.wait((asked,), timeout=_ASK_S)
        finally:
            self._asking_by_name[name] -= 1
        if asked.done():
            return asked.result()
        if self._ask_by_name.get(name) is asked:
            del self._ask_by_name[name]
        return False

    # Receiving.

    def link_opened(self, link: connection.Link) -> None:
        """Does nothing: the task that dials begins to talk."""

    def link_lost(self, link: connection.Link) -> None:
        """Wakes the task."""
        if link is self._link:
            self._state.report_due.set()

    def message_received(self, link: connection.Link,
                         message: frames.Frame) -> None:
        """Takes in what control says."""
        if isinstance(message, frames.Redirect):
            self.add_seeds(message.members)
            self._leader_hint = message.leader
            link.abort()
            return
        if isinstance(message, frames.TokenGrant):
            self._state.token_pool.add(message.by_name, self._loop.time())
            for name, count in message.by_name.items():
                asked = self._ask_by_name.pop(name, None)
                if asked is not None and not asked.done():
                    asked.set_result(count > 0)
                if not count:
                    self._no_tokens_until_by_name[name] = (self._loop.time() +
                                                           _NO_TOKENS_S)
            return
        if not isinstance(message, frames.Update):
            return
        if not self._updated_at:
            self.attached_to = link.peer
            log.event("control:attached", control=link.peer)
        self._updated_at = self._loop.time()
        self.has_grants = message.grants_tokens
        self._take(message)

    def _take(self, update: frames.Update) -> None:
        if update.document is not None:
            self._state.install(
                documents.CompiledDocument(update.revision,
                                           documents.unpack(update.document)))
            self._state.report_due.set()
        stock = self._state.token_pool
        stock.nodes = update.node_count
        sent_at = self._sent_at_by_sequence.get(update.acknowledged)
        if sent_at is not None:
            stock.renew_lease(sent_at)
            for old in [
                    n for n in self._sent_at_by_sequence
                    if n < update.acknowledged
            ]:
                del self._sent_at_by_sequence[old]
        now = self._loop.time()
        for row in update.rows:
            self._peers.update_row(row)
        for instance in update.removed:
            self._peers.mark_unlisted(instance)
        if update.complete:
            present = {row.instance for row in update.rows}
            for instance in set(self._peers.by_instance) - present:
                self._peers.mark_unlisted(instance)
        if update.members:
            self._known = list(update.members)
        for name, crash in update.crashes:
            self._state.crashes.record_crash(now, name, crash, reported=True)


class RowSource:
    """Builds the node's own row from what it knows now.

    Attributes:
        address: "IP:port" of its links, once they are open.
    """

    __slots__ = ("address", "_instance", "_incarnation", "_failure_domain",
                 "_state", "_upstream")

    def __init__(self, instance: str, incarnation: int, failure_domain: str,
                 node_state: state.NodeState,
                 local: upstream.LocalUpstream) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self.address = ""
        self._failure_domain = failure_domain
        self._state = node_state
        self._upstream = local

    def row(self) -> frames.NodeRow:
        """Returns the row."""
        row = self._upstream.row()
        if row is not None:
            # It counts down by itself; only its start is news.
            row = frames.UpstreamRow(row.upstream_id, row.born, row.service,
                                     row.slots, row.usable, 0.0)
        return frames.NodeRow(self._instance, self._incarnation, self.address,
                              self._failure_domain, self._state.service,
                              self._state.draining, row)
