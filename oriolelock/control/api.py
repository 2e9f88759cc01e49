"""
oriolelock.control.api
~~~~~~~~~~~~~~~~~~~~~~

    The operators' HTTP API of a control replica, as a WSGI application.
"""

import collections.abc
import concurrent.futures
import dataclasses
import hmac
import json

import werkzeug.exceptions
import werkzeug.wrappers

from oriolelock import clock, logs, metrics
from oriolelock.control import (
    commands,
    drain_check,
    majority,
    messages,
    replica,
    status_view,
    unavailable,
)
from oriolelock.distribution import reports
from oriolelock.endpoints import load_poller
from oriolelock.model import changes, errors, from_json, results
from oriolelock.wire import strict_json

__all__ = ["Api", "make_app"]

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_ID_LENGTH = 200
# Long enough for one election (3 s) and a commit across distant regions.
CHANGE_TIMEOUT_S = 8.0
READ_TIMEOUT_S = 1.5
# Added to a call's own timeout, so that a lost result can't block the HTTP thread forever.
RESULT_GRACE_S = 1.0
ENVELOPE_FIELDS = ("change_id", "expect_version", "operator")

log = logs.get_logger("control.api")


@dataclasses.dataclass(frozen=True)
class Api:
    """Dependencies of the operator API.

    ``extra_state()`` returns further fields of the state dump. ``measure(endpoints)`` returns
    load reports by endpoint name, without the endpoints that don't answer.
    """

    replica: replica.Replica
    metrics: metrics.Metrics
    reports: reports.Reports
    extra_state: collections.abc.Callable[[], dict]
    measure: drain_check.Measure = load_poller.poll_after_delay


def make_app(api: Api) -> collections.abc.Callable:
    """Return the WSGI application."""

    @werkzeug.wrappers.Request.application
    def app(req):
        try:
            return _route(api, req)
        except werkzeug.exceptions.HTTPException as exc:
            return _json_response({"result": "error", "reason": exc.description}, exc.code)
        except Exception:
            log.exception("Request {} {} failed.", req.method, req.path)
            return _json_response({"result": "error", "reason": "internal error"}, 500)

    return app


def _route(api, req):
    path = req.path
    if path not in _ROUTES:
        raise werkzeug.exceptions.NotFound("no such path")
    method, requires_token, view = _ROUTES[path]
    if req.method != method:
        raise werkzeug.exceptions.MethodNotAllowed([method], f"only {method}")
    if requires_token:
        _check_token(api.replica.cfg.operator_token, req)
    return view(api, req)


def _check_token(token, req):
    scheme, _, credentials = req.headers.get("Authorization", "").partition(" ")
    matches = hmac.compare_digest(credentials.strip().encode("utf-8", "replace"), token.encode())
    if scheme.lower() != "bearer" or not matches:
        raise werkzeug.exceptions.Unauthorized("a valid bearer token is required")


def _json_response(data, status=200):
    text = json.dumps(data, allow_nan=False, default=str)
    return werkzeug.wrappers.Response(text + "\n", status, content_type="application/json")


def _wait_for_result(fut, timeout_s):
    try:
        return fut.result(timeout_s + RESULT_GRACE_S)
    except concurrent.futures.TimeoutError:
        return unavailable.Unavailable("no result in time")


def _confirm_read(api):
    result = _wait_for_result(
        api.replica.call("config", messages.ConfirmRead(), READ_TIMEOUT_S), READ_TIMEOUT_S
    )
    return isinstance(result, messages.Confirmed)


def _ready(api, req):
    status = api.replica.status()
    ready = bool(status.leader)
    return _json_response({"ready": ready, "leader": status.leader}, 200 if ready else 503)


def _state(api, req):
    cfg = api.replica.cfg
    data = {
        "name": cfg.name,
        "region": cfg.region,
        "failure_domain": cfg.failure_domain,
        **api.replica.dump(),
        **api.extra_state(),
    }
    return _json_response(data)


