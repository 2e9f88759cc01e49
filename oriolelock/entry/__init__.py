"""
oriolelock.entry
~~~~~~~~~~~~~~~~

    The daemon that callers talk to: look-ups, request forwarding and graceful stop.
"""
