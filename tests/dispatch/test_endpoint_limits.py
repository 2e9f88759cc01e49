"""Request rates that endpoints announce: the entries together keep within them."""

import itertools
import random

import pytest

from oriolelock.dispatch import (
    chooser,
    decisions,
    endpoint_limits,
    entry_census,
    retry_budget,
)
from oriolelock.model import configuration, member, route_table, service
from tests.dispatch import builders

WINDOW_S = 4.0
REGIONS = ("a", "b", "c")


def allowed(rate):
    """Return the users' bound on requests in any WINDOW_S."""
    return 1.5 * rate * WINDOW_S + 5


def most_in_a_window(times):
    times = sorted(times)
    return max(
        (sum(start <= t < start + WINDOW_S for t in times) for start in times),
        default=0,
    )


def make_entries(per_region, states=None):
    names = [f"{region}{n}" for region in REGIONS for n in range(per_region)]
    return {
        name: member.Member(name, "entry", "", "", name[0], f"{name[0]}1", state)
        for name, state in ((name, (states or {}).get(name, "live")) for name in names)
    }


def make_configuration(endpoints, members):
    return configuration.Configuration(
        endpoints={instance.name: instance for instance in endpoints},
        members=members,
        table=route_table.RouteTable(
            1, {"r": builders.make_route()}, {"s": service.Service("s", "/h", 10, 3000.0, 4.0)}
        ),
    )


def make_chooser(name, cfg, now=0.0):
    selector = chooser.Chooser(name, name[0], f"{name[0]}1", 0.04, random.Random(name))
    selector.configure(cfg, now, 1000.0)
    return selector


class Fleet:
    """Choosers of all entries, which know the rate of endpoint ``x`` and send all they may."""

    def __init__(self, per_region, rate, endpoint_domain="a1"):
        self.members = make_entries(per_region)
        self.endpoints = [builders.make_endpoint("x", endpoint_domain, slots=1000)]
        self.rate = rate
        self.numbers = itertools.count()
        self.choosers = {}
        for name in self.members:
            self.start(name, 0.0)

    def start(self, name, now):
        selector = make_chooser(name, make_configuration(self.endpoints, self.members), now)
        selector.limits.record("x", self.rate, now, now)
        self.choosers[name] = selector

    def state_rate(self, rate, now):
        """Let all entries learn of a rate."""
        self.rate = rate
        for selector in self.choosers.values():
            selector.limits.record("x", rate, now, now)

    def configure(self, now):
        for selector in self.choosers.values():
            selector.configure(make_configuration(self.endpoints, self.members), now, 1000.0)

    def send(self, name, now, priority=1):
        """Return whether an entry may send one request, which ends immediately."""
        route = builders.make_route(priority=priority)
        context = builders.make_context(f"k{next(self.numbers)}", route)
        decision = self.choosers[name].choose(context, now)
        if not isinstance(decision, decisions.Send):
            return False
        number = next(self.numbers)
        self.choosers[name].started(decision, number, now)
        decision.view.ended(number)
        # The other entries learn of the response by gossip.
        self.state_rate(self.rate, now)
        return True

    def play(self, start_s, end_s, step_s=0.05, entries=None, at=lambda now: None):
        """Return the times at which requests were sent."""
        sent = []
        for step in range(round((end_s - start_s) / step_s)):
            now = start_s + step * step_s
            at(now)
            sent += [now for name in entries or list(self.choosers) if self.send(name, now)]
        return sent


@pytest.mark.parametrize("per_region", [1, 4, 24])
@pytest.mark.parametrize("rate", [0.0, 0.4, 1.8, 5.1, 10.0])
@pytest.mark.parametrize("endpoint_domain", ["a1", "d1"])
def test_all_entries_together_keep_within_the_announced_rate(per_region, rate, endpoint_domain):
    fleet = Fleet(per_region, rate, endpoint_domain)
    # Idle for a while, so that every bucket is full when the load begins.
    sent = fleet.play(20.0, 30.0)
    assert most_in_a_window(sent) <= allowed(rate)
    assert len(sent) >= 0.85 * rate * 10.0


def test_entries_of_the_region_alone_get_most_of_the_rate():
    fleet = Fleet(4, 5.0)
    local = [name for name in fleet.members if name[0] == "a"]
    assert len(fleet.play(10.0, 20.0, entries=local)) >= 0.85 * 5.0 * 10.0


