"""Forwards callers' requests to replicas and retries them where that is allowed.

A request that may have run is retried only if its route allows it. A caller gets status
503 only if no replica has run its request.
"""

import asyncio
import functools

import anyio
import anyio.lowlevel

from snipetrestle.answer_memory import AnswerMemory
from snipetrestle.codes import Outcome, ResultCode
from snipetrestle.dispatch.replica_search import ReplicaSearch
from snipetrestle.events import Event
from snipetrestle.gateway.backends.http_client import (
    ConnectFailed,
    ExchangeAbandoned,
    ExchangeFailed,
    ReplicaClosed,
)
from snipetrestle.gateway.callers.http_server import CallerDisconnected
from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.exchange import Exchange
from snipetrestle.gateway.failover import Failover
from snipetrestle.gateway.job import Job, Refused
from snipetrestle.gateway.quarantine.crash_check import CrashCheck
from snipetrestle.gateway.quota_check import QuotaCheck
from snipetrestle.gateway.refusals import (
    NOT_READY_RETRY_AFTER_S,
    deadline_refusal,
    internal_refusal,
    not_run_stop_refusal,
    stop_refusal,
)
from snipetrestle.gateway.request_fields import (
    configuration_fields,
    optional_ms,
    request_fields,
)
from snipetrestle.gateway.retries import Retries
from snipetrestle.gateway.streams.event_intervals import EventIntervalMeter
from snipetrestle.gateway.streams.event_stream import EventSplitter, InvalidEvent
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle.gateway.usual_durations import UsualDurations
from snipetrestle.supervision import log_unexpected, run_isolated
from snipetrestle.tenants.authentication import authenticate, reauthenticate

# An idempotent call whose replica sends no data for this long is sent to another one,
# and the first response is used.
IDEMPOTENT_SILENCE_S = 0.4
# A stream without data for this long is resumed on another replica, since callers give
# up soon after.
STREAM_SILENCE_S = 1.9


