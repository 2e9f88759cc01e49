"""
oriolelock.control.recovery
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Last resort for a deployment that lost a majority of its control replicas for good.

    The data folder of one stopped replica is changed so that it is the only voter of each group. It
    gets new incarnations, so that no replica of the old group counts its votes any more.
"""

import collections.abc
import contextlib
import dataclasses
import secrets

from oriolelock.consensus import messages, outputs, quorum
from oriolelock.settings import control as settings
from oriolelock.storage import errors, store
from oriolelock.wire import codec

__all__ = ["StoredGroup", "describe", "inspect", "recover"]

# The new term is far above any that the old group can have reached, and differs between replicas:
# entries of the same index and term must be the same entry.
TERM_STEP = 1_000_000
# The incarnation of members whose data folders are to be empty; no folder has it.
REPLACED = "replaced"


@dataclasses.dataclass(frozen=True)
class StoredGroup:
    """What a data folder holds of a group. ``role``: ``voter``, ``learner`` or ``no-member``."""

    group: str
    role: str
    voters: tuple[str, ...]
    last_index: int
    last_term: int


def inspect(cfg: settings.ControlSettings) -> tuple[StoredGroup, ...]:
    """Return what is stored of each group; raises StorageError, NoMembership among others."""
    with _open_all(cfg) as stores:
        return tuple(_inspect(cfg.name, group, stores[group]) for group in stores)


def describe(name: str, stored: collections.abc.Iterable[StoredGroup]) -> str:
    """Return what a recovery does, as text for the operator."""
    lines = [f"{name} becomes the only voter of each group, under a new incarnation:"]
    lines += [
        f"  group {found.group}: voters so far {', '.join(found.voters)}; last entry "
        f"{found.last_index} of term {found.last_term}; this replica is a {found.role}"
        for found in stored
    ]
    lines += [
        "Changes that only other replicas hold are lost, acknowledged ones among them. Run this",
        "without --yes-lose-changes on all that are left, and recover the one with the highest",
        "term, then the highest entry. All other replicas must be stopped and their data folders",
        "moved away first: those that run on with their data would be stopped from electing a",
        "leader, or go on as a second group. If one may come back, use a new name of the cluster",
        "in the settings of all processes that go on.",
    ]
    return "\n".join(lines)


def recover(cfg: settings.ControlSettings) -> None:
    """Make this replica the only voter of each group; raises StorageError.

    After a crash in between, the replica is no member of some groups until this is run again.
    """
    with _open_all(cfg) as stores:
        for group, group_store in stores.items():
            _inspect(cfg.name, group, group_store)
        for group_store in stores.values():
            _recover(cfg, group_store)


@contextlib.contextmanager
def _open_all(cfg):
    """Open the stores of all groups, which fails while the replica runs."""
    with contextlib.ExitStack() as stack:
        stores = {}
        for group in cfg.groups():
            if not store.exists(cfg.data_folder, group):
                raise errors.NoMembership(f"there is no data of group {group}")
            stores[group] = store.open(cfg.data_folder, group)
            stack.callback(stores[group].close)
        yield stores


def _inspect(name, group, group_store):
    stored = group_store.load()
    membership = _latest_membership(stored)
    voters = tuple(sorted(replica.name for replica in quorum.voters(membership)))
    if not voters:
        raise errors.NoMembership(f"this replica was never admitted to group {group}")
    role = "no-member"
    if quorum.is_member(membership, name, group_store.incarnation):
        is_voter = quorum.is_voter(membership, name, group_store.incarnation)
        role = "voter" if is_voter else "learner"
    return StoredGroup(group, role, voters, *_last_entry(stored))


def _latest_membership(stored):
    changes = [entry for entry in stored.entries if entry.kind == "membership"]
    return codec.decode(changes[-1].data) if changes else stored.membership


def _last_entry(stored):
    if stored.entries:
        return stored.entries[-1].index, stored.entries[-1].term
    return stored.snapshot_index, stored.snapshot_term


def _recover(cfg, group_store):
    # First the incarnation: with it alone the replica is no member and rejoins like any other.
    group_store.renew_incarnation()
    stored = group_store.load()
    term = stored.term + TERM_STEP + secrets.randbelow(TERM_STEP)
    own = messages.Replica(cfg.name, group_store.incarnation, True)
    # The leader sends to its members only. Replicas that start from seeds ask for admission.
    others = [messages.Replica(peer.name, REPLACED, False) for peer in cfg.others()]
    data = codec.encode(messages.Membership((own, *others)))
    entry = messages.Entry(_last_entry(stored)[0] + 1, term, "membership", data)
    group_store.save(outputs.Save(0, term, "", 0, (entry,)))
