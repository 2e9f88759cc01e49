"""
oriolelock.bench.experiments.tree
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The relay tree of one failure domain by its entries: depth, children, and who moves where
    when a head is lost. Counts only; nothing is started.
"""

import collections

from oriolelock.bench import sample
from oriolelock.distribution import tree

__all__ = ["add_arguments", "count_tree", "run"]

CONTROL = ("10.250.0.1:1", "10.250.0.2:1", "10.250.0.3:1")


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--entries", type=int, nargs="+", default=[24, 48, 95])


def _parents(entries):
    return {m.link_address: tree.parent_candidates(m, entries, CONTROL)[0] for m in entries}


def _hops(address, parents):
    hops = 1
    while (address := parents[address]) not in CONTROL:
        hops += 1
    return hops


def count_tree(count: int) -> dict[str, int]:
    """Return counts of the tree of a failure domain with ``count`` entries.

    ``hops``: connections from control to the farthest entry. ``moved``: entries that have
    another parent once the head with most entries below it is known to be down.
    """
    entries = [sample.make_member(n * sample.FAILURE_DOMAINS) for n in range(count)]
    parents = _parents(entries)
    heads = [address for address, parent in parents.items() if parent in CONTROL]

    def is_below(address, head):
        while address not in CONTROL:
            if address == head:
                return True
            address = parents[address]
        return False

    below = {head: sum(is_below(a, head) for a in parents) - 1 for head in heads}
    lost = max(below, key=below.get)
    after = _parents([m for m in entries if m.link_address != lost])
    children = collections.Counter(p for p in parents.values() if p not in CONTROL)
    later = collections.Counter(p for p in after.values() if p not in CONTROL)
    return {
        "hops": max(_hops(address, parents) for address in parents),
        "heads": len(heads),
        "most_children": max(children.values()),
        "most_below": max(below.values()),
        "moved": sum(after[address] != parents[address] for address in after),
        "most_children_after": max(later.values()),
    }


def run(args) -> dict:
    """Print the counts by size."""
    rows = [count_tree(count) for count in args.entries]
    for count, row in zip(args.entries, rows, strict=True):
        print(f"{count:>3} entries: " + ", ".join(f"{k} {v}" for k, v in row.items()))
    return {"rows": rows}
