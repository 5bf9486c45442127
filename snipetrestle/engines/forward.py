"""Messages of a generation between its entry and the owner of a replica."""

import enum

import msgspec

from snipetrestle.peers.messages import register_message


class RequestClass(enum.StrEnum):
    """Class of a request: somebody waits for it, or it is batch work."""

    WAITING = "waiting"
    BATCH = "batch"


class ReplicaHints(msgspec.Struct):
    """What an owner tells with its replies about a replica, for the choice of replica.

    ``residents`` are handles without the owner's suffix, the hottest first, and are sent
    with the last message of a request only.
    """

    replica: str
    queued: int = 0
    running: int = 0
    resident: bool = False
    expected_wait_s: float = 0.0
    residents: tuple[str, ...] | None = None


@register_message
class Forward(msgspec.Struct, frozen=True):
    """One generation for a replica. Times are seconds left, since clocks differ."""

    request_id: str
    replica: str
    customer: str
    request_class: RequestClass
    model: str
    adapter: str
    version: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    time_left_s: float
    prefix: str = ""
    weight: float = 1.0
    attempt: int = 1
    next_index: int = 0
    forced_tokens: tuple[str, ...] = ()


@register_message
class Accepted(msgspec.Struct):
    """The owner has queued the request."""

    hints: ReplicaHints


@register_message
class Tokens(msgspec.Struct):
    """Consecutive tokens of the request, from ``first_index``."""

    first_index: int
    tokens: tuple[str, ...]


@register_message
class Finished(msgspec.Struct):
    """The generation ended. Times are in seconds, for the entry's metrics."""

    finish_reason: str
    queue_wait_s: float = 0.0
    load_stall_s: float = 0.0
    hints: ReplicaHints | None = None
