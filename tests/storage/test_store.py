"""
tests.storage.test_store
~~~~~~~~~~~~~~~~~~~~~~~~
"""

import errno
import os

import pytest

from oriolelock.consensus import messages, outputs
from oriolelock.storage import errors, store

GROUP = messages.Membership((messages.Replica("a", "initial", True),))


def entry(index, term=1, size=3):
    return messages.Entry(index, term, "command", b"x" * size)


def save(*indexes, term=1, truncate_from=0, size=3):
    entries = tuple(entry(index, term, size) for index in indexes)
    return outputs.Save(1, term, "a/initial", truncate_from, entries)


@pytest.fixture
def folder(tmp_path):
    store.form(tmp_path, "config", GROUP)
    return tmp_path


def reopened(folder):
    opened = store.open(folder, "config")
    found = opened.load()
    opened.close()
    return found


def segment(folder):
    return next((folder / "config").glob("log-*"))


def filled(folder, count=5):
    opened = store.open(folder, "config")
    for index in range(1, count + 1):
        opened.save(save(index))
    opened.close()


def fail_calls(monkeypatch, name, number, good=0, partial=0, count=1):
    """Let ``count`` calls of ``os.<name>`` fail with ``number`` after some good ones.

    With ``partial``, one more call before them writes only so many bytes.
    """
    original = getattr(os, name)
    plan = iter([None] * good + [partial] * bool(partial) + [-1] * count)

    def replacement(fd, *args):
        todo = next(plan, None)
        if todo is None:
            return original(fd, *args)
        if todo > 0:
            return original(fd, args[0][:todo])
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, name, replacement)


def test_formed_and_joining_replicas_differ(tmp_path):
    """Guards against a lost disk that comes back under the identity that others count."""
    store.form(tmp_path / "one", "config", GROUP)
    first = store.open(tmp_path / "one", "config")
    assert (first.incarnation, first.load().membership) == ("initial", GROUP)
    others = [store.open(tmp_path / name, "config") for name in ("two", "three")]
    assert others[0].load().membership == messages.Membership(())
    assert len({first.incarnation, *(item.incarnation for item in others)}) == 3
    with pytest.raises(errors.FolderNotEmpty):
        store.form(tmp_path / "two", "config", GROUP)


def test_keeps_vote_and_entries(folder):
    """Guards against a second vote in a term, and lost entries, after a restart."""
    opened = store.open(folder, "config")
    opened.save(save(1, 2, 3))
    opened.save(outputs.Save(2, 7, "b/initial", 3, (entry(3, 7), entry(4, 7))))
    opened.save(outputs.Save(3, 8, "c/initial", 0, ()))
    opened.close()
    found = reopened(folder)
    assert (found.term, found.voted_for) == (8, "c/initial")
    assert found.entries == (entry(1), entry(2), entry(3, 7), entry(4, 7))


def test_refuses_second_process(folder):
    """Guards against two processes that act as the same replica."""
    opened = store.open(folder, "config")
    with pytest.raises(errors.FolderInUse):
        store.open(folder, "config")
    opened.close()
    reopened(folder)


def test_cuts_torn_tail_at_each_length(folder):
    """Guards against a refused start, or a half record in use, after a crash during a write."""
    filled(folder, 2)
    before = segment(folder).stat().st_size
    opened = store.open(folder, "config")
    opened.save(save(3))
    opened.close()
    whole = segment(folder).read_bytes()
    for length in range(before, len(whole)):
        segment(folder).write_bytes(whole[:length])
        assert [item.index for item in reopened(folder).entries] == [1, 2]
        assert segment(folder).stat().st_size == before
    segment(folder).write_bytes(whole[: before + 9] + bytes(len(whole) - before - 9))
    opened = store.open(folder, "config")
    opened.save(save(3, term=2))
    opened.close()
    assert reopened(folder).entries[2] == entry(3, 2)


def test_refuses_damage_in_middle(folder):
    """Guards against silently dropping entries that were acknowledged."""
    filled(folder)
    whole = segment(folder).read_bytes()
    last = whole.rfind(b"\xf0OLR")
    for position in range(0, last, 7):
        damaged = bytearray(whole)
        damaged[position] ^= 0x10
        segment(folder).write_bytes(damaged)
        with pytest.raises(errors.DamagedLog, match="move this folder away and start again"):
            store.open(folder, "config")


@pytest.mark.parametrize("file", ["snapshot", "identity"])
def test_refuses_damaged_snapshot_and_identity(folder, file):
    """Guards against a state or an identity that is not the stored one."""
    opened = store.open(folder, "config")
    opened.save(save(1, 2))
    opened.save_snapshot(2, 1, GROUP, b"state")
    opened.close()
    path = folder / "config" / file
    whole = path.read_bytes()
    for data in (whole[:-1], whole[:-1] + bytes([whole[-1] ^ 1]), b""):
        path.write_bytes(data)
        with pytest.raises(errors.DamagedLog, match=file):
            store.open(folder, "config")
    path.unlink()
    with pytest.raises(errors.DamagedLog, match=file):
        store.open(folder, "config")


