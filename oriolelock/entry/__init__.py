"""
oriolelock.entry
~~~~~~~~~~~~~~~~

    The daemon that callers talk to: lookups, request forwarding and graceful stop.
"""
