"""Baseline policies: simple choosers, and an owner that works like most model servers.

The baselines use the product's ReplicaOwner, so that they load an adapter once for all
its waiting requests, let waiting requests precede batch requests and pause batch
streams. They lack load permits, evictions by demand, fairness and batch grouping.
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
        """Returns a demand above that of any copy, so that a load may always evict."""
        return float("inf")

    def batch_victim(self, max_copies):
        return self.victim_for(None)


class ArrivalOrderQueue(RequestQueue):
    """Serves each request class in order of arrival."""

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
    """Base of the choosers: counts the outstanding requests of each replica."""

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

    def _candidates(self, exclude):
        """Returns the names of the replicas not excluded, or all if none is left."""
        names = [name for name in self._speeds_by_name if name not in exclude]
        return names or list(self._speeds_by_name)


class RandomChooser(_BaselineChooser):
    """Chooses any replica with equal probability."""

    def choose(self, model, adapter, version, exclude=(), **_):
        return self._random.choice(self._candidates(exclude))


class LeastLoadedChooser(_BaselineChooser):
    """Chooses the replica with the fewest outstanding requests for its speed."""

    def choose(self, model, adapter, version, exclude=(), **_):
        return min(
            self._candidates(exclude),
            key=lambda name: (
                (self._outstanding_by_name[name] + 1) / self._speeds_by_name[name],
                self._random.random(),
            ),
        )


class HashChooser(_BaselineChooser):
    """Chooses by consistent hashing of the adapter, weighted by speed."""

    def choose(self, model, adapter, version, exclude=(), **_):
        weights = {
            name: self._speeds_by_name[name] for name in self._candidates(exclude)
        }
        return rendezvous_order(f"{adapter}@{version}", weights, 1)[0]


class EvenHashChooser(_BaselineChooser):
    """Chooses by consistent hashing of the adapter, with equal weights."""

    def choose(self, model, adapter, version, exclude=(), **_):
        weights = dict.fromkeys(self._candidates(exclude), 1.0)
        return rendezvous_order(f"{adapter}@{version}", weights, 1)[0]


BASELINES = {
    "random": RandomChooser,
    "least_loaded": LeastLoadedChooser,
    "hash_lru": HashChooser,
    "even_hash_lru": EvenHashChooser,
}
