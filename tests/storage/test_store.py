"""
tests.storage.test_store
~~~~~~~~~~~~~~~~~~~~~~~~
"""

import errno
import os

import pytest

from oriolelock.consensus import messages, outputs
from oriolelock.storage import errors, store

MEMBERSHIP = messages.Membership((messages.Replica("a", "initial", True),))


def make_entry(index, term=1, size=3):
    return messages.Entry(index, term, "command", b"x" * size)


def make_save(*indexes, term=1, truncate_from=0, size=3):
    entries = tuple(make_entry(index, term, size) for index in indexes)
    return outputs.Save(1, term, "a/initial", truncate_from, entries)


@pytest.fixture
def folder(tmp_path):
    store.bootstrap(tmp_path, "config", MEMBERSHIP)
    return tmp_path


def reload(folder):
    opened_store = store.open(folder, "config")
    loaded = opened_store.load()
    opened_store.close()
    return loaded


def segment_path(folder):
    return next((folder / "config").glob("log-*"))


def save_entries(folder, count=5):
    opened_store = store.open(folder, "config")
    for index in range(1, count + 1):
        opened_store.save(make_save(index))
    opened_store.close()


def fail_calls(monkeypatch, name, error_number, successes=0, partial_bytes=0, failures=1):
    """Make ``failures`` calls of ``os.<name>`` raise OSError after ``successes`` real calls.

    If ``partial_bytes`` is set, the call before the failing ones writes only that many bytes.
    """
    original = getattr(os, name)
    outcomes = iter([None] * successes + [partial_bytes] * bool(partial_bytes) + [-1] * failures)

    def failing_call(fd, *args):
        outcome = next(outcomes, None)
        if outcome is None:
            return original(fd, *args)
        if outcome > 0:
            return original(fd, args[0][:outcome])
        raise OSError(error_number, os.strerror(error_number))

    monkeypatch.setattr(os, name, failing_call)


def test_initial_and_joining_replicas_have_different_identities(tmp_path):
    """Guards against an empty replica that rejoins under an identity that others still count."""
    store.bootstrap(tmp_path / "one", "config", MEMBERSHIP)
    initial_store = store.open(tmp_path / "one", "config")
    assert (initial_store.incarnation, initial_store.load().membership) == ("initial", MEMBERSHIP)
    joining_stores = [store.open(tmp_path / name, "config") for name in ("two", "three")]
    assert joining_stores[0].load().membership == messages.Membership(())
    assert (
        len(
            {
                initial_store.incarnation,
                *(joining_store.incarnation for joining_store in joining_stores),
            }
        )
        == 3
    )
    with pytest.raises(errors.StoreExists):
        store.bootstrap(tmp_path / "two", "config", MEMBERSHIP)


def test_reopened_store_has_vote_and_entries(folder):
    """Guards against a second vote in the same term and against lost entries after a restart."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1, 2, 3))
    opened_store.save(outputs.Save(2, 7, "b/initial", 3, (make_entry(3, 7), make_entry(4, 7))))
    opened_store.save(outputs.Save(3, 8, "c/initial", 0, ()))
    opened_store.close()
    loaded = reload(folder)
    assert (loaded.term, loaded.voted_for) == (8, "c/initial")
    assert loaded.entries == (make_entry(1), make_entry(2), make_entry(3, 7), make_entry(4, 7))


def test_open_store_is_locked(folder):
    """Guards against two processes running as the same replica."""
    opened_store = store.open(folder, "config")
    with pytest.raises(errors.StoreInUse):
        store.open(folder, "config")
    opened_store.close()
    reload(folder)


def test_truncates_partial_record_of_any_length(folder):
    """Guards against a failed start, or use of a partial record, after a crash during a write."""
    save_entries(folder, 2)
    size_before = segment_path(folder).stat().st_size
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(3))
    opened_store.close()
    intact = segment_path(folder).read_bytes()
    for length in range(size_before, len(intact)):
        segment_path(folder).write_bytes(intact[:length])
        assert [entry.index for entry in reload(folder).entries] == [1, 2]
        assert segment_path(folder).stat().st_size == size_before
    segment_path(folder).write_bytes(
        intact[: size_before + 9] + bytes(len(intact) - size_before - 9)
    )
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(3, term=2))
    opened_store.close()
    assert reload(folder).entries[2] == make_entry(3, 2)


def test_rejects_corruption_before_last_record(folder):
    """Guards against silently dropping acknowledged entries."""
    save_entries(folder)
    intact = segment_path(folder).read_bytes()
    last_record_offset = intact.rfind(b"\xf0OLR")
    for position in range(0, last_record_offset, 7):
        corrupted = bytearray(intact)
        corrupted[position] ^= 0x10
        segment_path(folder).write_bytes(corrupted)
        with pytest.raises(errors.CorruptStore, match="move this folder away and start again"):
            store.open(folder, "config")


@pytest.mark.parametrize("file_name", ["snapshot", "identity"])
def test_rejects_corrupt_snapshot_and_identity(folder, file_name):
    """Guards against loading a state or an identity that differs from the stored one."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1, 2))
    opened_store.save_snapshot(2, 1, MEMBERSHIP, b"state")
    opened_store.close()
    path = folder / "config" / file_name
    intact = path.read_bytes()
    for data in (intact[:-1], intact[:-1] + bytes([intact[-1] ^ 1]), b""):
        path.write_bytes(data)
        with pytest.raises(errors.CorruptStore, match=file_name):
            store.open(folder, "config")
    path.unlink()
    with pytest.raises(errors.CorruptStore, match=file_name):
        store.open(folder, "config")


