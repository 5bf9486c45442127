"""Hosts that agree on a leader, and in-memory replicas that execute its orders.

The hosts run the real membership, leadership, placement controller and locator on
virtual time. Datagrams and orders are passed in memory and can be cut off or lost.
"""

import collections
import enum
import functools
import itertools
import random
import types
import typing

import anyio

from snipetrestle.coordination.loads.shared_loads import SharedReplicaLoads
from snipetrestle.coordination.membership.heartbeat_content import HeartbeatContent
from snipetrestle.coordination.membership.hosts import Hosts
from snipetrestle.coordination.membership.leadership import Leadership
from snipetrestle.coordination.messaging.messages import HostInfo
from snipetrestle.coordination.placement.director import PlacementController
from snipetrestle.coordination.placement.locator import Locator
from snipetrestle.coordination.placement.order_activity import OrderActivity
from snipetrestle.coordination.placement.order_messages import (
    OrderKind,
    OrderResult,
    ReplicaReport,
)
from snipetrestle.gateway.backends.http_client import ExchangeFailed
from snipetrestle.gateway.backends.replicas import ReplicaDirectory
from snipetrestle.gateway.configuration import (
    AdapterKey,
    Backend,
    Model,
    ReplicaEntry,
    ReplicaState,
)
from snipetrestle_standins.datagram_network import DatagramNetwork, LocalEndpoint

MODEL = "m0"
BACKEND = "models"
LEASE_S = 3.0
CALL_DELAY_S = 0.002
# Time until a lost call fails: longer than any time-out of an order.
LOST_CALL_S = 30.0
MODEL_LOAD_S = 0.3
ADAPTER_LOAD_S = 0.25
# A late order is taken after the replica's state was read again.
LATE_ORDER_S = 2.5
# Adapters that one replica may load at the same time.
MAX_LOADS_IN_TRANSIT = 4
# A replica reports its state of this long ago.
REPORT_LAG_S = 0.3
# How long after its restart the hosts learn of a replica.
REPLICA_LISTING_DELAY_S = 0.5
SEED_COUNT = 3


class Loss(enum.Enum):
    """What is lost in calls to a replica: nothing, the order or the answer to it.

    LATE_ORDER: the order is taken ``late_order_s`` after it was sent, and its answer is
    lost. REPEATED_ORDER: it is taken at once, and once more after that time.
    REPEATED_ANSWER: every other order gets a copy of the answer to the order before it,
    as on a connection that is closed once its own answer follows.
    """

    NOTHING = enum.auto()
    ORDER = enum.auto()
    ANSWER = enum.auto()
    LATE_ORDER = enum.auto()
    REPEATED_ORDER = enum.auto()
    REPEATED_ANSWER = enum.auto()


class OrdersNetwork(DatagramNetwork):
    """Network of datagrams and orders; a paused host sends and receives neither."""

    def __init__(self):
        super().__init__()
        self._paused = set()

    def connected(self, first, second):
        if first in self._paused or second in self._paused:
            return False
        return super().connected(first, second)

    def pause(self, name):
        self._paused.add(name)

    def resume(self, name):
        self._paused.discard(name)

    def partition(self, side, rest):
        """Cuts the hosts of two sides off from each other, but not from replicas."""
        for name in side:
            self.isolate(name, rest)

    def heal(self):
        self.cuts.clear()


class AcceptedOrder(typing.NamedTuple):
    """An order that a replica accepted; ``boot`` counts the replica's starts."""

    boot: int
    token: int
    holder: str
    at: float


def turns_within_lease(orders):
    """Returns the AcceptedOrders with which a holder returned within a lease.

    Another holder's order came between it and the last one of the same holder.
    """
    last_by_holder = {}
    turns = []
    previous = None
    for order in orders:
        last = last_by_holder.get(order.holder)
        if (
            last is not None
            and previous.holder != order.holder
            and order.at - last.at < LEASE_S
        ):
            turns.append(order)
        last_by_holder[order.holder] = previous = order
    return turns


