"""
oriolelock.bench.fleet
~~~~~~~~~~~~~~~~~~~~~~

    A deployment as separate processes on this machine.

    ``with fleet.Fleet(folder, plan, options) as item:`` starts everything, waits until it is
    ready and stops it at the end. Single processes are in ``item.control``, ``item.entries``
    and ``item.endpoints`` by name.
"""

import collections.abc
import concurrent.futures
import json
import os
import pathlib

import yaml

from oriolelock.bench import (
    errors,
    fleet_options,
    fleet_settings,
    http,
    ports,
    process,
    waiting,
)
from oriolelock.settings import deployment

__all__ = ["Fleet"]

CONTROL_MODULE = "oriolelock.control.main"
ENTRY_MODULE = "oriolelock.entry.main"
STANDIN_MODULE = "oriolelock.standin.main"
READY = "/oriolelock/ready"


class Fleet:
    """Processes of one deployment below ``folder``, which must be empty or absent."""

    def __init__(
        self,
        folder: pathlib.Path,
        plan: deployment.Deployment,
        options: fleet_options.FleetOptions | None = None,
    ):
        self.folder = folder.resolve()
        self._ports = ports.Ports()
        self.settings = fleet_settings.FleetSettings(
            plan, options or fleet_options.FleetOptions(), self._ports, str(self.folder)
        )
        self.instances = self._add(
            "instances", "instances", STANDIN_MODULE, self.settings.instances(), "/instances"
        )
        self.endpoints = self._add_endpoints()
        self.control = {i.name: self._add_daemon("control", i) for i in plan.control}
        self.entries = {i.name: self._add_daemon("entry", i) for i in self.settings.entries}
        links = self.settings.links()
        self.links = links and self._add("link", "links", STANDIN_MODULE, links, "/links")
        self._write_token()

    def _add(self, role, name, module, data, ready_path, address=None):
        path = self.folder / "settings" / f"{name}.yaml"
        path.parent.mkdir(parents=True, exist_ok=True)
        # The settings hold tokens.
        path.touch(mode=0o600)
        path.write_text(yaml.safe_dump(data, sort_keys=False), encoding="utf-8")
        folder = data.get("data_folder")
        return process.Process(
            role,
            name,
            module,
            path,
            address or data["listen"],
            ready_path,
            pathlib.Path(folder) if folder else None,
        )

    def _add_endpoints(self):
        found = {}
        for name, items in self.settings.endpoint_groups().items():
            data = self.settings.endpoints(name, items)
            address = self.settings.addresses[items[-1].name]
            found[name] = self._add("endpoint", name, STANDIN_MODULE, data, "/load", address)
        return found

    def _add_daemon(self, role, item):
        module = CONTROL_MODULE if role == "control" else ENTRY_MODULE
        return self._add(role, item.name, module, getattr(self.settings, role)(item), READY)

    def _write_token(self):
        self.token_file = self.folder / "operator.token"
        self.token_file.touch(mode=0o600)
        self.token_file.write_text(self.settings.operator_token + "\n", encoding="utf-8")

    def processes(self) -> list[process.Process]:
        """Return all processes in the order in which they start."""
        first = [self.links] if self.links else []
        groups = (self.endpoints, self.control, self.entries)
        return [*first, self.instances, *(item for g in groups for item in g.values())]

    def start(self) -> None:
        """Form the control group, start everything and wait until it is ready."""
        with concurrent.futures.ThreadPoolExecutor(len(self.control)) as pool:
            list(pool.map(lambda item: item.run_once("--form"), self.control.values()))
        for item in self.processes():
            item.start()
        for item in self.processes():
            item.wait_ready()
        self._write_processes()

    def _write_processes(self):
        rows = []
        for item in self.processes():
            if item.role == "link":
                continue
            row = {"role": item.role, "pid": item.pid, "settings": str(item.settings)}
            hosted = self.settings.endpoint_groups().get(item.name, [item])
            rows += [{**row, "name": h.name, "address": self.address_of(h.name)} for h in hosted]
        text = json.dumps(rows, indent=2)
        part = self.folder / "processes.json.part"
        part.write_text(text + "\n", encoding="utf-8")
        os.replace(part, self.folder / "processes.json")

    def address_of(self, name: str) -> str:
        """Return the HTTP address of an entry, a control replica, an endpoint or the list."""
        return self.settings.addresses.get(name, self.settings.instances_address)

    def control_arguments(self) -> list[str]:
        """Return the options of the command line that reach the control replicas."""
        found = ["--token-file", str(self.token_file)]
        for item in self.control.values():
            found += ["--control", item.address]
        return found

    def status(self) -> dict:
        """Return the status from the first control replica that confirms it.

        Raises CallFailed.
        """
        headers = {"Authorization": f"Bearer {self.settings.operator_token}"}
        for item in self.control.values():
            try:
                data = http.get_json(item.address, "/oriolelock/status", headers)
            except errors.CallFailed:
                continue
            if data["confirmed"]:
                return data
        raise errors.CallFailed("no control replica confirms its status")

    def wait_version(self, version: int, timeout_s: float = 10.0) -> None:
        """Wait until every entry has reported ``version`` or later; raises NotReady."""

        def condition():
            versions = {row["name"]: row["version"] for row in self.status()["instances"]}
            return all((versions.get(name) or 0) >= version for name in self.entries)

        waiting.until(condition, timeout_s, f"version {version} on every entry")

    def set_links(self, matches: collections.abc.Callable[[str], bool], **state: object) -> None:
        """Change the links whose name (``SOURCE>TARGET``) matches; raises CallFailed.

        ``state``: ``delay`` as text, ``cut``, ``silence`` (see ``settings.standin_link``).
        """
        for name in http.get_json(self.links.address, "/links"):
            if matches(name):
                http.post_json(self.links.address, f"/links/{name}", state)

    def runs(self) -> list[dict]:
        """Return the runs of all endpoints that answer, with their endpoint's name."""
        found = []
        for item in self.settings.plan.endpoints:
            found += http.get_json(self.address_of(item.name), "/runs")
        return found

    def stop(self) -> dict[str, int]:
        """Stop entries, then control, then the rest; returns exit codes by name.

        A process that does not end in time is killed and listed with its signal.
        """
        codes = {}
        rest = [self.instances, *self.endpoints.values(), *([self.links] if self.links else [])]
        for group in (self.entries.values(), self.control.values(), rest):
            running = [item for item in group if item.is_running()]
            for item in running:
                item.ask_to_stop()
            for item in running:
                try:
                    codes[item.name] = item.wait()
                except errors.NotReady:
                    item.kill()
                    codes[item.name] = item.exit_code()
        self._ports.close()
        return codes

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()
