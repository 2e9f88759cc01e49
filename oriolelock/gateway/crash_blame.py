"""
oriolelock.gateway.crash_blame
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Finds the requests that crash endpoints among all that were lost with them.

    An endpoint that dies takes all requests with it that it runs, for several entries, and only one
    of them may have crashed it. So each is a suspect, and suspicions are kept in control's records
    apart from convictions: a request is quarantined once it was lost in three deaths, of more than
    one endpoint, without a complete response in between.

    A request that is sent with another query or other headers each time is found by what its
    copies have in common: the narrowest level of fingerprints is quarantined of which three
    requests were lost and none has completed (``admission.crash_index``).
"""

import collections
import collections.abc
import dataclasses

from oriolelock import events
from oriolelock.admission import crash_index, quarantine
from oriolelock.admission import fingerprint as fingerprints
from oriolelock.model import crash_record

__all__ = ["CrashBlame", "suspicion_key"]

MIN_DEATHS = 3
MIN_ENDPOINTS = 2
# Connections of a dead endpoint end within this time of each other, as far as this entry sees.
LOSS_WINDOW_S = 2.0
# Control may learn of a death this much later than this entry.
REPORT_DELAY_S = 1.0
# If more endpoints die within ``LOSS_WINDOW_S``, no single request is the cause.
MAX_RELATED_DEATHS = 3
# Reported for one death, those that are under suspicion already first.
MAX_SUSPECTS = 16
MAX_TRACKED = 1000
SUSPICION_PREFIX = "suspect-"
CRITERIA = crash_index.Criteria(
    MIN_DEATHS, MIN_ENDPOINTS, crash_record.SAME_DEATH_S + REPORT_DELAY_S, LOSS_WINDOW_S
)

log = events.Events("gateway")

Deaths = tuple[crash_index.Death, ...]


def suspicion_key(fingerprint: str) -> str:
    """Return the key of the crash record that holds suspicions of a request."""
    return SUSPICION_PREFIX + fingerprint


@dataclasses.dataclass(frozen=True)
class Loss:
    """A request that was sent and lost with its connection, at monotonic times."""

    fingerprint: str
    sent_s: float
    at_s: float


