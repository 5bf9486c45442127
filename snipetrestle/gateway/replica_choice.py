"""Chooses the replica of a request, within the request limits that replicas name."""

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.job import Refused

# How long a request waits until its host may send to a replica with a request limit, as
# a multiple of its route's target latency.
LIMIT_WAIT_LATENCIES = 0.7
# The longest Retry-After while all replicas are at their request limits.
MAX_LIMIT_RETRY_AFTER_S = 2.0


class ReplicaChooser:
    """Chooses among replicas by their scores and request limits.

    ``replicas`` is the ReplicaDirectory and ``send_permits`` the SendPermits. ``hosts``
    tells how many hosts send to the same replicas.
    """

    def __init__(self, replicas, send_permits, hosts):
        self._replicas = replicas
        self._send_permits = send_permits
        self._hosts = hosts

    async def choose(self, job, candidates):
        """Returns a replica once the request may be sent to it.

        Returns None if there is none that it may be sent to soon.
        """
        unlimited = [item for item in candidates if not item.request_limit.is_limited]
        if not unlimited:
            return await self._choose_limited(job, candidates)
        spare = [item for item in candidates if self._send_permits.may_be_spare(item)]
        replica = self._choose_best(spare)
        if not replica.request_limit.is_limited:
            return replica
        permitted, _ = await self._send_permits.acquire([replica], 0.0, True)
        return permitted or self._choose_best(unlimited)

    def _choose_best(self, candidates):
        return self._replicas.choose(candidates, self._hosts.max_known)

    async def _choose_limited(self, job, candidates):
        if not candidates:
            return None
        max_wait_s = LIMIT_WAIT_LATENCIES * job.route.target_latency_s
        replica, wait_s = await self._send_permits.acquire(candidates, max_wait_s)
        job.limit_wait_s = wait_s
        if replica is not None and wait_s > 0:
            await anyio.sleep(wait_s)
            if not replica.takes_requests:
                return None
        return replica

    def refuse_if_all_limited(self, job):
        """Raises Refused if all replicas of the backend name limits.

        Called when the request may not be sent to some of them soon.
        """
        replicas = self._replicas.ready_replicas(job.backend.name)
        if not all(item.request_limit.is_limited for item in replicas):
            return
        reason = "all replicas are at their request limits"
        if job.may_have_run:
            raise Refused(job.unknown_outcome_code, reason=reason)
        raise Refused(
            ResultCode.QUEUE_FULL,
            min(job.limit_wait_s, MAX_LIMIT_RETRY_AFTER_S),
            reason=reason,
        )
