"""Placement of adapters by the leader: orders loads and answers hosts' lookups."""

import asyncio

import anyio

from snipetrestle.coordination.messaging.messages import (
    AdapterLocation,
    Locate,
    Located,
)
from snipetrestle.coordination.messaging.report_rounds import fitting
from snipetrestle.coordination.placement.adapter_places import (
    DEFAULT_EVENT_INTERVAL_S,
    BackendPlacement,
    LoadReason,
)
from snipetrestle.coordination.placement.orders import BackendContext, ReplicaOrders
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle.supervision import run_isolated, run_supervised

# A host whose lookup found no replica asks again after this time.
LOOKUP_RETRY_S = 0.08
MAINTENANCE_INTERVAL_S = 5.0
# How often a lookup checks whether the replica answers that a load waits for. Thousands
# of lookups may wait while many adapters are loaded.
ORDER_CHECK_PAUSE_S = 0.15
# The locations in an answer. Replicas that are ready later and busier are left out.
MAX_LOCATIONS_BYTES = 8192
# Minimum time between two updates of the replicas' states from the hosts' heartbeats.
# It grows with their number, so that the updates take a bounded part of a core.
REPLICA_UPDATE_INTERVAL_S = 0.1
REPLICA_UPDATE_INTERVAL_PER_REPLICA_S = 0.0002
# Number of model loads that may be ordered without a pause.
MODEL_LOAD_BURST = 2.0
# The rate of a backend that allows fewer model loads or does not tell.
MIN_MODEL_LOADS_PER_S = 0.1
# A level this close to a whole load counts as one. The difference is a rounding error,
# and a wait for it would be shorter than the clock's resolution.
ROUNDING_TOLERANCE = 1e-6


class ModelLoadLimiter:
    """Token bucket for loads of base models. ``rate`` is in loads per second."""

    def __init__(self, rate):
        self.set_rate(rate)
        self._level = MODEL_LOAD_BURST
        self._updated_at = anyio.current_time()

    def set_rate(self, rate):
        self._rate = max(MIN_MODEL_LOADS_PER_S, rate)

    def wait_s(self):
        """Returns the time in seconds until the next load may be ordered."""
        now = anyio.current_time()
        level = min(
            MODEL_LOAD_BURST, self._level + (now - self._updated_at) * self._rate
        )
        self._level, self._updated_at = level, now
        if level > 1.0 - ROUNDING_TOLERANCE:
            return 0.0
        return (1.0 - level) / self._rate

    def take(self):
        self._level -= 1.0


