"""
oriolelock.bench.stream_result
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What became of the requests of one stream.
"""

import collections
import dataclasses

from hdrh import histogram

__all__ = ["StreamResult"]

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


def _make_histogram():
    return histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclasses.dataclass
class StreamResult:
    """Counts by outcome and reason; latency of complete answers in microseconds.

    ``in_time`` counts complete answers within the deadline.
    """

    sent: int = 0
    in_time: int = 0
    outcomes: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    latency: histogram.HdrHistogram = dataclasses.field(default_factory=_make_histogram)

    def record(self, outcome: str, reason: str, elapsed_s: float, deadline_ms: float) -> None:
        """Count one finished request."""
        self.outcomes[f"{outcome}:{reason}" if reason else outcome] += 1
        if outcome == "complete":
            self.latency.record_value(min(max(int(elapsed_s * 1e6), 1), MAX_LATENCY_US))
            if elapsed_s * 1000 <= deadline_ms:
                self.in_time += 1

    def percentile_ms(self, percent: float) -> float:
        """Return a latency percentile of complete answers in milliseconds; 0 without any."""
        if not self.latency.get_total_count():
            return 0.0
        return self.latency.get_value_at_percentile(percent) / 1000

    def summary(self) -> dict:
        """Return the figures for a report."""
        return {
            "sent": self.sent,
            "in_time": self.in_time,
            "in_time_share": round(self.in_time / self.sent, 4) if self.sent else 0.0,
            "p50_ms": round(self.percentile_ms(50), 2),
            "p99_ms": round(self.percentile_ms(99), 2),
            "outcomes": dict(sorted(self.outcomes.items())),
        }
