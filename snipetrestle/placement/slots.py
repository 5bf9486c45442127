"""Adapter slots of one replica: copies, pins and eviction."""

import enum
import heapq

import anyio

# A copy in higher demand than the adapter to load is not evicted, unless the requests
# of that adapter have waited this long. Cold adapters are thus delayed but never
# starved.
STARVATION_TIMEOUT_S = 0.1


class CopyState(enum.Enum):
    """State of a copy at the engine."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"


class Copy:
    """One copy of an adapter version in a slot.

    ``pins`` counts the running requests and ``queued_requests`` the queued requests
    that protect the copy from eviction. A copy that is not ``own`` was loaded in
    another term; it takes a slot and is neither used nor evicted.
    """

    __slots__ = (
        "handle",
        "state",
        "pins",
        "queued_requests",
        "load_s",
        "last_used",
        "ready_at",
        "own",
        "for_batch",
    )

    def __init__(self, handle, state):
        self.handle = handle
        self.state = state
        self.pins = 0
        self.queued_requests = 0
        self.load_s = 0.0
        self.last_used = anyio.current_time()
        self.ready_at = self.last_used
        self.own = True
        # Loaded for batch requests and not used by a waiting request since.
        self.for_batch = False

    @property
    def ready(self):
        return self.state is CopyState.RESIDENT

    @property
    def evictable(self):
        return (
            self.state is CopyState.RESIDENT
            and self.own
            and self.pins == 0
            and self.queued_requests == 0
        )


class SlotTable:
    """Slots of one replica and the copies in them.

    Methods raise ValueError on a step that could unload a copy in use or overfill the
    slots. ``demand`` is a DemandTracker of handles. ``reserve_slots`` slots stay free
    for a successor at engines that ignore fencing numbers.
    """

    def __init__(self, slots, demand, reserve_slots=0):
        self.slots = slots
        self.reserve_slots = reserve_slots
        self.demand = demand
        self.copies_by_handle = {}

    @property
    def free_slots(self):
        return self.slots - self.reserve_slots - len(self.copies_by_handle)

    def find(self, handle):
        return self.copies_by_handle.get(handle)

    def is_resident(self, handle):
        copy = self.copies_by_handle.get(handle)
        return copy is not None and copy.state is CopyState.RESIDENT

    def resident_handles(self):
        return [
            copy.handle
            for copy in self.copies_by_handle.values()
            if copy.state is CopyState.RESIDENT
        ]

    def pin(self, handle):
        """Protects a resident copy from eviction for one request; returns the copy."""
        copy = self.copies_by_handle.get(handle)
        if copy is None or copy.state is not CopyState.RESIDENT:
            raise ValueError(f"{handle} is not resident")
        copy.pins += 1
        copy.last_used = anyio.current_time()
        return copy

    def unpin(self, copy):
        """Ends a pin.

        Takes the copy and not its handle, since a new copy may have the same handle.
        """
        if copy.pins < 1:
            raise ValueError(f"{copy.handle} is not pinned")
        copy.pins -= 1
        copy.last_used = anyio.current_time()

    def set_queued_requests(self, handle, count):
        """Sets the number of queued requests that protect a copy from eviction."""
        copy = self.copies_by_handle.get(handle)
        if copy is not None:
            copy.queued_requests = count

    def begin_load(self, handle):
        """Takes a free slot for a load."""
        if handle in self.copies_by_handle or self.free_slots < 1:
            raise ValueError(f"no slot to load {handle}")
        self.copies_by_handle[handle] = Copy(handle, CopyState.LOADING)

    def finish_load(self, handle, load_s=0.0):
        copy = self.copies_by_handle.get(handle)
        if copy is not None:
            copy.state = CopyState.RESIDENT
            copy.load_s = load_s
            copy.last_used = copy.ready_at = anyio.current_time()

    def adopt(self, handle, pins=0, own=True):
        """Adds a copy that the engine already has, for example after a takeover."""
        copy = self.copies_by_handle.setdefault(
            handle, Copy(handle, CopyState.RESIDENT)
        )
        copy.pins += pins
        copy.own = own

    def forget(self, handle):
        """Frees the slot of a copy that the engine certainly no longer has."""
        self.copies_by_handle.pop(handle, None)

    def begin_unload(self, handle):
        copy = self.copies_by_handle.get(handle)
        if copy is None or not copy.evictable:
            raise ValueError(f"{handle} must not be evicted")
        copy.state = CopyState.UNLOADING

    def cancel_unload(self, handle):
        """Marks a copy as resident again that the engine did not unload."""
        copy = self.copies_by_handle.get(handle)
        if copy is not None and copy.state is CopyState.UNLOADING:
            copy.state = CopyState.RESIDENT

    def reload_cost(self, copy):
        """Returns the load stall in seconds per second that an eviction would cost."""
        return self.demand.rate(copy.handle) * max(copy.load_s, 0.05)

    def incoming_demand(self, handle, waited_s=0.0):
        """Returns the demand per second for an adapter to load, raised as it waits."""
        if waited_s >= STARVATION_TIMEOUT_S:
            return float("inf")
        return self.demand.rate(handle) / (1.0 - waited_s / STARVATION_TIMEOUT_S)

    def victim_for(self, handle, waited_s=0.0):
        """Returns the handle to evict for a load of ``handle``, or None.

        The copy with the lowest reload cost is evicted first. A copy in higher demand
        than ``handle`` is never chosen.
        """
        max_demand = self.incoming_demand(handle, waited_s)
        return self._cheapest_to_reload(
            copy
            for copy in self.copies_by_handle.values()
            if copy.evictable and self.demand.rate(copy.handle) <= max_demand
        )

    def batch_victim(self, max_copies):
        """Returns the handle to evict for a batch load, or None.

        Batch requests keep at most ``max_copies`` copies; from that number on a batch
        load replaces one of them.
        """
        candidates = [copy for copy in self.copies_by_handle.values() if copy.for_batch]
        if len(candidates) < max_copies:
            candidates = self.copies_by_handle.values()
        return self._cheapest_to_reload(copy for copy in candidates if copy.evictable)

    def _cheapest_to_reload(self, copies):
        best = min(
            ((self.reload_cost(copy), copy.last_used, copy.handle) for copy in copies),
            default=None,
        )
        return None if best is None else best[2]

    def hottest_handles(self, count):
        """Returns the handles of resident and loading copies in order of demand."""
        copies = [
            copy.handle
            for copy in self.copies_by_handle.values()
            if copy.own and copy.state is not CopyState.UNLOADING
        ]
        return heapq.nlargest(count, copies, key=self.demand.rate)

    def obtainable_slots(self, handle, waited_s=0.0):
        """Returns the number of slots that loads of ``handle`` could get now."""
        max_demand = self.incoming_demand(handle, waited_s)
        return max(0, self.free_slots) + sum(
            1
            for copy in self.copies_by_handle.values()
            if copy.evictable and self.demand.rate(copy.handle) <= max_demand
        )
