"""Guards against a planned stop that leaves groups without a leader, or never ends."""

import types

import pytest

from oriolelock.control import hand_over


class Group:
    """Leads until the ``needed``-th transfer request."""

    def __init__(self, needed, leads=True):
        self.needed, self.leads, self.requests = needed, leads, 0

    def status(self):
        return types.SimpleNamespace(is_leader=self.leads)

    def transfer(self):
        self.requests += 1
        self.leads = self.leads and self.requests < self.needed


@pytest.mark.parametrize("needed", [1, 2, 15])
def test_transfer_is_repeated_until_another_replica_takes_over(needed):
    groups = [Group(needed), Group(1, leads=False)]
    assert hand_over.hand_over(groups, lambda seconds: None)
    assert groups[0].requests == needed
    assert groups[1].requests == 0


def test_stop_gives_up_after_the_timeout():
    waits = []
    assert not hand_over.hand_over([Group(10_000)], waits.append)
    assert sum(waits) == pytest.approx(2.0)
