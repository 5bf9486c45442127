"""Ends the silent exchanges with a replica's process that has ended.

A process may end without closing its connections, and nothing arrives on them any more.
Evidence of its end may be wrong, since other writers may write entries. So an exchange
is ended only while nothing comes from the process on any connection of this host.
"""

import asyncio
import math
import time

from snipetrestle.events import Event, log_event
from snipetrestle.supervision import run_isolated

# A sound process whose entry is taken for that of an ended one is seldom silent for so
# long on all connections.
MIN_SILENCE_S = 0.9
# Requests that may be sent elsewhere are left so much longer to the search for a
# replacement, which may wait for room in the retry budget.
REPLACEMENT_TIME_S = 1.0
# After this silence, a process whose entry is gone is asked for its report, and again
# after as much more if it answers.
ASKED_SILENCE_S = 2.0
CHECK_PAUSE_S = 0.2
# Reports that a removed process may leave unanswered: it may be silent for a moment.
MAX_UNANSWERED_REPORTS = 3
REPORT_PAUSE_S = 0.5
# By how much the clock of a replica may be ahead of that of this host.
MAX_CLOCK_SKEW_S = 0.5


class ProcessEnd:
    """What is known of the end of a Replica's process."""

    __slots__ = (
        "_replica",
        "_evidence",
        "_noted_at",
        "_begun_before",
        "_is_running",
        "_is_ended",
        "_is_logged",
        "_task",
    )

    def __init__(self, replica):
        self._replica = replica
        self._evidence = None
        self._noted_at = 0.0
        self._begun_before = -math.inf
        self._is_running = None
        self._is_ended = False
        self._is_logged = False
        self._task = None

    @property
    def has_ended(self):
        """Whether the process has ended, by evidence and by its silence."""
        return self._is_ended

    def note(self, evidence, successor_boot=None, is_running=None):
        """Ends the exchanges with the process as soon as it is silent for long enough.

        Those that were begun since the ``successor_boot``, if it is given, may be at
        the later process. Unless the process answers ``is_running(replica)``, which is
        awaited before if it is given.
        """
        now = asyncio.get_running_loop().time()
        begun_before = math.inf
        if successor_boot is not None:
            age_s = time.time() - successor_boot / 1000
            begun_before = now - age_s - MAX_CLOCK_SKEW_S
        self._begun_before = max(self._begun_before, begun_before)
        # Idle connections of the process would lead to no answer.
        self._replica.pool.close()
        if self._evidence is None:
            self._evidence = evidence
            self._noted_at = now
            self._is_running = is_running
            self._check()

    def _exchanges(self):
        """Returns the open exchanges with the process."""
        return [
            item
            for item in self._replica.open_exchanges
            if item.opened_at <= self._begun_before
        ]

    def _heard_at(self, exchanges):
        """When the process last sent something on any connection of this host.

        What the Replica has noted may come from a later process under its id.
        """
        times = [item.received_at for item in exchanges]
        if math.isinf(self._begun_before):
            times.append(self._replica.last_heard_at)
        return max(times)

    def _check(self):
        """Ends what has been silent for long enough, and schedules the next check."""
        exchanges = self._exchanges()
        if not exchanges:
            self._evidence = None
            return
        heard_at = self._heard_at(exchanges)
        if heard_at > self._noted_at + MIN_SILENCE_S:
            # A process that sends for so long after the evidence has not ended.
            self._evidence = None
            return
        loop = asyncio.get_running_loop()
        silent_s = loop.time() - heard_at
        if silent_s >= MIN_SILENCE_S and not _has_unread_input(exchanges):
            if self._is_running is not None:
                self._task = loop.create_task(run_isolated(self._confirm))
                return
            self._end(exchanges, silent_s)
        loop.call_later(CHECK_PAUSE_S, self._check)

    async def _confirm(self):
        """Drops the evidence if the process answers, else goes on with the check."""
        is_running, self._is_running = self._is_running, None
        if await is_running(self._replica):
            self._evidence = None
            return
        self._check()

    def _end(self, exchanges, silent_s):
        """Fails the exchanges that have waited for as long as the process is silent."""
        self._is_ended = True
        ended = [item for item in exchanges if _is_due(item, silent_s)]
        for exchange in ended:
            exchange.cancel(f"the replica's process has ended: {self._evidence}")
        if not ended or self._is_logged:
            return
        self._is_logged = True
        log_event(
            Event.PROCESS_ENDED,
            replica=self._replica.id,
            boot=self._replica.entry.boot,
            evidence=self._evidence,
            silent_ms=None if math.isinf(silent_s) else round(silent_s * 1000),
            ended=len(ended),
        )

    # Processes whose entry is gone.

    def watch_removed(self, is_running):
        """Asks ``is_running(replica)`` if the process is silent since its removal.

        One that sends anything after its removal goes on serving, and is not asked.
        """
        removed_at = asyncio.get_running_loop().time()
        self._check_removed(removed_at, is_running)

    def _check_removed(self, removed_at, is_running):
        exchanges = self._replica.open_exchanges
        if not exchanges:
            return
        received_at = max(item.received_at for item in exchanges)
        heard_at = max(received_at, self._replica.last_heard_at)
        if heard_at > removed_at:
            return
        loop = asyncio.get_running_loop()
        # A process that had nothing to answer was not silent.
        silent_since = max(heard_at, min(item.opened_at for item in exchanges))
        due_at = silent_since + ASKED_SILENCE_S
        if _has_unread_input(exchanges):
            due_at = max(due_at, loop.time() + CHECK_PAUSE_S)
        if loop.time() < due_at:
            loop.call_at(due_at, self._check_removed, removed_at, is_running)
            return
        self._task = loop.create_task(
            run_isolated(self._ask_removed, removed_at, is_running)
        )

    async def _ask_removed(self, removed_at, is_running):
        if not await self._has_ended(is_running):
            asyncio.get_running_loop().call_later(
                ASKED_SILENCE_S, self._check_removed, removed_at, is_running
            )
            return
        self.note("its entry is gone, and it does not answer")

    async def _has_ended(self, is_running):
        """Whether another process answers, or none does several times in a row."""
        for count in range(MAX_UNANSWERED_REPORTS):
            if count:
                await asyncio.sleep(REPORT_PAUSE_S)
            answer = await is_running(self._replica)
            if answer is not None:
                return not answer
        return True


def _has_unread_input(exchanges):
    """Whether data has come that this process, after a pause of its own, has not read."""
    return any(item.has_unread_input for item in exchanges)


def _is_due(exchange, silent_s):
    """Whether an exchange has waited in vain for long enough."""
    limit_s = MIN_SILENCE_S
    if exchange.may_be_replaced:
        limit_s += REPLACEMENT_TIME_S
    waited_s = asyncio.get_running_loop().time() - exchange.opened_at
    return min(waited_s, silent_s) >= limit_s and exchange.awaits_data
