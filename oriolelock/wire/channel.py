"""
oriolelock.wire.channel
~~~~~~~~~~~~~~~~~~~~~~~

    A WebSocket connection for typed messages that detects an unresponsive peer.
"""

import collections.abc
import hmac
import socket
import struct
import threading

import websockets.exceptions
import websockets.sync.client
import websockets.sync.connection
import websockets.sync.server

from oriolelock import clock
from oriolelock.wire import codec, errors, heartbeat, hello

__all__ = [
    "Address",
    "HEARTBEAT_INTERVAL_S",
    "PEER_TIMEOUT_S",
    "Channel",
    "accept",
    "close_soon",
    "connect",
    "serve",
]

# Host and port.
Address = tuple[str, int]

HEARTBEAT_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 3.0
# A blocked send can take twice as long, because the kernel first returns the partial write. With
# 3 s, a stalled connection was closed only after 9 s.
SEND_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Negotiated in the WebSocket handshake (RFC 6455, 1.9), since messages of landed builds can't be
# extended: they reject further fields.
AGES_SUBPROTOCOL = "oriolelock-ages"
# The messages of the one above, and the silence of entries between replicas.
SILENCE_SUBPROTOCOL = "oriolelock-silence"
# The messages of the one above, and joint memberships in the logs of groups.
JOINT_SUBPROTOCOL = "oriolelock-joint"
SUBPROTOCOLS = (JOINT_SUBPROTOCOL, SILENCE_SUBPROTOCOL, AGES_SUBPROTOCOL)


class Channel:
    """One end of a connection. ``send`` may be called from several threads.

    Raises ChannelClosed if the connection has ended since it was opened.
    """

    def __init__(self, conn: websockets.sync.connection.Connection, peer: hello.Hello | None):
        self._conn = conn
        _set_send_timeout(conn.socket)
        self._send_lock = threading.Lock()
        self._last_sent_s = clock.monotonic_s()
        self._last_received_s = clock.monotonic_s()
        self.peer = peer
        # Whether both ends know pings and aged deltas; older builds negotiate no subprotocol.
        self.knows_ages = conn.subprotocol in SUBPROTOCOLS
        # Whether both ends know ``control.messages.SilentEntries``.
        self.knows_silence = conn.subprotocol in (JOINT_SUBPROTOCOL, SILENCE_SUBPROTOCOL)
        # Whether both ends know ``consensus.messages.Membership.old_voters``.
        self.knows_joint = conn.subprotocol == JOINT_SUBPROTOCOL
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.messages_received = 0

    @property
    def last_received_s(self) -> float:
        """Monotonic time of the last message received, heartbeats included.

        Before the first message it is the time at which the connection was made.
        """
        return self._last_received_s

    def send(self, msg: object) -> None:
        """Encode and send one message; raises ChannelClosed."""
        self.send_bytes(codec.encode(msg))

    def send_bytes(self, data: bytes) -> None:
        """Send an already encoded message, so that a fan-out to many peers encodes it once."""
        with self._send_lock:
            self._send_with_lock_held(data)

    def _send_with_lock_held(self, data):
        try:
            self._conn.send(data)
            self._last_sent_s = clock.monotonic_s()
            self.bytes_sent += len(data)
            self.messages_sent += 1
        except (websockets.exceptions.ConnectionClosed, OSError) as exc:
            raise errors.ChannelClosed(str(exc)) from exc

    def recv(self, timeout_s: float | None = None) -> object | None:
        """Return the next message other than a heartbeat, or None after ``timeout_s`` seconds.

        Sends heartbeats while waiting. Raises ChannelClosed when the connection has ended or
        nothing has been received for ``PEER_TIMEOUT_S``, and DecodeError for an invalid message.
        """
        deadline_s = None if timeout_s is None else clock.monotonic_s() + timeout_s
        while True:
            wait_s = HEARTBEAT_INTERVAL_S
            if deadline_s is not None:
                wait_s = max(0.0, min(wait_s, deadline_s - clock.monotonic_s()))
            data = self._recv_bytes(wait_s)
            # Needed even if messages keep arriving: a peer that only sends must get heartbeats.
            self.keep_alive()
            if data is not None:
                msg = codec.decode(data)
                if not isinstance(msg, heartbeat.Heartbeat):
                    return msg
            if deadline_s is not None and clock.monotonic_s() >= deadline_s:
                return None

    def _recv_bytes(self, timeout_s):
        try:
            data = self._conn.recv(timeout=timeout_s)
        except TimeoutError:
            return None
        except (websockets.exceptions.ConnectionClosed, OSError) as exc:
            raise errors.ChannelClosed(str(exc)) from exc
        self._last_received_s = clock.monotonic_s()
        if isinstance(data, str):
            raise errors.DecodeError("received a text frame, expected a binary frame")
        self.bytes_received += len(data)
        self.messages_received += 1
        return data

    def keep_alive(self) -> None:
        """Send a heartbeat if one is due; raises ChannelClosed if the peer has timed out."""
        now = clock.monotonic_s()
        if now - self._last_received_s > PEER_TIMEOUT_S:
            self.close()
            raise errors.ChannelClosed(f"peer silent for {PEER_TIMEOUT_S} s")
        if now - self._last_sent_s < HEARTBEAT_INTERVAL_S:
            return
        # No heartbeat is needed during another send. Waiting for a blocked send would delay the
        # detection of an unresponsive peer.
        if self._send_lock.acquire(blocking=False):
            try:
                self._send_with_lock_held(codec.encode(heartbeat.Heartbeat()))
            finally:
                self._send_lock.release()

    def close(self) -> None:
        """Close the connection without waiting long for the closing handshake."""
        try:
            if self._send_lock.locked():
                # A send blocked on a full buffer holds a lock that close() needs.
                self._conn.socket.shutdown(socket.SHUT_RDWR)
            self._conn.close_timeout = 0.2
            self._conn.close()
        except (websockets.exceptions.WebSocketException, OSError):
            pass