class InMemoryReplica:
    """In-memory replica that follows the protocol of orders.

    ``accepted`` lists the AcceptedOrders. ``overfilled`` is set by a load beyond
    ``slots``, which would crash a real replica. Adapters in ``in_use`` are unloaded
    only after ``stop_using``. ``loss`` tells what is lost in calls, and ``load_s`` how
    long the next loads of adapters take. ``ignored_unloads`` counts the unloads of
    adapters in transit, ``premature_orders`` the orders that expect more orders than
    were accepted, and ``copied_answers`` those that got the answer to another one.
    ``software_version`` is what its entry names.

    The repetition of an order in progress changes nothing and is accepted, whatever
    its expected count. While an unload waits for ``stop_using``, all other orders are
    refused. An unload of an adapter in transit changes nothing: the answer is the same
    as for an absent one. A newer version of an adapter takes a slot of its own until it
    has replaced the older one.
    """

    def __init__(self, replica_id, slots):
        self.id = replica_id
        self.slots = slots
        self.boot = 0
        self.accepted = []
        self.overfilled = False
        self.ignored_unloads = 0
        self.premature_orders = 0
        self.copied_answers = 0
        self.loss = Loss.NOTHING
        self.late_order_s = LATE_ORDER_S
        self.load_s = ADAPTER_LOAD_S
        self.software_version = ""
        self.in_use = set()
        self.restart()

    def restart(self):
        """Restarts under the same id, without model, adapters and fencing token."""
        self.boot += 1
        self._model_ready_at = None
        self._ready_at_by_key = {}
        self._version_by_key = {}
        # When the newer versions will have replaced the older ones.
        self._replaced_at_by_key = {}
        self._unloading = set()
        self._order_count = 0
        self._highest_token = 0
        self.in_use.clear()
        self._reported_states = collections.deque()
        self._record_state()

    def holders(self):
        """Returns the holders of the accepted orders, in their order."""
        return [order.holder for order in self.accepted]

    def holds(self, key):
        """Tells whether an adapter has finished loading."""
        now = anyio.current_time()
        return self._ready_at_by_key.get(key, now + 1) <= now

    @property
    def held_count(self):
        """The number of slots taken, also by adapters in transit."""
        return len(self._ready_at_by_key) + sum(
            map(self._is_being_replaced, self._replaced_at_by_key)
        )

    def _is_being_replaced(self, key):
        return self._replaced_at_by_key.get(key, 0.0) > anyio.current_time()

    def stop_using(self, key):
        """Ends the use of an adapter and completes a pending unload of it."""
        self.in_use.discard(key)
        if key in self._unloading:
            self._unloading.discard(key)
            self._ready_at_by_key.pop(key, None)
            self._record_state()

    def order(self, order):
        """Executes an order and returns its OrderResult."""
        if order.fencing_token < self._highest_token:
            return OrderResult.TOKEN_TOO_LOW
        self._highest_token = order.fencing_token
        if (order.expected_count or 0) > self._order_count:
            self.premature_orders += 1
        result = self._execute(order)
        if result is not OrderResult.CONFLICT:
            self.accepted.append(
                AcceptedOrder(self.boot, order.fencing_token, order.holder, _now())
            )
        self._record_state()
        return result

    def _execute(self, order):
        key = AdapterKey(order.model, order.adapter)
        if self._is_in_progress(order, key):
            return OrderResult.ACCEPTED
        if self._unloading or order.expected_count not in (None, self._order_count):
            return OrderResult.CONFLICT
        if not order.adapter:
            return self._load_model()
        if not self._has_model():
            return OrderResult.REFUSED
        if order.kind is OrderKind.LOAD:
            return self._load(key, order.version)
        return self._unload(key)

    def _is_in_progress(self, order, key):
        if not order.adapter:
            return self._model_ready_at is not None and not self._has_model()
        if order.kind is OrderKind.UNLOAD:
            return key in self._unloading
        return self._is_in_transit(key) or self._is_being_replaced(key)

    def _is_in_transit(self, key):
        return key in self._ready_at_by_key and not self.holds(key)

    def _has_model(self):
        return (
            self._model_ready_at is not None
            and self._model_ready_at <= anyio.current_time()
        )

    def _load_model(self):
        if self._has_model():
            return OrderResult.HOLDS_ALREADY
        self._order_count += 1
        self._model_ready_at = anyio.current_time() + MODEL_LOAD_S
        return OrderResult.ACCEPTED

    def _load(self, key, version):
        held_version = self._version_by_key.get(key, 1)
        version = version or held_version
        if self.holds(key) and held_version == version:
            return OrderResult.HOLDS_ALREADY
        if sum(map(self._is_in_transit, self._ready_at_by_key)) >= MAX_LOADS_IN_TRANSIT:
            return OrderResult.CONFLICT
        if self.held_count >= self.slots:
            self.overfilled = True
        self._order_count += 1
        ready_at = anyio.current_time() + self.load_s
        if self.holds(key):
            self._replaced_at_by_key[key] = ready_at
        else:
            self._ready_at_by_key[key] = ready_at
        self._version_by_key[key] = version
        return OrderResult.ACCEPTED

    def _unload(self, key):
        if not self.holds(key):
            self.ignored_unloads += self._is_in_transit(key)
            return OrderResult.HOLDS_ALREADY
        self._order_count += 1
        if key in self.in_use:
            self._unloading.add(key)
            return OrderResult.ACCEPTED
        del self._ready_at_by_key[key]
        return OrderResult.HOLDS_ALREADY

    def _record_state(self):
        now = _now()
        report = (self._order_count, self._model_ready_at, dict(self._ready_at_by_key))
        self._reported_states.append((now, report))

    def report(self):
        """Returns the ReplicaReport of REPORT_LAG_S ago."""
        now = anyio.current_time()
        while (
            len(self._reported_states) > 1
            and self._reported_states[1][0] <= now - REPORT_LAG_S
        ):
            self._reported_states.popleft()
        count, model_ready_at, keys = self._reported_states[0][1]
        has_model = model_ready_at is not None and model_ready_at <= now - REPORT_LAG_S
        return ReplicaReport(
            count,
            False,
            frozenset([MODEL] if has_model else []),
            dict.fromkeys(keys, 1),
            frozenset(
                key for key, ready_at in keys.items() if ready_at > now - REPORT_LAG_S
            ),
        )


