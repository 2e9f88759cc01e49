"""
oriolelock.standin.fault_board
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The faults that are switched on, and how many requests each may still hit.
"""

import dataclasses
import threading

from oriolelock.settings import fault, getters
from oriolelock.settings import node as nodes

__all__ = ["FaultBoard"]


class FaultBoard:
    """Faults by kind, at most one of each. Thread-safe."""

    def __init__(self, faults: tuple[fault.Fault, ...]):
        self._lock = threading.Lock()
        self._faults = {item.kind: item for item in faults}

    def put(self, item: fault.Fault) -> None:
        """Switch a fault on, in place of one of the same kind."""
        with self._lock:
            self._faults[item.kind] = item

    def clear(self, kind: str) -> None:
        """Switch a fault off."""
        with self._lock:
            self._faults.pop(kind, None)

    def peek(self, kind: str) -> fault.Fault | None:
        """Return a fault without using up its count."""
        with self._lock:
            return self._faults.get(kind)

    def take(self, kind: str, path: str = "", body: bytes = b"") -> fault.Fault | None:
        """Return the fault if it hits this request, and count the hit."""
        with self._lock:
            item = self._faults.get(kind)
            if item is None or not _is_marked(item.marker, path, body):
                return None
            if item.count == 1:
                del self._faults[kind]
            elif item.count is not None:
                self._faults[kind] = dataclasses.replace(item, count=item.count - 1)
            return item

    def command(self, data: object) -> fault.Fault | None:
        """Carry out ``{"kind": ..., ...}`` or ``{"kind": ..., "off": true}``.

        Returns the fault switched on, None when one was switched off; raises SettingsError.
        """
        node = nodes.Node("POST /faults", "", data)
        off = getters.get_bool(node, "off", False)
        item = fault.parse(node)
        node.finish()
        if off:
            self.clear(item.kind)
            return None
        self.put(item)
        return item

    def list_faults(self) -> list[dict]:
        """Return the faults that are on, as JSON objects."""
        with self._lock:
            return [dataclasses.asdict(item) for item in self._faults.values()]


def _is_marked(marker: str, path: str, body: bytes) -> bool:
    return not marker or marker in path or marker.encode() in body
