"""
oriolelock.dispatch.endpoint_limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Keeps the requests of all entries within the rates that endpoints announce for themselves.

    Each entry has a fixed share of an endpoint's rate, in a token bucket. If there are more
    entries than the rate has room for, rendezvous hashing selects those that have a share. So no
    coordination is needed. An entry that learns of a rate starts without tokens, so that one that
    restarts cannot exceed its share.
"""

import collections.abc
import dataclasses
import math

from oriolelock.dispatch import entry_census, ranking

__all__ = ["UNLIMITED", "EndpointLimits", "Share", "Statement", "share_of"]

UNLIMITED = math.inf
# A limit that no response has confirmed for this long is no longer valid.
LIMIT_LIFETIME_S = 60.0
# How long the end of a limit is remembered, so that no older statement revives the limit.
END_MEMORY_S = 20.0
# An endpoint that takes nothing still gets a request now and then, which shows when that ends.
MIN_RATE = 0.1
# Part of the rate for entries of other regions, which may have no other endpoint of the service.
REMOTE_RATIO = 0.1
# Sum of the bucket sizes of all entries of the endpoint's region, and of all others, in requests:
# a constant and seconds of the rate.
LOCAL_BURST, LOCAL_BURST_S = 2.0, 1.2
REMOTE_BURST, REMOTE_BURST_S = 1.0, 0.3
# Tokens that only the most urgent requests may use.
URGENT_RESERVE = 0.5


@dataclasses.dataclass(frozen=True)
class Statement:
    """``rate``: requests per second that the endpoint takes from all entries together, or
    ``UNLIMITED``; ``stated_s``: time of the response that announced it, monotonic seconds."""

    rate: float
    stated_s: float


@dataclasses.dataclass(frozen=True)
class Share:
    """One entry's part of an endpoint's rate: requests per second, and the bucket's size."""

    rate: float
    burst: float


NO_SHARE = Share(0.0, 0.0)


def share_of(
    endpoint: str,
    rate: float,
    local: collections.abc.Sequence[str],
    remote: collections.abc.Sequence[str],
    own: str,
) -> Share:
    """Return the share of entry ``own``.

    ``local``: entries of the endpoint's region; ``remote``: all others.
    """
    rate = max(rate, MIN_RATE)
    remote_rate = REMOTE_RATIO * rate if remote else 0.0
    if own in local:
        group, group_rate, burst = local, rate - remote_rate, LOCAL_BURST + LOCAL_BURST_S * rate
    else:
        group, group_rate, burst = remote, remote_rate, REMOTE_BURST + REMOTE_BURST_S * rate
    # A bucket smaller than one request would never allow any.
    max_senders = int(burst)
    if len(group) > max_senders and own not in ranking.order(endpoint, group)[:max_senders]:
        return NO_SHARE
    senders = min(len(group), max_senders)
    return Share(group_rate / senders, burst / senders)


class _Bucket:
    """Tokens of this entry for one endpoint; empty at first, as earlier requests were not counted.

    The count may be negative after requests that could not wait, such as health checks.
    """

    def __init__(self, now: float):
        self._tokens = 0.0
        self._updated_s = now

    def tokens(self, share: Share, now: float) -> float:
        """Return the number of tokens at ``now``."""
        elapsed_s = max(0.0, now - self._updated_s)
        self._tokens = min(share.burst, self._tokens + share.rate * elapsed_s)
        self._updated_s = now
        return self._tokens

    def take(self, count: float) -> None:
        """Remove tokens; a negative count returns them."""
        self._tokens -= count


class EndpointLimits:
    """Announced rates of the endpoints, by name, and what entry ``own`` may send to each.

    Not thread-safe; times are monotonic seconds.
    """

    def __init__(self, own: str, census: entry_census.EntryCensus):
        self._own = own
        self._census = census
        self._statements: dict[str, Statement] = {}
        # By name of an endpoint with a limit.
        self._buckets: dict[str, _Bucket] = {}
        # By name of an endpoint whose limit has ended: when that became known.
        self._ended_s: dict[str, float] = {}
        # By endpoint: what the share was computed from, and the share.
        self._shares: dict[str, tuple[tuple[float, int], Share]] = {}

    def record(self, endpoint: str, rate: float, stated_s: float, now: float) -> bool:
        """Record a statement unless a newer one is known; returns whether the rate changed."""
        known = self._statements.get(endpoint)
        if known is None and rate == UNLIMITED:
            return False
        if known is not None and known.stated_s >= stated_s:
            return False
        previous_rate = self.rate(endpoint, now)
        self._statements[endpoint] = Statement(rate, stated_s)
        if rate == UNLIMITED:
            self._buckets.pop(endpoint, None)
            self._ended_s.setdefault(endpoint, stated_s)
        elif previous_rate == UNLIMITED:
            self._buckets[endpoint] = _Bucket(now)
            self._ended_s.pop(endpoint, None)
        return known is None or previous_rate != rate

    def rate(self, endpoint: str, now: float) -> float:
        """Return the announced rate in requests per second, or ``UNLIMITED``."""
        known = self._statements.get(endpoint)
        if known is None or now - known.stated_s > LIMIT_LIFETIME_S:
            return UNLIMITED
        return known.rate

    def statements(self, now: float) -> dict[str, Statement]:
        """Return the valid statements by endpoint, with recent ends of limits."""
        for name, known in list(self._statements.items()):
            memory_s, since_s = LIMIT_LIFETIME_S, known.stated_s
            if known.rate == UNLIMITED:
                memory_s, since_s = END_MEMORY_S, self._ended_s[name]
            if now - since_s > memory_s:
                self.forget(name)
        return dict(self._statements)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint, for example because it has restarted."""
        for by_endpoint in (self._statements, self._buckets, self._ended_s, self._shares):
            by_endpoint.pop(endpoint, None)

    def limited_count(self, now: float) -> int:
        """Return the number of endpoints with an announced rate."""
        return sum(self.rate(name, now) != UNLIMITED for name in self._statements)

    def wait_s(self, endpoint: str, region: str, priority: int, now: float) -> float:
        """Return seconds until a request may be sent; infinite for an entry without a share.

        ``region``: that of the endpoint; ``priority``: 0 for the most urgent requests.
        """
        rate = self.rate(endpoint, now)
        if rate == UNLIMITED:
            return 0.0
        share = self._share(endpoint, rate, region, now)
        if not share.rate:
            return math.inf
        needed = 1.0 if priority == 0 else min(share.burst, 1.0 + URGENT_RESERVE)
        missing = needed - self._buckets[endpoint].tokens(share, now)
        return max(0.0, missing) / share.rate

    def record_sent(self, endpoint: str, now: float, count: float = 1.0) -> None:
        """Count requests to an endpoint; a negative ``count`` takes back unsent ones."""
        if self.rate(endpoint, now) != UNLIMITED:
            self._buckets[endpoint].take(count)

    def _share(self, endpoint, rate, region, now):
        inputs = (rate, self._census.version(now))
        cached = self._shares.get(endpoint)
        if cached is None or cached[0] != inputs:
            local, remote = self._census.senders(region, now)
            share = share_of(endpoint, rate, local, remote, self._own)
            cached = self._shares[endpoint] = (inputs, share)
        return cached[1]

    def retain(self, endpoints: collections.abc.Container[str]) -> None:
        """Drop the state of endpoints that are not in ``endpoints``."""
        for name in [name for name in self._statements if name not in endpoints]:
            self.forget(name)
