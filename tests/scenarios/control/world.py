"""What operators and machines do to a fleet in scenarios of the control state."""

import concurrent.futures
import itertools
import json
import threading

import yaml

from oriolelock.bench import caller, errors, http, waiting
from oriolelock.model import from_json
from oriolelock.settings import node as nodes
from oriolelock.settings import preset
from tests.bench import small

__all__ = ["World", "edit_settings"]

WATCH_STEP_S = 0.1
CONTROL_WORKERS = 16


def edit_settings(process, **values):
    """Change keys of a settings file before its process starts."""
    data = yaml.safe_load(process.settings.read_text())
    data.update(values)
    process.settings.write_text(yaml.safe_dump(data))


class World:
    """A fleet, what a scenario remembers, and a watch for versions that decrease."""

    _ids = itertools.count(1)

    def __init__(self, item):
        self.fleet = item
        self.answers = []
        self.old_leader = ""
        # The replica that was asked for the last change, the leader unless told otherwise.
        self.asked = ""
        self.entry = ""
        # For calls that the scenario does not wait for.
        self.pool = concurrent.futures.ThreadPoolExecutor(CONTROL_WORKERS)
        self._seen = {}
        self._faults = []
        self._stopping = threading.Event()
        self._watcher = threading.Thread(target=self._watch)
        self._watcher.start()

    def close(self):
        """End the watch; fails when a version went back."""
        self._stopping.set()
        self._watcher.join()
        self.pool.shutdown()
        assert not self._faults, self._faults

    def _watch(self):
        while not self._stopping.wait(WATCH_STEP_S):
            for name, process in list(self.fleet.entries.items()):
                try:
                    data = http.request("GET", process.address, "/oriolelock/state", timeout_s=0.5)
                    self._note(name, "entry", data.json())
                except errors.CallFailed:
                    pass
            for process in self.fleet.control.values():
                for row in self._rows(process):
                    if row["role"] == "entry" and row["version"] is not None:
                        self._note(row["name"], f"status of {process.name}", row)

    def _rows(self, process):
        try:
            return self._get(process, "status", 0.5).json()["instances"]
        except (errors.CallFailed, KeyError):
            return []

    def _note(self, name, source, data):
        if not data.get("ready", True):
            return
        now = data["index"], data["version"]
        # A replica that was away may show an older report than another one.
        old = self._seen.get((name, source), now)
        if now[0] < old[0] or now[1] < old[1]:
            self._faults.append(f"{name} by {source}: {old} then {now}")
        self._seen[name, source] = now

    def forget(self, source):
        """Start the watch of a restarted replica anew: it has heard no report yet."""
        for key in [key for key in self._seen if key[1] == f"status of {source}"]:
            del self._seen[key]

    def _get(self, process, path, timeout_s=10.0):
        headers = {"Authorization": f"Bearer {self.fleet.settings.operator_token}"}
        path = f"/oriolelock/{path}"
        return http.request("GET", process.address, path, headers=headers, timeout_s=timeout_s)

    def status_of(self, name):
        """Return the status as the replica ``name`` shows it."""
        return self._get(self.fleet.control[name], "status").json()

    def state_of(self, name, group="config"):
        """Return what the replica ``name`` knows of a group."""
        return self._get(self.fleet.control[name], "state").json()["groups"][group]

    def subscribers_of_control(self):
        """Return the names of the entries that follow a control replica."""
        replicas = self.fleet.control.values()
        return {name for r in replicas for name in self._get(r, "state").json()["subscribers"]}

    def status(self):
        """Return the status from a replica that confirms it, None when none does at once."""
        for process in self.fleet.control.values():
            try:
                data = self._get(process, "status", 2.0).json()
            except errors.CallFailed:
                continue
            if data["confirmed"]:
                return data
        return None

    def leader(self, besides=""):
        """Return the name of the leader as a replica confirms it."""

        def find():
            name = (self.status() or {"leader": ""})["leader"]
            return name if name != besides else None

        return waiting.until(find, what=f"a leader besides {besides!r}")

    def version(self):
        """Return the current version."""
        return waiting.until(self.status)["version"]

    def others(self, *names):
        """Return the names of the other control replicas."""
        return [name for name in self.fleet.control if name not in names]

    def send(self, name, change_id, kind, expect=None, /, timeout_s=12.0, **fields):
        """Send a change to the replica ``name``; returns status and JSON."""
        body = {"change_id": change_id, "expect_version": expect, "kind": kind, **fields}
        headers = {
            "Authorization": f"Bearer {self.fleet.settings.operator_token}",
            "Content-Type": "application/json",
        }
        reply = http.request(
            "POST",
            self.fleet.control[name].address,
            "/oriolelock/changes",
            json.dumps(body).encode(),
            headers,
            timeout_s,
        )
        return reply.status, reply.json()

    def change(self, kind, name=None, /, **fields):
        """Have a change applied by a replica, the leader by default; returns its result."""
        change_id = f"w-{next(self._ids)}"

        def attempt():
            self.asked = name or self.leader()
            status, data = self.send(self.asked, change_id, kind, **fields)
            assert status in (200, 503), data
            return data if status == 200 else None

        return waiting.until(attempt, 40, f"{kind} applied")

    def put_preset(self, name):
        """Store a preset."""
        return self.change("put-preset", preset=preset_json(name))

    def change_many(self, count):
        """Apply ``count`` changes."""
        leader = self.leader()

        def put(n):
            preset = preset_json(f"filler-{n % 7}")
            return self.change("put-preset", leader, preset=preset)

        return list(self.pool.map(put, range(count)))

    def entry_state(self, name):
        """Return the state dump of an entry."""
        return http.get_json(self.fleet.entries[name].address, "/oriolelock/state")

    def in_force(self, name):
        """Return the preset that an entry has in force."""
        return self.entry_state(name)["in_force"]

    def wait_in_force(self, wanted, names=None, timeout_s=5.0):
        """Wait until the entries have ``preset`` in force."""
        for name in names or self.fleet.entries:
            waiting.until(lambda n=name: self.in_force(n) == wanted, timeout_s, f"{wanted}: {name}")

    def lookup(self, name, clients=1):
        """Return the names of all entries that the entry ``name`` tells clients to use."""
        address, found = self.fleet.entries[name].address, set()
        for n in range(clients):
            path = f"/oriolelock/lookup?service=s&client=10.0.{n}.1"
            found.update(item["name"] for item in http.get_json(address, path)["entries"])
        return found

    def request(self, name, operation, key=""):
        """Send a request to one entry; returns the reply."""
        headers = {
            "Oriolelock-Service": "s",
            "Oriolelock-Operation": operation,
            "Oriolelock-Deadline-Ms": "4000",
            **({"Idempotency-Key": caller.new_key()} if key == "new" else {}),
        }
        return http.request("POST", self.fleet.entries[name].address, "/w", b"b", headers)

    def set_links(self, *names, **state):
        """Change the links from and to the given instances."""
        self.fleet.set_links(lambda link: bool(set(link.split(">")) & set(names)), **state)

    def restart(self, *names):
        """Start killed control replicas or entries, and wait until they are ready."""
        found = [{**self.fleet.control, **self.fleet.entries}[name] for name in names]
        for process in found:
            self.forget(process.name)
            process.start()
        for process in found:
            process.wait_ready()

    def heal(self):
        """Resume, restart and connect everything, and wait until all agree."""
        if self.fleet.links:
            self.fleet.set_links(lambda link: True, cut=False, silence="none")
        daemons = {**self.fleet.control, **self.fleet.entries}
        for process in daemons.values():
            process.resume()
        self.restart(*(name for name, process in daemons.items() if not process.is_running()))
        self.wait_agreement()

    def wait_agreement(self):
        """Wait until all replicas confirm, and all entries follow, the same version."""

        def agree():
            shown = [self.status_of(name) for name in self.fleet.control]
            entries = [self.entry_state(name) for name in self.fleet.entries]
            versions = {data["version"] for data in [*shown, *entries]}
            rows = [row for data in shown for row in data["instances"] if row["role"] == "entry"]
            live = all(row["seen"] and row["state"] == "live" for row in rows)
            return len(versions) == 1 and all(data["confirmed"] for data in shown) and live

        waiting.until(agree, 60, "all replicas and entries agree")

    def wait_voter(self, name):
        """Wait until a replica counts towards the quorum of all groups."""
        for group in ("config", "record-0"):
            waiting.until(
                lambda g=group: self.state_of(name, g)["voter"], 60, f"{name} votes in {group}"
            )


def preset_json(name):
    """Return a preset as the operator API takes it."""
    data = yaml.safe_load(small.PRESET.format(name=name))
    return from_json.to_json(preset.parse(nodes.Node("preset", "", data)))
