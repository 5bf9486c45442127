"""Adapter slots of one replica: copies, pins, promises and eviction."""

import enum
import heapq

import anyio

# A newcomer whose requests have waited this long counts as hotter than any copy, so
# that cold adapters are held back but never starved.
PATIENCE_S = 0.1


class CopyState(enum.Enum):
    """State of a copy at the engine."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"


class Copy:
    """One copy of an adapter version and the requests that use it or will use it."""

    __slots__ = (
        "handle",
        "state",
        "pins",
        "promises",
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
        self.promises = 0
        self.load_s = 0.0
        self.last_used = anyio.current_time()
        self.ready_at = self.last_used
        self.own = True
        # Loaded for batch work and not used by a waiting request since.
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
            and self.promises == 0
        )


class SlotTable:
    """Copies of one replica. Raises ValueError on an unsafe step.

    ``demand`` is a DemandTracker over handles. ``reserve`` slots stay free for a
    successor on engines that ignore fencing numbers.
    """

    def __init__(self, slots, demand, reserve=0):
        self.slots = slots
        self.reserve = reserve
        self.demand = demand
        self.copies_by_handle = {}

    @property
    def free(self):
        return self.slots - self.reserve - len(self.copies_by_handle)

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
        """Protects a resident copy while a request uses it; returns the copy."""
        copy = self.copies_by_handle.get(handle)
        if copy is None or copy.state is not CopyState.RESIDENT:
            raise ValueError(f"{handle} is not resident")
        copy.pins += 1
        copy.last_used = anyio.current_time()
        return copy

    def unpin(self, copy):
        """Ends a pin. It takes the copy, since the handle may be loaded again."""
        if copy.pins < 1:
            raise ValueError(f"{copy.handle} is not pinned")
        copy.pins -= 1
        copy.last_used = anyio.current_time()

    def set_promises(self, handle, count):
        """Protects a copy for ``count`` queued requests."""
        copy = self.copies_by_handle.get(handle)
        if copy is not None:
            copy.promises = count

    def begin_load(self, handle):
        """Takes a free slot for a load."""
        if handle in self.copies_by_handle or self.free < 1:
            raise ValueError(f"no slot to load {handle}")
        self.copies_by_handle[handle] = Copy(handle, CopyState.LOADING)

    def finish_load(self, handle, load_s=0.0):
        copy = self.copies_by_handle.get(handle)
        if copy is not None:
            copy.state = CopyState.RESIDENT
            copy.load_s = load_s
            copy.last_used = copy.ready_at = anyio.current_time()

    def adopt(self, handle, pins=0, own=True):
        """Notes a copy that the engine holds already, for example after a takeover."""
        copy = self.copies_by_handle.setdefault(
            handle, Copy(handle, CopyState.RESIDENT)
        )
        copy.pins += pins
        copy.own = own

    def forget(self, handle):
        """Frees the slot of a copy that the engine certainly no longer holds."""
        self.copies_by_handle.pop(handle, None)

    def begin_unload(self, handle):
        copy = self.copies_by_handle.get(handle)
        if copy is None or not copy.evictable:
            raise ValueError(f"{handle} must not be evicted")
        copy.state = CopyState.UNLOADING

    def cancel_unload(self, handle):
        """Notes that the engine did not unload the copy."""
        copy = self.copies_by_handle.get(handle)
        if copy is not None and copy.state is CopyState.UNLOADING:
            copy.state = CopyState.RESIDENT

    def reload_cost(self, copy):
        """Returns the stall seconds per second that the copy's absence would cost."""
        return self.demand.rate(copy.handle) * max(copy.load_s, 0.05)

    def newcomer_demand(self, handle, waited_s=0.0):
        """Returns the newcomer's demand per second, raised by the time it waited."""
        if waited_s >= PATIENCE_S:
            return float("inf")
        return self.demand.rate(handle) / (1.0 - waited_s / PATIENCE_S)

    def victim_for(self, handle, waited_s=0.0):
        """Returns the handle to evict, or None if no copy may go.

        The copy with the lowest reload cost goes first. A copy in hotter demand than
        the newcomer stays.
        """
        limit = self.newcomer_demand(handle, waited_s)
        return self._cheapest(
            copy
            for copy in self.copies_by_handle.values()
            if copy.evictable and self.demand.rate(copy.handle) <= limit
        )

    def batch_victim(self, max_copies):
        """Returns the handle to evict for batch work, or None.

        Batch work holds at most ``max_copies``; at that number it replaces its own.
        """
        own = [copy for copy in self.copies_by_handle.values() if copy.for_batch]
        if len(own) < max_copies:
            own = self.copies_by_handle.values()
        return self._cheapest(copy for copy in own if copy.evictable)

    def _cheapest(self, copies):
        best = min(
            ((self.reload_cost(copy), copy.last_used, copy.handle) for copy in copies),
            default=None,
        )
        return None if best is None else best[2]

    def hottest(self, count):
        """Returns the handles of present and arriving copies, the hottest first."""
        copies = [
            copy.handle
            for copy in self.copies_by_handle.values()
            if copy.own and copy.state is not CopyState.UNLOADING
        ]
        return heapq.nlargest(count, copies, key=self.demand.rate)

    def obtainable(self, handle, waited_s=0.0):
        """Returns the number of slots that the newcomer could get now."""
        limit = self.newcomer_demand(handle, waited_s)
        return max(0, self.free) + sum(
            1
            for copy in self.copies_by_handle.values()
            if copy.evictable and self.demand.rate(copy.handle) <= limit
        )
