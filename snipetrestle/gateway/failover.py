"""Replaces an exchange with a silent replica, once another replica has accepted.

The silent exchange stays open meanwhile, since its replica may go on at any time. So a
replacement that is refused or cannot be sent leaves the caller no worse off than
waiting.
"""

import asyncio

from snipetrestle.gateway.backends.connection_pool import ConnectionsExhausted
from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.exchange import REPLICA_SILENCE_S, ReplicaLeft
from snipetrestle.gateway.job import Refused
from snipetrestle.supervision import run_isolated

# A replica that has not refused a stream for this long has accepted it: two replicas
# must not work on one stream for long. Calls may run at two replicas.
MAX_OVERLAP_S = 0.3
# Pause before the next replica is tried as a replacement; it doubles each time, since
# each try counts as a retry.
FIRST_PAUSE_S = 0.3
# Connections that may fail before that pause. Many replicas may be lost at the same time.
MAX_REPLACEMENT_CONNECTS = 4


class Failover:
    """Serves one request by an exchange and, if need be, by replacements of it.

    ``forwarder`` finds replicas, books retries and judges responses. Without
    ``silence_s``, silence is no reason to send the request again.
    """

    def __init__(self, forwarder, job, silence_s):
        self._forwarder = forwarder
        self._job = job
        self._silence_s = silence_s
        is_stream = job.route.kind is RequestKind.STREAM
        self._max_overlap_s = MAX_OVERLAP_S if is_stream else None
        self._current = None
        # The replacement that was sent, and whether its replica has accepted it.
        self._replacement = None
        self._is_accepted = False
        self._task = None
        self._pause_s = FIRST_PAUSE_S
        self._is_silence_noted = False
        # When the search for the last replacement began.
        self._search_began_at = 0.0

    async def serve(self, exchange, serve_exchange):
        """Opens an exchange and returns ``await serve_exchange(exchange)``.

        If that fails with ExchangeFailed, goes on with the replacement that was sent
        meanwhile. Raises ConnectFailed if nothing was sent, ExchangeFailed if there is
        no replacement, and Refused if the request's key was taken away, or if a begun
        stream is too late for an event.
        """
        self._current = exchange
        try:
            await self._connect(exchange)
            exchange.send()
            while True:
                try:
                    return await self._serve_current(serve_exchange)
                except ExchangeFailed as error:
                    await self._replace_failed(error)
        finally:
            self._current.close()
            self._end_replacement()
            # They refer to each other. Without the cycle, bodies are freed at once
            # instead of by the garbage collector.
            self._current = None

    async def _connect(self, exchange):
        """Connects an exchange, and checks that its request may be sent now.

        Raises ConnectFailed or Refused.
        """
        await exchange.connect()
        try:
            await self._forwarder.check_process(self._job, exchange.replica)
        except ConnectFailed:
            exchange.close()
            raise
        self._forwarder.check_sendable(self._job)

    async def _serve_current(self, serve_exchange):
        self._current.watch(
            self._silence_s,
            self._on_silent,
            self._on_progress,
            self._on_early_silence,
        )
        return await serve_exchange(self._current)

    async def _replace_failed(self, error):
        """Puts the replacement in the place of an exchange that has failed.

        Raises ``error`` if there is none.
        """
        failed, task = self._current, self._task
        failed.close()
        if not self._may_replacement_go_on:
            self._close_replacement()
        replacement = self._replacement
        self._set_replacement(None)
        self._cancel_task()
        if replacement is not None:
            self._current = replacement
            # The task may still be waiting for the head of the replacement's response.
            await asyncio.wait({task})
        await self._forwarder.note_exchange_failed(self._job, failed.replica, error)
        if replacement is None:
            raise error

    @property
    def _may_replacement_go_on(self):
        """Whether the replacement fits the events that the caller got since it was sent.

        It may have been sent before the stream began at a replica of another version.
        """
        replacement = self._replacement
        return replacement is None or self._job.may_go_on_at(replacement.replica)

    def _set_replacement(self, replacement):
        self._replacement = replacement
        self._job.has_replacement = replacement is not None
        self._is_accepted = False

    def _cancel_task(self):
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _end_replacement(self):
        """Ends the search for a replacement, and the replacement if one was sent."""
        self._cancel_task()
        self._close_replacement()

    def _close_replacement(self):
        if self._replacement is not None:
            self._replacement.close()
            self._set_replacement(None)

    def _on_early_silence(self):
        self._forwarder.prepare_replacement(self._job)

    def _on_progress(self):
        """Ends the replacement of an exchange that goes on."""
        if self._is_silence_noted:
            self._is_silence_noted = False
            self._current.replica.note_resumed()
        if self._is_accepted:
            return
        if self._replacement is not None:
            self._job.dropped_on.add(self._replacement.replica.id)
            self._log_dropped("the silent replica goes on")
        # It may be that of an earlier attempt.
        self._forwarder.end_preparation(self._job)
        self._end_replacement()

    def _on_silent(self, silent_s):
        is_busy = self._task is not None and not self._task.done()
        if self._is_accepted or is_busy:
            return
        if not self._forwarder.may_retry(self._job):
            self._note_silence()
            return
        self._current.replica.note_silence()
        reason = f"no progress for {silent_s:.2f} s"
        self._task = asyncio.get_running_loop().create_task(
            run_isolated(self._replace_silent, reason)
        )

    def _note_silence(self):
        """Suspects the replica of a request that stays there, once for each silence.

        A replica that sends other responses is not silent.
        """
        now = asyncio.get_running_loop().time()
        is_silent = now - self._current.last_heard_at >= REPLICA_SILENCE_S
        if is_silent and not self._is_silence_noted:
            self._is_silence_noted = True
            self._current.replica.note_silence()

    async def _replace_silent(self, reason):
        """Ends the silent exchange if another replica accepts the request."""
        self._job.seeks_replacement = True
        self._search_began_at = asyncio.get_running_loop().time()
        try:
            is_accepted = await self._send_replacement(reason)
        finally:
            self._job.seeks_replacement = False
        if is_accepted:
            self._is_accepted = True
            self._job.replacement_dropped = None
            if self._job.route.kind is RequestKind.STREAM:
                self._job.silent_replica_id = self._current.replica.id
            self._current.cancel(reason)
            return
        await asyncio.sleep(self._pause_s)
        self._pause_s *= 2

    async def _send_replacement(self, reason):
        """Sends the request to another replica; returns whether that accepts it.

        Further replicas are tried at once after a failed connection: it costs no retry.
        """
        replacement = None
        failed_ids = set()
        while replacement is None:
            try:
                replica = await self._forwarder.find_replacement(self._job)
                if replica.id in failed_ids:
                    return False
                replacement = await self._open_replacement(replica, reason)
            except Refused as refusal:
                self._log_refused(refusal)
                return False
            except ConnectFailed as error:
                self._log_dropped(str(error))
                failed_ids.add(replica.id)
                is_exhausted = isinstance(error, ConnectionsExhausted)
                if is_exhausted or len(failed_ids) == MAX_REPLACEMENT_CONNECTS:
                    return False
        self._set_replacement(replacement)
        return await self._await_acceptance(replacement)

    async def _open_replacement(self, replica, reason):
        """Sends the request to another replica and returns the Exchange.

        Raises ConnectFailed if nothing was sent, and Refused if nothing may be sent.
        """
        replacement = self._forwarder.create_exchange(self._job, replica)
        try:
            await self._connect(replacement)
            # Nothing may come between the booking and the sending.
            if not self._forwarder.try_book_retry(
                self._job, reason, replacement, self._search_began_at
            ):
                raise Refused(
                    self._job.unknown_outcome_code, reason="no room in the retry budget"
                )
            replacement.send()
        except BaseException as error:
            replacement.close()
            is_failure = isinstance(error, ConnectFailed)
            if is_failure and not isinstance(
                error, (ConnectionsExhausted, ReplicaLeft)
            ):
                replica.note_silence()
            raise
        return replacement

    async def _await_acceptance(self, replacement):
        """Returns whether a replica accepts a replacement. Closes it if not."""
        is_accepted = False
        try:
            reason = await self._forwarder.refusal_reason(
                self._job, replacement, self._max_overlap_s
            )
            if reason is None and self._current.has_unread_body:
                reason = "the silent replica goes on"
            if reason is None and not self._may_replacement_go_on:
                reason = "the stream began at another software version"
            is_accepted = reason is None
        except ExchangeFailed as error:
            reason = str(error)
            self._close_replacement()
            await self._forwarder.note_exchange_failed(
                self._job, replacement.replica, error
            )
        finally:
            # The replacement may have taken the place of the silent exchange.
            if not is_accepted and self._replacement is replacement:
                self._close_replacement()
        if not is_accepted:
            self._log_dropped(reason)
        return is_accepted

    def _log_refused(self, refusal):
        self._log_dropped(refusal.fields.get("reason", str(refusal)))

    def _log_dropped(self, reason):
        self._forwarder.log_replacement_dropped(self._job, reason)
