"""Sums what a change can wait for on its way to an entry, from the limits that the code uses."""

import pytest

from oriolelock.control import instance_monitor, shared_reads
from oriolelock.distribution import (
    parent_finder,
    parent_race,
    pings,
    publisher,
    report_schedule,
    reports,
    spare_connection,
    tree,
    uplink,
)

# From the acknowledgement until all entries in touch use the change.
IN_USE_S = 2.5
CONTACT_S = 4.0
ROUND_TRIP_S = 0.07
# Connection, upgrade, greeting, and a subscription with the leader's read behind it.
SUBSCRIPTION_ROUND_TRIPS = 7
# Over a link on which packets wait half a second; those that wait longer make an instance slow.
FULL_ROUND_TRIP_S = 0.5
# Entries and replicas are asked by turns, and two replicas may be lost: the third one is the sixth.
UNFIT = 5
TARGET_ENTRIES_OF_A_DOMAIN = 95


def search_s():
    """Return the longest time until the first parent that is well has confirmed.

    The one with the spare connection is asked first, alone, and may be unfit as well.
    """
    races_s = UNFIT * parent_finder.NEXT_RACE_INTERVAL_S
    subscription_s = SUBSCRIPTION_ROUND_TRIPS * ROUND_TRIP_S + shared_reads.INTERVAL_S
    return races_s + parent_race.POLL_INTERVAL_S / 2 + subscription_s + uplink.SEARCH_POLL_S


@pytest.mark.parametrize("limit_s", [uplink.SUSPECT_AFTER_S, uplink.SUSPECT_RELAY_AFTER_S])
def test_a_change_is_used_in_time_when_a_parent_falls_silent(limit_s):
    assert limit_s + search_s() <= IN_USE_S


@pytest.mark.parametrize("limit_s", [uplink.SUSPECT_AFTER_S, uplink.SUSPECT_RELAY_AFTER_S])
def test_a_change_is_used_in_time_over_a_full_link_when_the_spare_connection_is_well(limit_s):
    """The subscription and the leader's read behind it, and the way of the last word before."""
    asked_s = FULL_ROUND_TRIP_S + 2 * ROUND_TRIP_S + shared_reads.INTERVAL_S
    late_s = FULL_ROUND_TRIP_S / 2
    assert late_s + limit_s + uplink.SEARCH_POLL_S + asked_s <= IN_USE_S


def test_an_entry_whose_parent_is_lost_reports_again_before_it_counts_as_gone():
    """Its last report came just before the loss; the leader answers over the spare connection."""
    found_s = uplink.SUSPECT_RELAY_AFTER_S + uplink.SLOW_PARENT_GRACE_S + uplink.SEARCH_POLL_S
    asked_s = 3 * ROUND_TRIP_S + shared_reads.INTERVAL_S
    late_s = (
        report_schedule.REPORT_INTERVAL_S + found_s + asked_s + instance_monitor.RELAY_INTERVAL_S
    )
    assert late_s <= reports.SEEN_LIMIT_S


def test_a_spare_connection_that_ends_is_replaced_before_it_is_missed():
    connected_s = SUBSCRIPTION_ROUND_TRIPS * ROUND_TRIP_S
    assert spare_connection.MAX_DELAY_S + connected_s < IN_USE_S
    # When an entry has been there for so long, it must follow changes in time.
    assert spare_connection.FIRST_DELAY_S + connected_s < CONTACT_S


def test_a_change_is_used_in_time_when_connections_end_again_and_again():
    assert parent_finder.BACKOFF_MAX_S + search_s() <= IN_USE_S


def test_all_that_may_be_unfit_are_asked_beside_the_first_that_is_well():
    assert parent_race.MAX_PARALLEL_ATTEMPTS > UNFIT


def test_a_parent_that_is_well_is_not_suspected():
    """The oldest word of the leader: an interval, its read, and each hop, with the pings that are
    kept for long at all of them and one that is kept for less."""
    word_s = publisher.CONFIRM_INTERVAL_S + 2 * ROUND_TRIP_S
    below_replica_s = word_s + ROUND_TRIP_S / 2 + shared_reads.INTERVAL_S
    hops = tree.depth(TARGET_ENTRIES_OF_A_DOMAIN)
    assert below_replica_s + pings.SLOW_S < uplink.SUSPECT_AFTER_S
    kept_s = hops * pings.FAST_S
    below_entries_s = below_replica_s + hops * ROUND_TRIP_S / 2 + kept_s + pings.SLOW_S
    assert below_entries_s < uplink.SUSPECT_RELAY_AFTER_S
