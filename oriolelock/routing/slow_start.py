"""
oriolelock.routing.slow_start
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Gradual ramp-up of work for endpoints that are new, cold or readmitted after an ejection.
"""

__all__ = ["MAX_COLD_SHARE", "find_start", "share"]

RAMP_S = 10.0
INITIAL_SHARE = 0.1
# Share for an endpoint that still reports itself cold after the ramp.
MAX_COLD_SHARE = 0.5


def find_start(started_ms: int, now: float, wall_s: float) -> float | None:
    """Return the monotonic time at which an endpoint started, if its ramp is not over yet.

    ``started_ms``: Unix time, 0 if unknown; ``now`` and ``wall_s`` are one moment on the two
    clocks. A start far in the future is not believed.
    """
    age_s = wall_s - started_ms / 1000
    return now - max(0.0, age_s) if started_ms and abs(age_s) < RAMP_S else None


def share(started_at: float | None, is_cold: bool, now: float) -> float:
    """Return the share, 0.1 to 1, of its normal work that an endpoint receives.

    ``started_at``: start of the ramp in seconds, or None if the endpoint needs none.
    """
    if started_at is None:
        return 1.0
    progress = max(0.0, now - started_at) / RAMP_S
    ramp_share = min(1.0, INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress)
    return min(ramp_share, MAX_COLD_SHARE) if is_cold else ramp_share
