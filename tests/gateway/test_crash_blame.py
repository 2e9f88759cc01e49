"""A request that crashes endpoints must be recognised among the others that they run.

The first request that was lost with an endpoint was blamed for its death, whichever it was: with
busy endpoints the one that crashed them went on, and sound ones were suspected.
"""

import random
import threading

import pytest

from oriolelock.admission import fingerprint as fingerprints
from oriolelock.admission import quarantine
from oriolelock.gateway import crash_blame
from oriolelock.model import changes, configuration, crash_record
from tests import waiting
from tests.gateway import conftest

CRASHER = "crasher"
WALL_S = 1_000_000.0


class Fleet:
    """The crash records of control, and the blame of each entry. Monotonic time starts at 0."""

    def __init__(self, entries):
        self.cfg = configuration.EMPTY
        self.now = 0.0
        self.reports = 0
        self.entries = [crash_blame.CrashBlame(self.report) for _ in range(entries)]

    def report(self, key, endpoint):
        self.reports += 1
        change = changes.ReportCrash(key, endpoint)
        self.cfg = configuration.apply(self.cfg, change, self.reports, WALL_S + self.now)

    def pass_time(self, duration_s):
        self.now += duration_s
        for entry in self.entries:
            entry.configure(self.cfg.crashes)

    @property
    def wall_s(self):
        return WALL_S + self.now

    def crash(self, endpoint, lost, health_check_s=0.05, work_s=0.1):
        """End an endpoint; ``lost``: fingerprints of its requests, by entry.

        They were sent ``work_s`` before.
        """
        for entry, names in zip(self.entries, lost, strict=True):
            for fingerprint in names:
                entry.record_loss(endpoint, fingerprint, self.now - work_s, self.now, self.wall_s)
        self.pass_time(health_check_s)
        for entry, names in zip(self.entries, lost, strict=True):
            if names:
                entry.record_death(endpoint, self.now, WALL_S + self.now)
        self.pass_time(0.3)

    def is_blocked(self, fingerprint):
        """Return at how many entries a request is quarantined."""
        return sum(e.is_blocked(fingerprint, self.now, WALL_S + self.now) for e in self.entries)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(("entries", "busy"), [(2, 9), (10, 27), (1, 3), (3, 0)])
def test_a_crashing_request_is_found_at_the_third_crash(seed, entries, busy):
    """It comes to any entry; each endpoint runs ``busy`` other requests, which are sound."""
    rng = random.Random(seed)
    fleet = Fleet(entries)
    sound = 0
    for crash in range(3):
        assert not fleet.is_blocked(CRASHER)
        lost = [[] for _ in range(entries)]
        for _ in range(busy):
            sound += 1
            rng.choice(lost).append(f"sound-{sound}")
        rng.choice(lost).append(CRASHER)
        for names in lost:
            rng.shuffle(names)
        fleet.crash(f"x{crash if rng.random() < 0.8 else 0}", lost)
        fleet.pass_time(rng.uniform(2.0, 20.0))
    if len({name for name, _ in fleet.cfg.crashes[crash_blame.suspicion_key(CRASHER)].deaths}) > 1:
        assert fleet.is_blocked(CRASHER) == entries
    assert not any(fleet.is_blocked(f"sound-{n}") for n in range(1, sound + 1))


def test_a_sound_request_that_another_took_down_twice_is_not_quarantined():
    """Its caller sent it again, and it met the crashing request a second time."""
    fleet = Fleet(2)
    fleet.crash("x1", [["sound", CRASHER], []])
    fleet.pass_time(2.0)
    fleet.crash("x2", [[], [CRASHER, "sound"]])
    fleet.pass_time(2.0)
    assert fleet.is_blocked("sound") == 0
    fleet.crash("x3", [[CRASHER], []])
    assert fleet.is_blocked("sound") == 0
    assert fleet.is_blocked(CRASHER) == 2


def test_a_request_is_not_blamed_for_an_endpoint_that_goes_down_again_and_again():
    """Requests for one object come to the same endpoint."""
    fleet = Fleet(2)
    for _ in range(5):
        fleet.crash("x1", [["popular"], ["popular"]])
        fleet.pass_time(5.0)
    assert fleet.is_blocked("popular") == 0


def test_a_request_that_completes_is_not_suspect():
    fleet = Fleet(1)
    for number in range(4):
        fleet.crash(f"x{number}", [["popular"]])
        fleet.entries[0].record_completion("popular", fleet.now)
        fleet.pass_time(5.0)
    assert fleet.is_blocked("popular") == 0
    assert fleet.reports == 1


