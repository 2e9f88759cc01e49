"""
oriolelock.model.delta
~~~~~~~~~~~~~~~~~~~~~~

    Differences between two positions of the log, applied in order.
"""

import dataclasses

from oriolelock.model import changes, configuration, errors
from oriolelock.wire import codec

__all__ = ["CommittedChange", "apply_all"]


@codec.register("committed")
@dataclasses.dataclass(frozen=True)
class CommittedChange:
    """A change that was applied at ``index``; refused changes never appear in a delta."""

    index: int
    wall_s: float
    change: object


def apply_all(
    cfg: configuration.Configuration, to_index: int, committed: tuple[CommittedChange, ...]
) -> configuration.Configuration:
    """Return the configuration at ``to_index``; raises InvalidData when it would go back."""
    for item in committed:
        if item.index <= cfg.index:
            continue
        if not isinstance(item.change, changes.Change):
            raise errors.InvalidData(f"not a change: {type(item.change).__name__}")
        cfg = configuration.apply(cfg, item.change, item.index, item.wall_s)
    if to_index < cfg.index:
        raise errors.InvalidData(f"index would go back from {cfg.index} to {to_index}")
    return dataclasses.replace(cfg, index=to_index)
