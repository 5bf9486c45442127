"""Limits the batch items that each customer has queued at all daemons together.

One daemon counts for a customer: the first in the customer's rendezvous order.
Primaries report periodically how many items they still have to run; a report counts
until it expires. A daemon that starts to count has no reports for one interval, so the
allowance may be exceeded by what is submitted in that time.
"""

import collections

import anyio

from snipetrestle.batches.messages import BatchUse, ReportBatchUse, ReserveBatchUse
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.hashing import rendezvous_first
from snipetrestle.peers.messages import Acknowledged
from snipetrestle.peers.transport import PeerUnreachable

REPORT_INTERVAL_S = 5.0
# Two reports may be lost before a primary's items are no longer counted.
REPORT_LIFETIME_S = 3 * REPORT_INTERVAL_S
# A reservation counts until the primary's next report has certainly arrived.
RESERVATION_LIFETIME_S = 2 * REPORT_INTERVAL_S
CALL_TIMEOUT_S = 1.0


class BatchAllowances:
    """Reserves and reports batch items of this daemon, and counts those of all daemons.

    ``call(name, message, timeout)`` calls any member, including this daemon.
    ``allowance_of(customer)`` returns the maximum number of queued items, or None if
    there is no such customer. ``remaining_items_by_customer()`` returns the items that
    this daemon still has to run as a primary.
    """

    def __init__(
        self, membership, router, call, allowance_of, remaining_items_by_customer
    ):
        self._membership = membership
        self._call = call
        self._allowance_of = allowance_of
        self._remaining_items_by_customer = remaining_items_by_customer
        # (items, expiry time) by customer and reporting daemon.
        self._reports_by_customer = collections.defaultdict(dict)
        # Lists of (items, expiry time) by customer.
        self._reservations_by_customer = collections.defaultdict(list)
        router.on_call(ReportBatchUse, self._on_report)
        router.on_call(ReserveBatchUse, self._on_reserve)

    async def reserve(self, customer, items):
        """Reserves room for items. Raises ServingError if it exceeds the allowance."""
        counting_daemon = rendezvous_first(customer, self._membership.routable())
        try:
            message = ReserveBatchUse(customer, items)
            await self._call(counting_daemon, message, CALL_TIMEOUT_S)
        except PeerUnreachable:
            # Without the counting daemon each daemon may use an equal share of the
            # allowance, which keeps the total bounded.
            equal_share = self._allowance(customer) / self._membership.listed_count()
            if (
                self._remaining_items_by_customer().get(customer, 0) + items
                > equal_share
            ):
                raise _allowance_error(customer) from None

    async def run(self):
        """Sends reports periodically until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            await self._report()

    async def _report(self):
        members = self._membership.routable()
        uses_by_daemon = collections.defaultdict(list)
        for customer, items in sorted(self._remaining_items_by_customer().items()):
            counting_daemon = rendezvous_first(customer, members)
            if counting_daemon is not None:
                uses_by_daemon[counting_daemon].append(BatchUse(customer, items))
        for counting_daemon, uses in uses_by_daemon.items():
            try:
                await self._call(
                    counting_daemon, ReportBatchUse(tuple(uses)), CALL_TIMEOUT_S
                )
            except (PeerUnreachable, ServingError):
                continue

    async def _on_report(self, sender, message):
        expires_at = anyio.current_time() + REPORT_LIFETIME_S
        for use in message.uses:
            self._reports_by_customer[use.customer][sender] = (use.items, expires_at)
        return Acknowledged()

    async def _on_reserve(self, sender, message):
        queued = self._queued_items(message.customer)
        if queued + message.items > self._allowance(message.customer):
            raise _allowance_error(message.customer)
        expires_at = anyio.current_time() + RESERVATION_LIFETIME_S
        self._reservations_by_customer[message.customer].append(
            (message.items, expires_at)
        )
        return Acknowledged()

    def _queued_items(self, customer):
        """Returns the counted items, and removes expired reports and reservations."""
        now = anyio.current_time()
        reports = self._reports_by_customer[customer]
        for sender, (_, expires_at) in tuple(reports.items()):
            if expires_at <= now:
                del reports[sender]
        reservations = [
            item for item in self._reservations_by_customer[customer] if item[1] > now
        ]
        self._reservations_by_customer[customer] = reservations
        return sum(items for items, _ in (*reports.values(), *reservations))

    def _allowance(self, customer):
        allowance = self._allowance_of(customer)
        return 0 if allowance is None else allowance


def _allowance_error(customer):
    return ServingError(
        ResultCode.BATCH_ALLOWANCE, customer, retry_after=REPORT_INTERVAL_S
    )
