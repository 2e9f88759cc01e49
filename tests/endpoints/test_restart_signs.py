"""Guards against restarts of endpoints that go unnoticed, and against those that are none."""

import pytest

from oriolelock.endpoints import restart_signs


def make_signs(*ends):
    """``ends``: (opened, last used, found ended)."""
    signs = restart_signs.RestartSigns()
    for opened_s, used_s, now in ends:
        signs.record_end(opened_s, used_s, True, now)
    return signs


def test_all_connections_that_end_together_go_unnoticed():
    signs = make_signs((0.0, 9.8, 10.0), (1.0, 9.9, 10.1))
    assert signs.has_restarted([], 10.1)
    assert not signs.has_restarted([], 10.1), "told once"


def test_connections_of_the_new_start_hide_the_end_of_the_old_ones():
    assert make_signs((0.0, 9.8, 10.0), (1.0, 9.9, 10.1)).has_restarted([10.05], 10.1)


@pytest.mark.parametrize(
    ("ends", "open_since_s"),
    [
        pytest.param([(0.0, 10.0, 10.0)], [], id="a single connection"),
        pytest.param([(0.0, 10.0, 10.0), (0.0, 10.0, 10.0)], [3.0], id="another goes on"),
        pytest.param([(0.0, 7.0, 10.0), (0.0, 7.5, 10.0)], [], id="closed while idle"),
        pytest.param([(0.0, 10.0, 10.0), (0.0, 7.5, 10.0)], [], id="one of them idle"),
        pytest.param([(0.0, 10.0, 10.0), (0.0, 12.0, 12.0)], [], id="one after the other"),
        pytest.param([(0.0, 10.0, 10.0), (10.0, 10.5, 10.5)], [], id="never open together"),
    ],
)
def test_end_of_some_connections_is_taken_for_a_restart(ends, open_since_s):
    assert not make_signs(*ends).has_restarted(open_since_s, ends[-1][2])


def test_endpoint_that_closes_after_each_response_seems_to_restart_all_the_time():
    signs = restart_signs.RestartSigns()
    for _ in range(3):
        signs.record_end(9.0, 10.0, False, 10.0)
    assert not signs.has_restarted([], 10.0)
