"""Orders of the leader to replicas: one task for each replica.

A replica's state is read before its first order. Every order carries the leader's
fencing token. The first one after a reading also carries the replica's count of orders,
since the reading may be older than an order of the leader before.
"""

import asyncio
import collections
import enum

import anyio
import msgspec

from snipetrestle.coordination.adapter_places import ReplicaPlaces
from snipetrestle.coordination.load_times import LoadTimes
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle.gateway.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.waiter import Waiter

# Adapters that may be on their way to one replica.
IN_TRANSIT = 4
RECENT_LOAD_S = 0.03
# Added to the expected end of a load, for the way of the order and its answer.
LOAD_MARGIN_S = 0.012
# A load that has not ended when it was expected to is looked at again after this pause.
LATE_LOAD_PAUSE_S = 0.02
# A load that takes longer than this is given up.
LONGEST_LOAD_S = 5.0
ORDER_TIMEOUT_S = 0.8
# A report may be this old, so a state in doubt is read after this pause.
REPORT_LAG_S = 0.35
RETRY_S = 0.3
LONGEST_RETRY_S = 2.0
FAILED_S = 1.0
IDLE_CHECK_S = 0.5
# How often a replica is asked whether its model is there. From the memory or disk of a
# restarted replica, a model is there long before its load from the store would end.
MODEL_CHECK_S = 0.1
# A model that takes this much longer than its load from the store is given up.
MODEL_OVERTIME_S = 10.0
BUSY_PAUSE_S = 0.05
UNLOAD_PAUSE_S = 0.1
# Adapters whose unload is ordered for one load, while requests still use them.
MOST_EVICTIONS = 2


class OrderKind(enum.StrEnum):
    LOAD = "load"
    UNLOAD = "unload"


class Order(msgspec.Struct, frozen=True):
    """An order to a replica. ``adapter`` "" means the base model itself.

    ``expected_count`` is the number of orders that the replica has accepted before,
    None if any number will do.
    """

    kind: OrderKind
    model: str
    adapter: str
    holder: str
    token: int
    expected_count: int | None = None
    version: int | None = None


class OrderResult(enum.Enum):
    """Answers to an order."""

    ACCEPTED = enum.auto()
    HOLDS_ALREADY = enum.auto()
    CONFLICT = enum.auto()
    TOKEN_TOO_LOW = enum.auto()
    WRONG_REPLICA = enum.auto()
    REFUSED = enum.auto()


class ReplicaReport(msgspec.Struct, frozen=True):
    """State of a replica. ``versions_by_adapter`` includes the adapters on their way."""

    order_count: int
    busy: bool
    models: frozenset[str]
    versions_by_adapter: dict[AdapterKey, int]


class LoadRequest:
    """An adapter that is to be loaded; ``done`` is set once its order was answered."""

    __slots__ = ("key", "done")

    def __init__(self, key):
        self.key = key
        self.done = asyncio.get_running_loop().create_future()

    def finish(self):
        if not self.done.done():
            self.done.set_result(None)


class Shared:
    """What the tasks of all replicas of a backend share.

    ``send(replica, order)`` returns an OrderResult; ``report(replica)`` a
    ReplicaReport, or raises ExchangeFailed or ConnectFailed. ``load_times`` bounds the
    adapters on their way, ``model_loads`` the rate of model loads.
    """

    def __init__(self, backend, places, leadership, client, version_of, model_loads):
        self.backend = backend
        self.places = places
        self.leadership = leadership
        self.client = client
        self.version_of = version_of
        self.model_loads = model_loads
        self.load_times = LoadTimes()