def close_soon(channel: Channel) -> None:
    """Close a connection in a thread: a peer that doesn't answer holds up the closing handshake."""
    threading.Thread(target=channel.close, name="close", daemon=True).start()


def _set_send_timeout(sock):
    """Make sends fail after ``SEND_TIMEOUT_S`` if the peer stops reading.

    A blocked send holds a lock that receiving and closing need, so nothing else could end the
    connection.
    """
    seconds = int(SEND_TIMEOUT_S)
    timeval = struct.pack("@ll", seconds, int((SEND_TIMEOUT_S - seconds) * 1e6))
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval)
    except OSError as exc:
        # The thread of the connection that receives closes the socket as soon as it has ended.
        raise errors.ChannelClosed(f"ended after it was opened: {exc}") from exc


def connect(
    address: Address,
    greeting: hello.Hello,
    timeout_s: float = CONNECT_TIMEOUT_S,
    offer_compression: bool = False,
    make_first: collections.abc.Callable[[Channel], collections.abc.Iterable[object]] = (
        lambda channel: ()
    ),
) -> Channel:
    """Connect and perform the handshake; raises ChannelClosed or HandshakeRefused.

    ``offer_compression``: compress the messages of both directions if the peer agrees (RFC 7692).
    ``make_first(channel)`` returns messages that are sent behind the greeting, without waiting for
    the reply to it.
    """
    try:
        conn = websockets.sync.client.connect(
            f"ws://{address[0]}:{address[1]}/",
            open_timeout=timeout_s,
            close_timeout=1,
            ping_interval=None,
            compression="deflate" if offer_compression else None,
            subprotocols=SUBPROTOCOLS,
            max_size=MAX_MESSAGE_BYTES,
            proxy=None,
        )
    except (OSError, websockets.exceptions.WebSocketException) as exc:
        raise errors.ChannelClosed(f"{address[0]}:{address[1]}: {exc}") from exc
    channel = Channel(conn, None)
    try:
        channel.send(greeting)
        for msg in make_first(channel):
            channel.send(msg)
        reply = channel.recv(timeout_s)
    except errors.WireError:
        channel.close()
        raise
    if not isinstance(reply, hello.HelloReply) or reply.error:
        channel.close()
        reason = (
            reply.error
            if isinstance(reply, hello.HelloReply)
            else f"unexpected reply to the greeting: {reply!r}"
        )
        raise errors.HandshakeRefused(reason)
    return channel


def accept(
    conn,
    name: str,
    cluster: str,
    token: str,
    count: collections.abc.Callable[[str], None] = lambda metric: None,
) -> Channel | None:
    """Perform the handshake of an incoming connection; returns None if it is refused.

    ``count`` increments the counter with the given name.
    """
    try:
        channel = Channel(conn, None)
        greeting = channel.recv(CONNECT_TIMEOUT_S)
        error = _handshake_error(greeting, cluster, token)
        channel.send(hello.HelloReply(name, error))
    except errors.ChannelClosed:
        return None
    except errors.DecodeError as exc:
        channel.send(hello.HelloReply(name, str(exc)))
        error = str(exc)
        count("wire.bad_message")
    if error:
        count("wire.refused")
        channel.close()
        return None
    channel.peer = greeting
    return channel


def _handshake_error(greeting, cluster, token):
    if not isinstance(greeting, hello.Hello):
        return "the first message must be a greeting"
    if greeting.protocol != hello.PROTOCOL_VERSION:
        return f"protocol {greeting.protocol}, this process speaks {hello.PROTOCOL_VERSION}"
    if greeting.cluster != cluster:
        return "wrong cluster"
    if not hmac.compare_digest(greeting.token.encode(), token.encode()):
        return "wrong token"
    return ""


def _select_subprotocol(_conn, offered):
    return next((known for known in SUBPROTOCOLS if known in offered), None)


def serve(
    address: Address, handle: collections.abc.Callable[[object], None]
) -> websockets.sync.server.Server:
    """Listen on ``address``; ``handle`` is called in a new thread for each connection."""
    return websockets.sync.server.serve(
        handle,
        address[0],
        address[1],
        open_timeout=CONNECT_TIMEOUT_S,
        close_timeout=1,
        ping_interval=None,
        select_subprotocol=_select_subprotocol,
        # Used on connections of which the client offers it.
        compression="deflate",
        max_size=MAX_MESSAGE_BYTES,
    )
