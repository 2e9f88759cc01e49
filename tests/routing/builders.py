"""Configurations and a router harness for the routing tests."""

import random

from oriolelock.model import (
    configuration,
    drain,
    endpoint,
    member,
    operation,
    preset,
    priority,
    service_policy,
)
from oriolelock.routing import result, router

WALL_S = 1_000_000.0
OPERATIONS = (
    operation.Operation("read", priority.Priority.NORMAL, True, 1000.0),
    operation.Operation("book", priority.Priority.URGENT, False, 1000.0),
)


def make_endpoint(name, region="a", slots=6, state="live"):
    return endpoint.Endpoint(name, "s", "127.0.0.1:1", region, f"{region}1", slots, 350, state)


def make_preset(weights=None, cap=0.1, cold_cap=0.02, link_mbits=4000.0):
    policy = service_policy.ServicePolicy("s", OPERATIONS, weights or {}, 100, 100)
    return preset.Preset("p", (policy,), {}, cap, 1000.0, cold_cap, link_mbits, 0.8)


def make_cfg(endpoints, entries=2, weights=None, drains=(), **kwargs):
    members = {
        f"entry-{n}": member.Member(f"entry-{n}", "entry", "", "", "a", "a1")
        for n in range(entries)
    }
    return configuration.Configuration(
        in_force="p",
        presets={"p": make_preset(weights, **kwargs)},
        members=members,
        endpoints={e.name: e for e in endpoints},
        drains={d.drain_id: d for d in drains},
    )


def two_regions(per_region=3, slots=6):
    return [make_endpoint(f"{r}{n}", r, slots) for r in "ab" for n in range(per_region)]


def make_drain(scope, target, start=WALL_S + 10, deadline=WALL_S + 110):
    return drain.Drain("d", scope, target, start, deadline)


class RouterHarness:
    """A router with a virtual clock."""

    def __init__(self, cfg, name="entry-0", seed=1):
        self.router = router.Router(name, "a")
        self.rng = random.Random(seed)
        self.now = 0.0
        self.cfg = cfg
        self.configure(cfg)

    def configure(self, cfg):
        self.cfg = cfg
        self.router.configure(cfg, self.now, WALL_S + self.now)

    def choose(self, operation="read", exclude=(), size=1000):
        return self.router.choose("s", operation, size, self.now, self.rng, exclude)

    def start(self, **kwargs):
        chosen = self.choose(**kwargs)
        if chosen:
            self.router.started(chosen, self.now)
        return chosen

    def finish(self, chosen, kind=result.Kind.COMPLETE, latency_s=0.01, report=None):
        self.router.finished(chosen, result.Result(kind, latency_s, 1000, report), self.now)

    def serve(self, count, advance_s=0.0):
        """Run requests one after the other; return the number per endpoint."""
        counts = {}
        for _ in range(count):
            chosen = self.start()
            name = chosen.endpoint.name if chosen else None
            counts[name] = counts.get(name, 0) + 1
            if chosen:
                self.finish(chosen)
            self.now += advance_s
        return counts

    def report_all(self, in_flight=0, regions="ab", state="serving"):
        for endpoint_cfg in self.cfg.endpoints.values():
            if endpoint_cfg.region in regions:
                load_report = result.LoadReport(in_flight, endpoint_cfg.slots, 0, state)
                self.router.apply_load_report(endpoint_cfg.name, load_report, self.now)

    def applied_share(self, region):
        return self.router.dump()["services"]["s"]["applied"].get(region, 0.0)
