"""
oriolelock.dispatch.ranking
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Rendezvous hashing: every entry puts the same candidates in the same order for a key.

    After Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
"""

import collections.abc

import xxhash

__all__ = ["order", "weight"]


def weight(key: str, name: str) -> int:
    """Return the rank of ``name`` for ``key``; the largest comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())


def order(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return ``names``, the preferred one for ``key`` first."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)
