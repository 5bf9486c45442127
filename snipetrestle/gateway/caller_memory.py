"""Bounds the memory that the connections of all callers hold together.

Each connection reports what it holds: received bytes, parsed headers, bodies and unsent
responses, with the overhead of the objects. Above the bound, room is made by refusing
requests that are unfinished, then by ending connections whose callers do not read. A
request that is complete or in progress is never refused.
"""

import asyncio
import math

MB = 1_000_000
# The smallest hosts of the platform.
DEFAULT_MEMORY_MB = 152.0
# Used by the process without callers.
PROCESS_BYTES = 70 * MB
# Copies of one of the largest bodies that exist while it is joined and sent on. Only one
# request at a time has them.
TRANSIENT_COPIES = 3
# The allocator does not give all free memory back.
USABLE_SHARE = 0.75
# A connection with its task, and what a request in progress adds to it.
CONNECTION_BYTES = 8192
REQUEST_IN_PROGRESS_BYTES = 8192
# The objects of a request without headers, and of one header line besides its text.
REQUEST_BYTES = 256
HEADER_LINE_BYTES = 192
# A body is held once, and once more while it is sent to a replica.
BODY_COPIES = 2
# Room is made down to this share of the bound, so that it is not looked for at each
# byte. The same part of the bound must be added before it is looked for in vain again.
TARGET_SHARE = 7 / 8
# While new requests are refused, room is looked for at this interval.
CHECK_INTERVAL_S = 0.1
# Connections without a request may take this share of the bound.
CONNECTIONS_SHARE = 0.5
# This many times as many are open for a moment, while idle ones are ended in good order.
MAX_CONNECTIONS_EXCESS = 9 / 8


def size_and_slowness(held_bytes, age_s):
    """Returns a key that is largest for those that hold most, and then the slowest.

    Sizes up to the same power of two count as equal.
    """
    return held_bytes.bit_length(), age_s / held_bytes


class Relief:
    """What was done at one time to make room, by the number of connections."""

    __slots__ = (
        "unfinished_requests",
        "unread_responses",
        "idle_connections",
        "new_connections",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)

    def counts(self):
        """Returns the numbers by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class CallerMemory:
    """Memory that callers may hold.

    ``limits()`` returns the current CallerLimits: a request of the largest legal size
    must find room. ``on_relief(relief)`` is called with each Relief.
    """

    def __init__(self, memory_mb, limits, on_relief=lambda relief: None):
        self._limits = limits
        self._on_relief = on_relief
        self._connections = set()
        self.held_bytes = 0
        self._checked_at = -math.inf
        self.set_memory(memory_mb)

    @classmethod
    def from_settings(cls, settings, limits, on_relief):
        """Returns the bound that GatewaySettings give."""
        return cls(settings.memory_mb, limits, on_relief)

    def set_memory(self, memory_mb):
        """Applies a limit for the whole process."""
        self._memory_bytes = memory_mb * MB
        self._note_bound()

    def _note_bound(self):
        self.bound_bytes = self._current_bound()
        self._check_above_bytes = self.bound_bytes

    def _current_bound(self):
        largest_body = self._limits().max_body_bytes
        free_bytes = (
            self._memory_bytes - PROCESS_BYTES - TRANSIENT_COPIES * largest_body
        )
        # A single request of the largest size is served in any case.
        least_bytes = BODY_COPIES * largest_body + MB
        return int(max(USABLE_SHARE * free_bytes, least_bytes))

    @property
    def max_connections(self):
        """Number of connections above which idle ones are ended."""
        return int(CONNECTIONS_SHARE * self.bound_bytes / CONNECTION_BYTES)

    @property
    def is_full(self):
        """Whether callers hold more than they may."""
        return self.held_bytes > self.bound_bytes

    def refuses_new(self):
        """Whether no new request may begin to arrive."""
        if not self.is_full:
            return False
        now = asyncio.get_running_loop().time()
        if now - self._checked_at >= CHECK_INTERVAL_S:
            # Responses may have been sent meanwhile.
            self._make_room()
        return self.is_full

    def add(self, connection):
        """Adds a new connection, which may end another one or itself."""
        self._connections.add(connection)
        if len(self._connections) > self.max_connections:
            self._end_longest_idle(connection)

    def discard(self, connection):
        """Removes a connection that has been closed."""
        self._connections.discard(connection)

    def resize(self, old_bytes, new_bytes):
        """Notes that a connection holds ``new_bytes`` instead of ``old_bytes``."""
        self.held_bytes += new_bytes - old_bytes
        if self.held_bytes <= self.bound_bytes < self._check_above_bytes < math.inf:
            # Room was looked for in vain, and has come since.
            self._check_above_bytes = self.bound_bytes
        if new_bytes > old_bytes and self.held_bytes > self._check_above_bytes:
            self._make_room()

    def _make_room(self):
        self._checked_at = asyncio.get_running_loop().time()
        # The bound may have changed, and responses that were sent are not reported.
        self._note_bound()
        self._check_above_bytes = math.inf
        for connection in self._connections:
            connection.report_held()
        target_bytes = TARGET_SHARE * self.bound_bytes
        relief = Relief()
        if self.held_bytes > self.bound_bytes:
            self._refuse_unfinished(target_bytes, relief)
        if self.held_bytes > self.bound_bytes:
            self._end_unread(target_bytes, relief)
        self._check_above_bytes = self.bound_bytes
        if self.is_full:
            step_bytes = (1 - TARGET_SHARE) * self.bound_bytes
            self._check_above_bytes = self.held_bytes + step_bytes
        if any(relief.counts().values()):
            self._on_relief(relief)

    def _refuse_unfinished(self, target_bytes, relief):
        now = asyncio.get_running_loop().time()
        candidates = [item for item in self._connections if item.unfinished_bytes]
        candidates.sort(
            key=lambda item: size_and_slowness(
                item.unfinished_bytes, now - item.unfinished_since
            ),
            reverse=True,
        )
        for connection in candidates:
            if self.held_bytes <= target_bytes:
                return
            connection.refuse_for_memory()
            relief.unfinished_requests += 1

    def _end_unread(self, target_bytes, relief):
        now = asyncio.get_running_loop().time()
        candidates = [item for item in self._connections if item.unread_bytes]
        candidates.sort(
            key=lambda item: size_and_slowness(
                item.unread_bytes, now - item.unread_since
            ),
            reverse=True,
        )
        for connection in candidates:
            if self.held_bytes <= target_bytes:
                return
            connection.end_unread()
            relief.unread_responses += 1

    def _end_longest_idle(self, new_connection):
        """Ends the connection that has been idle for longest, or else the new one.

        Idle connections are ended in good order, unless too many are open.
        """
        limit = MAX_CONNECTIONS_EXCESS * self.max_connections
        is_urgent = len(self._connections) > limit
        idle = [
            item
            for item in self._connections
            if item is not new_connection and item.may_end_idle(is_urgent)
        ]
        relief = Relief()
        if idle:
            longest_idle = min(idle, key=lambda item: item.idle_since)
            longest_idle.end_idle(is_urgent)
            relief.idle_connections = 1
        elif is_urgent:
            new_connection.end_unserved()
            relief.new_connections = 1
        else:
            return
        self._on_relief(relief)
