"""Guards against entries whose routes differ from those of the replicas."""

import hypothesis
from hypothesis import strategies as st

from oriolelock.model import request_limits, route_table, service
from tests.control import samples

NAMES = st.sampled_from(["a", "b", "c", "d"])


@st.composite
def tables(draw):
    services = {n: service.Service(n, draw(st.sampled_from("/xy")), 1, 0.0, 0.0) for n in "abcd"}
    for name in draw(st.sets(NAMES, max_size=2)):
        del services[name]
    targets = st.sampled_from(sorted(services))
    routes = draw(st.dictionaries(NAMES, targets))
    limits = request_limits.RequestLimits(body_bytes=draw(st.sampled_from([1, 2])))
    routes = {name: samples.make_route(name, to) for name, to in routes.items()}
    return route_table.RouteTable(draw(st.integers(1, 9)), routes, services, limits)


@hypothesis.given(tables(), tables())
def test_the_difference_of_two_tables_leads_from_one_to_the_other(before, after):
    assert route_table.patched(before, route_table.difference(before, after)) == after


def test_the_difference_holds_nothing_that_stays():
    table = route_table.RouteTable(1, {"a": samples.make_route("a", "s")}, {})
    later = route_table.RouteTable(2, dict(table.routes), {})
    assert route_table.difference(table, later) == route_table.RoutePatch(2)
