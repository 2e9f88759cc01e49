"""
oriolelock.entry.flow
~~~~~~~~~~~~~~~~~~~~~

    Processes one request: validation, admission, claim, attempts at endpoints, outcome.
"""

import collections.abc
import concurrent.futures
import dataclasses
import uuid

from oriolelock import clock, metrics, outcomes
from oriolelock.admission import work_item
from oriolelock.endpoints import errors, liveness, pool, request, results
from oriolelock.entry import (
    attempt_results,
    caller_request,
    claim_outcomes,
    forwarding,
    reply,
    steering,
)
from oriolelock.model import configuration, operation
from oriolelock.once import client

__all__ = ["Flow"]

FIRST_BYTE_MIN_S = 0.5
# Share of the remaining time that a reused connection may take to send its first byte.
FIRST_BYTE_TIME_SHARE = 0.3
MAX_ATTEMPTS = 4
# After two lost connections, the request itself is the probable cause.
MAX_LOST_CONNECTIONS = 2
CRASH_REPORT_WAIT_S = 2.5

CrashReporter = collections.abc.Callable[[str, str], concurrent.futures.Future | None]


@dataclasses.dataclass(frozen=True)
class _CheckedRequest:
    """A request that passed validation. ``deadline_s`` is a time of the monotonic clock."""

    req: caller_request.CallerRequest
    parsed: caller_request.ParsedHeaders
    request_id: str
    op: operation.Operation
    fingerprint: str
    deadline_s: float


