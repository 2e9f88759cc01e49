"""
oriolelock.endpoints.errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Errors of the endpoints layer.
"""

__all__ = ["EndpointsError", "UnsendableRequest"]


class EndpointsError(Exception):
    """Base of all errors of this layer."""


class UnsendableRequest(EndpointsError):
    """The request can't be written as HTTP; nothing was sent."""
