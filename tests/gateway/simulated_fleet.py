"""Entries and endpoints on a simulated network, with callers, a list and configurations."""

import collections
import dataclasses
import random

from oriolelock.gateway import core, delegated_flow, dialect, flow
from oriolelock.http1 import exchange as exchanges
from oriolelock.http1 import messages
from oriolelock.model import configuration, drain, endpoint, member, route, route_table, service
from oriolelock.settings import gateway as settings
from tests.gateway import simulated_network

__all__ = ["Arrival", "Endpoint", "Fleet", "Options"]

COLD_S = 3.0
# Between an entry and its callers.
CALLER_DELAY_S = 0.005
CALLER_TRIES = 4
CALLER_PATIENCE_S = 2.0
CHECK_PATH = b"/health"


@dataclasses.dataclass(frozen=True)
class Options:
    """``load``: of the capacity; ``idle_s``: after which endpoints close connections;
    ``closing``: share of responses after which they do; ``losing``: share of requests that they
    answer with an end; ``list_lag_s``: age of what the list shows; ``tells_cold``: whether the list
    tells that an endpoint is cold; ``keeps_rows``: whether it shows endpoints that are down;
    ``silent``: share of ends that entries don't see on their connections."""

    entries: int = 6
    regions: int = 2
    endpoints: int = 8
    cold_rate: float = 4.0
    load: float = 0.8
    service_s: float = 0.25
    slots: int = 4
    idle_s: float = 15.0
    keep_alive_s: int = 0
    closing: float = 0.0
    losing: float = 0.0
    list_lag_s: float = 0.6
    list_interval_s: float = 1.0
    tells_cold: bool = True
    tells_starts: bool = True
    keeps_rows: bool = True
    datagram_loss: float = 0.01
    segment_loss: float = 0.0
    silent: float = 0.0
    max_requests_per_s: float = 160.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request or health check that reached an endpoint; ``start``: number of its start."""

    at_s: float
    start: int
    kind: str
    entry: str
    is_cold: bool


class _ServerSide:
    """An endpoint's or entry's side of a connection."""

    def __init__(self, owner, conn):
        self.owner = owner
        self.conn = conn
        self.host = owner.host
        self.start = owner.start
        self.used_s = owner.network.now
        self.is_closed = False

    @property
    def is_alive(self):
        return self.owner.start == self.start and self.owner.is_up and not self.is_closed

    @property
    def is_silent(self):
        return self.owner.is_silent

    def received(self, data):
        self.used_s = self.owner.network.now
        self.owner.received(self, data)

    def ended(self):
        self.is_closed = True
        self.owner.connection_ended(self)

    def close(self):
        if not self.is_closed:
            self.is_closed = True
            self.conn.respond(b"")


def _parse(data):
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    method, target, _ = first.split(b" ")
    headers = tuple(
        (name.lower(), value.strip()) for name, _, value in (line.partition(b":") for line in lines)
    )
    return method, target, headers, body


def _format(status, headers, body):
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers if pair[0] != b"content-length")
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, lines, len(body), body)


class Endpoint:
    """``arrivals``: all requests that reached it; ``colds``: its cold times (start, end)."""

    def __init__(self, network, name, region, host, options, rng):
        self.network = network
        self.name, self.region, self.host = name, region, host
        self.domain = f"{region}{rng.randrange(2)}"
        self._options = options
        self._rng = rng
        self.address = (host, 80)
        self.start = 0
        self.started_s = -1000.0
        self.is_up = True
        self.is_silent = False
        self.cold_until_s = float("-inf")
        self.arrivals = []
        self.colds = []
        self._sides = {}
        self._queue = collections.deque()
        self._running = 0
        self._loses_next = False
        network.listeners[self.address] = self

    def is_cold(self):
        return self.network.now < self.cold_until_s

    def turn_cold(self):
        """Be cold for the usual time from now on."""
        now = self.network.now
        if self.is_cold():
            self.colds[-1] = (self.colds[-1][0], now)
        self.cold_until_s = now + COLD_S
        self.colds.append((now, self.cold_until_s))

    def end(self, is_silent):
        """End, with the ends of its connections or without a sign."""
        sides, self._sides = list(self._sides), {}
        if self.is_cold():
            self.colds[-1] = (self.colds[-1][0], self.network.now)
        self.cold_until_s = float("-inf")
        for side in sides if not is_silent else ():
            side.close()
        self.is_up, self.is_silent = False, is_silent
        self._queue.clear()
        self._running = 0
        self.start += 1

    def lose_one(self):
        """Close the connection in place of the next response."""
        self._loses_next = True

    def begin(self):
        self.is_up, self.is_silent = True, False
        self.started_s = self.network.now
        self.turn_cold()

    def accept(self, conn):
        if not self.is_up:
            return None
        side = _ServerSide(self, conn)
        self._sides[side] = None
        self.network.later(self._options.idle_s, lambda: self._close_idle(side))
        return side

    def _close_idle(self, side):
        if side not in self._sides:
            return
        idle_s = self.network.now - side.used_s
        if idle_s >= self._options.idle_s - 1e-6:
            self._drop(side)
        else:
            self.network.later(self._options.idle_s - idle_s, lambda: self._close_idle(side))

    def _drop(self, side):
        self._sides.pop(side, None)
        side.close()

    def connection_ended(self, side):
        self._sides.pop(side, None)

    def received(self, side, data):
        _, target, headers, _ = _parse(data)
        kind = "check" if target == CHECK_PATH else "request"
        self.arrivals.append(
            Arrival(self.network.now, self.start, kind, side.conn.process.name, self.is_cold())
        )
        if kind == "request" and len(self._queue) >= 4 * self._options.slots:
            refusal = ((b"x-not-run", b"1"), *self._headers(headers))
            side.conn.respond(_format(503, refusal, b""))
            return
        self._queue.append((side, kind, headers))
        self._serve()

    def _headers(self, headers):
        found = dict(headers)
        if b"x-request-id" in found:
            yield b"x-request-id", found[b"x-request-id"]
        yield b"x-load", b"in_flight=%d;slots=%d;queued=%d" % (
            self._running,
            self._options.slots,
            len(self._queue),
        )
        if self._options.keep_alive_s:
            yield b"keep-alive", b"timeout=%d" % self._options.keep_alive_s

    def _serve(self):
        while self._queue and self._running < self._options.slots:
            side, kind, headers = self._queue.popleft()
            if side.is_closed:
                continue
            self._running += 1
            mean_s = 0.01 if kind == "check" else self._options.service_s
            slowness = 2.0 if self.is_cold() else 1.0
            self.network.later(
                mean_s * slowness * self._rng.uniform(0.5, 1.5),
                lambda item=(self.start, side, kind, headers): self._finish(*item),
            )

    def _finish(self, start, side, kind, headers):
        if start != self.start:
            return
        self._running -= 1
        side.used_s = self.network.now
        if kind == "check":
            cold_ms = max(0.0, self.cold_until_s - self.network.now) * 1000.0
            own = ((b"x-endpoint-id", self.name.encode()), (b"x-cold-ms", b"%d" % cold_ms))
            side.conn.respond(_format(200, (*own, (b"connection", b"close")), b"ok"))
            self._drop(side)
        elif self._loses_next or self._rng.random() < self._options.losing:
            self._loses_next = False
            self._drop(side)
        else:
            closes = self._rng.random() < self._options.closing
            extra = ((b"connection", b"close"),) if closes else ()
            side.conn.respond(_format(200, (*self._headers(headers), *extra), b"done"))
            if closes:
                self._drop(side)
        self._serve()


class _PeerServer:
    """Takes requests that other entries delegate to a process."""

    is_silent = False
    start = 0

    def __init__(self, network, process, shared, address):
        self.network = network
        self._process, self._core = process, shared
        self.host = process.host
        network.listeners[address] = self

    @property
    def is_up(self):
        return self._process.is_alive

    def accept(self, conn):
        return _ServerSide(self, conn) if self.is_up else None

    def connection_ended(self, side):
        exchange = getattr(side, "exchange", None)
        if exchange is not None and self.is_up:
            self._process.within(lambda: self._process.loop.call_soon(exchange.gone))

    def received(self, side, data):
        method, target, headers, body = _parse(data)

        def handle():
            req = messages.Request(method, target, headers, body, self.network.monotonic_s())
            side.exchange = exchanges.Exchange(_PeerConnection(side), req)
            delegated_flow.handle(self._core, side.exchange, lambda: False)

        self._process.within(lambda: self._process.loop.call_soon(handle))


class _PeerConnection:
    def __init__(self, side):
        self._side = side

    def answer(self, exchange, response):
        headers = [
            (k, v) for k, v in response.headers if k not in (b"connection", b"transfer-encoding")
        ]
        self._side.conn.respond(_format(response.status, headers, bytes(response.body)))


class _Caller:
    """Sends one request, again after refusals."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self._tries = 0
        self._exchange = None
        self._process = None
        self.begin_s = fleet.network.now
        self.is_over = False

    def send(self):
        net = self._fleet.network
        if self.is_over:
            return
        self._tries += 1
        process = self._fleet.any_process()
        if process is None:
            self._again(0.3)
            return
        self._process = process
        net.later(CALLER_DELAY_S, lambda: self._arrive(process))
        tries = self._tries
        net.later(CALLER_PATIENCE_S, lambda: self._give_up(tries))

    def _arrive(self, process):
        if process.is_alive:
            process.within(lambda: process.loop.call_soon(lambda: self._start(process)))
        else:
            self._again(0.0)

    def _start(self, process):
        if self.is_over or process is not self._process:
            return
        net = self._fleet.network
        headers = (
            (b"host", b"h"),
            (b"x-request-id", b"%d-%d" % (self._number, self._tries)),
            (b"oriolelock-deadline-ms", b"1500"),
            (b"oriolelock-object", b"%d" % (self._number % 40)),
        )
        target = b"/safe/1" if self._number % 3 else b"/once/1"
        req = messages.Request(b"GET", target, headers, b"", net.monotonic_s())
        self._exchange = exchanges.Exchange(self, req)
        flow.Flow(process.core, self._exchange).start()

    def answer(self, exchange, response):
        if exchange is not self._exchange or self.is_over:
            return
        reason = bytes(response.body).decode().strip() if response.status != 200 else ""
        self._fleet.answers.append(
            (self._fleet.network.now, response.status, reason, self._process.name)
        )
        if response.status == 503:
            self._again(float(response.header(b"retry-after") or 0.3))
        else:
            self.is_over = True

    def _give_up(self, tries):
        if self.is_over or tries != self._tries:
            return
        exchange, process = self._exchange, self._process
        if exchange is not None and process is not None and process.is_alive:
            process.within(lambda: process.loop.call_soon(exchange.gone))
        self._again(0.05)

    def _again(self, delay_s):
        self._exchange = self._process = None
        if self._tries >= CALLER_TRIES:
            self.is_over = True
            return
        self._fleet.network.later(delay_s + CALLER_DELAY_S, self.send)


