"""Settings, the list of endpoints, lookups and headers of the platform."""

import json
import socket
import threading

import pytest

from oriolelock.control import instance_list
from oriolelock.http1 import messages
from oriolelock.model import member
from oriolelock.platform import fields, headers, instances, lookups
from oriolelock.settings import errors

ENTRY = """nodeName=front-a-1
ip=10.1.0.13
zone=z1
region=a
zones.z1=a
zones.z2=b
listen.front=10.1.0.13:8641
listen.ready=10.1.0.13:8640
listen.directory=10.1.0.13:8644
internalPortRange=7620,7635
seeds=10.1.0.15:8649,10.2.0.20:8649
bounds=drain=3000ms,grace=6s,retryBudgetRatio=0.2,budgetWindow=10s,budgetExtraRetries=60
newField=whatever
"""
REPLICA = ENTRY + "listen.control=10.1.0.13:8649\ndataDir=/data/x\nfaultTolerance.machines=2\n"
COLUMNS = ["service", "address", "zone", "version", "slots", "state", "coldRemaining", "id", "born"]


def read(tmp_path, text):
    path = tmp_path / "settings"
    path.write_text(text)
    return fields.read(str(path))


def test_settings_of_an_entry(tmp_path):
    cfg = read(tmp_path, ENTRY).gateway()
    assert cfg.listen == ("10.1.0.13", 8641)
    assert cfg.link_listen == ("10.1.0.13", 7620)
    assert cfg.control == (("10.1.0.15", 7620), ("10.2.0.20", 7620))
    assert (cfg.retry_ratio, cfg.retry_allowance, cfg.grace_s) == (0.2, 60.0, 6.0)


def test_settings_of_a_replica(tmp_path):
    cfg = read(tmp_path, REPLICA).control()
    assert cfg.name == "10.1.0.13:7620"
    assert cfg.seeds == (("10.1.0.15", 7620), ("10.2.0.20", 7620))
    assert cfg.min_voters == 5


@pytest.mark.parametrize(
    "wrong",
    [
        ("listen.front=10.1.0.13:8641", "listen.front=nowhere"),
        ("internalPortRange=7620,7635", "internalPortRange=x"),
        ("ip=10.1.0.13\n", ""),
        ("grace=6s", "grace=soon"),
        ("budgetExtraRetries=60", "budgetExtraRetries=many"),
    ],
)
def test_wrong_settings_name_the_key(tmp_path, wrong):
    with pytest.raises(errors.SettingsError) as caught:
        read(tmp_path, ENTRY.replace(*wrong)).gateway()
    assert len(str(caught.value).splitlines()) == 1


def test_a_missing_file_is_a_settings_error():
    with pytest.raises(errors.SettingsError):
        fields.read("/nowhere/at/all")


def row(**more):
    values = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldRemaining": "0ms",
        "id": "i-1",
        "born": None,
    }
    values.update(more)
    return [values[name] for name in COLUMNS]


class Pages:
    """Serves pages of rows as JSON; anything that is no list as it stands."""

    def __init__(self, *pages):
        self._pages = pages
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = self._sock.getsockname()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        for number, page in enumerate(self._pages):
            conn, _ = self._sock.accept()
            with conn:
                conn.recv(65536)
                body = page
                if isinstance(page, list):
                    last = number == len(self._pages) - 1
                    listed = {"columns": COLUMNS, "rows": page}
                    token = None if last else f"p-{number}"
                    body = json.dumps({"instances": listed, "nextPageToken": token}).encode()
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def list_of(*pages):
    """Return the endpoints in all pages."""
    listed = {}
    for page in instances.make_reader(Pages(*pages).address, {"z1": "a", "z2": "b"})():
        instance_list.merge(listed, page)
    return listed


def test_all_pages_are_read():
    found = list_of([row()], [row(id="i-2", zone="z2", state="draining", coldRemaining="1.5s")])
    assert found["i-1"].region == "a"
    assert not found["i-1"].cold
    second = found["i-2"]
    assert (second.state, second.failure_domain, second.cold) == ("leaving", "z2", True)


@pytest.mark.parametrize(
    "bad",
    [
        row(id=None),
        row(id="i-2", address="nowhere"),
        row(id="i-2", address=7),
        row(id="i-2", zone="moon"),
        row(id="i-2", slots="3"),
        row(id="i-2", slots=True),
        row(id="i-2", slots=0),
        row(id="i-2", state="dancing"),
        row(id="i-2", state=["ready"]),
        row(id="i-2", coldRemaining="later"),
        row(id="i-2", born="today"),
        row(id="i-2", service={}),
        ["short"],
        "no row",
    ],
)
def test_entries_of_other_writers_are_left_out(bad):
    assert list(list_of([bad, row(), bad])) == ["i-1"]