class BackendPlacementController:
    """Places the adapters of one backend and runs a task of orders for each replica."""

    def __init__(
        self, backend, leadership, client, replica_loads, version_of, task_group
    ):
        self._replica_loads = replica_loads
        self._replicas_updated_at = -REPLICA_UPDATE_INTERVAL_S
        self.placement = BackendPlacement()
        self._context = BackendContext(
            backend,
            self.placement,
            leadership,
            client,
            version_of,
            ModelLoadLimiter(backend.loads_per_s),
        )
        self._task_group = task_group
        # (replica, ReplicaOrders, cancel scope) by replica id.
        self._running_by_id = {}

    @property
    def models(self):
        return self._context.backend.models

    def set_backend(self, backend):
        """Applies a changed configuration of the backend."""
        if backend == self._context.backend:
            return
        self._context.backend = backend
        self._context.model_load_limiter.set_rate(backend.loads_per_s)
        for _, orders, _ in self._running_by_id.values():
            orders.update_slots()
            orders.wake()

    def set_replicas(self, replicas):
        """Starts the tasks of added replicas and cancels those of removed ones."""
        current = {replica.id: replica for replica in replicas}
        self._context.load_limiter.set_replicas(len(current))
        for replica_id, (replica, _, scope) in list(self._running_by_id.items()):
            if current.get(replica_id) is not replica:
                scope.cancel()
                del self._running_by_id[replica_id]
                self.placement.remove_replica(replica_id)
        for replica_id, replica in current.items():
            if replica_id not in self._running_by_id:
                self._start(replica)

    def _start(self, replica):
        orders = ReplicaOrders(replica, self._context)
        orders.replica_adapters.software_version = replica.entry.software_version
        scope = anyio.CancelScope()
        self._running_by_id[replica.id] = (replica, orders, scope)
        self.placement.add_replica(orders.replica_adapters)
        self._task_group.start_soon(self._run, orders, scope)

    async def _run(self, orders, scope):
        with scope:
            await run_supervised(orders.run)

    def stop(self):
        for _, _, scope in self._running_by_id.values():
            scope.cancel()
        self._running_by_id.clear()
        self.placement.remove_all()

    def log_state(self):
        """Logs what limits loads and evictions, to explain lookups without a result."""
        replicas = [item for item in self.placement.by_replica.values() if item.usable]
        limiter = self._context.load_limiter
        log_event(
            Event.PLACEMENT_STATE,
            replicas=len(self.placement.by_replica),
            usable=len(replicas),
            places=sum(item.slots for item in replicas),
            held=sum(len(item.held) for item in replicas),
            in_use=sum(len(item.in_use & item.held.keys()) for item in replicas),
            unloading=sum(item.unloading is not None for item in replicas),
            waiting=sum(len(item.pending_loads) for item in replicas),
            withheld=len(self.placement.evictions.withheld_places),
            in_transit=self.placement.store_loads_in_flight(),
            most_in_transit=int(limiter.max_in_flight),
            load_ms=round(limiter.estimate_s * 1000),
        )

    def wake(self):
        """Makes the replicas' tasks check for newly declared adapter versions."""
        for _, orders, _ in self._running_by_id.values():
            orders.wake()

    async def locate(self, key, uses, avoid, limited=(), software_version=""):
        """Returns the locations of an adapter, after ordering a load if there is none.

        ``uses`` is added to the adapter's demand for the version. Replicas whose ids
        are in ``avoid`` or ``limited`` are not returned; those in ``avoid`` did not
        serve the adapter. With a ``software_version``, only replicas of it are
        returned, or load the adapter. If none can yet, a place is withheld at one.
        """
        self.placement.record_demand(key, uses, software_version)
        self._update_replicas()
        self._verify_held(key, avoid)
        if software_version and not self.placement.has_usable(software_version):
            return ()
        avoid = (*avoid, *limited)
        holders = self.placement.places(key, avoid, software_version)
        if not holders:
            await self._load(key, avoid, software_version)
            holders = self.placement.places(key, avoid, software_version)
        elif (reason := self.placement.copy_reason(key)) is not None:
            self._request_load(key, avoid, reason, software_version)
        if holders:
            self.placement.evictions.withheld_places.end(key, software_version)
        now = anyio.current_time()
        return tuple(
            AdapterLocation(
                replica.replica_id,
                max(0.0, replica.held[key].ready_at - now),
                self._replica_loads.location_load(replica.replica_id),
            )
            for replica in holders
        )

    def _update_replicas(self):
        """Copies the replica states that the hosts reported into the placement.

        Does so at most once in REPLICA_UPDATE_INTERVAL_S.
        """
        now = anyio.current_time()
        interval_s = max(
            REPLICA_UPDATE_INTERVAL_S,
            REPLICA_UPDATE_INTERVAL_PER_REPLICA_S * len(self._running_by_id),
        )
        if now < self._replicas_updated_at + interval_s:
            return
        self._replicas_updated_at = now
        for replica, orders, _ in self._running_by_id.values():
            orders.replica_adapters.in_use = self._replica_loads.adapters_in_use(
                replica
            )
            orders.replica_adapters.utilization = replica.load / max(
                1, replica.entry.slots
            )
            orders.replica_adapters.event_interval_s = (
                replica.event_interval_s or DEFAULT_EVENT_INTERVAL_S
            )
            orders.replica_adapters.limit_per_s = replica.request_limit.per_s
            orders.replica_adapters.takes_orders = not replica.pause.is_active
            orders.replica_adapters.is_suspected = replica.suspected_until > now
            orders.set_usable(replica.takes_requests)

    def _verify_held(self, key, replica_ids):
        """Makes replicas that did not serve an adapter confirm that they hold it."""
        for replica_id in replica_ids:
            if replica_id in self._running_by_id:
                self._running_by_id[replica_id][1].verify_held(key)

    def _request_load(self, key, avoid, reason, software_version):
        """Queues a load at the best replica. Returns its LoadRequest; None if none."""
        replica = self.placement.choose_replica(key, avoid, software_version)
        if replica is None:
            return None
        return self._running_by_id[replica.replica_id][1].request_load(key, reason)

    async def _load(self, key, avoid, software_version):
        """Waits until a pending or new load of an adapter was ordered.

        A load at a replica that does not answer is placed at one that does as well.
        """
        self.placement.evictions.withheld_places.extend(key, software_version)
        load = self._next_load(key, avoid, software_version)
        while load is not None:
            self.placement.record_expected_prompt(load.replica_id)
            await self._wait_for_order(load, avoid, software_version)
            # Another lookup may have had it loaded meanwhile.
            is_held = self.placement.places(key, avoid, software_version)
            if load.done.done() or is_held:
                return
            load = self._next_load(key, avoid, software_version)
        if software_version:
            self.placement.withhold_place(key, software_version, avoid)

    def _next_load(self, key, avoid, software_version):
        """Returns a pending LoadRequest, or else a new one; None if there is no room."""
        load = self._pending_load(key, avoid, software_version)
        if load is not None:
            return load
        return self._request_load(key, avoid, LoadReason.MISSING, software_version)

    async def _wait_for_order(self, load, avoid, software_version):
        """Waits for the order of a load, or until another replica serves it sooner."""
        while not load.done.done():
            await asyncio.wait([load.done], timeout=ORDER_CHECK_PAUSE_S)
            replica = self.placement.by_replica.get(load.replica_id)
            is_gone = replica is not None and replica.may_be_gone(anyio.current_time())
            if is_gone and self._is_served_elsewhere(load.key, avoid, software_version):
                return

    def _is_served_elsewhere(self, key, avoid, software_version):
        """Whether a replica that answers holds an adapter, or can be ordered to."""
        if self.placement.places(key, avoid, software_version):
            return True
        if self._pending_load(key, avoid, software_version) is not None:
            return True
        replica = self.placement.choose_replica(key, avoid, software_version)
        return replica is not None and not replica.may_be_gone(anyio.current_time())

    def _pending_load(self, key, avoid, software_version):
        """Returns the LoadRequest that waits at a replica which answers, or None."""
        now = anyio.current_time()
        for replica_id, load in self.placement.index.pending(key).items():
            replica = self.placement.by_replica[replica_id]
            is_of_use = replica_id not in avoid and replica.runs(software_version)
            if is_of_use and not replica.may_be_gone(now):
                return load
        return None


