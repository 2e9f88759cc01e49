"""
oriolelock.standin.instance_list
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The platform's instance list, which shows changes after a lag.
"""

import collections
import dataclasses
import threading

from oriolelock import clock
from oriolelock.settings import errors, standin_instances
from oriolelock.settings import node as nodes

__all__ = ["InstanceList"]

MAX_HISTORY = 1000


class InstanceList:
    """Instances by id, with the versions of the last lag. Thread-safe."""

    def __init__(self, instances: tuple[standin_instances.Instance, ...], lag_ms: float):
        self._lock = threading.Lock()
        self._history: collections.deque = collections.deque(maxlen=MAX_HISTORY)
        self._history.append((float("-inf"), {item.id: item for item in instances}))
        self.lag_ms = lag_ms

    def shown(self) -> list[dict]:
        """Return the list as it stood ``lag_ms`` ago, as JSON objects."""
        as_of_s = clock.monotonic_s() - self.lag_ms / 1000
        with self._lock:
            current = next(
                (table for when_s, table in reversed(self._history) if when_s <= as_of_s),
                self._history[0][1],
            )
        return [dataclasses.asdict(item) for item in current.values()]

    def change(self, instance_id: str, data: object) -> None:
        """Add, update or remove (``{"remove": true}``) one instance; raises SettingsError."""
        if not isinstance(data, dict):
            raise errors.SettingsError("POST /instances", "(body)", data, "an object")
        with self._lock:
            table = dict(self._history[-1][1])
            if data.get("remove") is True:
                table.pop(instance_id, None)
            else:
                old = table.get(instance_id)
                fields = dataclasses.asdict(old) if old else {}
                node = nodes.Node("POST /instances", "", {**fields, **data, "id": instance_id})
                table[instance_id] = standin_instances.parse_instance(node)
                node.finish()
            self._history.append((clock.monotonic_s(), table))
