"""
oriolelock.platform.instances
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reads the platform's list of endpoints.
"""

import collections
import collections.abc
import concurrent.futures
import ipaddress
import math
import queue
import re
import threading
import time
import urllib.parse

from oriolelock import clock, events
from oriolelock.control import instance_list
from oriolelock.http1 import blocking
from oriolelock.model import endpoint, errors
from oriolelock.platform import quantities
from oriolelock.wire import tolerant_json

__all__ = ["ListReader", "make_reader"]

CALL_TIMEOUT_S = 1.5
MAX_PAGES = 200
# Parsed, a list takes several times as much, and an instance has 296 MB.
MAX_LIST_BYTES = 8 * 1024 * 1024
# Of all replicas together, unless the settings say otherwise. One replica takes a part of it, as
# others read as well while they don't hear of its readings.
CALLS_PER_S = 50.0
RATE_SHARE = 0.45
RATE_BURST_S = 1.0
# For pages one after another.
LINKED_LIMIT_S = 0.5
# Failure domains that are read side by side.
MAX_LANES = 8
# Names are sent in headers and logs.
NAME = re.compile(r"[!-~]{1,200}")
PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535
# More than any machine has; sums over a fleet stay exact.
MAX_SLOTS = 100_000
# Unix milliseconds until the year 5138.
MAX_BORN_MS = 100_000_000_000_000
STATES = {"ready": "live", "draining": "leaving"}

log = events.Events("instances")


def _rows(listed):
    """Yield each entry as a table, whichever way the list is laid out."""
    columns = listed.get("columns") if isinstance(listed, dict) else None
    if isinstance(columns, list) and all(isinstance(name, str) for name in columns):
        rows = listed.get("rows")
        if not isinstance(rows, list):
            raise instance_list.ListUnreadable("no rows in the answer")
        for row in rows:
            yield dict(zip(columns, row, strict=False)) if isinstance(row, list) else {}
    elif isinstance(listed, list):
        yield from (row if isinstance(row, dict) else {} for row in listed)
    else:
        raise instance_list.ListUnreadable("no instances in the answer")


def _is_name(value):
    return isinstance(value, str) and NAME.fullmatch(value) is not None


def _is_whole(value, least, most):
    # A boolean is an integer in Python.
    return type(value) is int and least <= value <= most


def _is_address(value):
    host, _, port = value.partition(":") if isinstance(value, str) else ("", "", "")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _endpoint(row, regions):
    """Return the endpoint in an entry, or None when it names none that can be used."""
    name, service = row.get("id"), row.get("service")
    address, zone, slots = row.get("address"), row.get("zone"), row.get("slots")
    if not (_is_name(name) and _is_name(service) and _is_name(zone) and zone in regions):
        return None
    if not _is_address(address) or not _is_whole(slots, 1, MAX_SLOTS):
        return None
    state = row.get("state")
    if not isinstance(state, str) or state not in STATES:
        return None
    try:
        cold_ms = quantities.read_ms(row.get("coldRemaining") or "0ms", "coldRemaining")
    except errors.InvalidData:
        return None
    born = row.get("born")
    if born is not None and not _is_whole(born, 0, MAX_BORN_MS):
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


class _Rate:
    """A bound on calls, shared by the threads of a reader."""

    def __init__(self, calls_per_s: float):
        self._per_s = calls_per_s
        self._lock = threading.Lock()
        self._room, self._at_s = calls_per_s * RATE_BURST_S, clock.monotonic_s()

    def wait_s(self, now: float) -> float:
        """Count a call; returns seconds until it may be made."""
        with self._lock:
            gained = (now - self._at_s) * self._per_s
            self._room = min(self._per_s * RATE_BURST_S, self._room + gained) - 1.0
            self._at_s = now
            return max(0.0, -self._room / self._per_s)


