"""Chooses the replica of a request, within what replicas ask of their senders.

Some name a limit of requests a second, and some ask for a pause. Replicas of crowded
backends get requests with permits of the hosts that own their groups.
"""

import math

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.dispatch.permits import NoRoom, Wanted
from snipetrestle.dispatch.version_choice import prefer_staying
from snipetrestle.gateway.configuration import RequestKind
from snipetrestle.gateway.job import Refused

# How long a request waits until its host may send to a replica with a request limit, as
# a multiple of its route's target latency.
LIMIT_WAIT_LATENCIES = 0.7
# The longest Retry-After while all replicas are at their request limits.
MAX_LIMIT_RETRY_AFTER_S = 2.0
# How long a request waits until a replica's pause ends if all replicas pause, as a
# multiple of its route's target latency, and how long one does that may have run, which
# cannot be refused as not run.
PAUSE_WAIT_LATENCIES = 0.7
RETRY_PAUSE_WAIT_S = 1.5
# The longest Retry-After while all replicas pause. Restarted and added replicas may
# serve before the pauses end.
MAX_PAUSE_RETRY_AFTER_S = 10.0
# How long a request waits for a permit, as a multiple of its route's target latency: a
# later answer is of little use to most callers.
PERMIT_WAIT_LATENCIES = 2.0
# The longest Retry-After of requests without a permit: others may give up earlier.
MAX_PERMIT_RETRY_AFTER_S = 2.0
# Bounds the ids of paused replicas in a question to the leader.
MAX_NAMED_PAUSED = 32


