"""The link of a node to the leader of control."""

import asyncio
import collections
import contextlib
from typing import Final

import msgspec

from apricothinge import log
from apricothinge import runtime
from apricothinge import settings
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import departures
from apricothinge.mesh import documents
from apricothinge.mesh import peers
from apricothinge.mesh import state
from apricothinge.mesh import upstream

__all__ = ["Attachment", "responsive_first"]

_REPORT_INTERVAL_S: Final = 0.5
_MIN_REPORT_INTERVAL_S: Final = 0.03
_RECONNECT_DELAY_S: Final = 0.1
_FIRST_UPDATE_TIMEOUT_S: Final = 1.0
_UPDATE_TIMEOUT_S: Final = 2.0
# A round trip between failure domains takes a few milliseconds. For a caller, a
# short wait is better than a refusal while its organisation has tokens left.
_TOKEN_REQUEST_TIMEOUT_S: Final = 0.15
# Without this pause, an organisation above its rate would cause a message to
# the leader for every refused request.
_NO_TOKENS_BACKOFF_S: Final = 0.03


def responsive_first(addresses: list[str], silent: str) -> list[str]:
    """Returns the addresses of control instances worth trying.

    Handles a leader that is frozen: it still accepts connections, and waiting
    for it again would delay the state of its successor.

    Args:
        addresses: "IP:port" of the known instances, at least one.
        silent: That of the instance that has fallen silent last, or empty.
    """
    return [address for address in addresses if address != silent] or addresses


