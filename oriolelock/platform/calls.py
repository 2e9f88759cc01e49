"""
oriolelock.platform.calls
~~~~~~~~~~~~~~~~~~~~~~~~~

    The calls of operators and callers at a control replica, by method and path.
"""

import json
import urllib.parse

from oriolelock import events
from oriolelock.control import hosted, route_operations, unavailable
from oriolelock.http1 import exchange as exchanges
from oriolelock.http1 import messages as http
from oriolelock.model import errors, results
from oriolelock.platform import headers, quantities, routes

__all__ = ["make_handler"]

PUT = b"/oriolelock/Config.Replace"
PATCH = b"/oriolelock/Config.Patch"
READ = b"/oriolelock/Config.Get"
EVACUATE = b"/oriolelock/Evacuations.Start/"
RESTORE = b"/oriolelock/Evacuations.Stop/"
METRICS = b"/metrics"
JSON = ((b"content-type", b"application/json"),)

log = events.Events("operator")


def _json(status, data):
    return http.Response(status, JSON, json.dumps(data, separators=(",", ":")).encode())


def _error(status, text):
    return _json(status, {"error": text})


def _change_answer(result):
    match result:
        case results.Applied():
            return _json(200, {})
        case results.Conflict(version=revision):
            text = f"the version in place is {quantities.write_revision(revision)}"
            return _error(412, text)
        case results.Refused(reason=reason):
            return _error(400, reason)
        case unavailable.Unavailable(reason=reason):
            return _error(503, reason)
    return _error(500, "unexpected result")


def _restore_answer(result):
    # What is not evacuated is in the state that was asked for.
    return _json(200, {}) if isinstance(result, results.Refused) else _change_answer(result)


def _table_answer(table):
    if table is None:
        return _error(503, "the newest version is not known here now")
    if not table.revision:
        return _error(503, "no version yet")
    return http.Response(200, JSON, routes.write(table))


def make_handler(replica: hosted.Hosted):
    """Return the function that answers exchanges with callers of a control replica."""

    def finish(exchange, fut, encode, what, **fields):
        def encode_logged(result):
            answer = encode(result)
            log.notable(what, status=answer.status, result=type(result).__name__, **fields)
            return answer

        replica.answer_later(exchange, fut, encode_logged)

    def change(exchange, read, what):
        req = exchange.request
        base = (req.header(headers.BASE_VERSION) or b"r0").decode("latin-1")
        try:
            found = read(base, req.body)
            problem = route_operations.precheck(found)
            if problem:
                raise errors.InvalidData(problem)
        except errors.InvalidData as exc:
            log.notable(what, status=400, base=base, reason=str(exc))
            exchange.reply(_error(400, str(exc)))
            return
        number = (found.table if what == "put" else found.patch).revision
        fut = replica.operations.change(found)
        finish(exchange, fut, _change_answer, what, base=base, revision=number)

    def post(exchange, path):
        if path == PUT:
            change(exchange, routes.put_from, "put")
        elif path == PATCH:
            change(exchange, routes.patch_from, "patch")
        elif path.startswith(EVACUATE):
            zone = urllib.parse.unquote(path[len(EVACUATE) :].decode("latin-1"))
            fut = replica.operations.evacuate(zone, lambda: not exchange.is_over)
            finish(exchange, fut, _change_answer, "evacuate", domain=zone)
        elif path.startswith(RESTORE):
            zone = urllib.parse.unquote(path[len(RESTORE) :].decode("latin-1"))
            fut = replica.operations.restore(zone, lambda: not exchange.is_over)
            finish(exchange, fut, _restore_answer, "restore", domain=zone)
        else:
            exchange.reply(_error(404, "no such call"))

    def handle(exchange: exchanges.Exchange) -> None:
        req = exchange.request
        if req.method == b"POST":
            post(exchange, req.path)
        elif req.path == READ:
            replica.answer_later(exchange, replica.operations.read(), _table_answer)
        elif req.path == METRICS:
            exchange.reply(replica.text(replica.metrics_text()))
        elif req.path == headers.DIALECT.ready_path:
            ready = bool(replica.replica.status().leader)
            exchange.reply(replica.text("", 200 if ready else 503))
        else:
            exchange.reply(_error(404, "no such call"))

    return handle
