"""
oriolelock.control.main
~~~~~~~~~~~~~~~~~~~~~~~

    Command line interface ``oriolelock-control``.
"""

import argparse
import os
import signal
import sys

from oriolelock import logs, stop_signals
from oriolelock.control import daemon, recovery, replica
from oriolelock.settings import control as settings
from oriolelock.settings import loader
from oriolelock.storage import errors as storage_errors

__all__ = ["main"]

EXIT_BAD_STORAGE = 3
EXIT_INTERNAL_FAILURE = 4
EXIT_CANNOT_LISTEN = 5
EXIT_NOT_CONFIRMED = 6

log = logs.get_logger("control")


def _parse_arguments(argv):
    parser = argparse.ArgumentParser(
        prog="oriolelock-control", description="Runs one control replica."
    )
    parser.add_argument("settings", help="YAML file")
    parser.add_argument(
        "--form", action="store_true", help="create the data folder of an initial replica and exit"
    )
    parser.add_argument(
        "--recover",
        action="store_true",
        help="last resort if a majority is lost for good: make this stopped replica the only voter",
    )
    parser.add_argument(
        "--yes-lose-changes",
        action="store_true",
        help="with --recover: go on, although changes that only other replicas hold are lost",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser.parse_args(argv)


def _fail(text: str) -> None:
    """Exit at once, without cleanup: any thread may call this and the others must not continue."""
    log.critical("Exiting: {}.", text)
    sys.stderr.flush()
    os._exit(EXIT_INTERNAL_FAILURE)


def _recover(cfg, confirmed):
    stored = recovery.inspect(cfg)
    print(recovery.describe(cfg.name, stored))
    if not confirmed:
        print("Nothing was changed. To go on, add --yes-lose-changes.")
        return EXIT_NOT_CONFIRMED
    recovery.recover(cfg)
    print("Done. Start this replica, and the others with empty data folders.")
    return 0


def _run(cfg):
    wait_for_stop = stop_signals.catch((signal.SIGTERM, signal.SIGINT))
    replica_daemon = daemon.Daemon(cfg, _fail)
    replica_daemon.start()
    wait_for_stop()
    replica_daemon.stop()
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the command; returns the exit code."""
    args = _parse_arguments(argv)
    cfg = loader.load_or_exit(args.settings, settings.parse)
    if args.check:
        print(f"{args.settings}: valid")
        return 0
    logs.set_up(cfg.log_level, cfg.log_json)
    try:
        if args.form:
            replica.form(cfg)
            return 0
        if args.recover:
            return _recover(cfg, args.yes_lose_changes)
        return _run(cfg)
    except storage_errors.StorageError as exc:
        print(f"{cfg.data_folder}: {exc}", file=sys.stderr)
        return EXIT_BAD_STORAGE
    except OSError as exc:
        print(f"{args.settings}: {exc}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN


if __name__ == "__main__":
    sys.exit(main())
