"""
oriolelock.storage.errors
~~~~~~~~~~~~~~~~~~~~~~~~~

    Errors of the storage layer.
"""

__all__ = [
    "DamagedLog",
    "DiskFull",
    "FolderInUse",
    "FolderNotEmpty",
    "StorageError",
    "SyncFailed",
]


class StorageError(Exception):
    """Base of all errors of this layer."""


class DamagedLog(StorageError):
    """Data that had been synced is missing or altered; the replica must not use the rest."""

    def __init__(self, folder: str, problem: str):
        super().__init__(
            f"{folder}: {problem}; to rejoin, move this folder away and start again: "
            "the replica then joins as a new member"
        )


class DiskFull(StorageError):
    """Nothing was stored; the store is as before and the call may be repeated."""


class SyncFailed(StorageError):
    """What is on the disk is unknown. The store refuses all use; the process must end."""


class FolderInUse(StorageError):
    """Another process has the store open."""


class FolderNotEmpty(StorageError):
    """An initial member is formed only where no store exists."""
