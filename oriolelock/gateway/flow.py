"""
oriolelock.gateway.flow
~~~~~~~~~~~~~~~~~~~~~~~

    Processing of one request: routing, endpoint selection, forwarding, retries, response.
"""

import itertools

from oriolelock import clock, events
from oriolelock.dispatch import decisions, endpoint_limits
from oriolelock.gateway import core, facts, forwarded, peer_request
from oriolelock.http1 import exchange as exchanges
from oriolelock.http1 import messages, outbound, transfers

__all__ = ["STOPPING_RETRY_AFTER_S", "Flow"]

# A new connection takes two trips, up to 0.15 s between distant regions.
CONNECT_TIMEOUT_S = 0.35
# Attempts in which no byte was sent; each takes at most CONNECT_TIMEOUT_S.
MAX_UNSENT_ATTEMPTS = 3
# Suggested delay before a retry if no entry reaches an endpoint.
PEER_RETRY_AFTER_S = 0.3
# The caller goes to another entry: lookups name others at once.
STOPPING_RETRY_AFTER_S = 0.05
# During a planned stop, time to leave for a response relative to the expected time.
STOP_MARGIN = 1.5
# For requests without a deadline.
DEFAULT_DEADLINE_S = 30.0
# Round trip between caller and entry, which the caller's deadline includes.
CALLER_ROUND_TRIP_S = 0.03
# A response in transit when the route's timeout passes is still delivered. Callers wait at most
# 0.5 s beyond the timeout; the remainder covers network trips and a busy process.
TIMEOUT_SLACK_S = 0.17
# After an endpoint has refused a request that has no retry left.
SHED_RETRY_AFTER_S = 0.25
# A request is not forwarded with less time than this until its deadline.
MIN_REMAINING_S = 0.02

log = events.Events("request")
numbers = itertools.count(1)


