"""
oriolelock.entry.flow
~~~~~~~~~~~~~~~~~~~~~

    The way of one request: checks, admission, claim, attempts, outcome.
"""

import collections.abc
import concurrent.futures
import dataclasses
import uuid

from oriolelock import clock, metrics, outcomes
from oriolelock.admission import work_item
from oriolelock.endpoints import errors, liveness, pool, request, results
from oriolelock.entry import caller_request, forwarding, recorded, reply, steering, verdicts
from oriolelock.model import configuration, operation
from oriolelock.once import client

__all__ = ["Flow"]

FIRST_BYTE_MIN_S = 0.5
# Share of the time left that a kept connection may use up before its first byte.
FIRST_BYTE_SHARE = 0.3
MAX_ATTEMPTS = 4
# After two lost connections a third would probably be the request's own doing.
MAX_LOSSES = 2
CRASH_HOLD_S = 2.5

Reporter = collections.abc.Callable[[str, str], concurrent.futures.Future | None]


@dataclasses.dataclass(frozen=True)
class _Work:
    """A request that passed its checks. ``end_s`` is of the monotonic clock."""

    req: caller_request.CallerRequest
    parsed: caller_request.Parsed
    request_id: str
    op: operation.Operation
    fingerprint: str
    end_s: float


class Flow:
    """Thread-safe if its parts are.

    ``report_crash(fingerprint, endpoint name)`` tells control of a death; its future, if any,
    ends when the other entries know of it;
    ``is_refusing(address)`` tells whether nothing listens there any more.
    """

    def __init__(
        self,
        config: collections.abc.Callable[[], configuration.Configuration],
        is_ready: collections.abc.Callable[[], bool],
        exchanges: pool.Pool,
        once: client.Client,
        decisions: steering.Steering,
        counters: metrics.Metrics,
        report_crash: Reporter = lambda fingerprint, name: None,
        is_refusing: collections.abc.Callable[[str], bool] = liveness.is_refusing,
    ):
        self._config = config
        self._is_ready = is_ready
        self._pool = exchanges
        self._once = once
        self._decisions = decisions
        self._metrics = counters
        self._report_crash = report_crash
        self._is_refusing = is_refusing

    def serve(self, req: caller_request.CallerRequest, now: float, wall_s: float) -> reply.Reply:
        """Return the reply to ``req``, received at ``now`` (monotonic) and ``wall_s`` (Unix)."""
        request_id = uuid.uuid4().hex
        cfg = self._config()
        work = self._prepare(req, request_id, cfg, now, wall_s)
        if isinstance(work, outcomes.NotRun):
            return reply.Reply(work, request_id, cfg.version)
        item = self._decisions.admit(
            work.parsed.service, work.op, work.end_s, clock.monotonic_s(), req.is_gone
        )
        if isinstance(item, outcomes.NotRun):
            return reply.Reply(item, request_id, cfg.version)
        held = _Held(item)
        try:
            if work.op.idempotent:
                outcome = self._run(work, held, None)[0]
            else:
                outcome = self._run_once(work, held)
        finally:
            if held.item is not None:
                self._decisions.leave(held.item, clock.monotonic_s())
        return reply.Reply(outcome, request_id, cfg.version)

    def _prepare(self, req, request_id, cfg, now, wall_s):
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
        if self._decisions.is_blocked(fingerprint, now, wall_s):
            crash = cfg.crashes.get(fingerprint)
            left_s = crash.until_s - wall_s if crash else 0.0
            return outcomes.NotRun("quarantined", 1000 * max(1.0, left_s))
        end_s = now + min(parsed.deadline_ms, op.timeout_ms) / 1000
        return _Work(req, parsed, request_id, op, fingerprint, end_s)

    def _run_once(self, work, held):
        """Run work that must not run twice, under a claim on its key."""
        if not self._decisions.has_endpoint(work.parsed.service):
            return outcomes.NotRun("no-endpoint")
        digest = forwarding.body_digest(work.parsed, work.req)
        with self._decisions.claiming(work.parsed.service):
            claim = self._once.claim(work.parsed.key, digest, work.end_s)
        if not isinstance(claim, client.Claim):
            return recorded.outcome_of(claim)
        ran = True
        try:
            outcome, ran = self._run(work, held, claim)
        except BaseException:
            self._once.release(claim, ran)
            raise
        if isinstance(outcome, outcomes.Complete):
            lowered = {name.lower(): value for name, value in outcome.headers}
            kind = lowered.get("content-type", "")
            self._once.complete(claim, outcome.status, kind, outcome.body)
        else:
            self._once.release(claim, ran)
        return outcome

    def _run(self, work, held, claim):
        """Return the outcome, and whether the request may have run."""
        service = work.parsed.service
        tried: set[str] = set()
        outcome = None
        attempt, losses = 1, 0
        self._decisions.first_attempt(service, clock.monotonic_s())
        while True:
            now = clock.monotonic_s()
            refusal = _refusal(work, claim, now)
            if refusal:
                break
            target = self._decisions.choose(service, work.op.name, now, tried)
            if target is None:
                refusal = self._wait_for_endpoint(work, held, now)
                if refusal:
                    break
                tried.clear()
                continue
            tried.add(target.endpoint.name)
            try:
                result = self._attempt(work, target, attempt, claim, now)
            except errors.UnsendableRequest:
                return outcomes.NotRun("bad-request"), False
            latest = verdicts.outcome_of(result)
            outcome = latest if outcome is None else verdicts.worse(outcome, latest)
            attempt += 1
            losses += isinstance(result, results.ConnectionLost)
            is_last = attempt > MAX_ATTEMPTS or losses >= MAX_LOSSES
            if is_last or not self._may_retry(work, result):
                return outcome, not isinstance(outcome, outcomes.NotRun)
            self._metrics.count("request.retried")
        # An earlier attempt that may have run outweighs the refusal of a further one.
        final = refusal if outcome is None else outcome
        return final, not isinstance(final, outcomes.NotRun)

    def _wait_for_endpoint(self, work, held, now):
        """Wait until an endpoint may be free; return why not, or None."""
        if not self._decisions.has_endpoint(work.parsed.service):
            return outcomes.NotRun("no-endpoint", 100.0)
        item, held.item = held.item, None
        again = self._decisions.wait_again(item, now, work.req.is_gone)
        if isinstance(again, outcomes.NotRun):
            return again
        held.item = again
        return None

    def _may_retry(self, work, result):
        if not verdicts.may_retry(result, work.op.idempotent):
            return False
        now, wall_s = clock.monotonic_s(), clock.wall_s()
        return self._decisions.may_retry(work.parsed.service, work.fingerprint, now, wall_s)

    def _attempt(self, work, target, attempt, claim, now):
        left_s = work.end_s - now
        item = request.Request(
            request_id=work.request_id,
            method=work.req.method,
            target=work.req.target,
            headers=forwarding.to_endpoint(work.req.headers),
            body=work.req.body,
            idempotent=work.op.idempotent,
            attempt=attempt,
            first_byte_timeout_s=max(FIRST_BYTE_MIN_S, FIRST_BYTE_SHARE * left_s),
            # The connection must stand while the lease still allows sending.
            connect_timeout_s=claim.lease_end_s - now if claim else None,
        )
        try:
            result = self._pool.exchange(item, target.endpoint, left_s)
        except BaseException:
            self._note(work, target, results.NotSent("no-connection", 0.0))
            raise
        if result.silent_connections:
            self._metrics.count("endpoint.silent", result.silent_connections)
        if isinstance(result, results.RefusedByEndpoint) and result.reason == "shed":
            self._metrics.count("endpoint.shed")
        self._note(work, target, result)
        return result

    def _note(self, work, target, result):
        is_lost = isinstance(result, results.ConnectionLost)
        is_death = is_lost and self._is_refusing(target.endpoint.address)
        size = len(work.req.body)
        now = clock.monotonic_s()
        if self._decisions.finished(target, result, size, work.fingerprint, is_death, now):
            self._metrics.count("endpoint.crashed")
            reported = self._report_crash(work.fingerprint, target.endpoint.name)
            if reported is not None:
                # A caller that gets its answer at once may resend to an entry that does not know
                # of this death yet, and so reach a third endpoint.
                left_s = max(0.0, work.end_s - now)
                concurrent.futures.wait([reported], min(CRASH_HOLD_S, left_s))


class _Held:
    """The worker slot that a request holds; None while it waits again."""

    def __init__(self, item: work_item.WorkItem):
        self.item: work_item.WorkItem | None = item


def _refusal(work, claim, now):
    if now >= work.end_s:
        return outcomes.NotRun("deadline-passed")
    if claim and not claim.may_dispatch(now):
        return outcomes.NotRun("record-unreachable")
    return None
