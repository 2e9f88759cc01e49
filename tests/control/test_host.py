"""Guards against a group that accepts changes it can't store, or continues after a failed sync."""

import itertools
import queue

import pytest

from oriolelock.consensus import messages, node_settings
from oriolelock.control import commands, host, host_settings, state_machines, unavailable
from oriolelock.control import messages as control_messages
from oriolelock.model import changes, results
from oriolelock.storage import errors, store
from tests.control import cluster, samples

TIMEOUT_S = 10.0


class FailingStore:
    """A store whose saves raise ``error`` while it is set."""

    def __init__(self, opened):
        self._store = opened
        self.error = None

    def __getattr__(self, name):
        return getattr(self._store, name)

    def save(self, save):
        if self.error:
            raise self.error
        self._store.save(save)

    def save_snapshot(self, *args):
        if self.error:
            raise self.error
        self._store.save_snapshot(*args)


class Harness:
    """A group with a single replica and a real store."""

    def __init__(self, folder):
        self.folder = folder
        self.failures = queue.Queue()
        self.change_ids = itertools.count(1)
        replica = messages.Replica("c1", store.INITIAL_INCARNATION, True)
        store.bootstrap(folder, "config", messages.Membership((replica,)))
        self.start()

    def start(self):
        self.store = FailingStore(store.open(self.folder, "config"))
        node_cfg = node_settings.NodeSettings(
            "c1", self.store.incarnation, 0.02, election_min_s=0.1, election_max_s=0.2
        )
        cfg = host_settings.HostSettings(
            "config", node_cfg, 10, lambda *_: None, self.failures.put, lambda _: None
        )
        self.host = host.Host(cfg, self.store, state_machines.make_state_machine("config"))
        self.host.start()
        cluster.wait_for(lambda: self.host.status().is_leader, "leadership")

    def stop(self):
        self.host.stop()
        self.store.close()

    def put(self, change_id=None):
        change = changes.PutPreset(samples.make_preset("a"))
        payload = commands.OperatorChange(change_id or str(next(self.change_ids)), None, "", change)
        return self.host.propose(payload)

    def view(self):
        return self.host.state_machine.view()


@pytest.fixture
def harness(tmp_path):
    host_harness = Harness(tmp_path)
    yield host_harness
    host_harness.stop()


def test_state_and_results_survive_snapshots_and_restart(harness):
    first = harness.put("same").result(TIMEOUT_S)
    assert isinstance(first, results.Applied)
    for fut in [harness.put() for _ in range(35)]:
        fut.result(TIMEOUT_S)
    before = harness.view()
    harness.stop()
    harness.start()
    cluster.wait_for(lambda: harness.view().version == 36, "the log to be applied again")
    assert harness.view() == before
    assert harness.put("same").result(TIMEOUT_S) == first
    assert harness.store.load().snapshot_index > 0


def test_full_disk_rejects_changes_but_not_reads_until_space_is_available(harness):
    harness.put().result(TIMEOUT_S)
    harness.store.error = errors.DiskFull("no space")
    waiting = harness.put()
    cluster.wait_for(lambda: harness.host.status().disk_full, "the full disk")
    assert not waiting.done()
    assert harness.put().result(0) == unavailable.Unavailable("the disk is full", retry=True)
    answer = harness.host.confirm_read().result(TIMEOUT_S)
    assert isinstance(answer, control_messages.Confirmed)
    assert harness.view().version == 1
    harness.store.error = None
    assert waiting.result(TIMEOUT_S).version == 2
    assert harness.put().result(TIMEOUT_S).version == 3
    assert harness.failures.empty()


def test_failed_sync_ends_the_process(harness):
    harness.store.error = errors.SyncFailed("device error")
    fut = harness.put()
    assert "device error" in harness.failures.get(timeout=TIMEOUT_S)
    assert not fut.done()
