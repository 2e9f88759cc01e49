"""Guards against a stand-in process that survives its crash, or forgets what it ran."""

import pytest
import yaml

from oriolelock.bench import errors, http, ports, process, waiting
from oriolelock.standin import endpoint, main

ENDPOINT = {"name": "e", "service": "s", "slots": 1, "service_time": "1 ms"}


@pytest.fixture
def endpoint_process(tmp_path):
    reserved = ports.Ports()
    address = reserved.take()
    path = tmp_path / "e.yaml"
    data = {"role": "endpoint", "runs_file": str(tmp_path / "runs.jsonl")}
    data["endpoints"] = [{**ENDPOINT, "listen": address}]
    path.write_text(yaml.safe_dump(data))
    found = process.Process("endpoint", "e", "oriolelock.standin.main", path, address, "/load")
    yield found
    found.kill()
    reserved.close()


def test_crash_ends_the_process_and_the_run_is_known_after_the_restart(endpoint_process):
    endpoint_process.restart()
    address = endpoint_process.address
    http.post_json(address, "/faults", {"kind": "crash", "marker": "boom"})
    with pytest.raises(errors.CallFailed):
        http.request("POST", address, "/work", b"boom", {"X-Request-Id": "r"})
    waiting.until(lambda: not endpoint_process.is_running(), what="end of the process")
    assert endpoint_process.exit_code() == endpoint.CRASH_EXIT_CODE
    endpoint_process.restart()
    runs = http.get_json(address, "/runs")
    assert [(run["request_id"], run["outcome"]) for run in runs] == [("r", "crashed")]
    assert endpoint_process.stop() == 0


def test_taken_port_is_reported_and_the_process_ends(endpoint_process, tmp_path):
    endpoint_process.restart()
    path = tmp_path / "again.yaml"
    path.write_text(endpoint_process.settings.read_text())
    second = process.Process("endpoint", "f", "oriolelock.standin.main", path, "", "/load")
    second.start()
    assert second.wait(10) == main.EXIT_NOT_STARTED
    assert "can't listen" in second.log.read_text()


def test_check_refuses_an_unknown_role(tmp_path, capsys):
    path = tmp_path / "s.yaml"
    path.write_text("role: router\n")
    with pytest.raises(SystemExit) as caught:
        main.main(["--check", str(path)])
    assert caught.value.code == 2 and "endpoint, instances, link" in capsys.readouterr().err
