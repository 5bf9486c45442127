"""In-memory HTTP connections to the listener's real protocol, without sockets.

They work on virtual time, record the bytes of both directions, and break where a test
asks for it.
"""

import asyncio

import anyio
import httpcore
from uvicorn.server import ServerState

from snipetrestle.callers.listener import make_uvicorn_config

# The listener must pause writing while more bytes than this are unread.
HIGH_WATER_MARK_BYTES = 65_536


class MemoryListener:
    """Serves an ASGI application over in-memory connections.

    The bytes are recorded under ``name`` in ``session``, if there is one.
    ``break_after_bytes`` breaks the next connection that has carried this many bytes of
    responses. While ``down``, MemoryBackend refuses connections.
    """

    def __init__(self, app, name="listener", session=None, intake=None):
        self.name = name
        self.session = session
        self.down = False
        self.break_after_bytes = None
        self.connections = []
        self._config = make_uvicorn_config(app, intake)
        self._config.load()
        self._state = ServerState()

    def connect(self, peer="caller"):
        """Returns the caller's side of a new connection."""
        protocol = self._config.http_protocol_class(
            config=self._config, server_state=self._state, app_state={}
        )
        connection = MemoryConnection(self, protocol, peer)
        self.connections.append(connection)
        protocol.connection_made(connection.transport)
        return connection

    def record(self, sender, receiver, data):
        """Records bytes in the session as one line of text."""
        if self.session is not None:
            text = data.decode("latin-1").replace("\r\n", "\\r\\n").replace("\n", "\\n")
            self.session.write(f"{sender} -> {receiver} {text}")

    def break_connections(self):
        """Breaks all connections, as if the listener's process had crashed."""
        for connection in tuple(self.connections):
            connection.break_connection()


class MemoryConnection:
    """The caller's side of a connection; ``transport`` is the listener's side.

    ``buffer`` has the unread bytes of responses, and ``response_bytes`` counts the
    bytes that the listener has written.
    """

    def __init__(self, listener, protocol, peer):
        self.listener = listener
        self.protocol = protocol
        self.peer = peer
        self.transport = _ServerTransport(self)
        self.buffer = bytearray()
        self.ended = False
        self.response_bytes = 0
        self._changed = anyio.Event()
        self._loop = asyncio.get_running_loop()

    def send(self, data):
        if self.ended:
            raise httpcore.WriteError("the connection is closed")
        self.listener.record(self.peer, self.listener.name, data)
        self._loop.call_soon(self._deliver, bytes(data))

    def _deliver(self, data):
        if not self.transport.closing:
            self.protocol.data_received(data)

    async def receive(self, max_bytes=1 << 20):
        """Returns the next bytes of responses, or empty bytes at the end."""
        while not self.buffer and not self.ended:
            await self._changed.wait()
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        if self.transport.paused and len(self.buffer) < HIGH_WATER_MARK_BYTES // 2:
            self.transport.paused = False
            self.protocol.resume_writing()
        return data

    async def receive_until(self, marker):
        """Returns the bytes read until they contain ``marker``, or up to the end."""
        parts = bytearray()
        while marker not in parts:
            data = await self.receive()
            if not data:
                break
            parts += data
        return bytes(parts)

    def close(self):
        """Closes the connection from the caller's side."""
        self.transport.close()

    def break_connection(self):
        self.transport.abort()

    def buffer_response(self, data):
        """Buffers what the listener has written, up to ``break_after_bytes``."""
        self.listener.record(self.listener.name, self.peer, data)
        limit = self.listener.break_after_bytes
        if limit is not None and self.response_bytes + len(data) > limit:
            self.buffer += data[: max(0, limit - self.response_bytes)]
            self.listener.break_after_bytes = None
            self.break_connection()
            return
        self.response_bytes += len(data)
        self.buffer += data
        if len(self.buffer) > HIGH_WATER_MARK_BYTES and not self.transport.paused:
            self.transport.paused = True
            self._loop.call_soon(self.protocol.pause_writing)
        self.wake_reader()

    def wake_reader(self):
        self._changed.set()
        self._changed = anyio.Event()


class _ServerTransport(asyncio.Transport):
    """The listener's side of a connection, as an asyncio transport."""

    def __init__(self, connection):
        super().__init__()
        self.closing = False
        self.paused = False
        self._connection = connection

    def get_extra_info(self, name, default=None):
        return default

    def can_write_eof(self):
        # Like a transport with TLS, it is closed on both sides at once.
        return False

    def is_closing(self):
        return self.closing

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def get_write_buffer_size(self):
        return len(self._connection.buffer)

    def write(self, data):
        if not self.closing and data:
            self._connection.buffer_response(bytes(data))

    def close(self):
        if self.closing:
            return
        self.closing = True
        connection = self._connection
        connection.ended = True
        connection.listener.connections.remove(connection)
        connection.listener.record("", "", b"connection closed")
        connection.wake_reader()
        asyncio.get_running_loop().call_soon(connection.protocol.connection_lost, None)

    def abort(self):
        self.close()


class MemoryBackend(httpcore.AsyncNetworkBackend):
    """Network backend of httpcore that connects to MemoryListeners by ``IP:PORT``.

    ``name`` is the client's name in recorded sessions.
    """

    def __init__(self, name="owner"):
        self.listeners_by_address = {}
        self._name = name

    def pool(self):
        """Returns a connection pool that connects through this backend."""
        return httpcore.AsyncConnectionPool(
            max_connections=1024, keepalive_expiry=60.0, network_backend=self
        )

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ):
        listener = self.listeners_by_address.get(f"{host}:{port}")
        if listener is None or listener.down:
            raise httpcore.ConnectError("connection refused")
        return _ClientStream(listener.connect(self._name))

    async def sleep(self, seconds):
        await anyio.sleep(seconds)


class _ClientStream(httpcore.AsyncNetworkStream):
    """The caller's side of a connection, as a stream of httpcore."""

    def __init__(self, connection):
        self._connection = connection

    async def read(self, max_bytes, timeout=None):
        with anyio.move_on_after(timeout):
            return await self._connection.receive(max_bytes)
        raise httpcore.ReadTimeout(f"no bytes arrived within {timeout} s")

    async def write(self, buffer, timeout=None):
        if buffer:
            self._connection.send(buffer)

    async def aclose(self):
        self._connection.close()

    def get_extra_info(self, info):
        return self._connection.ended if info == "is_readable" else None
