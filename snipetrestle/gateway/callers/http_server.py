"""HTTP/1.1 connections of callers: one task for each.

A request is handled only once it is complete, so an unfinished or malformed request
never reaches a replica.
"""

import asyncio
import math
import socket

from snipetrestle.caller_memory import (
    CONNECTION_BYTES,
    FULL_RETRY_AFTER_S,
    REQUEST_IN_PROGRESS_BYTES,
    ConnectionState,
)
from snipetrestle.codes import ResultCode
from snipetrestle.gateway.callers.connection_end import (
    HOST_SILENCE_S,
    ConnectionEnd,
    EndReason,
    Unanswered,
)
from snipetrestle.gateway.callers.request_arrival import RequestArrival
from snipetrestle.gateway.callers.response_writer import ResponseWriter
from snipetrestle.gateway.waiter import Waiter
from snipetrestle.lingering import has_unsent_bytes, linger, write_end
from snipetrestle.sockets import count_unread_bytes
from snipetrestle.supervision import call_isolated, log_unexpected

# Longest time without data in the middle of a request body, and the rate that a body
# must reach after that time.
MAX_BODY_PAUSE_S = 10.0
MIN_BODY_BYTES_PER_S = 1024
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


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


class CallerConnection(RequestArrival, ResponseWriter, asyncio.Protocol):
    """One caller's connection.

    ``server`` is its HttpServer: ``close_after_response`` closes a connection after its
    next response, ``close_when_idle`` also closes idle connections, and with an
    ``arrival_retry_after_s`` requests that have arrived in part are refused. ``busy``
    is true while a request is handled, ``has_response`` once its response has begun, and
    ``request_id`` is its id as text. ``deadline_s`` is the one that the caller named, or
    None, and ``answer_due_at`` the time by which it is owed an answer. ``awaits_end`` is
    true while the connection waits for its turn to be ended. ``on_disconnect()``, if
    set, is called when the connection closes, and ``replica_silent_s()``, if set, is
    asked for that value of its ConnectionEnd, as is ``request_fields()`` until the
    request has been handled. ``held_bytes`` is the memory that the
    connection has reported to the server's CallerMemory.
    """

    def __init__(self, server):
        RequestArrival.__init__(self, server)
        ResponseWriter.__init__(self)
        self._transport = None
        self._task = None
        self._waiter = Waiter()
        self._writable = None
        # When the transport asked to pause writing.
        self.unread_since = 0.0
        self.held_bytes = 0
        # The memory of the request in progress.
        self._in_progress_bytes = 0
        # Whether the connection is to be ended before its idle limit.
        self._ends_early = False
        self._opened_at = self._loop.time()
        self._received_at = self._opened_at
        # Other event loops than ArrivalTimingLoop do not tell it.
        self._data_arrived_at = getattr(self._loop, "data_arrived_at", self._loop.time)
        self._has_received = False
        self._reading_paused = False
        self._lingering = False
        # Bytes that came after this host had ended the connection.
        self._late_bytes = 0
        self.closed = False
        self.busy = False
        self.awaits_end = False
        self.on_disconnect = None
        self.replica_silent_s = None
        self.request_fields = None
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
        self.report_held()
        self._server.memory.add(self)

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
        arrived_at = self._data_arrived_at()
        if self.busy or self._pending_requests or self._unparsed:
            self._unparsed.append(data, arrived_at)
        elif not self._in_message and self._server.memory.refuses_new():
            self._unparsed.append(data, arrived_at)
            self.refuse_for_memory()
            return
        else:
            self._parse_received(data, arrived_at)
            self._waiter.wake()
        if len(self._unparsed) > MAX_UNPARSED_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        self.report_held()

    def eof_received(self):
        # A caller that has closed its side no longer waits for a response.
        self._note_end(self._caller_end_reason(EndReason.CALLER_CLOSED))
        return False

    def connection_lost(self, exc):
        self.closed = True
        self._note_end(self._caller_end_reason(EndReason.CALLER_LOST))
        self._server.connections.discard(self)
        self._server.memory.discard(self)
        self.report_held()
        # The parser refers to this connection. Without the cycle, both are freed at
        # once instead of by the garbage collector.
        self._parser = None
        call_isolated(self._report_end)
        self._waiter.wake()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        if self.on_disconnect is not None:
            self.on_disconnect()

    def pause_writing(self):
        self._writable = self._loop.create_future()
        self.unread_since = self._loop.time()

    def resume_writing(self):
        self.report_held()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

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
                self._ends_early = False
                self._active_at = max(self._active_at, request.begun_at)
                self._in_progress_bytes = request.held_bytes + REQUEST_IN_PROGRESS_BYTES
                await self._server.handle(request, self)
                # A caller may take long to read the response.
                request.release()
                self._end_progress()
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
            self._end_progress()
            self._transport.close()

    def _end_progress(self):
        self._in_progress_bytes = 0
        # It refers to the request.
        self.request_fields = None
        self.report_held()

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
                return self._take_request()
            if self._refusal_code is not None:
                self._answer_refused_request()
                return None
            if self._unparsed:
                await self._parse_in_turn()
                continue
            if self._reading_paused:
                self._reading_paused = False
                self._transport.resume_reading()
            if self.closed:
                return None
            if self._in_message and self._server.arrival_retry_after_s is not None:
                self._refuse_arriving_request(
                    ResultCode.NOT_READY, self._server.arrival_retry_after_s
                )
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

    async def _parse_in_turn(self):
        """Parses a slice of the bytes that wait, once no other connection does."""
        await self._server.parse_turns.wait()
        if self.closed:
            self._drop_arriving()
        # They may have been dropped meanwhile.
        if self._unparsed:
            self._parse_unparsed()
            self.report_held()

    def _answer_refused_request(self):
        self._note_end(EndReason.REQUEST_REFUSED)
        self._is_head_request = self._is_refused_head_request
        if self._refusal_retry_after_s is not None:
            self.keep_alive = False
        self.send_result_code(self._refusal_code, self._refusal_retry_after_s)

    def _refuse_arriving_request(self, code, retry_after_s=None):
        """Answers a request whose rest comes too late, if at all."""
        self._refuse(code)
        self._refusal_retry_after_s = retry_after_s
        self._drop_arriving()
        self.report_held()
        self._answer_refused_request()

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
            while not (turn.done() or self.closed or self._has_next_request):
                await self._waiter.wait()
        finally:
            self.awaits_end = False
            # The end of the turn must not wake a later wait.
            turn.remove_done_callback(self._wake_after_turn)
            turn.cancel()
        return self.closed or self._has_next_request

    def _wake_after_turn(self, turn):
        self._waiter.wake()

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
        if reason is EndReason.REQUEST_REFUSED:
            self._refuse_arriving_request(ResultCode.REQUEST_TIMEOUT)
        else:
            self._note_end(reason)
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
        if self._ends_early:
            return 0.0
        if self._server.close_when_idle:
            return self._first_request_remaining_s()
        return idle_since + _kept_idle_s(limits) - now

    def _remaining_body_wait_s(self, now):
        """Returns how long to wait for more of a body, in seconds.

        A body may neither pause for long nor arrive too slowly.
        """
        transfer_s = len(self._body) / MIN_BODY_BYTES_PER_S
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

    def wake_if_idle(self):
        """Wakes an idle connection, so that it sees that the server is closing."""
        if not self.busy and not self._lingering:
            self._waiter.wake()

    # Called by CallerMemory.

    def report_held(self):
        """Tells the server's CallerMemory how much this connection holds."""
        held_bytes = self._in_progress_bytes
        if not self.closed:
            held_bytes += (
                CONNECTION_BYTES
                + self._pending_bytes
                + self.unfinished_bytes
                + self._transport.get_write_buffer_size()
            )
        if held_bytes != self.held_bytes:
            old_bytes, self.held_bytes = self.held_bytes, held_bytes
            self._server.memory.resize(old_bytes, held_bytes)

    def refuse_for_memory(self):
        """Refuses the unfinished request, and frees the memory that it holds."""
        self._refuse_unfinished(ResultCode.QUEUE_FULL, FULL_RETRY_AFTER_S)
        self.report_held()
        self._waiter.wake()

    @property
    def unread_bytes(self):
        """Bytes of responses that wait for a caller that does not read."""
        if self._writable is None or self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size()

    def end_unread(self):
        """Ends a connection whose caller does not read."""
        self.abort(EndReason.RESPONSE_UNREAD)
        self.report_held()

    @property
    def received_at(self):
        """When the last byte came, or else when the connection was opened."""
        return self._received_at

    @property
    def waiting_since(self):
        """When the request that arrives began, or else when the last byte came."""
        if self._in_message or self._unparsed:
            return self.unfinished_since
        return self._received_at

    @property
    def state(self):
        """The ConnectionState."""
        if self._lingering or self._transport.is_closing():
            return ConnectionState.ENDING
        if self.busy or self._pending_requests:
            return ConnectionState.BUSY
        if self._ends_early or self._refusal_code is not None:
            return ConnectionState.ENDING
        if self._has_next_request or not self._has_received:
            return ConnectionState.ARRIVING
        return ConnectionState.IDLE

    def end_excess(self, is_urgent):
        """Ends a connection that is not busy: at once, or as if it came too slowly."""
        if is_urgent:
            self.abort(EndReason.CROWDED_OUT)
        elif self._has_next_request:
            self.refuse_for_memory()
        else:
            # In its turn, as after the idle limit.
            self._ends_early = True
            self._waiter.wake()

    def end_unserved(self):
        """Ends a new connection for which there is no room."""
        self.abort(EndReason.CROWDED_OUT)

    # Responses, written by the handler.

    async def write_chunk(self, data):
        """Writes a chunk and waits for a slow caller. Raises CallerDisconnected."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))
        if self._writable is not None:
            await self._writable
        if self.closed:
            raise CallerDisconnected

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
                self._end.silent_s = self.silent_s
                if self.replica_silent_s is not None:
                    self._end.replica_silent_s = self.replica_silent_s()
                if self.request_fields is not None:
                    self._end.request_fields = self.request_fields()

    def _caller_end_reason(self, reason):
        """Returns CALLER_TIMED_OUT if the caller had waited too long, else ``reason``."""
        is_slow_reader = self._writable is not None
        if not self.busy or is_slow_reader:
            return reason
        now = self._loop.time()
        is_late = now >= self.answer_due_at or now - self._active_at >= HOST_SILENCE_S
        return EndReason.CALLER_TIMED_OUT if is_late else reason

    @property
    def silent_s(self):
        """The time since this host last sent something, or the request arrived."""
        return self._loop.time() - self._active_at

    def _write(self, data):
        self._active_at = self._loop.time()
        self._transport.write(data)
        if self._transport.get_write_buffer_size():
            self.report_held()

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


def _kept_idle_s(limits):
    """Returns how long an idle connection is kept open, in seconds."""
    margin_s = max(MIN_IDLE_MARGIN_S, IDLE_MARGIN_SHARE * limits.idle_timeout_s)
    return limits.idle_timeout_s + margin_s
