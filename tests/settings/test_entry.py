"""Guards against an entry that starts with settings that can't be meant."""

import pytest

from oriolelock.entry import main
from oriolelock.settings import entry, errors, loader

GOOD = """
name: a
cluster: swan
region: perth
failure_domain: perth-a
listen: 127.0.0.1:8080
control: ["127.0.0.1:9001", "127.0.0.2:9001"]
cluster_token: t0ken
max_body: 64 KiB
lookup_ttl: 5 s
log: {level: INFO, json: true}
"""


def load(tmp_path, text):
    path = tmp_path / "s.yaml"
    path.write_text(text)
    return loader.load(str(path), entry.parse)


def test_good_settings(tmp_path):
    cfg = load(tmp_path, GOOD)
    assert cfg.control == (("127.0.0.1", 9001), ("127.0.0.2", 9001))
    assert (cfg.max_body, cfg.lookup_ttl_s, cfg.log_json) == (65536, 5.0, True)
    assert "t0ken" not in repr(cfg)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("control: [", "control: [7, ", "control"),
        ('control: ["127.0.0.1:9001", "127.0.0.2:9001"]', "control: []", "control"),
        ("max_body: 64 KiB", "max_headers: 10 B", "max_headers"),
        ("lookup_ttl: 5 s", "lookup_ttl: 0 s", "lookup_ttl"),
        ("json: true", "jsn: true", "log.jsn"),
        ("max_body: 64 KiB", "picker: random", "picker"),
        ("max_body", "max_boddy", "max_boddy"),
    ],
)
def test_bad_settings_name_the_key(tmp_path, old, new, key):
    with pytest.raises(errors.SettingsError) as caught:
        load(tmp_path, GOOD.replace(old, new))
    assert caught.value.key.startswith(key)


def test_check_reports_by_exit_code(tmp_path, capsys):
    path = tmp_path / "s.yaml"
    path.write_text(GOOD)
    assert main.main(["--check", str(path)]) == 0
    path.write_text(GOOD + "typo: 1\n")
    with pytest.raises(SystemExit) as caught:
        main.main(["--check", str(path)])
    assert caught.value.code == 2
    assert capsys.readouterr().err.count("\n") == 1
