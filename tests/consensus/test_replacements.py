"""
tests.consensus.test_replacements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Replicas that are replaced for good, one after another.
"""

import pytest

from oriolelock.consensus import quorum
from tests.consensus import driver, load, simulated

# The limits of a small site, where one replica may be lost at a time.
SETTINGS = simulated.GroupSettings(election_min_s=1.0, election_max_s=2.0, min_voters=3)
CATCH_UP_S = 4.0
COMMIT_S = 4.0
CALM_S = 30.0


def committed_voters(cluster):
    """Return names and incarnations of the voters that the leader has committed."""
    members = quorum.voters(cluster.replicas[cluster.leader()].node.membership)
    return sorted((replica.name, replica.incarnation) for replica in members)


def living(cluster):
    return sorted((replica.name, replica.incarnation) for replica in cluster.replicas.values())


@pytest.mark.parametrize("seed", range(3))
def test_leaders_replaced_one_after_the_other(seed):
    """Guards against voters that are gone and pile up until no majority is left."""
    cluster = driver.Cluster(5, seed, SETTINGS)
    client = load.Load(cluster, COMMIT_S)
    client.run_for(CATCH_UP_S)
    for number in range(12):
        client.assert_serving()
        cluster.replace(cluster.leader(), f"successor-{number}", pause_s=1.0)
        client.run_for(1.0 + CATCH_UP_S)
    client.run_for(CALM_S)
    client.assert_serving()
    assert committed_voters(cluster) == living(cluster)
