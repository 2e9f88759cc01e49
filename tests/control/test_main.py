"""Guards against a command that fails without an error message, or with exit code 0."""

import socket
import subprocess

import pytest

from oriolelock.control import main
from tests.control import cluster

TIMEOUT_S = 30


@pytest.fixture
def replicas(tmp_path):
    return cluster.Cluster(tmp_path)


def settings_path(replicas, name="c1"):
    return str(replicas.folder / f"{name}.yaml")


def test_check_accepts_valid_settings_and_creates_nothing(replicas, capsys):
    assert main.main(["--check", settings_path(replicas)]) == 0
    assert "valid" in capsys.readouterr().out
    assert not (replicas.folder / "c1").exists()


def test_invalid_settings_are_reported_on_one_line(replicas, capsys):
    (replicas.folder / "c1.yaml").write_text("name: c1\n")
    with pytest.raises(SystemExit) as exc_info:
        main.main([settings_path(replicas)])
    assert exc_info.value.code == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_data_folder_is_formed_only_once(replicas):
    replicas.form()
    result = subprocess.run(
        replicas.command_line("c1", "--form"), capture_output=True, timeout=TIMEOUT_S
    )
    assert result.returncode == main.EXIT_BAD_STORAGE
    assert b"exists" in result.stderr


def test_damaged_log_is_refused_with_a_hint(replicas):
    replicas.form()
    replicas.start("c1")
    replicas.start("c2")
    replicas.wait_for_leader()
    replicas.close()
    [log] = (replicas.folder / "c1" / "config").glob("log-*")
    data = bytearray(log.read_bytes())
    data[len(data) // 3] ^= 0xFF
    log.write_bytes(data)
    result = subprocess.run(replicas.command_line("c1"), capture_output=True, timeout=TIMEOUT_S)
    assert result.returncode == main.EXIT_BAD_STORAGE
    assert b"rejoin" in result.stderr


def test_port_in_use_is_reported(replicas):
    replicas.form()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", replicas.link["c1"]))
        sock.listen()
        result = subprocess.run(replicas.command_line("c1"), capture_output=True, timeout=TIMEOUT_S)
    assert result.returncode == main.EXIT_CANNOT_LISTEN
    assert b"Traceback" not in result.stderr
