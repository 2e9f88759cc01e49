"""
tests.consensus.test_safety
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Property tests: Raft's guarantees hold under network, process and disk faults.
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
    """Lower limits, so that short runs use snapshots, several chunks and several messages."""
    monkeypatch.setattr(snapshots, "RETAINED_ENTRIES", 3)
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 10)
    monkeypatch.setattr(replication, "MAX_MESSAGE_BYTES", 120)


def do_random_action(cluster, fault_rate, lose_disks):
    """Perform a random client request, operator command or fault."""
    rng = cluster.rng
    name = rng.choice(sorted(cluster.replicas))
    replica = cluster.replicas[name]
    for _ in range(rng.randint(0, 3)):
        for other in cluster.replicas.values():
            if not other.suspended:
                cluster.propose(other.name) if rng.random() < 0.7 else cluster.read(other.name)
    if rng.random() < 0.1 and not replica.suspended:
        cluster.snapshot(name)
    if rng.random() >= fault_rate:
        return
    action = rng.choice(
        ["crash", "suspend", "resume", "partition", "heal", "disk", "transfer", "remove"]
    )
    if action == "crash":
        cluster.crash(name)
    elif action == "suspend":
        replica.suspended = True
    elif action == "resume":
        for other in cluster.replicas.values():
            other.suspended = False
    elif action == "partition":
        cluster.partitioned.add(name)
    elif action == "heal":
        cluster.partitioned.clear()
    elif action == "disk" and lose_disks:
        cluster.lose_disk(name)
    elif not replica.suspended and node.is_leader(replica.node):
        other = rng.choice(sorted(cluster.replicas))
        cluster.step(name, events.Transfer(other) if action == "transfer" else events.Remove(other))


def run_with_faults(size, seed, steps, fault_rate, lose_disks):
    cluster = driver.Cluster(size, seed)
    rates = {key: cluster.rng.choice([0.0, 0.1, 0.3]) for key in ("loss", "duplication", "delay")}
    for _ in range(steps):
        cluster.run(sync=cluster.rng.choice([0.2, 0.8]), **rates)
        cluster.admit()
        do_random_action(cluster, fault_rate, lose_disks)
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
def test_recovers_without_data_loss(size, seed, steps, fault_rate):
    """Guards against lost or changed commits, two leaders, stale reads and lost availability."""
    cluster = run_with_faults(size, seed, steps, fault_rate, lose_disks=False)
    cluster.partitioned.clear()
    for replica in cluster.replicas.values():
        replica.suspended = False
    last_index = max(cluster.committed, default=0)

    def commits():
        if cluster.leader():
            cluster.propose(cluster.leader())
        return cluster.leader() and cluster.replicas[cluster.leader()].applied > last_index

    cluster.run_until(commits)


@SETTINGS
@hypothesis.given(**CASES)
def test_lost_disks_do_not_violate_safety(size, seed, steps, fault_rate):
    """Guards against elections and commits with empty replicas; availability is not required."""
    run_with_faults(size, seed, steps, fault_rate, lose_disks=True)
