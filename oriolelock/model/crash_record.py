"""
oriolelock.model.crash_record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Endpoint deaths that happened while running one kind of request.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = [
    "MAX_CRASH_RECORDS",
    "QUARANTINE_DEATHS",
    "QUARANTINE_S",
    "SAME_DEATH_S",
    "WINDOW_S",
    "CrashRecord",
]

QUARANTINE_DEATHS = 2
WINDOW_S = 60.0
QUARANTINE_S = 600.0
# Reports of one endpoint within this time are of one death: several requests, several entries,
# or a report that was sent again.
SAME_DEATH_S = 2.0
MAX_CRASH_RECORDS = 1000


@codec.register("crash")
@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """``deaths``: (endpoint, Unix time) within the window.

    ``until_s``: end of the quarantine in Unix time, 0 for none.
    """

    fingerprint: str
    deaths: tuple[tuple[str, float], ...]
    until_s: float
