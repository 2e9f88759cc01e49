"""
tests.consensus.simulated
~~~~~~~~~~~~~~~~~~~~~~~~~

    A simulated replica: a node, the contents of its disk, and its process.
"""

import dataclasses

import hypothesis

from oriolelock.consensus import events, messages, node, node_settings, persistent_state, quorum

EMPTY = messages.Membership(())
# A series that fails is not made smaller: its seed tells nothing of its length.
RANDOM = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


@dataclasses.dataclass(frozen=True)
class GroupSettings:
    """Timeouts in seconds; ``min_voters`` is None where silent replicas are not removed."""

    heartbeat_s: float = 0.25
    election_min_s: float = 1.5
    election_max_s: float = 3.0
    min_voters: int | None = None


DEFAULTS = GroupSettings()


@dataclasses.dataclass(frozen=True)
class Join:
    """A replica's request to be admitted; see ``oriolelock.control.messages.Join``."""

    name: str
    incarnation: str
    hops: int = 0


class Replica:
    """A node, the contents of its disk, and the saves that are not synced yet.

    The clock of a process that was asleep is behind by ``slept_s``.
    """

    def __init__(self, name, incarnation, membership, rng, settings):
        self.name, self.incarnation, self.rng, self.settings = name, incarnation, rng, settings
        self.disk = persistent_state.PersistentState(0, "", 0, 0, membership, (), b"")
        self.suspended = self.down = self.preferred = False
        self.slept_s = 0.0

    @property
    def identity(self):
        return f"{self.name}/{self.incarnation}"

    @property
    def running(self):
        return not self.suspended and not self.down

    def is_voter(self):
        """Return whether this replica votes in the latest membership that it has applied."""
        membership = node.snapshot_metadata(self.node, self.applied)[1]
        return quorum.is_voter(membership, self.name, self.incarnation)

    def start(self, now):
        cfg = node_settings.NodeSettings(
            self.name,
            self.incarnation,
            self.settings.heartbeat_s,
            self.settings.election_min_s,
            self.settings.election_max_s,
            self.preferred,
        )
        self.node = node.make(cfg, self.disk, now - self.slept_s, self.rng)
        self.pending_saves = []
        self.applied, self.state = self.disk.snapshot_index, self.disk.snapshot
        self.next_join_s = now
        self.heard_s = {}

    def sync(self):
        save = self.pending_saves.pop(0)
        entries = [
            entry for entry in self.disk.entries if not 0 < save.truncate_from <= entry.index
        ]
        entries += [entry for entry in save.entries if entry.index > self.disk.snapshot_index]
        self.disk = dataclasses.replace(
            self.disk, term=save.term, voted_for=save.voted_for, entries=tuple(entries)
        )
        return events.Saved(save.number)

    def store_snapshot(self, index, term, membership, data):
        kept_entries = ()
        if any((entry.index, entry.term) == (index, term) for entry in self.disk.entries):
            kept_entries = tuple(entry for entry in self.disk.entries if entry.index > index)
        self.disk = dataclasses.replace(
            self.disk,
            snapshot_index=index,
            snapshot_term=term,
            membership=membership,
            entries=kept_entries,
            snapshot=data,
        )
