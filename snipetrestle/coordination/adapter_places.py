"""Decides which adapters the replicas of one backend hold.

The leader notes demand as hosts ask for adapters. An adapter that is not held goes to
the replica that costs least: one that held it lately loads it faster, a free place
spares an eviction, and less demand means shorter batches. The adapter with the least
demand makes way; one that was asked for lately is never evicted, since hosts use a
place for a while without asking again.
"""

import collections
import math

import anyio

DEMAND_HALF_LIFE_S = 8.0
# Copies follow the demand of the last seconds: another adapter may become popular at once.
RECENT_HALF_LIFE_S = 1.5
# Hosts use a place that they were told for up to this long.
PLACE_LEASE_S = 0.4
# An adapter that was asked for within this time is not evicted.
KEEP_S = PLACE_LEASE_S + 0.6
# Above this load of all its holders, an adapter gets one more copy. Each copy is
# fetched from the store, which others wait for.
COPY_LOAD = 0.35
# With fewer uses than this of late, shares of the demand say little.
LEAST_RECENT_USES = 10.0
# A copy goes only to a replica with less than this part of the holders' load.
COPY_GAIN = 0.6
DEFAULT_PACE_S = 0.03
# Time that the prompt of a request takes at a replica, in times between events.
PROMPT_EVENTS = 2.0
# A replica is never taken to be busier than this.
MOST_BUSY = 0.95
# A used adapter is copied to a replica that costs less than this part of its holder.
MOVE_GAIN = 0.35
# Requests a second above which such a copy pays.
MOVE_RATE = 0.25
MOVE_STRAIN = 0.15
# Adapters that a replica held lately are loaded faster; older ones are forgotten.
RECENT_ADAPTERS = 120
# Weights of the choice.
RECENT_BONUS = 0.5
EVICTION_COST = 0.4
STRAIN_COST = 1.0
WAITING_COST = 0.1
LOAD_COST = 2.0
FAILED_COST = 2.0


class DecayingCount:
    """A count that halves in ``half_life_s`` seconds."""

    __slots__ = ("_value", "_at", "_half_life_s")

    def __init__(self, half_life_s=DEMAND_HALF_LIFE_S):
        self._value = 0.0
        self._at = 0.0
        self._half_life_s = half_life_s

    def add(self, count, now):
        self._value = self.value(now) + count
        self._at = now

    def value(self, now):
        return self._value * math.exp2((self._at - now) / self._half_life_s)

    def rate(self, now):
        """Returns the count a second."""
        return self.value(now) * math.log(2) / self._half_life_s


class AdapterPlace:
    """An adapter at a replica.

    ``ready_at`` is when its load is expected to end, and ``ordered_at`` when the load
    was ordered; None once the replica has confirmed that the adapter is there.
    """

    __slots__ = ("version", "ready_at", "ordered_at", "is_late", "leaving")

    def __init__(self, version, ready_at, ordered_at=None):
        self.version = version
        self.ready_at = ready_at
        self.ordered_at = ordered_at
        # Whether the adapter was not there when it was expected.
        self.is_late = False
        # Whether an unload was ordered that waits for requests in progress.
        self.leaving = False


class ReplicaPlaces:
    """The adapters at one boot of a replica. ``slots`` bounds them."""

    __slots__ = (
        "replica_id",
        "slots",
        "pace_s",
        "load",
        "usable",
        "in_use",
        "held",
        "from_store",
        "waiting",
        "demand",
        "failed_until",
        "_recent",
    )

    def __init__(self, replica_id, slots):
        self.replica_id = replica_id
        self.slots = slots
        # Undisturbed time between two events of a stream.
        self.pace_s = DEFAULT_PACE_S
        # Requests in progress as a part of what the replica runs at once.
        self.load = 0.0
        # Whether the replica takes new requests and its state is known.
        self.usable = False
        # Adapters with requests in progress, as far as the hosts have told.
        self.in_use = frozenset()
        self.held = {}
        # Adapters on their way from the store, where they slow each other down.
        self.from_store = set()
        # Keys whose load was decided and not ordered yet.
        self.waiting = {}
        self.demand = DecayingCount()
        self.failed_until = 0.0
        self._recent = collections.OrderedDict()

    def note_held(self, key, version, ready_at, ordered_at=None):
        self.held[key] = AdapterPlace(version, ready_at, ordered_at)
        self._recent.pop(key, None)
        self._recent[key] = None
        while len(self._recent) > RECENT_ADAPTERS:
            self._recent.popitem(last=False)

    def drop(self, key):
        del self.held[key]
        self.from_store.discard(key)

    def forget_all(self):
        self.held = {}
        self.from_store.clear()

    def was_held(self, key):
        return key in self._recent

    def strain(self, now, usual_pace_s):
        """Returns how much the prompts of its adapters delay a replica's streams.

        A prompt is read in pieces between the tokens of other requests, and on a slow
        replica a few pieces in a row already exceed the allowed pause. So the busy part
        of the time counts by the square of the relative pace.
        """
        busy = min(MOST_BUSY, self.demand.rate(now) * PROMPT_EVENTS * self.pace_s)
        return busy / (1 - busy) * (self.pace_s / usual_pace_s) ** 2

    @property
    def free(self):
        return self.slots - len(self.held) - len(self.waiting)


