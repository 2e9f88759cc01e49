"""
oriolelock.once
~~~~~~~~~~~~~~~

    The at-most-once record of idempotency keys.
"""
