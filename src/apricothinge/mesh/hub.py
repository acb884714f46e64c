"""The nodes that are attached to the leader of control."""

import asyncio
from collections.abc import Callable
from typing import Final

from apricothinge import log
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import documents
from apricothinge.mesh import machine
from apricothinge.mesh import token_server
from apricothinge.mesh import tokens

__all__ = ["Hub"]

_GRANT_S: Final = 0.1
# A node whose link is lost dials again within a second.
_LISTED_FOR_S: Final = 3.0
# All live nodes have attached to a new leader by then.
_SETTLED_S: Final = 3.0
_LARGEST_CRASHES: Final = 200


class _Listed:
    """A row with the version of the table at which it changed last.

    Attributes:
        row: The node.
        version: Of the table.
        gone: Whether it has left.
        lost_at: Loop time at which its link was lost, or None.
    """

    __slots__ = ("row", "version", "gone", "lost_at")

    def __init__(self, row: frames.NodeRow, version: int) -> None:
        self.row = row
        self.version = version
        self.gone = False
        self.lost_at: float | None = None


class _Attached:
    """What one node has been told.

    Attributes:
        instance: Its name.
        version: Of the table of nodes.
        revision: Of the desired state.
        echo: Its latest report.
        crashes: How many crash reports it was sent.
        complete: Whether it was sent a table known to be complete.
        due: Whether there is something to send.
    """

    __slots__ = ("instance", "version", "revision", "echo", "crashes",
                 "complete", "due")

    def __init__(self, instance: str, revision: int, crashes: int) -> None:
        self.instance = instance
        self.version = 0
        self.revision = revision
        self.echo = 0
        self.crashes = crashes
        self.complete = False
        self.due = True


