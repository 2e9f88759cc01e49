"""Guards against changes that are made twice, and exit codes that scripts can't rely on."""

import json
import pathlib

import pytest

from oriolelock import cmdline
from oriolelock.cli import verbs
from oriolelock.model import from_json
from oriolelock.settings import loader, preset
from tests.cli import replica

APPLIED = (200, {"result": "applied", "version": 8, "index": 20})
PEAK = "examples/bula/presets/peak.yaml"
CONFIGURATION = {
    "version": 7,
    "in_force": "peak",
    "presets": {},
    "drains": {},
    "members": {
        "e": {
            "name": "e",
            "role": "entry",
            "address": "127.0.0.1:1",
            "link_address": "",
            "region": "r",
            "failure_domain": "f",
            "state": "live",
        }
    },
}


@pytest.fixture(autouse=True)
def token(monkeypatch):
    monkeypatch.setenv("ORIOLELOCK_TOKEN", "secret-token")
    monkeypatch.delenv("ORIOLELOCK_CONTROL", raising=False)


def run(address, *argv):
    return cmdline.main(["--control", address, "--timeout", "5s", *argv])


def use(address, *argv):
    return run(address, "preset", "use", "peak", "--expect-version", "7", *argv)


def test_lost_answer_is_repeated_with_the_same_change_id(capsys):
    with replica.running(replica.LOST) as (first, a), replica.running(APPLIED) as (second, b):
        assert use(a, "--control", b) == 0
    ids = [body["change_id"] for _, _, body in [*first.asked, *second.asked]]
    assert len(ids) == 2 and ids[0] == ids[1]


@pytest.mark.parametrize(
    ("status", "data", "code"),
    [
        (200, {"result": "applied", "version": 8, "index": 20}, 0),
        (409, {"result": "conflict", "version": 9}, 1),
        (422, {"result": "refused", "reason": "no such preset"}, 1),
        (400, {"result": "error", "reason": "malformed"}, 2),
        (401, {"result": "error", "reason": "token"}, 2),
    ],
)
def test_exit_code_tells_the_result(status, data, code):
    with replica.running((status, data)) as (item, address):
        assert use(address, "--change-id", "c1") == code
    path, authorization, body = item.asked[0]
    assert (path, authorization) == ("/oriolelock/changes", "Bearer secret-token")
    assert body == {
        "change_id": "c1",
        "expect_version": 7,
        "kind": "use-preset",
        "name": "peak",
    }


def test_unavailable_replica_is_followed_by_the_next(capsys):
    busy = (503, {"result": "unavailable", "reason": "no leader"})
    with replica.running(busy) as (_, a), replica.running(APPLIED) as (_, b):
        assert (
            cmdline.main(
                ["--output", "json", "drain", "cancel", "d", "--control", a, "--control", b]
            )
            == 0
        )
    assert json.loads(capsys.readouterr().out)["version"] == 8


def test_change_without_an_answer_names_the_id_to_repeat_it_with(capsys):
    lost = (503, {"result": "unavailable", "reason": "no leader"})
    with replica.running(lost) as (item, address):
        args = ["preset", "use", "p", "--expect-version", "1", "--timeout", "400ms"]
        assert cmdline.main(["--control", address, *args]) == 3
    assert f"--change-id {item.asked[0][2]['change_id']}" in capsys.readouterr().err


def test_unreachable_control_exits_with_3(capsys):
    assert cmdline.main(["status", "--control", "127.0.0.1:1", "--timeout", "300ms"]) == 3
    assert "no control replica answered" in capsys.readouterr().err


def test_preset_file_arrives_as_the_preset_it_describes():
    with replica.running(APPLIED) as (item, address):
        assert run(address, "preset", "put", PEAK) == 0
    sent = item.asked[0][2]["preset"]
    assert from_json.preset_from(sent) == loader.load(PEAK, preset.parse)


def test_drain_deadline_counts_from_its_start():
    args = ["--scope", "region", "--target", "r", "--start", "2026-12-06T22:00"]
    with replica.running(APPLIED) as (item, address):
        assert run(address, "drain", "add", "d", *args, "--deadline", "+10min") == 0
    sent = item.asked[0][2]["drain"]
    assert sent["deadline_s"] - sent["start_s"] == 600
    assert from_json.drain_from(sent).start_s == 1796594400


def test_unconfirmed_answer_is_shown_with_a_warning(capsys):
    data = {"confirmed": False, "leader": "", "configuration": CONFIGURATION}
    with replica.running((200, data)) as (_, address):
        assert cmdline.main(["--control", address, "--timeout", "600ms", "members"]) == 0
    shown = capsys.readouterr()
    assert "warning" in shown.err and "127.0.0.1:1" in shown.out


def test_token_is_read_from_a_file_and_never_shown(tmp_path, capsys):
    path = tmp_path / "token"
    path.write_text("from-file\n")
    with replica.running((401, {})) as (item, address):
        assert run(address, "status", "--token-file", str(path)) == 2
    assert item.asked[0][1] == "Bearer from-file"
    assert "from-file" not in "".join(capsys.readouterr())


@pytest.mark.parametrize("verb", verbs.VERBS)
def test_help_of_every_verb_has_examples(verb, capsys):
    with pytest.raises(SystemExit) as caught:
        cmdline.main([*verb.split(), "--help"])
    assert caught.value.code == 0 and f"oriolelock {verb}" in capsys.readouterr().out


@pytest.mark.parametrize("path", sorted(pathlib.Path("examples").rglob("*.yaml")), ids=str)
def test_example_settings_are_good(path):
    assert cmdline.main(["check", str(path)]) == 0


def test_bad_file_exits_with_2_and_names_the_key(tmp_path, capsys):
    path = tmp_path / "p.yaml"
    path.write_text(pathlib.Path(PEAK).read_text().replace("timeout: 2 s", "timeout: 2"))
    assert cmdline.main(["check", str(path)]) == 2
    assert "services[0].operations[0].timeout" in capsys.readouterr().err


def test_rule_of_the_model_holds_for_preset_files(tmp_path, capsys):
    path = tmp_path / "p.yaml"
    path.write_text(pathlib.Path(PEAK).read_text().replace("shift_cap: 0.2", "shift_cap: 0"))
    assert cmdline.main(["check", str(path)]) == 2
    assert "shift_cap" in capsys.readouterr().err
