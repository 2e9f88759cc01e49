"""
oriolelock.control.instance_list
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The platform's list of instances: reading it and finding what differs from the
    configuration.
"""

import collections.abc
import dataclasses
import io
import json

from oriolelock.model import changes, configuration, endpoint, member

__all__ = ["InstanceDiff", "ListUnreadable", "fetch", "parse"]

CONNECT_TIMEOUT_MS = 1000
TIMEOUT_MS = 3000
MAX_BYTES = 16 * 1024 * 1024
# The list lags and may skip an instance once; so many readings in a row count as gone.
READINGS_UNTIL_GONE = 3
STATES = ("live", "leaving")


class ListUnreadable(Exception):
    """The list can't be fetched or is malformed; the last one stays in use."""


def fetch(url: str) -> bytes:
    """Return the body of the list; raises ListUnreadable."""
    import pycurl

    body = io.BytesIO()

    def write(data):
        # A short count makes curl end the transfer with an error.
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
    """Return the instances by name; raises ListUnreadable for malformed ones."""
    try:
        items = json.loads(data)
    except ValueError as exc:
        raise ListUnreadable(f"not JSON: {exc}") from exc
    if not isinstance(items, list):
        raise ListUnreadable("not a JSON list")
    found = {}
    for item in items:
        instance = _parse_instance(item)
        found[instance.name] = instance
    return found


def _text(item, key, default=None):
    value = item.get(key, default)
    if not isinstance(value, str) or (default is None and not value):
        raise ListUnreadable(f"{key}: found {value!r}, allowed: a string")
    return value


def _count(item, key):
    value = item.get(key)
    if type(value) is not int or not 0 < value < 1 << 31:
        raise ListUnreadable(f"{key}: found {value!r}, allowed: a whole number above 0")
    return value


def _parse_instance(item):
    if not isinstance(item, dict):
        raise ListUnreadable(f"found {item!r}, allowed: a mapping")
    role, state = _text(item, "role"), _text(item, "state", "live")
    if role not in ("entry", "endpoint", "control") or state not in STATES:
        raise ListUnreadable(f"role {role!r} with state {state!r} is not known")
    place = {key: _text(item, key) for key in ("address", "region", "failure_domain")}
    if role == "endpoint":
        return endpoint.Endpoint(
            name=_text(item, "id"),
            service=_text(item, "service"),
            slots=_count(item, "slots"),
            connections=_count(item, "connections"),
            state=state,
            **place,
        )
    link_address = _text(item, "link_address", "")
    return member.Member(_text(item, "id"), role, link_address=link_address, state=state, **place)


class InstanceDiff:
    """Finds changes; counts for how many readings in a row an instance was missing.

    ``names_members``: the list shows the instances of the system too.
    """

    def __init__(self, names_members: bool = True) -> None:
        self._names_members = names_members
        self._missing: dict[str, int] = {}

    def find_changes(
        self,
        cfg: configuration.Configuration,
        listed: dict,
        leaving: collections.abc.Set[str] = frozenset(),
        seen: collections.abc.Set[str] = frozenset(),
    ) -> list[changes.Change]:
        """Return the changes that lead from ``cfg`` to ``listed``; none for an empty list.

        ``leaving``: instances that report that they leave. ``seen``: instances that reported
        lately; they are not gone, whatever a list that lags shows.
        """
        if not listed:
            return []
        known: dict = dict(cfg.endpoints)
        if self._names_members:
            known |= cfg.members
        found = [change for item in listed.values() for change in _changes_of(cfg, item, leaving)]
        missing = [name for name in known if name not in listed and name not in seen]
        self._missing = {name: self._missing.get(name, 0) + 1 for name in missing}
        for name in missing:
            if self._missing[name] >= READINGS_UNTIL_GONE:
                in_members = name in cfg.members
                found.append(
                    changes.RemoveMember(name) if in_members else changes.RemoveEndpoint(name)
                )
        return found


def _changes_of(cfg, item, leaving):
    if isinstance(item, endpoint.Endpoint):
        return [changes.SetEndpoint(item)] if cfg.endpoints.get(item.name) != item else []
    old = cfg.members.get(item.name)
    if old and not item.link_address:
        # The platform's list need not know of it.
        item = dataclasses.replace(item, link_address=old.link_address)
    if old and old.state == "down" and item.state == "live":
        # Only a report of the instance itself ends this state.
        item = dataclasses.replace(item, state="down")
    elif item.state == "live" and item.name in leaving:
        # The list lags behind the instance's own report.
        item = dataclasses.replace(item, state="leaving")
    return [changes.SetMember(item)] if old != item else []
