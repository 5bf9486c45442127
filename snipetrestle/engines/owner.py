"""The owner of a replica: its queue, pins, loads and dispatch."""

import collections
import contextlib
import itertools
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
from snipetrestle.placement.load_coordinator import AGE_PER_REQUEST_S
from snipetrestle.placement.permits import LoadClass, LoadDemand
from snipetrestle.placement.slots import PATIENCE_S, SlotTable
from snipetrestle.published import PolicyWeights
from snipetrestle.scheduling.request_queue import (
    DEFAULT_LIMIT,
    URGENT_S,
    QueueEntry,
    RequestQueue,
)

# Loads considered at one step; the oldest queued handles come first.
LOAD_SAMPLE = 64
# Puts urgent batch before any group: no group has this many requests.
URGENT_ORDER_S = 1e9
# Loads that one replica may ask permits for at once, for each class of requests.
MAX_PENDING_LOADS = {False: 8, True: 1}
# Slots that batch work may take for adapters that no waiting request uses: this
# fraction with equal policy weights.
BATCH_SLOT_FRACTION = 0.125
# Slots whose copies batch streams may pin at once.
BATCH_HANDLE_FRACTION = 0.5
# Attempts to run a request whose copy had vanished from the engine.
MAX_ATTEMPTS = 3
# Streams with at least this many tokens are paused with an export of their KV cache;
# below it, computing the prompt again costs less than two moves (benchmarks/policy.py
# prints the comparison).
MIN_EXPORT_TOKENS = 512
# Share of a new measurement in the moving average of service times.
SMOOTHING = 0.1
DEFAULT_SERVICE_S = 1.0
# Handles whose copies went and which may be loaded again with spare budget.
KEPT_DROPPED = 32
PREFETCH_PERIOD_S = 0.5
# Resident copies named in a reply; 32 names take about 1 kB.
MAX_HINTED_COPIES = 32
CANCEL_TIMEOUT_S = 1.0


class _Item:
    """State of one submitted request."""

    __slots__ = (
        "forward",
        "entry",
        "wake",
        "errand",
        "error",
        "copy",
        "dispatched",
        "first_dispatched",
        "load_stall_s",
        "tokens",
        "pausing",
        "kv",
        "attempts",
    )

    def __init__(self, forward, entry):
        self.forward = forward
        self.entry = entry
        self.wake = anyio.Event()
        # Work that the request's task does for the owner: a load or a pause.
        self.errand = None
        self.error = None
        # The pinned copy while the request runs.
        self.copy = None
        self.dispatched = 0.0
        self.first_dispatched = None
        self.load_stall_s = 0.0
        self.tokens = list(forward.forced_tokens)
        self.pausing = False
        self.kv = None
        self.attempts = 0

    @property
    def placed(self):
        return self.copy is not None

    def abandon_errand(self):
        if self.errand is not None:
            errand, self.errand = self.errand, None
            errand.abandon()

    @property
    def pausable(self):
        # Tokens before next_index are unknown here, so the stream cannot start again.
        known = self.forward.next_index <= len(self.forward.forced_tokens)
        return self.entry.is_batch and known and not self.pausing

    def notify(self):
        self.wake.set()
        self.wake = anyio.Event()


class _LoadErrand:
    """Leads a load for all requests of a handle."""

    __slots__ = ("_owner", "_handle", "_demand")

    def __init__(self, owner, handle, demand):
        self._owner = owner
        self._handle = handle
        self._demand = demand

    async def run(self, item):
        await self._owner._load(item, self._demand)

    def abandon(self):
        self._owner.loader.pending_by_handle.pop(self._handle, None)


class _PauseErrand:
    """Pauses a batch stream to make room for a waiting request."""

    __slots__ = ("_owner", "_victim")

    def __init__(self, owner, victim):
        self._owner = owner
        self._victim = victim

    async def run(self, item):
        await self._owner._pause(self._victim)

    def abandon(self):
        self._victim.pausing = False


