"""Guards against a control replica that starts with settings that can't work."""

import copy

import pytest

from oriolelock.settings import control, errors, node

VALID = {
    "name": "c1",
    "cluster": "test",
    "region": "perth",
    "failure_domain": "p1",
    "listen": "127.0.0.1:7001",
    "link_listen": "127.0.0.1:7101",
    "data_folder": "/tmp/c1",
    "peers": [
        {
            "name": f"c{n}",
            "link_address": f"127.0.0.1:710{n}",
            "address": f"127.0.0.1:700{n}",
            "region": "perth",
        }
        for n in (1, 2, 3)
    ],
    "record_groups": 2,
    "operator_token": "operator-secret",
    "cluster_token": "cluster-secret",
}


def parse(**changed):
    data = {**copy.deepcopy(VALID), **changed}
    top = node.Node("f.yaml", "", data)
    cfg = control.parse(top)
    top.finish()
    return cfg


def test_defaults_and_groups():
    cfg = parse()
    assert cfg.groups() == ("config", "record-0", "record-1")
    assert [peer.name for peer in cfg.others()] == ["c2", "c3"]
    assert (cfg.instance_list, cfg.instance_poll_s, cfg.snapshot_every) == ("", 1.0, 2000)
    assert parse(instance_poll="250 ms").instance_poll_s == 0.25


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("name", "c9"),
        ("peers", []),
        ("peers", VALID["peers"] + VALID["peers"][:1]),
        ("peers", [{"name": "c1"}]),
        ("record_groups", -1),
        ("operator_token", "short"),
        ("instance_list", "ftp://x"),
        ("instance_poll", "10 ms"),
        ("snapshot_every", 0),
        ("log", {"level": "loud"}),
        ("statsd", "localhost:8125"),
        ("unknown", 1),
    ],
)
def test_bad_value_is_refused(key, value):
    with pytest.raises(errors.SettingsError):
        parse(**{key: value})


def test_tokens_are_not_shown():
    assert "secret" not in repr(parse())
    with pytest.raises(errors.SettingsError) as caught:
        parse(cluster_token="tiny")
    assert "tiny" not in str(caught.value)