def test_disk_full_keeps_last_saved_state(folder, monkeypatch):
    """Guards against a partial record before later ones once space is available again."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1))
    for partial_bytes in (0, 5):
        with monkeypatch.context() as patch:
            fail_calls(patch, "write", errno.ENOSPC, partial_bytes=partial_bytes)
            with pytest.raises(errors.DiskFull):
                opened_store.save(make_save(2))
        assert [entry.index for entry in opened_store.load().entries] == [1]
    opened_store.save(make_save(2))
    opened_store.save(make_save(3))
    opened_store.close()
    assert [entry.index for entry in reload(folder).entries] == [1, 2, 3]


def test_disk_full_that_refuses_to_cut_a_partial_record(folder, monkeypatch):
    """Guards against a replica that ends because a full disk refuses that as well."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1))
    with monkeypatch.context() as patch:
        fail_calls(patch, "write", errno.ENOSPC, partial_bytes=5)
        fail_calls(patch, "ftruncate", errno.ENOSPC, failures=2)
        with pytest.raises(errors.DiskFull):
            opened_store.save(make_save(2))
        # The partial record must go before anything follows it.
        with pytest.raises(errors.DiskFull):
            opened_store.save(make_save(2))
    opened_store.save(make_save(2))
    opened_store.save(make_save(3))
    opened_store.close()
    assert [entry.index for entry in reload(folder).entries] == [1, 2, 3]


def test_disk_full_needs_no_sync_to_cut_a_partial_record(folder, monkeypatch):
    """Guards against a replica that ends because a full disk refuses to sync."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1))
    with monkeypatch.context() as patch:
        fail_calls(patch, "write", errno.ENOSPC, partial_bytes=5)
        fail_calls(patch, "fsync", errno.ENOSPC)
        with pytest.raises(errors.DiskFull):
            opened_store.save(make_save(2))
    opened_store.save(make_save(2))
    opened_store.close()
    assert [entry.index for entry in reload(folder).entries] == [1, 2]


def test_restart_with_a_partial_record_on_a_full_disk(folder, monkeypatch):
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1))
    opened_store.close()
    (segment,) = (folder / "config").glob("log-*")
    segment.write_bytes(segment.read_bytes() + b"part")
    with monkeypatch.context() as patch:
        fail_calls(patch, "ftruncate", errno.ENOSPC)
        opened_store = store.open(folder, "config")
    opened_store.save(make_save(2))
    opened_store.close()
    assert [entry.index for entry in reload(folder).entries] == [1, 2]


@pytest.mark.parametrize("successful_writes", [0, 1])
def test_disk_full_during_snapshot(folder, monkeypatch, successful_writes):
    """Guards against losing the log when the disk is too full for a snapshot or the new segment."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1, 2, 3))
    with monkeypatch.context() as patch:
        fail_calls(patch, "write", errno.ENOSPC, successes=successful_writes, failures=2)
        with pytest.raises(errors.DiskFull):
            opened_store.save_snapshot(2, 1, MEMBERSHIP, b"state")
        with pytest.raises(errors.DiskFull):
            opened_store.save(make_save(4))
    opened_store.close()
    loaded = reload(folder)
    assert loaded.snapshot_index == 2 * successful_writes
    assert [entry.index for entry in loaded.entries][-1] == 3
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(4))
    opened_store.save_snapshot(2, 1, MEMBERSHIP, b"state")
    opened_store.close()
    assert [entry.index for entry in reload(folder).entries] == [3, 4]


