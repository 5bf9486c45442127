"""HTTP/1.1 connections of callers: one task for each, parsed by httptools.

A request is handled only once it is complete, so an unfinished or malformed request
never reaches a replica.
"""

import asyncio
import math
import socket

import httptools

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.connection_end import (
    HOST_SILENCE_S,
    ConnectionEnd,
    EndReason,
    Unanswered,
)
from snipetrestle.gateway.message_limits import OverheadMeter
from snipetrestle.gateway.request_head import (
    Request,
    expects_continue,
    format_head_without_offer,
    head_size_bytes,
    is_unambiguous,
    names_close,
)
from snipetrestle.gateway.supervision import call_isolated, log_unexpected
from snipetrestle.gateway.unparsed_bytes import UnparsedBytes
from snipetrestle.gateway.waiter import Waiter
from snipetrestle.lingering import has_unsent_bytes, linger, write_end
from snipetrestle.sockets import count_unread_bytes

# Longest time without data in the middle of a request body, and the rate that a body
# must reach after that time.
MAX_BODY_PAUSE_S = 10.0
MIN_BODY_BYTES_PER_S = 1024
# Chunk sizes, chunk extensions and trailers of a request body.
MAX_BODY_OVERHEAD_BYTES = 16_384
# Idle connections are kept longer than the limit by this share of it, and by this time
# at least. Otherwise a request that is sent just within the limit crosses the close.
IDLE_MARGIN_SHARE = 1 / 3
MIN_IDLE_MARGIN_S = 1.0
# While the server closes, a new connection may send its first request for this long.
FIRST_REQUEST_WAIT_S = 0.5
# A caller that reads no responses for this long is disconnected.
MAX_RESPONSE_PAUSE_S = 10.0
# Streams pause while more bytes than this wait for a slow caller.
WRITE_HIGH_WATER_BYTES = 131_072
# A connection is lost if sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 8000
# Bytes that wait in the socket are read within this time.
UNREAD_BYTES_WAIT_S = 0.05
# Bytes of pipelined requests that are buffered while a request is handled. Reading
# pauses only above this, since only reading shows that the caller has closed its
# connection.
MAX_UNPARSED_BYTES = 65_536

REASON_PHRASES_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