def _configuration(api, req):
    confirmed = _confirm_read(api)
    data = from_json.to_json(dataclasses.replace(api.replica.configuration(), block_sites=b""))
    del data["block_sites"]
    data["last_known_in_force"] = data["in_force"]
    if not confirmed:
        data["in_force"] = None
    leader = api.replica.status().leader
    return _json_response({"confirmed": confirmed, "leader": leader, "configuration": data})


def _status(api, req):
    confirmed = _confirm_read(api)
    data = status_view.make_status(
        api.replica.cfg,
        api.replica.configuration(),
        api.reports,
        confirmed,
        api.replica.status().leader,
        clock.monotonic_s(),
    )
    groups = {group: majority.to_json(found) for group, found in api.replica.assess_all().items()}
    return _json_response({**data, "groups": groups})


def _post_change(api, req):
    try:
        command = _parse_change(_read_json(req))
        _check_drain(api, command.change)
    except errors.InvalidData as exc:
        return _json_response({"result": "refused", "reason": str(exc)}, 422)
    started_s = clock.monotonic_s()
    fut = api.replica.call("config", command, CHANGE_TIMEOUT_S)
    result = _wait_for_result(fut, CHANGE_TIMEOUT_S)
    data, status = _encode_result(result)
    log.info("Change {} by operator {!r}: {}.", command.change_id, command.operator, result)
    api.metrics.count(f"control.change.{data['result']}")
    api.metrics.timing("control.change.latency", (clock.monotonic_s() - started_s) * 1000)
    return _json_response(data, status)


def _check_drain(api, change):
    if isinstance(change, changes.AddDrain) and not change.drain.forced:
        drain_check.check(api.replica.configuration(), change.drain, api.measure)


def _read_json(req):
    if (req.content_length or 0) > MAX_BODY_BYTES:
        raise werkzeug.exceptions.RequestEntityTooLarge(f"at most {MAX_BODY_BYTES} bytes")
    req.max_content_length = MAX_BODY_BYTES
    try:
        data = strict_json.loads(req.get_data())
    except (ValueError, RecursionError) as exc:
        raise werkzeug.exceptions.BadRequest(f"malformed JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise werkzeug.exceptions.BadRequest("a JSON object is required")
    return data


def _parse_change(data):
    change_id, version = data.get("change_id"), data.get("expect_version")
    operator = data.get("operator", "")
    if not isinstance(change_id, str) or not 0 < len(change_id) <= MAX_ID_LENGTH:
        raise errors.InvalidData(f"change_id: 1 to {MAX_ID_LENGTH} characters")
    if version is not None and (type(version) is not int or not 0 <= version < 1 << 63):
        raise errors.InvalidData("expect_version: a whole number or null")
    if not isinstance(operator, str) or len(operator) > MAX_ID_LENGTH:
        raise errors.InvalidData(f"operator: at most {MAX_ID_LENGTH} characters")
    fields = {key: value for key, value in data.items() if key not in ENVELOPE_FIELDS}
    return commands.OperatorChange(change_id, version, operator, from_json.change_from(fields))


def _encode_result(result):
    if isinstance(result, results.Applied):
        return {"result": "applied", "version": result.version, "index": result.index}, 200
    if isinstance(result, results.Conflict):
        return {"result": "conflict", "version": result.version}, 409
    if isinstance(result, results.Refused):
        return {"result": "refused", "reason": result.reason}, 422
    assert isinstance(result, unavailable.Unavailable), result
    reason = result.reason
    if not result.retry:
        reason += "; it may still be applied, send it again with the same change id"
    return {"result": "unavailable", "reason": reason}, 503


# path -> (method, whether the operator token is required, view)
_ROUTES = {
    "/oriolelock/ready": ("GET", False, _ready),
    "/oriolelock/state": ("GET", False, _state),
    "/oriolelock/configuration": ("GET", True, _configuration),
    "/oriolelock/status": ("GET", True, _status),
    "/oriolelock/changes": ("POST", True, _post_change),
}
