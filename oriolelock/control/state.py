"""
oriolelock.control.state
~~~~~~~~~~~~~~~~~~~~~~~~

    State machine of the group ``config``: the configuration and the results of operator
    changes by change id, so that a change that is sent again applies once.
"""

import dataclasses
import typing

import cbor2
import xxhash

from oriolelock import logs
from oriolelock.control import envelope
from oriolelock.distribution import recent_changes
from oriolelock.model import changes, configuration, delta, errors, results
from oriolelock.wire import codec

__all__ = ["MAX_RESULTS", "RESULT_RETENTION_S", "ConfigState"]

RESULT_RETENTION_S = 24 * 3600.0
# Twice the 26,000 changes a day of the target size; 328 bytes each in memory, 73 in a snapshot.
MAX_RESULTS = 52_000

log = logs.get_logger("control.state")


@codec.register("config-snapshot")
@dataclasses.dataclass(frozen=True)
class ConfigSnapshot:
    """The whole state of the group ``config``; ``kept`` holds the kept results as CBOR."""

    configuration: configuration.Configuration
    wall_s: float
    kept: bytes


class KeptResult(typing.NamedTuple):
    """The first result under a change id. ``digest`` recognizes reuse of the id.

    ``result`` is in plain form: 52,000 of them as message objects took 0.9 s to encode,
    during which a leader sends no heartbeats.
    """

    wall_s: float
    digest: int
    result: list


class ConfigState:
    """Changed by the thread of its group only; ``view`` and ``changes_since`` by any."""

    def __init__(self) -> None:
        self._recent = recent_changes.RecentChanges()
        self._kept: dict[str, KeptResult] = {}
        self.wall_s = 0.0

    def view(self) -> configuration.Configuration:
        """Return the current configuration."""
        return self._recent.view()

    def apply(self, index: int, command: envelope.Command) -> results.Result:
        """Apply a committed command and return its result, the same on every replica."""
        # A leader whose clock is behind its predecessor's must not revive expired results.
        self.wall_s = max(self.wall_s, command.wall_s)
        payload = command.payload
        if not isinstance(payload, envelope.OperatorChange):
            return self._apply_change(index, payload)
        digest = xxhash.xxh64_intdigest(codec.encode(payload.change))
        kept = self._kept.get(payload.change_id)
        if kept is not None and kept.digest != digest:
            return results.Refused("the change id was used for a different change")
        if kept is not None:
            return codec.from_plain(kept.result)
        result = self._apply_operator_change(index, payload)
        is_route_change = isinstance(payload.change, changes.RouteChange)
        if not is_route_change or isinstance(result, results.Applied):
            # A route change that lost a race may be sent again once its base is in force.
            self._keep(payload.change_id, KeptResult(self.wall_s, digest, codec.to_plain(result)))
        return result

    def _apply_operator_change(self, index, payload):
        version = self.view().version
        if payload.expect_version is not None and payload.expect_version != version:
            return results.Conflict(version)
        if isinstance(payload.change, changes.RouteChange):
            revision = self.view().table.revision
            if payload.change.base != revision:
                return results.Conflict(revision)
        return self._apply_change(index, payload.change)

    def _apply_change(self, index, change):
        if not isinstance(change, changes.Change):
            return results.Refused(f"not a change: {type(change).__name__}")
        try:
            after = configuration.apply(self.view(), change, index, self.wall_s)
        except errors.ModelError as exc:
            return results.Refused(str(exc))
        except (MemoryError, RecursionError):
            # These depend on the replica; refusing here alone would make replicas differ.
            raise
        except Exception as exc:
            # The entry is in every replica's log: raising would end them all, at each start.
            log.exception("Change {} at {} fails.", type(change).__name__, index)
            return results.Refused(f"internal error: {type(exc).__name__}")
        self._recent.advance(after, (delta.CommittedChange(index, self.wall_s, change),))
        return results.Applied(after.version, after.index)

    def _keep(self, change_id, kept):
        self._kept[change_id] = kept
        while self._kept:
            oldest_id, oldest = next(iter(self._kept.items()))
            expired = self.wall_s - oldest.wall_s > RESULT_RETENTION_S
            if not expired and len(self._kept) <= MAX_RESULTS:
                break
            del self._kept[oldest_id]

    def changes_since(
        self, index: int
    ) -> tuple[configuration.Configuration, tuple[delta.CommittedChange, ...] | None]:
        """Return the configuration and the changes after ``index`` that lead to it.

        The changes are None when they are no longer kept.
        """
        return self._recent.since(index)

    def encode(self) -> bytes:
        """Return the whole state as a snapshot."""
        kept = cbor2.dumps(list(self._kept.items()))
        return codec.encode(ConfigSnapshot(self.view(), self.wall_s, kept))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; raises WireError when it does not decode."""
        snapshot = codec.decode(data)
        if not isinstance(snapshot, ConfigSnapshot):
            raise TypeError(f"not a snapshot of the configuration: {type(snapshot).__name__}")
        self._recent.reset(snapshot.configuration)
        self._kept = {key: KeptResult(*fields) for key, fields in cbor2.loads(snapshot.kept)}
        self.wall_s = snapshot.wall_s