def test_disk_full_leaves_last_good_state(folder, monkeypatch):
    """Guards against a half record in front of later ones when space returns."""
    opened = store.open(folder, "config")
    opened.save(save(1))
    for partial in (0, 5):
        with monkeypatch.context() as patch:
            fail_calls(patch, "write", errno.ENOSPC, partial=partial)
            with pytest.raises(errors.DiskFull):
                opened.save(save(2))
        assert [item.index for item in opened.load().entries] == [1]
    opened.save(save(2))
    opened.save(save(3))
    opened.close()
    assert [item.index for item in reopened(folder).entries] == [1, 2, 3]


@pytest.mark.parametrize("good_writes", [0, 1])
def test_disk_full_during_snapshot(folder, monkeypatch, good_writes):
    """Guards against a lost log when the snapshot, or the log after it, finds no space."""
    opened = store.open(folder, "config")
    opened.save(save(1, 2, 3))
    with monkeypatch.context() as patch:
        fail_calls(patch, "write", errno.ENOSPC, good=good_writes, count=2)
        with pytest.raises(errors.DiskFull):
            opened.save_snapshot(2, 1, GROUP, b"state")
        with pytest.raises(errors.DiskFull):
            opened.save(save(4))
    opened.close()
    found = reopened(folder)
    assert found.snapshot_index == 2 * good_writes
    assert [item.index for item in found.entries][-1] == 3
    opened = store.open(folder, "config")
    opened.save(save(4))
    opened.save_snapshot(2, 1, GROUP, b"state")
    opened.close()
    assert [item.index for item in reopened(folder).entries] == [3, 4]


def test_save_after_unfinished_snapshot(folder, monkeypatch):
    """Guards against a hole in the old log when only the snapshot itself found space."""
    opened = store.open(folder, "config")
    opened.save(save(1, 2, 3))
    fail_calls(monkeypatch, "write", errno.ENOSPC, good=1)
    with pytest.raises(errors.DiskFull):
        opened.save_snapshot(10, 1, GROUP, b"state")
    opened.save(save(11))
    opened.close()
    assert [item.index for item in reopened(folder).entries] == [11]


def test_failed_sync_is_final(folder, monkeypatch):
    """Guards against a repeated sync that succeeds although the data is gone."""
    opened = store.open(folder, "config")
    with monkeypatch.context() as patch:
        fail_calls(patch, "fsync", errno.EIO)
        with pytest.raises(errors.SyncFailed):
            opened.save(save(1))
    for call in (
        opened.load,
        lambda: opened.save(save(1)),
        lambda: opened.save_snapshot(1, 1, GROUP, b""),
    ):
        with pytest.raises(errors.SyncFailed):
            call()


def test_each_save_is_synced(folder, monkeypatch):
    """Guards against an acknowledgement of what is only in the page cache."""
    opened = store.open(folder, "config")
    log = []
    write, sync = os.write, os.fsync
    monkeypatch.setattr(os, "write", lambda fd, data: log.append("write") or write(fd, data))
    monkeypatch.setattr(os, "fsync", lambda fd: log.append("sync") or sync(fd))
    opened.save(save(1))
    assert log == ["write", "sync"]


def test_snapshot_replaces_log(folder):
    """Guards against a log that grows for ever, and against entries lost with the old part."""
    opened = store.open(folder, "config")
    opened.save(save(1, 2, 3, 4, size=1000))
    before = opened.log_bytes
    opened.save_snapshot(3, 1, GROUP, b"state")
    opened.save_snapshot(2, 1, GROUP, b"older")
    assert opened.log_bytes < before / 2
    opened.close()
    found = reopened(folder)
    assert (found.snapshot_index, found.snapshot, found.entries) == (
        3,
        b"state",
        (entry(4, 1, 1000),),
    )
    assert len(list((folder / "config").glob("log-*"))) == 1


@pytest.mark.parametrize("term, kept", [(1, [3]), (2, [])])
def test_crash_between_snapshot_and_log(folder, term, kept):
    """Guards against entries of another history after a received snapshot."""
    filled(folder, 3)
    old = segment(folder).read_bytes()
    opened = store.open(folder, "config")
    opened.save_snapshot(2, term, GROUP, b"state")
    opened.close()
    segment(folder).unlink()
    (folder / "config" / "log-0").write_bytes(old)
    found = reopened(folder)
    assert (found.snapshot_index, found.snapshot_term) == (2, term)
    assert [item.index for item in found.entries] == kept


def test_save_that_an_earlier_snapshot_covers(folder):
    """Guards against a refused save when a snapshot was stored before the entries in it."""
    opened = store.open(folder, "config")
    opened.save(save(1))
    opened.save_snapshot(3, 1, GROUP, b"state")
    opened.save(save(2, 3, 4))
    opened.close()
    assert [item.index for item in reopened(folder).entries] == [4]


def test_refuses_gap(folder):
    """Guards against a log with a hole when saves are carried out in the wrong order."""
    opened = store.open(folder, "config")
    with pytest.raises(ValueError, match="do not follow"):
        opened.save(save(2))
    opened.save(save(1))


def test_size_is_bounded_without_snapshots(folder, monkeypatch):
    """Guards against a disk that votes and truncated entries fill."""
    monkeypatch.setattr(store, "MIN_REWRITE_BYTES", 4000)
    opened = store.open(folder, "config")
    for number in range(1, 500):
        opened.save(outputs.Save(number, number, "a/initial", 1, (entry(1, number, 100),)))
        assert segment(folder).stat().st_size < 6000
    opened.close()
    assert reopened(folder).entries == (entry(1, 499, 100),)
