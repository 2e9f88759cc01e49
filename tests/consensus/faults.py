"""
tests.consensus.faults
~~~~~~~~~~~~~~~~~~~~~~

    Losses of replicas in a series: generators that yield how long they wait, in seconds.

    Each one ends when its replicas no longer count as lost.
"""

import collections.abc
import dataclasses

from oriolelock.consensus import events, node

HAND_OVER_S = 2.0
# Successors that have started this long ago are learners or no members yet, in most cases.
MOSTLY_LEARNER_S = 0.8
# An election of a known candidate, between replicas that live.
HANDED_OVER_S = 1.0
REUSE_AFTER_S = 2.0
MAX_PAUSE_S = 2.0
OUTAGE_S = (2.0, 8.0)
# Long enough to be removed without a successor.
LONG_OUTAGE_S = (12.0, 30.0)
RECOVERY_S = 15.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """A kind of fault; one that is ``alone`` loses several replicas at once."""

    run: collections.abc.Callable
    alone: bool = False


def pick(series):
    """Return a replica that is not lost: the leader in half of the cases."""
    sound = [name for name in series.cluster.replicas if name not in series.lost]
    leader = series.cluster.leader()
    if leader in sound and series.rng.random() < 0.5:
        return leader
    return series.rng.choice(sound)


def hand_over(series, name):
    """Transfer leadership before a planned stop, as ``oriolelock.control.hand_over`` does."""
    for _ in range(round(HAND_OVER_S / 0.1)):
        if not node.is_leader(series.cluster.replicas[name].node):
            return
        series.cluster.step(name, events.Transfer())
        yield 0.1


def transfer(series):
    """Let the leader hand over, whatever change is in progress."""
    leader = series.cluster.leader()
    if leader:
        series.cluster.step(leader, events.Transfer())
        series.handed_over_s = series.cluster.now + HANDED_OVER_S
        series.note(f"{leader} hands over")


def remove(series, name):
    series.cluster.remove(name)
    series.gone[name] = series.cluster.now
    series.lost.discard(name)
    series.note(f"{name} is gone")


def add(series, name):
    series.cluster.add(name)
    series.lost.add(name)
    series.note(f"{name} started")


def replace(series):
    """Lose a replica for good; its successor, which may be lost too, starts after a pause."""
    series.check_serving()
    name = pick(series)
    series.lost.add(name)
    if series.rng.random() < 0.3:
        yield from hand_over(series, name)
    while True:
        remove(series, name)
        # A seat that is empty still counts as a lost one.
        seat = f"seat of {name}"
        series.lost.add(seat)
        yield series.rng.uniform(0.0, MAX_PAUSE_S)
        series.lost.discard(seat)
        name = series.new_name(REUSE_AFTER_S)
        add(series, name)
        chance = series.rng.random()
        if chance < 0.75:
            break
        yield series.rng.uniform(0.0, series.rng.choice([MOSTLY_LEARNER_S, series.case.catch_up_s]))
        if chance < 0.85:
            yield from outage(series, [name])
            break
    yield from catch_up(series, [name], transfer_chance=0.3)


def catch_up(series, names, transfer_chance=0.0):
    """Wait until replicas no longer count as lost."""
    wait_s = series.case.catch_up_s
    if series.rng.random() < transfer_chance:
        first_s = series.rng.uniform(0.0, wait_s)
        yield first_s
        transfer(series)
        wait_s -= first_s
    yield wait_s
    series.lost.difference_update(names)


def replace_several(series):
    """Lose as many replicas at once as may be; each successor starts after its own pause."""
    series.check_serving()
    names = []
    for _ in range(series.case.tolerance):
        names.append(pick(series))
        series.lost.add(names[-1])
    for name in names:
        remove(series, name)
    series.lost.add("seats")
    pauses_s = sorted(series.rng.uniform(0.0, MAX_PAUSE_S) for _ in names)
    successors = []
    waited_s = 0.0
    for pause_s in pauses_s:
        yield pause_s - waited_s
        waited_s = pause_s
        successors.append(series.new_name(REUSE_AFTER_S))
        add(series, successors[-1])
    yield from catch_up(series, ["seats", *successors], transfer_chance=0.3)


def replace_planned(series):
    """Start a successor first; the old replica goes once the successor had time to catch up.

    From then on it does not count as lost, although it is still a voter. Meanwhile another one
    may be out for some seconds, so that the successor takes its seat.
    """
    series.check_serving()
    name = series.new_name(REUSE_AFTER_S)
    series.cluster.add(name)
    series.note(f"{name} started before one goes")
    series.lost.add(name)
    if series.rng.random() < 0.3:
        yield from _lose_for_a_while(series, [pick(series)])
    else:
        yield series.case.catch_up_s
    series.lost.discard(name)
    old = pick(series)
    if series.rng.random() < 0.5:
        series.lost.add(old)
        yield from hand_over(series, old)
    remove(series, old)
    series.settled_s = series.cluster.now + series.case.catch_up_s


