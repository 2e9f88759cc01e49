"""
oriolelock.distribution.errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Errors of the distribution layer.
"""

__all__ = ["CallRefused", "CallTimeout", "Disconnected", "DistributionError"]


class DistributionError(Exception):
    """Base class of all errors of this layer."""


class Disconnected(DistributionError):
    """There is no connection to a parent, or it ended before the reply."""


class CallTimeout(DistributionError):
    """No reply arrived within the timeout; the call may have been executed."""


class CallRefused(DistributionError):
    """Control replied with an error instead of a result."""
