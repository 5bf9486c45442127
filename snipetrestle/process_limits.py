"""What a process may use of its machine, divided among its parts.

Callers' connections, connections to other servers, and the process's own files and
sockets share its descriptors, so that none of them can take those of the others.
"""

import math
import os
import resource

MB = 1_000_000
# Used by a process without callers.
PROCESS_BYTES = 70 * MB
# A daemon whose settings name no memory.
DEFAULT_MEMORY_MB = 512.0
# Of the kernel's limit of descriptors, so many are for files and libraries.
OWN_FILES = 64
# Listeners and their few callers who ask for the status, datagrams, the event loop, and
# connections to the store.
OWN_SOCKETS = 40
# Of the other sockets. The rest is for connections that are about to be closed.
CALLERS_SHARE = 0.45
SERVERS_SHARE = 0.35
PEERS_SHARE = 0.05
# The same where each of the other daemons keeps a connection open.
PERMANENT_PEERS_SHARE = 0.12
# However few descriptors there are, so many sockets are divided.
MIN_SHARED_SOCKETS = 20


class ProcessLimits:
    """Memory in units of 10^6 bytes, and the number of sockets, of one process.

    ``max_sockets`` is math.inf if only the kernel limits their number.
    """

    __slots__ = ("memory_mb", "_shared_sockets")

    def __init__(self, memory_mb, max_sockets=math.inf):
        self.memory_mb = memory_mb
        kernel_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if kernel_limit != resource.RLIM_INFINITY:
            max_sockets = min(max_sockets, kernel_limit - OWN_FILES)
        self._shared_sockets = max(MIN_SHARED_SOCKETS, max_sockets - OWN_SOCKETS)

    @classmethod
    def from_machine(cls, memory_mb=DEFAULT_MEMORY_MB):
        """Returns the limits of a process that has a machine for itself."""
        machine_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        return cls(min(memory_mb, machine_bytes / MB))

    @property
    def free_bytes(self):
        """Memory that is left beside the process itself."""
        return self.memory_mb * MB - PROCESS_BYTES

    @property
    def max_caller_connections(self):
        """Number of callers' connections above which some are ended."""
        return CALLERS_SHARE * self._shared_sockets

    @property
    def max_server_connections(self):
        """Number of connections that the process may open to other servers."""
        return SERVERS_SHARE * self._shared_sockets

    @property
    def max_peer_connections(self):
        """Number of connections that other hosts may open."""
        return PEERS_SHARE * self._shared_sockets

    @property
    def max_permanent_peer_connections(self):
        """The same if each of the other hosts keeps one open."""
        return PERMANENT_PEERS_SHARE * self._shared_sockets


class StatusLimits:
    """Limits of a listener for few callers, such as readiness probes.

    They have the same attributes as ProcessLimits.
    """

    free_bytes = 4 * MB
    max_caller_connections = 8