def _now():
    # Replicas are created before the event loop runs.
    try:
        return anyio.current_time()
    except RuntimeError:
        return 0.0


class InMemoryOrderClient:
    """Order client of one host, which calls the replicas in memory."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        # The last answer of each replica that was not a copy of another one.
        self._last_answer_by_id = {}

    async def send(self, replica, order):
        target = await self._reach(replica)
        if target.loss is Loss.ORDER:
            await self._fail()
        if target.loss in (Loss.LATE_ORDER, Loss.REPEATED_ORDER):
            self._fleet.task_group.start_soon(self._deliver_late, target, order)
        if target.loss is Loss.LATE_ORDER:
            await self._fail()
        result = target.order(order)
        if target.loss is Loss.ANSWER:
            await self._fail()
        await anyio.sleep(CALL_DELAY_S)
        last_answer = self._last_answer_by_id.pop(replica.id, None)
        if target.loss is Loss.REPEATED_ANSWER and last_answer is not None:
            target.copied_answers += 1
            return last_answer
        self._last_answer_by_id[replica.id] = result
        return result

    async def _deliver_late(self, target, order):
        boot = target.boot
        await anyio.sleep(target.late_order_s)
        # The connections of a process end with it.
        if target.boot == boot:
            target.order(order)

    async def report(self, replica):
        target = await self._reach(replica)
        if target.loss in (Loss.ORDER, Loss.ANSWER):
            await self._fail()
        return target.report()

    async def _reach(self, replica):
        await anyio.sleep(CALL_DELAY_S)
        if not self._fleet.network.connected(self._name, replica.id):
            await self._fail()
        return self._fleet.replicas_by_id[replica.id]

    async def _fail(self):
        await anyio.sleep(LOST_CALL_S)
        raise ExchangeFailed("no response")


class OrdersHost:
    """One run of a host: the components that elect a leader and order replicas."""

    def __init__(self, fleet, name, number, boot):
        self.name = name
        self.scope = anyio.CancelScope()
        address = ("127.0.0.1", number + 1)
        self.endpoint = LocalEndpoint(fleet.network, name, address)
        self.replicas = ReplicaDirectory("zone-1", random.Random(boot))
        self._listeners = []
        ready = anyio.Event()
        ready.set()
        self._state = types.SimpleNamespace(
            ready=ready,
            replicas=self.replicas,
            backends_by_name={BACKEND: fleet.backend},
            versions_by_adapter={},
            documents=types.SimpleNamespace(adapter_version_count=0),
            on_change=self._listeners.append,
        )
        content = HeartbeatContent()
        self.hosts = Hosts(
            HostInfo(name, boot, *address, "zone-1", 1.0),
            tuple(("127.0.0.1", seed + 1) for seed in range(SEED_COUNT)),
            self.endpoint,
            content,
        )
        client = InMemoryOrderClient(fleet, name)
        self.order_activity = OrderActivity(self._state, client, random.Random(boot))
        self.leadership = Leadership(
            self.hosts,
            LEASE_S,
            functools.partial(fleet.has_ended, name),
            self.order_activity,
        )
        loads = SharedReplicaLoads(
            self.replicas, self.hosts, self.leadership, self.endpoint
        )
        content.connect(self.leadership)
        self.placement_controller = PlacementController(
            self._state,
            self.leadership,
            client,
            loads,
            self.endpoint,
        )
        self.locator = Locator(
            self.leadership,
            self.endpoint,
            name,
            self.placement_controller.locate,
            self.replicas.ids_listing_adapter,
            loads.note_total_load,
        )

    def list_replica(self, entry):
        self.replicas.list_replica(entry)
        self._notify()

    def configure(self, backend):
        """Applies a new configuration of the backend."""
        self._state.backends_by_name[BACKEND] = backend
        self._notify()

    def _notify(self):
        for listener in self._listeners:
            listener()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as task_group:
                for component in (
                    self.hosts,
                    self.leadership,
                    self.order_activity,
                    self.placement_controller,
                    self.locator,
                ):
                    task_group.start_soon(component.run)


class OrdersFleet:
    """Hosts by name, and the replicas that they order.

    The replicas run ``software_versions`` in turn. Use as an async context manager.
    """

    def __init__(self, names, replicas=3, slots=3, software_versions=("",)):
        self.names = names
        self.network = OrdersNetwork()
        self.daemons_by_name = {}
        self.backend = Backend(
            BACKEND,
            100,
            slots=8,
            models=(Model(MODEL, 100.0, MODEL_LOAD_S, 1.0),),
            weights_mb=200.0,
            adapter_slots=slots,
            loads_per_s=5.0,
        )
        self.replicas_by_id = {
            f"replica-{number}": InMemoryReplica(f"replica-{number}", slots)
            for number in range(replicas)
        }
        for replica, version in zip(
            self.replicas_by_id.values(), itertools.cycle(software_versions)
        ):
            replica.software_version = version
        self._boot_count = 0
        self.task_group = None

    async def __aenter__(self):
        self.task_group = anyio.create_task_group()
        self.network.task_group = await self.task_group.__aenter__()
        for name in self.names:
            self.start(name)
        return self

    async def __aexit__(self, *details):
        self.task_group.cancel_scope.cancel()
        return await self.task_group.__aexit__(*details)

    def start(self, name):
        """Starts a host, in place of one that runs under its name."""
        if name in self.daemons_by_name:
            self.kill(name)
        self._boot_count += 1
        host = OrdersHost(self, name, self.names.index(name), self._boot_count)
        self.daemons_by_name[name] = host
        for replica_id in self.replicas_by_id:
            host.list_replica(self._replica_entry(replica_id))
        self.task_group.start_soon(host.run)

    def kill(self, name):
        host = self.daemons_by_name.pop(name)
        host.endpoint.up = False
        host.scope.cancel()

    async def has_ended(self, prober, host):
        """Tells whether a host has ended; False if ``prober`` cannot reach it."""
        name = host.info.name
        return self.network.connected(prober, name) and name not in self.daemons_by_name

    def restart_replica(self, replica_id):
        """Restarts a replica, and lists it again at the hosts after a delay."""
        self.replicas_by_id[replica_id].restart()
        self.task_group.start_soon(self._publish, replica_id)

    async def _publish(self, replica_id):
        await anyio.sleep(REPLICA_LISTING_DELAY_S)
        for host in list(self.daemons_by_name.values()):
            host.list_replica(self._replica_entry(replica_id))

    def _replica_entry(self, replica_id):
        return ReplicaEntry(
            replica_id,
            self.replicas_by_id[replica_id].boot,
            BACKEND,
            "127.0.0.1",
            1,
            "zone-1",
            ReplicaState.READY,
            slots=8,
            software_version=self.replicas_by_id[replica_id].software_version,
        )
