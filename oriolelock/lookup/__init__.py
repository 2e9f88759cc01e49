"""
oriolelock.lookup
~~~~~~~~~~~~~~~~~

    From a client's address to the entries it should use.
"""
