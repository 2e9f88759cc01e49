"""Fixture: an entry's request path over loopback, with scripted endpoints."""

import dataclasses
import random
import socket

import pytest

from oriolelock.gateway import core, dialect, flow
from oriolelock.http1 import server, server_rules
from oriolelock.model import configuration, endpoint, route, route_table, service
from oriolelock.settings import gateway as settings
from tests.http1 import loop_thread, raw_endpoint

DIALECT = dataclasses.replace(dialect.OWN, stamp=b"x-stamp")
RESPONSE = b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s"


def make_response(head, status=200, body=b"done", extra_headers=b""):
    """Return the bytes of an endpoint's response, with request id and stamp."""
    request_id = raw_endpoint.header(head, b"x-request-id")
    return RESPONSE % (status, request_id, extra_headers, len(body), body)


class GatewayFixture:
    """``endpoints``: ``RawEndpoint`` by name; ``crashes``: names of endpoints reported as dead."""

    def __init__(self):
        self.loop_thread = loop_thread.LoopThread()
        self.endpoints = {}
        self.crashes = []
        cfg = settings.GatewaySettings(
            "e1",
            "c",
            "a",
            "a1",
            ("127.0.0.1", 0),
            ("127.0.0.1", 0),
            None,
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

    def add_endpoint(self, name, respond):
        """Add an endpoint of the service."""
        self.endpoints[name] = raw_endpoint.RawEndpoint(respond)
        return self.endpoints[name]

    def configure(self, **overrides):
        """Apply routes ``/safe/`` (idempotent) and ``/once/`` (not idempotent)."""
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
            name: endpoint.Endpoint(name, "s", ":".join(map(str, raw.address)), "a", "a1", 4, 0)
            for name, raw in self.endpoints.items()
        }
        cfg = configuration.Configuration(
            index=1,
            endpoints=endpoints,
            table=route_table.RouteTable(
                1, routes, {"s": service.Service("s", "/health", 10, 1000.0, 4.0)}
            ),
        )
        self.loop_thread.call(lambda: self.core.configure(cfg))

    def connect(self):
        sock = socket.create_connection(self.address, 5)
        sock.settimeout(5)
        return sock

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
        for raw in self.endpoints.values():
            raw.close()


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
