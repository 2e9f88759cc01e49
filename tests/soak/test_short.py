"""A short seeded run of the real programs; seeds that ever failed are added here."""

import pytest

from tests.soak import main

# 202: an entry was paused for longer than a caller waits; the check took that for a fault.
# 22: a reload reached a replica that was starting, and ended it.
SEEDS = (1, 22, 202)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.timeout(180)
def test_promises_hold(seed, tmp_path):
    assert main.play(seed, 8.0, 3, 3, 6, tmp_path) == []


# 9030: after the second of two leaders that were replaced, control stood still for good.
@pytest.mark.parametrize("seed", (9030,))
@pytest.mark.timeout(180)
def test_promises_hold_while_control_replicas_are_replaced(seed, tmp_path):
    assert main.play(seed, 12.0, 3, 3, 6, tmp_path, replacing=True) == []
