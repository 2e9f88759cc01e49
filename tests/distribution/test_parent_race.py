"""Guards against parents that count as unfit although they had no time to confirm."""

import concurrent.futures
import threading

import pytest

from oriolelock.distribution import errors, parent_finder, parent_race
from oriolelock.wire import channel, hello
from tests import fake_parent
from tests.distribution import held_link
from tests.wire import ending_connections

GREETING = hello.Hello(1, fake_parent.CLUSTER, fake_parent.TOKEN, "a", "entry", "i")


def run_race(addresses, interval_s):
    race = parent_race.ParentRace(GREETING, 5, 2.0, interval_s, first=2)
    found = race.run(addresses, threading.Event())
    found.link.close()
    return found.address, race.unfit


def test_a_parent_that_is_asked_at_the_same_time_and_is_slower_is_not_unfit():
    parent = fake_parent.FakeParent(fake_parent.make_config())
    slow = held_link.HeldLink(parent.address)
    slow.delay_s = 0.1
    try:
        assert run_race([slow.address, parent.address], 1.0) == (parent.address, set())
    finally:
        slow.close()
        parent.close()


def test_a_parent_is_found_in_the_first_round_over_a_full_link():
    """Guards against attempts that are given up before answers over such a link can arrive."""
    parent = fake_parent.FakeParent(fake_parent.make_config())
    full = held_link.HeldLink(parent.address)
    full.delay_s = 0.25
    try:
        race = parent_race.ParentRace(GREETING, 5, parent_finder.CONFIRMATION_LIMIT_S, 0.1)
        found = race.run([full.address], threading.Event())
        found.link.close()
        assert not found.was_spare
    finally:
        full.close()
        parent.close()


def test_a_connection_tells_who_was_asked_before_it():
    """For the log: who was asked in vain when a change came late."""
    parent = fake_parent.FakeParent(fake_parent.make_config())
    silent = held_link.HeldLink(parent.address)
    silent.hold()
    try:
        race = parent_race.ParentRace(GREETING, 5, 2.0, 0.1, first=1)
        found = race.run([silent.address, parent.address], threading.Event())
        found.link.close()
        assert found.asked == (silent.address, parent.address)
    finally:
        silent.close()
        parent.close()


def test_parents_that_refuse_or_had_long_to_answer_are_unfit():
    parent = fake_parent.FakeParent(fake_parent.make_config())
    silent = held_link.HeldLink(parent.address)
    silent.hold()
    gone = held_link.HeldLink(parent.address)
    gone.close()
    late = held_link.HeldLink(parent.address)
    late.delay_s = 0.15
    try:
        found, unfit = run_race([silent.address, gone.address, late.address], 0.1)
        assert found == late.address
        assert unfit == {silent.address, gone.address}
    finally:
        silent.close()
        late.close()
        parent.close()


def end_of_race(address):
    """Return what a race for one parent raises; fails if it goes on for 10 s."""
    stopping = threading.Event()
    race = parent_race.ParentRace(GREETING, 5, 1.0, 0.1)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(race.run, [address], stopping)
        try:
            return fut.exception(10)
        finally:
            stopping.set()


@pytest.mark.filterwarnings("ignore::pytest.PytestUnhandledThreadExceptionWarning")
def test_a_race_ends_when_its_attempts_end_in_an_unexpected_way(monkeypatch):
    """It waited for them without end, so that the entry looked for no other parent."""

    def connect(*args, **kwargs):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(channel, "connect", connect)
    assert isinstance(end_of_race(("127.0.0.1", 9)), errors.Disconnected)


def test_a_race_ends_when_connections_end_as_soon_as_they_are_open(monkeypatch):
    """Guards against the same, by what was seen: the socket was closed before its first use."""
    parent = fake_parent.FakeParent(fake_parent.make_config())
    ending_connections.end_first(monkeypatch, 100)
    try:
        assert isinstance(end_of_race(parent.address), errors.Disconnected)
    finally:
        parent.close()
