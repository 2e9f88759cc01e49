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
from oriolelock.control import majority, messages
from oriolelock.settings import control as settings

__all__ = ["DEPARTED", "give_up_vote", "is_better_without"]

# Without three voters no loss is survived.
MIN_REMAINING_VOTERS = 3
# The leader rejects a change while another one is in progress.
ATTEMPTS = 3
ATTEMPT_INTERVAL_S = 0.1
# The incarnation of a member whose process has stopped; no data folder has it.
DEPARTED = "departed"

log = logs.get_logger("control.replica")


def is_better_without(group: majority.Assessment, name: str) -> bool:
    """Return whether the group survives as many losses without the voter ``name``."""
    count = len(group.voters)
    is_follower = group.role == "voter" and group.leader not in ("", name)
    return is_follower and count % 2 == 0 and count - 1 >= MIN_REMAINING_VOTERS


def give_up_vote(
    cfg: settings.ControlSettings,
    leader: str,
    send: collections.abc.Callable[[str, object], bool],
    wait: collections.abc.Callable[[float], None] = time.sleep,
) -> None:
    """Ask the leader to replace this voter by a learner that has no data folder.

    Its consensus group must have stopped, as it would be admitted again when it replies. The
    request is one for admission, which all builds know, under an incarnation that no folder has;
    the leader removes the learner when it stays silent, or admits the replica when it returns.
    """
    msg = messages.Join(cfg.name, DEPARTED, cfg.region, cfg.failure_domain)
    for _ in range(ATTEMPTS):
        send(leader, msg)
        wait(ATTEMPT_INTERVAL_S)
    log.info("Gave up the vote in group config before stopping.")
