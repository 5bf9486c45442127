"""Replicas as this host sees them: listed state, load, latency and failures."""

import collections
import math

import anyio

from snipetrestle.events import Event, log_event
from snipetrestle.gateway.configuration import ReplicaState
from snipetrestle.gateway.http_client import ConnectionPool

# Weight of one observation in the moving averages.
AVERAGE_WEIGHT = 0.2
# Observations lose their weight in this time, so that a replica that is avoided is
# tried again.
FORGET_S = 4.0
DEFAULT_LATENCY_S = 0.05
LEAST_LATENCY_S = 0.001
FIRST_SUSPICION_S = 1.0
LONGEST_SUSPICION_S = 4.0
# Weights of one observation of the pace: the undisturbed pace is wanted, so a faster
# one counts at once and a slower one slowly.
FASTER_WEIGHT = 0.5
SLOWER_WEIGHT = 0.04
# How much more a slow replica is avoided than by its pace alone. Its prompts also delay
# the events of all its streams beyond the allowed pause.
PACE_POWER = 2.0
# How much a failure rate of 1 makes a replica look slower.
FAILURE_WEIGHT = 12.0
# Preference for a replica in the own failure domain, as a part of its score.
DOMAIN_PREFERENCE = 0.1
# A replica is drawn with a weight that falls with a power of its score. What other hosts
# send is known a heartbeat or two later, so many hosts that all took the best replica
# would crowd it. The fewer they are, the more of the load a host knows at once, and the
# higher the power: CHOICE_POWER_HOSTS divided by their number.
LEAST_CHOICE_POWER = 4.0
CHOICE_POWER_HOSTS = 84.0


class Replica:
    """One boot of a replica."""

    __slots__ = (
        "entry",
        "pool",
        "in_flight",
        "in_flight_by_adapter",
        "others_in_flight",
        "last_heard",
        "suspected_until",
        "leaving",
        "told_pace_s",
        "own_pace_s",
        "_suspicion_s",
        "_latency_s",
        "_latency_at",
        "_failure_rate",
        "_failure_at",
    )

    def __init__(self, entry):
        self.entry = entry
        self.pool = ConnectionPool(entry.ip, entry.port)
        self.in_flight = 0
        self.in_flight_by_adapter = collections.Counter()
        self.others_in_flight = 0
        self.last_heard = 0.0
        self.suspected_until = 0.0
        self.leaving = False
        # Time between two events of a stream, as the leader and as this host sees it.
        self.told_pace_s = None
        self.own_pace_s = None
        self._suspicion_s = FIRST_SUSPICION_S
        self._latency_s = None
        self._latency_at = 0.0
        self._failure_rate = 0.0
        self._failure_at = 0.0

    @property
    def id(self):
        return self.entry.id

    @property
    def load(self):
        """Requests in progress from all hosts, as far as they are known."""
        return self.in_flight + self.others_in_flight

    def note_sent(self, adapter):
        """Counts a request in progress; ``adapter`` is an AdapterKey or None."""
        self.in_flight += 1
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
    def pace_s(self):
        """Undisturbed time between two events of a stream; None if it is unknown."""
        return self.told_pace_s or self.own_pace_s

    def note_pace(self, pace_s):
        if self.own_pace_s is None:
            self.own_pace_s = pace_s
            return
        weight = FASTER_WEIGHT if pace_s < self.own_pace_s else SLOWER_WEIGHT
        self.own_pace_s += weight * (pace_s - self.own_pace_s)

    def note_heard(self):
        self.last_heard = anyio.current_time()

    def note_success(self, latency_s):
        now = anyio.current_time()
        self.last_heard = now
        self._suspicion_s = FIRST_SUSPICION_S
        self.suspected_until = 0.0
        if self._latency_s is None:
            self._latency_s = latency_s
        else:
            self._latency_s += AVERAGE_WEIGHT * (latency_s - self._latency_s)
        self._latency_at = now
        self._set_failure_rate(now, 0.0)

    def note_failure(self):
        """Counts a request that got no usable response."""
        self._set_failure_rate(anyio.current_time(), 1.0)

    def note_silence(self):
        """Avoids a replica that does not answer, each time for longer."""
        now = anyio.current_time()
        if now >= self.suspected_until:
            log_event(
                Event.REPLICA_SUSPECTED,
                replica=self.id,
                for_s=self._suspicion_s,
                last_heard_s=round(now - self.last_heard, 3),
            )
            self.suspected_until = now + self._suspicion_s
            self._suspicion_s = min(self._suspicion_s * 2, LONGEST_SUSPICION_S)
        self._set_failure_rate(now, 1.0)

    def _set_failure_rate(self, now, value):
        rate = self.failure_rate(now)
        self._failure_rate = rate + AVERAGE_WEIGHT * (value - rate)
        self._failure_at = now

    def failure_rate(self, now):
        return self._failure_rate * math.exp((self._failure_at - now) / FORGET_S)

    def latency_s(self, now, usual_s):
        """Returns the expected latency; it returns to the usual one while unused."""
        if self._latency_s is None:
            return usual_s
        weight = math.exp((self._latency_at - now) / FORGET_S)
        return usual_s + weight * (self._latency_s - usual_s)

    @property
    def known_latency_s(self):
        return self._latency_s


