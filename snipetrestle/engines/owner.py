"""Owner of a replica: queues its requests, loads adapters and dispatches requests."""

import collections
import contextlib
import itertools
import math
import random

import anyio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Accepted, Finished, ReplicaHints, Tokens
from snipetrestle.engines.loading import CopyLoader
from snipetrestle.engines.protocol import (
    EngineError,
    GenerateRequest,
    NotResident,
    OldFencingNumber,
    format_handle,
)
from snipetrestle.events import Event, log_event
from snipetrestle.placement.demand import DemandTracker
from snipetrestle.placement.load_coordinator import AGE_BONUS_PER_REQUEST_S
from snipetrestle.placement.permits import LoadClass, LoadDemand
from snipetrestle.placement.slots import STARVATION_TIMEOUT_S, SlotTable
from snipetrestle.published import PolicyWeights
from snipetrestle.scheduling.request_queue import (
    DEFAULT_QUEUE_LIMIT,
    URGENT_WITHIN_S,
    QueueEntry,
    RequestQueue,
)

# Queued handles considered for a load in one scheduling step, the oldest first.
MAX_LOAD_CANDIDATES = 64
# Offset that sorts urgent batch requests before all batch groups, whose sort key is
# minus their size: no group has this many requests.
URGENT_SORT_OFFSET_S = 1e9
# Permits that one replica requests at once, for waiting and for batch requests.
MAX_PENDING_LOADS_BY_IS_BATCH = {False: 8, True: 1}
# Fraction of the slots that batch requests may take for adapters that no waiting
# request uses, with equal policy weights.
BATCH_SLOT_FRACTION = 0.125
# Fraction of the slots whose copies batch streams may pin at once.
BATCH_HANDLE_FRACTION = 0.5
# Attempts to run a request whose copy the engine had lost.
MAX_RUN_ATTEMPTS = 3
# The KV cache of a paused stream is exported from this number of tokens on. Below it,
# recomputing costs less than an export and an import (benchmarks/policy.py prints the
# comparison).
MIN_EXPORT_TOKENS = 512
# Weight of a new measurement in the moving average of service times.
EWMA_WEIGHT = 0.1
DEFAULT_SERVICE_S = 1.0
# Handles of lost copies that are remembered, to load them again with spare budget.
MAX_LOST_HANDLES = 32
PREFETCH_PERIOD_S = 0.5
# Resident copies listed in a reply; 32 handles take about 1 kB.
MAX_HINTED_COPIES = 32
CANCEL_TIMEOUT_S = 1.0
# A broken stream is answered after this time, even if the engine reports no status.
STATUS_TIMEOUT_S = 1.0
# An engine that has restarted answers a call that has reached it within this time.
RESTARTED_ANSWER_S = 1.0


class _RequestState:
    """Scheduling state of one submitted request."""

    __slots__ = (
        "forward",
        "entry",
        "wake",
        "job",
        "error",
        "copy",
        "dispatched_at",
        "first_dispatched_at",
        "load_stall_s",
        "tokens",
        "pausing",
        "kv_cache",
        "attempts",
        "has_stream",
        "lost_at",
        "call_scope",
        "pause_scope",
    )

    def __init__(self, forward, entry):
        self.forward = forward
        self.entry = entry
        self.wake = anyio.Event()
        # A load or a pause that the owner has assigned to the task of this request.
        self.job = None
        self.error = None
        # The pinned copy while the request runs.
        self.copy = None
        self.dispatched_at = 0.0
        self.first_dispatched_at = None
        self.load_stall_s = 0.0
        self.tokens = list(forward.forced_tokens)
        self.pausing = False
        self.kv_cache = None
        self.attempts = 0
        # Whether the engine has accepted the request.
        self.has_stream = False
        # When calls for it end, as the process of the engine that ran it has ended.
        self.lost_at = math.inf
        self.call_scope = None
        # The calls by which another request pauses this one.
        self.pause_scope = None

    @property
    def is_dispatched(self):
        return self.copy is not None

    def abandon_job(self):
        if self.job is not None:
            job, self.job = self.job, None
            job.abandon()

    @property
    def pausable(self):
        # If tokens before next_index are unknown here, the stream cannot be resumed.
        tokens_known = self.forward.next_index <= len(self.forward.forced_tokens)
        return self.entry.is_batch and tokens_known and not self.pausing

    def notify(self):
        self.wake.set()
        self.wake = anyio.Event()

    def note_lost(self):
        """Ends the calls for this request, whose engine has restarted.

        One that the engine has not accepted may be about to be refused.
        """
        self.lost_at = anyio.current_time()
        if not self.has_stream:
            self.lost_at += RESTARTED_ANSWER_S
        if self.call_scope is not None:
            self.call_scope.deadline = self.lost_at
        if self.pause_scope is not None:
            self.pause_scope.cancel()

    async def call(self, awaitable):
        """Returns what an engine's call returns. Raises EngineError if it is lost.

        What the engine has sent before its process ended is returned first.
        """
        with anyio.CancelScope(deadline=self.lost_at) as self.call_scope:
            try:
                return await awaitable
            finally:
                self.call_scope = None
        raise EngineError("the engine has restarted")