class Entry:
    """One entry's place; its process may be killed and started again."""

    def __init__(self, fleet, name, region, host):
        self._fleet = fleet
        self.name, self.region, self.host = name, region, host
        self.domain = f"{region}{fleet.rng.randrange(2)}"
        self.process = None
        # Configurations on their way arrive in order.
        self.config_s = 0.0
        self.is_blind_until_s = float("-inf")

    def member(self):
        return member.Member(
            self.name,
            "entry",
            f"{self.host}:1",
            f"{self.host}:2",
            self.region,
            self.domain,
            "live",
            f"{self.host}:3",
        )

    def start(self, cfg):
        """Start the process with a configuration."""
        fleet = self._fleet
        process = self.process = simulated_network.Process(fleet.network, self.host, fleet.rng)
        process.name = self.name
        process.core = process.within(
            lambda: core.Core(
                _settings(self),
                process.loop,
                dialect.OWN,
                lambda key, name: None,
                random.Random(fleet.rng.random()),
            )
        )
        _PeerServer(fleet.network, process, process.core, (self.host, 3))
        if cfg is not None:
            self.configure(cfg)

    def configure(self, cfg):
        process = self.process
        if process is not None and process.is_alive:
            process.index = cfg.index
            process.within(lambda: process.loop.call_soon(lambda: self._apply(process, cfg)))

    def _apply(self, process, cfg):
        if cfg.index >= process.core.cfg_in_force.index:
            process.core.configure(cfg)


