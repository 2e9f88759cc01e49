"""After a pause, a report that waited looks new, and a call that waited looks wanted."""

import types

from oriolelock import pauses
from oriolelock.control import messages as control
from oriolelock.control import replica, unavailable
from oriolelock.distribution import messages, reports
from oriolelock.model import changes, member
from oriolelock.once import messages as once
from tests.distribution import test_publisher


def test_a_process_that_runs_has_no_lag():
    detector = pauses.PauseDetector(100.0)
    for now in (100.5, 101.0, 102.0):
        detector.tick(now)
        assert detector.lag_s(now + 0.4) == 0.0


def test_a_pause_is_noticed_before_and_after_the_next_tick():
    detector = pauses.PauseDetector(100.0)
    # Whichever thread runs first after the pause.
    assert detector.lag_s(107.0) == 7.0
    detector.tick(107.0)
    assert detector.lag_s(107.0 + pauses.CATCH_UP_S / 2) == 7.0
    assert detector.lag_s(107.01 + pauses.CATCH_UP_S) == 0.0


def report(name, age_s=0.0):
    return messages.StatusReport(name, 1, 1, "live", 0.0, 0, age_s)


def test_reports_that_may_have_waited_count_as_old():
    """An entry that died during the pause would count as live again."""
    kept = reports.Reports()
    batch = messages.StatusBatch((report("dead"), report("relayed", 1.0)))
    kept.take(reports.aged(batch, 7.0), 200.0, relay=False)
    assert kept.ages(200.0) == {"dead": 7.0, "relayed": 8.0}
    assert kept.seen(200.0) == frozenset()
    # The next report of a living entry counts at once.
    kept.take(reports.aged(messages.StatusBatch((report("relayed"),)), 0.0), 200.5, relay=False)
    assert kept.seen(200.5) == {"relayed"}


def test_publisher_refuses_calls_and_ages_reports_after_a_pause():
    rig = test_publisher.PublisherRig()
    rig.publisher.pauses.lag_s = lambda now: 5.0
    conn = rig.connect(0)
    conn.incoming.put(report("e1"))
    conn.incoming.put(messages.UplinkCall("7", once.ReleaseKey("k", "c", False)))
    reply = conn.next_matching(lambda msg: isinstance(msg, messages.UplinkReply))
    assert (reply.call_id, reply.payload) == ("7", None)
    assert reply.error
    batch = rig.batches.get(timeout=5)
    assert [item.age_s for item in batch.reports] == [5.0]
    rig.publisher.stop()
    conn.close()
    rig.pool.shutdown()


def test_replica_refuses_forwarded_calls_that_may_be_outdated():
    """Those with an id or a lease are protected by it, and reads change nothing."""
    sent, served = [], []
    rep = types.SimpleNamespace(
        _hosts={"config": None},
        lag_s=lambda: 4.0,
        send=lambda target, msg: sent.append(msg),
        _call_router=types.SimpleNamespace(
            serve=lambda group, payload: served.append(payload)
            or types.SimpleNamespace(add_done_callback=lambda callback: None)
        ),
    )
    entry = member.Member("e", "entry", "", "", "a", "a1")
    forward = control.Forward("1", "config", changes.SetMember(entry))
    replica.Replica._handle_forward(rep, "c2", forward)
    assert isinstance(sent[0].result, unavailable.Unavailable)
    assert sent[0].result.retry
    replica.Replica._handle_forward(
        rep, "c2", control.Forward("2", "config", control.ConfirmRead())
    )
    assert served == [control.ConfirmRead()]


def test_replica_drops_join_requests_that_may_be_outdated():
    """One of a process that has ended would replace its successor at the same address."""
    admitted = []
    leading = types.SimpleNamespace(
        status=lambda: types.SimpleNamespace(leader="c1"),
        admit=lambda name, incarnation: admitted.append(incarnation),
    )
    rep = types.SimpleNamespace(
        _hosts={"config": leading}, cfg=types.SimpleNamespace(name="c1"), lag_s=lambda: 4.0
    )
    replica.Replica._handle_join(rep, control.Join("c2", "ended", "a", "a1"))
    rep.lag_s = lambda: 0.0
    replica.Replica._handle_join(rep, control.Join("c2", "successor", "a", "a1"))
    assert admitted == ["successor"]
