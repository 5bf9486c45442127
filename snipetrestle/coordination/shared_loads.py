"""What the hosts tell each other about the load and pace of replicas, in their beats."""

from snipetrestle.coordination.messages import ReplicaLoad

_MICROSECONDS = 1_000_000


class SharedLoads:
    """Sums the loads at the leader, and takes the sums from the leader's beats."""

    def __init__(self, replicas, hosts, leadership):
        self._replicas = replicas
        self._hosts = hosts
        self._leadership = leadership
        hosts.on_beat(self._on_beat)

    def own(self):
        """Returns the ReplicaLoad of this host by replica id."""
        return {
            replica.id: ReplicaLoad(
                replica.in_flight,
                int((replica.own_event_interval_s or 0) * _MICROSECONDS),
                tuple(replica.in_flight_by_adapter),
            )
            for replica in self._replicas.by_id.values()
            if replica.in_flight or replica.own_event_interval_s
        }

    def of_all(self):
        """Returns the ReplicaLoad of all hosts by replica id; for the leader."""
        self._sum()
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
            load = host.beat.loads_by_replica.get(replica.id)
            if load is not None:
                used.update(load.adapters)
        return used

    def _sum(self):
        beats = [host.beat for host in self._hosts.reachable()]
        for replica in self._replicas.by_id.values():
            loads = [
                load
                for beat in beats
                if (load := beat.loads_by_replica.get(replica.id)) is not None
            ]
            replica.others_in_flight = sum(load.in_flight for load in loads)
            paces = [load.pace_us for load in loads if load.pace_us]
            if replica.own_event_interval_s:
                paces.append(replica.own_event_interval_s * _MICROSECONDS)
            if paces:
                replica.shared_event_interval_s = (
                    sum(paces) / len(paces) / _MICROSECONDS
                )

    def _on_beat(self, beat):
        if self._leadership.leads:
            self._sum()
            return
        if beat.leader != beat.sender.name:
            return
        for replica in self._replicas.by_id.values():
            load = beat.loads_by_replica.get(replica.id)
            if load is None:
                replica.others_in_flight = 0
                continue
            replica.others_in_flight = max(0, load.in_flight - replica.in_flight)
            if load.pace_us:
                replica.shared_event_interval_s = load.pace_us / _MICROSECONDS
