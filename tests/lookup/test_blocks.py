"""Guards against clients assigned to a block that does not contain them."""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.lookup import blocks, packing
from oriolelock.model import errors

REGIONS = {"a": "east", "b": "west", "c": "north"}

networks = st.builds(
    lambda address, length: str(ipaddress.IPv4Network((address, length), strict=False)),
    st.integers(0x0A000000, 0x0A0000FF),
    st.integers(22, 32),
)


def find_by_linear_search(assigned, address):
    containing = [n for n in assigned if ipaddress.IPv4Address(address) in ipaddress.IPv4Network(n)]
    if not containing:
        return None
    return assigned[max(containing, key=lambda n: ipaddress.IPv4Network(n).prefixlen)]


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(
    st.lists(
        st.lists(st.tuples(networks, st.sampled_from(["a", "b", "c", ""])), max_size=8),
        max_size=4,
    ),
    st.lists(st.integers(0x09FFFF00, 0x0A0001FF), min_size=1, max_size=30),
)
def test_find_agrees_with_a_linear_search(updates, addresses):
    data, assigned = b"", {}
    for update in updates:
        data = packing.update(data, update, REGIONS)
        for block, site in dict(update).items():
            assigned.pop(block, None)
            if site:
                assigned[block] = site
    table = blocks.BlockTable(data)
    assert len(table) == len(assigned)
    for address in addresses:
        matched_site = table.find(address)
        assert (matched_site.name if matched_site else None) == find_by_linear_search(
            assigned, address
        )


def test_whole_range_and_last_address():
    table = blocks.BlockTable(packing.update(b"", [("0.0.0.0/0", "a")], REGIONS))
    assert table.find_text("255.255.255.255").region == "east"
    assert table.find_text("not-an-address") is None


@pytest.mark.parametrize("block", ["10.0.0.1/8", "10.0.0.0/33", "x"])
def test_bad_block_is_refused(block):
    with pytest.raises(errors.InvalidData, match="block"):
        packing.update(b"", [(block, "a")], REGIONS)


def test_site_without_region_is_refused():
    with pytest.raises(errors.InvalidData, match="no region"):
        packing.update(b"", [("10.0.0.0/8", "z")], REGIONS)


def test_packed_blocks_take_seven_bytes_each():
    """Guards the memory limit of an entry, which one object per block would exceed at 700,000."""
    update = [(f"{n >> 8}.{n & 255}.0.0/16", "a") for n in range(20_000)]
    assert len(packing.update(b"", update, REGIONS)) < 20_000 * 7 + 200


@given(
    st.one_of(
        st.builds("{}.{}.{}.{}/{}".format, *[st.integers(0, 300)] * 4, st.integers(0, 40)),
        st.builds(
            lambda start, bits: str(ipaddress.IPv4Network((start, bits), strict=False)),
            st.integers(0, 2**32 - 1),
            st.integers(0, 32),
        ),
        st.sampled_from(
            ("10.0.0.0", "10.0.0.0/", "10.0.0.0/08", "010.0.0.0/8", "10.0.0.0/255.0.0.0")
            + ("10.0.0.0/²", "10.0.0.0/8/8", " 10.0.0.0/8", "10.0.0.0\0/8", "10/8", "::/0", "")
        ),
        st.text(alphabet="0123456789./- ", max_size=20),
    )
)
def test_blocks_are_parsed_like_ipaddress(text):
    """Replicas that parsed a block differently would hold different configurations."""
    try:
        network = ipaddress.IPv4Network(text)
    except ValueError:
        with pytest.raises(errors.InvalidData):
            packing.update(b"", [(text, "a")], {"a": "r"})
        return
    data = packing.update(b"", [(text, "a")], {"a": "r"})
    table = packing.unpack(data)
    assert int(table.starts[0]) == int(network.network_address)
    assert int(table.lengths[0]) == network.prefixlen
