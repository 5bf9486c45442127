"""Tests of the orders to one replica."""

import asyncio
import random
import types

import anyio
import testtools

from snipetrestle.coordination.placement.adapter_places import (
    EVICTION_GRACE_S,
    BackendPlacement,
    LoadReason,
)
from snipetrestle.coordination.placement.order_messages import (
    OrderKind,
    OrderResult,
    ReplicaReport,
)
from snipetrestle.coordination.placement.orders import (
    MAX_REPORT_AGE_S,
    UNLOAD_RETRY_INTERVAL_S,
    BackendContext,
    ReplicaOrders,
)
from snipetrestle.gateway.backends.replica_pause import ReplicaPause
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.clock import run_in_virtual_time
from tests.systems import in_virtual_time, with_own_system

HELD = AdapterKey("m0", "a1")
WANTED = AdapterKey("m0", "a2")


class LaggingReplica:
    """A replica whose first report is older than the last order of another leader."""

    def __init__(self):
        self.order_count = 5
        self.reported_count = 4
        self.ordered = []

    async def report(self, replica):
        report = ReplicaReport(self.reported_count, False, frozenset({"m0"}), {HELD: 1})
        self.reported_count = self.order_count
        return report

    async def send(self, replica, order):
        if order.expected_count not in (None, self.order_count):
            return OrderResult.CONFLICT
        self.order_count += 1
        self.ordered.append(order.adapter)
        return OrderResult.HOLDS_ALREADY


def make_orders(client, placement=None, version_of=lambda key: 1):
    model = types.SimpleNamespace(name="m0", adapter_mb=0, weights_mb=1, load_s=1.0)
    backend = types.SimpleNamespace(models=(model,), adapter_slots=4, weights_mb=2)
    leadership = types.SimpleNamespace(
        check_still_leading=lambda: True, holder="entry-1", term=7
    )
    context = BackendContext(
        backend,
        placement or BackendPlacement(),
        leadership,
        client,
        version_of,
        None,
    )
    pause = ReplicaPause("r1", random.Random(1))
    replica = types.SimpleNamespace(id="r1", takes_requests=True, pause=pause)
    return ReplicaOrders(replica, context)


class HeldBackReplica:
    """A replica that holds four adapters; tests answer its reports and orders."""

    HELD_KEYS = tuple(AdapterKey("m0", f"b{number}") for number in range(4))

    def __init__(self):
        self.open_report = None
        self.open_order = None
        self.order_kinds = []

    async def report(self, replica):
        self.open_report = asyncio.get_running_loop().create_future()
        await self.open_report
        return ReplicaReport(
            0, False, frozenset({"m0"}), dict.fromkeys(self.HELD_KEYS, 1)
        )

    async def send(self, replica, order):
        self.order_kinds.append(order.kind)
        self.open_order = asyncio.get_running_loop().create_future()
        return await self.open_order


class LostLeadershipTest(testtools.TestCase):
    """Guards against errors when an answer comes as its task is cancelled.

    The task then goes on with the answer, but its replica's adapters are forgotten.
    """

    def run_and_stop(self, function):
        """Stops the orders in the turn of the event loop in which function returns."""

        async def check():
            client = HeldBackReplica()
            placement = BackendPlacement()
            orders = make_orders(client, placement)
            placement.add_replica(orders.replica_adapters)
            scope = anyio.CancelScope()

            async def run():
                with scope:
                    await orders.run()

            async with anyio.create_task_group() as group:
                group.start_soon(run)
                await anyio.sleep(0.01)
                await function(client, orders)
                scope.cancel()
                placement.remove_all()
            for key in (*client.HELD_KEYS, WANTED):
                self.assertEqual([], list(placement.index.holders(key)))
                self.assertEqual({}, placement.index.pending(key))
            self.assertEqual(0, placement.store_loads_in_flight())

        run_in_virtual_time(check)

    async def begin_eviction(self, client, orders):
        client.open_report.set_result(None)
        await anyio.sleep(EVICTION_GRACE_S + 0.1)
        orders.request_load(WANTED, LoadReason.MISSING)
        await anyio.sleep(0.01)
        self.assertEqual([OrderKind.UNLOAD], client.order_kinds)

    @with_own_system("run_and_stop")
    async def test_answer_to_an_unload(self, client, orders):
        """KeyError: the adapter was dropped from what was forgotten."""
        await self.begin_eviction(client, orders)
        client.open_order.set_result(OrderResult.HOLDS_ALREADY)

    @with_own_system("run_and_stop")
    async def test_answer_to_a_repeated_unload(self, client, orders):
        """KeyError: the unload was repeated for what was forgotten."""
        await self.begin_eviction(client, orders)
        client.open_order.set_result(OrderResult.ACCEPTED)
        await anyio.sleep(0.01)
        client.open_order.set_result(OrderResult.ACCEPTED)
        await anyio.sleep(UNLOAD_RETRY_INTERVAL_S + 0.05)
        self.assertEqual([OrderKind.UNLOAD] * 3, client.order_kinds)
        client.open_order.set_result(OrderResult.ACCEPTED)

    @with_own_system("run_and_stop")
    async def test_answer_to_a_load(self, client, orders):
        """The adapter was recorded again at a replica that is gone."""
        await self.begin_eviction(client, orders)
        client.open_order.set_result(OrderResult.HOLDS_ALREADY)
        await anyio.sleep(0.01)
        self.assertEqual(OrderKind.LOAD, client.order_kinds[-1])
        client.open_order.set_result(OrderResult.ACCEPTED)

    @with_own_system("run_and_stop")
    async def test_report(self, client, orders):
        """All adapters were recorded again at a replica that is gone."""
        client.open_report.set_result(None)


