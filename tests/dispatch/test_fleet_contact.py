"""Whether an entry hears the others."""

import pytest

from oriolelock.dispatch import fleet_contact

PEERS = ("e2", "e3", "e4")


def make(peers=PEERS):
    fleet = fleet_contact.FleetContact()
    fleet.configure(peers)
    return fleet


def hear(fleet, now, peers=PEERS, is_initiated=True):
    fleet.tick(now)
    for peer in peers:
        fleet.record(peer, is_initiated, now)


def test_entry_without_a_configuration_is_not_informed():
    fleet = fleet_contact.FleetContact()
    fleet.record("e2", True, 0.0)
    assert not fleet.tick(5.0)
    assert not fleet.is_informed(5.0)


def test_only_entry_is_informed():
    assert make(peers=()).is_informed(0.0)


def test_entry_is_informed_once_it_hears_one_that_is_and_enough_others():
    fleet = make()
    hear(fleet, 0.1, ("e2",))
    assert not fleet.is_informed(0.1)
    hear(fleet, 0.2, ("e3",), is_initiated=False)
    assert fleet.is_informed(0.2)


@pytest.mark.parametrize("count", [1, 2])
def test_silence_of_the_others_ends_it(count):
    fleet = make(peers=PEERS[:count])
    hear(fleet, 0.1, PEERS[:count])
    for step in range(1, 20):
        fleet.tick(0.1 * step)
    assert fleet.is_informed(0.1 + fleet_contact.FRESH_S)
    assert not fleet.is_informed(0.2 + fleet_contact.FRESH_S)
    hear(fleet, 2.0, PEERS[:count])
    assert fleet.is_informed(2.0)


def test_too_few_of_the_others_are_not_enough():
    fleet = make()
    hear(fleet, 0.1)
    for step in range(2, 20):
        hear(fleet, 0.1 * step, ("e2",))
    assert not fleet.is_informed(1.9)


def test_strangers_say_nothing():
    fleet = make()
    hear(fleet, 0.1, ("x1", "x2", "x3"))
    assert not fleet.is_informed(0.1)


def test_entries_that_left_say_nothing():
    fleet = make()
    hear(fleet, 0.1)
    fleet.configure(("e4", "e5", "e6"))
    assert not fleet.is_informed(0.2)


def test_entry_that_met_no_informed_one_finds_so_once():
    fleet = make()
    hear(fleet, 0.1, ("e2", "e3"), is_initiated=False)
    found = []
    for step in range(2, 30):
        now = 0.1 * step
        if fleet.tick(now):
            found.append(now)
        for peer in ("e2", "e3"):
            fleet.record(peer, False, now)
    assert len(found) == 1
    assert found[0] == pytest.approx(0.1 + fleet_contact.ALONE_AFTER_S, abs=0.11)
    assert fleet.is_informed(2.9)


def test_entry_that_heard_all_others_need_not_wait():
    fleet = make()
    hear(fleet, 0.1, is_initiated=False)
    assert fleet.tick(0.2)
    assert fleet.is_informed(0.2)


def test_later_configurations_do_not_start_the_wait_anew():
    fleet = make()
    begin_s, found = 0.1, []
    for step in range(1, 16):
        hear(fleet, 0.1 * step, ("e2", "e3"), is_initiated=False)
        fleet.configure((*PEERS, f"n{step}"))
        if fleet.tick(0.1 * step + 0.05):
            found.append(0.1 * step + 0.05 - begin_s)
    assert len(found) == 1
    assert found[0] == pytest.approx(fleet_contact.ALONE_AFTER_S, abs=0.11)


def test_entry_that_hears_too_few_does_not_conclude_that_no_informed_one_is_left():
    """Guards against entries that are cut off and take themselves for the last ones."""
    fleet = make()
    for step in range(1, 50):
        fleet.record("e2", False, 0.1 * step)
        assert not fleet.tick(0.1 * step)
    assert not fleet.is_informed(4.9)


def test_entry_that_starts_anew_waits_for_one_that_is_informed():
    fleet = make()
    hear(fleet, 0.1)
    assert fleet.is_informed(0.1)
    for step in range(2, 20):
        fleet.tick(0.1 * step)
    fleet.start_anew()
    assert not fleet.is_informed(1.9)
    hear(fleet, 2.0, ("e2", "e3"), is_initiated=False)
    assert not fleet.is_informed(2.0)
    hear(fleet, 2.1, ("e2",))
    assert fleet.is_informed(2.1)


def test_datagrams_that_waited_during_a_pause_say_nothing():
    """Guards against entries that thaw and take the news of before for the present."""
    fleet = make()
    hear(fleet, 0.1)
    # Read before the first tick after the pause, and right after it.
    for peer in PEERS:
        fleet.record(peer, True, 3.0)
    assert not fleet.is_informed(3.0)
    hear(fleet, 3.0)
    hear(fleet, 3.0 + fleet_contact.PAUSE_HOLD_S / 2)
    assert not fleet.is_informed(3.0 + fleet_contact.PAUSE_HOLD_S / 2)
    hear(fleet, 3.01 + fleet_contact.PAUSE_HOLD_S)
    assert fleet.is_informed(3.01 + fleet_contact.PAUSE_HOLD_S)


def test_short_delay_of_the_process_is_no_pause():
    fleet = make()
    hear(fleet, 0.1)
    hear(fleet, 0.1 + 0.9 * fleet_contact.MAX_PAUSE_S)
    assert fleet.is_informed(0.1 + 0.9 * fleet_contact.MAX_PAUSE_S + 0.5)