class PlacementController:
    """Places the adapters of all backends while this host leads; idle otherwise."""

    def __init__(self, state, leadership, client, replica_loads, endpoint):
        self._state = state
        self._leadership = leadership
        self._client = client
        self._replica_loads = replica_loads
        self._endpoint = endpoint
        self._task_group = None
        self._by_backend = {}
        self._seen_version_count = 0
        leadership.on_change(self._update)
        state.on_change(self._update)
        state.replicas.on_leaving(self._update)
        endpoint.register(Locate, self._on_locate)

    async def run(self):
        # Controllers of an earlier run, which ended by an error, have no tasks left.
        self._stop_all()
        async with anyio.create_task_group() as group:
            self._task_group = group
            self._update()
            while True:
                await anyio.sleep(MAINTENANCE_INTERVAL_S)
                for controller in self._by_backend.values():
                    controller.placement.drop_stale_demand()
                    controller.log_state()

    def _stop_all(self):
        for controller in self._by_backend.values():
            controller.stop()
        self._by_backend.clear()

    def _update(self):
        """Applies changes of leadership, configuration and replicas."""
        if self._task_group is None:
            return
        backends = self._backends_to_lead()
        version_count = self._state.documents.adapter_version_count
        versions_changed = version_count != self._seen_version_count
        self._seen_version_count = version_count
        for name in [name for name in self._by_backend if name not in backends]:
            self._by_backend.pop(name).stop()
        for name, backend in backends.items():
            replicas = self._state.replicas.ready_replicas(name)
            if name not in self._by_backend:
                self._by_backend[name] = BackendPlacementController(
                    backend,
                    self._leadership,
                    self._client,
                    self._replica_loads,
                    self._version_of,
                    self._task_group,
                )
            self._by_backend[name].set_backend(backend)
            self._by_backend[name].set_replicas(replicas)
            if versions_changed:
                self._by_backend[name].wake()

    def _backends_to_lead(self):
        if not self._leadership.leads:
            return {}
        backends = self._state.backends_by_name.items()
        return {name: backend for name, backend in backends if backend.serves_models}

    def _version_of(self, key):
        return self._state.versions_by_adapter.get(key, 1)

    def _controller_of(self, model):
        for controller in self._by_backend.values():
            if any(item.name == model for item in controller.models):
                return controller
        return None

    def placement_of(self, model):
        """Returns the BackendPlacement of a model; None if this host does not lead."""
        controller = self._controller_of(model)
        return None if controller is None else controller.placement

    async def locate(self, key, uses, avoid, limited=(), software_version=""):
        """Returns the locations of an adapter; empty if there is none now."""
        controller = self._controller_of(key.model)
        if controller is None:
            return ()
        return await controller.locate(key, uses, avoid, limited, software_version)

    def _on_locate(self, message, address):
        if self._task_group is not None and self._leadership.leads:
            self._task_group.start_soon(run_isolated, self._answer, message, address)

    async def _answer(self, message, address):
        key = AdapterKey(message.model, message.adapter)
        locations = await self.locate(
            key,
            message.uses,
            message.avoid,
            message.limited,
            message.software_version,
        )
        locations = fitting(sorted(locations, key=_urgency), MAX_LOCATIONS_BYTES)
        retry_in_s = 0.0 if locations else LOOKUP_RETRY_S
        self._endpoint.send(Located(message.number, locations, retry_in_s), address)


def _urgency(location):
    in_flight = 0 if location.load is None else location.load.in_flight
    return location.ready_in_s, in_flight
