"""Exchange of endpoint observations between entries."""

import random
import socket
import time

import pytest

from oriolelock.dispatch import endpoint_limits, endpoint_view, observation
from oriolelock.gateway import gossip, signing

OBSERVATIONS = [
    observation.Observation(7, 0, endpoint_view.Load(1, 2, 3)),
    observation.Observation(4_000_000_000, 9, None),
]


def test_encoded_observations_are_decoded():
    assert gossip.decode(gossip.encode(OBSERVATIONS, "token"), "token") == OBSERVATIONS


LIMITS = [
    observation.LimitReport(7, 5.1, 0.25),
    observation.LimitReport(4_000_000_000, endpoint_limits.UNLIMITED, 0.0),
]


def test_encoded_limits_are_decoded():
    assert gossip.decode(gossip.encode_limits(LIMITS, "token"), "token") == LIMITS


def test_largest_datagram_of_limits_fits_the_size_limit():
    largest = observation.LimitReport(2**32 - 1, 1.0 / 3.0, 60.0)
    data = gossip.encode_limits([largest] * gossip.MAX_LIMITS_PER_DATAGRAM, "token")
    assert len(data) <= gossip.MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    "row",
    [(1, 2.0), (1, -1.0, 0), (1, float("inf"), 0), (1, float("nan"), 0), (1, "2", 0), (1, 2.0, -1)],
)
def test_malformed_limits_are_rejected(row):
    payload = gossip.cbor2.dumps((gossip.LIMITS_FORMAT_VERSION, [row]))
    with pytest.raises(gossip.Unreadable):
        gossip.decode(signing.sign(payload, "token"), "token")


def test_largest_datagram_fits_the_size_limit():
    largest = observation.Observation(2**32 - 1, 2**32 - 1, endpoint_view.Load(255, 255, 255))
    data = gossip.encode([largest] * gossip.MAX_OBSERVATIONS_PER_DATAGRAM, "token")
    assert len(data) <= gossip.MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"short",
        gossip.encode(OBSERVATIONS, "another token"),
        gossip.encode(OBSERVATIONS, "token")[:-1],
        b"\0" * 2000,
    ],
)
def test_datagrams_without_a_valid_tag_are_rejected(data):
    with pytest.raises(gossip.Unreadable):
        gossip.decode(data, "token")


@pytest.mark.parametrize("row", [(1,), ("x", 1), (1, -1), (1, 2, 3), (1, 2, 3, 4, 5, 6)])
def test_authenticated_datagrams_with_malformed_rows_are_rejected(monkeypatch, row):
    payload = gossip.cbor2.dumps((gossip.FORMAT_VERSION, [row]))
    with pytest.raises(gossip.Unreadable):
        gossip.decode(signing.sign(payload, "token"), "token")


def make_pair(running):
    received = {"a": [], "b": []}
    peers = {
        name: running.call(
            lambda name=name: gossip.Gossip(
                running.loop, ("127.0.0.1", 0), "token", received[name].append, random.Random(1)
            )
        )
        for name in received
    }
    return peers, received


def wait_until(condition):
    end_s = time.monotonic() + 5.0
    while not condition() and time.monotonic() < end_s:
        time.sleep(0.01)
    assert condition()


def test_observations_are_sent_to_peers(running):
    peers, received = make_pair(running)
    address = peers["b"]._sock.getsockname()
    running.call(lambda: peers["a"].use_peers([address]))
    running.call(lambda: peers["a"].publish(OBSERVATIONS[0]))
    wait_until(lambda: received["b"] == [OBSERVATIONS[0]])
    assert received["a"] == []


def test_invalid_datagrams_are_counted_and_ignored(running):
    peers, received = make_pair(running)
    address = peers["b"]._sock.getsockname()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b"hello", address)
        sock.sendto(gossip.encode(OBSERVATIONS, "token"), address)
    wait_until(lambda: received["b"] == OBSERVATIONS)
    assert peers["b"].unreadable == 1


def test_report_of_an_entry_that_is_cut_off_is_read_back():
    report = observation.CutOffReport(7)
    assert gossip.decode(gossip.encode_cut_off(report, "token"), "token") == [report]


@pytest.mark.parametrize("row", [(), (-1,), ("x",), (True,), (1, 2)])
def test_malformed_reports_of_cut_off_entries_are_rejected(row):
    payload = gossip.cbor2.dumps((gossip.CUT_OFF_FORMAT_VERSION, [row]))
    with pytest.raises(gossip.Unreadable):
        gossip.decode(signing.sign(payload, "token"), "token")


