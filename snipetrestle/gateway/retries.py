"""Decides whether a request is sent again, and after which pause.

A request that may have run is retried only if its route allows it. All sends after the
first count in the retry budget of the backend.
"""

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.gateway.backends.connection_pool import ConnectionsExhausted
from snipetrestle.gateway.backends.http_client import ExchangeFailed
from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.exchange import ReplicaLeft
from snipetrestle.gateway.job import MIN_EVENT_TIME_S, Refused

# Failed connection attempts of one request; nothing was sent in any of them. A stream
# that its caller already reads has MAX_BEGUN_STREAM_SENDS, with the pauses of a refused
# one.
MAX_CONNECT_FAILURES = 4
# Attempts of one request, including those at replicas that did not run it.
MAX_SENDS = 4
# The same for a stream that its caller already reads: the alternative to another
# attempt is to abort it. Its last pauses take 3 s together.
MAX_BEGUN_STREAM_SENDS = 7
# Sends of such a stream from MAX_SENDS on are made only within this part of the retry
# budget. They go to replicas that have refused it several times, so they help less than
# the first retries of other requests, for which the rest is left.
FURTHER_SENDS_SHARE = 0.5
# Pause before a retry while a replica has not loaded the adapter yet, or is full; it
# grows with the number of attempts, and doubles with each of them from MAX_SENDS on.
NOT_LOADED_PAUSE_S = 0.04
# Reason of refusals, for the log.
TOO_LATE_REASON = "too late for an event before the deadline"


class Retries:
    """Decides on retries and logs them.

    ``search`` is the ReplicaSearch. ``has_time_left(job)`` tells whether a request that
    is passed on now probably ends before this process stops.
    """

    def __init__(self, gateway, search, has_time_left):
        self._search = search
        self._has_time_left = has_time_left
        self._budgets = gateway.retry_budgets
        self._hosts = gateway.hosts
        self._locator = gateway.locator
        self._request_log = gateway.request_log
        self._uses_permits = gateway.settings.dispatch_permits

    # Requests that may have run.

    def may_resend(self, job):
        """Whether a request that may have run may be retried; if so, spends a retry."""
        return self._may_run_again(job) and self._try_spend(job)

    def may_replace(self, job):
        """Whether a replacement may be sent now, while the first replica is silent."""
        budget = self._budgets.for_backend(job.backend.name)
        share = _budget_share(job)
        return self._may_run_again(job) and budget.has_room(
            self._hosts.max_known, share
        )

    def _try_spend(self, job):
        budget = self._budgets.for_backend(job.backend.name)
        return budget.try_spend(self._hosts.max_known, _budget_share(job))

    def _may_run_again(self, job):
        return (
            job.route.repeatable
            and job.has_attempts_left
            and self._has_time_left(job)
            and _may_get_event(job)
        )

    def check_time_for_event(self, job):
        """Raises Refused if a begun stream gets no event before its deadline."""
        if not _may_get_event(job):
            raise Refused(job.unknown_outcome_code, reason=TOO_LATE_REASON)

    def log_resend(self, job, reason, **fields):
        """Logs a retry; ``fields`` tell of the next attempt, where it is known."""
        self._request_log.log(
            Event.REQUEST_REPEATED,
            request=job.request_id,
            route=job.route.name,
            sent_to=job.sent_to,
            reason=reason,
            last_event_id=job.last_event_id,
            software_version=None if job.origin is None else job.origin.version,
            **fields,
        )

    # Requests that did not run.

    async def note_connect_failure(self, job, replica, error):
        """Records a ConnectFailed. A begun stream pauses, as nothing is lost by that.

        Raises Refused if no further attempt is allowed.
        """
        if isinstance(error, ConnectionsExhausted):
            raise self._search.unavailable_refusal(job, str(error))
        if not isinstance(error, ReplicaLeft):
            replica.note_silence()
        job.connect_failures += 1
        job.note_not_run(replica.id)
        if not _may_connect_again(job):
            raise self._search.unavailable_refusal(
                job, "no replica accepts connections"
            )
        if job.streaming:
            # Its only replica may refuse connections for a moment.
            await anyio.sleep(_pause_s(job, job.connect_failures))

    def note_refusal(self, job, replica, status):
        """Records that a replica is full or does not hold the request's adapter."""
        job.note_not_run(replica.id)
        key = job.metadata.adapter
        is_stream = job.route.kind is RequestKind.STREAM
        if is_stream and key is not None and status == 421:
            self._locator.forget(key, replica.id)
            job.adapter_missing_on.append(replica.id)
        if not is_stream and status in (503, 429):
            replica.note_failure()
        if status in (503, 429) and self._uses_permits:
            self._search.note_turned_away(job)

    def note_call_not_run(self, job, replica, status):
        """Handles a replica that did not run a call. Returns if it may be retried.

        Raises Refused if not, and ExchangeFailed if a replacement was sent.
        """
        self.note_refusal(job, replica, status)
        self._book_not_run(job, status)

    async def note_stream_not_run(self, job, replica, status):
        """Handles a replica that did not run a stream. Pauses if it may be retried.

        Raises Refused if not, and ExchangeFailed if a replacement was sent.
        """
        self.note_refusal(job, replica, status)
        self._book_not_run(job, status)
        # The adapter's load takes longer than expected, or the replica is full.
        await anyio.sleep(_pause_s(job, job.send_count))

    def _book_not_run(self, job, status):
        if job.has_replacement:
            raise ExchangeFailed(f"not run, status {status}")
        if not self._may_resend_not_run(job):
            raise self._not_run_refusal(job, status)
        self.log_resend(job, f"not run, status {status}")

    def _may_resend_not_run(self, job):
        """Whether a request that did not run may be retried; if so, spends a retry."""
        return (
            job.has_attempts_left
            and not job.caller.closed
            and job.send_count < _max_sends(job)
            and self._has_time_left(job)
            and _pause_s(job, job.send_count) > 0
            and self._try_spend(job)
        )

    def _not_run_refusal(self, job, status):
        if job.may_have_run:
            return Refused(job.unknown_outcome_code, reason=f"refused: {status}")
        return Refused(
            ResultCode.QUEUE_FULL,
            self._search.retry_after_s(job),
            reason=f"refused: {status}",
        )


