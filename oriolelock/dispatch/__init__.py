"""
oriolelock.dispatch
~~~~~~~~~~~~~~~~~~~

    Decisions on requests of routes: which endpoint, whether to refuse, whether to send again.

    No I/O: each function takes what happened and ``now``.
"""
