"""
oriolelock.control.config_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    State machine of the group ``config``: the configuration, and the results of operator changes
    by change id, so that a change that is resent is applied only once.
"""

import dataclasses
import typing

import cbor2
import xxhash

from oriolelock import logs
from oriolelock.control import change_numbers, commands
from oriolelock.distribution import recent_changes
from oriolelock.model import changes, configuration, delta, errors, results, route_table
from oriolelock.wire import codec

__all__ = ["ID_REUSED", "MAX_RESULTS", "RESULT_RETENTION_S", "ConfigState"]

RESULT_RETENTION_S = 24 * 3600.0
# Twice the 26,000 changes per day of the target size. A result takes 328 bytes in memory and 73
# bytes in a snapshot.
MAX_RESULTS = 52_000
ID_REUSED = results.Refused("the change id was used for a different change")

log = logs.get_logger("control.state")


@codec.register("config-snapshot")
@dataclasses.dataclass(frozen=True)
class ConfigSnapshot:
    """Snapshot of the group ``config``; ``kept`` holds the stored results as CBOR."""

    configuration: configuration.Configuration
    wall_s: float
    kept: bytes


class StoredResult(typing.NamedTuple):
    """The result of the first change with a change id.

    ``digest`` of the change detects reuse of the id for a different one. ``result`` is in plain
    form, because encoding 52,000 message objects took 0.9 s, during which a leader sends no
    heartbeats.
    """

    wall_s: float
    digest: int
    result: list


class ConfigState:
    """Changed only by its group's thread.

    ``view``, ``changes_since`` and ``last_number`` are thread-safe.
    """

    def __init__(self) -> None:
        self._recent_changes = recent_changes.RecentChanges()
        self._stored_results: dict[str, StoredResult] = {}
        self._numbers = change_numbers.ChangeNumbers()
        self.wall_s = 0.0

    def view(self) -> configuration.Configuration:
        """Return the current configuration."""
        return self._recent_changes.view()

    def apply(self, index: int, command: commands.Command) -> results.Result:
        """Apply a committed command and return its result, the same on every replica."""
        # A new leader's clock may be behind; if time went back, expired results would revive.
        self.wall_s = max(self.wall_s, command.wall_s)
        payload = command.payload
        if not isinstance(payload, commands.OperatorChange):
            return self._apply_change(index, payload, len(codec.encode(payload)))
        data = codec.encode(payload.change)
        digest = xxhash.xxh64_intdigest(data)
        stored = self._stored_results.get(payload.change_id)
        if stored is not None and stored.digest != digest:
            return ID_REUSED
        if stored is not None:
            return codec.from_plain(stored.result)
        result = self._apply_operator_change(index, payload, len(data))
        is_route_change = isinstance(payload.change, changes.RouteChange)
        if not is_route_change or isinstance(result, results.Applied):
            # A route change that met a conflict may be resent once its base revision is in force.
            self._store_result(
                payload.change_id, StoredResult(self.wall_s, digest, codec.to_plain(result))
            )
        return result

    def _apply_operator_change(self, index, payload, size):
        version = self.view().version
        if payload.expect_version is not None and payload.expect_version != version:
            return results.Conflict(version)
        if isinstance(payload.change, changes.RouteChange):
            revision = self.view().table.revision
            if payload.change.base != revision:
                return results.Conflict(revision)
        return self._apply_change(index, payload.change, size)

    def _apply_change(self, index, change, size):
        if not isinstance(change, changes.Change):
            return results.Refused(f"not a change: {type(change).__name__}")
        before = self.view()
        try:
            updated = configuration.apply(before, change, index, self.wall_s)
        except errors.ModelError as exc:
            return results.Refused(str(exc))
        except (MemoryError, RecursionError):
            # These depend on the replica's resources: refusing the change here while other replicas
            # apply it would make their states diverge.
            raise
        except Exception as exc:
            # The command is in every replica's log: raising would end them all, at every start.
            log.exception("Change {} at index {} failed.", type(change).__name__, index)
            return results.Refused(f"internal error: {type(exc).__name__}")
        if isinstance(change, changes.PutRoutes):
            change, size = _shortened(change, size, before.table)
        committed = delta.CommittedChange(index, self.wall_s, change)
        self._recent_changes.advance(updated, (committed,), (size,))
        return results.Applied(updated.version, updated.index)

    def _store_result(self, change_id, stored):
        self._stored_results[change_id] = stored
        self._numbers.record(change_id)
        while self._stored_results:
            oldest_id, oldest = next(iter(self._stored_results.items()))
            expired = self.wall_s - oldest.wall_s > RESULT_RETENTION_S
            if not expired and len(self._stored_results) <= MAX_RESULTS:
                break
            del self._stored_results[oldest_id]
            self._numbers.forget(oldest_id)

    def last_number(self, subject: str) -> int:
        """Return the number of the latest numbered change of ``subject``, 0 if there is none."""
        return self._numbers.last(subject)

    def changes_since(
        self, index: int
    ) -> tuple[configuration.Configuration, tuple[delta.CommittedChange, ...] | None]:
        """Return the configuration and the changes after ``index`` that lead to it.

        The changes are None if some of them are no longer available.
        """
        return self._recent_changes.since(index)

    def encode(self) -> bytes:
        """Return the whole state as a snapshot."""
        kept = cbor2.dumps(list(self._stored_results.items()))
        return codec.encode(ConfigSnapshot(self.view(), self.wall_s, kept))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; raises ``wire.errors.WireError`` if it is malformed."""
        snapshot = codec.decode(data)
        if not isinstance(snapshot, ConfigSnapshot):
            raise TypeError(f"not a configuration snapshot: {type(snapshot).__name__}")
        self._recent_changes.reset(snapshot.configuration)
        self._stored_results = {
            key: StoredResult(*fields) for key, fields in cbor2.loads(snapshot.kept)
        }
        self._numbers = change_numbers.ChangeNumbers()
        for change_id in self._stored_results:
            self._numbers.record(change_id)
        self.wall_s = snapshot.wall_s


def _shortened(change, size, before):
    """Return the change to distribute, the same but for what stays in the table, and its size.

    A whole table would fill the link of a small instance that passes it on to several others.
    """
    patch = changes.PatchRoutes(change.base, route_table.difference(before, change.table))
    patch_size = len(codec.encode(patch))
    return (patch, patch_size) if patch_size < size else (change, size)
