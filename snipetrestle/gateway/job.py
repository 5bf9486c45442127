"""State of a request while the gateway forwards it, and the error that refuses it."""

import math

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.quarantine.request_fingerprint import request_fingerprint

# Time before a caller's deadline at which its refusal is due, and the largest share of
# the deadline that this may take. It covers the ways of the request and of the refusal,
# and a long turn of the event loop.
REFUSAL_MARGIN_S = 0.1
MAX_REFUSAL_MARGIN_SHARE = 0.25
# How long callers wait for the first event of a stream, whatever deadline they name: a
# multiple of the route's target latency or of the longest pause that it allows between
# events, but longer than a sound replica may be silent.
FIRST_EVENT_WAIT_LATENCIES = 4.0
FIRST_EVENT_WAIT_GAPS = 8.0
MIN_FIRST_EVENT_WAIT_S = 2.0
# A begun stream is not sent this shortly before its deadline. A connection, the check of
# the replica's process and an event are assumed to take so long at least.
MIN_EVENT_TIME_S = 0.1
# Priority of the attempts of streams of which the caller has an event; 0 is the first.
BEGUN_STREAM_PRIORITY = 0


class Refused(Exception):
    """Ends a request with a result code instead of a replica's response.

    ``retry_after_s`` is sent to the caller; ``fields`` go into the log line.
    """

    def __init__(self, code, retry_after_s=None, **fields):
        self.code = code
        self.retry_after_s = retry_after_s
        self.fields = fields
        super().__init__(str(code))


