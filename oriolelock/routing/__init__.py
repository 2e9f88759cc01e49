"""
oriolelock.routing
~~~~~~~~~~~~~~~~~~

    Chooses the endpoint that serves a request. Does no I/O and reads no clock; callers
    serialize access with one lock.
"""
