"""Exchange of the replicas' request limits between the hosts, beside their heartbeats.

A host that sends nothing to a replica hears from others that it names a limit, or that
it no longer does. Each host repeats what it heard. Limits have their own datagrams,
one in each round of heartbeats; what does not fit comes in later rounds.
"""

import anyio

from snipetrestle.coordination.messaging.messages import (
    MAX_RATE_PER_S,
    RequestLimitReport,
    RequestLimitReports,
)
from snipetrestle.coordination.messaging.report_rounds import ReportRounds

# That a replica named no limit is reported for this long, if one round has room for all
# reports, and for as many times longer as they need rounds.
REPORT_TIME_S = 3.0
MAX_ROUND_BYTES = 8192


class SharedRequestLimits:
    """Reports the limits in the directory of replicas, and learns from others."""

    def __init__(self, replicas, hosts, endpoint):
        self._replicas = replicas
        self._endpoint = endpoint
        self._rounds = ReportRounds(MAX_ROUND_BYTES)
        self._report_time_s = REPORT_TIME_S
        hosts.on_round(self._send_round)
        endpoint.register(RequestLimitReports, self._on_reports)

    def _send_round(self, addresses):
        """Sends limits after the heartbeats of a round, which went to ``addresses``."""
        reports_by_replica = self._reports_by_replica()
        if not reports_by_replica or not addresses:
            return
        reports = self._rounds.choose(reports_by_replica)
        rounds = len(reports_by_replica) / len(reports)
        self._report_time_s = rounds * REPORT_TIME_S
        self._endpoint.send_all(RequestLimitReports(reports), addresses)

    def _reports_by_replica(self):
        now = anyio.current_time()
        limits = [
            replica.request_limit
            for replica in self._replicas.by_id.values()
            if replica.request_limit.was_named
        ]
        return {
            limit.replica_id: RequestLimitReport(
                limit.replica_id,
                limit.per_s and min(limit.per_s, MAX_RATE_PER_S),
                now - limit.noted_at,
            )
            for limit in limits
            if limit.is_limited or now - limit.noted_at <= self._report_time_s
        }

    def _on_reports(self, message, address):
        now = anyio.current_time()
        for report in message.reports:
            replica = self._replicas.by_id.get(report.replica_id)
            if replica is not None:
                replica.request_limit.note(report.per_s, now - report.age_s)
