"""Guards against replicas that judge entries of which nobody tells them."""

import time

from oriolelock.distribution import reports
from tests.control import cluster, test_seeds

replicas = test_seeds.replicas

# Two rounds, and the time to connect.
HEARD_WITHIN_S = 1.5


def test_replicas_that_were_admitted_later_hear_all_the_others(replicas):
    """Followers had no link to a follower that is no seed, so it heard only of the leader."""
    group = replicas(5)
    for number in range(5):
        group.start(number, True)
    group.wait_for_voters(5)
    names = {running.cfg.name for running in group.running.values()}

    def unheard():
        now = time.monotonic()
        known = {
            running.cfg.name: running._components.reports.ages(now)
            for running in group.running.values()
        }
        return [
            (name, other)
            for name in names
            for other in names
            if known[name].get(other, reports.FORGET_AFTER_S) > HEARD_WITHIN_S
        ]

    cluster.wait_for(lambda: not unheard(), "all replicas hear each other", 6.0)
