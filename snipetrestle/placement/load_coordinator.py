"""Load permits of weight stores: a coordinator grants them to the owners of replicas.

The permits limit the loads per second and the loads in flight of each store.
"""

import contextlib
import heapq
import itertools

import anyio
import msgspec

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.peers.messages import Acknowledged, register_message
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.placement.demand import DemandTracker
from snipetrestle.placement.permits import LoadClass, LoadDemand, Permit
from snipetrestle.published import PolicyWeights

# A permit that is not released expires after this time. A load takes well under a
# second; the term covers a store that has slowed down tenfold.
PERMIT_TERM_S = 5.0
# A pending request is answered and sent again after this time, so that a lost reply
# delays a load only a little.
LONG_POLL_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 3.0
# In the order of loads, each request that a load serves counts like this much more
# waiting time.
AGE_BONUS_PER_REQUEST_S = 0.25
# With equal policy weights, a load that is not for waiting requests is granted only
# after the store was idle for this fraction of the period between two loads, so that a
# load for waiting requests seldom finds it busy.
IDLE_FRACTION = 0.3
MAX_IDLE_FRACTION = 2.0
# A customer may exceed the mean load rate by this fraction, since rates vary by chance.
# Above that, its loads are delayed by DELAY_PER_EXCESS_S for each multiple of the mean
# rate in excess, up to MAX_EXCESS of them.
EXCESS_TOLERANCE = 0.05
DELAY_PER_EXCESS_S = 10.0
MAX_EXCESS = 2.0
LOAD_RATE_HALF_LIFE_S = 60.0
_ALL_CUSTOMERS_KEY = ""


@register_message
class RequestLoadPermit(msgspec.Struct, frozen=True):
    """Requests a permit from the coordinator of a store.

    ``unblocked`` is the number of requests that the load serves, ``age_s`` the age of
    the oldest of them in seconds, and ``customer`` the customer of that one.
    """

    store: str
    permit_id: str
    load_class: int
    unblocked: int
    age_s: float
    customer: str = ""


@register_message
class LoadPermit(msgspec.Struct, frozen=True):
    """Reply: the permit was granted, or must be requested again."""

    granted: bool
    term_s: float = PERMIT_TERM_S


@register_message
class ReleaseLoadPermit(msgspec.Struct, frozen=True):
    """Ends a permit or a pending request.

    ``unused`` tells that no load was started, so the store's rate is not charged.
    """

    store: str
    permit_id: str
    unused: bool = False


class _PendingRequest:
    """A request for a permit that waits for its grant."""

    __slots__ = ("permit_id", "customer", "sort_key", "granted", "expires_at")

    def __init__(self, permit_id, customer):
        self.permit_id = permit_id
        self.customer = customer
        self.sort_key = None
        self.granted = anyio.Event()
        self.expires_at = 0.0


