"""Tests of apricothinge.control.storage on real files."""

import errno
import os
import pathlib
import struct
import tempfile
import unittest
from unittest import mock
import zlib

import msgspec

from apricothinge import errors
from apricothinge.control import raft_messages
from apricothinge.control import storage
from tests import fakes


def _entries(count, first=1):
    return [
        raft_messages.Entry(first + index, 1, raft_messages.EntryKind.COMMAND,
                            b"data %d" % index) for index in range(count)
    ]


def _entry(index, term=1):
    return raft_messages.Entry(index, term, raft_messages.EntryKind.COMMAND,
                               b"data")


class FileStorageTest(unittest.TestCase):
    """State read back after writes, torn writes and corruption."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "data"

    def _open(self):
        store = storage.FileStorage(self.path)
        self.addCleanup(store.close)
        return store

    def test_round_trip(self):
        """Vote, log and snapshot are read back as written."""
        store = self._open()
        store.save_vote(raft_messages.Vote(7, "c1"))
        store.append(_entries(5), None)
        store.append(_entries(1, first=3), 3)
        loaded = self._open().load()
        self.assertEqual(raft_messages.Vote(7, "c1"), loaded.vote)
        self.assertEqual([1, 2, 3], [e.index for e in loaded.entries])
        store = self._open()
        store.load()
        snapshot = raft_messages.Snapshot(2, 1, {}, b"state")
        store.save_snapshot(snapshot, loaded.entries[2:])
        loaded = self._open().load()
        self.assertEqual(snapshot, loaded.snapshot)
        self.assertEqual([3], [e.index for e in loaded.entries])

    def test_disk_id_is_stable(self):
        """A folder keeps its id, and another folder has a different one."""
        first = self._open().disk_id
        self.assertEqual(first, self._open().disk_id)
        other = storage.FileStorage(self.path.parent / "other")
        self.addCleanup(other.close)
        self.assertNotEqual(first, other.disk_id)

    def test_torn_tail_at_every_byte(self):
        """A torn last write is truncated and all earlier entries are kept."""
        store = self._open()
        store.append(_entries(3), None)
        intact_size = len((self.path / "log").read_bytes())
        store.append(_entries(1, first=4), None)
        log_content = (self.path / "log").read_bytes()
        for size in range(intact_size, len(log_content)):
            (self.path / "log").write_bytes(log_content[:size])
            loaded = self._open().load()
            self.assertEqual([1, 2, 3], [e.index for e in loaded.entries])
            self.assertEqual(intact_size, len((self.path / "log").read_bytes()))

    def test_dropped_log_is_logged(self):
        """What is dropped at the start can be seen afterwards."""
        store = self._open()
        store.append([_entry(1), _entry(2)], None)
        with (self.path / "log").open("ab") as log:
            log.write(b"half")
        with mock.patch.object(storage.eliot, "log_message") as log_message:
            self._open().load()
        self.assertEqual("control:log_truncated", log_message.call_args.args[0])
        self.assertEqual(4, log_message.call_args.kwargs["dropped_bytes"])
        self._crash_after_renames(
            1, lambda: store.save_snapshot(
                raft_messages.Snapshot(2, 5, {}, b"state"), []))
        with mock.patch.object(storage.eliot, "log_message") as log_message:
            self._open().load()
        self.assertEqual("control:log_replaced", log_message.call_args.args[0])
        self.assertEqual(5, log_message.call_args.kwargs["snapshot_term"])

    def test_append_after_torn_tail(self):
        """Entries appended after truncating a torn write are read back."""
        self._open().append(_entries(2), None)
        with (self.path / "log").open("ab") as log:
            log.write(b"\xa7LR1 half of a rec")
        store = self._open()
        store.load()
        store.append(_entries(1, first=3), None)
        self.assertEqual([1, 2, 3],
                         [e.index for e in self._open().load().entries])

    def test_corrupt_middle_at_every_byte(self):
        """Corruption before intact records raises and leaves the log as is."""
        store = self._open()
        store.append(_entries(2), None)
        middle = len((self.path / "log").read_bytes())
        store.append(_entries(2, first=3), None)
        log_content = (self.path / "log").read_bytes()
        for position in range(middle):
            corrupt = bytearray(log_content)
            corrupt[position] ^= 0xFF
            (self.path / "log").write_bytes(corrupt)
            with self.assertRaises(errors.ApricothingeError) as caught:
                self._open().load()
            self.assertIs(errors.Kind.STORAGE_DAMAGED, caught.exception.kind)
            self.assertEqual(bytes(corrupt), (self.path / "log").read_bytes())

    def test_torn_write_of_several_entries(self):
        """A write is torn wherever a part of it is missing, not only its end.

        Other parts of the same write, also intact entries, may be there.
        """
        store = self._open()
        store.append(_entries(2), None)
        synced_size = len((self.path / "log").read_bytes())
        store.append(_entries(3, first=3), None)
        log_content = (self.path / "log").read_bytes()
        for start in range(synced_size, len(log_content)):
            for size in (1, 16, 40):
                torn = bytearray(log_content)
                end = min(len(torn), start + size)
                torn[start:end] = bytes(end - start)
                if torn == log_content:
                    continue
                (self.path / "log").write_bytes(torn)
                store = self._open()
                found = [entry.index for entry in store.load().entries]
                self.assertIn(found, ([1, 2], [1, 2, 3], [1, 2, 3, 4]))
                store.append([_entry(found[-1] + 1)], None)
                store.close()
                self.assertEqual(found + [found[-1] + 1],
                                 [e.index for e in self._open().load().entries])

    def test_log_of_previous_version(self):
        """Entries that were written without a position are read."""
        encoder = msgspec.msgpack.Encoder()
        log_content = b""
        for entry in _entries(3):
            payload = encoder.encode(entry)
            log_content += struct.pack("<4sII", b"\xa7LR1", len(payload),
                                       zlib.crc32(payload)) + payload
        self._open().close()
        (self.path / "log").write_bytes(log_content)
        store = self._open()
        store.load()
        store.append(_entries(1, first=4), None)
        self.assertEqual([1, 2, 3, 4],
                         [entry.index for entry in self._open().load().entries])
        for position in range(len(log_content) // 3):
            corrupt = bytearray(log_content)
            corrupt[position] ^= 0xFF
            (self.path / "log").write_bytes(corrupt)
            with self.assertRaises(errors.ApricothingeError):
                self._open().load()

    def test_log_for_previous_version(self):
        """A version that knows no positions reads all entries."""
        store = self._open()
        entries = [_entry(index) for index in (1, 2, 3)]
        store.append(entries, None)
        data = (self.path / "log").read_bytes()
        found = []
        while data:
            magic, length, checksum = struct.unpack_from("<4sII", data)
            payload, data = data[12:12 + length], data[12 + length:]
            self.assertEqual((b"\xa7LR1", zlib.crc32(payload)),
                             (magic, checksum))
            found.append(
                msgspec.msgpack.decode(payload, type=raft_messages.Entry))
        self.assertEqual(entries, found)

    def test_conflicting_log_after_crash_during_snapshot(self):
        """A snapshot replaces a conflicting log, also across a crash.

        With the old entries, the member would appear to have an older log
        than it acknowledged, and vote for a candidate that lacks entries.
        """
        snapshot = raft_messages.Snapshot(2, 5, {}, b"state")
        for rename_count in range(3):
            with self.subTest(renames=rename_count):
                self._open().close()
                for path in self.path.iterdir():
                    path.unlink()
                store = self._open()
                store.append([_entry(index) for index in (1, 2, 3)], None)
                self._crash_after_renames(
                    rename_count,
                    lambda store=store: store.save_snapshot(snapshot, []))
                store = self._open()
                loaded = store.load()
                if loaded.snapshot is None:
                    self.assertEqual([1, 1, 1],
                                     [entry.term for entry in loaded.entries])
                    continue
                self.assertEqual([], loaded.entries)
                store.append([_entry(3, 5), _entry(4, 6)], None)
                self.assertEqual([5, 6],
                                 [e.term for e in self._open().load().entries])

    @staticmethod
    def _crash_after_renames(count, action):
        """Runs an action that crashes when it renames once more."""
        replace = pathlib.Path.replace
        remaining = count

        def crash(path, target):
            nonlocal remaining
            if not remaining:
                raise fakes.SimulatedCrash
            remaining -= 1
            return replace(path, target)

        with mock.patch.object(pathlib.Path, "replace", crash):
            try:
                action()
            except fakes.SimulatedCrash:
                pass

    def test_corrupt_vote_or_snapshot(self):
        """A truncated vote or snapshot file raises an error."""
        store = self._open()
        store.save_vote(raft_messages.Vote(7, "c1"))
        store.save_snapshot(raft_messages.Snapshot(1, 1, {}, b"x"), [])
        for name in ("vote", "snapshot"):
            content = (self.path / name).read_bytes()
            (self.path / name).write_bytes(content[:-1])
            with self.assertRaises(errors.ApricothingeError):
                self._open().load()
            (self.path / name).write_bytes(content)


if __name__ == "__main__":
    unittest.main()


class FullDiskTest(unittest.TestCase):
    """Any step of any write may fail because the disk is full."""

    _STEPS = ("open", "write", "fsync", "rename", "ftruncate")

    def _run_with_failure(self, step, calls, action):
        """Runs an action in which one call of a step fails.

        Returns:
            Whether the action failed.
        """
        real = {
            "open": os.open,
            "write": os.write,
            "fsync": os.fsync,
            "rename": pathlib.Path.replace,
            "ftruncate": os.ftruncate
        }[step]
        count = 0

        def fail(*arguments):
            nonlocal count
            count += 1
            if count == calls + 1:
                raise OSError(errno.ENOSPC, "no space left")
            return real(*arguments)

        patched = (mock.patch.object(pathlib.Path, "replace", fail)
                   if step == "rename" else mock.patch.object(os, step, fail))
        with patched:
            try:
                action()
            except OSError:
                return True
        return False

    def test_each_step(self):
        """A failed write leaves the state before it, or the whole new one."""
        entries = [_entry(index) for index in range(1, 4)]
        snapshot = raft_messages.Snapshot(2, 1, {}, b"state")
        actions = {
            "append":
                lambda store: store.append([_entry(4), _entry(5)], None),
            "overwrite":
                lambda store: store.append([_entry(3, 2)], 3),
            "vote":
                lambda store: store.save_vote(raft_messages.Vote(7, "b")),
            "snapshot":
                lambda store: store.save_snapshot(snapshot, [_entry(3)]),
        }
        for name, action in actions.items():
            for step in self._STEPS:
                for calls in range(6):
                    with self.subTest(action=name, step=step, calls=calls):
                        self._check_step(entries, action, step, calls)

    def test_append_after_failed_sync_of_folder(self):
        """Entries go to the log that is read, whichever step has failed.

        A member whose disk was full loads its state again and goes on.
        """
        snapshot = raft_messages.Snapshot(2, 1, {}, b"state")
        for step in self._STEPS:
            for calls in range(8):
                with (self.subTest(step=step,
                                   calls=calls), tempfile.TemporaryDirectory()
                      as name):
                    folder = pathlib.Path(name)
                    store = storage.FileStorage(folder)
                    store.append([_entry(index) for index in (1, 2, 3)], None)
                    self._run_with_failure(step,
                                           calls,
                                           lambda store=store: store.
                                           save_snapshot(snapshot, [_entry(3)]))
                    store.load()
                    store.append([_entry(4)], None)
                    loaded = storage.FileStorage(folder).load()
                    self.assertEqual(4, loaded.entries[-1].index)

    def _check_step(self, entries, action, step, calls):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            store = storage.FileStorage(folder)
            store.append(entries, None)
            store.save_vote(raft_messages.Vote(3, "a"))
            before = self._state(store)
            failed = self._run_with_failure(step, calls, lambda: action(store))
            reopened = storage.FileStorage(folder)
            found = self._state(reopened)
            if not failed:
                return
            # The same object goes on as well, once there is room again.
            self.assertEqual(self._state(store), found)
            action(store)
            after = self._state(storage.FileStorage(folder))
            if found != before:
                # Only what follows the dropped entries may be missing.
                self.assertIn(found[2], (before[2][:2], after[2], before[2]))
            store.append([_entry(after[2][-1].index + 1, 9)], None)
            self.assertEqual(
                self._state(storage.FileStorage(folder))[2][:-1], after[2])

    @staticmethod
    def _state(store):
        state = store.load()
        return state.vote, state.snapshot, state.entries
