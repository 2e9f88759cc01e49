"""Endpoints that leave are known in time, however long the list is and however far away."""

import concurrent.futures
import threading
import time
import types

import pytest

from oriolelock.control import commands, config_state, instance_monitor
from oriolelock.distribution import reports
from oriolelock.model import changes
from oriolelock.platform import instances
from tests import waiting
from tests.platform import listing

# The bound from the listing to the last request is 3 s. Half of it is left for agreement, for the
# way to the entries, and for what is being sent.
LEARN_LIMIT_S = 1.5
# How long each leader leads if the next loss comes as soon as it may, on small deployments and on
# others, where it comes two seconds later.
SHORT_LEADERSHIP_S, LONGER_LEADERSHIP_S = 2.0, 4.0
# Between distant regions.
ROUND_TRIP_S = 0.14


class Leader:
    """A replica that leads and applies each change at once, unless ``holds(change)``."""

    def __init__(self):
        self._state = config_state.ConfigState()
        self._lock = threading.Lock()
        self.proposed_s, self.removed_s = {}, {}
        self.holds = lambda change: False

    def status(self):
        return types.SimpleNamespace(is_leader=True, term=3, is_caught_up=True, leader="c1")

    def configuration(self):
        return self._state.view()

    def propose(self, group, change):
        fut = concurrent.futures.Future()
        instance = getattr(change, "endpoint", None)
        if isinstance(change, changes.RemoveEndpoint):
            self.removed_s.setdefault(change.name, time.monotonic())
        if instance is not None:
            self.proposed_s.setdefault((instance.name, instance.state), time.monotonic())
        if not self.holds(change):
            with self._lock:
                index = self._state.view().index + 1
                fut.set_result(self._state.apply(index, commands.Command(1.0, change)))
        return fut


@pytest.fixture
def read_list():
    """Start reading a list as the leader; returns the leader."""
    started = []

    def start(listed):
        leader = Leader()
        monitor = start_monitor(leader, listed)
        started.append((monitor, listed))
        leader.monitor = monitor
        waiting.until(lambda: len(leader.configuration().endpoints) == len(listed.states), 30.0)
        return leader

    yield start
    for monitor, listed in started:
        monitor.stop()
        listed.close()


def start_monitor(leader, listed):
    cfg = types.SimpleNamespace(instance_list="", instance_poll_s=0.5, name="c1")
    reader = instances.make_reader(listed.address, listed.regions)
    monitor = instance_monitor.InstanceMonitor(cfg, leader, reports.Reports(), lambda: None, reader)
    monitor._threads[-1].start()
    return monitor


def leave_after_its_page(listed, name):
    """Let an endpoint leave right after its page was read; returns a function for the time."""
    left_s = []

    def on_page(names):
        if name in names and not left_s:
            listed.states[name] = "draining"
            left_s.append(time.monotonic())

    listed.on_page = on_page
    return lambda: left_s[0]


def learning_time_s(leader, name, left_s):
    waiting.until(lambda: (name, "leaving") in leader.proposed_s, 15.0)
    return leader.proposed_s[name, "leaving"] - left_s()


@pytest.mark.parametrize("count", [250, 900, 1800])
def test_leaving_endpoint_is_known_in_time_from_a_far_list(read_list, count):
    """Guards against delays that grow with the pages of the list and the way to it."""
    listed = listing.Listing(count, round_trip_s=ROUND_TRIP_S)
    leader = read_list(listed)
    left_s = leave_after_its_page(listed, "i-0")
    assert learning_time_s(leader, "i-0", left_s) <= LEARN_LIMIT_S


def test_change_without_a_result_does_not_delay_the_next(read_list):
    """Guards against a lost proposal that holds up all that is listed after it."""
    listed = listing.Listing(20)
    leader = read_list(listed)
    leader.holds = lambda change: isinstance(change, changes.SetEndpoint) and (
        change.endpoint.name == "i-1"
    )
    listed.states["i-1"] = "draining"
    waiting.until(lambda: ("i-1", "leaving") in leader.proposed_s, 5.0)
    listed.states["i-2"] = "draining"
    changed_s = time.monotonic()
    assert learning_time_s(leader, "i-2", lambda: changed_s) <= LEARN_LIMIT_S


def test_page_that_fails_does_not_hide_the_others(read_list):
    """Guards against a reading that is discarded because one call of it was refused."""
    listed = listing.Listing(200)
    leader = read_list(listed)
    listed.fails = lambda query: query.get("pageToken") == "p-150" or query.get("zone") == "z8"
    listed.states["i-0"] = "draining"
    changed_s = time.monotonic()
    assert learning_time_s(leader, "i-0", lambda: changed_s) <= LEARN_LIMIT_S


@pytest.mark.parametrize(
    ("count", "leads_s"),
    [(50, SHORT_LEADERSHIP_S), (250, LONGER_LEADERSHIP_S), (900, LONGER_LEADERSHIP_S)],
)
def test_leader_of_seconds_removes_what_is_gone_from_the_list(read_list, count, leads_s):
    """Guards against endpoints that stay as long as no leader lives to count its readings."""
    listed = listing.Listing(count, round_trip_s=ROUND_TRIP_S)
    leader = read_list(listed)
    leader.monitor.stop()
    time.sleep(1.0)
    del listed.states["i-0"]
    elected_s = time.monotonic()
    successor = start_monitor(leader, listed)
    waiting.until(lambda: "i-0" in leader.removed_s, 15.0)
    successor.stop()
    assert leader.removed_s["i-0"] - elected_s <= leads_s
