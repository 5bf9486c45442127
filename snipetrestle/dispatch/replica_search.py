"""Finds the replicas of requests: any of a backend, or one that holds an adapter.

A "place" of an adapter is a replica that holds it or is about to have loaded it.
"""

import anyio

from snipetrestle.codes import ResultCode
from snipetrestle.dispatch.replica_choice import (
    MAX_PAUSE_RETRY_AFTER_S,
    ReplicaChooser,
)
from snipetrestle.gateway.job import Refused

# Reason of refusals, for the log.
NO_REPLICA_OF_VERSION = "no replica of the version that began the stream is ready"
# A stream goes back to a replica that failed it if there is no other of its version,
# unless more of its attempts than this may have run.
MAX_RETURNS = 4
# Retry-After of refused requests.
RETRY_AFTER_S = 0.5
# Pause before the leader is asked again about an adapter without a place to use.
NO_PLACE_PAUSE_S = 0.06
# Bounds the ids of suspected replicas in a question to the leader.
MAX_NAMED_SUSPECTED = 32
# How long a stream that its caller already reads waits while no replica that can go on
# with it takes requests: about as long as the pauses of one that replicas refuse take
# together. It checks this often whether one of them is ready again.
MAX_ABSENCE_WAIT_S = 3.0
ABSENCE_CHECK_PAUSE_S = 0.1
# How long a stream waits for a place, with and without a known leader, as a multiple of
# its route's target latency.
PLACE_WAIT_LATENCIES = 1.5
LEADERLESS_WAIT_LATENCIES = 1.0
# The same for a stream that is taken up, also without a known leader: an election takes
# 0.5 to 2 s. Its caller would have to come back, and few replicas may go on with it.
TAKE_UP_WAIT_LATENCIES = 3.0


