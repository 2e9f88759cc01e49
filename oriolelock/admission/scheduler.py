"""
oriolelock.admission.scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Decides which request of an entry runs next.

    Urgent work goes first. Each priority has a guaranteed share within each service and of the
    worker slots of the entry; each service has a reserved share of the worker slots.
"""

import collections.abc

from oriolelock.admission import decisions, service_queues, shares, slot_use, work_item
from oriolelock.model import preset, priority

__all__ = ["Scheduler"]

# Share of the worker slots that is divided into reserves, one per service. No other service can
# use a reserve, so a request of an idle service starts at once while another service is flooded.
SERVICE_RESERVE = 0.25
PRIORITIES = tuple(priority.Priority)


class Scheduler:
    """Queues of all services and the worker slots; not thread-safe.

    ``endpoint_capacity(service, now)`` returns how many requests of a service may be in flight
    at endpoints; without it only the limit of the preset applies.
    """

    def __init__(
        self,
        worker_slots: int,
        endpoint_capacity: collections.abc.Callable[[str, float], int] | None = None,
    ):
        self.worker_slots = worker_slots
        self._slots_in_use = slot_use.SlotUse()
        self._endpoint_capacity = endpoint_capacity
        self._services: dict[str, service_queues.ServiceQueues] = {}
        self._backlogged: dict[str, service_queues.ServiceQueues] = {}
        self._deficits = shares.Deficits()
        self._evicted: list[decisions.Evicted] = []
        self._service_reserve = 0

    def configure(self, cfg: preset.Preset) -> None:
        """Apply the limits and shares of a preset; evicts the items of removed services."""
        priority_shares = shares.by_priority(cfg.shares)
        self._deficits.shares = priority_shares
        names = {policy.name for policy in cfg.services}
        for name in [name for name in self._services if name not in names]:
            self._remove_service(name)
        for policy in cfg.services:
            queues = self._services.get(policy.name)
            if queues is None:
                self._services[policy.name] = service_queues.ServiceQueues(
                    policy.queue_limit, policy.in_flight_limit, priority_shares
                )
            else:
                queues.configure(policy.queue_limit, policy.in_flight_limit, priority_shares)
        self._service_reserve = int(self.worker_slots * SERVICE_RESERVE / max(1, len(names)))

    def offer(
        self, item: work_item.WorkItem, now: float
    ) -> decisions.Admitted | decisions.Queued | decisions.Refused:
        """Admit, queue or refuse an item; call ``pop_evicted()`` afterwards."""
        queues = self._services.get(item.service)
        if queues is None:
            return decisions.Refused("unknown-service")
        if item.deadline_s <= now:
            return decisions.Refused("deadline-passed")
        level = item.priority
        if not len(queues) and self._can_start(item.service, queues, level, now):
            self._start(queues, level, [index == level for index in PRIORITIES])
            return decisions.Admitted()
        wait_s = queues.expected_wait_s(level, now)
        if wait_s > item.deadline_s - now:
            return decisions.Refused("deadline-unmeetable", wait_s * 1000)
        if len(queues) >= queues.limit and not self._free_queue_place(queues, level, now):
            return decisions.Refused("queue-full", wait_s * 1000)
        queues.push(item, now)
        self._backlogged[item.service] = queues
        return decisions.Queued(wait_s)

    def take(self, now: float) -> work_item.WorkItem | None:
        """Return the next item to run, which holds a worker slot until ``finish``, or None.

        Call it until it returns None after each ``offer`` and ``finish`` and whenever endpoint
        capacity grows; then call ``pop_evicted()``.
        """
        if not self._backlogged or self._slots_in_use.total >= self.worker_slots:
            return None
        startable_services = self._startable_services(now)
        waiting = [
            any(startable[level] for _, _, startable in startable_services) for level in PRIORITIES
        ]
        level = self._deficits.choose(waiting)
        if level is None:
            return None
        name, queues, startable = min(
            (candidate for candidate in startable_services if candidate[2][level]),
            key=lambda candidate: candidate[1].slots_in_use.total,
        )
        # Within the service, its own deficit counters select the priority.
        level = queues.deficits.choose(startable)
        item = queues.pop(level, now)
        self._deficits.charge(level, waiting)
        queues.deficits.charge(level, startable)
        queues.slots_in_use.add(level)
        self._slots_in_use.add(level)
        if not len(queues):
            del self._backlogged[name]
        return item

    def requeue(self, item: work_item.WorkItem, now: float) -> None:
        """Requeue an item that was taken but not sent, at the head of its queue."""
        self.finish(item, now)
        queues = self._services.get(item.service)
        if queues is None:
            self._evicted.append(decisions.Evicted(item, "unknown-service"))
            return
        queues.push_front(item, now)
        queues.deficits.refund(item.priority)
        self._deficits.refund(item.priority)
        self._backlogged[item.service] = queues

    def finish(self, item: work_item.WorkItem, now: float) -> None:
        """Release the worker slot of an item that was admitted or taken."""
        self._slots_in_use.remove(item.priority)
        queues = self._services.get(item.service)
        if queues is not None:
            queues.slots_in_use.remove(item.priority)

    def cancel(self, item: work_item.WorkItem, now: float) -> bool:
        """Remove a queued item; returns False if it is no longer queued."""
        queues = self._services.get(item.service)
        removed = queues is not None and queues.remove(item)
        if removed and not len(queues):
            self._backlogged.pop(item.service, None)
        return removed

    def pop_evicted(self) -> list[decisions.Evicted]:
        """Return the items evicted since the last call."""
        evicted, self._evicted = self._evicted, []
        return evicted

    def dump(self) -> dict:
        """Return queue lengths and slots in use, for the state dump."""
        return {
            "worker_slots": self.worker_slots,
            "in_flight": self._slots_in_use.total,
            "services": {
                name: {
                    "in_flight": queues.slots_in_use.total,
                    "queued": [len(queue.items) for queue in queues.queues],
                }
                for name, queues in self._services.items()
            },
        }

    def _remove_service(self, name):
        queues = self._services.pop(name)
        self._backlogged.pop(name, None)
        for queue in queues.queues:
            for item in queue.items.values():
                self._evicted.append(decisions.Evicted(item, "unknown-service"))

    def _free_queue_place(self, queues, level, now):
        expired = queues.remove_expired(now)
        self._evicted.extend(decisions.Evicted(item, "deadline-passed") for item in expired)
        if len(queues) < queues.limit:
            return True
        victim = queues.displace(level)
        if victim is None:
            return False
        self._evicted.append(decisions.Evicted(victim, "queue-full"))
        return True

    def _startable_services(self, now):
        """Return (name, queues, startable flag per priority) of services that can start an item."""
        startable_services = []
        for name, queues in list(self._backlogged.items()):
            self._drop_expired(name, queues, now)
            startable = queues.waiting()
            if True not in startable:
                continue
            startable = [
                is_waiting and self._can_start(name, queues, level, now)
                for level, is_waiting in enumerate(startable)
            ]
            if True in startable:
                startable_services.append((name, queues, startable))
        return startable_services

    def _drop_expired(self, name, queues, now):
        for level in PRIORITIES:
            while item := queues.pop_expired(level, now):
                self._evicted.append(decisions.Evicted(item, "deadline-passed"))
        if not len(queues):
            self._backlogged.pop(name, None)

    def _can_start(self, name, queues, level, now) -> bool:
        if not self._slots_in_use.can_add(level, self.worker_slots):
            return False
        limit = queues.in_flight_limit
        if self._endpoint_capacity:
            limit = min(limit, self._endpoint_capacity(name, now))
        if not queues.slots_in_use.can_add(level, limit):
            return False
        if queues.slots_in_use.total < self._service_reserve:
            return True
        shared_slots = self.worker_slots - self._service_reserve * len(self._services)
        shared_slots_in_use = sum(
            max(0, q.slots_in_use.total - self._service_reserve) for q in self._services.values()
        )
        return shared_slots_in_use < shared_slots

    def _start(self, queues, level, waiting):
        self._deficits.charge(level, waiting)
        queues.deficits.charge(level, waiting)
        queues.slots_in_use.add(level)
        self._slots_in_use.add(level)