class CallerConnection(asyncio.Protocol):
    """One caller's connection.

    ``server`` is its HttpServer: ``close_after_response`` closes a connection after its
    next response, ``close_when_idle`` also closes idle connections, and with an
    ``arrival_retry_after_s`` requests that have arrived in part are refused. ``busy``
    is true while a request is handled, ``has_response`` once its response has begun, and
    ``request_id`` is its id as text. ``deadline_s`` is the one that the caller named, or
    None, and ``answer_due_at`` the time by which it is owed an answer. ``awaits_end`` is
    true while the connection waits for its turn to be ended. ``on_disconnect()``, if
    set, is called when the connection closes.
    """

    def __init__(self, server):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._task = None
        self._waiter = Waiter()
        self._writable = None
        self._pending_requests = []
        self._unparsed = UnparsedBytes()
        # When the bytes that are parsed, and the first byte of the request, arrived.
        self._parsed_received_at = 0.0
        self._begun_at = 0.0
        self._refusal_code = None
        # Method of the request that arrives, once it is known.
        self._method = None
        # Whether the request that is answered, or the refused one, is a HEAD request.
        self._is_head_request = False
        self._is_refused_head_request = False
        self._in_message = False
        # Whether the caller waits for an interim response before it sends its body.
        self._awaits_continue = False
        # Bytes of a head, and of blank lines before it.
        self._head_bytes = 0
        self._head_started_at = None
        self._in_head = True
        self._body_parts = []
        self._body_bytes = 0
        self._body_overhead = None
        self._body_started_at = 0.0
        self._last_body_at = 0.0
        self._opened_at = self._loop.time()
        self._received_at = self._opened_at
        self._has_received = False
        self._current_request = None
        self._reading_paused = False
        self._lingering = False
        # Bytes that came after this host had ended the connection.
        self._late_bytes = 0
        self.has_response = False
        self.closed = False
        self.busy = False
        self.awaits_end = False
        self.keep_alive = True
        self.on_disconnect = None
        self.request_id = None
        self.deadline_s = None
        self.answer_due_at = math.inf
        # When this host last sent something, or the request in progress arrived.
        self._active_at = self._opened_at
        # The ConnectionEnd, once the connection ends.
        self._end = None
        # Whether bytes waited in the socket when the connection was to be ended.
        self._has_unread_bytes = False

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._server.connections.add(self)
        self._task = self._loop.create_task(self._run())

    def data_received(self, data):
        if self._lingering:
            self._late_bytes += len(data)
            if not has_unsent_bytes(self._transport):
                # Nothing is left that a reset could destroy.
                self._waiter.wake()
            return
        self._has_unread_bytes = False
        if self._refusal_code is not None:
            return
        self._has_received = True
        self._received_at = self._loop.time()
        if self.busy or self._pending_requests or self._unparsed:
            self._unparsed.append(data, self._received_at)
            if len(self._unparsed) > MAX_UNPARSED_BYTES and not self._reading_paused:
                self._reading_paused = True
                self._transport.pause_reading()
            return
        self._parse(data, self._received_at)
        self._waiter.wake()

    def _parse(self, data, received_at):
        self._parsed_received_at = received_at
        if self._in_head:
            self._head_bytes += len(data)
        else:
            self._body_overhead.note_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._ignore_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError:
            self._refuse(ResultCode.MALFORMED_REQUEST)
        if self._in_head and self._head_bytes > self._server.limits.max_header_bytes:
            self._refuse(ResultCode.HEADERS_TOO_LARGE)
        if not self._in_head and self._body_overhead.exceeded:
            self._refuse(ResultCode.MALFORMED_REQUEST)

    def _ignore_upgrade(self, following):
        """Goes on as if a request had offered no other protocol (RFC 9110, 7.8).

        The parser stops behind the head of such a request, so the head is parsed again
        without the offer. ``following`` is its body and what comes after it.
        """
        if self._refusal_code is not None:
            return
        head = format_head_without_offer(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.get_http_version(),
        )
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._unparsed.prepend(following, self._parsed_received_at)
        self._unparsed.prepend(head, self._begun_at)

    @property
    def _offers_upgrade(self):
        """Whether the parser stops behind this head, which is parsed again."""
        return self._parser.should_upgrade() and self._parser.get_method() != b"CONNECT"

    def eof_received(self):
        # A caller that has closed its side no longer waits for a response.
        self._note_end(self._caller_end_reason(EndReason.CALLER_CLOSED))
        return False

    def connection_lost(self, exc):
        self.closed = True
        self._note_end(self._caller_end_reason(EndReason.CALLER_LOST))
        self._server.connections.discard(self)
        call_isolated(self._report_end)
        self._waiter.wake()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        if self.on_disconnect is not None:
            self.on_disconnect()

    def pause_writing(self):
        self._writable = self._loop.create_future()

    def resume_writing(self):
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # Callbacks of httptools.

    def on_message_begin(self):
        self._begun_at = self._parsed_received_at
        self._in_message = True
        self._in_head = True
        self._headers = []
        self._target = b""
        self._method = None

    def on_url(self, url):
        self._target += url
        self._method = self._parser.get_method()

    def on_header(self, name, value):
        # Trailer fields are dropped: the request's head was checked without them.
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        if self._offers_upgrade:
            return
        self._in_head = False
        self._head_bytes = 0
        self._body_parts = []
        self._body_bytes = 0
        self._body_overhead = OverheadMeter(MAX_BODY_OVERHEAD_BYTES)
        self._body_started_at = self._last_body_at = self._loop.time()
        self._current_request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.should_keep_alive() and not names_close(self._headers),
        )
        if (
            head_size_bytes(self._current_request)
            > self._server.limits.max_header_bytes
        ):
            self._refuse(ResultCode.HEADERS_TOO_LARGE)
        if not is_unambiguous(self._current_request, self._parser.get_http_version()):
            self._refuse(ResultCode.MALFORMED_REQUEST)
        for name, value in self._headers:
            if (
                name == b"content-length"
                and value.isdigit()
                and int(value) > self._server.limits.max_body_bytes
            ):
                self._refuse(ResultCode.BODY_TOO_LARGE)
        self._awaits_continue = expects_continue(
            self._headers, self._parser.get_http_version()
        )

    def on_body(self, data):
        self._awaits_continue = False
        if self._refusal_code is not None:
            return
        self._body_parts.append(data)
        self._body_bytes += len(data)
        self._body_overhead.note_body(len(data))
        self._last_body_at = self._loop.time()
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE)

    def on_message_complete(self):
        self._in_message = False
        self._in_head = True
        self._method = None
        self._awaits_continue = False
        self._head_started_at = None
        if self._refusal_code is not None or self._offers_upgrade:
            return
        request = self._current_request
        request.body = b"".join(self._body_parts)
        request.begun_at = self._begun_at
        request.received_at = self._loop.time()
        self._body_parts = []
        self._pending_requests.append(request)

    # The task of the connection.

    async def _run(self):
        try:
            while not self.closed:
                request = await self._next_request()
                if request is None:
                    break
                self.busy = True
                self.keep_alive = request.keep_alive
                self._is_head_request = request.is_head
                self.has_response = False
                self.request_id = None
                self.deadline_s = None
                self.answer_due_at = math.inf
                self._active_at = max(self._active_at, request.begun_at)
                await self._server.handle(request, self)
                await self._wait_until_read()
                self.busy = False
                if not self.keep_alive:
                    self._note_end(EndReason.ANNOUNCED)
                    break
            await self._linger()
        except CallerDisconnected:
            pass
        except Exception as error:
            log_unexpected("connection", error)
            self._send_internal_error()
            self._note_end(EndReason.INTERNAL_ERROR)
        finally:
            self.busy = False
            self._transport.close()

    def _send_internal_error(self):
        """Answers the current request, unless its response has begun."""
        if self.busy and not self.has_response and not self.closed:
            self.keep_alive = False
            self.send_result_code(ResultCode.INTERNAL)
            self.busy = False

    async def _next_request(self):
        """Returns the next request, or None if the connection is to be closed."""
        idle_since = self._loop.time()
        while True:
            if self._pending_requests:
                return self._pending_requests.pop(0)
            if self._refusal_code is not None:
                self._note_end(EndReason.REQUEST_REFUSED)
                self._is_head_request = self._is_refused_head_request
                self.send_result_code(self._refusal_code)
                return None
            if self._unparsed:
                self._parse(*self._unparsed.pop_first())
                continue
            if self._reading_paused:
                self._reading_paused = False
                self._transport.resume_reading()
            if self.closed:
                return None
            if self._in_message and self._server.arrival_retry_after_s is not None:
                self._refuse_arriving_request()
                return None
            self._send_continue_if_awaited()
            remaining_s = self._remaining_wait_s(idle_since)
            is_draining = self._server.close_when_idle and not self.is_engaged
            if remaining_s <= 0 or is_draining:
                if not self._in_message and await self._is_used_before_end():
                    continue
                if self._end_if_quiet(self._silence_end_reason()):
                    return None
                remaining_s = UNREAD_BYTES_WAIT_S
            await self._waiter.wait(remaining_s)

    def _refuse_arriving_request(self):
        """Answers a request whose rest comes too late for a stop, if at all."""
        self._refuse(ResultCode.NOT_READY)
        self._note_end(EndReason.REQUEST_REFUSED)
        self._is_head_request = self._is_refused_head_request
        self.send_result_code(ResultCode.NOT_READY, self._server.arrival_retry_after_s)

    def _send_continue_if_awaited(self):
        """Asks for a body that its caller holds back until then (RFC 9110, 10.1.1).

        Called with all earlier requests answered: an interim response belongs to the
        oldest request without an answer. The time for the body begins here.
        """
        if self._awaits_continue:
            self._awaits_continue = False
            self._body_started_at = self._last_body_at = self._loop.time()
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _is_used_before_end(self):
        """Waits for the turn to end this connection; returns whether data came first.

        What comes is served at once: the turn may come seconds later.
        """
        turn = self._loop.create_task(self._server.wait_for_turn_to_end())
        turn.add_done_callback(self._wake_after_turn)
        self.awaits_end = True
        try:
            while not (turn.done() or self.closed or self._is_used):
                await self._waiter.wait()
        finally:
            self.awaits_end = False
            # The end of the turn must not wake a later wait.
            turn.remove_done_callback(self._wake_after_turn)
            turn.cancel()
        return self.closed or self._is_used

    def _wake_after_turn(self, turn):
        self._waiter.wake()

    @property
    def _is_used(self):
        """Whether data has come that asks for an answer."""
        return self._has_next_request or self._refusal_code is not None

    def _silence_end_reason(self):
        """Returns why a connection ends on which nothing came for too long."""
        if self._in_message:
            return EndReason.REQUEST_REFUSED
        return EndReason.DRAIN if self._server.close_when_idle else EndReason.IDLE

    def _end_if_quiet(self, reason):
        """Ends the connection, unless bytes of its caller wait in the socket.

        The caller is told at once, since the transport is closed in a later turn of the
        event loop: a request that arrives until then is not read.
        """
        self._has_unread_bytes = count_unread_bytes(self._transport) > 0
        if self._has_unread_bytes:
            return False
        self._note_end(reason)
        if reason is EndReason.REQUEST_REFUSED:
            self._is_head_request = self._method == b"HEAD"
            self.send_result_code(ResultCode.REQUEST_TIMEOUT)
        write_end(self._transport)
        return True

    @property
    def is_engaged(self):
        """Whether a request is in progress, or arriving, or may be about to arrive.

        A request is in progress until its caller has ended the connection as well, if
        this host has ended it, or else until its whole response has been sent.
        """
        return (
            self.busy
            or self._lingering
            or self._transport.get_write_buffer_size() > 0
            or self._has_next_request
            or self._has_unread_bytes
            or self._first_request_remaining_s() > 0
        )

    @property
    def _has_next_request(self):
        """Whether another request has arrived, at least in part."""
        return bool(self._pending_requests or self._unparsed) or self._in_message

    @property
    def _closes_after_response(self):
        """Whether the server closes this connection after the current response.

        Pipelined requests are answered before.
        """
        return self._server.close_after_response and not self._has_next_request

    def _first_request_remaining_s(self):
        """Returns how long a new connection without data may stay open in a drain."""
        if self._has_received:
            return 0.0
        return self._opened_at + FIRST_REQUEST_WAIT_S - self._loop.time()

    def _remaining_wait_s(self, idle_since):
        """Returns the remaining time in seconds to wait for the caller's next bytes."""
        limits = self._server.limits
        now = self._loop.time()
        if self._in_message and not self._in_head:
            return self._remaining_body_wait_s(now)
        if self._in_message:
            # The head is timed from here: its first byte arrived no later than this.
            if self._head_started_at is None:
                self._head_started_at = now
            return self._head_started_at + limits.header_timeout_s - now
        self._head_started_at = None
        if self._server.close_when_idle:
            return self._first_request_remaining_s()
        return idle_since + _kept_idle_s(limits) - now

    def _remaining_body_wait_s(self, now):
        """Returns how long to wait for more of a body, in seconds.

        A body may neither pause for long nor arrive too slowly.
        """
        transfer_s = self._body_bytes / MIN_BODY_BYTES_PER_S
        latest_end = self._body_started_at + MAX_BODY_PAUSE_S + transfer_s
        return min(self._last_body_at + MAX_BODY_PAUSE_S, latest_end) - now

    async def _wait_until_read(self):
        """Waits for a caller that reads its responses slowly.

        Otherwise the responses to pipelined requests could fill the memory.
        """
        if self._writable is None:
            return
        try:
            async with asyncio.timeout(MAX_RESPONSE_PAUSE_S):
                await self._writable
        except TimeoutError:
            self.abort(EndReason.RESPONSE_UNREAD)

    async def _linger(self):
        """Ends the connection, and discards what still comes until it is closed."""
        if self._transport.is_closing():
            return
        self._lingering = True
        if self._reading_paused:
            self._transport.resume_reading()
        write_end(self._transport)
        await linger(self._transport, self._waiter.wait)

    def _refuse(self, code):
        if self._refusal_code is None:
            self._refusal_code = code
            self._is_refused_head_request = self._method == b"HEAD"
            self.keep_alive = False

    def wake_if_idle(self):
        """Wakes an idle connection, so that it sees that the server is closing."""
        if not self.busy and not self._lingering:
            self._waiter.wake()

    # Responses, written by the handler.

    def send_response(self, status, headers, body):
        """Writes a complete response, without ``body`` to a HEAD request."""
        self.has_response = True
        head = self._format_head(status, headers, _length_header(len(body)))
        self._write(head if self._is_head_request else head + body)

    def send_head_response(self, status, headers, content_length):
        """Writes the response to a HEAD request.

        ``content_length`` is the length that a body would have, None if it is unknown.
        """
        self.has_response = True
        framing_header = b""
        if content_length is not None:
            framing_header = _length_header(content_length)
        self._write(self._format_head(status, headers, framing_header))

    def send_result_code(self, code, retry_after_s=None, request_id=None):
        """Writes a response that reports a result code, with the code as its body."""
        body = str(code).encode()
        headers = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append((b"x-request-id", request_id))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%g" % retry_after_s))
        if code in _CLOSING_CODES:
            self.keep_alive = False
        self.send_response(code.http_status, headers, body)

    def start_stream(self, status, headers):
        """Writes the head of a response with a chunked body."""
        self.has_response = True
        self._write(
            self._format_head(status, headers, b"transfer-encoding: chunked\r\n")
        )

    async def write_chunk(self, data):
        """Writes a chunk and waits for a slow caller. Raises CallerDisconnected."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))
        if self._writable is not None:
            await self._writable
        if self.closed:
            raise CallerDisconnected

    def end_stream(self):
        self._write(b"0\r\n\r\n")

    def abort(self, reason=EndReason.RESPONSE_ABORTED):
        """Aborts the connection, so that an unfinished response looks incomplete."""
        self._note_end(reason)
        if self._transport.get_write_buffer_size():
            self._end.unanswered = Unanswered.PARTIAL_RESPONSE
        self.keep_alive = False
        self._transport.abort()

    def _note_end(self, reason):
        """Records why the connection ends, unless that is known."""
        if self._end is None:
            request_id = self.request_id if self.busy else None
            self._end = ConnectionEnd(
                reason,
                self._unanswered(),
                request_id,
                self._loop.time() - self._received_at,
                self._server.limits.idle_timeout_s,
            )
            if self.busy:
                self._end.deadline_s = self.deadline_s
                self._end.silent_s = self._loop.time() - self._active_at

    def _caller_end_reason(self, reason):
        """Returns CALLER_TIMED_OUT if the caller had waited too long, else ``reason``."""
        is_slow_reader = self._writable is not None
        if not self.busy or is_slow_reader:
            return reason
        now = self._loop.time()
        is_late = now >= self.answer_due_at or now - self._active_at >= HOST_SILENCE_S
        return EndReason.CALLER_TIMED_OUT if is_late else reason

    def _write(self, data):
        self._active_at = self._loop.time()
        self._transport.write(data)

    def _report_end(self):
        """Tells the server how the connection has ended, with its socket still open."""
        end = self._end
        end.age_s = self._loop.time() - self._opened_at
        end.late_bytes = self._late_bytes
        end.unread_bytes = self._late_bytes + count_unread_bytes(self._transport)
        if end.reason is EndReason.REQUEST_REFUSED:
            # What comes behind the refusal belongs to the refused request.
            end.unanswered = Unanswered.NOTHING
        elif end.unanswered is Unanswered.NOTHING and end.unread_bytes:
            end.unanswered = Unanswered.UNREAD_BYTES
        self._server.on_connection_end(end)

    def _unanswered(self):
        """Returns what is Unanswered on this connection."""
        if self.busy:
            return (
                Unanswered.PARTIAL_RESPONSE if self.has_response else Unanswered.REQUEST
            )
        if self._pending_requests:
            return Unanswered.REQUEST
        if self._unparsed:
            return Unanswered.UNREAD_BYTES
        if self._in_message:
            return Unanswered.PARTIAL_REQUEST
        return Unanswered.NOTHING

    def _format_head(self, status, headers, framing_header):
        stays_open = self.keep_alive and not self._closes_after_response
        if not stays_open:
            self.keep_alive = False
        lines = [
            b"HTTP/1.1 %d %b\r\n"
            % (status, REASON_PHRASES_BY_STATUS.get(status, b"Status"))
        ]
        lines += [b"%b: %b\r\n" % (name, value) for name, value in headers]
        lines.append(framing_header)
        lines.append(b"\r\n" if stays_open else b"connection: close\r\n\r\n")
        return b"".join(lines)


# Responses with these codes close the connection.
_CLOSING_CODES = frozenset(
    {
        ResultCode.MALFORMED_REQUEST,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.HEADERS_TOO_LARGE,
        ResultCode.REQUEST_TIMEOUT,
    }
)


def _kept_idle_s(limits):
    """Returns how long an idle connection is kept open, in seconds."""
    margin_s = max(MIN_IDLE_MARGIN_S, IDLE_MARGIN_SHARE * limits.idle_timeout_s)
    return limits.idle_timeout_s + margin_s


def _length_header(content_length):
    return b"content-length: %d\r\n" % content_length