def lose_disk(series):
    """Restart a replica with an empty disk under its old name."""
    series.check_serving()
    name = pick(series)
    series.lost.add(name)
    series.cluster.replicas[name].down = True
    yield series.rng.uniform(0.0, MAX_PAUSE_S)
    series.cluster.lose_disk(name)
    series.note(f"{name} lost its disk")
    yield from catch_up(series, [name], transfer_chance=0.3)


def restart(series):
    """Kill a process, which comes back with its disk."""
    series.check_serving()
    name = pick(series)
    series.lost.add(name)
    series.cluster.replicas[name].down = True
    yield series.rng.uniform(0.0, 1.0)
    series.cluster.crash(name)
    series.note(f"{name} restarted")
    yield from catch_up(series, [name])
    series.check_voter(name)


def freeze(series):
    """Freeze, put to sleep, cut off or power off a replica for some seconds."""
    series.check_serving()
    yield from _lose_for_a_while(series, [pick(series)])


def freeze_region(series):
    """Lose a region at once; its replicas come back with their disks."""
    series.check_serving()
    count = {3: 1, 5: 2, 11: 3, 15: 5}[series.case.size]
    yield from _lose_for_a_while(series, _sample(series, count))


def _sample(series, count):
    return series.rng.sample(sorted(series.cluster.replicas), count)


def _lose_for_a_while(series, names):
    series.lost.update(names)
    yield from outage(series, names)
    yield from catch_up(series, names)
    for name in names:
        series.check_voter(name)


def outage(series, names):
    """Let replicas do nothing, or reach nobody, for some seconds."""
    kind = series.rng.choice(["frozen", "asleep", "cut", "off"])
    cluster, began_s = series.cluster, series.cluster.now
    for name in names:
        replica = cluster.replicas[name]
        if kind == "cut":
            cluster.partitioned.add(name)
        elif kind == "off":
            replica.down = True
        else:
            replica.suspended = True
    series.note(f"{kind}: {' '.join(names)}")
    yield series.rng.uniform(*(LONG_OUTAGE_S if series.rng.random() < 0.15 else OUTAGE_S))
    for name in names:
        replica = cluster.replicas[name]
        if kind == "cut":
            cluster.partitioned.discard(name)
        elif kind == "off":
            cluster.crash(name)
        else:
            replica.suspended = False
            replica.slept_s += cluster.now - began_s if kind == "asleep" else 0.0
    series.note(f"back: {' '.join(names)}")


def lose_more(series):
    """Lose any number of replicas at once, but no more disks than the group tolerates.

    Nothing is committed meanwhile; afterwards the group has ``RECOVERY_S``.
    """
    series.check_serving()
    series.is_excused = True
    names = _sample(series, series.rng.randint(2, len(series.cluster.replicas)))
    gone, others = names[: series.case.tolerance], names[series.case.tolerance :]
    for name in gone:
        remove(series, name)
    for some in series.rng.choice([[others], [others[0::2], others[1::2]]]):
        yield from outage(series, some)
    for _ in gone:
        yield series.rng.uniform(0.0, MAX_PAUSE_S)
        add(series, series.new_name(REUSE_AFTER_S))
    yield RECOVERY_S
    series.lost.clear()
    series.is_excused = False
    series.check_serving()


def split(series):
    """Split the group into two halves for some seconds."""
    series.check_serving()
    names = sorted(series.cluster.replicas)
    one_side = series.rng.sample(names, len(names) // 2)
    series.cluster.sides = dict.fromkeys(one_side, 1)
    series.is_excused = True
    series.note(f"split off: {' '.join(one_side)}")
    yield series.rng.uniform(*OUTAGE_S)
    series.cluster.sides = {}
    series.note("healed")
    yield series.case.catch_up_s
    series.is_excused = False
    for name in names:
        series.check_voter(name)


def kill_all(series):
    """Kill all processes, which come back within a second with their disks."""
    series.check_serving()
    series.is_excused = True
    names = sorted(series.cluster.replicas)
    for name in names:
        series.cluster.replicas[name].down = True
    series.note("all killed")
    for name in names:
        yield series.rng.uniform(0.0, 1.0 / len(names))
        series.cluster.crash(name)
    yield series.case.catch_up_s
    series.is_excused = False


KINDS = {
    "replace": Fault(replace),
    "replace-several": Fault(replace_several, alone=True),
    "planned": Fault(replace_planned),
    "disk": Fault(lose_disk),
    "restart": Fault(restart),
    "freeze": Fault(freeze),
    "region": Fault(freeze_region, alone=True),
    "lose-more": Fault(lose_more, alone=True),
    "split": Fault(split, alone=True),
    "kill-all": Fault(kill_all, alone=True),
}
