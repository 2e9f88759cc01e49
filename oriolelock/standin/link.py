"""
oriolelock.standin.link
~~~~~~~~~~~~~~~~~~~~~~~

    A TCP forwarder that delays, cuts or silences what it carries.
"""

import socket
import threading

from oriolelock import logs
from oriolelock.settings import standin_link
from oriolelock.standin import pump

__all__ = ["Link"]

CONNECT_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 256

log = logs.get_logger("stand-in")


class Link:
    """Forwards from ``listen`` to ``target``. ``set_state`` acts on open connections too."""

    def __init__(self, cfg: standin_link.LinkSettings):
        self._cfg = cfg
        self._lock = threading.Lock()
        self._pairs: set[pump.Pair] = set()
        self._listener: socket.socket | None = None
        self._address = cfg.listen
        self.state = cfg.state

    def start(self) -> tuple[str, int]:
        """Listen and return the bound address; raises OSError."""
        listener = socket.create_server(self._address, backlog=LISTEN_BACKLOG)
        self._listener, self._address = listener, listener.getsockname()
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return self._address

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._close_listener()
        self._close_pairs()

    def set_state(self, state: standin_link.LinkState) -> None:
        """Change delay, cut and silence."""
        with self._lock:
            old, self.state = self.state, state
            if state.silence != "none":
                for pair in self._pairs:
                    pair.silent = True
        if state.cut:
            self._close_listener()
            self._close_pairs()
        elif old.cut:
            self.start()

    def _close_listener(self):
        listener, self._listener = self._listener, None
        if listener is not None:
            # Wakes the thread that is blocked in accept.
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def _close_pairs(self):
        with self._lock:
            pairs, self._pairs = self._pairs, set()
        for pair in pairs:
            pair.close()

    def _accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._open, args=(near,), daemon=True).start()

    def _open(self, near):
        try:
            far = socket.create_connection(self._cfg.target, CONNECT_TIMEOUT_S)
        except OSError as exc:
            log.info(f"{self._cfg.name}: target unreachable: {exc}")
            near.close()
            return
        far.settimeout(None)
        pair = pump.Pair(near, far, lambda: self.state.delay_ms / 1000, self._forget)
        with self._lock:
            pair.silent = self.state.silence == "all"
            self._pairs.add(pair)
        pair.start()
        if self.state.cut:
            pair.close()

    def _forget(self, pair):
        with self._lock:
            self._pairs.discard(pair)
