"""Refuses requests that would crash a replica, and notes those that may have done so."""

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.job import Refused

# Retry-After for requests that crash replicas, which stay refused for minutes.
QUARANTINE_RETRY_AFTER_S = 30.0
# Time in which a replica that crashed closes all of its connections.
CRASH_CHECK_DELAY_S = 0.02


class CrashCheck:
    """Asks the CrashQuarantine about requests before and after they are sent."""

    def __init__(self, gateway):
        self._quarantine = gateway.crash_quarantine
        self._leadership = gateway.leadership
        self._metrics = gateway.metrics
        self._lost_request_log = gateway.lost_request_log

    def check(self, job):
        """Raises Refused if replicas crash on requests like this one."""
        if job.is_quarantine_trial or job.first_event_at is not None:
            return
        if not self._quarantine.refuses(job):
            return
        self._quarantine.note_requested(job)
        if self._leadership.leads and self._quarantine.starts_trial(job):
            job.is_quarantine_trial = True
            return
        code = ResultCode.REQUEST_QUARANTINED
        if job.may_have_run:
            code = job.unknown_outcome_code
        raise Refused(
            code,
            QUARANTINE_RETRY_AFTER_S,
            fingerprint=job.fingerprint,
            prompt_parts=job.metadata.shared_prompt_parts,
        )

    async def note_closed_by_replica(self, job, replica):
        """Records that a replica may have crashed on a request.

        Raises Refused if that is likely, so that no other replica crashes on it.
        """
        if job.first_event_at is not None:
            return
        # A crash closes all connections at the same time.
        await anyio.sleep(CRASH_CHECK_DELAY_S)
        if replica.pool.has_open_connection:
            return
        self._quarantine.note_lost(replica.process_id, job)
        if job.route.kind is RequestKind.STREAM:
            self._metrics.count_stream_lost_before_event(job.route.name)
        self._lost_request_log.log(
            Event.REQUEST_LOST_BEFORE_ANSWER,
            request=job.request_id,
            fingerprint=job.fingerprint,
            route=job.route.name,
            replica=replica.id,
            boot=replica.entry.boot,
            attempt=job.send_count,
            prompt_parts=job.metadata.shared_prompt_parts,
        )
        if self._quarantine.forbids_retry(job):
            raise Refused(
                job.unknown_outcome_code, reason="replicas crash on requests like this"
            )
