"""Tests that entries and replicas reach control after the addresses they know are gone."""

import threading
import time
import types

import pytest

from oriolelock.gateway import daemon
from oriolelock.model import results
from oriolelock.settings import gateway as settings
from tests import waiting
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

    def start(control, name="e1"):
        port = cluster.free_ports(1)[0]
        loopback = ("127.0.0.1", 0)
        cfg = settings.GatewaySettings(
            name=name,
            cluster="c",
            region="a",
            failure_domain="a1",
            listen=loopback,
            ready_listen=loopback,
            lookup_listen=None,
            link_listen=("127.0.0.1", port),
            peer_listen=loopback,
            metrics_listen=None,
            control=control,
            cluster_token="token-for-tests",
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
