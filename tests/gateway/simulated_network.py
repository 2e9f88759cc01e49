"""Entries' processes on a simulated network in virtual time.

The gateway's own code runs on it: loops, connections to endpoints, gossip. Only sockets, clocks and
the waiting of the loops are simulated.
"""

import collections
import errno
import heapq
import itertools
import selectors
import socket

from oriolelock import clock
from oriolelock.gateway import gossip
from oriolelock.http1 import loop as loops
from oriolelock.http1 import outbound, read_pacer

__all__ = ["LOSS_RETRY_S", "Network", "Process"]

# TCP's first retransmission time-out.
LOSS_RETRY_S = 0.2
# After how much silence the kernel ends a connection with data in transit, and an idle one.
UNACKNOWLEDGED_S = 1.2
KEEPALIVE_S = 1.0
MAX_QUEUED_DATAGRAMS = 200
# More from one process is a storm: entries that answer each other without end.
MAX_DATAGRAMS_PER_S = 1000
EPOCH_S = 1_800_000_000.0
RETRANSMISSIONS_MAX = 6


class Network:
    """Virtual time, hosts, and what happens between them.

    ``delay_s(a, b)``: one way between two hosts; ``is_cut(a, b)``: whether nothing passes.
    """

    def __init__(self, rng, delay_s, is_cut, datagram_loss=0.01, segment_loss=0.0):
        self.now = 0.0
        self.rng = rng
        self.delay_s = delay_s
        self.is_cut = is_cut
        self.datagram_loss = datagram_loss
        self.segment_loss = segment_loss
        self._events = []
        self._numbers = itertools.count()
        self.current = None
        # By address.
        self.listeners = {}
        self.datagram_sockets = {}

    def at(self, at_s, function):
        heapq.heappush(self._events, (at_s, next(self._numbers), function))

    def later(self, delay_s, function):
        self.at(self.now + delay_s, function)

    def run_until(self, end_s):
        while self._events and self._events[0][0] <= end_s:
            self.now, _, function = heapq.heappop(self._events)
            function()
        self.now = end_s

    def monotonic_s(self):
        return self.now + (self.current.clock_offset_s if self.current else 0.0)

    def wall_s(self):
        return EPOCH_S + self.now + (self.current.wall_skew_s if self.current else 0.0)

    def patch(self, monkeypatch):
        """Let the gateway's modules use this network."""
        monkeypatch.setattr(clock, "monotonic_s", self.monotonic_s)
        monkeypatch.setattr(clock, "wall_s", self.wall_s)
        monkeypatch.setattr(outbound, "socket", _SocketModule(self, TcpSocket))
        monkeypatch.setattr(gossip, "socket", _SocketModule(self, DatagramSocket))


class _SocketModule:
    AF_INET, SOCK_STREAM, SOCK_DGRAM = socket.AF_INET, socket.SOCK_STREAM, socket.SOCK_DGRAM
    SOL_SOCKET, SO_ERROR = socket.SOL_SOCKET, socket.SO_ERROR

    def __init__(self, network, kind):
        self._network = network
        self._kind = kind

    def socket(self, *_):
        return self._kind(self._network, self._network.current)


class Process:
    """A process with a loop; it can be frozen and killed."""

    def __init__(self, network, host, rng):
        self.network = network
        self.host = host
        self.clock_offset_s = rng.uniform(100.0, 10000.0)
        self.wall_skew_s = rng.uniform(-0.1, 0.1)
        self.is_alive = True
        self.frozen_until_s = float("-inf")
        self.sockets = {}
        self._wake_s = float("inf")
        self._is_running = False
        # By second.
        self._datagrams = collections.Counter()
        self.loop = _Loop(self)

    @property
    def is_frozen(self):
        return self.network.now < self.frozen_until_s

    def wake(self, at_s):
        """Let the loop run at a time of the network."""
        at_s = max(at_s, self.frozen_until_s, self.network.now)
        if not self._is_running and self.is_alive and at_s < self._wake_s:
            self._wake_s = at_s
            self.network.at(at_s, lambda: self._run(at_s))

    def _run(self, at_s):
        if at_s != self._wake_s or not self.is_alive:
            return
        self._wake_s = float("inf")
        if self.is_frozen:
            self.wake(self.frozen_until_s)
            return
        self.within(self.loop.iterate)

    def within(self, function):
        """Call a function as the process."""
        previous, self.network.current = self.network.current, self
        was_running, self._is_running = self._is_running, True
        try:
            return function()
        finally:
            self.network.current, self._is_running = previous, was_running
            if not was_running:
                self.wake(self.loop.next_s())

    def count_datagram(self):
        self._datagrams[int(self.network.now)] += 1
        assert self._datagrams[int(self.network.now)] <= MAX_DATAGRAMS_PER_S, "datagram storm"

    def freeze(self, duration_s):
        self.frozen_until_s = max(self.frozen_until_s, self.network.now + duration_s)

    def kill(self):
        self.is_alive = False
        for sock in list(self.sockets):
            sock.close()


