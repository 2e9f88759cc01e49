"""Tests that subscribers miss no change, never go back and get no stale data as confirmed."""

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
    """Stands in for a channel, with queues for received and sent messages."""

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

    def next_matching(self, matches):
        """Return the next sent message for which ``matches`` returns True."""
        while True:
            msg = codec.decode(self.sent.get(timeout=TIMEOUT_S))
            if matches(msg):
                return msg


def completed_future(value):
    fut = concurrent.futures.Future()
    fut.set_result(value)
    return fut


class PublisherRig:
    """A publisher of a state machine's configuration.

    ``can_confirm`` is the result of each confirmation, except for the first
    ``unanswered_confirmations``, which never complete.
    """

    def __init__(self, unanswered_confirmations=0, max_subscribers=publisher.MAX_SUBSCRIBERS):
        self.machine = config_state.ConfigState()
        self.can_confirm = True
        self.unanswered_confirmations = unanswered_confirmations
        self.batches = queue.Queue()
        source = publisher.Source(
            index=lambda: self.machine.view().index,
            changes_since=self.machine.changes_since,
            confirm=self.confirm,
            call=lambda payload: completed_future((once_messages.Done(), "")),
            take_reports=self.batches.put,
        )
        self.publisher = publisher.Publisher(source, max_subscribers)
        self.publisher.start()
        self.pool = concurrent.futures.ThreadPoolExecutor()

    def confirm(self, timeout_s):
        self.unanswered_confirmations -= 1
        if self.unanswered_confirmations >= 0:
            return concurrent.futures.Future()
        return completed_future(self.can_confirm)

    def put_preset(self, name):
        put = changes.PutPreset(samples.make_preset(name))
        self.machine.apply(self.machine.view().index + 1, commands.Command(1.0, put))
        self.publisher.wake()

    def connect(self, index):
        channel = self.connect_spare(f"e{index}")
        channel.incoming.put(messages.Subscribe(channel.peer.name, index))
        return channel

    def connect_spare(self, name):
        """Return a connection without a subscription."""
        channel = FakeChannel(name)
        self.pool.submit(self.publisher.serve, channel)
        return channel


@pytest.fixture
def rig():
    rig = PublisherRig()
    yield rig
    rig.publisher.stop()
    rig.pool.shutdown()


def is_delta(msg):
    return isinstance(msg, messages.Delta) and bool(msg.changes)


def test_subscriber_gets_snapshot_then_delta(rig):
    rig.put_preset("a")
    conn = rig.connect(0)
    first = codec.decode(conn.sent.get(timeout=TIMEOUT_S))
    assert first == messages.Snapshot(rig.machine.view(), True)
    rig.put_preset("b")
    second = conn.next_matching(is_delta)
    assert (second.from_index, second.to_index) == (1, 2)
    applied = delta.apply_all(first.configuration, second.to_index, second.changes)
    assert applied == rig.machine.view()


def test_returning_subscriber_gets_only_missing_changes(rig):
    rig.put_preset("a")
    rig.put_preset("b")
    first = codec.decode(rig.connect(1).sent.get(timeout=TIMEOUT_S))
    assert is_delta(first)
    assert [item.index for item in first.changes] == [2]


def test_empty_deltas_confirm_while_nothing_changes(rig):
    rig.put_preset("a")
    conn = rig.connect(1)
    for _ in range(2):
        msg = codec.decode(conn.sent.get(timeout=TIMEOUT_S))
        assert msg == messages.Delta(1, 1, (), True)


def test_messages_of_a_replica_that_cannot_confirm_are_unconfirmed(rig):
    rig.can_confirm = False
    rig.put_preset("a")
    conn = rig.connect(0)
    first = codec.decode(conn.sent.get(timeout=TIMEOUT_S))
    assert not first.confirmed
    rig.can_confirm = True
    assert conn.next_matching(lambda msg: msg.confirmed) == messages.Delta(1, 1, (), True)


