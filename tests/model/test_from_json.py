"""Guards against operator data that is accepted although a field is wrong or missing."""

import copy

import pytest

from oriolelock.model import changes, drain, errors, from_json, priority
from tests.control import samples


def test_preset_survives_the_way_to_json_and_back():
    item = samples.make_preset("normal")
    assert item.services[0].operations[0].priority is priority.Priority.NORMAL
    assert from_json.preset_from(from_json.to_json(item)) == item


@pytest.mark.parametrize(
    ("path", "value", "text"),
    [
        (("shift_cap",), "x", r"preset\.shift_cap: found 'x', allowed: a number"),
        (("shift_cap",), float("nan"), r"preset\.shift_cap: .* a finite number"),
        (("shift_cap",), True, r"preset\.shift_cap: found True"),
        (("extra",), 1, r"preset\.extra: found 'unknown field'"),
        (("services", 0, "queue_limit"), 1.5, r"preset\.services\[0\]\.queue_limit: found 1.5"),
        (("services", 0, "queue_limit"), 1 << 70, "below 2"),
        (("services", 0, "operations", 0, "priority"), "high", "one of urgent, normal"),
        (("services",), {}, r"preset\.services: found {}, allowed: a list"),
        (("shares", "urgent"), None, r"preset\.shares\.urgent: found None"),
    ],
)
def test_wrong_field_is_named(path, value, text):
    data = copy.deepcopy(samples.preset_json("a"))
    node = data
    for key in path[:-1]:
        node = node[key]
    node[path[-1]] = value
    with pytest.raises(errors.InvalidData, match=text):
        from_json.preset_from(data)


def test_missing_field_is_named():
    data = samples.preset_json("a")
    del data["link_share"]
    with pytest.raises(errors.InvalidData, match=r"preset\.link_share: a value is required"):
        from_json.preset_from(data)


def test_changes_of_each_kind_are_read():
    item = {"drain_id": "d", "scope": "region", "target": "perth", "start_s": 1, "deadline_s": 2}
    assert from_json.drain_from(item) == drain.Drain("d", "region", "perth", 1.0, 2.0)
    found = from_json.change_from({"kind": "add-drain", "drain": item})
    assert found == changes.AddDrain(drain.Drain("d", "region", "perth", 1.0, 2.0))
    blocks = {"kind": "put-blocks", "blocks": [["10.0.0.0/8", "s"]], "site_regions": {"s": "perth"}}
    expected = changes.PutBlocks((("10.0.0.0/8", "s"),), {"s": "perth"})
    assert from_json.change_from(blocks) == expected
    for kind in ("set-member", None, ["x"]):
        with pytest.raises(errors.InvalidData, match="kind: found"):
            from_json.change_from({"kind": kind})
