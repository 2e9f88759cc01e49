"""
oriolelock.once.client
~~~~~~~~~~~~~~~~~~~~~~

    An entry's client of the at-most-once record: claims a key, then completes or releases it.
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
# Covers the time between the check of the lease and the first byte on the wire.
LEASE_MARGIN_S = 0.25
CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
# By this time the control replicas have marked the claim as unknown on their own.
UPDATE_RETRY_LIMIT_S = 60.0
UPDATE_RETRY_DELAY_S = 0.5
UPDATE_THREADS = 4
MAX_BODY_BYTES = 16 * 1024

log = logs.get_logger("once")


@dataclasses.dataclass(frozen=True)
class Claim:
    """A granted claim. ``lease_end_s`` is a time of the monotonic clock, in seconds."""

    key: str
    claim_id: str
    lease_end_s: float

    def may_dispatch(self, now: float) -> bool:
        """Return whether the lease still allows sending; to be checked before each send."""
        return now < self.lease_end_s - LEASE_MARGIN_S


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """The record sent no result in time; the claim is released, as it may have been granted."""


class Client:
    """Client of the record; thread-safe. ``call`` is ``Uplink.call``.

    ``is_cut_off`` returns True when nothing has arrived from control for so long that waiting
    for the record would only delay the caller's answer.
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
        self._executor = concurrent.futures.ThreadPoolExecutor(UPDATE_THREADS, "once")

    def claim(self, key: str, digest: str, deadline_s: float) -> Claim | Unreachable | object:
        """Return a Claim, Unreachable, or another reply of the record (``once.messages``).

        The claim is resent with the same id until ``deadline_s`` of the monotonic clock.
        """
        if self._is_cut_off():
            return Unreachable()
        # The lease counts from before the first send, so that it ends here no later than in the
        # record.
        start_s = clock.monotonic_s()
        claim = Claim(key, uuid.uuid4().hex, start_s + LEASE_S)
        msg = messages.ClaimKey(key, digest, self._entry, claim.claim_id, LEASE_S)
        deadline_s = min(deadline_s, claim.lease_end_s - LEASE_MARGIN_S)
        while (left_s := deadline_s - clock.monotonic_s()) > 0:
            try:
                reply = self._call(msg, min(left_s, CALL_TIMEOUT_S))
            except errors.DistributionError as exc:
                if self._stopping.wait(min(RETRY_DELAY_S, left_s)) or self._is_cut_off():
                    break
                log.info("claim failed, retrying: {}", exc)
                continue
            return claim if isinstance(reply, messages.Granted) else reply
        self.release(claim, ran=False)
        return Unreachable()

    def complete(self, claim: Claim, status: int, content_type: str, body: bytes) -> None:
        """Store the answer in the background; a body of more than 16 KiB is left out."""
        too_large = len(body) > MAX_BODY_BYTES
        answer = messages.Answer(status, content_type, b"" if too_large else body, too_large)
        self._queue_update(messages.CompleteKey(claim.key, claim.claim_id, answer))

    def release(self, claim: Claim, ran: bool) -> None:
        """Release the key in the background; ``ran`` says that the request may have run."""
        self._queue_update(messages.ReleaseKey(claim.key, claim.claim_id, ran))

    def _queue_update(self, msg):
        try:
            self._executor.submit(
                self._send_update, msg, clock.monotonic_s() + UPDATE_RETRY_LIMIT_S
            )
        except RuntimeError:
            log.warning("client is closed, {} was dropped", msg.wire_name)

    def _send_update(self, msg, deadline_s):
        while True:
            try:
                reply = self._call(msg, CALL_TIMEOUT_S)
            except errors.DistributionError as exc:
                if self._stopping.is_set() or clock.monotonic_s() >= deadline_s:
                    log.warning("gave up sending {}: {}", msg.wire_name, exc)
                    return
                self._stopping.wait(UPDATE_RETRY_DELAY_S)
                continue
            if not isinstance(reply, messages.Done):
                log.warning("unexpected reply to {}: {}", msg.wire_name, type(reply).__name__)
            return

    def close(self) -> None:
        """Try each pending completion and release once more, then return."""
        self._stopping.set()
        self._executor.shutdown(wait=True)
