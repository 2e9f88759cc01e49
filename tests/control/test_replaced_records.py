"""Tests that record groups follow ``config`` when replicas are replaced at new addresses."""

import concurrent.futures
import time

from oriolelock.control import record_state, uplink_calls
from oriolelock.once import messages
from tests.control import cluster, test_replaced_addresses

replicas = test_replaced_addresses.replicas
GROUPS = 2


def call(group, payload):
    """Return the reply of some replica to an entry's call; None for an error."""
    rep = next(iter(group.running.values())).replica
    try:
        return uplink_calls.serve(rep, payload).result(5)[0]
    except concurrent.futures.TimeoutError:
        return None


def wait_for_record_voters(group):
    """Wait until the running replicas are voters of all groups."""
    group.wait_for_voters()
    names = [f"record-{number}" for number in range(GROUPS)]

    def are_voters():
        statuses = [item.replica.status(name) for item in group.running.values() for name in names]
        return all(status.voter and status.leader for status in statuses)

    cluster.wait_for(are_voters, "voters of the record groups")


def make_key(name):
    return f"{int(time.time())}-{name}"


def test_record_groups_outlive_the_replacement_of_all_first_members(replicas):
    """Only ``config`` admitted successors: the others lost their majority with two seeds."""
    group = replicas(5, 10, record_groups=GROUPS)
    group.wait_for_voters()
    key = make_key("first")
    answer = messages.Answer(200, "text/plain", b"done")
    claim = messages.ClaimKey(key, "d", "e1", "claim-1", 60.0)
    cluster.wait_for(lambda: call(group, claim) == messages.Granted(), "the claim")
    completed = messages.CompleteKey(key, "claim-1", answer)
    cluster.wait_for(lambda: call(group, completed) == messages.Done(), "the record")
    for number in range(5):
        group.lose(number)
        group.add()
        wait_for_record_voters(group)
    again = messages.ClaimKey(key, "d", "e1", "claim-2", 60.0)
    cluster.wait_for(lambda: call(group, again) == messages.Recorded(answer), "the record")
    seen = set()
    for number in range(20):
        other = make_key(f"other-{number}")
        seen.add(record_state.group_of(other, GROUPS))
        claim = messages.ClaimKey(other, "d", "e1", f"c-{number}", 60.0)
        cluster.wait_for(lambda claim=claim: call(group, claim) == messages.Granted(), "a claim")
    assert len(seen) == GROUPS
