"""One attempt of a request at one replica: connection, response and silence check."""

import asyncio

from snipetrestle.gateway.dialect import AttemptMetadata
from snipetrestle.gateway.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.message_limits import ProgressMeter

# Whole responses are kept in memory until they are complete.
MAX_RESPONSE_BYTES = 2 * 1024 * 1024
# A request is retried on another replica if its replica sends no data on any connection
# of this host for this long.
REPLICA_SILENCE_S = 0.9
SILENCE_CHECK_S = 0.2


class Exchange:
    """One attempt of a job at one replica, as an async context manager.

    Entering sends the request, and raises ConnectFailed if nothing was sent. Leaving
    returns the connection to the pool or closes it. ``may_retry()`` tells whether the
    job may be sent again after this attempt.
    """

    def __init__(self, dialect, job, replica, may_retry):
        self._dialect = dialect
        self._job = job
        self._replica = replica
        self._may_retry = may_retry
        self._connection = None
        self._loop = asyncio.get_running_loop()
        self._silence_timer = None
        self._response_complete = False
        self._silence_limit_s = None
        self._progress_at = 0.0
        self._body_progress = ProgressMeter()

    async def __aenter__(self):
        job, replica = self._job, self._replica
        replica.note_sent(job.metadata.adapter)
        try:
            self._connection = await replica.pool.acquire(job.metadata.request_id)
        except BaseException:
            replica.note_ended(job.metadata.adapter)
            raise
        self._send_request(job, replica)
        return self

    def _send_request(self, job, replica):
        remaining_s = job.deadline_at - self._loop.time()
        request = job.request
        attempt = AttemptMetadata(
            replica.id,
            max(0.001, remaining_s),
            job.route.priority,
            job.version,
            job.last_event_id,
        )
        head = self._dialect.request_head(
            request.method, request.target, request.headers, len(request.body), attempt
        )
        if replica.id not in job.sent_to:
            job.sent_to.append(replica.id)
        job.send_count += 1
        job.may_have_run_on.append(replica.id)
        try:
            self._connection.send_request(
                head + request.body,
                self._is_response_to_request,
                job.metadata.request_id,
            )
        except ExchangeFailed:
            # Nothing was written.
            self._release()
            self.note_not_run()
            raise ConnectFailed("the connection was closed before use") from None

    def _is_response_to_request(self, head):
        # A response without a request id answers something else, such as an order that
        # the leader sent on this connection before.
        metadata = self._dialect.read_response(head.status, head.headers)
        if metadata.request_id != self._job.metadata.request_id:
            return False
        self._response_metadata = metadata
        self._replica.note_request_limit(metadata.request_limit_per_s)
        return True

    async def read_head(self, silence_s):
        """Returns (head, metadata) of the response.

        From here on until the end, ``silence_s`` without progress fails the exchange
        with ExchangeFailed, if the request may be sent again; None disables this.
        """
        self._silence_limit_s = silence_s
        self._progress_at = self._loop.time()
        if silence_s is not None:
            self._silence_timer = self._loop.call_later(
                min(silence_s, REPLICA_SILENCE_S), self._check_silence
            )
        head = await self._connection.read_head()
        self.note_progress()
        self._connection.idle_timeout_s = (
            self._response_metadata.idle_timeout_s or self._connection.idle_timeout_s
        )
        return head, self._response_metadata

    def note_progress(self):
        """Records that the response goes on, by complete events or enough bytes."""
        self._progress_at = self._loop.time()
        self._replica.note_heard()

    def _check_silence(self):
        """Fails the exchange if its replica is silent, else schedules a new check."""
        now = self._loop.time()
        if self._connection.has_unread_body:
            # The caller is slow, not the replica.
            self._progress_at = now
        silent_s = now - self._progress_at
        replica_silent_s = now - max(self._replica.last_heard_at, self._progress_at)
        is_silent = (
            silent_s >= self._silence_limit_s or replica_silent_s >= REPLICA_SILENCE_S
        )
        # Without a retry, a slow replica's response is better than none.
        if is_silent and self._may_retry():
            self._replica.note_silence()
            self._connection.cancel(f"no progress for {silent_s:.2f} s")
            return
        self._silence_timer = self._loop.call_later(
            SILENCE_CHECK_S, self._check_silence
        )

    def note_not_run(self):
        """Records that this attempt did not run; sending assumed that it may have."""
        self._job.may_have_run_on.pop()

    async def read(self):
        """Returns the next bytes of the body, or b"" at its end.

        The caller of this method tells by ``note_progress`` what counts as progress.
        """
        data = await self._connection.read()
        if not data:
            self._response_complete = True
        return data

    async def read_body(self):
        """Returns the whole body. Raises ExchangeFailed."""
        body = await self._connection.read_all(MAX_RESPONSE_BYTES, self._note_body)
        self._response_complete = True
        return body

    def _note_body(self, count):
        if self._body_progress.note(count):
            self.note_progress()

    async def __aexit__(self, error_type, error, traceback):
        self._release()

    def _release(self):
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._replica.note_ended(self._job.metadata.adapter)
        pool = self._replica.pool
        if self._response_complete and not self._replica.leaving:
            pool.release(self._connection)
        else:
            pool.discard(self._connection)
