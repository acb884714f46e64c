"""Server side of the stream between a node and a control instance."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from apricothinge import errors
from apricothinge.control import control_pb2
from apricothinge.control import group
from apricothinge.control import history
from apricothinge.control import machine
from apricothinge.control import rpc_messages as messages
from apricothinge.control import view
from apricothinge.control import wire

__all__ = ["AttachedNode"]

_IDLE_TIMEOUT_S: Final = 5.0
_MIN_PUSH_INTERVAL_S: Final = 0.05


class AttachedNode:
    """Receives reports of one node and sends it incremental updates."""

    __slots__ = ("_group_member", "_state_machine", "_view",
                 "_revision_history", "_codec", "_changed", "_last_sequence",
                 "_revision", "_share_revision", "_view_version", "_row",
                 "_closed", "_loop", "_last_push_at")

    def __init__(self, group_member: group.GroupMember,
                 state_machine: machine.ControlMachine, fleet_view: view.View,
                 revision_history: history.RevisionHistory,
                 codec: wire.Codec) -> None:
        self._loop = asyncio.get_running_loop()
        self._group_member = group_member
        self._state_machine = state_machine
        self._view = fleet_view
        self._revision_history = revision_history
        self._codec = codec
        self._changed = asyncio.Event()
        self._last_sequence = -1
        self._revision = -1
        self._share_revision = -1
        self._view_version = 0
        self._row: messages.NodeRow | None = None
        self._closed = False
        self._last_push_at = 0.0

    def notify(self) -> None:
        """Wakes the stream, as there may be changes to send."""
        self._changed.set()

    def close(self) -> None:
        """Closes the stream, so that the node reconnects elsewhere."""
        self._closed = True
        self._changed.set()

    async def run(
            self,
            reports: AsyncIterator[Any]) -> AsyncIterator[control_pb2.Sealed]:
        """Serves the stream until either side closes it or it is idle.

        Args:
            reports: Sealed reports of the node.

        Yields:
            Sealed updates.
        """
        reader = asyncio.ensure_future(self._read_reports(reports))
        try:
            while not self._closed:
                try:
                    async with asyncio.timeout(_IDLE_TIMEOUT_S):
                        await self._changed.wait()
                except TimeoutError:
                    return
                await self._throttle()
                self._changed.clear()
                if self._row is None:
                    continue
                yield self._codec.seal(self._make_update())
        finally:
            reader.cancel()
            if self._row is not None:
                self._view.detach(self._row.instance, self._row.incarnation)

    async def _throttle(self) -> None:
        """Delays an update, so that a burst of changes is sent as one."""
        wait_s = self._last_push_at + _MIN_PUSH_INTERVAL_S - self._loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._last_push_at = self._loop.time()

    async def _read_reports(self, reports: AsyncIterator[Any]) -> None:
        try:
            async for sealed in reports:
                report = self._codec.open(sealed, messages.Report)
                self._handle_report(report)
        except errors.ApricothingeError:
            return
        finally:
            self.close()

    def _handle_report(self, report: messages.Report) -> None:
        now = self._loop.time()
        is_first_report = self._row is None
        if report.row is not None:
            self._row = report.row
        if self._row is None:
            return
        self._view.merge_row(now, self._row, attached=True, age_s=0.0)
        node = self._view.by_instance.get(self._row.instance)
        if node is not None:
            node.last_heard_at = now
            node.revision = report.revision
            if report.demand is not None:
                node.demand = report.demand
        self._view.add_crash_suspects(report.crash_suspects)
        if is_first_report:
            self._revision = report.revision
            self._share_revision = report.share_revision
        self._last_sequence = report.sequence
        self._changed.set()

    def _make_update(self) -> messages.Update:
        """Builds an update of what the node lacks, from a consistent state."""
        state_machine = self._state_machine
        full = None
        delta = None
        if self._revision < state_machine.revision:
            delta = self._revision_history.delta(self._revision,
                                                 state_machine.revision)
            if delta is None:
                full = state_machine.document
            self._revision = state_machine.revision
        changed_shares = None
        if self._share_revision < state_machine.shares.revision:
            changed_shares = state_machine.shares.changed_since(
                self._share_revision)
            self._share_revision = state_machine.shares.revision
        change = self._view.changes_since(self._view_version)
        self._view_version = change.version
        return messages.Update(self._last_sequence,
                               self._group_member.quorum_age_s(),
                               state_machine.revision, full, delta,
                               state_machine.shares.revision, changed_shares,
                               change.rows, change.removed, change.complete,
                               change.crash_suspects)
