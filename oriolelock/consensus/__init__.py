"""
oriolelock.consensus
~~~~~~~~~~~~~~~~~~~~

    A sans-I/O implementation of the Raft consensus algorithm (Ongaro and Ousterhout, 2014).
"""
