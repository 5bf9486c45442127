"""Ends the silent exchanges with a replica's process that has ended.

A process may end without closing its connections, and nothing arrives on them any more.
Evidence of its end may be wrong, since other writers may write entries. So an exchange
is ended only while nothing comes from the process on any connection of this host.

A process that starts again under its id at its address may have got requests before its
entry came. Which ones cannot be told by the time of its start, as clocks differ: so it
is asked how many requests it has, and while it has some, the silent ones wait.
"""

import asyncio
import enum
import math

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
# Reports in a row by which a later process has no requests: it may be about to read
# one, or the end of its last answer may still be on the way.
IDLE_REPORTS = 2


class ProcessAnswer(enum.Enum):
    """What a question to the address of a process tells about it."""

    # Nothing answers, or another replica does.
    NONE = enum.auto()
    # The process runs.
    SAME = enum.auto()
    # A process answers, and does not report now.
    REFUSED = enum.auto()
    # Another process under the id answers; it has no requests, or it may have some.
    OTHER_IDLE = enum.auto()
    OTHER = enum.auto()


_IS_RUNNING = (ProcessAnswer.SAME, ProcessAnswer.REFUSED)
_IS_OTHER = (ProcessAnswer.OTHER_IDLE, ProcessAnswer.OTHER)


class Verdict(enum.StrEnum):
    """What became of evidence that a process has ended."""

    # Exchanges were ended.
    ENDED = "ended"
    # The process is running, and no exchange was ended.
    DROPPED = "dropped"
    # The process is running, though exchanges were ended.
    REFUTED = "refuted"


