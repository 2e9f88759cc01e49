"""
oriolelock.bench.operator
~~~~~~~~~~~~~~~~~~~~~~~~~

    The operators' command line against a fleet, without its output.
"""

import contextlib
import io
import pathlib

from oriolelock import cmdline
from oriolelock.bench import caller, errors, fleet, waiting

__all__ = ["operate", "use_preset", "wait_for_lookups"]

LOOKUPS_TIMEOUT_S = 15.0


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

    waiting.until(condition, LOOKUPS_TIMEOUT_S, "all entries in look-ups")
