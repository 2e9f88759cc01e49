"""
oriolelock.distribution
~~~~~~~~~~~~~~~~~~~~~~~

    How committed changes reach every entry, and how reports and calls travel back.
"""
