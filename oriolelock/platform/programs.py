"""
oriolelock.platform.programs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The two programs as the platform starts, reloads and stops them.
"""

import argparse
import os
import signal
import sys
import threading

from oriolelock import events, stop_signals
from oriolelock.platform import fields
from oriolelock.settings import errors

__all__ = ["main"]

SETTINGS_VARIABLE = "ORIOLELOCK_SETTINGS"
EXIT_BAD_SETTINGS = 2
EXIT_FAILED = 4
# The file may change without a signal.
WATCH_INTERVAL_S = 1.0

log = events.Events("program")


def _fail(text: str) -> None:
    """End the process at once: the rest must not go on."""
    log.notable("failed", reason=text)
    os._exit(EXIT_FAILED)


def _watch(path, on_change):
    """Call ``on_change(fields)`` from a thread after each change of the settings file."""
    woken = threading.Event()

    def stamp():
        try:
            found = os.stat(path)
            return (found.st_mtime_ns, found.st_size)
        except OSError:
            return None

    def run():
        last = stamp()
        while True:
            asked = woken.wait(WATCH_INTERVAL_S)
            woken.clear()
            now = stamp()
            if now == last and not asked:
                continue
            last = now
            try:
                found = fields.read(path)
                on_change(found)
            except errors.SettingsError as exc:
                log.notable("reload-refused", reason=str(exc))
                continue
            log.notable("reloaded", path=path)

    signal.signal(signal.SIGHUP, lambda *_: woken.set())
    threading.Thread(target=run, name="settings", daemon=True).start()


def _run_entry(path, found):
    from oriolelock.gateway import daemon
    from oriolelock.platform import headers, lookups

    item = daemon.Gateway(found.gateway(), headers.DIALECT, lookups)
    signal.signal(signal.SIGTERM, lambda *_: item.loop.call_soon(item.leave))
    _watch(path, lambda changed: item.use_control(changed.seeds()))
    item.run()
    # Threads that wait for control would hold up the end.
    os._exit(0)


def _run_control(path, found):
    from oriolelock.control import hosted
    from oriolelock.platform import calls, instances

    cfg = found.control()
    hosted.form_if_first(cfg, found.text("firstStart", "false") == "true")
    reader = instances.make_reader(
        found.address("cloud.address"),
        found.regions(),
        found.number("cloud.ratePerS", instances.CALLS_PER_S),
    )
    listens = [found.address("listen.control"), (found.text("ip"), fields.METRICS_PORT)]
    wait_for_stop = stop_signals.catch()
    item = hosted.Hosted(cfg, listens, _fail, reader, calls.make_handler)
    _watch(path, lambda changed: item.use_seeds(changed.seeds()))
    item.start()
    wait_for_stop()
    item.stop()
    os._exit(0)


ROLES = {"entry": _run_entry, "control": _run_control}


def main(argv: list[str] | None = None) -> int:
    """Run a role until SIGTERM; returns the exit code."""
    parser = argparse.ArgumentParser("oriolelock-platform")
    parser.add_argument("role", choices=sorted(ROLES))
    args = parser.parse_args(argv)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        found = fields.read(path)
        events.set_up()
        ROLES[args.role](path, found)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return 0