def request(query=b"", caller=b"", path="/p"):
    headers = [(b"caller", caller)] if caller else []
    return fingerprints.make(("s", "host", "GET", path), b"", query, headers)


BAD = request(b"q=bad", b"c1")


def crash_in_turn(fleet, requests, others=(), seed=1, interval_s=1.0):
    """Play crashes by the requests, one each interval, until one is refused; returns how many.

    Each entry completes the ``others`` meanwhile, and some are lost with the endpoints.
    """
    rng = random.Random(seed)
    for count, bad in enumerate(requests):
        for entry in fleet.entries:
            for other in others:
                entry.record_completion(other, fleet.now)
        entry = rng.choice(fleet.entries)
        if entry.is_blocked(bad, fleet.now, WALL_S + fleet.now):
            return count
        lost = [[] for _ in fleet.entries]
        lost[fleet.entries.index(entry)].append(bad)
        for other in others:
            if rng.random() < 0.3:
                rng.choice(lost).append(other)
        for names in lost:
            rng.shuffle(names)
        fleet.crash(f"x{count % 4}", lost)
        fleet.pass_time(interval_s - 0.35)
    return len(requests)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("entries", [1, 2, 10])
@pytest.mark.parametrize(
    "others",
    [
        [request(b"q=%d" % n, b"c2") for n in range(20)],
        [request(b"", b"c2")],
        [request(b"q=bad", b"c%d" % n) for n in range(2, 9)],
        [request(b"q=%d" % n, b"c1") for n in range(20)],
        [request(b"bad=q", b"c1"), request(b"", b"c1")],
    ],
)
def test_completions_of_others_on_a_path_do_not_clear_a_crashing_request(others, entries, seed):
    """Guards against a crashing request that is trusted for the sake of others on its path."""
    fleet = Fleet(entries)
    assert crash_in_turn(fleet, [BAD] * 10, others, seed) == 3
    fleet.pass_time(1.0)
    assert fleet.is_blocked(BAD) == entries
    # Nor does it take the others with it.
    assert not any(fleet.is_blocked(other) for other in others)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("entries", [1, 2, 10])
@pytest.mark.parametrize(
    ("make_bad", "others", "sound"),
    [
        # The query changes, and no other caller sends the same headers.
        (lambda n: request(b"n=%d" % n, b"c1"), [request(b"q=1", b"c2")], request(b"n=99", b"c2")),
        # The headers change, and no other caller sends the same query.
        (lambda n: request(b"q=bad", b"t%d" % n), [request(b"q=1", b"c2")], request(b"q=2", b"t9")),
        # Both change, on a path of their own.
        (lambda n: request(b"n=%d" % n, b"t%d" % n), [request(path="/o")], request(path="/o2")),
    ],
)
def test_a_crashing_request_that_changes_each_time_is_known_by_what_stays(
    make_bad, others, sound, entries, seed
):
    """Guards against an identity that is cut too fine."""
    fleet = Fleet(entries)
    requests = [make_bad(n) for n in range(10)]
    assert crash_in_turn(fleet, requests, others, seed, interval_s=2.5) == 3
    fleet.pass_time(1.0)
    assert fleet.is_blocked(make_bad(50)) == entries
    assert not any(fleet.is_blocked(other) for other in (*others, sound))


def test_a_crashing_request_that_changes_each_time_is_found_beside_retries_of_its_entry():
    """Guards against a request that seems to be explained by its own retry."""
    fleet = Fleet(2)
    for number in range(3):
        bad = request(b"n=%d" % number, b"c1")
        fleet.crash(f"x{2 * number}", [[bad], []])
        if number < 2:
            fleet.crash(f"x{2 * number + 1}", [[bad], []])
        fleet.pass_time(2.0)
    assert fleet.is_blocked(request(b"n=9", b"c1")) == 2
    assert fleet.is_blocked(request(b"n=9", b"c2")) == 0


def test_requests_that_are_lost_at_once_say_nothing_of_their_path():
    """One crash takes several requests of a path with it that nobody else uses."""
    fleet = Fleet(2)
    fleet.crash("x1", [[BAD, request(b"q=1")], [request(b"q=2"), request(b"q=3")]])
    fleet.pass_time(2.0)
    fleet.crash("x2", [[request(b"q=4")], [BAD]])
    fleet.pass_time(2.0)
    assert not any(fleet.is_blocked(request(b"q=%d" % n)) for n in range(1, 9))
    fleet.crash("x3", [[BAD, request(b"q=5")], []])
    fleet.pass_time(2.0)
    assert fleet.is_blocked(BAD) == 2
    assert not any(fleet.is_blocked(request(b"q=%d" % n)) for n in range(1, 9))


