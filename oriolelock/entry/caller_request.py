"""
oriolelock.entry.caller_request
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A request as the caller sent it, and the checks that need no configuration.
"""

import collections.abc
import dataclasses
import re

from oriolelock import outcomes

__all__ = ["CallerRequest", "Parsed", "parse"]

# The longest timeout that a preset may set; a longer deadline has no effect.
MAX_DEADLINE_MS = 600_000
MAX_NAME_LENGTH = 100
METHODS = frozenset(("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"))
DEADLINE = re.compile(r"^-?[0-9]{1,12}$")
KEY = re.compile(r"^([0-9]{1,12})-([\x21-\x7e]{1,200})$")
TARGET = re.compile(r"^/[\x21-\x7e]*$")
KEY_RETENTION_S = 24 * 3600.0
# Callers' clocks may be ahead by this much.
KEY_FUTURE_LIMIT_S = 60.0


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """``headers`` are all of the caller's; ``target`` is path and query, undecoded.

    ``is_gone`` tells whether the caller has closed its connection.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_gone: collections.abc.Callable[[], bool] = lambda: False

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        lowered = name.lower()
        return next((v.strip() for k, v in self.headers if k.lower() == lowered), "")


@dataclasses.dataclass(frozen=True)
class Parsed:
    """``key`` is empty when the caller gave none."""

    service: str
    operation: str
    deadline_ms: int
    key: str


def parse(req: CallerRequest, wall_s: float) -> Parsed | outcomes.NotRun:
    """Return the checked headers of ``req``, or why it is refused. ``wall_s`` is Unix time."""
    service = req.header("Oriolelock-Service")
    operation = req.header("Oriolelock-Operation")
    if not (0 < len(service) <= MAX_NAME_LENGTH and 0 < len(operation) <= MAX_NAME_LENGTH):
        return outcomes.NotRun("bad-request")
    if not TARGET.match(req.target) or req.method not in METHODS:
        return outcomes.NotRun("bad-request")
    deadline = req.header("Oriolelock-Deadline-Ms")
    if not deadline:
        return outcomes.NotRun("deadline-missing")
    if not DEADLINE.match(deadline):
        return outcomes.NotRun("bad-request")
    if int(deadline) <= 0:
        return outcomes.NotRun("deadline-passed")
    key = req.header("Idempotency-Key")
    refusal = _check_key(key, wall_s) if key else None
    return refusal or Parsed(service, operation, min(int(deadline), MAX_DEADLINE_MS), key)


def _check_key(key, wall_s):
    match = KEY.match(key)
    if not match or int(match[1]) > wall_s + KEY_FUTURE_LIMIT_S:
        return outcomes.NotRun("bad-request")
    if int(match[1]) < wall_s - KEY_RETENTION_S:
        return outcomes.NotRun("key-expired")
    return None
