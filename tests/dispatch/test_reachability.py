"""Whether an entry is cut off from the endpoints."""

from oriolelock.dispatch import reachability


def failing(*endpoints, service="s", refused=False):
    reach = reachability.Reachability()
    for second, endpoint in enumerate(endpoints):
        reach.record_failure(service, endpoint, refused, float(second))
    return reach


def test_one_endpoint_that_fails_often_is_not_a_cut():
    assert not failing("x", "x", "x", "x").is_cut_off("s")


def test_several_endpoints_without_a_success_between_are_a_cut_from_all_services():
    reach = failing("x", "y", "z")
    assert reach.is_cut_off("s")
    assert reach.is_cut_off("other")
    assert set(reach.failures("other")) == {"x", "y", "z"}


def test_success_ends_the_cut():
    reach = failing("x", "y", "z")
    reach.record_success("s")
    assert not reach.is_cut_off("s")
    assert not reach.is_cut_off("other")


def test_success_of_another_service_leaves_the_cut_from_one_service():
    reach = failing("x", "y", "z")
    reach.record_success("other")
    assert reach.is_cut_off("s")
    assert not reach.is_cut_off("other")


def test_success_between_failures_starts_the_count_anew():
    reach = failing("x", "y")
    reach.record_success("s")
    reach.record_failure("s", "z", False, 3.0)
    assert not reach.is_cut_off("s")


def test_refused_connections_do_not_show_that_open_ones_are_lost():
    assert not failing("x", "y", "z", refused=True).are_connections_lost("s")
    assert failing("x", "y", "z").are_connections_lost("s")


def test_endpoints_that_were_removed_are_forgotten():
    reach = failing("x", "y", "z")
    reach.retain({"x", "y"})
    assert not reach.is_cut_off("s")


def test_timeouts_beside_responses_are_due_to_load():
    reach = failing("x", "y", "z")
    reach.record_response("s")
    assert not reach.is_cut_off("s")
    assert not reach.is_cut_off("other")


def test_refusals_beside_responses_are_a_cut_of_new_connections():
    reach = failing("x", "y", "z", refused=True)
    reach.record_response("s")
    assert reach.is_cut_off("s")
