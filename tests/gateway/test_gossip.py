"""Exchange of endpoint observations between entries."""

import random
import socket
import time

import hypothesis
import pytest
from hypothesis import strategies as st

from oriolelock.dispatch import endpoint_limits, endpoint_view, observation, restarts
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


RESTARTS = [
    restarts.Report(7, 1_800_000_000, restarts.State.IN_DOUBT, 0.0, 0.25),
    restarts.Report(2**32 - 1, 0, restarts.State.COLD, 2.5, 0.0),
    restarts.Report(8, 3, restarts.State.SETTLED, 0.0, 29.999),
]


@pytest.mark.parametrize("is_initiated", [False, True])
@pytest.mark.parametrize("reports", [[], RESTARTS])
def test_endpoints_that_may_have_restarted_and_the_senders_status_are_read_back(
    is_initiated, reports
):
    status = observation.EntryStatus(is_initiated)
    data = gossip.encode_restarts(status, reports, "token")
    assert gossip.decode(data, "token") == [status, *reports]


def test_suspicions_are_read_back_beside_reports():
    status = observation.EntryStatus(True)
    suspicion = restarts.Suspicion(2**32 - 1)
    data = gossip.encode_restarts(status, [RESTARTS[0], suspicion], "token")
    assert gossip.decode(data, "token") == [status, RESTARTS[0], suspicion]


def test_largest_datagram_of_restarts_fits_the_size_limit():
    largest = restarts.Report(2**32 - 1, 2**32, restarts.State.SETTLED, 600.0, 600.0)
    reports = [largest] * gossip.MAX_REPORTS_PER_DATAGRAM
    data = gossip.encode_restarts(observation.EntryStatus(True), reports, "token")
    assert len(data) <= gossip.MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    "row",
    [
        (),
        (-1,),
        (True,),
        ("x",),
        (1, 2),
        (-1, 0),
        (1, False),
        (1, 2, 1, 0),
        (1, 2, 0, 0, 0),
        (1, 2, 6, 0, 0),
        (1, 2, "1", 0, 0),
        (1, 2, 1.0, 0, 0),
        (1, -2, 1, 0, 0),
        (1, 2, 1, -1, 0),
        (1, 2, 1, 0, -1),
        (1, 2, 1, 0.5, 0),
        (1, 2, 1, 0, float("nan")),
        (1, 2, 1, 0, 0, 0),
        (None, 2, 1, 0, 0),
    ],
)
def test_malformed_restarts_are_rejected(row):
    payload = gossip.cbor2.dumps((gossip.RESTARTS_FORMAT_VERSION, [(1,), row]))
    with pytest.raises(gossip.Unreadable):
        gossip.decode(signing.sign(payload, "token"), "token")


@pytest.mark.parametrize("field", [1, 3, 4])
def test_enormous_numbers_in_restarts_are_bounded_or_rejected(field):
    """Guards against a number that no later doubt can exceed, and overflows of times."""
    row = [1, 2, restarts.State.COLD.value, 3, 4]
    row[field] = 10**400
    payload = gossip.cbor2.dumps((gossip.RESTARTS_FORMAT_VERSION, [(1,), row]))
    try:
        _, report = gossip.decode(signing.sign(payload, "token"), "token")
    except gossip.Unreadable:
        return
    assert report.number < 2**63
    assert report.cold_s <= gossip.MAX_COLD_MS / 1000.0
    assert report.age_s < 1e9


@hypothesis.given(
    st.booleans(),
    st.lists(
        st.builds(
            restarts.Report,
            st.integers(0, 2**32 - 1),
            st.integers(0, 2**40),
            st.sampled_from(restarts.State),
            st.integers(0, gossip.MAX_COLD_MS).map(lambda ms: ms / 1000.0),
            st.integers(0, 10**6).map(lambda ms: ms / 1000.0),
        ),
        max_size=gossip.MAX_REPORTS_PER_DATAGRAM,
    ),
)
def test_any_restarts_are_read_back(is_initiated, reports):
    status = observation.EntryStatus(is_initiated)
    data = gossip.encode_restarts(status, reports, "token")
    assert gossip.decode(data, "token") == [status, *reports]


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=3)
    | st.binary(max_size=3),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=12,
)


@hypothesis.given(st.sampled_from(sorted(gossip.PARSERS)), VALUES)
def test_authenticated_rows_of_any_kind_are_read_or_rejected(version, rows):
    payload = gossip.cbor2.dumps((version, rows))
    try:
        reports = gossip.decode(signing.sign(payload, "token"), "token")
    except gossip.Unreadable:
        return
    assert isinstance(reports, list)


def test_restarts_are_sent_in_parts_that_each_tell_the_status(running):
    peers, received = make_pair(running)
    heard = []
    address = peers["b"]._sock.getsockname()
    peers["b"].on_heard = lambda sender, status, _: heard.append((sender, status))
    count = gossip.MAX_REPORTS_PER_DATAGRAM + 1
    reports = [restarts.Report(n, 1, restarts.State.IN_DOUBT) for n in range(count)]
    status = observation.EntryStatus(True)
    running.call(lambda: peers["a"].send_restarts(status, reports, [address]))
    wait_until(lambda: len(heard) == 2)
    assert sorted(received["b"], key=lambda report: report.endpoint_digest) == reports
    assert heard == [(peers["a"]._sock.getsockname(), status)] * 2


def test_entry_that_knows_of_no_restart_still_tells_its_status(running):
    peers, received = make_pair(running)
    heard = []
    address = peers["b"]._sock.getsockname()
    peers["b"].on_heard = lambda sender, status, _: heard.append(status)
    status = observation.EntryStatus(False)
    running.call(lambda: peers["a"].send_restarts(status, [], [address]))
    wait_until(lambda: heard == [status])
    assert received["b"] == []


def test_datagrams_of_older_versions_tell_no_status(running):
    peers, _ = make_pair(running)
    heard = []
    address = peers["b"]._sock.getsockname()
    peers["b"].on_heard = lambda sender, status, _: heard.append(status)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(gossip.encode(OBSERVATIONS, "token"), address)
    wait_until(lambda: heard == [None])


def test_unreadable_datagrams_are_not_heard(running):
    """Guards against strangers by whom an entry would count as one that hears the others."""
    peers, _ = make_pair(running)
    heard = []
    address = peers["b"]._sock.getsockname()
    peers["b"].on_heard = lambda sender, status, _: heard.append(status)
    data = gossip.encode_restarts(observation.EntryStatus(True), [], "another token")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(data, address)
    wait_until(lambda: peers["b"].unreadable == 1)
    assert heard == []
