"""Which ends of connections are signs that an endpoint has ended."""

import pytest

from oriolelock import clock
from oriolelock.gateway import restart_signs
from tests.dispatch import builders


class FakeLoop:
    """Calls what is due once ``advance`` is called."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        self._calls = []
        monkeypatch.setattr(clock, "monotonic_s", lambda: self.now)

    def call_later(self, delay_s, callback):
        self._calls.append((self.now + delay_s, callback))

    def advance(self, duration_s):
        self.now += duration_s
        due = [callback for at_s, callback in self._calls if at_s <= self.now]
        self._calls = [item for item in self._calls if item[0] > self.now]
        for callback in due:
            callback()


class FakeConnection:
    """``outbound.Outbound`` as far as signs use it."""

    def __init__(self, now):
        self.on_closed = lambda conn: None
        self.was_ended_by_peer = False
        self.was_in_use = self.was_reset = False
        self.connected_s = self.idle_since_s = now
        self.usable_until_s = now + 4.0

    def end(self, by_peer=True, in_use=False, reset=False):
        self.was_ended_by_peer, self.was_in_use = by_peer, in_use
        self.was_reset = reset
        self.on_closed(self)


class Rig:
    """An entry's connections to endpoints ``x0`` and so on; ``found``: (endpoint, reason,
    whether it is clear)."""

    def __init__(self, monkeypatch, endpoints=8):
        self.loop = FakeLoop(monkeypatch)
        cfg = builders.configure([builders.make_endpoint(f"x{n}") for n in range(endpoints)])
        self.chooser = builders.make_chooser(cfg)
        self.found = []
        # Endpoints of which the entry was unsure before their sign.
        self.unsure_before = []
        self.signs = restart_signs.RestartSigns(self.loop, self.chooser, self._record)

    def _record(self, view, *sign):
        self.found.append((view.endpoint.name, *sign))
        if self.is_unsure(view.endpoint.name):
            self.unsure_before.append(view.endpoint.name)

    def is_unsure(self, name):
        digest = self.view(name).restart_digest
        return self.chooser.restarts.unsure_age_s(digest, self.loop.now) is not None

    def view(self, name):
        return self.chooser.views[name]

    def connect(self, *names):
        """Open a connection to each endpoint."""
        conns = []
        for name in names:
            conn = FakeConnection(self.loop.now)
            self.signs.watch(self.view(name), conn, True, self.loop.now)
            conns.append(conn)
        return conns

    def judged(self):
        self.loop.advance(restart_signs.JUDGE_DELAY_S)
        return [name for name, *_ in self.found]


@pytest.fixture
def rig(monkeypatch):
    return Rig(monkeypatch)


def test_end_of_all_connections_is_a_sign(rig):
    conns = rig.connect("x0", "x0", "x1")
    conns[0].end(in_use=True)
    conns[1].end()
    assert rig.found == []
    assert rig.judged() == ["x0"]


def test_end_of_one_of_several_connections_is_no_sign(rig):
    first, _ = rig.connect("x0", "x0")
    first.end(in_use=True)
    assert rig.judged() == []


def test_connection_that_this_entry_closed_is_no_sign(rig):
    (conn,) = rig.connect("x0")
    conn.end(by_peer=False)
    assert rig.judged() == []
    assert rig.view("x0").contact.open_count == 0


def test_new_connection_does_not_hide_the_end_of_all_earlier_ones(rig):
    """Guards against an endpoint that is back before its end is judged."""
    (conn,) = rig.connect("x0")
    conn.end()
    rig.loop.advance(restart_signs.JUDGE_DELAY_S / 3)
    rig.connect("x0")
    assert rig.judged() == ["x0"]


def test_idle_connection_past_its_time_is_no_sign(rig):
    (conn,) = rig.connect("x0")
    rig.loop.advance(4.0)
    conn.end()
    assert rig.judged() == []


def test_idle_timeout_of_a_services_endpoints_is_learned_from_doubts_that_prove_wrong(rig):
    (conn,) = rig.connect("x0")
    rig.loop.advance(2.0)
    conn.end()
    assert rig.judged() == ["x0"]
    rig.signs.record_settled(rig.view("x0"), False)
    (other,) = rig.connect("x1")
    rig.loop.advance(1.9)
    other.end()
    assert rig.judged() == ["x0"]


def test_end_after_a_short_idle_time_stays_a_sign_once_the_timeout_is_known(rig):
    (conn,) = rig.connect("x0")
    rig.loop.advance(2.0)
    conn.end()
    rig.judged()
    rig.signs.record_settled(rig.view("x0"), False)
    (other,) = rig.connect("x1")
    rig.loop.advance(0.5)
    other.end()
    assert rig.judged() == ["x0", "x1"]


def test_restart_teaches_no_idle_timeout(rig):
    (conn,) = rig.connect("x0")
    rig.loop.advance(2.0)
    conn.end()
    rig.judged()
    rig.signs.record_settled(rig.view("x0"), True)
    (other,) = rig.connect("x1")
    rig.loop.advance(2.5)
    other.end()
    assert rig.judged() == ["x0", "x1"]


def test_few_endpoints_that_end_together_are_each_in_doubt(rig):
    conns = rig.connect("x0", "x1", "x2", "x3", "x4", "x5")
    for conn in conns[:3]:
        conn.end()
    assert rig.judged() == ["x0", "x1", "x2"]
    assert all(is_clear for *_, is_clear in rig.found)


def test_most_endpoints_that_end_together_are_unclear_signs_and_not_none(rig):
    """Guards against a crash of most endpoints that each entry takes for its own fault."""
    conns = rig.connect("x0", "x1", "x2", "x3", "x4", "x5")
    for conn in conns[:5]:
        conn.end()
    assert rig.judged() == ["x0", "x1", "x2", "x3", "x4"]
    assert not any(is_clear for *_, is_clear in rig.found)


def test_endpoints_are_not_unsure_before_their_ends_are_told(rig):
    """Guards against ends of most endpoints that an entry keeps to itself."""
    conns = rig.connect("x0", "x1", "x2", "x3", "x4", "x5")
    rig.loop.advance(1.0)
    for conn in conns[:5]:
        conn.end()
    assert rig.judged() == ["x0", "x1", "x2", "x3", "x4"]
    assert rig.unsure_before == []
    assert rig.is_unsure("x6") and rig.is_unsure("x7")


def test_many_refusals_are_unclear_signs(rig):
    for n in range(6):
        rig.signs.record_refused(rig.view(f"x{n}"), rig.loop.now)
    assert [(name, is_clear) for name, _, is_clear in rig.found] == [
        ("x0", True),
        ("x1", True),
        *((f"x{n}", False) for n in range(2, 6)),
    ]


def test_reset_is_a_sign_though_other_connections_seem_open(rig):
    """Guards against silent ends, after which each connection is reset when it is used next."""
    first, _ = rig.connect("x0", "x0")
    rig.loop.advance(1.0)
    first.end(in_use=True, reset=True)
    assert rig.judged() == ["x0"]


def test_reset_beside_fresh_responses_is_no_sign(rig):
    first, _ = rig.connect("x0", "x0")
    rig.loop.advance(1.0)
    rig.view("x0").contact.heard(rig.loop.now)
    first.end(in_use=True, reset=True)
    assert rig.judged() == []


def test_refused_connection_is_a_sign(rig):
    rig.signs.record_refused(rig.view("x0"), rig.loop.now)
    assert rig.found == [("x0", "refused", True)]


def test_refusal_by_an_endpoint_with_open_connections_is_no_sign(rig):
    """Guards against doubts of endpoints that have too many connections."""
    rig.connect("x0")
    rig.signs.record_refused(rig.view("x0"), rig.loop.now)
    assert rig.judged() == []


def test_refusal_before_the_ends_of_connections_are_noticed_is_a_sign(rig):
    (conn,) = rig.connect("x0")
    rig.signs.record_refused(rig.view("x0"), rig.loop.now)
    conn.end()
    assert rig.judged() == ["x0"]


def test_each_end_is_told_once(rig):
    conns = rig.connect("x0", "x0", "x0")
    for conn in conns:
        conn.end(in_use=True)
    rig.judged()
    rig.loop.advance(1.0)
    assert rig.found == [("x0", "connections-ended", True)]
