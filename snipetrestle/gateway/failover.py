"""Replaces an exchange with a silent replica, once another replica has accepted.

The silent exchange stays open meanwhile, since its replica may go on at any time. So a
replacement that is refused or cannot be sent leaves the caller no worse off than
waiting.
"""

import asyncio

from snipetrestle.gateway.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.job import Refused
from snipetrestle.gateway.supervision import run_isolated

# A replica that has not refused a replacement for this long has accepted it. Two
# replicas must not work on one request for long.
MAX_OVERLAP_S = 0.3
# Pause before the next replica is tried as a replacement; it doubles each time, since
# each try counts as a retry.
FIRST_PAUSE_S = 0.3
PROGRESS_REASON = "the silent replica goes on"


class Failover:
    """Serves one request by an exchange and, if need be, by replacements of it.

    ``attempts`` is the Forwarder: it finds replicas, books retries and judges
    responses. Without ``silence_s``, silence is no reason to send the request again.
    """

    def __init__(self, attempts, job, silence_s):
        self._attempts = attempts
        self._job = job
        self._silence_s = silence_s
        self._current = None
        # The replacement that was sent, and whether its replica has accepted it.
        self._replacement = None
        self._is_accepted = False
        self._task = None
        self._pause_s = FIRST_PAUSE_S

    async def serve(self, exchange, serve_exchange):
        """Opens an exchange and returns ``await serve_exchange(exchange)``.

        If that fails with ExchangeFailed, goes on with the replacement that was sent
        meanwhile. Raises ConnectFailed if nothing was sent, and ExchangeFailed if there
        is no replacement.
        """
        await exchange.open()
        self._current = exchange
        try:
            while True:
                try:
                    return await self._serve_current(serve_exchange)
                except ExchangeFailed as error:
                    await self._replace_failed(error)
        finally:
            self._current.close()
            self._drop_replacement()

    async def _serve_current(self, serve_exchange):
        self._current.watch_silence(self._silence_s, self._on_silent, self._on_progress)
        return await serve_exchange(self._current)

    async def _replace_failed(self, error):
        """Puts the replacement in the place of an exchange that has failed.

        Raises ``error`` if there is none.
        """
        failed, task = self._current, self._task
        failed.close()
        replacement = self._take_replacement()
        if replacement is not None:
            self._current = replacement
            # The task may still be waiting for the head of the replacement's response.
            await asyncio.wait({task})
        await self._attempts.note_exchange_failed(self._job, failed.replica, error)
        if replacement is None:
            raise error

    def _take_replacement(self):
        replacement, self._replacement = self._replacement, None
        self._is_accepted = False
        self._cancel_task()
        return replacement

    def _on_progress(self):
        """Drops the replacement of an exchange that goes on."""
        if self._is_accepted:
            return
        if self._replacement is not None:
            self._attempts.log_replacement_dropped(self._job, PROGRESS_REASON)
        self._drop_replacement()

    def _drop_replacement(self):
        replacement = self._take_replacement()
        if replacement is not None:
            replacement.close()

    def _cancel_task(self):
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _on_silent(self, silent_s):
        is_busy = self._task is not None and not self._task.done()
        if self._is_accepted or is_busy or not self._attempts.may_retry(self._job):
            return
        self._drop_replacement()
        self._current.replica.note_silence()
        reason = f"no progress for {silent_s:.2f} s"
        self._task = asyncio.get_running_loop().create_task(
            run_isolated(self._try_to_replace, reason)
        )

    async def _try_to_replace(self, reason):
        """Ends the silent exchange if another replica accepts the request."""
        try:
            is_accepted = await self._send_replacement(reason)
        except Refused as refusal:
            refusal_reason = refusal.fields.get("reason", str(refusal))
            self._attempts.log_replacement_dropped(self._job, refusal_reason)
            is_accepted = False
        if is_accepted and self._current.has_unread_body:
            self._attempts.log_replacement_dropped(self._job, PROGRESS_REASON)
            is_accepted = False
        if is_accepted:
            self._is_accepted = True
            self._current.cancel(reason)
            return
        if self._replacement is not None:
            self._replacement.close()
            self._replacement = None
        await asyncio.sleep(self._pause_s)
        self._pause_s *= 2

    async def _send_replacement(self, reason):
        """Sends the request to another replica; returns whether that accepts it.

        Raises Refused if there is no such replica.
        """
        attempts, job = self._attempts, self._job
        replica = await attempts.find_replacement(job)
        if replica is None or not attempts.try_book_retry(job, reason):
            return False
        replacement = attempts.create_exchange(job, replica)
        try:
            await replacement.open()
        except ConnectFailed:
            replica.note_silence()
            return False
        self._replacement = replacement
        return await attempts.is_accepted(job, replacement, MAX_OVERLAP_S)
