"""One caller's HTTP connection of the daemon, with bounds on what it may hold.

uvicorn parses the requests and runs the application. Bytes are given to it in slices,
so that each turn of the event loop is short whatever a caller sends.
"""

from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from snipetrestle.caller_memory import (
    BODY_COPIES,
    FULL_RETRY_AFTER_S,
    HEADER_LINE_BYTES,
    REQUEST_IN_PROGRESS_BYTES,
    ConnectionState,
)
from snipetrestle.callers.arrival import ARRIVAL_EXTENSION, RequestArrival
from snipetrestle.callers.refusals import raw_error_response
from snipetrestle.codes import ResultCode
from snipetrestle.lingering import LingeringTransport
from snipetrestle.settings import IntakeSettings
from snipetrestle.sockets import count_unread_bytes

# Maximum size of the request line and headers together.
MAX_HEADER_BYTES = 32_768
# A connection whose send buffer stays full for this long is aborted.
SLOW_READER_TIMEOUT_S = 30.0
# Bytes that wait in the socket of an idle connection are read within this time.
UNREAD_BYTES_WAIT_S = 0.05
# While the listener closes, a new connection may send its first request for this long.
FIRST_REQUEST_WAIT_S = 0.5
# Bytes that are parsed in one turn of the event loop. What is left of a body with a
# declared length is one part for the parser, so it needs no slices.
SLICE_BYTES = 8192
# Requests that wait behind one in progress. No more bytes are parsed until then.
MAX_PIPELINED_REQUESTS = 8


class _SlicedFlow(FlowControl):
    """Flow control that does not resume reading while received bytes wait."""

    has_unparsed = False

    def resume_reading(self):
        if not self.has_unparsed:
            super().resume_reading()


