"""Tests of the orders to one replica."""

import random
import types

import anyio
import testtools

from snipetrestle.coordination.adapter_places import BackendPlacement, LoadReason
from snipetrestle.coordination.orders import (
    MAX_REPORT_AGE_S,
    BackendContext,
    OrderResult,
    ReplicaOrders,
    ReplicaReport,
)
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle.gateway.replica_pause import ReplicaPause
from snipetrestle_standins.clock import run_in_virtual_time

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


def make_orders(client):
    model = types.SimpleNamespace(name="m0", adapter_mb=0, weights_mb=1, load_s=1.0)
    backend = types.SimpleNamespace(models=(model,), adapter_slots=4, weights_mb=2)
    leadership = types.SimpleNamespace(
        check_still_leading=lambda: True, holder="entry-1", term=7
    )
    context = BackendContext(
        backend, BackendPlacement(), leadership, client, lambda key: 1, None
    )
    pause = ReplicaPause("r1", random.Random(1))
    replica = types.SimpleNamespace(id="r1", takes_requests=True, pause=pause)
    return ReplicaOrders(replica, context)


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
