"""The platform's limit on memory, and clients whose requests are cut when it strikes."""

import pathlib
import re
import signal
import threading
import time

import fleet as fleets

RESTART_S = 0.5
INTERVAL_S = 0.02


def private_mb(process):
    """Return the anonymous memory of a process: without its program and libraries."""
    try:
        text = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(r"RssAnon:\s+(\d+) kB", text)
    return int(found[1]) / 1024 if found else 0.0


class Platform:
    """Kills a process that uses more than ``memoryMb``, and starts it again (DEPLOY.md)."""

    def __init__(self, fleet, stopping):
        self._fleet, self._stopping = fleet, stopping
        self.ends, self.peaks_mb = [], {}
        for name in fleet.processes:
            threading.Thread(target=self._run, args=(name,), daemon=True).start()

    def _run(self, name):
        process, record = self._fleet.processes[name], self._fleet.record
        limit_mb = fleets.MEMORY_MB[process.role]
        while not self._stopping.wait(INTERVAL_S):
            used_mb = private_mb(process)
            self.peaks_mb[name] = max(used_mb, self.peaks_mb.get(name, 0.0))
            if process.popen.poll() is not None:
                record.write(f"{name} ended by itself: {process.popen.returncode}")
            elif used_mb > limit_mb:
                record.write(f"{name} uses {used_mb:.0f} MB, its memoryMb is {limit_mb}")
                self._fleet.signal(name, signal.SIGKILL)
                process.popen.wait()
            else:
                continue
            self.ends.append(name)
            if not self._stopping.wait(RESTART_S):
                self._fleet.start(name)


class Clients:
    """Clients with kept connections, which count the requests that end without an answer."""

    def __init__(self, fleet, world, stopping, path, per_entry):
        self._fleet, self._world, self._stopping, self._path = fleet, world, stopping, path
        self.unanswered, self.answered = [], 0
        for name in fleet.names("entry"):
            for number in range(per_entry):
                threading.Thread(target=self._run, args=(name, number), daemon=True).start()

    def _run(self, name, number):
        client, asked = None, 0
        while not self._stopping.is_set():
            asked += 1
            request_id = f"{name}-{number}-{asked}"
            try:
                if client is None:
                    client = fleets.Client(self._fleet.processes[name].ip)
                    client.ask("POST", self._path, request_id + "-first", b"card")
                client.ask("POST", self._path, request_id, b"card")
                self.answered += 1
            except OSError as exc:
                if client is not None and not self._stopping.is_set():
                    self.unanswered.append(request_id)
                    self._fleet.record.write(f"{request_id}: no answer ({type(exc).__name__})")
                client = None
                time.sleep(0.2)

    def lost(self):
        """Return the requests on kept connections that ran and got no answer."""
        ran = {run[1] for run in self._world.runs}
        return [request_id for request_id in self.unanswered if request_id in ran]
