"""Durable storage of the Raft log, vote and snapshot."""

import abc
import os
import pathlib
import secrets
import struct
from typing import Final
import zlib

import eliot
import msgspec

from apricothinge import errors
from apricothinge.control import raft_messages as messages

__all__ = [
    "FileStorage", "PersistentState", "Storage", "set_files_aside",
    "were_files_set_aside"
]

_MAGIC: Final = b"\xa7LR1"
_RECORD_HEADER: Final = struct.Struct("<4sII")
_MAX_RECORD_BYTES: Final = 256 << 20
_DISK_ID_BYTES: Final = 8
# Added to the names of damaged files, which are kept for later inspection.
_DAMAGED_SUFFIX: Final = ".damaged"
# An empty file that shows that files have been set aside.
_DAMAGED_MARKER: Final = "damaged"
# Room for a desired state of some hundred routes.
_PROBE_BYTES: Final = 256 << 10


class _LoggedEntry(messages.Entry, frozen=True, array_like=True):
    """An entry as written to the log.

    Earlier versions ignore the additional field, and write none.

    Attributes:
        position: Offset of its record in the write that it was part of, in
            bytes. It tells a torn write from a corrupt log.
    """

    position: int = 0


class PersistentState:
    """State of a member as read at start.

    Attributes:
        vote: Current term and vote.
        snapshot: The latest snapshot, or None.
        entries: Log entries after the snapshot.
    """

    __slots__ = ("vote", "snapshot", "entries")

    def __init__(self, vote: messages.Vote, snapshot: messages.Snapshot | None,
                 entries: list[messages.Entry]) -> None:
        self.vote = vote
        self.snapshot = snapshot
        self.entries = entries


class Storage(abc.ABC):
    """Persistent state of a member; each write returns once it is synced."""

    __slots__ = ()

    @abc.abstractmethod
    def load(self) -> PersistentState:
        """Reads the persisted state."""

    @abc.abstractmethod
    def save_vote(self, vote: messages.Vote) -> None:
        """Replaces the current term and vote."""

    @abc.abstractmethod
    def append(self, entries: list[messages.Entry],
               replace_from: int | None) -> None:
        """Appends entries to the log.

        Args:
            entries: In order of their indices.
            replace_from: Index from which existing entries are dropped first,
                or None.
        """

    @abc.abstractmethod
    def probe(self) -> None:
        """Checks that the storage accepts writes.

        Raises:
            OSError: It does not.
        """

    @abc.abstractmethod
    def save_snapshot(self, snapshot: messages.Snapshot,
                      entries: list[messages.Entry]) -> None:
        """Replaces the snapshot and the log.

        Args:
            snapshot: The new snapshot.
            entries: Entries that follow it.
        """


def _encode_record(payload: bytes) -> bytes:
    return _RECORD_HEADER.pack(_MAGIC, len(payload),
                               zlib.crc32(payload)) + payload


def _decode_record(data: bytes, offset: int) -> tuple[bytes, int] | None:
    """Returns an intact record's payload and end offset, or None."""
    if offset + _RECORD_HEADER.size > len(data):
        return None
    magic, length, checksum = _RECORD_HEADER.unpack_from(data, offset)
    start = offset + _RECORD_HEADER.size
    if (magic != _MAGIC or not length or length > _MAX_RECORD_BYTES or
            start + length > len(data)):
        return None
    payload = data[start:start + length]
    if zlib.crc32(payload) != checksum:
        return None
    return payload, start + length


