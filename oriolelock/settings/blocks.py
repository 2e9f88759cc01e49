"""
oriolelock.settings.blocks
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Client blocks and their sites from a YAML file.
"""

import ipaddress

from oriolelock.model import changes
from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["parse"]


def parse(top: nodes.Node) -> changes.PutBlocks:
    """Return the change in ``top``; raises SettingsError.

    ``blocks`` maps ``a.b.c.d/n`` to a site, or to an empty text to remove the block;
    ``sites`` maps a site to its region.
    """
    sites = getters.get_node(top, "sites", {})
    site_names = sites.keys()
    regions = {name: getters.get_str(sites, name) for name in site_names}
    blocks = getters.get_node(top, "blocks")
    block_names = blocks.keys()
    pairs = []
    for name in block_names:
        try:
            ipaddress.IPv4Network(name)
        except ValueError as exc:
            raise blocks.fail(name, name, f"a block as a.b.c.d/n ({exc})") from exc
        site = blocks.fetch(name)
        if not isinstance(site, str) or (site and site not in regions):
            raise blocks.fail(name, site, "a site of this file, or an empty text")
        pairs.append((name, site))
    return changes.PutBlocks(tuple(pairs), regions)
