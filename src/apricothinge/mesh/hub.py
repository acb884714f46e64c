"""The service that the leader of control provides to attached nodes."""

import asyncio
from collections.abc import Callable
import math
from typing import Final

from apricothinge import log
from apricothinge import runtime
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import documents
from apricothinge.mesh import machine
from apricothinge.mesh import token_server
from apricothinge.mesh import tokens

__all__ = ["Hub"]

_GRANT_INTERVAL_S: Final = 0.1
# A node that has lost its link reconnects within a second.
_DISCONNECT_TIMEOUT_S: Final = 3.0
# All live nodes attach to a new leader within this time.
_SETTLING_TIME_S: Final = 3.0
_MAX_CRASHES_PER_UPDATE: Final = 200


class _NodeEntry:
    """A row of the node table and the table version of its last change.

    Attributes:
        row: The row.
        version: Version of the table at which the row last changed.
        removed: Whether the node has been removed.
        disconnected_at: Loop time in seconds at which the link was lost, or
            None if it is up.
    """

    __slots__ = ("row", "version", "removed", "disconnected_at")

    def __init__(self, row: frames.NodeRow, version: int) -> None:
        self.row = row
        self.version = version
        self.removed = False
        self.disconnected_at: float | None = None


class _AttachedNode:
    """What has been sent to one attached node.

    Attributes:
        instance: Name of the node.
        sent_version: Version of the node table that it was sent.
        known_revision: Revision of the desired state that it has.
        last_sequence: Sequence number of its latest report.
        sent_crashes: Number of crash reports that it was sent.
        sent_complete: Whether it was sent the complete node table.
        update_due: Whether an update has to be sent.
        sent_departures: Recorded departures of its upstream that it was sent,
            or None.
    """

    __slots__ = ("instance", "sent_version", "known_revision", "last_sequence",
                 "sent_crashes", "sent_complete", "update_due",
                 "sent_departures")

    def __init__(self, instance: str, known_revision: int,
                 sent_crashes: int) -> None:
        self.instance = instance
        self.sent_version = 0
        self.known_revision = known_revision
        self.last_sequence = 0
        self.sent_crashes = sent_crashes
        self.sent_complete = False
        self.update_due = True
        self.sent_departures: tuple[tuple[str, int], ...] | None = None


