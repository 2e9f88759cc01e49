"""
oriolelock.distribution
~~~~~~~~~~~~~~~~~~~~~~~

    Sends committed changes to every entry, and status reports and calls back to control.
"""
