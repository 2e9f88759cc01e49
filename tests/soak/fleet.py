"""The real programs as processes on loopback addresses, ended by their ids only."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import threading

from oriolelock.storage import store
from oriolelock.wire import codec

__all__ = ["Fleet"]

PORT_CONTROL = 18649
PORT_FRONT = 18641
PORT_READY = 18640
PORT_LOOKUP = 18644
PORT_INNER = 17620
STOP_LIMIT_S = 10.0
SEEDS = 3
# From so many control replicas on, two may be lost at once.
GROWN_CONTROLS = 11
HOSTS_PER_BLOCK = 250
KEPT_RETIRED = 6


def _zone(host):
    return f"z{int(host.rpartition('.')[2]) % 2 + 1}"


def _control_host(net, number):
    block, last = divmod(number - 1, HOSTS_PER_BLOCK)
    return f"127.{net}.{block + 10 if block else 1}.{last + 1}"


class Fleet:
    """``entries`` and ``controls`` are counts; every process has a loopback address of its own."""

    def __init__(self, folder: pathlib.Path, net: int, entries: int, controls: int, listing: str):
        self._folder = folder
        self._listing = listing
        self._net = net
        self._last_control = controls
        self._tolerance = 1 if controls < GROWN_CONTROLS else 2
        self.control_hosts = [_control_host(net, n + 1) for n in range(controls)]
        self.entry_hosts = [f"127.{net}.2.{n + 1}" for n in range(entries)]
        self._zones = {host: _zone(host) for host in self.names()}
        self._lock = threading.Lock()
        self._processes: dict[str, subprocess.Popen] = {}
        self._retired: list[subprocess.Popen] = []
        self._is_first = True
        # By address: the folder of the sources that its process runs next; today's by default.
        self.builds: dict[str, pathlib.Path] = {}
        for host in self.names():
            self._write(host, self.control_hosts[:SEEDS])

    def names(self) -> list[str]:
        """Return the addresses of all processes."""
        return [*self.control_hosts, *self.entry_hosts]

    def _write(self, host, seeds):
        lines = [
            f"nodeName=n-{host}",
            f"ip={host}",
            f"zone={self._zones[host]}",
            "region=r1",
            "zones.z1=r1",
            "zones.z2=r1",
            f"listen.front={host}:{PORT_FRONT}",
            f"listen.ready={host}:{PORT_READY}",
            f"listen.directory={host}:{PORT_LOOKUP}",
            f"listen.control={host}:{PORT_CONTROL}",
            f"internalPortRange={PORT_INNER},{PORT_INNER + 15}",
            "seeds=" + ",".join(f"{seed}:{PORT_CONTROL}" for seed in seeds),
            f"firstStart={'true' if self._is_first else 'false'}",
            f"faultTolerance.machines={self._tolerance}",
            f"dataDir={self._folder / host}",
            f"cloud.address={self._listing}",
            "bounds=grace=6s,retryBudgetRatio=0.2,budgetWindow=10s,budgetExtraRetries=60",
        ]
        temporary = self._folder / f"{host}.new"
        temporary.write_text("\n".join(lines) + "\n", encoding="utf-8")
        os.replace(temporary, self._folder / f"{host}.conf")

    def start_all(self) -> None:
        """Start every process for the first time."""
        for host in self.names():
            self.start(host)
        self._is_first = False

    def settle(self) -> None:
        """Say in the settings that this is no first start any more."""
        for host in self.names():
            self._write(host, self.control_hosts[:SEEDS])

    def rewrite(self, host: str, seeds: list[str]) -> None:
        """Write the settings of a process again, with other seeds."""
        self._write(host, seeds)

    def add_control(self, zone_of: str, seeds: list[str]) -> str:
        """Start a control replica with an empty disk at a new address and return the address.

        It is in the failure domain of the process at ``zone_of``.
        """
        with self._lock:
            self._last_control += 1
            host = _control_host(self._net, self._last_control)
        self._zones[host] = self._zones[zone_of]
        self._write(host, seeds)
        self.control_hosts.append(host)
        self.start(host)
        return host

    def retire(self, host: str) -> None:
        """Leave out of the fleet a process that has ended or is stopped for good."""
        self.control_hosts.remove(host)
        self._retired.append(self._processes.pop(host))
        # Silent processes still use memory.
        for process in self._retired[:-KEPT_RETIRED]:
            process.kill()

    def start(self, host: str) -> None:
        """Start the process of an address unless it runs."""
        role = "control" if host in self.control_hosts else "entry"
        with self._lock:
            old = self._processes.get(host)
            if old is not None and old.poll() is None:
                return
            with open(self._folder / f"{host}.log", "ab") as log:
                self._processes[host] = subprocess.Popen(
                    [sys.executable, "-m", "oriolelock.platform", role],
                    stdout=log,
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                    cwd=self.builds.get(host),
                    env={
                        **os.environ,
                        "ORIOLELOCK_SETTINGS": str(self._folder / f"{host}.conf"),
                        # SIGABRT then logs the stacks of all threads.
                        "PYTHONFAULTHANDLER": "1",
                    },
                )

    def voters(self, host: str) -> dict[str, bool]:
        """Return the members by address, and whether they vote, as a process that ended has them.

        Raises StoreInUse while the process runs.
        """
        stored = store.open(self._folder / host, "config")
        try:
            loaded = stored.load()
        finally:
            stored.close()
        changes = [codec.decode(e.data) for e in loaded.entries if e.kind == "membership"]
        membership = changes[-1] if changes else loaded.membership
        return {item.name.partition(":")[0]: item.voter for item in membership.replicas}

    def signal(self, host: str, number: int) -> None:
        """Send a signal to the process of an address."""
        process = self._processes.get(host)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, host: str) -> None:
        """End a process at once and wait for its end."""
        self.signal(host, signal.SIGKILL)
        process = self._processes.get(host)
        if process is not None:
            process.wait(STOP_LIMIT_S)

    def wipe(self, host: str) -> None:
        """Remove the data of a process that does not run."""
        shutil.rmtree(self._folder / host, ignore_errors=True)

    def stop(self, host: str, limit_s: float = STOP_LIMIT_S) -> int:
        """Stop a process as planned and return its exit code; raises TimeoutExpired."""
        self.signal(host, signal.SIGTERM)
        return self._processes[host].wait(limit_s)

    def ended(self) -> dict[str, int]:
        """Return the exit codes of processes that do not run."""
        found = {host: process.poll() for host, process in self._processes.items()}
        return {host: code for host, code in found.items() if code is not None}

    def stop_all(self) -> None:
        """End everything that was started here."""
        for host in list(self._processes):
            self.signal(host, signal.SIGCONT)
            self.kill(host)
        for process in self._retired:
            process.kill()
            process.wait(STOP_LIMIT_S)
