"""
oriolelock.standin.main
~~~~~~~~~~~~~~~~~~~~~~~

    ``oriolelock-stand-in``: emulates endpoints, the instance list or links.
"""

import argparse
import os
import signal
import sys
import threading

from oriolelock import logs
from oriolelock.settings import loader, standin, standin_endpoint, standin_instances
from oriolelock.standin import endpoint_host, instances_host, links_host

__all__ = ["main"]

EXIT_NOT_STARTED = 1

log = logs.get_logger("stand-in")


def _make_host(cfg):
    if isinstance(cfg, standin_endpoint.EndpointsSettings):
        return endpoint_host.EndpointHost(cfg)
    if isinstance(cfg, standin_instances.InstancesSettings):
        return instances_host.InstancesHost(cfg)
    return links_host.LinksHost(cfg)


def _make_parser():
    parser = argparse.ArgumentParser(
        prog="oriolelock-stand-in",
        description="Emulates endpoints, the platform's instance list, or network links.",
        epilog="The key 'role' of the settings is endpoint, instances or link.",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("settings", metavar="SETTINGS.yaml")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run until SIGTERM or SIGINT, then stop gracefully; returns the exit code."""
    args = _make_parser().parse_args(argv)
    cfg = loader.load_or_exit(args.settings, standin.parse)
    if args.check:
        print(f"{args.settings}: good")
        return 0
    logs.set_up(cfg.log.level, cfg.log.json_lines)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    host = _make_host(cfg)
    try:
        bound = host.start()
    except OSError as exc:
        log.error(f"can't listen: {exc}")
        # Servers that did start have threads that would keep the process alive.
        sys.stderr.flush()
        os._exit(EXIT_NOT_STARTED)
    for name, address in bound.items():
        log.info(f"{name} listens on {address[0]}:{address[1]}")
    stop.wait()
    host.stop()
    log.info("stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
