"""Counts the batch work that each customer has queued over all daemons.

One daemon counts for a customer, the first in rendezvous order. Primaries report what
they still have to run; a report counts until it expires. A new counter knows nothing
for one report period, so the allowance may be overrun by what is submitted within it.
"""

import collections

import anyio

from snipetrestle.batches.messages import BatchUse, ReportBatchUse, ReserveBatchUse
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.hashing import rendezvous_first
from snipetrestle.peers.messages import Acknowledged
from snipetrestle.peers.transport import PeerUnreachable

REPORT_PERIOD_S = 5.0
# Two reports may be lost before a primary's work is no longer counted.
REPORT_TERM_S = 3 * REPORT_PERIOD_S
# A reservation counts until the primary's next report surely has arrived.
RESERVATION_S = 2 * REPORT_PERIOD_S
CALL_TIMEOUT_S = 1.0


class BatchAllowances:
    """Both sides of the count: the reserving entry and the counting daemon.

    ``call(name, message, timeout)`` reaches any member, the own one included.
    ``allowance_of(customer)`` returns the most items queued, or None for no such
    customer. ``uses()`` returns the items left by customer at this primary.
    """

    def __init__(self, membership, router, call, allowance_of, uses):
        self._membership = membership
        self._call = call
        self._allowance_of = allowance_of
        self._uses = uses
        # (items, end) by customer and reporting daemon.
        self._reports_by_customer = collections.defaultdict(dict)
        self._reservations_by_customer = collections.defaultdict(list)
        router.on_call(ReportBatchUse, self._on_report)
        router.on_call(ReserveBatchUse, self._on_reserve)

    async def reserve(self, customer, items):
        """Raises ServingError if the customer's allowance has no room."""
        counter = rendezvous_first(customer, self._membership.routable())
        try:
            message = ReserveBatchUse(customer, items)
            await self._call(counter, message, CALL_TIMEOUT_S)
        except PeerUnreachable:
            # An equal part of the allowance keeps the total bounded meanwhile.
            part = self._allowance(customer) / self._membership.listed_count()
            if self._uses().get(customer, 0) + items > part:
                raise _used_up(customer) from None

    async def run(self):
        """Reports until cancelled."""
        while True:
            await anyio.sleep(REPORT_PERIOD_S)
            await self._report()

    async def _report(self):
        members = self._membership.routable()
        uses_by_counter = collections.defaultdict(list)
        for customer, items in sorted(self._uses().items()):
            counter = rendezvous_first(customer, members)
            if counter is not None:
                uses_by_counter[counter].append(BatchUse(customer, items))
        for counter, uses in uses_by_counter.items():
            try:
                await self._call(counter, ReportBatchUse(tuple(uses)), CALL_TIMEOUT_S)
            except (PeerUnreachable, ServingError):
                continue

    async def _on_report(self, sender, message):
        end = anyio.current_time() + REPORT_TERM_S
        for use in message.uses:
            self._reports_by_customer[use.customer][sender] = (use.items, end)
        return Acknowledged()

    async def _on_reserve(self, sender, message):
        queued = self._queued(message.customer)
        if queued + message.items > self._allowance(message.customer):
            raise _used_up(message.customer)
        end = anyio.current_time() + RESERVATION_S
        self._reservations_by_customer[message.customer].append((message.items, end))
        return Acknowledged()

    def _queued(self, customer):
        now = anyio.current_time()
        reports = self._reports_by_customer[customer]
        for sender, (_, end) in tuple(reports.items()):
            if end <= now:
                del reports[sender]
        reservations = [
            item for item in self._reservations_by_customer[customer] if item[1] > now
        ]
        self._reservations_by_customer[customer] = reservations
        return sum(items for items, _ in (*reports.values(), *reservations))

    def _allowance(self, customer):
        allowance = self._allowance_of(customer)
        return 0 if allowance is None else allowance


def _used_up(customer):
    return ServingError(
        ResultCode.BATCH_ALLOWANCE, customer, retry_after=REPORT_PERIOD_S
    )