class Forwarder:
    """Forwards callers' requests; the HttpServer calls ``handle`` for each of them."""

    def __init__(self, gateway):
        self._dialect = gateway.dialect
        self._state = gateway.state
        self._retry_budgets = gateway.retry_budgets
        self._metrics = gateway.metrics
        self._request_log = gateway.request_log
        self._bad_key_log = gateway.bad_key_log
        self._crash_quarantine = gateway.crash_quarantine
        self._crash_check = CrashCheck(gateway)
        self._search = ReplicaSearch(gateway)
        self._retries = Retries(gateway, self._search, self._has_time_left)
        self._quota_check = QuotaCheck(gateway.quota_accounts)
        self._take_ups = gateway.take_ups
        self._process_check = gateway.process_check
        self._rng = gateway.rng
        self._answer_memory = AnswerMemory(gateway.caller_memory)
        self._durations = UsualDurations()
        self._give_up_at = None
        self._bounds_new = False
        self._has_given_up = False
        self._scopes = set()

    @property
    def has_requests(self):
        """Whether requests are in progress, also writes whose callers have left."""
        return bool(self._scopes)

    def start_draining(self, give_up_at):
        """Passes on only what probably ends before ``give_up_at`` from now on."""
        self._give_up_at = give_up_at

    def bound_new(self):
        """Refuses new requests from now on whose deadline is after the end of the stop.

        The usual duration of a route says too little about a single request here.
        """
        self._bounds_new = True

    def give_up(self):
        """Ends all requests in progress, each with its final answer."""
        self._has_given_up = True
        for scope in self._scopes:
            scope.cancel()

    async def handle(self, request, caller):
        """Handles one request, up to a complete response or a closed connection."""
        metadata = self._dialect.read_request(request.headers)
        if metadata is None:
            caller.send_result_code(ResultCode.MALFORMED_REQUEST)
            self._metrics.count("", ResultCode.MALFORMED_REQUEST)
            return
        caller.request_id = metadata.request_id.decode("latin-1")
        try:
            job = self._create_job(request, metadata, caller)
        except Refused as refusal:
            self._refuse(caller, metadata.request_id, refusal, None)
            return
        caller.deadline_s = metadata.deadline_s
        caller.answer_due_at = job.refusal_due_at
        await self._forward(job)

    def _create_job(self, request, metadata, caller):
        """Returns the Job of a request.

        Raises Refused if it cannot be routed, or if its caller is not known.
        """
        configuration = self._state.configuration
        is_ready = configuration is not None and self._state.ready.is_set()
        if not is_ready:
            raise Refused(ResultCode.NOT_READY, NOT_READY_RETRY_AFTER_S)
        route = self._state.routes.match(request.hostname, request.path)
        if route is None:
            raise Refused(ResultCode.UNKNOWN_PATH, configuration=configuration.version)
        if metadata.has_bad_resumes and route.kind is RequestKind.STREAM:
            raise Refused(ResultCode.MALFORMED_REQUEST, reason="malformed Resumes")
        tenant = authenticate(configuration, route, metadata)
        job = Job(request, metadata, route, self._choose_backend(route), caller, tenant)
        if self._bounds_new and job.deadline_at > self._give_up_at:
            raise not_run_stop_refusal()
        self._retry_budgets.for_backend(job.backend.name).note_request()
        return job

    def _choose_backend(self, route):
        backends = route.backends
        name = backends[0].name
        if len(backends) > 1:
            weights = [item.weight for item in backends]
            name = self._rng.choices(backends, weights)[0].name
        return self._state.backends_by_name[name]

    async def _forward(self, job):
        """Forwards a request within its deadline, and refuses it if that fails."""
        scope = job.scope
        is_write = job.route.kind is RequestKind.NON_IDEMPOTENT
        # A write goes on without its caller, so that it is not cut off midway.
        job.caller.on_disconnect = job.abandon if is_write else scope.cancel
        job.caller.replica_silent_s = job.replica_silent_s
        job.caller.request_fields = functools.partial(request_fields, job)
        refusal = None
        self._scopes.add(scope)
        try:
            with scope:
                self._check_time_left(job)
                await self._quota_check.book(job)
                if job.route.kind is RequestKind.STREAM:
                    await self._forward_stream(job)
                else:
                    await self._forward_call(job)
        except Refused as error:
            refusal = error
        except CallerDisconnected:
            raise
        except Exception as error:
            if job.caller.has_response:
                raise
            log_unexpected(f"request {job.request_id}", error)
            refusal = internal_refusal(job)
        finally:
            self._scopes.discard(scope)
            self._quota_check.end(job)
            self.end_preparation(job)
            job.end_permit()
            job.end_fallback()
            job.caller.on_disconnect = job.caller.replica_silent_s = None
        if job.caller.closed:
            self._metrics.count(job.route.name, None, "caller_gone")
        elif job.fallback_response is not None and (scope.cancelled_caught or refusal):
            # The failure that a replica reported says more than a missing response.
            self._send_response(job, *job.fallback_response)
        elif scope.cancelled_caught:
            self._refuse(
                job.caller, job.metadata.request_id, self._cancelled_refusal(job), job
            )
        elif refusal is not None:
            self._refuse(job.caller, job.metadata.request_id, refusal, job)

    def _cancelled_refusal(self, job):
        """Returns the refusal of a request that its deadline or a stop has ended."""
        if not self._has_given_up:
            return deadline_refusal(job)
        return stop_refusal(job)

    def _has_time_left(self, job):
        """Whether a request that is passed on now probably ends before a stop does.

        A stream that its caller already reads goes on elsewhere in any case: the
        alternative is to abort it.
        """
        if self._give_up_at is None or job.streaming:
            return True
        now = anyio.current_time()
        usual_end = now + self._durations.usual_s(job.route)
        return min(usual_end, job.deadline_at) <= self._give_up_at

    def _check_time_left(self, job):
        """Raises Refused if a stop would probably interrupt a request."""
        if not self._has_time_left(job):
            raise stop_refusal(job)

    def _refuse(self, caller, request_id, refusal, job):
        """Logs a refusal and sends it, or aborts a stream that has already started."""
        code = refusal.code
        fields = dict(refusal.fields)
        route = fields.get("route", "")
        if job is not None:
            route = job.route.name
            fields.update(request_fields(job), **configuration_fields(self._state))
            fields.update(
                deadline_ms=optional_ms(job.metadata.deadline_s),
                silent_ms=optional_ms(caller.silent_s),
                adapter=None
                if job.metadata.adapter is None
                else job.metadata.adapter.adapter,
            )
            if job.tenant is not None:
                fields["tenant"] = job.tenant.name
                if code.outcome is Outcome.DID_NOT_RUN:
                    self._metrics.tenants.count_rejection(job.tenant)
        self._metrics.count(route, code)
        is_bad_key = code is ResultCode.BAD_KEY
        log = self._bad_key_log if is_bad_key else self._request_log
        log.log(
            Event.REQUEST_FAILED,
            request=request_id.decode("latin-1"),
            code=str(code),
            outcome=str(code.outcome),
            **fields,
        )
        if job is not None:
            self._take_ups.note_refused(job, refusal)
        if job is not None and job.streaming:
            caller.abort()
            return
        caller.send_result_code(code, refusal.retry_after_s, request_id)

    # Calls, which have a single response.

    async def _forward_call(self, job):
        while True:
            self._crash_check.check(job)
            replica = await self._search.choose_replica(job)
            try:
                response = await self._attempt(
                    job, replica, self._silence_limit(job), self._serve_call
                )
            except ConnectFailed as error:
                await self._retries.note_connect_failure(job, replica, error)
                continue
            except ExchangeFailed as error:
                if self._retries.may_resend(job):
                    self._retries.log_resend(job, str(error))
                    continue
                if job.fallback_response is None:
                    raise Refused(job.unknown_outcome_code, reason=str(error)) from None
                # The failure that an earlier replica reported says more than a missing
                # response.
                response = job.fallback_response
            if response is not None:
                self._send_response(job, *response)
                return

    async def _serve_call(self, job, exchange):
        """Returns the response (status, metadata, body), or None to try again."""
        replica = exchange.replica
        head, metadata = await exchange.read_head()
        if metadata.not_executed:
            exchange.note_not_run()
            await exchange.read_body()
            self._retries.note_call_not_run(job, replica, head.status)
            return None
        is_failure = head.status >= 500 or not _is_authentic(metadata)
        if not is_failure:
            exchange.accept_response()
        body = await exchange.read_body()
        if not _is_authentic(metadata):
            raise ExchangeFailed(f"response {head.status} is unsigned or encoded")
        if is_failure:
            self._keep_fallback(job, (head.status, metadata, body))
            if job.has_replacement:
                raise ExchangeFailed(f"status {head.status}")
            replica.note_failure()
            if self._retries.may_resend(job):
                self._retries.log_resend(job, f"status {head.status}")
                return None
        else:
            started = exchange.opened_at
            replica.note_success(anyio.current_time() - started)
            self._crash_quarantine.note_answered(replica.process_id, started, job)
            self._crash_quarantine.note_served(job)
        return head.status, metadata, body

    def _keep_fallback(self, job, response):
        """Keeps the response (status, metadata, body) of a replica that has failed."""
        answer = self._answer_memory.begin()
        answer.note_body(len(response[-1]))
        job.keep_fallback(response, answer)

    def _silence_limit(self, job):
        """Returns the time without data after which another replica is tried, or None."""
        if job.route.kind is not RequestKind.IDEMPOTENT:
            return None
        return IDEMPOTENT_SILENCE_S

    def _send_response(self, job, status, metadata, body):
        caller, headers = job.caller, metadata.headers
        if job.request.is_head:
            caller.send_head_response(status, headers, metadata.content_length)
        else:
            caller.send_response(status, headers, body)
        self._observe(job, status)

    def _observe(self, job, status):
        now = anyio.current_time()
        if status < 300:
            self._durations.note(job.route, now - job.first_sent_at)
        first_answer_s = (job.first_event_at or now) - job.request.received_at
        self._metrics.observe(
            job.route.name, first_answer_s, now - job.request.received_at, status
        )
        if job.tenant is not None:
            self._metrics.tenants.observe(job.tenant, first_answer_s)

    # Streams.

    async def _forward_stream(self, job):
        await self._take_ups.resolve(job)
        while True:
            self._crash_check.check(job)
            replica = await self._find_stream_replica(job)
            # A crash during the wait may have shown that the request is the cause.
            self._crash_check.check(job)
            try:
                if await self._attempt(
                    job, replica, STREAM_SILENCE_S, self._serve_stream
                ):
                    return
            except ConnectFailed as error:
                await self._retries.note_connect_failure(job, replica, error)
            except ExchangeFailed as error:
                job.note_stream_failed()
                if not self._retries.may_resend(job):
                    raise Refused(job.unknown_outcome_code, reason=str(error)) from None
                self._retries.log_resend(job, str(error))

    async def _find_stream_replica(self, job):
        self._process_check.begin(job)
        return await self._search.find_stream_replica(job)

    async def _serve_stream(self, job, exchange):
        """Forwards the events of a stream. Returns whether the request is done."""
        head, metadata = await exchange.read_head()
        if metadata.not_executed or head.status == 421:
            exchange.note_not_run()
            await exchange.read_body()
            # The pause that follows must not hold the replica's connection.
            exchange.close()
            await self._retries.note_stream_not_run(job, exchange.replica, head.status)
            return False
        if not _is_authentic(metadata):
            raise ExchangeFailed(f"response {head.status} is unsigned or encoded")
        if head.status != 200:
            return await self._handle_stream_failure(job, exchange, head, metadata)
        exchange.accept_response()
        self._take_ups.note_accepted(job, exchange.replica)
        if job.request.is_head:
            # No part of the prompt has run, so nothing is known of it.
            await exchange.read_body()
            self._send_response(job, head.status, metadata, b"")
            return True
        await self._forward_events(job, exchange, metadata)
        self._crash_quarantine.note_served(job)
        self._observe(job, 200)
        return True

    async def _handle_stream_failure(self, job, exchange, head, metadata):
        """Passes on a replica's error response, unless the request may be retried.

        Returns whether the request is done.
        """
        body = await exchange.read_body()
        if job.streaming or (job.has_replacement and head.status >= 500):
            raise ExchangeFailed(f"status {head.status}")
        if head.status >= 500:
            exchange.replica.note_failure()
            job.note_stream_failed()
            if self._retries.may_resend(job):
                self._retries.log_resend(job, f"status {head.status}")
                return False
        self._send_response(job, head.status, metadata, body)
        return True

    async def _forward_events(self, job, exchange, metadata):
        """Forwards complete events until the stream ends. Raises ExchangeFailed."""
        replica, started = exchange.replica, exchange.opened_at
        event_splitter = EventSplitter(job.last_event_id)
        interval_meter = EventIntervalMeter(replica)
        caller = job.caller
        awaiting_first_event = True
        while data := await exchange.read():
            try:
                events = event_splitter.feed(data)
            except InvalidEvent as error:
                raise ExchangeFailed(str(error)) from None
            exchange.note_kept(event_splitter.partial_bytes)
            if not events:
                continue
            exchange.note_progress()
            if awaiting_first_event:
                awaiting_first_event = False
                self._note_first_event(job, replica)
                now = anyio.current_time()
                replica.note_success(now - started)
                self._crash_quarantine.note_answered(replica.process_id, started, job)
                job.note_first_event(now - started)
            if not job.streaming:
                # A refusal that is due now can still be sent.
                await anyio.lowlevel.checkpoint_if_cancelled()
                job.begin_stream()
                caller.start_stream(200, metadata.headers)
            # A replacement may be sent while the caller reads slowly.
            job.last_event_id = event_splitter.last_event_id
            await caller.write_chunk(events)
            interval_meter.note(event_splitter.last_event_id)
        if event_splitter.has_partial_event or awaiting_first_event:
            raise ExchangeFailed("the stream ended before a complete event")
        caller.end_stream()

    def _note_first_event(self, job, replica):
        """Records which version begins a stream, before the caller has an event of it.

        Raises ExchangeFailed if the caller has events of another version.
        """
        if not job.may_go_on_at(replica):
            raise ExchangeFailed("the stream began at another software version")
        if job.origin is None:
            job.origin = StreamOrigin.from_replica(replica)
            self._take_ups.note_begun(job)

    async def _attempt(self, job, replica, silence_s, serve):
        """Sends the request to a replica, and to others if it falls silent.

        Returns the result of ``serve(job, exchange)``. Raises ConnectFailed if nothing
        was sent, ExchangeFailed if the last exchange failed.
        """
        failover = Failover(self, job, silence_s)
        exchange = self.create_exchange(job, replica)
        return await failover.serve(exchange, functools.partial(serve, job))

    # Used by Failover.

    def create_exchange(self, job, replica):
        """Returns a new Exchange. Raises Refused if a stop would interrupt it."""
        self._check_time_left(job)
        if job.first_sent_at is None:
            job.first_sent_at = anyio.current_time()
        job.tried_replicas[replica.id] = replica
        return Exchange(self._dialect, job, replica, self._answer_memory.begin())

    async def check_process(self, job, replica):
        """Checks that a job may be sent on a connection to a replica.

        Raises ConnectFailed or Refused.
        """
        await self._process_check.check(job, replica)

    def check_sendable(self, job):
        """Checks the key and the time of a request that is about to be sent.

        Raises Refused.
        """
        reauthenticate(self._state.configuration, job)
        self._retries.check_time_for_event(job)

    def prepare_replacement(self, job):
        """Prepares a replacement of a replica that may be about to count as silent."""
        if not job.route.repeatable or not job.has_attempts_left:
            return
        self._process_check.begin(job)
        if _may_use_other_place(job) and job.place_lookup is None:
            job.place_lookup = asyncio.create_task(
                run_isolated(self._search.look_up_other_place, job)
            )

    def end_preparation(self, job):
        """Ends ``prepare_replacement`` for a replica that goes on, or for a request."""
        self._process_check.end(job)
        if job.place_lookup is not None:
            job.place_lookup.cancel()
            job.place_lookup = None

    def may_retry(self, job):
        """Whether a replacement may be sent now, while the first replica is silent."""
        may_replace = self._retries.may_replace(job)
        if not may_replace:
            # Not logged by itself: it is asked again at each check of the silence.
            job.replacement_dropped = _denial_reason(job)
        return may_replace

    def try_book_retry(self, job, reason, exchange, silent_at):
        """Counts a retry in the budget and logs it; returns False without room.

        ``exchange`` is the replacement, which has a connection, and ``silent_at`` when
        the search for its replica began.
        """
        if not self._retries.may_resend(job):
            return False
        self._retries.log_resend(
            job,
            reason,
            next_replica=exchange.replica.id,
            search_ms=optional_ms(exchange.opened_at - silent_at),
            connect_ms=optional_ms(anyio.current_time() - exchange.opened_at),
        )
        return True

    async def find_replacement(self, job):
        """Returns a replica for a replacement. Raises Refused if there is none.

        A call may go to its silent replica once more if there is no other: only its
        response or its connection may be lost.
        """
        self._crash_check.check(job)
        if job.route.kind is not RequestKind.STREAM:
            return await self._search.choose_replica(job)
        replica = await self._find_stream_replica(job)
        if replica.id in job.may_have_run_on and replica.id not in job.dropped_on:
            raise self._search.unavailable_refusal(job, "no other replica is ready")
        return replica

    async def refusal_reason(self, job, exchange, max_wait_s):
        """Returns why a replica does not accept a replacement; None if it does.

        It accepts by a response that can be passed on, which for a stream need only have
        begun, or by not refusing the request within ``max_wait_s``, if that is given.
        Raises ExchangeFailed if the replacement fails.
        """
        head = None
        with anyio.move_on_after(max_wait_s):
            head, metadata = await exchange.read_head()
        if head is None:
            return None
        is_stream = job.route.kind is RequestKind.STREAM
        if metadata.not_executed or (is_stream and head.status == 421):
            exchange.note_not_run()
            self._retries.note_refusal(job, exchange.replica, head.status)
            return f"not run, status {head.status}"
        if not _is_authentic(metadata):
            raise ExchangeFailed(f"response {head.status} is unsigned or encoded")
        if head.status == 200 or (head.status < 500 and not job.streaming):
            if not is_stream:
                # Its body may end early, when the first replica has been given up.
                await exchange.read_body()
            return None
        if not is_stream:
            body = await exchange.read_body()
            self._keep_fallback(job, (head.status, metadata, body))
        raise ExchangeFailed(f"status {head.status}")

    async def note_exchange_failed(self, job, replica, error):
        """Records an ExchangeFailed. Raises Refused if no retry is allowed."""
        if isinstance(error, ExchangeAbandoned):
            return
        replica.note_failure()
        if isinstance(error, ReplicaClosed):
            await self._crash_check.note_closed_by_replica(job, replica)

    def log_replacement_dropped(self, job, reason):
        """Logs why the silent replica's response is still awaited."""
        job.replacement_dropped = reason
        self._request_log.log(
            Event.REPLACEMENT_DROPPED,
            request=job.request_id,
            route=job.route.name,
            sent_to=job.sent_to,
            reason=reason,
        )


def _may_use_other_place(job):
    """Whether a begun stream may go on at a replica that did not run it yet.

    A stream of an unknown version may not, and the load of its adapter would be of no
    use.
    """
    has_version = job.origin is not None and bool(job.origin.version)
    return has_version and job.may_run_on_another


def _denial_reason(job):
    """Returns why no replacement of a silent replica may be sent."""
    if not job.route.repeatable:
        return "the route allows no other replica"
    if not job.has_attempts_left:
        return "the attempts of the route are used up"
    return "the retry budget is used up, or the end is near"


def _is_authentic(metadata):
    """Whether a response is signed by the replica and has no content coding."""
    return metadata.signed and not metadata.content_encoded
