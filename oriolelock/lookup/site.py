"""
oriolelock.lookup.site
~~~~~~~~~~~~~~~~~~~~~~

    Site that client blocks are assigned to.
"""

import dataclasses

__all__ = ["Site"]


@dataclasses.dataclass(frozen=True)
class Site:
    """A site; the entries of ``region`` serve its clients."""

    name: str
    region: str
