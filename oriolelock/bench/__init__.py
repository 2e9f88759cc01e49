"""
oriolelock.bench
~~~~~~~~~~~~~~~~

    Fleets of processes on one machine, the demonstration, and experiments.
"""
