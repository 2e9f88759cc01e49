"""
oriolelock.endpoints
~~~~~~~~~~~~~~~~~~~~

    Exchanges with endpoints over bounded pools of reused connections.
"""
