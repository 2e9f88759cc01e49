"""
oriolelock.control.instance_poller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reads the instance list periodically, on the leader of ``config``, and proposes the changes that
    follow from it.

    Each page is applied when it arrives. Only what a whole reading does not list is removed.
"""

import collections.abc
import dataclasses
import threading

from oriolelock import clock, events, logs
from oriolelock.control import instance_list, proposals, replica
from oriolelock.distribution import reports
from oriolelock.model import member
from oriolelock.settings import control as settings

__all__ = ["InstancePoller", "Reader"]

# Reads the list once: yields its pages and raises ListUnreadable if some of it can't be read.
Reader = collections.abc.Callable[[], collections.abc.Iterable[instance_list.Page]]

# Until a replica notices that it leads.
MAX_WAIT_S = 0.1
# A page that was asked for earlier may list instances that have left since.
MAX_PAGE_AGE_S = 3.0
# Readings that changed nothing are logged only if they took longer.
SLOW_READING_S = 1.0

log = logs.get_logger("control.overseer")
list_events = events.Events("instances")


class InstancePoller:
    """``run`` reads the list until ``stopping`` is set.

    ``read``: see ``Reader``; with None the URL in the settings is read.
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
        self._proposals = proposals.Proposals(
            lambda change, timeout_s: self._replica.call("config", change, timeout_s)
        )
        self._last_error = ""
        # When the latest reading began.
        self._started_s: float | None = None

    def _make_diff(self):
        return instance_list.InstanceDiff(names_members=bool(self._cfg.instance_list))

    def run(self) -> None:
        """Read the list periodically while this replica leads."""
        wait_s = min(MAX_WAIT_S, self._cfg.instance_poll_s)
        while not self._stopping.wait(wait_s):
            status, now = self._replica.status(), clock.monotonic_s()
            # A new leader whose state is behind would propose what has been done or undone since.
            if not (status.is_leader and status.is_caught_up):
                self._diff, self._started_s = self._make_diff(), None
            elif self._started_s is None or now - self._started_s >= self._cfg.instance_poll_s:
                self._poll(status.term, now)

    def _poll(self, term, now):
        previous_s, self._started_s = self._started_s, now
        try:
            count, changed = self._apply_reading(term)
        except instance_list.ListUnreadable as exc:
            self._log_error(str(exc))
            return
        except Exception:
            log.exception("Reading the instance list failed.")
            return
        self._last_error = ""
        took_s = clock.monotonic_s() - now
        if changed or took_s >= SLOW_READING_S:
            list_events.notable(
                "list-read",
                entries=count,
                changes=changed,
                took_s=took_s,
                since_previous_s=None if previous_s is None else now - previous_s,
                term=term,
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
            self._proposals.propose(updates, now)
            changed += len(updates)
        now = clock.monotonic_s()
        removals = self._diff.find_removals(
            self._replica.configuration(), listed, self._reports.seen(now)
        )
        self._proposals.propose(removals, now)
        return len(listed), changed + len(removals)

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
