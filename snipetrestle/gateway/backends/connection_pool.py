"""Keep-alive connections to replicas, and the bounds on their number.

A connection that is opened takes the place of others if there are too many: first of
idle ones, then of those whose callers have left, the longest idle or left first.
"""

import asyncio
import math

from snipetrestle.gateway.backends.http_client import ConnectFailed, ReplicaConnection

CONNECT_TIMEOUT_S = 0.4
# Idle connections are not reused this shortly before the replica's idle time-out, since
# a request could cross the replica's close.
IDLE_MARGIN_S = 0.8
# Requests in progress whose callers wait may take this multiple of the connections that
# a pool keeps open otherwise: the hosts seldom need all of theirs at the same time.
IN_PROGRESS_EXCESS = 2


class ConnectionsExhausted(ConnectFailed):
    """This host may open no further connection. The replica is not the reason."""


class OpenConnections:
    """Counts the connections of all pools, and makes room for another one.

    ``max_open()`` returns how many there may be.
    """

    def __init__(self, max_open=lambda: math.inf):
        self._max_open = max_open
        self._pools = set()
        self.count = 0

    def add(self, pool):
        self._pools.add(pool)
        self.count += 1

    def remove(self, pool):
        self.count -= 1
        if not pool.open_count:
            self._pools.discard(pool)

    def make_room(self):
        """Closes a connection if there are too many. Raises ConnectionsExhausted."""
        while self.count >= self._max_open():
            if not (self._close_longest_idle() or self._end_abandoned()):
                raise ConnectionsExhausted("all connections to replicas are in use")

    def _close_longest_idle(self):
        pools = [pool for pool in self._pools if pool.idle_since < math.inf]
        if not pools:
            return False
        return min(pools, key=lambda pool: pool.idle_since).close_longest_idle()

    def _end_abandoned(self):
        return any(pool.end_abandoned() for pool in tuple(self._pools))


class ConnectionPool:
    """Pool of keep-alive connections to one address.

    ``max_open()`` returns how many may be open for requests before idle ones and those
    without callers are closed, and ``all_connections`` counts them together with those
    of other pools.
    """

    def __init__(self, ip, port, max_open=lambda: math.inf, all_connections=None):
        self._ip = ip
        self._port = port
        self._max_open = max_open
        self._all = all_connections or OpenConnections()
        # The one that was used last is at the end.
        self._idle = []
        self._connections = set()
        self._opening_count = 0
        # Those that have made room, and are closed in a later turn of the event loop.
        self._closing = set()
        # In use for requests whose callers have left, in the order of leaving.
        self._abandoned = {}

    async def acquire(self, request_id=None):
        """Returns an idle or new connection. Raises ConnectFailed.

        It has not carried a request with ``request_id`` before. Connections without a
        request id, for orders and reports, are opened in any case.
        """
        connection = self._take_idle(request_id)
        if connection is not None:
            return connection
        if request_id is not None:
            self._make_room()
        # Counted from here on, so that others that wait do not take the same place.
        self._opening_count += 1
        self._all.add(self)
        try:
            if request_id is not None:
                await self._wait_closed()
            connection = await self._open()
        finally:
            self._note_opened(connection)
        return connection

    def _note_opened(self, connection):
        """Counts a connection that was being opened as open, or no more if None."""
        self._opening_count -= 1
        if connection is None:
            self._all.remove(self)
        else:
            self._connections.add(connection)

    def _take_idle(self, request_id):
        """Returns the idle connection that was used last; None if none is suitable."""
        now = asyncio.get_running_loop().time()
        for connection in reversed(self._idle.copy()):
            max_idle_s = connection.idle_timeout_s - IDLE_MARGIN_S
            if now - connection.last_used_at > max_idle_s or not connection.is_quiet:
                self.discard(connection)
            elif not connection.has_carried(request_id):
                self._idle.remove(connection)
                return connection
        return None

    async def _open(self):
        """Returns a new connection. Raises ConnectFailed."""
        loop = asyncio.get_running_loop()
        connection = None
        is_open = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    ReplicaConnection, self._ip, self._port
                )
            is_open = True
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The last two come from an address that no connection can be opened to.
            raise ConnectFailed(repr(error)) from None
        finally:
            # The time-out may come in the turn in which it is opened.
            if not is_open and connection is not None:
                connection.close()
        connection.on_lost = self._note_lost
        return connection

    # Room for further connections.

    @property
    def open_count(self):
        """Number of connections that are open, being opened or about to be."""
        return len(self._connections) + self._opening_count

    @property
    def has_open_connection(self):
        return any(not connection.closed for connection in self._connections)

    @property
    def has_room(self):
        """Whether a request may be sent on a connection of this pool now."""
        needed_count = self.open_count - len(self._idle) - len(self._abandoned)
        return needed_count < IN_PROGRESS_EXCESS * self._max_open()

    @property
    def has_idle_connection(self):
        return bool(self._idle)

    @property
    def idle_since(self):
        """When the longest idle connection was used; math.inf without any."""
        return self._idle[0].last_used_at if self._idle else math.inf

    def _make_room(self):
        """Closes a connection if there are too many. Raises ConnectionsExhausted."""
        while self.open_count >= self._max_open():
            if not (self.close_longest_idle() or self.end_abandoned()):
                break
        if self.open_count >= IN_PROGRESS_EXCESS * self._max_open():
            raise ConnectionsExhausted("all connections to the replica are in use")
        self._all.make_room()

    async def _wait_closed(self):
        """Waits for connections that are being closed, if there would be too many."""
        # Each turn of the event loop closes some.
        while self._closing and self._all_count > self._max_open():  # noqa: ASYNC110
            await asyncio.sleep(0)

    @property
    def _all_count(self):
        """Number of connections with those that are being closed."""
        return self.open_count + len(self._closing)

    def close_longest_idle(self):
        """Closes the connection that was not used for longest; False without any."""
        if not self._idle:
            return False
        self.discard(self._idle[0])
        return True

    def note_abandoned(self, connection):
        """Records that the caller of the request on a connection has left."""
        if connection in self._connections:
            self._abandoned[connection] = None

    def end_abandoned(self):
        """Ends the request whose caller left first; False without any."""
        if not self._abandoned:
            return False
        connection = next(iter(self._abandoned))
        self._forget(connection)
        connection.abandon()
        return True

    # Ends.

    def release(self, connection):
        """Keeps a connection for later requests, if its last exchange allows reuse."""
        self._abandoned.pop(connection, None)
        if not connection.finish() or connection not in self._connections:
            self.discard(connection)
            return
        connection.last_used_at = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def discard(self, connection):
        """Closes a connection instead of keeping it."""
        self._forget(connection)
        connection.close()

    def _forget(self, connection):
        """Counts a connection no more, which is closed or about to be."""
        self._abandoned.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
        if connection in self._connections:
            self._connections.remove(connection)
            self._all.remove(self)
            if not connection.closed:
                self._closing.add(connection)

    def _note_lost(self, connection):
        self._forget(connection)
        self._closing.discard(connection)

    def close(self):
        """Closes all idle connections."""
        while self.close_longest_idle():
            pass
