"""Listens for the HTTP connections of callers, and ends the idle ones in a stop."""

import asyncio

import anyio

from snipetrestle.caller_memory import CallerMemory
from snipetrestle.gateway.callers.connection_end import EndReason
from snipetrestle.gateway.callers.http_server import CallerConnection
from snipetrestle.gateway.configuration import CallerLimits
from snipetrestle.gateway.settings import DEFAULT_MEMORY_MB
from snipetrestle.gateway.transfers import Transfers
from snipetrestle.listening import Listener
from snipetrestle.parse_turns import ParseTurns
from snipetrestle.process_limits import ProcessLimits, StatusLimits

# Idle connections are ended in groups, at this interval and in at most so many groups.
# A request that arrives in the turn of the event loop that ends its connection is lost,
# so the turn must be short and begin with a look at the sockets.
END_INTERVAL_S = 0.002
MAX_END_GROUPS = 100
# How long transfers may put off the end of idle connections. In a planned stop, callers
# that go on using them are refused more and more.
MAX_BUSY_S = 10.0
MAX_BUSY_IN_STOP_S = 4.0
# Requests for the readiness and the metrics.
STATUS_CALLER_LIMITS = CallerLimits(max_body_bytes=16_384)


class HttpServer:
    """Listens for HTTP connections and tracks them.

    ``handle(request, connection)`` answers one request; ``limits()`` returns the
    current CallerLimits; ``on_connection_end(end)`` is called with the ConnectionEnd of
    each connection. No idle connection is ended while ``transfers`` are active.
    ``memory`` is the CallerMemory that bounds what the connections hold.
    """

    def __init__(
        self,
        handle,
        limits,
        on_connection_end=lambda end: None,
        transfers=None,
        memory=None,
    ):
        self.handle = handle
        self._limits = limits
        self._transfers = transfers or Transfers()
        self.on_connection_end = on_connection_end
        self.connections = set()
        self.memory = memory or CallerMemory(ProcessLimits(DEFAULT_MEMORY_MB), limits)
        self.parse_turns = ParseTurns()
        self.close_after_response = False
        self.close_when_idle = False
        self.arrival_retry_after_s = None
        self._end_turns = anyio.CapacityLimiter(1)
        # The wait for transfers that a planned stop shortens. Outside a stop there is
        # one turn at a time.
        self._busy_scope = anyio.CancelScope()
        self._server = None

    @property
    def limits(self):
        return self._limits()

    async def open(self, address):
        self._server = Listener.open(address, self._create_connection, self.memory)

    def _create_connection(self):
        return CallerConnection(self)

    @property
    def is_open(self):
        return self._server is not None

    @property
    def is_engaged(self):
        """Whether a request is in progress or about to arrive."""
        is_opening = self._server is not None and self._server.is_opening
        return is_opening or any(
            item.is_engaged or item.awaits_end for item in self.connections
        )

    def start_draining(self):
        """From now on, each response closes its connection (``Connection: close``)."""
        self.close_after_response = True

    def close_idle_connections(self):
        """Closes the connections that have no request in progress."""
        self.close_when_idle = True
        self._busy_scope.cancel()
        self._end_turns.total_tokens = 1 + len(self.connections) // MAX_END_GROUPS
        self._wake_idle_connections()

    def refuse_arriving(self, retry_after_s):
        """Refuses requests that have arrived only in part, and those still to come."""
        self.arrival_retry_after_s = retry_after_s
        self._wake_idle_connections()

    def _wake_idle_connections(self):
        for connection in list(self.connections):
            connection.wake_if_idle()

    async def wait_for_turn_to_end(self):
        """Returns when the next idle connection may be ended, in a new event loop turn.

        Requests may queue behind a transfer on the link of this host for longer than
        their callers take to learn of the end.
        """
        async with self._end_turns:
            await asyncio.sleep(END_INTERVAL_S)
            if not self.close_when_idle:
                with anyio.CancelScope() as self._busy_scope:
                    await self._transfers.wait_until_quiet(MAX_BUSY_S)
            if self.close_when_idle:
                await self._transfers.wait_until_quiet(MAX_BUSY_IN_STOP_S)

    def stop_listening(self):
        """Closes the listening socket; new connections are refused from now on.

        Connections that the kernel has accepted before are still served.
        """
        if self._server is not None:
            self._server.close()

    def close(self):
        """Closes the listening socket and aborts all connections."""
        if self._server is not None:
            self._server.abort()
        for connection in list(self.connections):
            connection.abort(EndReason.PROCESS_END)


def status_server(handle):
    """Returns an HttpServer for few callers, which are outside the bound of others."""
    memory = CallerMemory(StatusLimits, lambda: STATUS_CALLER_LIMITS)
    return HttpServer(handle, lambda: STATUS_CALLER_LIMITS, memory=memory)
