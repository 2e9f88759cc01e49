"""Deployments with seeds: forming one group, admission, route changes and evacuations."""

import contextlib
import dataclasses
import random
import time

import pytest

from oriolelock.consensus import events, messages, replacement, state
from oriolelock.control import hosted
from oriolelock.http1 import messages as http
from oriolelock.model import changes, results, route_table
from oriolelock.settings import control as settings
from tests.control import cluster
from tests.dispatch import builders


def make_settings(folder, port, http_port, seeds, min_voters=3):
    return settings.ControlSettings(
        name=f"127.0.0.1:{port}",
        cluster="c",
        region="a",
        failure_domain="a1",
        listen=("127.0.0.1", http_port),
        link_listen=("127.0.0.1", port),
        data_folder=str(folder),
        peers=(),
        record_groups=0,
        operator_token="",
        cluster_token="token-for-tests",
        instance_list="",
        instance_poll_s=60.0,
        snapshot_every=50,
        log_level="INFO",
        log_json=False,
        statsd=None,
        seeds=tuple(("127.0.0.1", seed) for seed in seeds),
        min_voters=min_voters,
        election_s=(0.5, 1.0),
    )


class Replicas:
    """Control replicas in this process, by number."""

    def __init__(self, folder, count):
        self._folder = folder
        ports = cluster.free_ports(2 * count)
        self._ports, self._http = ports[:count], ports[count:]
        self.running = {}

    def start(self, number, is_first, folder=""):
        cfg = make_settings(
            self._folder / f"{number}{folder}",
            self._ports[number],
            self._http[number],
            self._ports[:3],
        )
        hosted.form_if_first(cfg, is_first)
        started = hosted.Hosted(
            cfg,
            [cfg.listen],
            lambda text: None,
            dict,
            lambda replica: lambda exchange: exchange.reply(http.Response(404)),
        )
        started.start()
        self.running[number] = started
        return started

    def stop(self, number):
        self.running.pop(number).stop()

    def wait_for_voters(self, count):
        def has_voters():
            statuses = [running.replica.status() for running in self.running.values()]
            return any(s.is_leader for s in statuses) and sum(s.voter for s in statuses) == count

        cluster.wait_for(has_voters, f"{count} voters")

    def stop_all(self):
        for number in list(self.running):
            with contextlib.suppress(Exception):
                self.stop(number)


@pytest.fixture
def replicas(tmp_path):
    made = []

    def make(count):
        made.append(Replicas(tmp_path, count))
        return made[0]

    yield make
    for group in made:
        group.stop_all()


def is_wanted():
    return True


def put(base, revision, **overrides):
    route = builders.make_route(**overrides)
    table = route_table.RouteTable(revision, {"r": route}, builders.configure([]).table.services)
    return changes.PutRoutes(base, table)


def test_replicas_form_one_group_from_seeds_and_agree_on_routes(replicas):
    """Replicas start in any order with empty folders; those that aren't seeds become voters too."""
    group = replicas(5)
    for number in (4, 2, 0, 3, 1):
        group.start(number, True)
    group.wait_for_voters(5)
    first = put(0, 3)
    assert isinstance(group.running[4].operations.change(first).result(5), results.Applied)
    # As if the answer had been lost: the same change is resent to another replica.
    assert isinstance(group.running[0].operations.change(first).result(5), results.Applied)
    # One of two concurrent changes of the same revision wins.
    concurrent = [
        group.running[n].operations.change(put(3, 5, timeout_ms=100.0 + n)) for n in (1, 2)
    ]
    result_types = sorted(type(race.result(5)).__name__ for race in concurrent)
    assert result_types == ["Applied", "Conflict"]
    # A late duplicate of the first change is acknowledged and changes nothing.
    assert isinstance(group.running[3].operations.change(first).result(5), results.Applied)
    assert group.running[3].operations.read().result(5).revision == 5
    refused = group.running[0].operations.change(put(5, 5)).result(5)
    assert isinstance(refused, results.Refused)


