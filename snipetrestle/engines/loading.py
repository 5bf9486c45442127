"""Loads of copies at one engine: permits, room, orders and back-off."""

import anyio

from snipetrestle.engines.detached import run_detached
from snipetrestle.engines.protocol import (
    EngineError,
    LoadOrder,
    OldFencingNumber,
    UnloadOrder,
)
from snipetrestle.events import Event, log_event
from snipetrestle.placement.permits import LoadClass

# Back-off after a failed load; doubled at each failure, with jitter.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
MAX_FAILURES = 1_000
# Share of a new measurement in the moving average of load times.
SMOOTHING = 0.2
DEFAULT_LOAD_S = 0.5


class _Failure:
    __slots__ = ("count", "until")

    def __init__(self):
        self.count = 0
        self.until = 0.0


class CopyLoader:
    """Loads adapters into the slots of one replica.

    ``pending_by_handle`` holds the LoadDemand of each load that is asked for.
    """

    def __init__(self, server, engine, permits, slots, rng):
        self.server = server
        self.engine = engine
        self.permits = permits
        self.slots = slots
        self.pending_by_handle = {}
        self.mean_load_s = DEFAULT_LOAD_S
        self.max_batch_copies = 1
        # The owner's step that starts what can start after a change of the slots.
        self.on_changed = lambda: None
        # Called with the handle of an unload order whose answer was lost.
        self.on_uncertain_unload = lambda handle: None
        self.loads = 0
        self._random = rng
        self._failures_by_handle = {}

    def blocked_s(self, handle):
        """Returns the seconds of back-off left for a handle."""
        failure = self._failures_by_handle.get(handle)
        if failure is None:
            return 0.0
        return max(0.0, failure.until - anyio.current_time())

    async def load(self, handle, adapter, version, demand, fencing_number, wanted):
        """Loads a copy; returns whether it is resident.

        ``wanted()`` tells whether the load is still needed when the permit arrives, and
        ``fencing_number()`` the number of the orders. Raises EngineError.
        """
        since = anyio.current_time()
        try:
            async with self.permits.permit(
                self.server.weight_store,
                demand.load_class,
                demand.unblocked,
                demand=demand,
            ) as permit:
                if not wanted() or not await self._make_room(
                    handle, demand, fencing_number
                ):
                    if permit is not None:
                        permit.unused = True
                    return False
                order = LoadOrder(handle, adapter, version, fencing_number())
                await run_detached(self._order_load(order))
        finally:
            self.pending_by_handle.pop(handle, None)
        self.loads += 1
        elapsed = anyio.current_time() - since
        self.mean_load_s += SMOOTHING * (elapsed - self.mean_load_s)
        return True

    async def _order_load(self, order):
        started = anyio.current_time()
        try:
            await self.engine.load(order)
        except EngineError as error:
            self.slots.forget(order.handle)
            self._note_failure(order.handle, error)
            raise
        else:
            self._failures_by_handle.pop(order.handle, None)
            self.slots.finish_load(order.handle, anyio.current_time() - started)
        finally:
            # The request that led the load may be gone, and others wait for the copy.
            self.on_changed()

    async def _make_room(self, handle, demand, fencing_number):
        """Takes a slot, after an eviction if needed; returns whether it did."""
        while self.slots.free < 1:
            victim = self._victim(handle, demand)
            if victim is None:
                return False
            self.slots.begin_unload(victim)
            order = UnloadOrder(victim, fencing_number())
            if not await run_detached(self._order_unload(order)):
                return False
        if self.slots.find(handle) is not None:
            return False
        self.slots.begin_load(handle)
        self.slots.find(handle).for_batch = demand.load_class == LoadClass.BATCH
        return True

    async def _order_unload(self, order):
        """Returns whether the engine has unloaded the copy."""
        try:
            await self.engine.unload(order)
        except OldFencingNumber:
            self.slots.cancel_unload(order.handle)
            raise
        except EngineError as error:
            if error.sent:
                # The order may still arrive. The copy stays unusable in this term.
                self.on_uncertain_unload(order.handle)
            else:
                self.slots.cancel_unload(order.handle)
            return False
        self.slots.forget(order.handle)
        self.on_changed()
        return True

    def _victim(self, handle, demand):
        if demand.load_class == LoadClass.BATCH:
            return self.slots.batch_victim(self.max_batch_copies)
        waited = 0.0
        if demand.load_class == LoadClass.WAITING:
            waited = anyio.current_time() - demand.since
        return self.slots.victim_for(handle, waited)

    def _note_failure(self, handle, error):
        log_event(
            Event.LOAD_FAILED,
            replica=self.server.name,
            handle=handle,
            error=str(error),
        )
        failure = self._failures_by_handle.setdefault(handle, _Failure())
        failure.count += 1
        backoff = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(failure.count - 1, 10))
        jitter = 0.5 + self._random.random()
        failure.until = anyio.current_time() + backoff * jitter
        if len(self._failures_by_handle) > MAX_FAILURES:
            del self._failures_by_handle[next(iter(self._failures_by_handle))]
