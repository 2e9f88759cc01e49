"""
oriolelock.endpoints.liveness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Distinguishes a dead endpoint from a single lost connection.
"""

import socket

__all__ = ["is_refusing"]

CONNECT_TIMEOUT_S = 0.25


def is_refusing(address: str) -> bool:
    """Return whether ``address`` (``a.b.c.d:port``) refuses connections."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
