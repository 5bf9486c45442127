"""Load permits of one weight store: granted by a coordinator, used by owners."""

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

# A permit that was not released counts as used for this long. A load takes well under
# a second; the term covers a store that has slowed down tenfold.
PERMIT_TERM_S = 5.0
# A pending request is asked again after this time, so that a lost reply costs little.
LONG_POLL_S = 2.0
CALL_TIMEOUT_S = 3.0
# Each unblocked request counts as this much age in the order of loads.
AGE_PER_REQUEST_S = 0.25
# With equal policy weights, a load that is not for waiting requests is granted when the
# store was free for this part of its period, so that a waiting load seldom finds it busy.
SPARE_FRACTION = 0.3
MAX_SPARE_FRACTION = 2.0
# Customers within this part above the mean use of the store are alike, since use varies
# by chance; one at twice the free use stands back by EXCESS_S.
EXCESS_FREE = 0.05
EXCESS_S = 10.0
MAX_EXCESS = 2.0
USE_HALF_LIFE_S = 60.0
_ALL_CUSTOMERS = ""


@register_message
class RequestLoadPermit(msgspec.Struct, frozen=True):
    """Asks for a permit.

    ``age_s`` is the age of the oldest unblocked request, and ``customer`` is whose.
    """

    store: str
    permit_id: str
    load_class: int
    unblocked: int
    age_s: float
    customer: str = ""


@register_message
class LoadPermit(msgspec.Struct, frozen=True):
    """Answer: granted, or to be asked again (``granted`` is false)."""

    granted: bool
    term_s: float = PERMIT_TERM_S


@register_message
class ReleaseLoadPermit(msgspec.Struct, frozen=True):
    """Ends a permit or a pending request. ``unused`` returns the store's rate."""

    store: str
    permit_id: str
    unused: bool = False


class _Pending:
    __slots__ = ("permit_id", "customer", "key", "granted", "expires")

    def __init__(self, permit_id, customer):
        self.permit_id = permit_id
        self.customer = customer
        self.key = None
        self.granted = anyio.Event()
        self.expires = 0.0


class PermitQueue:
    """Pending and granted permits of one store, paced by the store's rate.

    A step costs the logarithm of the number of pending permits.
    """

    def __init__(self, store, *, quiet_s=0.0, spare_fraction=SPARE_FRACTION):
        self._store = store
        self.spare_fraction = spare_fraction
        self._pending_by_id = {}
        self._heap = []
        self._numbers = itertools.count()
        self._granted_until_by_id = {}
        self._next_grant = anyio.current_time() + quiet_s
        self._use_by_customer = DemandTracker(USE_HALF_LIFE_S)

    def set_store(self, store):
        self._store = store

    def put(self, permit_id, load_class, unblocked, age_s, customer=""):
        """Adds a request for a permit, or changes its order."""
        now = anyio.current_time()
        if self._granted_until_by_id.get(permit_id, 0.0) > now:
            granted = _Pending(permit_id, customer)
            granted.granted.set()
            return granted
        pending = self._pending_by_id.get(permit_id)
        if pending is None:
            pending = self._pending_by_id[permit_id] = _Pending(permit_id, customer)
        pending.expires = now + LONG_POLL_S + CALL_TIMEOUT_S
        order = now - age_s - AGE_PER_REQUEST_S * unblocked
        key = (load_class, order + self._excess_s(customer))
        if pending.key is None or key < pending.key:
            pending.key = key
            heapq.heappush(self._heap, (key, next(self._numbers), pending))
        return pending

    def _excess_s(self, customer):
        """Returns the seconds by which a customer's loads stand back.

        A customer above the mean use of the store waits behind those below it.
        """
        customers = len(self._use_by_customer) - 1
        if not customer or customers < 2:
            return 0.0
        mean = self._use_by_customer.rate(_ALL_CUSTOMERS) / customers
        if mean <= 0.0:
            return 0.0
        excess = self._use_by_customer.rate(customer) / mean - 1.0 - EXCESS_FREE
        return EXCESS_S * min(max(excess, 0.0), MAX_EXCESS)

    def remove(self, permit_id, unused=False):
        """Ends a permit or withdraws a request."""
        self._pending_by_id.pop(permit_id, None)
        if self._granted_until_by_id.pop(permit_id, None) is not None and unused:
            self._next_grant -= 1.0 / self._store.loads_per_second

    def grant_due(self):
        """Grants what is due; returns the seconds until the next step, or None."""
        now = anyio.current_time()
        self._drop_expired(now)
        while True:
            head = self._head(now)
            if head is None:
                return None
            if len(self._granted_until_by_id) >= self._store.full_speed_in_flight:
                return next(iter(self._granted_until_by_id.values())) - now
            wait = self._wait_s(head.key[0], now)
            if wait > 0.0:
                return wait
            self._grant(head, now)

    def _wait_s(self, load_class, now):
        due = self._next_grant
        if load_class != LoadClass.WAITING:
            due += self.spare_fraction / self._store.loads_per_second
        if load_class == LoadClass.SPECULATIVE:
            due += 1.0 / self._store.loads_per_second
        return due - now

    def _grant(self, pending, now):
        heapq.heappop(self._heap)
        del self._pending_by_id[pending.permit_id]
        self._granted_until_by_id[pending.permit_id] = now + PERMIT_TERM_S
        self._next_grant = max(now, self._next_grant) + 1 / self._store.loads_per_second
        pending.granted.set()
        if pending.customer and pending.key[0] == LoadClass.WAITING:
            self._use_by_customer.note(pending.customer)
            self._use_by_customer.note(_ALL_CUSTOMERS)

    def _head(self, now):
        while self._heap:
            key, _, pending = self._heap[0]
            current = self._pending_by_id.get(pending.permit_id) is pending
            if current and pending.key == key:
                if pending.expires > now:
                    return pending
                del self._pending_by_id[pending.permit_id]
            heapq.heappop(self._heap)
        return None

    def _drop_expired(self, now):
        # All terms are equal, so the oldest permit is at the front.
        while self._granted_until_by_id:
            permit_id, until = next(iter(self._granted_until_by_id.items()))
            if until > now:
                return
            del self._granted_until_by_id[permit_id]


