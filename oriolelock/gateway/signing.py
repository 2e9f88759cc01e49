"""
oriolelock.gateway.signing
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Authenticates what entries send each other, by the cluster's token.
"""

import hashlib
import hmac

__all__ = ["TAG_BYTES", "sign", "verify"]

TAG_BYTES = 8


def _tag(payload, token):
    return hashlib.blake2b(payload, digest_size=TAG_BYTES, key=token.encode()[:64]).digest()


def sign(payload: bytes, token: str) -> bytes:
    """Return the payload with an authentication tag in front."""
    return _tag(payload, token) + payload


def verify(data: bytes, token: str) -> bytes | None:
    """Return the payload of signed data, or None if the tag is wrong."""
    payload = data[TAG_BYTES:]
    return payload if hmac.compare_digest(data[:TAG_BYTES], _tag(payload, token)) else None
