"""
oriolelock.bench.errors
~~~~~~~~~~~~~~~~~~~~~~~

    Errors of the benchmark layer.
"""

__all__ = ["BenchError", "CallFailed", "NotReady"]


class BenchError(Exception):
    """Base of all errors of this layer."""


class NotReady(BenchError):
    """A condition did not hold in time."""


class CallFailed(BenchError):
    """A request got no complete answer."""
