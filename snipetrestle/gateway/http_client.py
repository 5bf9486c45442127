"""HTTP/1.1 connections to replicas: one request at a time, parsed by httptools.

A connection is used again only after a complete response with nothing after it. Bytes
beyond a response belong to no request: the connection is closed.
"""

import asyncio
import collections
import socket

import httptools

from snipetrestle.gateway.waiter import Waiter

# A packet without acknowledgement for this long means that the link is cut.
UNACKNOWLEDGED_MS = 2000
# Bytes of a response that are held while the caller does not read.
MAX_BUFFERED_BYTES = 262_144
MAX_HEAD_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.4
# Margin before a replica closes an idle connection, for requests that cross the close.
IDLE_MARGIN_S = 0.8
DEFAULT_IDLE_S = 4.0


class ExchangeFailed(Exception):
    """A request that was sent got no complete response. It may have run."""


class ConnectFailed(Exception):
    """No connection could be opened, so nothing was sent."""


class ResponseHead:
    """Status and headers of a response."""

    __slots__ = ("status", "headers")

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers


class ReplicaConnection(asyncio.Protocol):
    """One connection to a replica.

    ``is_response_to(head)`` of the exchange tells late responses to earlier requests
    apart; they are dropped.
    """

    def __init__(self):
        self.reusable = True
        self.closed = False
        self.last_used = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_S
        self.last_data = 0.0
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._waiter = Waiter()
        self._error = None
        self._reset()

    def _reset(self):
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head_bytes = 0
        self._active = False
        self._is_response_to = None
        self._head = None
        self._skipping = False
        self._unframed = False
        self._body = collections.deque()
        self._body_bytes = 0
        self._complete = False
        self._paused = False

    # Protocol of asyncio.

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

    def data_received(self, data):
        if not self._active or self._complete:
            self.reusable = False
            self.close()
            return
        self.last_data = self._loop.time()
        if self._head is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the response changes the protocol")
        except httptools.HttpParserError as error:
            # Bytes after a complete response are an error of the connection only.
            if self._complete:
                self.reusable = False
            else:
                self._fail(f"the response is malformed: {error}")
        if self._head is None and self._head_bytes > MAX_HEAD_BYTES:
            self._fail("the head of the response is too large")
        self._waiter.wake()

    def eof_received(self):
        if self._active and not self._complete and self._unframed:
            self._complete = True
        self.reusable = False
        self._waiter.wake()

    def connection_lost(self, exc):
        self.closed = True
        self.reusable = False
        if self._active and not self._complete:
            self._fail(f"the connection was closed: {exc!r}")
        self._waiter.wake()

    # Callbacks of the parser.

    def on_message_begin(self):
        if self._complete:
            # A second response to one request.
            self.reusable = False
        self._headers = []

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        if self._complete:
            return
        status = self._parser.get_status_code()
        head = ResponseHead(status, self._headers)
        if status < 200 or not self._is_response_to(head):
            self._skipping = True
            self._head_bytes = 0
            if status >= 200:
                self.reusable = False
            return
        self._skipping = False
        self._head = head
        self._unframed = _is_unframed(head)
        if not self._parser.should_keep_alive():
            self.reusable = False

    def on_body(self, data):
        if self._skipping or self._complete:
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self):
        if self._skipping or self._complete:
            self._skipping = False
            return
        self._complete = True

    # Use by one exchange at a time.

    def start(self, content, is_response_to):
        """Sends a request. Raises ExchangeFailed if the connection is closed."""
        self._reset()
        if self.closed or self._transport.is_closing():
            raise ExchangeFailed("the connection is closed")
        self._active = True
        self._is_response_to = is_response_to
        self.last_data = self._loop.time()
        self._transport.write(content)

    async def read_head(self):
        """Returns the ResponseHead. Raises ExchangeFailed."""
        while self._head is None:
            self._raise_error()
            await self._waiter.wait()
        return self._head

    async def read(self):
        """Returns the next bytes of the body; b"" at its complete end.

        Raises ExchangeFailed if the response ends early.
        """
        while not self._body:
            if self._complete:
                return b""
            self._raise_error()
            await self._waiter.wait()
        data = b"".join(self._body) if len(self._body) > 1 else self._body[0]
        self._body.clear()
        self._body_bytes = 0
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def read_all(self, limit, on_part=None):
        """Returns the whole body. Raises ExchangeFailed, also above ``limit`` bytes.

        ``on_part()`` is called for each part that arrives.
        """
        parts = []
        size = 0
        while data := await self.read():
            if on_part is not None:
                on_part()
            parts.append(data)
            size += len(data)
            if size > limit:
                raise ExchangeFailed("the response is too large")
        return b"".join(parts)

    def finish(self):
        """Ends the exchange and tells whether the connection may be used again."""
        reusable = (
            self.reusable
            and self._complete
            and not self.closed
            and self._transport.get_write_buffer_size() == 0
        )
        self._active = False
        if not reusable:
            self.close()
        return reusable

    def cancel(self, reason):
        """Fails the exchange from outside, for instance after its deadline."""
        self._fail(reason)
        self._waiter.wake()

    def close(self):
        self.reusable = False
        if self._transport is not None and not self.closed:
            self._transport.abort()

    def _fail(self, reason):
        self.reusable = False
        if self._error is None:
            self._error = reason

    def _raise_error(self):
        if self._error is not None:
            raise ExchangeFailed(self._error)


def _is_unframed(head):
    """Whether the body ends with the connection."""
    if head.status in (204, 304):
        return False
    return not any(
        name in (b"content-length", b"transfer-encoding") for name, _ in head.headers
    )


class ConnectionPool:
    """Idle connections to one replica, and the opening of new ones."""

    def __init__(self, ip, port):
        self._ip = ip
        self._port = port
        self._idle = []
        self.open_count = 0

    async def take(self):
        """Returns a connection. Raises ConnectFailed."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            usable_s = connection.idle_timeout_s - IDLE_MARGIN_S
            if connection.closed or now - connection.last_used > usable_s:
                self.drop(connection)
                continue
            return connection
        return await self._open()

    async def _open(self):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    ReplicaConnection, self._ip, self._port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(repr(error)) from None
        self.open_count += 1
        return connection

    def give_back(self, connection):
        """Keeps a connection for later requests if its last exchange allows that."""
        if not connection.finish():
            self.open_count -= 1
            return
        connection.last_used = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def drop(self, connection):
        self.open_count -= 1
        connection.close()

    def close(self):
        while self._idle:
            self.drop(self._idle.pop())
