"""Tests that endpoints are not left idle while requests wait for their claims."""

import random

from oriolelock import clock, outcomes
from oriolelock.entry import steering
from oriolelock.model import operation, priority
from tests import fake_parent

OP = operation.Operation("pay", priority.Priority.URGENT, False, 1000.0)


def admit(decisions, wait_s=0.0):
    now = clock.monotonic_s()
    return decisions.admit("proofs", OP, now + wait_s, now)


def make_steering():
    decisions = steering.Steering("a", "perth", 64, 32, random.Random(1))
    endpoints = [fake_parent.dead_endpoint("e0", "10.0.0.1:80")]
    decisions.configure(
        fake_parent.make_config(endpoints=endpoints), clock.monotonic_s(), clock.wall_s()
    )
    return decisions


def admit_until_full(decisions):
    admitted = 0
    while not isinstance(admit(decisions, 0.02), outcomes.NotRun):
        admitted += 1
    return admitted


def test_others_are_admitted_in_place_of_a_request_that_waits_for_its_claim():
    without_claim, claiming = make_steering(), make_steering()
    capacity = admit_until_full(without_claim)
    assert not isinstance(admit(claiming, 0.02), outcomes.NotRun)
    with claiming.claiming("proofs"):
        assert admit_until_full(claiming) == capacity
    # The request has its claim and needs its place again, so no other request is admitted.
    assert admit_until_full(claiming) == 0


def test_claims_in_progress_are_bounded_by_the_capacity_of_endpoints():
    decisions = make_steering()
    capacity = admit_until_full(make_steering())
    admitted = 0
    entered_claims = []
    while not isinstance(admit(decisions, 0.02), outcomes.NotRun):
        admitted += 1
        claim_context = decisions.claiming("proofs")
        claim_context.__enter__()
        entered_claims.append(claim_context)
        assert admitted < 100
    assert admitted == capacity * (1 + steering.CLAIMS_PER_SLOT)
