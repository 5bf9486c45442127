"""What one daemon holds of a batch, and the ids of batches."""

import anyio
import xxhash

from snipetrestle.batches.messages import (
    BatchContent,
    HoldBatch,
    Holder,
    items_size,
)

_SEPARATOR = "~"
# A page of results stays well below the limit of a message between daemons.
PAGE_BYTES = 1_000_000


def format_batch_id(unique, holders):
    """Returns the id, which names the first holders and their incarnations."""
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
    """Returns the unique part for a submission that may be repeated."""
    return xxhash.xxh3_128_hexdigest(f"{customer}\0{key}".encode())


class HeldBatch:
    """A copy of a batch at one holder. Times are on the daemon's own clock."""

    def __init__(self, copy):
        self.unique = copy.unique
        self.customer = copy.customer
        self.finish_within_s = copy.finish_within_s
        self.items = copy.items
        self.lineage = copy.lineage
        self.results_by_index = {}
        # Results that the other holder has not confirmed.
        self.unconfirmed = set()
        self.started = anyio.current_time() - copy.age_s
        self.finished_at = None
        self.size = items_size(copy.items)
        # Set once two holders have it; the id is known from then on.
        self.accepted = anyio.Event()
        self.batch_id = None
        self.heard_at = anyio.current_time()
        self.moving = False
        self.move_begun = anyio.Event()
        self.former_partner = None
        self.push_lock = anyio.Lock()
        self.running_items = 0
        self.scope = anyio.CancelScope()

    @property
    def finished(self):
        return len(self.results_by_index) == len(self.items)

    @property
    def remaining(self):
        return len(self.items) - len(self.results_by_index)

    def is_primary(self, name):
        return self.lineage.primary.name == name

    def partner(self, name):
        """Returns the other holder, or None."""
        lineage = self.lineage
        return lineage.second if lineage.primary.name == name else lineage.primary

    def add_result(self, result):
        """Keeps the first result of an item. Returns the bytes added."""
        if result.index in self.results_by_index:
            return 0
        self.results_by_index[result.index] = result
        self.unconfirmed.add(result.index)
        if self.finished:
            self.finished_at = anyio.current_time()
        self.size += result.size
        return result.size

    def copy(self, lineage):
        """Returns the message that makes another daemon a holder."""
        return HoldBatch(
            unique=self.unique,
            customer=self.customer,
            finish_within_s=self.finish_within_s,
            age_s=anyio.current_time() - self.started,
            items=self.items,
            lineage=lineage,
        )

    def pages(self, indices):
        """Yields tuples of the results at ``indices``, each at most a page."""
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
        """Returns the state, with one page of results if they are asked for."""
        results, next_index = (), None
        if results_from is not None:
            indices = [
                index for index in self.results_by_index if index >= results_from
            ]
            results = next(self.pages(indices), ())
            if len(results) < len(indices):
                next_index = results[-1].index + 1
        elapsed = anyio.current_time() - self.started
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
