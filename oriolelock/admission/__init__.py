"""
oriolelock.admission
~~~~~~~~~~~~~~~~~~~~

    Decides which request may run: queues, shares, limits, retry budget and quarantine. Does no
    I/O and reads no clock; callers serialize access with one lock.
"""
