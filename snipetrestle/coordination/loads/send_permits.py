"""Permits to send to replicas that limit the requests a second from all hosts together.

The leader issues the permits, so that the hosts use the whole limit wherever their
callers are. A host that gets no answer from a leader uses its part of the limits, as
RequestLimits divides them.
"""

import anyio

from snipetrestle.coordination.messaging.datagram_requests import DatagramRequests
from snipetrestle.coordination.messaging.messages import PermitReply, PermitRequest
from snipetrestle.coordination.messaging.report_rounds import fitting
from snipetrestle.limits.rate_pool import RatePool

# Permits that were not used for this long may be used at once later.
BURST_S = 1.0
# Requests that have another replica to go to leave this part of the burst to others.
RESERVED_FRACTION = 0.5
MAX_KNOWN_REPLICAS = 8192
# The replicas in a request for a permit, by id and limit. Later requests name others.
MAX_LIMITS_BYTES = 8192
# Longer waits are not distinguished.
MAX_WAIT_S = 3600.0


class PermitIssuer:
    """Issues the permits of all hosts, from a RatePool for each replica."""

    def __init__(self):
        self._pools_by_replica = {}

    def issue(self, limits_by_replica, max_wait_s, is_optional):
        """Books the earliest request to one of several replicas.

        Returns (replica id, time to wait in s). The id is None, and nothing is booked,
        if the wait would be longer than ``max_wait_s``.
        """
        wait_s, replica_id = min(
            (self._wait_s(item, per_s, is_optional), item)
            for item, per_s in limits_by_replica.items()
        )
        if wait_s > max_wait_s:
            return None, wait_s
        self._pools_by_replica[replica_id].take(1.0)
        return replica_id, wait_s

    def _wait_s(self, replica_id, per_s, is_optional):
        pool = self._pool(replica_id, per_s)
        reserved = RESERVED_FRACTION * (pool.burst - 1.0) if is_optional else 0.0
        return pool.wait_s(1.0, reserved)

    def _pool(self, replica_id, per_s):
        burst = max(1.0, BURST_S * per_s)
        pool = self._pools_by_replica.get(replica_id)
        if pool is None:
            if len(self._pools_by_replica) >= MAX_KNOWN_REPLICAS:
                self._pools_by_replica.clear()
            # What the replica got until now is unknown, so only one may be sent.
            pool = self._pools_by_replica[replica_id] = RatePool(per_s, burst, 1.0)
        elif (pool.rate_per_s, pool.burst) != (per_s, burst):
            pool.set_limit(per_s, burst)
        return pool


class SendPermits:
    """Gets permits for this host, from the leader or from this host's own part.

    ``request_limits`` is the RequestLimits that divides them.
    """

    def __init__(self, leadership, endpoint, own_name, request_limits):
        self._leadership = leadership
        self._endpoint = endpoint
        self._own_name = own_name
        self._request_limits = request_limits
        self._issuer = PermitIssuer()
        # The number of replicas named so far, from which the next request goes on.
        self._named_count = 0
        self._requests = DatagramRequests(endpoint, PermitReply)
        # When the leader may permit an optional request again, by replica id.
        self._denied_until_by_id = {}
        endpoint.register(PermitRequest, self._on_request)
        leadership.on_change(self._on_leader_change)

    def _on_leader_change(self):
        self._issuer = PermitIssuer()
        self._denied_until_by_id.clear()

    def may_be_spare(self, replica):
        """Whether an optional request to a replica is worth asking for."""
        if not replica.request_limit.is_limited:
            return True
        denied_until = self._denied_until_by_id.get(replica.id, 0.0)
        return denied_until <= anyio.current_time()

    async def acquire(self, replicas, max_wait_s, is_optional=False):
        """Returns (one of the limited replicas, time to wait in s before sending).

        The replica is None if none may be sent to within ``max_wait_s``; the time is
        then that until one may be. An optional request could go elsewhere.
        """
        by_id = {replica.id: replica for replica in replicas}
        limits = {item.id: item.request_limit.per_s for item in replicas}
        if not self._leadership.leads:
            limits = self._next_limits(limits)
        reply = await self._ask_leader(limits, max_wait_s, is_optional)
        if reply is None:
            return self._take_own_part(replicas, max_wait_s)
        replica_id, wait_s = reply
        if replica_id is None and is_optional:
            self._note_denied(limits, wait_s)
        return by_id.get(replica_id), wait_s

    def _note_denied(self, replica_ids, wait_s):
        if len(self._denied_until_by_id) >= MAX_KNOWN_REPLICAS:
            self._denied_until_by_id.clear()
        until = anyio.current_time() + wait_s
        self._denied_until_by_id.update((item, until) for item in replica_ids)

    def _take_own_part(self, replicas, max_wait_s):
        limits = self._request_limits
        wait_s, _, replica = min(
            (limits.wait_s(item.request_limit), item.id, item) for item in replicas
        )
        if wait_s > max_wait_s:
            return None, wait_s
        limits.take(replica.request_limit)
        return replica, wait_s

    async def _ask_leader(self, limits, max_wait_s, is_optional):
        """Returns (replica id or None, time to wait in s); None without an answer."""
        if self._leadership.leads:
            return self._issue(limits, max_wait_s, is_optional)
        address = self._leadership.leader_address()
        if address is None or not self._leadership.has_recent_leader:
            return None

        def build_request(number, is_first):
            return PermitRequest(
                self._own_name, number, limits, max_wait_s, is_optional
            )

        reply = await self._requests.ask(build_request, address)
        return None if reply is None else (reply.replica_id, reply.wait_s)

    def _next_limits(self, limits_by_replica):
        """Returns the limits that fit in a request, in turns if they are many."""
        items = list(limits_by_replica.items())
        start = self._named_count % len(items)
        chosen = fitting(items[start:] + items[:start], MAX_LIMITS_BYTES)
        self._named_count += len(chosen)
        return dict(chosen)

    def _issue(self, limits_by_replica, max_wait_s, is_optional):
        fraction = self._request_limits.issued_fraction()
        issued = {item: fraction * per_s for item, per_s in limits_by_replica.items()}
        return self._issuer.issue(issued, max_wait_s, is_optional)

    def _on_request(self, message, address):
        if self._leadership.leads and message.limits_by_replica:
            replica_id, wait_s = self._issue(
                message.limits_by_replica, message.max_wait_s, message.is_optional
            )
            self._endpoint.send(
                PermitReply(message.number, replica_id, min(wait_s, MAX_WAIT_S)),
                address,
            )
