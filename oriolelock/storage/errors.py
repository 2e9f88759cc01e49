"""
oriolelock.storage.errors
~~~~~~~~~~~~~~~~~~~~~~~~~

    Errors of the storage layer.
"""

__all__ = [
    "CorruptStore",
    "DiskFull",
    "NoMembership",
    "StorageError",
    "StoreExists",
    "StoreInUse",
    "SyncFailed",
]


class StorageError(Exception):
    """Base class of all storage errors."""


class CorruptStore(StorageError):
    """Synced data is missing or corrupt; the replica must not use what is left."""

    def __init__(self, folder: str, problem: str):
        super().__init__(
            f"{folder}: {problem}; to rejoin, move this folder away and start again: "
            "the replica then joins as a new member"
        )


class DiskFull(StorageError):
    """The disk is full. The store is unchanged, so the call may be retried."""


class SyncFailed(StorageError):
    """The contents of the disk are unknown. The store rejects all calls; the process must exit."""


class StoreInUse(StorageError):
    """Another process has the store open."""


class NoMembership(StorageError):
    """The store holds no data of a group: its replica was never admitted."""


class StoreExists(StorageError):
    """The store of an initial member cannot be created because one exists already."""
