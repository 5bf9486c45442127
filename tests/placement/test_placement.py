"""Tests of slots, demand, load permits and replica selection."""

import random

import anyio
import testtools

from snipetrestle.engines.forward import ReplicaHints
from snipetrestle.peers.transport import MessageRouter
from snipetrestle.placement import (
    CoordinatedPermits,
    DemandTracker,
    LoadCoordinator,
    ReplicaChooser,
    SlotTable,
)
from snipetrestle.placement.candidates import CandidateTree
from snipetrestle.placement.load_coordinator import PERMIT_TERM_S, PermitQueue
from snipetrestle.placement.permits import LoadClass
from snipetrestle.published import BackendServer, WeightStore
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.network import InMemoryNetwork

STORE = WeightStore("store", 2.0, 1, 0.25, 8)


def make_servers(count):
    return [
        BackendServer(
            name=f"e{number}",
            address=f"127.0.0.1:{number + 1}",
            failure_domain="d",
            region="r",
            model="m",
            adapter_slots=8,
            max_batch=16,
            weight_store="store",
        )
        for number in range(count)
    ]


def run_on_simulated_clock(function):
    """Decorates an async test method, which then runs on the simulated clock."""

    def test(self):
        async def main():
            await function(self)

        run_in_virtual_time(main)

    test.__doc__ = function.__doc__
    return test


class SlotTest(testtools.TestCase):
    def make_full_table(self, handles):
        table = SlotTable(len(handles), DemandTracker())
        for handle in handles:
            table.begin_load(handle)
            table.finish_load(handle, 0.25)
        return table

    @run_on_simulated_clock
    async def test_cold_adapter_does_not_evict_a_hotter_copy(self):
        """Many requests for cold adapters could evict the hot ones."""
        table = self.make_full_table(["hot", "warm"])
        for _ in range(50):
            table.demand.record("hot")
        table.demand.record("warm")
        table.demand.record("cold")
        for number in range(20):
            table.demand.record(f"cold-{number}")
            self.assertNotEqual("hot", table.victim_for(f"cold-{number}", 0.0))
        self.assertEqual("warm", table.victim_for("cold", 1.0))

    @run_on_simulated_clock
    async def test_pinned_and_requested_copies_stay(self):
        """Even after long waits, a copy in use or requested must not be evicted."""
        table = self.make_full_table(["pinned", "requested"])
        copy = table.pin("pinned")
        table.set_queued_requests("requested", 1)
        self.assertIsNone(table.victim_for("new", 1e9))
        self.assertIsNone(table.batch_victim(2))
        self.assertRaises(ValueError, table.begin_unload, "pinned")
        table.unpin(copy)
        self.assertEqual("pinned", table.victim_for("new", 1e9))

    @run_on_simulated_clock
    async def test_demand_table_is_bounded_and_keeps_hot_keys(self):
        """Guards against memory that grows with the number of adapters ever used."""
        demand = DemandTracker(max_keys=100)
        for number in range(5_000):
            demand.record(f"a{number}")
            demand.record("hot")
        self.assertEqual(100, len(demand))
        self.assertGreater(demand.rate("hot"), demand.rate("a4999"))


