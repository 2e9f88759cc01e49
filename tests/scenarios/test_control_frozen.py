"""Control replicas that are frozen, replaced meanwhile, and resumed, under the real programs."""

import signal
import time

import pytest

from tests import waiting
from tests.soak import callers, control_group, fleet, ledger, main

SEED = 40
CONTROLS = 5
# Longer than it takes until links count as silent.
FROZEN_S = 6.0


@pytest.fixture
def started(tmp_path):
    book = ledger.Ledger()
    net, listing = main._take_net(SEED, [])
    group = fleet.Fleet(tmp_path, net, 0, CONTROLS, f"127.{net}.4.1:{main.PORT_LIST}")
    operator = callers.Operator(group.control_hosts, book, SEED)
    try:
        group.start_all()
        assert operator.put_next(main.START_LIMIT_S)
        group.settle()
        time.sleep(control_group.CATCH_UP_S)
        yield group, operator, control_group.ControlGroup(group, operator, book), book
    finally:
        group.stop_all()
        listing.close()


@pytest.mark.timeout(90)
def test_replica_that_was_replaced_while_frozen_counts_again_after_it_resumes(started):
    """A follower, then the leader: neither knows that it was removed."""
    group, operator, control, book = started
    for is_leader in (False, True):
        leader = control.await_leader()
        followers = [host for host in group.control_hosts if host != leader]
        frozen = leader if is_leader else followers[0]
        group.signal(frozen, signal.SIGSTOP)
        frozen_s = time.monotonic()
        group.add_control(frozen, [host for host in group.control_hosts if host != frozen][:3])
        # The operator calls at random; a frozen replica costs each call a second.
        group.control_hosts.remove(frozen)
        time.sleep(max(0.0, frozen_s + FROZEN_S - time.monotonic()))
        control.check_service(f"{frozen} is frozen")
        members = control.gauges(control.await_leader())["replicas"]
        assert members == len(group.control_hosts), "the frozen replica was not removed"
        group.control_hosts.append(frozen)
        group.signal(frozen, signal.SIGCONT)

        def counts(frozen=frozen):
            leader = control.find_leader(group.control_hosts)
            voters = [control.gauges(host).get("voters") for host in (frozen, leader) if host]
            expected = len(group.control_hosts)
            return voters == [expected] * 2 and operator.read(frozen) is not None

        waiting.until(counts, control_group.CATCH_UP_S, f"{frozen} counts")
    control.check_service("at the end")
    assert book.broken() == []
