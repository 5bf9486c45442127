"""Tests of slots, demand, load permits and the choice of replica."""

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
from snipetrestle_standins.clock import run_advanced
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


def on_clock(function):
    def test(self):
        async def main():
            await function(self)

        run_advanced(main)

    test.__doc__ = function.__doc__
    return test


class SlotTest(testtools.TestCase):
    def fill(self, handles):
        table = SlotTable(len(handles), DemandTracker())
        for handle in handles:
            table.begin_load(handle)
            table.finish_load(handle, 0.25)
        return table

    @on_clock
    async def test_newcomer_does_not_evict_a_hotter_copy(self):
        """Guards against a flash crowd of cold adapters that evicts the hot set."""
        table = self.fill(["hot", "warm"])
        for _ in range(50):
            table.demand.note("hot")
        table.demand.note("warm")
        table.demand.note("cold")
        for number in range(20):
            table.demand.note(f"cold-{number}")
            self.assertNotEqual("hot", table.victim_for(f"cold-{number}", 0.0))
        self.assertEqual("warm", table.victim_for("cold", 1.0))

    @on_clock
    async def test_pinned_and_promised_copies_stay(self):
        """Guards against an eviction under a request, even after long waits."""
        table = self.fill(["pinned", "promised"])
        copy = table.pin("pinned")
        table.set_promises("promised", 1)
        self.assertIsNone(table.victim_for("new", 1e9))
        self.assertIsNone(table.batch_victim(2))
        self.assertRaises(ValueError, table.begin_unload, "pinned")
        table.unpin(copy)
        self.assertEqual("pinned", table.victim_for("new", 1e9))

    @on_clock
    async def test_demand_is_bounded_and_keeps_the_hot(self):
        """Guards against memory that grows with the adapters ever used."""
        demand = DemandTracker(max_keys=100)
        for number in range(5_000):
            demand.note(f"a{number}")
            demand.note("hot")
        self.assertEqual(100, len(demand))
        self.assertGreater(demand.rate("hot"), demand.rate("a4999"))


class PermitTest(testtools.TestCase):
    async def grant_order(self, queue, ids, limit_s=30.0):
        order = []
        pending = dict(ids)
        with anyio.move_on_after(limit_s):
            while pending:
                wait = queue.grant_due()
                for name in [n for n, p in pending.items() if p.granted.is_set()]:
                    order.append((name, anyio.current_time()))
                    del pending[name]
                    queue.remove(name)
                await anyio.sleep(wait if wait and wait > 0 else 0.01)
        return order

    @on_clock
    async def test_waiting_then_batch_then_speculative_then_number(self):
        """Guards against a waiting request behind batch or speculative loads."""
        queue = PermitQueue(STORE)
        ids = {
            "speculative": queue.put("speculative", LoadClass.SPECULATIVE, 99, 0.0),
            "batch": queue.put("batch", LoadClass.BATCH, 99, 9.0),
            "one": queue.put("one", LoadClass.WAITING, 1, 0.0),
            "many": queue.put("many", LoadClass.WAITING, 20, 0.0),
        }
        order = await self.grant_order(queue, ids)
        names = [name for name, _ in order]
        self.assertEqual(["many", "one", "batch", "speculative"], names)
        for (_, earlier), (_, later) in zip(order, order[1:], strict=False):
            self.assertGreater(later - earlier, 0.49)

    @on_clock
    async def test_customer_above_the_mean_stands_back(self):
        """Guards against one customer's storm that uses up the store."""
        queue = PermitQueue(STORE)
        for number in range(20):
            heavy = queue.put(f"h{number}", LoadClass.WAITING, 1, 0.0, "heavy")
            await self.grant_order(queue, {f"h{number}": heavy})
        light = queue.put("l", LoadClass.WAITING, 1, 0.0, "light")
        await self.grant_order(queue, {"l": light})
        ids = {
            "heavy": queue.put("heavy", LoadClass.WAITING, 1, 0.0, "heavy"),
            "light": queue.put("light", LoadClass.WAITING, 1, 0.0, "light"),
        }
        order = await self.grant_order(queue, ids)
        self.assertEqual("light", order[0][0])

    def make_client(self, network, name, hosts):
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

        async def load_often(client):
            while True:
                async with client.permit("store", LoadClass.WAITING):
                    grants.append(anyio.current_time())

        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as group:
                for client in clients:
                    group.start_soon(load_often, client)
        return grants

    @on_clock
    async def test_new_coordinator_grants_nothing_for_a_term(self):
        """Guards against the permits of two coordinators in force at once."""
        async with InMemoryNetwork() as network, anyio.create_task_group() as group:
            router = MessageRouter()
            coordinator = LoadCoordinator(router, {"store": STORE})
            network.attach("coordinator", router)
            group.start_soon(coordinator.run)
            grants = await self.count_loads([self.make_client(network, "d", 1)], 12.0)
            group.cancel_scope.cancel()
        self.assertGreater(grants[0], PERMIT_TERM_S - 0.01)
        self.assertGreater(len(grants), 10)

    @on_clock
    async def test_fallback_shares_stay_within_the_rate(self):
        """Guards against a store overrun while the coordinator is unreachable.

        Bound: rate times time, and one load for each daemon.
        """
        async with InMemoryNetwork() as network:
            clients = [self.make_client(network, f"d{n}", 6) for n in range(6)]
            grants = await self.count_loads(clients, 60.0)
        self.assertLessEqual(len(grants), 60 * STORE.loads_per_second + 6)
        self.assertGreater(len(grants), 60)


