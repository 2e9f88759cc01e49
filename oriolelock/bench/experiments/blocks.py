"""
oriolelock.bench.experiments.blocks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Size and speed of the table of client blocks at several sizes, with fits to the target.
"""

import random
import statistics

from oriolelock import clock
from oriolelock.bench import fit
from oriolelock.lookup import blocks, packing

__all__ = ["add_arguments", "run"]

SITES = 3600
REGIONS = 28
TARGET_BLOCKS = 700_000
LOOKUPS = 100_000
UPDATES = 7


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument(
        "--sizes", type=int, nargs="+", default=[100_000, 300_000, 500_000, 700_000]
    )


def _make(count):
    regions = {f"site-{n}": f"region-{n % REGIONS}" for n in range(SITES)}
    assigned = [
        (f"{n >> 16}.{(n >> 8) & 255}.{n & 255}.0/24", f"site-{n % SITES}") for n in range(count)
    ]
    return packing.update(b"", assigned, regions)


def _lookup_ns(table, count, rng):
    addresses = [rng.randrange(count << 8) for _ in range(LOOKUPS)]
    began_s = clock.monotonic_s()
    for address in addresses:
        table.find(address)
    return (clock.monotonic_s() - began_s) / LOOKUPS * 1e9


def _measure(count, rng):
    data = _make(count)
    table = blocks.BlockTable(data)
    update_ms = []
    for _ in range(UPDATES):
        began_s = clock.monotonic_s()
        changed = packing.update(data, [("0.0.5.0/24", f"site-{rng.randrange(SITES)}")], {})
        blocks.BlockTable(changed)
        update_ms.append((clock.monotonic_s() - began_s) * 1000)
    return {
        "blocks": count,
        "wire_bytes": len(data),
        "memory_bytes": table.size_bytes,
        "lookup_ns": _lookup_ns(table, count, rng),
        "update_ms": statistics.median(update_ms),
    }


def run(args) -> dict:
    """Measure at ``args.sizes`` and print a table and the fits."""
    rng = random.Random(1)
    rows = [_measure(count, rng) for count in args.sizes]
    print(f"{'blocks':>8} {'wire B':>10} {'memory B':>10} {'lookup ns':>10} {'update ms':>10}")
    for row in rows:
        print(
            f"{row['blocks']:>8} {row['wire_bytes']:>10} {row['memory_bytes']:>10} "
            f"{row['lookup_ns']:>10.0f} {row['update_ms']:>10.2f}"
        )
    fits = {}
    for name in ("wire_bytes", "memory_bytes", "lookup_ns", "update_ms"):
        line = fit.fit_line([r["blocks"] for r in rows], [r[name] for r in rows])
        fits[name] = line.at(TARGET_BLOCKS)
        print(f"{name}: {line}, at {TARGET_BLOCKS}: {line.at(TARGET_BLOCKS):.4g}")
    return {"rows": rows, "at_target": fits}
