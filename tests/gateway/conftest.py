"""An entry's request path over loopback, with endpoints that a test scripts."""

import dataclasses
import random
import socket

import pytest

from oriolelock.gateway import core, dialect, flow
from oriolelock.http1 import server, server_rules
from oriolelock.model import configuration, endpoint, route, route_table, service
from oriolelock.settings import gateway as settings
from tests.http1 import loop_thread, raw_endpoint

WORDS = dataclasses.replace(dialect.OWN, stamp=b"x-stamp")
ANSWER = b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s"


def answer(head, status=200, body=b"done", extra=b""):
    """Return the bytes of an endpoint's genuine answer."""
    name = raw_endpoint.header(head, b"x-request-id")
    return ANSWER % (status, name, extra, len(body), body)


class Path:
    """``endpoints`` maps names to ``RawEndpoint``; ``crashes`` holds reported deaths."""

    def __init__(self):
        self.running = loop_thread.LoopThread()
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
        self.core = self.running.call(
            lambda: core.Core(
                cfg,
                self.running.loop,
                WORDS,
                lambda mark, name: self.crashes.append(name),
                random.Random(1),
            )
        )
        rules = server_rules.ServerRules(
            lambda exchange: flow.Flow(self.core, exchange).start(), lambda: self.core.limits
        )
        found = self.running.call(lambda: server.Server(self.running.loop, ("127.0.0.1", 0), rules))
        self.address = found._sock.getsockname()

    def add(self, name, behave):
        """Add an endpoint of the service."""
        self.endpoints[name] = raw_endpoint.RawEndpoint(behave)
        return self.endpoints[name]

    def configure(self, **more):
        """Put routes ``/safe/`` and ``/once/`` in force."""
        usual = {
            "host": "h",
            "timeout_ms": 1000.0,
            "objective_ms": 400.0,
            "priority": 1,
            "parts": (route.Part("s", 1.0),),
            "attempts": 2,
            "affinity": True,
        }
        usual.update(more)
        routes = {
            name: route.Route(name=name, prefix=f"/{name}/", idempotent=name == "safe", **usual)
            for name in ("safe", "once")
        }
        items = {
            name: endpoint.Endpoint(name, "s", ":".join(map(str, item.address)), "a", "a1", 4, 0)
            for name, item in self.endpoints.items()
        }
        cfg = configuration.Configuration(
            index=1,
            endpoints=items,
            table=route_table.RouteTable(
                1, routes, {"s": service.Service("s", "/health", 10, 1000.0, 4.0)}
            ),
        )
        self.running.call(lambda: self.core.configure(cfg))

    def connect(self):
        sock = socket.create_connection(self.address, 5)
        sock.settimeout(5)
        return sock

    def send(self, path, deadline_ms=3000, body=b"", name=b"id1", host=b"h"):
        """Return status, headers and body of the answer to one request."""
        with self.connect() as sock:
            sock.sendall(request(path, deadline_ms, body, name, host))
            data = b""
            while more := sock.recv(65536):
                data += more
        head, _, rest = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), head.lower(), rest

    def arrivals(self):
        """Return how many requests reached endpoints, without health checks."""
        return sum(
            not head.startswith(b"GET /health")
            for item in self.endpoints.values()
            for head, _ in item.requests
        )

    def stop(self):
        self.running.stop()
        for item in self.endpoints.values():
            item.close()


def request(path, deadline_ms=3000, body=b"", name=b"id1", host=b"h"):
    """Return the bytes of a request that ends its connection."""
    return (
        b"POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nOriolelock-Deadline-Ms: %d\r\n"
        b"Oriolelock-Object: 7\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
        % (path, host, name, deadline_ms, len(body), body)
    )


@pytest.fixture
def path():
    item = Path()
    yield item
    item.stop()