class Job:
    """A caller's request that is being forwarded. Times are those of the event loop.

    ``deadline_at`` is when the request ends, and ``refusal_due_at`` when it is refused
    unless its response has begun. ``scope`` is the CancelScope in which it is forwarded.
    ``caller`` is the CallerConnection that gets the response. ``tenant`` is the Tenant
    that it calls for, or None. ``fingerprint`` is the same for each repetition of the
    request. These lists hold replica ids: ``sent_to`` those that the request was sent
    to, ``may_have_run_on`` those on which it may have run, and ``adapter_missing_on``
    those that refused it because they do not hold its adapter; the last two have an
    entry for each attempt. ``send_count`` counts all attempts. ``version`` is the adapter
    version that the replica must have. ``streaming`` tells whether the caller has got the start of a stream.
    ``is_quarantine_trial`` tells that the request shows whether it still crashes
    replicas. ``limit_wait_s`` is the time that the request would have had to wait for a
    replica with a request limit. ``fallback_response`` is an earlier replica's failure,
    passed to the caller if no later attempt gets a response. ``first_event_s`` is how
    long a replica took to the first event, or None. ``first_sent_at`` is the time of the
    first attempt, or None. ``has_replacement`` tells that the request was
    sent to another replica while the first one is silent, ``seeks_replacement`` that
    one is looked for, and ``replacement_dropped`` why the last one came to nothing or
    was not allowed, None if it was accepted. ``tried_replicas`` are the Replicas of all attempts by id. ``dropped_on`` holds the ids
    of replicas whose replacement was ended before it had a response; the request may go
    to them again. ``silent_replica_id`` is that of the last replica of a stream that was
    left for an accepted replacement, or None, and ``return_replica_id`` that of one to
    which the stream has been allowed to return, or None. ``quota_booking`` is the tenant, what the request has booked on its
    quota and when, or None. ``open_exchanges`` are its Exchanges. ``permit`` is a
    dispatch Permit that no exchange has taken yet. ``origin`` is the StreamOrigin of a
    stream of which the caller has an event, else None, and ``take_up`` the TakeUp of one
    that the caller takes up, or None. ``place_search_at`` is when the first search for a
    place of a taken-up stream's adapter began, or None. ``origin_check`` is the task of
    the ProcessCheck that asks the process that began the stream, or None, and
    ``place_lookup`` that of a search for a place before a replica counts as silent.
    """

    __slots__ = (
        "request",
        "metadata",
        "fingerprint",
        "route",
        "backend",
        "caller",
        "tenant",
        "deadline_at",
        "_deadline_s",
        "_route_ends_at",
        "refusal_due_at",
        "scope",
        "sent_to",
        "may_have_run_on",
        "adapter_missing_on",
        "send_count",
        "streaming",
        "last_event_id",
        "connect_failures",
        "version",
        "first_event_at",
        "first_event_s",
        "fallback_response",
        "is_quarantine_trial",
        "limit_wait_s",
        "first_sent_at",
        "has_replacement",
        "seeks_replacement",
        "replacement_dropped",
        "tried_replicas",
        "dropped_on",
        "silent_replica_id",
        "return_replica_id",
        "quota_booking",
        "permit",
        "open_exchanges",
        "origin",
        "take_up",
        "place_search_at",
        "origin_check",
        "place_lookup",
        "_fallback_answer",
    )

    def __init__(self, request, metadata, route, backend, caller, tenant=None):
        self.request = request
        self.metadata = metadata
        self.fingerprint = request_fingerprint(request, metadata)
        self.route = route
        self.backend = backend
        self.caller = caller
        self.tenant = tenant
        self._deadline_s = (
            math.inf if metadata.deadline_s is None else metadata.deadline_s
        )
        self._route_ends_at = request.received_at + route.timeout_s
        self.deadline_at = min(self._route_ends_at, request.begun_at + self._deadline_s)
        self.refusal_due_at = min(
            self._route_ends_at,
            request.begun_at + refusal_due_s(route, self._deadline_s),
        )
        self.scope = anyio.CancelScope(deadline=self.refusal_due_at)
        self.sent_to = []
        self.may_have_run_on = []
        self.adapter_missing_on = []
        self.send_count = 0
        self.streaming = False
        self.last_event_id = metadata.last_event_id
        self.connect_failures = 0
        self.version = None
        self.first_event_at = None
        self.first_event_s = None
        self.fallback_response = None
        self.is_quarantine_trial = False
        self.limit_wait_s = 0.0
        self.first_sent_at = None
        self.has_replacement = False
        self.seeks_replacement = False
        self.replacement_dropped = None
        self.tried_replicas = {}
        self.dropped_on = set()
        self.silent_replica_id = None
        self.return_replica_id = None
        self.quota_booking = None
        self.permit = None
        self.open_exchanges = set()
        self.origin = None
        self.take_up = None
        self.place_search_at = None
        self.origin_check = None
        self.place_lookup = None
        self._fallback_answer = None

    def abandon(self):
        """Goes on without the caller of a write, which has left.

        A write that was not sent yet is not sent any more.
        """
        if not self.may_have_run:
            self.scope.cancel()
        for exchange in self.open_exchanges:
            exchange.abandon()

    def keep_fallback(self, response, answer):
        """Keeps a replica's failure, and the ArrivingAnswer that counts its body."""
        self.end_fallback()
        self.fallback_response = response
        self._fallback_answer = answer

    def end_fallback(self):
        """Counts the replica's failure no more, which is about to be passed on."""
        if self._fallback_answer is not None:
            self._fallback_answer.end()
            self._fallback_answer = None

    def note_first_event(self, event_time_s):
        """Records the first event of a replica, and how long it took to that.

        Only the first of the stream counts, not those of later replicas.
        """
        if self.first_event_at is None:
            self.first_event_at = anyio.current_time()
            self.first_event_s = event_time_s

    def note_stream_failed(self):
        """Lets a stream return to the silent replica that a failed one has replaced.

        That replica may go on by now. Only if no other one may run the stream: the
        return must not allow a further replacement while a replica is silent.
        """
        if self.silent_replica_id is None or self.may_run_on_another:
            return
        self.dropped_on.add(self.silent_replica_id)
        self.return_replica_id = self.silent_replica_id
        self.silent_replica_id = None

    def note_not_run(self, replica_id):
        """Lets a stream return again to its silent replica, which did not run it."""
        if replica_id == self.return_replica_id:
            self.dropped_on.add(replica_id)

    def begin_stream(self):
        """Records that the caller gets the start of a stream, which lifts the margin."""
        self.streaming = True
        # Its caller may count the deadline from its last byte.
        ends_at = min(self._route_ends_at, self.request.received_at + self._deadline_s)
        self.scope.deadline = self.caller.answer_due_at = ends_at

    def replica_silent_s(self):
        """Returns for how long all replicas at work on the request have sent nothing.

        Nothing counts that came on any of their connections. None without replicas.
        """
        if not self.open_exchanges:
            return None
        heard_at = max(exchange.last_heard_at for exchange in self.open_exchanges)
        return anyio.current_time() - heard_at

    def last_heard_s(self):
        """Returns how long ago something came from a replica that may have run it.

        It may have come on any connection of this host, also after the replica's
        response ended. Counts from the first attempt at most; None without such a
        replica.
        """
        if not self.may_have_run:
            return None
        heard_at = max(
            self.tried_replicas[item].last_heard_at for item in self.may_have_run_on
        )
        return anyio.current_time() - max(heard_at, self.first_sent_at)

    @property
    def replacement_state(self):
        """Whether a replacement is "sent" or "sought" at the moment, else None."""
        if self.has_replacement:
            return "sent"
        return "sought" if self.seeks_replacement else None

    def hold_permit(self, permit):
        """Keeps a permit for the next exchange; one that was not used is given back."""
        self.end_permit()
        self.permit = permit

    def take_permit(self, replica_id):
        """Returns the permit to send to a replica; None if there is none."""
        if self.permit is None or self.permit.replica_id != replica_id:
            return None
        permit, self.permit = self.permit, None
        return permit

    def end_permit(self):
        """Gives back a permit that was not used."""
        if self.permit is not None:
            self.permit.end()
            self.permit = None

    @property
    def priority(self):
        """The priority of the tenant if it has one, else that of the route."""
        tenant = self.tenant
        if tenant is None or tenant.priority is None:
            return self.route.priority
        return tenant.priority

    @property
    def attempt_priority(self):
        """The priority of the next attempt at a replica; 0 is the first.

        A stream of which the caller has an event is ahead of all other requests for
        models: the caller leaves after a pause of a few seconds, most of which have
        passed when the stream is sent again.
        """
        if not self.backend.serves_models:
            return self.priority
        return BEGUN_STREAM_PRIORITY if self.origin is not None else self.priority + 1

    @property
    def latest_send_at(self):
        """When a stream that has begun may be sent again at the latest."""
        return self.deadline_at - MIN_EVENT_TIME_S

    @property
    def may_have_run(self):
        return bool(self.may_have_run_on)

    @property
    def has_attempts_left(self):
        """Whether the route allows another attempt."""
        return self.may_run_on_another or bool(self.dropped_on)

    @property
    def may_run_on_another(self):
        """Whether the route allows the request to run on one more replica.

        Replicas whose process has ended do not count: nothing runs there any more.
        """
        running = {item for item in self.may_have_run_on if not self._has_ended(item)}
        return len(running) < self.route.attempts

    def _has_ended(self, replica_id):
        replica = self.tried_replicas.get(replica_id)
        return replica is not None and replica.has_ended

    def may_be_sent_to(self, replica):
        """Whether a replica can go on with it, within the attempts of the route."""
        if not self.may_go_on_at(replica):
            return False
        return self.may_run_on_another or replica.id in self.dropped_on

    def may_go_on_at(self, replica):
        """Whether what a replica writes fits what the caller has of the stream."""
        return self.origin is None or self.origin.allows(replica)

    @property
    def request_id(self):
        return self.metadata.request_id.decode("latin-1")

    @property
    def unknown_outcome_code(self):
        """The result code for a request that may have run and got no response."""
        if self.route.kind is RequestKind.STREAM:
            return ResultCode.STREAM_BROKEN
        return ResultCode.ANSWER_MISMATCH


def refusal_due_s(route, caller_deadline_s):
    """Returns the time after which a refusal still reaches a caller."""
    wait_s = caller_deadline_s
    if route.kind is RequestKind.STREAM:
        first_event_wait_s = max(
            MIN_FIRST_EVENT_WAIT_S,
            FIRST_EVENT_WAIT_LATENCIES * route.target_latency_s,
            FIRST_EVENT_WAIT_GAPS * (route.max_gap_s or 0.0),
        )
        wait_s = min(wait_s, first_event_wait_s)
    return wait_s - min(REFUSAL_MARGIN_S, MAX_REFUSAL_MARGIN_SHARE * wait_s)
