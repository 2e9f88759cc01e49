"""
oriolelock.distribution.outbox
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Sends the messages of a queue over a connection, in a separate thread.
"""

import queue

from oriolelock.wire import channel, errors

__all__ = ["run_writer", "stop_writer"]


def run_writer(link: channel.Channel, outbox: queue.Queue) -> None:
    """Send queued messages until ``stop_writer`` is called or the connection ends."""
    while True:
        msg = outbox.get()
        if msg is None:
            return
        try:
            link.send(msg)
        except errors.ChannelClosed:
            return


def stop_writer(outbox: queue.Queue) -> None:
    """Make ``run_writer`` return; if the queue is full, messages are dropped."""
    while True:
        try:
            outbox.put_nowait(None)
            return
        except queue.Full:
            try:
                outbox.get_nowait()
            except queue.Empty:
                pass
