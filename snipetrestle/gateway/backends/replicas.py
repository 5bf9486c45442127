"""Replicas as seen by this host: published entry, load, latency and failures."""

import collections
import math

import anyio

from snipetrestle.events import Event, log_event
from snipetrestle.gateway.backends.connection_pool import ConnectionPool
from snipetrestle.gateway.backends.process_end import ProcessEnd, Verdict
from snipetrestle.gateway.backends.replica_pause import ReplicaPause
from snipetrestle.gateway.backends.request_limits import RequestLimit
from snipetrestle.gateway.configuration import ReplicaState

# Weight of one observation in the exponential moving averages.
AVERAGE_WEIGHT = 0.2
# Time constant of the decay of old observations, so that an avoided replica is
# eventually tried again.
DECAY_TIME_S = 4.0
DEFAULT_LATENCY_S = 0.05
MIN_LATENCY_S = 0.001
MIN_SUSPICION_S = 1.0
MAX_SUSPICION_S = 4.0
# Weights of one observed event interval in its moving average. The average is to show
# the interval without disturbances, so a shorter one counts quickly and a longer one
# slowly.
FASTER_INTERVAL_WEIGHT = 0.5
SLOWER_INTERVAL_WEIGHT = 0.04
# Power of the relative event interval in a replica's score. It is above 1 because the
# prompts of a slow replica also delay the events of all its streams beyond the allowed
# gap.
EVENT_INTERVAL_POWER = 2.0
# A failure rate of 1 multiplies the score by 1 plus this.
FAILURE_WEIGHT = 12.0
# Part by which the score of a replica in another failure domain is raised.
OTHER_DOMAIN_PENALTY = 0.1
# Replicas are drawn at random, with a weight that falls with a power of their score.
# The load from other hosts is known one or two heartbeats late, so many hosts that all
# chose the best replica would overload it. With fewer hosts, each one knows more of the
# load at once, so the power is higher: CHOICE_POWER_HOSTS divided by the number of
# hosts.
MIN_CHOICE_POWER = 4.0
CHOICE_POWER_HOSTS = 84.0
MAX_REMEMBERED_LEAVING = 4096
MAX_REMEMBERED_ENDED = 256
# The entry of a process that has taken a replica's id reaches this host within this
# time.
REPLACED_TIME_S = 3.0
# How long it is remembered that a replica of a software version has left the list. If
# it restarts with another version, nothing else shows that the old one is replaced.
VERSION_LEFT_S = 15.0


