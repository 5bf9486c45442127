"""Tests of streams: adapters on demand, broken streams, and disconnected callers."""

import asyncio

import testtools

from snipetrestle_standins.gateway_fleet import Caller
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

ALL_EVENT_IDS = [1, 2, 3, 4, 5, 6]


class StreamTest(testtools.TestCase):
    def loaded_adapters(self, fleet):
        """Returns the adapters of all load orders that the model replicas got."""
        return [
            order["adapter"]
            for replica in fleet.models
            for order in replica.orders
            if order["op_type"] == "load"
        ]

    @with_system(run_fleet)
    async def test_adapter_is_loaded_on_demand_and_reused(self, fleet):
        """A request must not be refused because no replica holds its adapter yet."""
        for _ in range(3):
            answer = await fleet.send_request("/draft/a", adapter="a7")
            self.assertEqual((200, True), (answer.status, answer.complete))
            self.assertEqual(ALL_EVENT_IDS, answer.event_ids)
        self.assertEqual(["a7"], self.loaded_adapters(fleet))

    @with_system(run_fleet, gateways=3)
    async def test_many_hosts_cause_one_load(self, fleet):
        """If many hosts need the same adapter, each could cause a load of its own."""
        answers = await asyncio.gather(
            *(
                fleet.send_request("/draft/a", gateway, adapter="a7")
                for gateway in fleet.gateways * 3
            )
        )
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(["a7"], self.loaded_adapters(fleet))

    @with_system(run_fleet, gateways=2)
    async def test_replica_is_never_overfilled(self, fleet):
        """Guards against loads that crash a replica, and evictions of used adapters."""
        for replica in fleet.models:
            replica.event_interval_s = 0.02
        answers = await asyncio.gather(
            *(
                fleet.send_request("/draft/a", gateway, adapter=f"a{number}")
                for number, gateway in enumerate(fleet.gateways * 8)
            )
        )
        self.assertEqual(
            [], [item.status for item in answers if item.status not in (200, 503)]
        )
        self.assertGreaterEqual(sum(item.status == 200 for item in answers), 8)
        for replica in fleet.models:
            self.assertFalse(replica.overfilled)

    @with_system(run_fleet, models=1)
    async def test_slot_is_freed_for_another_adapter(self, fleet):
        """Replicas must not keep adapters without demand."""
        for number in range(4):
            self.assertEqual(
                200,
                (await fleet.send_request("/draft/a", adapter=f"a{number}")).status,
            )
        await asyncio.sleep(1.8)
        answer = await fleet.send_request("/draft/a", adapter="a9")
        self.assertEqual(200, answer.status)
        self.assertFalse(fleet.models[0].overfilled)

    @with_system(run_fleet)
    async def test_resumable_stream_continues_in_the_same_response(self, fleet):
        """When a replica crashes, no event may be lost, duplicate or partial."""
        for replica in fleet.models:
            replica.faults = [Fault.RESET_IN_RESPONSE]
        answer = await fleet.send_request("/draft/a", adapter="")
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.assertEqual([1, 2, 3, 4], answer.event_ids)
        shared_faults = [Fault.RESET_IN_RESPONSE]
        for replica in fleet.models:
            replica.faults = shared_faults
        answer = await fleet.send_request("/draft/a", adapter="")
        self.assertTrue(answer.complete)
        self.assertEqual(ALL_EVENT_IDS, answer.event_ids)
        resumed = [
            last_event_id
            for item in fleet.models
            for _, last_event_id in item.runs
            if last_event_id
        ]
        self.assertIn("2", resumed)

    @with_system(run_fleet)
    async def test_stream_without_length_ends_with_its_connection(self, fleet):
        """A stream may have neither a length nor chunks. One that ends inside an event
        must not look complete, and one that ends after an event is complete."""

        def set_shared_fault(fault):
            shared_faults = [fault]
            for replica in fleet.models:
                replica.faults = shared_faults

        for path in ("/draft/a", "/night/a"):
            set_shared_fault(Fault.NO_CONTENT_LENGTH)
            answer = await fleet.send_request(path, adapter="")
            self.assertEqual((200, True), (answer.status, answer.complete))
            self.assertEqual(ALL_EVENT_IDS, answer.event_ids)
        set_shared_fault(Fault.TRUNCATED)
        answer = await fleet.send_request("/draft/a", adapter="")
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual(ALL_EVENT_IDS, answer.event_ids)
        set_shared_fault(Fault.TRUNCATED)
        answer = await fleet.send_request("/night/a", adapter="")
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.assertEqual([1, 2], answer.event_ids)

    @with_system(run_fleet)
    async def test_non_resumable_stream_is_not_run_twice(self, fleet):
        """Some streams may not be repeated, so a second run would be a fault."""
        for replica in fleet.models:
            replica.faults = [Fault.RESET_IN_RESPONSE]
        answer = await fleet.send_request("/night/a", adapter="")
        self.assertEqual((200, False), (answer.status, answer.complete))
        self.assertEqual([1, 2], answer.event_ids)
        self.assertEqual(1, sum(len(replica.runs) for replica in fleet.models))

    @with_system(run_fleet)
    async def test_stream_of_a_silent_replica_is_resumed_elsewhere(self, fleet):
        """Streams must not wait for a replica that no longer responds."""
        shared_faults = [Fault.NO_RESPONSE]
        for replica in fleet.models:
            replica.faults = shared_faults
        answer = await fleet.send_request("/draft/a", adapter="")
        self.assertEqual([], shared_faults)
        self.assertEqual(ALL_EVENT_IDS, answer.event_ids)

    @with_system(run_fleet, models=1)
    async def test_disconnected_caller_frees_the_replica(self, fleet):
        """Guards against replicas that work for callers that have disconnected."""
        fleet.models[0].event_interval_s = 0.1
        async with Caller(fleet.gateways[0].settings.callers) as caller:
            request_task = asyncio.create_task(
                caller.send_request("/draft/a", adapter="")
            )
            await wait_until(lambda: fleet.models[0].running)
            request_task.cancel()
        await wait_until(lambda: fleet.models[0].cancelled)

    @with_system(run_fleet)
    async def test_new_version_is_loaded_and_used(self, fleet):
        """No request may run on an older version than declared."""
        self.assertEqual(
            200, (await fleet.send_request("/draft/a", adapter="a7")).status
        )
        for replica in fleet.models:
            replica.newest_version_by_adapter["a7"] = 2
        fleet.store.put(
            "op/version/m0.a7", {"model": "m0", "adapter": "a7", "version": 2}
        )
        await wait_until(lambda: fleet.gateways[0].state.versions_by_adapter)
        answer = await fleet.send_request("/draft/a", adapter="a7")
        self.assertEqual((200, ALL_EVENT_IDS), (answer.status, answer.event_ids))
        holders = [item for item in fleet.models if "a7" in item.versions_by_adapter]
        self.assertEqual([2], [item.versions_by_adapter["a7"] for item in holders])

    @with_system(run_fleet, models=1)
    async def test_restarted_replica_is_used_again(self, fleet):
        """After an empty restart, a replica must not stay unused."""
        replica = fleet.models[0]
        self.assertEqual(
            200, (await fleet.send_request("/draft/a", adapter="a1")).status
        )
        replica.restart()
        fleet.publish(replica, born=2)
        await wait_until(lambda: replica.model is not None)
        answer = await fleet.send_request("/draft/a", adapter="a1")
        self.assertEqual((200, ALL_EVENT_IDS), (answer.status, answer.event_ids))

    @with_system(run_fleet, models=1, model_load_s=600.0)
    async def test_model_loaded_from_disk_is_used_at_once(self, fleet):
        """Replicas must not stay idle after a restart.

        Their model came from disk in 1.6 s, but was first looked for after 3.9 s, when
        a load from the store would have ended. 16 of 39 replicas were unused
        in the scenario scale-1 of the site ksr-lab-grown.
        """
        replica = fleet.models[0]
        replica.restart()
        replica.model_load_s = 0.2
        fleet.publish(replica, born=2)
        await wait_until(lambda: replica.model is not None)
        answer = await fleet.send_request("/draft/a", adapter="a1")
        self.assertEqual((200, ALL_EVENT_IDS), (answer.status, answer.event_ids))

    @with_system(run_fleet)
    async def test_adapter_that_a_replica_lost_is_loaded_again(self, fleet):
        """The leader must learn that a replica lost an adapter.

        Otherwise, the replica would refuse every request for that adapter.
        """
        self.assertEqual(
            200, (await fleet.send_request("/draft/a", adapter="a1")).status
        )
        for replica in fleet.models:
            replica.versions_by_adapter.clear()
        answer = await fleet.send_request("/draft/a", adapter="a1")
        self.assertEqual(200, answer.status)
        answer = await fleet.send_request("/draft/a", adapter="a1")
        self.assertEqual((200, ALL_EVENT_IDS), (answer.status, answer.event_ids))

    @with_system(run_fleet)
    async def test_failure_before_the_first_event_is_retried(self, fleet):
        """The caller must not get an error while another replica could serve.

        Nor may the retry be counted twice in the retry budget.
        """
        shared_faults = [Fault.SERVER_ERROR]
        for replica in fleet.models:
            replica.faults = shared_faults
        answer = await fleet.send_request("/draft/a", adapter="")
        self.assertEqual((200, ALL_EVENT_IDS), (answer.status, answer.event_ids))
        budget = fleet.live[0].retry_budgets.for_backend("models")
        self.assertEqual(1, budget.retries_in_window)
        for replica in fleet.models:
            replica.faults = [Fault.SERVER_ERROR]
        answer = await fleet.send_request("/night/a", adapter="")
        self.assertEqual(500, answer.status)
        self.assertIn("x-server-signature", answer.headers)
