"""Sends orders to a replica, each bound to the state on which it was decided.

Every order carries the leader's fencing token and the number of orders that the replica
must have accepted before. So the replica refuses an order that was not decided on its
present state: one that arrives late or twice, or one of a leader that does not know of
another leader's orders.
"""

import asyncio
import collections

import anyio.lowlevel

from snipetrestle.coordination.placement.order_messages import (
    Order,
    OrderKind,
    OrderResult,
)
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.configuration import AdapterKey

ORDER_TIMEOUT_S = 0.8
# Orders without an answer that are remembered, the last ones.
MAX_UNANSWERED_ORDERS = 8


class StateOutdated(Exception):
    """An order was refused: the leader does not know the replica's present state."""


class OrderRefused(Exception):
    """The replica cannot do what was ordered, for instance load an unknown adapter."""


class OrderSender:
    """Sends the orders to one boot of a replica and follows its order count.

    ``replica_adapters`` is what the leader believes that the replica holds.
    ``order_count`` is the number of orders that the replica should have accepted by
    now; None while unknown. It may be too low, which costs a refused order. If it were
    too high, a late order could pass unnoticed.
    """

    def __init__(self, replica, context, replica_adapters):
        self._replica = replica
        self._context = context
        self._replica_adapters = replica_adapters
        self.order_count = None
        # Whether the replica loads its model on an order.
        self.model_in_transit = False
        self._last_order = None
        # Orders without an answer, which the replica may still accept.
        self._unanswered = collections.deque(maxlen=MAX_UNANSWERED_ORDERS)

    def apply_report(self, report):
        """Follows a report, whose adapters are recorded already."""
        self.order_count = report.order_count
        self.model_in_transit = report.busy and not report.models
        self._settle_unanswered(report)

    def _settle_unanswered(self, report):
        """Forgets the orders that the replica has accepted or will refuse.

        An accepted unload of an adapter that is still held waits for its requests.
        """
        for order in list(self._unanswered):
            if order.expected_count == report.order_count:
                continue
            self._unanswered.remove(order)
            key = AdapterKey(order.model, order.adapter)
            is_held = key in report.versions_by_adapter.keys() - report.in_transit
            if order.kind is OrderKind.UNLOAD and is_held:
                self._replica_adapters.unloading = key

    async def send(self, kind, model, adapter, version=None):
        """Sends one order and returns ACCEPTED or HOLDS_ALREADY.

        Raises ExchangeFailed, ConnectFailed or TimeoutError without an answer,
        StateOutdated if the replica has accepted other orders than the leader knows of,
        or has another one in progress, OrderRefused if it cannot do what was ordered,
        and ExchangeFailed if it does not take the leader's orders.
        """
        leadership = self._context.leadership
        if not leadership.check_still_leading():
            raise ExchangeFailed("this host no longer leads")
        order = Order(
            kind,
            model,
            adapter,
            leadership.holder,
            leadership.term,
            self.order_count,
            version,
        )
        result = await self._exchange(order)
        await end_if_cancelled()
        if result in (OrderResult.ACCEPTED, OrderResult.HOLDS_ALREADY):
            if self._counts(order, result):
                self.order_count += 1
            return result
        if result is OrderResult.CONFLICT:
            log_event(
                Event.ORDER_COUNT_DIFFERS,
                replica=self._replica.id,
                **self.last_order_fields(),
                **self.believed_fields(),
            )
            raise StateOutdated
        if result is OrderResult.TOKEN_TOO_LOW:
            leadership.on_token_refused()
            raise ExchangeFailed("replica refused the fencing token as too low")
        if result is OrderResult.REFUSED:
            raise OrderRefused(f"{kind} {model}/{adapter}")
        raise ExchangeFailed(f"{kind} {model}/{adapter}: {result.name}")

    async def _exchange(self, order):
        """Returns the answer to an order, which is remembered while it has none."""
        self._last_order = order
        self._unanswered.append(order)
        self._replica_adapters.order_sent_at = anyio.current_time()
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                result = await self._context.client.send(self._replica, order)
        except ConnectFailed:
            # Nothing was sent.
            self._unanswered.remove(order)
            raise
        finally:
            self._replica_adapters.order_sent_at = None
        self._unanswered.remove(order)
        return result

    def _counts(self, order, result):
        """Whether an order changed the replica's state, so that it counts the order.

        The repetition of an order in progress changes nothing, nor does a load of what
        the replica holds.
        """
        key = AdapterKey(order.model, order.adapter)
        if order.kind is OrderKind.UNLOAD:
            return self._replica_adapters.unloading != key
        if result is OrderResult.HOLDS_ALREADY:
            return False
        if not order.adapter:
            return not self.model_in_transit
        placement = self._replica_adapters.held.get(key)
        in_progress = placement is not None and placement.ordered_at is not None
        return not in_progress or order.version is not None

    def believed_fields(self):
        """Returns log fields with what the leader believes about the replica."""
        replica_adapters = self._replica_adapters
        placements = replica_adapters.held.values()
        return {
            "orders": self.order_count,
            "held": len(placements),
            "in_transit": sum(item.ordered_at is not None for item in placements),
            "unloading": getattr(replica_adapters.unloading, "adapter", None),
            "slots": replica_adapters.slots,
        }

    def last_order_fields(self):
        """Returns log fields with the last order; none if there was none."""
        order = self._last_order
        if order is None:
            return {}
        return {
            "order": str(order.kind),
            "adapter": order.adapter,
            "expected_orders": order.expected_count,
            "term": order.fencing_token,
        }


async def end_if_cancelled():
    """Ends a task whose scope was cancelled in the turn in which its answer arrived.

    Such a task goes on until it waits again, while its adapters are forgotten already.
    """
    await anyio.lowlevel.checkpoint_if_cancelled()
