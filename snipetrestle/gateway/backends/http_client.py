"""HTTP/1.1 connections to replicas: one request at a time, parsed by httptools.

A connection is reused only after a complete response without further bytes. Bytes after
a response belong to no request, so they close the connection.
"""

import asyncio
import collections
import socket

import httptools

from snipetrestle.gateway.message_limits import OverheadMeter
from snipetrestle.gateway.waiter import Waiter
from snipetrestle.http_responses import is_defined_status
from snipetrestle.sockets import has_unread_input

# A connection is lost if sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 2000
# Reading from a replica pauses while more bytes than this wait for a slow caller.
MAX_BUFFERED_BYTES = 65_536
# Fewer bytes that wait are not reported to the answer's memory.
REPORTED_BYTES = 16_384
# The most that is read at a time. Its content is used before the next read.
_receive_buffer = memoryview(bytearray(65_536))
# Bytes of a response besides its body, with those of interim and late responses.
MAX_OVERHEAD_BYTES = 65_536
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Number of request ids that a connection remembers.
RECENT_REQUEST_IDS = 64


class ExchangeFailed(Exception):
    """A request was sent and got no complete response. It may have run."""


class ReplicaClosed(ExchangeFailed):
    """The replica closed or reset the connection before the end of its response."""


class ExchangeAbandoned(ExchangeFailed):
    """The connection of a request whose caller has left was needed for others."""


class ReportRefused(ExchangeFailed):
    """The replica answers, but does not tell now what it was asked of itself."""


class ConnectFailed(Exception):
    """No usable connection could be opened, so nothing was sent."""


class ResponseHead:
    """Status and headers of a response. Header names are lower-case bytes."""

    __slots__ = ("status", "headers")

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers


