"""Exchange of the replicas' loads and event intervals between the hosts.

Every host reports its own requests in progress to the leader. The leader adds them up
and reports the sums to all hosts: beside its heartbeats, or among many hosts together
with the locations of adapters, so that a host gets only what it chooses from.

Loads have their own datagrams of a bounded length, one in each round of heartbeats. A
report that does not fit takes several rounds.
"""

import collections

import anyio

from snipetrestle.coordination.messaging.messages import (
    MAX_COUNT,
    ReplicaLoad,
    ReplicaLoadPart,
    ReplicaLoads,
)
from snipetrestle.coordination.messaging.report_rounds import (
    ReceivedReport,
    ReportRounds,
    split,
)
from snipetrestle.gateway.configuration import MAX_NAME_LENGTH

_MICROSECONDS = 1_000_000
# The loads of one datagram, and the adapters of one replica in it. The others come in
# later rounds.
MAX_ROUND_BYTES = 8192
MAX_PART_BYTES = 4096
# That there are no loads is told in this many rounds, and then rarely: the leader of
# many hosts would send a datagram to each of them.
EMPTY_ROUNDS = 3
EMPTY_ROUND_INTERVAL = 8
# A new leader starts from reports that are no older than this.
MAX_REPORT_AGE_S = 1.6
# Among many hosts, a leader reports only replicas that run at least this part of the
# requests that they can run at once, and no more than this many.
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


def _merge(loads):
    """Returns the ReplicaLoad that consists of some parts."""
    return ReplicaLoad(
        sum(load.in_flight for load in loads),
        max(load.event_interval_us for load in loads),
        tuple({key: None for load in loads for key in load.adapters}),
    )


def _parts_by_key(loads_by_replica):
    """Returns the ReplicaLoadParts of a report by (replica id, number of the part)."""
    return {
        (replica_id, number): ReplicaLoadPart(replica_id, number, part)
        for replica_id, load in loads_by_replica.items()
        for number, part in enumerate(_split(load))
    }


def _split(load):
    """Returns a ReplicaLoad in parts of at most MAX_PART_BYTES of adapters."""
    chunks = split(load.adapters, MAX_PART_BYTES)
    if len(chunks) <= 1:
        return [load]
    first = ReplicaLoad(load.in_flight, load.event_interval_us, tuple(chunks[0]))
    return [first, *(ReplicaLoad(0, 0, tuple(chunk)) for chunk in chunks[1:])]


def _loads_by_replica(report):
    """Returns the ReplicaLoads by replica id of a ReceivedReport."""
    loads = {}
    for (replica_id, _), (_, part) in report.items_by_key.items():
        loads.setdefault(replica_id, []).append(part.load)
    return {
        replica_id: parts[0] if len(parts) == 1 else _merge(parts)
        for replica_id, parts in loads.items()
    }


class _LoadRounds:
    """Builds the ReplicaLoads messages of one kind, sums or own loads."""

    def __init__(self, is_total):
        self._is_total = is_total
        self._rounds = ReportRounds(MAX_ROUND_BYTES)
        self._empty_rounds = 0

    def restart(self):
        """Makes the next rounds tell that there are no loads, if there are none."""
        self._empty_rounds = 0

    def next_message(self, own, loads_by_replica):
        """Returns the message of the next round; None if there is nothing to tell."""
        parts = self._rounds.choose(_parts_by_key(loads_by_replica))
        self._empty_rounds = 0 if parts else self._empty_rounds + 1
        is_rare = self._empty_rounds % EMPTY_ROUND_INTERVAL != 0
        if self._empty_rounds > EMPTY_ROUNDS and is_rare:
            return None
        return ReplicaLoads.of_parts(
            own.name,
            own.boot,
            self._is_total,
            self._rounds.number,
            self._rounds.complete_since,
            parts,
        )


class SharedReplicaLoads:
    """Sums the loads at the leader, and takes the sums from the leader's messages."""

    def __init__(self, replicas, hosts, leadership, endpoint):
        self._replicas = replicas
        self._hosts = hosts
        self._leadership = leadership
        self._endpoint = endpoint
        self._totals = LoadTotals()
        self._own_rounds = _LoadRounds(is_total=False)
        self._total_rounds = _LoadRounds(is_total=True)
        # The own loads of other hosts, by host, and the sums of the last leader.
        self._reports_by_host = {}
        self._total_sender = None
        self._total_report = None
        hosts.on_round(self._send_round)
        endpoint.register(ReplicaLoads, self._on_loads)
        leadership.on_change(self._on_leader_change)

    def _send_round(self, addresses):
        """Sends loads after the heartbeats of a round, which went to ``addresses``."""
        if self._leadership.leads:
            rounds, loads = self._total_rounds, self.total_loads()
        else:
            rounds, loads = self._own_rounds, self.own_loads()
            addresses = self._receivers(addresses)
        if not addresses:
            return
        message = rounds.next_message(self._hosts.own, loads)
        if message is not None:
            self._endpoint.send_all(message, addresses)

    def _receivers(self, addresses):
        """Returns the addresses to which this host sends its own loads.

        These are the leader's and, among few hosts, those of its likely successors.
        """
        if not self._leadership.has_recent_leader:
            return [] if self._hosts.is_large else addresses
        names = {self._leadership.leader}
        if not self._hosts.is_large:
            names.update(self._leadership.next_leaders())
        by_name = self._hosts.by_name
        return [by_name[name].address for name in names if name in by_name]

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
        """Returns the load that a location carries; None if it comes by itself."""
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
            self._reports_by_host.pop(name, None)
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
        self._own_rounds.restart()
        self._total_rounds.restart()
        if self._leadership.leads:
            since = anyio.current_time() - MAX_REPORT_AGE_S
            for host in self._hosts.reachable():
                report = self._reports_by_host.get(host.info.name)
                if report is not None and report.received_at >= since:
                    self._add_report(host.info.name, report)

    def _add_report(self, name, report):
        self._update_replicas(self._totals.replace(name, _loads_by_replica(report)))

    def _on_loads(self, message, address):
        sender = self._hosts.by_name.get(message.sender)
        if sender is None or sender.info.boot != message.boot:
            return
        if message.is_total:
            self._reports_by_host.pop(message.sender, None)
            leader = self._leadership.leader
            if message.sender == leader and not self._leadership.leads:
                self._take_totals(message)
        else:
            report = self._reports_by_host.get(message.sender)
            if report is None or report.boot != message.boot:
                self._forget_removed_hosts()
                report = ReceivedReport(message.boot)
                self._reports_by_host[message.sender] = report
            if _update(report, message) and self._leadership.leads:
                self._add_report(message.sender, report)

    def _forget_removed_hosts(self):
        for name in self._reports_by_host.keys() - self._hosts.by_name.keys():
            del self._reports_by_host[name]

    def _take_totals(self, message):
        report = self._total_report
        if self._total_sender != message.sender or report.boot != message.boot:
            report = self._total_report = ReceivedReport(message.boot)
            self._total_sender = message.sender
        if not _update(report, message):
            return
        received = message.loads_by_replica
        kept = {replica_id for replica_id, _ in report.items_by_key}
        for replica in self._replicas.by_id.values():
            if self._hosts.is_large and replica.entry.models:
                continue
            # Loads that an earlier round has brought stay as they were taken then.
            if replica.id in received or replica.id not in kept:
                self.note_total_load(replica.id, received.get(replica.id))


def _update(report, message):
    """Takes a message into a ReceivedReport. Returns False if it is outdated."""
    return report.update(
        message.number,
        message.complete_since,
        {(item.replica_id, item.part): item for item in message.parts},
        anyio.current_time(),
    )