class ChooserTest(testtools.TestCase):
    def make(self, count):
        chooser = ReplicaChooser(random.Random(1))
        chooser.set_replicas({"m": make_servers(count)})
        return chooser

    @on_clock
    async def test_entries_agree_on_the_first_copy(self):
        """Guards against copies of one adapter at as many replicas as entries."""
        for adapter in ("a", "b", "c", "d"):
            chosen = {self.make(9).choose("m", adapter, "1") for _ in range(5)}
            self.assertEqual(1, len(chosen))

    @on_clock
    async def test_excluded_and_loaded_replicas_are_avoided(self):
        """Guards against a failed load that is tried at the same replica again."""
        chooser = self.make(9)
        first = chooser.choose("m", "a", "1")
        second = chooser.choose("m", "a", "1", (first,))
        self.assertNotEqual(first, second)
        for _ in range(200):
            chooser.on_sent(first, "a", "1")
        self.assertNotEqual(first, chooser.choose("m", "a", "1"))

    @on_clock
    async def test_slow_engine_is_left(self):
        """Guards against requests that stay at an engine ten times slower."""
        chooser = self.make(9)
        first = chooser.choose("m", "a", "1")
        for _ in range(20):
            chooser.on_sent(first, "a", "1")
            chooser.on_finished(first, "a", "1", service_s=16.0)
        self.assertNotEqual(first, chooser.choose("m", "a", "1"))

    @on_clock
    async def test_resident_copy_is_preferred(self):
        """Guards against a load where another candidate has the copy."""
        chooser = self.make(9)
        first = chooser.choose("m", "a", "1")
        second = chooser.choose("m", "a", "1", (first,))
        chooser.on_hints(ReplicaHints(first, residents=()), "z", "1")
        chooser.on_hints(ReplicaHints(second, residents=("a@1",)), "z", "1")
        self.assertEqual(second, chooser.choose("m", "a", "1"))

    def test_candidates_move_little_when_a_replica_goes(self):
        """Guards against a fleet-wide move of adapters when one replica leaves."""
        weights = {f"e{number}": 1.0 for number in range(200)}
        keys = [f"a{number}" for number in range(300)]
        before = [CandidateTree(weights).order(key, 1)[0] for key in keys]
        del weights["e7"]
        after = [CandidateTree(weights).order(key, 1)[0] for key in keys]
        moved = sum(one != other for one, other in zip(before, after, strict=True))
        self.assertLess(moved, 15)
