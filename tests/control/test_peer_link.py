"""When another replica was last heard, over connections that fail."""

import threading

import pytest

from oriolelock import clock
from oriolelock.control import hosted, messages, peer_link
from oriolelock.settings import control as settings
from oriolelock.wire import channel, errors, hello
from tests import waiting
from tests.control import cluster, test_seeds
from tests.wire import ending_connections

TOKEN = "token-for-tests"


class Peer:
    """The other end of a link; sends heartbeats until ``silent`` or ``lost`` is set."""

    def __init__(self):
        self.silent, self.lost = threading.Event(), threading.Event()
        self._server = channel.serve(("127.0.0.1", 0), self._serve)
        self._thread = threading.Thread(target=self._server.serve_forever)
        self._thread.start()
        self.address = self._server.socket.getsockname()[:2]

    def _serve(self, conn):
        accepted = channel.accept(conn, "b", "c", TOKEN)
        try:
            while not self.silent.is_set():
                accepted.recv(0.01)
        except errors.ChannelClosed:
            return
        self.lost.wait(10)
        accepted.close()

    def stop(self):
        self.silent.set()
        self.lost.set()
        self._server.shutdown()
        self._thread.join()


@pytest.fixture
def peer(monkeypatch):
    monkeypatch.setattr(channel, "HEARTBEAT_INTERVAL_S", 0.02)
    other = Peer()
    yield other
    other.stop()


@pytest.fixture
def link(peer):
    greeting = hello.Hello(hello.PROTOCOL_VERSION, "c", TOKEN, "a", "control", "i")
    link = peer_link.PeerLink(
        settings.PeerSettings("b", peer.address, peer.address, ""), lambda: greeting
    )
    yield link
    link.stop()


def test_heartbeats_count_as_heard(peer, link):
    """A peer that has nothing to say would look silent."""
    assert link.last_heard_s is None
    started_s = clock.monotonic_s()
    link.start()
    first_s = waiting.until(lambda: link.last_heard_s)
    assert started_s <= first_s <= clock.monotonic_s()
    waiting.until(lambda: link.last_heard_s > first_s)


def test_a_link_connects_again_after_a_connection_that_ends_at_once(peer, link, monkeypatch):
    """The thread that connects ended, so that the replica never heard of the peer again."""
    ending_connections.end_first(monkeypatch, 2)
    link.start()
    waiting.until(lambda: link.connected)


def test_a_link_connects_again_after_an_unexpected_failure(peer, link, monkeypatch):
    """Guards against the same for any exception, such as one of a thread that can't start."""
    connect, failures = channel.connect, iter([RuntimeError("can't start new thread")])

    def fail_first(*args, **kwargs):
        for failure in failures:
            raise failure
        return connect(*args, **kwargs)

    monkeypatch.setattr(channel, "connect", fail_first)
    link.start()
    waiting.until(lambda: link.connected)


def test_silence_is_counted_while_the_connection_lasts(peer, link, monkeypatch):
    """A peer that hangs keeps its connection until the timeout of the channel."""
    monkeypatch.setattr(channel, "PEER_TIMEOUT_S", 0.3)
    link.start()
    waiting.until(lambda: link.last_heard_s)
    peer.silent.set()
    waiting.until(lambda: not link.connected)
    assert clock.monotonic_s() - link.last_heard_s > channel.PEER_TIMEOUT_S


def test_last_heard_outlives_the_connection(peer, link):
    """The silence of a lost replica would begin anew, or be unknown, when its connection ends."""
    link.start()
    waiting.until(lambda: link.last_heard_s)
    peer.stop()
    waiting.until(lambda: not link.connected)
    heard_s = link.last_heard_s
    ended_s = clock.monotonic_s()
    assert heard_s is not None and heard_s <= ended_s
    # Attempts to reconnect change nothing.
    waiting.until(lambda: clock.monotonic_s() > ended_s + 3 * peer_link.BACKOFF_MIN_S)
    assert link.last_heard_s == heard_s


@pytest.fixture(
    params=[
        None,
        channel.AGES_SUBPROTOCOL,
        channel.SILENCE_SUBPROTOCOL,
        channel.JOINT_SUBPROTOCOL,
    ]
)
def spoken(request, monkeypatch):
    """The subprotocol that peers select."""
    monkeypatch.setattr(channel, "_select_subprotocol", lambda conn, offered: request.param)
    return request.param


def test_only_peers_that_know_the_message_are_told_of_silent_entries(spoken, peer, link):
    """Builds before it would close the connection."""
    link.start()
    waiting.until(lambda: link.connected)
    is_known = spoken in (channel.SILENCE_SUBPROTOCOL, channel.JOINT_SUBPROTOCOL)
    assert link.send(messages.SilentEntries((("e", 2.5),))) == is_known
    assert link.send(messages.Confirmed(1))


def test_a_link_tells_whether_its_peer_knows_joint_memberships(spoken, peer, link):
    """A leader would write a record that a member can't read, also right after it was lost."""
    assert link.knows_joint is None
    link.start()
    waiting.until(lambda: link.connected)
    is_known = spoken == channel.JOINT_SUBPROTOCOL
    assert link.knows_joint is is_known
    peer.stop()
    waiting.until(lambda: not link.connected)
    assert link.knows_joint is is_known


def test_replica_tells_only_of_replicas_that_it_heard(tmp_path, peer):
    """A replica that never answered has no time of its own: zero would look like a long silence."""
    port, http_port, unused_port = cluster.free_ports(3)
    cfg = test_seeds.make_settings(tmp_path, port, http_port, (port, peer.address[1], unused_port))
    hosted.form_if_first(cfg, True)
    started = hosted.Hosted(cfg, [cfg.listen], lambda text: None, dict, lambda _: lambda _: None)
    started.start()
    try:
        waiting.until(started.replica.last_heard)
        assert set(started.replica.last_heard()) == {f"127.0.0.1:{peer.address[1]}"}
    finally:
        started.stop()