class ReplicaOwner:
    """Serves the generations of one replica.

    The requests' own tasks carry out loads and pauses, so no task is needed beside
    them; ``run`` adds prefetches with spare budget.
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
        queue_limit=DEFAULT_LIMIT,
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
        self._items_by_entry = {}
        self._running = set()
        self._dropped = collections.deque(maxlen=KEPT_DROPPED)
        self._dispatching = True
        self._service_s = DEFAULT_SERVICE_S
        self._engine_incarnation = None
        self._idle = anyio.Event()
        self.loader.on_slots_changed = self._advance

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
        """Returns what entries may know about the replica, and about one copy."""
        return ReplicaHints(
            replica=self.server.name,
            queued=self.queued,
            running=self.running,
            resident=handle is not None and self.slots.is_resident(handle),
            expected_wait_s=self.expected_wait_s(),
        )

    def full_hints(self, handle):
        """Returns hints with the resident copies, for the end of a request."""
        hints = self.hints(handle)
        hints.residents = tuple(
            name.partition("#")[0] for name in self.slots.hottest(MAX_HINTED_COPIES)
        )
        return hints

    def expected_wait_s(self):
        """Returns the expected seconds until a new waiting request has a place."""
        return self.queue.count_of(False) * self._service_s / self.server.max_batch

    @contextlib.asynccontextmanager
    async def submit(self, forward):
        """Yields an async iterator of Accepted, Tokens and Finished.

        The iterator raises ServingError. Leaving the context withdraws the request.
        """
        messages = self._serve(forward)
        try:
            yield messages
        finally:
            await messages.aclose()

    # Ownership hooks.

    def stop_dispatch(self):
        """Stops the start of queued work and refuses new work; streams go on."""
        self._dispatching = False

    def queued_forwards(self):
        """Returns the queued requests in order of arrival, for a hand-over."""
        entries = sorted(
            (entry for entry in self._items_by_entry if entry.queued),
            key=lambda entry: entry.number,
        )
        return [self._items_by_entry[entry].forward for entry in entries]

    def release_queue(self):
        """Refuses all queued work as not owned; the entries send it elsewhere."""
        for entry in tuple(self._items_by_entry):
            if entry.queued:
                self._fail(entry, ServingError(ResultCode.NOT_OWNER, retry_after=0.0))

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
        """Takes over a resident copy with the pins of its old owner.

        A copy that is not ``own`` fills a slot and is neither used nor evicted.
        """
        self.slots.adopt(handle, pins, own)

    def release_pins(self, handle, count=1):
        """Ends pins that an old owner handed over."""
        copy = self.slots.find(handle)
        if copy is not None:
            for _ in range(min(count, copy.pins)):
                self.slots.unpin(copy)
        self._advance()

    def forget_copy(self, handle):
        """Notes that the engine no longer holds a copy."""
        self.slots.forget(handle)
        self._advance()

    def set_reserve_slots(self, count):
        self.slots.reserve = count
        self._advance()

    def set_policy(self, policy):
        self.queue.set_policy(policy)
        ratio = policy.batch_efficiency / max(policy.load_stalls, 0.1)
        copies = round(self.server.adapter_slots * BATCH_SLOT_FRACTION * ratio)
        most = max(1, self.server.adapter_slots // 2)
        # One copy runs while the next is loaded.
        self.loader.max_batch_copies = min(max(2, copies), most)

    def take_status(self, status):
        """Takes an engine's status; a new incarnation clears the view of its copies."""
        if self._engine_incarnation not in (None, status.incarnation):
            log_event(Event.ENGINE_RESTARTED, replica=self.server.name)
            for handle, copy in tuple(self.slots.copies_by_handle.items()):
                if handle not in status.in_use_by_handle and (
                    handle not in self.loader.pending_by_handle
                ):
                    self._dropped.append(handle)
                    self.slots.forget(copy.handle)
        self._engine_incarnation = status.incarnation
        self._advance()

    async def wait_idle(self):
        """Returns when no request is queued or running."""
        while self._items_by_entry:
            self._idle = anyio.Event()
            await self._idle.wait()

    # One request.

    async def _serve(self, forward):
        handle = format_handle(forward.adapter, forward.version, self.handle_suffix)
        item = self._admit(forward, handle)
        try:
            self._advance()
            yield Accepted(self.hints(handle))
            while True:
                await self._wait_for_place(item)
                finished = None
                async with contextlib.aclosing(self._run(item)) as messages:
                    async for message in messages:
                        if isinstance(message, Finished):
                            finished = message
                        else:
                            yield message
                self._release(item)
                if finished is not None:
                    yield finished
                    return
                self._requeue(item)
        finally:
            item.abandon_errand()
            self._release(item)
            self.queue.remove(item.entry)
            del self._items_by_entry[item.entry]
            self._promise(handle)
            self._advance()
            if not self._items_by_entry:
                self._idle.set()

    def _admit(self, forward, handle):
        is_batch = forward.request_class != "waiting"
        if not self._dispatching:
            raise ServingError(ResultCode.NOT_OWNER, retry_after=0.0)
        blocked = self.loader.backoff_left_s(handle)
        if blocked > 0.0 and not self.slots.is_resident(handle):
            raise ServingError(ResultCode.LOAD_FAILED, retry_after=blocked)
        self.queue.check_room(is_batch, self._service_s)
        if not is_batch and self.expected_wait_s() > forward.time_left_s:
            raise ServingError(ResultCode.DEADLINE_UNREACHABLE)
        if not is_batch:
            self.demand.note(handle)
        entry = QueueEntry(
            handle,
            is_batch,
            forward.customer,
            forward.max_tokens,
            anyio.current_time() + forward.time_left_s,
        )
        item = _Item(forward, entry)
        self._items_by_entry[entry] = item
        self.queue.put(entry, forward.weight)
        self._promise(handle)
        return item

    async def _wait_for_place(self, item):
        while not item.placed:
            if item.error is not None:
                raise item.error
            if item.errand is not None:
                errand, item.errand = item.errand, None
                await errand.run(item)
                self._advance()
                continue
            await self._wait_for_wake(item)
        # The place came before the errand was begun.
        item.abandon_errand()

    async def _wait_for_wake(self, item):
        wake = item.wake
        if item.entry.is_batch:
            await wake.wait()
            return
        now = anyio.current_time()
        left = item.entry.deadline - now
        if left <= 0.0:
            raise ServingError(ResultCode.DEADLINE_UNREACHABLE)
        # What a request may evict grows until its patience has ended.
        if now - item.entry.arrived <= PATIENCE_S:
            left = min(left, PATIENCE_S / 4)
        with anyio.move_on_after(left) as scope:
            await wake.wait()
        if scope.cancelled_caught:
            self._advance()

    def _requeue(self, item):
        """Queues a paused request again, or one whose copy had vanished."""
        item.pausing = False
        self.queue.put_back(item.entry)
        self._promise(item.entry.handle)
        self._advance()

    def _release(self, item):
        if not item.placed:
            return
        copy, item.copy = item.copy, None
        self._running.discard(item)
        self.slots.unpin(copy)
        self._advance()

    async def _run(self, item):
        forward = item.forward
        request = self._request_for(item)
        ended = False
        try:
            if item.kv is not None:
                kv, item.kv = item.kv, None
                await self.engine.import_kv(request.request_id, kv)
            async with self.engine.generate(request) as batches:
                async for batch in batches:
                    self._check_echo(request, batch)
                    if batch.tokens:
                        item.tokens.extend(batch.tokens)
                        yield Tokens(batch.first_index, batch.tokens)
                    reason = batch.finish_reason
                    if reason is not None and not self._is_pause(item, reason):
                        ended = True
                        yield self._finished(item, reason)
            if not ended and not item.pausing:
                raise EngineError("the stream ended early")
            ended = True
        except NotResident as error:
            ended = True
            await self._on_vanished(item, error)
        except OldFencingNumber as error:
            ended = True
            self._on_fenced(error)
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

    def _is_pause(self, item, reason):
        return item.pausing and reason == "cancelled"

    def _request_for(self, item):
        forward = item.forward
        resumed = len(item.tokens) > len(forward.forced_tokens)
        return GenerateRequest(
            request_id=forward.request_id,
            handle=item.entry.handle,
            prompt=forward.prompt,
            prompt_tokens=forward.prompt_tokens,
            max_tokens=forward.max_tokens,
            priority=1 if item.entry.is_batch else 0,
            fencing_number=self.fencing_number,
            next_index=len(item.tokens) if resumed else forward.next_index,
            forced_tokens=tuple(item.tokens) if resumed else forward.forced_tokens,
            prefix=forward.prefix,
        )

    def _finished(self, item, reason):
        now = anyio.current_time()
        self._service_s += SMOOTHING * (now - item.dispatched - self._service_s)
        return Finished(
            reason,
            queue_wait_s=item.first_dispatched - item.entry.arrived,
            load_stall_s=item.load_stall_s,
            hints=self.full_hints(item.entry.handle),
        )

    async def _on_vanished(self, item, error):
        """The engine has lost a copy, mostly by a restart; the request did not run."""
        item.attempts += 1
        item.pausing = False
        self.slots.forget(item.entry.handle)
        await self._refresh_status()
        if item.attempts >= MAX_ATTEMPTS:
            raise ServingError(ResultCode.LOAD_FAILED, str(error)) from error

    async def _refresh_status(self):
        with contextlib.suppress(EngineError):
            self.take_status(await self.engine.status())

    def _on_fenced(self, error):
        log_event(Event.OWNER_FENCED, replica=self.server.name, highest=error.highest)
        self.stop_dispatch()
        if self.on_fenced is not None:
            self.on_fenced(error.highest)
        raise ServingError(ResultCode.FENCED, retry_after=0.0) from error

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

    def _fail(self, entry, error):
        """Answers a queued request with an error."""
        item = self._items_by_entry[entry]
        self.queue.remove(entry)
        item.error = error
        item.notify()

    # Dispatch, loads and pauses. These steps are synchronous, so the state between two
    # of them is consistent.

    def _advance(self):
        """Starts all work that can start now."""
        if not self._dispatching:
            return
        self._dispatch(False)
        self._plan_pause()
        self._dispatch(True)
        self._plan_loads()

    def _dispatch(self, is_batch):
        while self.queue.count_of(is_batch) and self.running < self.server.max_batch:
            entry = self._next_entry(is_batch)
            if entry is None:
                return
            if not is_batch and entry.deadline <= anyio.current_time():
                self._fail(entry, ServingError(ResultCode.DEADLINE_UNREACHABLE))
                continue
            self.queue.pop(entry)
            self._place(self._items_by_entry[entry])

    def _next_entry(self, is_batch):
        handles = [
            copy.handle
            for copy in self.slots.copies_by_handle.values()
            if copy.ready and copy.own
        ]
        if not is_batch:
            return self.queue.next(handles, False)
        in_batch = self._batch_handles()
        if len(in_batch) >= self._max_batch_handles():
            handles = [handle for handle in handles if handle in in_batch]
        return self.queue.next(handles, True, in_batch)

    def _batch_handles(self):
        return {item.entry.handle for item in self._running if item.entry.is_batch}

    def _max_batch_handles(self):
        # Batch streams pin their copies; the other slots stay open to waiting requests.
        return max(1, int(self.server.adapter_slots * BATCH_HANDLE_FRACTION))

    def _place(self, item):
        handle = item.entry.handle
        now = anyio.current_time()
        item.copy = self.slots.pin(handle)
        if not item.entry.is_batch:
            item.copy.for_batch = False
        self._promise(handle)
        self._running.add(item)
        item.dispatched = now
        if item.first_dispatched is None:
            item.first_dispatched = now
            item.load_stall_s = max(0.0, item.copy.ready_at - item.entry.arrived)
        item.notify()

    def _promise(self, handle):
        promised = self.queue.count(handle, False)
        copy = self.slots.find(handle)
        # Batch work keeps its few copies until their groups are done.
        if copy is not None and copy.for_batch:
            promised += self.queue.count(handle, True)
        self.slots.set_promises(handle, promised)

    def _plan_pause(self):
        """Lets a waiting request that has its copy pause a batch stream."""
        if not self.queue.count_of(False) or self.running < self.server.max_batch:
            return
        entry = self._next_entry(False)
        if entry is None:
            return
        if any(item.pausing for item in self._running):
            return
        victims = [item for item in self._running if item.pausable]
        if not victims:
            return
        # The stream with the least progress has the least to compute again.
        victim = min(victims, key=lambda item: (len(item.tokens), -item.dispatched))
        victim.pausing = True
        item = self._items_by_entry[entry]
        item.errand = _PauseErrand(self, victim)
        item.notify()

    async def _pause(self, victim):
        """Cancels a batch stream, which is queued again with its tokens."""
        request_id = victim.forward.request_id
        tokens = victim.forward.prompt_tokens + len(victim.tokens)
        with anyio.CancelScope(shield=True), contextlib.suppress(EngineError):
            if tokens >= MIN_EXPORT_TOKENS:
                with contextlib.suppress(EngineError):
                    victim.kv = await self.engine.export_kv(request_id)
            await self.engine.cancel(request_id)

    def _plan_loads(self):
        """Lets requests lead the loads that the queue needs, the best load first."""
        for is_batch in (False, True):
            if self.queue.count_of(is_batch):
                self._plan_class(is_batch)

    def _plan_class(self, is_batch):
        pending = self.loader.pending_by_handle
        room = MAX_PENDING_LOADS[is_batch] - len(pending)
        candidates = []
        for handle in itertools.islice(self.queue.handles(is_batch), LOAD_SAMPLE):
            if handle in pending:
                self._raise_demand(handle)
            elif room > 0 and handle not in self.slots.copies_by_handle:
                candidates.append(self._load_order(handle, is_batch))
        for _, handle in sorted(candidates):
            if room < 1:
                return
            if self._lead(handle, is_batch):
                room -= 1

    def _load_order(self, handle, is_batch):
        head = self.queue.head(handle, is_batch)
        count = self.queue.count(handle, is_batch)
        if is_batch and head.deadline - anyio.current_time() > URGENT_S:
            # The largest group yields the most tokens for its load.
            return -count, handle
        return head.arrived - AGE_PER_REQUEST_S * count - URGENT_ORDER_S, handle

    def _raise_demand(self, handle):
        waiting = self.queue.count(handle, False)
        batch = self.queue.count(handle, True)
        load_class = LoadClass.WAITING if waiting else LoadClass.BATCH
        self.loader.pending_by_handle[handle].update(load_class, waiting or batch or 1)

    def _lead(self, handle, is_batch):
        head = self.queue.head(handle, is_batch)
        item = self._items_by_entry[head]
        if item.errand is not None:
            return False
        waited = anyio.current_time() - head.arrived
        pending = self.loader.pending_by_handle
        if not self._may_get_slot(handle, is_batch, waited):
            return False
        load_class = LoadClass.BATCH if is_batch else LoadClass.WAITING
        demand = LoadDemand(
            load_class,
            self.queue.count(handle, is_batch),
            head.arrived,
            head.customer,
        )
        pending[handle] = demand
        item.errand = _LoadErrand(self, handle, demand)
        item.notify()
        return True

    def _may_get_slot(self, handle, is_batch, waited):
        copies = self.slots.copies_by_handle
        asked = sum(1 for other in self.loader.pending_by_handle if other not in copies)
        if is_batch:
            victim = self.slots.batch_victim(self.loader.max_batch_copies)
            return self.slots.free > asked or (asked == 0 and victim is not None)
        return self.slots.obtainable(handle, waited) > asked

    async def _load(self, leader, demand):
        entry = leader.entry
        forward = leader.forward
        handle = entry.handle
        # A waiting leader whose deadline passes leaves the load to the next request.
        left = 1e9 if entry.is_batch else entry.deadline - anyio.current_time()
        try:
            with anyio.move_on_after(left):
                await self.loader.load(
                    handle,
                    forward.adapter,
                    forward.version,
                    demand,
                    lambda: self.fencing_number,
                    lambda: self._wants(handle),
                )
        except OldFencingNumber as error:
            self._on_fenced(error)
        except EngineError as error:
            self._fail_all(handle, error)
        finally:
            self.loader.pending_by_handle.pop(handle, None)
            self._promise(handle)
            self._advance()

    def _wants(self, handle):
        return self.queue.count(handle, False) + self.queue.count(handle, True) > 0

    def _fail_all(self, handle, error):
        """Answers all queued requests of a handle that could not be loaded."""
        retry_after = self.loader.backoff_left_s(handle)
        for is_batch in (False, True):
            while (entry := self.queue.head(handle, is_batch)) is not None:
                self._fail(
                    entry,
                    ServingError(
                        ResultCode.LOAD_FAILED, str(error), retry_after=retry_after
                    ),
                )

    # Prefetch.

    async def run(self):
        """Loads lost copies again while the store has spare budget."""
        while True:
            await anyio.sleep(PREFETCH_PERIOD_S)
            handle = self._prefetch_candidate()
            if handle is not None:
                await self._prefetch(handle)

    def _prefetch_candidate(self):
        if not self._dispatching or self.loader.pending_by_handle:
            return None
        absent = [
            handle
            for handle in set(self._dropped)
            if self.slots.find(handle) is None
            and not self.loader.backoff_left_s(handle)
        ]
        best = max(
            absent, key=lambda handle: (self.demand.rate(handle), handle), default=None
        )
        if best is None or self.demand.rate(best) <= 0.0:
            return None
        return best if self.slots.obtainable(best) else None

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
                lambda: self._dispatching and self.slots.obtainable(handle) > 0,
            )
        except EngineError:
            return
        finally:
            self.loader.pending_by_handle.pop(handle, None)
            self._promise(handle)
            self._advance()
