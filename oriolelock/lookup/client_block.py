"""
oriolelock.lookup.client_block
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The block of addresses whose clients are told the same entries.
"""

import ipaddress

__all__ = ["block_of"]

BITS = {4: 24, 6: 56}


def block_of(client: str) -> str:
    """Return the client's block (/24, or /56 for IPv6); raises ValueError."""
    address = ipaddress.ip_address(client)
    shift = address.max_prefixlen - BITS[address.version]
    return f"{address.version}:{int(address) >> shift:x}"
