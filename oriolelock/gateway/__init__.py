"""
oriolelock.gateway
~~~~~~~~~~~~~~~~~~

    The entry for routes: requests by host and path go to the endpoints of their services.
"""
