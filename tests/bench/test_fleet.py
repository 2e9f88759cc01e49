"""Guards against a launcher that loses processes, or that does not do what was asked.

One fleet serves all tests of the module; each test leaves it running.
"""

import json
import time

import pytest

from oriolelock import cmdline
from oriolelock.bench import caller, errors, http, run_check, waiting
from oriolelock.standin import answers
from tests.bench import small


@pytest.fixture(scope="module")
def item(tmp_path_factory):
    found = small.make(tmp_path_factory.mktemp("fleet") / "f", links=True, stored_copies=True)
    with found:
        yield found


def operate(item, *argv):
    return cmdline.main([*item.control_arguments(), "--timeout", "15s", *argv])


def use_preset(item, tmp_path, name):
    path = tmp_path / "p.yaml"
    path.write_text(small.PRESET.format(name=name))
    assert operate(item, "preset", "put", str(path)) == 0
    version = waiting.until(item.status)["version"]
    assert operate(item, "preset", "use", name, "--expect-version", str(version)) == 0
    item.wait_version(version + 1)


def seeds(item):
    return [process.address for process in item.entries.values()]


def send(item, body, operation="read", key=None, skip=0):
    who = caller.Caller(seeds(item)[skip:] + seeds(item)[:skip])
    result = who.send("s", operation, body, 3000, key)
    return run_check.Sent("s", operation, answers.digest_of(body), key, result)


def test_requests_reach_endpoints_and_a_key_runs_once_over_all_entries(item, tmp_path):
    use_preset(item, tmp_path, "first")
    waiting.until(lambda: send(item, b"warm").result.outcome == "complete")
    key = caller.new_key()
    done = [send(item, b"pay", "pay", key)]
    assert done[0].result.outcome == "complete"

    def repeat():
        done.append(send(item, b"pay", "pay", key, skip=1))
        return done[-1].result.outcome == "complete"

    waiting.until(repeat, what="the recorded answer")
    assert done[-1].result.run_by == done[0].result.run_by
    assert run_check.find_faults(done, item.runs()) == []


def test_processes_file_names_every_process(item):
    rows = json.loads((item.folder / "processes.json").read_text())
    roles = sorted(row["role"] for row in rows)
    assert roles == ["control"] * 3 + ["endpoint"] * 2 + ["entry"] * 2 + ["instances"]
    assert all(set(row) == {"role", "name", "address", "pid", "settings"} for row in rows)


def test_killed_process_comes_back_at_its_address(item):
    process = item.endpoints["s"]
    process.kill()
    assert not process.is_running() and process.exit_code() == -9
    with pytest.raises(errors.CallFailed):
        process.is_ready()
    process.restart()
    assert process.is_ready()


def test_frozen_process_does_not_answer_until_it_is_resumed(item):
    process = item.entries["entry-0"]
    process.freeze()
    with pytest.raises(errors.CallFailed):
        process.is_ready()
    process.resume()
    process.wait_ready()


def test_links_delay_and_silence_the_control_traffic(item, tmp_path):
    names = set(http.get_json(item.links.address, "/links"))
    assert {"control-0>control-1", "entry-0>control-2"} <= names
    cut = "control-2"
    item.set_links(lambda name: cut in name, silence="all")

    def is_unseen():
        rows = {row["name"]: row["seen"] for row in item.status()["instances"]}
        return rows[cut] is False

    waiting.until(is_unseen, what="the replica behind silent links unseen")
    item.set_links(lambda name: cut in name, silence="none")
    waiting.until(lambda: not is_unseen(), what="the replica seen again")


def test_deleted_data_folder_is_gone_until_the_restart(item):
    process = item.control["control-1"]
    assert process.stop() == 0
    process.delete_data()
    assert not process.data_folder.exists()
    process.restart()
    assert process.data_folder.exists()


def test_stop_is_graceful_for_every_process(tmp_path):
    found = small.make(tmp_path / "f")
    found.start()
    start_s = time.monotonic()
    codes = found.stop()
    assert set(codes.values()) == {0} and len(codes) == 7
    assert time.monotonic() - start_s < 30


def test_process_that_ends_at_once_is_reported_at_once(tmp_path):
    found = small.make(tmp_path / "f")
    process = found.entries["entry-0"]
    process.settings.write_text("name: x\n")
    process.start()
    with pytest.raises(errors.NotReady, match="ended with 2"):
        process.wait_ready()
    found.stop()
