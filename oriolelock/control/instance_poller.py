"""
oriolelock.control.instance_poller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reads the instance list periodically, on the leader of ``config``, and proposes the changes that
    follow from it. On other replicas, while no reading is heard of, it tells which endpoints leave.

    Each page is applied when it arrives. Only what a whole reading does not list is removed.
"""

import collections.abc
import dataclasses
import threading

from oriolelock import clock, events, logs
from oriolelock.control import instance_list, list_news, proposals, reading_turn, replica
from oriolelock.dispatch import peer_reports
from oriolelock.distribution import reports
from oriolelock.model import changes, member
from oriolelock.settings import control as settings

__all__ = ["InstancePoller", "Reader"]

# Reads the list once: yields its pages and raises ListUnreadable if some of it can't be read.
Reader = collections.abc.Callable[[], collections.abc.Iterable[instance_list.Page]]

# Until a replica notices that it leads.
MAX_WAIT_S = 0.1
# A page that was asked for earlier may list instances that have left since.
MAX_PAGE_AGE_S = 3.0
# What was missing is remembered over so many readings that failed.
MAX_MISSED_POLLS = 3
# Readings that changed nothing are logged only if they took longer.
SLOW_READING_S = 1.0

log = logs.get_logger("control.overseer")
list_events = events.Events("instances")