class Hub:
    """Gathers what nodes report and tells each of them what it lacks.

    It exists while its process leads, and starts empty with each term.
    """

    __slots__ = ("_loop", "_machine", "_members", "_listed_by_instance",
                 "_attached_by_link", "_version", "_started_at", "_tokens",
                 "_crashes", "_known_crashes", "_granted_at", "_granting")

    def __init__(self, state: machine.MeshStateMachine,
                 members: Callable[[], list[str]]) -> None:
        self._loop = asyncio.get_running_loop()
        self._machine = state
        self._members = members
        self._listed_by_instance: dict[str, _Listed] = {}
        self._attached_by_link: dict[connection.Link, _Attached] = {}
        self._version = 0
        self._started_at = self._loop.time()
        self._tokens = token_server.TokenServer(tokens.boottime_s())
        self._crashes: list[tuple[str, str]] = []
        self._known_crashes: set[tuple[str, str]] = set()
        self._granted_at = 0.0
        self._granting = False

    def set_document(self, document: documents.Document) -> None:
        """Takes in whose rates are divided."""
        self._tokens.set_windows({
            row.name: tokens.window_tokens(row)
            for row in document.organisations or []
            if row.rate_per_s > 0
        })

    def rows(self) -> list[frames.NodeRow]:
        """Nodes that are listed."""
        return [
            listed.row
            for listed in self._listed_by_instance.values()
            if not listed.gone
        ]

    def attach(self, link: connection.Link, message: frames.Attach) -> None:
        """Takes in a node."""
        instance = message.row.instance
        for other, attached in list(self._attached_by_link.items()):
            if attached.instance == instance:
                del self._attached_by_link[other]
                other.abort()
        self._attached_by_link[link] = _Attached(instance, message.revision, 0)
        self._tokens.attach(tokens.boottime_s(), instance,
                            message.row.incarnation, message.tokens_held,
                            message.recent_spends, message.peers)
        self._put(message.row)
        log.event("hub:attached",
                  node=instance,
                  incarnation=message.row.incarnation,
                  revision=message.revision)

    def _put(self, row: frames.NodeRow) -> None:
        listed = self._listed_by_instance.get(row.instance)
        if listed is not None and row.incarnation < listed.row.incarnation:
            return
        self._version += 1
        if listed is None:
            listed = _Listed(row, self._version)
            self._listed_by_instance[row.instance] = listed
        listed.row = row
        listed.version = self._version
        listed.gone = False
        listed.lost_at = None
        self._all_due()

    def _all_due(self) -> None:
        for attached in self._attached_by_link.values():
            attached.due = True

    def report(self, link: connection.Link, message: frames.Report) -> None:
        """Takes in a report."""
        attached = self._attached_by_link.get(link)
        if attached is None:
            return
        attached.echo = message.sequence
        attached.due = True
        attached.revision = max(attached.revision, message.revision)
        if message.row is not None:
            self._put(message.row)
        self._tokens.report(tokens.boottime_s(), attached.instance,
                            message.tokens)
        for crash in message.crashes:
            if crash not in self._known_crashes:
                self._known_crashes.add(crash)
                self._crashes.append(crash)
                self._all_due()

    def ask(self, link: connection.Link, message: frames.TokenRequest) -> None:
        """Takes in that a node has run out of an organisation's tokens."""
        attached = self._attached_by_link.get(link)
        if attached is None:
            return
        count = self._tokens.request(tokens.boottime_s(), attached.instance,
                                     message.name, message.count)
        link.send(frames.TokenGrant({message.name: count}))

    def lost(self, link: connection.Link) -> None:
        """Takes in that a node's link has ended."""
        attached = self._attached_by_link.pop(link, None)
        if attached is None:
            return
        listed = self._listed_by_instance.get(attached.instance)
        self._tokens.detach(tokens.boottime_s(), attached.instance,
                            listed is not None and listed.row.leaving)
        if listed is not None:
            listed.lost_at = self._loop.time()

    def changed(self) -> None:
        """Takes in that there is a new desired state."""
        self._all_due()
        self.send()

    def tick(self) -> None:
        """Lists who has left, divides rates, and sends what is due."""
        now = self._loop.time()
        for listed in self._listed_by_instance.values():
            if (listed.lost_at is not None and not listed.gone and
                    now - listed.lost_at > _LISTED_FOR_S):
                listed.gone = True
                self._version += 1
                listed.version = self._version
                self._all_due()
                log.event("hub:node_gone", node=listed.row.instance)
        if now - self._granted_at >= _GRANT_S:
            self._granted_at = now
            self._grant()
        if not self._granting and self._tokens.is_ready(tokens.boottime_s()):
            self._granting = True
            self._all_due()
        self.send()

    def _grant(self) -> None:
        boot_s = tokens.boottime_s()
        self._tokens.expire(boot_s)
        granted = self._tokens.grant(boot_s)
        if not granted:
            return
        for link, attached in self._attached_by_link.items():
            found = granted.get(attached.instance)
            if found is not None:
                link.send(frames.TokenGrant(found))

    def send(self) -> None:
        """Sends updates to the nodes that lack something."""
        settled = self._loop.time() - self._started_at >= _SETTLED_S
        for link, attached in list(self._attached_by_link.items()):
            if not attached.due and not self._lacks_state(attached):
                continue
            attached.due = False
            link.send(self._update(attached, settled))

    def _lacks_state(self, attached: _Attached) -> bool:
        # Revision 0 is the time before the first desired state.
        return 0 < self._machine.revision > attached.revision

    def _update(self, attached: _Attached, settled: bool) -> frames.Update:
        document = None
        if self._lacks_state(attached):
            document = self._machine.document
            attached.revision = self._machine.revision
        complete = settled and not attached.complete
        since = 0 if complete else attached.version
        attached.complete = attached.complete or complete
        rows = []
        gone = []
        for instance, listed in self._listed_by_instance.items():
            if listed.version <= since:
                continue
            if listed.gone:
                gone.append(instance)
            else:
                rows.append(listed.row)
        attached.version = self._version
        crashes = self._crashes[attached.crashes:][-_LARGEST_CRASHES:]
        attached.crashes = len(self._crashes)
        return frames.Update(attached.echo, self._machine.revision, document,
                             rows, gone, complete, len(self.rows()),
                             self._tokens.is_ready(tokens.boottime_s()),
                             self._members(), crashes)

    def stop(self, busy: frames.Redirect) -> None:
        """Sends all nodes away, since this process leads no more."""
        for link in list(self._attached_by_link):
            link.send(busy)
        self._attached_by_link.clear()
