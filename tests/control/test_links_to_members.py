"""Replicas that were added after the start are connected to like the first ones."""

import pytest

from tests.control import cluster, test_seeds


@pytest.fixture
def group(tmp_path):
    made = test_seeds.Replicas(tmp_path, 5)
    yield made
    made.stop_all()


def test_every_replica_hears_every_other_member(group):
    """A replica that becomes leader would not know since when another one has been silent."""
    for number in range(3):
        group.start(number, True)
    group.wait_for_voters(3)
    for number in (3, 4):
        group.start(number, False)
    group.wait_for_voters(5)
    names = {item.replica.cfg.name for item in group.running.values()}

    def hear_all():
        return all(
            set(item.replica.last_heard()) == names - {item.replica.cfg.name}
            for item in group.running.values()
        )

    cluster.wait_for(hear_all, "links to all members", 5.0)
