"""Guards against places at endpoints that stay empty while requests wait for the record."""

import random

from oriolelock import clock, outcomes
from oriolelock.entry import steering
from oriolelock.model import operation, priority
from tests import fake_parent

OP = operation.Operation("pay", priority.Priority.URGENT, False, 1000.0)


def admit(decisions, wait_s=0.0):
    now = clock.monotonic_s()
    return decisions.admit("proofs", OP, now + wait_s, now)


def make():
    found = steering.Steering("a", "perth", 64, 32, random.Random(1))
    ends = [fake_parent.dead_endpoint("e0", "10.0.0.1:80")]
    found.configure(fake_parent.make_config(endpoints=ends), clock.monotonic_s(), clock.wall_s())
    return found


def fill(decisions):
    count = 0
    while not isinstance(admit(decisions, 0.02), outcomes.NotRun):
        count += 1
    return count


def test_request_that_waits_for_its_claim_leaves_its_place_to_others():
    plain, claiming = make(), make()
    places = fill(plain)
    assert not isinstance(admit(claiming, 0.02), outcomes.NotRun)
    with claiming.claiming("proofs"):
        assert fill(claiming) == places
    # The claimed request needs its place again, so nobody else gets one.
    assert fill(claiming) == 0


def test_claims_in_progress_are_bounded_by_the_room_at_endpoints():
    decisions = make()
    places = fill(make())
    total = 0
    with_claims = []
    while not isinstance(admit(decisions, 0.02), outcomes.NotRun):
        total += 1
        manager = decisions.claiming("proofs")
        manager.__enter__()
        with_claims.append(manager)
        assert total < 100
    assert total == places * (1 + steering.CLAIMS_PER_ROOM)
