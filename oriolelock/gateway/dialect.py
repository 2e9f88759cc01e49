"""
oriolelock.gateway.dialect
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The names of headers and paths that callers and endpoints of a deployment use.
"""

import collections.abc
import dataclasses

from oriolelock.dispatch import endpoint_view

__all__ = ["OWN", "Dialect"]


def _own_load(value: bytes) -> endpoint_view.Load | None:
    """Return the load in ``in_flight=2;slots=6;queued=0``, None for anything else."""
    try:
        fields = dict(part.split("=") for part in value.decode("ascii").split(";"))
        return endpoint_view.Load(
            int(fields["in_flight"]), int(fields["queued"]), int(fields["slots"])
        )
    except (ValueError, KeyError):
        return None


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Names of headers, in lower case.

    ``request_id``: of the caller, repeated by the endpoint; ``deadline_ms``: time left;
    ``object_key``: what the request concerns; ``stamp``: proof that an endpoint answered;
    ``expected_endpoint``: only the endpoint with this id may run it; ``not_run``: the endpoint
    has not run it; ``endpoint_id`` and ``cold_ms``: in answers to health checks.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"oriolelock-deadline-ms"
    object_key: bytes = b"oriolelock-object"
    stamp: bytes = b""
    expected_endpoint: bytes = b"x-expected-endpoint"
    load: bytes = b"x-load"
    parse_load: collections.abc.Callable[[bytes], endpoint_view.Load | None] = _own_load
    not_run: bytes = b"x-not-run"
    endpoint_id: bytes = b"x-endpoint-id"
    cold_ms: bytes = b"x-cold-ms"
    ready_path: bytes = b"/oriolelock/ready"


OWN = Dialect()
