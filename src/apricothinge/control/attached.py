"""One node's stream at a control instance."""

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

_SILENCE_S: Final = 5.0
_PUSH_INTERVAL_S: Final = 0.05


class AttachedNode:
    """Takes reports in and sends what the node does not have yet."""

    __slots__ = ("_group", "_machine", "_view", "_history", "_codec", "_wake",
                 "_echo", "_revision", "_share_revision", "_view_version",
                 "_row", "_ended", "_loop", "_pushed_at")

    def __init__(self, members: group.Group, state: machine.ControlMachine,
                 fleet: view.View, revisions: history.History,
                 codec: wire.Codec) -> None:
        self._loop = asyncio.get_running_loop()
        self._group = members
        self._machine = state
        self._view = fleet
        self._history = revisions
        self._codec = codec
        self._wake = asyncio.Event()
        self._echo = -1
        self._revision = -1
        self._share_revision = -1
        self._view_version = 0
        self._row: messages.NodeRow | None = None
        self._ended = False
        self._pushed_at = 0.0

    def wake(self) -> None:
        """Tells the stream that there may be something new to send."""
        self._wake.set()

    def end(self) -> None:
        """Ends the stream, so that the node goes to another instance."""
        self._ended = True
        self._wake.set()

    async def run(
            self,
            reports: AsyncIterator[Any]) -> AsyncIterator[control_pb2.Sealed]:
        """Serves the stream until either side ends it.

        Args:
            reports: The node's sealed reports.

        Yields:
            Sealed updates.
        """
        reader = asyncio.ensure_future(self._read(reports))
        try:
            while not self._ended:
                try:
                    async with asyncio.timeout(_SILENCE_S):
                        await self._wake.wait()
                except TimeoutError:
                    return
                await self._pace()
                self._wake.clear()
                if self._row is None:
                    continue
                yield self._codec.seal(self._update())
        finally:
            reader.cancel()
            if self._row is not None:
                self._view.detach(self._row.instance, self._row.incarnation)

    async def _pace(self) -> None:
        """Gathers changes for a moment, so that bursts make one message."""
        wait_s = self._pushed_at + _PUSH_INTERVAL_S - self._loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._pushed_at = self._loop.time()

    async def _read(self, reports: AsyncIterator[Any]) -> None:
        try:
            async for sealed in reports:
                report = self._codec.open(sealed, messages.Report)
                self._take(report)
        except errors.ApricothingeError:
            return
        finally:
            self.end()

    def _take(self, report: messages.Report) -> None:
        now = self._loop.time()
        first = self._row is None
        if report.row is not None:
            self._row = report.row
        if self._row is None:
            return
        self._view.merge_row(now, self._row, attached=True, age_s=0.0)
        known = self._view.by_instance.get(self._row.instance)
        if known is not None:
            known.last_heard_at = now
            known.revision = report.revision
            if report.demand is not None:
                known.demand = report.demand
        self._view.add_crashes(report.crashes)
        if first:
            self._revision = report.revision
            self._share_revision = report.share_revision
        self._echo = report.sequence
        self._wake.set()

    def _update(self) -> messages.Update:
        """Puts together what the node lacks, at one point in time."""
        state = self._machine
        full = None
        delta = None
        if self._revision < state.revision:
            delta = self._history.delta(self._revision, state.revision)
            if delta is None:
                full = state.document
            self._revision = state.revision
        moved = None
        if self._share_revision < state.shares.revision:
            moved = state.shares.since(self._share_revision)
            self._share_revision = state.shares.revision
        change = self._view.changes_since(self._view_version)
        self._view_version = change.version
        return messages.Update(self._echo, self._group.age_s(), state.revision,
                               full, delta, state.shares.revision, moved,
                               change.rows, change.removed, change.complete,
                               change.crashes)