class OutdatedStateTest(testtools.TestCase):
    def test_replica_stays_in_use_while_its_state_is_read_again(self):
        """A new leader's first order met 409, since the report was older than the last
        order of its predecessor. The replica then served no request for 0.66 s, and
        loads that waited for it were dropped (incident inc-3698)."""

        async def check():
            client = LaggingReplica()
            orders = make_orders(client)
            async with anyio.create_task_group() as group:
                group.start_soon(orders.run)
                await anyio.sleep(0.01)
                load = orders.request_load(WANTED, LoadReason.MISSING)
                for _ in range(40):
                    await anyio.sleep(0.01)
                    orders.set_usable(True)
                    self.assertTrue(orders.replica_adapters.usable)
                    self.assertIn(HELD, orders.replica_adapters.held)
                self.assertTrue(load.done.done())
                self.assertEqual(["a2"], client.ordered)
                self.assertIn(WANTED, orders.replica_adapters.held)
                group.cancel_scope.cancel()

        self.assertLess(MAX_REPORT_AGE_S, 0.4)
        run_in_virtual_time(check)


class EvictionAfterReadingTest(testtools.TestCase):
    def test_adapter_may_be_evicted_right_after_the_state_was_read_again(self):
        """Guards against a full replica that has no place for 1 s after each refusal."""

        async def check():
            orders = make_orders(RefusingReplica())
            placement = orders._context.backend_placement
            async with anyio.create_task_group() as group:
                group.start_soon(orders.run)
                await anyio.sleep(EVICTION_GRACE_S + 0.1)
                self.assertEqual(
                    HELD, placement.eviction_candidate(orders.replica_adapters)
                )
                unknown = AdapterKey("m0", "unknown")
                await orders.request_load(unknown, LoadReason.MISSING).done
                await anyio.sleep(MAX_REPORT_AGE_S + 0.05)
                self.assertEqual(
                    HELD, placement.eviction_candidate(orders.replica_adapters)
                )
                group.cancel_scope.cancel()

        run_in_virtual_time(check)


class RefusingReplica:
    """A replica that refuses to load all adapters but one, and newer versions."""

    def __init__(self):
        self.order_count = 0
        self.versions = {HELD: 1}
        self.refused = []

    async def report(self, replica):
        return ReplicaReport(
            self.order_count, False, frozenset({"m0"}), dict(self.versions)
        )

    async def send(self, replica, order):
        if order.adapter != WANTED.adapter or order.version is not None:
            self.refused.append(order.adapter)
            return OrderResult.REFUSED
        if WANTED in self.versions:
            return OrderResult.HOLDS_ALREADY
        self.order_count += 1
        self.versions[WANTED] = 2
        return OrderResult.ACCEPTED


class RefusedLoadTest(testtools.TestCase):
    @in_virtual_time
    async def test_load_of_an_unknown_adapter_keeps_the_replica_in_use(self):
        """One caller that named such an adapter took its replica away from all others,
        and dropped the loads that waited there."""
        client = RefusingReplica()
        orders = make_orders(client)
        async with anyio.create_task_group() as group:
            group.start_soon(orders.run)
            await anyio.sleep(0.01)
            unknown = orders.request_load(
                AdapterKey("m0", "unknown"), LoadReason.MISSING
            )
            wanted = orders.request_load(WANTED, LoadReason.MISSING)
            for _ in range(100):
                await anyio.sleep(0.01)
                orders.set_usable(True)
                self.assertTrue(orders.replica_adapters.usable)
            self.assertTrue(unknown.done.done() and wanted.done.done())
            self.assertEqual(["unknown"], client.refused)
            self.assertIn(WANTED, orders.replica_adapters.held)
            group.cancel_scope.cancel()

    @in_virtual_time
    async def test_version_that_the_replica_does_not_know_keeps_it_in_use(self):
        """The replica was in use for nobody, and loads that waited were dropped."""
        client = RefusingReplica()
        orders = make_orders(client, version_of=lambda key: 2)
        async with anyio.create_task_group() as group:
            group.start_soon(orders.run)
            for number in range(150):
                await anyio.sleep(0.01)
                if number == 1:
                    orders.request_load(WANTED, LoadReason.MISSING)
                orders.set_usable(True)
                self.assertTrue(orders.replica_adapters.usable)
            self.assertEqual([HELD.adapter] * 2, client.refused)
            self.assertIn(WANTED, orders.replica_adapters.held)
            group.cancel_scope.cancel()