class PermitTest(testtools.TestCase):
    async def grant_order(self, queue, pending_by_id, limit_s=30.0):
        """Returns (permit id, time of the grant) of all requests in order."""
        order = []
        pending = dict(pending_by_id)
        with anyio.move_on_after(limit_s):
            while pending:
                wait = queue.grant_due()
                for name in [n for n, p in pending.items() if p.granted.is_set()]:
                    order.append((name, anyio.current_time()))
                    del pending[name]
                    queue.remove(name)
                await anyio.sleep(wait if wait and wait > 0 else 0.01)
        return order

    @run_on_simulated_clock
    async def test_permits_are_granted_by_class_and_then_by_request_count(self):
        """Waiting requests must not stand behind batch or speculative loads."""
        queue = PermitQueue(STORE)
        pending_by_id = {
            "speculative": queue.put("speculative", LoadClass.SPECULATIVE, 99, 0.0),
            "batch": queue.put("batch", LoadClass.BATCH, 99, 9.0),
            "one": queue.put("one", LoadClass.WAITING, 1, 0.0),
            "many": queue.put("many", LoadClass.WAITING, 20, 0.0),
        }
        order = await self.grant_order(queue, pending_by_id)
        names = [name for name, _ in order]
        self.assertEqual(["many", "one", "batch", "speculative"], names)
        for (_, earlier), (_, later) in zip(order, order[1:], strict=False):
            self.assertGreater(later - earlier, 0.49)

    @run_on_simulated_clock
    async def test_customer_above_the_mean_rate_yields(self):
        """One customer's many loads could use up the store."""
        queue = PermitQueue(STORE)
        for number in range(20):
            heavy = queue.put(f"h{number}", LoadClass.WAITING, 1, 0.0, "heavy")
            await self.grant_order(queue, {f"h{number}": heavy})
        light = queue.put("l", LoadClass.WAITING, 1, 0.0, "light")
        await self.grant_order(queue, {"l": light})
        pending_by_id = {
            "heavy": queue.put("heavy", LoadClass.WAITING, 1, 0.0, "heavy"),
            "light": queue.put("light", LoadClass.WAITING, 1, 0.0, "light"),
        }
        order = await self.grant_order(queue, pending_by_id)
        self.assertEqual("light", order[0][0])

    def make_permits(self, network, name, hosts):
        return CoordinatedPermits(
            network.attach(name, MessageRouter()),
            name,
            random.Random(name),
            lambda store: "coordinator",
            lambda: hosts,
            {"store": STORE},
        )

    async def count_loads(self, clients, seconds):
        grants = []

        async def load_repeatedly(client):
            while True:
                async with client.permit("store", LoadClass.WAITING):
                    grants.append(anyio.current_time())

        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as group:
                for client in clients:
                    group.start_soon(load_repeatedly, client)
        return grants

    @run_on_simulated_clock
    async def test_new_coordinator_waits_for_one_permit_term(self):
        """When a new coordinator starts, the old one's permits may still be valid.

        Two coordinators must not have valid permits at the same time.
        """
        async with InMemoryNetwork() as network, anyio.create_task_group() as group:
            router = MessageRouter()
            coordinator = LoadCoordinator(router, {"store": STORE})
            network.attach("coordinator", router)
            group.start_soon(coordinator.run)
            grants = await self.count_loads([self.make_permits(network, "d", 1)], 12.0)
            group.cancel_scope.cancel()
        self.assertGreater(grants[0], PERMIT_TERM_S - 0.01)
        self.assertGreater(len(grants), 10)

    @run_on_simulated_clock
    async def test_fallback_stays_within_the_rate(self):
        """While the coordinator is unreachable, daemons could overload the store.

        The limit is the rate times the duration, plus one load for each daemon.
        """
        async with InMemoryNetwork() as network:
            clients = [self.make_permits(network, f"d{n}", 6) for n in range(6)]
            grants = await self.count_loads(clients, 60.0)
        self.assertLessEqual(len(grants), 60 * STORE.loads_per_second + 6)
        self.assertGreater(len(grants), 60)


class ChooserTest(testtools.TestCase):
    def make_chooser(self, count):
        chooser = ReplicaChooser(random.Random(1))
        chooser.set_replicas({"m": make_servers(count)})
        return chooser

    @run_on_simulated_clock
    async def test_daemons_agree_on_the_first_copy(self):
        """Guards against daemons that each load the same adapter at another replica."""
        for adapter in ("a", "b", "c", "d"):
            chosen = {self.make_chooser(9).choose("m", adapter, "1") for _ in range(5)}
            self.assertEqual(1, len(chosen))

    @run_on_simulated_clock
    async def test_excluded_and_loaded_replicas_are_avoided(self):
        """A failed load must not be retried at the same replica."""
        chooser = self.make_chooser(9)
        first = chooser.choose("m", "a", "1")
        second = chooser.choose("m", "a", "1", (first,))
        self.assertNotEqual(first, second)
        for _ in range(200):
            chooser.on_sent(first, "a", "1")
        self.assertNotEqual(first, chooser.choose("m", "a", "1"))

    @run_on_simulated_clock
    async def test_slow_engine_is_avoided(self):
        """Requests could stay at an engine that is ten times slower."""
        chooser = self.make_chooser(9)
        first = chooser.choose("m", "a", "1")
        for _ in range(20):
            chooser.on_sent(first, "a", "1")
            chooser.on_finished(first, "a", "1", service_s=16.0)
        self.assertNotEqual(first, chooser.choose("m", "a", "1"))

    @run_on_simulated_clock
    async def test_resident_copy_is_preferred(self):
        """If one candidate has the copy, another one must not load it."""
        chooser = self.make_chooser(9)
        first = chooser.choose("m", "a", "1")
        second = chooser.choose("m", "a", "1", (first,))
        chooser.on_hints(ReplicaHints(first, residents=()), "z", "1")
        chooser.on_hints(ReplicaHints(second, residents=("a@1",)), "z", "1")
        self.assertEqual(second, chooser.choose("m", "a", "1"))

    def test_few_adapters_move_when_a_replica_leaves(self):
        """Guards against a move of most adapters when one replica leaves."""
        weights = {f"e{number}": 1.0 for number in range(200)}
        keys = [f"a{number}" for number in range(300)]
        before = [CandidateTree(weights).top_candidates(key, 1)[0] for key in keys]
        del weights["e7"]
        after = [CandidateTree(weights).top_candidates(key, 1)[0] for key in keys]
        moved = sum(old != new for old, new in zip(before, after, strict=True))
        self.assertLess(moved, 15)
