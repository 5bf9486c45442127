"""Callers' HTTP/1.1 connections: one task for each, parsed by httptools.

A request is handled once it is complete, so an unfinished or malformed one never
reaches a replica.
"""

import asyncio
import socket

import httptools

from snipetrestle.codes import ResultCode
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.waiter import Waiter

# How long a connection is read and discarded after an answer to a malformed request,
# so that the caller can read the answer before the connection is reset.
LINGER_S = 0.5
# How long a caller may pause in the middle of a body.
BODY_PAUSE_S = 10.0
# Bytes that wait for a caller that does not read.
WRITE_HIGH_WATER_BYTES = 131_072
UNACKNOWLEDGED_MS = 8000
# Bytes of later requests that are held while one is handled. Reading goes on until
# then, since only reading shows that the caller has closed its connection.
MAX_BACKLOG_BYTES = 65_536

REASONS_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
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


class Request:
    """A complete request. ``received_at`` is in seconds of the runtime's clock."""

    __slots__ = ("method", "target", "headers", "body", "keep_alive", "received_at")

    def __init__(self, method, target, headers, keep_alive):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = keep_alive
        self.received_at = 0.0

    @property
    def path(self):
        """The target without its query, as text."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def hostname(self):
        """The host header without its port, in lower case; "" if there is none."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").partition(":")[0].lower()
        return ""


class CallerGone(Exception):
    """The caller closed its connection."""