class AdapterPlaces:
    """Places of all adapters over the replicas of one backend."""

    def __init__(self):
        self.by_replica = {}
        self._demand_by_key = {}
        self._recent_by_key = {}
        self._recent = DecayingCount(RECENT_HALF_LIFE_S)
        self._asked_at_by_key = {}

    def note_demand(self, key, uses):
        now = anyio.current_time()
        count = self._demand_by_key.get(key)
        if count is None:
            count = self._demand_by_key[key] = DecayingCount()
            self._recent_by_key[key] = DecayingCount(RECENT_HALF_LIFE_S)
        count.add(uses, now)
        self._recent_by_key[key].add(uses, now)
        self._recent.add(uses, now)
        self._asked_at_by_key[key] = now
        for replica in self.holders(key):
            replica.demand.add(uses / max(1, len(self.holders(key))), now)

    def holders(self, key):
        """Returns the usable replicas that hold the adapter or are loading it."""
        return [
            replica
            for replica in self.by_replica.values()
            if replica.usable
            and (place := replica.held.get(key)) is not None
            and not place.leaving
        ]

    def needs_copy(self, key):
        """Tells whether the holders of an adapter are strained and others are not."""
        holders = self.holders(key)
        copies = len(holders) + self._waiting_copies(key)
        if copies < self._copies_wanted(key):
            return True
        others = [
            replica
            for replica in self.by_replica.values()
            if replica.usable and key not in replica.held
        ]
        if not others:
            return False
        least_load = min(replica.load for replica in holders)
        if least_load > COPY_LOAD:
            return min(replica.load for replica in others) < least_load * COPY_GAIN
        now = anyio.current_time()
        if self._demand_by_key[key].rate(now) < MOVE_RATE:
            return False
        usual_s = self._usual_pace_s()
        least = min(replica.strain(now, usual_s) for replica in holders)
        other = min(replica.strain(now, usual_s) for replica in others)
        return least > MOVE_STRAIN and other < least * MOVE_GAIN

    def _waiting_copies(self, key):
        """Returns how many loads of an adapter are decided and not ordered yet."""
        return sum(key in replica.waiting for replica in self.by_replica.values())

    def _copies_wanted(self, key):
        """Returns how many copies keep the load by one adapter at COPY_LOAD a replica.

        Attributes the load of all replicas to adapters by their shares of the recent
        demand. To wait until the holders are seen to be loaded takes a heartbeat and a
        load for each copy; meanwhile a newly popular adapter crowds its first holders.
        """
        now = anyio.current_time()
        total = self._recent.value(now)
        if total < LEAST_RECENT_USES:
            return 0
        load = sum(replica.load for replica in self.by_replica.values())
        share = self._recent_by_key[key].value(now) / total
        return int(share * load / COPY_LOAD)

    def _usual_pace_s(self):
        paces = sorted(replica.pace_s for replica in self.by_replica.values())
        return paces[len(paces) // 2]

    def choose(self, key, avoid=()):
        """Returns the replica that is to load an adapter; None if none can now."""
        best, best_cost = None, math.inf
        now = anyio.current_time()
        usual_s = self._usual_pace_s() if self.by_replica else DEFAULT_PACE_S
        for replica in self.by_replica.values():
            if not replica.usable or key in replica.held or key in replica.waiting:
                continue
            cost = self._cost(replica, key, now, usual_s)
            if replica.replica_id in avoid:
                cost += FAILED_COST
            if cost < best_cost:
                best, best_cost = replica, cost
        return best

    def _cost(self, replica, key, now, usual_s):
        """Returns the cost of a load; infinite if the replica has no place for it."""
        cost = STRAIN_COST * replica.strain(now, usual_s)
        cost += WAITING_COST * len(replica.waiting) + LOAD_COST * replica.load
        if replica.failed_until > now:
            cost += FAILED_COST
        if replica.free <= 0:
            victim = self.evictable(replica)
            if victim is None:
                return math.inf
            # The chance that the adapter is soon asked for again and loaded anew.
            cost += EVICTION_COST * (1 - math.exp(-self._demand(victim, now)))
        if replica.was_held(key):
            cost -= RECENT_BONUS
        return cost

    def evictable(self, replica):
        """Returns the key with the least demand that may be evicted; None if none.

        An adapter in use is not evicted: its unload would wait for its requests, and
        its place would serve nobody meanwhile.
        """
        now = anyio.current_time()
        best, best_value = None, math.inf
        for key, place in replica.held.items():
            if place.leaving or key in replica.in_use:
                continue
            asked_at = self._asked_at_by_key.get(key, -math.inf)
            if now - max(asked_at, place.ready_at) < KEEP_S:
                continue
            value = self._demand(key, now)
            if len(self.holders(key)) > 1:
                value /= 2
            if value < best_value:
                best, best_value = key, value
        return best

    def _demand(self, key, now):
        count = self._demand_by_key.get(key)
        return 0.0 if count is None else count.value(now)

    def in_transit(self):
        """Returns the number of adapters on their way from the store."""
        return sum(len(replica.from_store) for replica in self.by_replica.values())

    def trim(self):
        """Forgets the demand of adapters that nobody has asked for in a long time."""
        horizon = anyio.current_time() - 10 * DEMAND_HALF_LIFE_S
        for key in [k for k, at in self._asked_at_by_key.items() if at < horizon]:
            del self._asked_at_by_key[key]
            del self._demand_by_key[key]
            del self._recent_by_key[key]
