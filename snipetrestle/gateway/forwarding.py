"""Forwards one caller's request to replicas, and sends it again where that is allowed.

A request that may have run is sent again only if its route allows it. A caller is told
503 only if no replica has run its request.
"""

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.event_stream import EventSplitter, EventTooLarge
from snipetrestle.gateway.exchange import Exchange
from snipetrestle.gateway.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.job import Job, Refused

# Replicas tried without a connection; nothing was sent to them.
MAX_CONNECT_FAILURES = 4
# Sendings of one request, also to replicas that did not run it.
MAX_SENDINGS = 4
# An idempotent call without a response for this long is sent to another replica.
IDEMPOTENT_SILENCE_S = 0.4
# A stream without an event for this long goes on elsewhere: callers soon give up.
STREAM_SILENCE_S = 1.9
# Pause before a request is sent again to a replica whose load ends a little later.
NOT_LOADED_PAUSE_S = 0.04
# Pause before the leader is asked again for an adapter that has no place.
NO_PLACE_PAUSE_S = 0.06
RETRY_AFTER_S = 0.5
NOT_READY_RETRY_AFTER_S = 0.3
# How long a stream waits for a place, in target latencies of its route.
PLACE_PATIENCE = 1.5
LEADERLESS_PATIENCE = 1.0
UNSENT_MARGIN_S = 0.05
# Events between two measurements of a stream's pace.
PACE_EVENTS = 5


