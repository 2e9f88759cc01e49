"""Which faults come when: the same seed gives the same plan."""

import dataclasses
import random

__all__ = ["KINDS", "Fault", "make"]

# kind -> (what it hits, shortest and longest duration in seconds)
KINDS = {
    "kill": ("process", 0.2, 1.5),
    "pause": ("process", 0.3, 4.0),
    "stop": ("entry", 0.2, 0.5),
    "reload": ("process", 0.0, 0.0),
    "wipe": ("control", 0.3, 1.0),
    "kill-control": ("all", 0.2, 0.8),
    "kill-everything": ("all", 0.2, 0.8),
    "delay": ("endpoint", 1.0, 4.0),
    "reset": ("endpoint", 0.0, 0.0),
    "silence": ("endpoint", 1.0, 4.0),
    "one-way": ("endpoint", 1.0, 4.0),
    "truncate": ("endpoint", 1.0, 3.0),
    "leave": ("endpoint", 0.0, 0.0),
    "crash": ("endpoint", 0.5, 3.0),
    "evacuate": ("all", 2.0, 4.0),
}
# Rare, since they hold up everything else for seconds.
WEIGHTS = {"kill-everything": 0.3, "kill-control": 0.5, "wipe": 0.4}
MEAN_GAP_S = 1.2


@dataclasses.dataclass(frozen=True)
class Fault:
    """``at_s`` after the start of traffic; ``target`` picks among what the kind hits."""

    at_s: float
    kind: str
    target: int
    for_s: float


def make(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run, in order; they may overlap."""
    rng = random.Random(seed)
    names = list(KINDS)
    weights = [WEIGHTS.get(name, 1.0) for name in names]
    found, at_s = [], 1.0
    while at_s < length_s:
        kind = rng.choices(names, weights)[0]
        _, least_s, most_s = KINDS[kind]
        found.append(Fault(at_s, kind, rng.randrange(1 << 16), rng.uniform(least_s, most_s)))
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return found
