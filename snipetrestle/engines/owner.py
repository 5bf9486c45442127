"""The owner of a replica: its queue, pins, loads and dispatch."""

import contextlib

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Accepted, Finished, ReplicaHints, Tokens
from snipetrestle.engines.protocol import (
    EngineError,
    GenerateRequest,
    LoadOrder,
    OldFencingNumber,
    UnloadOrder,
    handle_of,
)
from snipetrestle.events import Event, log_event
from snipetrestle.placement.permits import LoadClass


class _Copy:
    """A resident copy of an adapter and the requests that use it."""

    __slots__ = ("handle", "pins", "ready", "last_used", "failure")

    def __init__(self, handle):
        self.handle = handle
        self.pins = 0
        self.ready = anyio.Event()
        self.last_used = anyio.current_time()
        self.failure = None


class ReplicaOwner:
    """Serves the generations of one replica."""

    def __init__(self, server, engine, permits, fencing_number=1, handle_suffix=None):
        self.server = server
        self.engine = engine
        self.permits = permits
        self.fencing_number = fencing_number
        self.handle_suffix = handle_suffix
        self.queued = 0
        self.running = 0
        self._copies_by_handle = {}
        self._slot_freed = anyio.Event()
        self._batch_places = anyio.Semaphore(server.max_batch)
        # Called when the engine refuses the fencing number.
        self.on_fenced = lambda: None
        self._stopped = anyio.Event()
        self._held_handles = set()
        self._unusable_slots = 0

    # Hooks of ReplicaOwnership

    def adopt(self, handle):
        """Takes over a resident copy of an earlier term."""
        copy = self._copies_by_handle.setdefault(handle, _Copy(handle))
        copy.ready.set()

    def hold(self, handle):
        """Keeps a copy from eviction while another owner's requests use it."""
        if handle not in self._held_handles:
            self._held_handles.add(handle)
            self._copies_by_handle[handle].pins += 1

    def release(self, handle):
        if handle in self._held_handles:
            self._held_handles.discard(handle)
            self._unpin(self._copies_by_handle[handle])

    def set_unusable_slots(self, count):
        """Sets how many of the engine's slots this owner must leave alone."""
        self._unusable_slots = count
        self._notify_slot_freed()

    def stop_dispatch(self):
        """Refuses queued and new requests with NOT_OWNER; running ones finish."""
        self._stopped.set()
        self._notify_slot_freed()

    def engine_restarted(self):
        """Forgets the copies of an engine that restarted empty."""
        self._held_handles.clear()
        self._copies_by_handle.clear()
        self._notify_slot_freed()

    def pinned_handles(self):
        """Returns the handles that requests of this owner may use."""
        return tuple(
            copy.handle
            for copy in self._copies_by_handle.values()
            if copy.pins > (copy.handle in self._held_handles)
        )

    def resident_handles(self):
        return tuple(
            copy.handle
            for copy in self._copies_by_handle.values()
            if copy.ready.is_set()
        )

    def _check_dispatch(self):
        if self._stopped.is_set():
            raise ServingError(ResultCode.NOT_OWNER, self.server.name)

    def hints(self, handle=None):
        copy = self._copies_by_handle.get(handle)
        return ReplicaHints(
            replica=self.server.name,
            queued=self.queued,
            running=self.running,
            resident=copy is not None and copy.ready.is_set(),
        )

    @contextlib.asynccontextmanager
    async def submit(self, forward):
        """Yields an async iterator of Accepted, Tokens and Finished."""
        yield self._serve(forward)

    async def _serve(self, forward):
        handle = handle_of(forward.adapter, forward.version, self.handle_suffix)
        yield Accepted(self.hints(handle))
        arrived = anyio.current_time()
        self.queued += 1
        try:
            await self._acquire_place()
        finally:
            self.queued -= 1
        self.running += 1
        try:
            copy = await self._pin(forward, handle)
            try:
                self._check_dispatch()
                dispatched = anyio.current_time()
                async for message in self._generate(forward, handle):
                    if isinstance(message, Finished):
                        message.queue_wait_s = dispatched - arrived
                    yield message
            finally:
                self._unpin(copy)
        finally:
            self.running -= 1
            self._batch_places.release()

    async def _acquire_place(self):
        self._check_dispatch()
        acquired = False
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_when_stopped, group.cancel_scope)
            await self._batch_places.acquire()
            acquired = True
            group.cancel_scope.cancel()
        if not acquired:
            raise ServingError(ResultCode.NOT_OWNER, self.server.name)

    async def _cancel_when_stopped(self, scope):
        await self._stopped.wait()
        scope.cancel()

    async def _generate(self, forward, handle):
        request = GenerateRequest(
            request_id=forward.request_id,
            handle=handle,
            prompt=forward.prompt,
            prompt_tokens=forward.prompt_tokens,
            max_tokens=forward.max_tokens,
            priority=0 if forward.request_class == "waiting" else 1,
            fencing_number=self.fencing_number,
            next_index=forward.next_index,
            forced_tokens=forward.forced_tokens,
            prefix=forward.prefix,
        )
        finished = False
        try:
            async with self.engine.generate(request) as batches:
                async for batch in batches:
                    self._check_echo(request, batch)
                    yield Tokens(batch.first_index, batch.tokens)
                    if batch.finish_reason is not None:
                        finished = True
                        yield Finished(batch.finish_reason, hints=self.hints(handle))
        except OldFencingNumber as error:
            finished = True
            self.on_fenced()
            raise ServingError(ResultCode.FENCED, str(error)) from error
        except EngineError as error:
            finished = True
            raise ServingError(ResultCode.STREAM_BROKEN, str(error)) from error
        finally:
            if not finished:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    await self.engine.cancel(request.request_id)

    def _check_echo(self, request, batch):
        if (batch.request_id, batch.handle) == (request.request_id, request.handle):
            return
        log_event(
            Event.ANSWER_MISMATCH,
            replica=self.server.name,
            wanted=request.handle,
            got=batch.handle,
        )
        raise ServingError(ResultCode.ANSWER_MISMATCH)

    async def _pin(self, forward, handle):
        copy = self._copies_by_handle.get(handle)
        if copy is None:
            copy = await self._load(forward, handle)
        copy.pins += 1
        copy.last_used = anyio.current_time()
        await copy.ready.wait()
        if copy.failure is not None:
            copy.pins -= 1
            if isinstance(copy.failure, OldFencingNumber):
                raise ServingError(ResultCode.FENCED, str(copy.failure))
            raise ServingError(ResultCode.LOAD_FAILED, str(copy.failure))
        return copy

    def _unpin(self, copy):
        copy.pins -= 1
        copy.last_used = anyio.current_time()
        self._notify_slot_freed()

    async def _load(self, forward, handle):
        while (
            len(self._copies_by_handle) + self._unusable_slots
            >= self.server.adapter_slots
        ):
            self._check_dispatch()
            await self._evict_one()
            if handle in self._copies_by_handle:
                return self._copies_by_handle[handle]
        copy = self._copies_by_handle[handle] = _Copy(handle)
        copy.pins += 1
        order = LoadOrder(handle, forward.adapter, forward.version, self.fencing_number)
        load_class = (
            LoadClass.WAITING if forward.request_class == "waiting" else LoadClass.BATCH
        )
        try:
            async with self.permits.permit(self.server.weight_store, load_class):
                await self.engine.load(order)
        except EngineError as error:
            self._copies_by_handle.pop(handle, None)
            copy.failure = error
            if isinstance(error, OldFencingNumber):
                self.on_fenced()
        finally:
            copy.pins -= 1
            copy.ready.set()
        return copy

    async def _evict_one(self):
        idle = [copy for copy in self._copies_by_handle.values() if copy.pins == 0]
        if not idle:
            await self._slot_freed.wait()
            return
        oldest = min(idle, key=lambda copy: copy.last_used)
        # Marked as leaving first, so that no request pins it while the order is on its
        # way; its slot counts as taken until the engine has answered.
        self._copies_by_handle[object()] = self._copies_by_handle.pop(oldest.handle)
        oldest.pins += 1
        try:
            await self.engine.unload(UnloadOrder(oldest.handle, self.fencing_number))
        except OldFencingNumber:
            self.on_fenced()
        except EngineError as error:
            raise ServingError(ResultCode.LOAD_FAILED, str(error)) from error
        finally:
            self._forget(oldest)

    def _forget(self, copy):
        for key, value in tuple(self._copies_by_handle.items()):
            if value is copy:
                del self._copies_by_handle[key]
        self._notify_slot_freed()

    def _notify_slot_freed(self):
        self._slot_freed.set()
        self._slot_freed = anyio.Event()
