"""
oriolelock.dispatch.restarts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Endpoints that may have ended and started again under their name, before the list says so.

    An entry that sees a sign of an end raises a doubt, which has a number and is spread to all
    entries. An endpoint in doubt gets no requests. Entries check its health in turn, so that their
    checks stay within the rate of a cold endpoint, until one of them learns how long it is cold.
    What entries know of an endpoint merges in any order: a higher number replaces a lower one, and
    for the same number the later state replaces the earlier one.
"""

import collections.abc
import dataclasses
import enum
import itertools

from oriolelock.dispatch import cold_quota, ranking
from oriolelock.model import endpoint

__all__ = ["Report", "Restarts", "State", "Suspicion", "check_turn", "endpoint_digest"]

# How long the end of a doubt is remembered, and told.
SETTLED_MEMORY_S = 30.0
SETTLED_TOLD_S = 5.0
# How long reports of endpoints are kept that are not listed here.
UNLISTED_MEMORY_S = 30.0
MAX_UNLISTED = 1000
# Between the checks of two entries.
MIN_CHECK_INTERVAL_S = 0.25
# Between what entries compute of the end of a cold period.
MERGE_SLACK_S = 0.5
# Until bytes that an endpoint sent before its end have arrived.
IN_TRANSIT_S = 0.15
# Between the ends of the cold period at the endpoint and here.
COLD_SLACK_S = 0.1
# After which the instance list would name a new start of an endpoint.
UNSURE_S = 3.0
# An endpoint whose doubt ended this recently needs no check for an older reason.
RECENT_S = 2.0


class State(enum.IntEnum):
    """What became of a doubt, in the order of time; the values are sent to other entries."""

    # Signs of an end were seen.
    IN_DOUBT = 1
    # It may be cold again without an end, which only a health check tells.
    UNCHECKED = 2
    # It is up, but its health checks do not tell whether it is cold.
    ASSUMED_COLD = 3
    COLD = 4
    SETTLED = 5

    @property
    def is_open(self) -> bool:
        """Whether the endpoint gets no requests until a health check."""
        return self <= State.UNCHECKED

    @property
    def is_cold(self) -> bool:
        """Whether the endpoint gets requests at the rate of a cold one only."""
        return self in (State.ASSUMED_COLD, State.COLD)


@dataclasses.dataclass(frozen=True)
class Report:
    """``endpoint_digest``: see ``endpoint_digest``; ``number``: of the doubt; ``cold_s``: seconds
    for which the endpoint stays cold; ``age_s``: seconds since the state was observed."""

    endpoint_digest: int
    number: int
    state: State
    cold_s: float = 0.0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """An entry saw a sign of an end that may be its own fault; others may have seen one as well."""

    endpoint_digest: int


@dataclasses.dataclass
class _Doubt:
    number: int
    state: State
    # Since when this entry knows of the doubt, and when it last saw a sign itself.
    known_s: float
    sign_s: float
    observed_s: float
    cold_until_s: float = float("-inf")
    # When the endpoint that said so has started, as far as known.
    started_s: float = float("-inf")
    # Reports of the end of the doubt must have been observed later.
    signs_until_s: float = float("-inf")
    # Whether only a health check could end it.
    was_unchecked: bool = False
    # Until when its end is told again, as another entry has not heard of it.
    told_until_s: float = float("-inf")


def endpoint_digest(instance: endpoint.Endpoint) -> int:
    """Return a digest of an endpoint's name and address, which a new start may keep."""
    return ranking.digest(f"{instance.name}\n{instance.address}")


def check_turn(
    name: str,
    rate: float,
    local: collections.abc.Collection[str],
    remote: collections.abc.Collection[str],
    own: str,
    age_s: float,
) -> int | None:
    """Return the number of the present turn if it is entry ``own``'s to check an endpoint.

    ``rate``: requests per second that the endpoint tolerates while cold; ``local``: entries of the
    endpoint's region, which come first; ``age_s``: seconds since the doubt was raised.
    """
    if age_s < 0.0:
        return None
    interval_s = max(MIN_CHECK_INTERVAL_S, cold_quota.INTERVAL_S / max(1, int(rate)))
    turn = int(age_s / interval_s)
    # Those of one region may all be lost.
    orders = ranking.order(name, local), ranking.order(name, remote)
    pairs = itertools.zip_longest(*orders)
    names = [entry for pair in pairs for entry in pair if entry is not None]
    return turn if names and names[turn % len(names)] == own else None


