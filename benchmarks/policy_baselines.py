"""Baseline policies: choices of replica and an owner as most model servers have it.

The baselines share the product's owner machinery, so that they load once for all that
wait, let waiting requests precede batch and pause batch streams. They lack permits,
demand in evictions, fairness and batch grouping.
"""

from snipetrestle.engines.owner import ReplicaOwner
from snipetrestle.hashing import rendezvous_order
from snipetrestle.placement.permits import UnlimitedPermits
from snipetrestle.placement.slots import SlotTable
from snipetrestle.published import PolicyWeights
from snipetrestle.scheduling.request_queue import RequestQueue


class LeastRecentlyUsedSlots(SlotTable):
    """Evicts the copy that was used longest ago, whatever the demand."""

    def reload_cost(self, copy):
        return copy.last_used

    def incoming_demand(self, handle, waited_s=0.0):
        return float("inf")

    def batch_victim(self, max_copies):
        return self.victim_for(None)


class ArrivalOrderQueue(RequestQueue):
    """Serves each class in order of arrival."""

    def put(self, entry, weight=1.0):
        super().put(entry, weight)
        entry.start_tag = 0.0

    def _next_batch(self, heads, running_handles):
        return min(heads)


class BaselineOwner(ReplicaOwner):
    """Owner with least-recently-used eviction and queues in order of arrival."""

    def __init__(self, server, engine, queue_limit):
        super().__init__(server, engine, UnlimitedPermits(), queue_limit=queue_limit)
        self.slots = LeastRecentlyUsedSlots(server.adapter_slots, self.demand)
        self.loader.slots = self.slots
        self.queue = ArrivalOrderQueue(PolicyWeights(), queue_limit)

    def _max_batch_handles(self):
        return self.server.adapter_slots


class _BaselineChooser:
    def __init__(self, rng, servers):
        self._random = rng
        self._servers = servers
        self._outstanding_by_name = {server.name: 0 for server in servers}
        self._speeds_by_name = {server.name: server.speed for server in servers}

    def on_sent(self, replica, *_, **__):
        self._outstanding_by_name[replica] += 1

    def on_finished(self, replica, *_, **__):
        self._outstanding_by_name[replica] -= 1

    def on_hints(self, *_):
        return

    def _open(self, exclude):
        names = [name for name in self._speeds_by_name if name not in exclude]
        return names or list(self._speeds_by_name)


class RandomChooser(_BaselineChooser):
    """Any replica, with equal chance."""

    def choose(self, model, adapter, version, exclude=(), **_):
        return self._random.choice(self._open(exclude))


class LeastLoadedChooser(_BaselineChooser):
    """The replica with the least outstanding work for its speed."""

    def choose(self, model, adapter, version, exclude=(), **_):
        return min(
            self._open(exclude),
            key=lambda name: (
                (self._outstanding_by_name[name] + 1) / self._speeds_by_name[name],
                self._random.random(),
            ),
        )


class HashChooser(_BaselineChooser):
    """Consistent hashing by adapter, weighted by speed."""

    def choose(self, model, adapter, version, exclude=(), **_):
        weights = {name: self._speeds_by_name[name] for name in self._open(exclude)}
        return rendezvous_order(f"{adapter}@{version}", weights, 1)[0]


class EvenHashChooser(_BaselineChooser):
    """Consistent hashing by adapter, with equal weights."""

    def choose(self, model, adapter, version, exclude=(), **_):
        weights = dict.fromkeys(self._open(exclude), 1.0)
        return rendezvous_order(f"{adapter}@{version}", weights, 1)[0]


BASELINES = {
    "random": RandomChooser,
    "least_loaded": LeastLoadedChooser,
    "hash_lru": HashChooser,
    "even_hash_lru": EvenHashChooser,
}
