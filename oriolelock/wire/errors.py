"""
oriolelock.wire.errors
~~~~~~~~~~~~~~~~~~~~~~

    Errors of the wire layer.
"""

__all__ = ["ChannelClosed", "DecodeError", "HandshakeRefused", "WireError"]


class WireError(Exception):
    """Base of all errors of this layer."""


class DecodeError(WireError):
    """Bytes that are not a known message: bad CBOR, unknown type, missing or wrong field."""


class HandshakeRefused(WireError):
    """The peer refused the connection: wrong protocol version, cluster or token."""


class ChannelClosed(WireError):
    """The connection ended or went silent."""
