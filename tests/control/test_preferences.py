"""Guards against all groups being led from one region."""

from oriolelock.control import preferences
from oriolelock.settings import control

ADDRESS = ("127.0.0.1", 1)


def make_peers(*regions):
    return tuple(
        control.PeerSettings(f"c{n}", ADDRESS, ADDRESS, region) for n, region in enumerate(regions)
    )


def test_leaders_are_spread_over_regions_then_replicas():
    peers = make_peers("a", "a", "b", "c", "b")
    groups = ["config", *(f"record-{n}" for n in range(5))]
    leaders = [preferences.preferred_leader(group, peers) for group in groups]
    assert leaders == ["c0", "c2", "c3", "c1", "c4", "c0"]


def test_single_replica_leads_all():
    peers = make_peers("a")
    assert preferences.preferred_leader("record-7", peers) == "c0"
