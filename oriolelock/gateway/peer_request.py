"""
oriolelock.gateway.peer_request
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Hands one request to other entries, one after another, until one of them serves it.
"""

import collections.abc
import dataclasses

from oriolelock import clock
from oriolelock.dispatch import peer_selection
from oriolelock.gateway import delegation, pool
from oriolelock.http1 import messages, outbound, transfers
from oriolelock.model import member, route

__all__ = ["Completed", "Failed", "PeerRequest", "Refused", "Result"]

# A new connection takes two trips, up to 0.15 s between distant regions.
CONNECT_TIMEOUT_S = 0.35
MAX_PEERS = 3
# The peer's own deadline comes first, so that its answer arrives in time.
RETURN_TRIP_S = 0.02
DEFAULT_RETRY_AFTER_S = 0.3
# Refusals that say something of the peer and nothing of the endpoints.
PEER_REASONS = frozenset(("stopping", "not-ready", "unknown-route"))
# The peer has no endpoint for the service either.
NO_ENDPOINT_REASONS = frozenset(("cut-off", "no-endpoint", "endpoint-unreachable"))
# Statuses of failures that promise neither that the request ran nor that it did not.
FAILURE_STATUSES = (502, 504)


@dataclasses.dataclass(frozen=True)
class Completed:
    """The endpoint's response."""

    response: messages.Response


@dataclasses.dataclass(frozen=True)
class Refused:
    """No endpoint got the request; ``retry_after_s``: suggested delay before a retry."""

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Failed:
    """The request may have run."""

    status: int
    reason: str


Result = Completed | Refused | Failed


class PeerRequest:
    """Not thread-safe. ``on_end(result)`` is called once, unless the request is aborted.

    ``fallback``: the result if no entry is left to ask.
    """

    def __init__(
        self,
        peers: peer_selection.PeerSelection,
        connections: pool.Pool,
        token: str,
        req: messages.Request,
        request_route: route.Route,
        fallback: Refused,
        on_end: collections.abc.Callable[[Result], None],
    ):
        self._peers = peers
        self._connections = connections
        self._token = token
        self._req = req
        self._route = request_route
        self._result = fallback
        self._on_end = on_end
        self._conn: outbound.Outbound | None = None
        self._peer: member.Member | None = None
        self.asked: list[str] = []

    def start(
        self, service: str, deadline_s: float, objective_s: float, tried: frozenset[str]
    ) -> None:
        """Ask the first entry.

        ``deadline_s``, ``objective_s``: monotonic times; ``tried``: endpoints that already received
        the request.
        """
        self._service, self._deadline_s, self._objective_s = service, deadline_s, objective_s
        self._tried = tuple(sorted(tried))
        self._ask_next(clock.monotonic_s())

    def _ask_next(self, now):
        left_s = self._deadline_s - now - RETURN_TRIP_S
        self._peer = None
        if left_s > 0.0 and len(self.asked) < MAX_PEERS:
            self._peer = self._peers.select(self._service, self._route.regions, self.asked, now)
        if self._peer is None:
            self._on_end(self._result)
            return
        peer = self._peer
        order = delegation.Order(
            self._route.name,
            self._service,
            self._route.idempotent,
            int(left_s * 1000),
            int((self._objective_s - now) * 1000),
            self._tried,
        )
        host, _, port = peer.peer_address.partition(":")
        self._conn = self._connections.acquire(
            peer.name, (host, int(port)), self._route.idempotent, b"", now
        )
        self.asked.append(peer.name)
        self._peers.record_sent(peer.name)
        req = delegation.to_peer(self._req, order, self._token)
        self._conn.send(req, CONNECT_TIMEOUT_S, self._on_transfer_end)

    def abort(self) -> None:
        """Close the connection to the peer, which then cancels the request."""
        if self._conn is not None:
            self._conn.abort()
            self._conn = None
            self._peers.record_end(self._peer.name)

    def _on_transfer_end(self, result):
        now = clock.monotonic_s()
        conn, self._conn = self._conn, None
        self._peers.record_end(self._peer.name)
        if isinstance(result, transfers.Answered):
            self._connections.release(self._peer.name, conn)
            self._handle_response(result.response, now)
        elif isinstance(result, transfers.NotSent):
            if result.reason != "connection-ended":
                self._peers.record_unable(self._peer.name, self._service, now)
            self._ask_next(now)
        else:
            # The peer may have used all attempts of the route.
            self._on_end(Failed(502, f"entry lost: {result.reason}"))

    def _handle_response(self, peer_response, now):
        outcome, response = delegation.outcome_of(peer_response)
        kind, _, reason = outcome.partition(".")
        if kind == delegation.COMPLETE:
            self._on_end(Completed(response))
        elif kind == "refused":
            self._result = Refused(reason, _retry_after_s(response))
            if reason in NO_ENDPOINT_REASONS:
                self._peers.record_unable(self._peer.name, self._service, now)
            if reason in NO_ENDPOINT_REASONS | PEER_REASONS:
                self._ask_next(now)
            else:
                self._on_end(self._result)
        else:
            is_failure = kind == "failed" and response.status in FAILURE_STATUSES
            status = response.status if is_failure else 502
            self._on_end(Failed(status, reason or "unknown outcome"))


def _retry_after_s(response):
    try:
        return float(response.header(b"retry-after") or DEFAULT_RETRY_AFTER_S)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
