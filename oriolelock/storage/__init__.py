"""
oriolelock.storage
~~~~~~~~~~~~~~~~~~

    The durable log, vote and snapshot of one group on one replica.
"""
