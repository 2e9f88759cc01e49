"""
oriolelock.lookup.site
~~~~~~~~~~~~~~~~~~~~~~

    A site that blocks of clients are steered to.
"""

import dataclasses

__all__ = ["Site"]


@dataclasses.dataclass(frozen=True)
class Site:
    """``region`` is the region whose entries serve the site's clients."""

    name: str
    region: str
