"""
oriolelock.distribution.pings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds how long the messages of a parent took, by the pings that they return.
"""

__all__ = ["Pings"]

# Until the next ping after a slow one, or one that was not returned yet.
INTERVAL_S = 1.0
USUAL_INTERVAL_S = 4.0
# After a fast one. The clocks of two machines drift apart by a few milliseconds meanwhile.
QUIET_INTERVAL_S = 30.0
SLOW_S = 0.25
# What a ping takes too long adds to ages at each hop.
FAST_S = 0.075


class Pings:
    """The pings of one connection.

    A parent returns the latest one and how long it has held it, so that a message was made that
    long after the ping was sent, or later. Only the way of the ping makes this inexact: one that
    was fast stays the best for all later messages, also while these are slow.

    ``sent_s``: time of the ping that was sent with the subscription. All times are monotonic.
    """

    def __init__(self, sent_s: float):
        self._sent_s = sent_s
        self._returned_s: float | None = None
        self._interval_s = INTERVAL_S

    def take_due(self, now: float) -> bool:
        """Return whether a ping is due, and count it as sent now."""
        if now < self._sent_s + self._interval_s:
            return False
        self._sent_s, self._interval_s = now, INTERVAL_S
        return True

    def made_s(self, echo_s: float, held_s: float, now: float) -> float:
        """Return the earliest time at which a message that arrived now can have been made.

        ``echo_s``: when the ping was sent that it returns, ``held_s`` seconds after its arrival.
        """
        made_s = min(now, echo_s + held_s)
        if echo_s != self._returned_s:
            self._returned_s = echo_s
            self._interval_s = _interval_s(now - made_s)
        return made_s


def _interval_s(took_s):
    if took_s < FAST_S:
        return QUIET_INTERVAL_S
    return USUAL_INTERVAL_S if took_s < SLOW_S else INTERVAL_S