class Replica:
    """One run of a replica, from its start to its next restart.

    ``others_in_flight`` counts the requests from other hosts, as far as they are known.
    ``last_heard_at`` is minus infinity if this host has never heard the replica.
    ``suspected_until`` is the time until which the replica is avoided. ``leaving``
    tells that it is no longer listed, or has announced that it leaves;
    ``on_leaving(replica)`` is called with each such announcement, and
    ``on_verdict(replica, verdict)`` with each Verdict on the end of its process.
    ``open_exchanges`` are the Exchanges with it.
    """

    __slots__ = (
        "entry",
        "pool",
        "in_flight",
        "in_flight_by_adapter",
        "open_exchanges",
        "others_in_flight",
        "last_heard_at",
        "suspected_until",
        "leaving",
        "shared_event_interval_s",
        "own_event_interval_s",
        "request_limit",
        "pause",
        "_on_leaving",
        "_process_end",
        "_may_be_replaced_until",
        "_suspicion_s",
        "_latency_s",
        "_latency_observed_at",
        "_failure_rate",
        "_failure_rate_at",
    )

    def __init__(self, entry, rng, on_leaving, pool=None, on_verdict=None):
        self.entry = entry
        self.pool = pool or ConnectionPool(entry.ip, entry.port)
        self.in_flight = 0
        self.in_flight_by_adapter = collections.Counter()
        self.open_exchanges = set()
        self.others_in_flight = 0
        self.last_heard_at = -math.inf
        self.suspected_until = 0.0
        self.leaving = False
        # Time between two events of a stream: mean of all hosts, and measured here.
        self.shared_event_interval_s = None
        self.own_event_interval_s = None
        self.request_limit = RequestLimit(entry.id)
        self.pause = ReplicaPause(entry.id, rng)
        self._on_leaving = on_leaving
        self._process_end = ProcessEnd(self, on_verdict)
        self._may_be_replaced_until = 0.0
        self._suspicion_s = MIN_SUSPICION_S
        self._latency_s = None
        self._latency_observed_at = 0.0
        self._failure_rate = 0.0
        self._failure_rate_at = 0.0

    @property
    def id(self):
        return self.entry.id

    @property
    def process_id(self):
        """Identifies the run of the replica from its start to its end, on all hosts."""
        return f"{self.entry.id} {self.entry.boot}"

    @property
    def load(self):
        """Requests in flight from all hosts, as far as they are known."""
        return self.in_flight + self.others_in_flight

    def note_sent(self, adapter):
        """Counts a request in flight; ``adapter`` is an AdapterKey or None."""
        self.in_flight += 1
        self.request_limit.sent += 1
        if adapter is not None:
            self.in_flight_by_adapter[adapter] += 1

    def note_ended(self, adapter):
        self.in_flight -= 1
        if adapter is not None:
            self.in_flight_by_adapter[adapter] -= 1
            if not self.in_flight_by_adapter[adapter]:
                del self.in_flight_by_adapter[adapter]

    @property
    def takes_requests(self):
        return not self.leaving and self.entry.state is ReplicaState.READY

    @property
    def is_draining(self):
        """Whether the replica takes no new requests now, but has not left."""
        return not self.leaving and self.entry.state is ReplicaState.DRAINING

    @property
    def is_willing(self):
        """Whether the replica takes new requests, and has asked for no pause."""
        return self.takes_requests and not self.pause.is_active

    @property
    def is_available(self):
        """Whether this host may send the replica a new request now."""
        return self.is_willing and self.pool.has_room

    @property
    def event_interval_s(self):
        """Time between two events of a stream without disturbances; None if unknown."""
        return self.shared_event_interval_s or self.own_event_interval_s

    def note_event_interval(self, interval_s):
        """Adds a measured event interval to the moving average."""
        if self.own_event_interval_s is None:
            self.own_event_interval_s = interval_s
            return
        weight = (
            FASTER_INTERVAL_WEIGHT
            if interval_s < self.own_event_interval_s
            else SLOWER_INTERVAL_WEIGHT
        )
        self.own_event_interval_s += weight * (interval_s - self.own_event_interval_s)

    def note_response(self, metadata):
        """Records what the ResponseMetadata of any response says about the replica."""
        self.request_limit.note(metadata.request_limit_per_s, anyio.current_time())
        self.note_announcements(metadata)

    def note_announcements(self, metadata):
        """Records what the ResponseMetadata asks of all senders.

        A response of another replica, which has taken over the address, says nothing
        about this one.
        """
        if metadata.replica_id not in (None, self.id):
            if metadata.not_executed:
                self.note_process_ended("another replica answers at its address")
            return
        if metadata.replica_leaving:
            self.note_leaving()
        if metadata.pause_s is not None:
            self.pause.note(metadata.pause_s)

    def note_leaving(self):
        """Ends new requests to this process of the replica."""
        self.leaving = True
        self._on_leaving(self)

    def note_process_ended(self, evidence, is_restarted=False, ask=None):
        """Ends the silent exchanges with the process, of whose end there is evidence.

        If it ``is_restarted``, a later process may serve requests which name this
        replica, on connections to its address. With ``ask(replica)``, the process is
        asked before.
        """
        self._process_end.note(evidence, is_restarted, ask)

    @property
    def has_ended(self):
        """Whether the process of the replica has ended, by evidence and its silence."""
        return self._process_end.has_ended

    def watch_removed(self, ask, is_restarted):
        """Watches a process whose entry is gone, and asks if it runs once it is silent.

        One that has announced its leaving does not show its end by that. With
        ``is_restarted``, a process under its id is listed at its address.
        """
        if self.open_exchanges and self.takes_requests:
            self._process_end.watch_removed(ask, is_restarted)

    @property
    def software_version(self):
        """The version of the process that answers now; empty if it is not known."""
        if anyio.current_time() < self._may_be_replaced_until:
            return ""
        return self.entry.software_version

    def note_may_be_replaced(self):
        """Records that another process may answer under the id of this one."""
        self._may_be_replaced_until = anyio.current_time() + REPLACED_TIME_S

    def note_replaced(self):
        """Records that another process has taken the replica's id.

        A response that comes now may be from that process, on a connection to its
        address.
        """
        self._may_be_replaced_until = math.inf

    def note_heard(self, received_at):
        """Records that a response goes on, with the time of its last data."""
        self.last_heard_at = anyio.current_time()
        self._process_end.note_data(received_at)

    def note_running(self, sign):
        """Records a sign that this process, and not a later one, is running."""
        self._process_end.note_running(sign)

    def note_success(self, latency_s):
        """Records a response; ``latency_s`` is the time to it or to a first event."""
        now = anyio.current_time()
        self.last_heard_at = now
        self._suspicion_s = MIN_SUSPICION_S
        self.suspected_until = 0.0
        if self._latency_s is None:
            self._latency_s = latency_s
        else:
            self._latency_s += AVERAGE_WEIGHT * (latency_s - self._latency_s)
        self._latency_observed_at = now
        self._set_failure_rate(now, 0.0)

    def note_failure(self):
        """Records a request that got no usable response."""
        self._set_failure_rate(anyio.current_time(), 1.0)

    def note_silence(self):
        """Suspects an unresponsive replica, each time for twice as long.

        Its process may have ended without closing the connections that are kept to it. A
        request on one of them would fail with an unknown outcome.
        """
        self.pool.close()
        now = anyio.current_time()
        if now >= self.suspected_until:
            log_event(
                Event.REPLICA_SUSPECTED,
                replica=self.id,
                for_s=self._suspicion_s,
                last_heard_s=self._last_heard_s(now),
            )
            self.suspected_until = now + self._suspicion_s
            self._suspicion_s = min(self._suspicion_s * 2, MAX_SUSPICION_S)
        self._set_failure_rate(now, 1.0)

    def _last_heard_s(self, now):
        """Returns for how long the replica was not heard; None if it never was."""
        if math.isinf(self.last_heard_at):
            return None
        return round(now - self.last_heard_at, 3)

    def note_resumed(self):
        """Ends the suspicion of a replica that goes on after a silence."""
        self.suspected_until = 0.0

    def _set_failure_rate(self, now, value):
        rate = self.failure_rate(now)
        self._failure_rate = rate + AVERAGE_WEIGHT * (value - rate)
        self._failure_rate_at = now

    def failure_rate(self, now):
        """Returns the moving average of failures, from 0 to 1, which decays to 0."""
        return self._failure_rate * math.exp(
            (self._failure_rate_at - now) / DECAY_TIME_S
        )

    def expected_latency_s(self, now, mean_latency_s):
        """Returns the expected latency; it decays to the mean of all while unused."""
        if self._latency_s is None:
            return mean_latency_s
        weight = math.exp((self._latency_observed_at - now) / DECAY_TIME_S)
        return mean_latency_s + weight * (self._latency_s - mean_latency_s)

    @property
    def measured_latency_s(self):
        return self._latency_s


