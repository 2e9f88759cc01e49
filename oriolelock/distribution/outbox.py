"""
oriolelock.distribution.outbox
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Sends queued messages in a thread of its own.
"""

import queue

from oriolelock.wire import channel, errors

__all__ = ["stop_writer", "write_all"]


def write_all(link: channel.Channel, outbox: queue.Queue) -> None:
    """Send what is queued until ``stop_writer`` or the end of the connection."""
    while True:
        msg = outbox.get()
        if msg is None:
            return
        try:
            link.send(msg)
        except errors.ChannelClosed:
            return


def stop_writer(outbox: queue.Queue) -> None:
    """Have ``write_all`` return; messages are dropped when the queue is full."""
    while True:
        try:
            outbox.put_nowait(None)
            return
        except queue.Full:
            try:
                outbox.get_nowait()
            except queue.Empty:
                pass
