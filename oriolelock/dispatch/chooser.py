"""
oriolelock.dispatch.chooser
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Selects the endpoint of each request, or refuses the request before it is sent.

    The endpoint with the lowest expected cost wins. The cost covers the response time relative to
    the latency objective, traffic between failure domains and regions, errors, and object cache
    misses. Rendezvous hashing of the object breaks ties, so that all entries agree.
"""

import collections.abc
import dataclasses
import random

from oriolelock.dispatch import (
    cold_quota,
    contact,
    decisions,
    endpoint_limits,
    endpoint_view,
    entry_census,
    estimates,
    observation,
    peer_reports,
    ranking,
    rankings,
    region_choice,
    restarts,
    service_times,
)
from oriolelock.model import configuration, endpoint, service

__all__ = ["Chooser"]

# Longest queueing delay relative to the latency objective, by priority. The most urgent
# requests wait as long as they can be served at all.
WAIT_FACTORS = (6.0, 3.0, 2.0)
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 1.0
# Callers return in this time after the first endpoint takes requests again.
PAUSE_SPREAD_S = 0.5
FALLBACK_COLD_MS = 3000.0
# Between the clocks of this entry and of endpoints.
CLOCK_SLACK_S = 5.0
# Ratio of elapsed to expected time that a request without a response counts as.
TIMEOUT_RATIO = 2.0


