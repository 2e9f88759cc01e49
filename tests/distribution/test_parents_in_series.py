"""Guards against entries that run out of fit parents while control elects again and again."""

import random
import time

import pytest

from oriolelock.distribution import messages, uplink
from oriolelock.wire import hello
from tests import fake_parent, waiting

ELECTIONS = 3
WITHOUT_LEADER_S, WITH_LEADER_S = 2.0, 1.5
# An attempt of 0.8 s that failed a moment before, and a pause of 0.6 s after it.
FOUND_WITHIN_S = 1.4


@pytest.mark.parametrize("seed", range(2))
def test_a_parent_is_found_after_each_election(seed):
    """No parent confirms while there is no leader, so that all of them count as unfit."""
    parents = [fake_parent.FakeParent(fake_parent.make_config()) for _ in range(4)]
    addresses = [parent.address for parent in parents]
    link = uplink.Uplink(
        lambda cfg: addresses,
        hello.Hello(1, fake_parent.CLUSTER, fake_parent.TOKEN, "a", "entry", "i"),
        lambda: messages.StatusReport("a", 0, 0, "live", 0.0, 0),
        rng=random.Random(seed),
    )
    link.start()
    try:
        waiting.until(lambda: link.is_ready)
        for _ in range(ELECTIONS):
            for parent in parents:
                parent.confirms = False
            time.sleep(WITHOUT_LEADER_S)
            for parent in parents:
                parent.confirms = True
            elected_s = time.monotonic()
            waiting.until(
                lambda since_s=elected_s: (
                    link.parent
                    and link.control_age_s(time.monotonic()) < time.monotonic() - since_s
                ),
                FOUND_WITHIN_S,
                "a parent that confirms",
            )
            time.sleep(WITH_LEADER_S)
            assert link.parent is not None
    finally:
        link.stop()
        for parent in parents:
            parent.close()
