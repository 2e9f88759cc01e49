"""Tests that packed reports lose nothing and stay within their byte budget."""

from hypothesis import given
from hypothesis import strategies as st

from oriolelock.distribution import messages, report_packing
from oriolelock.wire import codec

NUMBERS = st.integers(0, 2**40)
REPORTS = st.builds(
    messages.StatusReport,
    name=st.text(max_size=20),
    version=NUMBERS,
    index=NUMBERS,
    state=st.sampled_from(("live", "leaving")),
    since_s=st.integers(0, 2**42).map(lambda ms: ms / 1000),
    in_flight=st.integers(0, 10_000),
    age_s=st.integers(0, 3_600_000).map(lambda ms: ms / 1000),
)


@given(st.lists(REPORTS, max_size=20))
def test_unpacked_reports_equal_the_packed_ones(reports):
    sent = codec.decode(codec.encode(report_packing.pack(reports)))
    unpacked = report_packing.unpack(sent).reports
    assert sorted(unpacked, key=repr) == sorted(reports, key=repr)


def test_reports_of_a_failure_domain_stay_within_the_byte_budget():
    """A head receives and forwards the reports of 95 entries each second. All control traffic may
    use 12,000 bytes per second; half of it is left for headers, deltas and changes."""
    reports = [
        messages.StatusReport(f"entry-{n:05d}", 9_000, 400_000, "live", 1.7e9 + n / 1000, n, 0.4)
        for n in range(95)
    ]
    single_reports = [messages.StatusBatch((item,)) for item in reports[:12]]
    child_shares = [reports[12 + n :: 4] for n in range(4)]
    # The children and the head each forward reports at most four times a second.
    packed_groups = [part[n::4] for part in child_shares for n in range(4)] + [
        reports[n::4] for n in range(4)
    ]
    sent_bytes = sum(len(codec.encode(report_packing.pack(part))) for part in packed_groups)
    sent_bytes += sum(len(codec.encode(item)) for item in single_reports)
    assert sent_bytes <= 12_000 / 2