class ProcessEnd:
    """What is known of the end of a Replica's process.

    ``on_verdict(replica, verdict)``, if it is given, is called with each Verdict.
    """

    __slots__ = (
        "_replica",
        "_on_verdict",
        "_evidence",
        "_noted_at",
        "_is_restarted",
        "_ask",
        "_is_confirmed",
        "_is_ended",
        "_logged_at",
        "_logged_evidence",
        "_is_refuted",
        "_task",
    )

    def __init__(self, replica, on_verdict=None):
        self._replica = replica
        self._on_verdict = on_verdict
        self._evidence = None
        self._noted_at = 0.0
        # Whether a later process may serve some of the exchanges.
        self._is_restarted = False
        self._ask = None
        self._is_confirmed = False
        self._is_ended = False
        # When exchanges were first ended, and by which evidence.
        self._logged_at = math.inf
        self._logged_evidence = None
        self._is_refuted = False
        self._task = None

    @property
    def has_ended(self):
        """Whether the process has ended, by evidence and by its silence."""
        return self._is_ended and not self._is_refuted

    def note(self, evidence, is_restarted=False, ask=None):
        """Ends the exchanges with the process as soon as it is silent for long enough.

        If it ``is_restarted`` under its id at its address, some of them may be at the
        later process, and none is ended before that has no requests. If ``ask(replica)``
        is given, it is awaited before, and its ProcessAnswer may show that the process
        runs.
        """
        # Idle connections of the process would lead to no answer.
        self._replica.pool.close()
        if self._evidence is not None:
            self._is_restarted = self._is_restarted and is_restarted
            return
        self._evidence = evidence
        self._noted_at = asyncio.get_running_loop().time()
        self._is_restarted = is_restarted
        self._ask = ask
        self._is_confirmed = False
        self._check()

    def _exchanges(self):
        """Returns the open exchanges that may be with the process."""
        exchanges = self._replica.open_exchanges
        if not self._is_restarted:
            return list(exchanges)
        return [
            item
            for item in exchanges
            if item.opened_at <= self._noted_at and not self._is_at_successor(item)
        ]

    def _is_at_successor(self, exchange):
        """Whether data has come so late that the ended process has not sent it."""
        return exchange.received_at > self._noted_at + MIN_SILENCE_S

    def _heard_at(self, exchanges):
        """When the process last sent something on any connection of this host.

        What the Replica has noted may come from a later process under its id.
        """
        times = [item.received_at for item in exchanges]
        if not self._is_restarted:
            times.append(self._replica.last_heard_at)
        return max(times)

    def _check(self):
        """Ends what has been silent for long enough, and schedules the next check."""
        exchanges = self._exchanges()
        if not exchanges:
            self._evidence = None
            return
        heard_at = self._heard_at(exchanges)
        if not self._is_restarted and heard_at > self._noted_at + MIN_SILENCE_S:
            # A process that sends for so long after the evidence has not ended.
            self._drop_evidence()
            return
        loop = asyncio.get_running_loop()
        silent_s = loop.time() - heard_at
        if silent_s >= MIN_SILENCE_S and not _has_unread_input(exchanges):
            if self._ask is not None and not self._is_confirmed:
                self._task = loop.create_task(run_isolated(self._confirm))
                return
            self._end(exchanges, silent_s)
        loop.call_later(CHECK_PAUSE_S, self._check)

    async def _confirm(self):
        """Drops the evidence if the process answers, else goes on with the check."""
        answer = await self._ask(self._replica)
        is_running = answer in _IS_RUNNING
        if self._is_restarted:
            # The later process may have refused to report.
            is_running = answer is ProcessAnswer.SAME
            self._is_confirmed = await self._is_successor_idle(answer)
        else:
            self._is_confirmed = True
        if is_running:
            self._drop_evidence()
            return
        if self._is_confirmed:
            self._check()
        else:
            asyncio.get_running_loop().call_later(REPORT_PAUSE_S, self._check)

    async def _is_successor_idle(self, answer):
        """Whether a later process, by its answers from this one on, has no requests."""
        for _ in range(IDLE_REPORTS - 1):
            if answer is not ProcessAnswer.OTHER_IDLE:
                return False
            await asyncio.sleep(REPORT_PAUSE_S)
            answer = await self._ask(self._replica)
        return answer is ProcessAnswer.OTHER_IDLE

    def _drop_evidence(self):
        """Drops evidence that the process refutes."""
        self._evidence = None
        if math.isinf(self._logged_at):
            self._tell(Verdict.DROPPED)

    def _tell(self, verdict):
        if self._on_verdict is not None:
            self._on_verdict(self._replica, verdict)

    def note_data(self, received_at):
        """Records when data came last on a connection to the replica.

        After a restart under its id, that may be from the later process.
        """
        if received_at > self._logged_at and not self._is_restarted:
            self.note_running("it has sent data")

    def note_running(self, sign):
        """Logs that the process is running, if exchanges with it were ended before."""
        if math.isinf(self._logged_at) or self._is_refuted:
            return
        self._is_refuted = True
        after_s = asyncio.get_running_loop().time() - self._logged_at
        log_event(
            Event.PROCESS_END_REFUTED,
            replica=self._replica.id,
            boot=self._replica.entry.boot,
            evidence=self._logged_evidence,
            sign=sign,
            after_ms=round(after_s * 1000),
        )
        self._tell(Verdict.REFUTED)

    def _end(self, exchanges, silent_s):
        """Fails the exchanges that have waited for as long as the process is silent."""
        known = [item for item in exchanges if self._is_known(item)]
        if not known:
            return
        self._is_ended = True
        ended = [item for item in known if _is_due(item, silent_s)]
        for exchange in ended:
            exchange.cancel(f"the replica's process has ended: {self._evidence}")
        if not ended or not math.isinf(self._logged_at):
            return
        self._logged_at = asyncio.get_running_loop().time()
        self._logged_evidence = self._evidence
        self._tell(Verdict.ENDED)
        log_event(
            Event.PROCESS_ENDED,
            replica=self._replica.id,
            boot=self._replica.entry.boot,
            evidence=self._evidence,
            silent_ms=None if math.isinf(silent_s) else round(silent_s * 1000),
            ended=len(ended),
        )

    def _is_known(self, exchange):
        """Whether an exchange is known to be at no later process.

        A response of another replica to it shows that, too.
        """
        if self._is_confirmed or not (self._is_restarted or self._ask):
            return True
        return math.isinf(exchange.received_at)

    # Processes whose entry is gone.

    def watch_removed(self, ask, is_restarted):
        """Asks ``ask(replica)`` if the process is silent since its removal.

        One that sends anything after its removal goes on serving, and is not asked. If
        it ``is_restarted`` under its id at its address, the later process may not have
        answered, and still have some of the requests.
        """
        removed_at = asyncio.get_running_loop().time()
        self._check_removed(removed_at, ask, is_restarted)

    def _check_removed(self, removed_at, ask, is_restarted):
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
            loop.call_at(due_at, self._check_removed, removed_at, ask, is_restarted)
            return
        self._task = loop.create_task(
            run_isolated(self._ask_removed, removed_at, ask, is_restarted)
        )

    async def _ask_removed(self, removed_at, ask, is_restarted):
        answer = await self._ask_repeatedly(ask)
        if answer in _IS_OTHER:
            self.note("another process answers at its address", True, ask)
        elif answer is ProcessAnswer.NONE and not is_restarted:
            self.note("its entry is gone, and it does not answer")
        else:
            asyncio.get_running_loop().call_later(
                ASKED_SILENCE_S, self._check_removed, removed_at, ask, is_restarted
            )

    async def _ask_repeatedly(self, ask):
        """Returns the first answer to several questions in a row."""
        for count in range(MAX_UNANSWERED_REPORTS):
            if count:
                await asyncio.sleep(REPORT_PAUSE_S)
            answer = await ask(self._replica)
            if answer is not ProcessAnswer.NONE:
                break
        return answer


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
