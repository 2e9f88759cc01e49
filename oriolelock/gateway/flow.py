"""
oriolelock.gateway.flow
~~~~~~~~~~~~~~~~~~~~~~~

    The way of one request: parse, route, choose, send, judge, reply.
"""

import itertools

from oriolelock import clock, events
from oriolelock.dispatch import decisions
from oriolelock.gateway import core, facts, forwarded
from oriolelock.http1 import inbound, messages, outbound, transfers

__all__ = ["Flow"]

# A new connection needs two trips, up to 0.15 s between far regions.
CONNECT_LIMIT_S = 0.35
# Sendings that left no byte; each has cost at most the limit above.
MAX_UNSENT = 3
# Callers without a deadline.
DEFAULT_DEADLINE_S = 30.0
# Both trips between caller and entry, which the caller's deadline includes.
CALLER_TRIP_S = 0.03
# An answer that is on its way when the route's timeout passes is still delivered. Callers are
# kept at most half a second beyond the timeout; the rest is for trips and a busy process.
TIMEOUT_SLACK_S = 0.17
# A request is not sent when less than this is left.
MIN_LEFT_S = 0.02

log = events.Events("request")
numbers = itertools.count(1)


class Flow:
    """One request of a caller; not thread-safe."""

    def __init__(self, shared: core.Core, exchange: inbound.Exchange):
        self._core = shared
        self._exchange = exchange
        self._req = exchange.request
        self._number = next(numbers)
        self._id = (self._req.header(shared.words.request_id) or b"").decode("latin-1")
        self._route = None
        self._service = ""
        self._key = ""
        self._tried: frozenset[str] = frozenset()
        self._unsent = 0
        self._sent: decisions.Send | None = None
        self._asked: decisions.Question | None = None
        self._conn: outbound.Outbound | None = None
        self._sent_s = 0.0
        self._timer = None
        self._may_have_run = False
        # An error of an endpoint, to be passed on if no other endpoint does better.
        self._answer: messages.Response | None = None

    def start(self) -> None:
        """Route the request and send it on, or refuse it."""
        shared, req = self._core, self._req
        if not shared.is_ready:
            self._refuse(503, "not-ready", 0.3)
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
        self._objective_end_s = now + self._route.objective_ms / 1000.0 - CALLER_TRIP_S
        timeout_s = self._route.timeout_ms / 1000.0 + TIMEOUT_SLACK_S
        self._end_s = now + min(deadline_s - CALLER_TRIP_S, timeout_s)
        self._service = shared.splitter(self._route).next_service()
        key = req.header(shared.words.object_key)
        # Objects of different routes are different ones.
        self._key = f"{self._route.prefix}{key.decode('latin-1')}" if key else ""
        self._mark = shared.fingerprint(self._service, self._route.name, req)
        if shared.is_quarantined(self._mark):
            self._refuse(503, "quarantined", 1.0)
            return
        self._timer = shared.loop.call_at(self._end_s, self._expired)
        self._exchange.on_gone = self._gone
        shared.retries(self._service).record_request(now)
        shared.metrics.in_flight += 1
        self._attempt()

    def _deadline_s(self):
        value = self._req.header(self._core.words.deadline_ms)
        if value is None:
            return DEFAULT_DEADLINE_S
        return int(value) / 1000.0 if value.isdigit() and len(value) < 12 else None

    def _attempt(self):
        now = clock.monotonic_s()
        left_s = self._end_s - now
        if left_s < MIN_LEFT_S:
            self._give_up("deadline-passed")
            return
        self._asked = decisions.Question(
            self._route, self._service, self._key, left_s, self._objective_end_s - now, self._tried
        )
        decision = self._core.chooser.choose(self._asked, now)
        if isinstance(decision, decisions.Refuse):
            self._give_up(decision.reason, decision.retry_after_s, decision.wait_s)
            return
        self._send(decision, now)

    def _send(self, decision, now):
        shared, view = self._core, decision.view
        self._sent, self._sent_s = decision, now
        item = view.endpoint
        shared.chooser.started(decision, self._number, now)
        self._conn = shared.pool.take(item.name, view.address, self._route.idempotent, now)
        req = forwarded.to_endpoint(self._req, shared.words, item.name, self._end_s - now)
        self._conn.send(req, CONNECT_LIMIT_S, self._on_transfer)

    def _on_transfer(self, result):
        now = clock.monotonic_s()
        view = self._sent.view
        view.ended(self._number)
        conn, self._conn = self._conn, None
        if isinstance(result, transfers.Answered):
            self._core.pool.give_back(view.endpoint.name, conn)
            self._judge(result.response, now)
        elif isinstance(result, transfers.NotSent):
            self._not_sent(result, now)
        else:
            self._lost(result, now)

    def _not_sent(self, result, now):
        view = self._sent.view
        self._unsent += 1
        if result.reason != "connection-ended":
            self._core.unreachable(view, result.reason, now)
        if self._unsent < MAX_UNSENT:
            self._attempt()
        else:
            self._give_up("endpoint-unreachable", 0.3)

    def _lost(self, result, now):
        view = self._sent.view
        self._may_have_run = True
        self._tried |= {view.endpoint.name}
        self._core.lost(view, self._mark, result.reason, now)
        if self._route.idempotent and self._may_retry(now):
            self._attempt()
            return
        self._fail(502, result.reason)

    def _judge(self, response, now):
        shared, sent = self._core, self._sent
        found = facts.read(response, shared.words)
        elapsed_s = now - self._sent_s
        if found.not_run:
            self._not_run(found, now)
            return
        bad = found.failed or not found.genuine
        shared.chooser.answered(sent, self._asked, elapsed_s, found.load, bad, now)
        if not bad:
            shared.gossip.tell(shared.chooser.learned(sent.view, self._key, found.load))
        self._may_have_run = True
        self._tried |= {sent.view.endpoint.name}
        passable = found.genuine and (self._route.idempotent or not found.promises)
        self._answer = forwarded.to_caller(response) if passable else None
        if bad and self._route.idempotent and self._may_retry(now):
            self._attempt()
        elif self._answer is None:
            # A status that promises "not run" would be untrue here.
            self._fail(502, "bad-answer")
        else:
            if not bad:
                shared.completed(self._mark, now)
            self._reply(self._answer, "complete")

    def _not_run(self, found, now):
        """The endpoint refused before it ran the request; another may take it."""
        shared, view = self._core, self._sent.view
        self._tried |= {view.endpoint.name}
        if found.misdirected:
            shared.misdirected(view, now)
        else:
            view.shed(now)
            if found.load is not None:
                view.reported(found.load, now)
                shared.gossip.tell(shared.chooser.learned(view, "", found.load))
        shared.metrics.count("shed")
        if self._may_retry(now):
            self._attempt()
        else:
            self._give_up("endpoint-refused", 0.25)

    def _may_retry(self, now):
        """Return whether the request may be sent to one more endpoint, and count that."""
        if len(self._tried) >= self._route.attempts or self._end_s - now < MIN_LEFT_S:
            return False
        shared = self._core
        if self._may_have_run and not shared.may_repeat(self._mark):
            return False
        allowed = shared.retries(self._service).try_spend(shared.chooser.entry_count, now)
        shared.metrics.count("retried" if allowed else "retry_denied")
        return allowed

    def _give_up(self, reason, retry_after_s=0.3, wait_s=0.0):
        """End a request for which there is no endpoint (any more)."""
        if self._answer is not None:
            self._reply(self._answer, "complete")
        elif self._may_have_run:
            self._fail(502, reason)
        else:
            self._refuse(503, reason, retry_after_s, wait_s)

    def _expired(self):
        now = clock.monotonic_s()
        if self._conn is None:
            self._give_up("deadline-passed")
            return
        view = self._sent.view
        self._abort(now)
        view.answered(2.0, False, now)
        self._fail(504, "timeout")

    def _gone(self):
        """The caller has left: end the work for it."""
        self._core.metrics.count("caller_gone")
        self._abort(clock.monotonic_s())
        self._finish()
        log.usual("caller-gone", id=self._id, endpoint=self._endpoint(), after_s=self._age_s())

    def _abort(self, now):
        if self._conn is not None:
            self._conn.abort()
            self._sent.view.ended(self._number)
            self._conn = None

    def _refuse(self, status, reason, retry_after_s=None, wait_s=0.0):
        headers = [(b"content-type", b"text/plain")]
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        text = reason.encode() + b"\n"
        self._log_end(log.notable, "refused", status, reason=reason, wait_s=wait_s)
        self._reply_only(messages.Response(status, tuple(headers), text), f"refused.{reason}")

    def _fail(self, status, reason):
        self._log_end(log.notable, "failed", status, reason=reason)
        response = messages.Response(status, ((b"content-type", b"text/plain"),), b"failed\n")
        self._reply_only(response, f"failed.{status}")

    def _reply(self, response, outcome):
        self._log_end(log.usual, "complete", response.status)
        self._reply_only(response, outcome)

    def _reply_only(self, response, outcome):
        self._core.metrics.ended(outcome, self._age_s())
        if self._id:
            own = self._core.words.request_id
            if response.header(own) is None:
                headers = (*response.headers, (own, self._id.encode("latin-1")))
                response = messages.Response(response.status, headers, response.body)
        self._exchange.reply(response)
        self._finish()

    def _finish(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._core.metrics.in_flight -= 1

    def _age_s(self):
        return clock.monotonic_s() - self._req.received_s

    def _endpoint(self):
        return self._sent.view.endpoint.name if self._sent else ""

    def _log_end(self, write, event, status, **more):
        sent = self._sent
        fields = {
            "id": self._id,
            "status": status,
            "route": self._route.name if self._route else "",
            "revision": self._core.revision,
            "after_s": self._age_s(),
            "tried": len(self._tried),
        }
        if sent is not None:
            fields.update(
                endpoint=sent.view.endpoint.name,
                expected_s=sent.wait_s + sent.service_s,
                expected_wait_s=sent.wait_s,
                warm=sent.warm,
                away=sent.cross_region,
            )
        write(event, **fields, **more)