def test_replica_with_an_empty_folder_never_forms_a_second_group(replicas):
    group = replicas(3)
    for number in range(3):
        group.start(number, True)
    group.wait_for_voters(3)
    applied = group.running[0].operations.change(put(0, 1)).result(5)
    assert isinstance(applied, results.Applied)
    group.stop(1)
    group.start(1, False, "-new")
    group.wait_for_voters(3)
    assert group.running[1].operations.read().result(5).revision == 1


def test_without_a_majority_no_change_or_read_succeeds(replicas):
    group = replicas(3)
    group.start(0, True)
    time.sleep(0.5)
    assert not isinstance(group.running[0].operations.change(put(0, 1)).result(5), results.Applied)
    assert group.running[0].operations.read().result(5) is None


def test_evacuation_is_started_and_ended(replicas):
    group = replicas(3)
    for number in range(3):
        group.start(number, True)
    group.wait_for_voters(3)
    for _ in range(2):
        for _ in range(2):
            evacuated = group.running[0].operations.evacuate("a1", is_wanted).result(5)
            assert isinstance(evacuated, results.Applied)
        cluster.wait_for(
            lambda: group.running[1].replica.configuration().drains, "the drain on another replica"
        )
        assert isinstance(
            group.running[2].operations.restore("a1", is_wanted).result(5), results.Applied
        )
        cluster.wait_for(
            lambda: not group.running[2].replica.configuration().drains, "the end of the drain"
        )
    assert isinstance(
        group.running[1].operations.restore("a1", is_wanted).result(5), results.Refused
    )


def make_leader(voters, silent, learners=()):
    """Return a leading node that last heard from the peers in ``silent`` 20 s ago."""
    from oriolelock.consensus import log, node_settings

    members = [messages.Replica(n, "i", True) for n in ("own", *voters)]
    members += [messages.Replica(n, "i", False) for n in learners]
    node = state.Node(
        cfg=node_settings.NodeSettings("own", "i"),
        rng=random.Random(1),
        term=1,
        voted_for="",
        log=log.Log(0, 0, ()),
        snapshot=state.Snapshot(0, 0, messages.Membership(()), b""),
        memberships=[(0, messages.Membership(tuple(members)))],
        commit_index=0,
        durable_index=0,
        durable_term=1,
        role=state.Role.LEADER,
    )
    for name in (*voters, *learners):
        node.progress[name] = state.Progress("i", 1, 80.0 if name in silent else 99.9)
    return node


def removals(node, min_voters, now):
    """Return the names of the replicas that the leader would remove."""
    plan = replacement.make_plan(node, min_voters, now, {}, {})
    return [change.name for change in plan.changes if isinstance(change.event, events.Remove)]


@pytest.mark.parametrize(
    ("voters", "silent", "expected"),
    [
        ("abcd", "", []),
        ("abcd", "a", ["a"]),
        ("abcd", "ab", ["a"]),
        # Three of five are silent: the others are no majority after one removal.
        ("abcd", "abc", []),
        # Fewer than three would remain.
        ("ab", "a", []),
    ],
)
def test_silent_voter_is_removed_while_enough_voters_remain(voters, silent, expected):
    assert removals(make_leader(voters, silent), 3, 100.0) == expected


def test_silent_learner_is_removed():
    assert removals(make_leader("ab", "x", "xy"), 3, 100.0) == ["x"]


def test_seed_forms_its_data_folder_once(tmp_path):
    cfg = make_settings(tmp_path, 7001, 7002, (7001, 7003, 7005))
    hosted.form_if_first(cfg, False)
    assert not (tmp_path / "config").exists()
    hosted.form_if_first(cfg, True)
    hosted.form_if_first(cfg, True)
    assert (tmp_path / "config").exists()
    other = dataclasses.replace(cfg, name="127.0.0.1:7009", data_folder=str(tmp_path / "o"))
    hosted.form_if_first(other, True)
    assert not (tmp_path / "o").exists()
