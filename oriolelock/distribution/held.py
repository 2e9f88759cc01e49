"""
oriolelock.distribution.held
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The configuration that an entry holds, and the rules for replacing it.
"""

import enum

from oriolelock.distribution import messages
from oriolelock.model import configuration, delta, errors

__all__ = ["Held", "Verdict"]


class Verdict(enum.Enum):
    """What became of a snapshot or delta."""

    APPLIED = "applied"  # the configuration is now at the index of the message
    STALE = "stale"  # older than what is held: ignored
    GAP = "gap"  # changes before it are missing
    BROKEN = "broken"  # it can't be applied


class Held:
    """Not thread-safe for writers; ``cfg`` may be read from any thread.

    Neither index nor version of ``cfg`` ever decreases.
    """

    def __init__(self, cfg: configuration.Configuration = configuration.EMPTY):
        self.cfg = cfg

    def next_after(
        self, msg: messages.Snapshot | messages.Delta
    ) -> tuple[Verdict, configuration.Configuration]:
        """Return the verdict on ``msg`` and the configuration after it; changes nothing."""
        if isinstance(msg, messages.Snapshot):
            return self._check(msg.configuration)
        if msg.from_index > self.cfg.index:
            return Verdict.GAP, self.cfg
        if msg.to_index < self.cfg.index:
            return Verdict.STALE, self.cfg
        try:
            cfg = delta.apply_all(self.cfg, msg.to_index, msg.changes)
        except (errors.ModelError, KeyError, ValueError):
            return Verdict.BROKEN, self.cfg
        return self._check(cfg)

    def _check(self, cfg):
        if cfg.index < self.cfg.index or cfg.version < self.cfg.version:
            return Verdict.STALE, self.cfg
        return Verdict.APPLIED, cfg
