"""Guards against readings of the list that lose entries, or cost more calls than they need."""

import time

import pytest

from oriolelock.control import instance_list
from oriolelock.platform import instances
from tests.platform import listing


@pytest.fixture
def make_listing():
    opened = []

    def make(*args, **kwargs):
        opened.append(listing.Listing(*args, **kwargs))
        return opened[-1]

    yield make
    for listed in opened:
        listed.close()


def make_reader(listed, **kwargs):
    return instances.ListReader(listed.address, listed.regions, **kwargs)


def read(reader):
    found = {}
    for page in reader():
        instance_list.merge(found, page)
    return found


@pytest.mark.parametrize("round_trip_s", [0.0, 0.12])
def test_each_reading_finds_all_entries(make_listing, round_trip_s):
    listed = make_listing(430, round_trip_s=round_trip_s)
    reader = make_reader(listed)
    for _ in range(3):
        assert set(read(reader)) == set(listed.states)


def test_near_list_takes_a_call_a_page_over_one_connection(make_listing):
    listed = make_listing(210)
    reader = make_reader(listed)
    read(reader), read(reader)
    assert (listed.calls, listed.connections) == (10, 1)


def test_far_list_is_read_by_failure_domain_until_it_is_near_again(make_listing):
    listed = make_listing(430, round_trip_s=0.12)
    reader = make_reader(listed)
    read(reader)
    listed.calls = 0
    read(reader)
    assert listed.calls == 9
    listed.round_trip_s = 0.0
    read(reader)
    listed.calls = 0
    read(reader)
    assert listed.calls == 9 == len(listed.states) // 50 + 1


@pytest.mark.parametrize("round_trip_s", [0.0, 0.12])
def test_failed_call_ends_a_reading_with_an_error(make_listing, round_trip_s):
    """Else entries that were not read would be removed."""
    listed = make_listing(430, round_trip_s=round_trip_s)
    reader = make_reader(listed)
    read(reader)
    listed.fails = lambda query: query.get("pageToken") == "p-400" or query.get("zone") == "z4"
    found = {}
    with pytest.raises(instance_list.ListUnreadable):
        for page in reader():
            instance_list.merge(found, page)
    assert len(found) > 300


def test_calls_keep_within_the_rate(make_listing):
    """All replicas together have a rate; more calls are refused."""
    reader = make_reader(make_listing(20), calls_per_s=20.0)
    started_s = time.monotonic()
    calls = 14
    for _ in range(calls):
        read(reader)
    per_s = instances.RATE_SHARE * 20.0
    burst = instances.RATE_BURST_S * per_s
    assert time.monotonic() - started_s >= (calls - burst) / per_s - 0.01


def test_entry_on_two_pages_that_leaves_on_one_of_them_leaves(make_listing):
    listed = make_listing(1)
    page = next(iter(make_reader(listed)()))
    listed.states["i-0"] = "draining"
    later = next(iter(make_reader(listed)()))
    for first, second in ((page, later), (later, page)):
        found = {}
        instance_list.merge(found, first)
        instance_list.merge(found, second)
        assert found["i-0"].state == "leaving"
