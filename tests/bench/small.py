"""A deployment that is small enough to start in tests."""

from oriolelock.bench import fleet, fleet_options
from oriolelock.settings import deployment
from oriolelock.settings import node as nodes

REGIONS = ("r1", "r2", "r3")


def data():
    """Return the deployment as the data of a settings file."""
    places = [
        {"region": region, "failure_domain": f"{region}-{letter}"}
        for letter in "ab"
        for region in REGIONS
    ]
    endpoint = {"service": "s", "slots": 2, "connections": 50, "service_time": "5 ms"}
    return {
        "cluster": "small",
        "regions": [
            {"name": region, "failure_domains": [f"{region}-a", f"{region}-b"]}
            for region in REGIONS
        ],
        "latency": {"failure_domains": "1 ms", "regions": "20 ms", "clients": "8 ms"},
        "link_mbits": 4000,
        "entries": [{"name": f"entry-{n}", **place} for n, place in enumerate(places[:2])],
        "control": [{"name": f"control-{n}", **place} for n, place in enumerate(places[:3])],
        "endpoints": [
            {"name": f"s-{n}", **endpoint, **place} for n, place in enumerate(places[:2])
        ],
    }


def plan():
    top = nodes.Node("test", "", data())
    found = deployment.parse(top)
    top.finish()
    return found


def make(folder, **options):
    options = {"lookup_ttl": "200 ms", "leave_lag": "100 ms", "record_groups": 1, **options}
    return fleet.Fleet(folder, plan(), fleet_options.FleetOptions(**options))


PRESET = """\
name: {name}
services:
  - name: s
    queue_limit: 64
    in_flight_limit: 32
    operations:
      - {{name: read, priority: normal, idempotent: true, timeout: 2 s}}
      - {{name: pay, priority: urgent, idempotent: false, timeout: 5 s}}
shift_cap: 0.1
cold_shift_cap: 0.05
shift_interval: 1 s
link_mbits: 4000
"""
