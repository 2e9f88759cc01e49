"""Which entry is asked to forward a request."""

import random

from oriolelock.dispatch import observation, peer_selection, ranking
from oriolelock.model import member


def make_member(name, domain, peer_address="127.0.0.1:1", **fields):
    return member.Member(
        name, "entry", "", "", domain[0], domain, peer_address=peer_address, **fields
    )


def make_peers(*members):
    peers = peer_selection.PeerSelection("own", "a", "a1", random.Random(1))
    peers.configure((make_member("own", "a1"), *members))
    return peers


def ask_all(peers, regions=(), now=0.0):
    """Return the names in the order in which they are asked."""
    asked = []
    while (peer := peers.select("s", regions, asked, now)) is not None:
        asked.append(peer.name)
    return asked


def test_other_failure_domains_of_the_region_come_first():
    peers = make_peers(make_member("x", "b1"), make_member("y", "a1"), make_member("z", "a2"))
    assert ask_all(peers) == ["z", "y", "x"]


def test_entries_outside_of_the_regions_of_the_request_are_not_asked():
    peers = make_peers(make_member("x", "b1"), make_member("y", "a2"), make_member("z", "c1"))
    assert ask_all(peers, ("b", "c")) in (["x", "z"], ["z", "x"])


def test_entries_that_leave_or_take_no_requests_are_not_asked():
    assert not ask_all(
        make_peers(
            make_member("x", "a2", state="leaving"),
            make_member("y", "a2", state="down"),
            make_member("z", "a2", peer_address=""),
        )
    )


def test_less_busy_of_two_entries_is_asked():
    peers = make_peers(make_member("x", "a2"), make_member("y", "a2"))
    peers.record_sent("x")
    assert peers.select("s", (), (), 0.0).name == "y"
    peers.record_end("x")
    peers.record_sent("y")
    assert peers.select("s", (), (), 0.0).name == "x"


def test_entry_without_an_endpoint_is_not_asked_for_the_same_service_for_a_while():
    peers = make_peers(make_member("x", "a2"), make_member("y", "b1"))
    peers.record_unable("x", "s", 0.0)
    assert ask_all(peers, now=peer_selection.UNABLE_HOLD_S / 2) == ["y"]
    assert peers.select("other", (), (), 0.0).name == "x"
    assert ask_all(peers, now=peer_selection.UNABLE_HOLD_S) == ["x", "y"]


def test_entry_that_reports_to_be_cut_off_is_not_asked_until_the_report_is_old():
    peers = make_peers(make_member("x", "a2"), make_member("y", "b1"))
    report = observation.CutOffReport(ranking.digest("x"))
    assert peers.apply_cut_off_report(report, 0.0) == "x"
    assert peers.apply_cut_off_report(report, 0.5) == ""
    assert peers.cut_off(1.0) == {"x"}
    assert ask_all(peers, now=1.0) == ["y"]
    late_s = 0.5 + peer_selection.CUT_OFF_HOLD_S
    assert peers.cut_off(late_s) == set()
    assert peers.apply_cut_off_report(observation.CutOffReport(1), late_s) == ""