def test_save_after_snapshot_without_new_segment(folder, monkeypatch):
    """Guards against a gap in the old segment when only the snapshot itself fitted on the disk."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1, 2, 3))
    fail_calls(monkeypatch, "write", errno.ENOSPC, successes=1)
    with pytest.raises(errors.DiskFull):
        opened_store.save_snapshot(10, 1, MEMBERSHIP, b"state")
    opened_store.save(make_save(11))
    opened_store.close()
    assert [entry.index for entry in reload(folder).entries] == [11]


def test_failed_sync_is_not_retried(folder, monkeypatch):
    """Guards against a second sync that succeeds although the data was lost."""
    opened_store = store.open(folder, "config")
    with monkeypatch.context() as patch:
        fail_calls(patch, "fsync", errno.EIO)
        with pytest.raises(errors.SyncFailed):
            opened_store.save(make_save(1))
    for call in (
        opened_store.load,
        lambda: opened_store.save(make_save(1)),
        lambda: opened_store.save_snapshot(1, 1, MEMBERSHIP, b""),
    ):
        with pytest.raises(errors.SyncFailed):
            call()


def test_each_save_is_synced(folder, monkeypatch):
    """Guards against acknowledging data that is only in the page cache."""
    opened_store = store.open(folder, "config")
    calls = []
    write, sync = os.write, os.fsync
    monkeypatch.setattr(os, "write", lambda fd, data: calls.append("write") or write(fd, data))
    monkeypatch.setattr(os, "fsync", lambda fd: calls.append("sync") or sync(fd))
    opened_store.save(make_save(1))
    assert calls == ["write", "sync"]


def test_snapshot_replaces_log(folder):
    """Guards against unbounded growth of the log and against losing entries after the snapshot."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1, 2, 3, 4, size=1000))
    bytes_before = opened_store.log_bytes
    opened_store.save_snapshot(3, 1, MEMBERSHIP, b"state")
    opened_store.save_snapshot(2, 1, MEMBERSHIP, b"older")
    assert opened_store.log_bytes < bytes_before / 2
    opened_store.close()
    loaded = reload(folder)
    assert (loaded.snapshot_index, loaded.snapshot, loaded.entries) == (
        3,
        b"state",
        (make_entry(4, 1, 1000),),
    )
    assert len(list((folder / "config").glob("log-*"))) == 1


@pytest.mark.parametrize("term, kept_indexes", [(1, [3]), (2, [])])
def test_crash_between_snapshot_and_new_segment(folder, term, kept_indexes):
    """Guards against keeping entries that diverge from a received snapshot."""
    save_entries(folder, 3)
    old_segment = segment_path(folder).read_bytes()
    opened_store = store.open(folder, "config")
    opened_store.save_snapshot(2, term, MEMBERSHIP, b"state")
    opened_store.close()
    segment_path(folder).unlink()
    (folder / "config" / "log-0").write_bytes(old_segment)
    loaded = reload(folder)
    assert (loaded.snapshot_index, loaded.snapshot_term) == (2, term)
    assert [entry.index for entry in loaded.entries] == kept_indexes


def test_save_with_entries_before_snapshot(folder):
    """Guards against rejecting a save because a snapshot was stored before its entries."""
    opened_store = store.open(folder, "config")
    opened_store.save(make_save(1))
    opened_store.save_snapshot(3, 1, MEMBERSHIP, b"state")
    opened_store.save(make_save(2, 3, 4))
    opened_store.close()
    assert [entry.index for entry in reload(folder).entries] == [4]


def test_rejects_gap_in_log(folder):
    """Guards against a gap in the log when saves are executed in the wrong order."""
    opened_store = store.open(folder, "config")
    with pytest.raises(ValueError, match="do not follow"):
        opened_store.save(make_save(2))
    opened_store.save(make_save(1))


def test_log_size_is_bounded_without_snapshots(folder, monkeypatch):
    """Guards against a disk filled up by votes and truncated entries."""
    monkeypatch.setattr(store, "MIN_REWRITE_BYTES", 4000)
    opened_store = store.open(folder, "config")
    for number in range(1, 500):
        opened_store.save(
            outputs.Save(number, number, "a/initial", 1, (make_entry(1, number, 100),))
        )
        assert segment_path(folder).stat().st_size < 6000
    opened_store.close()
    assert reload(folder).entries == (make_entry(1, 499, 100),)


def test_renewed_incarnation_keeps_everything_else(folder):
    save_entries(folder)
    before = reload(folder)
    opened_store = store.open(folder, "config")
    opened_store.renew_incarnation()
    renewed = opened_store.incarnation
    opened_store.close()
    assert renewed != store.INITIAL_INCARNATION
    opened_store = store.open(folder, "config")
    assert (opened_store.incarnation, opened_store.load()) == (renewed, before)
    opened_store.close()


def test_incarnation_is_kept_when_the_disk_is_full(folder, monkeypatch):
    """A store without a valid identity could not be opened any more."""
    opened_store = store.open(folder, "config")
    with monkeypatch.context() as patches:
        fail_calls(patches, "write", errno.ENOSPC)
        with pytest.raises(errors.DiskFull):
            opened_store.renew_incarnation()
    assert opened_store.incarnation == store.INITIAL_INCARNATION
    opened_store.close()
    opened_store = store.open(folder, "config")
    assert opened_store.incarnation == store.INITIAL_INCARNATION
    opened_store.close()
