"""
oriolelock.standin
~~~~~~~~~~~~~~~~~~

    Emulators of what the system runs against: endpoints, the platform's instance list and
    network links. For tests, experiments and demonstrations only.
"""
