"""Settings of a gateway process. Times are in seconds, addresses are (IP, port)."""

import math

import msgspec

from snipetrestle.process_limits import ProcessLimits

# The smallest hosts of the platform.
DEFAULT_MEMORY_MB = 152.0


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Retry budget of a backend, shared by all hosts.

    In each window of ``window_s`` seconds, the hosts together may retry ``ratio`` times
    the number of requests plus ``slack``.
    """

    ratio: float
    slack: float
    window_s: float


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of one gateway process.

    ``size`` is the CPU capacity of the host in cores. ``callers``, ``readiness`` and
    ``metrics`` are the HTTP addresses to listen on; ``peers`` is the address for
    datagrams and snapshots between hosts. ``seeds`` are the peer addresses of hosts to
    contact at the start. ``store`` is the address of the platform's store. ``lease_s``
    is the lease of the leader. A leaving replica must get no more requests after
    ``replica_drain_s``, and a published configuration must be in effect after
    ``configuration_apply_s``. ``shutdown_grace_s`` is the time from the stop signal
    until the process must have ended, and ``entry_expiry_s`` the time after which the
    store removes the entry of a silent replica. ``memory_mb`` is the memory that the
    process may use, in units of 10^6 bytes, and ``max_sockets`` the number of sockets
    that it may open.
    With ``dispatch_permits``, requests to crowded backends wait for permits.
    ``history_s`` is for how long the store keeps its history as a rule, None if it does
    not say, and ``heartbeat_s`` the time between two heartbeats of a replica, 0 if it
    is not known.
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
    replica_drain_s: float
    configuration_apply_s: float
    shutdown_grace_s: float
    entry_expiry_s: float
    retry_budget: RetryBudgetSettings
    memory_mb: float = DEFAULT_MEMORY_MB
    max_sockets: float = math.inf
    dispatch_permits: bool = False
    history_s: float | None = None
    heartbeat_s: float = 0.0

    @property
    def process_limits(self):
        """The ProcessLimits that hold now; the kernel's may change."""
        return ProcessLimits(self.memory_mb, self.max_sockets)
