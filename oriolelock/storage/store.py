"""
oriolelock.storage.store
~~~~~~~~~~~~~~~~~~~~~~~~

    The folder of one group on one replica.

    It holds ``identity``, ``snapshot``, one segment ``log-N`` and ``lock``. A new segment
    replaces the old one after each snapshot and when the segment has doubled in size, so the
    size on disk is bounded by the snapshot, twice the live entries, and a constant.
"""

import contextlib
import fcntl
import os
import pathlib
import secrets
import shutil

from oriolelock.consensus import messages, outputs, stored
from oriolelock.storage import contents, errors, files, frames, records
from oriolelock.wire import codec
from oriolelock.wire import errors as wire_errors

__all__ = ["INITIAL_INCARNATION", "Store", "exists", "form", "open"]

INITIAL_INCARNATION = "initial"
NO_MEMBERSHIP = messages.Membership(())
# Below this size a segment is not rewritten.
MIN_REWRITE_BYTES = 16 * 1024 * 1024
ENTRIES_PER_RECORD = 1000


def exists(folder: str | os.PathLike, name: str) -> bool:
    """Return whether the folder holds a store of the group ``name``."""
    return (pathlib.Path(folder) / name).exists()


def form(folder: str | os.PathLike, name: str, membership: messages.Membership) -> None:
    """Create the store of an initial member of the group ``name``, once.

    Must not be used again after the loss of a disk: the replica would come back with an empty
    log under the identity that others still count. Raises FolderNotEmpty, DiskFull, SyncFailed.
    """
    path = pathlib.Path(folder) / name
    if path.exists():
        raise errors.FolderNotEmpty(f"{path} exists")
    _create(path, name, INITIAL_INCARNATION, membership)


def open(folder: str | os.PathLike, name: str) -> "Store":  # noqa: A001
    """Open the store of the group ``name``; an absent one is created for a new member.

    Raises DamagedLog, FolderInUse, DiskFull, SyncFailed.
    """
    path = pathlib.Path(folder) / name
    if not path.exists():
        _create(path, name, secrets.token_hex(16), NO_MEMBERSHIP)
    return Store(path, name)


def _create(path, name, incarnation, membership):
    """Create the files in a temporary folder, so that a folder in place is always complete."""
    temporary = path.with_name(path.name + ".tmp")
    path.parent.mkdir(parents=True, exist_ok=True)
    if temporary.exists():
        shutil.rmtree(temporary)
    temporary.mkdir(mode=0o700)
    snapshot = records.SnapshotRecord(0, 0, membership, b"")
    for file, items in (
        ("identity", [records.IdentityRecord(name, incarnation)]),
        ("snapshot", [snapshot]),
        ("log-0", [records.BaseRecord(0, 0, 0, "")]),
    ):
        files.replace(temporary / file, _framed(items))
    os.rename(temporary, path)
    files.sync_folder(path.parent)


def _framed(items):
    return b"".join(frames.frame(at, codec.encode(item)) for at, item in enumerate(items))


