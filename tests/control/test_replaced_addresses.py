"""Tests that entries and replicas reach control after the addresses they know are gone."""

import dataclasses
import threading
import time
import types

import pytest

from oriolelock.distribution import tree
from oriolelock.gateway import daemon
from oriolelock.model import member, results
from oriolelock.settings import gateway as settings
from tests import fake_parent, unreachable, waiting
from tests.control import cluster, replacements, test_seeds
from tests.gateway import conftest

# The bound on a change after its acknowledgement, and on the acknowledgement.
IN_FORCE_S = 2.5
ACK_S = 4.0


@pytest.fixture
def replicas(tmp_path):
    made = []

    def make(count, capacity, **overrides):
        made.append(replacements.Replacements(tmp_path, count, capacity, **overrides))
        return made[0]

    yield make
    for group in made:
        group.close()


@pytest.fixture
def start_entry():
    started = []

    def start(control, name="e1", cluster_name="c", token="token-for-tests"):
        port = cluster.free_ports(1)[0]
        loopback = ("127.0.0.1", 0)
        cfg = settings.GatewaySettings(
            name=name,
            cluster=cluster_name,
            region="a",
            failure_domain="a1",
            listen=loopback,
            ready_listen=loopback,
            lookup_listen=None,
            link_listen=("127.0.0.1", port),
            peer_listen=loopback,
            metrics_listen=None,
            control=control,
            cluster_token=token,
            retry_ratio=0.2,
            retry_allowance=60.0,
            retry_window_s=10.0,
            shift_speed=0.04,
            grace_s=1.0,
            log_level="INFO",
        )
        entry = daemon.Gateway(cfg, conftest.DIALECT, types.SimpleNamespace())
        thread = threading.Thread(target=entry.run, daemon=True)
        thread.start()
        started.append((entry, thread))
        return entry

    yield start
    for entry, thread in started:
        entry.loop.call_soon(entry.leave)
        thread.join(5)
        entry._relay.stop()
        entry._uplink.stop()


def put(group, base, revision):
    """Put a revision in force at some replica; returns the time of its acknowledgement."""
    rep = next(iter(group.running.values()))

    def is_applied():
        result = rep.operations.change(test_seeds.put(base, revision)).result(5)
        return isinstance(result, results.Applied)

    cluster.wait_for(is_applied, f"revision {revision}")
    return time.monotonic()


def wait_for_revision(entry, revision, acknowledged_s):
    """Wait until an entry uses a revision; fails when it is late."""
    left_s = acknowledged_s + IN_FORCE_S - time.monotonic()
    waiting.until(lambda: entry.core.revision == revision, left_s, f"revision {revision}")


def test_entry_whose_seeds_were_all_replaced_receives_changes(replicas, start_entry):
    """Entries were told of three replicas only, those in their settings."""
    group = replicas(5, 8)
    group.wait_for_voters()
    entry = start_entry(tuple(group.link_address(n) for n in range(3)))
    put(group, 0, 1)
    waiting.until(lambda: entry.core.revision == 1, 10)
    for number in range(3):
        group.lose(number)
        group.add()
        group.wait_for_voters()
    wait_for_revision(entry, 2, put(group, 1, 2))


def test_each_replica_answers_soon_after_the_leader_was_lost(replicas):
    """Calls are passed on to a leader that is gone until another is elected."""
    rounds = 2
    group = replicas(5, 5 + rounds)
    group.wait_for_voters()
    put(group, 0, 1)
    for number in range(1, rounds + 1):
        group.lose(group.wait_for_leader())
        lost_s = time.monotonic()
        for rep in list(group.running.values()):
            cluster.wait_for(
                lambda rep=rep: rep.operations.read().result(5) is not None,
                "a read",
                lost_s + ACK_S - time.monotonic(),
            )
        put(group, number, number + 1)
        assert time.monotonic() - lost_s < ACK_S
        group.add()
        group.wait_for_voters()


def test_replica_keeps_links_to_members_only(replicas, gone):
    """Its seeds are gone for good, and each link to them would go on connecting."""
    group = replicas(3, 4)
    group.wait_for_voters()
    seeds = [*(port for _, port in gone[:2]), group.link_address(0)[1]]
    links = group.running[group.add(seeds)].replica._links
    group.wait_for_voters()
    members = {group.name(number) for number in range(3)}
    cluster.wait_for(lambda: set(links.all()) == members, "links to the other members only", 15)


def test_changes_reach_an_entry_whose_parent_is_lost_each_time(replicas, start_entry):
    """The change is made as soon as the parent is gone, which falls silent first."""
    rounds = 3
    group = replicas(5, 5 + rounds)
    group.wait_for_voters()
    entry = start_entry(tuple(group.link_address(n) for n in range(3)))
    wait_for_revision(entry, 1, put(group, 0, 1))
    for number in range(1, rounds + 1):
        parent = waiting.until(lambda: entry._uplink.parent)
        group.lose(next(n for n in group.running if group.link_address(n) == parent))
        wait_for_revision(entry, number + 1, put(group, number, number + 1))
        group.add()
        group.wait_for_voters()


@pytest.fixture
def gone():
    made = [unreachable.Unreachable() for _ in range(3)]
    yield tuple(item.address for item in made)
    for item in made:
        item.close()


@pytest.fixture
def parent():
    fake = fake_parent.FakeParent(fake_parent.make_config(members=()))
    yield fake
    fake.close()


@pytest.mark.parametrize("searching_s", [0.3, 2.0])
def test_changed_seeds_are_tried_at_once(start_entry, gone, parent, searching_s):
    """They waited for the end of a search among addresses that are gone."""
    entry = start_entry(gone, "e1", fake_parent.CLUSTER, fake_parent.TOKEN)
    time.sleep(searching_s)
    entry.use_control((parent.address,))
    # Less than one attempt at an address that does not answer.
    waiting.until(lambda: entry._uplink.is_ready, 0.6)


@pytest.fixture
def make_parent():
    made = []

    def make():
        made.append(fake_parent.FakeParent())
        return made[-1]

    yield make
    for fake in made:
        fake.close()


def as_member(name, role, parent):
    return member.Member(name, role, "", "{}:{}".format(*parent.address), "a", "a1")


def test_head_of_a_domain_whose_replicas_are_all_gone_learns_of_others(start_entry, make_parent):
    """It subscribes to replicas only, and knows those from before it was cut off."""
    first, successor, peer = make_parent(), make_parent(), make_parent()
    own = member.Member("e1", "entry", "", "127.0.0.1:1", "a", "a1")
    # Later than ``e1`` in the tree, so that it is no parent of it.
    other = as_member("e2", "entry", peer)
    assert peer.address not in tree.parent_candidates(own, [own, other], [])
    first.cfg = fake_parent.make_config(5, members=())
    first.cfg = dataclasses.replace(
        first.cfg, members={"e1": own, "e2": other, "c1": as_member("c1", "control", first)}
    )
    members = {"e1": own, "e2": other, "c2": as_member("c2", "control", successor)}
    peer.cfg = successor.cfg = dataclasses.replace(first.cfg, index=6, members=members)
    entry = start_entry((first.address,), "e1", fake_parent.CLUSTER, fake_parent.TOKEN)
    waiting.until(lambda: entry._uplink.is_ready)
    first.close()
    waiting.until(lambda: entry._uplink.parent == successor.address, 10)
    assert entry._uplink.configuration.index == 6
