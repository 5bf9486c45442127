"""Decides which adapters the replicas of one backend hold.

The leader records demand as hosts look up adapters. An adapter that no replica holds is
loaded by the replica with the lowest cost: a replica that held it recently loads it
faster, a free slot avoids an eviction, and lower demand means smaller batches. The
adapter with the least demand is evicted; one that was requested recently never is,
since hosts cache a location for a while without asking again. Loads go to replicas with
few recent prompts, since each load is followed by the prompt of its first request.
"""

import collections
import enum
import math

import anyio

from snipetrestle.coordination.placement.adapter_demand import (
    DEMAND_HALF_LIFE_S,
    RECENT_DEMAND_HALF_LIFE_S,
    AdapterDemand,
)
from snipetrestle.coordination.placement.decaying_count import DecayingCount
from snipetrestle.coordination.placement.evictions import Evictions
from snipetrestle.coordination.placement.placement_index import PlacementIndex

# Hosts use a location for up to this long without asking the leader again.
LOCATION_TTL_S = 0.4
# An adapter that was requested within this time is not evicted.
EVICTION_GRACE_S = LOCATION_TTL_S + 0.6
# If all holders of an adapter are utilized above this, it gets one more copy. Each copy
# is fetched from the weight store, which delays other loads.
MAX_HOLDER_UTILIZATION = 0.35
# With fewer recent uses than this, shares of the demand are not significant.
MIN_RECENT_USES = 10.0
# A copy goes only to a replica whose utilization, relative to that of the least
# utilized holder, is below this.
COPY_MAX_UTILIZATION_RATIO = 0.6
# An adapter with less recent demand gets such a copy only if its holders are nearly
# full: a copy for a single request costs a load and the slot of another adapter.
COPY_MIN_REQUESTS_PER_S = 1.0
NEARLY_FULL_UTILIZATION = 0.9
DEFAULT_EVENT_INTERVAL_S = 0.03
# Time that a replica needs for the prompt of a request, in event intervals.
PROMPT_EVENT_INTERVALS = 2.0
# Half-life of the count of recent prompts. Prompts that reach a replica within a few
# event intervals of each other add up to one pause of all its streams.
RECENT_PROMPTS_HALF_LIFE_S = 0.4
# An adapter gets enough copies that its prompts take at most this part of the time of
# each holder.
MAX_HOLDER_PROMPT_LOAD = 0.25
# Upper bound of a replica's estimated busy fraction.
MAX_BUSY_FRACTION = 0.95
# A used adapter is copied to a replica whose prompt delay, relative to that of its
# holder, is below this.
MOVE_MAX_DELAY_RATIO = 0.35
# Below this request rate, such a copy does not pay off.
MOVE_MIN_REQUESTS_PER_S = 0.25
# Holders with a lower prompt delay keep their adapters.
MOVE_MIN_PROMPT_DELAY = 0.15
# A replica loads adapters that it held recently faster; older ones are forgotten.
MAX_RECENT_ADAPTERS = 120
# Among more replicas, a load compares only this many of them, in turn, and those that
# held the adapter recently.
MAX_COMPARED_REPLICAS = 64
# Figures of so many replicas may be this old.
STATISTICS_MAX_AGE_S = 0.5
# Weights of the terms of a replica's cost.
RECENT_BONUS = 0.5
EVICTION_COST = 0.4
PROMPT_DELAY_COST = 1.0
PROMPT_LOAD_COST = 2.0
PENDING_LOAD_COST = 0.1
UTILIZATION_COST = 2.0
FAILURE_COST = 2.0
LIMIT_COST = 1.0
# An adapter gets a holder without a request limit once its demand is this part of the
# limits of its holders.
MAX_LIMIT_FRACTION = 0.4
# Replicas answer orders within some milliseconds. One that has not answered for this
# long may be gone, which its order's time-out shows much later.
SLOW_ANSWER_S = 0.15


class LoadReason(enum.StrEnum):
    """Why an adapter is loaded; logged with the order.

    MISSING: no usable replica holds it. DEMAND: its recent demand calls for more
    copies. UTILIZATION and PROMPT_DELAY: its holders are highly utilized, or delayed by
    prompts, while another replica is not. LIMIT: its holders name request limits, while
    another replica does not. NEW_VERSION: its replica holds an older one.
    """

    MISSING = enum.auto()
    DEMAND = enum.auto()
    UTILIZATION = enum.auto()
    PROMPT_DELAY = enum.auto()
    LIMIT = enum.auto()
    NEW_VERSION = enum.auto()


