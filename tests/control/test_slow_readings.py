"""Readings of the instance list that begin seconds apart, as the settings allow."""

import types

import pytest

from oriolelock.control import instance_list, instance_monitor, instance_poller
from oriolelock.distribution import reports
from oriolelock.model import changes
from tests.control import test_list_readings
from tests.dispatch import builders


@pytest.mark.parametrize("interval_s", [1.0, 5.0, 60.0])
def test_what_is_gone_from_a_list_that_is_seldom_read_is_removed(monkeypatch, interval_s):
    """Guards against readings that are never consecutive, as ``instance_poll`` is long."""
    replica, clock_s = test_list_readings.FakeReplica(), [100.0]
    replica.configuration = lambda: builders.configure([builders.make_endpoint("gone")])
    monkeypatch.setattr(instance_poller.clock, "monotonic_s", lambda: clock_s[0])
    cfg = types.SimpleNamespace(instance_list="", instance_poll_s=interval_s, name="c1")

    def read():
        return [instance_list.Page({"y": builders.make_endpoint("y")}, clock_s[0])]

    monitor = instance_monitor.InstanceMonitor(cfg, replica, reports.Reports(), lambda: None, read)
    for _ in range(2 * instance_list.READINGS_UNTIL_REMOVED):
        monitor.poller._poll(replica.status(), True, clock_s[0])
        clock_s[0] += interval_s
    assert changes.RemoveEndpoint("gone") in replica.proposed
