"""
oriolelock.admission.scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which request of an entry runs next.

    Urgent work goes first. Each priority keeps its guaranteed share, in each service and in the
    worker slots of the entry as a whole; each service keeps a part of the worker slots.
"""

import collections.abc

from oriolelock.admission import decisions, service_queues, shares, slot_use, work_item
from oriolelock.model import preset, priority

__all__ = ["Scheduler"]

# Part of the worker slots that is divided among the services; no other service can use it, so
# that a request of an idle service starts at once during a flood of another.
SERVICE_RESERVE = 0.25
LEVELS = tuple(priority.Priority)


class Scheduler:
    """Queues of all services and the worker slots; not thread-safe.

    ``room(service, now)`` returns how many requests of a service may be in flight at endpoints
    now; without it only the limit of the preset holds.
    """

    def __init__(
        self,
        worker_slots: int,
        room: collections.abc.Callable[[str, float], int] | None = None,
    ):
        self.worker_slots = worker_slots
        self._use = slot_use.SlotUse()
        self._room = room
        self._services: dict[str, service_queues.ServiceQueues] = {}
        self._waiting: dict[str, service_queues.ServiceQueues] = {}
        self._deficits = shares.Deficits()
        self._evicted: list[decisions.Evicted] = []
        self._reserve = 0

    def configure(self, cfg: preset.Preset) -> None:
        """Use the limits and shares of a preset. Items of services that are gone are evicted."""
        parts = shares.by_priority(cfg.shares)
        self._deficits.shares = parts
        names = {policy.name for policy in cfg.services}
        for name in [name for name in self._services if name not in names]:
            self._remove_service(name)
        for policy in cfg.services:
            queues = self._services.get(policy.name)
            if queues is None:
                self._services[policy.name] = service_queues.ServiceQueues(
                    policy.queue_limit, policy.in_flight_limit, parts
                )
            else:
                queues.configure(policy.queue_limit, policy.in_flight_limit, parts)
        self._reserve = int(self.worker_slots * SERVICE_RESERVE / max(1, len(names)))

    def offer(
        self, item: work_item.WorkItem, now: float
    ) -> decisions.Admitted | decisions.Queued | decisions.Refused:
        """Admit an item at once, queue it, or refuse it. Then collect ``pop_evicted()``."""
        queues = self._services.get(item.service)
        if queues is None:
            return decisions.Refused("unknown-service")
        if item.deadline_s <= now:
            return decisions.Refused("deadline-passed")
        level = item.priority
        if not len(queues) and self._may_start(item.service, queues, level, now):
            self._start(queues, level, [index == level for index in LEVELS])
            return decisions.Admitted()
        wait_s = queues.expected_wait_s(level, now)
        if wait_s > item.deadline_s - now:
            return decisions.Refused("deadline-unmeetable", wait_s * 1000)
        if len(queues) >= queues.limit and not self._make_place(queues, level, now):
            return decisions.Refused("queue-full", wait_s * 1000)
        queues.push(item, now)
        self._waiting[item.service] = queues
        return decisions.Queued(wait_s)

    def take(self, now: float) -> work_item.WorkItem | None:
        """Return the next item to run; it holds a worker slot until ``finish``.

        Call again until None after each ``offer``, ``finish``, and when room grows; then
        collect ``pop_evicted()``.
        """
        if not self._waiting or self._use.total >= self.worker_slots:
            return None
        ready = self._ready(now)
        waiting = [any(able[level] for _, _, able in ready) for level in LEVELS]
        level = self._deficits.choose(waiting)
        if level is None:
            return None
        name, queues, able = min(
            (entry for entry in ready if entry[2][level]), key=lambda entry: entry[1].slots.total
        )
        # The service's own shares decide between its priorities.
        level = queues.deficits.choose(able)
        item = queues.pop(level, now)
        self._deficits.serve(level, waiting)
        queues.deficits.serve(level, able)
        queues.slots.add(level)
        self._use.add(level)
        if not len(queues):
            del self._waiting[name]
        return item

    def put_back(self, item: work_item.WorkItem, now: float) -> None:
        """Return an item that was taken but could not be sent to the head of its queue."""
        self.finish(item, now)
        queues = self._services.get(item.service)
        if queues is None:
            self._evicted.append(decisions.Evicted(item, "unknown-service"))
            return
        queues.push_front(item, now)
        queues.deficits.refund(item.priority)
        self._deficits.refund(item.priority)
        self._waiting[item.service] = queues

    def finish(self, item: work_item.WorkItem, now: float) -> None:
        """Give back the worker slot of an item that was admitted or taken."""
        self._use.remove(item.priority)
        queues = self._services.get(item.service)
        if queues is not None:
            queues.slots.remove(item.priority)

    def cancel(self, item: work_item.WorkItem, now: float) -> bool:
        """Remove a waiting item; False when it no longer waits."""
        queues = self._services.get(item.service)
        removed = queues is not None and queues.remove(item)
        if removed and not len(queues):
            self._waiting.pop(item.service, None)
        return removed

    def pop_evicted(self) -> list[decisions.Evicted]:
        """Return the items that left their queues without running since the last call."""
        evicted, self._evicted = self._evicted, []
        return evicted

    def dump(self) -> dict:
        """Return queue lengths and slots in use, for a state dump."""
        return {
            "worker_slots": self.worker_slots,
            "in_flight": self._use.total,
            "services": {
                name: {
                    "in_flight": queues.slots.total,
                    "queued": [len(queue.items) for queue in queues.queues],
                }
                for name, queues in self._services.items()
            },
        }

    def _remove_service(self, name):
        queues = self._services.pop(name)
        self._waiting.pop(name, None)
        for queue in queues.queues:
            for item in queue.items.values():
                self._evicted.append(decisions.Evicted(item, "unknown-service"))

    def _make_place(self, queues, level, now):
        expired = queues.sweep(now)
        self._evicted.extend(decisions.Evicted(item, "deadline-passed") for item in expired)
        if len(queues) < queues.limit:
            return True
        victim = queues.displace(level)
        if victim is None:
            return False
        self._evicted.append(decisions.Evicted(victim, "queue-full"))
        return True

    def _ready(self, now):
        """Return (name, queues, whether each priority can start) of services that can."""
        ready = []
        for name, queues in list(self._waiting.items()):
            self._drop_expired(name, queues, now)
            able = queues.waiting()
            if True not in able:
                continue
            able = [
                waits and self._may_start(name, queues, level, now)
                for level, waits in enumerate(able)
            ]
            if True in able:
                ready.append((name, queues, able))
        return ready

    def _drop_expired(self, name, queues, now):
        for level in LEVELS:
            while item := queues.pop_expired(level, now):
                self._evicted.append(decisions.Evicted(item, "deadline-passed"))
        if not len(queues):
            self._waiting.pop(name, None)

    def _may_start(self, name, queues, level, now) -> bool:
        if not self._use.may_add(level, self.worker_slots):
            return False
        limit = queues.in_flight_limit
        if self._room:
            limit = min(limit, self._room(name, now))
        if not queues.slots.may_add(level, limit):
            return False
        if queues.slots.total < self._reserve:
            return True
        common = self.worker_slots - self._reserve * len(self._services)
        used = sum(max(0, q.slots.total - self._reserve) for q in self._services.values())
        return used < common

    def _start(self, queues, level, waiting):
        self._deficits.serve(level, waiting)
        queues.deficits.serve(level, waiting)
        queues.slots.add(level)
        self._use.add(level)
