"""
oriolelock.admission.crash_index
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The crash records of control, by what requests of any level share.
"""

import collections.abc
import dataclasses

from oriolelock.admission import fingerprint as fingerprints
from oriolelock.model import crash_record

__all__ = ["CrashIndex", "Death", "narrowest_level"]


@dataclasses.dataclass(frozen=True)
class Death:
    """An endpoint died at ``at_s`` while it ran the request with this fingerprint."""

    fingerprint: str
    endpoint: str
    at_s: float


class CrashIndex:
    """Deaths in crash records whose keys begin with ``prefix``."""

    def __init__(
        self, crashes: collections.abc.Mapping[str, crash_record.CrashRecord], prefix: str = ""
    ):
        self._deaths: dict[str, list[Death]] = {}
        for key, record in crashes.items():
            if key.startswith(prefix):
                name = key[len(prefix) :]
                found = self._deaths.setdefault(fingerprints.shared_part(name), [])
                found.extend(Death(name, endpoint, at_s) for endpoint, at_s in record.deaths)

    def deaths(self, level: str) -> list[Death]:
        """Return the deaths of requests at a level; ``at_s`` is Unix time."""
        alike = self._deaths.get(fingerprints.shared_part(level), ())
        return [death for death in alike if fingerprints.is_at_level(death.fingerprint, level)]

    def all_deaths(self) -> list[Death]:
        """Return all deaths; ``at_s`` is Unix time."""
        return [death for deaths in self._deaths.values() for death in deaths]


def narrowest_level(
    deaths: collections.abc.Collection[Death],
    latest: Death,
    is_enough: collections.abc.Callable[[list[Death]], bool],
    is_convicted: collections.abc.Callable[[str], bool],
    same_death_s: float,
    one_cause_s: float,
) -> tuple[str, list[Death]]:
    """Return the narrowest level above single requests that ``latest`` convicts, and its deaths.

    Both are empty if there is none. A level is suspect by what its requests have in common, so
    that each request counts once, and so do ends of endpoints within ``one_cause_s`` of each other,
    which may have one cause. Reports of one end differ by ``same_death_s`` at most. An end at which
    another request was lost that was lost several times does not count: that one explains it. Nor
    do requests that are convicted themselves, by ``is_convicted(fingerprint)``.
    """
    repeated = _of_repeated_requests((*deaths, latest), same_death_s)
    if is_convicted(latest.fingerprint) or _is_explained(latest, repeated, same_death_s):
        return "", []
    for level in fingerprints.levels(latest.fingerprint)[1:]:
        chosen = [latest]
        for death in sorted(deaths, key=lambda item: item.at_s):
            if (
                fingerprints.is_at_level(death.fingerprint, level)
                and not is_convicted(death.fingerprint)
                and not _is_explained(death, repeated, same_death_s)
                and not any(
                    other.fingerprint == death.fingerprint
                    or abs(other.at_s - death.at_s) < one_cause_s
                    or _is_same_end(death, other, same_death_s)
                    for other in chosen
                )
            ):
                chosen.append(death)
        if is_enough(chosen):
            return level, sorted(chosen, key=lambda item: item.at_s)
    return "", []


def _of_repeated_requests(deaths, same_death_s):
    by_request: dict[str, list[Death]] = {}
    for death in deaths:
        known = by_request.setdefault(death.fingerprint, [])
        if not any(_is_same_end(death, other, same_death_s) for other in known):
            known.append(death)
    return [death for known in by_request.values() if len(known) > 1 for death in known]


def _is_explained(death, repeated, same_death_s):
    return any(
        other.fingerprint != death.fingerprint and _is_same_end(death, other, same_death_s)
        for other in repeated
    )


def _is_same_end(left, right, same_death_s):
    return left.endpoint == right.endpoint and abs(left.at_s - right.at_s) < same_death_s
