"""
oriolelock.distribution.stored_copy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The copy of the configuration that an entry keeps on disk.
"""

import os
import pathlib

import crc32c

from oriolelock import logs
from oriolelock.model import configuration
from oriolelock.wire import codec, errors

__all__ = ["StoredCopy"]

FILE_NAME = "configuration.cbor"
CHECKSUM_BYTES = 4

log = logs.get_logger("uplink")


class StoredCopy:
    """A checksummed file, replaced atomically: a new file is written, synced and renamed."""

    def __init__(self, folder: str):
        self._folder = pathlib.Path(folder)
        self._path = self._folder / FILE_NAME

    def load(self) -> configuration.Configuration | None:
        """Return the stored configuration, or None if it is missing, unreadable or damaged."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as exc:
            log.warning("stored configuration can't be read: {}", exc)
            return None
        body = data[CHECKSUM_BYTES:]
        if crc32c.crc32c(body) != int.from_bytes(data[:CHECKSUM_BYTES], "big"):
            log.warning("stored configuration is ignored: checksum mismatch")
            return None
        try:
            cfg = codec.decode(body)
        except errors.DecodeError as exc:
            log.warning("stored configuration is ignored: {}", exc)
            return None
        return cfg if isinstance(cfg, configuration.Configuration) else None

    def save(self, cfg: configuration.Configuration) -> None:
        """Store ``cfg`` durably.

        If that fails, the old copy is removed: a restart would otherwise return to a
        configuration older than the one that is served from now on.
        """
        body = codec.encode(cfg)
        data = crc32c.crc32c(body).to_bytes(CHECKSUM_BYTES, "big") + body
        temporary_path = self._path.with_suffix(".new")
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            with open(temporary_path, "wb") as out:
                out.write(data)
                out.flush()
                os.fsync(out.fileno())
            os.replace(temporary_path, self._path)
            self._sync_folder()
        except OSError as exc:
            log.error("configuration can't be stored, removing the old copy: {}", exc)
            self._remove()

    def _remove(self):
        try:
            self._path.unlink(missing_ok=True)
            self._sync_folder()
        except OSError as exc:
            log.error("stored configuration can't be removed: {}", exc)

    def _sync_folder(self):
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