class Forwarder:
    """Serves requests of callers. ``handle`` is called for each complete request."""

    def __init__(self, parts):
        self._dialect = parts.dialect
        self._state = parts.state
        self._replicas = parts.replicas
        self._locator = parts.locator
        self._budgets = parts.budgets
        self._hosts = parts.hosts
        self._metrics = parts.metrics
        self._lines = parts.lines
        self._generator = parts.generator

    async def handle(self, request, caller):
        """Answers one request, always with a final answer or a closed connection."""
        facts = self._dialect.read_request(request.headers)
        if facts is None:
            caller.answer_code(ResultCode.MALFORMED_REQUEST)
            self._metrics.count("", ResultCode.MALFORMED_REQUEST)
            return
        try:
            job = self._start(request, facts, caller)
        except Refused as refusal:
            self._refuse(caller, facts.request_id, refusal, None)
            return
        await self._run(job)

    def _start(self, request, facts, caller):
        configuration = self._state.configuration
        if configuration is None or not self._state.ready.is_set():
            raise Refused(ResultCode.NOT_READY, NOT_READY_RETRY_AFTER_S)
        route = self._state.routes.match(request.hostname, request.path)
        if route is None:
            raise Refused(ResultCode.UNKNOWN_PATH, configuration=configuration.version)
        wait_s = route.timeout_s
        if facts.deadline_s is not None:
            wait_s = min(wait_s, facts.deadline_s)
        backend = self._choose_backend(route)
        self._budgets.of(backend.name).note_request()
        return Job(request, facts, route, backend, caller, request.received_at + wait_s)

    def _choose_backend(self, route):
        backends = route.backends
        name = backends[0].name
        if len(backends) > 1:
            weights = [item.weight for item in backends]
            name = self._generator.choices(backends, weights)[0].name
        return self._state.backends_by_name[name]

    async def _run(self, job):
        scope = anyio.CancelScope(deadline=job.deadline_at)
        if job.route.kind is not RequestKind.NON_IDEMPOTENT:
            # A write goes on without its caller, so that it is not broken off.
            job.caller.on_gone = scope.cancel
        refusal = None
        try:
            with scope:
                if job.route.kind is RequestKind.STREAM:
                    await self._forward_stream(job)
                else:
                    await self._forward_call(job)
        except Refused as error:
            refusal = error
        finally:
            job.caller.on_gone = None
        if job.caller.closed:
            self._metrics.count(job.route.name, None, "caller_gone")
        elif scope.cancelled_caught:
            self._refuse(job.caller, job.facts.request_id, _late(job), job)
        elif refusal is not None:
            self._refuse(job.caller, job.facts.request_id, refusal, job)

    def _refuse(self, caller, request_id, refusal, job):
        code = refusal.code
        fields = dict(refusal.fields)
        route = ""
        if job is not None:
            route = job.route.name
            now = anyio.current_time()
            fields.update(
                route=route,
                sent_to=job.sent_to,
                after_ms=round((now - job.request.received_at) * 1000),
                adapter=None
                if job.facts.adapter is None
                else job.facts.adapter.adapter,
                last_event_id=job.last_event_id,
            )
        self._metrics.count(route, code)
        self._lines.log(
            Event.REQUEST_FAILED,
            request=request_id.decode("latin-1"),
            code=str(code),
            outcome=str(code.outcome),
            **fields,
        )
        if job is not None and job.streaming:
            caller.abort()
            return
        caller.answer_code(code, refusal.retry_after_s, request_id)

    # Calls with one response.

    async def _forward_call(self, job):
        while True:
            replica = self._choose_replica(job)
            try:
                response = await self._call_once(job, replica)
            except ConnectFailed:
                self._note_not_connected(job, replica)
                continue
            except ExchangeFailed as error:
                replica.note_failure()
                if self._may_send_again(job):
                    self._log_repeat(job, str(error))
                    continue
                if job.passed_response is None:
                    raise Refused(job.unknown_code, reason=str(error)) from None
                # The earlier replica's own failure says more than this silence.
                response = job.passed_response
            if response is not None:
                self._pass_response(job, *response)
                return

    async def _call_once(self, job, replica):
        """Sends the request. Returns (status, facts, body), or None to go on."""
        started = anyio.current_time()
        async with Exchange(self._dialect, job, replica) as exchange:
            head, facts = await exchange.read_head(self._silence_limit(job))
            if facts.not_executed:
                exchange.note_not_run()
                await exchange.read_body()
                self._note_not_executed(job, replica, head.status)
                return None
            body = await exchange.read_body()
            if not _is_genuine(facts):
                raise ExchangeFailed(f"status {head.status} without proof")
        if head.status >= 500:
            replica.note_failure()
            job.passed_response = (head.status, facts, body)
            if self._may_send_again(job):
                self._log_repeat(job, f"status {head.status}")
                return None
        else:
            replica.note_success(anyio.current_time() - started)
        return head.status, facts, body

    def _silence_limit(self, job):
        if job.route.kind is not RequestKind.IDEMPOTENT:
            return None
        return IDEMPOTENT_SILENCE_S

    def _pass_response(self, job, status, facts, body):
        job.caller.answer(status, facts.headers, body)
        self._observe(job, status)

    def _observe(self, job, status):
        now = anyio.current_time()
        first_at = job.first_at or now
        self._metrics.observe(
            job.route.name,
            first_at - job.request.received_at,
            now - job.request.received_at,
            status,
        )

    # Streams.

    async def _forward_stream(self, job):
        while True:
            replica = await self._place_stream(job)
            try:
                if await self._stream_once(job, replica):
                    return
            except ConnectFailed:
                self._note_not_connected(job, replica)
            except ExchangeFailed as error:
                replica.note_failure()
                if not self._may_send_again(job):
                    raise Refused(job.unknown_code, reason=str(error)) from None
                self._log_repeat(job, str(error))

    async def _stream_once(self, job, replica):
        """Sends the request and passes its events. Returns whether it is done."""
        started = anyio.current_time()
        async with Exchange(self._dialect, job, replica) as exchange:
            head, facts = await exchange.read_head(STREAM_SILENCE_S)
            if facts.not_executed or head.status == 421:
                exchange.note_not_run()
                await exchange.read_body()
                await self._note_stream_refused(job, replica, head.status)
                return False
            if not _is_genuine(facts):
                raise ExchangeFailed(f"status {head.status} without proof")
            if head.status != 200:
                return await self._pass_stream_failure(
                    job, replica, exchange, head, facts
                )
            await self._pass_events(job, replica, exchange, facts, started)
        self._observe(job, 200)
        return True

    async def _pass_stream_failure(self, job, replica, exchange, head, facts):
        """Passes a replica's own failure, unless the request may go on elsewhere.

        Returns whether the request is done.
        """
        body = await exchange.read_body()
        if job.streaming:
            raise ExchangeFailed(f"status {head.status}")
        if head.status >= 500:
            replica.note_failure()
            if self._may_send_again(job):
                self._log_repeat(job, f"status {head.status}")
                return False
        self._pass_response(job, head.status, facts, body)
        return True

    async def _pass_events(self, job, replica, exchange, facts, started):
        splitter = EventSplitter()
        pace = PaceMeter(replica)
        caller = job.caller
        first = True
        while data := await exchange.read():
            try:
                events = splitter.feed(data)
            except EventTooLarge:
                raise ExchangeFailed("an event is too large") from None
            if not events:
                continue
            if first:
                first = False
                now = anyio.current_time()
                replica.note_success(now - started)
                job.first_at = job.first_at or now
            if not job.streaming:
                job.streaming = True
                caller.start_stream(200, facts.headers)
            await caller.write_chunk(events)
            if splitter.last_id is not None:
                job.last_event_id = splitter.last_id
                pace.note(splitter.last_id)
        if splitter.partial or first:
            raise ExchangeFailed("the stream ended within an event")
        caller.end_stream()

    async def _place_stream(self, job):
        """Returns the replica for a stream, once its adapter is there."""
        key = job.facts.adapter
        if key is None or not key.adapter:
            return self._choose_replica(job)
        job.version = self._state.versions_by_adapter.get(key)
        places = self._locator.cached_locations(key)
        while True:
            replica = self._choose_placed(job, places)
            if replica is not None:
                ready_in_s = places[replica.id] - anyio.current_time()
                if ready_in_s > 0:
                    await anyio.sleep(ready_in_s)
                    if not replica.takes_requests:
                        continue
                return replica
            if anyio.current_time() > self._patience_at(job):
                raise self._no_place(job)
            places = await self._locator.look_up(key, self._avoided(job))
            if not places:
                await anyio.sleep(NO_PLACE_PAUSE_S)

    def _patience_at(self, job):
        """Returns until when a place is waited for.

        Callers give up a stream after some times its target latency. Without a leader
        nothing is loaded, so a caller is better told when to come back.
        """
        now = anyio.current_time()
        if job.streaming:
            return min(now + STREAM_SILENCE_S, job.deadline_at - UNSENT_MARGIN_S)
        targets = PLACE_PATIENCE if self._locator.has_leader else LEADERLESS_PATIENCE
        patience_s = targets * job.route.target_latency_s
        return min(
            job.request.received_at + patience_s, job.deadline_at - UNSENT_MARGIN_S
        )

    def _no_place(self, job):
        if job.may_have_run:
            return Refused(job.unknown_code, reason="no place for the adapter")
        return Refused(
            ResultCode.LOAD_FAILED, RETRY_AFTER_S, reason="no place for the adapter"
        )

    def _avoided(self, job):
        """Returns the replicas that failed this request or twice lacked its adapter."""
        twice = {item for item in job.misplaced_at if job.misplaced_at.count(item) > 1}
        return [*job.ran_at, *twice]

    def _choose_placed(self, job, places):
        now = anyio.current_time()
        avoided = self._avoided(job)
        by_id = self._replicas.by_id
        candidates = [
            replica
            for replica_id in places
            if replica_id not in avoided
            and (replica := by_id.get(replica_id)) is not None
            and replica.takes_requests
            and replica.suspected_until <= now
            and replica.entry.backend == job.backend.name
        ]
        ready = [item for item in candidates if places[item.id] <= now]
        return self._choose(ready or candidates)

    def _choose(self, candidates):
        return self._replicas.choose(candidates, self._hosts.max_known)

    # Choice and repetition.

    def _choose_replica(self, job):
        candidates = self._replicas.of_backend(job.backend.name)
        if job.sent_to:
            fresh = [item for item in candidates if item.id not in job.sent_to]
            candidates = fresh or candidates
        replica = self._choose(candidates)
        if replica is None:
            raise self._unavailable(job, "no replica is listed")
        return replica

    def _unavailable(self, job, reason):
        if job.may_have_run:
            return Refused(job.unknown_code, reason=reason)
        return Refused(ResultCode.NO_REPLICA, RETRY_AFTER_S, reason=reason)

    def _note_not_connected(self, job, replica):
        replica.note_silence()
        job.connect_failures += 1
        if job.connect_failures >= MAX_CONNECT_FAILURES:
            raise self._unavailable(job, "no replica takes connections")

    def _may_send_again(self, job):
        """Tells whether a request that may have run may be sent to another replica."""
        return (
            job.route.repeatable
            and job.attempts_left
            and self._budgets.of(job.backend.name).take(self._hosts.max_known)
        )

    def _log_repeat(self, job, reason):
        self._lines.log(
            Event.REQUEST_REPEATED,
            request=job.request_id,
            route=job.route.name,
            sent_to=job.sent_to,
            reason=reason,
            last_event_id=job.last_event_id,
        )

    def _note_not_executed(self, job, replica, status):
        """Goes on after a replica that certainly did not run the request."""
        if status in (503, 429):
            replica.note_failure()
        if not self._may_send_unrun(job):
            raise self._refusal_unrun(job, status)
        self._log_repeat(job, f"not run, status {status}")

    def _may_send_unrun(self, job):
        return (
            job.attempts_left
            and job.sendings < MAX_SENDINGS
            and self._budgets.of(job.backend.name).take(self._hosts.max_known)
        )

    def _refusal_unrun(self, job, status):
        if job.may_have_run:
            return Refused(job.unknown_code, reason=f"refused: {status}")
        return Refused(
            ResultCode.QUEUE_FULL, RETRY_AFTER_S, reason=f"refused: {status}"
        )

    async def _note_stream_refused(self, job, replica, status):
        key = job.facts.adapter
        if key is not None and status == 421:
            self._locator.forget(key, replica.id)
            job.misplaced_at.append(replica.id)
        if not self._may_send_unrun(job):
            raise self._refusal_unrun(job, status)
        self._log_repeat(job, f"not run, status {status}")
        # The adapter's load takes longer than expected, or the replica is full.
        await anyio.sleep(NOT_LOADED_PAUSE_S * job.sendings)


class PaceMeter:
    """Measures the time between the events of one stream."""

    __slots__ = ("_replica", "_id", "_at")

    def __init__(self, replica):
        self._replica = replica
        self._id = None
        self._at = 0.0

    def note(self, event_id):
        if self._id is None:
            self._start(event_id)
        elif event_id - self._id >= PACE_EVENTS:
            elapsed_s = anyio.current_time() - self._at
            self._replica.note_pace(elapsed_s / (event_id - self._id))
            self._start(event_id)

    def _start(self, event_id):
        self._id = event_id
        self._at = anyio.current_time()


def _late(job):
    if job.may_have_run:
        return Refused(ResultCode.DEADLINE_PASSED)
    return Refused(ResultCode.QUEUE_FULL, RETRY_AFTER_S, reason="not sent in time")


def _is_genuine(facts):
    """Whether a response that has run comes from the replica as it is."""
    return facts.proven and not facts.encoded