class PermitQueue:
    """Pending and granted permits of one store, limited by the store's rate.

    The cost of a step is logarithmic in the number of pending permits. Nothing is
    granted in the first ``initial_delay_s`` seconds.
    """

    def __init__(self, store, *, initial_delay_s=0.0, idle_fraction=IDLE_FRACTION):
        self._store = store
        self.idle_fraction = idle_fraction
        self._pending_by_id = {}
        self._heap = []
        self._counter = itertools.count()
        self._grant_expiry_by_id = {}
        self._next_grant_at = anyio.current_time() + initial_delay_s
        self._load_rates_by_customer = DemandTracker(LOAD_RATE_HALF_LIFE_S)

    def set_store(self, store):
        self._store = store

    def put(self, permit_id, load_class, unblocked, age_s, customer=""):
        """Adds a request for a permit, or moves a pending one forward."""
        now = anyio.current_time()
        if self._grant_expiry_by_id.get(permit_id, 0.0) > now:
            granted = _PendingRequest(permit_id, customer)
            granted.granted.set()
            return granted
        pending = self._pending_by_id.get(permit_id)
        if pending is None:
            pending = self._pending_by_id[permit_id] = _PendingRequest(
                permit_id, customer
            )
        pending.expires_at = now + LONG_POLL_TIMEOUT_S + CALL_TIMEOUT_S
        effective_arrival = now - age_s - AGE_BONUS_PER_REQUEST_S * unblocked
        sort_key = (load_class, effective_arrival + self._fairness_delay_s(customer))
        if pending.sort_key is None or sort_key < pending.sort_key:
            pending.sort_key = sort_key
            heapq.heappush(self._heap, (sort_key, next(self._counter), pending))
        return pending

    def _fairness_delay_s(self, customer):
        """Returns the seconds by which a customer's loads are delayed in the order.

        Customers above the mean load rate of the store yield to those below it.
        """
        customer_count = len(self._load_rates_by_customer) - 1
        if not customer or customer_count < 2:
            return 0.0
        mean = self._load_rates_by_customer.rate(_ALL_CUSTOMERS_KEY) / customer_count
        if mean <= 0.0:
            return 0.0
        excess = (
            self._load_rates_by_customer.rate(customer) / mean - 1.0 - EXCESS_TOLERANCE
        )
        return DELAY_PER_EXCESS_S * min(max(excess, 0.0), MAX_EXCESS)

    def remove(self, permit_id, unused=False):
        """Ends a permit or cancels a pending request."""
        self._pending_by_id.pop(permit_id, None)
        if self._grant_expiry_by_id.pop(permit_id, None) is not None and unused:
            self._next_grant_at -= 1.0 / self._store.loads_per_second

    def grant_due(self):
        """Grants all permits that are due.

        Returns the seconds until the next call is needed, or None without any request.
        """
        now = anyio.current_time()
        self._drop_expired(now)
        while True:
            first_pending = self._first_pending(now)
            if first_pending is None:
                return None
            if len(self._grant_expiry_by_id) >= self._store.full_speed_in_flight:
                return next(iter(self._grant_expiry_by_id.values())) - now
            delay_s = self._delay_s(first_pending.sort_key[0], now)
            if delay_s > 0.0:
                return delay_s
            self._grant(first_pending, now)

    def _delay_s(self, load_class, now):
        """Returns the seconds until a load of a class may be granted."""
        due_at = self._next_grant_at
        if load_class != LoadClass.WAITING:
            due_at += self.idle_fraction / self._store.loads_per_second
        if load_class == LoadClass.SPECULATIVE:
            due_at += 1.0 / self._store.loads_per_second
        return due_at - now

    def _grant(self, pending, now):
        heapq.heappop(self._heap)
        del self._pending_by_id[pending.permit_id]
        self._grant_expiry_by_id[pending.permit_id] = now + PERMIT_TERM_S
        self._next_grant_at = (
            max(now, self._next_grant_at) + 1 / self._store.loads_per_second
        )
        pending.granted.set()
        if pending.customer and pending.sort_key[0] == LoadClass.WAITING:
            self._load_rates_by_customer.record(pending.customer)
            self._load_rates_by_customer.record(_ALL_CUSTOMERS_KEY)

    def _first_pending(self, now):
        """Returns the next pending request, after dropping outdated heap entries."""
        while self._heap:
            sort_key, _, pending = self._heap[0]
            is_current = self._pending_by_id.get(pending.permit_id) is pending
            if is_current and pending.sort_key == sort_key:
                if pending.expires_at > now:
                    return pending
                del self._pending_by_id[pending.permit_id]
            heapq.heappop(self._heap)
        return None

    def _drop_expired(self, now):
        # All permits last equally long, so the oldest one is first.
        while self._grant_expiry_by_id:
            permit_id, expires_at = next(iter(self._grant_expiry_by_id.items()))
            if expires_at > now:
                return
            del self._grant_expiry_by_id[permit_id]


def idle_fraction_of(policy):
    """Returns the fraction of the period for which the store must have been idle.

    It applies to loads that are not for waiting requests.
    """
    if policy.batch_efficiency <= 0:
        return MAX_IDLE_FRACTION
    ratio = policy.load_stalls / policy.batch_efficiency
    return min(MAX_IDLE_FRACTION, IDLE_FRACTION * ratio)


