"""Replicas that start from seeds: one group, new members, route changes, evacuations."""

import contextlib
import dataclasses
import random
import time

import pytest

from oriolelock.consensus import membership, messages, state
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
    """Replicas in this process, by number."""

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
        item = hosted.Hosted(
            cfg,
            [cfg.listen],
            lambda text: None,
            dict,
            lambda replica: lambda exchange: exchange.reply(http.Response(404)),
        )
        item.start()
        self.running[number] = item
        return item

    def stop(self, number):
        self.running.pop(number).stop()

    def wait_for_voters(self, count):
        def has_voters():
            found = [item.replica.status() for item in self.running.values()]
            return any(s.is_leader for s in found) and sum(s.voter for s in found) == count

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
    for item in made:
        item.stop_all()


def put(base, revision, **more):
    item = builders.make_route(**more)
    table = route_table.RouteTable(revision, {"r": item}, builders.configure([]).table.services)
    return changes.PutRoutes(base, table)


def test_replicas_form_one_group_from_seeds_and_agree_on_routes(replicas):
    """In any order, with empty folders; those that are no seeds are admitted and get a vote."""
    found = replicas(5)
    for number in (4, 2, 0, 3, 1):
        found.start(number, True)
    found.wait_for_voters(5)
    first = put(0, 3)
    assert isinstance(found.running[4].operations.change(first).result(5), results.Applied)
    # The answer was lost: the same change again, at another replica.
    assert isinstance(found.running[0].operations.change(first).result(5), results.Applied)
    # Of two changes on the same revision one wins.
    races = [found.running[n].operations.change(put(3, 5, timeout_ms=100.0 + n)) for n in (1, 2)]
    kinds = sorted(type(race.result(5)).__name__ for race in races)
    assert kinds == ["Applied", "Conflict"]
    # A late copy of the first is still acknowledged, and changes nothing.
    assert isinstance(found.running[3].operations.change(first).result(5), results.Applied)
    assert found.running[3].operations.read().result(5).revision == 5
    refused = found.running[0].operations.change(put(5, 5)).result(5)
    assert isinstance(refused, results.Refused)


def test_a_replica_with_an_empty_folder_never_forms_a_second_group(replicas):
    found = replicas(3)
    for number in range(3):
        found.start(number, True)
    found.wait_for_voters(3)
    applied = found.running[0].operations.change(put(0, 1)).result(5)
    assert isinstance(applied, results.Applied)
    found.stop(1)
    found.start(1, False, "-new")
    found.wait_for_voters(3)
    assert found.running[1].operations.read().result(5).revision == 1


def test_without_a_majority_nothing_is_acknowledged_or_read(replicas):
    found = replicas(3)
    found.start(0, True)
    time.sleep(0.5)
    assert not isinstance(found.running[0].operations.change(put(0, 1)).result(5), results.Applied)
    assert found.running[0].operations.read().result(5) is None


def test_evacuation_is_put_in_force_and_withdrawn_again(replicas):
    found = replicas(3)
    for number in range(3):
        found.start(number, True)
    found.wait_for_voters(3)
    for _ in range(2):
        for _ in range(2):
            evacuated = found.running[0].operations.evacuate("a1").result(5)
            assert isinstance(evacuated, results.Applied)
        cluster.wait_for(
            lambda: found.running[1].replica.configuration().drains, "the drain everywhere"
        )
        assert isinstance(found.running[2].operations.restore("a1").result(5), results.Applied)
        cluster.wait_for(
            lambda: not found.running[2].replica.configuration().drains, "no drain any more"
        )
    assert isinstance(found.running[1].operations.restore("a1").result(5), results.Refused)


def make_leader(voters, silent, learners=()):
    """Return a leading node whose named peers were last heard 20 s ago."""
    from oriolelock.consensus import log, node_settings

    replicas_of = [messages.Replica(n, "i", True) for n in ("own", *voters)]
    replicas_of += [messages.Replica(n, "i", False) for n in learners]
    node = state.Node(
        cfg=node_settings.NodeSettings("own", "i"),
        rng=random.Random(1),
        term=1,
        voted_for="",
        log=log.Log(0, 0, ()),
        snapshot=state.Snapshot(0, 0, messages.Membership(()), b""),
        memberships=[(0, messages.Membership(tuple(replicas_of)))],
        commit_index=0,
        durable_index=0,
        durable_term=1,
        role=state.Role.LEADER,
    )
    for name in (*voters, *learners):
        node.progress[name] = state.Progress("i", 1, 80.0 if name in silent else 99.9)
    return node


@pytest.mark.parametrize(
    ("voters", "silent", "expected"),
    [
        ("abcd", "", []),
        ("abcd", "a", ["a"]),
        ("abcd", "ab", ["a"]),
        # Three of five are silent: the rest is no majority of what would remain.
        ("abcd", "abc", []),
        # Fewer than three would remain.
        ("ab", "a", []),
    ],
)
def test_a_silent_voter_is_removed_while_enough_are_left(voters, silent, expected):
    assert membership.removable(make_leader(voters, silent), 3, 100.0) == expected


def test_a_silent_learner_is_removed():
    assert membership.removable(make_leader("ab", "x", "xy"), 3, 100.0) == ["x"]


def test_a_seed_is_formed_once(tmp_path):
    cfg = make_settings(tmp_path, 7001, 7002, (7001, 7003, 7005))
    hosted.form_if_first(cfg, False)
    assert not (tmp_path / "config").exists()
    hosted.form_if_first(cfg, True)
    hosted.form_if_first(cfg, True)
    assert (tmp_path / "config").exists()
    other = dataclasses.replace(cfg, name="127.0.0.1:7009", data_folder=str(tmp_path / "o"))
    hosted.form_if_first(other, True)
    assert not (tmp_path / "o").exists()