class ReplicaChooser:
    """Chooses among replicas by their scores and request limits.

    ``replicas`` is the ReplicaDirectory, ``send_permits`` the SendPermits and
    ``dispatch_permits`` the DispatchPermits. ``hosts`` tells how many hosts send to the
    same replicas.
    """

    def __init__(self, replicas, send_permits, dispatch_permits, hosts):
        self._replicas = replicas
        self._send_permits = send_permits
        self._dispatch_permits = dispatch_permits
        self._hosts = hosts

    async def choose(self, job, candidates):
        """Returns a replica once the request may be sent to it.

        Returns None if there is none that it may be sent to soon.
        """
        candidates = [item for item in candidates if item.is_available]
        unlimited = [item for item in candidates if not item.request_limit.is_limited]
        if not unlimited:
            return await self._choose_limited(job, candidates)
        spare = [item for item in candidates if self._send_permits.may_be_spare(item)]
        replica = self._choose_best(spare)
        if not replica.request_limit.is_limited:
            return replica
        permitted, _ = await self._send_permits.acquire([replica], 0.0, True)
        return permitted or self._choose_best(unlimited)

    def preferred(self, job, candidates):
        """Returns the candidates that a job should be sent to if possible.

        A stream that may be taken up should begin at a version that stays.
        """
        backend = job.backend.name
        if not self._replicas.mixes_versions(backend) or not _may_be_taken_up(job):
            return candidates
        return prefer_staying(
            candidates,
            self._replicas.listed_replicas(backend),
            self._replicas.versions_left(backend),
            anyio.current_time(),
        )

    async def choose_permitted(self, job, candidates):
        """Returns a replica that has room for the request, and gives the job its permit.

        Returns None if the request needs no permit, or nobody can tell. Raises Refused
        if no replica will have room in time.
        """
        backend = job.backend
        if backend.serves_models or not self._dispatch_permits.must_ask(backend.name):
            return None
        available = [item for item in candidates if item.is_available]
        unlimited = [item for item in available if not item.request_limit.is_limited]
        now = anyio.current_time()
        sound = [item for item in unlimited if item.suspected_until <= now]
        allowed = {item.id: item for item in sound or unlimited}
        if not allowed:
            return None
        try:
            permit = await self._dispatch_permits.acquire(_wanted(job, allowed.keys()))
        except NoRoom as error:
            if job.may_have_run or len(unlimited) < len(available):
                return None
            raise Refused(
                ResultCode.QUEUE_FULL,
                min(error.wait_s, MAX_PERMIT_RETRY_AFTER_S),
                reason="no replica has room in time",
            ) from None
        if permit is None:
            return None
        replica = allowed.get(permit.replica_id)
        if replica is None or not replica.is_available:
            permit.end()
            return None
        job.hold_permit(permit)
        return replica

    def note_turned_away(self, job):
        """Records that a replica was too full for a request."""
        if not job.backend.serves_models:
            self._dispatch_permits.note_turned_away(job.backend.name)

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
            if not replica.is_available:
                return None
        return replica

    def replicas_for(self, job):
        """Returns the replicas of the backend that may take a request, now or later."""
        replicas = self._replicas.ready_replicas(job.backend.name)
        if job.origin is None:
            return replicas
        return [item for item in replicas if job.may_go_on_at(item)]

    def shortest_pause_s(self, job):
        """Returns the time until a replica for a request is not paused."""
        shortest_s = math.inf
        for replica in self.replicas_for(job):
            left_s = replica.pause.left_s()
            if left_s == 0.0:
                return 0.0
            shortest_s = min(shortest_s, left_s)
        return 0.0 if shortest_s == math.inf else shortest_s

    def paused_ids(self, job):
        """Returns the ids of the paused replicas for a request, some if they are many."""
        paused = [item.id for item in self.replicas_for(job) if item.pause.is_active]
        return paused[:MAX_NAMED_PAUSED]

    async def wait_out_pauses(self, job):
        """Waits while all replicas for a request pause.

        Raises Refused if that takes too long for the request.
        """
        now = anyio.current_time()
        latest = job.request.received_at + (
            PAUSE_WAIT_LATENCIES * job.route.target_latency_s
        )
        if job.may_have_run:
            latest = now + RETRY_PAUSE_WAIT_S
        latest = min(latest, job.scope.deadline)
        while (wait_s := self.shortest_pause_s(job)) > 0:
            if anyio.current_time() + wait_s > latest:
                raise self._pause_refusal(job, wait_s)
            await anyio.sleep(wait_s)

    @staticmethod
    def _pause_refusal(job, wait_s):
        reason = "all replicas have asked for a pause"
        if job.may_have_run:
            return Refused(job.unknown_outcome_code, reason=reason)
        retry_after_s = min(wait_s, MAX_PAUSE_RETRY_AFTER_S)
        return Refused(ResultCode.QUEUE_FULL, retry_after_s, reason=reason)

    def refuse_if_all_limited(self, job):
        """Raises Refused if all replicas for a request name limits.

        Called when the request may not be sent to some of them soon.
        """
        replicas = [item for item in self.replicas_for(job) if item.is_available]
        if not replicas or not all(item.request_limit.is_limited for item in replicas):
            return
        reason = "all replicas are at their request limits"
        if job.may_have_run:
            raise Refused(job.unknown_outcome_code, reason=reason)
        raise Refused(
            ResultCode.QUEUE_FULL,
            min(job.limit_wait_s, MAX_LIMIT_RETRY_AFTER_S),
            reason=reason,
        )


def _may_be_taken_up(job):
    """Whether a job is for a stream that has not begun, and may be resumed then."""
    return (
        job.route.kind is RequestKind.STREAM
        and job.route.resumable
        and not job.streaming
        and job.last_event_id is None
    )


def _wanted(job, allowed_ids):
    """Returns what a job asks the owner of a group for."""
    now = anyio.current_time()
    latest = job.request.received_at + (
        PERMIT_WAIT_LATENCIES * job.route.target_latency_s
    )
    return Wanted(
        job.backend.name,
        job.priority,
        max(0.0, min(latest, job.refusal_due_at) - now),
        max(0.0, job.refusal_due_at - now),
        allowed_ids,
    )