class Store:
    """An open store. Calls must not overlap; after SyncFailed each call raises it again."""

    def __init__(self, path: pathlib.Path, name: str):
        self._path = path
        self._failure = ""
        self._fd = -1
        self._lock_fd = self._lock()
        try:
            self.incarnation = self._read_identity(name)
            self._snapshot = self._read_one("snapshot", records.SnapshotRecord)
            self._number = self._find_segment()
            self._contents = self._read_segment()
        except BaseException:
            self.close()
            raise

    def _lock(self):
        fd = os.open(self._path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(fd)
            raise errors.FolderInUse(f"{self._path} is in use by another process") from exc
        return fd

    def _damaged(self, problem):
        return errors.DamagedLog(str(self._path), problem)

    def _read_bytes(self, file):
        try:
            return (self._path / file).read_bytes()
        except OSError as exc:
            raise self._damaged(f"{file} cannot be read ({exc.strerror})") from exc

    def _decode(self, file, payload):
        try:
            return codec.decode(payload)
        except wire_errors.DecodeError as exc:
            raise self._damaged(f"{file}: {exc}") from exc

    def _read_one(self, file, kind):
        data = self._read_bytes(file)
        parsed = frames.parse(data)
        if len(parsed.payloads) != 1 or parsed.good_bytes != len(data):
            raise self._damaged(f"{file} fails its checksum")
        record = self._decode(file, parsed.payloads[0])
        if not isinstance(record, kind):
            raise self._damaged(f"{file} holds {type(record).__name__}")
        return record

    def _read_identity(self, name):
        record = self._read_one("identity", records.IdentityRecord)
        if record.group != name:
            raise self._damaged(f"belongs to group {record.group!r}, not {name!r}")
        return record.incarnation

    def _find_segment(self):
        """Return the number of the newest segment; older ones are left over from a crash."""
        for leftover in self._path.glob("*.tmp"):
            leftover.unlink()
        numbers = sorted(int(item.name[4:]) for item in self._path.glob("log-*"))
        if not numbers:
            raise self._damaged("the log is missing")
        for number in numbers[:-1]:
            (self._path / f"log-{number}").unlink()
        return numbers[-1]

    def _read_segment(self):
        file = f"log-{self._number}"
        data = self._read_bytes(file)
        parsed = frames.parse(data)
        if parsed.damaged or not parsed.payloads:
            raise self._damaged(f"{file} is damaged at byte {parsed.good_bytes}")
        base, *saves = (self._decode(file, payload) for payload in parsed.payloads)
        try:
            found = contents.Contents(base.index, base.index_term, base.term, base.voted_for)
            for save in saves:
                found.apply(save)
            self._stale = self._snapshot.index != base.index
            if self._stale:
                found.cut(self._snapshot.index, self._snapshot.term)
        except (ValueError, AttributeError) as exc:
            raise self._damaged(f"{file}: {exc}") from exc
        self._open_segment(len(parsed.payloads), parsed.good_bytes)
        if parsed.good_bytes < len(data):
            os.ftruncate(self._fd, parsed.good_bytes)
            files.sync(self._fd)
        return found

    def _open_segment(self, records_count, size):
        fd = os.open(self._path / f"log-{self._number}", os.O_WRONLY | os.O_APPEND)
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._records, self.log_bytes = fd, records_count, size
        self._rewrite_at_bytes = max(MIN_REWRITE_BYTES, 2 * size)

    def load(self) -> stored.Stored:
        """Return what is stored."""
        self._check_usable()
        snapshot, found = self._snapshot, self._contents
        return stored.Stored(
            term=found.term,
            voted_for=found.voted_for,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            membership=snapshot.membership,
            entries=tuple(found.entries),
            snapshot=snapshot.data,
        )

    def save(self, save: outputs.Save) -> None:
        """Store a save durably. Raises DiskFull, after which it may be repeated, or SyncFailed."""
        self._check_usable()
        record = records.SaveRecord(save.term, save.voted_for, save.truncate_from, save.entries)
        with self._failing():
            if self._stale:
                self._rewrite()
            self._append(record)
            if self.log_bytes > self._rewrite_at_bytes:
                try:
                    self._rewrite()
                except errors.DiskFull:
                    # The save itself is durable; a later one tries again.
                    self._rewrite_at_bytes += MIN_REWRITE_BYTES

    def save_snapshot(
        self, index: int, term: int, membership: messages.Membership, data: bytes
    ) -> None:
        """Store a snapshot durably and drop the log before it; an older one is ignored.

        Raises DiskFull, after which it may be repeated, or SyncFailed.
        """
        self._check_usable()
        with self._failing():
            if index > self._snapshot.index:
                snapshot = records.SnapshotRecord(index, term, membership, data)
                files.replace(self._path / "snapshot", _framed([snapshot]))
                self._snapshot, self._stale = snapshot, True
                self._contents.cut(index, term)
            if self._stale:
                self._rewrite()

    def _check_usable(self):
        if self._failure:
            raise errors.SyncFailed(self._failure)

    @contextlib.contextmanager
    def _failing(self):
        """Make a failed sync final."""
        try:
            yield
        except errors.SyncFailed as exc:
            self._failure = str(exc)
            raise

    def _append(self, record):
        self._contents.check(record)
        data = frames.frame(self._records, codec.encode(record))
        try:
            files.write(self._fd, data)
        except errors.DiskFull:
            self._drop_partial_record()
            raise
        files.sync(self._fd)
        self._contents.apply(record)
        self._records += 1
        self.log_bytes += len(data)

    def _drop_partial_record(self):
        try:
            os.ftruncate(self._fd, self.log_bytes)
        except OSError as exc:
            raise errors.SyncFailed(f"a partial record cannot be removed: {exc}") from exc

    def _rewrite(self):
        """Write the live contents to a new segment and remove the old one."""
        items = self._contents.as_records(ENTRIES_PER_RECORD)
        data = _framed(items)
        old = self._path / f"log-{self._number}"
        files.replace(self._path / f"log-{self._number + 1}", data)
        self._number += 1
        self._stale = False
        self._open_segment(len(items), len(data))
        old.unlink(missing_ok=True)

    def close(self) -> None:
        """Release the folder; what is not saved is lost."""
        for fd in (self._fd, self._lock_fd):
            if fd >= 0:
                os.close(fd)
        self._fd = self._lock_fd = -1
        self._failure = self._failure or "the store is closed"
