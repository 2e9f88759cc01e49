"""
oriolelock.dispatch.ranking
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Rendezvous hashing: every entry ranks the candidates for a key in the same order.

    After Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
"""

import collections.abc

import xxhash

__all__ = ["digest", "order", "position", "weight"]


def digest(key: str) -> int:
    """Return a 32-bit digest of ``key``, the same on every entry."""
    return xxhash.xxh32_intdigest(key.encode())


def weight(key: str, name: str) -> int:
    """Return the rendezvous weight of ``name`` for ``key``; the largest is preferred."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())


def order(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return ``names`` by descending weight for ``key``."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)


def position(key: str) -> float:
    """Return a hash of ``key`` from 0 to 1 that is independent of the weights."""
    return xxhash.xxh3_64_intdigest(key.encode()) / 2.0**64