ODD_VALUES = [
    (b'"slots"', b"9" * 5000),
    (b'"slots"', b"9" * 400),
    (b'"slots"', b"1e999"),
    (b'"slots"', b"NaN"),
    (b'"slots"', b"100001"),
    (b'"slots"', b"3.0"),
    (b'"born"', b"9" * 400),
    (b'"born"', b"-1"),
    (b'"born"', b"1e400"),
    (b'"coldRemaining"', b'"' + b"9" * 400 + b's"'),
    (b'"coldRemaining"', b"1e999"),
    (b'"address"', b'"10.0.0.1:65536"'),
    (b'"address"', b'"10.0.0.1:0"'),
    (b'"address"', b'"10.0.0.1:99999"'),
    (b'"address"', b'"10.0.0.256:80"'),
    (b'"address"', b'"10.0.0.1:8\xd9\xa0"'),
    (b'"id"', b'"i-2\\r\\nX-Smuggled: 1"'),
    (b'"id"', b'"i-\xff"'),
    (b'"id"', b'"' + b"i" * 5000 + b'"'),
    # No JSON: one entry must not make the whole list unreadable.
    (b'"id"', b'"i-\x00\x8f\x1b"'),
    (b'"id"', b'"i-\n2"'),
    (b'"id"', b'"i-\\q2"'),
    (b'"id"', b'"i-\\ud8"'),
    (b'"id"', b'"i-"2"'),
    (b'"id"', b"i-2"),
    (b'"id"', b"'i-2'"),
    (b'"slots"', b"0x9"),
    (b'"slots"', b"09"),
    (b'"slots"', b" "),
    (b'"slots"', b"True"),
    (b'"address"', b'"10.0.0.1:80" "10.0.0.2:80"'),
    (b'"zone"', b'{"a":}'),
    (b'"zone"', b"[1 2]"),
    (b'"zone"', b"[" * 100_000 + b"]" * 100_000),
    # Just within what the parser takes.
    (b'"coldRemaining"', b"[" * 900 + b"]" * 900),
    (b'"zone"', b"[" * 900 + b"]" * 900),
    (b'"version"', b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
]


@pytest.mark.parametrize("layout", ["columns", "tables"])
@pytest.mark.parametrize(("field", "value"), ODD_VALUES)
def test_odd_entry_is_left_out_and_the_others_are_followed(field, value, layout):
    def entry(name, odd=None):
        values = dict(zip(COLUMNS, row(id=name), strict=True))
        texts = {json.dumps(k).encode(): json.dumps(v).encode() for k, v in values.items()}
        if odd:
            texts[field] = odd
        if layout == "columns":
            return b"[" + b",".join(texts.values()) + b"]"
        return b"{" + b",".join(k + b":" + v for k, v in texts.items()) + b"}"

    rows = b",".join([entry("i-1"), entry("i-2", value), entry("i-3")])
    listed = b"[" + rows + b"]"
    if layout == "columns":
        listed = b'{"columns":%s,"rows":%s}' % (json.dumps(COLUMNS).encode(), listed)
    found = list_of(b'{"instances":%s,"nextPageToken":null}' % listed)
    # A version that can't be read is not used, so that its entry is fine.
    assert set(found) - {"i-2"} == {"i-1", "i-3"}
    assert ("i-2" in found) == (field == b'"version"')


@pytest.mark.parametrize(
    "page",
    [
        b"not json",
        b"[]",
        b'{"instances":7}',
        b"\xff",
        b'{"instances":{"columns":["id"],"rows":7},"nextPageToken":null}',
        b'{"instances":{"columns":["id"],"rows":[]][[,]},"nextPageToken":null}',
        b'{"instances":{"columns":["id"],"rows":[]},"nextPageToken":7}',
        b'{"instances":{"columns":["id"],"rows":[]},"nextPageToken":"p}',
        b'{"instances":{"columns":["id"],"rows":[["i-1"],["i-2"',
    ],
)
def test_a_list_that_cannot_be_read_is_an_error(page):
    with pytest.raises(instance_list.ListUnreadable):
        list_of(page)


def test_a_list_without_end_is_an_error():
    """Each page is within its own limit; all of them together would fill the memory."""
    size = instances.MAX_LIST_BYTES // 3
    rows = [[row(id=f"i-{page}", version="v" * size)] for page in range(4)]
    assert len(list_of(*rows[:2])) == 2
    with pytest.raises(instance_list.ListUnreadable):
        list_of(*rows)


def test_lookup_question_and_answer():
    target = b"/oriolelock/resolve?name=h.example&region=a&zone=z1"
    asked = lookups.question(messages.Request(b"GET", target, ()))
    assert asked == ("h.example", "a", "z1")
    assert lookups.question(messages.Request(b"GET", b"/other", ())) is None
    found = member.Member("e", "entry", "10.0.0.1:1", "", "a", "z1")
    assert json.loads(lookups.answer([found]).body)["addresses"] == ["10.0.0.1:1"]
    assert lookups.answer([]).status == 503


@pytest.mark.parametrize("value", [b"", b"1,2", b"1,2,x", b"a"])
def test_load_that_cannot_be_read_is_no_load(value):
    assert headers.DIALECT.parse_load(value) is None


def test_load_is_read():
    load = headers.DIALECT.parse_load(b"3,1,8")
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
