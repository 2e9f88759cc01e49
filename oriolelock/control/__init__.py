"""
oriolelock.control
~~~~~~~~~~~~~~~~~~

    The daemon of a control replica: groups, peers, operator API, instance list, failure
    detector.
"""
