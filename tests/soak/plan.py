"""Which faults come when: the same seed gives the same plan."""

import dataclasses
import random

__all__ = ["CONTROL_KINDS", "KINDS", "Fault", "Loss", "make", "make_replacing"]

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
# How a control replica is lost where replicas are replaced: weight, shortest and longest duration.
# In the last four an empty one at a new address takes its place.
CONTROL_KINDS = {
    "kill": (1.0, 0.2, 1.5),
    "pause": (1.0, 0.3, 4.0),
    "stop": (0.5, 0.2, 1.0),
    "wipe": (0.5, 0.3, 1.0),
    "replace": (3.0, 0.2, 2.0),
    "replace-silent": (2.0, 0.2, 2.0),
    "replace-stopped": (1.0, 0.2, 2.0),
    "replace-planned": (2.0, 0.2, 2.0),
}
OF_ALL_CONTROL = ("wipe", "kill-control", "kill-everything")
LEADER_PART = 0.6


@dataclasses.dataclass(frozen=True)
class Fault:
    """``at_s`` after the start of traffic; ``target`` picks among what the kind hits."""

    at_s: float
    kind: str
    target: int
    for_s: float


@dataclasses.dataclass(frozen=True)
class Loss(Fault):
    """A control replica is lost for a time; ``of_leader``: the one that leads by then."""

    of_leader: bool


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


def make_replacing(
    seed: int, length_s: float, controls: int, catch_up_s: float, most_lost: int | None = None
) -> tuple[int, list[Fault]]:
    """Return how many control replicas are lost at once at most, and the faults of a run.

    It is a minority of ``controls``, drawn by the seed, or ``most_lost``. The losses form as many
    series; in each the next one comes when ``catch_up_s`` have passed since the last.
    """
    rng = random.Random(f"replacing {seed}")
    lost = rng.randint(1, (controls - 1) // 2) if most_lost is None else most_lost
    found = [fault for fault in make(seed, length_s) if fault.kind not in OF_ALL_CONTROL]
    kinds = list(CONTROL_KINDS)
    weights = [weight for weight, _, _ in CONTROL_KINDS.values()]
    for _ in range(lost):
        at_s = rng.uniform(1.0, 4.0)
        while at_s < length_s:
            kind = rng.choices(kinds, weights)[0]
            for_s = rng.uniform(*CONTROL_KINDS[kind][1:])
            target, of_leader = rng.randrange(1 << 16), rng.random() < LEADER_PART
            found.append(Loss(at_s, kind, target, for_s, of_leader))
            lasts_s = catch_up_s if kind == "replace-planned" else for_s + catch_up_s
            # Most losses follow at once, some after a rest.
            at_s += lasts_s + rng.choice((0.0, 0.0, rng.expovariate(0.5)))
    return lost, sorted(found, key=lambda fault: fault.at_s)