class ReplicaOrders:
    """Carries out the orders to one boot of a replica while this host leads."""

    def __init__(self, replica, shared):
        self._replica = replica
        self._shared = shared
        backend = shared.backend
        self.places = ReplicaPlaces(replica.id, _adapter_slots(backend))
        self._queue = collections.deque()
        self._waiter = Waiter()
        self._synced = False
        self._count = None
        self._models = frozenset()
        self._doubtful = False
        self._unloads_asked_at = 0.0

    def request(self, key):
        """Queues the load of an adapter. Returns its LoadRequest."""
        load = self.places.waiting.get(key)
        if load is None:
            load = self.places.waiting[key] = LoadRequest(key)
            self._queue.append(load)
            self.wake()
        return load

    def check_again(self, key):
        """Has a held adapter confirmed by the replica, which may have lost it."""
        place = self.places.held.get(key)
        if place is not None and place.ordered_at is None and not place.leaving:
            place.ordered_at = place.ready_at = anyio.current_time()
            self.wake()

    def wake(self):
        self._waiter.wake()

    def set_usable(self, usable):
        """Notes whether the replica takes new requests."""
        self.places.usable = usable and self._synced and bool(self._models)

    def _drop_queue(self):
        while self._queue:
            load = self._queue.popleft()
            self.places.waiting.pop(load.key, None)
            load.finish()

    async def run(self):
        """Reads the replica's state, then carries out orders, until cancelled."""
        retry_s = RETRY_S
        try:
            while True:
                try:
                    await self._step()
                    retry_s = RETRY_S
                except (ExchangeFailed, ConnectFailed, TimeoutError) as error:
                    self._note_failure(error)
                    await anyio.sleep(retry_s)
                    retry_s = min(retry_s * 2, LONGEST_RETRY_S)
        finally:
            self.places.usable = False
            self.places.from_store.clear()
            self._drop_queue()

    async def _step(self):
        if not self._synced:
            await self._sync()
        if not self._models:
            await self._load_model()
        elif (key := self._due()) is not None:
            await self._confirm(key)
        elif self._queue:
            await self._load_adapter()
        elif (key := self._outdated()) is not None:
            await self._replace(key)
        elif any(place.leaving for place in self.places.held.values()):
            await self._finish_unloads()
            await self._wait(UNLOAD_PAUSE_S)
        else:
            await self._wait(IDLE_CHECK_S)

    def _on_their_way(self):
        """Returns (key, place) of the loads that are not confirmed yet."""
        return [
            (key, place)
            for key, place in self.places.held.items()
            if place.ordered_at is not None
        ]

    def _due(self):
        """Returns an adapter whose load is expected to have ended."""
        now = anyio.current_time()
        for key, place in self._on_their_way():
            if place.ready_at <= now:
                return key
        return None

    async def _confirm(self, key):
        """Repeats the order of a load, which tells whether the adapter is there."""
        place = self.places.held[key]
        result = await self._order(OrderKind.LOAD, key.model, key.adapter)
        now = anyio.current_time()
        if result is OrderResult.HOLDS_ALREADY:
            if key in self.places.from_store:
                in_transit = self._shared.places.in_transit()
                self._shared.load_times.note_ended(
                    place.ordered_at, place.is_late, in_transit
                )
                self.places.from_store.discard(key)
            place.ordered_at = None
        elif now - place.ordered_at > LONGEST_LOAD_S:
            raise ExchangeFailed(f"the load of {key.adapter} does not end")
        else:
            place.is_late = True
            place.ready_at = now + LATE_LOAD_PAUSE_S

    async def _wait(self, limit_s):
        """Waits until woken, the next load should have ended, or ``limit_s`` passed."""
        now = anyio.current_time()
        for _, place in self._on_their_way():
            limit_s = min(limit_s, max(0.0, place.ready_at - now))
        await self._waiter.wait(limit_s)

    def _note_failure(self, error):
        self._synced = False
        self._doubtful = True
        self.places.usable = False
        # What is on its way to this replica must not hold up loads to others.
        self.places.from_store.clear()
        self.places.failed_until = anyio.current_time() + FAILED_S
        self._drop_queue()
        log_event(Event.ORDER_REFUSED, replica=self._replica.id, error=repr(error))

    async def _sync(self):
        if self._doubtful:
            # A report may be older than an order that was accepted just now.
            await anyio.sleep(REPORT_LAG_S)
        report = await self._shared.client.report(self._replica)
        now = anyio.current_time()
        self._count = report.order_count
        self._models = report.models
        before = self.places.held
        self.places.forget_all()
        for key, version in report.versions_by_adapter.items():
            self.places.note_held(key, version, now)
        for key, place in before.items():
            if place.ready_at > now and key in self.places.held:
                self.places.held[key].ready_at = place.ready_at
        self._synced = True
        self._doubtful = False
        self.places.usable = bool(self._models) and self._replica.takes_requests
        log_event(
            Event.REPLICA_SYNCED,
            replica=self._replica.id,
            orders=report.order_count,
            models=sorted(self._models),
            adapters=len(self.places.held),
        )

    async def _load_model(self):
        """Loads the backend's model at an empty replica."""
        model = self._shared.backend.models[0]
        wait_s = self._shared.model_loads.wait_s()
        if wait_s > 0:
            await self._wait(wait_s)
            return
        self._shared.model_loads.take()
        result = await self._order(OrderKind.LOAD, model.name, "")
        log_event(Event.MODEL_ORDERED, replica=self._replica.id, result=result.name)
        if result is OrderResult.ACCEPTED:
            result = await self._await_model(model)
        # Reports lag, so the answer to an order tells sooner that the model is there.
        if result is OrderResult.HOLDS_ALREADY:
            self._models = frozenset([model.name])
            self.places.usable = self._replica.takes_requests

    async def _await_model(self, model):
        """Repeats the order of a model until it holds. Returns the last result."""
        end = anyio.current_time() + model.load_s + MODEL_OVERTIME_S
        result = OrderResult.ACCEPTED
        while result is not OrderResult.HOLDS_ALREADY and anyio.current_time() < end:
            await anyio.sleep(MODEL_CHECK_S)
            result = await self._order(OrderKind.LOAD, model.name, "")
        return result

    async def _load_adapter(self):
        load = self._queue[0]
        in_transit = self._shared.places.in_transit()
        may_start = self._shared.load_times.may_start(in_transit)
        if not may_start or len(self._on_their_way()) >= IN_TRANSIT:
            await self._wait(BUSY_PAUSE_S)
            return
        if len(self.places.held) < self.places.slots or await self._evict():
            await self._order_adapter(load)
        else:
            self._drop(load)

    async def _order_adapter(self, load):
        key = load.key
        recent = self.places.was_held(key)
        version = self._shared.version_of(key)
        result = await self._order(OrderKind.LOAD, key.model, key.adapter)
        if result is OrderResult.CONFLICT:
            await self._wait(BUSY_PAUSE_S)
        elif result in (OrderResult.ACCEPTED, OrderResult.HOLDS_ALREADY):
            self._note_ordered(key, version, result, recent)
        self._drop(load)

    def _note_ordered(self, key, version, result, recent):
        """Notes a place, and when it is expected to be ready."""
        log_event(
            Event.ADAPTER_ORDERED,
            replica=self._replica.id,
            adapter=key.adapter,
            version=version,
            recent=recent,
            result=result.name,
        )
        now = anyio.current_time()
        if result is OrderResult.HOLDS_ALREADY:
            self.places.note_held(key, version, now)
            return
        load_times = self._shared.load_times
        load_s = RECENT_LOAD_S if recent else load_times.estimate_s
        self.places.note_held(key, version, now + load_s + LOAD_MARGIN_S, now)
        if not recent:
            self.places.from_store.add(key)

    def _drop(self, load):
        if load in self._queue:
            self._queue.remove(load)
        self.places.waiting.pop(load.key, None)
        load.finish()

    async def _evict(self):
        """Frees a place. Returns False if none can be freed now."""
        if await self._finish_unloads():
            return True
        for _ in range(MOST_EVICTIONS):
            key = self._shared.places.evictable(self.places)
            if key is None:
                return False
            if await self._unload(key):
                return True
        return False

    async def _unload(self, key):
        """Orders an unload. Returns whether the place is free."""
        place = self.places.held[key]
        result = await self._order(OrderKind.UNLOAD, key.model, key.adapter)
        # Without a 200, requests in progress still hold the place.
        place.leaving = result is not OrderResult.HOLDS_ALREADY
        if not place.leaving:
            self.places.drop(key)
        return not place.leaving

    async def _finish_unloads(self):
        """Asks again for unloads that wait. Returns whether a place became free."""
        now = anyio.current_time()
        if now < self._unloads_asked_at + UNLOAD_PAUSE_S:
            return False
        self._unloads_asked_at = now
        freed = False
        for key, place in list(self.places.held.items()):
            if place.leaving and await self._unload(key):
                freed = True
        return freed

    def _outdated(self):
        """Returns a held adapter of which a newer version was declared."""
        for key, place in self.places.held.items():
            if place.version < self._shared.version_of(key) and not place.leaving:
                return key
        return None

    async def _replace(self, key):
        version = self._shared.version_of(key)
        result = await self._order(OrderKind.LOAD, key.model, key.adapter, version)
        if result in (OrderResult.ACCEPTED, OrderResult.HOLDS_ALREADY):
            self._note_ordered(key, version, result, recent=False)
        else:
            await self._wait(RETRY_S)

    async def _order(self, kind, model, adapter, version=None):
        """Sends one order. Raises ExchangeFailed if it was refused or is in doubt."""
        shared = self._shared
        if not shared.leadership.check_still_leading():
            raise ExchangeFailed("this host no longer leads")
        order = Order(
            kind,
            model,
            adapter,
            shared.leadership.holder,
            shared.leadership.term,
            self._count,
            version,
        )
        async with asyncio.timeout(ORDER_TIMEOUT_S):
            result = await shared.client.send(self._replica, order)
        if result in (OrderResult.ACCEPTED, OrderResult.HOLDS_ALREADY):
            self._count = None
        elif result is OrderResult.CONFLICT and order.expected_count is None:
            # Another order of this leader for the same adapter or model goes on.
            pass
        elif result is OrderResult.TOKEN_TOO_LOW:
            shared.leadership.note_token_refused()
            raise ExchangeFailed("the token is too low")
        else:
            raise ExchangeFailed(f"{kind} {model}/{adapter}: {result.name}")
        return result


def _adapter_slots(backend):
    """Returns how many adapters fit beside a model of the backend."""
    model = backend.models[0]
    if model.adapter_mb <= 0:
        return backend.adapter_slots
    room = int((backend.weights_mb - model.weights_mb) / model.adapter_mb)
    return max(0, min(backend.adapter_slots, room))