class InstancePoller:
    """``run`` reads the list until ``stopping`` is set.

    ``read``: see ``Reader``; with None the URL in the settings is read. ``use_news`` must have been
    called for other replicas to read.
    """

    def __init__(
        self,
        cfg: settings.ControlSettings,
        rep: replica.Replica,
        status_reports: reports.Reports,
        stopping: threading.Event,
        read: Reader | None = None,
    ):
        self._cfg = cfg
        self._replica = rep
        self._reports = status_reports
        self._stopping = stopping
        self._read = read or self._fetch
        self._diff = self._make_diff()
        # Into this replica's own log: sent to a later leader, a change could undo what that one has
        # read since.
        self._proposals = proposals.Proposals(
            lambda change, timeout_s: self._replica.propose("config", change)
        )
        # To whoever leads.
        self._forwarded = proposals.Proposals(
            lambda change, timeout_s: self._replica.call("config", change, timeout_s)
        )
        self._last_error = ""
        self._turn = reading_turn.ReadingTurn(cfg.instance_poll_s, clock.monotonic_s())
        self._news: list_news.ListNews | None = None
        # See ``pauses.PauseDetector.lag_s``.
        self.lag_s: collections.abc.Callable[[], float] = lambda: 0.0
        # When the latest reading began.
        self._started_s: float | None = None

    def use_news(self, news: list_news.ListNews) -> None:
        """Tell entries and other replicas what is read."""
        self._news = news

    def record_heard(self) -> None:
        """Record that another replica has read the whole list.

        After a pause that isn't certain: the message may have waited in the socket.
        """
        if not self.lag_s():
            self._turn.record_heard(clock.monotonic_s())

    def _make_diff(self):
        max_gap_s = max(instance_list.MAX_GAP_S, MAX_MISSED_POLLS * self._cfg.instance_poll_s)
        return instance_list.InstanceDiff(bool(self._cfg.instance_list), max_gap_s)

    def run(self) -> None:
        """Read the list when it is this replica's turn."""
        wait_s = min(MAX_WAIT_S, self._cfg.instance_poll_s)
        while not self._stopping.wait(wait_s):
            status, now = self._replica.status(), clock.monotonic_s()
            # A new leader whose state is behind would propose what has been done or undone since.
            is_leader = status.is_leader and status.is_caught_up
            if self._turn.is_due(is_leader, self._standby_rank(status), now):
                self._poll(status, is_leader, now)

    def _standby_rank(self, status):
        if status.is_leader or self._news is None:
            return None
        return reading_turn.rank(self._cfg.name, status.leader, self._replica.member_names())

    def _poll(self, status, is_leader, now):
        previous_s, self._started_s = self._started_s, now
        try:
            count, changed = (
                self._apply_reading(status.term) if is_leader else self._read_for_leader()
            )
        except instance_list.ListUnreadable as exc:
            self._turn.record_end(is_complete=False)
            self._log_error(str(exc))
            return
        except Exception:
            self._turn.record_end(is_complete=False)
            log.exception("Reading the instance list failed.")
            return
        self._turn.record_end(is_complete=True)
        self._last_error = ""
        took_s = clock.monotonic_s() - now
        if changed or took_s >= SLOW_READING_S:
            list_events.notable(
                "list-read",
                entries=count,
                changes=changed,
                took_s=took_s,
                since_previous_s=None if previous_s is None else now - previous_s,
                term=status.term,
                is_leader=is_leader,
            )

    def _apply_reading(self, term):
        """Return the numbers of instances listed and of changes."""
        listed, changed = {}, 0
        for page in self._read():
            now = clock.monotonic_s()
            if not self._is_current(term, page.asked_s, now):
                log.warning("A reading of the instance list is outdated and discarded.")
                self._diff = self._make_diff()
                return len(listed), changed
            instance_list.merge(listed, page)
            cfg, leaving = self._replica.configuration(), self._reports.leaving()
            updates = self._diff.find_updates(cfg, page.instances, leaving)
            self._tell_entries(cfg, updates)
            self._proposals.propose(updates, now)
            changed += len(updates)
        self._tell_replicas()
        now = clock.monotonic_s()
        removals = self._diff.find_removals(
            self._replica.configuration(), listed, self._reports.seen(now), now, self._started_s
        )
        self._proposals.propose(removals, now)
        return len(listed), changed + len(removals)

    def _read_for_leader(self):
        """Return the numbers of instances listed and of endpoints that are found to leave.

        These are proposed to the leader too, which may be unable to read. All else can wait for it.
        What is missing is counted, in case this replica leads next.
        """
        listed, leaving_count = {}, 0
        for page in self._read():
            now = clock.monotonic_s()
            if now - page.asked_s > MAX_PAGE_AGE_S:
                log.warning("A reading of the instance list is outdated and discarded.")
                return len(listed), leaving_count
            instance_list.merge(listed, page)
            cfg = self._replica.configuration()
            leaving = [
                change
                for change in self._diff.find_updates(cfg, page.instances)
                if _is_leaving(change) and change.endpoint.name in cfg.endpoints
            ]
            self._tell_entries(cfg, leaving)
            self._forwarded.propose(leaving, now)
            leaving_count += len(leaving)
        self._tell_replicas()
        now = clock.monotonic_s()
        self._diff.find_removals(
            self._replica.configuration(), listed, self._reports.seen(now), now, self._started_s
        )
        return len(listed), leaving_count

    def _tell_entries(self, cfg, updates):
        leaving = [change.endpoint for change in updates if _is_leaving(change)]
        if not leaving or self._news is None:
            return
        links = [m.link_address for m in cfg.members.values() if m.role == "entry"]
        digests = [peer_reports.endpoint_digest(instance) for instance in leaving]
        self._news.tell_leaving(digests, _addresses(links))
        list_events.notable(
            "leaving-told", endpoints=[instance.name for instance in leaving], entries=len(links)
        )

    def _tell_replicas(self):
        if self._news is not None:
            links = {peer.name: "{}:{}".format(*peer.link_address) for peer in self._cfg.peers}
            names = [name for name in self._replica.member_names() if name != self._cfg.name]
            self._news.tell_reading(_addresses([links.get(name, name) for name in names]))

    def _is_current(self, term, asked_s, now):
        """Return whether a page asked for by the leader of ``term`` may be applied.

        Calls go to whoever leads, so a replica that was paused could undo what its successor did.
        """
        status = self._replica.status()
        return status.is_leader and status.term == term and now - asked_s <= MAX_PAGE_AGE_S

    def _fetch(self):
        asked_s = clock.monotonic_s()
        listed = instance_list.parse(instance_list.fetch(self._cfg.instance_list))
        instances = {name: self._add_link_address(instance) for name, instance in listed.items()}
        yield instance_list.Page(instances, asked_s)

    def _add_link_address(self, instance):
        """Fill in the link address of a control replica from the settings if the list has none."""
        peer = next((peer for peer in self._cfg.peers if peer.name == instance.name), None)
        if peer is None or not isinstance(instance, member.Member) or instance.link_address:
            return instance
        host, port = peer.link_address
        return dataclasses.replace(instance, link_address=f"{host}:{port}")

    def _log_error(self, text):
        if text != self._last_error:
            log.warning("Cannot read the instance list, the previous one stays in use: {}.", text)
        self._last_error = text


def _is_leaving(change):
    return isinstance(change, changes.SetEndpoint) and change.endpoint.state == "leaving"


def _addresses(links):
    """Return the socket addresses in ``links`` (``host:port``), without malformed ones."""
    pairs = (link.rpartition(":") for link in links)
    return [(host, int(port)) for host, _, port in pairs if host and port.isdigit()]
