"""
oriolelock.cli.state
~~~~~~~~~~~~~~~~~~~~

    ``state ADDRESS``: the state dump of one process, always as JSON.
"""

import argparse

from oriolelock.cli import client, errors, exit_codes, http, output

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock state 10.1.0.5:8080"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("address", metavar="ADDRESS", help="HTTP address as a.b.c.d:port")


def run(args: argparse.Namespace) -> int:
    """Print the state dump."""
    client.check_address(args.address)
    url = f"http://{args.address}/oriolelock/state"
    try:
        reply = http.exchange("GET", url, None, "", args.timeout_s)
    except http.ExchangeFailed as exc:
        raise errors.Unreachable(f"{args.address}: {exc}") from exc
    if reply.status != 200:
        raise errors.Unreachable(f"{args.address}: status {reply.status}")
    output.show_json(reply.data)
    return exit_codes.DONE