class ReplicaDirectory:
    """All listed replicas, and the choice between them."""

    def __init__(self, failure_domain, generator):
        self.by_id = {}
        self._by_backend = {}
        self._failure_domain = failure_domain
        self._generator = generator

    def list_replica(self, entry):
        """Adds a replica or takes over its changed entry."""
        known = self.by_id.get(entry.id)
        if known is not None and _is_same_boot(known.entry, entry):
            if known.entry.state is not entry.state:
                log_event(
                    Event.REPLICA_LISTED, replica=entry.id, state=str(entry.state)
                )
            known.entry = entry
            return
        if known is not None:
            self.unlist(entry.id)
        log_event(
            Event.REPLICA_LISTED,
            replica=entry.id,
            boot=entry.boot,
            address=f"{entry.ip}:{entry.port}",
            backend=entry.backend,
            state=str(entry.state),
        )
        replica = Replica(entry)
        self.by_id[entry.id] = replica
        self._by_backend.setdefault(entry.backend, {})[entry.id] = replica

    def unlist(self, replica_id):
        """Takes a replica off the list; requests in progress go on."""
        replica = self.by_id.pop(replica_id, None)
        if replica is None:
            return
        log_event(Event.REPLICA_UNLISTED, replica=replica_id, boot=replica.entry.boot)
        replica.leaving = True
        replica.pool.close()
        del self._by_backend[replica.entry.backend][replica_id]

    def of_backend(self, backend):
        """Returns the replicas of a backend that take new requests."""
        replicas = self._by_backend.get(backend, {}).values()
        return [replica for replica in replicas if replica.takes_requests]

    def listing(self, key):
        """Returns the ids of the replicas whose entries list an adapter.

        An entry may be older than the last orders by more than a heartbeat.
        """
        return [
            replica.id
            for replica in self.by_id.values()
            if replica.takes_requests
            and any(
                model.name == key.model and key.adapter in model.versions_by_adapter
                for model in replica.entry.models
            )
        ]

    def choose(self, candidates, hosts=1):
        """Draws a candidate, more likely one of low expected latency; None if none is.

        Suspected replicas are taken only where no other is left. ``hosts`` is the number
        of hosts that send requests to the same replicas.
        """
        if not candidates:
            return None
        now = anyio.current_time()
        trusted = [item for item in candidates if item.suspected_until <= now]
        drawn_from = trusted or candidates
        usual_s = _usual_latency_s(candidates)
        usual_pace_s = _usual_pace_s(candidates)
        scores = [
            self._score(replica, now, usual_s, usual_pace_s) for replica in drawn_from
        ]
        best = min(scores)
        power = max(LEAST_CHOICE_POWER, CHOICE_POWER_HOSTS / hosts)
        weights = [(best / score) ** power for score in scores]
        return self._generator.choices(drawn_from, weights)[0]

    def _score(self, replica, now, usual_s, usual_pace_s):
        """Returns the expected latency of a replica in seconds, with its penalties."""
        score = max(LEAST_LATENCY_S, replica.latency_s(now, usual_s))
        score *= 1 + replica.load / max(1, replica.entry.slots / 4)
        score *= 1 + FAILURE_WEIGHT * replica.failure_rate(now)
        if replica.entry.failure_domain != self._failure_domain:
            score *= 1 + DOMAIN_PREFERENCE
        if usual_pace_s and replica.pace_s:
            score *= (replica.pace_s / usual_pace_s) ** PACE_POWER
        return score


def _is_same_boot(known, entry):
    return (known.boot, known.ip, known.port, known.backend) == (
        entry.boot,
        entry.ip,
        entry.port,
        entry.backend,
    )


def _usual_pace_s(replicas):
    known = [item.pace_s for item in replicas if item.pace_s]
    return sum(known) / len(known) if known else None


def _usual_latency_s(replicas):
    known = [item.known_latency_s for item in replicas if item.known_latency_s]
    return sum(known) / len(known) if known else DEFAULT_LATENCY_S