class LoadCoordinator:
    """Grants the permits of the stores that this daemon coordinates.

    After it starts to coordinate a store it grants nothing for one permit term, so that
    the permits of a previous coordinator expire first. With ``first``, there is no
    previous coordinator. ``run`` must run in a task of its own.
    """

    def __init__(self, router, stores_by_name, *, first=False, policy=None):
        self._stores_by_name = stores_by_name
        self._idle_fraction = idle_fraction_of(policy or PolicyWeights())
        self._queues_by_store = {}
        self._initial_delay_s = 0.0 if first else PERMIT_TERM_S
        self._queues_changed = anyio.Event()
        router.on_call(RequestLoadPermit, self._on_request)
        router.on_call(ReleaseLoadPermit, self._on_release)

    def set_stores(self, stores_by_name):
        self._stores_by_name = stores_by_name
        for name, queue in self._queues_by_store.items():
            if name in stores_by_name:
                queue.set_store(stores_by_name[name])

    def set_policy(self, policy):
        self._idle_fraction = idle_fraction_of(policy)
        for queue in self._queues_by_store.values():
            queue.idle_fraction = self._idle_fraction

    def resign(self, store):
        """Drops the state of a store that another daemon coordinates now."""
        self._queues_by_store.pop(store, None)

    async def run(self):
        while True:
            changed = self._queues_changed
            delays_s = [queue.grant_due() for queue in self._queues_by_store.values()]
            delays_s = [delay_s for delay_s in delays_s if delay_s is not None]
            with anyio.move_on_after(min(delays_s, default=LONG_POLL_TIMEOUT_S)):
                await changed.wait()

    async def _on_request(self, sender, message):
        queue = self._queues_by_store.get(message.store)
        if queue is None:
            store = self._stores_by_name.get(message.store)
            if store is None:
                raise ServingError(ResultCode.NO_REPLICA, f"no store {message.store}")
            queue = PermitQueue(
                store,
                initial_delay_s=self._initial_delay_s,
                idle_fraction=self._idle_fraction,
            )
            self._queues_by_store[message.store] = queue
        pending = queue.put(
            message.permit_id,
            message.load_class,
            message.unblocked,
            message.age_s,
            message.customer,
        )
        self._wake_granting()
        with anyio.move_on_after(LONG_POLL_TIMEOUT_S):
            await pending.granted.wait()
        return LoadPermit(granted=pending.granted.is_set())

    async def _on_release(self, sender, message):
        queue = self._queues_by_store.get(message.store)
        if queue is not None:
            queue.remove(message.permit_id, message.unused)
            self._wake_granting()
        return Acknowledged()

    def _wake_granting(self):
        self._queues_changed.set()
        self._queues_changed = anyio.Event()


class CoordinatedPermits:
    """Requests permits from the coordinators of the stores, for the owners of a daemon.

    ``coordinator_of`` returns the member that coordinates a store, ``host_count`` the
    number of hosts on the platform's list. While a coordinator is unreachable, the
    daemon uses an equal share of the store's rate.
    """

    def __init__(self, transport, own_name, rng, coordinator_of, host_count, stores):
        self._transport = transport
        self._own_name = own_name
        self._random = rng
        self._coordinator_of = coordinator_of
        self._host_count = host_count
        self._stores_by_name = stores
        self._next_fallback_at_by_store = {}
        self._permit_id_prefix = f"{own_name}.{rng.getrandbits(48):x}"
        self._counter = itertools.count()

    @contextlib.asynccontextmanager
    async def permit(self, store, load_class, unblocked=1, demand=None):
        """Waits for a permit and holds it while the context is open."""
        demand = demand or LoadDemand(load_class, unblocked)
        permit_id = f"{self._permit_id_prefix}.{next(self._counter)}"
        permit = Permit()
        permit.unused = True
        try:
            await self._obtain(store, permit_id, demand)
            permit.unused = False
            yield permit
        finally:
            release = ReleaseLoadPermit(store, permit_id, permit.unused)
            with (
                anyio.CancelScope(shield=True),
                contextlib.suppress(PeerUnreachable, ServingError),
            ):
                await self._transport.call(
                    self._coordinator_of(store), release, CALL_TIMEOUT_S
                )

    async def _obtain(self, store, permit_id, demand):
        while True:
            member = self._coordinator_of(store)
            try:
                granted = await self._ask(member, store, permit_id, demand)
            except (PeerUnreachable, ServingError):
                await self._wait_for_fallback_turn(store)
                return
            if granted:
                return

    async def _ask(self, member, store, permit_id, demand):
        """Sends one request and returns whether the permit was granted.

        Returns early if the demand changes, so that the request is sent again.
        """
        results = []
        changed = anyio.Event()
        demand.set_listener(changed.set)

        async def call():
            message = RequestLoadPermit(
                store,
                permit_id,
                int(demand.load_class),
                demand.unblocked,
                anyio.current_time() - demand.since,
                demand.customer,
            )
            results.append(await self._transport.call(member, message, CALL_TIMEOUT_S))
            group.cancel_scope.cancel()

        async def wait_for_change():
            await changed.wait()
            # Combines changes that follow each other closely.
            await anyio.sleep(0.05)
            group.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(call)
                group.start_soon(wait_for_change)
        except* (PeerUnreachable, ServingError) as errors:
            raise errors.exceptions[0] from None
        return bool(results) and results[0].granted

    async def _wait_for_fallback_turn(self, store):
        """Waits until this daemon's equal share of the store's rate allows a load."""
        period_s = self._host_count() / self._stores_by_name[store].loads_per_second
        now = anyio.current_time()
        # The first load waits for a random fraction of the period, so that daemons that
        # lose the coordinator at the same time do not load at the same time.
        due_at = self._next_fallback_at_by_store.get(store, 0.0)
        if due_at < now - period_s:
            due_at = now + self._random.random() * period_s
        due_at = max(due_at, now)
        self._next_fallback_at_by_store[store] = due_at + period_s
        await anyio.sleep(due_at - now)
