"""Ranks of endpoints for an object, with bounded memory."""

from oriolelock.dispatch import endpoint_view, ranking, rankings
from tests.dispatch import builders


def make_views(count, domains=("a1", "b1")):
    return [
        endpoint_view.EndpointView(builders.make_endpoint(f"{domain}-{number}", domain))
        for domain in domains
        for number in range(count)
    ]


def test_first_endpoints_of_each_region_are_ranked():
    views = make_views(300)
    found = rankings.Rankings().ranks("s", "k", views)
    assert len(found) == 2 * rankings.LAST_RANK
    for domain in ("a1", "b1"):
        names = [view.endpoint.name for view in views if view.endpoint.failure_domain == domain]
        expected = ranking.order("k", names)[: rankings.LAST_RANK]
        assert [found[name] for name in expected] == list(range(rankings.LAST_RANK))


def test_ranks_are_kept_until_the_endpoints_change_and_for_a_bounded_number_of_objects():
    cache, views = rankings.Rankings(), make_views(3)
    first = cache.ranks("s", "k", views)
    assert cache.ranks("s", "k", ()) is first
    cache.clear()
    assert cache.ranks("s", "k", ()) == {}
    for number in range(3 * rankings.MAX_OBJECTS):
        cache.ranks("s", f"k{number}", views)
        assert len(cache._ranks) <= rankings.MAX_OBJECTS
