"""
oriolelock.settings.loader
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reads a YAML file and hands its top mapping to the parser of a role.
"""

import collections.abc
import pathlib
import sys
import typing

import yaml

from oriolelock.settings import errors
from oriolelock.settings import node as nodes

__all__ = ["EXIT_BAD_SETTINGS", "load", "load_or_exit"]

EXIT_BAD_SETTINGS = 2

T = typing.TypeVar("T")


def load(path: str, parse: collections.abc.Callable[[nodes.Node], T]) -> T:
    """Return ``parse(top)`` of the file; raises SettingsError for anything wrong in it."""
    try:
        data = yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise errors.SettingsError(path, "(file)", exc.strerror, "a readable file") from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        found = " ".join(str(exc).split())
        raise errors.SettingsError(path, "(file)", found, "a YAML document") from exc
    top = nodes.Node(path, "", data)
    parsed = parse(top)
    top.finish()
    return parsed


def load_or_exit(path: str, parse: collections.abc.Callable[[nodes.Node], T]) -> T:
    """As ``load``, but print the error as one line and exit with code 2."""
    try:
        return load(path, parse)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
