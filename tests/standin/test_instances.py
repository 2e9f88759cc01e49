"""Guards against an instance list that shows changes too early, or loses instances."""

import pytest

from oriolelock.settings import errors, standin_instances
from oriolelock.standin import instance_list, instances_host
from tests.standin import hosting

NEW = {"role": "entry", "address": "127.0.0.1:1", "region": "r", "failure_domain": "f"}


def test_instances_are_added_changed_and_removed():
    with hosting.hosted(
        instances_host.InstancesHost, role="instances", listen="127.0.0.1:0"
    ) as bound:
        address = bound["instances"]
        assert hosting.call(address, "POST", "/instances/a", NEW)[0] == 200
        hosting.call(address, "POST", "/instances/a", {"state": "leaving"})
        shown = hosting.get_json(address, "/instances")
        assert [(i["id"], i["state"], i["address"]) for i in shown] == [
            ("a", "leaving", "127.0.0.1:1")
        ]
        hosting.call(address, "POST", "/instances/a", {"remove": True})
        assert hosting.get_json(address, "/instances") == []
        hosting.call(address, "POST", "/faults", {"kind": "stopped", "count": 1})
        assert hosting.call(address, "GET", "/instances")[0] == 503


def test_change_is_hidden_until_the_lag_has_passed():
    old = standin_instances.Instance("a", "entry", "127.0.0.1:1", "r", "f")
    items = instance_list.InstanceList((old,), lag_ms=3_600_000)
    items.change("a", {"state": "leaving"})
    assert items.shown()[0]["state"] == "live"
    items.lag_ms = 0
    assert items.shown()[0]["state"] == "leaving"


def test_unknown_state_is_refused():
    with pytest.raises(errors.SettingsError):
        instance_list.InstanceList((), 0).change("a", {**NEW, "state": "dead"})
