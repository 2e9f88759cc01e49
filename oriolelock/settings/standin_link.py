"""
oriolelock.settings.standin_link
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of the stand-in for network links.
"""

import dataclasses

from oriolelock.settings import common, getters
from oriolelock.settings import node as nodes

__all__ = ["SILENCES", "LinkSettings", "LinkState", "LinksSettings", "parse", "parse_state"]

SILENCES = ("none", "open", "all")


@dataclasses.dataclass(frozen=True)
class LinkState:
    """``delay_ms``: one way. ``cut``: connections are closed and new ones refused.

    ``silence``: bytes are swallowed on connections that are ``open`` now, or on ``all``.
    """

    delay_ms: float = 0.0
    cut: bool = False
    silence: str = "none"


@dataclasses.dataclass(frozen=True)
class LinkSettings:
    """A forwarder from ``listen`` to ``target``."""

    name: str
    listen: tuple[str, int]
    target: tuple[str, int]
    state: LinkState


@dataclasses.dataclass(frozen=True)
class LinksSettings:
    """The links of one process; ``listen`` is for commands over HTTP."""

    listen: tuple[str, int]
    links: tuple[LinkSettings, ...]
    log: common.LogSettings


def parse_state(node: nodes.Node, old: LinkState) -> LinkState:
    """Return ``old`` with the keys that ``node`` gives; raises SettingsError."""
    return LinkState(
        getters.get_ms(node, "delay", old.delay_ms),
        getters.get_bool(node, "cut", old.cut),
        getters.get_choice(node, "silence", SILENCES, old.silence),
    )


def _parse_link(node):
    return LinkSettings(
        getters.get_str(node, "name"),
        getters.get_address(node, "listen"),
        getters.get_address(node, "target"),
        parse_state(node, LinkState()),
    )


def parse(top: nodes.Node) -> LinksSettings:
    """Return the settings of role ``link``; raises SettingsError."""
    return LinksSettings(
        getters.get_address(top, "listen"),
        tuple(_parse_link(node) for node in getters.get_nodes(top, "links")),
        common.parse_log(top),
    )
