"""
oriolelock.control.departure
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Gives up the vote of a replica that stops as planned, where the group is better off without it.

    A replica that is replaced as planned stops after its successor was admitted, so that the group
    has one voter too many, of which one is gone. Until the leader finds that out, the group could
    not survive as many losses as before.
"""

import collections.abc
import time

from oriolelock import logs
from oriolelock.consensus import membership, messages
from oriolelock.control import host_status
from oriolelock.control import messages as control_messages
from oriolelock.settings import control as settings

__all__ = ["give_up_vote", "may_depart"]

# The leader rejects a change while another one is in progress.
ATTEMPTS = 5
ATTEMPT_INTERVAL_S = 0.1

log = logs.get_logger("control.replica")


def may_depart(group: host_status.HostStatus, members: messages.Membership, name: str) -> bool:
    """Return whether the voter ``name`` may ask the leader, another replica, to go without it."""
    is_follower = group.voter and group.leader not in ("", name)
    return is_follower and membership.is_better_without_one(members)


def give_up_vote(
    cfg: settings.ControlSettings,
    others: collections.abc.Iterable[str],
    send: collections.abc.Callable[[str, object], bool],
    wait: collections.abc.Callable[[float], None] = time.sleep,
) -> None:
    """Ask the leader to replace this voter by a learner that has no data folder.

    Its consensus group must have stopped, as it would be admitted again when it replies. All
    ``others`` are asked, who forward to the leader, which may change meanwhile. The request is one
    for admission, which all builds know, under an incarnation that no folder has; the leader
    removes the learner when it stays silent, or admits the replica when it returns.
    """
    msg = control_messages.Join(cfg.name, membership.DEPARTED, cfg.region, cfg.failure_domain)
    for _ in range(ATTEMPTS):
        for name in others:
            send(name, msg)
        wait(ATTEMPT_INTERVAL_S)
    log.info("Gave up the vote in group config before stopping.")