class Chooser:
    """Load balancing state of one entry. Not thread-safe; times are monotonic seconds.

    ``shift_speed``: largest change per second of the share of requests that leave the region.
    """

    def __init__(self, name: str, region: str, domain: str, shift_speed: float, rng: random.Random):
        self.name = name
        self._region = region
        self._estimator = estimates.Estimator(region, domain, rng)
        self._rng = rng
        self.views: dict[str, endpoint_view.EndpointView] = {}
        self._by_service: dict[str, list[endpoint_view.EndpointView]] = {}
        self._services: dict[str, service.Service] = {}
        self._drained: set[str] = set()
        self._by_digest: dict[int, endpoint_view.EndpointView] = {}
        self.peer_reports = peer_reports.PeerReports(domain)
        self._rankings = rankings.Rankings()
        self._route_times: dict[str, service_times.ServiceTimes] = {}
        self._cold_quota = cold_quota.ColdQuota()
        self._census = entry_census.EntryCensus(name, region)
        self.limits = endpoint_limits.EndpointLimits(name, self._census)
        self.restarts = restarts.Restarts()
        self._by_restart_digest: dict[int, endpoint_view.EndpointView] = {}
        # By digest of the view: contact with endpoints that are not listed now.
        self._removed_contacts: dict[int, contact.Contact] = {}
        # Tells at a time whether news of other entries would have reached this one.
        self.is_informed: collections.abc.Callable[[float], bool] = lambda now: True
        self._regions = region_choice.RegionChoice(region, shift_speed, self._estimator, rng)
        self._is_configured = False

    def configure(self, cfg: configuration.Configuration, now: float, wall_s: float) -> None:
        """Apply a configuration; ``wall_s``: Unix time, to which drains refer."""
        self._services = cfg.table.services
        self._census.configure(cfg.members.values(), now)
        drained = self._find_drained(cfg, wall_s)
        for name in [name for name in self.views if name not in cfg.endpoints]:
            removed = self.views.pop(name)
            if removed.contact.open_count:
                self._removed_contacts[_view_digest(removed)] = removed.contact
        for instance in cfg.endpoints.values():
            self._configure_endpoint(instance, now, wall_s)
        for name in self._drained - drained:
            # The endpoint may have become cold during the drain; a health check reports that.
            if name in self.views:
                digest, unchecked = self.views[name].restart_digest, restarts.State.UNCHECKED
                self.restarts.raise_doubt(digest, now, wall_s, unchecked)
        self._drained = drained
        self._removed_contacts = {
            digest: known for digest, known in self._removed_contacts.items() if known.open_count
        }
        self._by_restart_digest = {view.restart_digest: view for view in self.views.values()}
        self.restarts.retain(self._by_restart_digest, now)
        self._by_service = {}
        self._rankings.clear()
        self._by_digest = {_view_digest(view): view for view in self.views.values()}
        self.peer_reports.configure(self.views.values())
        for view in self.views.values():
            self._by_service.setdefault(view.endpoint.service, []).append(view)
        self._cold_quota.retain(self.views)
        self.limits.retain(self.views)
        self._regions.configure(cfg.table.services)
        self._route_times = {k: v for k, v in self._route_times.items() if k in cfg.table.routes}
        self._is_configured = self._is_configured or bool(cfg.endpoints)

    def _find_drained(self, cfg, wall_s):
        active = [drain for drain in cfg.drains.values() if drain.start_s <= wall_s]
        return {
            instance.name
            for instance in cfg.endpoints.values()
            if any(drain.covers_endpoint(instance) for drain in active)
        }

    def _configure_endpoint(self, instance: endpoint.Endpoint, now: float, wall_s: float):
        view = self.views.get(instance.name)
        if view is None or _is_restarted(view.endpoint, instance):
            self.limits.forget(instance.name)
            new_view = self.views[instance.name] = endpoint_view.EndpointView(instance)
            # The list may have left out the endpoint for a while.
            known_contact = self._removed_contacts.pop(_view_digest(new_view), None)
            if known_contact is not None:
                new_view.contact = known_contact
            new_view.record_cold(self.restarts.cold_left_s(new_view.restart_digest, now), now)
            if self._is_configured and not instance.cold:
                self._doubt_new_start(new_view, view is not None, now, wall_s)
            return
        if instance.cold and not view.endpoint.cold:
            view.clear_objects()
        if view.endpoint.cold and not instance.cold:
            # The list lags, and may have missed another start.
            self._raise_doubt(view, now, wall_s)
        view.endpoint = instance

    def _raise_doubt(self, view, now, wall_s):
        if not self.restarts.is_recent(view.restart_digest, now):
            unchecked = restarts.State.UNCHECKED
            self.restarts.raise_doubt(view.restart_digest, now, wall_s, unchecked)

    def _doubt_new_start(self, view, was_known, now, wall_s):
        # The list may leave out that an endpoint is cold.
        started_s = view.endpoint.started_ms // 1000
        age_s = wall_s - started_s if started_s else float("inf")
        if not was_known and age_s > self.cold_period_s(view) + CLOCK_SLACK_S:
            return
        is_settled = self.restarts.state(view.restart_digest, now) is restarts.State.SETTLED
        if is_settled and not self.restarts.is_known_since(
            view.restart_digest, started_s or wall_s, now, wall_s
        ):
            unchecked = restarts.State.UNCHECKED
            self.restarts.raise_doubt(view.restart_digest, now, wall_s, unchecked)

    def doubt_all(self, now: float, wall_s: float) -> None:
        """Let the health of all endpoints be checked, as nobody knows how long they are up."""
        unchecked = restarts.State.UNCHECKED
        for view in self.views.values():
            self.restarts.raise_doubt(view.restart_digest, now, wall_s, unchecked)

    def view_of_restart(self, digest: int) -> endpoint_view.EndpointView | None:
        """Return the endpoint with this ``restart_digest``."""
        return self._by_restart_digest.get(digest)

    def apply_restart_report(
        self, report: restarts.Report, now: float
    ) -> endpoint_view.EndpointView | None:
        """Apply what another entry knows; returns the endpoint if its state changed."""
        view = self._by_restart_digest.get(report.endpoint_digest)
        period_s = self.cold_period_s(view) if view else FALLBACK_COLD_MS / 1000.0
        if not self.restarts.merge(report, period_s, now) or view is None:
            return None
        state = self.restarts.state(report.endpoint_digest, now)
        if state.is_cold:
            view.record_cold(self.restarts.cold_left_s(report.endpoint_digest, now), now)
        if not state.is_open:
            view.withdraw_refusal()
        return view

    def entry_count(self, now: float) -> int:
        """Return the number of entries that may forward requests, with those that just left."""
        return sum(len(names) for names in self._census.by_region(now).values())

    def ejected_count(self) -> int:
        """Return the number of endpoints that are not used until a health check passes."""
        return sum(view.needs_health_check for view in self.views.values())

    def service_times_of(self, route) -> service_times.ServiceTimes:
        """Return the service time estimates of a route."""
        times = self._route_times.get(route.name)
        if times is None:
            times = service_times.ServiceTimes(route.objective_ms / 1000.0, route.affinity)
            self._route_times[route.name] = times
        return times

    def cold_period_s(self, view: endpoint_view.EndpointView) -> float:
        """Return how many seconds an endpoint of this service stays cold after its start."""
        config = self._services.get(view.endpoint.service)
        return (config.cold_ms if config else FALLBACK_COLD_MS) / 1000.0

    def choose(
        self, context: decisions.RequestContext, now: float
    ) -> decisions.Send | decisions.Refuse:
        """Select an endpoint for a request, or refuse the request."""
        times = self.service_times_of(context.route)
        by_region: dict[str, list[endpoint_view.EndpointView]] = {}
        limit_waits_s, pauses_s = [], []
        for view in self._by_service.get(context.service, ()):
            if not self._is_eligible(view, context, now):
                continue
            limit_wait_s, pause_s = self._limit_wait_s(view, context, now), view.pause_s(now)
            if pause_s > 0.0:
                pauses_s.append(pause_s)
            elif limit_wait_s > 0.0:
                limit_waits_s.append(limit_wait_s)
            else:
                by_region.setdefault(view.endpoint.region, []).append(view)
        if not by_region and limit_waits_s:
            wait_s = min(RETRY_AFTER_MAX_S, *limit_waits_s)
            return decisions.Refuse("endpoint-limit", self._jittered(wait_s), wait_s)
        if not by_region and pauses_s:
            return self._refuse_until(min(pauses_s))
        if not by_region:
            return decisions.Refuse(
                "no-endpoint", self._jittered(0.4), unreachable=self._count_unreachable(context)
            )
        candidates = {
            name: self._best_candidate(views, context, times, now)
            for name, views in by_region.items()
        }
        views = self._by_service[context.service]
        self._regions.prepare(
            context.service,
            lambda: region_choice.count_slots(views, self._drained),
            self._census.live_counts,
        )
        decision = self._regions.select(candidates, context, now)
        if decision is not None:
            return decision
        wait_s = min(candidate.wait_s for candidate in candidates.values())
        return decisions.Refuse("overloaded", self._jittered(wait_s / 2.0), wait_s)

    def _refuse_until(self, wait_s):
        # An earlier return would be refused again; the spread keeps callers from one moment.
        retry_after_s = wait_s + self._rng.uniform(0.0, PAUSE_SPREAD_S)
        return decisions.Refuse("endpoint-paused", retry_after_s, wait_s)

    def postpone(
        self, refusal: decisions.Refuse, context: decisions.RequestContext, now: float
    ) -> decisions.Refuse:
        """Return the refusal of a request that endpoints have refused, with a time to return.

        It is later if no endpoint, those that refused it included, takes requests before.
        """
        fresh = dataclasses.replace(context, tried=frozenset())
        pauses_s = [
            view.pause_s(now)
            for view in self._by_service.get(context.service, ())
            if self._is_allowed(view.endpoint, fresh) and view.is_usable(now)
        ]
        if pauses_s and min(pauses_s) > refusal.retry_after_s:
            return self._refuse_until(min(pauses_s))
        return refusal

    def _best_candidate(self, views, context, times, now):
        """Return the cheapest acceptable endpoint, its cost, and the shortest wait of all."""
        best, best_cost, least_wait_s = None, float("inf"), float("inf")
        ranks, best_rank = None, rankings.LAST_RANK
        if context.key:
            of_service = self._by_service.get(context.service, ())
            ranks = self._rankings.ranks(context.service, context.key, of_service)
            best_rank = min(ranks.get(view.endpoint.name, rankings.LAST_RANK) for view in views)
        for view in views:
            send, cost = self._estimator.estimate(view, context, times, ranks, best_rank, now)
            least_wait_s = min(least_wait_s, send.wait_s)
            if cost < best_cost and self._is_acceptable(send, context):
                best, best_cost = send, cost
        return region_choice.RegionCandidate(best, best_cost, least_wait_s)

    def _jittered(self, delay_s):
        bounded_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, delay_s))
        return bounded_s * self._rng.uniform(0.8, 1.2)

    def _is_eligible(self, view, context, now):
        if not self._is_allowed(view.endpoint, context) or not view.is_usable(now):
            return False
        if self.restarts.state(view.restart_digest, now).is_open:
            return False
        return not self.is_limited(view, now) or self.may_send_cold(view, now)

    def is_limited(self, view: endpoint_view.EndpointView, now: float) -> bool:
        """Return whether an endpoint is cold, or may be for all that this entry knows."""
        state = self.restarts.state(view.restart_digest, now)
        if view.is_cold(now) or state is not restarts.State.SETTLED:
            return True
        if self.restarts.unsure_age_s(view.restart_digest, now) is not None:
            return True
        return not self.is_informed(now) and not view.contact.shows_warm(
            self.cold_period_s(view), now
        )

    def is_check_due(self, view: endpoint_view.EndpointView, now: float) -> bool:
        """Return whether it is this entry's turn to check an endpoint that is in doubt."""
        age_s = self.restarts.doubt_age_s(view.restart_digest, now)
        if age_s is None:
            age_s = self.restarts.unsure_age_s(view.restart_digest, now)
        if age_s is None or view.endpoint.name in self._drained:
            return False
        local, remote = self._census.senders(view.endpoint.region, now)
        turn = restarts.check_turn(
            view.endpoint.name, self._cold_rate(view), local, remote, self.name, age_s
        )
        return turn is not None and view.take_check_turn(now - age_s, turn)

    def _is_allowed(self, instance, context):
        if instance.name in context.tried or instance.name in self._drained:
            return False
        return not context.route.regions or instance.region in context.route.regions

    def _count_unreachable(self, context):
        return sum(
            view.needs_health_check
            and view.endpoint.state == "live"
            and not view.is_leaving
            and self._is_allowed(view.endpoint, context)
            for view in self._by_service.get(context.service, ())
        )

    def _limit_wait_s(self, view, context, now):
        instance = view.endpoint
        return self.limits.wait_s(instance.name, instance.region, context.route.priority, now)

    def _cold_rate(self, view):
        config = self._services.get(view.endpoint.service)
        return config.cold_rate if config else 1.0

    def may_check(self, view: endpoint_view.EndpointView, now: float) -> bool:
        """Return whether this entry may check an endpoint's health out of turn."""
        if self.restarts.state(view.restart_digest, now).is_open:
            return False
        return not self.is_limited(view, now) or self.may_send_cold(view, now)

    def may_send_cold(self, view: endpoint_view.EndpointView, now: float) -> bool:
        """Return whether this entry may send a request or a health check to a cold endpoint."""
        rate = self._cold_rate(view)
        candidates, _ = self._census.senders(view.endpoint.region, now)
        if self.name not in candidates:
            return False
        if not cold_quota.is_permitted_sender(view.endpoint.name, rate, candidates, self.name):
            return False
        return self._cold_quota.may_send(view.endpoint.name, now)

    def _is_acceptable(self, send, context):
        if send.wait_s + send.service_s >= context.left_s:
            return send.wait_s <= 0.0 and context.left_s > 0.5 * send.service_s
        factor = WAIT_FACTORS[min(context.route.priority, len(WAIT_FACTORS) - 1)]
        return send.wait_s <= factor * context.route.objective_ms / 1000.0

    def is_wanted(self, view: endpoint_view.EndpointView, was_limited: bool, now: float) -> bool:
        """Return whether a request that was decided to go to an endpoint may still be sent.

        It may not if the endpoint has since left, started again, become cold, or been drained.
        ``was_limited``: whether the request was counted as one to a cold endpoint.
        """
        name = view.endpoint.name
        is_current = self.views.get(name) is view
        if not is_current or name in self._drained or not view.is_staying(now):
            return False
        if self.restarts.state(view.restart_digest, now).is_open:
            return False
        return was_limited or not self.is_limited(view, now)

    def started(self, decision: decisions.Send, number: int, now: float) -> None:
        """Record that a request was sent to the selected endpoint."""
        self.limits.record_sent(decision.view.endpoint.name, now)
        decision.view.record_start(number, decision.usual_s, now, decision.warm)
        instance = decision.view.endpoint
        self._regions.record_sent(instance.service, instance.region)
        if decision.cold or self.is_limited(decision.view, now):
            self._cold_quota.record_sent(decision.view.endpoint.name, now)

    def record_cold_check(self, view: endpoint_view.EndpointView, now: float) -> None:
        """Count a health check of a cold endpoint like a request to it."""
        self._cold_quota.record_sent(view.endpoint.name, now)

    def not_sent(self, decision: decisions.Send, now: float) -> None:
        """Record that no byte of a request that was started reached the endpoint."""
        self.limits.record_sent(decision.view.endpoint.name, now, -1.0)

    def answered(
        self,
        decision: decisions.Send,
        context: decisions.RequestContext,
        elapsed_s: float,
        load: endpoint_view.Load | None,
        is_error: bool,
        now: float,
    ) -> None:
        """Record the response to a request after ``elapsed_s`` seconds."""
        view, times = decision.view, self.service_times_of(context.route)
        service_s = max(0.001, elapsed_s - decision.wait_s)
        seems_warm = times.seems_warm(service_s)
        expected_s = decision.wait_s + decision.service_s
        if not decision.warm and not decision.cold:
            expected_s = decision.wait_s + times.expected_s(1.0 if seems_warm else 0.0)
        view.answered(elapsed_s / max(0.05, expected_s), is_error, now)
        if load is not None:
            view.reported(load, now)
        if is_error:
            return
        if not decision.cold and view.slowness(now) < 1.5:
            if times.has_affinity and decision.warm:
                view.record_cache_outcome(seems_warm)
            elif times.has_affinity and context.key:
                times.record_unknown(seems_warm, decision.preferred)
            times.observe(service_s, decision.warm)
        if context.key and times.has_affinity:
            view.record_object(context.digest, now)

    def timed_out(
        self, decision: decisions.Send, context: decisions.RequestContext, now: float
    ) -> None:
        """Record that a request was still without a response when its time was over."""
        times = self.service_times_of(context.route)
        decision.view.answered(TIMEOUT_RATIO, False, now)
        if times.has_affinity and context.key and not decision.warm and not decision.cold:
            times.record_unknown(False, decision.preferred)

    def learned(
        self, view: endpoint_view.EndpointView, key: str, load: endpoint_view.Load | None
    ) -> observation.Observation:
        """Return an observation for other entries; ``key``: of the handled object, or empty."""
        return observation.Observation(_view_digest(view), ranking.digest(key) if key else 0, load)

    def observed(self, received: observation.Observation, now: float) -> None:
        """Apply an observation received from another entry."""
        view = self._by_digest.get(received.endpoint_digest)
        if view is None:
            return
        if received.load is not None:
            view.reported(received.load, now)
        if received.object_digest:
            view.record_object(received.object_digest, now)

    def limit_reports(
        self, endpoints: collections.abc.Container[str] | None, now: float
    ) -> list[observation.LimitReport]:
        """Return what is known of announced rates; ``endpoints``: only of these, None for all."""
        return [
            observation.LimitReport(
                _view_digest(self.views[name]),
                known.rate,
                max(0.0, now - known.stated_s),
            )
            for name, known in self.limits.statements(now).items()
            if name in self.views and (endpoints is None or name in endpoints)
        ]

    def apply_limit_report(self, report: observation.LimitReport, now: float) -> str:
        """Apply a report of another entry; returns the endpoint's name if the rate changed."""
        view = self._by_digest.get(report.endpoint_digest)
        if view is None:
            return ""
        name = view.endpoint.name
        is_changed = self.limits.record(name, report.rate, now - report.age_s, now)
        return name if is_changed else ""


def _is_restarted(old, new):
    """Return whether an endpoint that is listed under the same name is another incarnation."""
    if (old.address, old.started_ms) != (new.address, new.started_ms):
        return True
    # Without a start time, its return shows that it has ended in between.
    return not new.started_ms and (old.state, new.state) == ("leaving", "live")


def _view_digest(view):
    return ranking.digest(f"{view.endpoint.name}\n{view.endpoint.started_ms}")
