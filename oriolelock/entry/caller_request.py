"""
oriolelock.entry.caller_request
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A request as the caller sent it, and the validation that needs no configuration.
"""

import collections.abc
import dataclasses
import re

from oriolelock import outcomes

__all__ = ["CallerRequest", "ParsedHeaders", "parse"]

# The longest timeout that a preset may set. Longer deadlines are reduced to it.
MAX_DEADLINE_MS = 600_000
MAX_NAME_LENGTH = 100
METHODS = frozenset(("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"))
DEADLINE_FORMAT = re.compile(r"^-?[0-9]{1,12}$")
KEY_FORMAT = re.compile(r"^([0-9]{1,12})-([\x21-\x7e]{1,200})$")
TARGET_FORMAT = re.compile(r"^/[\x21-\x7e]*$")
KEY_RETENTION_S = 24 * 3600.0
# How far a caller's clock may be ahead.
MAX_CLOCK_SKEW_S = 60.0


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request as received. ``target`` is the undecoded path and query.

    ``is_gone`` returns whether the caller has closed its connection.
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
class ParsedHeaders:
    """The checked values of a request's headers; ``key`` is empty if there is none."""

    service: str
    operation: str
    deadline_ms: int
    key: str


def parse(req: CallerRequest, wall_s: float) -> ParsedHeaders | outcomes.NotRun:
    """Return the checked headers of ``req``, or NotRun with the reason for the refusal.

    ``wall_s`` is Unix time.
    """
    service = req.header("Oriolelock-Service")
    operation = req.header("Oriolelock-Operation")
    if not (0 < len(service) <= MAX_NAME_LENGTH and 0 < len(operation) <= MAX_NAME_LENGTH):
        return outcomes.NotRun("bad-request")
    if not TARGET_FORMAT.match(req.target) or req.method not in METHODS:
        return outcomes.NotRun("bad-request")
    deadline = req.header("Oriolelock-Deadline-Ms")
    if not deadline:
        return outcomes.NotRun("deadline-missing")
    if not DEADLINE_FORMAT.match(deadline):
        return outcomes.NotRun("bad-request")
    if int(deadline) <= 0:
        return outcomes.NotRun("deadline-passed")
    key = req.header("Idempotency-Key")
    refusal = _check_key(key, wall_s) if key else None
    return refusal or ParsedHeaders(service, operation, min(int(deadline), MAX_DEADLINE_MS), key)


def _check_key(key, wall_s):
    match = KEY_FORMAT.match(key)
    if not match or int(match[1]) > wall_s + MAX_CLOCK_SKEW_S:
        return outcomes.NotRun("bad-request")
    if int(match[1]) < wall_s - KEY_RETENTION_S:
        return outcomes.NotRun("key-expired")
    return None
