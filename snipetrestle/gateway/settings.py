"""Typed settings of a gateway process. Times are in seconds, addresses are (IP, port)."""

import msgspec


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Budget for requests that are sent again, over all hosts."""

    ratio: float
    slack: float
    window_s: float


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of one gateway process.

    ``peers`` is the address for datagrams and snapshots between hosts. ``seeds`` are
    the peers' addresses of hosts that may be known at the start. A leaving replica must
    get no more requests after ``drain_s``, and a configuration must be in force after
    ``apply_s``.
    """

    name: str
    failure_domain: str
    size: float
    callers: tuple[str, int]
    readiness: tuple[str, int]
    metrics: tuple[str, int]
    peers: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    store: tuple[str, int]
    lease_s: float
    drain_s: float
    apply_s: float
    grace_s: float
    retry_budget: RetryBudgetSettings