class _Loop(loops.Loop):
    """The gateway's loop with simulated waiting."""

    def __init__(self, process):
        self._process = process
        self._timers = []
        self._timer_ids = itertools.count()
        self._pending_calls = collections.deque()
        self.read_pacer = read_pacer.ReadPacer()
        self._watched = {}
        self._ready = {}

    def watch(self, sock, events, callback):
        if events:
            self._watched[sock] = (events, callback)
            self.notify(sock)
        else:
            self._watched.pop(sock, None)

    def notify(self, sock):
        """Note that a socket may have become ready."""
        if sock in self._watched and sock.ready() & self._watched[sock][0]:
            self._ready[sock] = None
            self._process.wake(self._process.network.now)

    def call_soon(self, callback):
        self._pending_calls.append(callback)
        self._process.wake(self._process.network.now)

    def call_at(self, at_s, callback):
        timer = super().call_at(at_s, callback)
        self._process.wake(at_s - self._process.clock_offset_s)
        return timer

    def next_s(self):
        now = self._process.network.now
        if self._pending_calls or any(map(self._mask, self._ready)):
            return now
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return float("inf")
        # Not before the timer's time in the process's clock, in spite of rounding.
        return max(now, self._timers[0][0] - self._process.clock_offset_s + 1e-6)

    def _mask(self, sock):
        mask, _ = self._watched.get(sock, (0, None))
        return mask & sock.ready()

    def iterate(self):
        """Do what ``run`` does once."""
        now = clock.monotonic_s()
        found = [(sock, self._mask(sock)) for sock in self._ready]
        self._ready = {}
        calls = [(sock, self._watched[sock][1], mask) for sock, mask in found if mask]
        for _, callback, mask in calls:
            callback(mask)
        for sock, _, _ in calls:
            if self._mask(sock):
                self._ready[sock] = None
        self._run_timers(now)
        for _ in range(len(self._pending_calls)):
            self._pending_calls.popleft()()

    def _run_callback(self, callback, *args):
        # An error must not be passed over in a test.
        callback(*args)


class _Socket:
    def __init__(self, network, process):
        self.network = network
        self.process = process
        self.is_open = True
        process.sockets[self] = None

    def setblocking(self, _):
        pass

    def setsockopt(self, *_):
        pass

    def _check_open(self):
        if not self.is_open:
            raise OSError(errno.EBADF, "closed")

    def _notify(self):
        if self.is_open and self.process.is_alive:
            self.process.loop.notify(self)

    def close(self):
        self.is_open = False
        self.process.sockets.pop(self, None)


class DatagramSocket(_Socket):
    def __init__(self, network, process):
        super().__init__(network, process)
        self._inbox = collections.deque()
        self._address = None

    def bind(self, address):
        self._address = address
        self.network.datagram_sockets[address] = self

    def ready(self):
        return selectors.EVENT_READ if self._inbox else 0

    def sendto(self, data, address):
        net, source = self.network, self._address
        self.process.count_datagram()
        if net.is_cut(source[0], address[0]) or net.rng.random() < net.datagram_loss:
            return
        net.later(net.delay_s(source[0], address[0]), lambda: deliver())

        def deliver():
            receiver = net.datagram_sockets.get(address)
            if receiver is not None and receiver.is_open:
                receiver.take(data, source)

    def take(self, data, source):
        if len(self._inbox) < MAX_QUEUED_DATAGRAMS:
            self._inbox.append((data, source))
            self._notify()

    def recvfrom(self, _):
        if not self._inbox:
            raise BlockingIOError
        return self._inbox.popleft()