def test_subscriber_is_confirmed_while_a_periodic_confirmation_is_pending():
    rig = PublisherRig(unanswered_confirmations=1)
    cluster.wait_for(lambda: rig.unanswered_confirmations == 0, "the periodic confirmation")
    rig.put_preset("a")
    conn = rig.connect(1)
    assert codec.decode(conn.sent.get(timeout=TIMEOUT_S)).confirmed
    rig.put_preset("b")
    assert conn.next_matching(is_delta).confirmed
    rig.publisher.stop()
    rig.pool.shutdown()


def test_subscriber_that_is_ahead_never_goes_back(rig):
    rig.put_preset("a")
    conn = rig.connect(7)
    for _ in range(2):
        msg = codec.decode(conn.sent.get(timeout=TIMEOUT_S))
        assert (msg.from_index, msg.to_index, msg.changes) == (7, 7, ())


def test_delta_is_encoded_once_for_all_subscribers(rig, monkeypatch):
    rig.put_preset("a")
    conns = [rig.connect(1) for _ in range(3)]
    for conn in conns:
        conn.sent.get(timeout=TIMEOUT_S)
    encoded_deltas = []

    def encode(msg):
        if is_delta(msg):
            encoded_deltas.append(msg)
        return codec_encode(msg)

    codec_encode = codec.encode
    monkeypatch.setattr(publisher.codec, "encode", encode)
    rig.put_preset("b")
    assert len({conn.next_matching(is_delta).to_index for conn in conns}) == 1
    assert len(encoded_deltas) == 1


def test_reports_and_calls_are_forwarded(rig):
    conn = rig.connect(0)
    report = messages.StatusReport("e0", 1, 1, "ready", 0.0, 0)
    conn.incoming.put(report)
    assert rig.batches.get(timeout=TIMEOUT_S) == messages.StatusBatch((report,))
    conn.incoming.put(messages.UplinkCall("c1", once_messages.ReleaseKey("1-k", "1", False)))
    reply = conn.next_matching(lambda msg: isinstance(msg, messages.UplinkReply))
    assert reply == messages.UplinkReply("c1", once_messages.Done(), "")


def test_subscriptions_end_when_the_leader_is_unreachable(rig):
    """Children of a parent cut off from the leader would miss changes that others apply."""
    conn = rig.connect(0)
    conn.next_matching(lambda msg: msg.confirmed)
    rig.can_confirm = False
    cluster.wait_for(
        lambda: not rig.publisher.subscriber_names(), "the end of the subscription", 4.0
    )
    # A new subscriber gets an unconfirmed configuration and decides itself whether to stay.
    late_channel = rig.connect(0)
    assert not late_channel.next_matching(lambda msg: True).confirmed


def open_spares(rig):
    return [sub.name for sub in list(rig.publisher._unsubscribed)]


def test_spare_connections_are_bounded_and_leave_room_for_subscribers():
    rig = PublisherRig(max_subscribers=3)
    try:
        spares = []
        for number in range(6):
            spares.append(rig.connect_spare(f"s{number}"))
            cluster.wait_for(
                lambda: open_spares(rig)[-1:] == [spares[-1].peer.name], "it", TIMEOUT_S
            )
        assert open_spares(rig) == ["s3", "s4", "s5"]
        subscribed = rig.connect(0)
        assert codec.decode(subscribed.sent.get(timeout=TIMEOUT_S)).confirmed
        # One that subscribes is no spare connection any more.
        cluster.wait_for(lambda: len(rig.publisher._unsubscribed) == 2, "room", TIMEOUT_S)
        spares[5].incoming.put(messages.Subscribe("s5", 0))
        assert codec.decode(spares[5].sent.get(timeout=TIMEOUT_S)).confirmed
    finally:
        rig.publisher.stop()
        rig.pool.shutdown()


def test_spare_connections_end_with_the_publisher(rig):
    rig.connect_spare("s")
    cluster.wait_for(lambda: rig.publisher._unsubscribed, "the connection", TIMEOUT_S)
    rig.publisher.stop()
    cluster.wait_for(lambda: not rig.publisher._unsubscribed, "the end", 1.0)
