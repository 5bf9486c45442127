"""Loads adapter copies at one engine: permits, evictions, orders and back-off."""

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

# Back-off after the first failed load of a handle; it doubles with each failure and has
# jitter.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
MAX_TRACKED_FAILURES = 1_000
# Weight of a new measurement in the moving average of load times.
EWMA_WEIGHT = 0.2
DEFAULT_LOAD_S = 0.5


class _FailureRecord:
    """Failed loads of a handle in a row, and the time of the next attempt."""

    __slots__ = ("count", "retry_at")

    def __init__(self):
        self.count = 0
        self.retry_at = 0.0


class CopyLoader:
    """Loads adapters into the slots of one replica.

    ``pending_by_handle`` holds the LoadDemand of each load from the request for its
    permit until its end.
    """

    def __init__(self, server, engine, permits, slots, rng):
        self.server = server
        self.engine = engine
        self.permits = permits
        self.slots = slots
        self.pending_by_handle = {}
        self.mean_load_s = DEFAULT_LOAD_S
        self.max_batch_copies = 1
        # Called after a change of the slots, so that the owner schedules its requests.
        self.on_slots_changed = lambda: None
        # Called with the handle of an unload order whose reply was lost.
        self.on_unconfirmed_unload = lambda handle: None
        self.load_count = 0
        self._random = rng
        self._failures_by_handle = {}

    def backoff_left_s(self, handle):
        """Returns the seconds until a handle may be loaded again after a failure."""
        failure = self._failures_by_handle.get(handle)
        if failure is None:
            return 0.0
        return max(0.0, failure.retry_at - anyio.current_time())

    async def load(
        self, handle, adapter, version, demand, fencing_number, still_needed
    ):
        """Loads a copy and returns whether it is resident.

        ``still_needed()`` is called when the permit is granted; if it returns false,
        the load is skipped. ``fencing_number()`` returns the number that the orders
        carry. Raises EngineError.
        """
        started_at = anyio.current_time()
        try:
            async with self.permits.permit(
                self.server.weight_store,
                demand.load_class,
                demand.unblocked,
                demand=demand,
            ) as permit:
                if not still_needed() or not await self._reserve_slot(
                    handle, demand, fencing_number
                ):
                    if permit is not None:
                        permit.unused = True
                    return False
                order = LoadOrder(handle, adapter, version, fencing_number())
                await run_detached(self._send_load(order))
        finally:
            self.pending_by_handle.pop(handle, None)
        self.load_count += 1
        elapsed = anyio.current_time() - started_at
        self.mean_load_s += EWMA_WEIGHT * (elapsed - self.mean_load_s)
        return True

    async def _send_load(self, order):
        sent_at = anyio.current_time()
        try:
            await self.engine.load(order)
        except EngineError as error:
            self.slots.forget(order.handle)
            self._record_failure(order.handle, error)
            raise
        else:
            self._failures_by_handle.pop(order.handle, None)
            self.slots.finish_load(order.handle, anyio.current_time() - sent_at)
        finally:
            # The request that started the load may be gone while others wait for it.
            self.on_slots_changed()

    async def _reserve_slot(self, handle, demand, fencing_number):
        """Reserves a slot, evicting a copy if needed; returns whether it did."""
        while self.slots.free_slots < 1:
            victim = self._choose_victim(handle, demand)
            if victim is None:
                return False
            self.slots.begin_unload(victim)
            order = UnloadOrder(victim, fencing_number())
            if not await run_detached(self._send_unload(order)):
                return False
        if self.slots.find(handle) is not None:
            return False
        self.slots.begin_load(handle)
        self.slots.find(handle).for_batch = demand.load_class == LoadClass.BATCH
        return True

    async def _send_unload(self, order):
        """Returns whether the engine has unloaded the copy."""
        try:
            await self.engine.unload(order)
        except OldFencingNumber:
            self.slots.cancel_unload(order.handle)
            raise
        except EngineError as error:
            if error.sent:
                # The engine may still receive the order, so the copy stays unusable in
                # this term.
                self.on_unconfirmed_unload(order.handle)
            else:
                self.slots.cancel_unload(order.handle)
            return False
        self.slots.forget(order.handle)
        self.on_slots_changed()
        return True

    def _choose_victim(self, handle, demand):
        """Returns the handle of the copy to evict for a load, or None."""
        if demand.load_class == LoadClass.BATCH:
            return self.slots.batch_victim(self.max_batch_copies)
        waited_s = 0.0
        if demand.load_class == LoadClass.WAITING:
            waited_s = anyio.current_time() - demand.since
        return self.slots.victim_for(handle, waited_s)

    def _record_failure(self, handle, error):
        log_event(
            Event.LOAD_FAILED,
            replica=self.server.name,
            handle=handle,
            error=str(error),
        )
        failure = self._failures_by_handle.setdefault(handle, _FailureRecord())
        failure.count += 1
        backoff = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(failure.count - 1, 10)
        )
        jitter = 0.5 + self._random.random()
        failure.retry_at = anyio.current_time() + backoff * jitter
        if len(self._failures_by_handle) > MAX_TRACKED_FAILURES:
            del self._failures_by_handle[next(iter(self._failures_by_handle))]