def test_crashes_of_a_request_that_is_known_say_nothing_of_others_on_its_path():
    """Guards against a path that is refused for what a narrower level explains."""
    fleet = Fleet(1)
    bad = [request(b"q=bad", b"c%d" % n) for n in range(9)]
    assert crash_in_turn(fleet, bad, interval_s=2.5) == 3
    fleet.pass_time(10.0)
    fleet.crash("y", [[request(b"q=1", b"d1")]])
    fleet.pass_time(10.0)
    assert fleet.is_blocked(bad[8]) == 1
    assert fleet.is_blocked(request(b"q=2", b"d2")) == 0


def test_a_path_is_not_refused_where_others_of_it_complete():
    """Guards against sound requests that are refused for crashes at entries they don't come to."""
    fleet = Fleet(2)
    for number in range(3):
        fleet.entries[1].record_completion(request(b"q=%d" % number, b"d"), fleet.now)
        fleet.pass_time(4.0)
        fleet.crash(f"x{number}", [[request(b"n=%d" % number, b"t%d" % number)], []])
        fleet.pass_time(1.0)
    another = request(b"q=new", b"d")
    assert [e.is_blocked(another, fleet.now, fleet.wall_s) for e in fleet.entries] == [True, False]
    fleet.pass_time(quarantine.COMPLETED_TRUST_S)
    assert fleet.is_blocked(another) == 2


@pytest.mark.parametrize("entries", [1, 2, 5])
def test_a_request_that_completed_before_a_release_is_found_when_it_crashes_endpoints(entries):
    """Guards against a trust that outlives all that it was based on."""
    fleet = Fleet(entries)
    for _ in range(20):
        for entry in fleet.entries:
            entry.record_completion(BAD, fleet.now)
        fleet.pass_time(1.0)
    crashes = 0
    for number in range(30):
        entry = fleet.entries[number % entries]
        if entry.is_blocked(BAD, fleet.now, WALL_S + fleet.now):
            break
        lost = [[] for _ in fleet.entries]
        lost[number % entries].append(BAD)
        fleet.crash(f"x{number % 7}", lost)
        fleet.pass_time(1.0)
        crashes += 1
    # Each entry trusts it once; what it loses next counts.
    assert crashes <= entries + 2
    assert fleet.is_blocked(BAD) == entries


def test_a_popular_request_is_not_suspect_in_a_series_of_deaths_of_another_cause():
    """Endpoints end one after the other, and a request that is always in flight with each."""
    fleet = Fleet(3)
    for number in range(12):
        for entry in fleet.entries:
            entry.record_completion("popular", fleet.now)
        fleet.crash(f"x{number}", [["popular"], ["popular"], ["popular"]])
        fleet.pass_time(1.0)
    assert fleet.is_blocked("popular") == 0
    assert fleet.reports == 0


@pytest.mark.parametrize("interval_s", [0.5, 1.0, 1.5])
def test_a_crashing_request_that_changes_and_comes_often_is_found_soon(interval_s):
    """Ends within two seconds count as one, as they may have one cause."""
    fleet = Fleet(2)
    requests = [request(b"n=%d" % n, b"c1") for n in range(20)]
    count = crash_in_turn(fleet, requests, [request(b"q=1", b"c2")], interval_s=interval_s)
    assert (count - 1) * interval_s <= 2 * crash_blame.LOSS_WINDOW_S + 2 * interval_s


def lose_at_once(fleet, lost, sent_s):
    """End an endpoint for each fingerprint, all within a tenth of a second, as in a lost domain."""
    entry = fleet.entries[0]
    for number, name in enumerate(lost):
        entry.record_loss(f"x{number}", name, sent_s, fleet.now, fleet.wall_s)
    for number in range(len(lost)):
        fleet.now += 0.1 / len(lost)
        entry.record_death(f"x{number}", fleet.now, fleet.wall_s)
    fleet.pass_time(0.5)


@pytest.mark.parametrize("endpoints", [2, 3, 8])
def test_a_request_that_is_lost_with_a_failure_domain_stays_trusted(endpoints):
    """Guards against a popular request that is refused since several copies were lost at once."""
    fleet = Fleet(1)
    fleet.entries[0].record_completion("popular", fleet.now)
    fleet.pass_time(1.0)
    lose_at_once(fleet, ["popular"] * endpoints, fleet.now - 0.2)
    assert fleet.is_blocked("popular") == 0 and fleet.reports == 0
    assert fleet.entries[0].may_retry("popular", fleet.now, fleet.wall_s)


