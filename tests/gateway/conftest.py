"""Fixture: an entry's request path over loopback, with scripted endpoints."""

import dataclasses
import random
import socket

import pytest

from oriolelock import clock
from oriolelock.gateway import core, delegated_flow, dialect, flow
from oriolelock.http1 import server, server_rules
from oriolelock.model import configuration, endpoint, member, route, route_table, service
from oriolelock.settings import gateway as settings
from tests import waiting
from tests.gateway import cuttable_link
from tests.http1 import loop_thread, raw_endpoint

DIALECT = dataclasses.replace(dialect.OWN, stamp=b"x-stamp")
RESPONSE = b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s"


def make_response(head, status=200, body=b"done", extra_headers=b""):
    """Return the bytes of an endpoint's response, with request id and stamp."""
    request_id = raw_endpoint.header(head, b"x-request-id")
    return RESPONSE % (status, request_id, extra_headers, len(body), body)


class GatewayFixture:
    """``endpoints``: ``RawEndpoint`` by name; ``crashes``: names of endpoints reported as dead;
    ``links``: ``CuttableLink`` by endpoint, through which this entry reaches it."""

    def __init__(self, name="e1", region="a"):
        self.loop_thread = loop_thread.LoopThread()
        self.endpoints = {}
        self.links = {}
        self.crashes = []
        self.members = {}
        self.name, self.region = name, region
        cfg = settings.GatewaySettings(
            name,
            "c",
            region,
            f"{region}1",
            ("127.0.0.1", 0),
            ("127.0.0.1", 0),
            None,
            ("127.0.0.1", 0),
            ("127.0.0.1", 0),
            None,
            (),
            "token",
            0.2,
            60.0,
            10.0,
            0.04,
            6.0,
            "INFO",
        )
        self.core = self.loop_thread.call(
            lambda: core.Core(
                cfg,
                self.loop_thread.loop,
                DIALECT,
                lambda fingerprint, name: self.crashes.append(name),
                random.Random(1),
            )
        )
        rules = server_rules.ServerRules(
            lambda exchange: flow.Flow(self.core, exchange).start(), lambda: self.core.limits
        )
        http_server = self.loop_thread.call(
            lambda: server.Server(self.loop_thread.loop, ("127.0.0.1", 0), rules)
        )
        self.address = http_server._sock.getsockname()
        self.is_leaving = False
        peer_rules = server_rules.ServerRules(
            lambda exchange: delegated_flow.handle(self.core, exchange, lambda: self.is_leaving),
            lambda: self.core.limits,
        )
        self._peer_server = self.loop_thread.call(
            lambda: server.Server(self.loop_thread.loop, ("127.0.0.1", 0), peer_rules)
        )
        self.peer_address = self._peer_server._sock.getsockname()

    def add_endpoint(self, name, respond):
        """Add an endpoint of the service."""
        self.endpoints[name] = raw_endpoint.RawEndpoint(respond)
        return self.endpoints[name]

    def configure(self, **overrides):
        """Apply ``make_configuration`` with the endpoints of this fixture."""
        addresses = {name: self._address(name) for name in self.endpoints}
        cfg = make_configuration(addresses, self.members, **overrides)
        self.loop_thread.call(lambda: self.core.configure(cfg))

    def _address(self, endpoint_name):
        return (self.links.get(endpoint_name) or self.endpoints[endpoint_name]).address

    def close_peer_connections(self):
        """Close the connections of other entries, as if this one had died."""
        for conn in list(self._peer_server._connections):
            conn.close()

    def member(self):
        """Return the entry's record, by which others know it."""
        return member.Member(
            self.name,
            "entry",
            _text(self.address),
            _text(self.core.gossip._sock.getsockname()),
            self.region,
            f"{self.region}1",
            "live",
            _text(self.peer_address),
        )

    def is_informed(self):
        """Return whether the entry hears the others."""
        return self.loop_thread.call(lambda: self.core.restarts.is_informed(clock.monotonic_s()))

    def connect(self):
        return connect(self.address)

    def send(self, path, deadline_ms=3000, body=b"", request_id=b"id1", host=b"h"):
        """Return status, lower-case head and body of the response to one request."""
        with self.connect() as sock:
            sock.sendall(make_request(path, deadline_ms, body, request_id, host))
            data = b""
            while received := sock.recv(65536):
                data += received
        head, _, rest = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), head.lower(), rest

    def forwarded_requests(self):
        """Return the number of requests that reached endpoints, without health checks."""
        return sum(
            not head.startswith(b"GET /health")
            for raw in self.endpoints.values()
            for head, _ in raw.requests
        )

    def stop(self):
        self.loop_thread.stop()
        for opened in (*self.endpoints.values(), *self.links.values()):
            opened.close()


def _text(address):
    return ":".join(map(str, address))


def connect(address):
    sock = socket.create_connection(address, 5)
    sock.settimeout(5)
    return sock


def make_configuration(addresses, members=None, **overrides):
    """Return a configuration with routes ``/safe/`` (idempotent) and ``/once/`` (not idempotent).

    ``addresses``: of endpoints by name; ``overrides``: fields of both routes.
    """
    fields = {
        "host": "h",
        "timeout_ms": 1000.0,
        "objective_ms": 400.0,
        "priority": 1,
        "parts": (route.Part("s", 1.0),),
        "attempts": 2,
        "affinity": True,
    }
    fields.update(overrides)
    routes = {
        name: route.Route(name=name, prefix=f"/{name}/", idempotent=name == "safe", **fields)
        for name in ("safe", "once")
    }
    endpoints = {
        name: endpoint.Endpoint(name, "s", _text(address), "a", "a1", 4, 0)
        for name, address in addresses.items()
    }
    return configuration.Configuration(
        index=1,
        endpoints=endpoints,
        members=members or {},
        table=route_table.RouteTable(
            1, routes, {"s": service.Service("s", "/health", 10, 1000.0, 4.0)}
        ),
    )


def make_request(path, deadline_ms=3000, body=b"", request_id=b"id1", host=b"h"):
    """Return the bytes of a request with ``Connection: close``."""
    return (
        b"POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nOriolelock-Deadline-Ms: %d\r\n"
        b"Oriolelock-Object: 7\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
        % (path, host, request_id, deadline_ms, len(body), body)
    )


@pytest.fixture
def gateway():
    fixture = GatewayFixture()
    yield fixture
    fixture.stop()


@pytest.fixture
def make_fleet():
    """Return a function that starts entries with the same endpoints.

    ``cut_off``: number of entries that reach the endpoints through links, which can be cut.
    """
    fleet = []

    def make(
        respond,
        entries=2,
        cut_off=1,
        endpoints=4,
        regions="aaaaaaaa",
        route_regions=(),
        **overrides,
    ):
        fleet.extend(GatewayFixture(f"e{n + 1}", regions[n]) for n in range(entries))
        for n in range(endpoints):
            fleet[0].add_endpoint(f"x{n}", respond)
        for number, item in enumerate(fleet):
            item.endpoints = fleet[0].endpoints
            if number < cut_off:
                item.links = {
                    name: cuttable_link.CuttableLink(raw.address)
                    for name, raw in item.endpoints.items()
                }
            # As in a new fleet, in which members register one after another.
            item.configure(regions=route_regions, **overrides)
        for item in fleet:
            item.members = {other.name: other.member() for other in fleet}
            item.configure(regions=route_regions, **overrides)
        for item in fleet:
            waiting.until(item.is_informed, 5.0)
        return fleet

    yield make
    for item in fleet:
        item.stop()
