"""Builders of model objects for the tests of dispatch."""

import random

from oriolelock.dispatch import chooser, decisions
from oriolelock.model import configuration, endpoint, member, route, route_table, service

__all__ = ["ask", "configure", "make_chooser", "make_endpoint", "make_route"]


def make_route(name="r", priority=1, affinity=True, regions=(), **more):
    fields = {
        "host": "h.example",
        "prefix": f"/{name}/",
        "idempotent": True,
        "timeout_ms": 1200.0,
        "objective_ms": 600.0,
        "attempts": 2,
    }
    fields.update(more)
    parts = fields.pop("parts", (route.Part("s", 1.0),))
    return route.Route(
        name=name, priority=priority, affinity=affinity, regions=regions, parts=parts, **fields
    )


def make_endpoint(name, domain="a1", slots=4, state="live", cold=False, started_ms=0):
    return endpoint.Endpoint(
        name, "s", "127.0.0.1:9", domain[0], domain, slots, 0, state, cold, started_ms
    )


def configure(endpoints, drains=(), entries=("e1",), cold_rate=4.0):
    """Return a configuration with one service, ``s``, and entries in region ``a``."""
    return configuration.Configuration(
        endpoints={item.name: item for item in endpoints},
        drains={item.drain_id: item for item in drains},
        members={n: member.Member(n, "entry", "", "", "a", "a1") for n in entries},
        table=route_table.RouteTable(
            1, {"r": make_route()}, {"s": service.Service("s", "/health", 10, 3000.0, cold_rate)}
        ),
    )


def make_chooser(cfg, now=0.0, speed=0.04, name="e1"):
    found = chooser.Chooser(name, "a", "a1", speed, random.Random(1))
    found.configure(cfg, now, 1000.0)
    return found


def ask(key="k", item=None, left_s=1.2, objective_s=0.6, tried=()):
    return decisions.Question(item or make_route(), "s", key, left_s, objective_s, frozenset(tried))
