"""
oriolelock.dispatch.ranking
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Rendezvous hashing: every entry puts the same candidates in the same order for a key.

    After Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
"""

import collections.abc

import xxhash

__all__ = ["digest", "order", "position", "weight"]


def digest(key: str) -> int:
    """Return a number of 32 bits that stands for ``key``, the same on every entry."""
    return xxhash.xxh32_intdigest(key.encode())


def weight(key: str, name: str) -> int:
    """Return the rank of ``name`` for ``key``; the largest comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())


def order(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return ``names``, the preferred one for ``key`` first."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)


def position(key: str) -> float:
    """Return a position from 0 to 1 that is independent of the ranks."""
    return xxhash.xxh3_64_intdigest(key.encode()) / 2.0**64
