"""
oriolelock.gateway.delegated_flow
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Processing of a request that another entry has delegated to this one.
"""

import collections.abc

from oriolelock.gateway import core, delegation, flow
from oriolelock.http1 import exchange as exchanges
from oriolelock.http1 import messages

__all__ = ["DelegatedFlow", "handle"]


class DelegatedFlow(flow.Flow):
    """A flow that is never delegated again, and tells the delegating entry how it ended."""

    def __init__(self, shared: core.Core, exchange: exchanges.Exchange, order: delegation.Order):
        super().__init__(shared, exchange)
        self._order = order

    def start(self) -> None:
        """Forward the request as ordered, or refuse it."""
        shared, order = self._core, self._order
        self._core.metrics.count("accepted_for_entries")
        if not shared.is_ready:
            self._refuse(503, "not-ready", 0.3)
            return
        self._route = shared.route_named(order.route)
        if self._route is None or self._route.idempotent != order.idempotent:
            self._refuse(503, "unknown-route", 0.3)
            return
        received_s = self._req.received_s
        self._tried = frozenset(order.tried)
        self._begin(
            order.service,
            received_s + order.left_ms / 1000.0,
            received_s + order.objective_ms / 1000.0,
        )

    def _delegate(self, reason, retry_after_s):
        self._give_up(reason, retry_after_s)

    def _refuse(self, status, reason, retry_after_s=None, wait_s=0.0):
        # The delegating entry may ask another one, which then counts the request.
        self._uncount()
        super()._refuse(status, reason, retry_after_s, wait_s)

    def _send_response(self, response, outcome):
        super()._send_response(delegation.with_outcome(response, outcome), f"{outcome}.for-entry")


def handle(
    shared: core.Core,
    exchange: exchanges.Exchange,
    is_leaving: collections.abc.Callable[[], bool],
) -> None:
    """Process a request from another entry."""
    found = delegation.read_order(exchange.request, shared.cluster_token)
    if found is None:
        exchange.reply(messages.Response(400, (), b"no order of this cluster\n", closes=True))
    elif is_leaving():
        response = messages.Response(503, (), b"stopping\n", closes=True)
        exchange.reply(delegation.with_outcome(response, "refused.stopping"))
    else:
        order, exchange.request = found
        DelegatedFlow(shared, exchange, order).start()
