"""
oriolelock.entry
~~~~~~~~~~~~~~~~

    The daemon that serves callers: lookups, request forwarding and graceful shutdown.
"""
