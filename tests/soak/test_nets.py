"""Soaks that run side by side do not meet."""

from tests.soak import main


def test_the_same_seed_twice_at_once_gets_two_parts_of_the_range():
    """Two CI runs side by side failed to listen at the same addresses."""
    first, one = main._take_net(22, [])
    second, other = main._take_net(22, [])
    one.close()
    other.close()
    assert first != second
