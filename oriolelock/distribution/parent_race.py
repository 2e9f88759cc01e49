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
from oriolelock.distribution import errors, messages, spare_connection
from oriolelock.wire import channel, hello
from oriolelock.wire import errors as wire_errors

__all__ = ["Connected", "ParentRace"]

# Over a full link of a small instance a round trip takes most of a second. An attempt that is given
# up sooner is repeated in vain; others are made beside it.
CONNECT_LIMIT_S = 1.2
# So that a thread soon notices that another parent was faster.
POLL_INTERVAL_S = 0.1
# A parent that is well confirms within a few round trips.
FAIR_CHANCE_S = 0.5
MAX_PARALLEL_ATTEMPTS = 12
# Until a parent that failed at once is asked again, while others have not answered yet.
RETRY_DELAY_S = 0.4

log = logs.get_logger("uplink")


@dataclasses.dataclass(frozen=True)
class Connected:
    """A subscription; ``received``: its messages, the last of which confirms the configuration.

    ``subscribed_s``: monotonic time before it; the configuration was current after that;
    ``was_spare``: whether the connection was open before the race; ``asked``: the addresses that
    were asked in it, in this order.
    """

    address: channel.Address
    link: channel.Channel
    received: list[object]
    subscribed_s: float
    was_spare: bool = False
    asked: tuple[channel.Address, ...] = ()


@dataclasses.dataclass(frozen=True)
class _Failed:
    address: channel.Address
    received: list[object]


class ParentRace:
    """One search for a parent.

    ``index``: to subscribe from; ``confirm_limit_s``: from a connection to the first confirmation;
    ``interval_s``: until the next address is tried as well; ``first``: tried at once; ``patience``:
    factor of all time limits.
    """

    def __init__(
        self,
        greeting: hello.Hello,
        index: int,
        confirm_limit_s: float,
        interval_s: float,
        first: int = 1,
        patience: float = 1.0,
    ):
        self._hello = greeting
        self._index = index
        self._connect_limit_s = CONNECT_LIMIT_S * patience
        self._confirm_limit_s = confirm_limit_s * patience
        self._interval_s = interval_s * patience
        self._first = first
        self._lock = threading.Lock()
        self._is_over = False
        self._outcomes: queue.Queue[Connected | _Failed] = queue.Queue()
        self._started_s: dict[channel.Address, float] = {}
        # Addresses that failed, or did not confirm although they were asked long before the one
        # that did.
        self.unfit: set[channel.Address] = set()
        # Messages of the parents that failed.
        self.unconfirmed: list[object] = []

    def run(
        self,
        addresses: collections.abc.Iterable[channel.Address],
        stopping: threading.Event,
        spare: spare_connection.Spare | None = None,
    ) -> Connected:
        """Return the first connection that is confirmed; raises Disconnected if there is none.

        ``spare``: an open connection, over which its peer is asked first, and alone.
        """
        untried = collections.deque(addresses)
        if spare is not None and spare.address in untried:
            # Last: its connection may be dead while new ones work.
            untried.remove(spare.address)
            untried.append(spare.address)
        running = started = 0
        # Addresses that failed at once, with the times from which on they may be asked again.
        failed: collections.deque[tuple[float, channel.Address]] = collections.deque()
        next_start_s = clock.monotonic_s()
        try:
            if spare is not None:
                self._start(spare.address, spare.link)
                running = started = 1
                # It has mostly confirmed by then, and no handshake is needed.
                next_start_s += self._interval_s
            while (untried or running) and not stopping.is_set():
                now = clock.monotonic_s()
                if running < MAX_PARALLEL_ATTEMPTS and now >= next_start_s:
                    if not untried and failed and now >= failed[0][0]:
                        untried.append(failed.popleft()[1])
                    if untried:
                        self._start(untried.popleft())
                        running, started = running + 1, started + 1
                        is_paused = started >= self._first
                        next_start_s = now + (self._interval_s if is_paused else 0.0)
                        continue
                outcome = self._wait()
                if isinstance(outcome, Connected):
                    self._count_slow(outcome.address, clock.monotonic_s())
                    return dataclasses.replace(outcome, asked=tuple(self._started_s))
                if outcome is not None:
                    running -= 1
                    self.unfit.add(outcome.address)
                    self.unconfirmed += outcome.received
                    if now - self._started_s[outcome.address] < CONNECT_LIMIT_S / 2:
                        failed.append((now + RETRY_DELAY_S, outcome.address))
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

    def _start(self, address, link=None):
        self._started_s[address] = clock.monotonic_s()
        threading.Thread(
            target=self._attempt, args=(address, link), name="uplink-attempt", daemon=True
        ).start()

    def _attempt(self, address, spare_link):
        received = []
        outcome = _Failed(address, received)
        try:
            subscribe = self._connect if spare_link is None else self._subscribe_over
            link, subscribed_s = subscribe(spare_link or address)
            try:
                self._await_confirmation(link, received)
                is_spare = spare_link is not None
                outcome = Connected(address, link, received, subscribed_s, is_spare)
            except (wire_errors.WireError, errors.DistributionError):
                link.close()
                raise
        except (wire_errors.WireError, errors.DistributionError) as exc:
            if not self._is_over:
                log.warning("connection to {}:{} failed: {}", *address, exc)
        finally:
            # The race waits for each attempt.
            self._report(outcome)

    def _report(self, outcome):
        with self._lock:
            if not self._is_over:
                self._outcomes.put(outcome)
                return
        if isinstance(outcome, Connected):
            outcome.link.close()

    def _connect(self, address):
        """Return a new connection and the time before its subscription."""
        subscribed_s = []

        def subscription(link):
            subscribed_s.append(clock.monotonic_s())
            return self._subscription(link, subscribed_s[0])

        # A configuration of hundreds of endpoints would fill the link of a small instance for half
        # a second.
        link = channel.connect(
            address,
            self._hello,
            self._connect_limit_s,
            offer_compression=True,
            make_first=subscription,
        )
        return link, subscribed_s[0]

    def _subscribe_over(self, link):
        """Return the spare connection and the time before its subscription."""
        subscribed_s = clock.monotonic_s()
        for msg in self._subscription(link, subscribed_s):
            link.send(msg)
        return link, subscribed_s

    def _subscription(self, link, now):
        """Return the messages that subscribe; sent with the greeting they save a round trip."""
        pings = (messages.Ping(now),) if link.knows_ages else ()
        return *pings, messages.Subscribe(self._hello.name, self._index)

    def _await_confirmation(self, link, received):
        """Add messages to ``received`` up to the first that confirms the configuration."""
        deadline_s = clock.monotonic_s() + self._confirm_limit_s
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
