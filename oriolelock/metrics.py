"""
oriolelock.metrics
~~~~~~~~~~~~~~~~~~

    Metrics by statsd over UDP, with a local copy of the counters for state dumps. The names
    are listed in ``NAMES``; a name outside that table is a programming error.
"""

import threading

import statsd

__all__ = ["NAMES", "Metrics"]

# name -> (kind, meaning). Kinds: counter, gauge, timer (milliseconds).
NAMES: dict[str, tuple[str, str]] = {
    "request.complete": ("counter", "requests answered by an endpoint"),
    "request.not_run": ("counter", "requests refused without running"),
    "request.unknown": ("counter", "requests that may have run"),
    "request.bad": ("counter", "malformed requests from callers"),
    "request.latency": ("timer", "time from receipt to answer"),
    "request.retried": ("counter", "further attempts of requests"),
    "endpoint.shed": ("counter", "attempts that an endpoint refused because of its load"),
    "endpoint.silent": ("counter", "kept connections to endpoints that gave no first byte"),
    "endpoint.crashed": ("counter", "endpoints that died while they ran a request"),
    "lookup.answered": ("counter", "lookups answered"),
    "control.change.applied": ("counter", "operator changes applied"),
    "control.change.conflict": ("counter", "operator changes with an outdated version"),
    "control.change.refused": ("counter", "operator changes that are not allowed"),
    "control.change.unavailable": ("counter", "operator changes without a result"),
    "control.change.latency": ("timer", "time from receipt to result of an operator change"),
    "control.index": ("gauge", "position of the configuration in the log"),
    "control.subscribers": ("gauge", "subscribers of this replica"),
    "control.voters": ("gauge", "voters of the group config"),
    "control.voters_reachable": ("gauge", "voters of the group config heard lately, itself too"),
    "control.voters_needed": ("gauge", "voters of the group config that are a majority"),
    "control.learners": ("gauge", "members of the group config that are no voters yet"),
    "control.has_majority": (
        "gauge",
        "1 if each group has a majority as far as known here, else 0",
    ),
    "control.leaderless_s": (
        "gauge",
        "seconds without a leader, of the group that lacks it longest",
    ),
    "wire.refused": ("counter", "connections between processes refused at their greeting"),
    "wire.bad_message": ("counter", "messages between processes that did not decode"),
}


class Metrics:
    """Counters, gauges and timers of one process. Thread-safe."""

    def __init__(self, host: str | None = None, port: int = 8125, prefix: str = "oriolelock"):
        self._client = statsd.StatsClient(host, port, prefix) if host else None
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add ``by`` to a counter."""
        assert NAMES[name][0] == "counter"
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + by
        if self._client:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        assert NAMES[name][0] == "gauge"
        with self._lock:
            self._counts[name] = value
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, elapsed_ms: float) -> None:
        """Record one duration in milliseconds."""
        assert NAMES[name][0] == "timer"
        if self._client:
            self._client.timing(name, elapsed_ms)

    def dump(self) -> dict[str, float]:
        """Return a copy of the counters and gauges since the start of the process."""
        with self._lock:
            return dict(self._counts)
