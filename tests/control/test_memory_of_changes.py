"""Hundreds of whole configurations must not make the memory of a process grow with each.

Control replicas kept thousands of decoded changes and log entries, whatever their size, and ended
again and again for their memory.
"""

import time
import tracemalloc

from oriolelock.consensus import snapshots
from oriolelock.control import commands, config_state, snapshot_policy
from oriolelock.distribution import recent_changes
from oriolelock.model import changes, configuration, delta, route, route_table, service
from oriolelock.wire import codec
from tests.control import test_host

ROUTES = 300
WARM_UP = 10
MEASURED = 80


def make_table(revision):
    parts = tuple(route.Part(f"service-{n}", 1.0) for n in range(4))
    routes = {
        f"route-{n}": route.Route(
            f"route-{n}",
            f"host-{n % 9}.example",
            f"/part-{n}/" + "of-a-longer-prefix/" * 4,
            False,
            6000.0 + revision,
            800.0,
            1,
            parts,
            2,
            True,
            (),
            f'{{"revision":{revision},"host":"host-{n % 9}.example"}}',
        )
        for n in range(ROUTES)
    }
    services = {p.service: service.Service(p.service, "/h", 300, 3000.0, 6.0) for p in parts}
    return route_table.RouteTable(revision, routes, services)


def put(revision):
    """Return a change as it is read from the log, which shares no text with others."""
    change = changes.PutRoutes(revision - 1, make_table(revision))
    payload = commands.OperatorChange(f"put-{revision}", None, "", change)
    return codec.decode(codec.encode(payload))


def grown_bytes(apply):
    """Return the growth of memory by ``MEASURED`` tables, after the first ``WARM_UP``."""
    tracemalloc.start()
    try:
        for revision in range(1, WARM_UP + 1):
            apply(revision)
        before, _ = tracemalloc.get_traced_memory()
        for revision in range(WARM_UP + 1, WARM_UP + MEASURED + 1):
            apply(revision)
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def test_state_machine_does_not_grow_with_whole_configurations():
    machine = config_state.ConfigState()

    def apply(revision):
        machine.apply(revision, commands.Command(float(revision), put(revision)))

    assert grown_bytes(apply) < recent_changes.MAX_CHANGES_BYTES
    assert machine.view().table.revision == WARM_UP + MEASURED


def test_entry_does_not_grow_with_whole_configurations():
    kept = recent_changes.RecentChanges()

    def apply(revision):
        change = put(revision).change
        cfg = configuration.apply(kept.view(), change, revision, 1.0)
        kept.advance(cfg, (delta.CommittedChange(revision, 1.0, change),))

    assert grown_bytes(apply) < recent_changes.MAX_CHANGES_BYTES


def test_newest_change_is_kept_whatever_its_size():
    """Otherwise each subscriber would need a snapshot after it."""
    kept = recent_changes.RecentChanges(max_bytes=1000)
    for revision in (1, 2, 3):
        change = changes.PutRoutes(revision - 1, make_table(revision))
        cfg = configuration.apply(kept.view(), change, revision, 1.0)
        kept.advance(cfg, (delta.CommittedChange(revision, 1.0, change),))
    assert [change.index for change in kept.since(2)[1]] == [3]
    assert kept.since(1)[1] is None
    small = changes.PatchRoutes(3, route_table.RoutePatch(4))
    cfg = configuration.apply(kept.view(), small, 4, 1.0)
    kept.advance(cfg, (delta.CommittedChange(4, 1.0, small),))
    assert [change.index for change in kept.since(3)[1]] == [4]
    assert kept.since(2)[1] is None


def test_log_of_a_replica_is_bounded_by_bytes(tmp_path):
    harness = test_host.Harness(tmp_path)
    try:
        for revision in range(1, 81):
            harness.host.propose(put(revision)).result(test_host.TIMEOUT_S)
    finally:
        harness.stop()
    log = harness.host._node.log
    entry_bytes = log.bytes_after(log.last_index - 1)
    limit = snapshot_policy.MAX_LOG_BYTES + snapshots.RETAINED_BYTES + entry_bytes
    assert log.bytes_after(log.base_index) <= limit
    harness.start()
    try:
        stored = sum(len(entry.data) for entry in harness.store.load().entries)
        assert stored <= snapshot_policy.MAX_LOG_BYTES + entry_bytes
        harness.host.confirm_read().result(test_host.TIMEOUT_S)
        assert harness.view().table == make_table(80)
    finally:
        harness.stop()


def test_log_is_bounded_by_bytes_if_snapshots_are_slow_and_nobody_else_can_lead(
    tmp_path, monkeypatch
):
    """Guards against a leader that waits for a successor that it doesn't have."""
    save_snapshot = test_host.FailingStore.save_snapshot

    def save_slowly(store, *args):
        time.sleep(1.2 * snapshot_policy.MAX_LEADER_PAUSE_S)
        save_snapshot(store, *args)

    monkeypatch.setattr(test_host.FailingStore, "save_snapshot", save_slowly)
    test_log_of_a_replica_is_bounded_by_bytes(tmp_path)