class Flow:
    """One request of a caller; not thread-safe."""

    def __init__(self, shared: core.Core, exchange: exchanges.Exchange):
        self._core = shared
        self._exchange = exchange
        self._req = exchange.request
        self._number = next(numbers)
        self._id_bytes = self._req.header(shared.words.request_id) or b""
        self._id = self._id_bytes.decode("latin-1")
        self._route = None
        self._service = ""
        self._key = ""
        self._tried: frozenset[str] = frozenset()
        self._unsent_attempts = 0
        self._decision: decisions.Send | None = None
        self._context: decisions.RequestContext | None = None
        self._conn: outbound.Outbound | None = None
        self._peer_request: peer_request.PeerRequest | None = None
        # Of the latest decision: when it was made, from which configuration, and the time until the
        # first write to the endpoint.
        self._sent_s = 0.0
        self._config_index = 0
        self._write_delay_s: float | None = None
        # Of the latest decision: whether it counts as a request to a cold endpoint, and when its
        # connection was opened.
        self._is_limited = False
        self._connected_s: float | None = None
        self._timer = None
        self._may_have_run = False
        # Whether the request counts among those that retries are a share of.
        self._is_counted = False
        # The last response that may be passed on; used if no retry yields a better one.
        self._fallback_response: messages.Response | None = None

    def start(self) -> None:
        """Route and forward the request, or refuse it."""
        shared, req = self._core, self._req
        if not shared.is_ready:
            retry_after_s = shared.not_ready_retry_after_s(req.received_s)
            self._refuse(503, "not-ready", retry_after_s)
            return
        host = (req.header(b"host") or b"").decode("latin-1")
        self._route = shared.index.find(host, req.path.decode("latin-1"))
        if self._route is None:
            self._refuse(404, "unknown-route")
            return
        deadline_s = self._deadline_s()
        if deadline_s is None:
            self._refuse(400, "bad-deadline")
            return
        now = req.received_s
        timeout_s = self._route.timeout_ms / 1000.0 + TIMEOUT_SLACK_S
        self._begin(
            shared.splitter_of(self._route).next_service(),
            now + min(deadline_s - CALLER_ROUND_TRIP_S, timeout_s),
            now + self._route.objective_ms / 1000.0 - CALLER_ROUND_TRIP_S,
        )

    def _begin(self, service, deadline_at_s, objective_at_s):
        """Forward a request whose route is known."""
        shared, req = self._core, self._req
        self._service = service
        self._deadline_at_s, self._objective_s = deadline_at_s, objective_at_s
        self._key = forwarded.object_key(self._route.prefix, req.header(shared.words.object_key))
        self._fingerprint = shared.fingerprint(self._service, req)
        quarantined_s = shared.quarantined_s(self._fingerprint)
        if quarantined_s > 0.0:
            self._refuse(503, "quarantined", quarantined_s)
            return
        self._timer = shared.loop.call_at(self._deadline_at_s, self._on_deadline)
        self._exchange.on_gone = self._on_caller_gone
        if not self._tried:
            shared.retry_budget_of(self._service).record_request(req.received_s)
            self._is_counted = True
        shared.in_progress[self._number] = self._end_at_stop
        self._attempt()

    def _deadline_s(self):
        value = self._req.header(self._core.words.deadline_ms)
        if value is None:
            return DEFAULT_DEADLINE_S
        return int(value) / 1000.0 if value.isdigit() and len(value) < 12 else None

    def _attempt(self):
        now = clock.monotonic_s()
        left_s = self._deadline_at_s - now
        if left_s < MIN_REMAINING_S:
            self._give_up("deadline-passed")
            return
        self._context = decisions.RequestContext(
            self._route, self._service, self._key, left_s, self._objective_s - now, self._tried
        )
        decision = self._core.chooser.choose(self._context, now)
        if self._core.needs_peer(decision, self._req, self._context, now):
            self._delegate("cut-off", PEER_RETRY_AFTER_S)
        elif isinstance(decision, decisions.Refuse):
            self._give_up_refused(decision, now)
        elif not self._can_end_before_stop(decision, now):
            self._give_up("stopping", STOPPING_RETRY_AFTER_S)
        else:
            self._send(decision, now)

    def _can_end_before_stop(self, decision, now):
        stop_s = self._core.stop_deadline_s
        expected_s = decision.wait_s + decision.service_s
        return stop_s is None or now + STOP_MARGIN * expected_s < stop_s

    def _delegate(self, reason, retry_after_s):
        """Let another entry forward the request; ``reason``: why this one can't."""
        shared = self._core
        self._uncount()
        shared.metrics.count("delegated")
        self._peer_request = shared.make_peer_request(
            self._req,
            self._route,
            peer_request.Refused(reason, retry_after_s),
            self._on_peer_request_end,
        )
        self._peer_request.start(self._service, self._deadline_at_s, self._objective_s, self._tried)

    def _uncount(self):
        """Take back that a request that no endpoint got counts in the retry budget."""
        if self._is_counted and not self._tried:
            self._core.retry_budget_of(self._service).withdraw_request()
            self._is_counted = False

    def _on_peer_request_end(self, result):
        match result:
            case peer_request.Completed(response):
                self._reply(response, "complete")
            case peer_request.Refused(reason, retry_after_s):
                self._core.metrics.count("delegations_refused")
                self._give_up(reason, retry_after_s)
            case peer_request.Failed(status, reason):
                self._fail(status, reason)

    def _send(self, decision, now):
        shared, view = self._core, decision.view
        self._decision, self._sent_s = decision, now
        self._config_index, self._write_delay_s = shared.cfg_in_force.index, None
        instance = view.endpoint
        self._is_limited = shared.chooser.is_limited(view, now)
        shared.chooser.started(decision, self._number, now)
        if shared.chooser.limits.rate(instance.name, now) != endpoint_limits.UNLIMITED:
            shared.metrics.count("sent_to_limited_endpoints")
        self._conn = shared.pool.acquire(
            instance.name, view.address, self._route.idempotent, self._id_bytes, now
        )
        conn, was_limited = self._conn, self._is_limited
        conn.on_connected = lambda: shared.record_connected(view, conn)
        conn.is_wanted = lambda: shared.chooser.is_wanted(view, was_limited, clock.monotonic_s())
        req = forwarded.to_endpoint(
            self._req, shared.words, instance.name, self._deadline_at_s - now
        )
        self._conn.send(req, CONNECT_TIMEOUT_S, self._on_transfer_end)

    def _on_transfer_end(self, result):
        now = clock.monotonic_s()
        view = self._decision.view
        view.ended(self._number)
        conn, self._conn = self._conn, None
        self._record_write(conn)
        if isinstance(result, transfers.Answered):
            self._core.pool.release(view.endpoint.name, conn)
            self._core.record_response(view, conn)
            self._handle_response(result.response, now)
        elif isinstance(result, transfers.NotSent):
            self._handle_not_sent(result, now)
        else:
            self._handle_lost(result, now)

    def _record_write(self, conn):
        self._connected_s = conn.connected_s or None
        if conn.first_write_s is not None:
            self._write_delay_s = conn.first_write_s - self._sent_s

    def _handle_not_sent(self, result, now):
        view = self._decision.view
        self._core.chooser.not_sent(self._decision, now)
        if result.reason == "not-wanted":
            log.usual("send-withdrawn", id=self._id, endpoint=view.endpoint.name)
            self._attempt()
            return
        self._unsent_attempts += 1
        if result.reason != "connection-ended":
            self._core.record_unreachable(view, result, now)
        if self._unsent_attempts < MAX_UNSENT_ATTEMPTS:
            self._attempt()
        else:
            self._delegate("endpoint-unreachable", PEER_RETRY_AFTER_S)

    def _handle_lost(self, result, now):
        view = self._decision.view
        self._may_have_run = True
        self._tried |= {view.endpoint.name}
        self._core.record_lost(view, self._fingerprint, self._sent_s, now)
        if self._route.idempotent and self._may_retry(now):
            self._attempt()
            return
        self._fail(502, result.reason)

    def _handle_response(self, response, now):
        shared, decision = self._core, self._decision
        response_facts = facts.classify(response, shared.words)
        elapsed_s = now - self._sent_s
        if not response_facts.misdirected:
            shared.record_rate_limit(decision.view, response_facts.rate_limit, now)
        if response_facts.leaving:
            shared.record_leaving(decision.view, now)
        if response_facts.pause_s > 0.0:
            shared.record_pause(decision.view, response_facts.pause_s, now)
        if response_facts.not_run:
            self._handle_not_run(response_facts, now)
            return
        is_error = response_facts.failed or not response_facts.genuine
        shared.chooser.answered(
            decision, self._context, elapsed_s, response_facts.load, is_error, now
        )
        if not is_error:
            shared.gossip.publish(
                shared.chooser.learned(decision.view, self._key, response_facts.load)
            )
        self._may_have_run = True
        self._tried |= {decision.view.endpoint.name}
        may_pass_on = response_facts.genuine and (
            self._route.idempotent or not response_facts.implies_not_run
        )
        self._fallback_response = forwarded.to_caller(response) if may_pass_on else None
        if is_error and self._route.idempotent and self._may_retry(now):
            self._attempt()
        elif self._fallback_response is None:
            # A status that implies "not run" would be false here: the request may have run.
            self._fail(502, "bad-answer")
        else:
            if not is_error:
                shared.record_success(self._fingerprint, now)
            self._reply(self._fallback_response, "complete")

    def _handle_not_run(self, response_facts, now):
        """Retry a request that the endpoint refused without running it."""
        shared, view = self._core, self._decision.view
        self._tried |= {view.endpoint.name}
        if response_facts.misdirected:
            shared.record_misdirected(view, now)
        else:
            view.shed(now)
            if response_facts.load is not None:
                view.reported(response_facts.load, now)
                shared.gossip.publish(shared.chooser.learned(view, "", response_facts.load))
        shared.metrics.count("shed")
        if self._may_retry(now):
            self._attempt()
        else:
            refusal = decisions.Refuse("endpoint-refused", SHED_RETRY_AFTER_S)
            self._give_up_refused(refusal, now)

    def _may_retry(self, now):
        """Return whether a retry is allowed; counts it against the retry budget."""
        if len(self._tried) >= self._route.attempts or self._deadline_at_s - now < MIN_REMAINING_S:
            return False
        shared = self._core
        if self._may_have_run and not shared.may_retry(self._fingerprint):
            return False
        allowed = shared.retry_budget_of(self._service).try_spend(
            shared.chooser.entry_count(now), now
        )
        shared.metrics.count("retried" if allowed else "retry_denied")
        return allowed

    def _give_up(self, reason, retry_after_s=0.3, wait_s=0.0):
        """End a request for which no endpoint is left."""
        if self._fallback_response is not None:
            self._reply(self._fallback_response, "complete")
        elif self._may_have_run:
            self._fail(502, reason)
        else:
            self._refuse(503, reason, retry_after_s, wait_s)

    def _give_up_refused(self, refusal, now):
        if self._tried:
            refusal = self._core.chooser.postpone(refusal, self._context, now)
        self._give_up(refusal.reason, refusal.retry_after_s, refusal.wait_s)

    def _on_deadline(self):
        now = clock.monotonic_s()
        is_at_endpoint = self._conn is not None and self._conn.has_sent_bytes
        if not is_at_endpoint and self._peer_request is None:
            self._abort(now)
            self._give_up("deadline-passed")
            return
        self._abort(now)
        if is_at_endpoint:
            self._core.chooser.timed_out(self._decision, self._context, now)
        self._fail(504, "timeout")

    def _end_at_stop(self):
        """Answer the request, whose response can't be awaited, as the process ends."""
        self._abort(clock.monotonic_s())
        self._may_have_run = True
        self._give_up("stopping")

    def _on_caller_gone(self):
        """Cancel the request after its caller disconnected."""
        self._core.metrics.count("caller_gone")
        self._abort(clock.monotonic_s())
        self._finish()
        log.usual("caller-gone", id=self._id, endpoint=self._endpoint_name(), after_s=self._age_s())

    def _abort(self, now):
        if self._conn is not None:
            self._conn.abort()
            self._record_write(self._conn)
            self._decision.view.ended(self._number)
            self._conn = None
        if self._peer_request is not None:
            self._peer_request.abort()

    def _refuse(self, status, reason, retry_after_s=None, wait_s=0.0):
        headers = [(b"content-type", b"text/plain")]
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        text = reason.encode() + b"\n"
        self._log_end(log.notable, "refused", status, reason=reason, wait_s=wait_s)
        self._send_response(messages.Response(status, tuple(headers), text), f"refused.{reason}")

    def _fail(self, status, reason):
        self._log_end(log.notable, "failed", status, reason=reason)
        response = messages.Response(status, ((b"content-type", b"text/plain"),), b"failed\n")
        self._send_response(response, f"failed.{status}")

    def _reply(self, response, outcome):
        self._log_end(log.usual, "complete", response.status)
        self._send_response(response, outcome)

    def _send_response(self, response, outcome):
        self._core.metrics.record_end(outcome, self._age_s())
        if self._id:
            id_header = self._core.words.request_id
            if response.header(id_header) is None:
                headers = (*response.headers, (id_header, self._id.encode("latin-1")))
                response = messages.Response(response.status, headers, response.body)
        self._exchange.reply(response)
        self._finish()

    def _finish(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            del self._core.in_progress[self._number]

    def _age_s(self):
        return clock.monotonic_s() - self._req.received_s

    def _endpoint_name(self):
        return self._decision.view.endpoint.name if self._decision else ""

    def _log_end(self, log_event, event, status, **extra_fields):
        decision = self._decision
        fields = {
            "id": self._id,
            "status": status,
            "route": self._route.name if self._route else "",
            "revision": self._core.revision,
            "after_s": self._age_s(),
            "tried": len(self._tried),
        }
        if decision is not None:
            fields.update(
                endpoint=decision.view.endpoint.name,
                index=self._config_index,
                decided_s=self._sent_s - self._req.received_s,
                write_delay_s=self._write_delay_s,
                expected_s=decision.wait_s + decision.service_s,
                expected_wait_s=decision.wait_s,
                conn_age_s=clock.monotonic_s() - self._connected_s if self._connected_s else None,
                warm=decision.warm,
                limited=self._is_limited,
                away=decision.cross_region,
            )
        if self._peer_request is not None:
            fields["entries"] = self._peer_request.asked
        log_event(event, **fields, **extra_fields)
