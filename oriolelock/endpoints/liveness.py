"""
oriolelock.endpoints.liveness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Tells a death of an endpoint from a loss of one connection.
"""

import socket

__all__ = ["is_refusing"]

CONNECT_TIMEOUT_S = 0.25


def is_refusing(address: str) -> bool:
    """Return whether nothing listens at ``address`` (``a.b.c.d:port``) any more."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
