"""
oriolelock.entry.app
~~~~~~~~~~~~~~~~~~~~

    The WSGI application that answers callers.
"""

import collections.abc
import dataclasses
import json
import uuid

import werkzeug.wrappers

from oriolelock import clock, logs, metrics, outcomes
from oriolelock.entry import body, caller_request, flow, http_server, reply
from oriolelock.lookup import directory
from oriolelock.model import configuration

__all__ = ["AppDependencies", "make_app"]

API_PREFIX = "/oriolelock/"
COUNTERS = {
    outcomes.Complete: "request.complete",
    outcomes.NotRun: "request.not_run",
    outcomes.Unknown: "request.unknown",
}
BAD_REQUEST_STATUSES = (400, 404, 413, 431)

log = logs.get_logger("entry")


@dataclasses.dataclass(frozen=True)
class AppDependencies:
    """The functions and settings that the application uses.

    ``region_of`` maps a client's IP address to its region, or None if unknown; ``in_flight``
    is called with +1 and -1 around each request; ``leaving`` returns the names of entries that
    are known to leave before the configuration says so.
    """

    serve: flow.Flow
    config: collections.abc.Callable[[], configuration.Configuration]
    is_ready: collections.abc.Callable[[], bool]
    is_stopping: collections.abc.Callable[[], bool]
    leaving: collections.abc.Callable[[], collections.abc.Set[str]]
    in_flight: collections.abc.Callable[[int], None]
    state: collections.abc.Callable[[], dict]
    directory: collections.abc.Callable[[], directory.Directory]
    region_of: collections.abc.Callable[[configuration.Configuration, str], str | None]
    counters: metrics.Metrics
    region: str
    lookup_ttl_s: float
    max_body: int


def _json_response(data, status, cfg, outcome=None, request_id=None):
    caller_reply = reply.Reply(
        outcome or outcomes.Complete(status, (), b""), request_id or uuid.uuid4().hex, cfg.version
    )
    return werkzeug.wrappers.Response(
        json.dumps(data, separators=(",", ":")),
        status=status,
        headers=reply.outcome_headers(caller_reply),
        content_type="application/json",
    )


def _error_response(caller_reply: reply.Reply) -> werkzeug.wrappers.Response:
    headers = reply.outcome_headers(caller_reply)
    outcome_name = "not-run" if isinstance(caller_reply.outcome, outcomes.NotRun) else "unknown"
    fields = {
        "outcome": outcome_name,
        "reason": caller_reply.outcome.reason,
        "request_id": caller_reply.request_id,
    }
    return werkzeug.wrappers.Response(
        json.dumps(fields),
        status=reply.status_of(caller_reply.outcome),
        headers=headers,
        content_type="application/json",
    )


def _complete_response(caller_reply: reply.Reply, method: str) -> werkzeug.wrappers.Response:
    response = werkzeug.wrappers.Response(
        caller_reply.outcome.body, status=caller_reply.outcome.status
    )
    # A response without a content type is not given a default one.
    del response.headers["Content-Type"]
    # The Content-Length that the endpoint would send for GET is not forwarded.
    if method == "HEAD":
        response.automatically_set_content_length = False
        response.headers.remove("Content-Length")
    for name, value in caller_reply.outcome.headers:
        response.headers.add(name, value)
    response.headers.extend(reply.outcome_headers(caller_reply))
    return response


