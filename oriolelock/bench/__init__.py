"""
oriolelock.bench
~~~~~~~~~~~~~~~~

    Load generator, experiments and the measurements behind docs/CAPACITY.md; fleets of
    processes on one machine, and the demonstration.
"""
