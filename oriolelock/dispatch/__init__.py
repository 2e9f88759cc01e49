"""
oriolelock.dispatch
~~~~~~~~~~~~~~~~~~~

    Load balancing decisions: endpoint selection, admission and retries.

    No I/O: every function takes the event and the time, ``now``.
"""
