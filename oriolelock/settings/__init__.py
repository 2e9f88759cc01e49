"""
oriolelock.settings
~~~~~~~~~~~~~~~~~~~

    YAML settings, read through typed getters and checked before anything starts.
"""
