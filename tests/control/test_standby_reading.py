"""Endpoints that leave get no requests in time, whoever leads and whoever reads the list."""

import concurrent.futures
import itertools
import threading
import time
import types

import pytest

from oriolelock.control import instance_list, instance_poller, list_news, reading_turn
from oriolelock.dispatch import endpoint_view
from oriolelock.distribution import reports
from oriolelock.gateway import signing
from oriolelock.model import changes
from oriolelock.platform import instances
from tests import waiting
from tests.dispatch import builders
from tests.gateway import conftest
from tests.platform import listing

# From the listing to the last request.
DRAIN_S = 3.0
MEMBERS = ("c1", "c2", "c3")

make_fleet = conftest.make_fleet


class Replica:
    """A follower, or a leader whose proposals get no results."""

    def __init__(self, cfg, is_leader=False):
        self._cfg = cfg
        self.is_leader = is_leader
        self.proposed = []

    def status(self):
        return types.SimpleNamespace(
            is_leader=self.is_leader, term=3, is_caught_up=True, leader="c9"
        )

    def configuration(self):
        return self._cfg

    def member_names(self):
        return MEMBERS

    def propose(self, group, change):
        assert self.is_leader
        self.proposed.append(change)
        return concurrent.futures.Future()

    def call(self, group, change, timeout_s):
        assert not self.is_leader
        self.proposed.append(change)
        return concurrent.futures.Future()


@pytest.fixture
def make_poller():
    """Return a function that starts the polling of one replica of ``MEMBERS``."""
    started = []

    def make(name, replica, listed):
        cfg = types.SimpleNamespace(instance_list="", instance_poll_s=0.5, name=name, peers=())
        stopping = threading.Event()
        reader = instances.make_reader(listed.address, listed.regions)
        poller = instance_poller.InstancePoller(cfg, replica, reports.Reports(), stopping, reader)
        news = list_news.ListNews(("127.0.0.1", 0), "token", poller.record_heard)
        news.start()
        poller.use_news(news)
        threading.Thread(target=poller.run, daemon=True).start()
        started.append((stopping, news))
        return poller

    yield make
    for stopping, news in started:
        stopping.set()
        news.stop()


@pytest.fixture
def fleet(make_fleet):
    def respond(conn, head, body):
        conn.sendall(conftest.make_response(head))

    return make_fleet(respond, entries=4, cut_off=0, endpoints=2, regions="aabc")


@pytest.fixture
def listed(fleet):
    """The list of the fleet's endpoints, x0 and x1."""
    opened = listing.Listing(0, domains=1)
    opened.regions = {"a1": "a"}
    opened.domain = lambda name: "a1"
    opened.rows = {
        name: {"service": "s", "address": fleet[0].core.chooser.views[name].endpoint.address}
        for name in ("x0", "x1")
    }
    opened.states = dict.fromkeys(opened.rows, "ready")
    yield opened
    opened.close()


@pytest.mark.parametrize("is_leader", [False, True])
def test_entries_are_told_of_leaving_endpoints_without_agreement(
    make_poller, fleet, listed, is_leader
):
    """Guards against the seconds of an election, or of a disk, in which nobody learns of them."""
    make_poller("c2", Replica(fleet[0].core.cfg_in_force, is_leader), listed)
    time.sleep(0.3)
    listed.states["x0"] = "draining"
    left_s = time.monotonic()

    def is_out(entry):
        return not entry.core.chooser.views["x0"].is_usable(time.monotonic())

    waiting.until(lambda: all(map(is_out, fleet)), DRAIN_S, "all entries know")
    assert time.monotonic() - left_s < DRAIN_S
    before = len(fleet[0].endpoints["x0"].requests)
    assert [entry.send(b"/safe/1")[0] for entry in fleet] == [200] * 4
    assert len(fleet[0].endpoints["x0"].requests) == before


def test_follower_does_not_read_while_the_leader_does(make_poller, fleet, listed):
    poller = make_poller("c2", Replica(fleet[0].core.cfg_in_force), listed)
    for _ in range(20):
        poller.record_heard()
        time.sleep(0.1)
    assert listed.calls == 0


@pytest.mark.parametrize("lag_s", [0.0, 6.0])
def test_readings_told_while_this_replica_was_frozen_are_not_new(lag_s):
    """They waited in its socket; the leader that told them may be gone since."""
    cfg = types.SimpleNamespace(instance_list="", instance_poll_s=0.5, name="c2", peers=())
    poller = instance_poller.InstancePoller(
        cfg, Replica(None), reports.Reports(), threading.Event(), list
    )
    now = time.monotonic()
    poller._turn = reading_turn.ReadingTurn(0.5, now - 10.0)
    poller.lag_s = lambda: lag_s
    poller.record_heard()
    assert poller._turn.is_due(False, 0, now + reading_turn.SILENCE_S / 2) == bool(lag_s)