class ReplicaSearch:
    """Finds the replica for each attempt of a request."""

    def __init__(self, gateway):
        self._state = gateway.state
        self._replicas = gateway.replicas
        self._locator = gateway.locator
        self._chooser = ReplicaChooser(
            gateway.replicas,
            gateway.send_permits,
            gateway.dispatch_permits,
            gateway.hosts,
        )

    async def choose_replica(self, job):
        """Returns a replica, if possible one that the request was not sent to."""
        await self._chooser.wait_out_pauses(job)
        await self._wait_out_absence(job)
        self._check_origin(job)
        candidates = [
            item
            for item in self._replicas.ready_replicas(job.backend.name)
            if job.may_be_sent_to(item)
        ]
        untried = [item for item in candidates if item.id not in job.sent_to]
        replica = await self._chooser.choose_permitted(job, untried or candidates)
        if replica is None:
            preferred = self._chooser.preferred(job, untried)
            replica = await self._chooser.choose(job, preferred)
        if replica is None:
            replica = await self._chooser.choose(job, candidates)
        if replica is None:
            if candidates:
                self._chooser.refuse_if_all_limited(job)
            raise self.unavailable_refusal(job, "no replica is ready")
        return replica

    def note_turned_away(self, job):
        """Records that a replica was too full for a request."""
        self._chooser.note_turned_away(job)

    async def _wait_out_absence(self, job):
        """Waits for a while if no replica that can go on with a begun stream is ready.

        A drain may be withdrawn, an expired entry be renewed, and a replica restart at
        the same version. The alternative is to abort the stream.
        """
        latest = min(anyio.current_time() + MAX_ABSENCE_WAIT_S, job.latest_send_at)
        while self._must_wait_for_replica(job):
            left_s = latest - anyio.current_time()
            if left_s <= 0:
                return
            await anyio.sleep(min(ABSENCE_CHECK_PAUSE_S, left_s))

    def _must_wait_for_replica(self, job):
        if not job.streaming or not job.has_attempts_left:
            return False
        origin = job.origin
        if origin is None or not origin.version:
            return False
        ready = self._replicas.ready_replicas(job.backend.name)
        if any(job.may_be_sent_to(item) for item in ready):
            return False
        listed = self._replicas.listed_replicas(job.backend.name)
        is_listed = any(job.may_be_sent_to(item) for item in listed)
        return is_listed or not self._replicas.has_announced_leaving(origin.process_id)

    def _check_origin(self, job):
        """Raises Refused if no replica can go on with a stream that has begun.

        The caller of a stream that is taken up can come back; one that reads the stream
        has waited for MAX_ABSENCE_WAIT_S.
        """
        if job.origin is None:
            return
        replicas = self._chooser.replicas_for(job)
        if any(item.id not in self._failed_ids(job) for item in replicas):
            return
        if replicas and len(job.may_have_run_on) <= MAX_RETURNS:
            return
        if job.may_have_run:
            raise Refused(job.unknown_outcome_code, reason=NO_REPLICA_OF_VERSION)
        raise Refused(ResultCode.STREAM_NOT_RESUMABLE, reason=NO_REPLICA_OF_VERSION)

    def unavailable_refusal(self, job, reason):
        if job.may_have_run:
            return Refused(job.unknown_outcome_code, reason=reason)
        return Refused(ResultCode.NO_REPLICA, RETRY_AFTER_S, reason=reason)

    def retry_after_s(self, job):
        """Returns the Retry-After of a request that replicas have refused.

        While all replicas pause, an earlier repetition would be refused as well.
        """
        pause_s = min(self._chooser.shortest_pause_s(job), MAX_PAUSE_RETRY_AFTER_S)
        return max(RETRY_AFTER_S, pause_s)

    async def find_stream_replica(self, job):
        """Returns the replica for a stream, once it holds the adapter.

        ``places`` maps the ids of replicas to the times from which they hold it.
        """
        key = job.metadata.adapter
        if key is None or not key.adapter:
            return await self.choose_replica(job)
        started_at = self._search_started_at(job)
        job.version = self._state.versions_by_adapter.get(key)
        places = self._locator.cached_locations(key)
        unused_ids = []
        must_pause = False
        while True:
            await self._chooser.wait_out_pauses(job)
            await self._wait_out_absence(job)
            self._check_origin(job)
            holders = self._holders(job, places)
            ready = [
                item for item in holders if places[item.id] <= anyio.current_time()
            ]
            preferred = self._chooser.preferred(job, ready or holders)
            replica = await self._chooser.choose(job, preferred)
            if replica is not None and replica.id not in places:
                # Another request found meanwhile that the replica lacks the adapter.
                continue
            if replica is not None:
                ready_in_s = places[replica.id] - anyio.current_time()
                if ready_in_s > 0:
                    await anyio.sleep(ready_in_s)
                if not replica.is_available:
                    continue
                return replica
            if anyio.current_time() > self._place_wait_deadline(job, started_at):
                raise self._no_place_refusal(job)
            if holders:
                self._chooser.refuse_if_all_limited(job)
            if must_pause:
                # A place of the last answer may be usable again after the pause.
                await anyio.sleep(NO_PLACE_PAUSE_S)
                must_pause = False
                continue
            unused_ids = self._unused_places(job, places, holders, unused_ids)
            limited_ids = [
                *unused_ids,
                *self._chooser.paused_ids(job),
                *self._suspected_ids(job),
            ]
            places = await self._locator.look_up(
                key,
                self._replicas_to_avoid(job),
                limited_ids,
                _required_version(job),
            )
            must_pause = True

    async def look_up_other_place(self, job):
        """Has the adapter of a begun stream loaded elsewhere if no other replica has it.

        Its replica may be about to count as silent. The place is in the cache then. One
        at a replica that is suspected already would be of no use.
        """
        key = job.metadata.adapter
        if key is not None and key.adapter:
            silent_ids = [item.replica.id for item in job.open_exchanges]
            left_out = dict.fromkeys([*silent_ids, *self._suspected_ids(job)])
            await self._locator.look_up(key, (), [*left_out], _required_version(job))

    @staticmethod
    def _search_started_at(job):
        """Returns when the search for a place of a job's adapter counts as begun.

        Earlier attempts count unless the request may have run. The search for the origin
        of a taken-up stream takes up to 2 s, and does not count.
        """
        if job.may_have_run:
            return anyio.current_time()
        if job.take_up is None:
            return job.request.received_at
        if job.place_search_at is None:
            job.place_search_at = anyio.current_time()
        return job.place_search_at

    def _unused_places(self, job, places, holders, earlier_ids):
        """Returns the ids of the places that a request cannot be sent to now.

        The leader would name a place again that a begun stream cannot go on at, for a
        reason that only this host knows. So those of earlier answers, ``earlier_ids``,
        stay among them while the stream may not go on there. Not those that lack a free
        connection: the leader would load the adapter at one after the other. Suspected
        places are told apart from these.
        """
        if job.origin is None:
            return [item.id for item in holders]
        now = anyio.current_time()
        by_id = self._replicas.by_id
        barred_ids = [
            item
            for item in earlier_ids
            if item not in places
            and (item not in by_id or not job.may_be_sent_to(by_id[item]))
        ]
        return [
            item
            for item in (*places, *barred_ids)
            if item not in by_id or by_id[item].suspected_until <= now
        ]

    def _suspected_ids(self, job):
        """Returns the suspected replicas instead of which a begun stream needs another.

        A place at one of them is of no use for up to 4 s. While all are suspected, the
        leader could only load the adapter at one of them after the other.
        """
        if job.origin is None:
            return []
        now = anyio.current_time()
        replicas = [item for item in self._chooser.replicas_for(job) if item.is_willing]
        suspected = [item.id for item in replicas if item.suspected_until > now]
        if len(suspected) == len(replicas):
            return []
        return suspected[:MAX_NAMED_SUSPECTED]

    def _place_wait_deadline(self, job, started_at):
        """Returns the time until which a search for a place that has begun goes on.

        Callers give up a stream after a few times its target latency. Without a leader
        no adapter is loaded, so it is better to tell the caller early when to retry.
        """
        if job.streaming:
            return job.deadline_at
        max_wait_s = self._place_wait_latencies(job) * job.route.target_latency_s
        return min(started_at + max_wait_s, job.refusal_due_at)

    def _place_wait_latencies(self, job):
        if job.take_up is not None:
            return TAKE_UP_WAIT_LATENCIES
        if not self._locator.has_leader:
            return LEADERLESS_WAIT_LATENCIES
        return PLACE_WAIT_LATENCIES

    def _no_place_refusal(self, job):
        if job.may_have_run:
            return Refused(job.unknown_outcome_code, reason="no place for the adapter")
        return Refused(
            ResultCode.LOAD_FAILED, RETRY_AFTER_S, reason="no place for the adapter"
        )

    def _replicas_to_avoid(self, job):
        """Returns the replicas that failed this request or lacked its adapter twice."""
        repeatedly_missing = {
            item
            for item in job.adapter_missing_on
            if job.adapter_missing_on.count(item) > 1
        }
        failed = self._failed_ids(job)
        if job.origin is not None:
            others = [item.id for item in self._chooser.replicas_for(job)]
            failed = [] if set(others) <= set(failed) else failed
        return [*failed, *repeatedly_missing]

    @staticmethod
    def _failed_ids(job):
        return [item for item in job.may_have_run_on if item not in job.dropped_on]

    def _holders(self, job, places):
        """Returns the replicas that hold the adapter or will hold it."""
        now = anyio.current_time()
        excluded = self._replicas_to_avoid(job)
        by_id = self._replicas.by_id
        return [
            replica
            for replica_id in places
            if replica_id not in excluded
            and (replica := by_id.get(replica_id)) is not None
            and job.may_be_sent_to(replica)
            and replica.is_available
            and replica.suspected_until <= now
            and replica.entry.backend == job.backend.name
        ]


def _required_version(job):
    """Returns the software version that a job's replica must run; "" for any."""
    return "" if job.origin is None else job.origin.version
