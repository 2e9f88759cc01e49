"""
oriolelock.routing.slow_start
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Ramp of work for endpoints that are new, cold, or back from an ejection.
"""

__all__ = ["COLD_FACTOR", "share"]

RAMP_S = 10.0
MIN_FACTOR = 0.1
# An endpoint that still reports a cold start after the ramp gets half of its work.
COLD_FACTOR = 0.5


def share(started_at: float | None, is_cold: bool, now: float) -> float:
    """Return the part (0.1 to 1) of its usual work that an endpoint gets.

    ``started_at``: begin of the ramp in seconds, None for an endpoint that needs none.
    """
    if started_at is None:
        return 1.0
    progress = max(0.0, now - started_at) / RAMP_S
    factor = min(1.0, MIN_FACTOR + (1.0 - MIN_FACTOR) * progress)
    return min(factor, COLD_FACTOR) if is_cold else factor
