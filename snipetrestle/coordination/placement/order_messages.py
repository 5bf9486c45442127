"""Messages between the leader and the replicas that it orders."""

import enum

import msgspec

from snipetrestle.gateway.configuration import AdapterKey


class OrderKind(enum.StrEnum):
    LOAD = "load"
    UNLOAD = "unload"


class Order(msgspec.Struct, frozen=True):
    """An order to a replica. An empty ``adapter`` means the base model itself.

    ``holder`` is the name of the leader that holds the fencing token.
    ``expected_count`` is the number of orders that the replica must have accepted
    before; None if any number will do.
    """

    kind: OrderKind
    model: str
    adapter: str
    holder: str
    fencing_token: int
    expected_count: int | None = None
    version: int | None = None


class OrderResult(enum.Enum):
    """A replica's answer to an order.

    HOLDS_ALREADY: the ordered state is already reached. CONFLICT: another order is in
    progress, or ``expected_count`` does not match. WRONG_REPLICA: the address now
    belongs to another replica.
    """

    ACCEPTED = enum.auto()
    HOLDS_ALREADY = enum.auto()
    CONFLICT = enum.auto()
    TOKEN_TOO_LOW = enum.auto()
    WRONG_REPLICA = enum.auto()
    REFUSED = enum.auto()


class ReplicaReport(msgspec.Struct, frozen=True):
    """State of a replica. ``versions_by_adapter`` includes those ``in_transit``.

    ``replaced`` are those in transit of which an older version is still held. ``boot``
    is the start time of the replica's process, and ``request_count`` the number of the
    callers' requests that it has; each is None if the replica does not tell.
    """

    order_count: int
    busy: bool
    models: frozenset[str]
    versions_by_adapter: dict[AdapterKey, int]
    in_transit: frozenset[AdapterKey] = frozenset()
    replaced: frozenset[AdapterKey] = frozenset()
    boot: int | None = None
    request_count: int | None = None