class CrashBlame:
    """Not thread-safe. ``now``: monotonic, ``wall_s``: Unix time, in seconds.

    ``report(key, endpoint)`` adds a death to the crash record of ``key`` in control.
    """

    def __init__(self, report: collections.abc.Callable[[str, str], None]):
        self._report = report
        self._quarantine = quarantine.Quarantine()
        self._crashes: collections.abc.Mapping[str, crash_record.CrashRecord] = {}
        self._losses: dict[str, list[Loss]] = {}
        # The latest death of each endpoint.
        self._died_s: dict[str, float] = {}
        # Deaths by fingerprint that this entry has seen since the latest completion, the latest
        # last.
        self._seen: collections.OrderedDict[str, tuple[tuple[str, float], ...]] = (
            collections.OrderedDict()
        )

    def configure(self, crashes: collections.abc.Mapping[str, crash_record.CrashRecord]) -> None:
        """Apply the crash records of a new configuration."""
        if crashes is not self._crashes:
            self._crashes = crashes
            self._quarantine.configure(_convictions(crashes))

    def record_completion(self, fingerprint: str, now: float) -> None:
        """Record that a request with this fingerprint got a complete response."""
        self._quarantine.record_completion(fingerprint, now)
        self._seen.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str, now: float, wall_s: float) -> bool:
        """Return whether the request must be rejected as quarantined."""
        return self.blocked_s(fingerprint, now, wall_s) > 0.0

    def blocked_s(self, fingerprint: str, now: float, wall_s: float) -> float:
        """Return for how many seconds the request must still be rejected, 0 if it need not be."""
        return max(
            self._quarantine.level_blocked_s(level, now, wall_s)
            for level in fingerprints.levels(fingerprint)
        )

    def may_retry(self, fingerprint: str, now: float, wall_s: float) -> bool:
        """Return whether the entry may retry a request that may have crashed an endpoint."""
        was_lost_in_row = len(self._seen.get(fingerprint, ())) > 1
        if self._quarantine.completed_recently(fingerprint, now) and not was_lost_in_row:
            return True
        deaths = self._deaths(fingerprint, now, wall_s)
        is_suspect = bool(deaths) and now - deaths[-1].at_s < crash_record.WINDOW_S
        return not is_suspect and not self.is_blocked(fingerprint, now, wall_s)

    def record_loss(
        self, endpoint: str, fingerprint: str, sent_s: float, now: float, wall_s: float
    ) -> None:
        """Record that a request was lost with its connection to an endpoint.

        ``sent_s``: when it was sent there, monotonic.
        """
        self._forget_old(now)
        self._losses.setdefault(endpoint, []).append(Loss(fingerprint, sent_s, now))
        if endpoint in self._died_s:
            self._blame(endpoint, now, wall_s)

    def record_death(self, endpoint: str, now: float, wall_s: float) -> None:
        """Record that nothing listens any more at the address of an endpoint."""
        self._forget_old(now)
        if endpoint in self._losses:
            self._died_s[endpoint] = now
            self._blame(endpoint, now, wall_s)

    def _forget_old(self, now):
        self._losses = {
            endpoint: recent
            for endpoint, losses in self._losses.items()
            if (recent := [loss for loss in losses if now - loss.at_s < LOSS_WINDOW_S])
        }
        self._died_s = {e: at_s for e, at_s in self._died_s.items() if now - at_s < LOSS_WINDOW_S}

    def _blame(self, endpoint, now, wall_s):
        losses = self._losses.pop(endpoint, ())
        fingerprints_lost = tuple(dict.fromkeys(loss.fingerprint for loss in losses))
        if len(self._died_s) > MAX_RELATED_DEATHS:
            log.notable("endpoints-died-together", endpoints=len(self._died_s))
            return
        sent_s = {loss.fingerprint: loss.sent_s for loss in losses}
        trusted = [f for f in fingerprints_lost if self._is_trusted(f, sent_s[f], now)]
        suspects = [f for f in fingerprints_lost if f not in trusted]
        suspects.sort(key=lambda f: -len(self._deaths(f, now, wall_s)))
        log.notable(
            "endpoint-died", endpoint=endpoint, suspects=len(suspects), trusted=len(trusted)
        )
        for fingerprint in trusted:
            if fingerprint not in self._seen:
                self._remember(fingerprint, (endpoint, now))
        for fingerprint in suspects[:MAX_SUSPECTS]:
            self._suspect(fingerprint, endpoint, now, wall_s)
        if suspects:
            self._convict_levels(now, wall_s)

    def _is_trusted(self, fingerprint, sent_s, now):
        """Return whether a request has completed lately, and was not lost twice in a row since.

        Copies that ran at the same time may be lost by one cause, such as the end of a domain.
        """
        seen = self._seen.get(fingerprint, ())
        is_in_row = bool(seen) and sent_s > seen[-1][1]
        return self._quarantine.completed_recently(fingerprint, now) and not is_in_row

    def _suspect(self, fingerprint, endpoint, now, wall_s):
        death = crash_index.Death(fingerprint, endpoint, now)
        known = self._deaths(fingerprint, now, wall_s)
        if _is_among(death, known):
            return
        if self._quarantine.completed_recently(fingerprint, now):
            # The deaths that were not reported while the request was trusted.
            for name, _ in self._seen.get(fingerprint, ()):
                self._report(suspicion_key(fingerprint), name)
        self._remember(fingerprint, (endpoint, now))
        deaths = (*known, death)
        if CRITERIA.are_met(deaths):
            self._convict(fingerprint, deaths, now)
            return
        log.notable("crash-suspected", mark=fingerprint, endpoint=endpoint, deaths=len(deaths))
        self._report(suspicion_key(fingerprint), endpoint)

    def _convict_levels(self, now, wall_s):
        """Quarantine requests that change each time by what they have in common."""
        levels = crash_index.convicted_levels(
            self._all_deaths(now, wall_s),
            CRITERIA,
            lambda fingerprint: self.is_blocked(fingerprint, now, wall_s),
        )
        for level, deaths in levels.items():
            completed_s = self._quarantine.last_completion_s(level)
            is_trusted = self._quarantine.completed_recently(level, now)
            if not is_trusted and all(death.at_s > completed_s for death in deaths):
                self._convict(level, deaths, now)

    def _convict(self, level, deaths, now):
        log.notable(
            "request-quarantined",
            mark=level,
            request=deaths[-1].fingerprint,
            endpoints=[death.endpoint for death in deaths],
        )
        self._quarantine.block(level, now)
        # Control quarantines a level after the deaths of two endpoints.
        latest = deaths[-1].endpoint
        other = next(d.endpoint for d in reversed(deaths) if d.endpoint != latest)
        for name in (other, latest):
            self._report(level, name)

    def _all_deaths(self, now, wall_s):
        """Return the deaths of all requests that are known here or in control."""
        told = {
            key.removeprefix(SUSPICION_PREFIX)
            for key in self._crashes
            if key.startswith(SUSPICION_PREFIX)
        }
        return [
            death for name in told | set(self._seen) for death in self._deaths(name, now, wall_s)
        ]

    def _remember(self, fingerprint, death):
        deaths = (*self._seen.get(fingerprint, ()), death)
        self._seen[fingerprint] = deaths[-MIN_DEATHS:]
        self._seen.move_to_end(fingerprint)
        while len(self._seen) > MAX_TRACKED:
            self._seen.popitem(last=False)

    def _deaths(self, fingerprint, now, wall_s) -> Deaths:
        """Return the deaths that are known here or in control, by monotonic time, latest last.

        Deaths before the latest completion that this entry has seen do not count.
        """
        found = [
            crash_index.Death(fingerprint, name, at_s)
            for name, at_s in self._seen.get(fingerprint, ())
            if now - at_s < crash_record.QUARANTINE_S
        ]
        completed_s = self._quarantine.last_completion_s(fingerprint)
        record = self._crashes.get(suspicion_key(fingerprint))
        for name, at_wall_s in record.deaths if record else ():
            death = crash_index.Death(fingerprint, name, now - max(0.0, wall_s - at_wall_s))
            if death.at_s > completed_s and not _is_among(death, found):
                found.append(death)
        return tuple(sorted(found, key=lambda death: death.at_s))


def _convictions(crashes):
    return {k: record for k, record in crashes.items() if not k.startswith(SUSPICION_PREFIX)}


def _is_among(death, deaths):
    """Return whether ``deaths`` contains a death of the same endpoint at about the same time."""
    return any(
        death.endpoint == other.endpoint
        and abs(death.at_s - other.at_s) < crash_record.SAME_DEATH_S + REPORT_DELAY_S
        for other in deaths
    )
