"""
oriolelock.gateway.request_metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Request counters and a latency histogram in the Prometheus text format.
"""

import collections

__all__ = ["BUCKETS_S", "RequestMetrics"]

# Upper bounds, from a fifth of the shortest latency objective (0.4 s) to above the longest timeout.
BUCKETS_S = (0.08, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


class RequestMetrics:
    """Not thread-safe; the text format is that of Prometheus, version 0.0.4."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._buckets = [0] * (len(BUCKETS_S) + 1)
        self._sum_s = 0.0

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += by

    def record_end(self, outcome: str, elapsed_s: float) -> None:
        """Count a request that ended with ``outcome`` after ``elapsed_s`` seconds."""
        self._outcomes[outcome] += 1
        self._sum_s += elapsed_s
        bucket = next(
            (number for number, bound_s in enumerate(BUCKETS_S) if elapsed_s <= bound_s),
            len(BUCKETS_S),
        )
        self._buckets[bucket] += 1

    def text(self, gauges: dict[str, float]) -> str:
        """Return all metrics; ``gauges``: current values by name."""
        lines = []
        for name, value in sorted(self._counts.items()):
            lines.append(f"oriolelock_{name}_total {value}")
        for outcome, value in sorted(self._outcomes.items()):
            lines.append(f'oriolelock_requests_total{{outcome="{outcome}"}} {value}')
        cumulative = 0
        for bound, value in zip((*BUCKETS_S, "+Inf"), self._buckets, strict=True):
            cumulative += value
            lines.append(f'oriolelock_request_seconds_bucket{{le="{bound}"}} {cumulative}')
        lines.append(f"oriolelock_request_seconds_sum {self._sum_s:.3f}")
        lines.append(f"oriolelock_request_seconds_count {cumulative}")
        for name, value in sorted(gauges.items()):
            lines.append(f"oriolelock_{name} {value}")
        return "\n".join(lines) + "\n"
