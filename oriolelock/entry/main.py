"""
oriolelock.entry.main
~~~~~~~~~~~~~~~~~~~~~

    The command line of the entry daemon.
"""

import argparse
import signal
import sys
import threading

from oriolelock import logs
from oriolelock.settings import entry, loader

__all__ = ["main"]

EXIT_OK = 0
EXIT_NOT_DRAINED = 1
EXIT_FAILED = 1
EXIT_CANNOT_START = 2
SERVER_CHECK_INTERVAL_S = 1.0

log = logs.get_logger("entry")


def main(argv: list[str] | None = None) -> int:
    """Run an entry until SIGTERM or SIGINT; returns the exit code."""
    parser = argparse.ArgumentParser("oriolelock-entry", description="Serves callers.")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("settings", metavar="SETTINGS.yaml")
    args = parser.parse_args(argv)
    cfg = loader.load_or_exit(args.settings, entry.parse)
    if args.check:
        return EXIT_OK
    logs.set_up(cfg.log_level, cfg.log_json)
    return _run(cfg)


def _run(cfg):
    from oriolelock.entry import daemon

    stop_requested, skip_wait = threading.Event(), threading.Event()

    def on_signal(signum, frame):
        # A second signal skips the wait for lookups; requests in flight are finished anyway.
        (skip_wait if stop_requested.is_set() else stop_requested).set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon_entry = daemon.Entry(cfg)
    try:
        daemon_entry.start()
    except OSError as exc:
        print(f"{cfg.listen[0]}:{cfg.listen[1]}: {exc}", file=sys.stderr)
        return EXIT_CANNOT_START
    while not stop_requested.wait(SERVER_CHECK_INTERVAL_S):
        if not daemon_entry.is_serving:
            log.critical("the server stopped unexpectedly")
            return EXIT_FAILED
    daemon_entry.leave(skip_wait)
    return EXIT_OK if daemon_entry.stop() else EXIT_NOT_DRAINED


if __name__ == "__main__":
    sys.exit(main())
