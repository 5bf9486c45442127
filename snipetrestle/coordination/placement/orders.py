"""Orders of the leader to the replicas: one task for each replica.

A replica's state is read before its first order, and again after each failure and after
each refusal that shows that the state is not known.
"""

import asyncio
import collections

import anyio

from snipetrestle.coordination.placement.adapter_places import (
    LoadReason,
    ReplicaAdapters,
)
from snipetrestle.coordination.placement.load_times import AdapterLoadLimiter
from snipetrestle.coordination.placement.order_messages import OrderKind, OrderResult
from snipetrestle.coordination.placement.order_sender import (
    OrderRefused,
    OrderSender,
    StateOutdated,
    end_if_cancelled,
)
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.waiter import Waiter

# Adapters that one replica may load concurrently.
MAX_LOADS_PER_REPLICA = 4
# Expected duration of the load of an adapter that the replica held recently.
RECENT_ADAPTER_LOAD_S = 0.03
# Added to the expected duration of a load, for the round trip of the order.
LOAD_MARGIN_S = 0.012
# A load that did not end at the expected time is checked again after this time.
LATE_LOAD_RECHECK_S = 0.02
# A load that takes longer than this counts as failed.
MAX_LOAD_S = 5.0
# A report may be this old, so an uncertain state is read only after this time.
MAX_REPORT_AGE_S = 0.35
INITIAL_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 2.0
# For this long after a failure, other replicas are preferred for loads.
FAILURE_PENALTY_S = 1.0
IDLE_CHECK_INTERVAL_S = 5.0
# State reports that a new leader reads at the same time. With thousands of replicas,
# reading all at once would delay its heartbeats until it is replaced.
MAX_CONCURRENT_REPORTS = 32
# How often a replica is asked whether its model is loaded. From the memory or disk of a
# restarted replica, a model loads much faster than from the store.
MODEL_CHECK_INTERVAL_S = 0.1
# A model that takes this much longer than a load from the store counts as failed.
MODEL_LOAD_GRACE_S = 10.0
BUSY_RETRY_DELAY_S = 0.05
UNLOAD_RETRY_INTERVAL_S = 0.1
# A newer version that a replica refuses is not ordered again before this time.
VERSION_RETRY_DELAY_S = 1.0
# After these errors the replica is not used until its state has been read.
FAILURES = (ExchangeFailed, ConnectFailed, OrderRefused, TimeoutError)
# Adapters that a log line names at most.
MAX_LOGGED_ADAPTERS = 8


class LoadRequest:
    """A queued adapter load; ``done`` is set once its order was answered or dropped.

    ``reason`` is the LoadReason.
    """

    __slots__ = ("replica_id", "key", "reason", "done")

    def __init__(self, replica_id, key, reason):
        self.replica_id = replica_id
        self.key = key
        self.reason = reason
        self.done = asyncio.get_running_loop().create_future()

    def finish(self):
        if not self.done.done():
            self.done.set_result(None)


class BackendContext:
    """Objects that the tasks of all replicas of a backend share.

    ``client.send(replica, order)`` returns an OrderResult, and
    ``client.report(replica)`` a ReplicaReport; both raise ExchangeFailed or
    ConnectFailed. ``version_of(key)`` returns the declared version of an adapter.
    ``load_limiter`` limits the adapter loads in flight, and ``model_load_limiter`` the
    rate of model loads.
    """

    def __init__(
        self,
        backend,
        backend_placement,
        leadership,
        client,
        version_of,
        model_load_limiter,
    ):
        self.backend = backend
        self.backend_placement = backend_placement
        self.leadership = leadership
        self.client = client
        self.version_of = version_of
        self.model_load_limiter = model_load_limiter
        self.load_limiter = AdapterLoadLimiter()
        self.report_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_REPORTS)


