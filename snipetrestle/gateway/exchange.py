"""One sending of a request to one replica: connection, response and silence."""

import asyncio

from snipetrestle.gateway.dialect import Sending
from snipetrestle.gateway.http_client import ConnectFailed, ExchangeFailed

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A request whose replica sends nothing to anybody for this long goes on elsewhere.
REPLICA_SILENCE_S = 0.9
SILENCE_CHECK_S = 0.2


class Exchange:
    """One sending of a job to one replica; closes what it opened.

    Use as an async context manager, which raises ConnectFailed if nothing was sent.
    """

    def __init__(self, dialect, job, replica):
        self._dialect = dialect
        self._job = job
        self._replica = replica
        self._connection = None
        self._loop = asyncio.get_running_loop()
        self._timer = None
        self._done = False
        self._limit_s = None

    async def __aenter__(self):
        job, replica = self._job, self._replica
        replica.note_sent(job.facts.adapter)
        try:
            self._connection = await replica.pool.take()
        except BaseException:
            replica.note_ended(job.facts.adapter)
            raise
        self._send(job, replica)
        return self

    def _send(self, job, replica):
        remaining_s = job.deadline_at - self._loop.time()
        request = job.request
        sending = Sending(
            replica.id,
            max(0.001, remaining_s),
            job.route.priority,
            job.version,
            job.last_event_id,
        )
        head = self._dialect.request_head(
            request.method, request.target, request.headers, len(request.body), sending
        )
        if replica.id not in job.sent_to:
            job.sent_to.append(replica.id)
        job.sendings += 1
        job.ran_at.append(replica.id)
        try:
            self._connection.start(head + request.body, self._answers)
        except ExchangeFailed:
            # Nothing was written.
            self._release()
            self.note_not_run()
            raise ConnectFailed("the connection was closed before use") from None

    def _answers(self, head):
        facts = self._dialect.read_response(head.status, head.headers)
        self._facts = facts
        return facts.request_id in (None, self._job.facts.request_id)

    async def read_head(self, silence_s):
        """Returns (head, facts). Raises ExchangeFailed after ``silence_s`` of silence."""
        self._limit_s = silence_s
        if silence_s is not None:
            self._timer = self._loop.call_later(
                min(silence_s, REPLICA_SILENCE_S), self._check_silence
            )
        head = await self._connection.read_head()
        self._replica.note_heard()
        self._connection.idle_timeout_s = (
            self._facts.idle_timeout_s or self._connection.idle_timeout_s
        )
        return head, self._facts

    def _check_silence(self):
        """Fails the exchange if its replica is silent; looks again otherwise."""
        now = self._loop.time()
        silent_s = now - self._connection.last_data
        replica_silent_s = now - max(
            self._replica.last_heard, self._connection.last_data
        )
        is_silent = silent_s >= self._limit_s or replica_silent_s >= REPLICA_SILENCE_S
        if is_silent and self._may_give_up():
            self._replica.note_silence()
            self._connection.cancel(f"silent for {silent_s:.2f} s")
            return
        self._timer = self._loop.call_later(SILENCE_CHECK_S, self._check_silence)

    def _may_give_up(self):
        """Waiting is the best choice where the request cannot be sent again."""
        job = self._job
        return job.route.repeatable and job.attempts_left

    def note_not_run(self):
        self._job.ran_at.pop()

    async def read(self):
        data = await self._connection.read()
        self._replica.last_heard = self._connection.last_data
        if not data:
            self._done = True
        return data

    async def read_body(self):
        body = await self._connection.read_all(MAX_RESPONSE_BYTES)
        self._done = True
        return body

    async def __aexit__(self, kind, error, traceback):
        self._release()

    def _release(self):
        if self._timer is not None:
            self._timer.cancel()
        self._replica.note_ended(self._job.facts.adapter)
        pool = self._replica.pool
        if self._done and not self._replica.leaving:
            pool.give_back(self._connection)
        else:
            pool.drop(self._connection)
