"""Guards the bound of a change at entries in touch, whatever happens to their parents."""

import pytest

from tests.distribution import random_faults

MIN_CHECKED = 30


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", [1, 2])
def test_changes_are_used_in_time_beside_random_faults(seed):
    outcome = random_faults.run(seed, 20.0)
    assert outcome.checked >= MIN_CHECKED
    assert outcome.late == (), outcome.faults