class _App:
    def __init__(self, deps: AppDependencies):
        self._deps = deps
        self._handlers = {
            "/oriolelock/lookup": self._lookup,
            "/oriolelock/ready": self._ready,
            "/oriolelock/state": self._state,
        }

    def __call__(self, environ, start_response):
        self._deps.in_flight(1)
        is_ready = self._deps.is_ready()
        try:
            response = self._respond(environ)
            if not is_ready:
                # The version may be lower than one that callers saw before a restart.
                response.headers.pop(reply.VERSION_HEADER, None)
            return response(environ, start_response)
        finally:
            self._deps.in_flight(-1)

    def _respond(self, environ):
        path = environ.get("PATH_INFO", "")
        try:
            if path.startswith(API_PREFIX):
                return self._respond_to_api(environ, path)
            return self._forward(environ)
        except Exception:
            # An error in one request must not affect the others. Whether this one ran is unknown.
            log.exception("request failed")
            caller_reply = reply.Reply(
                outcomes.Unknown("connection-lost"), uuid.uuid4().hex, self._deps.config().version
            )
            self._count_outcome(caller_reply.outcome)
            return _error_response(caller_reply)

    def _respond_to_api(self, environ, path):
        handler = self._handlers.get(path)
        if handler is None or environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            return self._refuse("bad-request")
        return handler(werkzeug.wrappers.Request(environ))

    def _refuse(self, reason):
        return self._to_response(
            reply.Reply(outcomes.NotRun(reason), uuid.uuid4().hex, self._deps.config().version)
        )

    def _to_response(self, caller_reply, method="GET"):
        self._count_outcome(caller_reply.outcome)
        if isinstance(caller_reply.outcome, outcomes.Complete):
            return _complete_response(caller_reply, method)
        return _error_response(caller_reply)

    def _count_outcome(self, outcome):
        self._deps.counters.count(COUNTERS[type(outcome)])
        is_not_run = isinstance(outcome, outcomes.NotRun)
        if is_not_run and reply.status_of(outcome) in BAD_REQUEST_STATUSES:
            self._deps.counters.count("request.bad")

    def _lookup(self, req):
        service = req.args.get("service", "")
        client = req.args.get("client") or req.remote_addr or ""
        cfg = self._deps.config()
        if not self._deps.is_ready():
            return self._refuse("not-ready")
        preset = cfg.preset_in_force()
        if preset is None or preset.find_service(service) is None:
            return self._refuse("unknown-service")
        try:
            region = self._deps.region_of(cfg, client) or self._deps.region
            members = self._deps.directory().choose(
                region, service, clock.wall_s(), client, self._deps.leaving()
            )
        except ValueError:
            return self._refuse("bad-request")
        self._deps.counters.count("lookup.answered")
        entries = [
            {
                "name": m.name,
                "address": m.address,
                "region": m.region,
                "failure_domain": m.failure_domain,
            }
            for m in members
        ]
        ttl_ms = int(self._deps.lookup_ttl_s * 1000)
        return _json_response(
            {"entries": entries, "ttl_ms": ttl_ms, "version": cfg.version}, 200, cfg
        )

    def _ready(self, req):
        cfg = self._deps.config()
        if self._deps.is_ready() and not self._deps.is_stopping():
            return _json_response({"ready": True}, 200, cfg)
        reason = "stopping" if self._deps.is_stopping() else "not-ready"
        return _json_response({"ready": False, "reason": reason}, 503, cfg, outcomes.NotRun(reason))

    def _state(self, req):
        return _json_response(self._deps.state(), 200, self._deps.config())

    def _forward(self, environ):
        request_body = body.read(environ, self._deps.max_body)
        if isinstance(request_body, outcomes.NotRun):
            response = self._refuse(request_body.reason)
            # It is uncertain where the next request on this connection would start.
            response.headers["Connection"] = "close"
            return response
        if self._deps.is_stopping():
            return self._refuse("stopping")
        received_s = environ.get(http_server.RECEIVED_KEY) or clock.monotonic_s()
        req = caller_request.CallerRequest(
            method=environ["REQUEST_METHOD"],
            target=environ.get("REQUEST_URI", ""),
            headers=tuple(werkzeug.wrappers.Request(environ).headers.items()),
            body=request_body,
            is_gone=environ.get(http_server.IS_GONE_KEY) or (lambda: False),
        )
        caller_reply = self._deps.serve.serve(req, received_s, clock.wall_s())
        elapsed_ms = 1000 * (clock.monotonic_s() - received_s)
        self._deps.counters.timing("request.latency", elapsed_ms)
        return self._to_response(caller_reply, req.method)


def make_app(deps: AppDependencies) -> collections.abc.Callable:
    """Return the WSGI application."""
    return _App(deps)
