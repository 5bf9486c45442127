"""Exchange of the replicas' loads and event intervals between the hosts.

Every host reports its own requests in progress to the leader. The leader adds them up
and reports the sums to all hosts: in its heartbeats, or among many hosts together with
the locations of adapters, so that a host gets only what it chooses from.
"""

import collections

from snipetrestle.coordination.messages import MAX_COUNT, ReplicaLoad
from snipetrestle.gateway.configuration import MAX_NAME_LENGTH

_MICROSECONDS = 1_000_000
# Among many hosts, a leader's heartbeat contains only replicas that run at least this
# part of the requests that they can run at once, and no more than this many.
MIN_REPORTED_UTILIZATION = 0.5
MAX_REPORTED_REPLICAS = 64


class _ReplicaTotal:
    """What all other hosts report about one replica."""

    __slots__ = ("in_flight", "requests_by_adapter", "interval_us_by_host")

    def __init__(self):
        self.in_flight = 0
        # The number of hosts that have requests in progress for an adapter.
        self.requests_by_adapter = collections.Counter()
        self.interval_us_by_host = {}

    @property
    def mean_interval_us(self):
        intervals_us = self.interval_us_by_host.values()
        return sum(intervals_us) / len(intervals_us) if intervals_us else 0


class LoadTotals:
    """Sums of the loads that hosts report; a report replaces the host's last one.

    Sums are kept up to date by the differences, since adding up all replicas over all
    hosts at each heartbeat would take more than a core from 100 hosts on.
    """

    def __init__(self):
        self.loads_by_host = {}
        self._by_replica = {}

    def replace(self, host_name, loads_by_replica):
        """Replaces the loads of a host. Returns the ids of the replicas concerned."""
        previous = self.loads_by_host.get(host_name, {})
        for replica_id, load in previous.items():
            self._add(replica_id, load, -1)
        self.loads_by_host[host_name] = loads_by_replica
        for replica_id, load in loads_by_replica.items():
            self._add(replica_id, load, 1)
            if load.event_interval_us:
                total = self._by_replica[replica_id]
                total.interval_us_by_host[host_name] = load.event_interval_us
        return previous.keys() | loads_by_replica.keys()

    def remove(self, host_name):
        """Removes the loads of a host. Returns the ids of the replicas concerned."""
        replica_ids = self.replace(host_name, {})
        del self.loads_by_host[host_name]
        for total in self._by_replica.values():
            total.interval_us_by_host.pop(host_name, None)
        return replica_ids

    def _add(self, replica_id, load, sign):
        total = self._by_replica.get(replica_id)
        if total is None:
            total = self._by_replica[replica_id] = _ReplicaTotal()
        total.in_flight += sign * load.in_flight
        for key in load.adapters:
            total.requests_by_adapter[key] += sign
            if not total.requests_by_adapter[key]:
                del total.requests_by_adapter[key]

    def drop_replicas(self, kept_ids):
        """Drops the sums of replicas that are gone and have no requests left."""
        for replica_id in self._by_replica.keys() - kept_ids:
            if not self._by_replica[replica_id].in_flight:
                del self._by_replica[replica_id]

    def in_flight(self, replica_id):
        total = self._by_replica.get(replica_id)
        return 0 if total is None else total.in_flight

    def adapters(self, replica_id):
        total = self._by_replica.get(replica_id)
        return () if total is None else total.requests_by_adapter.keys()

    def mean_interval_us(self, replica_id):
        total = self._by_replica.get(replica_id)
        return 0 if total is None else total.mean_interval_us


def _is_sendable(key):
    """Whether hosts may be told of an adapter, whose name is that of a request."""
    return max(len(key.model), len(key.adapter)) <= MAX_NAME_LENGTH


def _sendable_interval_us(interval_s):
    """Returns an event interval within the bounds of a heartbeat; 0 for None."""
    return min(int((interval_s or 0) * _MICROSECONDS), MAX_COUNT)