class AdapterPlacement:
    """An adapter that a replica holds or is loading.

    ``ready_at`` is when its load is expected to end, and ``ordered_at`` when the load
    was ordered or first seen in a report; None once the replica has confirmed that it
    holds the adapter. ``withheld`` is None, or the Withheld while hosts are not to use
    the adapter there.
    """

    __slots__ = (
        "version",
        "ready_at",
        "ordered_at",
        "is_late",
        "replaces_version",
        "withheld",
    )

    def __init__(self, version, ready_at, ordered_at=None, replaces_version=False):
        self.version = version
        self.ready_at = ready_at
        self.ordered_at = ordered_at
        # Whether the replica still holds an older version, which has a slot as well.
        self.replaces_version = replaces_version
        # Whether the load had not ended at the expected time.
        self.is_late = False
        self.withheld = None


class ReplicaAdapters:
    """The adapters at one boot of a replica, at most ``slots`` of them.

    ``index`` is the PlacementIndex of its backend. ``takes_orders`` tells whether loads
    may be ordered now; it may serve what it holds all the same.
    """

    __slots__ = (
        "_index",
        "replica_id",
        "software_version",
        "slots",
        "event_interval_s",
        "utilization",
        "usable",
        "takes_orders",
        "limit_per_s",
        "in_use",
        "held",
        "unloading",
        "loading_from_store",
        "pending_loads",
        "demand",
        "recent_prompts",
        "failed_until",
        "is_suspected",
        "order_sent_at",
        "_recent_keys",
    )

    def __init__(self, replica_id, slots, index):
        self._index = index
        self.replica_id = replica_id
        # The version of the replica's program; "" if unknown.
        self.software_version = ""
        self.slots = slots
        # Time between two events of a stream that nothing disturbs.
        self.event_interval_s = DEFAULT_EVENT_INTERVAL_S
        # Requests in progress as a fraction of what the replica runs concurrently.
        self.utilization = 0.0
        # Whether the replica takes new requests and its state is known.
        self.usable = False
        self.takes_orders = True
        # The requests a second that the replica takes; None without a limit.
        self.limit_per_s = None
        # Adapters with requests in progress, as reported by the hosts.
        self.in_use = frozenset()
        # AdapterPlacement by key, including adapters that are being loaded.
        self.held = {}
        # The adapter whose unload waits for its requests; None if there is none. Until
        # it ends, the replica refuses all other orders.
        self.unloading = None
        # Adapters that are being loaded from the store, where they slow each other
        # down.
        self.loading_from_store = set()
        # LoadRequest by key, for loads that are decided but not ordered yet.
        self.pending_loads = {}
        self.demand = DecayingCount(DEMAND_HALF_LIFE_S)
        self.recent_prompts = DecayingCount(RECENT_PROMPTS_HALF_LIFE_S)
        self.failed_until = 0.0
        # Whether this host has had no answer to requests there.
        self.is_suspected = False
        # When the order that it has not answered yet was sent; None without one.
        self.order_sent_at = None
        self._recent_keys = collections.OrderedDict()

    def may_be_gone(self, now):
        """Whether the replica has failed, or has left something unanswered."""
        if self.failed_until > now or self.is_suspected:
            return True
        sent_at = self.order_sent_at
        return sent_at is not None and now - sent_at > SLOW_ANSWER_S

    def runs(self, software_version):
        """Whether the replica runs a software version; "" stands for any."""
        return not software_version or self.software_version == software_version

    def may_load(self, key):
        """Whether the replica can be ordered to load an adapter, if it has a slot."""
        return (
            self.usable
            and self.takes_orders
            and self.unloading is None
            and key not in self.held
            and key not in self.pending_loads
        )

    def withheld(self, key):
        """Returns the Withheld of an adapter that hosts are not to use here, or None."""
        placement = self.held.get(key)
        withheld = None if placement is None else placement.withheld
        if withheld is None or anyio.current_time() >= withheld.until:
            return None
        return withheld

    def record_held(
        self, key, version, ready_at, ordered_at=None, replaces_version=False
    ):
        self._end_unload(key)
        self.held[key] = AdapterPlacement(
            version, ready_at, ordered_at, replaces_version
        )
        self._index.add_holder(key, self)
        self._recent_keys.pop(key, None)
        self._recent_keys[key] = None
        self._index.add_recent(key, self)
        while len(self._recent_keys) > MAX_RECENT_ADAPTERS:
            oldest, _ = self._recent_keys.popitem(last=False)
            self._index.remove_recent(oldest, self)

    def _end_unload(self, key):
        if self.unloading == key:
            self.unloading = None

    def drop(self, key):
        self._end_unload(key)
        del self.held[key]
        self._index.remove_holder(key, self)
        self.end_store_load(key)

    def remove_all(self):
        for key in list(self.held):
            self.drop(key)

    def forget(self):
        """Removes the replica from the index, since it is gone."""
        self.remove_all()
        self.end_all_store_loads()
        for key in self._recent_keys:
            self._index.remove_recent(key, self)
        self._recent_keys.clear()
        for key in list(self.pending_loads):
            self.remove_pending(key)

    def add_pending(self, load):
        self.pending_loads[load.key] = load
        self._index.add_pending(load, self)

    def remove_pending(self, key):
        self.pending_loads.pop(key, None)
        self._index.remove_pending(key, self)

    def start_store_load(self, key):
        if key not in self.loading_from_store:
            self.loading_from_store.add(key)
            self._index.store_loads += 1

    def end_store_load(self, key):
        if key in self.loading_from_store:
            self.loading_from_store.discard(key)
            self._index.store_loads -= 1

    def end_all_store_loads(self):
        for key in list(self.loading_from_store):
            self.end_store_load(key)

    def was_recently_held(self, key):
        return key in self._recent_keys

    def prompt_delay(self, now, median_interval_s):
        """Returns how much the prompts of its adapters delay a replica's streams.

        A prompt is processed in chunks between the tokens of other requests, and on a
        slow replica a few chunks in a row already exceed the allowed pause. So the busy
        fraction is weighted by the square of the replica's event interval relative to
        the median.
        """
        busy = min(MAX_BUSY_FRACTION, self.demand.rate(now) * self.prompt_time_s)
        return busy / (1 - busy) * (self.event_interval_s / median_interval_s) ** 2

    @property
    def prompt_time_s(self):
        """The time in which the replica processes the prompt of a request."""
        return PROMPT_EVENT_INTERVALS * self.event_interval_s

    def prompt_load(self, now):
        """Returns the part of its time that the replica needs for recent prompts."""
        return self.recent_prompts.rate(now) * self.prompt_time_s

    @property
    def taken_slots(self):
        """The slots of the adapters that are held or in transit."""
        replacements = sum(item.replaces_version for item in self.held.values())
        return len(self.held) + replacements

    @property
    def free_slots(self):
        return self.slots - self.taken_slots - len(self.pending_loads)


