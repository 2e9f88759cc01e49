"""
oriolelock.platform.headers
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The platform's header names.
"""

from oriolelock.dispatch import endpoint_view
from oriolelock.gateway import dialect

__all__ = ["BASE_VERSION", "DIALECT"]

BASE_VERSION = b"x-base-version"


def _read_load(value: bytes) -> endpoint_view.Load | None:
    """Return the load in ``running,waiting,slots``, None for anything else."""
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return None
    return endpoint_view.make_load(*parts)


DIALECT = dialect.Dialect(
    request_id=b"x-request-id",
    deadline_ms=b"x-deadline-ms",
    object_key=b"x-affinity-key",
    stamp=b"x-server-stamp",
    expected_endpoint=b"x-expected-instance",
    load=b"x-server-load",
    parse_load=_read_load,
    leaving=b"server-leaving",
    rate_limit=b"server-limit",
    not_run=b"x-not-executed",
    endpoint_id=b"x-instance-id",
    cold_ms=b"x-cold-ms",
    ready_path=b"/oriolelock/ready",
)
