"""
oriolelock.distribution.held_configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The configuration that an entry holds, and the rules for replacing it.
"""

import enum

from oriolelock.distribution import messages
from oriolelock.model import configuration, delta, errors

__all__ = ["HeldConfiguration", "Verdict"]


class Verdict(enum.Enum):
    """The result of evaluating a snapshot or delta."""

    APPLIED = "applied"  # leads to the index of the message
    STALE = "stale"  # older than the held configuration, to be ignored
    GAP = "gap"  # earlier changes are missing
    BROKEN = "broken"  # can't be applied


class HeldConfiguration:
    """The current configuration. One thread may write; any thread may read ``cfg``.

    Neither the index nor the version of ``cfg`` may ever decrease.
    """

    def __init__(self, cfg: configuration.Configuration = configuration.EMPTY):
        self.cfg = cfg

    def evaluate(
        self, msg: messages.Snapshot | messages.Delta
    ) -> tuple[Verdict, configuration.Configuration]:
        """Return the verdict on ``msg`` and the resulting configuration, without storing it."""
        if isinstance(msg, messages.Snapshot):
            return self._reject_older(msg.configuration)
        if msg.from_index > self.cfg.index:
            return Verdict.GAP, self.cfg
        if msg.to_index < self.cfg.index:
            return Verdict.STALE, self.cfg
        try:
            cfg = delta.apply_all(self.cfg, msg.to_index, msg.changes)
        except (errors.ModelError, KeyError, ValueError):
            return Verdict.BROKEN, self.cfg
        return self._reject_older(cfg)

    def _reject_older(self, cfg):
        if cfg.index < self.cfg.index or cfg.version < self.cfg.version:
            return Verdict.STALE, self.cfg
        return Verdict.APPLIED, cfg
