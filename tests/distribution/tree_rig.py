"""Control replicas and entries in one process, with a link of its own between each pair."""

import concurrent.futures
import random
import threading
import time

from oriolelock.distribution import messages, publisher, recent_changes, relay, uplink
from oriolelock.model import changes, delta
from oriolelock.wire import channel, hello
from tests import fake_parent, waiting
from tests.distribution import held_link

__all__ = ["Tree"]

# To the leader and back, between distant regions.
AGREEMENT_S = 0.07


def _after(delay_s, complete):
    timer = threading.Timer(delay_s, complete)
    timer.daemon = True
    timer.start()


class Replica:
    """Publishes the leader's configuration. ``is_cut``: from the leader, not from entries."""

    def __init__(self, tree, name):
        self.name = name
        self._tree = tree
        self._is_cut = False
        self.address = ("127.0.0.1", 0)
        self._start(tree.cfg)

    def _start(self, cfg):
        self._recent = recent_changes.RecentChanges()
        self._recent.reset(cfg)
        self._publisher = publisher.Publisher(
            publisher.Source(
                index=lambda: self._recent.view().index,
                changes_since=self._recent.since,
                confirm=self._confirm,
                call=self._call,
                take_reports=lambda batch: None,
            )
        )
        self._server = channel.serve(self.address, self._serve)
        self.address = self._server.socket.getsockname()[:2]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self._publisher.start()

    def start_again(self):
        """Start with the first state, which it keeps until it is no longer cut off."""
        self._is_cut = True
        self._start(self._tree.first_cfg)

    @property
    def is_cut(self):
        return self._is_cut

    @is_cut.setter
    def is_cut(self, value):
        self._is_cut = value
        if not value:
            self.catch_up()

    def catch_up(self):
        if self._is_cut:
            return
        cfg, committed = self._tree.since(self._recent.view().index)
        self._recent.advance(cfg, committed)
        self._publisher.wake()

    def _serve(self, conn):
        accepted = channel.accept(conn, self.name, fake_parent.CLUSTER, fake_parent.TOKEN)
        if accepted is not None:
            self._publisher.serve(accepted)

    def _confirm(self, timeout_s):
        fut = concurrent.futures.Future()
        if self._is_cut:
            _after(timeout_s, lambda: fut.set_result(False))
        else:
            _after(AGREEMENT_S, lambda: fut.set_result(not self._is_cut))
        return fut

    def _call(self, payload):
        index = self._tree.cfg.index
        fut = concurrent.futures.Future()
        delay_s = 3.0 if self._is_cut else AGREEMENT_S

        def complete():
            is_index = isinstance(payload, messages.ConfirmIndex) and not self._is_cut
            fut.set_result((messages.ConfirmedIndex(index), "") if is_index else (None, "no"))

        _after(delay_s, complete)
        return fut

    def close(self):
        self._publisher.stop()
        self._server.shutdown()


class Entry:
    """An uplink and a relay.

    ``seen`` holds when each index came into use, ``orders`` the indexes of each start.
    """

    def __init__(self, tree, name, seed):
        self.name = name
        self._tree = tree
        self._seed = seed
        self.seen = {}
        self.orders = []
        self._stopping = threading.Event()
        self.address = ("127.0.0.1", 0)
        self._make()

    def _make(self):
        tree, name = self._tree, self.name
        self.orders.append([])
        self.uplink = uplink.Uplink(
            lambda cfg: tree.parents(name),
            hello.Hello(1, fake_parent.CLUSTER, fake_parent.TOKEN, name, "entry", name),
            lambda: messages.StatusReport(name, 0, 0, "live", 0.0, 0),
            on_config=self._on_config,
            rng=random.Random(self._seed),
        )
        self._relay = relay.Relay(name, fake_parent.CLUSTER, fake_parent.TOKEN, self.uplink)
        self._relay.start(self.address)
        self.address = self._relay._server.socket.getsockname()[:2]

    def start_again(self):
        """Start without anything that it has received."""
        self._make()
        self.uplink.start()

    def _on_config(self, cfg):
        self.seen.setdefault(cfg.index, time.monotonic())
        self.orders[-1].append(cfg.index)
        self._relay.on_config(cfg)

    def trust_like_an_older_build(self, trust_s):
        """Pass on each confirmation as a new one until it is ``trust_s`` old."""

        def pass_on():
            while not self._stopping.wait(0.1):
                now = time.monotonic()
                if (self.uplink.control_age_s(now) or 0.0) < trust_s:
                    self._relay._publisher.pass_on(now)

        threading.Thread(target=pass_on, daemon=True).start()

    def used_after(self, index, since_s):
        """Return the seconds from ``since_s`` until ``index`` or a later one was used, or None."""
        times = [seen_s for seen, seen_s in list(self.seen.items()) if seen >= index]
        return min(times) - since_s if times else None

    def close(self):
        self._stopping.set()
        self._relay.stop()
        self.uplink.stop()


class Tree:
    """``order`` maps each entry to the names of its parents, best first.

    ``commit`` makes a change that is acknowledged at once.
    """

    def __init__(self, replicas, order, seed=1):
        self._lock = threading.Lock()
        self.cfg = self.first_cfg = fake_parent.make_config()
        self._changes = []
        self._links = {}
        self.order = order
        self.replicas = {name: Replica(self, name) for name in replicas}
        self.entries = {
            name: Entry(self, name, f"{seed} {number}") for number, name in enumerate(order)
        }
        # In order, so that each finds its best parent ready.
        for entry in self.entries.values():
            entry.uplink.start()
            waiting.until(lambda link=entry.uplink: link.is_ready, what="a parent that confirms")

    def link(self, start, end):
        """Return the link from an entry to a parent, made when it is first needed."""
        with self._lock:
            if (start, end) not in self._links:
                node = self.replicas.get(end) or self.entries[end]
                self._links[start, end] = held_link.HeldLink(node.address)
            return self._links[start, end]

    def links_of(self, name):
        """Return all links that begin or end at an instance."""
        for start, order in self.order.items():
            for end in order:
                if name in (start, end):
                    yield self.link(start, end)

    def parents(self, name):
        return [self.link(name, parent).address for parent in self.order[name]]

    def parent_of(self, name):
        """Return the name of an entry's parent, None if it has none."""
        address = self.entries[name].uplink.parent
        names = (end for end in self.order[name] if self.link(name, end).address == address)
        return next(names, None)

    def wait_for_spares(self):
        """Wait until all entries have spare connections.

        Four seconds after its start an entry is expected to follow changes in time.
        """
        finders = [entry.uplink._finder for entry in self.entries.values()]
        waiting.until(lambda: all(finder.spare.address for finder in finders), 4.0, "the spares")

    def since(self, index):
        with self._lock:
            return self.cfg, [change for change in self._changes if change.index > index]

    def commit(self):
        """Return the index of a new change and the time at which it was acknowledged."""
        with self._lock:
            index = self.cfg.index + 1
            change = delta.CommittedChange(index, time.time(), changes.UsePreset("day"))
            self._changes.append(change)
            self.cfg = delta.apply_all(self.cfg, index, (change,))
        acked_s = time.monotonic()
        for replica in self.replicas.values():
            replica.catch_up()
        return index, acked_s

    def close(self):
        for node in (*reversed(self.entries.values()), *self.replicas.values()):
            node.close()
        for link in self._links.values():
            link.close()
