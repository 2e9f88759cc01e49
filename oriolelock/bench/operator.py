"""
oriolelock.bench.operator
~~~~~~~~~~~~~~~~~~~~~~~~~

    Operators' work on a fleet: the command line without its output, and single changes for
    measurements.
"""

import contextlib
import io
import itertools
import json
import pathlib
import uuid

from oriolelock import clock, cmdline
from oriolelock.bench import caller, errors, fleet, http, waiting

__all__ = ["Operator", "operate", "use_preset", "wait_for_lookups"]

LOOKUPS_TIMEOUT_S = 15.0
# Far enough ahead that the drains of a measurement never begin.
DRAIN_AHEAD_S = 30 * 24 * 3600.0
RETRY_LIMIT_S = 30.0


def operate(item: fleet.Fleet, *argv: str) -> None:
    """Run one verb; raises BenchError when it fails."""
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        code = cmdline.main([*item.control_arguments(), "--timeout", "15s", *argv])
    if code:
        raise errors.BenchError(f"oriolelock {' '.join(argv)}: exit {code}: {out.getvalue()}")


def use_preset(item: fleet.Fleet, path: pathlib.Path, name: str) -> None:
    """Store the preset in ``path``, put it in force and wait until every entry follows."""
    operate(item, "preset", "put", str(path))
    version = waiting.until(item.status)["version"]
    operate(item, "preset", "use", name, "--expect-version", str(version))
    item.wait_version(version + 1)


def wait_for_lookups(item: fleet.Fleet, service: str, listed: int) -> None:
    """Wait until every entry names ``listed`` entries for ``service``; raises NotReady."""

    def condition():
        seeds = [process.address for process in item.entries.values()]
        return all(len(caller.Caller([seed]).lookup(service)) >= listed for seed in seeds)

    waiting.until(condition, LOOKUPS_TIMEOUT_S, "all entries in lookups")


class Operator:
    """Adds and cancels a drain in turn, so that the configuration stays small."""

    def __init__(self, deployment: fleet.Fleet):
        self._fleet = deployment
        self._numbers = itertools.count(1)
        self._open_drain = ""

    def change(self) -> int:
        """Make one change and return the version after it; raises NotReady."""
        if self._open_drain:
            fields = {"kind": "cancel-drain", "drain_id": self._open_drain}
            self._open_drain = ""
        else:
            self._open_drain = f"bench-{next(self._numbers)}"
            fields = {"kind": "add-drain", "drain": self._make_drain(self._open_drain)}
        return self.send(**fields)

    def send(self, **fields: object) -> int:
        """Make the change with these fields and return the version after it."""
        body = {"change_id": str(uuid.uuid4()), "expect_version": None, **fields}
        return waiting.until(lambda: self._post(body), RETRY_LIMIT_S, "change applied")

    def _make_drain(self, name):
        start_s = clock.wall_s() + DRAIN_AHEAD_S
        target = next(iter(self._fleet.entries))
        return {
            "drain_id": name,
            "scope": "entry",
            "target": target,
            "start_s": start_s,
            "deadline_s": start_s + 60.0,
            "forced": True,
        }

    def _post(self, body):
        token = self._fleet.settings.operator_token
        headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
        for item in self._fleet.control.values():
            if not item.is_running():
                continue
            try:
                reply = http.request(
                    "POST",
                    item.address,
                    "/oriolelock/changes",
                    json.dumps(body).encode(),
                    headers,
                )
            except errors.CallFailed:
                continue
            if reply.status == 200:
                return reply.json()["version"]
        return None
