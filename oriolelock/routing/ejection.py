"""
oriolelock.routing.ejection
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Ejects failing endpoints and readmits them after a successful probe.

    A refused connection means that nothing listens at the address, so it ejects the endpoint at
    once and without a cap. Other failures may be caused by load, so they eject at most half of
    a service's endpoints.
"""

import collections.abc

__all__ = ["Ejector"]

MAX_CONSECUTIVE_FAILURES = 5
SLOW_RATIO = 3.0
MAX_CONSECUTIVE_SLOW = 10
MAX_EJECTED_SHARE = 0.5
REFUSED_BASE_S = 1.0
FAILED_BASE_S = 5.0
REFUSED_MAX_S = 10.0
FAILED_MAX_S = 60.0
# The backoff restarts for an endpoint that has not been ejected for this long.
EJECTION_COUNT_RESET_S = 60.0
# Another probe may start after this time if the result of the last one was never reported, for
# example because its request was dropped.
PROBE_TIMEOUT_S = 30.0
# Once an ejection has been over for this long, non-idempotent requests may probe too, for
# services without idempotent operations.
NON_IDEMPOTENT_PROBE_DELAY_S = 10.0


class _EndpointHealth:
    def __init__(self):
        self.consecutive_failures = 0
        self.consecutive_slow = 0
        self.ejection_count = 0
        self.ejected_until: float | None = None
        self.readmitted_at = float("-inf")
        self.refused = False
        self.probe_started_at: float | None = None


class Ejector:
    """Outlier ejection for the endpoints of one service."""

    def __init__(self):
        self._health_by_name: dict[str, _EndpointHealth] = {}
        self.ejected: set[str] = set()

    def configure(self, names: collections.abc.Collection[str]) -> None:
        """Track exactly these endpoints."""
        for name in [name for name in self._health_by_name if name not in names]:
            del self._health_by_name[name]
            self.ejected.discard(name)
        for name in names:
            self._health_by_name.setdefault(name, _EndpointHealth())

    def forget(self, name: str) -> None:
        """Drop what is known of an endpoint, because another process has its name now."""
        if name in self._health_by_name:
            self._health_by_name[name] = _EndpointHealth()
            self.ejected.discard(name)

    def record_restart(self, name: str) -> None:
        """Record that an endpoint has probably started again.

        Earlier failures no longer count towards an ejection. One that is ejected stays so until
        its probe.
        """
        health = self._health_by_name.get(name)
        if health:
            health.consecutive_failures = health.consecutive_slow = 0

    def record_success(self, name: str, latency_ratio: float, now: float) -> bool:
        """Record a complete response that took ``latency_ratio`` times the mean latency.

        Returns whether this readmits the endpoint, which then needs a slow start.
        """
        health = self._health_by_name.get(name)
        if health is None:
            return False
        health.consecutive_failures = 0
        if name in self.ejected:
            # Only the probe counts: an older request may have run before the failure.
            if health.probe_started_at is None:
                return False
            if latency_ratio <= SLOW_RATIO:
                self._readmit(name, health, now)
                return True
        health.consecutive_slow = health.consecutive_slow + 1 if latency_ratio > SLOW_RATIO else 0
        if health.consecutive_slow >= MAX_CONSECUTIVE_SLOW or health.probe_started_at is not None:
            self._eject(name, health, now)
        return False

    def record_failure(self, name: str, now: float) -> None:
        """Record an error, a timeout or a lost connection."""
        health = self._health_by_name.get(name)
        if health is None:
            return
        health.consecutive_failures += 1
        if (
            health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            or health.probe_started_at is not None
        ):
            self._eject(name, health, now)

    def record_refusal(self, name: str, now: float) -> None:
        """Record that the endpoint refused a connection."""
        health = self._health_by_name.get(name)
        if health and (name not in self.ejected or health.probe_started_at is not None):
            self._eject(name, health, now, refused=True)

    def record_crash(self, name: str, now: float) -> None:
        """Record that a request crashed the endpoint, which refuses connections until it restarts.

        This does not lengthen later ejections, because the endpoint did not fail under load.
        """
        health = self._health_by_name.get(name)
        if health:
            ejection_count = health.ejection_count
            self.record_refusal(name, now)
            health.ejection_count = ejection_count

    def record_load_report(self, name: str, measured_at: float, now: float) -> bool:
        """Record a load report measured at ``measured_at``.

        A report measured after the ejection period readmits an endpoint that had refused
        connections, even if no request of this entry would probe it. Returns whether this
        readmits the endpoint, which then needs a slow start.
        """
        if name not in self.ejected:
            return False
        health = self._health_by_name[name]
        if (
            not health.refused
            or measured_at < health.ejected_until
            or health.probe_started_at is not None
        ):
            return False
        self._readmit(name, health, now)
        return True

    def record_probe_end(self, name: str) -> None:
        """Record that a probe ended, even if its result says nothing about the endpoint."""
        health = self._health_by_name.get(name)
        if health:
            health.probe_started_at = None

    def may_probe(self, name: str, idempotent: bool, now: float) -> bool:
        """Return whether a request may probe an ejected endpoint now; one probe runs at a time.

        A request that must not run twice may probe only an endpoint that refused connections,
        or one whose ejection ended more than ``NON_IDEMPOTENT_PROBE_DELAY_S`` ago.
        """
        health = self._health_by_name[name]
        if health.ejected_until is None or now < health.ejected_until:
            return False
        if health.probe_started_at is not None and now - health.probe_started_at < PROBE_TIMEOUT_S:
            return False
        return (
            idempotent
            or health.refused
            or now - health.ejected_until > NON_IDEMPOTENT_PROBE_DELAY_S
        )

    def record_probe_start(self, name: str, now: float) -> None:
        """Record that a probe has been sent."""
        health = self._health_by_name.get(name)
        if health:
            health.probe_started_at = now

    def _eject(self, name, health, now, refused=False):
        if name not in self.ejected and not refused and self._is_at_ejection_cap():
            return
        if now - health.readmitted_at > EJECTION_COUNT_RESET_S and name not in self.ejected:
            health.ejection_count = 0
        base_s, max_s = (
            (REFUSED_BASE_S, REFUSED_MAX_S) if refused else (FAILED_BASE_S, FAILED_MAX_S)
        )
        health.ejected_until = now + min(max_s, base_s * 2 ** min(health.ejection_count, 10))
        health.ejection_count += 1
        health.refused = refused
        health.probe_started_at = None
        health.consecutive_failures = health.consecutive_slow = 0
        self.ejected.add(name)

    def _is_at_ejection_cap(self):
        return len(self.ejected) + 1 > int(MAX_EJECTED_SHARE * len(self._health_by_name))

    def _readmit(self, name, health, now):
        self.ejected.discard(name)
        health.ejected_until = None
        health.probe_started_at = None
        health.consecutive_slow = 0
        health.readmitted_at = now
