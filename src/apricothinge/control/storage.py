"""Durable storage of the log, the vote and the snapshot."""

import abc
import os
import pathlib
import secrets
import struct
import zlib
from typing import BinaryIO, Final

import msgspec

from apricothinge import errors
from apricothinge.control import raft_messages as messages

__all__ = ["FileStorage", "PersistentState", "Storage"]

_MAGIC: Final = b"\xa7LR1"
_RECORD: Final = struct.Struct("<4sII")
_LARGEST_RECORD_BYTES: Final = 256 << 20
_DISK_BYTES: Final = 8


class PersistentState:
    """What storage held at start.

    Attributes:
        vote: Term and vote.
        snapshot: The latest snapshot, or None.
        entries: The log after the snapshot.
    """

    __slots__ = ("vote", "snapshot", "entries")

    def __init__(self, vote: messages.Vote, snapshot: messages.Snapshot | None,
                 entries: list[messages.Entry]) -> None:
        self.vote = vote
        self.snapshot = snapshot
        self.entries = entries


class Storage(abc.ABC):
    """Keeps what a member must not forget; each call returns once synced."""

    __slots__ = ()

    @abc.abstractmethod
    def load(self) -> PersistentState:
        """Reads everything back."""

    @abc.abstractmethod
    def save_vote(self, vote: messages.Vote) -> None:
        """Replaces term and vote."""

    @abc.abstractmethod
    def append(self, entries: list[messages.Entry],
               replace_from: int | None) -> None:
        """Adds entries.

        Args:
            entries: In order of their indices.
            replace_from: First index to drop before, or None.
        """

    @abc.abstractmethod
    def save_snapshot(self, snapshot: messages.Snapshot,
                      entries: list[messages.Entry]) -> None:
        """Replaces the snapshot, and the log by what follows it."""


def _record(payload: bytes) -> bytes:
    return _RECORD.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def _read_record(data: bytes, offset: int) -> tuple[bytes, int] | None:
    """Returns a whole, undamaged record and the offset behind it."""
    if offset + _RECORD.size > len(data):
        return None
    magic, length, checksum = _RECORD.unpack_from(data, offset)
    start = offset + _RECORD.size
    if (magic != _MAGIC or length > _LARGEST_RECORD_BYTES or
            start + length > len(data)):
        return None
    payload = data[start:start + length]
    if zlib.crc32(payload) != checksum:
        return None
    return payload, start + length


