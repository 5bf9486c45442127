"""TLS handshakes of new connections, which count like connections from their start."""

import asyncio
import traceback

from snipetrestle.caller_memory import CONNECTION_BYTES, ConnectionState

# A connection with TLS: asyncio gives each a buffer of 256 KB.
TLS_CONNECTION_BYTES = 300_000
# A handshake that takes longer is given up.
HANDSHAKE_TIMEOUT_S = 10.0


def connection_bytes(tls):
    """Returns what a connection takes of a listener with TlsFiles, or with None."""
    return CONNECTION_BYTES if tls is None else TLS_CONNECTION_BYTES


class _EarlyContent(asyncio.Protocol):
    """Keeps what arrives between the end of a handshake and the use of its transport."""

    def __init__(self):
        self.data = b""
        self.ended = False

    def data_received(self, data):
        self.data += data

    def connection_lost(self, error):
        self.ended = True


class TlsHandshake(asyncio.Protocol):
    """A new connection until its TLS handshake has ended.

    ``create_connection()`` returns the protocol that then takes over. ``memory`` is the
    CallerMemory of the listener, and ``handshakes`` the set of all that are in progress.
    """

    # For CallerMemory: a handshake holds no request and no response.
    unfinished_bytes = unread_bytes = 0

    def __init__(self, tls, create_connection, memory, handshakes):
        self._tls = tls
        self._create_connection = create_connection
        self._memory = memory
        self._handshakes = handshakes
        self._transport = None
        self._task = None
        self._held_bytes = 0
        # When the connection was opened.
        self.received_at = self.waiting_since = 0.0

    def connection_made(self, transport):
        # What the caller sends belongs to the handshake.
        transport.pause_reading()
        loop = asyncio.get_running_loop()
        self._transport = transport
        self.received_at = self.waiting_since = loop.time()
        self._handshakes.add(self)
        self._held_bytes = self._memory.connection_bytes
        self._memory.resize(0, self._held_bytes)
        self._memory.add(self)
        self._task = loop.create_task(self._run())

    async def _run(self):
        early = _EarlyContent()
        tls_transport = None
        try:
            tls_transport = await asyncio.get_running_loop().start_tls(
                self._transport,
                early,
                self._tls,
                server_side=True,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
            )
        except OSError as error:
            # A caller that has left, or that fails the handshake, gets no answer.
            self._transport.abort()
            # The error and the handshake's buffers refer to each other. Without the
            # cycle, they are freed at once instead of by the garbage collector.
            traceback.clear_frames(error.__traceback__)
        finally:
            self._end()
        if tls_transport is not None and not early.ended:
            self._hand_over(tls_transport, early)

    def _end(self):
        self._handshakes.discard(self)
        self._memory.discard(self)
        self._memory.resize(self._held_bytes, 0)
        self._held_bytes = 0

    def _hand_over(self, tls_transport, early):
        connection = self._create_connection()
        tls_transport.set_protocol(connection)
        connection.connection_made(tls_transport)
        if early.data:
            connection.data_received(early.data)

    # Called by CallerMemory.

    @property
    def state(self):
        """The ConnectionState."""
        if self._transport.is_closing():
            return ConnectionState.ENDING
        return ConnectionState.ARRIVING

    def report_held(self):
        """A handshake holds the same all the time."""

    def end_excess(self, is_urgent):
        self._transport.abort()

    def end_unserved(self):
        self._transport.abort()
