"""Tests of replicas that say in their answers that they leave."""

import asyncio
import contextlib

import testtools

from snipetrestle.coordination.placement.order_messages import Order, OrderKind
from snipetrestle.gateway.backends.http_client import ExchangeFailed
from snipetrestle.platform.calls import OrderClient
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

REQUESTS = 30


class LeavingReplicaTest(testtools.TestCase):
    async def assert_gets_no_requests(self, fleet, replica, path, **options):
        """All callers must be served, none of them by ``replica``."""
        before = len(replica.arrived_requests)
        answers = await asyncio.gather(
            *(fleet.send_request(path, **options) for _ in range(REQUESTS))
        )
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(before, len(replica.arrived_requests))

    async def wait_told(self, fleet, replica):
        """Sends requests until the replica has answered one while leaving."""
        replica.leaving = True
        before = len(replica.arrived_requests)
        while len(replica.arrived_requests) == before:
            await fleet.send_request("/lookup/a", method="GET")

    async def leave_in_streams_only(self, fleet, replica):
        """Lets a replica leave, which no order or report tells the leader.

        The leader's first report of it may come before or after the first stream.
        """
        replica.leaving = True
        replica.tells_leader_of_leaving = False
        known = fleet.gateways[0].replicas.by_id[replica.id]
        await OrderClient().report(known)
        self.assertTrue(known.takes_requests)

    @with_system(run_fleet)
    async def test_success_ends_new_requests(self, fleet):
        """A leaving replica got requests until its entry in the store changed."""
        await self.wait_told(fleet, fleet.registers[0])
        await self.assert_gets_no_requests(
            fleet, fleet.registers[0], "/lookup/a", method="GET"
        )

    @with_system(run_fleet)
    async def test_refusal_ends_new_requests(self, fleet):
        """A refused request was sent again to the replica that leaves."""
        replica = fleet.registers[0]
        replica.refuses_requests = True
        await self.wait_told(fleet, replica)
        await self.assert_gets_no_requests(fleet, replica, "/lookup/a", method="GET")

    @with_system(run_fleet)
    async def test_head_of_a_stream_ends_new_requests(self, fleet):
        """Streams last long, so the announcement must not wait for their end."""
        leaving, other = fleet.models
        await self.leave_in_streams_only(fleet, leaving)
        leaving.event_interval_s = 0.5
        other.event_interval_s = 0.0
        slow = []
        while not leaving.arrived_requests:
            slow.append(asyncio.create_task(fleet.send_request("/draft/a", adapter="")))
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.6)
        await self.assert_gets_no_requests(fleet, leaving, "/draft/a", adapter="")
        answers = await asyncio.gather(*slow)
        self.assertTrue(all(answer.complete for answer in answers))
        self.assertEqual([], leaving.cancelled)

    @with_system(run_fleet)
    async def test_stream_that_breaks_is_not_resumed_there(self, fleet):
        """A stream went on at the replica that had just said that it leaves."""
        leaving, _ = fleet.models
        await self.leave_in_streams_only(fleet, leaving)
        leaving.faults = [Fault.RESET_IN_RESPONSE]
        while not leaving.arrived_requests:
            answer = await fleet.send_request("/draft/a", adapter="")
            self.assertEqual([1, 2, 3, 4, 5, 6], answer.event_ids)
        self.assertEqual(1, len(leaving.arrived_requests))

    @with_system(run_fleet)
    async def test_adapter_is_served_by_another_replica(self, fleet):
        """The leader named the leaving holder of an adapter as its only place."""
        await fleet.send_request("/draft/a", adapter="a1")
        (holder,) = [item for item in fleet.models if "a1" in item.versions_by_adapter]
        holder.leaving = True
        await fleet.send_request("/draft/a", adapter="a1")
        orders = len(holder.orders)
        for adapter in ("a1", "a2", "a3"):
            await self.assert_gets_no_requests(
                fleet, holder, "/draft/a", adapter=adapter
            )
        self.assertEqual(orders, len(holder.orders))

    @with_system(run_fleet)
    async def test_answers_to_reports_and_orders_end_new_requests(self, fleet):
        """The leader learns from a report or an order before any caller does."""
        client = OrderClient()
        order = Order(OrderKind.LOAD, "m0", "", "entry-0", 1)
        for replica, ask in (
            (fleet.models[0], client.report),
            (fleet.registers[0], lambda replica: client.send(replica, order)),
        ):
            known = fleet.gateways[0].replicas.by_id[replica.id]
            replica.leaving = True
            with contextlib.suppress(ExchangeFailed):
                await ask(known)
            self.assertFalse(known.takes_requests)
        await self.assert_gets_no_requests(
            fleet, fleet.models[0], "/draft/a", adapter=""
        )

    @with_system(run_fleet, registers=1)
    async def test_answer_of_another_replica_at_the_address_says_nothing(self, fleet):
        """A 421 of the replica that took over an address speaks for itself."""
        (replica,) = fleet.registers
        known = fleet.gateways[0].replicas.by_id[replica.id]
        replica.id = "register-9"
        replica.leaving = True
        with contextlib.suppress(ExchangeFailed):
            await OrderClient().report(known)
        answer = await fleet.send_request("/lookup/a", method="GET")
        self.assertIn(answer.status, (502, 503, 504))
        self.assertTrue(known.takes_requests)

    @with_system(run_fleet)
    async def test_entries_do_not_bring_it_back(self, fleet):
        """Its entry may say "ready" still, late, or from a restored copy."""
        replica = fleet.registers[0]
        known = fleet.gateways[0].replicas
        await self.wait_told(fleet, replica)
        fleet.publish(replica)
        await wait_until(lambda: known.by_id[replica.id].entry.report_number == 2)
        await self.assert_gets_no_requests(fleet, replica, "/lookup/a", method="GET")
        fleet.store.delete(f"servers/{replica.id}")
        await wait_until(lambda: replica.id not in known.by_id)
        fleet.publish(replica)
        await wait_until(lambda: replica.id in known.by_id)
        await self.assert_gets_no_requests(fleet, replica, "/lookup/a", method="GET")

    @with_system(run_fleet)
    async def test_it_gets_no_requests_while_the_store_is_down(self, fleet):
        """What an answer says must not wait for the store."""
        fleet.cut_off_from_store.add("entry-0")
        await self.wait_told(fleet, fleet.registers[0])
        await self.assert_gets_no_requests(
            fleet, fleet.registers[0], "/lookup/a", method="GET"
        )

    @with_system(run_fleet)
    async def test_new_start_is_a_new_replica(self, fleet):
        """A replica that restarts under its id must not stay unused."""
        replica = fleet.registers[0]
        await self.wait_told(fleet, replica)
        replica.leaving = False
        replica.boot = 2
        fleet.publish(replica)
        known = fleet.gateways[0].replicas
        await wait_until(lambda: known.by_id[replica.id].entry.boot == 2)
        before = len(replica.arrived_requests)
        for _ in range(REQUESTS):
            await fleet.send_request("/lookup/a", method="GET")
        self.assertGreater(len(replica.arrived_requests), before)

    @with_system(run_fleet)
    async def test_request_that_waits_for_a_limit_goes_elsewhere(self, fleet):
        """A request chose its replica, and was sent after the announcement."""
        replica = fleet.registers[0]
        replica.request_limit = fleet.registers[1].request_limit = 4.0
        for _ in range(4):
            await fleet.send_request("/lookup/a", method="GET")
        waiting = [
            asyncio.create_task(fleet.send_request("/lookup/a", method="GET"))
            for _ in range(6)
        ]
        await asyncio.sleep(0.02)
        before = len(replica.arrived_requests)
        fleet.gateways[0].replicas.by_id[replica.id].note_leaving()
        answers = await asyncio.gather(*waiting)
        self.assertLessEqual({answer.status for answer in answers}, {200, 503})
        self.assertEqual(before, len(replica.arrived_requests))

    @with_system(run_fleet, registers=1)
    async def test_last_replica_that_leaves_gets_no_requests(self, fleet):
        """Callers must be refused at once, as for one whose entry is draining."""
        (replica,) = fleet.registers
        await self.wait_told(fleet, replica)
        before = len(replica.arrived_requests)
        answer = await fleet.send_request("/lookup/a", method="GET")
        self.assertEqual(503, answer.status)
        self.assertEqual(before, len(replica.arrived_requests))