class ReplicaOrders:
    """Sends the orders to one boot of a replica while this host leads."""

    def __init__(self, replica, context):
        self._replica = replica
        self._context = context
        self.replica_adapters = ReplicaAdapters(
            replica.id, 0, context.backend_placement.index
        )
        self._queue = collections.deque()
        self._waiter = Waiter()
        # Whether the replica's state has been read since the last failure, and whether
        # no order was refused since because that state is outdated.
        self._known = False
        self._synced = False
        self._sender = OrderSender(replica, context, self.replica_adapters)
        self._models = frozenset()
        self._state_uncertain = False
        self._versions_retry_at = 0.0
        self.update_slots()

    def update_slots(self):
        """Applies the backend's present configuration to the replica's slots.

        A replica without a model gets the first one of the backend.
        """
        backend = self._context.backend
        models = self._models or {backend.models[0].name}
        self.replica_adapters.slots = adapter_slots(backend, models)

    def request_load(self, key, reason):
        """Queues the load of an adapter. Returns its LoadRequest."""
        load = self.replica_adapters.pending_loads.get(key)
        if load is None:
            load = LoadRequest(self.replica_adapters.replica_id, key, reason)
            self.replica_adapters.add_pending(load)
            self._queue.append(load)
            self.wake()
        return load

    def verify_held(self, key):
        """Makes the replica confirm an adapter that it may have lost."""
        placement = self.replica_adapters.held.get(key)
        if (
            placement is not None
            and placement.ordered_at is None
            and key != self.replica_adapters.unloading
        ):
            placement.ordered_at = placement.ready_at = anyio.current_time()
            self.wake()

    def wake(self):
        self._waiter.wake()

    def set_usable(self, usable):
        """Records whether the replica takes new requests."""
        self.replica_adapters.usable = usable and self._known and bool(self._models)

    def _drop_queue(self):
        while self._queue:
            load = self._queue.popleft()
            self.replica_adapters.remove_pending(load.key)
            load.finish()

    async def run(self):
        """Reads the replica's state, then sends orders, until cancelled."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        try:
            while True:
                try:
                    await self._step()
                    retry_delay_s = INITIAL_RETRY_DELAY_S
                except StateOutdated:
                    # What it is known to hold is mostly right, so it stays in use.
                    self._synced = False
                    self._state_uncertain = True
                except FAILURES as error:
                    self._on_failure(error)
                    await anyio.sleep(retry_delay_s)
                    retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
        finally:
            self.replica_adapters.usable = False
            self.replica_adapters.end_all_store_loads()
            self._drop_queue()

    async def _step(self):
        if self._replica.pause.is_active:
            await self._wait_out_pause()
            return
        if not self._synced:
            await self._sync()
        if not self._models:
            await self._load_model()
        elif self.replica_adapters.unloading is not None:
            await self._await_unload()
        elif (key := self._due_load()) is not None:
            await self._confirm_load(key)
        else:
            await self._order_adapters()

    async def _order_adapters(self):
        outdated = self._outdated_adapter()
        if outdated is not None and await self._make_room(outdated):
            await self._update_version(outdated)
        elif self._queue:
            await self._load_next_adapter()
        elif outdated is not None:
            await self._wait(INITIAL_RETRY_DELAY_S)
        else:
            await self._wait(IDLE_CHECK_INTERVAL_S)

    async def _wait_out_pause(self):
        """Sends nothing; loads that wait are placed at other replicas."""
        self._drop_queue()
        # Loads in flight to this replica must not block loads to other replicas.
        self.replica_adapters.end_all_store_loads()
        await self._waiter.wait(self._replica.pause.left_s())

    def _unconfirmed(self):
        """Returns (key, placement) of the ordered loads that are not confirmed yet."""
        return [
            (key, placement)
            for key, placement in self.replica_adapters.held.items()
            if placement.ordered_at is not None
        ]

    @property
    def _is_at_load_limit(self):
        return len(self._unconfirmed()) >= MAX_LOADS_PER_REPLICA

    def _due_load(self):
        """Returns the key of a load that should have ended; None if none."""
        now = anyio.current_time()
        for key, placement in self._unconfirmed():
            if placement.ready_at <= now:
                return key
        return None

    async def _confirm_load(self, key):
        """Repeats the order of a load, whose answer tells whether it has ended."""
        placement = self.replica_adapters.held[key]
        result = await self._sender.send(OrderKind.LOAD, key.model, key.adapter)
        now = anyio.current_time()
        if result is OrderResult.HOLDS_ALREADY:
            if key in self.replica_adapters.loading_from_store:
                in_flight = self._context.backend_placement.store_loads_in_flight()
                self._context.load_limiter.record_ended(
                    placement.ordered_at, placement.is_late, in_flight
                )
                self.replica_adapters.end_store_load(key)
            placement.ordered_at = None
            placement.replaces_version = False
        elif now - placement.ordered_at > MAX_LOAD_S:
            raise ExchangeFailed(f"load of adapter {key.adapter} timed out")
        else:
            placement.is_late = True
            placement.ready_at = now + LATE_LOAD_RECHECK_S

    async def _wait(self, timeout_s):
        """Waits until woken, or for ``timeout_s`` at most.

        Ends earlier if a load should have ended or a version may be ordered again.
        """
        now = anyio.current_time()
        if self._versions_retry_at > now:
            timeout_s = min(timeout_s, self._versions_retry_at - now)
        for _, placement in self._unconfirmed():
            timeout_s = min(timeout_s, max(0.0, placement.ready_at - now))
        await self._waiter.wait(timeout_s)

    def _on_failure(self, error):
        self._known = self._synced = False
        self._state_uncertain = True
        self.replica_adapters.usable = False
        # Loads in flight to this replica must not block loads to other replicas.
        self.replica_adapters.end_all_store_loads()
        self.replica_adapters.failed_until = anyio.current_time() + FAILURE_PENALTY_S
        self._drop_queue()
        self._log_refusal(error)

    def _log_refusal(self, error):
        log_event(
            Event.ORDER_REFUSED,
            replica=self._replica.id,
            error=repr(error),
            **self._sender.last_order_fields(),
            **self._sender.believed_fields(),
        )

    async def _sync(self):
        """Replaces the known state of the replica by its report."""
        if self._state_uncertain:
            # A report may be older than an order that was just accepted.
            await anyio.sleep(MAX_REPORT_AGE_S)
        async with self._context.report_limiter:
            report = await self._context.client.report(self._replica)
        await end_if_cancelled()
        now = anyio.current_time()
        expected_orders = self._sender.order_count
        previous = dict(self.replica_adapters.held)
        self._models = report.models
        self.update_slots()
        self._record_reported(report, previous, now)
        self._sender.apply_report(report)
        self._known = self._synced = True
        self._state_uncertain = False
        self.replica_adapters.usable = (
            bool(self._models) and self._replica.takes_requests
        )
        log_event(
            Event.REPLICA_SYNCED,
            replica=self._replica.id,
            expected_orders=expected_orders,
            models=sorted(self._models),
            unknown=_adapter_names(self.replica_adapters.held.keys() - previous.keys()),
            missing=_adapter_names(previous.keys() - self.replica_adapters.held.keys()),
            **self._sender.believed_fields(),
        )

    def _record_reported(self, report, previous, now):
        """Replaces the known adapters by reported ones; ``previous`` are the known."""
        self.replica_adapters.remove_all()
        for key, version in report.versions_by_adapter.items():
            known = previous.get(key)
            # A later time would keep an adapter that is known from an eviction.
            ready_at = now if known is None else known.ready_at
            ordered_at = None
            if key in report.in_transit:
                ready_at = max(now, ready_at)
                ordered_at = now
                if known is not None and known.ordered_at is not None:
                    ordered_at = known.ordered_at
            self.replica_adapters.record_held(
                key, version, ready_at, ordered_at, key in report.replaced
            )

    async def _load_model(self):
        """Loads the backend's model on a replica without one."""
        model = self._context.backend.models[0]
        if model.weights_mb > self._context.backend.weights_mb:
            await self._wait(IDLE_CHECK_INTERVAL_S)
            return
        if not self._sender.model_in_transit:
            wait_s = self._context.model_load_limiter.wait_s()
            if wait_s > 0:
                await self._wait(wait_s)
                return
            self._context.model_load_limiter.take()
        result = await self._sender.send(OrderKind.LOAD, model.name, "")
        log_event(Event.MODEL_ORDERED, replica=self._replica.id, result=result.name)
        if result is OrderResult.ACCEPTED:
            self._sender.model_in_transit = True
            await self._await_model(model)
        # Reports lag, so the answer to an order shows earlier that the model is loaded.
        self._sender.model_in_transit = False
        self._models = frozenset([model.name])
        self.update_slots()
        self.replica_adapters.usable = self._replica.takes_requests

    async def _await_model(self, model):
        """Repeats the order of a model until it is loaded."""
        deadline = anyio.current_time() + model.load_s + MODEL_LOAD_GRACE_S
        while anyio.current_time() < deadline:
            await anyio.sleep(max(MODEL_CHECK_INTERVAL_S, self._replica.pause.left_s()))
            result = await self._sender.send(OrderKind.LOAD, model.name, "")
            if result is OrderResult.HOLDS_ALREADY:
                return
        raise StateOutdated

    async def _load_next_adapter(self):
        load = self._queue[0]
        in_flight = self._context.backend_placement.store_loads_in_flight()
        may_start = self._context.load_limiter.may_start(in_flight)
        if not may_start or self._is_at_load_limit:
            await self._wait(BUSY_RETRY_DELAY_S)
            return
        if await self._make_room(load.key):
            await self._order_load(load)
        else:
            self._drop(load)

    async def _make_room(self, key):
        """Returns whether a slot is free for a load, after an eviction if there is none.

        One eviction is not enough if the replica's slots have become fewer.
        """
        if self._is_full:
            await self._evict(key)
        return not self._is_full

    @property
    def _is_full(self):
        return self.replica_adapters.taken_slots >= self.replica_adapters.slots

    async def _order_load(self, load):
        key = load.key
        recent = self.replica_adapters.was_recently_held(key)
        version = self._context.version_of(key)
        try:
            result = await self._sender.send(OrderKind.LOAD, key.model, key.adapter)
        except OrderRefused as error:
            # A caller may have named an adapter that does not exist.
            self._drop(load)
            self._read_state_after_refusal(error)
        self._record_ordered_load(key, version, result, recent, load.reason)
        self._drop(load)

    def _read_state_after_refusal(self, error):
        """Keeps a replica in use that refuses a load; it may have lost its model."""
        self._log_refusal(error)
        raise StateOutdated from error

    def _record_ordered_load(self, key, version, result, recent, reason):
        """Records an adapter as held, with the time at which its load should end."""
        log_event(
            Event.ADAPTER_ORDERED,
            replica=self._replica.id,
            adapter=key.adapter,
            version=version,
            recent=recent,
            reason=str(reason),
            result=result.name,
            **self._sender.believed_fields(),
        )
        now = anyio.current_time()
        if result is OrderResult.HOLDS_ALREADY:
            self.replica_adapters.record_held(key, version, now)
            return
        load_limiter = self._context.load_limiter
        load_s = RECENT_ADAPTER_LOAD_S if recent else load_limiter.estimate_s
        self.replica_adapters.record_held(
            key,
            version,
            now + load_s + LOAD_MARGIN_S,
            now,
            reason is LoadReason.NEW_VERSION,
        )
        if not recent:
            self.replica_adapters.start_store_load(key)

    def _drop(self, load):
        if load in self._queue:
            self._queue.remove(load)
        self.replica_adapters.remove_pending(load.key)
        load.finish()

    async def _evict(self, load_key):
        """Frees a slot for a load, if one can be freed now."""
        key = self._context.backend_placement.eviction_candidate(
            self.replica_adapters, load_key
        )
        if key is not None:
            await self._unload(key)

    async def _unload(self, key):
        """Orders an unload. Returns whether the slot is free."""
        result = await self._sender.send(OrderKind.UNLOAD, key.model, key.adapter)
        repeated = self.replica_adapters.unloading == key
        # Repeated unloads that still wait are not logged.
        if not repeated or result is OrderResult.HOLDS_ALREADY:
            log_event(
                Event.ADAPTER_UNLOAD_ORDERED,
                replica=self._replica.id,
                adapter=key.adapter,
                repeated=repeated,
                result=result.name,
                **self._sender.believed_fields(),
            )
        if result is OrderResult.HOLDS_ALREADY:
            self.replica_adapters.drop(key)
            return True
        self.replica_adapters.unloading = key
        return False

    async def _await_unload(self):
        """Repeats the unload that waits for its requests; nothing else is ordered."""
        # Other replicas may load these at once.
        self._drop_queue()
        if not await self._unload(self.replica_adapters.unloading):
            await anyio.sleep(UNLOAD_RETRY_INTERVAL_S)

    def _outdated_adapter(self):
        """Returns the key of an adapter that may be replaced now; None if none.

        A newer version of it is declared.
        """
        if self._is_at_load_limit or anyio.current_time() < self._versions_retry_at:
            return None
        for key, placement in self.replica_adapters.held.items():
            is_outdated = placement.version < self._context.version_of(key)
            if is_outdated and placement.ordered_at is None:
                return key
        return None

    async def _update_version(self, key):
        """Replaces an adapter by its newest version, which takes a slot beside it."""
        if key not in self.replica_adapters.held:
            # It was evicted to make room.
            return
        version = self._context.version_of(key)
        try:
            result = await self._sender.send(
                OrderKind.LOAD, key.model, key.adapter, version
            )
        except OrderRefused as error:
            # The replica may learn of the version later than this host.
            self._versions_retry_at = anyio.current_time() + VERSION_RETRY_DELAY_S
            self._read_state_after_refusal(error)
        self._record_ordered_load(key, version, result, False, LoadReason.NEW_VERSION)


def _adapter_names(keys):
    """Returns the names of some adapters for a log line."""
    return sorted(key.adapter for key in keys)[:MAX_LOGGED_ADAPTERS]


def adapter_slots(backend, model_names):
    """Returns how many adapters fit in a replica's memory beside its models.

    None fit beside a model whose size the backend does not state.
    """
    models = [model for model in backend.models if model.name in model_names]
    if len(models) < len(model_names):
        return 0
    adapter_mb = max(model.adapter_mb for model in models)
    if adapter_mb <= 0:
        return backend.adapter_slots
    free_mb = backend.weights_mb - sum(model.weights_mb for model in models)
    return max(0, int(min(backend.adapter_slots, free_mb / adapter_mb)))
