"""
oriolelock.storage.files
~~~~~~~~~~~~~~~~~~~~~~~~

    Durable file operations that raise storage errors.
"""

import errno
import os
import pathlib

from oriolelock.storage import errors

__all__ = ["replace", "sync", "sync_folder", "truncate", "write"]

FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)


def write(fd: int, data: bytes) -> None:
    """Write all of ``data``; raises DiskFull or SyncFailed, possibly after a partial write."""
    view = memoryview(data)
    try:
        while view:
            view = view[os.write(fd, view) :]
    except OSError as exc:
        if exc.errno in FULL_ERRORS:
            raise errors.DiskFull(str(exc)) from exc
        raise errors.SyncFailed(f"write failed: {exc}") from exc


def truncate(fd: int, size: int) -> None:
    """Cut a file to ``size`` bytes; raises DiskFull, with the file unchanged, or SyncFailed."""
    try:
        os.ftruncate(fd, size)
    except OSError as exc:
        if exc.errno in FULL_ERRORS:
            raise errors.DiskFull(str(exc)) from exc
        raise errors.SyncFailed(f"truncation failed: {exc}") from exc


def sync(fd: int) -> None:
    """Sync a file; raises SyncFailed.

    Never retry a failed sync: the kernel may mark the dirty pages clean after a failure, and
    the second sync would then succeed without having written them.
    """
    try:
        os.fsync(fd)
    except OSError as exc:
        raise errors.SyncFailed(f"sync failed: {exc}") from exc


def sync_folder(folder: pathlib.Path) -> None:
    """Sync the directory entries of a folder; raises SyncFailed."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync(fd)
    finally:
        os.close(fd)


def replace(path: pathlib.Path, data: bytes) -> None:
    """Atomically and durably replace the file at ``path`` with ``data``.

    Raises DiskFull, with ``path`` unchanged, or SyncFailed.
    """
    temporary = path.with_name(path.name + ".tmp")
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    except OSError as exc:
        if exc.errno in FULL_ERRORS:
            raise errors.DiskFull(str(exc)) from exc
        raise errors.SyncFailed(f"{temporary}: {exc}") from exc
    try:
        write(fd, data)
        sync(fd)
    except errors.DiskFull:
        temporary.unlink(missing_ok=True)
        raise
    finally:
        os.close(fd)
    try:
        os.rename(temporary, path)
    except OSError as exc:
        raise errors.SyncFailed(f"rename failed: {exc}") from exc
    sync_folder(path.parent)
