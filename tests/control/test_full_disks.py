"""Disks that are full one after another must not keep a group from accepting changes later."""

import errno
import os
import random
import threading
import time

import pytest

from oriolelock.consensus import messages, node_settings
from oriolelock.control import commands, host, host_settings, state_machines
from oriolelock.model import changes, results
from oriolelock.storage import store
from tests.control import cluster, samples

NAMES = ("c1", "c2", "c3", "c4", "c5")
FULL_S = 0.6
# A retry of the save, an election and a round trip.
ACCEPT_S = 3.0
CALLS = ("write", "ftruncate", "open")


class FullDisks:
    """Refuses what needs space in the folders of replicas whose disk is full."""

    def __init__(self, monkeypatch):
        self.full = set()
        self._paths = {}
        for name in CALLS:
            monkeypatch.setattr(os, name, self._wrap(name, getattr(os, name)))

    def _wrap(self, name, original):
        def call(target, *args, **kwargs):
            path = target if name == "open" else os.readlink(f"/proc/self/fd/{target}")
            needs_space = name != "open" or bool(args and args[0] & os.O_CREAT)
            if needs_space and any(f"/{replica}/" in str(path) for replica in self.full):
                raise OSError(errno.ENOSPC, "No space left on device")
            return original(target, *args, **kwargs)

        return call


class Group:
    """Five replicas in one process, with real stores; messages are passed directly."""

    def __init__(self, folder):
        self.failures = []
        self.hosts = {}
        membership = messages.Membership(
            tuple(messages.Replica(name, store.INITIAL_INCARNATION, True) for name in NAMES)
        )
        self._stores = {}
        for name in NAMES:
            store.bootstrap(folder / name, "config", membership)
            self._stores[name] = store.open(folder / name, "config")
        for name in NAMES:
            self.hosts[name] = host.Host(
                self._settings(name),
                self._stores[name],
                state_machines.make_state_machine("config"),
            )
        for item in self.hosts.values():
            item.start()

    def _settings(self, name):
        def send(target, msg):
            if target in self.hosts:
                self.hosts[target].receive(name, store.INITIAL_INCARNATION, msg)

        node_cfg = node_settings.NodeSettings(
            name, store.INITIAL_INCARNATION, 0.05, election_min_s=0.3, election_max_s=0.6
        )
        return host_settings.HostSettings(
            "config", node_cfg, 7, send, self.failures.append, lambda _: None
        )

    def stop(self):
        for item in self.hosts.values():
            item.stop()
        for item in self._stores.values():
            item.close()

    def leader(self):
        leading = [name for name, item in self.hosts.items() if item.status().is_leader]
        return leading[0] if len(leading) == 1 else None

    def change(self, change_id, timeout_s):
        """Return whether a change is applied in time, sent to whoever leads, again and again."""
        end_s = time.monotonic() + timeout_s
        payload = commands.OperatorChange(
            change_id, None, "", changes.PutPreset(samples.make_preset("a"))
        )
        while time.monotonic() < end_s:
            name = self.leader()
            if name is None:
                time.sleep(0.02)
                continue
            try:
                result = self.hosts[name].propose(payload).result(0.5)
            except TimeoutError:
                continue
            if isinstance(result, results.Applied):
                return True
            time.sleep(0.02)
        return False


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_changes_are_accepted_once_the_last_of_the_disks_has_room_again(
    tmp_path, monkeypatch, seed
):
    rng = random.Random(seed)
    group = Group(tmp_path)
    disks = FullDisks(monkeypatch)
    stopping = threading.Event()
    accepted = []

    def keep_changing():
        number = 0
        while not stopping.is_set():
            number += 1
            if group.change(f"during-{number}", ACCEPT_S):
                accepted.append(number)

    operator = threading.Thread(target=keep_changing)
    try:
        cluster.wait_for(group.leader, "a leader")
        operator.start()
        first = group.leader()
        for name in [first, *rng.sample([n for n in NAMES if n != first], 4)]:
            disks.full = {name}
            time.sleep(FULL_S * rng.uniform(0.7, 1.3))
            disks.full = set()
            time.sleep(rng.choice([0.0, 0.1, 0.3]))
        stopping.set()
        operator.join()
        assert group.change("after", ACCEPT_S)
        newest = max(item.state_machine.view().version for item in group.hosts.values())
        assert newest >= len(accepted) + 1
        cluster.wait_for(
            lambda: {item.state_machine.view().version for item in group.hosts.values()}
            == {newest},
            "all replicas to catch up",
            ACCEPT_S,
        )
        assert not group.failures
    finally:
        stopping.set()
        group.stop()
