"""
oriolelock.gateway
~~~~~~~~~~~~~~~~~~

    The entry of HTTP routes: a reverse proxy that forwards requests by host and path.
"""
