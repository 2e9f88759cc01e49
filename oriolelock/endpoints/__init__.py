"""
oriolelock.endpoints
~~~~~~~~~~~~~~~~~~~~

    Sends requests to endpoints over bounded pools of persistent connections.
"""
