"""Connections that end between their opening and the first use."""

import websockets.sync.client

__all__ = ["end_first"]


def end_first(monkeypatch, count):
    """Let the sockets of the next ``count`` connections close once they are open.

    The thread that receives does so when the peer ends a connection at once.
    """
    connect = websockets.sync.client.connect
    left = [count]

    def connect_and_end(*args, **kwargs):
        conn = connect(*args, **kwargs)
        if left[0]:
            left[0] -= 1
            conn.socket.close()
        return conn

    monkeypatch.setattr(websockets.sync.client, "connect", connect_and_end)
