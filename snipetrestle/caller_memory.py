"""Bounds the memory that the connections of all callers hold together, and their number.

Each connection reports what it holds: received bytes, parsed headers, bodies and unsent
responses, with the overhead of the objects. Above the bound, load is shed: requests that
are unfinished are refused, then connections are ended whose callers do not read. A
request that is complete or in progress is never refused. With too many connections,
those are ended on which a request has stopped arriving, then idle ones.
"""

import asyncio
import enum
import math
import operator

from snipetrestle.process_limits import MB

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
# What a caller that was refused for lack of memory is told to wait.
FULL_RETRY_AFTER_S = 1.0
# Connections without a request may take this share of the bound.
CONNECTIONS_SHARE = 0.5
# Up to this multiple of that number, idle connections are ended as after their idle
# limit, so more are open for a moment; above it, they are aborted.
MAX_CONNECTIONS_EXCESS = 9 / 8
# A request of which nothing came for this long has stopped arriving.
STOPPED_AFTER_S = 1.0
# A connection stays open for this long, so that a caller on a slow link can send its
# request, however many others are opened meanwhile.
MIN_STAY_S = 0.1
# While there are far too many connections, some are ended at this interval.
ROOM_CHECK_INTERVAL_S = 0.005
# So that connections are not searched at each new one, this share of the maximum is
# ended at a time, but of idle ones no more than needed unless far too many are open.
ENDED_SHARE = 1 / 16


class ConnectionState(enum.Enum):
    """What a connection does that may have to be ended."""

    # A request is in progress, or has arrived.
    BUSY = enum.auto()
    # A request is arriving, or none has begun since the connection was opened.
    ARRIVING = enum.auto()
    IDLE = enum.auto()
    # The connection is being ended already.
    ENDING = enum.auto()


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
        "arriving_requests",
        "new_connections",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)

    def by_kind(self):
        """Returns the numbers by the kind, as it is logged and counted."""
        return {name: getattr(self, name) for name in self.__slots__}


class CallerMemory:
    """Memory that callers may hold, and connections that they may open.

    ``process`` is the ProcessLimits. ``limits()`` returns the current limits of a
    request: one with the largest legal body, ``max_body_bytes``, must find room.
    ``on_shed(counts)`` is called with the ShedCounts each time that load was shed.
    ``connection_bytes`` is what a connection takes without a request.
    """

    def __init__(
        self,
        process,
        limits,
        on_shed=lambda counts: None,
        connection_bytes=CONNECTION_BYTES,
    ):
        self._limits = limits
        self._on_shed = on_shed
        self.connection_bytes = connection_bytes
        self._connections = set()
        self.held_bytes = 0
        self._checked_at = -math.inf
        self.set_process_limits(process)

    def set_process_limits(self, process):
        """Applies limits for the whole process."""
        self._process = process
        self._note_bound()

    def _note_bound(self):
        self.bound_bytes = self._current_bound()
        self._check_above_bytes = self.bound_bytes

    def _current_bound(self):
        largest_body = self._limits().max_body_bytes
        free_bytes = self._process.free_bytes - TRANSIENT_COPIES * largest_body
        # A single request of the largest size is served in any case.
        least_bytes = BODY_COPIES * largest_body + MB
        return int(max(USABLE_SHARE * free_bytes, least_bytes))

    @property
    def max_connections(self):
        """Number of connections above which some are ended."""
        memory_limit = CONNECTIONS_SHARE * self.bound_bytes / self.connection_bytes
        return int(min(memory_limit, self._process.max_caller_connections))

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

    async def wait_for_room(self, count_opening):
        """Returns once another connection may be opened.

        ``count_opening()`` returns the number of those that are about to be added. With
        far too many, others are ended first, unless all of them are busy.
        """
        while len(self._connections) + count_opening() >= self._most_connections:
            if not self._end_old():
                return
            await asyncio.sleep(ROOM_CHECK_INTERVAL_S)

    def count_free(self):
        """Returns how many connections may be opened before others are aborted."""
        return max(0, self._most_connections - len(self._connections))

    def _end_old(self):
        """Ends connections that have stayed open for long enough.

        Returns whether there are any that are not busy, though too young.
        """
        ended = self._choose_excess(self._connections, True, MIN_STAY_S)
        self._end(ended, True)
        return any(item.state is not ConnectionState.BUSY for item in self._connections)

    @property
    def _most_connections(self):
        """Number of connections above which they are aborted.

        With a fraction, wait_for_room would let in one more.
        """
        return int(MAX_CONNECTIONS_EXCESS * self.max_connections)

    @property
    def _ended_at_once(self):
        return max(1, int(ENDED_SHARE * self.max_connections))

    def add(self, connection):
        """Adds a new connection, which may end another one or itself."""
        self._connections.add(connection)
        if len(self._connections) > self.max_connections:
            self._end_excess(connection)

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

    def _end_excess(self, new_connection):
        """Ends connections to make room for a new one, or else the new one.

        They are ended with an answer, or as after the idle limit. Only if far too many
        are open, they are aborted, or the new one if all others are busy.
        """
        is_urgent = len(self._connections) > self._most_connections
        others = self._connections - {new_connection}
        min_stay_s = 0.0 if is_urgent else MIN_STAY_S
        ended = self._choose_excess(others, is_urgent, min_stay_s)
        self._end(ended, is_urgent)
        if not ended and is_urgent:
            new_connection.end_unserved()
            counts = ShedCounts()
            counts.new_connections = 1
            self._on_shed(counts)

    def _end(self, connections, is_urgent):
        counts = ShedCounts()
        for connection in connections:
            if connection.state is ConnectionState.ARRIVING:
                counts.arriving_requests += 1
            else:
                counts.idle_connections += 1
            connection.end_excess(is_urgent)
        if connections:
            self._on_shed(counts)

    def _choose_excess(self, connections, is_urgent, min_stay_s):
        """Returns the connections to end: of the first kind of which there are any.

        Within a kind, those that have waited for longest are chosen. In urgent cases,
        all that are being ended already are added.
        """
        now = asyncio.get_running_loop().time()
        by_state = {state: [] for state in ConnectionState}
        for connection in connections:
            if connection.waiting_since <= now - min_stay_s:
                by_state[connection.state].append(connection)
        chosen = by_state[ConnectionState.ENDING] if is_urgent else []
        arriving = by_state[ConnectionState.ARRIVING]
        stopped = [
            item for item in arriving if item.received_at <= now - STOPPED_AFTER_S
        ]
        for candidates, count in (
            (stopped, self._ended_at_once),
            (by_state[ConnectionState.IDLE], self._ended_at_once if is_urgent else 1),
            (arriving, self._ended_at_once),
        ):
            if candidates:
                candidates.sort(key=operator.attrgetter("waiting_since"))
                return chosen + candidates[:count]
        return chosen