class Restarts:
    """Doubts by ``endpoint_digest``. Not thread-safe; times are monotonic seconds."""

    def __init__(self) -> None:
        self._doubts: dict[int, _Doubt] = {}
        self._listed: collections.abc.Container[int] = ()
        # Since when this entry does not know whether an endpoint has ended.
        self._unsure_s: dict[int, float] = {}

    def mark_unsure(self, digest: int, now: float) -> None:
        """Record that this entry can't tell an end of an endpoint from a fault of its own."""
        self._unsure_s[digest] = now

    def unsure_age_s(self, digest: int, now: float) -> float | None:
        """Return since how many seconds an endpoint may have ended, None if it has not."""
        since_s = self._unsure_s.get(digest)
        if since_s is None:
            return None
        if now - since_s > UNSURE_S:
            del self._unsure_s[digest]
            return None
        return now - since_s

    def vouch(self, digest: int, now: float, wall_s: float) -> None:
        """Record that an endpoint that is not in doubt was up and warm at ``now``."""
        known = self._doubts.get(digest)
        if known is None:
            self._doubts[digest] = _Doubt(int(wall_s), State.SETTLED, now, float("-inf"), now)
        elif self.state(digest, now) is State.SETTLED:
            known.observed_s = now

    def retain(self, digests: collections.abc.Container[int], now: float) -> None:
        """Forget endpoints that are not among ``digests``, after a time."""
        self._listed = digests
        self._forget_unlisted(now)
        self._unsure_s = {key: at_s for key, at_s in self._unsure_s.items() if key in digests}

    def _forget_unlisted(self, now):
        unlisted = [key for key in self._doubts if key not in self._listed]
        for position, key in enumerate(reversed(unlisted)):
            is_old = now - self._doubts[key].observed_s > UNLISTED_MEMORY_S
            if is_old or position >= MAX_UNLISTED:
                del self._doubts[key]

    def raise_doubt(
        self, digest: int, now: float, wall_s: float, state: State = State.IN_DOUBT
    ) -> bool:
        """Record a doubt of this state; returns False if the endpoint is in doubt already.

        ``wall_s``: Unix time, from which entries that see the same end derive the same number.
        """
        known = self._doubts.get(digest)
        self._unsure_s.pop(digest, None)
        if known is not None and known.state.is_open:
            known.sign_s, known.state = now, max(known.state, state)
            # What another entry observed before may be on its way.
            known.signs_until_s = now + IN_TRANSIT_S
            known.was_unchecked = known.state is State.UNCHECKED
            return False
        number = max(known.number + 1 if known else 0, int(wall_s))
        # The turns of checks begin anew.
        known_s = max(now, known.observed_s + MIN_CHECK_INTERVAL_S) if known else now
        self._doubts[digest] = _Doubt(number, state, known_s, now, now)
        self._doubts[digest].was_unchecked = state is State.UNCHECKED
        return True

    def is_of_earlier_start(self, digest: int, connected_s: float, now: float) -> bool:
        """Return whether a connection was opened before the known start of a cold endpoint."""
        is_cold = self.state(digest, now).is_cold
        return is_cold and connected_s < self._doubts[digest].started_s

    def record_cold(
        self,
        digest: int,
        cold_s: float,
        period_s: float,
        now: float,
        wall_s: float,
        state: State = State.COLD,
    ) -> bool:
        """Record that an endpoint is cold for ``cold_s`` seconds.

        ``period_s``: how long endpoints are cold after a start; ``state``: ``COLD`` if it has said
        so. Returns whether this is new.
        """
        known = self._doubts.get(digest)
        self._unsure_s.pop(digest, None)
        if known is None or self.state(digest, now) is State.SETTLED:
            number = max(known.number + 1 if known else 0, int(wall_s))
            known = self._doubts[digest] = _Doubt(number, State.IN_DOUBT, now, now, now)
        is_new = known.state is not state
        known.state, known.observed_s = state, now
        known.cold_until_s = max(known.cold_until_s, now + cold_s)
        known.started_s = now + cold_s - period_s
        return is_new

    def settle(self, digest: int, now: float) -> bool:
        """Record that an endpoint is up and warm; returns whether it was in doubt or cold."""
        self._unsure_s.pop(digest, None)
        if self.state(digest, now) is State.SETTLED:
            return False
        known = self._doubts[digest]
        known.state, known.observed_s = State.SETTLED, now
        return True

    def record_response(self, digest: int, connected_s: float, cold_s: float, now: float) -> bool:
        """Record a response over a connection that was opened at ``connected_s``.

        An endpoint that kept a connection for its cold period is warm. Returns whether this ended a
        doubt.
        """
        known = self._doubts.get(digest)
        if digest in self._unsure_s and now - connected_s >= cold_s + IN_TRANSIT_S:
            del self._unsure_s[digest]
        if known is None or known.state is not State.IN_DOUBT:
            return False
        is_later = now - max(known.known_s, known.sign_s) >= IN_TRANSIT_S
        if not is_later or now - connected_s < cold_s + IN_TRANSIT_S:
            return False
        return self.settle(digest, now)

    def state(self, digest: int, now: float) -> State:
        """Return the state of an endpoint, ``SETTLED`` for one that was never in doubt."""
        known = self._doubts.get(digest)
        if known is None:
            return State.SETTLED
        if known.state is State.ASSUMED_COLD and now >= known.cold_until_s + COLD_SLACK_S:
            known.state, known.observed_s = State.SETTLED, now
        if known.state is State.COLD and now >= known.cold_until_s + COLD_SLACK_S:
            # It may have started again meanwhile, as hardly an entry had a connection to it.
            known.number, known.state = known.number + 1, State.UNCHECKED
            known.known_s = known.observed_s = now
            known.was_unchecked = True
        return known.state

    def doubt_age_s(self, digest: int, now: float) -> float | None:
        """Return since how many seconds an endpoint is in doubt; None if it is not."""
        if not self.state(digest, now).is_open:
            return None
        return now - self._doubts[digest].known_s

    def cold_left_s(self, digest: int, now: float) -> float:
        """Return for how many seconds an endpoint stays cold by its own word, 0 if unknown."""
        if not self.state(digest, now).is_cold:
            return 0.0
        return max(0.0, self._doubts[digest].cold_until_s - now)

    def withdraw_doubts(self, now: float) -> None:
        """Forget open doubts, for an entry that may be cut off and learns the others' anew."""
        for digest, known in self._doubts.items():
            if known.state.is_open:
                self.mark_unsure(digest, now)
        self._doubts = {
            digest: known for digest, known in self._doubts.items() if not known.state.is_open
        }

    def is_recent(self, digest: int, now: float) -> bool:
        """Return whether an endpoint is in doubt, or its health was checked a short while ago."""
        known = self._doubts.get(digest)
        if known is None:
            return False
        if self.state(digest, now) is State.SETTLED:
            return known.was_unchecked and now - known.observed_s <= RECENT_S
        return known.state.is_cold or known.was_unchecked

    def is_known_since(self, digest: int, started_s: float, now: float, wall_s: float) -> bool:
        """Return whether the end of a doubt was observed after ``started_s``, a Unix time."""
        known = self._doubts.get(digest)
        return known is not None and wall_s - (now - known.observed_s) >= started_s

    def merge(self, report: Report, period_s: float, now: float) -> bool:
        """Apply what another entry knows; returns whether this changed the state.

        ``period_s``: how long endpoints are cold after a start.
        """
        key, known = report.endpoint_digest, self._doubts.get(report.endpoint_digest)
        observed_s = now - report.age_s
        before = self.state(key, now)
        is_news = report.state is not State.SETTLED or (
            now - report.age_s > self._unsure_s.get(key, now) + IN_TRANSIT_S
        )
        if is_news and (known is None or report.number >= known.number):
            self._unsure_s.pop(key, None)
        if known is not None:
            rank, other_rank = (known.number, known.state), (report.number, report.state)
            if rank > other_rank or (rank == other_rank and known.state is State.SETTLED):
                if rank > other_rank:
                    known.told_until_s = now + SETTLED_TOLD_S
                return False
        elif key not in self._listed and report.age_s > UNLISTED_MEMORY_S:
            return False
        if known is None or known.number < report.number:
            sign_s = known.sign_s if known else float("-inf")
            known_s = max(now, known.observed_s + MIN_CHECK_INTERVAL_S) if known else now
            known = _Doubt(report.number, State.IN_DOUBT, known_s, sign_s, observed_s)
            self._doubts[key] = known
            if key not in self._listed:
                self._forget_unlisted(now)
        if report.state is State.SETTLED and observed_s < max(known.sign_s, known.signs_until_s):
            # A later sign than what ended the other entry's doubt.
            known.number, known.state = report.number + 1, State.IN_DOUBT
            known.observed_s = known.sign_s
            return True
        else:
            known.state = max(known.state, report.state)
            known.was_unchecked = known.was_unchecked or report.state is State.UNCHECKED
            known.observed_s = observed_s
        # Each hop of the news takes time, which must not add up.
        is_longer = now + report.cold_s > known.cold_until_s + MERGE_SLACK_S
        if report.state.is_cold and is_longer:
            known.cold_until_s = now + report.cold_s
            known.started_s = now + report.cold_s - period_s
        return self.state(key, now) is not before

    def report(self, digest: int, now: float) -> Report | None:
        """Return what is to be told of an endpoint, None for nothing."""
        known = self._doubts.get(digest)
        if known is None:
            return None
        state = self.state(digest, now)
        cold_s = self.cold_left_s(digest, now)
        return Report(digest, known.number, state, cold_s, max(0.0, now - known.observed_s))

    def reports(self, now: float) -> list[Report]:
        """Return what is to be told of all endpoints, the latest doubts first."""
        for digest in list(self._doubts):
            is_settled = self.state(digest, now) is State.SETTLED
            if is_settled and now - self._doubts[digest].observed_s > SETTLED_MEMORY_S:
                del self._doubts[digest]
        return [
            self.report(digest, now)
            for digest, known in reversed(self._doubts.items())
            if digest in self._listed
            and (
                known.state is not State.SETTLED
                or now - known.observed_s <= SETTLED_TOLD_S
                or now <= known.told_until_s
            )
        ]

    def counts(self, now: float) -> dict[State, int]:
        """Return the number of endpoints by state, without settled ones."""
        states = [self.state(digest, now) for digest in list(self._doubts)]
        return {state: states.count(state) for state in State if state is not State.SETTLED}
