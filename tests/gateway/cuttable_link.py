"""A TCP forwarder that a test can cut as a network does."""

import contextlib
import socket
import struct
import threading

__all__ = ["CuttableLink"]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CuttableLink:
    """Forwards to ``target``.

    ``cut("hang")``: nothing passes, and new connections are not answered; ``cut("reset")``:
    connections are reset and new ones refused; ``cut("refuse")``: only new ones are refused.
    """

    def __init__(self, target):
        self._target = target
        self._pairs = []
        self._hanging = threading.Event()
        self._fillers = []
        self._listener = None
        # Nobody listens during some cuts, and the kernel must not give the port to others then.
        self._holder = socket.socket()
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._holder.bind(("127.0.0.1", 0))
        self.address = self._holder.getsockname()
        self._listen()

    def _listen(self):
        self._listener = socket.create_server(self.address, backlog=64)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                near, _ = listener.accept()
                far = socket.create_connection(self._target)
                self._pairs.append((near, far))
                for source, sink in ((near, far), (far, near)):
                    threading.Thread(target=self._carry, args=(source, sink), daemon=True).start()

    def _carry(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if not self._hanging.is_set():
                    sink.sendall(data)
            if not self._hanging.is_set():
                sink.shutdown(socket.SHUT_WR)

    def cut(self, how):
        """Cut the link; see the class."""
        self._stop_listening()
        if how == "hang":
            self._hanging.set()
            self._listen_without_answering()
        elif how == "reset":
            self._reset()

    def _stop_listening(self):
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def _listen_without_answering(self):
        # The kernel drops connection attempts while the queue of those to be accepted is full.
        self._listener = socket.create_server(self.address, backlog=0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def _reset(self):
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    sock.shutdown(socket.SHUT_RD)
                sock.close()

    def restore(self):
        """End the cut. Connections that hung have lost bytes and are reset."""
        self._stop_listening()
        if self._hanging.is_set():
            self._reset()
            self._hanging.clear()
        self._listen()

    def close(self):
        self._stop_listening()
        self._holder.close()
        self._reset()
