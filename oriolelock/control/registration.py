"""
oriolelock.control.registration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Keeps the control replicas of a deployment with seeds among the members in the configuration,
    from which entries learn the addresses of replicas that aren't in their settings.
"""

import collections.abc
import concurrent.futures

from oriolelock.control import replica
from oriolelock.model import changes, configuration, member
from oriolelock.settings import control as settings

__all__ = ["Registration", "own_member", "stale_members"]

COMMIT_TIMEOUT_S = 1.0


def own_member(cfg: settings.ControlSettings) -> member.Member:
    """Return a replica's record; its name is its link address."""
    return member.Member(
        cfg.name,
        "control",
        "{}:{}".format(*cfg.listen),
        "{}:{}".format(*cfg.link_listen),
        cfg.region,
        cfg.failure_domain,
    )


def stale_members(
    cfg: configuration.Configuration, group_names: collections.abc.Container[str]
) -> list[str]:
    """Return the names of registered replicas that are not in the group.

    Those that only an instance list names are removed with the list.
    """
    return [
        peer.name
        for peer in cfg.members.values()
        if member.is_registered_replica(peer) and peer.name not in group_names
    ]


class Registration:
    """Proposes what is missing. Used by one thread."""

    def __init__(self, cfg: settings.ControlSettings, rep: replica.Replica):
        self._own = own_member(cfg)
        self._replica = rep
        self._pending: dict[str, concurrent.futures.Future] = {}

    def run_round(self) -> None:
        """Register this replica if it is a voter; on the leader, remove the records of others."""
        self._pending = {name: fut for name, fut in self._pending.items() if not fut.done()}
        status, cfg = self._replica.status(), self._replica.configuration()
        if not status.leader:
            return
        if status.voter and not self._is_registered(cfg):
            self._propose(self._own.name, changes.SetMember(self._own))
        if status.is_leader and status.is_caught_up:
            for name in stale_members(cfg, self._replica.member_names()):
                self._propose(name, changes.RemoveMember(name))

    def _is_registered(self, cfg):
        found = cfg.members.get(self._own.name)
        if found is not None:
            return found == self._own
        # An instance list may name the replica.
        return any(peer.link_address == self._own.link_address for peer in cfg.members.values())

    def _propose(self, name, change):
        if name not in self._pending:
            self._pending[name] = self._replica.call("config", change, COMMIT_TIMEOUT_S)
