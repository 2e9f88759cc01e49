"""Entries whose control replicas are all replaced, one after the other, under the real programs."""

import itertools
import signal
import time
import urllib.error
import urllib.request

import pytest

from oriolelock.platform import fields
from tests import waiting
from tests.soak import callers, control_group, fleet, ledger, main

SEED = 41
CONTROLS = 5
ENTRIES = 2
ROUNDS = 6
# Between a loss and the start of its successor.
GAP_S = 1.0


@pytest.fixture
def started(tmp_path):
    book = ledger.Ledger()
    net, listing = main._take_net(SEED, [])
    group = fleet.Fleet(tmp_path, net, ENTRIES, CONTROLS, f"127.{net}.4.1:{main.PORT_LIST}")
    operator = callers.Operator(group.control_hosts, book, SEED)
    try:
        group.start_all()
        assert operator.put_next(main.START_LIMIT_S)
        group.settle()
        time.sleep(control_group.CATCH_UP_S)
        yield group, operator, control_group.ControlGroup(group, operator, book)
    finally:
        group.stop_all()
        listing.close()


def read_revision(host):
    """Return the revision that an entry uses, None if it does not tell."""
    url = f"http://{host}:{fields.METRICS_PORT}/metrics"
    try:
        with urllib.request.urlopen(url, timeout=1.0) as answer:
            text = answer.read().decode()
    except (urllib.error.URLError, TimeoutError, ConnectionError):
        return None
    lines = (line.split() for line in text.splitlines())
    return next((int(float(found[-1])) for found in lines if "routes_revision" in found[0]), None)


def replace(group, old, number):
    """Lose a replica and start its successor after a pause; returns when that started."""
    group.signal(old, number)
    time.sleep(GAP_S)
    group.add_control(old, [host for host in group.control_hosts if host != old][:3])
    group.retire(old)
    return time.monotonic()


@pytest.mark.timeout(110)
def test_changes_reach_entries_while_leaders_are_replaced_in_series(started):
    """Entries knew only the three replicas in their settings, all of which are gone at the end.

    Both entries are heads of their failure domains, which subscribe to replicas only.
    """
    group, operator, control = started
    numbers = itertools.cycle((signal.SIGKILL, signal.SIGSTOP))
    first = tuple(group.control_hosts[: fleet.SEEDS])
    while group.control_hosts and (left := [h for h in first if h in group.control_hosts]):
        leader = control.await_leader()
        started_s = replace(group, leader if leader in first else left[0], next(numbers))
        check_entries(group, operator)
        time.sleep(max(0.0, started_s + control_group.CATCH_UP_S - time.monotonic()))
    for _ in range(ROUNDS - fleet.SEEDS):
        started_s = replace(group, control.await_leader(), next(numbers))
        check_entries(group, operator)
        time.sleep(max(0.0, started_s + control_group.CATCH_UP_S - time.monotonic()))


def check_entries(group, operator):
    """A change is acknowledged in time, and both entries use it in time."""
    assert operator.put_next(control_group.ACK_S), "no change was acknowledged"
    acked_s = time.monotonic()
    for host in group.entry_hosts:
        left_s = max(0.0, acked_s + control_group.CONFIG_APPLY_S - time.monotonic())
        waiting.until(
            lambda host=host: read_revision(host) == operator._revision, left_s, f"{host} in time"
        )