class _Direction:
    """Segments of one direction of a connection, which arrive in order."""

    def __init__(self, network, source, target, on_expired):
        self._network = network
        self._source, self._target = source, target
        self._on_expired = on_expired
        self._queue = collections.deque()
        self._arrival_s = 0.0
        self._tries = 0
        self._is_waiting = False
        self.is_over = False

    def send(self, function):
        self._queue.append((self._network.now, function))
        if not self._is_waiting:
            self._pump()

    def _pump(self):
        net = self._network
        self._is_waiting = False
        while self._queue and not self.is_over:
            sent_s, function = self._queue[0]
            is_lost = net.is_cut(self._source, self._target)
            if is_lost or net.rng.random() < net.segment_loss:
                is_expired = net.now - sent_s >= UNACKNOWLEDGED_S
                if self._tries >= RETRANSMISSIONS_MAX or is_expired:
                    self.is_over = True
                    self._on_expired()
                    return
                self._is_waiting = True
                net.later(LOSS_RETRY_S * 2**self._tries, self._pump)
                self._tries += 1
                return
            self._tries = 0
            self._queue.popleft()
            at_s = net.now + net.delay_s(self._source, self._target)
            self._arrival_s = max(self._arrival_s + 1e-6, at_s)
            net.at(self._arrival_s, function)


class TcpSocket(_Socket):
    """Client side. A listener's ``accept(conn)`` returns the server side or None to refuse.

    Server sides have ``received(data)``, ``ended()`` and ``is_alive``; a silent listener accepts
    nothing and refuses nothing.
    """

    def __init__(self, network, process):
        super().__init__(network, process)
        self._data = bytearray()
        self._is_ended = False
        self._error = 0
        self._is_connected = False
        self._has_connect_result = False
        self._server = None
        self._up = self._down = None
        self.heard_s = 0.0

    def connect_ex(self, address):
        net, source, target = self.network, self.process.host, address[0]
        self._up = _Direction(net, source, target, lambda: self._fail(errno.ETIMEDOUT))
        self._down = _Direction(net, target, source, lambda: None)
        if not net.is_cut(source, target) and net.rng.random() >= net.segment_loss:
            net.later(net.delay_s(source, target), lambda: self._arrive(address))
        return errno.EINPROGRESS

    def _arrive(self, address):
        net = self.network
        listener = net.listeners.get(address)
        if listener is not None and listener.is_silent:
            return
        self._server = listener.accept(self) if listener is not None else None
        if net.is_cut(address[0], self.process.host):
            return
        error = 0 if self._server is not None else errno.ECONNREFUSED
        self._down.send(lambda: self._connected(error))

    def _connected(self, error):
        self._error, self._has_connect_result = error, True
        self._is_connected = not error
        self.heard_s = self.network.now
        if not error and not self.is_open:
            self._end_server()
        elif not error:
            self._keep_alive()
        self._notify()

    def _keep_alive(self):
        if not self.is_open or self._is_ended or self._error:
            return
        net = self.network
        silence_s = net.now - self.heard_s
        is_cut = net.is_cut(self.process.host, self._server.host)
        if silence_s >= KEEPALIVE_S and not is_cut and not self._server.is_silent:
            if not self._server.is_alive:
                self._fail(errno.ECONNRESET)
                return
            self.heard_s = net.now
        elif silence_s >= KEEPALIVE_S + UNACKNOWLEDGED_S:
            self._fail(errno.ETIMEDOUT)
            return
        net.later(KEEPALIVE_S / 4, self._keep_alive)

    def _fail(self, error):
        self._error = error
        self._notify()

    def getsockopt(self, *_):
        error, self._error = self._error, 0
        return error

    def ready(self):
        if not self.is_open:
            return 0
        mask = 0
        if self._data or self._is_ended or self._error:
            mask |= selectors.EVENT_READ
        if self._has_connect_result or self._error:
            mask |= selectors.EVENT_WRITE
        return mask

    def send(self, data):
        self._check_open()
        if self._error:
            raise OSError(self._error, "failed")
        data = bytes(data)
        self._up.send(lambda: self._reach(data))
        return len(data)

    def _reach(self, data):
        server = self._server
        if server.is_silent:
            self.network.later(UNACKNOWLEDGED_S, lambda: self._fail(errno.ETIMEDOUT))
        elif server.is_alive:
            server.received(data)
        else:
            self._down.send(lambda: self._fail(errno.ECONNRESET))

    def recv(self, size):
        self._check_open()
        if self._data:
            data = bytes(self._data[:size])
            del self._data[:size]
            return data
        if self._error:
            raise OSError(self._error, "failed")
        if self._is_ended:
            return b""
        raise BlockingIOError

    def respond(self, data):
        """Send bytes from the server's side; empty for the end."""
        self._down.send(lambda: self._take(data))

    def _take(self, data):
        self.heard_s = self.network.now
        self._is_ended = self._is_ended or not data
        self._data += data
        self._notify()

    def close(self):
        if self.is_open and self._is_connected:
            self._end_server()
        super().close()

    def _end_server(self):
        def arrive():
            if self._server.is_alive and not self._server.is_silent:
                self._server.ended()

        self._up.send(arrive)
