"""Checks the processes of a stream's replicas before the stream goes on.

A replica may start again under its id with another software version, and serve requests
before its new entry reaches this host. Replicas tell the start time of their process.

A process of another id may have taken the address of a replica that has ended. It
refuses requests that name that replica, so it has begun none of its streams.
"""

import asyncio
import enum

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.backends.http_client import (
    ConnectFailed,
    ExchangeFailed,
    ReportRefused,
)
from snipetrestle.gateway.backends.process_end import ProcessAnswer
from snipetrestle.gateway.exchange import ReplicaLeft
from snipetrestle.gateway.job import Refused

# The replica that began the stream may have fallen silent.
REPORT_TIMEOUT_S = 0.3
# A stream waits no longer for the store to tell whose process has answered.
READ_TIMEOUT_S = 0.5


class OriginAnswer(enum.Enum):
    """Whether the process that an origin names has begun its stream."""

    # It has answered, after the stream began.
    SAME = enum.auto()
    # It has not, and nothing tells of another one so far.
    UNKNOWN = enum.auto()
    # Another one may have begun the stream at another version.
    MAY_DIFFER = enum.auto()


class ProcessCheck:
    """Checks jobs that go on with a stream.

    ``replicas`` is the ReplicaDirectory. ``read_report(replica)`` returns a
    ReplicaReport, and raises ConnectFailed or ExchangeFailed. ``fresh_reads`` are the
    FreshReads of the entries of replicas.
    """

    def __init__(self, replicas, read_report, fresh_reads):
        self._replicas = replicas
        self._read_report = read_report
        self._fresh_reads = fresh_reads

    def begin(self, job):
        """Starts to ask the process that began a stream, while a replica is sought.

        It may have ended, and is waited for in vain then.
        """
        if self._concerns(job) and job.origin_check is None:
            job.origin_check = asyncio.create_task(self._ask_origin(job.origin))

    @staticmethod
    def end(job):
        """Ends what ``begin`` has started for a job."""
        if job.origin_check is not None:
            job.origin_check.cancel()
            job.origin_check = None

    @staticmethod
    def _concerns(job):
        return job.origin is not None and job.backend.serves_models

    async def check(self, job, replica):
        """Checks that a job may go on at a replica, to which it has a connection.

        Raises ConnectFailed if no process answers in time, ReplicaLeft if another one
        does or if it refuses to tell, and Refused if another process than its record
        names may have begun the stream.
        """
        if not self._concerns(job):
            return
        self.begin(job)
        answer, origin_answer = await asyncio.gather(
            self.ask(replica), asyncio.shield(job.origin_check)
        )
        # A later search asks anew.
        job.origin_check = None
        if self._may_differ(job.origin, origin_answer):
            code = ResultCode.STREAM_NOT_RESUMABLE
            if job.may_have_run:
                code = job.unknown_outcome_code
            raise Refused(
                code, reason="another process may have begun the stream under the id"
            )
        if answer is ProcessAnswer.SAME:
            return
        if answer is ProcessAnswer.NONE:
            # No evidence of another process: it may be silent for a moment.
            raise ConnectFailed("the replica's process does not answer")
        if answer is not ProcessAnswer.REFUSED:
            replica.note_may_be_replaced()
        raise ReplicaLeft("another process may have taken the replica's place")

    async def _read_boot(self, replica):
        """Returns the boot of the process that answers; None without an answer.

        Replicas that do not tell their start cannot be told apart, so the answer of one
        names the boot of its entry. One that has asked for a pause is not asked.
        """
        if replica.pause.is_active:
            return None
        try:
            report = await self._report(replica)
        except ReportRefused:
            return None
        if report is None:
            return None
        return replica.entry.boot if report.boot is None else report.boot

    async def _report(self, replica):
        """Returns a replica's report, or None without one. Raises ReportRefused."""
        report = None
        with anyio.move_on_after(REPORT_TIMEOUT_S):
            try:
                report = await self._read_report(replica)
            except ReportRefused:
                raise
            except (ConnectFailed, ExchangeFailed):
                return None
        if report is None or report.boot is None:
            return report
        if 0 < replica.entry.boot < report.boot:
            replica.note_process_ended(
                "a later process answers at its address",
                is_restarted=True,
                ask=self.ask,
            )
        return report

    async def ask(self, replica):
        """Returns the ProcessAnswer of what runs at the address of a replica.

        One that has asked for a pause is not asked.
        """
        if replica.pause.is_active:
            return ProcessAnswer.REFUSED
        try:
            report = await self._report(replica)
        except ReportRefused:
            return ProcessAnswer.REFUSED
        if report is None:
            return ProcessAnswer.NONE
        if report.boot in (None, replica.entry.boot):
            return ProcessAnswer.SAME
        if report.request_count == 0:
            return ProcessAnswer.OTHER_IDLE
        return ProcessAnswer.OTHER

    async def _ask_origin(self, origin):
        """Returns the OriginAnswer for a stream that began before.

        A replica that does not answer has ended, perhaps while the stream ran.
        """
        replica = self._listed_origin(origin)
        if replica is None:
            return self._answer_by_entries(origin)
        boot = await self._read_boot(replica)
        if boot == replica.entry.boot:
            return OriginAnswer.SAME
        if boot is None or self._replicas.has_successor(replica, boot):
            return OriginAnswer.UNKNOWN
        # The entry of the process that has answered may not have reached this host.
        if not await self._fresh_reads.read(READ_TIMEOUT_S):
            return OriginAnswer.MAY_DIFFER
        if self._listed_origin(origin) is None:
            return self._answer_by_entries(origin)
        if self._replicas.has_successor(replica, boot):
            return OriginAnswer.UNKNOWN
        return OriginAnswer.MAY_DIFFER

    def _answer_by_entries(self, origin):
        if self._may_listed_differ(origin):
            return OriginAnswer.MAY_DIFFER
        return OriginAnswer.UNKNOWN

    def _may_differ(self, origin, answer):
        """Whether a stream may have begun at another version than its origin says.

        The entry of a later process may have come since the origin was asked.
        """
        if answer is OriginAnswer.UNKNOWN and self._listed_origin(origin) is None:
            answer = self._answer_by_entries(origin)
        return answer is OriginAnswer.MAY_DIFFER

    def _listed_origin(self, origin):
        """Returns the replica that an origin names; None if its process is not listed."""
        replica = self._replicas.by_id.get(origin.replica_id)
        if replica is None or replica.entry.boot != origin.boot:
            return None
        return replica

    def _may_listed_differ(self, origin):
        """Whether another process under an origin's id may differ in version.

        That is the listed one, or the last one that was listed if it is later: the host
        that began the stream may have known an earlier process only.
        """
        replica = self._replicas.by_id.get(origin.replica_id)
        if replica is not None:
            return replica.entry.software_version != origin.version
        entry = self._replicas.left_entry(origin.replica_id)
        if entry is None or entry.boot <= origin.boot:
            return False
        return entry.software_version != origin.version
