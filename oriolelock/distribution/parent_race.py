"""
oriolelock.distribution.parent_race
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Connects to several parents, each a moment after the one before, and keeps the first that
    confirms the configuration.

    Some may be frozen, cut off, or without a parent of their own. Asked one after another, each of
    them would delay the next change by its time limits.
"""

import collections
import collections.abc
import dataclasses
import queue
import threading

from oriolelock import clock, logs
from oriolelock.distribution import errors, messages
from oriolelock.wire import channel, hello
from oriolelock.wire import errors as wire_errors

__all__ = ["Connected", "ParentRace"]

# Three round trips between distant regions, to a busy parent. A frozen parent never answers.
CONNECT_LIMIT_S = 0.6
# So that a thread soon notices that another parent was faster.
POLL_INTERVAL_S = 0.1
# A parent that is well confirms within a few round trips.
FAIR_CHANCE_S = 0.5
MAX_PARALLEL_ATTEMPTS = 8

Address = tuple[str, int]
log = logs.get_logger("uplink")


@dataclasses.dataclass(frozen=True)
class Connected:
    """A subscription; ``received``: its messages, the last of which confirms the configuration.

    ``subscribed_s``: monotonic time before it; the configuration was current after that.
    """

    address: Address
    link: channel.Channel
    received: list[object]
    subscribed_s: float


@dataclasses.dataclass(frozen=True)
class _Failed:
    address: Address
    received: list[object]


class ParentRace:
    """One search for a parent.

    ``index``: to subscribe from; ``confirm_limit_s``: from a connection to the first confirmation;
    ``interval_s``: until the next address is tried as well; ``first``: tried at once.
    """

    def __init__(
        self,
        greeting: hello.Hello,
        index: int,
        confirm_limit_s: float,
        interval_s: float,
        first: int = 1,
    ):
        self._hello = greeting
        self._index = index
        self._confirm_limit_s = confirm_limit_s
        self._interval_s = interval_s
        self._first = first
        self._lock = threading.Lock()
        self._is_over = False
        self._outcomes: queue.Queue[Connected | _Failed] = queue.Queue()
        self._started_s: dict[Address, float] = {}
        # Addresses that failed, or did not confirm although they were asked long before the one
        # that did.
        self.unfit: set[Address] = set()
        # Messages of the parents that failed.
        self.unconfirmed: list[object] = []

    def run(
        self, addresses: collections.abc.Iterable[Address], stopping: threading.Event
    ) -> Connected:
        """Return the first connection that is confirmed; raises Disconnected if there is none."""
        untried, running, started = collections.deque(addresses), 0, 0
        next_start_s = clock.monotonic_s()
        try:
            while (untried or running) and not stopping.is_set():
                now = clock.monotonic_s()
                if untried and running < MAX_PARALLEL_ATTEMPTS and now >= next_start_s:
                    self._start(untried.popleft())
                    running, started = running + 1, started + 1
                    next_start_s = now + (self._interval_s if started >= self._first else 0.0)
                    continue
                outcome = self._wait()
                if isinstance(outcome, Connected):
                    self._count_slow(outcome.address, clock.monotonic_s())
                    return outcome
                if outcome is not None:
                    running -= 1
                    self.unfit.add(outcome.address)
                    self.unconfirmed += outcome.received
                    next_start_s = now
        finally:
            self._end()
        self.unfit.update(self._started_s)
        raise errors.Disconnected("no parent confirms the configuration")

    def _count_slow(self, winner, now):
        """Count those as unfit that had time to confirm."""
        asked = self._started_s.items()
        self.unfit |= {address for address, at_s in asked if now - at_s > FAIR_CHANCE_S}
        self.unfit.discard(winner)

    def _wait(self):
        try:
            return self._outcomes.get(timeout=POLL_INTERVAL_S / 2)
        except queue.Empty:
            return None

    def _end(self):
        with self._lock:
            self._is_over = True
        while not self._outcomes.empty():
            late = self._outcomes.get()
            if isinstance(late, Connected):
                late.link.close()

    def _start(self, address):
        self._started_s[address] = clock.monotonic_s()
        threading.Thread(
            target=self._attempt, args=(address,), name="uplink-attempt", daemon=True
        ).start()

    def _attempt(self, address):
        received = []
        outcome = _Failed(address, received)
        try:
            # A configuration of hundreds of endpoints would fill the link of a small instance for
            # half a second.
            link = channel.connect(address, self._hello, CONNECT_LIMIT_S, offer_compression=True)
            try:
                subscribed_s = clock.monotonic_s()
                self._subscribe(link, received, subscribed_s)
                outcome = Connected(address, link, received, subscribed_s)
            except (wire_errors.WireError, errors.DistributionError):
                link.close()
                raise
        except (wire_errors.WireError, errors.DistributionError) as exc:
            if not self._is_over:
                log.warning("connection to {}:{} failed: {}", *address, exc)
        with self._lock:
            if not self._is_over:
                self._outcomes.put(outcome)
                return
        if isinstance(outcome, Connected):
            outcome.link.close()

    def _subscribe(self, link, received, now):
        """Add messages to ``received`` up to the first that confirms the configuration."""
        deadline_s = now + self._confirm_limit_s
        if link.knows_ages:
            link.send(messages.Ping(now))
        link.send(messages.Subscribe(self._hello.name, self._index))
        while not self._is_over:
            left_s = deadline_s - clock.monotonic_s()
            if left_s <= 0.0:
                raise errors.Disconnected(f"not confirmed for {self._confirm_limit_s} s")
            msg = link.recv(min(POLL_INTERVAL_S, left_s))
            if isinstance(msg, messages.AgedDelta):
                msg = msg.content
            if msg is not None:
                received.append(msg)
            if isinstance(msg, messages.Snapshot | messages.Delta) and msg.confirmed:
                return
        raise errors.Disconnected("another parent was faster")
