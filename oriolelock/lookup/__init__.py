"""
oriolelock.lookup
~~~~~~~~~~~~~~~~~

    Which entries a caller is told to use.
"""
