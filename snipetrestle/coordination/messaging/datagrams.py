"""Sends and receives datagrams between hosts over UDP.

Messages on which the election depends are handled as they are read, before others that
came earlier. Otherwise a leader that gets more lookups than it can answer would not
hear its followers, and would resign.
"""

import asyncio
import collections
import errno
import socket

import msgspec

from snipetrestle.coordination.messaging.messages import (
    Heartbeat,
    Join,
    KnownHosts,
    decode,
    encode,
)
from snipetrestle.events import Event, log_event
from snipetrestle.supervision import call_isolated

# The longest datagram that UDP over IPv4 can carry.
MAX_DATAGRAM_BYTES = 65_507
# Messages of one type that are too long are logged once in this time, and so are those
# that the system refuses with the same error.
LOG_INTERVAL_S = 10.0
# Linux's usual buffer holds 166 datagrams of 200 bytes, this one 1,638 if it is allowed.
RECEIVE_BUFFER_BYTES = 1 << 20
# asyncio reads one datagram in each turn of the event loop, so a host whose turns take
# 5 ms heard 2 of 10 heartbeats beside 1,000 lookups a second.
MAX_READ_PER_TURN = 512
# Deferred messages are handled in each turn for this long, so that callers' requests
# wait no longer; at least one of them.
MAX_HANDLING_S = 0.002
# Beyond this number the oldest deferred messages are dropped: whoever waits for an
# answer has sent its request again by then. The same beyond these bytes, as encoded.
MAX_DEFERRED = 1024
MAX_DEFERRED_BYTES = 2_000_000
MEMBERSHIP_TYPES = (Heartbeat, Join, KnownHosts)


class DatagramEndpoint(asyncio.DatagramProtocol):
    """UDP socket that dispatches each received message to the handler of its type.

    ``on_too_long()`` is called for each message that is too long to be sent, and
    ``on_refused()`` for each datagram that the system refuses.
    """

    def __init__(self, on_too_long=None, on_refused=None):
        self._on_too_long = on_too_long
        self._on_refused = on_refused
        # When each type of message that is too long, and each error, was last logged.
        self._logged_at_by_cause = {}
        self._transport = None
        self._handlers_by_type = {}
        # A second descriptor of the transport's socket.
        self._socket = None
        # (message, address, bytes) of the messages to be handled in later turns, and the
        # sum of their bytes.
        self._deferred = collections.deque()
        self._deferred_bytes = 0
        self._dropped = 0

    def register(self, message_type, handler):
        """Registers ``handler(message, address)`` for messages of a type."""
        self._handlers_by_type[message_type] = handler

    async def open(self, ip, port):
        """Binds the socket. Raises OSError."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )
        self._socket = transport.get_extra_info("socket").dup()
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def close(self):
        self._deferred.clear()
        self._deferred_bytes = 0
        if self._transport is not None:
            self._transport.close()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, message, address):
        """Sends a message without waiting. Delivery is not guaranteed."""
        self.send_all(message, [address])

    def send_all(self, message, addresses):
        """Sends a message to each of the addresses; it is encoded once."""
        if self._transport is None or self._transport.is_closing() or not addresses:
            return
        content = encode(message)
        if len(content) > MAX_DATAGRAM_BYTES:
            self._note_too_long(type(message), len(content))
            return
        for address in addresses:
            self._transport.sendto(content, address)

    def _note_too_long(self, message_type, size_bytes):
        if self._on_too_long is not None:
            self._on_too_long()
        if self._may_log(message_type):
            log_event(
                Event.DATAGRAM_TOO_LONG,
                message_type=message_type.__name__,
                size_bytes=size_bytes,
            )

    def _may_log(self, cause):
        """Tells whether a cause was not logged recently, and notes that it is now."""
        now = asyncio.get_running_loop().time()
        logged_at = self._logged_at_by_cause.get(cause)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return False
        self._logged_at_by_cause[cause] = now
        return True

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        """Takes the datagram that asyncio has read, and those that wait behind it."""
        is_idle = not self._deferred
        self._take(data, addr, is_idle)
        self._read_waiting()
        if is_idle and self._deferred:
            asyncio.get_running_loop().call_soon(self._handle_deferred)

    def _read_waiting(self):
        for _ in range(MAX_READ_PER_TURN):
            if self._socket is None:
                return
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # Nothing waits, or asyncio meets the same error.
                return
            self._take(data, address)

    def _take(self, data, address, is_idle=False):
        """Handles a datagram at once if nothing else waits, or the election needs it."""
        try:
            message = decode(data)
        except msgspec.DecodeError:
            # Data that another program sent to this port.
            return
        if is_idle or isinstance(message, MEMBERSHIP_TYPES):
            self._handle(message, address)
            return
        self._deferred.append((message, address, len(data)))
        self._deferred_bytes += len(data)
        while (
            len(self._deferred) > MAX_DEFERRED
            or self._deferred_bytes > MAX_DEFERRED_BYTES
        ):
            self._next_deferred()
            self._note_dropped()

    def _next_deferred(self):
        """Removes and returns the oldest deferred message and its sender's address."""
        message, address, size_bytes = self._deferred.popleft()
        self._deferred_bytes -= size_bytes
        return message, address

    def _handle_deferred(self):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + MAX_HANDLING_S
        while self._deferred:
            self._handle(*self._next_deferred())
            if loop.time() >= ends_at:
                break
        if self._deferred:
            loop.call_soon(self._handle_deferred)

    def _handle(self, message, address):
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            call_isolated(handler, message, address)

    def _note_dropped(self):
        self._dropped += 1
        if self._may_log(Event.DATAGRAMS_DROPPED):
            log_event(Event.DATAGRAMS_DROPPED, count=self._dropped)
            self._dropped = 0

    def error_received(self, exc):
        """Notes that the system refused a datagram.

        Peers that are not reachable are detected by their missing heartbeats.
        """
        if self._on_refused is not None:
            self._on_refused()
        if self._may_log(exc.errno):
            name = errno.errorcode.get(exc.errno, str(exc.errno))
            log_event(Event.DATAGRAM_REFUSED, error=name)
