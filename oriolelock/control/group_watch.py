"""
oriolelock.control.group_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Watches the groups of a replica for the loss of their majority or leader, and logs it.
"""

import collections.abc
import threading

from oriolelock import clock, logs
from oriolelock.consensus import messages
from oriolelock.control import majority, majority_log
from oriolelock.wire import channel

__all__ = ["GroupWatch"]

INTERVAL_S = 0.5
# More names than replicas, such as those of replicas that were replaced, are forgotten.
MAX_INCARNATIONS = 64

log = logs.get_logger("control.majority")


class GroupWatch:
    """Decides nothing. Public methods are thread-safe.

    ``hosts`` and ``own``, name and incarnation of this replica: by group name. ``last_heard()``
    returns monotonic times by replica name.
    """

    def __init__(
        self,
        hosts: collections.abc.Mapping,
        own: collections.abc.Mapping[str, messages.Replica],
        last_heard: collections.abc.Callable[[], dict[str, float]],
    ):
        self._hosts, self._own = hosts, own
        self._last_heard = last_heard
        now = clock.monotonic_s()
        self._logs = {
            group: majority_log.MajorityLog(group, now, channel.PEER_TIMEOUT_S) for group in hosts
        }
        self._leaderless_since_s: dict[str, float | None] = dict.fromkeys(hosts, now)
        self._incarnations: dict[str, dict[str, tuple[str, float]]] = {g: {} for g in hosts}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="group-watch", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def record_incarnation(self, group: str, name: str, incarnation: str) -> None:
        """Record under which incarnation a replica sent a message of a group."""
        self._incarnations[group][name] = (incarnation, clock.monotonic_s())

    def assess(self, group: str) -> majority.Assessment:
        """Return what this replica knows of a group at this moment."""
        now, group_host = clock.monotonic_s(), self._hosts[group]
        leader = group_host.status().leader
        since_s = self._leaderless_since_s[group]
        leaderless_s = 0.0 if leader or since_s is None else now - since_s
        contacts = majority.Contacts(
            self._last_heard(), dict(self._incarnations[group]), channel.PEER_TIMEOUT_S, now
        )
        return majority.assess(
            group_host.membership(), self._own[group], contacts, leader, leaderless_s
        )

    def _run(self):
        while not self._stopping.wait(INTERVAL_S):
            try:
                self._run_round(clock.monotonic_s())
            except Exception:
                log.exception("Watching the groups failed.")

    def _run_round(self, now):
        for group, group_host in self._hosts.items():
            if group_host.status().leader:
                self._leaderless_since_s[group] = None
            elif self._leaderless_since_s[group] is None:
                self._leaderless_since_s[group] = now
            for event in self._logs[group].update(self.assess(group), now):
                write = log.warning if event.is_warning else log.notice
                write(event.text, extra={"event": event.name, **event.fields})
            self._forget_old_names(group)

    def _forget_old_names(self, group):
        known = dict(self._incarnations[group])
        if len(known) > MAX_INCARNATIONS:
            members = {member.name for member in self._hosts[group].membership().replicas}
            self._incarnations[group] = {n: known[n] for n in known if n in members}
