"""
oriolelock.bench.policy
~~~~~~~~~~~~~~~~~~~~~~~

    A model of callers, entries and endpoints in simulated time, to compare routing decisions.

    The entries of the model run the decisions of the product (``oriolelock.dispatch``); the
    network, the callers and the endpoints are a few lines each.
"""
