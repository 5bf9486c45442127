"""Messages between the daemon that received a request and the owner of a replica."""

import enum

import msgspec

from snipetrestle.peers.messages import register_message


class RequestClass(enum.StrEnum):
    """Class of a request: WAITING if a caller waits for the answer, BATCH otherwise."""

    WAITING = "waiting"
    BATCH = "batch"


class ReplicaHints(msgspec.Struct):
    """Load of a replica, sent with replies as a hint for replica selection.

    ``resident`` tells whether the adapter of the request is loaded. ``residents`` are
    the handles of the loaded copies without the owner's suffix, in descending order of
    demand; they are sent only with the last message of a request.
    """

    replica: str
    queued: int = 0
    running: int = 0
    resident: bool = False
    expected_wait_s: float = 0.0
    residents: tuple[str, ...] | None = None


@register_message
class Forward(msgspec.Struct, frozen=True):
    """A generation request for the owner of a replica.

    The deadline is sent as the seconds left, since the clocks of daemons differ.
    """

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
    """Consecutive tokens of the answer, from the index ``first_index`` on."""

    first_index: int
    tokens: tuple[str, ...]


@register_message
class Finished(msgspec.Struct):
    """The generation ended. The times in seconds go into the receiver's metrics."""

    finish_reason: str
    queue_wait_s: float = 0.0
    load_stall_s: float = 0.0
    hints: ReplicaHints | None = None
