"""Tests that a replica asks for admission until it votes, and forgets replicas that are gone."""

import threading
import types

import pytest

from oriolelock.control import joiner, messages, peer_links, replica
from tests import waiting
from tests.control import cluster, test_seeds


class FakeReplica:
    """A replica that believes in ``leader``; records what is sent and which links are dropped."""

    incarnation = "i"

    def __init__(self, leader, voter):
        self._status = types.SimpleNamespace(
            leader=leader, voter=voter, is_leader=False, is_caught_up=False
        )
        self.sent = []
        self.dropped = 0

    def status(self):
        return self._status

    def member_names(self):
        return ("127.0.0.1:7005",)

    def send(self, name, msg):
        self.sent.append((name, msg))

    def drop_unused_links(self, now):
        self.dropped += 1


def run_rounds(folder, rep, count):
    cfg = test_seeds.make_settings(folder, 7001, 7002, (7001, 7003))
    item = joiner.Joiner(cfg, rep)
    for number in range(1, count + 1):
        item._run_round(number)
    return item


@pytest.mark.parametrize(
    ("leader", "voter", "asks"),
    [("", True, True), ("", False, True), ("127.0.0.1:7003", True, False)]
    # A learner that was removed while it was frozen believes in its leader for ever.
    + [("127.0.0.1:7003", False, True)],
)
def test_replica_asks_for_admission_until_it_votes_under_a_leader(tmp_path, leader, voter, asks):
    rep = FakeReplica(leader, voter)
    run_rounds(tmp_path, rep, 1)
    asked = {name for name, msg in rep.sent if isinstance(msg, messages.Join)}
    assert asked == ({"127.0.0.1:7003", "127.0.0.1:7005"} if asks else set())


@pytest.mark.parametrize("leader", ["", "127.0.0.1:7003"])
def test_links_are_cleaned_up_with_and_without_a_leader(tmp_path, leader):
    rep = FakeReplica(leader, True)
    run_rounds(tmp_path, rep, 20)
    assert rep.dropped >= 2


def test_hundreds_of_replaced_peers_leave_no_links_or_threads(tmp_path):
    cfg = test_seeds.make_settings(tmp_path, 7001, 7002, (7001,))
    links = peer_links.PeerLinks(cfg, lambda: None)
    links.start()
    before = threading.active_count()
    # Nothing listens there.
    port = cluster.free_ports(1)[0]
    now = peer_links.clock.monotonic_s()
    for number in range(300):
        name = f"127.0.{number}.1:{port}"
        links.send(name, None)
        assert name in links.all()
        links.drop_unused((), now)
        assert name in links.all(), "a link in use was dropped"
        links.drop_unused((), now + 2 * peer_links.UNUSED_LIMIT_S)
        assert name not in links.all()
    waiting.until(lambda: threading.active_count() <= before, 10, "the end of the threads")
    assert not links._used_s
    links.stop()


def test_links_to_members_of_any_group_are_kept():
    """A record group may have members that left ``config``, of which a new leader must judge."""
    dropped = []
    groups = {
        "config": types.SimpleNamespace(member_names=lambda: ("127.0.0.1:1",)),
        "record-0": types.SimpleNamespace(member_names=lambda: ("127.0.0.1:2",)),
    }
    links = types.SimpleNamespace(drop_unused=lambda kept, now: dropped.append(kept))
    rep = types.SimpleNamespace(_hosts=groups, _links=links)
    replica.Replica.drop_unused_links(rep, 0.0)
    assert dropped == [{"127.0.0.1:1", "127.0.0.1:2"}]