class ListReader:
    """Reads the list of endpoints, again and again; one reading at a time.

    ``regions``: by failure domain; ``calls_per_s``: bound on calls of all replicas together.

    The pages of a list are linked, so that a long list that is far away takes many round trips.
    Then the list of each failure domain is read on its own, side by side.
    """

    def __init__(
        self,
        address: tuple[str, int],
        regions: collections.abc.Mapping[str, str],
        calls_per_s: float = CALLS_PER_S,
    ):
        self._address = address
        self._regions = regions
        self._rate = _Rate(RATE_SHARE * calls_per_s)
        # Clients that no thread uses now.
        self._idle: collections.deque[blocking.Client] = collections.deque()
        self._executor: concurrent.futures.ThreadPoolExecutor | None = None
        self._is_split = False
        # Entries on the fullest page so far.
        self._page_entries = 1
        # Of the present reading.
        self._call_times_s: list[float] = []
        self._entries = 0
        self._left_bytes = MAX_LIST_BYTES

    def __call__(self) -> collections.abc.Iterator[instance_list.Page]:
        """Yield the pages of one reading as they arrive; raises ListUnreadable.

        The list was read as a whole if it does not raise. Entries that can't be used are left out.
        """
        self._call_times_s, self._entries, self._left_bytes = [], 0, MAX_LIST_BYTES
        if not self._is_split:
            is_complete = yield from self._read_linked()
            if is_complete:
                return
        yield from self._read_domains()
        mean_call_s = sum(self._call_times_s) / max(1, len(self._call_times_s))
        pages = math.ceil(self._entries / self._page_entries)
        self._is_split = pages * mean_call_s > LINKED_LIMIT_S

    def _read_linked(self):
        """Yield one page after another; returns False if that takes too long."""
        started_s = clock.monotonic_s()
        for page in self._pages({}):
            yield page
            if page.is_last:
                return True
            if clock.monotonic_s() - started_s > LINKED_LIMIT_S:
                log.notable("read-by-domain", call_s=max(self._call_times_s))
                return False
        return True

    def _read_domains(self):
        if self._executor is None:
            self._executor = concurrent.futures.ThreadPoolExecutor(MAX_LANES, "instance-page")
        arrived: queue.SimpleQueue = queue.SimpleQueue()

        def read_domain(domain):
            try:
                for page in self._pages({"zone": domain}):
                    arrived.put(page)
                arrived.put(None)
            except instance_list.ListUnreadable as exc:
                arrived.put(exc)
            except Exception as exc:
                # The reading would wait for this failure domain for ever.
                log.notable("read-failed", domain=domain, reason=repr(exc))
                arrived.put(instance_list.ListUnreadable(repr(exc)))

        for domain in self._regions:
            self._executor.submit(read_domain, domain)
        unfinished, failure = len(self._regions), None
        while unfinished:
            item = arrived.get()
            if isinstance(item, instance_list.Page):
                yield item
                continue
            unfinished -= 1
            failure = item or failure
        if failure is not None:
            raise failure

    def _pages(self, query):
        """Yield the linked pages that a query begins; raises ListUnreadable."""
        token = ""
        for _ in range(MAX_PAGES):
            asked = {**query, "pageToken": token} if token else query
            data, asked_s = self._call(asked)
            token = data.get("nextPageToken")
            if not isinstance(token, str | None):
                raise instance_list.ListUnreadable("the next page is not known")
            is_last = not token
            found = self._endpoints(data)
            self._entries += len(found)
            self._page_entries = max(self._page_entries, len(found))
            yield instance_list.Page(found, asked_s, is_last)
            if is_last:
                return
        raise instance_list.ListUnreadable(f"over {MAX_PAGES} pages")

    def _endpoints(self, data):
        found: dict[str, endpoint.Endpoint] = {}
        skipped = 0
        for row in _rows(data.get("instances")):
            item = _endpoint(row, self._regions)
            if item is None:
                skipped += 1
            else:
                found.setdefault(item.name, item)
        if skipped:
            log.usual("entries-skipped", count=skipped, used=len(found))
        return found

    def _call(self, query):
        """Return a page as a table, and when it was asked for; raises ListUnreadable."""
        time.sleep(self._rate.wait_s(clock.monotonic_s()))
        client = self._idle.pop() if self._idle else blocking.Client(self._address)
        target = "/instances" + ("?" + urllib.parse.urlencode(query) if query else "")
        asked_s = clock.monotonic_s()
        # Pages that arrive side by side share what is left.
        max_bytes = max(0, self._left_bytes // (MAX_LANES if "zone" in query else 1))
        try:
            answer = client.get(target, CALL_TIMEOUT_S, max_bytes)
        except blocking.RequestFailed as exc:
            raise instance_list.ListUnreadable(str(exc)) from exc
        finally:
            self._idle.append(client)
            self._call_times_s.append(clock.monotonic_s() - asked_s)
        self._left_bytes -= len(answer.body)
        return _parse_page(answer), asked_s


def _parse_page(answer):
    if answer.status != 200:
        raise instance_list.ListUnreadable(f"status {answer.status}")
    try:
        data = tolerant_json.loads(answer.body)
    except ValueError as exc:
        raise instance_list.ListUnreadable(f"not JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise instance_list.ListUnreadable("the answer is no table")
    return data


def make_reader(
    address: tuple[str, int],
    regions: collections.abc.Mapping[str, str],
    calls_per_s: float = CALLS_PER_S,
) -> collections.abc.Callable[[], collections.abc.Iterator[instance_list.Page]]:
    """Return a function that yields the pages of the list; see ``ListReader``."""
    return ListReader(address, regions, calls_per_s)
