"""
oriolelock.endpoints.classifier
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Classifies the outcome of a transfer: a complete response to the request, or a failure.
"""

import re

import pycurl

from oriolelock.endpoints import connection, load_report, request, results

__all__ = ["classify"]

# Of a final response (RFC 9112, section 4). libcurl takes other forms and statuses too, and reads
# a status of four digits as its first three.
STATUS_LINE = re.compile(rb"HTTP/1\.\d [2-5]\d\d(?: [^\r\n]*)?\r?\n")
NOT_RUN_REASONS = ("shed", "draining", "deadline")
NO_BODY_STATUSES = (204, 304)
CONNECT_ERRORS = {
    pycurl.E_COULDNT_CONNECT: "refused",
    pycurl.E_OPERATION_TIMEDOUT: "connect-timeout",
}
TRUNCATED_ERRORS = (pycurl.E_PARTIAL_FILE, pycurl.E_RECV_ERROR)
# After the request was sent, a failed connect means that a reused connection failed and libcurl
# could not replace it.
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


def _has_length(req, status, headers_by_name):
    if req.method == "HEAD" or status in NO_BODY_STATUSES:
        return True
    # Without either header the body ends when the connection closes, so a truncated body cannot
    # be detected.
    return (
        "content-length" in headers_by_name
        or "chunked" in headers_by_name.get("transfer-encoding", "").lower()
    )


def _classify_failure(transfer, elapsed_s):
    if not transfer.sent:
        if transfer.timed_out:
            return results.NotSent("connect-timeout", elapsed_s)
        if transfer.error in CONNECT_ERRORS:
            return results.NotSent(CONNECT_ERRORS[transfer.error], elapsed_s)
    if (
        transfer.timed_out
        or transfer.first_byte_timeout
        or transfer.error == pycurl.E_OPERATION_TIMEDOUT
    ):
        return results.TimedOut(elapsed_s)
    if transfer.too_large:
        return results.InvalidResponse("too-large", elapsed_s)
    if transfer.header_lines:
        reason = "short" if transfer.error in TRUNCATED_ERRORS else "malformed"
        return results.InvalidResponse(reason, elapsed_s)
    if transfer.error in LOST_ERRORS:
        return results.ConnectionLost(elapsed_s)
    return results.InvalidResponse("malformed", elapsed_s)


def classify(
    req: request.Request, transfer: connection.Transfer, elapsed_s: float
) -> results.Result:
    """Return the result of an attempt; anything but a complete matching response is a failure."""
    if (
        transfer.timed_out
        or transfer.first_byte_timeout
        or transfer.error
        or transfer.too_large
        or not transfer.header_lines
    ):
        return _classify_failure(transfer, elapsed_s)
    if not transfer.headers_end:
        return results.InvalidResponse("short", elapsed_s)
    if not STATUS_LINE.fullmatch(transfer.header_lines[0]):
        return results.InvalidResponse("malformed", elapsed_s)
    headers = _parse_headers(transfer.header_lines)
    headers_by_name = {name.lower(): value for name, value in headers}
    if headers_by_name.get("x-request-id") != req.request_id:
        return results.InvalidResponse("crossed", elapsed_s)
    if not _has_length(req, transfer.status, headers_by_name):
        return results.InvalidResponse("no-length", elapsed_s)
    load = load_report.parse(headers_by_name)
    not_run = headers_by_name.get("x-not-run")
    if transfer.status == 503 and not_run in NOT_RUN_REASONS:
        return results.RefusedByEndpoint(not_run, elapsed_s, load)
    return results.Completed(transfer.status, headers, bytes(transfer.body), elapsed_s, load)
