"""
oriolelock.consensus
~~~~~~~~~~~~~~~~~~~~

    A replicated log without I/O, after Raft (Ongaro and Ousterhout, 2014).
"""
