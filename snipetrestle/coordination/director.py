"""The leader's part: orders all replicas and tells hosts where adapters are."""

import anyio

from snipetrestle.coordination.adapter_places import DEFAULT_PACE_S, AdapterPlaces
from snipetrestle.coordination.messages import Locate, Located, Place
from snipetrestle.coordination.orders import ReplicaOrders, Shared
from snipetrestle.events import Event, log_event
from snipetrestle.gateway.configuration import AdapterKey

# Without a place, a host asks again after this time.
ASK_AGAIN_S = 0.08
TRIM_S = 5.0
# How often what the hosts tell of replicas is taken over.
LOADS_S = 0.1
# Model loads that may follow each other at once.
MODEL_LOAD_BURST = 2.0
# A level this close to a whole load counts as one; the rest is an error of rounding, and
# a wait for it would be shorter than the clock's steps.
ROUNDING = 1e-6


class LoadRate:
    """Token bucket for loads of base models. ``rate`` is in loads a second."""

    def __init__(self, rate):
        self._rate = rate
        self._level = MODEL_LOAD_BURST
        self._at = anyio.current_time()

    def wait_s(self):
        """Returns how long to wait for the next load."""
        now = anyio.current_time()
        level = min(MODEL_LOAD_BURST, self._level + (now - self._at) * self._rate)
        self._level, self._at = level, now
        if level > 1.0 - ROUNDING:
            return 0.0
        return (1.0 - level) / self._rate

    def take(self):
        self._level -= 1.0


class BackendDirector:
    """Directs the replicas of one backend."""

    def __init__(self, backend, leadership, client, loads, version_of, group):
        self._loads = loads
        self._loads_noted_at = -LOADS_S
        self.models = backend.models
        self.places = AdapterPlaces()
        self._shared = Shared(
            backend,
            self.places,
            leadership,
            client,
            version_of,
            LoadRate(max(0.1, backend.loads_per_s)),
        )
        self._group = group
        self._running_by_id = {}

    def set_replicas(self, replicas):
        """Starts and ends the tasks of replicas that came or went."""
        current = {replica.id: replica for replica in replicas}
        self._shared.load_times.set_replicas(len(current))
        for replica_id, (replica, _, scope) in list(self._running_by_id.items()):
            if current.get(replica_id) is not replica:
                scope.cancel()
                del self._running_by_id[replica_id]
                self.places.by_replica.pop(replica_id, None)
        for replica_id, replica in current.items():
            if replica_id not in self._running_by_id:
                self._start(replica)

    def _start(self, replica):
        orders = ReplicaOrders(replica, self._shared)
        scope = anyio.CancelScope()
        self._running_by_id[replica.id] = (replica, orders, scope)
        self.places.by_replica[replica.id] = orders.places
        self._group.start_soon(self._run, orders, scope)

    async def _run(self, orders, scope):
        with scope:
            await orders.run()

    def stop(self):
        for _, _, scope in self._running_by_id.values():
            scope.cancel()
        self._running_by_id.clear()
        self.places.by_replica.clear()

    def log_state(self):
        """Logs what bounds loads and evictions, for requests that find no place."""
        replicas = [item for item in self.places.by_replica.values() if item.usable]
        times = self._shared.load_times
        log_event(
            Event.PLACEMENT_STATE,
            replicas=len(self.places.by_replica),
            usable=len(replicas),
            places=sum(item.slots for item in replicas),
            held=sum(len(item.held) for item in replicas),
            in_use=sum(len(item.in_use & item.held.keys()) for item in replicas),
            unloading=sum(p.leaving for item in replicas for p in item.held.values()),
            waiting=sum(len(item.waiting) for item in replicas),
            in_transit=self.places.in_transit(),
            most_in_transit=int(times.most_in_transit),
            load_ms=round(times.estimate_s * 1000),
        )

    def wake(self):
        """Lets the tasks look at newly declared versions."""
        for _, orders, _ in self._running_by_id.values():
            orders.wake()

    async def locate(self, key, uses, avoid):
        """Returns the places of an adapter, after ordering a load if there is none."""
        self.places.note_demand(key, uses)
        self._note_loads()
        self._check_again(key, avoid)
        holders = self._without(self.places.holders(key), avoid)
        if not holders:
            await self._load(key, avoid)
            holders = self._without(self.places.holders(key), avoid)
        elif self.places.needs_copy(key):
            self._request(key, avoid)
        now = anyio.current_time()
        return tuple(
            Place(replica.replica_id, max(0.0, replica.held[key].ready_at - now))
            for replica in holders
        )

    def _note_loads(self):
        """Takes over what the hosts last told of the replicas, once for each beat."""
        now = anyio.current_time()
        if now < self._loads_noted_at + LOADS_S:
            return
        self._loads_noted_at = now
        for replica, orders, _ in self._running_by_id.values():
            orders.places.in_use = self._loads.adapters_in_use(replica)
            orders.places.load = replica.load / max(1, replica.entry.slots)
            orders.places.pace_s = replica.event_interval_s or DEFAULT_PACE_S
            orders.set_usable(replica.takes_requests)

    def _check_again(self, key, avoid):
        """Lets replicas that a host met without an adapter confirm that they hold it."""
        for replica_id in avoid:
            if replica_id in self._running_by_id:
                self._running_by_id[replica_id][1].check_again(key)

    @staticmethod
    def _without(replicas, avoid):
        return [item for item in replicas if item.replica_id not in avoid]

    def _request(self, key, avoid):
        replica = self.places.choose(key, avoid)
        if replica is None:
            return None
        return self._running_by_id[replica.replica_id][1].request(key)

    async def _load(self, key, avoid):
        for replica in self.places.by_replica.values():
            load = replica.waiting.get(key)
            if load is not None and replica.replica_id not in avoid:
                break
        else:
            load = self._request(key, avoid)
        if load is not None:
            await load.done