class FileStorage(Storage):
    """Files in one data folder: `disk`, `vote`, `snapshot` and `log`.

    Each holds records with a length and a checksum. `vote` and `snapshot` are
    replaced by renaming; `log` is appended to.

    Attributes:
        disk: Names this data folder.
    """

    __slots__ = ("disk", "_folder", "_log", "_encoder", "_vote_decoder",
                 "_entry_decoder", "_snapshot_decoder", "_size_by_index")

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._encoder = msgspec.msgpack.Encoder()
        self._vote_decoder = msgspec.msgpack.Decoder(messages.Vote)
        self._entry_decoder = msgspec.msgpack.Decoder(messages.Entry)
        self._snapshot_decoder = msgspec.msgpack.Decoder(messages.Snapshot)
        self._size_by_index: dict[int, int] = {}
        folder.mkdir(parents=True, exist_ok=True)
        self.disk = self._read_disk()
        self._log = self._open_log()
        self._sync_folder()

    def _open_log(self) -> BinaryIO:
        return (self._folder / "log").open("ab")

    def _damaged(self, name: str, offset: int) -> errors.ApricothingeError:
        return errors.ApricothingeError(
            errors.Kind.STORAGE_DAMAGED,
            f"{self._folder / name} is damaged at byte {offset};"
            " replace this member")

    def _read_disk(self) -> str:
        path = self._folder / "disk"
        if path.exists():
            found = _read_record(path.read_bytes(), 0)
            if found is None:
                raise self._damaged("disk", 0)
            return found[0].decode()
        made = secrets.token_hex(_DISK_BYTES)
        self._replace("disk", made.encode())
        return made

    def _sync_folder(self) -> None:
        handle = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _replace(self, name: str, payload: bytes) -> None:
        self._replace_raw(name, _record(payload))

    def _replace_raw(self, name: str, content: bytes) -> None:
        path = self._folder / name
        temporary = path.with_suffix(".new")
        with open(temporary, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
        self._sync_folder()

    def _read_whole(self, name: str) -> bytes | None:
        path = self._folder / name
        if not path.exists():
            return None
        found = _read_record(path.read_bytes(), 0)
        if found is None:
            raise self._damaged(name, 0)
        return found[0]

    def read_note(self, name: str) -> bytes | None:
        """Reads a small file of the folder's owner, None where there is none.

        Raises:
            errors.ApricothingeError: It is damaged.
        """
        return self._read_whole(name)

    def write_note(self, name: str, payload: bytes) -> None:
        """Replaces a small file of the folder's owner, synced."""
        self._replace(name, payload)

    def load(self) -> PersistentState:
        """Reads everything back; cuts a torn tail of the log.

        Raises:
            errors.ApricothingeError: With kind STORAGE_DAMAGED, where more
                than a write that never completed is missing.
        """
        raw_vote = self._read_whole("vote")
        vote = (messages.Vote(0, "")
                if raw_vote is None else self._vote_decoder.decode(raw_vote))
        raw_snapshot = self._read_whole("snapshot")
        snapshot = (None if raw_snapshot is None else
                    self._snapshot_decoder.decode(raw_snapshot))
        entries = self._load_log(0 if snapshot is None else snapshot.index)
        return PersistentState(vote, snapshot, entries)

    def _load_log(self, after: int) -> list[messages.Entry]:
        data = (self._folder / "log").read_bytes()
        offset = 0
        entries: list[messages.Entry] = []
        while offset < len(data):
            found = _read_record(data, offset)
            if found is None:
                self._cut_tail(data, offset)
                break
            payload, end = found
            entry = self._entry_decoder.decode(payload)
            self._size_by_index[entry.index] = end - offset
            entries.append(entry)
            offset = end
        kept = [entry for entry in entries if entry.index > after]
        expected = after + 1
        for entry in kept:
            if entry.index != expected:
                raise self._damaged("log", 0)
            expected += 1
        return kept

    def _cut_tail(self, data: bytes, offset: int) -> None:
        """Cuts a write that did not complete; refuses any other damage."""
        place = data.find(_MAGIC, offset + 1)
        while place != -1:
            if _read_record(data, place) is not None:
                raise self._damaged("log", offset)
            place = data.find(_MAGIC, place + 1)
        self._log.truncate(offset)
        os.fsync(self._log.fileno())

    def save_vote(self, vote: messages.Vote) -> None:
        self._replace("vote", self._encoder.encode(vote))

    def append(self, entries: list[messages.Entry],
               replace_from: int | None) -> None:
        if replace_from is not None:
            self._truncate(replace_from)
        parts = []
        for entry in entries:
            record = _record(self._encoder.encode(entry))
            self._size_by_index[entry.index] = len(record)
            parts.append(record)
        self._log.write(b"".join(parts))
        self._log.flush()
        os.fsync(self._log.fileno())

    def _truncate(self, first: int) -> None:
        dropped = [index for index in self._size_by_index if index >= first]
        size = sum(self._size_by_index.pop(index) for index in dropped)
        self._log.flush()
        length = os.fstat(self._log.fileno()).st_size
        self._log.truncate(length - size)
        # Without this, a crash could leave old entries behind new ones.
        os.fsync(self._log.fileno())

    def save_snapshot(self, snapshot: messages.Snapshot,
                      entries: list[messages.Entry]) -> None:
        self._replace("snapshot", self._encoder.encode(snapshot))
        records = [_record(self._encoder.encode(entry)) for entry in entries]
        self._log.close()
        self._replace_raw("log", b"".join(records))
        self._size_by_index = {
            entry.index: len(record) for entry, record in zip(entries, records)
        }
        self._log = self._open_log()

    def close(self) -> None:
        """Closes the log file."""
        self._log.close()