class FileStorage(Storage):
    """Keeps the files `disk`, `vote`, `snapshot` and `log` in one data folder.

    Each file holds records with a length and a checksum. `vote` and `snapshot`
    are replaced atomically by a rename; `log` is appended to. A write that
    fails leaves the files as they were.

    Attributes:
        disk_id: Random id of the data folder, created on first use.
    """

    __slots__ = ("disk_id", "_folder", "_log", "_encoder", "_vote_decoder",
                 "_entry_decoder", "_snapshot_decoder", "_size_by_index")

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._encoder = msgspec.msgpack.Encoder()
        self._vote_decoder = msgspec.msgpack.Decoder(messages.Vote)
        self._entry_decoder = msgspec.msgpack.Decoder(_LoggedEntry)
        self._snapshot_decoder = msgspec.msgpack.Decoder(messages.Snapshot)
        self._size_by_index: dict[int, int] = {}
        folder.mkdir(parents=True, exist_ok=True)
        _sync_folder(folder.parent)
        self.disk_id = self._load_disk_id()
        self._log = -1
        self._reopen_log()
        _sync_folder(self._folder)

    def _open_log(self) -> int:
        return os.open(self._folder / "log",
                       os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def _reopen_log(self) -> None:
        """Opens the file that has the log's name now."""
        reopened = self._open_log()
        self.close()
        self._log = reopened

    def _corruption_error(self, name: str,
                          offset: int) -> errors.ApricothingeError:
        return errors.ApricothingeError(
            errors.Kind.STORAGE_DAMAGED,
            f"{self._folder / name} is corrupt at byte {offset};"
            " replace this member")

    def _load_disk_id(self) -> str:
        path = self._folder / "disk"
        if path.exists():
            decoded = _decode_record(path.read_bytes(), 0)
            if decoded is None:
                raise self._corruption_error("disk", 0)
            return decoded[0].decode()
        disk_id = secrets.token_hex(_DISK_ID_BYTES)
        self._write_record_file("disk", disk_id.encode())
        return disk_id

    def _write_record_file(self, name: str, payload: bytes) -> None:
        self._write_file_atomically(name, _encode_record(payload))

    def _write_file_atomically(self, name: str, content: bytes) -> None:
        path = self._folder / name
        temporary = path.with_suffix(".new")
        try:
            _write_file(temporary, content)
            temporary.replace(path)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
        _sync_folder(self._folder)

    def probe(self) -> None:
        path = self._folder / "probe"
        try:
            _write_file(path, bytes(_PROBE_BYTES))
        finally:
            path.unlink(missing_ok=True)

    def _read_record_file(self, name: str) -> bytes | None:
        path = self._folder / name
        if not path.exists():
            return None
        decoded = _decode_record(path.read_bytes(), 0)
        if decoded is None:
            raise self._corruption_error(name, 0)
        return decoded[0]

    def read_record(self, name: str) -> bytes | None:
        """Reads a record that the caller keeps in the data folder.

        Returns:
            The payload, or None if there is no such file.

        Raises:
            errors.ApricothingeError: STORAGE_DAMAGED if the file is corrupt.
        """
        return self._read_record_file(name)

    def write_record(self, name: str, payload: bytes) -> None:
        """Replaces a record that the caller keeps in the folder; syncs it."""
        self._write_record_file(name, payload)

    def load(self) -> PersistentState:
        """Reads the persisted state and truncates a torn write at the end.

        Of a torn write, any part may be missing.

        Raises:
            errors.ApricothingeError: STORAGE_DAMAGED for any corruption other
                than an incomplete last write of the log.
        """
        # A failed save_snapshot may have replaced the file.
        self._reopen_log()
        vote_payload = self._read_record_file("vote")
        vote = (messages.Vote(0, "") if vote_payload is None else
                self._vote_decoder.decode(vote_payload))
        snapshot_payload = self._read_record_file("snapshot")
        snapshot = (None if snapshot_payload is None else
                    self._snapshot_decoder.decode(snapshot_payload))
        entries = self._load_log()
        if snapshot is not None:
            entries = self._drop_replaced(entries, snapshot)
        self._check_sequence(0 if snapshot is None else snapshot.index, entries)
        return PersistentState(vote, snapshot, entries)

    def _load_log(self) -> list[messages.Entry]:
        data = (self._folder / "log").read_bytes()
        offset = 0
        self._size_by_index = {}
        entries: list[messages.Entry] = []
        while offset < len(data):
            decoded = _decode_record(data, offset)
            if decoded is None:
                self._truncate_torn_tail(data, offset)
                break
            payload, end = decoded
            entry = self._entry_decoder.decode(payload)
            self._size_by_index[entry.index] = end - offset
            entries.append(
                messages.Entry(entry.index, entry.term, entry.kind, entry.data))
            offset = end
        return entries

    def _drop_replaced(self, entries: list[messages.Entry],
                       snapshot: messages.Snapshot) -> list[messages.Entry]:
        """Returns the entries that follow the snapshot.

        After a crash between the two writes of `save_snapshot`, the log may
        still be one that conflicts with the snapshot and has been replaced.
        """
        if any(entry.index == snapshot.index and entry.term != snapshot.term
               for entry in entries):
            eliot.log_message("control:log_replaced",
                              folder=str(self._folder),
                              snapshot_index=snapshot.index,
                              snapshot_term=snapshot.term,
                              dropped_entries=len(entries))
            os.ftruncate(self._log, 0)
            os.fsync(self._log)
            self._size_by_index = {}
            return []
        return [entry for entry in entries if entry.index > snapshot.index]

    def _check_sequence(self, after: int,
                        entries: list[messages.Entry]) -> None:
        for expected, entry in enumerate(entries, after + 1):
            if entry.index != expected:
                raise self._corruption_error("log", 0)

    def _truncate_torn_tail(self, data: bytes, offset: int) -> None:
        """Truncates the log at an incomplete last write.

        A write starts only once all before it are synced. An intact record of
        a write that started after the offset therefore shows that synced data
        is corrupt, which raises an error instead.
        """
        start = data.find(_MAGIC, offset + 1)
        while start != -1:
            decoded = _decode_record(data, start)
            if decoded is not None:
                entry = self._entry_decoder.decode(decoded[0])
                if start - entry.position > offset:
                    raise self._corruption_error("log", offset)
            start = data.find(_MAGIC, start + 1)
        eliot.log_message("control:log_truncated",
                          folder=str(self._folder),
                          from_byte=offset,
                          dropped_bytes=len(data) - offset)
        os.ftruncate(self._log, offset)
        os.fsync(self._log)

    def save_vote(self, vote: messages.Vote) -> None:
        self._write_record_file("vote", self._encoder.encode(vote))

    def _encode_entries(self, entries: list[messages.Entry]) -> list[bytes]:
        """Returns the records of entries that are written at once."""
        records = []
        position = 0
        for entry in entries:
            logged = _LoggedEntry(entry.index, entry.term, entry.kind,
                                  entry.data, position)
            record = _encode_record(self._encoder.encode(logged))
            records.append(record)
            position += len(record)
        return records

    def append(self, entries: list[messages.Entry],
               replace_from: int | None) -> None:
        if replace_from is not None:
            self._truncate_from(replace_from)
        records = self._encode_entries(entries)
        length = os.fstat(self._log).st_size
        try:
            _write_and_sync(self._log, b"".join(records))
        except OSError:
            # An incomplete record must not be followed by others.
            os.ftruncate(self._log, length)
            raise
        for entry, record in zip(entries, records):
            self._size_by_index[entry.index] = len(record)

    def _truncate_from(self, first: int) -> None:
        dropped = [index for index in self._size_by_index if index >= first]
        size = sum(self._size_by_index.pop(index) for index in dropped)
        length = os.fstat(self._log).st_size
        os.ftruncate(self._log, length - size)
        # Unless synced here, a crash could leave old entries after new ones.
        os.fsync(self._log)

    def save_snapshot(self, snapshot: messages.Snapshot,
                      entries: list[messages.Entry]) -> None:
        self._write_record_file("snapshot", self._encoder.encode(snapshot))
        records = self._encode_entries(entries)
        # If this fails, the old log is longer than needed and still valid.
        self._write_file_atomically("log", b"".join(records))
        self._size_by_index = {
            entry.index: len(record) for entry, record in zip(entries, records)
        }
        self._reopen_log()

    def close(self) -> None:
        """Closes the log file; has no effect the second time."""
        if self._log >= 0:
            os.close(self._log)
            self._log = -1


def set_files_aside(folder: pathlib.Path, identity: str) -> None:
    """Renames all files of a damaged data folder, so that it can be reused.

    The folder keeps its name, as it may be a mount point.

    Args:
        folder: The data folder.
        identity: Name of the file that gives the others their meaning. It is
            renamed first, so that a crash leaves no usable part of them.
    """
    _write_file(folder / _DAMAGED_MARKER, b"")
    _sync_folder(folder)
    paths = [
        path for path in folder.iterdir()
        if path.name != _DAMAGED_MARKER and path.suffix != _DAMAGED_SUFFIX
    ]
    for path in sorted(paths, key=lambda path: path.name != identity):
        path.rename(path.with_name(path.name + _DAMAGED_SUFFIX))
        if path.name == identity:
            _sync_folder(folder)
    _sync_folder(folder)


def were_files_set_aside(folder: pathlib.Path) -> bool:
    """Returns whether `set_files_aside` was called, even if it did not end."""
    return (folder / _DAMAGED_MARKER).exists()


def _sync_folder(folder: pathlib.Path) -> None:
    """Makes created, renamed and removed names of a folder durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _write_file(path: pathlib.Path, content: bytes) -> None:
    """Writes a whole file and syncs it, but not its name."""
    handle = os.open(path, os.O_WRONLY | os.O_TRUNC | os.O_CREAT, 0o644)
    try:
        _write_and_sync(handle, content)
    finally:
        os.close(handle)


def _write_and_sync(handle: int, content: bytes) -> None:
    """Writes all of the content to a file and syncs it."""
    remaining = memoryview(content)
    while remaining:
        remaining = remaining[os.write(handle, remaining):]
    os.fsync(handle)
