"""
oriolelock.cli.client
~~~~~~~~~~~~~~~~~~~~~

    The operator API of the control replicas, tried in turn until one answers.
"""

import argparse
import collections.abc
import os
import pathlib
import sys
import threading

from oriolelock import clock
from oriolelock.cli import errors, http
from oriolelock.settings import errors as settings_errors
from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["Client", "check_address", "make_client"]

# A replica that is frozen takes this long; then the next one is asked.
READ_TRY_S = 4.0
# A replica itself waits up to 9 s for a change to be committed.
CHANGE_TRY_S = 10.0
ROUND_PAUSE_S = 0.25
UNAUTHORIZED = 401
UNAVAILABLE = 503


class Client:
    """Addresses are ``a.b.c.d:port``; ``timeout_s`` covers all tries of one call."""

    def __init__(self, addresses: list[str], token: str, timeout_s: float):
        self._addresses = addresses
        self._token = token
        self._timeout_s = timeout_s

    def read(self, path: str) -> dict:
        """Return the JSON object at ``path``, confirmed by the leader if one can be reached.

        Falls back to an unconfirmed answer with a warning; raises Unreachable.
        """
        unconfirmed = []

        def accept(reply):
            if reply.status == 200 and reply.data.get("confirmed", True):
                return True
            if reply.status == 200:
                unconfirmed.append(reply.data)
            return False

        try:
            return self._try_all("GET", path, None, READ_TRY_S, accept).data
        except errors.Unreachable:
            if not unconfirmed:
                raise
            print("warning: not confirmed by the leader, may be old", file=sys.stderr)
            return unconfirmed[-1]

    def change(self, body: dict) -> dict:
        """Send a change and return its result; raises Unreachable.

        Every try carries the same ``change_id``, so that a change whose answer was lost is
        not made twice.
        """
        reply = self._try_all(
            "POST",
            "/oriolelock/changes",
            body,
            CHANGE_TRY_S,
            lambda reply: reply.status != UNAVAILABLE,
        )
        return reply.data

    def _try_all(
        self,
        method: str,
        path: str,
        body: dict | None,
        try_s: float,
        accept: collections.abc.Callable[[http.Reply], bool],
    ) -> http.Reply:
        end_s = clock.monotonic_s() + self._timeout_s
        failures: dict[str, str] = {}
        while True:
            for address in self._addresses:
                left_s = end_s - clock.monotonic_s()
                if left_s <= 0:
                    raise errors.Unreachable(_describe(failures))
                try:
                    reply = http.exchange(
                        method, f"http://{address}{path}", body, self._token, min(try_s, left_s)
                    )
                except http.ExchangeFailed as exc:
                    failures[address] = str(exc)
                    continue
                if reply.status == UNAUTHORIZED:
                    raise errors.BadUsage(f"{address}: the token was refused")
                if accept(reply):
                    return reply
                failures[address] = str(reply.data.get("reason", f"status {reply.status}"))
            threading.Event().wait(max(0.0, min(ROUND_PAUSE_S, end_s - clock.monotonic_s())))


def _describe(failures):
    return "no control replica answered: " + "; ".join(
        f"{address}: {text}" for address, text in failures.items()
    )


def make_client(args: argparse.Namespace) -> Client:
    """Return the client that options and environment ask for; raises BadUsage."""
    addresses = args.control or os.environ.get("ORIOLELOCK_CONTROL", "").replace(",", " ").split()
    if not addresses:
        raise errors.BadUsage("--control or ORIOLELOCK_CONTROL is required")
    for address in addresses:
        check_address(address)
    return Client(addresses, _read_token(args.token_file), args.timeout_s)


def check_address(address: str) -> None:
    """Raise BadUsage unless ``address`` is ``a.b.c.d:port``."""
    try:
        getters.get_address(nodes.Node("arguments", "", {"address": address}), "address")
    except settings_errors.SettingsError as exc:
        raise errors.BadUsage(str(exc)) from exc


def _read_token(path):
    if not path:
        return os.environ.get("ORIOLELOCK_TOKEN", "")
    try:
        return pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.BadUsage(f"{path}: {exc}") from exc
