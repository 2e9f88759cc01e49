"""A cluster of three control replicas that run as processes on loopback."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import yaml

from oriolelock.wire import channel, errors, hello

__all__ = ["CLUSTER_TOKEN", "OPERATOR_TOKEN", "Cluster", "wait_for"]

OPERATOR_TOKEN = "operator-secret"
CLUSTER_TOKEN = "cluster-secret"
WAIT_S = 30.0
CHECK_S = 0.05


def wait_for(condition, description, timeout_s=WAIT_S):
    """Return the first truthy result of ``condition()``; fails after ``timeout_s``."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        result = condition()
        if result:
            return result
        time.sleep(CHECK_S)
    raise AssertionError(f"not within {timeout_s} s: {description}")


def free_ports(count):
    """Return free ports chosen by the kernel; all are bound at the same time, so they differ."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]


class Cluster:
    """Writes the settings of three replicas, runs them and calls their HTTP API."""

    def __init__(self, folder: pathlib.Path, **overrides):
        self.folder = folder
        self.names = ("c1", "c2", "c3")
        ports = free_ports(6)
        self.http = dict(zip(self.names, ports[:3], strict=True))
        self.link = dict(zip(self.names, ports[3:], strict=True))
        self.processes: dict[str, subprocess.Popen] = {}
        for name in self.names:
            self._write_settings(name, overrides)

    def _write_settings(self, name, overrides):
        peers = [
            {
                "name": peer,
                "link_address": f"127.0.0.1:{self.link[peer]}",
                "address": f"127.0.0.1:{self.http[peer]}",
                "region": f"region-{peer}",
            }
            for peer in self.names
        ]
        data = {
            "name": name,
            "cluster": "test",
            "region": f"region-{name}",
            "failure_domain": f"domain-{name}",
            "listen": f"127.0.0.1:{self.http[name]}",
            "link_listen": f"127.0.0.1:{self.link[name]}",
            "data_folder": str(self.folder / name),
            "peers": peers,
            "record_groups": 2,
            "operator_token": OPERATOR_TOKEN,
            "cluster_token": CLUSTER_TOKEN,
            **overrides,
        }
        (self.folder / f"{name}.yaml").write_text(yaml.safe_dump(data))

    def command_line(self, name, *options):
        """Return the command line of a replica."""
        settings = str(self.folder / f"{name}.yaml")
        return [sys.executable, "-m", "oriolelock.control.main", *options, settings]

    def form(self):
        """Create the data folders of all replicas."""
        for name in self.names:
            subprocess.run(self.command_line(name, "--form"), check=True)

    def start(self, name):
        """Start a replica that logs to ``<name>.log``."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(self.command_line(name), stderr=log)

    def kill(self, name):
        """Kill a replica with SIGKILL."""
        process = self.processes.pop(name)
        os.kill(process.pid, signal.SIGKILL)
        process.wait()

    def signal(self, name, signum):
        """Send a signal to a replica."""
        os.kill(self.processes[name].pid, signum)

    def terminate(self, name):
        """Stop a replica with SIGTERM and return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout=WAIT_S)

    def close(self):
        """Kill all replicas."""
        for name in list(self.processes):
            self.kill(name)

    def call(self, name, path, data=None):
        """Return the status code and JSON of a call; (0, None) if the replica does not answer."""
        body = None if data is None else json.dumps(data).encode()
        req = urllib.request.Request(
            f"http://127.0.0.1:{self.http[name]}/oriolelock/{path}",
            data=body,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        try:
            with urllib.request.urlopen(req, timeout=12) as res:
                return res.status, json.load(res)
        except urllib.error.HTTPError as exc:
            return exc.code, json.load(exc)
        except (OSError, ValueError, http.client.HTTPException):
            return 0, None

    def change(self, name, change_id, kind, expect_version=None, /, **fields):
        """Send an operator change to a replica; returns the status code and JSON."""
        data = {"change_id": change_id, "expect_version": expect_version, "kind": kind, **fields}
        return self.call(name, "changes", data)

    def group_state(self, name, group="config"):
        """Return the state of a group in a replica's state dump, or None."""
        data = self.call(name, "state")[1]
        return data["groups"][group] if data else None

    def leader(self, group="config"):
        """Return the name of the leader that all running replicas agree on, or None."""
        states = [self.group_state(name, group) for name in self.processes]
        reported = {state["leader"] if state else "" for state in states}
        leading = [state for state in states if state and state["is_leader"]]
        leader = reported.pop() if len(reported) == 1 else ""
        return leader if leader in self.processes and len(leading) == 1 else None

    def wait_for_leader(self, group="config"):
        """Wait until all running replicas agree on a leader and return its name."""
        return wait_for(lambda: self.leader(group), f"a leader of {group}")

    def confirmed_preset(self, name):
        """Return the preset in force if the replica confirms it, else None."""
        data = self.call(name, "status")[1]
        return data["in_force"] if data and data["confirmed"] else None

    def connect_link(self, name, role="entry"):
        """Return a connection to a replica's link port, after a ``Hello`` of member e1."""
        greeting = hello.Hello(hello.PROTOCOL_VERSION, "test", CLUSTER_TOKEN, "e1", role)

        def try_connect():
            try:
                return channel.connect(("127.0.0.1", self.link[name]), greeting)
            except errors.ChannelClosed:
                return None

        return wait_for(try_connect, f"a connection to {name}")