class ReplicaConnection(asyncio.BufferedProtocol):
    """One connection to a replica.

    It carries one request at a time. ``is_response_to(head)``, given with each request,
    tells whether a response belongs to it; late responses to earlier requests are
    dropped. ``idle_timeout_s`` is how long the replica keeps the connection open while
    idle. ``on_lost(connection)``, if set, is called when the connection is closed.
    ``received_at`` is the event loop's time at which the last bytes arrived, or at which
    it was opened.
    """

    def __init__(self):
        self.on_lost = None
        self.reusable = True
        self.closed = False
        self.last_used_at = 0.0
        self.received_at = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._recent_request_ids = collections.deque(maxlen=RECENT_REQUEST_IDS)
        self._transport = None
        self._waiter = Waiter()
        self._failure = None
        self._reset()

    def _reset(self):
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._in_head = True
        self._overhead = OverheadMeter(MAX_OVERHEAD_BYTES)
        self._in_exchange = False
        self._is_response_to = None
        self._is_head_request = False
        self._head = None
        self._skipping_response = False
        self._close_delimited = False
        self._body_chunks = collections.deque()
        self._body_bytes = 0
        self._answer = None
        self._complete = False
        self._reading_paused = False

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport):
        self._transport = transport
        self.received_at = asyncio.get_running_loop().time()
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def get_buffer(self, sizehint):
        return _receive_buffer

    def buffer_updated(self, nbytes):
        self.data_received(bytes(_receive_buffer[:nbytes]))

    def data_received(self, data):
        """Handles bytes that have arrived."""
        self.received_at = asyncio.get_running_loop().time()
        if not self._in_exchange or self._complete:
            self.reusable = False
            self.close()
            return
        self._overhead.note_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the response requests a protocol upgrade")
        except httptools.HttpParserError as error:
            # Bytes after a complete response only make the connection unusable.
            if self._complete:
                self.reusable = False
            else:
                self._fail(f"the response is malformed: {error}")
        if not self._complete and self._overhead.exceeded:
            self._fail("too many bytes besides the body of the response")
        self._waiter.wake()

    def eof_received(self):
        if self._in_exchange and not self._complete and self._close_delimited:
            self._complete = True
        self.reusable = False
        self._waiter.wake()

    def connection_lost(self, exc):
        self.closed = True
        self.reusable = False
        if self._in_exchange and not self._complete:
            self._fail(f"the connection was closed: {exc!r}", ReplicaClosed)
        # They refer to this connection and to the exchange, with the response's body.
        self._parser = self._is_response_to = None
        self._waiter.wake()
        if self.on_lost is not None:
            self.on_lost(self)
            self.on_lost = None

    # Callbacks of httptools.

    def on_message_begin(self):
        if self._complete:
            # A second response to one request.
            self.reusable = False
        self._headers = []
        self._in_head = True

    def on_header(self, name, value):
        # Trailer fields are dropped: they are no header fields.
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._in_head = False
        if self._complete:
            return
        status = self._parser.get_status_code()
        if not is_defined_status(status):
            self._fail(f"the response has the undefined status {status:03}")
        if self._failure is not None:
            # What follows a malformed response cannot be trusted.
            self._skipping_response = True
            return
        head = ResponseHead(status, self._headers)
        if status < 200 or not self._is_response_to(head):
            self._skipping_response = True
            if status >= 200:
                self.reusable = False
            return
        self._skipping_response = False
        self._head = head
        if self._is_head_request:
            self._complete = True
            # A replica that sends a body nevertheless would spoil the next exchange.
            self.reusable = False
            return
        self._close_delimited = _is_close_delimited(head)
        if not self._parser.should_keep_alive():
            self.reusable = False

    def on_body(self, data):
        if self._skipping_response or self._complete:
            return
        self._overhead.note_body(len(data))
        self._body_chunks.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > REPORTED_BYTES:
            self._note_buffered()

    def _note_buffered(self):
        """Reports what waits to be read, and pauses reading if that is too much."""
        must_wait = False
        if self._answer is not None:
            self._answer.note_buffered(self._body_bytes)
            must_wait = self._answer.must_wait
        if not self._reading_paused and (
            must_wait or self._body_bytes > MAX_BUFFERED_BYTES
        ):
            self._reading_paused = True
            self._transport.pause_reading()

    def on_message_complete(self):
        if self._skipping_response or self._complete:
            self._skipping_response = False
            return
        self._complete = True

    @property
    def is_quiet(self):
        """Whether the replica has neither ended an idle connection nor sent on it.

        The event loop may not have read yet what waits in the socket.
        """
        if self.closed or self._transport.is_closing():
            return False
        return not has_unread_input(self._transport)

    @property
    def has_unread_input(self):
        """Whether bytes wait in the socket, though the caller is not slow."""
        if self.closed or self._reading_paused or self._transport.is_closing():
            return False
        return has_unread_input(self._transport)

    def has_carried(self, request_id):
        """Whether a request with this id was sent on this connection recently.

        A late copy of the response to it could be taken for the response to another
        attempt.
        """
        return request_id in self._recent_request_ids

    # Methods for the current exchange.

    def send_request(
        self,
        request_bytes,
        is_response_to,
        request_id=None,
        is_head_request=False,
        answer=None,
    ):
        """Starts an exchange by sending a request.

        ``request_id`` is None for requests whose responses carry no id. The response to
        a HEAD request ends with its head. ``answer`` is the ArrivingAnswer that counts
        what the response holds, if any. Raises ExchangeFailed, with nothing sent, if
        the connection is closed.
        """
        self._reset()
        if self.closed or self._transport.is_closing():
            raise ExchangeFailed("the connection is closed")
        self._in_exchange = True
        self._is_response_to = is_response_to
        self._is_head_request = is_head_request
        self._answer = answer
        if request_id is not None:
            self._recent_request_ids.append(request_id)
        self._transport.write(request_bytes)

    async def read_head(self):
        """Returns the ResponseHead. Raises ExchangeFailed."""
        while self._head is None:
            self._raise_if_failed()
            await self._waiter.wait()
        return self._head

    @property
    def is_complete(self):
        """Whether the whole response has arrived."""
        return self._complete

    @property
    def awaits_data(self):
        """Whether nothing of the response can be read before more of it arrives."""
        is_open = self._in_exchange and not self._complete and self._failure is None
        return is_open and not self._body_chunks

    @property
    def has_unread_body(self):
        """Whether bytes of the body wait to be read."""
        return bool(self._body_chunks)

    async def read(self):
        """Returns the next bytes of the body, or b"" at its end.

        Raises ExchangeFailed if the response ends early.
        """
        while not self._body_chunks or self._must_wait:
            if self._complete and not self._body_chunks:
                return b""
            self._raise_if_failed()
            await self._waiter.wait()
        data = (
            b"".join(self._body_chunks)
            if len(self._body_chunks) > 1
            else self._body_chunks[0]
        )
        self._body_chunks.clear()
        if self._body_bytes > REPORTED_BYTES and self._answer is not None:
            self._answer.note_buffered(0)
        self._body_bytes = 0
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    @property
    def _must_wait(self):
        """Whether answers hold too much memory for more of this one to be read."""
        if self._answer is None or not self._answer.must_wait:
            return False
        self._answer.on_room = self._waiter.wake
        return True

    async def read_all(self, max_bytes, on_data=None):
        """Returns the whole body. Raises ExchangeFailed, also above ``max_bytes``.

        ``on_data(count)`` is called with the number of bytes whenever data arrives.
        """
        chunks = []
        size = 0
        while data := await self.read():
            if on_data is not None:
                on_data(len(data))
            chunks.append(data)
            size += len(data)
            if size > max_bytes:
                raise ExchangeFailed("the response is too large")
        return b"".join(chunks)

    def finish(self):
        """Ends the exchange and returns whether the connection may be reused.

        A connection that may not be reused is closed.
        """
        reusable = (
            self.reusable
            and self._complete
            and not self.closed
            and self._transport.get_write_buffer_size() == 0
        )
        self._in_exchange = False
        self._is_response_to = self._answer = None
        if not reusable:
            self.close()
        return reusable

    def cancel(self, reason):
        """Fails the exchange from outside, for instance if the replica is silent."""
        self._fail(reason)
        self._waiter.wake()

    def abandon(self):
        """Fails the exchange, whose caller has left, to make room for others."""
        self._fail("the connection was needed for others", ExchangeAbandoned)
        self._waiter.wake()

    def close(self):
        """Aborts the connection."""
        self.reusable = False
        if self._transport is not None and not self.closed:
            self._transport.abort()

    def _fail(self, reason, error_type=ExchangeFailed):
        self.close()
        if self._failure is None:
            self._failure = error_type(reason)

    def _raise_if_failed(self):
        if self._failure is not None:
            # Raised itself, it would refer to this connection and to what called it.
            raise type(self._failure)(*self._failure.args)


def _is_close_delimited(head):
    """Whether the end of the body is marked only by the close of the connection."""
    if head.status in (204, 304):
        return False
    return not any(
        name in (b"content-length", b"transfer-encoding") for name, _ in head.headers
    )