class Flow:
    """Processes requests. Thread-safe if the objects passed to it are.

    ``report_crash(fingerprint, endpoint name)`` reports a crashed endpoint to control and returns
    a future that completes when the other entries know of it, or None;
    ``is_refusing(address)`` returns whether connections to the address are refused.
    """

    def __init__(
        self,
        config: collections.abc.Callable[[], configuration.Configuration],
        is_ready: collections.abc.Callable[[], bool],
        exchanges: pool.Pool,
        once: client.Client,
        decisions: steering.Steering,
        counters: metrics.Metrics,
        report_crash: CrashReporter = lambda fingerprint, name: None,
        is_refusing: collections.abc.Callable[[str], bool] = liveness.is_refusing,
    ):
        self._config = config
        self._is_ready = is_ready
        self._pool = exchanges
        self._once_client = once
        self._steering = decisions
        self._counters = counters
        self._report_crash = report_crash
        self._is_refusing = is_refusing

    def serve(self, req: caller_request.CallerRequest, now: float, wall_s: float) -> reply.Reply:
        """Return the reply to ``req``, received at ``now`` (monotonic) and ``wall_s`` (Unix)."""
        request_id = uuid.uuid4().hex
        cfg = self._config()
        checked = self._check(req, request_id, cfg, now, wall_s)
        if isinstance(checked, outcomes.NotRun):
            return reply.Reply(checked, request_id, cfg.version)
        admitted = self._steering.admit(
            checked.parsed.service, checked.op, checked.deadline_s, clock.monotonic_s(), req.is_gone
        )
        if isinstance(admitted, outcomes.NotRun):
            return reply.Reply(admitted, request_id, cfg.version)
        slot = _WorkerSlot(admitted)
        try:
            if checked.op.idempotent:
                outcome = self._run_attempts(checked, slot, None)[0]
            else:
                outcome = self._run_under_claim(checked, slot)
        finally:
            if slot.item is not None:
                self._steering.leave(slot.item, clock.monotonic_s())
        return reply.Reply(outcome, request_id, cfg.version)

    def _check(self, req, request_id, cfg, now, wall_s):
        parsed = caller_request.parse(req, wall_s)
        if isinstance(parsed, outcomes.NotRun):
            return parsed
        preset = cfg.preset_in_force()
        if not self._is_ready() or preset is None:
            return outcomes.NotRun("not-ready", 1000.0)
        policy = preset.find_service(parsed.service)
        if policy is None:
            return outcomes.NotRun("unknown-service")
        op = policy.find_operation(parsed.operation)
        if op is None:
            return outcomes.NotRun("bad-request")
        if not op.idempotent and not parsed.key:
            return outcomes.NotRun("key-missing")
        fingerprint = forwarding.fingerprint(parsed, req)
        blocked_s = self._steering.blocked_s(fingerprint, now, wall_s)
        if blocked_s > 0.0:
            return outcomes.NotRun("quarantined", 1000 * max(1.0, blocked_s))
        deadline_s = now + min(parsed.deadline_ms, op.timeout_ms) / 1000
        return _CheckedRequest(req, parsed, request_id, op, fingerprint, deadline_s)

    def _run_under_claim(self, checked, slot):
        """Run a request that must not run twice, under a claim on its idempotency key."""
        if not self._steering.has_endpoint(checked.parsed.service):
            return outcomes.NotRun("no-endpoint")
        digest = forwarding.body_digest(checked.parsed, checked.req)
        with self._steering.claiming(checked.parsed.service):
            claim = self._once_client.claim(checked.parsed.key, digest, checked.deadline_s)
        if not isinstance(claim, client.Claim):
            return claim_outcomes.outcome_of(claim)
        ran = True
        try:
            outcome, ran = self._run_attempts(checked, slot, claim)
        except BaseException:
            self._once_client.release(claim, ran)
            raise
        if isinstance(outcome, outcomes.Complete):
            headers = {name.lower(): value for name, value in outcome.headers}
            content_type = headers.get("content-type", "")
            self._once_client.complete(claim, outcome.status, content_type, outcome.body)
        else:
            self._once_client.release(claim, ran)
        return outcome

    def _run_attempts(self, checked, slot, claim):
        """Send the request, with retries; return the outcome and whether it may have run."""
        service = checked.parsed.service
        tried: set[str] = set()
        outcome = None
        attempt, lost_connections = 1, 0
        self._steering.first_attempt(service, clock.monotonic_s())
        while True:
            now = clock.monotonic_s()
            refusal = _check_time_left(checked, claim, now)
            if refusal:
                break
            target = self._steering.choose(service, checked.op.name, now, tried)
            if target is None:
                refusal = self._wait_for_endpoint(checked, slot, now)
                if refusal:
                    break
                tried.clear()
                continue
            tried.add(target.endpoint.name)
            try:
                result = self._attempt(checked, target, attempt, claim, now)
            except errors.UnsendableRequest:
                return outcomes.NotRun("bad-request"), False
            latest = attempt_results.outcome_of(result)
            outcome = latest if outcome is None else attempt_results.combine(outcome, latest)
            attempt += 1
            lost_connections += isinstance(result, results.ConnectionLost)
            is_last = attempt > MAX_ATTEMPTS or lost_connections >= MAX_LOST_CONNECTIONS
            if is_last or not self._may_retry(checked, result):
                return outcome, not isinstance(outcome, outcomes.NotRun)
            self._counters.count("request.retried")
        # The outcome of an earlier attempt takes precedence over the refusal of a further one.
        final = refusal if outcome is None else outcome
        return final, not isinstance(final, outcomes.NotRun)

    def _wait_for_endpoint(self, checked, slot, now):
        """Wait until an endpoint may be free; return None, or NotRun if there is none in time."""
        if not self._steering.has_endpoint(checked.parsed.service):
            return outcomes.NotRun("no-endpoint", 100.0)
        waiting_item, slot.item = slot.item, None
        readmitted = self._steering.wait_again(waiting_item, now, checked.req.is_gone)
        if isinstance(readmitted, outcomes.NotRun):
            return readmitted
        slot.item = readmitted
        return None

    def _may_retry(self, checked, result):
        if not attempt_results.may_retry(result, checked.op.idempotent):
            return False
        now, wall_s = clock.monotonic_s(), clock.wall_s()
        return self._steering.may_retry(checked.parsed.service, checked.fingerprint, now, wall_s)

    def _attempt(self, checked, target, attempt, claim, now):
        left_s = checked.deadline_s - now
        attempt_req = request.Request(
            request_id=checked.request_id,
            method=checked.req.method,
            target=checked.req.target,
            headers=forwarding.endpoint_headers(checked.req.headers),
            body=checked.req.body,
            idempotent=checked.op.idempotent,
            attempt=attempt,
            first_byte_timeout_s=max(FIRST_BYTE_MIN_S, FIRST_BYTE_TIME_SHARE * left_s),
            # The connection must be established while the lease still allows sending.
            connect_timeout_s=claim.lease_end_s - now if claim else None,
        )
        try:
            result = self._pool.exchange(attempt_req, target.endpoint, left_s)
        except BaseException:
            self._record_result(checked, target, results.NotSent("no-connection", 0.0))
            raise
        if result.silent_connections:
            self._counters.count("endpoint.silent", result.silent_connections)
        if isinstance(result, results.RefusedByEndpoint) and result.reason == "shed":
            self._counters.count("endpoint.shed")
        self._record_result(checked, target, result)
        return result

    def _record_result(self, checked, target, result):
        is_connection_lost = isinstance(result, results.ConnectionLost)
        is_death = is_connection_lost and self._is_refusing(target.endpoint.address)
        body_bytes = len(checked.req.body)
        now = clock.monotonic_s()
        if self._steering.finished(target, result, body_bytes, checked.fingerprint, is_death, now):
            self._counters.count("endpoint.crashed")
            report_future = self._report_crash(checked.fingerprint, target.endpoint.name)
            if report_future is not None:
                # After an immediate answer, the caller could resend the request to an entry that
                # does not yet know of this crash, and so reach a third endpoint.
                left_s = max(0.0, checked.deadline_s - now)
                concurrent.futures.wait([report_future], min(CRASH_REPORT_WAIT_S, left_s))


class _WorkerSlot:
    """The worker slot of a request. ``item`` is None while the request waits for another."""

    def __init__(self, item: work_item.WorkItem):
        self.item: work_item.WorkItem | None = item


def _check_time_left(checked, claim, now):
    if now >= checked.deadline_s:
        return outcomes.NotRun("deadline-passed")
    if claim and not claim.may_dispatch(now):
        return outcomes.NotRun("record-unreachable")
    return None
