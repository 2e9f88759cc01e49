"""Guards against operators who are told something else than what happened."""

import concurrent.futures
import json
import types

import pytest
import werkzeug.test

from oriolelock import metrics
from oriolelock.control import api, envelope, messages, state, unavailable
from oriolelock.distribution import messages as distribution_messages
from oriolelock.distribution import reports
from oriolelock.settings import control
from tests.control import samples

TOKEN = "operator-secret"
ADDRESS = ("127.0.0.1", 1)


class FakeReplica:
    """A replica that leads alone; with ``cut_off`` no leader answers it."""

    def __init__(self):
        peers = tuple(control.PeerSettings(n, ADDRESS, ADDRESS, "perth") for n in ("c1", "c2"))
        self.cfg = types.SimpleNamespace(
            operator_token=TOKEN, peers=peers, name="c1", region="perth", failure_domain="p1"
        )
        self.machine = state.ConfigState()
        self.cut_off = None

    def call(self, group, payload, timeout_s):
        fut = concurrent.futures.Future()
        if self.cut_off:
            fut.set_result(self.cut_off)
        elif isinstance(payload, messages.ConfirmRead):
            fut.set_result(messages.Confirmed(self.machine.view().index))
        else:
            command = envelope.Command(1.0, payload)
            fut.set_result(self.machine.apply(self.machine.view().index + 1, command))
        return fut

    def configuration(self):
        return self.machine.view()

    def status(self):
        return types.SimpleNamespace(leader="" if self.cut_off else "c1")

    def dump(self):
        return {"groups": {}}


class Rig:
    """A client of the application over a fake replica."""

    def __init__(self):
        self.replica = FakeReplica()
        self.reports = reports.Reports()
        app = api.make_app(api.Api(self.replica, metrics.Metrics(), self.reports, dict))
        self.client = werkzeug.test.Client(app)

    def get(self, path, token=TOKEN):
        res = self.client.get(path, headers={"Authorization": f"Bearer {token}"})
        return res.status_code, json.loads(res.data)

    def post(self, data, token=TOKEN):
        body = data if isinstance(data, bytes) else json.dumps(data).encode()
        headers = {"Authorization": f"Bearer {token}"}
        res = self.client.post("/oriolelock/changes", data=body, headers=headers)
        return res.status_code, json.loads(res.data)

    def put(self, name, change_id, expect_version=None):
        data = {"kind": "put-preset", "preset": samples.preset_json(name)}
        return self.post({"change_id": change_id, "expect_version": expect_version, **data})


@pytest.fixture
def rig():
    return Rig()


def test_change_is_applied_and_shown(rig):
    assert rig.put("a", "1", 0) == (200, {"result": "applied", "version": 1, "index": 1})
    use = {"change_id": "2", "expect_version": 1, "kind": "use-preset", "name": "a"}
    assert rig.post(use)[0] == 200
    status, data = rig.get("/oriolelock/status")
    assert (status, data["confirmed"], data["in_force"], data["version"]) == (200, True, "a", 2)
    shown = rig.get("/oriolelock/configuration")[1]["configuration"]
    assert shown["presets"]["a"]["services"][0]["operations"][0]["priority"] == "normal"


def test_conflict_names_the_current_version(rig):
    rig.put("a", "1", 0)
    assert rig.put("b", "2", 0) == (409, {"result": "conflict", "version": 1})


def test_resent_change_gets_its_first_result(rig):
    assert rig.put("a", "1", 0) == rig.put("a", "1", 0)


def test_refused_change_names_the_reason(rig):
    status, data = rig.post({"change_id": "1", "kind": "use-preset", "name": "none"})
    assert status == 422
    assert "none" in data["reason"]


@pytest.mark.parametrize("token", ["", "wrong", TOKEN + "x", "\u00e9"])
def test_wrong_token_is_refused(rig, token):
    assert rig.put("a", "0")[0] == 200
    assert rig.get("/oriolelock/status", token)[0] == 401
    assert rig.post({"change_id": "1", "kind": "use-preset", "name": "a"}, token)[0] == 401
    assert rig.replica.machine.view().in_force == ""


@pytest.mark.parametrize("body", [b"", b"{", b"[1]", b'{"a": NaN}', b"\xff", b"[" * 100_000])
def test_malformed_json_is_a_bad_request(rig, body):
    assert rig.post(body)[0] == 400


@pytest.mark.parametrize(
    "data",
    [
        {"kind": "use-preset", "name": "a"},
        {"change_id": "", "kind": "use-preset", "name": "a"},
        {"change_id": "x" * 300, "kind": "use-preset", "name": "a"},
        {"change_id": "1", "kind": "no-such-kind"},
        {"change_id": "1", "kind": "use-preset"},
        {"change_id": "1", "kind": "use-preset", "name": "a", "extra": 1},
        {"change_id": "1", "expect_version": "0", "kind": "use-preset", "name": "a"},
        {"change_id": "1", "expect_version": True, "kind": "use-preset", "name": "a"},
    ],
)
def test_bad_field_is_refused(rig, data):
    status, answer = rig.post(data)
    assert (status, answer["result"]) == (422, "refused")


def test_body_over_the_limit_is_refused(rig):
    assert rig.post(b" " * (api.MAX_BODY_BYTES + 1))[0] == 413


def test_unknown_path_and_method_are_refused(rig):
    assert rig.get("/oriolelock/nothing")[0] == 404
    assert rig.get("/oriolelock/changes")[0] == 405


def test_replica_that_is_cut_off_claims_no_preset_in_force(rig):
    rig.put("a", "1")
    rig.post({"change_id": "2", "kind": "use-preset", "name": "a"})
    rig.replica.cut_off = unavailable.Unavailable("no leader is known", retry=True)
    status, data = rig.get("/oriolelock/status")
    assert (status, data["confirmed"], data["in_force"]) == (200, False, None)
    assert data["last_known_in_force"] == "a"
    data = rig.get("/oriolelock/configuration")[1]
    assert (data["confirmed"], data["configuration"]["in_force"]) == (False, None)
    assert rig.get("/oriolelock/ready")[0] == 503
    assert rig.put("b", "3") == (503, {"result": "unavailable", "reason": "no leader is known"})


def test_unknown_result_asks_to_resend_with_the_same_id(rig):
    rig.replica.cut_off = unavailable.Unavailable("no result in time")
    assert "same change id" in rig.put("b", "3")[1]["reason"]


def test_status_lists_instances_with_the_age_of_their_report(rig):
    report = distribution_messages.StatusReport("c2", 1, 5, "follower", 10.0, 0, 100.0)
    rig.reports.take(distribution_messages.StatusBatch((report,)), api.clock.monotonic_s(), False)
    rows = {row["name"]: row for row in rig.get("/oriolelock/status")[1]["instances"]}
    assert (rows["c1"]["seen"], rows["c1"]["age_s"], rows["c1"]["version"]) == (False, None, None)
    assert (rows["c2"]["seen"], rows["c2"]["index"], rows["c2"]["since"]) == (False, 5, 10.0)
    assert rows["c2"]["age_s"] >= 100.0


def test_state_shows_no_token(rig):
    res = rig.client.get("/oriolelock/state")
    assert res.status_code == 200
    assert TOKEN not in res.text
