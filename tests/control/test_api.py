"""Guards against API responses that don't match what happened to a change."""

import concurrent.futures
import json
import types

import pytest
import werkzeug.test

from oriolelock import metrics
from oriolelock.consensus import messages as consensus_messages
from oriolelock.control import api, commands, config_state, majority, messages, unavailable
from oriolelock.distribution import messages as distribution_messages
from oriolelock.distribution import reports
from oriolelock.settings import control
from tests.control import samples

TOKEN = "operator-secret"
ADDRESS = ("127.0.0.1", 1)


class FakeReplica:
    """A single replica that leads.

    If ``call_failure`` is set, all calls return it, as if the replica were partitioned.
    """

    def __init__(self):
        peers = tuple(control.PeerSettings(n, ADDRESS, ADDRESS, "perth") for n in ("c1", "c2"))
        self.cfg = types.SimpleNamespace(
            operator_token=TOKEN, peers=peers, name="c1", region="perth", failure_domain="p1"
        )
        self.machine = config_state.ConfigState()
        self.call_failure = None

    def call(self, group, payload, timeout_s):
        fut = concurrent.futures.Future()
        if self.call_failure:
            fut.set_result(self.call_failure)
        elif isinstance(payload, messages.ConfirmRead):
            fut.set_result(messages.Confirmed(self.machine.view().index))
        else:
            command = commands.Command(1.0, payload)
            fut.set_result(self.machine.apply(self.machine.view().index + 1, command))
        return fut

    def configuration(self):
        return self.machine.view()

    def status(self):
        return types.SimpleNamespace(leader="" if self.call_failure else "c1")

    def dump(self):
        return {"groups": {}}

    def assess_all(self):
        own = consensus_messages.Replica("c1", "i", True)
        other = consensus_messages.Replica("c2", "i", True)
        contacts = majority.Contacts({}, {}, 3.0, 100.0)
        members = consensus_messages.Membership((own, other))
        return {"config": majority.assess(members, own, contacts, self.status().leader, 7.0)}


class Harness:
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
def harness():
    return Harness()


def test_applied_change_appears_in_status_and_configuration(harness):
    assert harness.put("a", "1", 0) == (200, {"result": "applied", "version": 1, "index": 1})
    use_change = {"change_id": "2", "expect_version": 1, "kind": "use-preset", "name": "a"}
    assert harness.post(use_change)[0] == 200
    status, data = harness.get("/oriolelock/status")
    assert (status, data["confirmed"], data["in_force"], data["version"]) == (200, True, "a", 2)
    configuration = harness.get("/oriolelock/configuration")[1]["configuration"]
    assert configuration["presets"]["a"]["services"][0]["operations"][0]["priority"] == "normal"


def test_conflict_returns_the_current_version(harness):
    harness.put("a", "1", 0)
    assert harness.put("b", "2", 0) == (409, {"result": "conflict", "version": 1})


def test_resent_change_gets_its_first_result(harness):
    assert harness.put("a", "1", 0) == harness.put("a", "1", 0)


def test_refused_change_returns_the_reason(harness):
    status, data = harness.post({"change_id": "1", "kind": "use-preset", "name": "none"})
    assert status == 422
    assert "none" in data["reason"]


@pytest.mark.parametrize("token", ["", "wrong", TOKEN + "x", "\u00e9"])
def test_wrong_token_is_refused(harness, token):
    assert harness.put("a", "0")[0] == 200
    assert harness.get("/oriolelock/status", token)[0] == 401
    assert harness.post({"change_id": "1", "kind": "use-preset", "name": "a"}, token)[0] == 401
    assert harness.replica.machine.view().in_force == ""


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[1]", b'{"a": NaN}', b'{"a": 1, "a": 1}', b"\xff", b"[" * 100_000]
)
def test_malformed_json_is_a_bad_request(harness, body):
    assert harness.post(body)[0] == 400


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
def test_invalid_field_is_refused(harness, data):
    status, answer = harness.post(data)
    assert (status, answer["result"]) == (422, "refused")


def test_body_over_the_limit_is_refused(harness):
    assert harness.post(b" " * (api.MAX_BODY_BYTES + 1))[0] == 413


def test_unknown_path_and_method_are_refused(harness):
    assert harness.get("/oriolelock/nothing")[0] == 404
    assert harness.get("/oriolelock/changes")[0] == 405


def test_partitioned_replica_reports_no_preset_in_force(harness):
    harness.put("a", "1")
    harness.post({"change_id": "2", "kind": "use-preset", "name": "a"})
    harness.replica.call_failure = unavailable.Unavailable("no leader is known", retry=True)
    status, data = harness.get("/oriolelock/status")
    assert (status, data["confirmed"], data["in_force"]) == (200, False, None)
    assert data["last_known_in_force"] == "a"
    group = data["groups"]["config"]
    assert (group["voters"], group["reachable"], group["needed"]) == (2, 1, 2)
    assert (group["has_majority"], group["leaderless_s"]) == (False, 7.0)
    assert [member["name"] for member in group["members"]] == ["c1", "c2"]
    data = harness.get("/oriolelock/configuration")[1]
    assert (data["confirmed"], data["configuration"]["in_force"]) == (False, None)
    assert harness.get("/oriolelock/ready")[0] == 503
    assert harness.put("b", "3") == (503, {"result": "unavailable", "reason": "no leader is known"})


def test_unknown_result_tells_the_operator_to_resend_with_the_same_id(harness):
    harness.replica.call_failure = unavailable.Unavailable("no result in time")
    assert "same change id" in harness.put("b", "3")[1]["reason"]


def test_status_lists_instances_with_the_age_of_their_report(harness):
    report = distribution_messages.StatusReport("c2", 1, 5, "follower", 10.0, 0, 100.0)
    harness.reports.take(
        distribution_messages.StatusBatch((report,)), api.clock.monotonic_s(), False
    )
    rows = {row["name"]: row for row in harness.get("/oriolelock/status")[1]["instances"]}
    assert (rows["c1"]["seen"], rows["c1"]["age_s"], rows["c1"]["version"]) == (False, None, None)
    assert (rows["c2"]["seen"], rows["c2"]["index"], rows["c2"]["since"]) == (False, 5, 10.0)
    assert rows["c2"]["age_s"] >= 100.0


def test_state_dump_contains_no_token(harness):
    res = harness.client.get("/oriolelock/state")
    assert res.status_code == 200
    assert TOKEN not in res.text