NOTICES = [
    observation.EndpointNotice(7, endpoint_view.Fact.LEAVING),
    observation.EndpointNotice(4_000_000_000, endpoint_view.Fact.REPLACED),
]
SYMPTOMS = [observation.UnreachableReport(7, 8), observation.SlownessReport(2**32 - 1, 0, 2.5)]


def test_facts_and_symptoms_are_read_back():
    assert gossip.decode(gossip.encode_notices(NOTICES, "token"), "token") == NOTICES
    assert gossip.decode(gossip.encode_symptoms(SYMPTOMS, "token"), "token") == SYMPTOMS


def test_endpoints_listed_as_leaving_have_a_format_of_their_own():
    """Guards against older builds that would reject the facts beside them."""
    listed = [
        observation.EndpointNotice(digest, endpoint_view.Fact.LISTED_LEAVING)
        for digest in (7, 2**32 - 1)
    ]
    data = gossip.encode_listed([item.endpoint_digest for item in listed], "token")
    assert gossip.decode(data, "token") == listed
    assert gossip.LISTED_FORMAT_VERSION not in (
        gossip.NOTICES_FORMAT_VERSION,
        gossip.SYMPTOMS_FORMAT_VERSION,
    )


def test_facts_are_sent_in_the_datagrams_of_their_formats(running):
    peers, received = make_pair(running)
    address = peers["b"]._sock.getsockname()
    notices = [observation.EndpointNotice(n, fact) for n, fact in enumerate(endpoint_view.Fact)]
    running.call(lambda: peers["a"].send_notices(notices, [address]))
    wait_until(lambda: len(received["b"]) == len(notices))
    assert sorted(received["b"], key=lambda item: item.endpoint_digest) == notices


@pytest.mark.parametrize(
    ("version", "row"),
    [
        (gossip.NOTICES_FORMAT_VERSION, (1, 9)),
        (gossip.NOTICES_FORMAT_VERSION, (-1, 1)),
        (gossip.NOTICES_FORMAT_VERSION, (True, 1)),
        (gossip.NOTICES_FORMAT_VERSION, (1, "1")),
        (gossip.NOTICES_FORMAT_VERSION, (1,)),
        (gossip.SYMPTOMS_FORMAT_VERSION, (1, 2, -1)),
        (gossip.SYMPTOMS_FORMAT_VERSION, (1, 2, 2.5)),
        (gossip.SYMPTOMS_FORMAT_VERSION, (1, "2", 200)),
        (gossip.SYMPTOMS_FORMAT_VERSION, (1, 2)),
        (gossip.FORMAT_VERSION, (1, 0, 10**400, 0, 4)),
    ],
)
def test_malformed_facts_symptoms_and_loads_are_rejected(version, row):
    payload = gossip.cbor2.dumps((version, [row]))
    with pytest.raises(gossip.Unreadable):
        gossip.decode(signing.sign(payload, "token"), "token")


def test_enormous_ratio_is_bounded():
    payload = gossip.cbor2.dumps((gossip.SYMPTOMS_FORMAT_VERSION, [(1, 2, 10**400)]))
    (report,) = gossip.decode(signing.sign(payload, "token"), "token")
    assert report.ratio <= gossip.MAX_RATIO


def test_largest_datagrams_of_facts_and_symptoms_fit_the_size_limit():
    largest = observation.SlownessReport(2**32 - 1, 2**32 - 1, 1000.0)
    data = gossip.encode_symptoms([largest] * gossip.MAX_REPORTS_PER_DATAGRAM, "token")
    assert len(data) <= gossip.MAX_DATAGRAM_BYTES


def test_few_observations_are_collected_for_a_short_while(running):
    """Guards against datagrams that consist of headers, of entries with few requests."""
    peers, received = make_pair(running)
    address = peers["b"]._sock.getsockname()
    running.call(lambda: peers["a"].use_peers([address]))
    start_s = time.monotonic()
    running.call(lambda: peers["a"].publish(OBSERVATIONS[0]))
    time.sleep(0.05)
    running.call(lambda: peers["a"].publish(OBSERVATIONS[1]))
    wait_until(lambda: received["b"] == OBSERVATIONS)
    assert time.monotonic() - start_s < gossip.MAX_HOLD_S + 2 * gossip.INTERVAL_S
    assert peers["a"].sent == 1
