"""
oriolelock.endpoints.errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Exceptions of the endpoints layer.
"""

__all__ = ["EndpointsError", "UnsendableRequest"]


class EndpointsError(Exception):
    """Base class of all exceptions of this layer."""


class UnsendableRequest(EndpointsError):
    """The request cannot be serialized as HTTP; nothing was sent."""
