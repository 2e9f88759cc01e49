"""
oriolelock.control.state
~~~~~~~~~~~~~~~~~~~~~~~~

    State machine of the group ``config``: the configuration and the results of operator
    changes by change id, so that a change that is sent again applies once.
"""

import collections
import dataclasses
import threading

import xxhash

from oriolelock import logs
from oriolelock.control import envelope
from oriolelock.model import changes, configuration, delta, errors, results
from oriolelock.wire import codec

__all__ = ["MAX_RESULTS", "RECENT_CHANGES", "RESULT_RETENTION_S", "ConfigState"]

RESULT_RETENTION_S = 24 * 3600.0
# Twice the 26,000 changes a day of the target size, at about 100 bytes each.
MAX_RESULTS = 52_000
# At 26,000 changes a day this covers a subscriber that was away for almost four hours.
RECENT_CHANGES = 4_000

log = logs.get_logger("control.state")


@codec.register("kept-result")
@dataclasses.dataclass(frozen=True)
class KeptResult:
    """The first result under a change id. ``digest`` recognizes reuse of the id."""

    wall_s: float
    digest: int
    result: object


@codec.register("config-snapshot")
@dataclasses.dataclass(frozen=True)
class ConfigSnapshot:
    """The whole state of the group ``config``."""

    configuration: configuration.Configuration
    wall_s: float
    kept: tuple[tuple[str, KeptResult], ...]


class ConfigState:
    """Changed by the thread of its group only; ``view`` and ``changes_since`` by any."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._configuration = configuration.EMPTY
        self._kept: dict[str, KeptResult] = {}
        self._recent: collections.deque = collections.deque(maxlen=RECENT_CHANGES)
        self._recent_from = 0
        self.wall_s = 0.0

    def view(self) -> configuration.Configuration:
        """Return the current configuration."""
        return self._configuration

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
            return kept.result
        result = self._apply_operator_change(index, payload)
        self._keep(payload.change_id, KeptResult(self.wall_s, digest, result))
        return result

    def _apply_operator_change(self, index, payload):
        version = self._configuration.version
        if payload.expect_version is not None and payload.expect_version != version:
            return results.Conflict(version)
        return self._apply_change(index, payload.change)

    def _apply_change(self, index, change):
        if not isinstance(change, changes.Change):
            return results.Refused(f"not a change: {type(change).__name__}")
        try:
            after = configuration.apply(self._configuration, change, index, self.wall_s)
        except (errors.ModelError, ValueError) as exc:
            return results.Refused(str(exc))
        with self._lock:
            self._configuration = after
            if len(self._recent) == RECENT_CHANGES:
                self._recent_from = self._recent[0].index
            self._recent.append(delta.CommittedChange(index, self.wall_s, change))
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
        with self._lock:
            if index < self._recent_from:
                return self._configuration, None
            newer = []
            for item in reversed(self._recent):
                if item.index <= index:
                    break
                newer.append(item)
            return self._configuration, tuple(reversed(newer))

    def encode(self) -> bytes:
        """Return the whole state as a snapshot."""
        kept = tuple(self._kept.items())
        return codec.encode(ConfigSnapshot(self._configuration, self.wall_s, kept))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; raises WireError when it does not decode."""
        snapshot = codec.decode(data)
        if not isinstance(snapshot, ConfigSnapshot):
            raise TypeError(f"not a snapshot of the configuration: {type(snapshot).__name__}")
        with self._lock:
            self._configuration = snapshot.configuration
            self._recent.clear()
            self._recent_from = snapshot.configuration.index
        self._kept = dict(snapshot.kept)
        self.wall_s = snapshot.wall_s
