"""Decides which adapter of a replica makes room for another one.

A request that needs a software version can wait for a replica of which all adapters are
in demand. Then one of them that other replicas can serve is withheld from hosts at that
replica, and evicted once no host uses it there any more.
"""

import math

import anyio

from snipetrestle.coordination.placement.withheld_places import WithheldPlaces

# Replicas that one search for a place to withhold goes through at most.
MAX_SEARCHED_REPLICAS = 16
# Between two searches, for each replica that the first one went through. That takes up
# to 0.4 ms for a replica with 20 adapters, and hundreds of requests may wait.
SEARCH_PAUSE_PER_REPLICA_S = 0.002


class Evictions:
    """Chooses the adapters of one backend's replicas that may be evicted.

    ``index`` is the PlacementIndex, and ``demand_by_key`` has the AdapterDemand of each
    adapter. One that was requested within ``grace_s`` is kept, as hosts may still use
    its place. Other holders serve its requests if their utilization is below
    ``max_utilization``.
    """

    def __init__(self, index, demand_by_key, grace_s, max_utilization):
        self._index = index
        self._demand_by_key = demand_by_key
        self._grace_s = grace_s
        self._max_utilization = max_utilization
        self._next_search_at = -math.inf
        self.withheld_places = WithheldPlaces()

    def candidate(self, replica, load_key=None):
        """Returns the key with the least demand that may be evicted; None if none.

        An adapter in use is not evicted: its unload would wait for its requests, and
        its slot would serve no other adapter meanwhile. Nor is one in transit: a
        replica answers its unload like that of an absent one, and goes on loading.
        Requests that need another version than the replica's keep nothing there. One
        that was requested recently is evicted only for the load of ``load_key`` that
        it is withheld for.
        """
        if replica.unloading is not None:
            return None
        now = anyio.current_time()
        best, best_value = None, math.inf
        for key, placement in replica.held.items():
            if not self._is_idle(replica, key, placement, now):
                continue
            needed = self._requested_versions(replica, key, now)
            if needed and not self._is_unused(placement, load_key, now):
                continue
            if not self._is_served_elsewhere(replica, key, needed, now):
                continue
            value = self._value(replica, key, now)
            if value < best_value:
                best, best_value = key, value
        return best

    def demand_at(self, replica, key, now):
        """Returns the recent uses of an adapter that a replica can serve."""
        demand = self._demand_by_key.get(key)
        return 0.0 if demand is None else demand.value_at(replica, now)

    def _is_idle(self, replica, key, placement, now):
        """Whether an adapter is neither in use nor in transit, nor has just come."""
        return (
            placement.ordered_at is None
            and now - placement.ready_at >= self._grace_s
            and key not in replica.in_use
        )

    def _requested_versions(self, replica, key, now):
        """Returns the versions requested recently that a replica can serve."""
        demand = self._demand_by_key.get(key)
        if demand is None or now - demand.requested_at >= self._grace_s:
            return ()
        return demand.versions_requested_at(replica, now - self._grace_s)

    def _is_unused(self, placement, load_key, now):
        """Whether a place is withheld for a load, and no host uses it any more."""
        withheld = placement.withheld
        return (
            withheld is not None
            and withheld.load_key == load_key
            and withheld.since + self._grace_s <= now < withheld.until
        )

    def _is_served_elsewhere(self, replica, key, versions, now):
        """Whether other holders have room for requests that need any of the versions.

        A place that is withheld itself does not count: both would be evicted.
        """
        if not versions:
            return True
        others = [
            item
            for item in self._index.usable_holders(key)
            if item is not replica and self._has_room(item, key, now)
        ]
        return all(any(item.runs(version) for item in others) for version in versions)

    def _has_room(self, replica, key, now):
        placement = replica.held[key]
        return (
            replica.utilization < self._max_utilization
            and placement.ordered_at is None
            and placement.ready_at <= now
            and replica.withheld(key) is None
        )

    def _value(self, replica, key, now):
        """Returns the demand that a replica can serve, less if others serve it, too."""
        demand = self._demand_by_key.get(key)
        if demand is None:
            return 0.0
        others = [
            item for item in self._index.usable_holders(key) if item is not replica
        ]
        value = 0.0
        for version, version_demand in demand.served_by(replica):
            is_shared = any(item.runs(version) for item in others)
            value += version_demand.uses.value(now) / (2 if is_shared else 1)
        return value

    def must_search(self, load_key, software_version, avoid):
        """Whether a load needs a place, and may search for one now.

        It does not while one is withheld for it that may still be evicted.
        """
        now = anyio.current_time()
        place = self.withheld_places.place_for(load_key, software_version)
        if place is not None:
            replica, key = place
            if (
                replica.replica_id not in avoid
                and replica.may_load(load_key)
                and self._is_dispensable(replica, key, now)
            ):
                return False
            self.withheld_places.end(load_key, software_version)
        return now >= self._next_search_at

    def withhold_place(self, load_key, software_version, replicas):
        """Withholds a place at one of the replicas of a version, for a load to evict."""
        able = [item for item in replicas if item.may_load(load_key)]
        place = self._find_place(able[:MAX_SEARCHED_REPLICAS], anyio.current_time())
        if place is not None:
            self.withheld_places.begin(load_key, software_version, *place)

    def _find_place(self, replicas, now):
        """Returns the first (replica, key) that may be withheld, or None.

        Of the adapters of the replica it is the one with the least demand.
        """
        for count, replica in enumerate(replicas, 1):
            self._next_search_at = now + SEARCH_PAUSE_PER_REPLICA_S * count
            keys = [
                key
                for key in replica.held
                if replica.withheld(key) is None
                and self._is_dispensable(replica, key, now)
            ]
            if keys:
                return replica, min(
                    keys, key=lambda item: self._value(replica, item, now)
                )
        return None

    def _is_dispensable(self, replica, key, now):
        """Whether a place may be evicted once no host uses it any more."""
        if not self._is_idle(replica, key, replica.held[key], now):
            return False
        needed = self._requested_versions(replica, key, now)
        return self._is_served_elsewhere(replica, key, needed, now)