class PlacementStatistics:
    """Figures of all replicas of a backend at one time."""

    __slots__ = (
        "computed_at",
        "utilization_sum",
        "min_utilization",
        "min_prompt_delay",
        "median_interval_s",
    )

    def __init__(self, replicas, now, median_interval_s=None):
        self.computed_at = now
        intervals_s = sorted(replica.event_interval_s for replica in replicas)
        if median_interval_s is None:
            median_interval_s = _median(intervals_s)
        self.median_interval_s = median_interval_s
        usable = [replica for replica in replicas if replica.usable]
        self.utilization_sum = sum(replica.utilization for replica in replicas)
        self.min_utilization = min(
            (replica.utilization for replica in usable), default=math.inf
        )
        self.min_prompt_delay = min(
            (replica.prompt_delay(now, self.median_interval_s) for replica in usable),
            default=math.inf,
        )


def _median(sorted_intervals_s):
    if not sorted_intervals_s:
        return DEFAULT_EVENT_INTERVAL_S
    return sorted_intervals_s[len(sorted_intervals_s) // 2]


class BackendPlacement:
    """Placement of all adapters on the replicas of one backend.

    ``by_replica`` maps replica ids to ReplicaAdapters.
    """

    def __init__(self):
        self.by_replica = {}
        self.index = PlacementIndex()
        self._statistics = None
        # Position of the next replica to compare among many.
        self._next_compared = 0
        self._demand_by_key = {}
        self._total_recent_demand = DecayingCount(RECENT_DEMAND_HALF_LIFE_S)
        self.evictions = Evictions(
            self.index,
            self._demand_by_key,
            EVICTION_GRACE_S,
            NEARLY_FULL_UTILIZATION,
        )

    def add_replica(self, replica):
        self.by_replica[replica.replica_id] = replica

    def remove_replica(self, replica_id):
        replica = self.by_replica.pop(replica_id, None)
        if replica is not None:
            replica.forget()

    def remove_all(self):
        for replica_id in list(self.by_replica):
            self.remove_replica(replica_id)

    def record_demand(self, key, uses, software_version=""):
        """Records uses of an adapter, and that requests for a version ask for places.

        An empty version stands for requests that any replica can serve.
        """
        now = anyio.current_time()
        demand = self._demand_by_key.get(key)
        if demand is None:
            demand = self._demand_by_key[key] = AdapterDemand()
        demand.add(uses, now, software_version)
        self._total_recent_demand.add(uses, now)
        holders = [item for item in self.holders(key) if item.runs(software_version)]
        for replica in holders:
            replica.demand.add(uses / len(holders), now)
            replica.recent_prompts.add(uses / len(holders), now)

    def record_expected_prompt(self, replica_id):
        """Counts the prompt of a request that waits for a load at a replica."""
        replica = self.by_replica.get(replica_id)
        if replica is not None:
            replica.recent_prompts.add(1, anyio.current_time())

    def holders(self, key):
        """Returns the usable replicas that hold the adapter or are loading it."""
        return self.index.usable_holders(key)

    def has_usable(self, software_version):
        """Whether a replica of a software version is usable."""
        return any(
            replica.usable and replica.runs(software_version)
            for replica in self.by_replica.values()
        )

    def copy_reason(self, key):
        """Returns why one more replica should load an adapter that has holders.

        Returns None if the present holders are enough.
        """
        holders = self.holders(key)
        copies = len(holders) + len(self.index.pending(key))
        if copies < self._target_copies(key):
            return LoadReason.DEMAND
        if self._needs_holder_without_limit(key, holders):
            return LoadReason.LIMIT
        others = self._statistics_of_others(key)
        holder_utilization = min(replica.utilization for replica in holders)
        now = anyio.current_time()
        recent_rate = self._demand_by_key[key].recent.rate(now)
        if (
            recent_rate < COPY_MIN_REQUESTS_PER_S
            and holder_utilization < NEARLY_FULL_UTILIZATION
        ):
            return None
        if holder_utilization > MAX_HOLDER_UTILIZATION:
            max_utilization = holder_utilization * COPY_MAX_UTILIZATION_RATIO
            if others.min_utilization < max_utilization:
                return LoadReason.UTILIZATION
            return None
        if self._demand_by_key[key].uses.rate(now) < MOVE_MIN_REQUESTS_PER_S:
            return None
        median_s = self._current_statistics().median_interval_s
        holder_delay = min(replica.prompt_delay(now, median_s) for replica in holders)
        if (
            holder_delay > MOVE_MIN_PROMPT_DELAY
            and others.min_prompt_delay < holder_delay * MOVE_MAX_DELAY_RATIO
        ):
            return LoadReason.PROMPT_DELAY
        return None

    def _needs_holder_without_limit(self, key, holders):
        limits = [replica.limit_per_s for replica in holders]
        if None in limits or self.index.pending(key):
            return False
        rate = self._demand_by_key[key].uses.rate(anyio.current_time())
        return rate > MAX_LIMIT_FRACTION * sum(limits) and any(
            replica.usable and replica.limit_per_s is None
            for replica in self.by_replica.values()
        )

    @property
    def _is_large(self):
        return len(self.by_replica) > MAX_COMPARED_REPLICAS

    def _current_statistics(self):
        """Returns the PlacementStatistics, which may be old among many replicas."""
        now = anyio.current_time()
        known = self._statistics
        if (
            known is None
            or not self._is_large
            or now - known.computed_at > STATISTICS_MAX_AGE_S
        ):
            self._statistics = PlacementStatistics(self.by_replica.values(), now)
        return self._statistics

    def _statistics_of_others(self, key):
        """Returns the figures of the replicas that do not hold an adapter.

        Among many replicas its holders make no difference.
        """
        if self._is_large:
            return self._current_statistics()
        others = [
            replica for replica in self.by_replica.values() if key not in replica.held
        ]
        median_s = self._current_statistics().median_interval_s
        return PlacementStatistics(others, anyio.current_time(), median_s)

    def _target_copies(self, key):
        """Returns the copies that keep an adapter's holders from being overloaded.

        Their utilization is to stay below MAX_HOLDER_UTILIZATION, and their prompt load
        below MAX_HOLDER_PROMPT_LOAD or, if that is higher, the mean load. Attributes
        the utilization of all replicas to adapters by their shares of the recent
        demand. Waiting until the holders report a high utilization would take a
        heartbeat and a load for each copy; meanwhile a newly popular adapter would
        overload its first holders.
        """
        now = anyio.current_time()
        total = self._total_recent_demand.value(now)
        if total < MIN_RECENT_USES:
            return 0
        statistics = self._current_statistics()
        share = self._demand_by_key[key].recent.value(now) / total
        utilization = share * statistics.utilization_sum
        prompt_time_s = PROMPT_EVENT_INTERVALS * statistics.median_interval_s
        total_load = self._total_recent_demand.rate(now) * prompt_time_s
        mean_load = total_load / len(self.by_replica)
        return max(
            int(utilization / MAX_HOLDER_UTILIZATION),
            round(share * total_load / max(MAX_HOLDER_PROMPT_LOAD, mean_load)),
        )

    def choose_replica(self, key, avoid=(), software_version=""):
        """Returns the replica that should load an adapter; None if none can now.

        Replica ids in ``avoid`` are chosen only if the others cost much more. Only
        replicas of ``software_version`` are chosen, or any if it is empty.
        """
        best, best_cost = None, math.inf
        now = anyio.current_time()
        median_s = self._current_statistics().median_interval_s
        for replica in self._replicas_to_compare(key, software_version):
            if not replica.may_load(key):
                continue
            cost = self._cost(replica, key, now, median_s)
            if replica.replica_id in avoid:
                cost += FAILURE_COST
            if cost < best_cost:
                best, best_cost = replica, cost
        return best

    def _replicas_to_compare(self, key, software_version):
        """Returns the replicas of a version among which a load is placed."""
        replicas = list(self.by_replica.values())
        if software_version:
            replicas = [item for item in replicas if item.runs(software_version)]
        if len(replicas) <= MAX_COMPARED_REPLICAS:
            return replicas
        start = self._next_compared % len(replicas)
        self._next_compared = start + MAX_COMPARED_REPLICAS
        window = (replicas + replicas)[start : start + MAX_COMPARED_REPLICAS]
        recent = self.index.recent_holders(key)
        found = [item for item in recent if item.runs(software_version)]
        place = self.evictions.withheld_places.place_for(key, software_version)
        if place is not None:
            found.append(place[0])
        return [*found, *window]

    def _cost(self, replica, key, now, median_s):
        """Returns the cost of a load; infinite if the replica has no slot for it."""
        cost = PROMPT_DELAY_COST * replica.prompt_delay(now, median_s)
        cost += PROMPT_LOAD_COST * replica.prompt_load(now)
        cost += (
            PENDING_LOAD_COST * len(replica.pending_loads)
            + UTILIZATION_COST * replica.utilization
        )
        if replica.may_be_gone(now):
            cost += FAILURE_COST
        if replica.limit_per_s is not None:
            cost += LIMIT_COST * replica.demand.rate(now) / replica.limit_per_s
        if replica.free_slots <= 0:
            victim = self.eviction_candidate(replica, key)
            if victim is None:
                return math.inf
            # The probability that the victim is soon requested and loaded again.
            demand = self.evictions.demand_at(replica, victim, now)
            cost += EVICTION_COST * (1 - math.exp(-demand))
        if replica.was_recently_held(key):
            cost -= RECENT_BONUS
        return cost

    def eviction_candidate(self, replica, load_key=None):
        """Returns the key that a load may evict at a replica; None if none."""
        return self.evictions.candidate(replica, load_key)

    def places(self, key, avoid=(), software_version=""):
        """Returns the holders of an adapter that hosts may use for a version.

        Withheld ones are used again if there are no others.
        """
        holders = [
            item
            for item in self.holders(key)
            if item.replica_id not in avoid and item.runs(software_version)
        ]
        named = [item for item in holders if item.withheld(key) is None]
        if named:
            return named
        for replica in holders:
            replica.held[key].withheld = None
        return holders

    def withhold_place(self, load_key, software_version, avoid=()):
        """Withholds a place at a replica of a version, so that a load can evict it."""
        if not self.evictions.must_search(load_key, software_version, avoid):
            return
        replicas = self._replicas_to_compare(load_key, software_version)
        self.evictions.withhold_place(
            load_key,
            software_version,
            [item for item in replicas if item.replica_id not in avoid],
        )

    def store_loads_in_flight(self):
        """Returns the number of adapter loads from the store that are in flight."""
        return self.index.store_loads

    def drop_stale_demand(self):
        """Drops the demand of adapters not requested for 10 demand half-lives."""
        horizon = anyio.current_time() - 10 * DEMAND_HALF_LIFE_S
        for key, demand in list(self._demand_by_key.items()):
            if demand.requested_at < horizon:
                del self._demand_by_key[key]
            elif len(demand.by_version) > 1:
                demand.drop_versions(horizon)
        self.evictions.withheld_places.drop_ended()
