"""
tests.consensus.test_safety
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Property tests: the guarantees of the log hold under faults of network, process and disk.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from oriolelock.consensus import events, node, replication, snapshots
from tests.consensus import driver

SETTINGS = hypothesis.settings(
    max_examples=60,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.fixture(autouse=True)
def small_limits(monkeypatch):
    """Make snapshots, chunks and several messages per batch common in short runs."""
    monkeypatch.setattr(snapshots, "KEPT_ENTRIES", 3)
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 10)
    monkeypatch.setattr(replication, "MAX_MESSAGE_BYTES", 120)


def act(cluster, fault_rate, disks):
    """Do one thing that clients, operators or faults do."""
    rng = cluster.rng
    name = rng.choice(sorted(cluster.replicas))
    item = cluster.replicas[name]
    for _ in range(rng.randint(0, 3)):
        for other in cluster.replicas.values():
            if not other.frozen:
                cluster.propose(other.name) if rng.random() < 0.7 else cluster.read(other.name)
    if rng.random() < 0.1 and not item.frozen:
        cluster.snapshot(name)
    if rng.random() >= fault_rate:
        return
    kind = rng.choice(["crash", "freeze", "thaw", "cut", "heal", "disk", "transfer", "remove"])
    if kind == "crash":
        cluster.crash(name)
    elif kind == "freeze":
        item.frozen = True
    elif kind == "thaw":
        for other in cluster.replicas.values():
            other.frozen = False
    elif kind == "cut":
        cluster.cut.add(name)
    elif kind == "heal":
        cluster.cut.clear()
    elif kind == "disk" and disks:
        cluster.lose_disk(name)
    elif not item.frozen and node.is_leader(item.node):
        other = rng.choice(sorted(cluster.replicas))
        cluster.step(name, events.Transfer(other) if kind == "transfer" else events.Remove(other))


def disturb(size, seed, steps, fault_rate, disks):
    cluster = driver.Cluster(size, seed)
    rates = {key: cluster.rng.choice([0.0, 0.1, 0.3]) for key in ("loss", "duplication", "delay")}
    for _ in range(steps):
        cluster.run(sync=cluster.rng.choice([0.2, 0.8]), **rates)
        cluster.admit()
        act(cluster, fault_rate, disks)
        cluster.check_log_matching()
    return cluster


CASES = {
    "size": st.sampled_from([3, 5]),
    "seed": st.integers(0, 2**32),
    "steps": st.integers(50, 250),
    "fault_rate": st.sampled_from([0.05, 0.2]),
}


@SETTINGS
@hypothesis.given(**CASES)
def test_recovers_with_nothing_lost(size, seed, steps, fault_rate):
    """Guards against lost or changed commits, two leaders, stale reads and lasting standstill."""
    cluster = disturb(size, seed, steps, fault_rate, disks=False)
    cluster.cut.clear()
    for item in cluster.replicas.values():
        item.frozen = False
    known = max(cluster.committed, default=0)

    def commits():
        if cluster.leader():
            cluster.propose(cluster.leader())
        return cluster.leader() and cluster.replicas[cluster.leader()].applied > known

    cluster.run_until(commits)


@SETTINGS
@hypothesis.given(**CASES)
def test_lost_disks_break_no_promise(size, seed, steps, fault_rate):
    """Guards against empty replicas that help to elect or commit; standstill is allowed here."""
    disturb(size, seed, steps, fault_rate, disks=True)
