"""Exchange of the replicas' loads and event intervals in the hosts' heartbeats.

Every host reports its own requests in progress to the leader. The leader adds them up
and reports the sums to all hosts.
"""

from snipetrestle.coordination.messages import ReplicaLoad

_MICROSECONDS = 1_000_000


class SharedReplicaLoads:
    """Sums the loads at the leader, and takes the sums from the leader's heartbeats."""

    def __init__(self, replicas, hosts, leadership):
        self._replicas = replicas
        self._hosts = hosts
        self._leadership = leadership
        hosts.on_heartbeat(self._on_heartbeat)

    def own_loads(self):
        """Returns the ReplicaLoad caused by this host by replica id."""
        return {
            replica.id: ReplicaLoad(
                replica.in_flight,
                int((replica.own_event_interval_s or 0) * _MICROSECONDS),
                tuple(replica.in_flight_by_adapter),
            )
            for replica in self._replicas.by_id.values()
            if replica.in_flight or replica.own_event_interval_s
        }

    def total_loads(self):
        """Returns the ReplicaLoad caused by all hosts by replica id; for the leader."""
        self._aggregate()
        return {
            replica.id: ReplicaLoad(
                replica.load, int((replica.event_interval_s or 0) * _MICROSECONDS)
            )
            for replica in self._replicas.by_id.values()
            if replica.load or replica.event_interval_s
        }

    def adapters_in_use(self, replica):
        """Returns the adapters with requests in progress at a replica; for the leader.

        Requests of the last half second may be missing.
        """
        used = set(replica.in_flight_by_adapter)
        for host in self._hosts.reachable():
            load = host.heartbeat.loads_by_replica.get(replica.id)
            if load is not None:
                used.update(load.adapters)
        return used

    def _aggregate(self):
        heartbeats = [host.heartbeat for host in self._hosts.reachable()]
        for replica in self._replicas.by_id.values():
            loads = [
                load
                for heartbeat in heartbeats
                if (load := heartbeat.loads_by_replica.get(replica.id)) is not None
            ]
            replica.others_in_flight = sum(load.in_flight for load in loads)
            intervals_us = [
                load.event_interval_us for load in loads if load.event_interval_us
            ]
            if replica.own_event_interval_s:
                intervals_us.append(replica.own_event_interval_s * _MICROSECONDS)
            if intervals_us:
                replica.shared_event_interval_s = (
                    sum(intervals_us) / len(intervals_us) / _MICROSECONDS
                )

    def _on_heartbeat(self, heartbeat):
        if self._leadership.leads:
            self._aggregate()
            return
        if heartbeat.leader != heartbeat.sender.name:
            return
        for replica in self._replicas.by_id.values():
            load = heartbeat.loads_by_replica.get(replica.id)
            if load is None:
                replica.others_in_flight = 0
                continue
            replica.others_in_flight = max(0, load.in_flight - replica.in_flight)
            if load.event_interval_us:
                replica.shared_event_interval_s = load.event_interval_us / _MICROSECONDS
