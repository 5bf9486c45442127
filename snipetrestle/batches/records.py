"""The copy of a batch at one holder, and the format of batch ids."""

import anyio
import xxhash

from snipetrestle.batches.messages import (
    BatchContent,
    HoldBatch,
    Holder,
    items_size,
)

_SEPARATOR = "~"
# Maximum size of a page of results, well below the limit of a message between daemons.
PAGE_BYTES = 1_000_000


def format_batch_id(unique, holders):
    """Returns the batch id, which names the first holders and their incarnations."""
    parts = [unique]
    for holder in holders:
        parts += [holder.name, holder.incarnation]
    return _SEPARATOR.join(parts)


def parse_batch_id(batch_id):
    """Returns (unique part, holders). Raises ValueError."""
    unique, *parts = batch_id.split(_SEPARATOR)
    if not unique or len(parts) != 4:
        raise ValueError("a batch id names two holders and their incarnations")
    return unique, (Holder(*parts[:2]), Holder(*parts[2:]))


def unique_of_key(customer, key):
    """Returns the unique part of the id for a submission with an idempotency key."""
    return xxhash.xxh3_128_hexdigest(f"{customer}\0{key}".encode())


class HeldBatch:
    """State of a batch at one holder. Times are on the daemon's own clock."""

    def __init__(self, message):
        self.unique = message.unique
        self.customer = message.customer
        self.finish_within_s = message.finish_within_s
        self.items = message.items
        self.lineage = message.lineage
        self.results_by_index = {}
        # Indices of results that the other holder has not confirmed.
        self.unconfirmed = set()
        self.started_at = anyio.current_time() - message.age_s
        self.finished_at = None
        self.size = items_size(message.items)
        # Set once two daemons hold the batch.
        self.accepted = anyio.Event()
        self._id = None
        # Time of the last message of the other holder.
        self.partner_heard_at = anyio.current_time()
        # Set while this daemon hands the batch over to another daemon.
        self.is_moving = False
        self.move_started = anyio.Event()
        # The other holder of the lineage before the present one.
        self.former_partner = None
        self.push_lock = anyio.Lock()
        # Number of tasks that run the items: 0 or 1.
        self.runner_count = 0
        self.run_scope = anyio.CancelScope()

    @property
    def id(self):
        """The batch id. It names the holders at its first use and stays the same."""
        if self._id is None:
            lineage = self.lineage
            holders = (lineage.primary, lineage.second or lineage.primary)
            self._id = format_batch_id(self.unique, holders)
        return self._id

    @property
    def finished(self):
        return len(self.results_by_index) == len(self.items)

    @property
    def remaining(self):
        return len(self.items) - len(self.results_by_index)

    def is_primary(self, name):
        return self.lineage.primary.name == name

    def partner(self, name):
        """Returns the other holder than ``name``, or None."""
        lineage = self.lineage
        return lineage.second if lineage.primary.name == name else lineage.primary

    def add_result(self, result):
        """Stores the first result of an item, and ignores later ones.

        Returns the size added, in bytes.
        """
        if result.index in self.results_by_index:
            return 0
        self.results_by_index[result.index] = result
        self.unconfirmed.add(result.index)
        if self.finished:
            self.finished_at = anyio.current_time()
        self.size += result.size
        return result.size

    def hold_message(self, lineage):
        """Returns the HoldBatch message that makes another daemon a holder."""
        return HoldBatch(
            unique=self.unique,
            customer=self.customer,
            finish_within_s=self.finish_within_s,
            age_s=anyio.current_time() - self.started_at,
            items=self.items,
            lineage=lineage,
        )

    def result_pages(self, indices):
        """Yields the results at ``indices`` in pages of at most PAGE_BYTES."""
        page, size = [], 0
        for index in sorted(indices):
            result = self.results_by_index[index]
            if page and size + result.size > PAGE_BYTES:
                yield tuple(page)
                page, size = [], 0
            page.append(result)
            size += result.size
        if page:
            yield tuple(page)

    def content(self, results_from=None):
        """Returns the BatchContent, with a page of results from ``results_from`` on."""
        results, next_index = (), None
        if results_from is not None:
            indices = [
                index for index in self.results_by_index if index >= results_from
            ]
            results = next(self.result_pages(indices), ())
            if len(results) < len(indices):
                next_index = results[-1].index + 1
        elapsed = anyio.current_time() - self.started_at
        return BatchContent(
            known=True,
            customer=self.customer,
            total=len(self.items),
            done=len(self.results_by_index),
            failed=sum(result.code != 0 for result in self.results_by_index.values()),
            late=not self.finished and elapsed > self.finish_within_s,
            results=results,
            next_index=next_index,
        )
