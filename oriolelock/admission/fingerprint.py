"""
oriolelock.admission.fingerprint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Fingerprints of requests, which tell whether two requests are the same, or alike.

    A request that crashes endpoints may be sent again unchanged, or with another query or other
    headers each time. So a fingerprint has separate digests of these parts, and four levels stand
    for all requests that agree in the rest: the request itself, any headers, any query, and both.
"""

import collections.abc

import xxhash

__all__ = ["ANY", "LEVELS", "is_wide", "levels", "make"]

# Characters of the parts; the first one stands for what the requests of all levels share.
SHARED_LENGTH = 16
DETAIL_LENGTH = 8
LENGTH = SHARED_LENGTH + 2 * DETAIL_LENGTH
LEVELS = 4
# In place of the digest of a part that may differ.
ANY = "-" * DETAIL_LENGTH


def make(
    names: collections.abc.Iterable[str | bytes],
    body: bytes | bytearray,
    query: bytes,
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> str:
    """Return the fingerprint of a request as 32 hexadecimal digits.

    ``names``: service, operation, method, path and the like. ``headers``: those that a caller
    sends again unchanged, in any order.
    """
    shared = xxhash.xxh3_64()
    for part in (*(n.encode() if isinstance(n, str) else n for n in names), body):
        # The length distinguishes ("ab", "c") from ("a", "bc").
        shared.update(b"%d:" % len(part))
        shared.update(part)
    sent_headers = xxhash.xxh3_64()
    for name, value in sorted(headers):
        sent_headers.update(b"%d:%b%d:%b" % (len(name), name, len(value), value))
    query_digest = xxhash.xxh3_64_hexdigest(query)[:DETAIL_LENGTH]
    return shared.hexdigest() + query_digest + sent_headers.hexdigest()[:DETAIL_LENGTH]


def levels(fingerprint: str) -> tuple[str, ...]:
    """Return the keys of a request's levels, the narrowest one first.

    A string that is no fingerprint of this build is its own and only level.
    """
    if len(fingerprint) != LENGTH:
        return (fingerprint,)
    shared, query, headers = _split(fingerprint)
    return (
        fingerprint,
        shared + query + ANY,
        shared + ANY + headers,
        shared + ANY + ANY,
    )


def is_wide(level: str) -> bool:
    """Return whether a level comprises more than one request."""
    return len(level) == LENGTH and ANY in _split(level)


def _split(key):
    end = SHARED_LENGTH + DETAIL_LENGTH
    return key[:SHARED_LENGTH], key[SHARED_LENGTH:end], key[end:]