class ReplicaDirectory:
    """All listed replicas, and the load balancing between them.

    ``make_pool(entry)`` returns the ConnectionPool of a replica; without it, the number
    of connections is not bounded.
    """

    def __init__(self, failure_domain, rng, make_pool=None):
        self.by_id = {}
        self._by_backend = {}
        # The listed replicas by (ip, port). An entry may name the address of a replica
        # that has ended, but is still listed.
        self._by_address = {}
        # Sorted ids by backend, as long as the listed replicas are the same.
        self._ids_by_backend = {}
        # Process ids of replicas that announced their leaving, in this order.
        self._leaving_process_ids = {}
        # Replicas that are no longer listed, with open exchanges.
        self._removed = []
        # The last entries of replicas that are no longer listed, the oldest first.
        self._left_entries_by_id = collections.OrderedDict()
        # Replicas by process id whose process has ended, the oldest first.
        self._ended_by_process_id = {}
        self._verdict_listeners = []
        self._ask = None
        self._leaving_listeners = []
        # The number of listed replicas by software version, by backend. Replicas of
        # unknown versions do not count.
        self._version_counts_by_backend = {}
        # When a replica of a software version last left the list, by backend.
        self._version_left_at_by_backend = {}
        self._failure_domain = failure_domain
        self._rng = rng
        self._make_pool = make_pool

    def on_leaving(self, listener):
        """Registers ``listener()``, called when a replica announces its leaving."""
        self._leaving_listeners.append(listener)

    def on_verdict(self, listener):
        """Registers ``listener(verdict)``, called with Verdicts on replicas' ends."""
        self._verdict_listeners.append(listener)

    def _note_verdict(self, replica, verdict):
        if verdict is Verdict.ENDED:
            if len(self._ended_by_process_id) >= MAX_REMEMBERED_ENDED:
                del self._ended_by_process_id[next(iter(self._ended_by_process_id))]
            self._ended_by_process_id[replica.process_id] = replica
        for listener in self._verdict_listeners:
            listener(verdict)

    def _note_renewed(self, entry):
        """Notes that a process which was taken for ended has renewed its entry."""
        if not entry.boot:
            return
        replica = self._ended_by_process_id.get(f"{entry.id} {entry.boot}")
        if replica is None or entry.report_number <= replica.entry.report_number:
            return
        replica.note_running("it has renewed its entry")

    def _note_leaving(self, replica):
        if replica.process_id in self._leaving_process_ids:
            return
        log_event(Event.REPLICA_LEAVING, replica=replica.id, boot=replica.entry.boot)
        if len(self._leaving_process_ids) >= MAX_REMEMBERED_LEAVING:
            del self._leaving_process_ids[next(iter(self._leaving_process_ids))]
        self._leaving_process_ids[replica.process_id] = None
        listed = self.by_id.get(replica.id)
        if listed is not None and listed.process_id == replica.process_id:
            listed.leaving = True
        for listener in self._leaving_listeners:
            listener()

    def list_replica(self, entry):
        """Adds a replica or updates its entry. A restarted one replaces the old one."""
        self._note_renewed(entry)
        known = self.by_id.get(entry.id)
        if known is not None and _is_same_boot(known.entry, entry):
            if known.entry.state is not entry.state:
                log_event(
                    Event.REPLICA_LISTED, replica=entry.id, state=str(entry.state)
                )
            known.entry = entry
            return
        self._note_ended_processes(entry)
        if known is not None:
            known.note_replaced()
            is_same_address = _address(known.entry) == _address(entry)
            self._watch_and_remove(known, is_restarted=is_same_address)
        log_event(
            Event.REPLICA_LISTED,
            replica=entry.id,
            boot=entry.boot,
            address=f"{entry.ip}:{entry.port}",
            backend=entry.backend,
            software_version=entry.software_version,
            state=str(entry.state),
        )
        pool = None if self._make_pool is None else self._make_pool(entry)
        replica = Replica(
            entry, self._rng, self._note_leaving, pool, self._note_verdict
        )
        # An old entry may list a process again that has announced its leaving.
        replica.leaving = replica.process_id in self._leaving_process_ids
        self.by_id[entry.id] = replica
        self._ids_by_backend.pop(entry.backend, None)
        self._by_backend.setdefault(entry.backend, {})[entry.id] = replica
        self._by_address.setdefault(_address(entry), {})[entry.id] = replica
        if entry.software_version:
            counts = self._version_counts_by_backend.setdefault(
                entry.backend, collections.Counter()
            )
            counts[entry.software_version] += 1

    def unlist(self, replica_id):
        """Removes a replica from the list; its requests in flight go on."""
        replica = self.by_id.get(replica_id)
        if replica is None:
            return
        self._watch_and_remove(replica)

    def _watch_and_remove(self, replica, is_restarted=False):
        if self._ask is not None:
            replica.watch_removed(self._ask, is_restarted)
        self._remove(replica)

    def _remove(self, replica):
        del self.by_id[replica.id]
        log_event(Event.REPLICA_UNLISTED, replica=replica.id, boot=replica.entry.boot)
        replica.leaving = True
        self._keep_left_entry(replica.entry)
        self._removed = [item for item in self._removed if item.open_exchanges]
        self._removed.append(replica)
        if not replica.entry.boot:
            # Without a start time, the next process has the same id.
            self._leaving_process_ids.pop(replica.process_id, None)
        replica.pool.close()
        del self._by_backend[replica.entry.backend][replica.id]
        self._forget_address(replica)
        self._ids_by_backend.pop(replica.entry.backend, None)
        if replica.entry.software_version:
            self._note_version_left(replica.entry)

    def _keep_left_entry(self, entry):
        self._left_entries_by_id.pop(entry.id, None)
        if len(self._left_entries_by_id) >= MAX_REMEMBERED_LEAVING:
            self._left_entries_by_id.popitem(last=False)
        self._left_entries_by_id[entry.id] = entry

    def has_announced_leaving(self, process_id):
        """Whether a process, listed or not, has announced that it leaves."""
        return process_id in self._leaving_process_ids

    def left_entry(self, replica_id):
        """Returns the last ReplicaEntry of an id that is no longer listed, or None."""
        return self._left_entries_by_id.get(replica_id)

    def _forget_address(self, replica):
        address = _address(replica.entry)
        at_address = self._by_address[address]
        del at_address[replica.id]
        if not at_address:
            del self._by_address[address]

    def ask_removed(self, ask):
        """Sets ``ask(replica)``, a coroutine function that asks its process.

        It returns a ProcessAnswer.
        """
        self._ask = ask

    def _note_ended_processes(self, entry):
        """Notes the processes that have ended, as a later one has their id or address.

        An entry with an earlier boot or without one may be an old one, listed late.
        """
        replicas = [
            *self._by_address.get(_address(entry), {}).values(),
            *self._removed,
        ]
        if entry.id in self.by_id:
            replicas.append(self.by_id[entry.id])
        for replica in replicas:
            known = replica.entry
            if not 0 < known.boot < entry.boot:
                continue
            is_same_address = _address(known) == _address(entry)
            if known.id != entry.id and is_same_address:
                replica.note_process_ended(
                    "another replica is listed at its address",
                    ask=self._ask,
                )
            elif known.id == entry.id:
                replica.note_process_ended(
                    "a later process is listed under its id",
                    is_restarted=is_same_address,
                    ask=self._ask,
                )

    def has_successor(self, replica, boot):
        """Whether another id with a boot is listed at the address of a replica."""
        at_address = self._by_address.get(_address(replica.entry), {}).values()
        return any(
            item.id != replica.id and item.entry.boot == boot for item in at_address
        )

    def _note_version_left(self, entry):
        counts = self._version_counts_by_backend[entry.backend]
        counts[entry.software_version] -= 1
        if not counts[entry.software_version]:
            del counts[entry.software_version]
        now = anyio.current_time()
        left_at = self._version_left_at_by_backend.get(entry.backend, {})
        left_at = {
            version: at for version, at in left_at.items() if now - at < VERSION_LEFT_S
        }
        left_at[entry.software_version] = now
        self._version_left_at_by_backend[entry.backend] = left_at

    def mixes_versions(self, backend):
        """Whether the listed replicas of a backend name several software versions."""
        return len(self._version_counts_by_backend.get(backend, ())) > 1

    def versions_left(self, backend):
        """Returns the versions of the replicas that have left within VERSION_LEFT_S."""
        now = anyio.current_time()
        left_at = self._version_left_at_by_backend.get(backend, {})
        return [item for item, at in left_at.items() if now - at < VERSION_LEFT_S]

    def listed_replicas(self, backend):
        return self._by_backend.get(backend, {}).values()

    def ready_replicas(self, backend):
        """Returns the replicas of a backend that take new requests."""
        replicas = self._by_backend.get(backend, {}).values()
        return [replica for replica in replicas if replica.takes_requests]

    def listed_ids(self, backend):
        """Returns the sorted ids of all listed replicas of a backend, as a tuple."""
        ids = self._ids_by_backend.get(backend)
        if ids is None:
            ids = tuple(sorted(self._by_backend.get(backend, ())))
            if ids:
                self._ids_by_backend[backend] = ids
        return ids

    def ids_listing_adapter(self, key):
        """Returns the ids of the ready replicas whose entries list an adapter.

        An entry may lag behind the last load and unload orders by more than a
        heartbeat.
        """
        return [
            replica.id
            for replica in self.by_id.values()
            if replica.takes_requests and replica.entry.lists_adapter(key)
        ]

    def choose(self, candidates, hosts=1):
        """Draws a random candidate, weighted by low expected latency; None without any.

        Suspected replicas are chosen only if no other is left. ``hosts`` is the number
        of hosts that send requests to the same replicas.
        """
        if not candidates:
            return None
        if len(candidates) == 1:
            candidates[0].request_limit.sent_without_choice += 1
        now = anyio.current_time()
        unsuspected = [item for item in candidates if item.suspected_until <= now]
        eligible = unsuspected or candidates
        mean_latency_s = _mean_latency_s(candidates)
        mean_event_interval_s = _mean_event_interval_s(candidates)
        scores = [
            self._score(replica, now, mean_latency_s, mean_event_interval_s)
            for replica in eligible
        ]
        best_score = min(scores)
        power = max(MIN_CHOICE_POWER, CHOICE_POWER_HOSTS / hosts)
        weights = [(best_score / score) ** power for score in scores]
        return self._rng.choices(eligible, weights)[0]

    def _score(self, replica, now, mean_latency_s, mean_event_interval_s):
        """Returns the expected latency of a replica in seconds, with its penalties."""
        score = max(MIN_LATENCY_S, replica.expected_latency_s(now, mean_latency_s))
        score *= 1 + replica.load / max(1, replica.entry.slots / 4)
        score *= 1 + FAILURE_WEIGHT * replica.failure_rate(now)
        if replica.entry.failure_domain != self._failure_domain:
            score *= 1 + OTHER_DOMAIN_PENALTY
        if mean_event_interval_s and replica.event_interval_s:
            score *= (
                replica.event_interval_s / mean_event_interval_s
            ) ** EVENT_INTERVAL_POWER
        return score


def _address(entry):
    return entry.ip, entry.port


def _is_same_boot(known, entry):
    return _boot_facts(known) == _boot_facts(entry)


def _boot_facts(entry):
    """Returns what stays the same from a replica's start to its end."""
    return (
        entry.boot,
        entry.ip,
        entry.port,
        entry.backend,
        entry.software_version,
    )


def _mean_event_interval_s(replicas):
    known = [item.event_interval_s for item in replicas if item.event_interval_s]
    return sum(known) / len(known) if known else None


def _mean_latency_s(replicas):
    known = [item.measured_latency_s for item in replicas if item.measured_latency_s]
    return sum(known) / len(known) if known else DEFAULT_LATENCY_S
