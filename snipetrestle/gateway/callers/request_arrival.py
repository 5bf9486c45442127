"""Parses the bytes of a caller's connection into complete requests.

httptools parses them in slices, so that each turn of the event loop is short whatever a
caller sends. Bytes beyond a slice wait in UnparsedBytes.
"""

import asyncio

import httptools

from snipetrestle.caller_memory import (
    BODY_COPIES,
    HEADER_LINE_BYTES,
    REQUEST_BYTES,
)
from snipetrestle.codes import ResultCode
from snipetrestle.gateway.callers.body_buffer import BodyBuffer
from snipetrestle.gateway.callers.request_head import (
    Request,
    expects_continue,
    format_head_without_offer,
    head_size_bytes,
    is_unambiguous,
    names_close,
)
from snipetrestle.gateway.callers.unparsed_bytes import UnparsedBytes
from snipetrestle.gateway.message_limits import OverheadMeter

# Bytes that are parsed in one turn of the event loop: some 1,000 header lines or 700
# chunks, which take less than a millisecond. Slices grow up to MAX_SLICE_BYTES while a
# body comes in large chunks, with at most MAX_CHUNKS_PER_SLICE in a slice.
SLICE_BYTES = 4096
MAX_SLICE_BYTES = 32_768
MAX_CHUNKS_PER_SLICE = 16
# Chunk sizes, chunk extensions and trailers of a request body.
MAX_BODY_OVERHEAD_BYTES = 16_384


