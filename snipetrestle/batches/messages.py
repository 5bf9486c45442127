"""Messages between the holders of batch work."""

import msgspec

from snipetrestle.peers.messages import register_message


class BatchItem(msgspec.Struct, frozen=True):
    """One generation of a batch. ``model`` is ``MODEL:ADAPTER@VERSION``."""

    model: str
    prompt: str
    max_tokens: int
    custom_id: str = ""


class ItemResult(msgspec.Struct, frozen=True):
    """Result of an item: its text, or the number of the code with which it failed."""

    index: int
    text: str = ""
    custom_id: str = ""
    finish_reason: str = ""
    code: int = 0
    detail: str = ""

    @property
    def size(self):
        """Returns the bytes that the result takes in messages and memory."""
        return len(self.text) + len(self.detail) + _ENTRY_BYTES


# Memory of one item or result beside its texts, in bytes.
_ENTRY_BYTES = 200


def items_size(items):
    """Returns the bytes that items take in messages and memory."""
    return sum(len(item.prompt) + _ENTRY_BYTES for item in items)


class Holder(msgspec.Struct, frozen=True):
    """One incarnation of a daemon that holds a batch."""

    name: str
    incarnation: str


class Lineage(msgspec.Struct, frozen=True):
    """Who holds a batch. Of two that disagree, the one with the higher rank counts."""

    epoch: int
    primary: Holder
    second: Holder | None

    @property
    def rank(self):
        return self.epoch, self.primary.name, self.primary.incarnation


@register_message
class SubmitBatch(msgspec.Struct, frozen=True):
    """Asks a daemon to hold a batch as its primary."""

    unique: str
    customer: str
    finish_within_s: float
    items: tuple[BatchItem, ...]


@register_message
class BatchAccepted(msgspec.Struct, frozen=True):
    """Two daemons hold the batch."""

    batch_id: str


@register_message
class HoldBatch(msgspec.Struct, frozen=True):
    """A whole copy without results, which follow in UpdateBatch.

    Ages are in seconds, since clocks differ.
    """

    unique: str
    customer: str
    finish_within_s: float
    age_s: float
    items: tuple[BatchItem, ...]
    lineage: Lineage


@register_message
class UpdateBatch(msgspec.Struct, frozen=True):
    """Results and the holders of a batch, as the sender knows them."""

    unique: str
    lineage: Lineage
    results: tuple[ItemResult, ...] = ()


@register_message
class BatchHeld(msgspec.Struct, frozen=True):
    """What the receiver holds now. Without a lineage it holds nothing of the batch."""

    incarnation: str
    lineage: Lineage | None = None


@register_message
class FetchBatch(msgspec.Struct, frozen=True):
    """Asks for the state of a batch, and for results from an index on."""

    unique: str
    results_from: int | None = None


@register_message
class BatchContent(msgspec.Struct, frozen=True):
    """State of a batch at one holder; ``known`` is false at a daemon without it.

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
    """Items of a customer that one primary still has to run."""

    customer: str
    items: int


@register_message
class ReportBatchUse(msgspec.Struct, frozen=True):
    """What the sender has to run, for the customers that the receiver counts."""

    uses: tuple[BatchUse, ...]


@register_message
class ReserveBatchUse(msgspec.Struct, frozen=True):
    """Asks whether a customer's allowance has room for more items."""

    customer: str
    items: int
