"""
oriolelock.control.instance_list
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reads the platform's list of instances and compares it with the configuration.
"""

import collections.abc
import dataclasses
import io

from oriolelock import logs
from oriolelock.model import changes, configuration, endpoint, member
from oriolelock.wire import tolerant_json

__all__ = ["InstanceDiff", "ListUnreadable", "Page", "fetch", "merge", "parse"]

CONNECT_TIMEOUT_MS = 1000
TIMEOUT_MS = 3000
MAX_BYTES = 16 * 1024 * 1024
# The list lags and may omit an instance once, so an instance is removed only after it has been
# missing from this many consecutive readings.
READINGS_UNTIL_REMOVED = 3
# Readings that are further apart are not consecutive, as other replicas have read in between,
# unless the settings ask for fewer readings.
MAX_GAP_S = 3.0
STATES = ("live", "leaving")
MAX_PORT = 65535
# In the year 5138.
MAX_STARTED_MS = 10**14

log = logs.get_logger("control.instances")


class ListUnreadable(Exception):
    """The list can't be fetched or is malformed; the previous configuration stays in use."""


class _EntryUnreadable(Exception):
    """One entry is malformed; the others hold."""


@dataclasses.dataclass(frozen=True)
class Page:
    """A part of the list. ``instances``: by name; ``asked_s``: monotonic time of the request."""

    instances: dict
    asked_s: float
    is_last: bool = True


def merge(listed: dict, page: Page) -> None:
    """Add the instances of a page to ``listed``; of two states ``leaving`` is the later one."""
    for name, instance in page.instances.items():
        if name not in listed or instance.state == "leaving":
            listed[name] = instance


def fetch(url: str) -> bytes:
    """Return the body of the list; raises ListUnreadable."""
    import pycurl

    body = io.BytesIO()

    def write(data):
        # A return value below len(data) makes curl abort the transfer.
        return body.write(data) if body.tell() + len(data) <= MAX_BYTES else 0

    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        curl.setopt(pycurl.WRITEFUNCTION, write)
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as exc:
        raise ListUnreadable(f"{url}: {exc.args[-1]}") from exc
    finally:
        curl.close()
    if status != 200:
        raise ListUnreadable(f"{url}: status {status}")
    return body.getvalue()


def parse(data: bytes) -> dict[str, member.Member | endpoint.Endpoint]:
    """Return the instances by name, without malformed ones; raises ListUnreadable."""
    try:
        rows = tolerant_json.loads(data)
    except ValueError as exc:
        raise ListUnreadable(f"not JSON: {exc}") from exc
    if not isinstance(rows, list):
        raise ListUnreadable("not a JSON list")
    instances = {}
    for row in rows:
        try:
            instance = _parse_instance(row)
        except _EntryUnreadable as exc:
            log.warning("Left out an entry of the instance list: {}.", exc)
            continue
        instances[instance.name] = instance
    return instances


def _read_text(row, key, default=None):
    value = row.get(key, default)
    if not isinstance(value, str) or (default is None and not value):
        raise _EntryUnreadable(f"{key}: found {str(value)[:60]!r}, allowed: a string")
    return value


def _read_count(row, key):
    value = row.get(key)
    if type(value) is not int or not 0 < value < 1 << 31:
        raise _EntryUnreadable(f"{key}: found {str(value)[:60]!r}, allowed: a whole number above 0")
    return value


def _read_start(row):
    """Return the Unix time of the start in ms; 0 if the list doesn't say, or oddly."""
    value = row.get("started_ms")
    return value if type(value) is int and 0 < value <= MAX_STARTED_MS else 0


def _check_port(address):
    port = address.rpartition(":")[2]
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= MAX_PORT):
        raise _EntryUnreadable(f"address: found {address[:60]!r}, allowed: host:port")


