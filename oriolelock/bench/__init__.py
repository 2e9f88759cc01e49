"""
oriolelock.bench
~~~~~~~~~~~~~~~~

    Load generator, experiments and the measurements behind docs/CAPACITY.md.
"""
