"""Random faults of parents, replicas and links beside a stream of changes.

``python -m tests.distribution.random_faults --seed 1 --seeds 50`` plays many of them.
"""

import argparse
import dataclasses
import random
import sys
import time

from tests.distribution import held_link, tree_rig

__all__ = ["Outcome", "run"]

ZONES, HEADS, CHILDREN = ("a", "b"), 2, 3
REPLICAS = ("r0", "r1", "r2", "r3")
# In touch again so long after the last trouble of its own.
CONTACT_S = 4.0
# 2.5 s from the acknowledgement, less a fifth for agreement and distant regions.
IN_USE_S = 2.5 * 4 / 5
MAX_FAULTY_ENTRIES = 5
FAULTS = (
    "replica-cut",
    "replica-silent",
    "replica-slow",
    "entry-cut",
    "entry-silent",
    "entry-slow",
    "link-silent",
    "link-slow",
    "link-dead",
    "replica-killed",
    "entry-killed",
    "link-reset",
    "link-one-way",
    "links-full",
)
# Packets that wait for longer make an instance slow: it isn't in touch.
MAX_FULL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Outcome:
    """``late``: (entry, index, seconds or None); ``checked``: pairs of an entry and a change."""

    late: tuple
    checked: int
    slowest_s: float
    faults: tuple


def make_order():
    """Return the parents of each entry: two heads in each zone, entries below, one below those."""
    order = {}
    for number, zone in enumerate(ZONES):
        near = REPLICAS[2 * number :] + REPLICAS[: 2 * number]
        heads = [f"{zone}{n}" for n in range(HEADS)]
        for n, head in enumerate(heads):
            order[head] = [*near[n:], *near[:n]]
        children = [f"{zone}{HEADS + n}" for n in range(CHILDREN)]
        for n, child in enumerate(children):
            order[child] = [heads[n % 2], heads[1 - n % 2], *children[:n], *near]
        order[f"{zone}-leaf"] = [children[0], children[1], *heads, *near]
    return order


class Faults:
    """Begins and ends faults. ``troubles`` holds when an entry was not in touch.

    They are added with their real ends, which may be late.
    """

    def __init__(self, tree, rng):
        self._tree = tree
        self._rng = rng
        self._faulty = set()
        self._ends = []
        # Entry and begin of troubles by subject.
        self._troubled = {}
        self.troubles = []
        self.log = []

    def begin(self, now):
        kind = self._rng.choice(FAULTS)
        subject = self._subject(kind)
        if subject is None:
            return
        end_s = now + self._rng.uniform(0.5, 5.0)
        self.log.append((round(now, 2), kind, subject, round(end_s - now, 2)))
        undo = getattr(self, "_" + kind.replace("-", "_"))(subject)
        self._faulty.add(subject)
        self._ends.append((end_s, subject, undo))
        entry = subject[0] if isinstance(subject, tuple) else subject
        reaches_control = isinstance(subject, tuple) and subject[1] not in REPLICAS
        if entry not in REPLICAS and not reaches_control and kind != "links-full":
            self._troubled[subject] = entry, now

    def end(self, now):
        for item in [item for item in self._ends if item[0] <= now]:
            _, subject, undo = item
            self._faulty.discard(subject)
            self._ends.remove(item)
            undo()
            if subject in self._troubled:
                entry, begin_s = self._troubled.pop(subject)
                self.troubles.append((entry, begin_s, time.monotonic()))

    def end_all(self):
        """Count what has not ended as trouble until now."""
        now = time.monotonic()
        self.troubles += [(entry, begin_s, now) for entry, begin_s in self._troubled.values()]

    def _subject(self, kind):
        tree, faulty = self._tree, self._faulty
        entries = [name for name in tree.entries if name not in faulty]
        if kind.startswith("replica"):
            return None if faulty & set(REPLICAS) else self._rng.choice(REPLICAS)
        if kind == "links-full":
            return self._rng.choice(entries) if entries else None
        if kind.startswith("entry"):
            is_full = len(faulty & set(tree.entries)) >= MAX_FAULTY_ENTRIES
            parents = [name for name in map(tree.parent_of, tree.entries) if name in entries]
            return None if is_full else self._rng.choice(parents or entries)
        # A link of an instance that is faulty already would be released with it.
        pairs = [
            (start, end)
            for start in entries
            for end in tree.order[start]
            if end not in faulty and (start, end) not in faulty
        ]
        return self._rng.choice(pairs)

    def _replica_cut(self, name):
        replica = self._tree.replicas[name]
        replica.is_cut = True

        def undo():
            replica.is_cut = False

        return undo

    def _hold(self, links):
        for link in links:
            link.hold()
        return lambda: [link.release() for link in links]

    def _slow(self, links, min_s=0.3, max_s=3.0):
        delay_s = self._rng.uniform(min_s, max_s)
        for link in links:
            link.delay_s = delay_s

        def undo():
            for link in links:
                link.delay_s = 0.0

        return undo

    def _replica_silent(self, name):
        return self._hold(list(self._tree.links_of(name)))

    def _replica_slow(self, name):
        return self._slow(list(self._tree.links_of(name)))

    def _entry_cut(self, name):
        return self._hold([self._tree.link(name, replica) for replica in REPLICAS])

    def _replica_killed(self, name):
        replica = self._tree.replicas[name]
        replica.close()
        behind_s = self._rng.uniform(0.2, 1.0)

        def follow():
            replica.is_cut = False

        def undo():
            replica.start_again()
            self._faulty.add(name)
            self._ends.append((time.monotonic() + behind_s, name, follow))

        return undo

    def _entry_killed(self, name):
        entry = self._tree.entries[name]
        for link in self._tree.links_of(name):
            link.reset()
        entry.close()
        return entry.start_again

    _entry_silent = _replica_silent
    _entry_slow = _replica_slow

    def _link_reset(self, pair):
        self._tree.link(*pair).reset()
        return lambda: None

    def _link_one_way(self, pair):
        link = self._tree.link(*pair)
        link.hold([self._rng.choice(held_link.BOTH)])
        return link.release

    def _link_silent(self, pair):
        return self._hold([self._tree.link(*pair)])

    def _link_slow(self, pair):
        return self._slow([self._tree.link(*pair)])

    def _links_full(self, name):
        return self._slow(list(self._tree.links_of(name)), 0.05, MAX_FULL_S)

    def _link_dead(self, pair):
        self._tree.link(*pair).hold_open_connections()
        return lambda: None