def spare_fraction_of(policy):
    """Returns the free part of a period that other than waiting loads need."""
    if policy.batch_efficiency <= 0:
        return MAX_SPARE_FRACTION
    ratio = policy.load_stalls / policy.batch_efficiency
    return min(MAX_SPARE_FRACTION, SPARE_FRACTION * ratio)


class LoadCoordinator:
    """Grants the permits of the stores that this daemon coordinates.

    After it starts to coordinate a store it grants nothing for one term, in which the
    permits of a predecessor run out. ``run`` must run in a task of its own.
    """

    def __init__(self, router, stores_by_name, *, first=False, policy=None):
        self._stores_by_name = stores_by_name
        self._spare_fraction = spare_fraction_of(policy or PolicyWeights())
        self._queues_by_store = {}
        self._quiet_s = 0.0 if first else PERMIT_TERM_S
        self._changed = anyio.Event()
        router.on_call(RequestLoadPermit, self._on_request)
        router.on_call(ReleaseLoadPermit, self._on_release)

    def set_stores(self, stores_by_name):
        self._stores_by_name = stores_by_name
        for name, queue in self._queues_by_store.items():
            if name in stores_by_name:
                queue.set_store(stores_by_name[name])

    def set_policy(self, policy):
        self._spare_fraction = spare_fraction_of(policy)
        for queue in self._queues_by_store.values():
            queue.spare_fraction = self._spare_fraction

    def resign(self, store):
        """Forgets a store whose coordinator is another daemon now."""
        self._queues_by_store.pop(store, None)

    async def run(self):
        while True:
            changed = self._changed
            waits = [queue.grant_due() for queue in self._queues_by_store.values()]
            waits = [wait for wait in waits if wait is not None]
            with anyio.move_on_after(min(waits, default=LONG_POLL_S)):
                await changed.wait()

    async def _on_request(self, sender, message):
        queue = self._queues_by_store.get(message.store)
        if queue is None:
            store = self._stores_by_name.get(message.store)
            if store is None:
                raise ServingError(ResultCode.NO_REPLICA, f"no store {message.store}")
            queue = PermitQueue(
                store, quiet_s=self._quiet_s, spare_fraction=self._spare_fraction
            )
            self._queues_by_store[message.store] = queue
        pending = queue.put(
            message.permit_id,
            message.load_class,
            message.unblocked,
            message.age_s,
            message.customer,
        )
        self._notify()
        with anyio.move_on_after(LONG_POLL_S):
            await pending.granted.wait()
        return LoadPermit(granted=pending.granted.is_set())

    async def _on_release(self, sender, message):
        queue = self._queues_by_store.get(message.store)
        if queue is not None:
            queue.remove(message.permit_id, message.unused)
            self._notify()
        return Acknowledged()

    def _notify(self):
        self._changed.set()
        self._changed = anyio.Event()


class CoordinatedPermits:
    """Permits for one daemon's owners, asked of the store's coordinator.

    ``coordinator_of`` returns the member that coordinates a store, ``host_count`` the
    number of hosts on the platform's list. While the coordinator is unreachable, the
    daemon uses an equal part of the store's rate.
    """

    def __init__(self, transport, own_name, rng, coordinator_of, host_count, stores):
        self._transport = transport
        self._own_name = own_name
        self._random = rng
        self._coordinator_of = coordinator_of
        self._host_count = host_count
        self._stores_by_name = stores
        self._next_fallback_by_store = {}
        self._prefix = f"{own_name}.{rng.getrandbits(48):x}"
        self._numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def permit(self, store, load_class, unblocked=1, demand=None):
        """Holds the right to load while the context is open."""
        demand = demand or LoadDemand(load_class, unblocked)
        permit_id = f"{self._prefix}.{next(self._numbers)}"
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
                await self._wait_fallback(store)
                return
            if granted:
                return

    async def _ask(self, member, store, permit_id, demand):
        """Asks once; asks again at once when the demand changes meanwhile."""
        results = []
        changed = anyio.Event()
        demand.listen(changed.set)

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

        async def follow():
            await changed.wait()
            # Several arrivals within a moment are one change.
            await anyio.sleep(0.05)
            group.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(call)
                group.start_soon(follow)
        except* (PeerUnreachable, ServingError) as errors:
            raise errors.exceptions[0] from None
        return bool(results) and results[0].granted

    async def _wait_fallback(self, store):
        """Waits for this daemon's equal part of the store's rate."""
        period = self._host_count() / self._stores_by_name[store].loads_per_second
        now = anyio.current_time()
        # The first use waits a random part of a period, so that daemons which lose the
        # coordinator together do not load together.
        due = self._next_fallback_by_store.get(store, 0.0)
        if due < now - period:
            due = now + self._random.random() * period
        due = max(due, now)
        self._next_fallback_by_store[store] = due + period
        await anyio.sleep(due - now)
