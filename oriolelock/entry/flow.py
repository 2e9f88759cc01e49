"""
oriolelock.entry.flow
~~~~~~~~~~~~~~~~~~~~~

    The way of one request: checks, admission, claim, attempts, outcome.
"""

import collections.abc
import dataclasses
import random
import uuid

from oriolelock import clock, metrics, outcomes
from oriolelock.endpoints import errors, pool, request, results
from oriolelock.entry import basic, caller_request, candidates, forwarding, recorded, reply
from oriolelock.model import configuration, endpoint, operation, service_policy
from oriolelock.once import client

__all__ = ["Flow"]

FIRST_BYTE_MIN_S = 0.5
# Share of the time left that a kept connection may use up before its first byte.
FIRST_BYTE_SHARE = 0.3
MAX_ATTEMPTS = 4
# A further death would be the request's own doing.
MAX_DEATHS = 2

Picker = collections.abc.Callable[
    [collections.abc.Sequence[endpoint.Endpoint], float, random.Random], endpoint.Endpoint
]
Observer = collections.abc.Callable[[endpoint.Endpoint, results.Result, str], None]


@dataclasses.dataclass(frozen=True)
class _Work:
    """A request that passed its checks. ``end_s`` is of the monotonic clock."""

    req: caller_request.CallerRequest
    parsed: caller_request.Parsed
    request_id: str
    cfg: configuration.Configuration
    policy: service_policy.ServicePolicy
    op: operation.Operation
    fingerprint: str
    end_s: float


class Flow:
    """Thread-safe if its parts are. ``observe`` is told the result of every attempt."""

    def __init__(
        self,
        config: collections.abc.Callable[[], configuration.Configuration],
        is_ready: collections.abc.Callable[[], bool],
        exchanges: pool.Pool,
        once: client.Client,
        pick: Picker,
        counters: metrics.Metrics,
        gate: basic.Gate | None = None,
        budget: basic.RetryBudget | None = None,
        observe: Observer = lambda item, result, fingerprint: None,
        rng: random.Random | None = None,
    ):
        self._config = config
        self._is_ready = is_ready
        self._pool = exchanges
        self._once = once
        self._pick = pick
        self._metrics = counters
        self._gate = gate or basic.Gate()
        self._budget = budget or basic.RetryBudget()
        self._observe = observe
        self._rng = rng or random.Random()

    def serve(self, req: caller_request.CallerRequest, now: float, wall_s: float) -> reply.Reply:
        """Return the reply to ``req``, received at ``now`` (monotonic) and ``wall_s`` (Unix)."""
        request_id = uuid.uuid4().hex
        cfg = self._config()
        work = self._prepare(req, request_id, cfg, now, wall_s)
        if isinstance(work, outcomes.NotRun):
            return reply.Reply(work, request_id, cfg.version)
        refusal = self._gate.enter(work.policy, work.op, work.end_s)
        if refusal:
            return reply.Reply(refusal, request_id, cfg.version)
        try:
            outcome = self._run_once(work) if not work.op.idempotent else self._run(work, None)[0]
        finally:
            self._gate.leave(work.policy)
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
        crash = cfg.crashes.get(fingerprint)
        if crash and crash.until_s > wall_s:
            return outcomes.NotRun("quarantined", 1000 * (crash.until_s - wall_s))
        end_s = now + min(parsed.deadline_ms, op.timeout_ms) / 1000
        return _Work(req, parsed, request_id, cfg, policy, op, fingerprint, end_s)

    def _run_once(self, work):
        """Run work that must not run twice, under a claim on its key."""
        if not candidates.of_service(work.cfg, work.parsed.service, clock.wall_s()):
            return outcomes.NotRun("no-endpoint")
        digest = forwarding.body_digest(work.parsed, work.req)
        claim = self._once.claim(work.parsed.key, digest, work.end_s)
        if not isinstance(claim, client.Claim):
            return recorded.outcome_of(claim)
        ran = True
        try:
            outcome, ran = self._run(work, claim)
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

    def _run(self, work, claim):
        """Return the outcome, and whether the request may have run."""
        tried = set()
        outcome = outcomes.NotRun("no-endpoint")
        deaths = 0
        self._budget.add_first()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            left = candidates.of_service(self._config(), work.parsed.service, clock.wall_s(), tried)
            now = clock.monotonic_s()
            refusal = _refusal(work, claim, now)
            if refusal or not left:
                return (refusal if attempt == 1 and refusal else outcome), _may_have_run(outcome)
            if attempt > 1:
                if not self._budget.take():
                    break
                self._metrics.count("request.retried")
            target = self._pick(left, now, self._rng)
            tried.add(target.name)
            try:
                result = self._attempt(work, target, attempt, claim, now)
            except errors.UnsendableRequest:
                return outcomes.NotRun("bad-request"), False
            outcome = _worse(outcome, _outcome_of(result))
            deaths += isinstance(result, results.ConnectionLost)
            if not _may_retry(result, work.op.idempotent) or deaths >= MAX_DEATHS:
                break
        return outcome, _may_have_run(outcome)

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
            first_byte_s=max(FIRST_BYTE_MIN_S, FIRST_BYTE_SHARE * left_s),
            # The connection must stand while the lease still allows sending.
            connect_s=claim.lease_end_s - now if claim else None,
        )
        result = self._pool.exchange(item, target, left_s)
        if result.silent:
            self._metrics.count("endpoint.silent", result.silent)
        self._observe(target, result, work.fingerprint)
        return result


def _refusal(work, claim, now):
    if now >= work.end_s:
        return outcomes.NotRun("deadline-passed")
    if claim and not claim.may_dispatch(now):
        return outcomes.NotRun("record-unreachable")
    return None


def _worse(earlier, latest):
    # An attempt that was refused says nothing about an earlier one that may have run.
    if isinstance(earlier, outcomes.Unknown) and isinstance(latest, outcomes.NotRun):
        return earlier
    return latest


def _may_have_run(outcome):
    return not isinstance(outcome, outcomes.NotRun)


def _may_retry(result, idempotent):
    if isinstance(result, results.NotSent | results.RefusedByEndpoint):
        return True
    return idempotent and isinstance(result, results.ConnectionLost | results.BadAnswer)


def _outcome_of(result):
    match result:
        case results.Completed():
            headers = forwarding.to_caller(result.headers)
            return outcomes.Complete(result.status, headers, result.body)
        case results.NotSent(reason="no-connection"):
            return outcomes.NotRun("overloaded", 100.0)
        case results.NotSent():
            return outcomes.NotRun("no-endpoint")
        case results.RefusedByEndpoint():
            return outcomes.NotRun("endpoint-refused", 100.0)
        case results.TimedOut():
            return outcomes.Unknown("timeout")
        case results.ConnectionLost():
            return outcomes.Unknown("connection-lost")
    return outcomes.Unknown("bad-answer")
