"""Guards against subscribers that miss a change, go back, or take stale data for confirmed."""

import concurrent.futures
import queue
import types

import pytest

from oriolelock.control import commands, config_state
from oriolelock.distribution import messages, publisher
from oriolelock.model import changes, delta
from oriolelock.once import messages as once_messages
from oriolelock.wire import codec, errors
from tests.control import cluster, samples

TIMEOUT_S = 5.0


class FakeChannel:
    """Takes the place of a websocket connection."""

    def __init__(self, name):
        self.peer = types.SimpleNamespace(name=name, role="entry")
        self.incoming = queue.Queue()
        self.sent = queue.Queue()

    def recv(self, timeout_s):
        msg = self.incoming.get(timeout=TIMEOUT_S)
        if msg is None:
            raise errors.ChannelClosed("closed")
        return msg

    def send_bytes(self, data):
        self.sent.put(data)

    def close(self):
        self.incoming.put(None)

    def next(self, wanted):
        """Return the next message for which ``wanted`` holds."""
        while True:
            msg = codec.decode(self.sent.get(timeout=TIMEOUT_S))
            if wanted(msg):
                return msg


def done(value):
    fut = concurrent.futures.Future()
    fut.set_result(value)
    return fut


class Rig:
    """A publisher over a state machine; ``confirmable`` stands for the leader's answer."""

    def __init__(self, unanswered=0):
        self.machine = config_state.ConfigState()
        self.confirmable = True
        self.unanswered = unanswered
        self.batches = queue.Queue()
        source = publisher.Source(
            index=lambda: self.machine.view().index,
            changes_since=self.machine.changes_since,
            confirm=self.confirm,
            call=lambda payload: done((once_messages.Done(), "")),
            take_reports=self.batches.put,
        )
        self.publisher = publisher.Publisher(source)
        self.publisher.start()
        self.pool = concurrent.futures.ThreadPoolExecutor()

    def confirm(self, timeout_s):
        self.unanswered -= 1
        if self.unanswered >= 0:
            return concurrent.futures.Future()
        return done(self.confirmable)

    def change(self, name):
        put = changes.PutPreset(samples.make_preset(name))
        self.machine.apply(self.machine.view().index + 1, commands.Command(1.0, put))
        self.publisher.wake()

    def connect(self, index):
        conn = FakeChannel(f"e{index}")
        conn.incoming.put(messages.Subscribe(conn.peer.name, index))
        self.pool.submit(self.publisher.serve, conn)
        return conn


@pytest.fixture
def rig():
    item = Rig()
    yield item
    item.publisher.stop()
    item.pool.shutdown()


def is_delta(msg):
    return isinstance(msg, messages.Delta) and bool(msg.changes)


def test_subscriber_gets_snapshot_then_delta(rig):
    rig.change("a")
    conn = rig.connect(0)
    first = codec.decode(conn.sent.get(timeout=TIMEOUT_S))
    assert first == messages.Snapshot(rig.machine.view(), True)
    rig.change("b")
    second = conn.next(is_delta)
    assert (second.from_index, second.to_index) == (1, 2)
    after = delta.apply_all(first.configuration, second.to_index, second.changes)
    assert after == rig.machine.view()


def test_returning_subscriber_gets_only_what_it_misses(rig):
    rig.change("a")
    rig.change("b")
    first = codec.decode(rig.connect(1).sent.get(timeout=TIMEOUT_S))
    assert is_delta(first)
    assert [item.index for item in first.changes] == [2]


def test_quiet_subscriber_hears_confirmed_empty_deltas(rig):
    rig.change("a")
    conn = rig.connect(1)
    for _ in range(2):
        msg = codec.decode(conn.sent.get(timeout=TIMEOUT_S))
        assert msg == messages.Delta(1, 1, (), True)


def test_replica_that_cannot_confirm_says_so(rig):
    rig.confirmable = False
    rig.change("a")
    conn = rig.connect(0)
    first = codec.decode(conn.sent.get(timeout=TIMEOUT_S))
    assert not first.confirmed
    rig.confirmable = True
    assert conn.next(lambda msg: msg.confirmed) == messages.Delta(1, 1, (), True)


def test_confirmation_for_a_subscriber_holds_while_a_regular_one_waits():
    rig = Rig(unanswered=1)
    cluster.wait_for(lambda: rig.unanswered == 0, "the regular confirmation")
    rig.change("a")
    conn = rig.connect(1)
    assert codec.decode(conn.sent.get(timeout=TIMEOUT_S)).confirmed
    rig.change("b")
    assert conn.next(is_delta).confirmed
    rig.publisher.stop()
    rig.pool.shutdown()


def test_subscriber_that_is_ahead_never_goes_back(rig):
    rig.change("a")
    conn = rig.connect(7)
    for _ in range(2):
        msg = codec.decode(conn.sent.get(timeout=TIMEOUT_S))
        assert (msg.from_index, msg.to_index, msg.changes) == (7, 7, ())


def test_delta_is_encoded_once_for_all_subscribers(rig, monkeypatch):
    rig.change("a")
    conns = [rig.connect(1) for _ in range(3)]
    for conn in conns:
        conn.sent.get(timeout=TIMEOUT_S)
    encoded = []

    def encode(msg):
        if is_delta(msg):
            encoded.append(msg)
        return codec_encode(msg)

    codec_encode = codec.encode
    monkeypatch.setattr(publisher.codec, "encode", encode)
    rig.change("b")
    assert len({conn.next(is_delta).to_index for conn in conns}) == 1
    assert len(encoded) == 1


def test_reports_and_calls_are_passed_on(rig):
    conn = rig.connect(0)
    report = messages.StatusReport("e0", 1, 1, "ready", 0.0, 0)
    conn.incoming.put(report)
    assert rig.batches.get(timeout=TIMEOUT_S) == messages.StatusBatch((report,))
    conn.incoming.put(messages.UplinkCall("c1", once_messages.ReleaseKey("1-k", "1", False)))
    reply = conn.next(lambda msg: isinstance(msg, messages.UplinkReply))
    assert reply == messages.UplinkReply("c1", once_messages.Done(), "")


def test_subscriptions_end_when_the_leader_is_out_of_reach(rig):
    """An entry of a cut-off parent would miss changes that others have in force."""
    conn = rig.connect(0)
    conn.next(lambda msg: msg.confirmed)
    rig.confirmable = False
    cluster.wait_for(lambda: not rig.publisher.subscriber_names(), "the end of it", 4.0)
    # A new one is told that nothing is confirmed, and decides for itself.
    late = rig.connect(0)
    assert not late.next(lambda msg: True).confirmed
