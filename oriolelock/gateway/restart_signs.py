"""
oriolelock.gateway.restart_signs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Signs that an endpoint has ended, from this entry's connections to it.

    An endpoint that ends closes all of its connections at once and refuses new ones, so that a
    single connection that it closes is no sign while another one stays open. If the connections to
    most endpoints end together, the fault is on this entry's side.
"""

import collections
import collections.abc
import dataclasses

from oriolelock import clock, events
from oriolelock.dispatch import chooser, contact, endpoint_view
from oriolelock.http1 import loop as loops
from oriolelock.http1 import outbound

__all__ = ["RestartSigns"]

# Until the ends of all connections to an endpoint have been noticed.
JUDGE_DELAY_S = 0.03
# The fault is this entry's if the connections to this many endpoints end together, and to this many
# times as many as those whose connections stay open.
MIN_OWN_FAULTS = 4
OWN_FAULT_RATIO = 3
# A response this recent shows that a connection was reset for another reason.
RESET_FRESH_S = 0.3
# In which attempts to connect are compared.
ATTEMPTS_WINDOW_S = 1.0
# A connection that was idle for this long may have been closed for that.
MIN_IDLE_LIMIT_S = 1.0
IDLE_LIMIT_RATIO = 0.8

log = events.Events("gateway")


@dataclasses.dataclass(frozen=True)
class _Suspect:
    """``idle_s``: for how long the connection that ended was idle, None if it was in use;
    ``was_last``: whether no other one was open.
    """

    view: endpoint_view.EndpointView
    contact: contact.Contact
    idle_s: float | None
    was_reset: bool
    was_last: bool


def _has_ended(suspect, now):
    if suspect.was_last or not suspect.contact.open_count:
        return True
    # An endpoint that ended silently resets each connection when it is used next.
    return suspect.was_reset and not suspect.contact.is_fresh(now, RESET_FRESH_S)


class RestartSigns:
    """Not thread-safe: used in the loop's thread.

    ``on_sign(view, reason, is_clear)`` is called for each sign that an endpoint has ended;
    ``is_clear``: that the fault is not this entry's.
    """

    def __init__(
        self,
        loop: loops.Loop,
        endpoint_chooser: chooser.Chooser,
        on_sign: collections.abc.Callable[[endpoint_view.EndpointView, str, bool], None],
    ):
        self._loop = loop
        self._chooser = endpoint_chooser
        self._on_sign = on_sign
        # Endpoints of which connections have ended lately, by name.
        self._suspects: dict[str, _Suspect] = {}
        # Attempts to connect: time, endpoint's name, and whether it was refused.
        self._attempts: collections.deque[tuple[float, str, bool]] = collections.deque(maxlen=1000)
        # By service: after how much idle time its endpoints close connections, if they do.
        self._idle_limits_s: dict[str, float] = {}
        # By endpoint's name: idle time of the connection whose end was the sign.
        self._idle_signs_s: dict[str, float] = {}

    def watch(
        self, view: endpoint_view.EndpointView, conn: outbound.Outbound, is_warm: bool, now: float
    ) -> None:
        """Watch a new connection; ``is_warm``: whether the endpoint is known to be warm."""
        self._attempts.append((now, view.endpoint.name, False))
        contact_of_conn = view.contact
        contact_of_conn.opened(is_warm, now)
        conn.on_closed = lambda ended: self._record_end(view, contact_of_conn, ended)

    def _record_end(self, view, ended_contact, conn):
        ended_contact.closed()
        if not conn.was_ended_by_peer:
            return
        now = clock.monotonic_s()
        idle_s = None if conn.was_in_use else now - conn.idle_since_s
        if idle_s is not None and (
            now >= conn.usable_until_s or idle_s >= self._idle_limit_s(view.endpoint.service)
        ):
            return
        was_last = not ended_contact.open_count
        digest = view.restart_digest
        if conn.was_reset and self._chooser.restarts.is_of_earlier_start(
            digest, conn.connected_s, now
        ):
            return
        self._suspect(_Suspect(view, ended_contact, idle_s, conn.was_reset, was_last))

    def _idle_limit_s(self, service):
        return IDLE_LIMIT_RATIO * self._idle_limits_s.get(service, float("inf"))

    def _suspect(self, suspect):
        if not self._suspects:
            self._loop.call_later(JUDGE_DELAY_S, self._judge)
        earlier = self._suspects.get(suspect.view.endpoint.name)
        if earlier is not None and earlier.was_last:
            suspect = dataclasses.replace(suspect, was_last=True)
        self._suspects[suspect.view.endpoint.name] = suspect

    def _judge(self):
        now, suspects, self._suspects = clock.monotonic_s(), self._suspects, {}
        ended = {name: item for name, item in suspects.items() if _has_ended(item, now)}
        open_count = sum(view.contact.open_count > 0 for view in self._chooser.views.values())
        is_own = len(ended) >= MIN_OWN_FAULTS and len(ended) >= OWN_FAULT_RATIO * open_count
        if is_own:
            log.notable("connections-lost", endpoints=len(ended), others=open_count)
            for name, view in self._chooser.views.items():
                # Those without a connection may have ended as well.
                if name not in ended and not view.contact.is_fresh(now):
                    self._chooser.restarts.mark_unsure(view.restart_digest, now)
        # Others are told of those that are not marked as unsure yet.
        for name, suspect in ended.items():
            self._idle_signs_s.pop(name, None)
            if suspect.idle_s is not None:
                self._idle_signs_s[name] = suspect.idle_s
            self._on_sign(suspect.view, "connections-ended", not is_own)

    def record_refused(self, view: endpoint_view.EndpointView, now: float) -> None:
        """Record that an endpoint refused a connection."""
        self._attempts.append((now, view.endpoint.name, True))
        if view.contact.open_count:
            # It may have too many connections.
            self._suspect(_Suspect(view, view.contact, None, False, False))
            return
        recent = [attempt for attempt in self._attempts if now - attempt[0] <= ATTEMPTS_WINDOW_S]
        refused = {name for _, name, was_refused in recent if was_refused}
        connected = sum(not was_refused for _, _, was_refused in recent)
        self._on_sign(view, "refused", len(refused) <= 2 * (1 + connected))

    def record_settled(self, view: endpoint_view.EndpointView, was_restarted: bool) -> None:
        """Learn from the end of a doubt whether the endpoint just closed an idle connection."""
        idle_s = self._idle_signs_s.pop(view.endpoint.name, 0.0)
        if not was_restarted and idle_s >= MIN_IDLE_LIMIT_S:
            service = view.endpoint.service
            known_s = self._idle_limits_s.get(service, float("inf"))
            self._idle_limits_s[service] = min(known_s, idle_s)
