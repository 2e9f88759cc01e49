"""Factories of model objects for the tests of dispatch."""

import random

from oriolelock.dispatch import chooser, decisions, endpoint_view
from oriolelock.model import configuration, endpoint, member, route, route_table, service

__all__ = [
    "configure",
    "make_chooser",
    "make_context",
    "make_endpoint",
    "make_load",
    "make_route",
]


def make_route(name="r", priority=1, affinity=True, regions=(), **overrides):
    fields = {
        "host": "h.example",
        "prefix": f"/{name}/",
        "idempotent": True,
        "timeout_ms": 1200.0,
        "objective_ms": 600.0,
        "attempts": 2,
    }
    fields.update(overrides)
    parts = fields.pop("parts", (route.Part("s", 1.0),))
    return route.Route(
        name=name, priority=priority, affinity=affinity, regions=regions, parts=parts, **fields
    )


def make_endpoint(name, domain="a1", slots=4, state="live", cold=False, started_ms=0):
    return endpoint.Endpoint(
        name, "s", "127.0.0.1:9", domain[0], domain, slots, 0, state, cold, started_ms
    )


def make_load(running=0, waiting=0, slots=4):
    return endpoint_view.Load(running, waiting, slots)


def configure(endpoints, drains=(), entries=("e1",), cold_rate=4.0):
    """Return a configuration with one service, ``s``, and entries in region ``a``."""
    return configuration.Configuration(
        endpoints={instance.name: instance for instance in endpoints},
        drains={drain.drain_id: drain for drain in drains},
        members={name: member.Member(name, "entry", "", "", "a", "a1") for name in entries},
        table=route_table.RouteTable(
            1, {"r": make_route()}, {"s": service.Service("s", "/health", 10, 3000.0, cold_rate)}
        ),
    )


def make_chooser(cfg, now=0.0, speed=0.04, name="e1"):
    selector = chooser.Chooser(name, "a", "a1", speed, random.Random(1))
    selector.configure(cfg, now, 1000.0)
    return selector


def make_context(key="k", request_route=None, left_s=1.2, objective_s=0.6, tried=()):
    return decisions.RequestContext(
        request_route or make_route(), "s", key, left_s, objective_s, frozenset(tried)
    )
