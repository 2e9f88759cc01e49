"""
oriolelock.lookup.client_block
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Address block whose clients are assigned the same entries.
"""

import ipaddress

__all__ = ["block_of"]

PREFIX_LENGTHS = {4: 24, 6: 56}


def block_of(client: str) -> str:
    """Return the block of a client (/24, or /56 for IPv6).

    Raises ValueError if ``client`` is not an IP address.
    """
    address = ipaddress.ip_address(client)
    host_bits = address.max_prefixlen - PREFIX_LENGTHS[address.version]
    return f"{address.version}:{int(address) >> host_bits:x}"