class Director:
    """Directs all backends while this host leads. Does nothing otherwise."""

    def __init__(self, state, leadership, client, loads, endpoint):
        self._state = state
        self._leadership = leadership
        self._client = client
        self._loads = loads
        self._endpoint = endpoint
        self._group = None
        self._by_backend = {}
        leadership.on_change(self._update)
        state.on_change(self._update)
        endpoint.register(Locate, self._on_locate)

    async def run(self):
        async with anyio.create_task_group() as group:
            self._group = group
            self._update()
            while True:
                await anyio.sleep(TRIM_S)
                for director in self._by_backend.values():
                    director.places.trim()
                    director.log_state()

    def _update(self):
        """Follows changes of leadership, configuration and replicas."""
        if self._group is None:
            return
        backends = self._state.backends_by_name if self._leadership.leads else {}
        for name in [name for name in self._by_backend if name not in backends]:
            self._by_backend.pop(name).stop()
        for name, backend in backends.items():
            if not backend.serves_models:
                continue
            replicas = self._state.replicas.ready_replicas(name)
            if name not in self._by_backend:
                self._by_backend[name] = BackendDirector(
                    backend,
                    self._leadership,
                    self._client,
                    self._loads,
                    self._version_of,
                    self._group,
                )
            self._by_backend[name].set_replicas(replicas)
            self._by_backend[name].wake()

    def _version_of(self, key):
        return self._state.versions_by_adapter.get(key, 1)

    def _backend_of(self, model):
        for director in self._by_backend.values():
            if any(item.name == model for item in director.models):
                return director
        return None

    async def locate(self, key, uses, avoid):
        """Returns the places of an adapter; empty if there is none now."""
        director = self._backend_of(key.model)
        if director is None:
            return ()
        return await director.locate(key, uses, avoid)

    def _on_locate(self, message, address):
        if self._group is not None and self._leadership.leads:
            self._group.start_soon(self._answer, message, address)

    async def _answer(self, message, address):
        key = AdapterKey(message.model, message.adapter)
        places = await self.locate(key, message.uses, message.avoid)
        retry_in_s = 0.0 if places else ASK_AGAIN_S
        self._endpoint.send(Located(message.number, places, retry_in_s), address)
