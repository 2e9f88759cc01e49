"""
oriolelock.wire.errors
~~~~~~~~~~~~~~~~~~~~~~

    Errors of the wire layer.
"""

__all__ = ["ChannelClosed", "DecodeError", "HandshakeRefused", "WireError"]


class WireError(Exception):
    """Base class of all wire errors."""


class DecodeError(WireError):
    """Data is not a valid message: bad CBOR, unknown wire name, missing or invalid field."""


class HandshakeRefused(WireError):
    """The peer refused the connection, e.g. wrong protocol version, cluster or token."""


class ChannelClosed(WireError):
    """The connection has ended or the peer has timed out."""
