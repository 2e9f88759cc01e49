"""A planned stop asks for another leader until there is one."""

import types

import pytest

from oriolelock.control import hand_over


class Group:
    """Leads until the ``needed``-th request to hand over."""

    def __init__(self, needed, leads=True):
        self.needed, self.leads, self.asked = needed, leads, 0

    def status(self):
        return types.SimpleNamespace(is_leader=self.leads)

    def transfer(self):
        self.asked += 1
        self.leads = self.leads and self.asked < self.needed


@pytest.mark.parametrize("needed", [1, 2, 15])
def test_a_group_is_asked_again_when_nobody_took_over_at_first(needed):
    groups = [Group(needed), Group(1, leads=False)]
    assert hand_over.hand_over(groups, lambda seconds: None)
    assert groups[0].asked == needed
    assert groups[1].asked == 0


def test_a_stop_does_not_wait_for_ever():
    waited = []
    assert not hand_over.hand_over([Group(10_000)], waited.append)
    assert sum(waited) == pytest.approx(2.0)
