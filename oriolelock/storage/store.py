"""
oriolelock.storage.store
~~~~~~~~~~~~~~~~~~~~~~~~

    The durable state of one group on one replica, in a folder of its own.

    The folder contains ``identity``, ``snapshot``, one log segment ``log-N`` and ``lock``. The
    segment is rewritten after each snapshot and when it has doubled in size, so the size on disk
    is bounded by the snapshot, twice the live entries, and a constant.
"""

import contextlib
import fcntl
import os
import pathlib
import secrets
import shutil

from oriolelock import logs
from oriolelock.consensus import messages, outputs, persistent_state
from oriolelock.storage import errors, files, frames, log_state, records
from oriolelock.wire import codec
from oriolelock.wire import errors as wire_errors

__all__ = ["INITIAL_INCARNATION", "Store", "bootstrap", "exists", "open"]

INITIAL_INCARNATION = "initial"
NO_MEMBERSHIP = messages.Membership(())
# Smaller segments are not rewritten.
MIN_REWRITE_BYTES = 16 * 1024 * 1024
ENTRIES_PER_RECORD = 1000

log = logs.get_logger("storage")


def exists(folder: str | os.PathLike, name: str) -> bool:
    """Return whether ``folder`` contains a store of the group ``name``."""
    return (pathlib.Path(folder) / name).exists()


def bootstrap(folder: str | os.PathLike, name: str, membership: messages.Membership) -> None:
    """Create the store of an initial member of the group ``name``.

    Must not be used to replace a lost disk: the replica would rejoin with an empty log under an
    identity that the other members still count in majorities. Raises StoreExists, DiskFull or
    SyncFailed.
    """
    path = pathlib.Path(folder) / name
    if path.exists():
        raise errors.StoreExists(f"{path} exists")
    _create(path, name, INITIAL_INCARNATION, membership)


def open(folder: str | os.PathLike, name: str) -> "Store":  # noqa: A001
    """Open the store of the group ``name``, or create one for a new member if none exists.

    Raises CorruptStore, StoreInUse, DiskFull or SyncFailed.
    """
    path = pathlib.Path(folder) / name
    if not path.exists():
        _create(path, name, secrets.token_hex(16), NO_MEMBERSHIP)
    return Store(path, name)


def _create(path, name, incarnation, membership):
    """Create the files in a temporary folder and rename it, so that no store is incomplete."""
    temporary = path.with_name(path.name + ".tmp")
    path.parent.mkdir(parents=True, exist_ok=True)
    if temporary.exists():
        shutil.rmtree(temporary)
    temporary.mkdir(mode=0o700)
    snapshot = records.SnapshotRecord(0, 0, membership, b"")
    for file_name, file_records in (
        ("identity", [records.IdentityRecord(name, incarnation)]),
        ("snapshot", [snapshot]),
        ("log-0", [records.BaseRecord(0, 0, 0, "")]),
    ):
        files.replace(temporary / file_name, _encode_file(file_records))
    os.rename(temporary, path)
    files.sync_folder(path.parent)


def _encode_file(file_records):
    return b"".join(
        frames.encode(sequence, codec.encode(record))
        for sequence, record in enumerate(file_records)
    )


