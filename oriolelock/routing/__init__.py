"""
oriolelock.routing
~~~~~~~~~~~~~~~~~~

    Which endpoint serves a request. No I/O and no clocks; callers hold one lock around it.
"""