class Hub:
    """Collects the reports of nodes and sends each node the updates it lacks.

    A hub exists while its process leads; each term starts with an empty one.
    """

    __slots__ = ("_loop", "_state_machine", "_member_addresses",
                 "_entry_by_instance", "_attached_node_by_link",
                 "_table_version", "_started_at", "_token_server",
                 "_crash_reports", "_seen_crash_reports", "_granted_at",
                 "_grants_announced", "_evacuated_at_by_domain",
                 "_record_departure", "_published_revisions")

    def __init__(self, state_machine: machine.MeshStateMachine,
                 member_addresses: Callable[[], list[str]],
                 record_departure: Callable[[machine.Depart], None]) -> None:
        """Creates a hub without nodes.

        Args:
            state_machine: The replicated state.
            member_addresses: Returns "IP:port" of every control member.
            record_departure: Begins to append a command to the log.
        """
        self._record_departure = record_departure
        self._published_revisions = (-1, -1)
        self._loop = asyncio.get_running_loop()
        self._state_machine = state_machine
        self._member_addresses = member_addresses
        self._entry_by_instance: dict[str, _NodeEntry] = {}
        self._attached_node_by_link: dict[connection.Link, _AttachedNode] = {}
        self._table_version = 0
        self._started_at = self._loop.time()
        self._token_server = token_server.TokenServer(runtime.boottime_s())
        self._crash_reports: list[tuple[str, str]] = []
        self._seen_crash_reports: set[tuple[str, str]] = set()
        self._granted_at = 0.0
        self._grants_announced = False
        # The leaders before may have accepted these orders long ago.
        self._evacuated_at_by_domain: dict[str, float] = dict.fromkeys(
            state_machine.evacuated, -math.inf)

    def set_document(self, document: documents.Document) -> None:
        """Sets the organisations whose rate limit tokens are allocated."""
        self._token_server.set_windows({
            organisation.name: tokens.window_tokens(organisation)
            for organisation in document.organisations or []
            if organisation.rate_per_s > 0
        })

    def rows(self) -> list[frames.NodeRow]:
        """Returns the rows of the nodes that have not been removed."""
        return [
            entry.row
            for entry in self._entry_by_instance.values()
            if not entry.removed
        ]

    def attach(self, link: connection.Link, message: frames.Attach) -> None:
        """Attaches a node; replaces an earlier link of the same instance."""
        instance = message.row.instance
        for old_link, attached_node in list(
                self._attached_node_by_link.items()):
            if attached_node.instance == instance:
                del self._attached_node_by_link[old_link]
                old_link.abort()
        self._attached_node_by_link[link] = _AttachedNode(
            instance, message.revision, 0)
        self._token_server.attach(runtime.boottime_s(), instance,
                                  message.row.incarnation, message.tokens_held,
                                  message.recent_spends, message.peers,
                                  message.row.failure_domain)
        self._update_row(message.row)
        log.event("hub:attached",
                  node=instance,
                  incarnation=message.row.incarnation,
                  revision=message.revision)

    def _update_row(self, row: frames.NodeRow) -> None:
        entry = self._entry_by_instance.get(row.instance)
        if entry is not None and row.incarnation < entry.row.incarnation:
            return
        self._table_version += 1
        if entry is None:
            entry = _NodeEntry(row, self._table_version)
            self._entry_by_instance[row.instance] = entry
        entry.row = row
        entry.version = self._table_version
        entry.removed = False
        entry.disconnected_at = None
        self._mark_all_due()

    def _mark_all_due(self) -> None:
        for attached_node in self._attached_node_by_link.values():
            attached_node.update_due = True

    def handle_report(self, link: connection.Link,
                      message: frames.Report) -> None:
        """Records what a node has reported."""
        attached_node = self._attached_node_by_link.get(link)
        if attached_node is None:
            return
        attached_node.last_sequence = message.sequence
        attached_node.update_due = True
        attached_node.known_revision = max(attached_node.known_revision,
                                           message.revision)
        if message.row is not None:
            self._update_row(message.row)
        self._token_server.report(runtime.boottime_s(), attached_node.instance,
                                  message.tokens)
        recorded = self._departures(attached_node)
        for lifetime in message.departures:
            if lifetime in recorded:
                attached_node.sent_departures = None
            else:
                self._record_departure(
                    machine.Depart(attached_node.instance, *lifetime))
        for crash_report in message.crashes:
            if crash_report not in self._seen_crash_reports:
                self._seen_crash_reports.add(crash_report)
                self._crash_reports.append(crash_report)
                self._mark_all_due()

    def handle_token_request(self, link: connection.Link,
                             message: frames.TokenRequest) -> None:
        """Answers a node that has run out of tokens of an organisation."""
        attached_node = self._attached_node_by_link.get(link)
        if attached_node is None:
            return
        count = self._token_server.request(runtime.boottime_s(),
                                           attached_node.instance, message.name,
                                           message.count)
        link.send(frames.TokenGrant({message.name: count}))

    def detach(self, link: connection.Link) -> None:
        """Detaches the node whose link has ended."""
        attached_node = self._attached_node_by_link.pop(link, None)
        if attached_node is None:
            return
        entry = self._entry_by_instance.get(attached_node.instance)
        self._token_server.detach(runtime.boottime_s(), attached_node.instance,
                                  entry is not None and entry.row.leaving)
        if entry is not None:
            entry.disconnected_at = self._loop.time()

    def publish_state(self) -> None:
        """Sends new orders of operators to all attached nodes.

        Other entries of the log concern single nodes.
        """
        revisions = (self._state_machine.revision,
                     self._state_machine.evacuation_revision)
        if revisions != self._published_revisions:
            self._published_revisions = revisions
            self._mark_all_due()
        self.send_updates()

    def tick(self) -> None:
        """Removes disconnected nodes, grants tokens and sends due updates."""
        now = self._loop.time()
        for entry in self._entry_by_instance.values():
            if (entry.disconnected_at is not None and not entry.removed and
                    now - entry.disconnected_at > _DISCONNECT_TIMEOUT_S):
                entry.removed = True
                self._table_version += 1
                entry.version = self._table_version
                self._mark_all_due()
                log.event("hub:node_gone", node=entry.row.instance)
        if now - self._granted_at >= _GRANT_INTERVAL_S:
            self._granted_at = now
            self._send_grants()
        if not self._grants_announced and self._token_server.is_ready(
                runtime.boottime_s()):
            self._grants_announced = True
            self._mark_all_due()
        self.send_updates()

    def _send_grants(self) -> None:
        now = runtime.boottime_s()
        self._token_server.expire(now)
        tokens_by_instance = self._token_server.grant(now)
        if not tokens_by_instance:
            return
        for link, attached_node in self._attached_node_by_link.items():
            tokens_by_name = tokens_by_instance.get(attached_node.instance)
            if tokens_by_name is not None:
                link.send(frames.TokenGrant(tokens_by_name))

    def send_updates(self) -> None:
        """Sends updates to the nodes that are due for one."""
        settled = self._loop.time() - self._started_at >= _SETTLING_TIME_S
        for link, attached_node in list(self._attached_node_by_link.items()):
            if not (attached_node.update_due or
                    self._lacks_document(attached_node) or
                    self._lacks_departures(attached_node)):
                continue
            attached_node.update_due = False
            link.send(self._make_update(attached_node, settled))

    def _lacks_document(self, attached_node: _AttachedNode) -> bool:
        # Revision 0 stands for the state before the first desired state.
        return 0 < self._state_machine.revision > attached_node.known_revision

    def _departures(
            self, attached_node: _AttachedNode) -> tuple[tuple[str, int], ...]:
        """Returns the recorded departures of a node's upstream."""
        return self._state_machine.departed_by_instance.get(
            attached_node.instance, ())

    def _lacks_departures(self, attached_node: _AttachedNode) -> bool:
        return attached_node.sent_departures != self._departures(attached_node)

    def _make_update(self, attached_node: _AttachedNode,
                     settled: bool) -> frames.Update:
        document = None
        if self._lacks_document(attached_node):
            document = self._state_machine.document
            attached_node.known_revision = self._state_machine.revision
        complete = settled and not attached_node.sent_complete
        departures = None
        if self._lacks_departures(attached_node):
            attached_node.sent_departures = self._departures(attached_node)
            departures = list(attached_node.sent_departures)
        after_version = 0 if complete else attached_node.sent_version
        attached_node.sent_complete = attached_node.sent_complete or complete
        rows = []
        removed = []
        for instance, entry in self._entry_by_instance.items():
            if entry.version <= after_version:
                continue
            if entry.removed:
                removed.append(instance)
            else:
                rows.append(entry.row)
        attached_node.sent_version = self._table_version
        crash_reports = self._crash_reports[attached_node.sent_crashes:][
            -_MAX_CRASHES_PER_UPDATE:]
        attached_node.sent_crashes = len(self._crash_reports)
        return frames.Update(attached_node.last_sequence,
                             self._state_machine.revision, document, rows,
                             removed, complete, len(self.rows()),
                             self._token_server.is_ready(runtime.boottime_s()),
                             self._member_addresses(), crash_reports,
                             self._state_machine.evacuation_revision,
                             self._evacuation_ages(), departures)

    def _evacuation_ages(self) -> dict[str, float]:
        """Returns the evacuated failure domains and the age of each order."""
        now = self._loop.time()
        ordered_at = self._evacuated_at_by_domain
        self._evacuated_at_by_domain = {
            domain: ordered_at.get(domain, now)
            for domain in self._state_machine.evacuated
        }
        return {
            domain: now - accepted_at
            for domain, accepted_at in self._evacuated_at_by_domain.items()
        }

    def stop(self, redirect: frames.Redirect) -> None:
        """Detaches all nodes and tells them where to attach instead."""
        for link in list(self._attached_node_by_link):
            link.send(redirect)
        self._attached_node_by_link.clear()