class Store:
    """An open store. Not thread-safe; after SyncFailed every call raises it again."""

    def __init__(self, path: pathlib.Path, name: str):
        self._path, self._name = path, name
        self._failure_reason = ""
        # Whether a part of a record that did not fit may follow the last whole one.
        self._has_partial_record = False
        self._fd = -1
        self._lock_fd = self._acquire_lock()
        try:
            self.incarnation = self._read_identity(name)
            self._snapshot = self._read_single_record("snapshot", records.SnapshotRecord)
            self._segment_number = self._find_segment()
            self._log_state = self._read_segment()
        except BaseException:
            self.close()
            raise

    def _acquire_lock(self):
        fd = os.open(self._path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(fd)
            raise errors.StoreInUse(f"{self._path} is in use by another process") from exc
        return fd

    def _corrupt_store(self, problem):
        return errors.CorruptStore(str(self._path), problem)

    def _read_bytes(self, file_name):
        try:
            return (self._path / file_name).read_bytes()
        except OSError as exc:
            raise self._corrupt_store(f"cannot read {file_name} ({exc.strerror})") from exc

    def _decode(self, file_name, payload):
        try:
            return codec.decode(payload)
        except wire_errors.DecodeError as exc:
            raise self._corrupt_store(f"{file_name}: {exc}") from exc

    def _read_single_record(self, file_name, record_type):
        data = self._read_bytes(file_name)
        parsed = frames.parse(data)
        if len(parsed.payloads) != 1 or parsed.valid_bytes != len(data):
            raise self._corrupt_store(f"checksum mismatch in {file_name}")
        record = self._decode(file_name, parsed.payloads[0])
        if not isinstance(record, record_type):
            raise self._corrupt_store(f"unexpected record {type(record).__name__} in {file_name}")
        return record

    def _read_identity(self, name):
        record = self._read_single_record("identity", records.IdentityRecord)
        if record.group != name:
            raise self._corrupt_store(f"belongs to group {record.group!r}, not {name!r}")
        return record.incarnation

    def _find_segment(self):
        """Return the number of the newest segment and delete older ones, left by a crash."""
        for temporary in self._path.glob("*.tmp"):
            temporary.unlink()
        numbers = sorted(int(path.name[4:]) for path in self._path.glob("log-*"))
        if not numbers:
            raise self._corrupt_store("the log is missing")
        for number in numbers[:-1]:
            (self._path / f"log-{number}").unlink()
        return numbers[-1]

    def _read_segment(self):
        file_name = f"log-{self._segment_number}"
        data = self._read_bytes(file_name)
        parsed = frames.parse(data)
        if parsed.is_corrupt or not parsed.payloads:
            raise self._corrupt_store(f"{file_name} is damaged at byte {parsed.valid_bytes}")
        base, *saves = (self._decode(file_name, payload) for payload in parsed.payloads)
        try:
            state = log_state.LogState(base.index, base.index_term, base.term, base.voted_for)
            for save in saves:
                state.apply(save)
            self._segment_outdated = self._snapshot.index != base.index
            if self._segment_outdated:
                state.apply_snapshot(self._snapshot.index, self._snapshot.term)
        except (ValueError, AttributeError) as exc:
            raise self._corrupt_store(f"{file_name}: {exc}") from exc
        self._open_segment(len(parsed.payloads), parsed.valid_bytes)
        if parsed.valid_bytes < len(data):
            self._has_partial_record = True
            try:
                self._remove_partial_record()
                files.sync(self._fd)
            except errors.DiskFull as exc:
                log.warning("{}: a partial record stays until the next save: {}.", self._path, exc)
        return state

    def _open_segment(self, record_count, size):
        fd = os.open(self._path / f"log-{self._segment_number}", os.O_WRONLY | os.O_APPEND)
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._record_count, self.log_bytes = fd, record_count, size
        self._rewrite_threshold_bytes = max(MIN_REWRITE_BYTES, 2 * size)

    def load(self) -> persistent_state.PersistentState:
        """Return the stored state."""
        self._raise_if_failed()
        snapshot, state = self._snapshot, self._log_state
        return persistent_state.PersistentState(
            term=state.term,
            voted_for=state.voted_for,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            membership=snapshot.membership,
            entries=tuple(state.entries),
            snapshot=snapshot.data,
        )

    def save(self, save: outputs.Save) -> None:
        """Store ``save`` durably; raises DiskFull, after which it may be retried, or SyncFailed."""
        self._raise_if_failed()
        record = records.SaveRecord(save.term, save.voted_for, save.truncate_from, save.entries)
        with self._recording_failure():
            if self._segment_outdated:
                self._rewrite_segment()
            self._append_record(record)
            if self.log_bytes > self._rewrite_threshold_bytes:
                try:
                    self._rewrite_segment()
                except errors.DiskFull:
                    # The save itself is durable; a later save retries the rewrite.
                    self._rewrite_threshold_bytes += MIN_REWRITE_BYTES

    def save_snapshot(
        self, index: int, term: int, membership: messages.Membership, data: bytes
    ) -> None:
        """Store a snapshot durably and remove the log entries that it covers; ignores an older one.

        Raises DiskFull, after which the call may be retried, or SyncFailed.
        """
        self._raise_if_failed()
        with self._recording_failure():
            if index > self._snapshot.index:
                snapshot = records.SnapshotRecord(index, term, membership, data)
                files.replace(self._path / "snapshot", _encode_file([snapshot]))
                self._snapshot, self._segment_outdated = snapshot, True
                self._log_state.apply_snapshot(index, term)
            if self._segment_outdated:
                self._rewrite_segment()

    def renew_incarnation(self) -> None:
        """Give the folder a new random id, so that no member counts its votes any more.

        Raises DiskFull, with the id unchanged, or SyncFailed.
        """
        self._raise_if_failed()
        record = records.IdentityRecord(self._name, secrets.token_hex(16))
        with self._recording_failure():
            files.replace(self._path / "identity", _encode_file([record]))
        self.incarnation = record.incarnation

    def _raise_if_failed(self):
        if self._failure_reason:
            raise errors.SyncFailed(self._failure_reason)

    @contextlib.contextmanager
    def _recording_failure(self):
        """Record a SyncFailed, so that every later call raises it again."""
        try:
            yield
        except errors.SyncFailed as exc:
            self._failure_reason = str(exc)
            raise

    def _append_record(self, record):
        self._log_state.check(record)
        data = frames.encode(self._record_count, codec.encode(record))
        if self._has_partial_record:
            self._remove_partial_record()
        try:
            files.write(self._fd, data)
        except errors.DiskFull:
            self._has_partial_record = True
            self._remove_partial_record()
            raise
        files.sync(self._fd)
        self._log_state.apply(record)
        self._record_count += 1
        self.log_bytes += len(data)

    def _remove_partial_record(self):
        """Raises DiskFull if a full disk refuses that too; the next save then tries again."""
        files.truncate(self._fd, self.log_bytes)
        self._has_partial_record = False

    def _rewrite_segment(self):
        """Write the live entries to a new segment and delete the old one."""
        segment_records = self._log_state.to_records(ENTRIES_PER_RECORD)
        data = _encode_file(segment_records)
        old_path = self._path / f"log-{self._segment_number}"
        files.replace(self._path / f"log-{self._segment_number + 1}", data)
        self._segment_number += 1
        self._segment_outdated = self._has_partial_record = False
        self._open_segment(len(segment_records), len(data))
        old_path.unlink(missing_ok=True)

    def close(self) -> None:
        """Close the files and release the lock; unsaved changes are lost."""
        for fd in (self._fd, self._lock_fd):
            if fd >= 0:
                os.close(fd)
        self._fd = self._lock_fd = -1
        self._failure_reason = self._failure_reason or "the store is closed"
