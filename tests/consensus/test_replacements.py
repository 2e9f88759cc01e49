"""
tests.consensus.test_replacements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Replicas that are lost and replaced, one after another, inside what the group tolerates.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from oriolelock.consensus import replication, snapshots
from tests.consensus import driver, load, series, simulated

# The limits of a small site, where one replica may be lost at a time.
SETTINGS = simulated.GroupSettings(election_min_s=1.0, election_max_s=2.0, min_voters=3)
CATCH_UP_S = 4.0
COMMIT_S = 4.0
CALM_S = 30.0

RANDOM = hypothesis.settings(simulated.RANDOM, max_examples=20)
SEEDS = st.integers(0, 2**32)


@pytest.fixture
def small_limits(monkeypatch):
    """Lower limits, so that successors need snapshots of several chunks."""
    monkeypatch.setattr(snapshots, "RETAINED_ENTRIES", 3)
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 10)
    monkeypatch.setattr(replication, "MAX_MESSAGE_BYTES", 200)


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
    assert series.voters(cluster) == series.living(cluster)


@RANDOM
@hypothesis.given(size=st.sampled_from([3, 5]), seed=SEEDS)
def test_small_groups_outlive_any_series_of_losses(size, seed):
    """Guards against states that no later event heals, with one replica lost at a time."""
    series.Series(series.case_of(size, seed)).run()


@hypothesis.settings(RANDOM, max_examples=6)
@hypothesis.given(size=st.sampled_from([11, 15]), seed=SEEDS)
def test_large_groups_outlive_any_series_of_losses(size, seed):
    """Guards against states that no later event heals, with two replicas lost at a time."""
    series.Series(series.case_of(size, seed, rounds=6)).run()


@hypothesis.settings(RANDOM, max_examples=7)
@hypothesis.given(size=st.sampled_from([3, 5, 11]), seed=SEEDS)
def test_successors_that_need_a_snapshot(small_limits, size, seed):
    """Guards against a successor that is promoted, or forgotten, while it receives a snapshot."""
    rates = (("sync", 0.3),)
    series.Series(series.Case(size, seed, rounds=6, rates=rates, snapshot_every=10)).run()


def test_nothing_accumulates_in_a_long_series(small_limits):
    """Guards against members that are left behind, one for each of many replacements."""
    kinds = ("replace", "planned", "disk")
    case = series.Case(5, seed=1, rounds=100, snapshot_every=50, kinds=kinds)
    long = series.Series(case)
    long.run()
    # A successor that is lost before it votes, and the one after it.
    assert long.most_members <= 5 + 2