class CallerConnection(asyncio.Protocol):
    """One caller's connection.

    ``server`` has ``limits``, ``handle``, ``closing`` (a connection ends with its next
    answer) and ``ending`` (idle connections end too).
    """

    def __init__(self, server):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._task = None
        self._waiter = Waiter()
        self._can_write = None
        self._requests = []
        self._backlog = b""
        self._refusal = None
        self._in_message = False
        self._head_bytes = 0
        self._head_started_at = None
        self._in_head = True
        self._body = []
        self._body_bytes = 0
        self._current = None
        self._last_data = 0.0
        self._paused = False
        self._lingering = False
        self.closed = False
        self.busy = False
        self.keep_alive = True
        self.on_gone = None

    # Protocol of asyncio.

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        self._server.connections.add(self)
        self._task = self._loop.create_task(self._run())

    def data_received(self, data):
        if self._refusal is not None or self._lingering:
            return
        self._last_data = self._loop.time()
        if self.busy or self._requests:
            self._backlog += data
            if len(self._backlog) > MAX_BACKLOG_BYTES and not self._paused:
                self._paused = True
                self._transport.pause_reading()
            return
        self._parse(data)
        self._waiter.wake()

    def _parse(self, data):
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(ResultCode.MALFORMED_REQUEST)
        if self._in_head and self._head_bytes > self._server.limits.max_header_bytes:
            self._refuse(ResultCode.HEADERS_TOO_LARGE)

    def eof_received(self):
        # A caller that has closed its side no longer waits for an answer.
        return False

    def connection_lost(self, exc):
        self.closed = True
        self._server.connections.discard(self)
        self._waiter.wake()
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        if self.on_gone is not None:
            self.on_gone()

    def pause_writing(self):
        self._can_write = self._loop.create_future()

    def resume_writing(self):
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None

    # Callbacks of the parser.

    def on_message_begin(self):
        self._in_message = True
        self._in_head = True
        self._headers = []
        self._target = b""

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._in_head = False
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._current = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.should_keep_alive(),
        )
        if _head_size(self._current) > self._server.limits.max_header_bytes:
            self._refuse(ResultCode.HEADERS_TOO_LARGE)
        if not _is_sound(self._current, self._parser.get_http_version()):
            self._refuse(ResultCode.MALFORMED_REQUEST)
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                if int(value) > self._server.limits.max_body_bytes:
                    self._refuse(ResultCode.BODY_TOO_LARGE)
            elif name == b"expect" and self._refusal is None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data):
        if self._refusal is not None:
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE)

    def on_message_complete(self):
        self._in_message = False
        self._in_head = True
        self._head_started_at = None
        if self._refusal is not None:
            return
        request = self._current
        request.body = b"".join(self._body)
        request.received_at = self._loop.time()
        self._body = []
        self._requests.append(request)

    # The task of the connection.

    async def _run(self):
        try:
            while not self.closed:
                request = await self._next_request()
                if request is None:
                    break
                self.busy = True
                self.keep_alive = request.keep_alive
                await self._server.handle(request, self)
                self.busy = False
                self._server.note_answered()
                if not self.keep_alive or self._server.closing:
                    break
            await self._end()
        except CallerGone:
            pass
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, error=repr(error))
        finally:
            self.busy = False
            self._transport.close()

    async def _next_request(self):
        """Returns the next request, or None if the connection is to be closed."""
        idle_since = self._loop.time()
        while True:
            if self._requests:
                return self._requests.pop(0)
            if self._refusal is not None:
                self.answer_code(self._refusal)
                return None
            if self._backlog:
                data, self._backlog = self._backlog, b""
                self._parse(data)
                continue
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
            if self.closed or self._server.ending:
                return None
            limit = self._wait_limit(idle_since)
            if limit <= 0:
                if self._in_message or self._head_bytes:
                    self.answer_code(ResultCode.REQUEST_TIMEOUT)
                return None
            await self._waiter.wait(limit)

    def _wait_limit(self, idle_since):
        """Returns how long the caller may still take for its next bytes, in seconds."""
        limits = self._server.limits
        now = self._loop.time()
        if self._in_message and not self._in_head:
            return self._last_data + BODY_PAUSE_S - now
        if self._head_bytes:
            # The first byte of the head is at least as old as the last one.
            if self._head_started_at is None:
                self._head_started_at = now
            return self._head_started_at + limits.header_timeout_s - now
        self._head_started_at = None
        return idle_since + limits.idle_timeout_s - now

    async def _end(self):
        if self._refusal is None or self.closed:
            return
        # A reset would take the answer away from a caller that still sends.
        self._lingering = True
        if self._paused:
            self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        await asyncio.sleep(LINGER_S)

    def _refuse(self, code):
        if self._refusal is None:
            self._refusal = code
            self.keep_alive = False

    def wake_idle(self):
        """Lets an idle connection notice that the server is closing."""
        if not self.busy:
            self._waiter.wake()

    # Answers, written by the handler.

    def answer(self, status, headers, body):
        """Writes a whole response."""
        head = self._head(status, headers, b"content-length: %d\r\n" % len(body))
        self._transport.write(head + body)

    def answer_code(self, code, retry_after_s=None, request_id=None):
        """Writes the response of a result code."""
        body = str(code).encode()
        headers = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append((b"x-request-id", request_id))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%g" % retry_after_s))
        if code in _CLOSING_CODES:
            self.keep_alive = False
        self.answer(code.http_status, headers, body)

    def start_stream(self, status, headers):
        """Writes the head of a response whose body follows in chunks."""
        self._transport.write(
            self._head(status, headers, b"transfer-encoding: chunked\r\n")
        )

    async def write_chunk(self, data):
        """Writes a part of the body. Raises CallerGone."""
        self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        if self._can_write is not None:
            await self._can_write
        if self.closed:
            raise CallerGone

    def end_stream(self):
        self._transport.write(b"0\r\n\r\n")

    def abort(self):
        """Ends an unfinished response, so that it cannot look complete."""
        self.keep_alive = False
        self._transport.abort()

    def _head(self, status, headers, framing):
        keep = self.keep_alive and not self._server.closing
        if not keep:
            self.keep_alive = False
        parts = [
            b"HTTP/1.1 %d %b\r\n" % (status, REASONS_BY_STATUS.get(status, b"Status"))
        ]
        parts += [b"%b: %b\r\n" % (name, value) for name, value in headers]
        parts.append(framing)
        parts.append(b"\r\n" if keep else b"connection: close\r\n\r\n")
        return b"".join(parts)


_CLOSING_CODES = frozenset(
    {
        ResultCode.MALFORMED_REQUEST,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.HEADERS_TOO_LARGE,
        ResultCode.REQUEST_TIMEOUT,
    }
)


def _head_size(request):
    """Returns the bytes of a head, which may have arrived together with its end."""
    fields = sum(len(name) + len(value) + 4 for name, value in request.headers)
    return len(request.target) + fields


def _is_sound(request, http_version):
    """Refuses heads that two readers could frame or route differently."""
    hosts = sum(name == b"host" for name, _ in request.headers)
    lengths = {
        value.strip() for name, value in request.headers if name == b"content-length"
    }
    framings = [
        value for name, value in request.headers if name == b"transfer-encoding"
    ]
    if hosts != 1 or len(lengths) > 1 or (lengths and framings):
        return False
    if framings and (len(framings) > 1 or framings[0].strip().lower() != b"chunked"):
        return False
    return request.target.startswith(b"/") and http_version in ("1.1", "1.0")
