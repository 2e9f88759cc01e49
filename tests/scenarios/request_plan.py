"""Deployments and presets of the scenarios about requests."""

import dataclasses

from oriolelock.bench import fleet, fleet_options
from oriolelock.settings import deployment

REGIONS = ("r1", "r2", "r3")
ENTRIES = ("e-r1a", "e-r1b", "e-r2a")
ENDPOINTS = ("s-r1a", "s-r1b", "s-r2a", "s-r2b")
SLOTS = 2
# The default of the stand-in.
QUEUE = 4

PRESET = """\
name: {name}
services:
  - name: s
    queue_limit: 64
    in_flight_limit: 32
    region_weights: {{r1: {r1}}}
    operations:
      - {{name: read, priority: normal, idempotent: true, timeout: 3 s}}
      - {{name: ask, priority: urgent, idempotent: true, timeout: 3 s}}
      - {{name: tidy, priority: deferrable, idempotent: true, timeout: 3 s}}
      - {{name: pay, priority: urgent, idempotent: false, timeout: 30 s}}
shift_cap: {cap}
cold_shift_cap: {cap}
shift_interval: 1 s
link_mbits: 4000
"""


def _place(name):
    region = name.split("-")[1][:2]
    return {"name": name, "region": region, "failure_domain": f"{region}-{name[-1]}"}


def plan(service_ms=20.0, slots=SLOTS):
    endpoint = {"service": "s", "slots": slots, "connections": 60, "service_ms": service_ms}
    return deployment.Deployment(
        "scenario",
        tuple(deployment.Region(r, (f"{r}-a", f"{r}-b")) for r in REGIONS),
        1.0,
        5.0,
        0.0,
        4000.0,
        tuple(deployment.Place(**_place(name)) for name in ENTRIES),
        tuple(deployment.Place(f"c-{r}a", r, f"{r}-a") for r in REGIONS),
        tuple(deployment.PlannedEndpoint(**endpoint, **_place(name)) for name in ENDPOINTS),
    )


def options(**fields):
    found = fleet_options.FleetOptions(
        separate_endpoints=True,
        distribution="fixed",
        lookup_ttl="300 ms",
        leave_lag="500 ms",
        record_groups=1,
    )
    return dataclasses.replace(found, **fields)


def make(folder, service_ms=20.0, slots=SLOTS, **fields):
    return fleet.Fleet(folder, plan(service_ms, slots), options(**fields))
