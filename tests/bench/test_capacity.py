"""Guards the figures of docs/CAPACITY.md: bytes and memory at the target size of the design."""

import gc
import tracemalloc

from oriolelock.bench import sample
from oriolelock.bench.experiments import tree as tree_counts
from oriolelock.distribution import messages, tree
from oriolelock.lookup import blocks, directory, packing
from oriolelock.model import delta
from oriolelock.once import messages as once
from oriolelock.once import record
from oriolelock.routing import router
from oriolelock.wire import codec

MEMBERS, ENDPOINTS, SITES, BLOCKS = 5400, 3600, 3600, 700_000
NODE_BYTES_S = 12_000
NODE_MEMORY_BYTES = 128e6
# A process of an entry without a configuration (`scripts/bench restart`, rounded up).
EMPTY_ENTRY_BYTES = 60e6
CHANGES_PER_DAY = 26_000 + 3 * 1_900 + 2 * 9
RESTARTS_PER_DAY = 1_900
DAY_S = 86_400


def packed_blocks(count):
    made = sample.make_blocks(count, SITES)
    return packing.update(b"", made, sample.make_regions(SITES))


def test_entry_holds_the_target_configuration_in_its_memory():
    """An entry that needs more than 128 MB for control at the target size can't be run there."""
    data = codec.encode(sample.make_configuration(MEMBERS, ENDPOINTS, packed_blocks(BLOCKS)))
    gc.collect()
    tracemalloc.start()
    try:
        cfg = codec.decode(data)
        kept = [cfg, blocks.BlockTable(cfg.block_sites), directory.Directory(cfg)]
        routes = router.Router("entry-00000", "region-0")
        routes.configure(cfg, 100.0, 1000.0)
        gc.collect()
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert len(kept) == 3
    assert EMPTY_ENTRY_BYTES + used <= NODE_MEMORY_BYTES


def test_changes_and_restarts_of_a_day_fit_into_the_bytes_of_a_head():
    """A head passes each change to its children; a node that restarts takes a snapshot."""
    change = delta.CommittedChange(400_000, 1.8e9, sample.make_member_change(1))
    sent = len(codec.encode(messages.Delta(399_999, 400_000, (change,), True)))
    changes_s = CHANGES_PER_DAY * sent * (tree.FAN_OUT + 1) / DAY_S
    cfg = sample.make_configuration(MEMBERS, ENDPOINTS, packed_blocks(BLOCKS))
    snapshot = len(codec.encode(messages.Snapshot(cfg, True)))
    restarts_s = RESTARTS_PER_DAY / MEMBERS * snapshot / DAY_S
    # Half of the bytes are for reports (tests/distribution/test_report_packing.py).
    assert changes_s + restarts_s <= NODE_BYTES_S / 4


def test_key_of_the_record_stays_small():
    """16 instances with 128 MB each and 3 copies of a key are to hold half a million keys."""
    gc.collect()
    tracemalloc.start()
    count = 2000
    try:
        state = record.State()
        for n in range(count):
            key, claim_id = f"1800000000-order-{n:012d}", f"{n:032x}"
            claim = once.ClaimKey(key, f"{n:016x}", "entry-00001", claim_id, 5.0)
            answer = once.Answer(200, "application/json", n.to_bytes(8, "big") * 25)
            record.apply(state, claim, 1.8e9)
            record.apply(state, once.CompleteKey(key, claim_id, answer), 1.8e9)
        used = tracemalloc.get_traced_memory()[0] / count
    finally:
        tracemalloc.stop()
    assert 500_000 * 3 * used <= 16 * NODE_MEMORY_BYTES


def test_tree_of_a_failure_domain_stays_flat_and_within_the_children_of_a_parent():
    """Each hop adds to the age of reports; children beyond the limit are refused."""
    found = tree_counts.count_tree(95)
    assert found["hops"] <= 3
    assert found["heads"] == tree.HEADS
    assert max(found["most_children"], found["most_children_after"]) <= tree.MAX_CHILDREN
