"""Control replicas of a deployment with seeds are replaced at new addresses, in series."""

import pytest

from tests.soak import replacements

SEED = 39


@pytest.mark.timeout(90)
def test_control_survives_a_series_of_lost_leaders(tmp_path):
    """Guards against lost voters that pile up beside their successors until half are lost."""
    assert replacements.play(replacements.Series(), SEED, tmp_path) == []
