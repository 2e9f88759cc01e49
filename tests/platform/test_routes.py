"""The operator's documents, decoded and written back."""

import json

import pytest

from oriolelock.model import errors, route_table
from oriolelock.platform import routes

ROUTE = {
    "host": "h.example",
    "pathPrefix": "/a/",
    "kind": "unsafe",
    "timeout": "1.5s",
    "targetLatency": "600ms",
    "priority": 0,
    "weightedServices": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
    "maxAttempts": 2,
    "stickySessions": True,
    "allowedRegions": ["a"],
    "later": {"unknown": 1},
}
SERVICE = {
    "healthPath": "/h",
    "maxConnections": 9,
    "coldStart": "3s",
    "coldPerS": 4.2,
    "tls": False,
}
CONFIG = {
    "version": "r7",
    "routes": {"r1": ROUTE},
    "services": {"x": SERVICE, "y": SERVICE},
    "limits": {
        "maxHeaderBytes": 100,
        "maxBodyBytes": 5,
        "headerTimeout": "1s",
        "idleTimeout": "2s",
    },
}


def put(data, base="r5"):
    change = routes.put_from(base, json.dumps(data).encode())
    route_table.check(change.table, change.base)
    return change


def changed(**more):
    return {**CONFIG, "routes": {"r1": {**ROUTE, **more}}}


def test_fields_mean_what_the_product_calls_them():
    change = put(CONFIG)
    item = change.table.routes["r1"]
    assert (change.base, change.table.revision) == (5, 7)
    assert not item.idempotent
    assert (item.timeout_ms, item.objective_ms, item.priority) == (1500.0, 600.0, 0)
    assert [(part.service, part.weight) for part in item.parts] == [("x", 90.0), ("y", 10.0)]
    assert item.affinity
    assert item.regions == ("a",)
    assert change.table.services["x"].cold_rate == 4.2
    assert change.table.limits.idle_ms == 2000.0


def test_what_was_put_is_read_back_with_unknown_fields():
    assert json.loads(routes.write(put(CONFIG).table)) == CONFIG


def test_a_patch_changes_named_items_and_is_read_back_merged():
    patch = {
        "version": "r9",
        "upsert": {"routes": {"r2": {**ROUTE, "pathPrefix": "/b/"}}},
        "remove": {"routes": ["r1"]},
    }
    change = routes.patch_from("r7", json.dumps(patch).encode())
    table = route_table.patched(put(CONFIG).table, change.patch)
    data = json.loads(routes.write(table))
    assert data["version"] == "r9"
    assert list(data["routes"]) == ["r2"]
    assert data["services"] == CONFIG["services"]
    assert data["limits"] == CONFIG["limits"]


@pytest.mark.parametrize(
    "data",
    [
        changed(timeout="0ms"),
        changed(timeout="soon"),
        changed(pathPrefix="a/"),
        changed(host=""),
        changed(host=None),
        changed(weightedServices=[{"service": "x", "weight": -1}]),
        changed(weightedServices=[{"service": "x", "weight": 0}]),
        changed(weightedServices=[{"service": "gone", "weight": 1}]),
        changed(weightedServices=None, service=7),
        changed(kind=None),
        changed(maxAttempts=0),
        {**CONFIG, "version": "r5"},
        {**CONFIG, "version": 7},
        {**CONFIG, "routes": []},
        {"version": "r7"},
        {**CONFIG, "routes": {"r1": ROUTE, "r2": ROUTE}},
    ],
)
def test_invalid_documents_are_refused(data):
    with pytest.raises(errors.InvalidData):
        put(data)


@pytest.mark.parametrize("cut", [0, 1, 100, 300, -1])
def test_documents_that_are_cut_short_are_refused(cut):
    with pytest.raises(errors.InvalidData):
        routes.put_from("r0", json.dumps(CONFIG).encode()[:cut])


def test_documents_that_name_an_item_twice_are_refused():
    """Which of the two was meant can't be known."""
    whole, item = json.dumps(CONFIG).encode(), json.dumps(ROUTE).encode()
    twice = whole.replace(b'"r1": ', b'"r1": ' + item + b', "r1": ')
    with pytest.raises(errors.InvalidData):
        routes.put_from("r6", twice)
    patch = b'{"version": "r9", "upsert": {"routes": {"r1": %b, "r1": %b}}}' % (item, item)
    with pytest.raises(errors.InvalidData):
        routes.patch_from("r7", patch)
