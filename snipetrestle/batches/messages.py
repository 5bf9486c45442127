"""Messages between the daemons that submit, hold and query batches."""

import msgspec

from snipetrestle.peers.messages import register_message


class BatchItem(msgspec.Struct, frozen=True):
    """One generation of a batch. ``model`` has the form ``MODEL:ADAPTER@VERSION``."""

    model: str
    prompt: str
    max_tokens: int
    custom_id: str = ""


class ItemResult(msgspec.Struct, frozen=True):
    """Result of an item: its text, or the number of the ResultCode if it failed."""

    index: int
    text: str = ""
    custom_id: str = ""
    finish_reason: str = ""
    code: int = 0
    detail: str = ""

    @property
    def size(self):
        """Returns the approximate size in messages and memory, in bytes."""
        return len(self.text) + len(self.detail) + _OVERHEAD_BYTES


# Memory of one item or result besides its texts, in bytes.
_OVERHEAD_BYTES = 200


def items_size(items):
    """Returns the approximate size of items in messages and memory, in bytes."""
    return sum(len(item.prompt) + _OVERHEAD_BYTES for item in items)


class Holder(msgspec.Struct, frozen=True):
    """One incarnation of a daemon that holds a batch."""

    name: str
    incarnation: str


class Lineage(msgspec.Struct, frozen=True):
    """The holders of a batch; ``epoch`` rises with each change of them.

    If two daemons know different lineages, the one with the higher ``rank`` is valid.
    """

    epoch: int
    primary: Holder
    second: Holder | None

    @property
    def rank(self):
        return self.epoch, self.primary.name, self.primary.incarnation


@register_message
class SubmitBatch(msgspec.Struct, frozen=True):
    """Asks a daemon to hold a batch as its primary.

    ``unique`` identifies the batch. Without items, it asks for the id of a batch that
    was submitted before.
    """

    unique: str
    customer: str
    finish_within_s: float
    items: tuple[BatchItem, ...]


@register_message
class BatchAccepted(msgspec.Struct, frozen=True):
    """Reply to SubmitBatch: two daemons hold the batch."""

    batch_id: str


@register_message
class HoldBatch(msgspec.Struct, frozen=True):
    """Asks a daemon to hold a copy of a batch. Results follow in UpdateBatch.

    ``age_s`` is the time in seconds since the submission; it is sent instead of a time
    stamp, since the daemons' clocks differ.
    """

    unique: str
    customer: str
    finish_within_s: float
    age_s: float
    items: tuple[BatchItem, ...]
    lineage: Lineage


@register_message
class UpdateBatch(msgspec.Struct, frozen=True):
    """Sends results of a batch, and the lineage that the sender knows."""

    unique: str
    lineage: Lineage
    results: tuple[ItemResult, ...] = ()


@register_message
class BatchHeld(msgspec.Struct, frozen=True):
    """Reply to HoldBatch and UpdateBatch: the receiver's incarnation and its lineage.

    Without a lineage the receiver does not hold the batch.
    """

    incarnation: str
    lineage: Lineage | None = None


@register_message
class FetchBatch(msgspec.Struct, frozen=True):
    """Asks for the state of a batch, and for results from index ``results_from`` on."""

    unique: str
    results_from: int | None = None


@register_message
class BatchContent(msgspec.Struct, frozen=True):
    """Reply to FetchBatch. ``known`` is false if the daemon does not hold the batch.

    ``expired`` tells that the daemon held the batch and has removed it after its
    retention. ``late`` tells that the batch is not finished in time.

    ``next_index`` is where the next page of results starts, or None after the last.
    """

    known: bool = False
    expired: bool = False
    customer: str = ""
    total: int = 0
    done: int = 0
    failed: int = 0
    late: bool = False
    results: tuple[ItemResult, ...] = ()
    next_index: int | None = None


class BatchUse(msgspec.Struct, frozen=True):
    """Number of a customer's items that one primary still has to run."""

    customer: str
    items: int


@register_message
class ReportBatchUse(msgspec.Struct, frozen=True):
    """Reports the sender's items to run, for the customers that the receiver counts."""

    uses: tuple[BatchUse, ...]


@register_message
class ReserveBatchUse(msgspec.Struct, frozen=True):
    """Reserves room for more items within a customer's allowance."""

    customer: str
    items: int
