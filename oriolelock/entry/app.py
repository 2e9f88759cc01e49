"""
oriolelock.entry.app
~~~~~~~~~~~~~~~~~~~~

    The WSGI application that callers talk to.
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

__all__ = ["Parts", "make_app"]

OWN_PATHS = "/oriolelock/"
COUNTERS = {
    outcomes.Complete: "request.complete",
    outcomes.NotRun: "request.not_run",
    outcomes.Unknown: "request.unknown",
}
BAD_STATUSES = (400, 404, 413, 431)

log = logs.get_logger("entry")


@dataclasses.dataclass(frozen=True)
class Parts:
    """What the application answers from.

    ``region_of`` maps a client's IP address to its region, or None if unknown; ``in_flight``
    is told +1 and -1 around each request; ``leaving`` names entries that are known to leave
    before the configuration says so.
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


def _json(data, status, cfg, outcome=None, request_id=None):
    item = reply.Reply(
        outcome or outcomes.Complete(status, (), b""), request_id or uuid.uuid4().hex, cfg.version
    )
    return werkzeug.wrappers.Response(
        json.dumps(data, separators=(",", ":")),
        status=status,
        headers=reply.outcome_headers(item),
        content_type="application/json",
    )


def _error(item: reply.Reply) -> werkzeug.wrappers.Response:
    headers = reply.outcome_headers(item)
    word = "not-run" if isinstance(item.outcome, outcomes.NotRun) else "unknown"
    text = {"outcome": word, "reason": item.outcome.reason, "request_id": item.request_id}
    return werkzeug.wrappers.Response(
        json.dumps(text),
        status=reply.status_of(item.outcome),
        headers=headers,
        content_type="application/json",
    )


def _complete(item: reply.Reply, method: str) -> werkzeug.wrappers.Response:
    response = werkzeug.wrappers.Response(item.outcome.body, status=item.outcome.status)
    # An answer without a type stays without one.
    del response.headers["Content-Type"]
    # The length that an endpoint would send with GET is not passed on.
    if method == "HEAD":
        response.automatically_set_content_length = False
        response.headers.remove("Content-Length")
    for name, value in item.outcome.headers:
        response.headers.add(name, value)
    response.headers.extend(reply.outcome_headers(item))
    return response


class _App:
    def __init__(self, parts: Parts):
        self._parts = parts
        self._own = {
            "/oriolelock/lookup": self._lookup,
            "/oriolelock/ready": self._ready,
            "/oriolelock/state": self._state,
        }

    def __call__(self, environ, start_response):
        self._parts.in_flight(1)
        is_ready = self._parts.is_ready()
        try:
            response = self._respond(environ)
            if not is_ready:
                # The version may be older than one that callers saw before a restart.
                response.headers.pop(reply.VERSION_HEADER, None)
            return response(environ, start_response)
        finally:
            self._parts.in_flight(-1)

    def _respond(self, environ):
        path = environ.get("PATH_INFO", "")
        try:
            if path.startswith(OWN_PATHS):
                return self._respond_own(environ, path)
            return self._forward(environ)
        except Exception:
            # A fault in one request must not end the others; what ran is not known.
            log.exception("request failed")
            item = reply.Reply(
                outcomes.Unknown("connection-lost"), uuid.uuid4().hex, self._parts.config().version
            )
            self._count(item.outcome)
            return _error(item)

    def _respond_own(self, environ, path):
        handler = self._own.get(path)
        if handler is None or environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            return self._refuse("bad-request")
        return handler(werkzeug.wrappers.Request(environ))

    def _refuse(self, reason):
        return self._finish(
            reply.Reply(outcomes.NotRun(reason), uuid.uuid4().hex, self._parts.config().version)
        )

    def _finish(self, item, method="GET"):
        self._count(item.outcome)
        if isinstance(item.outcome, outcomes.Complete):
            return _complete(item, method)
        return _error(item)

    def _count(self, outcome):
        self._parts.counters.count(COUNTERS[type(outcome)])
        refused = isinstance(outcome, outcomes.NotRun)
        if refused and reply.status_of(outcome) in BAD_STATUSES:
            self._parts.counters.count("request.bad")

    def _lookup(self, req):
        service = req.args.get("service", "")
        client = req.args.get("client") or req.remote_addr or ""
        cfg = self._parts.config()
        if not self._parts.is_ready():
            return self._refuse("not-ready")
        preset = cfg.preset_in_force()
        if preset is None or preset.find_service(service) is None:
            return self._refuse("unknown-service")
        try:
            region = self._parts.region_of(cfg, client) or self._parts.region
            chosen = self._parts.directory().choose(
                region, service, clock.wall_s(), client, self._parts.leaving()
            )
        except ValueError:
            return self._refuse("bad-request")
        self._parts.counters.count("lookup.answered")
        entries = [
            {
                "name": m.name,
                "address": m.address,
                "region": m.region,
                "failure_domain": m.failure_domain,
            }
            for m in chosen
        ]
        ttl_ms = int(self._parts.lookup_ttl_s * 1000)
        return _json({"entries": entries, "ttl_ms": ttl_ms, "version": cfg.version}, 200, cfg)

    def _ready(self, req):
        cfg = self._parts.config()
        if self._parts.is_ready() and not self._parts.is_stopping():
            return _json({"ready": True}, 200, cfg)
        reason = "stopping" if self._parts.is_stopping() else "not-ready"
        return _json({"ready": False, "reason": reason}, 503, cfg, outcomes.NotRun(reason))

    def _state(self, req):
        return _json(self._parts.state(), 200, self._parts.config())

    def _forward(self, environ):
        content = body.read(environ, self._parts.max_body)
        if isinstance(content, outcomes.NotRun):
            response = self._refuse(content.reason)
            # Where the next request would start is not certain.
            response.headers["Connection"] = "close"
            return response
        if self._parts.is_stopping():
            return self._refuse("stopping")
        received_s = environ.get(http_server.RECEIVED_KEY) or clock.monotonic_s()
        req = caller_request.CallerRequest(
            method=environ["REQUEST_METHOD"],
            target=environ.get("REQUEST_URI", ""),
            headers=tuple(werkzeug.wrappers.Request(environ).headers.items()),
            body=content,
            is_gone=environ.get(http_server.IS_GONE_KEY) or (lambda: False),
        )
        item = self._parts.serve.serve(req, received_s, clock.wall_s())
        elapsed_ms = 1000 * (clock.monotonic_s() - received_s)
        self._parts.counters.timing("request.latency", elapsed_ms)
        return self._finish(item, req.method)


def make_app(parts: Parts) -> collections.abc.Callable:
    """Return the WSGI application."""
    return _App(parts)