def _parse_instance(row):
    if not isinstance(row, dict):
        raise _EntryUnreadable(f"found {str(row)[:60]!r}, allowed: a mapping")
    role, state = _read_text(row, "role"), _read_text(row, "state", "live")
    if role not in ("entry", "endpoint", "control") or state not in STATES:
        raise _EntryUnreadable(f"unknown role {role!r} or state {state!r}")
    common = {key: _read_text(row, key) for key in ("address", "region", "failure_domain")}
    _check_port(common["address"])
    if role == "endpoint":
        return endpoint.Endpoint(
            name=_read_text(row, "id"),
            service=_read_text(row, "service"),
            slots=_read_count(row, "slots"),
            connections=_read_count(row, "connections"),
            state=state,
            started_ms=_read_start(row),
            **common,
        )
    link_address = _read_text(row, "link_address", "")
    return member.Member(
        _read_text(row, "id"), role, link_address=link_address, state=state, **common
    )


class InstanceDiff:
    """Compares readings of the list with the configuration.

    Counts for how many consecutive readings each instance was missing. ``names_members``: the list
    contains entries and control replicas too, not only endpoints. ``max_gap_s``: readings are
    consecutive if no more time passes between them. ``now`` and ``began_s``, when a reading began
    (``now`` by default), are monotonic seconds.
    """

    def __init__(self, names_members: bool = True, max_gap_s: float = MAX_GAP_S) -> None:
        self._names_members = names_members
        self._max_gap_s = max_gap_s
        self._missed_readings: dict[str, int] = {}
        self._counted_s = float("-inf")

    def find_changes(
        self,
        cfg: configuration.Configuration,
        listed: dict,
        leaving: collections.abc.Set[str] = frozenset(),
        seen: collections.abc.Set[str] = frozenset(),
        now: float = 0.0,
    ) -> list[changes.Change]:
        """Return the changes that turn ``cfg`` into ``listed``; none for an empty list.

        ``leaving``: names of instances that report a planned stop. ``seen``: names of instances
        that reported recently; they are kept even if the list, which may lag, omits them.
        """
        if not listed:
            return []
        updates = self.find_updates(cfg, listed, leaving)
        return updates + self.find_removals(cfg, listed, seen, now)

    def find_updates(
        self,
        cfg: configuration.Configuration,
        listed: dict,
        leaving: collections.abc.Set[str] = frozenset(),
    ) -> list[changes.Change]:
        """Return the changes for the instances in ``listed``, a part of the list or all of it."""
        return [
            change for instance in listed.values() for change in _changes_of(cfg, instance, leaving)
        ]

    def find_removals(
        self,
        cfg: configuration.Configuration,
        listed: dict,
        seen: collections.abc.Set[str],
        now: float,
        began_s: float | None = None,
    ) -> list[changes.Change]:
        """Return the removals that follow from ``listed``, the whole list; none if it is empty."""
        if not listed:
            return []
        if (now if began_s is None else began_s) - self._counted_s > self._max_gap_s:
            self._missed_readings = {}
        self._counted_s = now
        configured: dict = dict(cfg.endpoints)
        if self._names_members:
            configured |= cfg.members
        missing = [name for name in configured if name not in listed and name not in seen]
        self._missed_readings = {name: self._missed_readings.get(name, 0) + 1 for name in missing}
        return [
            changes.RemoveMember(name) if name in cfg.members else changes.RemoveEndpoint(name)
            for name in missing
            if self._missed_readings[name] >= READINGS_UNTIL_REMOVED
        ]


def _changes_of(cfg, instance, leaving):
    if isinstance(instance, endpoint.Endpoint):
        return (
            [changes.SetEndpoint(instance)] if cfg.endpoints.get(instance.name) != instance else []
        )
    old = cfg.members.get(instance.name)
    if old and not instance.link_address:
        # The platform's list may omit the link address.
        instance = dataclasses.replace(instance, link_address=old.link_address)
    if old and old.state == "down" and instance.state == "live":
        # Only a report from the instance itself ends the state ``down``.
        instance = dataclasses.replace(instance, state="down")
    elif instance.state == "live" and instance.name in leaving:
        # The list lags behind the instance's own report of its planned stop.
        instance = dataclasses.replace(instance, state="leaving")
    return [changes.SetMember(instance)] if old != instance else []