class CallerConnection(HttpToolsProtocol):
    """HTTP protocol that limits connections, header time and size, and slow readers.

    The listener's subclass has ``intake``, its IntakeSettings, ``memory``, the
    CallerMemory of all callers, and ``parse_turns``. Trailer fields are dropped, since
    they are no header fields. ``received_at`` is when the last byte came, or else when
    the connection was opened.
    """

    intake = IntakeSettings()
    memory = None
    parse_turns = None

    def connection_made(self, transport):
        super().connection_made(LingeringTransport(transport))
        self.flow = _SlicedFlow(self.transport)
        self._slow_reader_timer = None
        self._header_timer = None
        # Bytes of the header lines, and of all of the head as far as it has arrived.
        self._header_bytes = self._unparsed_head_bytes = 0
        self._header_count = 0
        self._closes_after_request = False
        self._has_received = False
        self._opened_at = self.received_at = self.loop.time()
        # Bytes that wait until others have been parsed.
        self._unparsed = bytearray()
        self._is_parsing_later = False
        self._is_closed = False
        # The request that arrives, from the end of its head to that of its body.
        self._arrival = None
        self._body_bytes = 0
        self._remaining_length = 0
        # The bodies of requests in progress or that wait, before the newest one.
        self._earlier_bytes = 0
        self.unfinished_since = self.unread_since = self._opened_at
        self._held_bytes = 0
        self.report_held()
        self.memory.add(self)
        if len(self.connections) > self.intake.max_connections:
            self._refuse(ResultCode.QUEUE_FULL, "too many connections")
        elif not self.transport.is_closing():
            self._expect_headers()

    def connection_lost(self, error):
        self._is_closed = True
        self._stop_header_timer()
        self._stop_slow_reader_timer()
        self._drop_unparsed()
        super().connection_lost(error)
        self.memory.discard(self)
        self.report_held()

    @property
    def may_send_first_request(self):
        """Whether the connection is new and its first request has not arrived yet."""
        return (
            not self._has_received
            and self.loop.time() < self._opened_at + FIRST_REQUEST_WAIT_S
        )

    # Parsing.

    def data_received(self, data):
        if self.transport.is_closing():
            return
        self._has_received = True
        self.received_at = self.loop.time()
        if self._begins_request and self.memory.refuses_new():
            self._refuse(
                ResultCode.QUEUE_FULL,
                "callers hold too much memory",
                retry_after=FULL_RETRY_AFTER_S,
            )
            return
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse_slices(data)
        self.report_held()

    @property
    def _begins_request(self):
        """Whether the next byte is the first one of a request behind no other."""
        is_arriving = self._arrival is not None or self._unparsed_head_bytes
        return not (is_arriving or self._unparsed or self._has_request_in_progress)

    def _parse_slices(self, data):
        """Parses what may be parsed at once, and lets the rest wait."""
        part_bytes = max(SLICE_BYTES, self._remaining_length)
        self._parse(data[:part_bytes])
        # What the first part has shown to be the rest of a body.
        body_end = part_bytes + self._remaining_length
        if part_bytes < body_end and part_bytes < len(data):
            self._parse(data[part_bytes:body_end])
            part_bytes = body_end
        if part_bytes < len(data) and not self.transport.is_closing():
            self._unparsed += memoryview(data)[part_bytes:]
            self._parse_later()

    def _parse_later(self):
        self.flow.pause_reading()
        self.flow.has_unparsed = True
        if not self._is_parsing_later:
            self._is_parsing_later = True
            task = self.loop.create_task(self._parse_unparsed())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _parse_unparsed(self):
        """Parses the bytes that wait, in turns with other connections.

        Ends early while many requests wait; the end of one of them begins it again.
        """
        while self._unparsed and len(self.pipeline) < MAX_PIPELINED_REQUESTS:
            await self.parse_turns.wait()
            part_bytes = max(SLICE_BYTES, self._remaining_length)
            part = bytes(self._unparsed[:part_bytes])
            del self._unparsed[:part_bytes]
            if part and not self.transport.is_closing():
                self._parse(part)
        self._is_parsing_later = False
        if self.transport.is_closing():
            self._drop_unparsed()
        elif not self._unparsed:
            self.flow.has_unparsed = False
            if self.cycle is None or len(self.cycle.body) <= HIGH_WATER_LIMIT:
                self.flow.resume_reading()
        self.report_held()

    def _drop_unparsed(self):
        self._unparsed.clear()
        self.flow.has_unparsed = False

    def _parse(self, data):
        super().data_received(data)
        # All data received before the end of the headers belongs to them.
        if self._header_timer is not None:
            self._unparsed_head_bytes += len(data)
            self._check_header_bytes(self._unparsed_head_bytes)

    def on_message_begin(self):
        super().on_message_begin()
        self._in_head = True
        self._header_bytes = self._unparsed_head_bytes = 0
        self._header_count = 0
        self.unfinished_since = self.loop.time()
        if self._header_timer is None:
            self._expect_headers()

    def on_header(self, name, value):
        if self._in_head:
            super().on_header(name, value)
            self._header_count += 1
        self._header_bytes += len(name) + len(value)
        self._check_header_bytes(self._header_bytes)

    def _check_header_bytes(self, count):
        if count > MAX_HEADER_BYTES:
            self._refuse(
                ResultCode.MALFORMED_REQUEST,
                "the headers are too large",
                field="headers",
                rule=f"must have at most {MAX_HEADER_BYTES} bytes",
            )

    def on_headers_complete(self):
        self._in_head = False
        self._unparsed_head_bytes = 0
        self._stop_header_timer()
        if self.transport.is_closing():
            return
        if self._has_request_in_progress:
            self._earlier_bytes += BODY_COPIES * self._body_bytes
        self._arrival = RequestArrival()
        self.scope["extensions"] = {ARRIVAL_EXTENSION: self._arrival}
        self._body_bytes = 0
        self._remaining_length = _declared_length(self.headers)
        super().on_headers_complete()
        if self._closes_after_request:
            self.cycle.keep_alive = False

    def on_body(self, body):
        self._body_bytes += len(body)
        self._remaining_length = max(0, self._remaining_length - len(body))
        if self._arrival is None or not self._arrival.is_refused:
            super().on_body(body)

    def on_message_complete(self):
        self._remaining_length = 0
        super().on_message_complete()
        self._arrival = None

    def on_response_complete(self):
        super().on_response_complete()
        if not self.pipeline:
            self._earlier_bytes = 0
        if self._unparsed and not self.transport.is_closing():
            self._parse_later()
        self.report_held()

    # Ends.

    def shutdown(self):
        """Closes an idle connection; a request that has begun to arrive is answered."""
        if self._header_timer is not None and self._unparsed_head_bytes:
            self._closes_after_request = True
        elif count_unread_bytes(self.transport):
            self._closes_after_request = True
            self.loop.call_later(UNREAD_BYTES_WAIT_S, self._shut_down_if_idle)
        else:
            self._shut_down_if_idle()

    def _shut_down_if_idle(self):
        """Ends the connection unless a request is arriving or in progress on it."""
        if self._header_timer is not None and self._unparsed_head_bytes:
            return
        super().shutdown()

    def timeout_keep_alive_handler(self):
        """Closes an idle connection, unless bytes wait in its socket."""
        if count_unread_bytes(self.transport):
            self.timeout_keep_alive_task = self.loop.call_later(
                UNREAD_BYTES_WAIT_S, self.timeout_keep_alive_handler
            )
        else:
            super().timeout_keep_alive_handler()

    def send_400_response(self, msg):
        self._refuse(ResultCode.MALFORMED_REQUEST, "not a valid HTTP request")

    def pause_writing(self):
        super().pause_writing()
        self.unread_since = self.loop.time()
        if self._slow_reader_timer is None:
            self._slow_reader_timer = self.loop.call_later(
                SLOW_READER_TIMEOUT_S, self.transport.abort
            )
        self.report_held()

    def resume_writing(self):
        self._stop_slow_reader_timer()
        super().resume_writing()
        self.report_held()

    def _expect_headers(self):
        self._header_timer = self.loop.call_later(
            self.intake.header_timeout_s, self._refuse_late_headers
        )

    def _refuse_late_headers(self):
        self._refuse(ResultCode.REQUEST_TIMEOUT, "the headers did not arrive in time")

    def _refuse(self, code, detail="", **details):
        self._stop_header_timer()
        if not self.transport.is_closing():
            self.transport.write(raw_error_response(code, detail, **details))
            self.transport.close()

    def _stop_header_timer(self):
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _stop_slow_reader_timer(self):
        if self._slow_reader_timer is not None:
            self._slow_reader_timer.cancel()
            self._slow_reader_timer = None

    # Called by CallerMemory.

    def report_held(self):
        """Tells the CallerMemory how much this connection holds."""
        held_bytes = 0
        if not self._is_closed:
            held_bytes = self.memory.connection_bytes + self._content_bytes
        if held_bytes != self._held_bytes:
            old_bytes, self._held_bytes = self._held_bytes, held_bytes
            self.memory.resize(old_bytes, held_bytes)

    @property
    def _content_bytes(self):
        """The memory of requests and of responses that wait to be sent."""
        waiting_bytes = len(self.pipeline) * REQUEST_IN_PROGRESS_BYTES
        return (
            waiting_bytes
            + self._earlier_bytes
            + self._request_bytes
            + len(self._unparsed)
            + self.transport.get_write_buffer_size()
        )

    @property
    def _request_bytes(self):
        """The memory of the request that arrives, or else of the one in progress."""
        if not self._has_request_in_progress and self._header_timer is None:
            return 0
        if self._arrival is not None and self._arrival.is_refused:
            return REQUEST_IN_PROGRESS_BYTES
        head_bytes = HEADER_LINE_BYTES * self._header_count + self._header_bytes
        held_bytes = head_bytes + BODY_COPIES * self._body_bytes
        if self._has_request_in_progress:
            held_bytes += REQUEST_IN_PROGRESS_BYTES
        return held_bytes

    @property
    def _has_request_in_progress(self):
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _is_arriving_alone(self):
        """Whether a request has arrived in part, and no earlier one is in progress."""
        if self.pipeline:
            return False
        if self._arrival is not None:
            return not (self._arrival.is_refused or self.cycle.response_started)
        is_in_head = self._header_timer is not None and self._has_received
        return is_in_head and not self._has_request_in_progress

    @property
    def waiting_since(self):
        """When the request that arrives began, or else when the last byte came."""
        return self.unfinished_since if self._is_arriving_alone else self.received_at

    @property
    def state(self):
        """The ConnectionState."""
        if self.transport.is_closing():
            return ConnectionState.ENDING
        if self._is_arriving_alone or not self._has_received:
            return ConnectionState.ARRIVING
        if self._has_request_in_progress or self._unparsed:
            return ConnectionState.BUSY
        return ConnectionState.IDLE

    @property
    def unfinished_bytes(self):
        """The memory of a request that has arrived only in part, and may be refused."""
        if self.transport.is_closing() or not self._is_arriving_alone:
            return 0
        return self._request_bytes + len(self._unparsed)

    def refuse_for_memory(self):
        """Refuses the unfinished request, and frees the memory that it holds."""
        self._drop_unparsed()
        if self._arrival is None:
            self._refuse(
                ResultCode.QUEUE_FULL,
                "callers hold too much memory",
                retry_after=FULL_RETRY_AFTER_S,
            )
        else:
            # Its handler answers, since it knows what a refusal may promise.
            self._arrival.is_refused = True
            self.cycle.keep_alive = False
            self.cycle.body.clear()
            self.cycle.message_event.set()
        self.report_held()

    @property
    def unread_bytes(self):
        """Bytes of responses that wait for a caller that does not read."""
        if self.transport.is_closing() or self._slow_reader_timer is None:
            return 0
        return self.transport.get_write_buffer_size()

    def end_unread(self):
        """Ends a connection whose caller does not read."""
        self.transport.abort()
        self.report_held()

    def end_excess(self, is_urgent):
        """Ends a connection that is not busy, at once or with an answer."""
        if is_urgent:
            self.transport.abort()
        elif self._is_arriving_alone:
            self.refuse_for_memory()
        else:
            self.transport.close()

    def end_unserved(self):
        """Ends a new connection for which there is no room."""
        self._refuse(ResultCode.QUEUE_FULL, "too many connections")


def _declared_length(headers):
    """Returns the length of a body that is not sent in chunks, else 0."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0