def test_another_region_is_not_cut_off_from_a_limited_endpoint():
    fleet = Fleet(4, 5.0)
    remote = [name for name in fleet.members if name[0] == "b"]
    assert fleet.play(10.0, 20.0, entries=remote)


def test_restarted_entries_keep_within_the_rate():
    fleet = Fleet(4, 2.0)

    def restart(now):
        if now % 1.0 < 0.01:
            fleet.start(f"a{int(now) % 4}", now)

    sent = fleet.play(20.0, 32.0, at=restart)
    assert most_in_a_window(sent) <= allowed(2.0)


def test_entries_that_leave_at_once_keep_within_the_rate():
    fleet = Fleet(4, 4.0)
    states = dict.fromkeys(("a0", "a1", "a2"), "leaving")

    def leave(now):
        if abs(now - 22.0) < 0.01:
            fleet.members = make_entries(4, states)
            fleet.configure(now)

    # Entries that leave finish and forward requests until the end of their grace period.
    sent = fleet.play(20.0, 28.0, at=leave)
    assert most_in_a_window(sent) <= allowed(4.0)


def test_share_of_an_entry_that_is_gone_is_used_by_the_others():
    fleet = Fleet(4, 4.0)
    fleet.members = make_entries(4, dict.fromkeys(("a1", "a2", "a3"), "down"))
    fleet.configure(20.0)
    start_s = 20.0 + entry_census.LINGER_S
    assert len(fleet.play(start_s, start_s + 10.0, entries=["a0"])) >= 0.85 * 4.0 * 10.0


def test_tokens_do_not_accumulate_while_an_entry_is_suspended():
    fleet = Fleet(1, 2.0)
    fleet.play(10.0, 12.0)
    assert most_in_a_window(fleet.play(50.0, 54.0)) <= allowed(2.0)


def test_limit_that_returns_after_its_end_binds_from_its_first_statement():
    fleet = Fleet(4, 2.0)
    fleet.play(10.0, 12.0)
    fleet.state_rate(endpoint_limits.UNLIMITED, 12.0)
    assert len(fleet.play(12.0, 12.2)) == 4 * len(fleet.choosers)
    fleet.state_rate(2.0, 13.0)
    assert most_in_a_window(fleet.play(13.0, 18.0)) <= allowed(2.0)


def test_limit_without_confirmation_expires():
    limits = endpoint_limits.EndpointLimits("a0", entry_census.EntryCensus("a0", "a"))
    limits.record("x", 2.0, 0.0, 0.0)
    assert limits.rate("x", endpoint_limits.LIMIT_LIFETIME_S) == 2.0
    assert limits.rate("x", endpoint_limits.LIMIT_LIFETIME_S + 0.1) == endpoint_limits.UNLIMITED


def test_end_of_a_limit_is_passed_on_for_a_while():
    limits = endpoint_limits.EndpointLimits("a0", entry_census.EntryCensus("a0", "a"))
    limits.record("x", 2.0, 0.0, 0.0)
    for second in range(1, 60):
        limits.record("x", endpoint_limits.UNLIMITED, float(second), float(second))
    end_s = 1.0 + endpoint_limits.END_MEMORY_S
    assert limits.statements(end_s)["x"].rate == endpoint_limits.UNLIMITED
    assert limits.statements(end_s + 0.1) == {}


def test_older_statement_does_not_replace_a_newer_one():
    limits = endpoint_limits.EndpointLimits("a0", entry_census.EntryCensus("a0", "a"))
    assert limits.record("x", 2.0, 5.0, 5.0)
    assert not limits.record("x", endpoint_limits.UNLIMITED, 4.0, 5.0)
    assert limits.rate("x", 5.0) == 2.0
    assert limits.record("x", endpoint_limits.UNLIMITED, 6.0, 6.0)


def test_urgent_requests_find_a_token_before_others():
    fleet = Fleet(1, 2.0)
    fleet.play(10.0, 14.0, entries=["a0"])
    waits_s = {
        priority: fleet.choosers["a0"].limits.wait_s("x", "a", priority, 14.0)
        for priority in (0, 1)
    }
    assert waits_s[0] < waits_s[1]


def test_refusal_says_when_the_endpoint_takes_the_next_request():
    fleet = Fleet(1, 2.0)
    fleet.play(10.0, 14.0, entries=["a0"])
    decision = fleet.choosers["a0"].choose(builders.make_context(), 14.0)
    assert decision.reason == "endpoint-limit"
    assert 0.1 * 0.8 <= decision.retry_after_s <= 1.2
    assert 0.0 < decision.wait_s <= 1.0


