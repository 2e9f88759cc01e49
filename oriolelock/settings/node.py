"""
oriolelock.settings.node
~~~~~~~~~~~~~~~~~~~~~~~~

    One mapping of a settings file, with its path for error messages.
"""

import collections.abc

from oriolelock.settings import errors

__all__ = ["MISSING", "Node"]

MISSING = object()


class Node:
    """A mapping of a settings file that remembers which keys were read."""

    def __init__(self, file: str, path: str, data: object):
        if not isinstance(data, collections.abc.Mapping):
            raise errors.SettingsError(file, path or "(top)", data, "a mapping")
        self.file = file
        self.path = path
        self._data = data
        self._read: set[str] = set()
        self._children: list[Node] = []

    def name_of(self, key: str) -> str:
        """Return the dotted name of ``key``."""
        return f"{self.path}.{key}" if self.path else key

    def fetch(self, key: str, default: object = MISSING) -> object:
        """Return the raw value of ``key``; raises SettingsError when required and absent."""
        self._read.add(key)
        if key in self._data:
            return self._data[key]
        if default is MISSING:
            raise errors.SettingsError(self.file, self.name_of(key), None, "a value is required")
        return default

    def fail(self, key: str, found: object, allowed: str) -> errors.SettingsError:
        """Return the error for a bad value of ``key``."""
        return errors.SettingsError(self.file, self.name_of(key), found, allowed)

    def child(self, key: str, data: object) -> "Node":
        """Return the mapping below ``key`` as a node that ``finish`` also checks."""
        node = Node(self.file, self.name_of(key), data)
        self._children.append(node)
        return node

    def keys(self) -> list[str]:
        """Return the keys of the mapping and mark them as read."""
        self._read.update(self._data)
        return [str(key) for key in self._data]

    def finish(self) -> None:
        """Raise SettingsError for the first key that nothing has read."""
        for key in self._data:
            if key not in self._read:
                known = ", ".join(sorted(self._read))
                raise errors.SettingsError(
                    self.file, self.name_of(str(key)), "unknown key", f"one of: {known}"
                )
        for node in self._children:
            node.finish()
