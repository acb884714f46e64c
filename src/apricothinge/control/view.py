"""Fleet membership as seen by one control instance."""

from typing import Final

from apricothinge.control import rpc_messages as messages

__all__ = ["View", "ViewChange"]

_NODE_TIMEOUT_S: Final = 5.0
_TOMBSTONE_RETENTION_S: Final = 60.0
_MAX_CRASH_SUSPECTS: Final = 256


class ViewChange:
    """Difference between an earlier version of a view and the current one.

    Attributes:
        version: Version of the view that includes the change.
        rows: Rows that are new or changed.
        removed: Instances that were removed.
        crash_suspects: New crash suspects.
        complete: Whether `rows` holds the rows of all nodes.
    """

    __slots__ = ("version", "rows", "removed", "crash_suspects", "complete")

    def __init__(self, version: int, rows: list[messages.NodeRow],
                 removed: list[str],
                 crash_suspects: list[messages.CrashSuspect],
                 complete: bool) -> None:
        self.version = version
        self.rows = rows
        self.removed = removed
        self.crash_suspects = crash_suspects
        self.complete = complete

    def __bool__(self) -> bool:
        return bool(self.rows or self.removed or self.crash_suspects or
                    self.complete)


class _Node:
    """State of one node in a view.

    Attributes:
        row: Latest row that the node reported.
        last_heard_at: Time in seconds of the latest report.
        version: Version of the view in which the row last changed.
        attached: Whether the node is connected to this control instance.
        revision: Revision of the lists that the node uses; -1 if unknown.
        demand: Requests per second by organisation.
    """

    __slots__ = ("row", "last_heard_at", "version", "attached", "revision",
                 "demand")

    def __init__(self, row: messages.NodeRow, last_heard_at: float,
                 version: int) -> None:
        self.row = row
        self.last_heard_at = last_heard_at
        self.version = version
        self.attached = False
        self.revision = -1
        self.demand: dict[str, float] = {}


class View:
    """Rows of all nodes, with the time of the latest report of each.

    Attributes:
        by_instance: Nodes by instance.
        version: Incremented with each change.
    """

    __slots__ = ("by_instance", "version", "_tombstones", "_crash_suspects",
                 "_known_crash_suspects")

    def __init__(self) -> None:
        self.by_instance: dict[str, _Node] = {}
        self.version = 0
        self._tombstones: dict[str, tuple[int, float]] = {}
        self._crash_suspects: list[tuple[int, messages.CrashSuspect]] = []
        self._known_crash_suspects: set[messages.CrashSuspect] = set()

    def merge_row(self, now: float, row: messages.NodeRow, *, attached: bool,
                  age_s: float) -> None:
        """Merges a row, unless the view holds a newer one.

        Args:
            now: Time in seconds.
            row: Row as reported by the node.
            attached: Whether the row was received on a stream of the node
                rather than from another control instance.
            age_s: Seconds since the latest report of the node.
        """
        node = self.by_instance.get(row.instance)
        if node is None:
            self.version += 1
            node = _Node(row, now - age_s, self.version)
            self.by_instance[row.instance] = node
            self._tombstones.pop(row.instance, None)
        elif ((row.incarnation, row.sequence)
              > (node.row.incarnation, node.row.sequence)):
            self.version += 1
            node.row = row
            node.version = self.version
        elif attached and row.incarnation < node.row.incarnation:
            return
        node.last_heard_at = max(node.last_heard_at, now - age_s)
        if attached:
            node.attached = True

    def merge_heartbeat(self, now: float, instance: str,
                        heartbeat: messages.NodeHeartbeat) -> None:
        """Merges a relayed heartbeat, unless a newer report was received."""
        node = self.by_instance.get(instance)
        if node is None:
            return
        last_heard_at = now - heartbeat.age_s
        if last_heard_at < node.last_heard_at:
            return
        node.last_heard_at = last_heard_at
        node.revision = heartbeat.revision
        node.demand = heartbeat.demand

    def detach(self, instance: str, incarnation: int) -> None:
        """Marks a node as no longer connected, unless it has restarted."""
        node = self.by_instance.get(instance)
        if node is not None and node.row.incarnation == incarnation:
            node.attached = False

    def add_crash_suspects(self,
                           crash_suspects: list[messages.CrashSuspect]) -> None:
        """Adds the crash suspects that the view does not hold yet."""
        for suspect in crash_suspects:
            if suspect in self._known_crash_suspects:
                continue
            self.version += 1
            self._known_crash_suspects.add(suspect)
            self._crash_suspects.append((self.version, suspect))
        while len(self._crash_suspects) > _MAX_CRASH_SUSPECTS:
            _, oldest = self._crash_suspects.pop(0)
            self._known_crash_suspects.discard(oldest)

    def expire(self, now: float) -> None:
        """Removes nodes that have timed out, and tombstones past retention."""
        for instance, node in list(self.by_instance.items()):
            if now - node.last_heard_at > _NODE_TIMEOUT_S:
                del self.by_instance[instance]
                self.version += 1
                self._tombstones[instance] = (self.version, now)
        for instance, (_, removed_at) in list(self._tombstones.items()):
            if now - removed_at > _TOMBSTONE_RETENTION_S:
                del self._tombstones[instance]

    def changes_since(self, version: int) -> ViewChange:
        """Returns the changes after a version; 0 requests the complete view."""
        return ViewChange(self.version, [
            node.row
            for node in self.by_instance.values()
            if node.version > version
        ], [
            instance
            for instance, (removed_version, _) in self._tombstones.items()
            if removed_version > version
        ], [
            suspect for added_version, suspect in self._crash_suspects
            if added_version > version
        ], version == 0)

    def make_update(self, now: float, sender: str,
                    change: ViewChange) -> (messages.ViewUpdate):
        """Builds an update on attached nodes for other control instances."""
        attached = {
            instance: node
            for instance, node in self.by_instance.items()
            if node.attached
        }
        return messages.ViewUpdate(
            sender, [row for row in change.rows if row.instance in attached], {
                instance:
                    messages.NodeHeartbeat(now - node.last_heard_at,
                                           node.revision, node.demand)
                for instance, node in attached.items()
            }, change.crash_suspects)

    def merge_update(self, now: float, update: messages.ViewUpdate) -> None:
        """Merges an update from another control instance."""
        for row in update.rows:
            heartbeat = update.heartbeats.get(row.instance)
            age_s = 0.0 if heartbeat is None else heartbeat.age_s
            self.merge_row(now, row, attached=False, age_s=age_s)
        for instance, heartbeat in update.heartbeats.items():
            self.merge_heartbeat(now, instance, heartbeat)
        self.add_crash_suspects(update.crash_suspects)
