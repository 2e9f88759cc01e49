"""Guards against an emulator that hides double runs or reports faults that did not happen."""

import contextlib
import http.client
import socket

import pytest

from oriolelock.bench import ports
from oriolelock.standin import endpoint_host
from tests import waiting
from tests.standin import hosting


@contextlib.contextmanager
def endpoint(runs_file=None, **fields):
    # cheroot does not reuse the address of a port that it asked the kernel for, and the
    # endpoint must come back at its address after a crash.
    reserved = ports.Ports()
    item = {"name": "e", "listen": reserved.take(), "service": "s", "slots": 1, "queue": 1}
    item.update({"service_time": "1 ms"}, **fields)
    data = {"role": "endpoint", "endpoints": [item]}
    if runs_file:
        data["runs_file"] = str(runs_file)
    with hosting.hosted(endpoint_host.EndpointHost, **data) as bound:
        yield bound["e"]
    reserved.close()


def runs(address):
    return hosting.get_json(address, "/runs")


def fault(address, **fields):
    assert hosting.call(address, "POST", "/faults", fields)[0] == 200


def test_run_is_recorded_and_answer_echoes_request():
    with endpoint() as address:
        status, headers, body = hosting.call(
            address, "POST", "/x", b"a", X_Request_Id="r", Idempotency_Key="1-k"
        )
        first = headers["X-Body-Digest"]
        other = hosting.call(address, "POST", "/x", b"b", X_Request_Id="q")[1]
        run = runs(address)[0]
    assert (status, headers["X-Request-Id"], headers["X-State"]) == (200, "r", "serving")
    assert headers["X-Load"] == "in_flight=0;slots=1;queued=0"
    assert len(body) == 256 and other["X-Body-Digest"] != first
    assert (run["request_id"], run["key"], run["outcome"]) == ("r", "1-k", "complete")
    assert run["digest"] == first and run["end"] >= run["start"]


def test_work_beyond_slots_and_queue_is_shed_without_a_run():
    with endpoint(service_time="60 s") as address:
        held = [hosting.call_later(address, "GET", "/", X_Request_Id="1")]
        waiting.until(lambda: hosting.get_json(address, "/load")["in_flight"] == 1)
        held.append(hosting.call_later(address, "GET", "/", X_Request_Id="2"))
        waiting.until(lambda: hosting.get_json(address, "/load")["queued"] == 1)
        status, headers, _ = hosting.call(address, "GET", "/", X_Request_Id="3")
        assert (status, headers["X-Not-Run"]) == (503, "shed")
        for number in "21":
            assert hosting.call(address, "POST", f"/cancel/{number}")[0] == 200
        assert held[1].result()[1]["X-Not-Run"] == "shed"
        assert held[0].result()[0] == 500
        assert [(r["request_id"], r["outcome"]) for r in runs(address)] == [("1", "cancelled")]


def test_deadline_that_cannot_be_met_is_refused():
    with endpoint(service_time="50 ms") as address:
        headers = hosting.call(address, "GET", "/", X_Deadline_Ms="20")[1]
        assert headers["X-Not-Run"] == "deadline" and runs(address) == []
        assert hosting.call(address, "GET", "/", X_Deadline_Ms="5000")[0] == 200


def test_queued_work_is_refused_when_its_deadline_cannot_be_met_any_more():
    with endpoint(service_time="100 ms") as address:
        fault(address, kind="slow", factor=600, count=1)
        first = hosting.call_later(address, "GET", "/", X_Request_Id="1")
        waiting.until(lambda: hosting.get_json(address, "/load")["in_flight"] == 1)
        headers = hosting.call(address, "GET", "/", X_Deadline_Ms="300")[1]
        assert headers["X-Not-Run"] == "deadline"
        hosting.call(address, "POST", "/cancel/1")
        first.result()


def test_fault_hits_its_count_and_marker_only():
    with endpoint() as address:
        fault(address, kind="shed", count=1, marker="bad")
        reasons = [
            hosting.call(address, "POST", "/", body)[1]["X-Not-Run"]
            for body in (b"good", b"bad", b"bad")
        ]
    assert reasons == [None, "shed", None]


def test_crossed_answer_carries_the_earlier_request():
    with endpoint() as address:
        hosting.call(address, "POST", "/", b"1", X_Request_Id="r1")
        fault(address, kind="crossed", count=1)
        headers = hosting.call(address, "POST", "/", b"2", X_Request_Id="r2")[1]
    assert headers["X-Request-Id"] == "r1"


def test_truncated_answer_ends_early():
    with endpoint() as address:
        fault(address, kind="truncated", count=1)
        with pytest.raises(http.client.IncompleteRead):
            hosting.call(address, "GET", "/")


def test_silent_connection_stays_open_while_new_ones_work():
    with endpoint() as address:
        fault(address, kind="silent", count=1)
        with pytest.raises(TimeoutError):
            hosting.call(address, "GET", "/", timeout_s=0.3)
        assert hosting.call(address, "GET", "/")[0] == 200
        assert len(runs(address)) == 2


def test_draining_and_cold_states_are_reported():
    with endpoint(cold_start="60 s") as address:
        assert hosting.get_json(address, "/load")["state"] == "cold"
        fault(address, kind="draining")
        headers = hosting.call(address, "GET", "/")[1]
        assert (headers["X-Not-Run"], headers["X-State"]) == ("draining", "draining")
        fault(address, kind="draining", off=True)
        assert hosting.call(address, "GET", "/")[0] == 200


def test_load_reports_can_lag_and_lie():
    with endpoint(service_time="60 s") as address:
        held = hosting.call_later(address, "GET", "/", X_Request_Id="1")
        waiting.until(lambda: hosting.get_json(address, "/load")["in_flight"] == 1)
        fault(address, kind="load-lag", delay="1 h")
        load = hosting.get_json(address, "/load")
        assert (load["in_flight"], load["age_ms"]) == (0, 3_600_000.0)
        fault(address, kind="load-lie", in_flight=7, queued=3)
        assert hosting.get_json(address, "/load")["in_flight"] == 7
        hosting.call(address, "POST", "/cancel/1")
        held.result()


def test_crash_of_hosted_endpoint_refuses_connections_and_keeps_the_record(tmp_path):
    with endpoint(tmp_path / "runs.jsonl") as address:
        fault(address, kind="crash", mode="close", marker="boom", restart_after="200 ms")
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            hosting.call(address, "POST", "/", b"boom", X_Request_Id="r")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)

        def is_back():
            with contextlib.suppress(OSError):
                return hosting.call(address, "POST", "/", b"good")[0] == 200

        waiting.until(is_back)
        assert [run["outcome"] for run in runs(address)] == ["crashed", "complete"]


def test_bad_fault_is_refused():
    with endpoint() as address:
        status, _, body = hosting.call(address, "POST", "/faults", {"kind": "late", "delay": 5})
        assert status == 400 and b"ms, s" in body
