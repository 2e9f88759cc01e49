"""
tests.consensus.test_swapped_seat
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Losses while a successor takes the seat of a voter that does not reply.
"""

import pytest

from oriolelock.consensus import quorum
from tests.consensus import driver, load, simulated

SETTINGS = simulated.GroupSettings(election_min_s=1.0, election_max_s=2.0, min_voters=3)
CATCH_UP_S = 4.0
RECOVERY_S = 15.0


def voters(cluster):
    membership = cluster.replicas[cluster.leader()].node.membership
    return {replica.name for replica in quorum.voters(membership)}


@pytest.mark.parametrize("seed", range(3))
def test_one_disk_is_lost_while_a_successor_takes_the_seat_of_a_frozen_voter(seed):
    """Guards against a group of two for a moment, of which one is lost for good."""
    cluster = driver.Cluster(3, seed, SETTINGS)
    client = load.Load(cluster, 4.0)
    client.run_for(CATCH_UP_S)
    first = cluster.leader()
    frozen, other = sorted(cluster.replicas.keys() - {first})
    cluster.replicas[frozen].suspended = True
    client.run_for(0.5)
    cluster.add("successor")
    for _ in range(100):
        client.step()
        if len(voters(cluster)) != 3 or "successor" in voters(cluster):
            break
    cluster.replace(first, "another", pause_s=1.0)
    client.run_for(1.0)
    cluster.replicas[frozen].suspended = False
    client.run_for(1.0 + RECOVERY_S)
    # One disk was lost, as the group tolerates, and all else is back.
    client.assert_serving()
    assert voters(cluster) == {other, frozen, "successor", "another"}


@pytest.mark.parametrize("seed", range(3))
def test_one_disk_is_lost_after_a_region_was_out_for_long(seed):
    """Guards against a group of five that shrinks to three, and to two while it grows again."""
    cluster = driver.Cluster(5, seed, SETTINGS)
    client = load.Load(cluster, 4.0)
    client.run_for(CATCH_UP_S)
    first = cluster.leader()
    *region, frozen, _ = sorted(cluster.replicas.keys() - {first})
    for name in region:
        cluster.replicas[name].suspended = True
    client.run_for(16.0)
    cluster.replicas[frozen].suspended = True
    client.run_for(0.6)
    cluster.replicas[region[0]].suspended = False
    for _ in range(80):
        client.step()
        if len(voters(cluster)) != 3 or region[0] in voters(cluster):
            break
    cluster.replace(first, "successor", pause_s=1.0)
    client.run_for(1.0)
    for name in (region[1], frozen):
        cluster.replicas[name].suspended = False
    client.run_for(1.0 + RECOVERY_S)
    client.assert_serving()
