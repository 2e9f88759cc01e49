"""
tests.consensus.test_quorum
~~~~~~~~~~~~~~~~~~~~~~~~~~~
"""

import pytest

from oriolelock.consensus import messages, quorum


@pytest.mark.parametrize("voters, majority", [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)])
def test_majority_is_more_than_half(voters, majority):
    """Guards against disjoint majorities in groups of even size, and against counting learners."""
    replicas = [
        messages.Replica(f"n{number}", "x", number < voters) for number in range(voters + 2)
    ]
    membership = messages.Membership(tuple(replicas))
    for reached_count in range(voters + 1):
        reached_names = {f"n{number}" for number in range(reached_count)} | {
            f"n{voters}",
            f"n{voters + 1}",
        }
        value = quorum.majority_value(
            membership,
            lambda replica, reached_names=reached_names: int(replica.name in reached_names),
        )
        assert value == int(reached_count >= majority)
    assert quorum.majority_value(messages.Membership(()), lambda replica: 1) < 0