def _max_sends(job):
    return MAX_BEGUN_STREAM_SENDS if job.streaming else MAX_SENDS


def _budget_share(job):
    """Returns the part of the retry budget within which a request may be sent again."""
    is_further_send = job.streaming and job.send_count >= MAX_SENDS
    return FURTHER_SENDS_SHARE if is_further_send else 1.0


def _may_get_event(job):
    """Whether a begun stream that is sent now may get an event; True for others."""
    return not job.streaming or anyio.current_time() < job.latest_send_at


def _may_connect_again(job):
    if not job.streaming:
        return job.connect_failures < MAX_CONNECT_FAILURES
    return (
        job.connect_failures < MAX_BEGUN_STREAM_SENDS
        and _pause_s(job, job.connect_failures) > 0
    )


def _pause_s(job, attempts):
    """Returns the pause after the last of ``attempts`` of a stream that did not run.

    It is 0.0 if the stream has begun and would be sent too late.
    """
    doublings = max(0, attempts - MAX_SENDS + 1)
    pause_s = NOT_LOADED_PAUSE_S * attempts * 2**doublings
    if not job.streaming:
        return pause_s
    latest = job.latest_send_at - _expected_event_time_s(job)
    return max(0.0, min(pause_s, latest - anyio.current_time()))


def _expected_event_time_s(job):
    """Returns how long a stream that has begun probably takes to its next event.

    That is what its first event took, up to the target of its route: a replica that
    took longer was probably silent.
    """
    measured_s = min(job.first_event_s or 0.0, job.route.target_latency_s)
    return max(MIN_EVENT_TIME_S, measured_s)