class RequestArrival:
    """Base class of CallerConnection that parses what it receives.

    ``_pending_requests`` are complete, in the order of their arrival. They are followed
    by the request that still arrives and the bytes that are not parsed yet, or by the
    refusal ``_refusal_code``, which ends the connection.
    """

    def __init__(self, server):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._pending_requests = []
        self._pending_bytes = 0
        self._unparsed = UnparsedBytes()
        # When the bytes that are parsed, and the first byte of the request, arrived.
        self._parsed_received_at = 0.0
        self._begun_at = 0.0
        self._refusal_code = None
        self._refusal_retry_after_s = None
        # Method of the request that arrives, once it is known.
        self._method = None
        self._is_refused_head_request = False
        self._in_message = False
        # Whether the caller waits for an interim response before it sends its body.
        self._awaits_continue = False
        # Bytes of a head, and of blank lines before it.
        self._head_bytes = 0
        self._in_head = True
        self._headers = []
        self._target = b""
        self._body = BodyBuffer()
        # The declared length of a body that is not sent in chunks.
        self._body_length = 0
        self._body_overhead = None
        # The size of the next slice, and the parts of a body in the current one.
        self._slice_bytes = SLICE_BYTES
        self._part_count = 0
        self._head_started_at = None
        self._body_started_at = 0.0
        self._last_body_at = 0.0
        self._current_request = None

    # Parsing.

    def _parse_received(self, data, received_at):
        """Parses a slice of bytes that have just arrived, and keeps the others.

        What is left of a body with a declared length is one part for the parser, so it
        needs no slices.
        """
        size_bytes = len(data)
        if size_bytes <= SLICE_BYTES:
            self._parse(data, received_at)
            return
        parsed_bytes = self._next_part_bytes
        self._parse(data[:parsed_bytes], received_at)
        body_bytes = 0 if self._unparsed else self._remaining_body_bytes
        if body_bytes and parsed_bytes < size_bytes:
            self._parse(data[parsed_bytes : parsed_bytes + body_bytes], received_at)
            parsed_bytes += body_bytes
        if parsed_bytes < size_bytes and self._refusal_code is None:
            self._unparsed.append(memoryview(data)[parsed_bytes:], received_at)

    def _parse_unparsed(self):
        """Parses the next slice of the bytes that wait."""
        self._parse(*self._unparsed.pop_first(self._next_part_bytes))

    @property
    def _next_part_bytes(self):
        """How many bytes may be parsed at once."""
        return self._remaining_body_bytes or self._slice_bytes

    @property
    def _remaining_body_bytes(self):
        """The bytes that are missing of a body with a declared length."""
        if self._in_head or not self._in_message or self._refusal_code is not None:
            return 0
        return max(0, self._body_length - len(self._body))

    def _parse(self, data, received_at):
        self._parsed_received_at = received_at
        self._part_count = 0
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
        if self._refusal_code is not None:
            self._drop_arriving()
        elif self._in_head or self._part_count > MAX_CHUNKS_PER_SLICE:
            self._slice_bytes = SLICE_BYTES
        else:
            self._slice_bytes = min(MAX_SLICE_BYTES, 2 * self._slice_bytes)

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
        self._body = BodyBuffer()
        self._body_length = 0
        self._body_overhead = OverheadMeter(MAX_BODY_OVERHEAD_BYTES)
        self._body_started_at = self._last_body_at = self._loop.time()
        request = self._current_request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.should_keep_alive() and not names_close(self._headers),
        )
        head_bytes = head_size_bytes(request)
        request.held_bytes = _head_memory_bytes(len(self._headers), head_bytes)
        if head_bytes > self._server.limits.max_header_bytes:
            self._refuse(ResultCode.HEADERS_TOO_LARGE)
        if not is_unambiguous(request, self._parser.get_http_version()):
            self._refuse(ResultCode.MALFORMED_REQUEST)
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                self._body_length = int(value)
        if self._body_length > self._server.limits.max_body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE)
        self._awaits_continue = expects_continue(
            self._headers, self._parser.get_http_version()
        )

    def on_body(self, data):
        self._awaits_continue = False
        if self._refusal_code is not None:
            return
        self._part_count += 1
        self._body.append(data)
        self._body_overhead.note_body(len(data))
        self._last_body_at = self._loop.time()
        if len(self._body) > self._server.limits.max_body_bytes:
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
        request.body = self._body.take()
        request.held_bytes += BODY_COPIES * len(request.body)
        request.begun_at = self._begun_at
        request.received_at = self._loop.time()
        self._current_request = None
        self._headers = []
        self._pending_requests.append(request)
        self._pending_bytes += request.held_bytes

    # Complete, unfinished and refused requests.

    def _take_request(self):
        """Removes the first complete request and returns it."""
        request = self._pending_requests.pop(0)
        self._pending_bytes -= request.held_bytes
        return request

    @property
    def _has_next_request(self):
        """Whether another request has arrived, at least in part."""
        return (
            bool(self._pending_requests or self._unparsed)
            or self._in_message
            or self._refusal_code is not None
        )

    @property
    def unfinished_bytes(self):
        """The memory of the request that has arrived only in part.

        It is 0 without such a request, and once it is refused.
        """
        if self._refusal_code is not None:
            return 0
        held_bytes = self._unparsed.held_bytes
        if self._in_message:
            held_bytes += self._arriving_bytes()
        return held_bytes

    def _arriving_bytes(self):
        if self._in_head:
            return _head_memory_bytes(len(self._headers), self._head_bytes)
        return self._current_request.held_bytes + BODY_COPIES * len(self._body)

    @property
    def unfinished_since(self):
        """When the first byte of the unfinished request arrived."""
        if self._in_message:
            return self._begun_at
        return self._unparsed.first_received_at

    def _refuse(self, code):
        if self._refusal_code is None:
            self._refusal_code = code
            self._is_refused_head_request = self._method == b"HEAD"
            self.keep_alive = False

    def _refuse_unfinished(self, code, retry_after_s):
        """Refuses the arriving request, also while an earlier one is in progress."""
        self._refusal_code = code
        self._refusal_retry_after_s = retry_after_s
        self._is_refused_head_request = (
            self._method == b"HEAD"
            if self._in_message
            else self._unparsed.starts_with(b"HEAD ")
        )
        self._drop_arriving()

    def _drop_arriving(self):
        """Frees what has arrived of the unfinished request."""
        self._unparsed.clear()
        self._headers = []
        self._body = BodyBuffer()
        self._current_request = None


def _head_memory_bytes(line_count, text_bytes):
    """Returns the memory that a request's head takes."""
    return REQUEST_BYTES + HEADER_LINE_BYTES * line_count + text_bytes
