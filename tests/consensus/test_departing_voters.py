"""
tests.consensus.test_departing_voters
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Voters that stop as planned and ask the leader to go without them.
"""

from oriolelock.consensus import events, membership, messages
from oriolelock.control import departure
from tests.consensus import driver, load, simulated

SETTINGS = simulated.GroupSettings(election_min_s=1.0, election_max_s=2.0, min_voters=3)
CATCH_UP_S = 4.0
RECOVERY_S = 15.0


def test_one_disk_is_lost_after_two_planned_stops_at_the_same_time():
    """Guards against replicas that both give up their votes, as each sees a group of even size."""
    cluster = driver.Cluster(4, 1, SETTINGS)
    client = load.Load(cluster, 4.0)
    client.run_for(CATCH_UP_S)
    first = cluster.leader()
    stopping = sorted(cluster.replicas.keys() - {first})[:2]
    for name in stopping:
        cluster.replicas[name].down = True
    for _ in range(departure.ATTEMPTS):
        for name in stopping:
            request = messages.Replica(name, membership.DEPARTED, False)
            cluster.step(first, events.AddLearner(request))
        client.run_for(departure.ATTEMPT_INTERVAL_S)
    cluster.replace(first, "successor", pause_s=1.0)
    client.run_for(1.0)
    for name in stopping:
        cluster.crash(name)
    client.run_for(RECOVERY_S)
    client.assert_serving()
