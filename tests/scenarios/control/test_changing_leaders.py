"""Real entries stay live, and one that is gone does not, while leaders are lost in series."""

import time

from oriolelock.bench import errors

LOSS_INTERVAL_S = 5.0
RESTART_AFTER_S = 1.0
LOSSES = 6
# The entry is killed this long before the third loss.
KILLED_BEFORE_S = 2.0
# The contact window of the smallest deployments and 3 s; it need not hold in an election.
GONE_S, ELECTION_S = 6.0, 3.0


def states(world):
    """Return the committed states of entries by a replica that runs, or nothing."""
    try:
        data = world.status() or {"instances": ()}
    except (errors.CallFailed, KeyError):
        return {}
    return {row["name"]: row["state"] for row in data["instances"] if row["role"] == "entry"}


def test_entries_while_leaders_are_lost(world):
    """Guards against living entries that are taken for dead since their replica is gone."""
    killed = sorted(world.fleet.entries)[0]
    start_s, killed_s, down_s, wrong = time.monotonic(), None, None, set()

    def watch(until_s):
        nonlocal down_s
        while time.monotonic() < until_s:
            found = states(world)
            wrong.update(n for n, state in found.items() if state == "down" and n != killed)
            if found.get(killed) == "down" and down_s is None:
                down_s = time.monotonic()
            time.sleep(0.05)

    for number in range(LOSSES):
        lost = world.leader()
        world.fleet.control[lost].kill()
        watch(time.monotonic() + RESTART_AFTER_S)
        world.forget(lost)
        world.fleet.control[lost].start()
        end_s = start_s + (number + 1) * LOSS_INTERVAL_S
        if number == 1:
            watch(end_s - KILLED_BEFORE_S)
            world.fleet.entries[killed].kill()
            killed_s = time.monotonic()
        watch(end_s)
    assert not wrong
    assert down_s is not None
    assert killed_s < down_s <= killed_s + GONE_S + ELECTION_S
