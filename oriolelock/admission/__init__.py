"""
oriolelock.admission
~~~~~~~~~~~~~~~~~~~~

    Which request may run now: queues, shares, limits, retry budget and quarantine. No I/O and
    no clocks; callers hold one lock around all of it.
"""