def test_request_that_was_not_sent_does_not_count():
    fleet = Fleet(1, 2.0)
    selector = fleet.choosers["a0"]
    decision = selector.choose(builders.make_context(), 10.0)
    tokens_wait_s = selector.limits.wait_s("x", "a", 1, 10.0)
    selector.started(decision, 1, 10.0)
    selector.not_sent(decision, 10.0)
    assert selector.limits.wait_s("x", "a", 1, 10.0) == tokens_wait_s == 0.0


def test_cold_endpoint_in_a_region_without_entries_is_not_overrun():
    cold_rate = 4.0
    members = make_entries(24)
    cfg = make_configuration([builders.make_endpoint("x", "d1", 1000, cold=True)], members)
    choosers = [make_chooser(name, cfg) for name in members]
    sent = 0
    for number, selector in enumerate(choosers):
        decision = selector.choose(builders.make_context(f"k{number}"), 10.0)
        if isinstance(decision, decisions.Send):
            selector.started(decision, number, 10.0)
            sent += 1
    # The users' bound for one second: one and a half times the rate, and 5 more.
    assert 1 <= sent <= 1.5 * cold_rate + 5


def test_cold_endpoint_is_not_overrun_while_entries_leave():
    cold_rate = 4.0
    leaving = [f"a{n}" for n in range(20)]
    cfg = make_configuration([builders.make_endpoint("x", "a1", 1000, cold=True)], make_entries(24))
    later = make_configuration(
        [builders.make_endpoint("x", "a1", 1000, cold=True)],
        make_entries(24, dict.fromkeys(leaving, "leaving")),
    )
    sent = 0
    for name in make_entries(24):
        if name[0] == "a":
            selector = make_chooser(name, cfg)
            selector.configure(later, 5.0, 1000.0)
            sent += isinstance(selector.choose(builders.make_context(name), 5.1), decisions.Send)
    assert 1 <= sent <= 1.5 * cold_rate + 5


def test_entry_that_learns_of_an_old_limit_starts_without_tokens():
    fleet = Fleet(1, 2.0)
    selector = make_chooser("a0", make_configuration(fleet.endpoints, fleet.members), 100.0)
    report = fleet.choosers["a0"].limit_reports(None, 50.0)[0]
    assert report.age_s == 50.0
    selector.apply_limit_report(report, 100.0)
    assert isinstance(selector.choose(builders.make_context(), 100.0), decisions.Refuse)


def test_limit_that_is_restated_after_it_expired_starts_without_tokens():
    limits = endpoint_limits.EndpointLimits("a0", entry_census.EntryCensus("a0", "a"))
    limits.record("x", 2.0, 0.0, 0.0)
    late_s = endpoint_limits.LIMIT_LIFETIME_S + 1.0
    assert limits.record("x", 2.0, late_s, late_s)
    assert limits.wait_s("x", "a", 0, late_s) > 0.0


@pytest.mark.parametrize("knows", ["limit", "end"])
def test_endpoint_that_restarts_under_its_name_has_no_limit(knows):
    fleet = Fleet(1, 2.0)
    selector = fleet.choosers["a0"]
    if knows == "end":
        selector.limits.record("x", endpoint_limits.UNLIMITED, 9.0, 9.0)
    restarted = [builders.make_endpoint("x", "a1", 1000, started_ms=10_000)]
    selector.configure(make_configuration(restarted, fleet.members), 10.0, 1000.0)
    assert selector.limits.rate("x", 10.0) == endpoint_limits.UNLIMITED
    assert selector.limit_reports(None, 10.0) == []


def test_entries_that_leave_at_once_keep_within_the_retry_budget():
    allowance, window_s = 60.0, 10.0
    members = make_entries(8)
    leaving = dict.fromkeys(sorted(members)[:20], "leaving")
    endpoints = [builders.make_endpoint("x")]
    spent = 0
    for name in members:
        selector = make_chooser(name, make_configuration(endpoints, members))
        budget = retry_budget.RetryBudget(0.2, allowance, window_s)
        later = make_configuration(endpoints, make_entries(8, leaving))
        selector.configure(later, 1.0, 1000.0)
        while budget.try_spend(selector.entry_count(1.1), 1.1):
            spent += 1
    assert 1 <= spent <= allowance
