"""
tests.consensus.test_quorum
~~~~~~~~~~~~~~~~~~~~~~~~~~~
"""

import pytest

from oriolelock.consensus import messages, quorum


@pytest.mark.parametrize("voters, needed", [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)])
def test_majority_is_more_than_half(voters, needed):
    """Guards against two disjoint majorities in a group of even size, and learners that count."""
    replicas = [messages.Replica(f"n{at}", "x", at < voters) for at in range(voters + 2)]
    group = messages.Membership(tuple(replicas))
    for reached in range(voters + 1):
        names = {f"n{at}" for at in range(reached)} | {f"n{voters}", f"n{voters + 1}"}
        value = quorum.majority_value(group, lambda item, names=names: int(item.name in names))
        assert value == int(reached >= needed)
    assert quorum.majority_value(messages.Membership(()), lambda item: 1) < 0