class _LoadJob:
    """Loads a copy on behalf of all queued requests of its handle."""

    __slots__ = ("_owner", "_handle", "_demand")

    def __init__(self, owner, handle, demand):
        self._owner = owner
        self._handle = handle
        self._demand = demand

    async def run(self, state):
        await self._owner._load(state, self._demand)

    def abandon(self):
        self._owner.loader.pending_by_handle.pop(self._handle, None)


class _PauseJob:
    """Pauses a batch stream to make room for a waiting request."""

    __slots__ = ("_owner", "_victim")

    def __init__(self, owner, victim):
        self._owner = owner
        self._victim = victim

    async def run(self, state):
        await self._owner._pause(self._victim)

    def abandon(self):
        self._victim.pausing = False


class ReplicaOwner:
    """Serves the generations of one replica.

    The tasks of the requests also carry out loads and pauses, so no background task is
    needed; ``run`` adds prefetches with spare budget. ``reserve_slots`` slots stay free
    for a successor. ``on_fenced`` is called with the engine's highest fencing number
    when the engine refuses the owner's number.
    """

    def __init__(
        self,
        server,
        engine,
        permits,
        fencing_number=1,
        handle_suffix=None,
        *,
        rng=None,
        policy=None,
        queue_limit=DEFAULT_QUEUE_LIMIT,
        reserve_slots=0,
    ):
        self.server = server
        self.engine = engine
        self.fencing_number = fencing_number
        self.handle_suffix = handle_suffix
        self.on_fenced = None
        self.demand = DemandTracker()
        self.slots = SlotTable(server.adapter_slots, self.demand, reserve_slots)
        self.queue = RequestQueue(policy or PolicyWeights(), queue_limit)
        self.loader = CopyLoader(
            server, engine, permits, self.slots, rng or random.Random(server.name)
        )
        self.set_policy(policy or PolicyWeights())
        self._states_by_entry = {}
        self._running = set()
        self._lost_handles = collections.deque(maxlen=MAX_LOST_HANDLES)
        self._dispatching = True
        self._mean_service_s = DEFAULT_SERVICE_S
        self._engine_incarnation = None
        self._became_idle = anyio.Event()
        self.loader.on_slots_changed = self._schedule

    @property
    def queued(self):
        return len(self.queue)

    @property
    def running(self):
        return len(self._running)

    @property
    def permits(self):
        return self.loader.permits

    def hints(self, handle=None):
        """Returns the load of the replica, and whether one copy is resident."""
        return ReplicaHints(
            replica=self.server.name,
            queued=self.queued,
            running=self.running,
            resident=handle is not None and self.slots.is_resident(handle),
            expected_wait_s=self.expected_wait_s(),
        )

    def full_hints(self, handle):
        """Returns hints that list the resident copies, for the end of a request."""
        hints = self.hints(handle)
        hints.residents = tuple(
            name.partition("#")[0]
            for name in self.slots.hottest_handles(MAX_HINTED_COPIES)
        )
        return hints

    def expected_wait_s(self):
        """Returns the expected seconds until a new waiting request is dispatched."""
        return (
            self.queue.class_count(False) * self._mean_service_s / self.server.max_batch
        )

    @contextlib.asynccontextmanager
    async def submit(self, forward):
        """Yields an async iterator of Accepted, Tokens and Finished.

        The iterator raises ServingError. Leaving the context cancels the request.
        """
        messages = self._serve(forward)
        try:
            yield messages
        finally:
            await messages.aclose()

    # Calls by the ownership.

    def stop_dispatch(self):
        """Stops dispatching queued requests and refuses new ones; streams continue."""
        self._dispatching = False

    def queued_forwards(self):
        """Returns the Forwards of the queued requests in order of arrival."""
        entries = sorted(
            (entry for entry in self._states_by_entry if entry.queued),
            key=lambda entry: entry.number,
        )
        return [self._states_by_entry[entry].forward for entry in entries]

    def reject_queued_requests(self):
        """Refuses all queued requests as not owned; the senders retry elsewhere."""
        for entry in tuple(self._states_by_entry):
            if entry.queued:
                self._fail_request(
                    entry, ServingError(ResultCode.NOT_OWNER, retry_after=0.0)
                )

    def pins_by_handle(self):
        """Returns the number of running requests of each copy in use."""
        return {
            copy.handle: copy.pins
            for copy in self.slots.copies_by_handle.values()
            if copy.pins
        }

    def resident_handles(self):
        return self.slots.resident_handles()

    def adopt_copy(self, handle, pins=0, own=True):
        """Adds a copy that is resident already, with the pins of its old owner.

        A copy that is not ``own`` takes a slot and is neither used nor evicted.
        """
        self.slots.adopt(handle, pins, own)

    def release_pins(self, handle, count=1):
        """Releases pins that were inherited from an old owner."""
        copy = self.slots.find(handle)
        if copy is not None:
            for _ in range(min(count, copy.pins)):
                self.slots.unpin(copy)
        self._schedule()

    def forget_copy(self, handle):
        """Frees the slot of a copy that the engine no longer has."""
        self.slots.forget(handle)
        self._schedule()

    def set_reserve_slots(self, count):
        self.slots.reserve_slots = count
        self._schedule()

    def set_policy(self, policy):
        self.queue.set_policy(policy)
        ratio = policy.batch_efficiency / max(policy.load_stalls, 0.1)
        copies = round(self.server.adapter_slots * BATCH_SLOT_FRACTION * ratio)
        max_copies = max(1, self.server.adapter_slots // 2)
        # At least two, so that the next copy is loaded while one is in use.
        self.loader.max_batch_copies = min(max(2, copies), max_copies)

    def apply_status(self, status, asked_at=math.inf):
        """Applies an EngineStatus that was asked for at ``asked_at``.

        If the engine has restarted, forgets the copies that it no longer has, and the KV
        caches of paused streams, and ends the streams of the earlier process.
        """
        if self._engine_incarnation not in (None, status.incarnation):
            for state in self._states_by_entry.values():
                # Another version of the engine may read an exported cache otherwise.
                # Its tokens are kept, and the engine computes the cache from them.
                state.kv_cache = None
            for handle, copy in tuple(self.slots.copies_by_handle.items()):
                if handle not in status.in_use_by_handle and (
                    handle not in self.loader.pending_by_handle
                ):
                    self._lost_handles.append(handle)
                    self.slots.forget(copy.handle)
            ended = self._end_lost_streams(status, asked_at)
            log_event(Event.ENGINE_RESTARTED, replica=self.server.name, ended=ended)
        self._engine_incarnation = status.incarnation
        self._schedule()

    def _end_lost_streams(self, status, asked_at):
        """Ends the requests that ran at the earlier process of a restarted engine.

        Returns their number. The engine runs none without its copy, and restarts
        without copies. What was sent since ``asked_at`` may be at the later process.
        """
        lost = [
            state
            for state in self._running
            if state.entry.handle not in status.in_use_by_handle
            and state.dispatched_at <= asked_at
        ]
        for state in lost:
            state.note_lost()
        return len(lost)

    async def wait_idle(self):
        """Returns when no request is queued or running."""
        while self._states_by_entry:
            self._became_idle = anyio.Event()
            await self._became_idle.wait()

    # One request.

    async def _serve(self, forward):
        handle = format_handle(forward.adapter, forward.version, self.handle_suffix)
        state = self._admit(forward, handle)
        try:
            self._schedule()
            yield Accepted(self.hints(handle))
            while True:
                await self._wait_for_dispatch(state)
                finished = None
                async with contextlib.aclosing(self._run(state)) as messages:
                    async for message in messages:
                        if isinstance(message, Finished):
                            finished = message
                        else:
                            yield message
                self._release_copy(state)
                if finished is not None:
                    yield finished
                    return
                self._requeue(state)
        finally:
            state.abandon_job()
            self._release_copy(state)
            self.queue.remove(state.entry)
            del self._states_by_entry[state.entry]
            self._update_queued_requests(handle)
            self._schedule()
            if not self._states_by_entry:
                self._became_idle.set()

    def _admit(self, forward, handle):
        """Queues a request, or raises ServingError if it cannot be served in time."""
        is_batch = forward.request_class != "waiting"
        if not self._dispatching:
            raise ServingError(ResultCode.NOT_OWNER, retry_after=0.0)
        retry_after_s = self.loader.backoff_left_s(handle)
        if retry_after_s > 0.0 and not self.slots.is_resident(handle):
            raise ServingError(ResultCode.LOAD_FAILED, retry_after=retry_after_s)
        self.queue.check_capacity(is_batch, self._mean_service_s)
        if not is_batch and self.expected_wait_s() > forward.time_left_s:
            raise ServingError(ResultCode.DEADLINE_UNREACHABLE)
        if not is_batch:
            self.demand.record(handle)
        entry = QueueEntry(
            handle,
            is_batch,
            forward.customer,
            forward.max_tokens,
            anyio.current_time() + forward.time_left_s,
        )
        state = _RequestState(forward, entry)
        self._states_by_entry[entry] = state
        self.queue.put(entry, forward.weight)
        self._update_queued_requests(handle)
        return state

    async def _wait_for_dispatch(self, state):
        while not state.is_dispatched:
            if state.error is not None:
                raise state.error
            if state.job is not None:
                job, state.job = state.job, None
                await job.run(state)
                self._schedule()
                continue
            await self._wait_for_wake(state)
        # The request was dispatched before its job began.
        state.abandon_job()

    async def _wait_for_wake(self, state):
        wake = state.wake
        if state.entry.is_batch:
            await wake.wait()
            return
        now = anyio.current_time()
        time_left_s = state.entry.deadline - now
        if time_left_s <= 0.0:
            raise ServingError(ResultCode.DEADLINE_UNREACHABLE)
        # Until the starvation timeout, the number of copies that the request may evict
        # grows, so the scheduler runs again several times.
        if now - state.entry.arrived <= STARVATION_TIMEOUT_S:
            time_left_s = min(time_left_s, STARVATION_TIMEOUT_S / 4)
        with anyio.move_on_after(time_left_s) as scope:
            await wake.wait()
        if scope.cancelled_caught:
            self._schedule()

    def _requeue(self, state):
        """Queues a request again that was paused or whose copy was lost."""
        state.pausing = False
        self.queue.requeue(state.entry)
        self._update_queued_requests(state.entry.handle)
        self._schedule()

    def _release_copy(self, state):
        if not state.is_dispatched:
            return
        copy, state.copy = state.copy, None
        self._running.discard(state)
        self.slots.unpin(copy)
        self._schedule()

    async def _run(self, state):
        forward = state.forward
        request = self._build_request(state)
        state.has_stream, state.lost_at = False, math.inf
        ended = False
        try:
            if state.kv_cache is not None:
                kv_cache, state.kv_cache = state.kv_cache, None
                await state.call(self.engine.import_kv(request.request_id, kv_cache))
            async with contextlib.AsyncExitStack() as stack:
                stream = self.engine.generate(request)
                batches = await state.call(stack.enter_async_context(stream))
                state.has_stream, state.lost_at = True, math.inf
                while (batch := await state.call(anext(batches, None))) is not None:
                    self._check_echo(request, batch)
                    if batch.tokens:
                        state.tokens.extend(batch.tokens)
                        yield Tokens(batch.first_index, batch.tokens)
                    reason = batch.finish_reason
                    if reason is not None and not self._ended_by_pause(state, reason):
                        ended = True
                        yield self._build_finished(state, reason)
            if not ended and not state.pausing:
                raise EngineError("the stream ended early")
            ended = True
        except NotResident as error:
            ended = True
            await self._handle_lost_copy(state, error)
        except OldFencingNumber as error:
            ended = True
            self._handle_fenced(error)
        except EngineError as error:
            ended = True
            await self._refresh_status()
            raise ServingError(ResultCode.STREAM_BROKEN, str(error)) from error
        finally:
            if not ended:
                with (
                    anyio.CancelScope(shield=True),
                    anyio.move_on_after(CANCEL_TIMEOUT_S),
                ):
                    await self.engine.cancel(forward.request_id)

    def _ended_by_pause(self, state, reason):
        return state.pausing and reason == "cancelled"

    def _build_request(self, state):
        forward = state.forward
        resumed = len(state.tokens) > len(forward.forced_tokens)
        return GenerateRequest(
            request_id=forward.request_id,
            handle=state.entry.handle,
            prompt=forward.prompt,
            prompt_tokens=forward.prompt_tokens,
            max_tokens=forward.max_tokens,
            priority=1 if state.entry.is_batch else 0,
            fencing_number=self.fencing_number,
            next_index=len(state.tokens) if resumed else forward.next_index,
            forced_tokens=tuple(state.tokens) if resumed else forward.forced_tokens,
            prefix=forward.prefix,
        )

    def _build_finished(self, state, reason):
        now = anyio.current_time()
        self._mean_service_s += EWMA_WEIGHT * (
            now - state.dispatched_at - self._mean_service_s
        )
        return Finished(
            reason,
            queue_wait_s=state.first_dispatched_at - state.entry.arrived,
            load_stall_s=state.load_stall_s,
            hints=self.full_hints(state.entry.handle),
        )

    async def _handle_lost_copy(self, state, error):
        """Handles a copy that the engine has lost, usually in a restart.

        The request did not run. Raises ServingError after the last attempt.
        """
        state.attempts += 1
        state.pausing = False
        self.slots.forget(state.entry.handle)
        await self._refresh_status()
        if state.attempts >= MAX_RUN_ATTEMPTS:
            raise ServingError(ResultCode.LOAD_FAILED, str(error)) from error

    async def _refresh_status(self):
        asked_at = anyio.current_time()
        with contextlib.suppress(EngineError, TimeoutError):
            with anyio.fail_after(STATUS_TIMEOUT_S):
                status = await self.engine.status()
            self.apply_status(status, asked_at)

    def _handle_fenced(self, error):
        """Stops after the engine refused the fencing number. Raises ServingError."""
        log_event(Event.OWNER_FENCED, replica=self.server.name, highest=error.highest)
        self.stop_dispatch()
        if self.on_fenced is not None:
            self.on_fenced(error.highest)
        raise ServingError(ResultCode.FENCED, retry_after=0.0) from error

    def _check_echo(self, request, batch):
        """Raises ServingError if a batch belongs to another request or adapter."""
        if (batch.request_id, batch.handle) == (request.request_id, request.handle):
            return
        log_event(
            Event.ANSWER_MISMATCH,
            replica=self.server.name,
            wanted=request.handle,
            got=batch.handle,
        )
        raise ServingError(ResultCode.ANSWER_MISMATCH)

    def _fail_request(self, entry, error):
        """Removes a queued request and ends it with an error."""
        state = self._states_by_entry[entry]
        self.queue.remove(entry)
        state.error = error
        state.notify()

    # Scheduling: dispatch, loads and pauses. These steps are synchronous, so the state
    # is consistent between them.

    def _schedule(self):
        """Starts all requests, pauses and loads that can start now."""
        if not self._dispatching:
            return
        self._dispatch_ready(False)
        self._schedule_pause()
        self._dispatch_ready(True)
        self._schedule_loads()

    def _dispatch_ready(self, is_batch):
        while self.queue.class_count(is_batch) and self.running < self.server.max_batch:
            entry = self._next_entry(is_batch)
            if entry is None:
                return
            if not is_batch and entry.deadline <= anyio.current_time():
                self._fail_request(entry, ServingError(ResultCode.DEADLINE_UNREACHABLE))
                continue
            self.queue.pop(entry)
            self._start_request(self._states_by_entry[entry])

    def _next_entry(self, is_batch):
        """Returns the entry of a class to dispatch next, or None.

        Its copy must be resident. Batch entries must not pin too many copies.
        """
        handles = [
            copy.handle
            for copy in self.slots.copies_by_handle.values()
            if copy.ready and copy.own
        ]
        if not is_batch:
            return self.queue.next(handles, False)
        handles_in_batch = self._batch_handles()
        if len(handles_in_batch) >= self._max_batch_handles():
            handles = [handle for handle in handles if handle in handles_in_batch]
        return self.queue.next(handles, True, handles_in_batch)

    def _batch_handles(self):
        return {state.entry.handle for state in self._running if state.entry.is_batch}

    def _max_batch_handles(self):
        # Batch streams pin their copies; the other slots are for waiting requests.
        return max(1, int(self.server.adapter_slots * BATCH_HANDLE_FRACTION))

    def _start_request(self, state):
        handle = state.entry.handle
        now = anyio.current_time()
        state.copy = self.slots.pin(handle)
        if not state.entry.is_batch:
            state.copy.for_batch = False
        self._update_queued_requests(handle)
        self._running.add(state)
        state.dispatched_at = now
        if state.first_dispatched_at is None:
            state.first_dispatched_at = now
            state.load_stall_s = max(0.0, state.copy.ready_at - state.entry.arrived)
        state.notify()

    def _update_queued_requests(self, handle):
        queued_requests = self.queue.count(handle, False)
        copy = self.slots.find(handle)
        # Copies that were loaded for batch requests stay until their group is done.
        if copy is not None and copy.for_batch:
            queued_requests += self.queue.count(handle, True)
        self.slots.set_queued_requests(handle, queued_requests)

    def _schedule_pause(self):
        """Lets a waiting request whose copy is resident pause a batch stream."""
        if not self.queue.class_count(False) or self.running < self.server.max_batch:
            return
        entry = self._next_entry(False)
        if entry is None:
            return
        if any(state.pausing for state in self._running):
            return
        victims = [state for state in self._running if state.pausable]
        if not victims:
            return
        # The stream with the fewest tokens has the least to recompute.
        victim = min(
            victims, key=lambda state: (len(state.tokens), -state.dispatched_at)
        )
        victim.pausing = True
        state = self._states_by_entry[entry]
        state.job = _PauseJob(self, victim)
        state.notify()

    async def _pause(self, victim):
        """Cancels a batch stream, which is then queued again with its tokens."""
        request_id = victim.forward.request_id
        tokens = victim.forward.prompt_tokens + len(victim.tokens)
        with (
            anyio.CancelScope(shield=True) as victim.pause_scope,
            contextlib.suppress(EngineError),
        ):
            if tokens >= MIN_EXPORT_TOKENS:
                with contextlib.suppress(EngineError):
                    victim.kv_cache = await self.engine.export_kv(request_id)
            await self.engine.cancel(request_id)
        victim.pause_scope = None

    def _schedule_loads(self):
        """Assigns the loads that the queue needs to requests, the most useful first."""
        for is_batch in (False, True):
            if self.queue.class_count(is_batch):
                self._schedule_class_loads(is_batch)

    def _schedule_class_loads(self, is_batch):
        pending = self.loader.pending_by_handle
        room = MAX_PENDING_LOADS_BY_IS_BATCH[is_batch] - len(pending)
        candidates = []
        for handle in itertools.islice(
            self.queue.handles(is_batch), MAX_LOAD_CANDIDATES
        ):
            if handle in pending:
                self._update_demand(handle)
            elif room > 0 and handle not in self.slots.copies_by_handle:
                candidates.append(self._load_sort_key(handle, is_batch))
        for _, handle in sorted(candidates):
            if room < 1:
                return
            if self._assign_load(handle, is_batch):
                room -= 1

    def _load_sort_key(self, handle, is_batch):
        """Returns (key, handle); the load with the lowest key is started first."""
        head = self.queue.head(handle, is_batch)
        count = self.queue.count(handle, is_batch)
        if is_batch and head.deadline - anyio.current_time() > URGENT_WITHIN_S:
            # The largest group generates the most tokens for one load.
            return -count, handle
        return (
            head.arrived - AGE_BONUS_PER_REQUEST_S * count - URGENT_SORT_OFFSET_S,
            handle,
        )

    def _update_demand(self, handle):
        """Updates the order of a pending load after a change of the queue."""
        waiting = self.queue.count(handle, False)
        batch = self.queue.count(handle, True)
        load_class = LoadClass.WAITING if waiting else LoadClass.BATCH
        self.loader.pending_by_handle[handle].update(load_class, waiting or batch or 1)

    def _assign_load(self, handle, is_batch):
        """Assigns a load to the first queued request; returns whether it did."""
        head = self.queue.head(handle, is_batch)
        state = self._states_by_entry[head]
        if state.job is not None:
            return False
        waited_s = anyio.current_time() - head.arrived
        pending = self.loader.pending_by_handle
        if not self._can_obtain_slot(handle, is_batch, waited_s):
            return False
        load_class = LoadClass.BATCH if is_batch else LoadClass.WAITING
        demand = LoadDemand(
            load_class,
            self.queue.count(handle, is_batch),
            head.arrived,
            head.customer,
        )
        pending[handle] = demand
        state.job = _LoadJob(self, handle, demand)
        state.notify()
        return True

    def _can_obtain_slot(self, handle, is_batch, waited_s):
        copies = self.slots.copies_by_handle
        pending_count = sum(
            1 for other in self.loader.pending_by_handle if other not in copies
        )
        if is_batch:
            victim = self.slots.batch_victim(self.loader.max_batch_copies)
            return self.slots.free_slots > pending_count or (
                pending_count == 0 and victim is not None
            )
        return self.slots.obtainable_slots(handle, waited_s) > pending_count

    async def _load(self, leading_request, demand):
        """Loads the copy for a request and for all others that need it."""
        entry = leading_request.entry
        forward = leading_request.forward
        handle = entry.handle
        # If the deadline of a waiting request passes, another request gets the load.
        time_left_s = 1e9 if entry.is_batch else entry.deadline - anyio.current_time()
        try:
            with anyio.move_on_after(time_left_s):
                await self.loader.load(
                    handle,
                    forward.adapter,
                    forward.version,
                    demand,
                    lambda: self.fencing_number,
                    lambda: self._has_queued_requests(handle),
                )
        except OldFencingNumber as error:
            self._handle_fenced(error)
        except EngineError as error:
            self._fail_queued(handle, error)
        finally:
            self.loader.pending_by_handle.pop(handle, None)
            self._update_queued_requests(handle)
            self._schedule()

    def _has_queued_requests(self, handle):
        return self.queue.count(handle, False) + self.queue.count(handle, True) > 0

    def _fail_queued(self, handle, error):
        """Ends all queued requests of a handle that could not be loaded."""
        retry_after = self.loader.backoff_left_s(handle)
        for is_batch in (False, True):
            while (entry := self.queue.head(handle, is_batch)) is not None:
                self._fail_request(
                    entry,
                    ServingError(
                        ResultCode.LOAD_FAILED, str(error), retry_after=retry_after
                    ),
                )

    # Prefetch.

    async def run(self):
        """Loads lost copies again while the weight store has spare budget."""
        while True:
            await anyio.sleep(PREFETCH_PERIOD_S)
            handle = self._prefetch_candidate()
            if handle is not None:
                await self._prefetch(handle)

    def _prefetch_candidate(self):
        if not self._dispatching or self.loader.pending_by_handle:
            return None
        absent_handles = [
            handle
            for handle in set(self._lost_handles)
            if self.slots.find(handle) is None
            and not self.loader.backoff_left_s(handle)
        ]
        best = max(
            absent_handles,
            key=lambda handle: (self.demand.rate(handle), handle),
            default=None,
        )
        if best is None or self.demand.rate(best) <= 0.0:
            return None
        return best if self.slots.obtainable_slots(best) else None

    async def _prefetch(self, handle):
        adapter, _, rest = handle.partition("@")
        version = rest.partition("#")[0]
        demand = LoadDemand(LoadClass.SPECULATIVE, 1)
        self.loader.pending_by_handle[handle] = demand
        try:
            await self.loader.load(
                handle,
                adapter,
                version,
                demand,
                lambda: self.fencing_number,
                lambda: self._dispatching and self.slots.obtainable_slots(handle) > 0,
            )
        except EngineError:
            return
        finally:
            self.loader.pending_by_handle.pop(handle, None)
            self._update_queued_requests(handle)
            self._schedule()
