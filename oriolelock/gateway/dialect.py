"""
oriolelock.gateway.dialect
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Header names and paths that callers and endpoints of a deployment use.
"""

import collections.abc
import dataclasses

from oriolelock.dispatch import endpoint_view

__all__ = ["OWN", "Dialect"]


def _parse_default_load(header: bytes) -> endpoint_view.Load | None:
    """Parse a load report such as ``in_flight=2;slots=6;queued=0``; None if malformed."""
    try:
        fields = dict(part.split("=") for part in header.decode("ascii").split(";"))
        numbers = [fields[name].encode() for name in ("in_flight", "queued", "slots")]
    except (ValueError, KeyError):
        return None
    return endpoint_view.make_load(*numbers)


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Names of headers, in lower case.

    ``request_id``: set by the caller, repeated by the endpoint; ``deadline_ms``: remaining time;
    ``object_key``: affinity key; ``stamp``: proof that an endpoint sent the response, empty for
    none; ``expected_endpoint``: id of the only endpoint that may run the request; ``load``: load
    report, read by ``parse_load``; ``leaving``: ``1`` in all responses of an endpoint that ends
    soon; ``rate_limit``: requests per second that an overloaded endpoint
    takes from all entries; ``not_run``: the endpoint did not run the request; ``endpoint_id`` and
    ``cold_ms``: in responses to health checks.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"oriolelock-deadline-ms"
    object_key: bytes = b"oriolelock-object"
    stamp: bytes = b""
    expected_endpoint: bytes = b"x-expected-endpoint"
    load: bytes = b"x-load"
    parse_load: collections.abc.Callable[[bytes], endpoint_view.Load | None] = _parse_default_load
    leaving: bytes = b"x-leaving"
    rate_limit: bytes = b"x-rate-limit"
    not_run: bytes = b"x-not-run"
    endpoint_id: bytes = b"x-endpoint-id"
    cold_ms: bytes = b"x-cold-ms"
    ready_path: bytes = b"/oriolelock/ready"


OWN = Dialect()
