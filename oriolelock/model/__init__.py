"""
oriolelock.model
~~~~~~~~~~~~~~~~

    The configuration as frozen data: presets, drains, members, endpoints, and their changes.
"""
