"""Exchange of the replicas' request limits between the hosts, in their heartbeats.

A host that sends nothing to a replica hears from others that it names a limit, or that
it no longer does. Each host repeats what it heard.
"""

import anyio

from snipetrestle.coordination.messages import MAX_RATE_PER_S, RequestLimitReport

# That a replica named no limit is reported for this long.
REPORT_TIME_S = 3.0
MAX_REPORTED_LIMITS = 128


class SharedRequestLimits:
    """Reports the limits in the directory of replicas, and learns from others."""

    def __init__(self, replicas, hosts):
        self._replicas = replicas
        hosts.on_heartbeat(self._on_heartbeat)

    def reports_by_replica(self):
        """Returns the RequestLimitReports of the next heartbeat by replica id."""
        now = anyio.current_time()
        limits = [
            replica.request_limit
            for replica in self._replicas.by_id.values()
            if replica.request_limit.was_named
        ]
        reported = [
            limit
            for limit in limits
            if limit.is_limited or now - limit.noted_at <= REPORT_TIME_S
        ]
        reported.sort(key=lambda limit: limit.noted_at, reverse=True)
        return {
            limit.replica_id: RequestLimitReport(
                limit.per_s and min(limit.per_s, MAX_RATE_PER_S), now - limit.noted_at
            )
            for limit in reported[:MAX_REPORTED_LIMITS]
        }

    def _on_heartbeat(self, heartbeat):
        now = anyio.current_time()
        for replica_id, report in heartbeat.limits_by_replica.items():
            replica = self._replicas.by_id.get(replica_id)
            if replica is not None:
                replica.request_limit.note(report.per_s, now - report.age_s)
