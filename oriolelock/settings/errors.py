"""
oriolelock.settings.errors
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The error of the settings layer.
"""

__all__ = ["SettingsError"]


class SettingsError(Exception):
    """A settings file that can't be used: names file, key, what was found, what is allowed."""

    def __init__(self, file: str, key: str, found: object, allowed: str):
        super().__init__(f"{file}: {key}: found {found!r}, allowed: {allowed}")
        self.file = file
        self.key = key
        self.found = found
        self.allowed = allowed
