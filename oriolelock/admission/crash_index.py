"""
oriolelock.admission.crash_index
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Finds the levels of fingerprints whose requests crash endpoints, each request once.

    A level is suspect by what its requests have in common, so that each request counts once, and so
    do ends of endpoints at about the same time, which may have one cause. An end at which another
    request was lost that was lost several times does not count: that one explains it.
"""

import collections.abc
import dataclasses

from oriolelock.admission import fingerprint as fingerprints
from oriolelock.model import crash_record

__all__ = ["Criteria", "Death", "convicted_levels", "deaths_in_records"]


@dataclasses.dataclass(frozen=True)
class Death:
    """An endpoint died at ``at_s`` while it ran the request with this fingerprint."""

    fingerprint: str
    endpoint: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Criteria:
    """What convicts a level. Reports of one end of an endpoint differ by ``same_death_s`` at most;
    ends within ``one_cause_s`` of each other may have one cause."""

    min_deaths: int
    min_endpoints: int
    same_death_s: float
    one_cause_s: float

    def are_met(self, deaths: collections.abc.Collection[Death]) -> bool:
        """Return whether these deaths, of which each counts, are enough."""
        endpoints = {death.endpoint for death in deaths}
        return len(deaths) >= self.min_deaths and len(endpoints) >= self.min_endpoints


def deaths_in_records(
    crashes: collections.abc.Mapping[str, crash_record.CrashRecord],
) -> list[Death]:
    """Return the deaths in the crash records of control; ``at_s`` is Unix time."""
    return [
        Death(key, endpoint, at_s)
        for key, record in crashes.items()
        for endpoint, at_s in record.deaths
    ]


class _RepeatedRequests:
    """The ends of endpoints at which requests were lost that were lost several times."""

    def __init__(self, deaths, same_death_s):
        self._same_death_s = same_death_s
        by_request: dict[str, list[Death]] = {}
        for death in deaths:
            known = by_request.setdefault(death.fingerprint, [])
            if not any(_is_same_end(death, other, same_death_s) for other in known):
                known.append(death)
        self._by_endpoint: dict[str, list[Death]] = {}
        for known in by_request.values():
            for death in known if len(known) > 1 else ():
                self._by_endpoint.setdefault(death.endpoint, []).append(death)

    def explain(self, death):
        """Return whether one of them, another than that of ``death``, may be the cause."""
        return any(
            other.fingerprint != death.fingerprint
            and _is_same_end(death, other, self._same_death_s)
            for other in self._by_endpoint.get(death.endpoint, ())
        )


def convicted_levels(
    deaths: collections.abc.Iterable[Death],
    criteria: Criteria,
    is_convicted: collections.abc.Callable[[str], bool],
) -> dict[str, list[Death]]:
    """Return the levels above single requests that these deaths convict, with those that count.

    Narrow levels come first; their deaths do not count for wider ones. Nor do those of requests
    that are convicted already, by ``is_convicted(fingerprint)``.
    """
    deaths = sorted(deaths, key=lambda death: death.at_s)
    repeated = _RepeatedRequests(deaths, criteria.same_death_s)
    left = [
        death
        for death in deaths
        if not is_convicted(death.fingerprint) and not repeated.explain(death)
    ]
    found: dict[str, list[Death]] = {}
    levels = {death.fingerprint: fingerprints.levels(death.fingerprint) for death in left}
    for position in range(1, fingerprints.LEVELS):
        by_level: dict[str, list[Death]] = {}
        for death in left:
            if position < len(levels[death.fingerprint]):
                by_level.setdefault(levels[death.fingerprint][position], []).append(death)
        for level, at_level in by_level.items():
            counted = _independent(at_level, criteria)
            if criteria.are_met(counted):
                found[level] = counted
        left = [death for death in left if found.keys().isdisjoint(levels[death.fingerprint])]
    return found


def _independent(deaths, criteria):
    """Return those of the deaths at a level that count, the latest one among them, by time."""
    chosen = [deaths[-1]]
    for death in deaths:
        if not any(
            other.fingerprint == death.fingerprint
            or abs(other.at_s - death.at_s) < criteria.one_cause_s
            or _is_same_end(death, other, criteria.same_death_s)
            for other in chosen
        ):
            chosen.append(death)
    return sorted(chosen, key=lambda death: death.at_s)


def _is_same_end(left, right, same_death_s):
    return left.endpoint == right.endpoint and abs(left.at_s - right.at_s) < same_death_s