class Attachment(connection.LinkHandler):
    """Keeps the node attached to the current leader of control.

    Attributes:
        attached_to: Instance name of the leader, empty while detached.
        has_grants: Whether the leader grants tokens; a new leader first waits
            for the reports of the tokens that its nodes hold.
    """

    __slots__ = ("attached_to", "has_grants", "_state", "_peer_table",
                 "_row_builder", "_known_addresses", "_monitor", "_loop",
                 "_task", "_link", "_last_update_at", "_sequence", "_sent_row",
                 "_sent_token_counts", "_leader_hint", "_sent_at_by_sequence",
                 "_token_request_by_name", "_waiter_count_by_name",
                 "_no_tokens_until_by_name", "_silent_address", "_upstream",
                 "_departure_log")

    def __init__(self, node_state: state.NodeState, peer_table: peers.PeerTable,
                 row_builder: "RowBuilder", seeds: list[str],
                 monitor: connection.KeepaliveMonitor,
                 local_upstream: upstream.LocalUpstream,
                 departure_log: departures.DepartureLog) -> None:
        self._upstream = local_upstream
        self._departure_log = departure_log
        departure_log.on_pending = node_state.report_due.set
        self._loop = asyncio.get_running_loop()
        self._state = node_state
        self._peer_table = peer_table
        self._row_builder = row_builder
        self._known_addresses = list(seeds)
        self._monitor = monitor
        self._task: asyncio.Task[None] | None = None
        self._link: connection.Link | None = None
        self._last_update_at = 0.0
        self._sequence = 0
        self._sent_row: frames.NodeRow | None = None
        self._sent_token_counts: dict[str, tuple[int, int, int, float]] = {}
        self._token_request_by_name: dict[str, asyncio.Future[bool]] = {}
        self._waiter_count_by_name: collections.Counter[
            str] = collections.Counter()
        self._no_tokens_until_by_name: dict[str, float] = {}
        self._leader_hint = ""
        self._silent_address = ""
        self._sent_at_by_sequence: dict[int, float] = {}
        self.attached_to = ""
        self.has_grants = False

    def start(self) -> None:
        """Starts the task that attaches to the leader."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stops the task and closes the link."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._link is not None:
            self._link.close()

    def add_seeds(self, seeds: list[str]) -> None:
        """Adds addresses at which control instances may be found."""
        for address in seeds:
            if address not in self._known_addresses:
                self._known_addresses.append(address)

    async def _run(self) -> None:
        index = 0
        while True:
            address = self._leader_hint
            self._leader_hint = ""
            if not address:
                addresses = responsive_first(self._known_addresses,
                                             self._silent_address)
                address = addresses[index % len(addresses)]
                index += 1
            try:
                await self._attach_and_report(address)
            except OSError as error:
                log.event("control:unreachable",
                          address=address,
                          error=str(error))
            except Exception as error:  # pylint: disable=broad-exception-caught
                # If this task ended, the node would never get a newer state.
                log.event("control:attach_failed",
                          address=address,
                          error=repr(error))
            if self.attached_to:
                log.event("control:lost", address=self.attached_to)
                self.attached_to = ""
                self.has_grants = False
            if not self._leader_hint:
                await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _attach_and_report(self, address: str) -> None:
        parsed_address = settings.parse_address(address)
        link = await connection.dial(parsed_address.host, parsed_address.port,
                                     self, self._monitor)
        self._link = link
        self._last_update_at = 0.0
        self._sent_row = None
        self._sent_token_counts = {}
        self._sent_at_by_sequence.clear()
        opened_at = self._loop.time()
        try:
            link.send(self._peer_table.hello)
            self._sent_row = self._row_builder.build()
            token_pool = self._state.token_pool
            token_pool.reset_counts()
            # A former leader may not have passed them on, or never got them.
            self._state.crash_table.report_again(self._loop.time())
            link.send(
                frames.Attach(self._sent_row, self._state.revision,
                              token_pool.available(),
                              token_pool.recent_spends(),
                              list(self._peer_table.by_instance)))
            while not link.closed:
                self._state.report_due.clear()
                link.send(self._make_report())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_REPORT_INTERVAL_S):
                        await self._state.report_due.wait()
                await asyncio.sleep(_MIN_REPORT_INTERVAL_S)
                now = self._loop.time()
                deadline = (self._last_update_at + _UPDATE_TIMEOUT_S
                            if self._last_update_at else opened_at +
                            _FIRST_UPDATE_TIMEOUT_S)
                if now > deadline:
                    self._silent_address = address
                    break
        finally:
            link.abort()
            self._link = None
            self._end_token_requests()

    def _make_report(self) -> frames.Report:
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = runtime.boottime_s()
        row = self._row_builder.build()
        changed_row = None if row == self._sent_row else row
        self._sent_row = row
        counts = self._state.token_pool.counts()
        changed = {
            name: count
            for name, count in counts.items()
            if count != self._sent_token_counts.get(name, (0, 0, 0, 0.0))
        }
        self._sent_token_counts = counts
        crash_table = self._state.crash_table
        crash_reports, crash_table.outbox = crash_table.outbox, []
        return frames.Report(self._sequence, changed_row, self._state.revision,
                             changed, crash_reports,
                             self._departure_log.pending)

    async def request_tokens(self, name: str) -> bool:
        """Requests tokens of an organisation and waits for the reply.

        Callers that arrive while a reply is awaited share it. If it brought
        too few tokens for all of them, they share the next request too.

        Returns:
            Whether the reply brought any tokens. Other callers may have spent
            them already.
        """
        link = self._link
        if link is None or link.closed or not self.attached_to:
            return False
        if self._loop.time() < self._no_tokens_until_by_name.get(name, 0.0):
            return False
        self._waiter_count_by_name[name] += 1
        try:
            token_request = self._token_request_by_name.get(name)
            if token_request is None:
                token_request = self._loop.create_future()
                self._token_request_by_name[name] = token_request
                link.send(
                    frames.TokenRequest(name, self._waiter_count_by_name[name]))
            await asyncio.wait((token_request,),
                               timeout=_TOKEN_REQUEST_TIMEOUT_S)
        finally:
            self._waiter_count_by_name[name] -= 1
        if token_request.done():
            return token_request.result()
        if self._token_request_by_name.get(name) is token_request:
            del self._token_request_by_name[name]
        return False

    def _end_token_requests(self) -> None:
        """Ends all waits for replies, which can't arrive any more."""
        token_requests = self._token_request_by_name
        self._token_request_by_name = {}
        for token_request in token_requests.values():
            if not token_request.done():
                token_request.set_result(False)

    # Callbacks of the link.

    def link_opened(self, link: connection.Link) -> None:
        """Does nothing, as the task that dials sends the first message."""

    def link_lost(self, link: connection.Link) -> None:
        """Wakes the task, so that it reconnects."""
        if link is self._link:
            self._state.report_due.set()

    def message_received(self, link: connection.Link,
                         message: frames.Frame) -> None:
        """Handles a message from a control instance."""
        if isinstance(message, frames.Redirect):
            self.add_seeds(message.members)
            self._leader_hint = message.leader
            link.abort()
            return
        if isinstance(message, frames.TokenGrant):
            self._state.token_pool.add(message.by_name, self._loop.time())
            for name, count in message.by_name.items():
                token_request = self._token_request_by_name.pop(name, None)
                if token_request is not None and not token_request.done():
                    token_request.set_result(count > 0)
                if not count:
                    self._no_tokens_until_by_name[name] = (self._loop.time() +
                                                           _NO_TOKENS_BACKOFF_S)
            return
        if not isinstance(message, frames.Update):
            return
        if not self._last_update_at:
            self.attached_to = link.peer
            self._silent_address = ""
            log.event("control:attached", control=link.peer)
        self._last_update_at = self._loop.time()
        self.has_grants = message.grants_tokens
        self._apply_update(message)

    def _apply_update(self, update: frames.Update) -> None:
        if update.document is not None:
            self._state.install(
                documents.CompiledDocument(update.revision,
                                           documents.unpack(update.document)))
            self._state.report_due.set()
        self._state.evacuate(update.evacuation_revision, update.evacuated)
        if update.departures is not None:
            self._departure_log.set_recorded(update.departures)
            self._upstream.learn_departures(update.departures)
        token_pool = self._state.token_pool
        token_pool.nodes = update.node_count
        sent_at = self._sent_at_by_sequence.get(update.acknowledged)
        if sent_at is not None:
            token_pool.renew_lease(sent_at)
            for sequence in [
                    sequence for sequence in self._sent_at_by_sequence
                    if sequence < update.acknowledged
            ]:
                del self._sent_at_by_sequence[sequence]
        now = self._loop.time()
        for row in update.rows:
            self._peer_table.update_row(row)
        for instance in update.removed:
            self._peer_table.mark_unlisted(instance)
        if update.complete:
            present = {row.instance for row in update.rows}
            for instance in set(self._peer_table.by_instance) - present:
                self._peer_table.mark_unlisted(instance)
        if update.members:
            self._known_addresses = list(update.members)
        for fingerprint, crash in update.crashes:
            self._state.crash_table.record_crash(now,
                                                 fingerprint,
                                                 crash,
                                                 reported=True)


class RowBuilder:
    """Builds the row of this node in the table of nodes.

    Attributes:
        address: "IP:port" for links from other nodes, once it is bound.
    """

    __slots__ = ("address", "_instance", "_incarnation", "_failure_domain",
                 "_state", "_upstream")

    def __init__(self, instance: str, incarnation: int, failure_domain: str,
                 node_state: state.NodeState,
                 local_upstream: upstream.LocalUpstream) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self.address = ""
        self._failure_domain = failure_domain
        self._state = node_state
        self._upstream = local_upstream

    def build(self) -> frames.NodeRow:
        """Returns the row for the current state."""
        upstream_row = self._upstream.row()
        if upstream_row is not None:
            # cold_s counts down by itself. With it, the row would differ in
            # every report, although only its initial value is new.
            upstream_row = msgspec.structs.replace(upstream_row, cold_s=0.0)
        return frames.NodeRow(self._instance, self._incarnation, self.address,
                              self._failure_domain, self._state.service,
                              self._state.draining, upstream_row)
