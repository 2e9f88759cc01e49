"""
oriolelock.control
~~~~~~~~~~~~~~~~~~

    The control replica daemon: consensus groups, peer links, operator API, instance list and
    failure detector.
"""
