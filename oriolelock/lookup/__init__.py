"""
oriolelock.lookup
~~~~~~~~~~~~~~~~~

    Maps a client's address to the entries that it should use.
"""
