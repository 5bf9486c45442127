"""Bounds the memory that the connections of all callers hold together.

Each connection reports what it holds: received bytes, parsed headers, bodies and unsent
responses, with the overhead of the objects. Above the bound, load is shed: requests that
are unfinished are refused, then connections are ended whose callers do not read. A
request that is complete or in progress is never refused.
"""

import asyncio
import math
import operator

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
# Load is shed down to this share of the bound, so that candidates are not searched at
# each byte. If none was found, the next search follows when callers hold more by the
# remaining share of the bound.
TARGET_SHARE = 7 / 8
# While new requests are refused, candidates for shedding are searched at this interval.
CHECK_INTERVAL_S = 0.1
# Connections without a request may take this share of the bound.
CONNECTIONS_SHARE = 0.5
# Up to this multiple of that number, idle connections are ended as after their idle
# limit, so more are open for a moment; above it, they are aborted.
MAX_CONNECTIONS_EXCESS = 9 / 8


def size_and_slowness(held_bytes, age_s):
    """Returns a key that is largest for those that hold most, and then the slowest.

    Sizes up to the same power of two count as equal.
    """
    return held_bytes.bit_length(), age_s / held_bytes


class ShedCounts:
    """Numbers of connections on which load was shed at one time, by kind."""

    __slots__ = (
        "unfinished_requests",
        "unread_responses",
        "idle_connections",
        "new_connections",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)

    def by_kind(self):
        """Returns the numbers by the kind, as it is logged and counted."""
        return {name: getattr(self, name) for name in self.__slots__}


class CallerMemory:
    """Memory that callers may hold.

    ``limits()`` returns the current CallerLimits: a request of the largest legal size
    must find room. ``on_shed(counts)`` is called with the ShedCounts each time that load
    was shed.
    """

    def __init__(self, memory_mb, limits, on_shed=lambda counts: None):
        self._limits = limits
        self._on_shed = on_shed
        self._connections = set()
        self.held_bytes = 0
        self._checked_at = -math.inf
        self.set_memory(memory_mb)

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
        """Sheds load until callers hold TARGET_SHARE of the bound, if they exceed it."""
        self._checked_at = asyncio.get_running_loop().time()
        # The bound may have changed, and responses that were sent are not reported.
        self._note_bound()
        self._check_above_bytes = math.inf
        for connection in self._connections:
            connection.report_held()
        target_bytes = TARGET_SHARE * self.bound_bytes
        counts = ShedCounts()
        if self.is_full:
            self._refuse_unfinished(target_bytes, counts)
        if self.is_full:
            self._end_unread(target_bytes, counts)
        self._check_above_bytes = self.bound_bytes
        if self.is_full:
            step_bytes = (1 - TARGET_SHARE) * self.bound_bytes
            self._check_above_bytes = self.held_bytes + step_bytes
        if any(counts.by_kind().values()):
            self._on_shed(counts)

    def _refuse_unfinished(self, target_bytes, counts):
        for connection in self._largest_first("unfinished_bytes", "unfinished_since"):
            if self.held_bytes <= target_bytes:
                return
            connection.refuse_for_memory()
            counts.unfinished_requests += 1

    def _end_unread(self, target_bytes, counts):
        for connection in self._largest_first("unread_bytes", "unread_since"):
            if self.held_bytes <= target_bytes:
                return
            connection.end_unread()
            counts.unread_responses += 1

    def _largest_first(self, size_name, since_name):
        """Returns the connections that hold bytes of a kind, in order of shedding.

        The arguments name the attributes with their number and their start time.
        """
        now = asyncio.get_running_loop().time()
        size, since = operator.attrgetter(size_name), operator.attrgetter(since_name)
        return sorted(
            filter(size, self._connections),
            key=lambda item: size_and_slowness(size(item), now - since(item)),
            reverse=True,
        )

    def _end_longest_idle(self, new_connection):
        """Ends the connection that has been idle for longest, or else the new one.

        An idle connection is ended as after its idle limit. Only if far too many are
        open, it is aborted, or the new one if none is idle.
        """
        limit = MAX_CONNECTIONS_EXCESS * self.max_connections
        is_urgent = len(self._connections) > limit
        idle = [
            item
            for item in self._connections
            if item is not new_connection and item.may_end_idle(is_urgent)
        ]
        counts = ShedCounts()
        if idle:
            longest_idle = min(idle, key=lambda item: item.idle_since)
            longest_idle.end_idle(is_urgent)
            counts.idle_connections = 1
        elif is_urgent:
            new_connection.end_unserved()
            counts.new_connections = 1
        else:
            return
        self._on_shed(counts)
