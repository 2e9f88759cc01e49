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
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    return endpoint_view.Load(running, waiting, slots)


DIALECT = dialect.Dialect(
    request_id=b"x-request-id",
    deadline_ms=b"x-deadline-ms",
    object_key=b"x-affinity-key",
    stamp=b"x-server-stamp",
    expected_endpoint=b"x-expected-instance",
    load=b"x-server-load",
    parse_load=_read_load,
    rate_limit=b"server-limit",
    not_run=b"x-not-executed",
    endpoint_id=b"x-instance-id",
    cold_ms=b"x-cold-ms",
    ready_path=b"/oriolelock/ready",
)
