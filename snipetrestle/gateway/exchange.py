"""One attempt of a request at one replica: connection, response and silence check."""

import asyncio
import math

from snipetrestle.dispatch.group_dispatcher import Outcome
from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.dialect import AttemptMetadata
from snipetrestle.gateway.message_limits import ProgressMeter

# Whole responses are kept in memory until they are complete.
MAX_RESPONSE_BYTES = 2 * 1024 * 1024
# A replica is silent if it sends no data on any connection of this host for this long.
REPLICA_SILENCE_S = 0.9
# After this silence, a replacement is prepared. A report that the replica is asked for
# then has come, or has timed out, when it counts as silent.
EARLY_SILENCE_S = 0.6
SILENCE_CHECK_S = 0.2


class ReplicaLeft(ConnectFailed):
    """The replica left while a connection to it was opened. Nothing was sent."""


class Exchange:
    """One attempt of a job at one replica.

    ``connect`` and ``send`` send the request; ``close`` returns the connection to the
    pool or closes it. ``opened_at`` is the event loop's time. ``answer`` is the
    ArrivingAnswer that counts what the response holds.
    """

    def __init__(self, dialect, job, replica, answer):
        self.replica = replica
        self.opened_at = 0.0
        self._dialect = dialect
        self._job = job
        self._answer = answer
        self._connection = None
        self._loop = asyncio.get_running_loop()
        self._silence_timer = None
        self._response_complete = False
        self._silence_limit_s = None
        self._on_silent = None
        self._on_progress = None
        self._on_early_silence = None
        self._is_early_silence_told = False
        self._progress_at = 0.0
        self._body_progress = ProgressMeter()
        self._body = bytearray()
        self._response_metadata = None
        self._is_accepted = False
        self._is_open = False
        self._is_turned_away = False
        self._permit = job.take_permit(replica.id)

    async def connect(self):
        """Gets a connection to the replica. Raises ConnectFailed."""
        job, replica = self._job, self.replica
        self.opened_at = self._loop.time()
        replica.note_sent(job.metadata.adapter)
        try:
            self._connection = await replica.pool.acquire(job.metadata.request_id)
        except BaseException as error:
            replica.note_ended(job.metadata.adapter)
            is_failure = isinstance(error, ConnectFailed)
            self._end_permit(Outcome.NOT_CONNECTED if is_failure else Outcome.UNKNOWN)
            raise
        self._is_open = True
        job.open_exchanges.add(self)
        replica.open_exchanges.add(self)

    def send(self):
        """Sends the request. Raises ConnectFailed if nothing was sent."""
        job, replica = self._job, self.replica
        if not replica.takes_requests:
            self.close()
            raise ReplicaLeft("the replica left before the request was sent")
        remaining_s = job.deadline_at - self._loop.time()
        request = job.request
        attempt = AttemptMetadata(
            replica.id,
            max(0.001, remaining_s),
            job.attempt_priority,
            job.version,
            job.last_event_id,
            None if job.tenant is None else job.tenant.name,
        )
        head = self._dialect.request_head(
            request.method, request.target, request.headers, len(request.body), attempt
        )
        if replica.id not in job.sent_to:
            job.sent_to.append(replica.id)
        job.send_count += 1
        job.may_have_run_on.append(replica.id)
        job.dropped_on.discard(replica.id)
        try:
            self._connection.send_request(
                head + request.body,
                self._is_response_to_request,
                job.metadata.request_id,
                request.is_head,
                self._answer,
            )
        except ExchangeFailed:
            # Nothing was written.
            self.close()
            self.note_not_run()
            raise ConnectFailed("the connection was closed before use") from None

    def _is_response_to_request(self, head):
        # A response without a request id answers something else, such as an order that
        # the leader sent on this connection before.
        metadata = self._dialect.read_response(head.status, head.headers)
        if metadata.request_id != self._job.metadata.request_id:
            return False
        self._response_metadata = metadata
        self.replica.note_response(metadata)
        return True

    def watch(self, silence_s, on_silent, on_progress, on_early_silence):
        """Calls ``on_silent(silent_s)`` again and again while the replica is silent.

        It is silent if the response makes no progress for ``silence_s``, or if nothing
        comes on any connection of this host for REPLICA_SILENCE_S; None disables this.
        ``on_early_silence()`` is called before that, once in each silence of
        EARLY_SILENCE_S. ``on_progress()`` is called whenever an accepted response goes
        on.
        """
        if silence_s is None:
            return
        self._silence_limit_s = silence_s
        self._on_silent = on_silent
        self._on_progress = on_progress
        self._on_early_silence = on_early_silence
        self._progress_at = self._loop.time()
        self._silence_timer = self._loop.call_later(
            min(silence_s, EARLY_SILENCE_S), self._check_silence
        )

    async def read_head(self):
        """Returns (head, metadata) of the response. Raises ExchangeFailed."""
        head = await self._connection.read_head()
        self._note_heard()
        not_executed = self._response_metadata.not_executed
        self._is_turned_away = not_executed and head.status in (503, 429)
        self._connection.idle_timeout_s = (
            self._response_metadata.idle_timeout_s or self._connection.idle_timeout_s
        )
        return head, self._response_metadata

    @property
    def has_unread_body(self):
        """Whether bytes of the response's body wait to be read."""
        return self._connection.has_unread_body

    @property
    def awaits_data(self):
        """Whether nothing of the response can be read before more of it arrives."""
        return self._connection.awaits_data

    @property
    def may_be_replaced(self):
        """Whether the request may be sent to another replica as well."""
        return self._job.route.repeatable and self._job.has_attempts_left

    @property
    def has_unread_input(self):
        """Whether bytes wait in the socket, though the caller is not slow."""
        return self._connection.has_unread_input

    @property
    def received_at(self):
        """When the replica's process sent the last bytes on the connection."""
        if self._is_of_another_replica:
            return -math.inf
        return self._connection.received_at

    @property
    def _is_of_another_replica(self):
        """Whether the response comes from one that has taken over the address."""
        metadata = self._response_metadata
        return metadata is not None and metadata.replica_id not in (
            None,
            self.replica.id,
        )

    @property
    def last_heard_at(self):
        """When this host last heard of the replica; at first, when it was connected."""
        return max(self.replica.last_heard_at, self.opened_at)

    def accept_response(self):
        """Records that the response, whose head has come, can be passed on."""
        self._is_accepted = True
        self.note_progress()

    def note_progress(self):
        """Records that the response goes on, by complete events or enough bytes."""
        self._note_heard()
        if self._is_accepted and self._on_progress is not None:
            self._on_progress()

    def _note_heard(self):
        self._progress_at = self._loop.time()
        self._is_early_silence_told = False
        if not self._is_of_another_replica:
            self.replica.note_heard(self._connection.received_at)

    def _check_silence(self):
        """Reports a silent replica, and schedules the next check."""
        if self._connection.is_complete:
            return
        now = self._loop.time()
        if self._connection.has_unread_body:
            # The caller is slow, not the replica.
            self._progress_at = now
        heard_at = max(self.replica.last_heard_at, self._progress_at)
        due_at = min(
            self._progress_at + self._silence_limit_s, heard_at + REPLICA_SILENCE_S
        )
        early_at = heard_at + EARLY_SILENCE_S
        if now >= early_at and not self._is_early_silence_told:
            self._is_early_silence_told = True
            self._on_early_silence()
        is_silent = now >= due_at
        pause_s = SILENCE_CHECK_S
        if not is_silent:
            next_at = min(item for item in (early_at, due_at) if item > now)
            pause_s = min(pause_s, next_at - now)
        self._silence_timer = self._loop.call_later(pause_s, self._check_silence)
        if is_silent:
            self._on_silent(now - self._progress_at)

    def abandon(self):
        """Records that the caller has left, so that the connection may be needed."""
        self.replica.pool.note_abandoned(self._connection)

    def cancel(self, reason):
        """Fails this exchange with ExchangeFailed."""
        self._connection.cancel(reason)

    def note_not_run(self):
        """Records that this attempt did not run; sending assumed that it may have."""
        self._job.may_have_run_on.remove(self.replica.id)

    async def read(self):
        """Returns the next bytes of the body, or b"" at its end.

        The caller of this method tells by ``note_progress`` what counts as progress.
        """
        data = await self._connection.read()
        if not data:
            self._response_complete = True
        return data

    def note_kept(self, size):
        """Notes the bytes that were read and are kept, to be passed on later."""
        self._answer.note_body(size)

    async def read_body(self):
        """Returns the whole body. Raises ExchangeFailed.

        After a cancellation, another call goes on where the first one stopped.
        """
        while data := await self.read():
            self._body += data
            self.note_kept(len(self._body))
            if len(self._body) > MAX_RESPONSE_BYTES:
                raise ExchangeFailed("the response is too large")
            if self._body_progress.note(len(data)):
                self.note_progress()
        return bytes(self._body)

    def close(self):
        """Ends this exchange. Its connection is kept if the response is complete."""
        if not self._is_open:
            return
        self._is_open = False
        self._job.open_exchanges.discard(self)
        self.replica.open_exchanges.discard(self)
        self._answer.end()
        self._body.clear()
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self.replica.note_ended(self._job.metadata.adapter)
        self._end_permit(self._outcome())
        pool = self.replica.pool
        if self._response_complete and not self.replica.leaving:
            pool.release(self._connection)
        else:
            pool.discard(self._connection)

    def _outcome(self):
        if self._is_turned_away:
            return Outcome.TURNED_AWAY
        is_served = self._is_accepted and self._response_complete
        return Outcome.SERVED if is_served else Outcome.UNKNOWN

    def _end_permit(self, outcome):
        if self._permit is not None:
            self._permit.end(outcome, self._loop.time() - self.opened_at)
