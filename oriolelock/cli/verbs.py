"""
oriolelock.cli.verbs
~~~~~~~~~~~~~~~~~~~~

    The table of the operators' verbs. Modules load only when their verb is used.
"""

import importlib
import types

__all__ = ["GROUPS", "VERBS", "find"]

# verb -> (module, summary)
VERBS = {
    "check": ("check", "check a settings, preset or blocks file"),
    "preset put": ("preset_put", "store a preset"),
    "preset list": ("preset_list", "list the stored presets"),
    "preset use": ("preset_use", "put a stored preset in force"),
    "drain add": ("drain_add", "plan a drain"),
    "drain list": ("drain_list", "list the planned drains"),
    "drain cancel": ("drain_cancel", "cancel a drain"),
    "blocks put": ("blocks_put", "assign client blocks to sites"),
    "members": ("members", "list the instances of the system"),
    "status": ("status", "show which version every instance has in force"),
    "state": ("state", "show the state dump of one process"),
    "explain": ("explain", "show what happened to one request, from logs"),
}
GROUPS = {
    "preset": "presets: put, list, use",
    "drain": "drains: add, list, cancel",
    "blocks": "client blocks: put",
}


def find(verb: str) -> types.ModuleType:
    """Return the module of a verb; raises KeyError."""
    return importlib.import_module(f"oriolelock.cli.{VERBS[verb][0]}")