def test_follower_proposes_to_the_leader_only_what_leaves(make_poller, fleet, listed):
    replica = Replica(fleet[0].core.cfg_in_force)
    make_poller("c2", replica, listed)
    listed.states["x0"] = "draining"
    listed.states["new"], listed.rows["new"] = "draining", {}
    waiting.until(lambda: replica.proposed, 5.0)
    assert {change.endpoint.name for change in replica.proposed} == {"x0"}


def test_new_leader_counts_what_was_missing_when_it_read_for_the_last(make_poller, fleet, listed):
    """Guards against endpoints that stay listed while each leader leads for a few readings only."""
    replica = Replica(fleet[0].core.cfg_in_force)
    del listed.states["x0"]
    make_poller("c2", replica, listed)
    waiting.until(lambda: listed.calls >= 2, 5.0)
    # The second reading may not have been counted by then.
    calls = listed.calls
    replica.is_leader = True
    waiting.until(lambda: replica.proposed, 5.0)
    assert replica.proposed == [changes.RemoveEndpoint("x0")]
    assert listed.calls - calls <= instance_list.READINGS_UNTIL_REMOVED - 1


def test_what_was_missing_long_ago_does_not_count():
    """The instance may have been listed since, which another replica has read."""
    diff, cfg = instance_list.InstanceDiff(False), builders.configure([builders.make_endpoint("x")])
    listed = {"y": builders.make_endpoint("y")}
    for at_s in (0.0, 0.5, 0.5 + instance_list.MAX_GAP_S + 0.1, 4.5):
        assert diff.find_removals(cfg, listed, frozenset(), at_s) == []
    assert diff.find_removals(cfg, listed, frozenset(), 5.0) == [changes.RemoveEndpoint("x")]


def test_replicas_read_one_after_another_while_nothing_is_heard():
    ranks = {name: reading_turn.rank(name, "c1", MEMBERS) for name in MEMBERS}
    assert sorted(rank for rank in ranks.values() if rank is not None) == [0, 1]
    assert ranks["c1"] is None
    assert reading_turn.rank("c9", "c1", MEMBERS) is None
    turns = [reading_turn.ReadingTurn(0.5, 0.0) for _ in range(3)]
    first_s = []
    for own_rank, turn in enumerate(turns):
        times = [n / 10 for n in range(40) if turn.is_due(False, own_rank, n / 10)]
        first_s.append(times[0])
        assert all(
            b - a >= reading_turn.STANDBY_INTERVAL_S - 1e-9 for a, b in itertools.pairwise(times)
        )
    assert first_s == sorted(set(first_s))
    # All of them have read before the bound is over.
    assert first_s[-1] <= DRAIN_S / 2 + 2 * reading_turn.RANK_STEP_S


def test_readings_that_fail_are_repeated_less_and_less_often():
    """Replicas that hear nothing of each other must not use up the rate of the list."""
    turn = reading_turn.ReadingTurn(0.5, 0.0)
    times = []
    for n in range(400):
        if turn.is_due(False, 0, n / 10):
            times.append(n / 10)
            turn.record_end(is_complete=False)
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert gaps == sorted(gaps)
    assert gaps[-1] == pytest.approx(reading_turn.MAX_STANDBY_INTERVAL_S)
    turn.record_heard(40.0)
    assert turn.is_due(False, 0, 48.1)
    turn.record_end(is_complete=True)
    assert turn.is_due(False, 0, 49.2)


def test_new_leader_reads_at_once():
    turn = reading_turn.ReadingTurn(0.5, 0.0)
    assert turn.is_due(False, 0, 1.2)
    assert turn.is_due(True, None, 1.3)
    assert not turn.is_due(True, None, 1.7)
    assert turn.is_due(True, None, 1.8)


@pytest.mark.parametrize(
    "data",
    [b"", b"short", signing.sign(b"\xff", "token"), signing.sign(b"\x07", "other"), b"\x07" * 99],
)
def test_only_signed_datagrams_count_as_readings(data):
    news = list_news.ListNews(("127.0.0.1", 0), "token", lambda: None)
    assert not news._is_reading(data)
    assert news._is_reading(signing.sign(b"\x07", "token"))
    news._sock.close()


def test_listed_state_is_forgotten_unless_it_is_repeated():
    """An endpoint that stays after all must not be lost for good."""
    chooser = builders.make_chooser(builders.configure([builders.make_endpoint("x")]))
    view, fact = chooser.views["x"], endpoint_view.Fact.LISTED_LEAVING
    assert view.record_fact(fact, 0.0)
    assert not view.record_fact(fact, 1.0)
    assert view.record_fact(fact, 6.0)
    assert not view.is_usable(15.0)
    assert view.is_usable(16.1)
