"""
oriolelock.once
~~~~~~~~~~~~~~~

    The replicated record of idempotency keys, which makes a request run at most once.
"""
