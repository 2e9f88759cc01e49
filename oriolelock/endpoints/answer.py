"""
oriolelock.endpoints.answer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Judges what a transfer received: a whole answer to this request, or why not.
"""

import pycurl

from oriolelock.endpoints import connection, load_report, request, results

__all__ = ["judge"]

NOT_RUN_WORDS = ("shed", "draining", "deadline")
NO_BODY_STATUSES = (204, 304)
CONNECT_ERRORS = {
    pycurl.E_COULDNT_CONNECT: "refused",
    pycurl.E_OPERATION_TIMEDOUT: "connect-timeout",
}
SHORT_ERRORS = (pycurl.E_PARTIAL_FILE, pycurl.E_RECV_ERROR)
# A refused connection stands here for a kept one that failed and could not be replaced.
LOST_ERRORS = (
    pycurl.E_GOT_NOTHING,
    pycurl.E_SEND_ERROR,
    pycurl.E_RECV_ERROR,
    pycurl.E_COULDNT_CONNECT,
)


def _parse_headers(lines):
    pairs = []
    for line in lines[1:]:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            pairs.append((name.strip(), value.strip()))
    return tuple(pairs)


def _has_length(req, status, lowered):
    if req.method == "HEAD" or status in NO_BODY_STATUSES:
        return True
    # Without either header the end of the body is the end of the connection, and then a body
    # cut short looks whole.
    return "content-length" in lowered or "chunked" in lowered.get("transfer-encoding", "").lower()


def _judge_failure(got, elapsed_s):
    if not got.sent:
        if got.expired:
            return results.NotSent("connect-timeout", elapsed_s)
        if got.error in CONNECT_ERRORS:
            return results.NotSent(CONNECT_ERRORS[got.error], elapsed_s)
    if got.expired or got.silent or got.error == pycurl.E_OPERATION_TIMEDOUT:
        return results.TimedOut(elapsed_s)
    if got.too_large:
        return results.BadAnswer("too-large", elapsed_s)
    if got.header_lines:
        reason = "short" if got.error in SHORT_ERRORS else "malformed"
        return results.BadAnswer(reason, elapsed_s)
    if got.error in LOST_ERRORS:
        return results.ConnectionLost(elapsed_s)
    return results.BadAnswer("malformed", elapsed_s)


def judge(req: request.Request, got: connection.Transfer, elapsed_s: float) -> results.Result:
    """Return the result of an attempt; anything but a whole own answer is a failure."""
    if got.expired or got.silent or got.error or got.too_large or not got.header_lines:
        return _judge_failure(got, elapsed_s)
    if not got.headers_end:
        return results.BadAnswer("short", elapsed_s)
    headers = _parse_headers(got.header_lines)
    lowered = {name.lower(): value for name, value in headers}
    if lowered.get("x-request-id") != req.request_id:
        return results.BadAnswer("crossed", elapsed_s)
    if not _has_length(req, got.status, lowered):
        return results.BadAnswer("no-length", elapsed_s)
    load = load_report.parse(lowered)
    not_run = lowered.get("x-not-run")
    if got.status == 503 and not_run in NOT_RUN_WORDS:
        return results.RefusedByEndpoint(not_run, elapsed_s, load)
    return results.Completed(got.status, headers, b"".join(got.chunks), elapsed_s, load)