@pytest.mark.parametrize("endpoints", [2, 3, 8])
def test_requests_that_are_lost_with_a_failure_domain_say_nothing_of_their_path(endpoints):
    """Guards against a path that is refused since its few requests ran where a domain was lost."""
    fleet = Fleet(1)
    fleet.pass_time(1.0)
    lose_at_once(fleet, [request(b"q=%d" % n) for n in range(endpoints)], fleet.now - 0.2)
    fleet.pass_time(20.0)
    fleet.crash("y", [[request(b"q=another")]])
    assert fleet.is_blocked(request(b"q=new")) == 0


def test_endpoints_that_die_together_are_nobodys_fault():
    """A failure domain loses power: every popular request runs on some of its endpoints."""
    fleet = Fleet(1)
    entry = fleet.entries[0]
    for number in range(20):
        entry.record_loss(f"x{number}", "popular", -0.1, 0.0, WALL_S)
    for number in range(20):
        entry.record_death(f"x{number}", 0.1, WALL_S)
    fleet.pass_time(1.0)
    assert fleet.reports <= crash_blame.MAX_RELATED_DEATHS + 2
    for number in range(crash_blame.MAX_RELATED_DEATHS + 1, 20):
        assert not any(f"x{number}" in dict(c.deaths) for c in fleet.cfg.crashes.values())


def test_losses_that_are_noticed_after_the_death_are_suspects_too():
    fleet = Fleet(1)
    entry = fleet.entries[0]
    entry.record_loss("x1", "sound", -0.1, 0.0, WALL_S)
    entry.record_death("x1", 0.1, WALL_S)
    entry.record_loss("x1", CRASHER, 0.4, 0.5, WALL_S)
    assert set(fleet.cfg.crashes) == {crash_blame.suspicion_key(f) for f in ("sound", CRASHER)}


def test_a_lost_connection_to_an_endpoint_that_lives_is_nobodys_fault():
    fleet = Fleet(1)
    fleet.entries[0].record_loss("x1", "sound", -0.1, 0.0, WALL_S)
    # The endpoint dies later, by itself.
    fleet.entries[0].record_death("x1", crash_blame.LOSS_WINDOW_S + 0.1, WALL_S)
    assert fleet.reports == 0


def test_a_suspect_is_not_retried_by_the_entry():
    fleet = Fleet(2)
    fleet.crash("x1", [[CRASHER], []])
    for entry in fleet.entries:
        assert not entry.may_retry(CRASHER, fleet.now, WALL_S + fleet.now)
        assert entry.may_retry("other", fleet.now, WALL_S + fleet.now)
    fleet.entries[1].record_completion(CRASHER, fleet.now)
    assert fleet.entries[1].may_retry(CRASHER, fleet.now, WALL_S + fleet.now)


def test_reports_of_one_death_are_bounded_and_begin_with_known_suspects():
    fleet = Fleet(1)
    fleet.crash("x1", [[CRASHER]])
    fleet.pass_time(3.0)
    before = fleet.reports
    fleet.crash("x2", [[*(f"sound-{n}" for n in range(100)), CRASHER]])
    assert fleet.reports - before == crash_blame.MAX_SUSPECTS
    assert len(fleet.cfg.crashes[crash_blame.suspicion_key(CRASHER)].deaths) == 2


def test_older_builds_see_no_quarantine_in_suspicions():
    """They look up the fingerprint itself."""
    fleet = Fleet(1)
    for number in range(2):
        fleet.crash(f"x{number}", [["sound"]])
        fleet.pass_time(3.0)
    older = quarantine.Quarantine()
    older.configure(fleet.cfg.crashes)
    assert not older.is_blocked("sound", fleet.now, WALL_S + fleet.now)
    assert crash_record.QUARANTINE_DEATHS == 2


def test_all_requests_of_an_endpoint_that_crashes_are_suspects(gateway):
    """Over real connections: one of them crashes it while it runs the others."""
    crashed = threading.Event()

    def respond(conn, head, body):
        crashed.wait(10)
        return False

    raw = gateway.add_endpoint("x1", respond)
    gateway.configure(timeout_ms=8000.0, attempts=1)
    socks = []
    for number in range(4):
        socks.append(gateway.connect())
        request = conftest.make_request(b"/once/%d" % number, 6000, b"", b"id%d" % number)
        socks[-1].sendall(request)
    waiting.until(lambda: gateway.forwarded_requests() == 4)
    raw.close()
    crashed.set()
    waiting.until(lambda: len(gateway.crashes) == 4)
    assert gateway.crashes == ["x1"] * 4
    for sock in socks:
        sock.close()
