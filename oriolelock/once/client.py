"""
oriolelock.once.client
~~~~~~~~~~~~~~~~~~~~~~

    An entry's use of the at-most-once record: claim a key, then complete or release it.
"""

import collections.abc
import concurrent.futures
import dataclasses
import threading
import uuid

from oriolelock import clock, logs
from oriolelock.distribution import errors
from oriolelock.once import messages

__all__ = ["Claim", "Client", "Unreachable"]

LEASE_S = 5.0
# Kept back for the time between the check and the first byte on the wire.
LEASE_MARGIN_S = 0.25
CALL_TIMEOUT_S = 1.0
RESEND_PAUSE_S = 0.05
# After this time control has marked a lost entry's claims itself.
SETTLE_LIMIT_S = 60.0
SETTLE_PAUSE_S = 0.5
SETTLE_THREADS = 4
MAX_BODY_BYTES = 16 * 1024

log = logs.get_logger("once")


@dataclasses.dataclass(frozen=True)
class Claim:
    """A granted claim. ``lease_end_s`` is of the monotonic clock."""

    key: str
    claim_id: str
    lease_end_s: float

    def may_dispatch(self, now: float) -> bool:
        """Return True while the request may still be sent. Checked right before each send."""
        return now < self.lease_end_s - LEASE_MARGIN_S


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """The record gave no result in time; a claim that it may have granted is released."""


class Client:
    """Thread-safe. ``call`` is ``Uplink.call``.

    ``is_cut_off`` tells that control has not been heard for so long that waiting for the
    record would only hold up the caller.
    """

    def __init__(
        self,
        entry: str,
        call: collections.abc.Callable[[object, float], object],
        is_cut_off: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self._entry = entry
        self._call = call
        self._is_cut_off = is_cut_off
        self._stopping = threading.Event()
        self._settling = concurrent.futures.ThreadPoolExecutor(SETTLE_THREADS, "once")

    def claim(self, key: str, digest: str, end_s: float) -> Claim | Unreachable | object:
        """Return a Claim, Unreachable, or the record's answer (``once.messages``).

        The claim is resent with the same id until ``end_s`` of the monotonic clock.
        """
        if self._is_cut_off():
            return Unreachable()
        # The lease counts from before the first send: the record can't have granted earlier.
        start_s = clock.monotonic_s()
        claim = Claim(key, uuid.uuid4().hex, start_s + LEASE_S)
        msg = messages.ClaimKey(key, digest, self._entry, claim.claim_id, LEASE_S)
        end_s = min(end_s, claim.lease_end_s - LEASE_MARGIN_S)
        while (left_s := end_s - clock.monotonic_s()) > 0:
            try:
                reply = self._call(msg, min(left_s, CALL_TIMEOUT_S))
            except errors.DistributionError as exc:
                if self._stopping.wait(min(RESEND_PAUSE_S, left_s)) or self._is_cut_off():
                    break
                log.info("claim is sent again: {}", exc)
                continue
            return claim if isinstance(reply, messages.Granted) else reply
        self.release(claim, ran=False)
        return Unreachable()

    def complete(self, claim: Claim, status: int, content_type: str, body: bytes) -> None:
        """Record the answer, in the background; a body over 16 KB is not kept."""
        too_large = len(body) > MAX_BODY_BYTES
        answer = messages.Answer(status, content_type, b"" if too_large else body, too_large)
        self._settle(messages.CompleteKey(claim.key, claim.claim_id, answer))

    def release(self, claim: Claim, ran: bool) -> None:
        """Give the key back, in the background; ``ran``: the request may have run."""
        self._settle(messages.ReleaseKey(claim.key, claim.claim_id, ran))

    def _settle(self, msg):
        try:
            self._settling.submit(self._settle_now, msg, clock.monotonic_s() + SETTLE_LIMIT_S)
        except RuntimeError:
            log.warning("{} after the stop is dropped", msg.wire_name)

    def _settle_now(self, msg, end_s):
        while True:
            try:
                reply = self._call(msg, CALL_TIMEOUT_S)
            except errors.DistributionError as exc:
                if self._stopping.is_set() or clock.monotonic_s() >= end_s:
                    log.warning("{} was not recorded: {}", msg.wire_name, exc)
                    return
                self._stopping.wait(SETTLE_PAUSE_S)
                continue
            if not isinstance(reply, messages.Done):
                log.warning("{} was answered with {}", msg.wire_name, type(reply).__name__)
            return

    def close(self) -> None:
        """Try what is pending once more, then return."""
        self._stopping.set()
        self._settling.shutdown(wait=True)
