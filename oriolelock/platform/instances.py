"""
oriolelock.platform.instances
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The platform's list of endpoints, page by page.
"""

import collections.abc
import json
import re
import urllib.parse

from oriolelock import events
from oriolelock.control import instance_list
from oriolelock.http1 import blocking
from oriolelock.model import endpoint, errors
from oriolelock.platform import quantities

__all__ = ["make_reader"]

CALL_TIMEOUT_S = 1.5
MAX_PAGES = 200
ADDRESS = re.compile(r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}")
STATES = {"ready": "live", "draining": "leaving"}

log = events.Events("instances")


def _rows(listed):
    """Yield each entry as a table, whichever way the list is laid out."""
    if isinstance(listed, dict) and isinstance(listed.get("columns"), list):
        rows = listed.get("rows")
        for row in rows if isinstance(rows, list) else ():
            if isinstance(row, list):
                yield dict(zip(listed["columns"], row, strict=False))
    elif isinstance(listed, list):
        yield from (row for row in listed if isinstance(row, dict))
    else:
        raise instance_list.ListUnreadable("no instances in the answer")


def _is_text(value):
    return isinstance(value, str) and bool(value)


def _endpoint(row, regions):
    """Return the endpoint in an entry, or None when it names none that can be used."""
    name, service = row.get("id"), row.get("service")
    address, zone, slots = row.get("address"), row.get("zone"), row.get("slots")
    if not (_is_text(name) and _is_text(service) and _is_text(zone) and zone in regions):
        return None
    if not _is_text(address) or not ADDRESS.fullmatch(address):
        return None
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        return None
    state = row.get("state")
    if not isinstance(state, str) or state not in STATES:
        return None
    try:
        cold_ms = quantities.read_ms(row.get("coldRemaining") or "0ms", "coldRemaining")
    except errors.InvalidData:
        return None
    born = row.get("born")
    if born is not None and (isinstance(born, bool) or not isinstance(born, int)):
        return None
    return endpoint.Endpoint(
        name=name,
        service=service,
        address=address,
        region=regions[zone],
        failure_domain=zone,
        slots=slots,
        # The limit on connections is that of its service.
        connections=0,
        state=STATES[state],
        cold=cold_ms > 0,
        started_ms=born or 0,
    )


def _page(address, token):
    query = "?" + urllib.parse.urlencode({"pageToken": token}) if token else ""
    try:
        answer = blocking.get(address, f"/instances{query}", CALL_TIMEOUT_S)
    except blocking.RequestFailed as exc:
        raise instance_list.ListUnreadable(str(exc)) from exc
    if answer.status != 200:
        raise instance_list.ListUnreadable(f"status {answer.status}")
    try:
        data = json.loads(answer.body)
    except (ValueError, RecursionError) as exc:
        raise instance_list.ListUnreadable(f"not JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise instance_list.ListUnreadable("the answer is no table")
    return data


def make_reader(
    address: tuple[str, int], regions: collections.abc.Mapping[str, str]
) -> collections.abc.Callable[[], dict[str, endpoint.Endpoint]]:
    """Return a function that reads the whole list; ``regions``: by failure domain.

    It raises ListUnreadable. Entries that can't be used are left out.
    """

    def read() -> dict[str, endpoint.Endpoint]:
        found: dict[str, endpoint.Endpoint] = {}
        token, skipped = "", 0
        for _ in range(MAX_PAGES):
            data = _page(address, token)
            for row in _rows(data.get("instances")):
                item = _endpoint(row, regions)
                if item is None:
                    skipped += 1
                else:
                    found.setdefault(item.name, item)
            token = data.get("nextPageToken")
            if not _is_text(token):
                break
        if skipped:
            log.usual("entries-skipped", count=skipped, used=len(found))
        return found

    return read
