"""Guards the reports that a parent passes on: nothing is lost, and few bytes are used."""

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
def test_reports_come_back_as_they_were(reports):
    sent = codec.decode(codec.encode(report_packing.pack(reports)))
    found = report_packing.unpack(sent).reports
    assert sorted(found, key=repr) == sorted(reports, key=repr)


def test_head_of_a_failure_domain_stays_within_its_bytes():
    """A head takes and passes on the reports of 95 entries each second. 12,000 bytes per second
    are for all of control; the rest goes to headers, deltas and changes."""
    reports = [
        messages.StatusReport(f"entry-{n:05d}", 9_000, 400_000, "live", 1.7e9 + n / 1000, n, 0.4)
        for n in range(95)
    ]
    alone = [messages.StatusBatch((item,)) for item in reports[:12]]
    through_children = [reports[12 + n :: 4] for n in range(4)]
    # Children and the head pass reports on four times a second at most.
    parts = [part[n::4] for part in through_children for n in range(4)] + [
        reports[n::4] for n in range(4)
    ]
    sent = sum(len(codec.encode(report_packing.pack(part))) for part in parts)
    sent += sum(len(codec.encode(item)) for item in alone)
    assert sent <= 12_000 / 2