def run(seed, seconds):
    """Play one seed for ``seconds`` and return what came late at entries in touch."""
    rng = random.Random(seed)
    tree = tree_rig.Tree(REPLICAS, make_order(), seed)
    try:
        # The time of the start counts as trouble of all.
        faults, changes = Faults(tree, rng), []
        started_s = time.monotonic()
        fault_s, change_s = started_s + 1.0, started_s + CONTACT_S
        while (now := time.monotonic()) < started_s + seconds:
            faults.end(now)
            if now >= fault_s:
                faults.begin(now)
                fault_s = now + rng.expovariate(1.5)
                # Right after a fault, nobody has noticed it.
                change_s = min(change_s, now + rng.uniform(0.05, 0.5))
            if now >= max(change_s, started_s + CONTACT_S):
                changes.append(tree.commit())
                change_s = now + rng.uniform(0.1, 0.8)
            time.sleep(0.01)
        while time.monotonic() < changes[-1][1] + IN_USE_S:
            faults.end(time.monotonic())
            time.sleep(0.01)
        faults.end_all()
        return _judge(tree, faults, changes)
    finally:
        tree.close()


def _judge(tree, faults, changes):
    late, checked, slowest_s = [], 0, 0.0
    for index, acked_s in changes:
        for name, entry in tree.entries.items():
            if any(
                trouble == name and begin_s < acked_s + IN_USE_S and end_s > acked_s - CONTACT_S
                for trouble, begin_s, end_s in faults.troubles
            ):
                continue
            checked += 1
            used_s = entry.used_after(index, acked_s)
            slowest_s = max(slowest_s, used_s or 0.0)
            if used_s is None or used_s > IN_USE_S:
                late.append((name, index, round(acked_s, 2), used_s))
    for entry in tree.entries.values():
        for order in entry.orders:
            assert order == sorted(order), "the index went back"
    return Outcome(tuple(late), checked, slowest_s, tuple(faults.log))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    broken = 0
    for seed in range(args.seed, args.seed + args.seeds):
        outcome = run(seed, args.seconds)
        broken += bool(outcome.late)
        print(
            f"seed {seed}: {outcome.checked} checked, slowest {outcome.slowest_s:.2f} s", flush=True
        )
        for item in outcome.late:
            print("  late:", *item, flush=True)
        if outcome.late:
            for fault in outcome.faults:
                print("  ", *fault, flush=True)
    print(f"{broken} of {args.seeds} seeds broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
