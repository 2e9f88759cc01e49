"""Guards against a daemon that ends without saying why, or with a code of success."""

import socket
import subprocess

import pytest

from oriolelock.control import main
from tests.control import cluster

TIMEOUT_S = 30


@pytest.fixture
def three(tmp_path):
    return cluster.Cluster(tmp_path)


def path_of(three, name="c1"):
    return str(three.folder / f"{name}.yaml")


def test_check_accepts_valid_settings_and_creates_nothing(three, capsys):
    assert main.main(["--check", path_of(three)]) == 0
    assert "valid" in capsys.readouterr().out
    assert not (three.folder / "c1").exists()


def test_bad_settings_end_with_one_line(three, capsys):
    (three.folder / "c1.yaml").write_text("name: c1\n")
    with pytest.raises(SystemExit) as caught:
        main.main([path_of(three)])
    assert caught.value.code == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_form_happens_once(three):
    three.form()
    found = subprocess.run(three.command("c1", "--form"), capture_output=True, timeout=TIMEOUT_S)
    assert found.returncode == main.EXIT_BAD_STORAGE
    assert b"exists" in found.stderr


def test_damaged_log_is_refused_with_a_hint(three):
    three.form()
    three.start("c1")
    three.start("c2")
    three.wait_for_leader()
    three.close()
    [log] = (three.folder / "c1" / "config").glob("log-*")
    data = bytearray(log.read_bytes())
    data[len(data) // 3] ^= 0xFF
    log.write_bytes(data)
    found = subprocess.run(three.command("c1"), capture_output=True, timeout=TIMEOUT_S)
    assert found.returncode == main.EXIT_BAD_STORAGE
    assert b"rejoin" in found.stderr


def test_taken_port_is_reported(three):
    three.form()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", three.link["c1"]))
        sock.listen()
        found = subprocess.run(three.command("c1"), capture_output=True, timeout=TIMEOUT_S)
    assert found.returncode == main.EXIT_CANNOT_LISTEN
    assert b"Traceback" not in found.stderr