class SharedReplicaLoads:
    """Sums the loads at the leader, and takes the sums from the leader's messages."""

    def __init__(self, replicas, hosts, leadership):
        self._replicas = replicas
        self._hosts = hosts
        self._leadership = leadership
        self._totals = LoadTotals()
        hosts.on_heartbeat(self._on_heartbeat)
        leadership.on_change(self._on_leader_change)

    def own_loads(self):
        """Returns the ReplicaLoad caused by this host by replica id."""
        return {
            replica.id: ReplicaLoad(
                replica.in_flight,
                _sendable_interval_us(replica.own_event_interval_s),
                tuple(filter(_is_sendable, replica.in_flight_by_adapter)),
            )
            for replica in self._replicas.by_id.values()
            if replica.in_flight
        }

    def total_loads(self):
        """Returns the ReplicaLoad of all hosts by replica id; for the leader.

        Among many hosts, those of replicas with models are left out, since they come
        with the locations of adapters, and so are all but the busiest others.
        """
        self._remove_silent_hosts()
        replicas = self._replicas.by_id.values()
        if self._hosts.is_large:
            replicas = self._busiest_without_models()
        return {
            replica.id: load
            for replica in replicas
            if (load := self.total_load(replica)) is not None
        }

    def _busiest_without_models(self):
        def utilization(replica):
            return replica.load / max(1, replica.entry.slots)

        busy = [
            replica
            for replica in self._replicas.by_id.values()
            if not replica.entry.models
            and utilization(replica) >= MIN_REPORTED_UTILIZATION
        ]
        busy.sort(key=utilization, reverse=True)
        return busy[:MAX_REPORTED_REPLICAS]

    def total_load(self, replica):
        """Returns the ReplicaLoad of all hosts at a replica; None if it is unknown."""
        interval_us = _sendable_interval_us(replica.event_interval_s)
        if not replica.load and not interval_us:
            return None
        return ReplicaLoad(replica.load, interval_us)

    def location_load(self, replica_id):
        """Returns the load that a location carries; None if heartbeats carry it."""
        if not self._hosts.is_large:
            return None
        return self.total_load(self._replicas.by_id[replica_id])

    def adapters_in_use(self, replica):
        """Returns the adapters with requests in progress at a replica; for the leader.

        Requests of the last half second may be missing.
        """
        return {*replica.in_flight_by_adapter, *self._totals.adapters(replica.id)}

    def note_total_load(self, replica_id, load):
        """Takes the load of all hosts at a replica from a message of the leader."""
        replica = self._replicas.by_id.get(replica_id)
        if replica is None:
            return
        if load is None:
            replica.others_in_flight = 0
            return
        replica.others_in_flight = max(0, load.in_flight - replica.in_flight)
        if load.event_interval_us:
            replica.shared_event_interval_s = load.event_interval_us / _MICROSECONDS

    def _remove_silent_hosts(self):
        reachable_names = {host.info.name for host in self._hosts.reachable()}
        for name in self._totals.loads_by_host.keys() - reachable_names:
            self._update_replicas(self._totals.remove(name))
        self._totals.drop_replicas(self._replicas.by_id.keys())

    def _update_replicas(self, replica_ids):
        """Copies the sums of some replicas into the directory of replicas."""
        for replica_id in replica_ids:
            replica = self._replicas.by_id.get(replica_id)
            if replica is None:
                continue
            replica.others_in_flight = self._totals.in_flight(replica_id)
            interval_us = self._totals.mean_interval_us(replica_id)
            if interval_us:
                replica.shared_event_interval_s = interval_us / _MICROSECONDS

    def _on_leader_change(self):
        self._totals = LoadTotals()
        if self._leadership.leads:
            for host in self._hosts.reachable():
                loads = host.heartbeat.loads_by_replica
                # A leader's heartbeat contains the loads of all hosts.
                is_report = not host.heartbeat.leaves_out_loads
                if is_report and host.heartbeat.leader != host.info.name:
                    self._update_replicas(self._totals.replace(host.info.name, loads))

    def _on_heartbeat(self, heartbeat):
        if heartbeat.leaves_out_loads:
            return
        if heartbeat.leader == heartbeat.sender.name:
            if not self._leadership.leads:
                self._take_totals(heartbeat)
        elif self._leadership.leads:
            self._update_replicas(
                self._totals.replace(heartbeat.sender.name, heartbeat.loads_by_replica)
            )

    def _take_totals(self, heartbeat):
        for replica in self._replicas.by_id.values():
            if not (self._hosts.is_large and replica.entry.models):
                load = heartbeat.loads_by_replica.get(replica.id)
                self.note_total_load(replica.id, load)