def _settings(entry):
    return settings.GatewaySettings(
        entry.name,
        "c",
        entry.region,
        entry.domain,
        (entry.host, 1),
        (entry.host, 4),
        None,
        (entry.host, 2),
        (entry.host, 3),
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


class Fleet:
    """``answers``: (time, status, reason, entry) of all answers to callers; ``notes``: what was
    done to the fleet."""

    def __init__(self, seed, options):
        self.rng = random.Random(seed)
        self.options = options
        self.answers = []
        self.notes = []
        self.cuts = {}
        self._delays = {}
        self.network = simulated_network.Network(
            self.rng, self._delay_s, self.is_cut, options.datagram_loss, options.segment_loss
        )
        self.drains = {}
        self._readings = []
        self._index = 0
        self.cfg = None
        self._regions = {}
        names = "abc"[: options.regions]
        self.entries = []
        self._callers = 0
        for n in range(options.entries):
            self._add_entry(f"e{n}", names[n % len(names)], f"10.0.0.{n}")
        self.endpoints = []
        for n in range(options.endpoints):
            region, host = names[n % len(names)], f"10.1.0.{n}"
            self._regions[host] = region
            self.endpoints.append(Endpoint(self.network, f"x{n}", region, host, options, self.rng))

    def _add_entry(self, name, region, host):
        self._regions[host] = region
        entry = Entry(self, name, region, host)
        self.entries.append(entry)
        return entry

    def _delay_s(self, a, b):
        pair = (self._regions[a], self._regions[b])
        if pair not in self._delays:
            is_near = pair[0] == pair[1]
            mean_s = self.rng.uniform(0.0005, 0.003) if is_near else self.rng.uniform(0.01, 0.035)
            self._delays[pair] = self._delays[pair[::-1]] = mean_s
        return self._delays[pair] * self.rng.uniform(1.0, 1.15)

    def is_cut(self, a, b):
        return any(
            a in left and b in right or b in left and a in right
            for left, right in self.cuts.values()
        )

    def note(self, text):
        self.notes.append((self.network.now, text))

    def begin(self):
        """Start the entries and the list."""
        self._publish()
        for entry in self.entries:
            entry.start(self.cfg)
        self._read_list()

    def _read_list(self):
        net = self.network
        rows = tuple(self._row(item) for item in self.endpoints if self._is_listed(item))
        net.later(self.options.list_lag_s * self.rng.uniform(0.8, 1.2), lambda: self._show(rows))
        net.later(self.options.list_interval_s * self.rng.uniform(0.9, 1.1), self._read_list)

    def _is_listed(self, item):
        return item.is_up or self.options.keeps_rows

    def _row(self, item):
        started_ms = int((simulated_network.EPOCH_S + item.started_s) * 1000)
        return endpoint.Endpoint(
            item.name,
            "s",
            f"{item.host}:80",
            item.region,
            item.domain,
            self.options.slots,
            0,
            "live",
            item.is_cold() and self.options.tells_cold,
            started_ms if self.options.tells_starts else 0,
        )

    def _show(self, rows):
        if rows != self._rows:
            self._rows = rows
            self._publish()

    _rows = None

    def _publish(self):
        self._index += 1
        if self._rows is None:
            self._rows = tuple(map(self._row, self.endpoints))
        fields = {
            "timeout_ms": 1500.0,
            "objective_ms": 800.0,
            "priority": 1,
            "parts": (route.Part("s", 1.0),),
            "attempts": 2,
            "affinity": True,
        }
        routes = {
            name: route.Route(name, "h", f"/{name}/", name == "safe", **fields)
            for name in ("safe", "once")
        }
        services = {
            "s": service.Service("s", "/health", 10, COLD_S * 1000.0, self.options.cold_rate)
        }
        self.cfg = configuration.Configuration(
            index=self._index,
            endpoints={row.name: row for row in self._rows},
            drains=dict(self.drains),
            members={entry.name: entry.member() for entry in self.entries},
            table=route_table.RouteTable(1, routes, services),
        )
        for entry in self.entries:
            self._deliver(entry, self.cfg)

    def _deliver(self, entry, cfg):
        net = self.network
        entry.config_s = max(
            entry.config_s + 1e-6, net.now + self.rng.uniform(0.05, 0.4), entry.is_blind_until_s
        )
        net.at(entry.config_s, lambda: entry.configure(cfg))

    def any_process(self):
        alive = [
            entry.process
            for entry in self.entries
            if entry.process is not None and entry.process.is_alive
        ]
        return self.rng.choice(alive) if alive else None

    def call_until(self, end_s):
        """Let callers come until a time."""
        options = self.options
        capacity = options.endpoints * options.slots / options.service_s
        rate = min(options.max_requests_per_s, options.load * capacity)

        def come():
            if self.network.now < end_s:
                self._callers += 1
                _Caller(self, self._callers).send()
                self.network.later(self.rng.expovariate(rate), come)

        come()

    # What happens to the fleet.

    def restart(self, item, down_s, is_silent=False):
        """End an endpoint and start it again."""
        if not item.is_up:
            return
        self.note(f"{item.name} ends{' silently' * is_silent}, for {down_s:.2f} s")
        item.end(is_silent)

        def begin():
            self.note(f"{item.name} starts")
            item.begin()

        self.network.later(down_s, begin)

    def kill_entry(self, entry, down_s, cfg=None):
        """Kill an entry; it starts again, with ``cfg`` or the present configuration."""
        if entry.process is None or not entry.process.is_alive:
            return
        self.note(f"{entry.name} is killed, for {down_s:.2f} s")
        stale = cfg or entry.process.core.cfg_in_force
        entry.process.kill()

        def begin():
            self.note(f"{entry.name} starts with {stale.index} of {self.cfg.index}")
            entry.start(stale)
            self._deliver(entry, self.cfg)

        self.network.later(down_s, begin)

    def freeze_entry(self, entry, duration_s):
        if entry.process is not None and entry.process.is_alive:
            self.note(f"{entry.name} is frozen for {duration_s:.2f} s")
            entry.process.freeze(duration_s)

    def cut(self, left, right, duration_s, what):
        """Let nothing pass between two sets of hosts for a time."""
        key = object()
        self.note(f"cut for {duration_s:.2f} s: {what}")
        self.cuts[key] = (frozenset(left), frozenset(right))

        def end():
            self.note(f"cut ends: {what}")
            del self.cuts[key]

        self.network.later(duration_s, end)

    def blind(self, entry, duration_s):
        """Let no configuration reach an entry for a time."""
        self.note(f"{entry.name} gets no configuration for {duration_s:.2f} s")
        entry.is_blind_until_s = max(entry.is_blind_until_s, self.network.now + duration_s)

    def evacuate(self, domain, duration_s, is_cold):
        """Drain a failure domain for a time, after which its endpoints may be cold."""
        if domain in self.drains:
            return
        now = simulated_network.EPOCH_S + self.network.now
        self.note(f"{domain} is drained for {duration_s:.2f} s")
        self.drains[domain] = drain.Drain(domain, "failure_domain", domain, now - 1, now)
        self._publish()

        def end():
            self.note(f"the drain of {domain} is taken back")
            del self.drains[domain]
            self._publish()
            for item in self.endpoints:
                if item.domain == domain and item.is_up and is_cold:
                    item.turn_cold()

        self.network.later(duration_s, end)
